//! Controllers: their processes, what they are asked, and which of them leads.

use super::fault_injection::ZoneOutage;
use super::*;

/// Names of the controllers, by number.
pub(super) const NODE_NAMES: [&str; 5] = ["n-0", "n-1", "n-2", "n-3", "n-4"];

/// Wall-clock time, in seconds, at the start of every run.
const WALL_CLOCK_START_S: f64 = 1e9;

/// One controller's process, and the faults of its links. Times are simulated seconds.
pub(super) struct Node {
    /// None while its process is not running.
    pub(super) controller: Option<Controller>,
    /// Which start of its process this is.
    pub(super) incarnation: u64,
    started_at: f64,
    /// How fast its steady clock goes against true time.
    clock_rate: f64,
    last_request: RequestId,
    /// Who waits for the response to which request.
    requests: BTreeMap<RequestId, Requester>,
    pub(super) zone: String,
    pub(super) store_partition_until: f64,
    pub(super) workers_partition_until: f64,
    pub(super) zone_workers_partition: ZoneOutage,
    pub(super) peer_partition_until: f64,
    pub(super) store_refuses_until: f64,
    pub(super) paused_until: f64,
}

/// Who waits for the response to a request.
#[derive(Clone)]
pub(super) enum Requester {
    /// A worker, with the number of its heartbeat.
    Worker { machine: String, sequence: u64 },
    /// The user of a job, with the number of the request.
    User { job: String, number: u64 },
    /// Another controller that forwards heartbeats.
    Node(CallKey),
}

impl Node {
    /// A node in `zone` whose process has not been started.
    pub(super) fn new(zone: String, clock_rate: f64) -> Self {
        Node {
            controller: None,
            incarnation: 0,
            started_at: 0.0,
            clock_rate,
            last_request: 0,
            requests: BTreeMap::new(),
            zone,
            store_partition_until: 0.0,
            workers_partition_until: 0.0,
            zone_workers_partition: ZoneOutage::default(),
            peer_partition_until: 0.0,
            store_refuses_until: 0.0,
            paused_until: 0.0,
        }
    }

    /// Its process ends, and nobody gets a response from it any more.
    pub(super) fn stop(&mut self) {
        self.controller = None;
        self.requests.clear();
    }

    /// The fencing token with which it leads.
    pub(super) fn token(&self) -> Option<u64> {
        self.controller.as_ref().and_then(Controller::token)
    }
}

impl Simulation {
    pub(super) fn start_controller(&mut self, node: usize) {
        let mut settings = self.settings.clone();
        settings.node = NODE_NAMES[node].to_string();
        settings.zone.clone_from(&self.nodes[node].zone);
        let addr = settings.peer_addr;
        let peer = |name: &&str| Peer { node: (*name).into(), zone: String::new(), addr };
        let others = NODE_NAMES[..self.nodes.len()].iter().filter(|name| **name != settings.node);
        settings.peers = others.map(peer).collect();
        let mut controller = Controller::new(settings, Operator::default(), self.rng.gen());
        controller.set_safety_checks(self.checks);
        let process = &mut self.nodes[node];
        process.stop();
        process.controller = Some(controller);
        process.incarnation += 1;
        process.started_at = self.now;
        let incarnation = process.incarnation;
        self.schedule(self.now + 0.01, Event::ControllerTick { node, incarnation });
    }

    /// Whether that start of a node's process is running.
    pub(super) fn is_running(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node].controller.is_some() && self.nodes[node].incarnation == incarnation
    }

    /// When a node that is paused goes on.
    pub(super) fn paused_until(&self, node: usize) -> Option<f64> {
        let until = self.nodes[node].paused_until;
        (self.now < until).then_some(until)
    }

    pub(super) fn tick_controller(&mut self, node: usize, incarnation: u64) {
        if !self.is_running(node, incarnation) {
            return;
        }
        self.deliver_input(node, Input::Tick);
        let pause_s = self.nodes[node].controller.as_ref().map_or(1.0, Controller::wake_interval_s);
        self.send(self.now + pause_s, Some(node), Event::ControllerTick { node, incarnation });
    }

    /// Gives a controller an input and carries out what it puts out.
    pub(super) fn deliver_input(&mut self, node: usize, input: Input) {
        let now = self.now;
        let process = &mut self.nodes[node];
        let Some(controller) = &mut process.controller else { return };
        let steady_s = (now - process.started_at) * process.clock_rate;
        if let Some(digest) = &mut self.digest {
            digest.add_input(now, node, &input);
        }
        let outputs = controller.handle(steady_s, WALL_CLOCK_START_S + now, input);
        if let Some(digest) = &mut self.digest {
            outputs.iter().for_each(|output| digest.add_output(now, node, output));
        }
        for output in outputs {
            // A fault at one of its messages may have ended the process.
            if self.nodes[node].controller.is_none() {
                break;
            }
            self.execute_output(node, output);
        }
    }

    /// A request reaches a node; nothing happens if its process is not running.
    pub(super) fn request(&mut self, node: usize, requester: Requester, request: Request) {
        if self.nodes[node].controller.is_some() {
            let id = self.register_request(node, requester);
            self.deliver_input(node, Input::Request(id, request));
        }
    }

    pub(super) fn register_request(&mut self, node: usize, requester: Requester) -> RequestId {
        let process = &mut self.nodes[node];
        process.last_request += 1;
        process.requests.insert(process.last_request, requester);
        process.last_request
    }

    /// Who waited for this response, and does no longer.
    pub(super) fn take_requester(&mut self, node: usize, id: RequestId) -> Option<Requester> {
        self.nodes[node].requests.remove(&id)
    }

    /// The fencing token with which a node leads.
    pub(super) fn token(&self, node: usize) -> Option<u64> {
        self.nodes[node].token()
    }

    /// The node that leads with the highest token.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).filter(|&n| self.token(n).is_some()).max_by_key(|&n| self.token(n))
    }

    /// The fencing token of the node that leads.
    pub(super) fn newest_token(&self) -> Option<u64> {
        self.leader().and_then(|node| self.token(node))
    }

    /// Whether a node leads while another leads with a higher token.
    pub(super) fn is_replaced(&self, node: usize) -> bool {
        let newest = (0..self.nodes.len()).filter_map(|other| self.token(other)).max();
        self.token(node).is_some_and(|token| newest > Some(token))
    }

    /// Controllers whose process is running.
    pub(super) fn controllers(&self) -> impl Iterator<Item = &Controller> {
        self.nodes.iter().filter_map(|node| node.controller.as_ref())
    }
}
