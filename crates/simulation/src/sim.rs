//! A seeded simulation of a deployment: several cores, the outside world's
//! stand-ins, and a network that loses, delays and holds messages.

mod border;
mod digest;
mod looks;
mod order;

pub use border::{Border, Crossing, Trouble};
pub use digest::Digest;
pub use looks::{LookCounts, LostWrite};

use crate::cloud::Cloud;
use crate::rules::{Ledger, Rule, Violation};
use crate::state::{Limits, Store};
use crate::worker::{Launch, Phase, TaskKey, Worker};
use controller::*;
use prost::Message;
use protocol::cloud::MachineType;
use protocol::job::*;
use protocol::peer::ForwardRequest;
use protocol::worker::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use settings::{Operator, Peer, Settings, Timing};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Trouble at a set time.
#[derive(Debug, Clone)]
pub enum Fault {
    Crash {
        node: usize,
        for_s: f64,
    },
    /// The node that leads then ends.
    CrashLeader {
        for_s: f64,
    },
    /// No node is served by the state service.
    StateOutage {
        for_s: f64,
    },
    /// One node alone is refused by it.
    StateRefuses {
        node: usize,
        for_s: f64,
    },
    /// Messages between a node and the state service, the workers or both
    /// are held and delivered late.
    Cut {
        node: usize,
        state: bool,
        workers: bool,
        for_s: f64,
    },
    /// The same between a node and the workers of one zone.
    WorkersCut {
        node: usize,
        zone: &'static str,
        for_s: f64,
    },
    CloudOutage {
        for_s: f64,
    },
    /// A machine hangs: its clock goes on, it does nothing.
    Hang {
        nth: usize,
        for_s: f64,
    },
    /// A machine's reports arrive, but answers and commands do not reach it.
    Deaf {
        nth: usize,
        for_s: f64,
    },
    /// The same for one machine in three of a zone.
    DeafZone {
        zone: &'static str,
        for_s: f64,
    },
    /// Copies of reports arrive once more, at any node, up to that much later.
    Copies {
        late_s: f64,
        for_s: f64,
    },
    /// That share of transactions gets no answer and is carried out 2 to 12 s later, whatever
    /// came since.
    LateWrites {
        share: f64,
        for_s: f64,
    },
    /// That share of transactions is carried out at once, but their answers are lost.
    LostAnswers {
        share: f64,
        for_s: f64,
    },
    /// Copies of a third of the reports are kept for the next leader: they reach every node that long
    /// after it has begun.
    CopiesForNext {
        after_s: f64,
        for_s: f64,
    },
    /// A machine reaches no controller, while direct commands reach it.
    Mute {
        nth: usize,
        for_s: f64,
    },
    /// The same for one machine in three of a zone.
    MuteZone {
        zone: &'static str,
        for_s: f64,
    },
    /// New machines are up within two seconds.
    FastBoots {
        for_s: f64,
    },
    /// Users cancel so many jobs that run and have long to go, within a fifth of a second; up to eight
    /// of their machines hang that long.
    CancelNow {
        count: usize,
        hang_s: f64,
    },
    /// That share of the jobs that end is cancelled at the moment of the end.
    CancelAtEnd {
        share: f64,
        for_s: f64,
    },
    /// Users repeat submissions of unfinished jobs, cancel jobs that are done, and send jobs that
    /// fit no machine or lack a field.
    OddRequests {
        for_s: f64,
    },
    /// Users ask at all nodes within milliseconds after a job was accepted, ended or
    /// cancelled, and repeat the submission; some cancel at once.
    CloseLooks {
        for_s: f64,
    },
    /// The state service takes up to that much longer, each way.
    SlowState {
        by_s: f64,
        for_s: f64,
    },
    /// Half of the commands and answers to workers are held up for up to that much longer.
    HeldAnswers {
        by_s: f64,
        for_s: f64,
    },
    /// A controller has only its workers left: neither the state service nor the others.
    Alone {
        node: usize,
        for_s: f64,
    },
    /// A machine is gone without notice.
    Take {
        nth: usize,
    },
    /// A machine takes that long to fetch a job's image.
    SlowFetch {
        nth: usize,
        fetch_s: f64,
    },
    /// A machine fails every task that it starts.
    Sick {
        nth: usize,
    },
    /// A controller does nothing for a while; what reaches it waits.
    Silent {
        node: usize,
        for_s: f64,
    },
    /// Connections between controllers are refused.
    PeersRefuse {
        for_s: f64,
    },
    /// Messages between one controller and the others are held and delivered
    /// late.
    PeersCut {
        node: usize,
        for_s: f64,
    },
    /// All messages into a zone and out of it are held and delivered late.
    ZoneCut {
        zone: &'static str,
        for_s: f64,
    },
    /// Workers go to another node with every report, for no reason.
    Wander {
        for_s: f64,
    },
    /// The state service's limits fall without notice, to what the settings announce.
    LimitsFall,
    /// Users ask many times as often, and for jobs that nobody submitted.
    Polls {
        factor: f64,
        for_s: f64,
    },
}

impl Fault {
    /// How long it is there; what starts anew afterwards has its own time.
    fn lasts_s(&self) -> f64 {
        match self {
            Fault::Crash { for_s, .. }
            | Fault::CrashLeader { for_s }
            | Fault::StateOutage { for_s }
            | Fault::StateRefuses { for_s, .. }
            | Fault::Cut { for_s, .. }
            | Fault::WorkersCut { for_s, .. }
            | Fault::CloudOutage { for_s }
            | Fault::Hang { for_s, .. }
            | Fault::Deaf { for_s, .. }
            | Fault::DeafZone { for_s, .. }
            | Fault::Alone { for_s, .. }
            | Fault::Silent { for_s, .. }
            | Fault::PeersRefuse { for_s }
            | Fault::PeersCut { for_s, .. }
            | Fault::ZoneCut { for_s, .. }
            | Fault::Wander { for_s }
            | Fault::Mute { for_s, .. }
            | Fault::MuteZone { for_s, .. }
            | Fault::FastBoots { for_s }
            | Fault::LostAnswers { for_s, .. }
            | Fault::CancelAtEnd { for_s, .. }
            | Fault::OddRequests { for_s }
            | Fault::CloseLooks { for_s }
            | Fault::CancelNow { hang_s: for_s, .. }
            | Fault::Polls { for_s, .. } => *for_s,
            Fault::LateWrites { for_s, .. } => LATEST_WRITE_S + for_s,
            Fault::SlowState { by_s, for_s } | Fault::HeldAnswers { by_s, for_s } => by_s * 2.0 + for_s,
            Fault::Copies { late_s, for_s } => late_s + for_s,
            Fault::CopiesForNext { after_s, for_s } => after_s + for_s,
            Fault::Take { .. } | Fault::SlowFetch { .. } | Fault::Sick { .. } | Fault::LimitsFall => 0.0,
        }
    }
}

/// Once all troubles are over, a job about which no question is answered for that long
/// counts as forgotten (the operators' figure).
const FORGOTTEN_S: f64 = 75.0;

/// When late transactions are carried out at the latest (the operators' figure).
const LATEST_WRITE_S: f64 = 12.0;

pub struct Setup {
    /// Controllers, up to five.
    pub nodes: usize,
    pub settings: Settings,
    pub types: Vec<MachineType>,
    pub capacity: usize,
    pub jobs: Vec<(f64, JobSpec, Option<f64>)>,
    /// Jobs submitted with a mistake: their tasks fail on every machine.
    pub broken: BTreeSet<String>,
    pub faults: Vec<(f64, Fault)>,
    pub seed: u64,
    pub loss: f64,
    /// How long nodes wait for the reply to a relay; None: as derived.
    pub relay_timeout_s: Option<f64>,
    pub guards: SafetyChecks,
}

