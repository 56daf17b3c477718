//! Kinds of faults that can be injected into a run.

/// Longest delay, in seconds, until a delayed transaction is applied. The operators set this value.
pub(super) const MAX_WRITE_DELAY_S: f64 = 12.0;

/// Fault and its start time.
#[derive(Debug, Clone)]
pub struct ScheduledFault {
    /// Start time, in simulated seconds.
    pub at: f64,
    /// Fault that is injected.
    pub fault: Fault,
}

impl ScheduledFault {
    /// Creates a fault that begins at `at`.
    pub fn new(at: f64, fault: Fault) -> Self {
        ScheduledFault { at, fault }
    }
}

/// Fault that can be injected. All durations and delays are in seconds. `node` is the index of a
/// controller. `machine` is an index into the machines ordered by id, modulo their number.
#[derive(Debug, Clone)]
pub enum Fault {
    /// A controller's process ends and is restarted later.
    ControllerCrash {
        /// Index of the controller.
        node: usize,
        /// Time until the restart.
        duration_s: f64,
    },
    /// The current leader crashes.
    LeaderCrash {
        /// Time until the restart.
        duration_s: f64,
    },
    /// A controller is paused. Messages to it wait until it resumes.
    ControllerPause {
        /// Index of the controller.
        node: usize,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// The key-value store refuses all requests.
    StoreOutage {
        /// Duration of the fault.
        duration_s: f64,
    },
    /// The store refuses the requests of one controller.
    StoreRefusesNode {
        /// Index of the controller.
        node: usize,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// Requests to the store and its replies are delayed.
    SlowStore {
        /// Longest additional delay.
        max_delay_s: f64,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// A share of the transactions receives no response and is applied 2 to 12 s later,
    /// regardless of what was written in the meantime.
    DelayedWrites {
        /// Share of all transactions, from 0 to 1.
        share: f64,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// A share of the transactions is applied immediately, but the responses are lost.
    LostWriteResponses {
        /// Share of all transactions, from 0 to 1.
        share: f64,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// The store's limits drop, without notice, to the future limits named in the settings.
    StoreLimitsReduced,
    /// Messages between a controller and the store, the workers or both are held back and delivered
    /// when the partition ends.
    NodePartition {
        /// Index of the controller.
        node: usize,
        /// Whether it is cut off from the store.
        store: bool,
        /// Whether it is cut off from the workers.
        workers: bool,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// Messages between a controller and the workers of one zone are held back and delivered when
    /// the partition ends.
    ZoneWorkersPartition {
        /// Index of the controller.
        node: usize,
        /// Zone of the workers.
        zone: &'static str,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// Messages between one controller and the others are held back and delivered when the partition
    /// ends.
    PeerPartition {
        /// Index of the controller.
        node: usize,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// Connections between controllers are refused.
    PeerConnectionsRefused {
        /// Duration of the fault.
        duration_s: f64,
    },
    /// A controller can reach its workers, but neither the store nor its peers.
    IsolatedWithWorkers {
        /// Index of the controller.
        node: usize,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// All messages into and out of a zone are held back and delivered when the partition ends.
    ZonePartition {
        /// Name of the zone.
        zone: &'static str,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// The cloud refuses every call.
    CloudOutage {
        /// Duration of the fault.
        duration_s: f64,
    },
    /// Each machine list is as old as the settings allow if that hides a machine that the list before
    /// showed, and as recent as possible otherwise.
    ReorderedMachineLists {
        /// Duration of the fault.
        duration_s: f64,
    },
    /// New machines boot within two seconds.
    FastBoots {
        /// Duration of the fault.
        duration_s: f64,
    },
    /// A machine disappears without notice.
    MachineLost {
        /// Index of the machine.
        machine: usize,
    },
    /// A machine hangs: its clock continues, but it does nothing.
    MachineHang {
        /// Index of the machine.
        machine: usize,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// Every task that starts on a machine fails.
    FaultyMachine {
        /// Index of the machine.
        machine: usize,
    },
    /// A machine takes unusually long to fetch the image of a job for the first time.
    SlowImageFetch {
        /// Index of the machine.
        machine: usize,
        /// Duration of the first fetch.
        fetch_s: f64,
    },
    /// One-way partition: the heartbeats of a machine arrive, but responses and commands do not
    /// reach it.
    ResponsesLost {
        /// Index of the machine.
        machine: usize,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// `ResponsesLost` for every third machine of a zone.
    ResponsesLostInZone {
        /// Name of the zone.
        zone: &'static str,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// One-way partition: the heartbeats of a machine are lost, but direct commands reach it.
    HeartbeatsLost {
        /// Index of the machine.
        machine: usize,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// `HeartbeatsLost` for every third machine of a zone.
    HeartbeatsLostInZone {
        /// Name of the zone.
        zone: &'static str,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// Half of the commands and responses to workers are delayed.
    SlowWorkerResponses {
        /// Longest additional delay.
        max_delay_s: f64,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// About a third of the heartbeats are duplicated, and the copies arrive at random controllers.
    DuplicatedHeartbeats {
        /// Longest delay of a copy.
        max_delay_s: f64,
        /// Period in which heartbeats are copied.
        duration_s: f64,
    },
    /// Every message that carries commands, or forwards heartbeats, is copied. Half of the copies arrive
    /// within a second.
    DuplicatedCommands {
        /// Longest delay of a copy.
        max_delay_s: f64,
        /// Period in which messages are copied.
        duration_s: f64,
    },
    /// A worker's process ends with all of its tasks, and continues with its next epoch.
    WorkerRestart {
        /// Index of the machine.
        machine: usize,
        /// Time until it continues.
        duration_s: f64,
    },
    /// Copies of about a third of the heartbeats reach every controller after the next leader has
    /// started.
    HeartbeatsReplayedAfterFailover {
        /// Delay of the copies after the start of the next leader.
        delay_s: f64,
        /// Period in which heartbeats are copied.
        duration_s: f64,
    },
    /// Workers send each heartbeat to a different controller than the one before.
    RotatingHeartbeatTargets {
        /// Duration of the fault.
        duration_s: f64,
    },
    /// Users cancel jobs with a long remaining run time, all within 0.2 s, and up to eight of the
    /// machines of these jobs hang.
    CancelRunningJobs {
        /// Number of jobs.
        count: usize,
        /// Duration for which the machines hang.
        hang_s: f64,
    },
    /// A share of the completing jobs is cancelled at the moment of completion.
    CancelAtCompletion {
        /// Share of all completing jobs, from 0 to 1.
        share: f64,
        /// Duration of the fault.
        duration_s: f64,
    },
    /// Users repeat submissions of unfinished jobs, cancel jobs that are done, and submit jobs that
    /// cannot run or lack required fields.
    InvalidRequests {
        /// Duration of the fault.
        duration_s: f64,
    },
    /// Within milliseconds after a job was accepted or reached its final status, users query all
    /// controllers and repeat the submission. Some cancel immediately after acceptance.
    ConcurrentQueries {
        /// Duration of the fault.
        duration_s: f64,
    },
    /// Users send many times as many queries, some of them for jobs that were never submitted.
    QueryFlood {
        /// Factor by which the query rate rises.
        factor: f64,
        /// Duration of the fault.
        duration_s: f64,
    },
}

impl Fault {
    /// Returns the duration of the fault's effects, in seconds. Whatever has to start again afterwards
    /// is not included.
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
            | Fault::ReorderedMachineLists { duration_s }
            | Fault::FastBoots { duration_s }
            | Fault::MachineHang { duration_s, .. }
            | Fault::WorkerRestart { duration_s, .. }
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
            Fault::DuplicatedHeartbeats { max_delay_s, duration_s }
            | Fault::DuplicatedCommands { max_delay_s, duration_s } => max_delay_s + duration_s,
            Fault::HeartbeatsReplayedAfterFailover { delay_s, duration_s } => delay_s + duration_s,
            Fault::MachineLost { .. }
            | Fault::SlowImageFetch { .. }
            | Fault::FaultyMachine { .. }
            | Fault::StoreLimitsReduced => 0.0,
        }
    }
}
