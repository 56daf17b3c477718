//! The kinds of faults that a run can contain.

/// The longest delay, in seconds, until a delayed transaction is carried out (set by the operators).
pub(super) const MAX_WRITE_DELAY_S: f64 = 12.0;

/// A fault and when it begins, in simulated seconds.
#[derive(Debug, Clone)]
pub struct ScheduledFault {
    /// When it begins.
    pub at: f64,
    /// What begins.
    pub fault: Fault,
}

impl ScheduledFault {
    /// `fault`, beginning at `at`.
    pub fn new(at: f64, fault: Fault) -> Self {
        ScheduledFault { at, fault }
    }
}

/// A fault. All durations and delays are in seconds; `node` is a controller's number, `machine` is
/// taken modulo the number of machines that there are, in the order of their ids.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A controller's process ends and is started again later.
    ControllerCrash {
        /// The controller.
        node: usize,
        /// Until its restart.
        duration_s: f64,
    },
    /// The controller that leads at that moment crashes.
    LeaderCrash {
        /// Until its restart.
        duration_s: f64,
    },
    /// A controller does nothing; what reaches it waits.
    ControllerPause {
        /// The controller.
        node: usize,
        /// How long.
        duration_s: f64,
    },
    /// The key-value store serves nobody.
    StoreOutage {
        /// How long.
        duration_s: f64,
    },
    /// The store refuses one controller.
    StoreRefusesNode {
        /// The controller.
        node: usize,
        /// How long.
        duration_s: f64,
    },
    /// The store takes longer, each way.
    SlowStore {
        /// The longest extra delay.
        max_delay_s: f64,
        /// How long.
        duration_s: f64,
    },
    /// A share of transactions gets no answer and is carried out 2 to 12 s later, whatever was
    /// written since.
    DelayedWrites {
        /// Of all transactions, from 0 to 1.
        share: f64,
        /// How long.
        duration_s: f64,
    },
    /// A share of transactions is carried out at once, but the answers are lost.
    LostWriteResponses {
        /// Of all transactions, from 0 to 1.
        share: f64,
        /// How long.
        duration_s: f64,
    },
    /// The store's limits fall without notice, to what the settings announce.
    StoreLimitsReduced,
    /// Messages between a controller and the store, the workers or both are held and delivered late.
    NodePartition {
        /// The controller.
        node: usize,
        /// Whether it is cut off from the store.
        store: bool,
        /// Whether it is cut off from the workers.
        workers: bool,
        /// How long.
        duration_s: f64,
    },
    /// Messages between a controller and the workers of one zone are held and delivered late.
    ZoneWorkersPartition {
        /// The controller.
        node: usize,
        /// The workers' zone.
        zone: &'static str,
        /// How long.
        duration_s: f64,
    },
    /// Messages between one controller and the others are held and delivered late.
    PeerPartition {
        /// The controller.
        node: usize,
        /// How long.
        duration_s: f64,
    },
    /// Connections between controllers are refused.
    PeerConnectionsRefused {
        /// How long.
        duration_s: f64,
    },
    /// A controller reaches its workers, but neither the store nor its peers.
    IsolatedWithWorkers {
        /// The controller.
        node: usize,
        /// How long.
        duration_s: f64,
    },
    /// All messages into a zone and out of it are held and delivered late.
    ZonePartition {
        /// The zone.
        zone: &'static str,
        /// How long.
        duration_s: f64,
    },
    /// The cloud refuses every call.
    CloudOutage {
        /// How long.
        duration_s: f64,
    },
    /// New machines are up within two seconds.
    FastBoots {
        /// How long.
        duration_s: f64,
    },
    /// A machine is gone without notice.
    MachineLost {
        /// The machine.
        machine: usize,
    },
    /// A machine hangs: its clock goes on, it does nothing.
    MachineHang {
        /// The machine.
        machine: usize,
        /// How long.
        duration_s: f64,
    },
    /// A machine fails every task that it starts.
    FaultyMachine {
        /// The machine.
        machine: usize,
    },
    /// A machine takes that long to fetch a job's image for the first time.
    SlowImageFetch {
        /// The machine.
        machine: usize,
        /// How long a fetch takes.
        fetch_s: f64,
    },
    /// One-way partition: a machine's heartbeats arrive, but responses and commands do not reach it.
    ResponsesLost {
        /// The machine.
        machine: usize,
        /// How long.
        duration_s: f64,
    },
    /// The same for one machine in three of a zone.
    ResponsesLostInZone {
        /// The zone.
        zone: &'static str,
        /// How long.
        duration_s: f64,
    },
    /// One-way partition: a machine's heartbeats arrive nowhere, while direct commands reach it.
    HeartbeatsLost {
        /// The machine.
        machine: usize,
        /// How long.
        duration_s: f64,
    },
    /// The same for one machine in three of a zone.
    HeartbeatsLostInZone {
        /// The zone.
        zone: &'static str,
        /// How long.
        duration_s: f64,
    },
    /// Half of the commands and responses to workers are held up.
    SlowWorkerResponses {
        /// The longest extra delay.
        max_delay_s: f64,
        /// How long.
        duration_s: f64,
    },
    /// Copies of a third of the heartbeats arrive once more, at any controller.
    DuplicatedHeartbeats {
        /// The longest delay of a copy.
        max_delay_s: f64,
        /// How long heartbeats are copied.
        duration_s: f64,
    },
    /// Copies of a third of the heartbeats reach every controller after the next leader has begun.
    HeartbeatsReplayedAfterFailover {
        /// How long after the next leader's start.
        delay_s: f64,
        /// How long heartbeats are copied.
        duration_s: f64,
    },
    /// Workers go to another controller with every heartbeat.
    RotatingHeartbeatTargets {
        /// How long.
        duration_s: f64,
    },
    /// Users cancel running jobs that have long to go, within a fifth of a second, and up to eight
    /// of their machines hang.
    CancelRunningJobs {
        /// The number of jobs.
        count: usize,
        /// How long their machines hang.
        hang_s: f64,
    },
    /// A share of the jobs that end is cancelled at the moment of the end.
    CancelAtCompletion {
        /// Of all jobs that end, from 0 to 1.
        share: f64,
        /// How long.
        duration_s: f64,
    },
    /// Users repeat submissions of unfinished jobs, cancel jobs that are done, and send jobs that
    /// fit no machine or lack a field.
    InvalidRequests {
        /// How long.
        duration_s: f64,
    },
    /// Users ask at all controllers within milliseconds after a job was accepted, ended or was
    /// cancelled, and repeat the submission; some cancel at once.
    ConcurrentQueries {
        /// How long.
        duration_s: f64,
    },
    /// Users ask many times as often, also for jobs that nobody submitted.
    QueryFlood {
        /// How many times as often.
        factor: f64,
        /// How long.
        duration_s: f64,
    },
}