enum Ev {
    Tick(usize, u64),
    StateArrives(usize, u64, CallId, StoreRequest),
    /// A transaction whose sender gets no answer; late or at once.
    LateWrite(usize, u64, CallId, StoreRequest),
    CloudArrives(usize, u64, CallId, CloudRequest),
    DoArrives(usize, u64, CallId, String, DirectCommands),
    RelayArrives(usize, u64, CallId, usize, ForwardRequest),
    Views,
    Reply(usize, u64, Input),
    GiveUp(usize, u64, CallId, Input),
    Work(String),
    ReportArrives(String, u64, usize, Vec<u8>),
    AnswerArrives(String, u64, usize, HttpResponse),
    ReportGivenUp(String, u64),
    User(String),
    UserArrives(String, u64, usize, Request),
    UserAnswer(String, u64, HttpResponse),
    UserGivesUp(String, u64),
    Fault(usize),
    World,
}

struct Entry(f64, u64, Ev);
impl PartialEq for Entry {
    fn eq(&self, o: &Self) -> bool {
        self.0 == o.0 && self.1 == o.1
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, o: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Entry {
    fn cmp(&self, o: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&o.0).then(self.1.cmp(&o.1))
    }
}

struct Node {
    core: Option<Controller>,
    incarnation: u64,
    started: f64,
    /// This node's steady clock against true time.
    rate: f64,
    next_request: RequestId,
    asked: BTreeMap<RequestId, Asker>,
    cut_state: f64,
    cut_workers: f64,
    /// The same for the workers of one zone.
    cut_zone: (f64, &'static str),
    cut_peers: f64,
    refused: f64,
    silent: f64,
    zone: String,
}

#[derive(Clone)]
enum Asker {
    Worker(String, u64),
    User(String, u64),
    Node(usize, u64, CallId),
}

struct Watch {
    node: usize,
    incarnation: u64,
    call: CallId,
    op: StoreRequest,
    until: f64,
}

/// One user, with one request at a time.
struct User {
    cancel_at: Option<f64>,
    asked: u64,
    asked_at: f64,
    waiting: bool,
    over: bool,
}

pub struct Simulation {
    pub now: f64,
    pub ledger: Ledger,
    pub starts: u64,
    /// Transactions that failed on a condition.
    pub conflicts: u64,
    /// Changes sent to the state service, and commands sent straight to workers.
    pub changes: u64,
    pub direct_calls: u64,
    /// Machines that a controller deleted, with when.
    pub deleted: Vec<(f64, String)>,
    /// Machines that a leader would still give work to, long after they were gone.
    pub ghosts: BTreeSet<String>,
    /// Machines given up as silent that had been answered within their lease and
    /// did not hang.
    pub given_up_alive: BTreeSet<String>,
    /// Those that were looked at for that, by node and token.
    judged: BTreeSet<(usize, u64, String)>,
    /// Calls to the cloud by leaders that had been replaced.
    pub stray_calls: u64,
    /// Longest time that a replaced leader took itself for the leader.
    pub rivals_s: f64,
    rivals_since: Option<f64>,
    /// When each worker last took an answer.
    answered_at: BTreeMap<String, f64>,
    /// When machines were gone.
    gone: BTreeMap<String, f64>,
    /// Longest time without a node that answers reports.
    pub leaderless_s: f64,
    last_lead: f64,
    settings: Settings,
    guards: SafetyChecks,
    faults: Vec<Fault>,
    loss: f64,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<Entry>>,
    count: u64,
    nodes: Vec<Node>,
    store: Store,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    watches: Vec<Watch>,
    open: BTreeMap<(usize, u64, CallId), u8>,
    users: BTreeMap<String, User>,
    state_down: f64,
    cloud_down: f64,
    broken: BTreeSet<String>,
    /// Machines that a controller took for faulty.
    pub quarantined: BTreeSet<String>,
    /// Tasks that failed.
    pub failures: u64,
    /// Until when polls come more often, and how many times.
    flood: (f64, f64),
    relay_timeout_s: f64,
    /// When all troubles are over.
    quiet_from: f64,
    format_said: Option<u32>,
    /// The answer to what was submitted outside the users' course.
    by_hand: Option<HttpResponse>,
    peers_refused: f64,
    zone_cut: (f64, &'static str),
    wander: f64,
    /// Until when reports are copied, and how late the copies come at most.
    copies: (f64, f64),
    /// Until when transactions are late, and which share.
    late_writes: (f64, f64),
    /// Until when the state service, and messages to workers, take longer, and by how much.
    slow_state: (f64, f64),
    held_answers: (f64, f64),
    /// The newest transaction of each node that was applied, by start and call.
    applied_writes: Vec<(u64, CallId)>,
    /// Transactions that were carried out, or failed, after a newer one of the same node.
    pub overtaken: u64,
    /// Until when only the answers of transactions are lost, and of which share.
    lost_answers: (f64, f64),
    /// Those that were carried out.
    pub lost_writes: Vec<LostWrite>,
    /// Until when new machines are up at once.
    fast_boots: f64,
    /// What users ask beside their own course.
    looks: looks::Looks,
    /// Reports that are kept for the next leader.
    kept: order::Kept,
    /// Work that waits beside room.
    idle: order::Idle,
    /// What strikes at which message; None: nothing is numbered.
    interference: Option<border::Interference>,
    /// Of what goes into the cores and comes out of them; None: none is taken.
    digest: Option<Digest>,
    /// Tasks that began after their job's cancellation had been told, with machine and when.
    pub late_starts: Vec<(f64, TaskKey, String)>,
    /// Relays between controllers, the reports in them and their bytes, and
    /// reports that workers sent.
    pub relays: u64,
    pub relayed: u64,
    pub relay_bytes: u64,
    pub reports: u64,
}

const NODE_NAMES: [&str; 5] = ["n-0", "n-1", "n-2", "n-3", "n-4"];

impl Simulation {
    pub fn new(setup: Setup) -> Self {
        let mut rng = SmallRng::seed_from_u64(setup.seed);
        let zones = &setup.types[0].zones;
        let nodes = (0..setup.nodes)
            .map(|n| Node {
                core: None,
                incarnation: 0,
                started: 0.0,
                rate: 1.0 + rng.gen_range(-0.0005..0.0005),
                next_request: 0,
                asked: BTreeMap::new(),
                cut_state: 0.0,
                cut_workers: 0.0,
                cut_zone: (0.0, ""),
                cut_peers: 0.0,
                refused: 0.0,
                silent: 0.0,
                zone: zones[n % zones.len()].clone(),
            })
            .collect();
        let lag = setup.settings.params.cloud.list_lag_s;
        let ledger = Ledger { cancel_s: setup.settings.params.workers.cancel_s, ..Ledger::default() };
        let state = &setup.settings.params.store;
        let mut store = Store::default();
        store.limit(Limits {
            value_bytes: (state.value_kb * 1024.0) as usize,
            txn_ops: state.txn_ops,
            write_rps: f64::MAX,
        });
        let usual = Timing::from(&setup.settings).forward_timeout_s;
        let relay_timeout_s = setup.relay_timeout_s.unwrap_or(usual);
        let mut sim = Simulation {
            now: 0.0,
            ledger,
            starts: 0,
            conflicts: 0,
            changes: 0,
            direct_calls: 0,
            deleted: Vec::new(),
            ghosts: BTreeSet::new(),
            given_up_alive: BTreeSet::new(),
            judged: BTreeSet::new(),
            stray_calls: 0,
            rivals_s: 0.0,
            rivals_since: None,
            answered_at: BTreeMap::new(),
            gone: BTreeMap::new(),
            leaderless_s: 0.0,
            last_lead: 0.0,
            guards: setup.guards,
            faults: Vec::new(),
            loss: setup.loss,
            rng,
            queue: BinaryHeap::new(),
            count: 0,
            nodes,
            store,
            cloud: Cloud::new(setup.types, setup.capacity, lag),
            workers: BTreeMap::new(),
            watches: Vec::new(),
            open: BTreeMap::new(),
            users: BTreeMap::new(),
            state_down: 0.0,
            cloud_down: 0.0,
            broken: setup.broken,
            quarantined: BTreeSet::new(),
            failures: 0,
            flood: (0.0, 1.0),
            relay_timeout_s,
            quiet_from: 0.0,
            format_said: None,
            by_hand: None,
            peers_refused: 0.0,
            zone_cut: (0.0, ""),
            wander: 0.0,
            copies: (0.0, 0.0),
            late_writes: (0.0, 0.0),
            slow_state: (0.0, 0.0),
            held_answers: (0.0, 0.0),
            applied_writes: vec![(0, 0); setup.nodes],
            overtaken: 0,
            lost_answers: (0.0, 0.0),
            lost_writes: Vec::new(),
            fast_boots: 0.0,
            looks: looks::Looks::default(),
            kept: order::Kept::default(),
            idle: order::Idle::default(),
            interference: None,
            digest: None,
            late_starts: Vec::new(),
            relays: 0,
            relayed: 0,
            relay_bytes: 0,
            reports: 0,
            settings: setup.settings,
        };
        for (at, spec, cancel_at) in setup.jobs {
            let id = spec.id.clone();
            sim.users
                .insert(id.clone(), User { cancel_at, asked: 0, asked_at: 0.0, waiting: false, over: false });
            sim.ledger.specs.insert(id.clone(), spec);
            sim.push(at, Ev::User(id));
        }
        for (at, f) in setup.faults {
            sim.quiet_from = sim.quiet_from.max(at + f.lasts_s());
            sim.faults.push(f);
            sim.push(at, Ev::Fault(sim.faults.len() - 1));
        }
        for n in 0..setup.nodes {
            sim.start(n);
        }
        sim.push(0.0, Ev::World);
        sim.push(0.5, Ev::Views);
        sim
    }

