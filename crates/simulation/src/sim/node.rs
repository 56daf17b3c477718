//! Controllers: their processes, the requests they receive, and the current leader.

use super::fault_injection::ZoneOutage;
use super::*;

/// Names of the controllers, by index.
pub(super) const NODE_NAMES: [&str; 5] = ["n-0", "n-1", "n-2", "n-3", "n-4"];

/// Wall-clock time, in seconds, at the start of every run.
const WALL_CLOCK_START_S: f64 = 1e9;

/// Process of one controller, and the faults of its links. Times are in simulated seconds.
pub(super) struct Node {
    /// None while the process is not running.
    pub(super) controller: Option<Controller>,
    /// Number of process starts so far.
    pub(super) incarnation: u64,
    started_at: f64,
    /// Rate of its monotonic clock relative to simulated time.
    clock_rate: f64,
    last_request: RequestId,
    /// Requesters that are waiting for a response, by request.
    requests: BTreeMap<RequestId, Requester>,
    pub(super) zone: String,
    pub(super) store_partition_until: f64,
    pub(super) workers_partition_until: f64,
    pub(super) zone_workers_partition: ZoneOutage,
    pub(super) peer_partition_until: f64,
    pub(super) store_refuses_until: f64,
    pub(super) paused_until: f64,
}

/// Party that is waiting for the response to a request.
#[derive(Clone)]
pub(super) enum Requester {
    /// Worker, with the sequence number of its heartbeat.
    Worker { machine: String, sequence: u64 },
    /// User of a job, with the number of the request.
    User { job: String, number: u64 },
    /// Controller that forwards heartbeats.
    Node(CallKey),
}

impl Node {
    /// Creates a node in `zone` whose process has not been started.
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

    /// Ends the process. Open requests to it get no response.
    pub(super) fn stop(&mut self) {
        self.controller = None;
        self.requests.clear();
    }

    /// Returns the fencing token of its leadership. None if it is not the leader.
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

    /// Returns whether this incarnation of a node's process is running.
    pub(super) fn is_running(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node].controller.is_some() && self.nodes[node].incarnation == incarnation
    }

    /// Returns the time at which a paused node resumes. None if the node is not paused.
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

    /// Passes an input to a controller and executes its outputs.
    pub(super) fn deliver_input(&mut self, node: usize, input: Input) {
        let now = self.now;
        let process = &mut self.nodes[node];
        let Some(controller) = &mut process.controller else { return };
        let monotonic_s = (now - process.started_at) * process.clock_rate;
        if let Some(digest) = &mut self.digest {
            digest.add_input(now, node, &input);
        }
        let outputs = controller.handle(monotonic_s, WALL_CLOCK_START_S + now, input);
        if let Some(digest) = &mut self.digest {
            outputs.iter().for_each(|output| digest.add_output(now, node, output));
        }
        for output in outputs {
            // A fault at one of these messages may have ended the process.
            if self.nodes[node].controller.is_none() {
                break;
            }
            self.execute_output(node, output);
        }
    }

    /// Delivers a request to a node. It is dropped if the node's process is not running.
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

    /// Removes and returns the requester that is waiting for this response.
    pub(super) fn take_requester(&mut self, node: usize, id: RequestId) -> Option<Requester> {
        self.nodes[node].requests.remove(&id)
    }

    /// Returns the fencing token of a node's leadership. None if the node is not the leader.
    pub(super) fn token(&self, node: usize) -> Option<u64> {
        self.nodes[node].token()
    }

    /// Returns the leader with the highest fencing token.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).filter(|&n| self.token(n).is_some()).max_by_key(|&n| self.token(n))
    }

    /// Returns the highest fencing token of all leaders.
    pub(super) fn newest_token(&self) -> Option<u64> {
        self.leader().and_then(|node| self.token(node))
    }

    /// Returns whether a node considers itself the leader while another one leads with a higher token.
    pub(super) fn is_replaced(&self, node: usize) -> bool {
        let newest = (0..self.nodes.len()).filter_map(|other| self.token(other)).max();
        self.token(node).is_some_and(|token| newest > Some(token))
    }

    /// Returns the controllers whose process is running.
    pub(super) fn controllers(&self) -> impl Iterator<Item = &Controller> {
        self.nodes.iter().filter_map(|node| node.controller.as_ref())
    }
}