impl Fault {
    /// How long its effects last, in seconds. What starts anew afterwards has its own time.
    pub(super) fn effect_duration_s(&self) -> f64 {
        match self {
            Fault::ControllerCrash { duration_s, .. }
            | Fault::LeaderCrash { duration_s }
            | Fault::ControllerPause { duration_s, .. }
            | Fault::StoreOutage { duration_s }
            | Fault::StoreRefusesNode { duration_s, .. }
            | Fault::LostWriteResponses { duration_s, .. }
            | Fault::NodePartition { duration_s, .. }
            | Fault::ZoneWorkersPartition { duration_s, .. }
            | Fault::PeerPartition { duration_s, .. }
            | Fault::PeerConnectionsRefused { duration_s }
            | Fault::IsolatedWithWorkers { duration_s, .. }
            | Fault::ZonePartition { duration_s, .. }
            | Fault::CloudOutage { duration_s }
            | Fault::FastBoots { duration_s }
            | Fault::MachineHang { duration_s, .. }
            | Fault::ResponsesLost { duration_s, .. }
            | Fault::ResponsesLostInZone { duration_s, .. }
            | Fault::HeartbeatsLost { duration_s, .. }
            | Fault::HeartbeatsLostInZone { duration_s, .. }
            | Fault::RotatingHeartbeatTargets { duration_s }
            | Fault::CancelRunningJobs { hang_s: duration_s, .. }
            | Fault::CancelAtCompletion { duration_s, .. }
            | Fault::InvalidRequests { duration_s }
            | Fault::ConcurrentQueries { duration_s }
            | Fault::QueryFlood { duration_s, .. } => *duration_s,
            Fault::DelayedWrites { duration_s, .. } => MAX_WRITE_DELAY_S + duration_s,
            Fault::SlowStore { max_delay_s, duration_s }
            | Fault::SlowWorkerResponses { max_delay_s, duration_s } => max_delay_s * 2.0 + duration_s,
            Fault::DuplicatedHeartbeats { max_delay_s, duration_s } => max_delay_s + duration_s,
            Fault::HeartbeatsReplayedAfterFailover { delay_s, duration_s } => delay_s + duration_s,
            Fault::MachineLost { .. }
            | Fault::SlowImageFetch { .. }
            | Fault::FaultyMachine { .. }
            | Fault::StoreLimitsReduced => 0.0,
        }
    }
}