    fn push(&mut self, at: f64, ev: Ev) {
        self.count += 1;
        self.queue.push(Reverse(Entry(at.max(self.now), self.count, ev)));
    }

    fn start(&mut self, n: usize) {
        let mut s = self.settings.clone();
        s.node = NODE_NAMES[n].to_string();
        s.zone.clone_from(&self.nodes[n].zone);
        let peer = |name: &&str| Peer { node: (*name).into(), zone: String::new(), addr: s.peer_addr };
        s.peers = NODE_NAMES[..self.nodes.len()].iter().filter(|m| **m != s.node).map(peer).collect();
        let mut core = Controller::new(s, Operator::default(), self.rng.gen());
        core.set_safety_checks(self.guards);
        let node = &mut self.nodes[n];
        node.core = Some(core);
        node.incarnation += 1;
        node.started = self.now;
        node.asked.clear();
        let inc = node.incarnation;
        self.push(self.now + 0.01, Ev::Tick(n, inc));
    }

    fn alive(&self, n: usize, inc: u64) -> bool {
        self.nodes[n].core.is_some() && self.nodes[n].incarnation == inc
    }

    fn delay(&mut self) -> f64 {
        self.rng.gen_range(0.001..0.01)
            + if self.rng.gen_bool(0.02) { self.rng.gen_range(0.0..0.4) } else { 0.0 }
    }

    /// When a message gets through a link that is cut until `until`.
    fn through(&mut self, until: f64) -> Option<f64> {
        let d = self.delay();
        if self.now < until {
            return Some(until + d);
        }
        let lost = self.rng.gen_bool(self.loss);
        (!lost).then_some(self.now + d)
    }

    fn feed(&mut self, n: usize, input: Input) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let Some(core) = &mut node.core else { return };
        let steady = (now - node.started) * node.rate;
        if let Some(digest) = &mut self.digest {
            digest.input(now, n, &input);
        }
        let out = core.handle(steady, 1e9 + now, input);
        if let Some(digest) = &mut self.digest {
            out.iter().for_each(|o| digest.output(now, n, o));
        }
        for o in out {
            // It may have ended at one of them.
            if self.nodes[n].core.is_none() {
                break;
            }
            self.carry_out(n, o);
        }
    }

    fn open_call(&mut self, n: usize, call: CallId, timeout: f64, unknown: Input) {
        let inc = self.nodes[n].incarnation;
        self.open.insert((n, inc, call), 0);
        self.push(self.now + timeout, Ev::GiveUp(n, inc, call, unknown));
    }

    fn carry_out(&mut self, n: usize, o: Output) {
        let inc = self.nodes[n].incarnation;
        match o {
            Output::Response(id, answer) => {
                let Some(asker) = self.nodes[n].asked.remove(&id) else { return };
                match asker {
                    Asker::Node(..) => {}
                    Asker::Worker(vm, seq) => {
                        let cut = self.worker_cut(&vm, n);
                        let held = self.hold_up();
                        if let Some(at) = self.through(cut).map(|at| at + held) {
                            self.send(at, Some(n), Ev::AnswerArrives(vm, seq, n, answer));
                        }
                    }
                    Asker::User(id, asked) => {
                        let d = self.delay();
                        self.send(self.now + d, Some(n), Ev::UserAnswer(id, asked, answer));
                    }
                }
            }
            Output::Store(call, op) => {
                if let StoreRequest::Commit(txn) = &op {
                    self.changes += txn.mutations.len() as u64;
                }
                let wait = match &op {
                    StoreRequest::Watch { wait_ms, .. } => *wait_ms as f64 / 1000.0,
                    _ => 0.0,
                };
                self.open_call(n, call, 1.5 + wait, Input::Store(call, StoreReply::Unknown));
                let late = self.now < self.late_writes.0 && matches!(op, StoreRequest::Commit(_));
                if late && self.rng.gen_bool(self.late_writes.1) {
                    let at = self.now + self.rng.gen_range(2.0..LATEST_WRITE_S);
                    return self.send(at, Some(n), Ev::LateWrite(n, inc, call, op));
                }
                let cut = self.state_cut(n);
                let slow = self.slow_down();
                let served = self.now >= self.state_down.max(self.nodes[n].refused);
                let lost = self.now < self.lost_answers.0 && served && matches!(op, StoreRequest::Commit(_));
                if lost && self.rng.gen_bool(self.lost_answers.1) {
                    let at = self.through(cut).unwrap_or(self.now);
                    return self.send(at + slow, Some(n), Ev::LateWrite(n, inc, call, op));
                }
                if let Some(at) = self.through(cut) {
                    self.send(at + slow, Some(n), Ev::StateArrives(n, inc, call, op));
                }
            }
            Output::Cloud(call, op) => {
                self.stray_calls += u64::from(self.replaced(n));
                self.open_call(n, call, 5.0, Input::Cloud(call, CloudReply::Unknown));
                if let Some(at) = self.through(0.0) {
                    self.send(at + 0.1, Some(n), Ev::CloudArrives(n, inc, call, op));
                }
            }
            Output::Forward(call, node, request) => {
                self.relays += 1;
                self.relayed += request.entries.len() as u64;
                self.relay_bytes += request.encoded_len() as u64;
                let timeout = self.relay_timeout_s;
                self.open_call(n, call, timeout, Input::ForwardReply(call, None));
                let Some(to) = NODE_NAMES.iter().position(|m| *m == node) else { return };
                if self.now < self.peers_refused {
                    return self.reply(n, inc, Input::ForwardReply(call, None), 0.0, None);
                }
                if let Some(at) = self.through(self.peer_cut(n, to)) {
                    self.send(at, Some(n), Ev::RelayArrives(n, inc, call, to, request));
                }
            }
            Output::ForwardReply(id, reply) => {
                let Some(Asker::Node(to, inc, call)) = self.nodes[n].asked.remove(&id) else { return };
                self.relay_bytes += reply.encoded_len() as u64;
                let cut = self.peer_cut(n, to);
                self.reply(to, inc, Input::ForwardReply(call, Some(reply)), cut, Some(n));
            }
            Output::Worker(call, addr, body) => {
                self.direct_calls += 1;
                self.open_call(n, call, 2.0, Input::Worker(call, WorkerReply::Failed));
                let cut = self.addr_cut(&addr, n);
                let held = self.hold_up();
                if let Some(at) = self.through(cut).map(|at| at + held) {
                    self.send(at, Some(n), Ev::DoArrives(n, inc, call, addr, body));
                }
            }
        }
    }

    /// How much longer a message to a worker takes.
    fn hold_up(&mut self) -> f64 {
        let (until, by) = self.held_answers;
        if self.now < until && self.rng.gen_bool(0.5) {
            return self.rng.gen_range(0.0..by);
        }
        0.0
    }

    /// How much longer one way to or from the state service takes.
    fn slow_down(&mut self) -> f64 {
        let (until, by) = self.slow_state;
        if self.now < until {
            return self.rng.gen_range(0.0..by);
        }
        0.0
    }

    fn token(&self, n: usize) -> Option<u64> {
        self.nodes[n].core.as_ref().and_then(Controller::token)
    }

    /// The node that leads with the highest token.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).filter(|&n| self.token(n).is_some()).max_by_key(|&n| self.token(n))
    }

    /// Whether the leader has read all records.
    pub fn has_loaded(&self) -> bool {
        let core = self.leader().and_then(|n| self.nodes[n].core.as_ref());
        core.is_some_and(Controller::has_recovered)
    }

    /// Whether a node leads while another leads with a higher token.
    fn replaced(&self, n: usize) -> bool {
        let newest = (0..self.nodes.len()).filter_map(|m| self.token(m)).max();
        self.token(n).is_some_and(|t| newest > Some(t))
    }

    fn inside(&self, zone: &str) -> bool {
        self.now < self.zone_cut.0 && zone == self.zone_cut.1
    }

    /// Until when the link between a worker and a node is cut.
    fn worker_cut(&self, vm: &str, n: usize) -> f64 {
        let zone = self.workers.get(vm).map_or("", |w| &w.place.zone);
        let apart = self.inside(zone) != self.inside(&self.nodes[n].zone);
        let (until, there) = self.nodes[n].cut_zone;
        let own = self.nodes[n].cut_workers.max(if there == zone { until } else { 0.0 });
        own.max(if apart { self.zone_cut.0 } else { 0.0 })
    }

    fn addr_cut(&self, addr: &str, n: usize) -> f64 {
        let vm = self.workers.values().find(|w| w.place.addr.as_deref() == Some(addr));
        vm.map_or(self.nodes[n].cut_workers, |w| self.worker_cut(&w.place.id, n))
    }

    fn state_cut(&self, n: usize) -> f64 {
        let zone = if self.inside(&self.nodes[n].zone) { self.zone_cut.0 } else { 0.0 };
        self.nodes[n].cut_state.max(zone)
    }

    fn peer_cut(&self, a: usize, b: usize) -> f64 {
        let (x, y) = (&self.nodes[a], &self.nodes[b]);
        let apart = self.inside(&x.zone) != self.inside(&y.zone);
        x.cut_peers.max(y.cut_peers).max(if apart { self.zone_cut.0 } else { 0.0 })
    }

    /// The controllers tell one another what they see.
    fn views(&mut self) {
        let idle = |n: &Node, now: f64| n.core.is_none() || now < n.silent;
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                let cut = self.now < self.peer_cut(a, b).max(self.peers_refused);
                if a == b || cut || idle(&self.nodes[a], self.now) || idle(&self.nodes[b], self.now) {
                    continue;
                }
                if let Some(mut view) = self.nodes[a].core.as_ref().map(Controller::view_for_peers) {
                    view.format = self.format_said.map_or(view.format, |f| f.min(view.format));
                    self.feed(b, Input::PeerView(view));
                }
            }
        }
    }

    /// `from`: the node that replies, if it is one.
    fn reply(&mut self, n: usize, inc: u64, input: Input, cut: f64, from: Option<usize>) {
        if let Some(at) = self.through(cut) {
            self.send(at, from, Ev::Reply(n, inc, input));
        }
    }

    /// Runs until `end`, or until a rule is broken.
    pub fn run(&mut self, end: f64) -> &[Violation] {
        while let Some(Reverse(Entry(at, _, ev))) = self.queue.pop() {
            if at > end {
                self.push(at, ev);
                self.now = end;
                break;
            }
            self.now = at;
            self.step(ev);
            if !self.ledger.broken.is_empty() {
                break;
            }
        }
        &self.ledger.broken
    }

    fn step(&mut self, ev: Ev) {
        let node = match &ev {
            Ev::Tick(n, ..) | Ev::Reply(n, ..) | Ev::GiveUp(n, ..) => Some(*n),
            Ev::ReportArrives(_, _, n, _) | Ev::UserArrives(_, _, n, _) => Some(*n),
            Ev::RelayArrives(_, _, _, n, _) => Some(*n),
            _ => None,
        };
        if let Some(n) = node.filter(|&n| self.now < self.nodes[n].silent) {
            return self.push(self.nodes[n].silent, ev);
        }
        match ev {
            Ev::Tick(n, inc) => {
                if self.alive(n, inc) {
                    self.feed(n, Input::Tick);
                    let pause = self.nodes[n].core.as_ref().map_or(1.0, Controller::wake_interval_s);
                    self.send(self.now + pause, Some(n), Ev::Tick(n, inc));
                }
            }
            Ev::StateArrives(n, inc, call, op) => self.state_arrives(n, inc, call, op),
            Ev::LateWrite(n, inc, call, op) => {
                if self.now < self.state_down {
                    return;
                }
                let before = self.store.revision;
                self.store.execute(self.now, &op);
                self.note_lost(n, &op, before);
                self.overtaken += u64::from(self.applied_writes[n] > (inc, call));
                if self.store.revision != before {
                    self.wake_watches();
                }
            }
            Ev::CloudArrives(n, inc, call, op) => {
                let r = if self.now < self.cloud_down {
                    CloudReply::Refused
                } else {
                    let late = self.rng.gen_range(1.0..2.0);
                    let fast = self.now < self.fast_boots;
                    let boot = if fast { 0.2..2.0 } else { 2.0..12.0 };
                    let boot = self.rng.gen_range(boot);
                    self.cloud.execute(self.now, &op, late, boot)
                };
                let now = self.now;
                self.deleted.extend(self.cloud.deleted.iter().map(|id| (now, id.clone())));
                self.drop_deleted();
                self.reply(n, inc, Input::Cloud(call, r), 0.0, None);
            }
            Ev::DoArrives(n, inc, call, addr, body) => self.do_arrives(n, inc, call, &addr, &body),
            Ev::Reply(n, inc, input) => {
                let call = match &input {
                    Input::Store(c, _) | Input::Cloud(c, _) | Input::Worker(c, _) => *c,
                    Input::ForwardReply(c, _) => *c,
                    _ => 0,
                };
                if self.open.remove(&(n, inc, call)).is_some() && self.alive(n, inc) {
                    self.feed(n, input);
                }
            }
            Ev::GiveUp(n, inc, call, input) => {
                if self.open.remove(&(n, inc, call)).is_some() && self.alive(n, inc) {
                    self.feed(n, input);
                }
            }
            Ev::RelayArrives(n, inc, call, to, request) => {
                if self.nodes[to].core.is_some() {
                    let id = self.asked(to, Asker::Node(n, inc, call));
                    self.feed(to, Input::ForwardRequest(id, request));
                }
            }
            Ev::Views => {
                self.views();
                let every = Timing::from(&self.settings).renewal_interval_s;
                self.push(self.now + every, Ev::Views);
            }
            Ev::Work(vm) => self.work(&vm),
            Ev::ReportArrives(vm, seq, n, body) => {
                if self.nodes[n].core.is_some() {
                    self.ask(n, Asker::Worker(vm, seq), Request::Heartbeat(body));
                }
            }
            Ev::AnswerArrives(vm, seq, n, a) => self.answer_arrives(&vm, seq, n, &a),
            Ev::ReportGivenUp(vm, seq) => {
                let nodes = self.nodes.len();
                if let Some(w) = self.workers.get_mut(&vm) {
                    if w.in_flight.is_some_and(|f| f.0 == seq) {
                        w.in_flight = None;
                        w.node = (w.node + 1) % nodes;
                        w.next_report = self.now + 1.0;
                    }
                }
            }
            Ev::User(id) => self.user_acts(&id),
            Ev::UserArrives(id, asked, n, r) => {
                if self.nodes[n].core.is_some() {
                    self.ask(n, Asker::User(id, asked), r);
                }
            }
            Ev::UserAnswer(id, asked, a) => self.user_answer(&id, asked, &a),
            Ev::UserGivesUp(id, asked) => {
                if let Some(u) = self.users.get_mut(&id).filter(|u| u.waiting && u.asked == asked) {
                    u.waiting = false;
                    self.push(self.now + 1.0, Ev::User(id));
                }
            }
            Ev::Fault(i) => self.fault(i),
            Ev::World => {
                self.world();
                self.push(self.now + 0.1, Ev::World);
            }
        }
    }

    fn asked(&mut self, n: usize, asker: Asker) -> RequestId {
        let node = &mut self.nodes[n];
        node.next_request += 1;
        node.asked.insert(node.next_request, asker);
        node.next_request
    }

    fn ask(&mut self, n: usize, asker: Asker, r: Request) {
        let id = self.asked(n, asker);
        self.feed(n, Input::Request(id, r));
    }

    fn state_arrives(&mut self, n: usize, inc: u64, call: CallId, op: StoreRequest) {
        let cut = self.state_cut(n);
        let is_watch = matches!(op, StoreRequest::Watch { .. });
        if self.now < self.state_down || self.now < self.nodes[n].refused {
            // Open watches wait; what comes anew is refused.
            return self.reply(n, inc, Input::Store(call, StoreReply::Refused), cut, None);
        }
        let before = self.store.revision;
        match self.store.execute(self.now, &op) {
            Some(r) => {
                self.conflicts += u64::from(matches!(r, StoreReply::Conflict(_)));
                if matches!(r, StoreReply::Committed(_)) {
                    self.applied_writes[n] = self.applied_writes[n].max((inc, call));
                }
                let slow = self.slow_down();
                if let Some(at) = self.through(cut) {
                    self.send(at + slow, None, Ev::Reply(n, inc, Input::Store(call, r)));
                }
            }
            None if is_watch => {
                let StoreRequest::Watch { wait_ms, .. } = &op else { return };
                let until = self.now + *wait_ms as f64 / 1000.0;
                self.watches.push(Watch { node: n, incarnation: inc, call, op, until });
            }
            None => {}
        }
        if self.store.revision != before {
            self.wake_watches();
        }
    }

    fn wake_watches(&mut self) {
        for w in std::mem::take(&mut self.watches) {
            let held = self.now < self.state_down || self.now < self.nodes[w.node].refused;
            let reply = if held {
                None
            } else {
                let r = self.store.execute(self.now, &w.op);
                r.or_else(|| (self.now >= w.until).then(|| self.store.quiet()))
            };
            match reply {
                Some(r) => {
                    let cut = self.state_cut(w.node);
                    self.reply(w.node, w.incarnation, Input::Store(w.call, r), cut, None);
                }
                None => self.watches.push(w),
            }
        }
    }

    fn launch_of(&mut self, job: &str) -> Option<Launch> {
        self.ledger.submitted.contains(job).then(|| Launch { fetch_s: self.rng.gen_range(0.5..4.0) })
    }

    fn execute(&mut self, vm: &str, commands: &[Command]) {
        for c in commands {
            let launch = split_task(&c.task).and_then(|(j, _)| self.launch_of(j));
            let now = self.now;
            if let Some(w) = self.workers.get_mut(vm) {
                let job = split_task(&c.task).map_or("", |(j, _)| j);
                let slow = w.fetch_s.filter(|_| !w.fetched.contains(job));
                let launch = launch.map(|l| Launch { fetch_s: slow.unwrap_or(l.fetch_s) });
                w.command(now, c, launch);
            }
        }
        let at = self.workers.get(vm).map(|w| w.next_report);
        if let Some(at) = at {
            self.push(at, Ev::Work(vm.to_string()));
        }
    }

    fn do_arrives(&mut self, n: usize, inc: u64, call: CallId, addr: &str, body: &DirectCommands) {
        let vm =
            self.workers.values().find(|w| w.place.addr.as_deref() == Some(addr)).map(|w| w.place.id.clone());
        let Some(vm) = vm else { return };
        let lease_s = self.settings.params.workers.lease_s;
        let now = self.now;
        let Some(w) = self.workers.get_mut(&vm) else { return };
        if now < w.deaf_until {
            return;
        }
        if now < w.hung_until {
            let at = w.hung_until;
            return self.push(at, Ev::DoArrives(n, inc, call, addr.to_string(), body.clone()));
        }
        w.expire(now, lease_s);
        let executed = body.fencing_token >= w.token && body.epoch == w.session;
        w.see_token(body.fencing_token, now, lease_s);
        if executed {
            self.execute(&vm, &body.commands);
        }
        let Some(w) = self.workers.get_mut(&vm) else { return };
        let report = Box::new(w.report());
        let cut = self.worker_cut(&vm, n);
        self.reply(n, inc, Input::Worker(call, WorkerReply::Heartbeat { executed, report }), cut, None);
    }

    fn answer_arrives(&mut self, vm: &str, seq: u64, n: usize, a: &HttpResponse) {
        let lease_s = self.settings.params.workers.lease_s;
        let (now, nodes) = (self.now, self.nodes.len());
        let Some(w) = self.workers.get_mut(vm) else { return };
        if now < w.deaf_until {
            return;
        }
        if now < w.hung_until {
            let at = w.hung_until;
            return self.push(at, Ev::AnswerArrives(vm.to_string(), seq, n, a.clone()));
        }
        let Some((_, session, sent)) = w.in_flight.filter(|f| f.0 == seq) else { return };
        w.in_flight = None;
        w.expire(now, lease_s);
        if session != w.session {
            return;
        }
        match a.status {
            200 => {
                let Ok(answer) = protocol::decode::<HeartbeatResponse>(&a.body) else { return };
                if answer.fencing_token < w.token {
                    return;
                }
                w.see_token(answer.fencing_token, now, lease_s);
                w.renewed = w.renewed.max(sent);
                self.answered_at.insert(vm.to_string(), now);
                self.execute(vm, &answer.commands);
            }
            421 => {
                let to = protocol::decode::<Redirect>(&a.body).ok().and_then(|r| r.report_to);
                let known = to.and_then(|t| NODE_NAMES.iter().position(|n| *n == t)).filter(|&t| t != n);
                w.next_report = now + if known.is_some() { 0.2 } else { 1.0 };
                w.node = known.unwrap_or((w.node + 1) % nodes);
            }
            _ => {
                w.node = (w.node + 1) % nodes;
                w.next_report = now + 1.0;
            }
        }
        let at = self.workers[vm].next_report;
        self.push(at, Ev::Work(vm.to_string()));
    }

    /// A worker's turn: its lease, then its report.
    fn work(&mut self, vm: &str) {
        let p = self.settings.params.workers.clone();
        let now = self.now;
        let jitter = self.rng.gen_range(0.75..1.25);
        let Some(w) = self.workers.get_mut(vm) else { return };
        if now < w.hung_until {
            let at = w.hung_until;
            return self.push(at, Ev::Work(vm.to_string()));
        }
        w.expire(now, p.lease_s);
        if w.in_flight.is_some() || now + 1e-9 < w.next_report {
            return;
        }
        let report = w.report();
        w.in_flight = Some((w.seq, w.session, now));
        w.last_report = now;
        w.next_report = now + p.heartbeat_interval_s * jitter;
        if now < self.wander {
            w.node = (w.node + 1) % self.nodes.len();
        }
        let (seq, node, next, mute) = (w.seq, w.node, w.next_report, now < w.mute_until);
        self.reports += 1;
        if now < self.copies.0 && self.rng.gen_bool(0.3) {
            let late = now + self.rng.gen_range(1.0..self.copies.1);
            let to = self.rng.gen_range(0..self.nodes.len());
            self.push(late, Ev::ReportArrives(vm.to_string(), u64::MAX, to, protocol::encode(&report)));
        }
        self.keep_copy(vm, &report);
        let cut = self.worker_cut(vm, node);
        if !mute {
            if let Some(at) = self.through(cut) {
                self.send(at, None, Ev::ReportArrives(vm.to_string(), seq, node, protocol::encode(&report)));
            }
        }
        self.push(now + 4.0, Ev::ReportGivenUp(vm.to_string(), seq));
        self.push(next, Ev::Work(vm.to_string()));
    }

    fn drop_deleted(&mut self) {
        for id in std::mem::take(&mut self.cloud.deleted) {
            self.workers.remove(&id);
            self.gone.entry(id).or_insert(self.now);
        }
    }

    /// Progress of everything that is not a message.
    fn world(&mut self) {
        let now = self.now;
        if now >= self.state_down {
            self.store.expire(now);
        }
        self.wake_watches();
        self.cloud.snapshot(now);
        let booted: Vec<_> = self
            .cloud
            .machines
            .values()
            .filter(|m| now >= m.up_at && !self.workers.contains_key(&m.listed.id))
            .map(|m| m.listed.clone())
            .collect();
        for place in booted {
            let id = place.id.clone();
            let node = self.rng.gen_range(0..self.nodes.len());
            self.workers.insert(id.clone(), Worker::new(place, now, node));
            self.push(now, Ev::Work(id));
        }
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        for id in &ids {
            self.push(now, Ev::Work(id.clone()));
        }
        self.tasks_go_on();
        self.check();
        self.check_idle();
        self.deliver_kept();
        for core in self.nodes.iter().filter_map(|n| n.core.as_ref()) {
            self.quarantined.extend(core.quarantined().map(String::from));
        }
        self.count_misjudged();
        let led = self.nodes.iter().any(|n| n.core.as_ref().is_some_and(Controller::is_leader));
        if led {
            self.last_lead = now;
        }
        self.leaderless_s = self.leaderless_s.max(now - self.last_lead);
    }

    /// What leaders take for alive that is gone, and the other way round.
    fn count_misjudged(&mut self) {
        let now = self.now;
        let (lease_s, silent_s) =
            (self.settings.params.workers.lease_s, Timing::from(&self.settings).failure_suspicion_s);
        for (n, node) in self.nodes.iter().enumerate() {
            let Some(core) = &node.core else { continue };
            // A replaced one gives no work, and may hear a report that was held for it.
            let replaced = self.replaced(n);
            let long_gone = |id: &&str| !replaced && self.gone.get(*id).is_some_and(|at| now - at > silent_s);
            self.ghosts.extend(core.usable_machines().filter(long_gone).map(String::from));
            let alive = |id: &str| {
                let worker = self.workers.get(id);
                worker.is_some_and(|w| now < w.renewed + lease_s && now - w.hung_until > silent_s)
            };
            // As it is when it is given up: what hangs may come back later.
            for id in core.machines_given_up() {
                let first = self.judged.insert((n, core.token().unwrap_or(0), id.to_string()));
                if first && alive(id) {
                    self.given_up_alive.insert(id.to_string());
                }
            }
        }
        if (0..self.nodes.len()).any(|n| self.replaced(n)) {
            let since = *self.rivals_since.get_or_insert(now);
            self.rivals_s = self.rivals_s.max(now - since);
        } else {
            self.rivals_since = None;
        }
    }

    fn tasks_go_on(&mut self) {
        let now = self.now;
        let p = self.settings.params.workers.clone();
        let mut arrived: Vec<(String, TaskKey)> = Vec::new();
        let mut finished: Vec<(TaskKey, u64)> = Vec::new();
        for (id, w) in &mut self.workers {
            // A lease runs out on a machine that hangs, too.
            if w.expire(now, p.lease_s) || now < w.hung_until {
                continue;
            }
            let faulty = w.faulty;
            let mut changed = false;
            for (key, t) in &mut w.tasks {
                let next = match &t.phase {
                    Phase::Fetching { until } if now >= *until => {
                        arrived.push((id.clone(), key.clone()));
                        if self.ledger.done.get(&key.0).is_some_and(|d| d.contains(&key.1)) {
                            Some(Phase::Exited(ExitCause::Done))
                        } else if faulty || self.broken.contains(&key.0) {
                            self.failures += 1;
                            Some(Phase::Exited(ExitCause::Error))
                        } else {
                            Some(Phase::Waiting { since: now })
                        }
                    }
                    Phase::Waiting { since } if now - since > p.gang_wait_s => {
                        Some(Phase::Exited(ExitCause::Alone))
                    }
                    Phase::Running { until } if now >= *until => {
                        finished.push((key.clone(), t.attempt));
                        Some(Phase::Exited(ExitCause::Done))
                    }
                    Phase::Orphaned { until } if now >= *until => Some(Phase::Exited(ExitCause::Peers)),
                    _ => None,
                };
                if let Some(phase) = next {
                    t.phase = phase;
                    changed = true;
                }
            }
            if changed {
                w.hurry(now);
            }
        }
        for (vm, key) in arrived {
            if self.ledger.cancelled_at.contains_key(&key.0) {
                self.late_starts.push((now, key.clone(), vm.clone()));
            }
            if let Some(w) = self.workers.get_mut(&vm) {
                w.fetched.insert(key.0.clone());
            }
            self.starts += 1;
            self.check_start(&vm, &key);
        }
        // A gang completes together.
        for ((job, n), attempt) in finished {
            let gang = self.ledger.specs[&job].shape == Shape::Gang;
            let done = self.ledger.done.entry(job.clone()).or_default();
            if !gang {
                let new = done.insert(n);
                if new && self.ledger.is_done(&job) {
                    self.cancel_at_end(&job);
                }
                continue;
            }
            let before = done.len();
            done.extend(0..self.ledger.specs[&job].tasks);
            if done.len() > before {
                self.cancel_at_end(&job);
            }
            for w in self.workers.values_mut() {
                for (key, t) in &mut w.tasks {
                    if key.0 == job && t.attempt == attempt && matches!(t.phase, Phase::Running { .. }) {
                        t.phase = Phase::Exited(ExitCause::Done);
                    }
                }
            }
        }
        self.gangs_go_on();
    }

    /// Waiting tasks start once their gang is complete; a running gang that
    /// lost a task notices.
    fn gangs_go_on(&mut self) {
        let now = self.now;
        let peer_s = self.settings.params.workers.gang_peer_s;
        let mut members: BTreeMap<(&str, u64), (u32, u32)> = BTreeMap::new();
        for w in self.workers.values() {
            for (key, t) in &w.tasks {
                let m = members.entry((&key.0, t.attempt)).or_default();
                match t.phase {
                    Phase::Waiting { .. } => m.0 += 1,
                    Phase::Running { .. } if now >= w.hung_until => m.1 += 1,
                    _ => {}
                }
            }
        }
        // Those that begin, with how long they run, and those that have lost a task.
        let mut begin: BTreeMap<(String, u64), f64> = BTreeMap::new();
        let mut torn: BTreeSet<(String, u64)> = BTreeSet::new();
        for ((job, attempt), (waiting, running)) in members {
            let spec = &self.ledger.specs[job];
            let gang = spec.shape == Shape::Gang;
            let run = spec.estimated_run_s * self.rng.gen_range(0.5..1.6);
            let run = if spec.shape == Shape::Service { f64::MAX / 4.0 } else { run };
            if waiting > 0 && (!gang || waiting == spec.tasks) {
                begin.insert((job.to_string(), attempt), run);
            }
            if gang && running > 0 && running < spec.tasks {
                torn.insert((job.to_string(), attempt));
            }
        }
        if begin.is_empty() && torn.is_empty() {
            return;
        }
        for w in self.workers.values_mut() {
            let mut changed = false;
            for (key, t) in &mut w.tasks {
                let member = (key.0.clone(), t.attempt);
                match (&t.phase, begin.get(&member)) {
                    (Phase::Waiting { .. }, Some(run)) => {
                        t.phase = Phase::Running { until: now + run };
                        changed = true;
                    }
                    (Phase::Running { .. }, _) if torn.contains(&member) => {
                        t.phase = Phase::Orphaned { until: now + peer_s };
                    }
                    _ => {}
                }
            }
            if changed {
                w.hurry(now);
            }
        }
    }

    /// Rules on a start: not on two machines, allowed type, zone and kind.
    fn check_start(&mut self, vm: &str, key: &TaskKey) {
        let now = self.now;
        let spec = self.ledger.specs[&key.0].clone();
        let place = self.workers[vm].place.clone();
        let elsewhere = self
            .workers
            .iter()
            .find(|(id, w)| *id != vm && w.tasks.get(key).is_some_and(|t| t.on_machine()))
            .map(|(id, _)| id.clone());
        if let Some(other) = elsewhere {
            self.ledger.break_rule(Rule::RanTwice, now, format!("{key:?} on {vm} and {other}"));
        }
        let mut wrong = spec.machine_types.as_ref().is_some_and(|t| !t.contains(&place.machine_type))
            || spec.zone.as_ref().is_some_and(|z| *z != place.zone)
            || (place.spot && !spec.spot);
        let zones: Vec<String> = self
            .workers
            .values()
            .flat_map(|w| {
                let here = w.tasks.iter().filter(|(k, t)| k.0 == key.0 && t.on_machine());
                here.map(|_| w.place.zone.clone())
            })
            .collect();
        if spec.one_zone && zones.iter().any(|z| *z != place.zone) {
            wrong = true;
        }
        if spec.spread {
            let here = zones.iter().filter(|z| **z == place.zone).count() as u32;
            wrong |= here > spec.tasks.div_ceil(2);
        }
        if let Some(a) = spec.dependencies.iter().find(|a| !self.ledger.is_done(a)) {
            self.ledger.break_rule(Rule::TooEarly, now, format!("{key:?} before {a}"));
        }
        if wrong {
            self.ledger.break_rule(Rule::WrongPlace, now, format!("{key:?} on {vm} in {}", place.zone));
        }
    }

    /// Rules on everything that is on a machine right now.
    fn check(&mut self) {
        let now = self.now;
        let cancel_s = self.settings.params.workers.cancel_s;
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        let mut cancelled = Vec::new();
        for w in self.workers.values() {
            for (key, _) in w.tasks.iter().filter(|(_, t)| t.on_machine()) {
                let spec = &self.ledger.specs[&key.0];
                *used.entry(spec.team.clone()).or_insert(0.0) += spec.accelerators;
                if self.ledger.cancelled_at.get(&key.0).is_some_and(|t| now - t > cancel_s) {
                    cancelled.push(format!("{key:?} on {}", w.place.id));
                }
            }
        }
        for c in cancelled {
            self.ledger.break_rule(Rule::RanCancelled, now, c);
        }
        let unanswered = |id: &&String| {
            let answered = self.ledger.answered.get(*id).copied().unwrap_or(0.0);
            now - answered.max(self.quiet_from) > FORGOTTEN_S
        };
        let forgotten: Vec<String> = self.ledger.accepted.iter().filter(unanswered).cloned().collect();
        for id in forgotten {
            self.ledger.break_rule(Rule::Forgotten, now, format!("{id} is not answered"));
        }
        for t in &self.settings.params.teams {
            let have = used.get(&t.name).copied().unwrap_or(0.0);
            if t.accelerators_max > 0.0 && have > t.accelerators_max + 1e-6 {
                self.ledger.break_rule(Rule::Quota, now, format!("{} uses {have}", t.name));
            }
        }
    }

    fn user_acts(&mut self, id: &str) {
        let now = self.now;
        if now < self.flood.0 && self.rng.gen_bool(0.5) {
            let stranger = format!("req-{}", self.rng.gen_range(5000..5100));
            let n = self.rng.gen_range(0..self.nodes.len());
            let at = now + self.delay();
            self.push(at, Ev::UserArrives(stranger.clone(), 0, n, Request::QueryStatus(stranger)));
        }
        self.ask_oddly(id);
        let accepted = self.ledger.accepted.contains(id);
        let Some(u) = self.users.get_mut(id) else { return };
        if u.waiting || u.over {
            return;
        }
        // The jobs of a pipeline are submitted one after another.
        let ready = |a: &String| self.ledger.accepted.contains(a);
        if !accepted && !self.ledger.specs[id].dependencies.iter().all(ready) {
            return self.push(now + 0.3, Ev::User(id.to_string()));
        }
        u.waiting = true;
        u.asked += 1;
        u.asked_at = now;
        let asked = u.asked;
        let spec = &self.ledger.specs[id];
        let r = if !accepted {
            self.ledger.submitted.insert(id.to_string());
            Request::Submit(protocol::encode(spec))
        } else if u.cancel_at.is_some_and(|c| now >= c) {
            self.ledger.cancel_asked.insert(id.to_string());
            Request::Cancel(id.to_string())
        } else if self.rng.gen_bool(0.1) {
            // A repeated submission, which may come at any time.
            Request::Submit(protocol::encode(spec))
        } else {
            Request::QueryStatus(id.to_string())
        };
        let n = self.rng.gen_range(0..self.nodes.len());
        let d = self.delay();
        self.send(now + d, None, Ev::UserArrives(id.to_string(), asked, n, r));
        self.push(now + 4.0, Ev::UserGivesUp(id.to_string(), asked));
    }

    fn user_answer(&mut self, id: &str, asked: u64, a: &HttpResponse) {
        let now = self.now;
        if asked == u64::MAX {
            self.by_hand = Some(a.clone());
            return;
        }
        if asked >= looks::FIRST {
            return self.look_answered(asked, a);
        }
        if asked == 0 && a.status == 200 {
            self.ledger.break_rule(Rule::Invented, now, id.to_string());
        }
        let Some(u) = self.users.get_mut(id).filter(|u| u.waiting && u.asked == asked) else { return };
        u.waiting = false;
        let sent = u.asked_at;
        let mut pause = self.rng.gen_range(1.5..3.0);
        match a.status {
            200 | 201 => {
                if let Ok(v) = protocol::decode::<JobView>(&a.body) {
                    // Ask on for a while after the end: it must stay so.
                    if v.status.is_final() {
                        pause = 10.0;
                    }
                    self.hear(id, sent, Some(v.status));
                }
            }
            404 => self.hear(id, sent, None),
            400 | 422 if self.ledger.accepted.contains(id) => {
                self.ledger.break_rule(Rule::Forgotten, now, format!("{id} got {}", a.status));
            }
            400 | 422 => {
                if let Some(u) = self.users.get_mut(id) {
                    u.over = true;
                }
            }
            _ => pause = 1.0,
        }
        if now < self.flood.0 {
            pause /= self.flood.1;
        }
        self.push(now + pause, Ev::User(id.to_string()));
    }

    fn fault(&mut self, i: usize) {
        let now = self.now;
        let nth = |sim: &Simulation, n: usize| {
            let count = sim.workers.len().max(1);
            sim.workers.keys().nth(n % count).cloned()
        };
        match self.faults[i].clone() {
            Fault::Crash { node, for_s } => {
                self.nodes[node].core = None;
                self.nodes[node].asked.clear();
                self.faults.push(Fault::Crash { node, for_s: -1.0 });
                if for_s < 0.0 {
                    self.start(node);
                } else {
                    let again = self.faults.len() - 1;
                    self.push(now + for_s, Ev::Fault(again));
                }
            }
            Fault::CrashLeader { for_s } => {
                if let Some(node) = self.leader() {
                    self.strike(Fault::Crash { node, for_s });
                }
            }
            Fault::StateOutage { for_s } => {
                if for_s < 0.0 {
                    self.store.refresh(now);
                } else {
                    self.state_down = now + for_s;
                    self.faults.push(Fault::StateOutage { for_s: -1.0 });
                    let again = self.faults.len() - 1;
                    // The leases have their full time again from here on.
                    self.push(now + for_s - 1e-6, Ev::Fault(again));
                }
            }
            Fault::StateRefuses { node, for_s } => self.nodes[node].refused = now + for_s,
            Fault::Cut { node, state, workers, for_s } => {
                if state {
                    self.nodes[node].cut_state = now + for_s;
                }
                if workers {
                    self.nodes[node].cut_workers = now + for_s;
                }
            }
            Fault::WorkersCut { node, zone, for_s } => self.nodes[node].cut_zone = (now + for_s, zone),
            Fault::CloudOutage { for_s } => self.cloud_down = now + for_s,
            Fault::Hang { nth: n, for_s } => {
                if let Some(w) = nth(self, n).and_then(|id| self.workers.get_mut(&id)) {
                    w.hung_until = now + for_s;
                }
            }
            Fault::Deaf { nth: n, for_s } => {
                if let Some(w) = nth(self, n).and_then(|id| self.workers.get_mut(&id)) {
                    w.deaf_until = now + for_s;
                }
            }
            Fault::DeafZone { zone, for_s } => {
                let there = self.workers.values_mut().filter(|w| w.place.zone == zone);
                there.step_by(3).for_each(|w| w.deaf_until = now + for_s);
            }
            Fault::Copies { late_s, for_s } => self.copies = (now + for_s, late_s),
            Fault::LateWrites { share, for_s } => self.late_writes = (now + for_s, share),
            Fault::LostAnswers { share, for_s } => self.lost_answers = (now + for_s, share),
            Fault::CopiesForNext { after_s, for_s } => self.keep_for_next(after_s, for_s),
            Fault::Mute { nth: n, for_s } => {
                if let Some(w) = nth(self, n).and_then(|id| self.workers.get_mut(&id)) {
                    w.mute_until = now + for_s;
                }
            }
            Fault::MuteZone { zone, for_s } => {
                let there = self.workers.values_mut().filter(|w| w.place.zone == zone);
                there.step_by(3).for_each(|w| w.mute_until = now + for_s);
            }
            Fault::FastBoots { for_s } => self.fast_boots = now + for_s,
            Fault::CancelNow { count, hang_s } => self.cancel_now(count, hang_s),
            Fault::CancelAtEnd { share, for_s } => self.looks.cancel_at_end = (now + for_s, share),
            Fault::OddRequests { for_s } => self.looks.odd_until = now + for_s,
            Fault::CloseLooks { for_s } => self.looks.close_until = now + for_s,
            Fault::SlowState { by_s, for_s } => self.slow_state = (now + for_s, by_s),
            Fault::HeldAnswers { by_s, for_s } => self.held_answers = (now + for_s, by_s),
            Fault::Alone { node, for_s } => {
                self.nodes[node].cut_state = now + for_s;
                self.nodes[node].cut_peers = now + for_s;
            }
            Fault::Take { nth: n } => {
                if let Some(id) = nth(self, n) {
                    self.cloud.remove(&id);
                    self.drop_deleted();
                }
            }
            Fault::SlowFetch { nth: n, fetch_s } => {
                if let Some(w) = nth(self, n).and_then(|id| self.workers.get_mut(&id)) {
                    w.fetch_s = Some(fetch_s);
                }
            }
            Fault::Silent { node, for_s } => self.nodes[node].silent = now + for_s,
            Fault::PeersRefuse { for_s } => self.peers_refused = now + for_s,
            Fault::PeersCut { node, for_s } => self.nodes[node].cut_peers = now + for_s,
            Fault::ZoneCut { zone, for_s } => self.zone_cut = (now + for_s, zone),
            Fault::Wander { for_s } => self.wander = now + for_s,
            Fault::LimitsFall => {
                let s = &self.settings.params.store;
                self.store.limit(Limits {
                    value_bytes: (s.effective_value_kb() * 1024.0) as usize,
                    txn_ops: s.effective_transaction_ops(),
                    write_rps: s.effective_write_rps(),
                });
            }
            Fault::Polls { factor, for_s } => self.flood = (now + for_s, factor),
            Fault::Sick { nth: n } => {
                if let Some(w) = nth(self, n).and_then(|id| self.workers.get_mut(&id)) {
                    w.faulty = true;
                }
            }
        }
    }

    /// Workers that go on, and that no leader would give work to or is giving back.
    pub fn unheard(&self) -> Vec<&str> {
        let cores = || self.nodes.iter().filter_map(|n| n.core.as_ref());
        let known: BTreeSet<&str> =
            cores().flat_map(|c| c.usable_machines().chain(c.machines_leaving())).collect();
        let live = self.workers.iter().filter(|(_, w)| self.now >= w.hung_until && !w.faulty);
        live.map(|(id, _)| id.as_str()).filter(|id| !known.contains(id)).collect()
    }

    /// Workers that have been answered within the last `within` seconds.
    pub fn answered(&self, within: f64) -> usize {
        self.answered_at.values().filter(|at| self.now - **at < within).count()
    }

    /// Machines rented in a zone so far, gone ones included.
    pub fn rented_in(&self, zone: &str) -> usize {
        self.cloud.rented_in(zone)
    }

    /// Machines that there are.
    pub fn machines(&self) -> usize {
        self.cloud.machines.len()
    }

    /// How many workers report to each node.
    pub fn workers_by_node(&self) -> Vec<usize> {
        let count = |n: usize| self.workers.values().filter(|w| w.node == n).count();
        (0..self.nodes.len()).map(count).collect()
    }

    /// Trouble now.
    pub fn strike(&mut self, fault: Fault) {
        self.quiet_from = self.quiet_from.max(self.now + fault.lasts_s());
        self.faults.push(fault);
        self.fault(self.faults.len() - 1);
    }

    /// Trouble so many seconds from now.
    pub fn strike_after(&mut self, after: f64, fault: Fault) {
        let at = self.now + after;
        self.quiet_from = self.quiet_from.max(at + fault.lasts_s());
        self.faults.push(fault);
        self.push(at, Ev::Fault(self.faults.len() - 1));
    }

    /// The state service.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Submits `spec` to node `n` and goes on until there is an answer. What becomes of the
    /// job is not judged.
    pub fn submit(&mut self, n: usize, spec: JobSpec) -> HttpResponse {
        let body = protocol::encode(&spec);
        self.ledger.submitted.insert(spec.id.clone());
        self.ledger.specs.insert(spec.id.clone(), spec);
        self.ask_by_hand(n, Request::Submit(body))
    }

    /// Whether node `n` counts as healthy.
    pub fn healthy(&mut self, n: usize) -> bool {
        self.ask_by_hand(n, Request::HealthCheck).status == 200
    }

    fn ask_by_hand(&mut self, n: usize, request: Request) -> HttpResponse {
        self.by_hand = None;
        self.push(self.now, Ev::UserArrives("by hand".into(), u64::MAX, n, request));
        let end = self.now + 10.0;
        while self.by_hand.is_none() && self.now < end {
            self.run(self.now + 0.05);
        }
        let none = HttpResponse { status: 0, body: Vec::new(), retry_after_s: None };
        self.by_hand.take().unwrap_or(none)
    }

    /// Looks at every value that is stored, with its key.
    pub fn inspect(&mut self, look: fn(&str, &controller::records::Value)) {
        self.store.inspect = Some(look);
    }

    /// Nodes say of themselves that they read no newer format than that: some have an
    /// earlier version yet.
    pub fn say_format(&mut self, format: u32) {
        self.format_said = Some(format);
    }

    /// The cloud serves no more calls a second than the settings name.
    pub fn limit_cloud(&mut self) {
        let rate = self.settings.params.cloud.rps;
        self.cloud.rate = Some((rate, rate, self.now));
    }

    /// Calls that it refused for that.
    pub fn refused_by_cloud(&self) -> u64 {
        self.cloud.refused
    }

    pub fn rented(&self) -> u32 {
        self.cloud.rented()
    }

    /// Whether every submitted job has been told to be over.
    pub fn all_over(&self) -> bool {
        self.users.keys().all(|id| self.ledger.over_at.contains_key(id))
    }

    /// Accepted jobs that should be over by now and are not.
    pub fn unfinished(&self) -> Vec<String> {
        self.ledger
            .accepted
            .iter()
            .filter(|id| self.ledger.specs[*id].shape != Shape::Service)
            .filter(|id| !self.ledger.told.get(*id).is_some_and(|s| s.is_final()))
            .cloned()
            .collect()
    }
}
