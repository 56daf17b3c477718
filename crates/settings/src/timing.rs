//! Intervals and limits that the program derives from the settings, each as a ratio to one of
//! them. This is the one place where the ratios are explained.

use crate::platform::Settings;

/// How long a worker waits for a response, in seconds (fixed by the protocol).
const WORKER_TIMEOUT_S: f64 = 4.0;

/// Pause of a worker before it tries the next controller, in seconds (fixed by the protocol).
const WORKER_RETRY_PAUSE_S: f64 = 1.0;

/// How long a response of the key-value store is waited for, in seconds: clients wait for 2 s
/// (fixed by the protocol).
const STORE_TIMEOUT_S: f64 = 1.5;

/// How long a response of the cloud is waited for, in seconds.
const CLOUD_TIMEOUT_S: f64 = 5.0;

/// A lease may expire this much late, in seconds (fixed by the protocol).
pub(crate) const MAX_EXPIRY_DELAY_S: f64 = 0.1;

/// Added to a worker's lease before it is considered expired, in seconds: the delay of the expiry
/// and the response on its way.
const EXPIRY_MARGIN_S: f64 = 0.5;

/// Share of what `cancel_s` leaves beyond the workers' lease in which a leader that has lost its
/// confirmation still responds.
pub(crate) const GRACE_SHARE: f64 = 0.75;

/// How long clients repeat a submission, in seconds (fixed by the protocol).
const SUBMISSION_RETRY_S: f64 = 60.0;

/// How long work may wait beside idle capacity that fits it, in seconds (the operators' figure).
const MAX_WAIT_BESIDE_CAPACITY_S: f64 = 90.0;

/// How much faster one clock may run than another, as a factor: 0.05% each, with a margin.
pub const CLOCK_DRIFT_FACTOR: f64 = 1.002;

/// Intervals and limits that follow from the settings; all times in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Leadership lease: a fifth of the workers' lease. A crashed leader is replaced, and every
    /// worker has a response, well before the workers' leases expire.
    pub leader_lease_s: f64,
    /// Between two renewals of the leadership lease: a quarter of it, so that three may be lost.
    pub renewal_interval_s: f64,
    /// For how long a leader responds to heartbeats after it sent its last confirmed renewal, and
    /// after it sent the last read that showed all that is stored: three quarters of what `cancel_s`
    /// leaves beyond the workers' lease. The tasks of a leader that is cut off then end in time for
    /// a cancellation that it cannot see.
    pub response_grace_s: f64,
    /// How long workers wait for a response.
    pub worker_timeout_s: f64,
    /// How long a heartbeat's response is deferred for the plan and the commit that its launches
    /// need: three eighths of the worker's timeout; a heartbeat proxy waits twice as long. (At a
    /// quarter, machines of a large fleet missed plans and stood idle until their next heartbeat.)
    pub busy_heartbeat_hold_s: f64,
    /// How long a heartbeat's response is deferred while a new leader reads the records: the
    /// worker's timeout less the way back.
    pub recovery_hold_s: f64,
    /// How long an idle machine's response is deferred for a launch: well within the worker's
    /// timeout, and no longer than until its next heartbeat.
    pub idle_heartbeat_hold_s: f64,
    /// For how long after asking for it a node may respond to heartbeats on a delegated lease: a
    /// quarter of what `cancel_s` leaves beyond the workers' lease (the response grace takes the
    /// rest), and at most a third of that lease, which is waited for when the node is lost.
    pub delegated_lease_s: f64,
    /// How long the leader keeps a forwarding request open until it has something to say: at the
    /// longest usual heartbeat interval, two replies per second.
    pub forward_interval_s: f64,
    /// A forwarding request without a reply for so long has failed: three quarters of the delegated
    /// lease, so that a quarter is left of what a reply could still delegate. (A busy leader
    /// sometimes plans for a second.)
    pub forward_timeout_s: f64,
    /// Workers that a node serves at most: seven tenths of its sockets. Half of the rest is for
    /// clients, a third for the node's own connections and other controllers, and a sixth for
    /// direct calls to workers.
    pub worker_capacity: u32,
    /// Workers that a node serves where no other node has room; seven in a hundred sockets always
    /// stay for clients.
    pub max_workers: u32,
    /// Connections of clients and workers together that a node accepts.
    pub max_front_connections: usize,
    /// Direct calls to workers at a time.
    pub max_worker_calls: usize,
    /// Counted from its last response, a worker's lease has certainly expired after this time.
    pub lease_expiry_s: f64,
    /// A worker without a response tries the next node after this time: its timeout and the
    /// protocol's pause.
    pub worker_failover_s: f64,
    /// Silence after which a machine is suspected to have failed: three missed heartbeats.
    pub failure_suspicion_s: f64,
    /// For how long after its launch a gang's attempt is kept together, with tasks that gave up
    /// waiting started again: four times the gang's wait, in which the largest image reaches the
    /// slowest machine.
    pub gang_assembly_s: f64,
    /// For how long machines of an unreachable zone are kept: three leases. The first one shows that
    /// nothing runs there any more; two more cost about what new machines and their boots would.
    pub unreachable_zone_retention_s: f64,
    /// A class or team whose jobs have waited this long with next to nothing running is starving:
    /// three leases, by when work that a partition or a crash delayed has been started again.
    pub starvation_wait_s: f64,
    /// A job that has waited this long beside idle capacity takes it, whatever keeps it from there:
    /// half of what the operators allow. The rest is for the plan, the commit and the launch.
    pub max_idle_capacity_wait_s: f64,
    /// For how long capacity may be kept for an overdue job that cannot use it yet: three quarters
    /// of how long the operators let work wait beside idle capacity.
    pub gang_reservation_s: f64,
    /// For how long a leader whose authority is confirmed again does not scale out for what machines
    /// could run that have not sent a heartbeat since: the longest gap between two heartbeats.
    pub reappearance_wait_s: f64,
    /// Records that a submission has stored and that no job refers to are deleted after this time:
    /// ten times as long as clients repeat a submission.
    pub abandoned_submission_s: f64,
    /// A worker whose heartbeat came within this time can reach the node: three heartbeat intervals.
    pub heartbeat_validity_s: f64,
    /// Longest usual gap between two heartbeats of a worker, with a margin for the way.
    pub max_heartbeat_gap_s: f64,
    /// Between two plans when nothing happens: a third of the heartbeat interval.
    pub planning_interval_s: f64,
    /// Timeout of a request to the key-value store.
    pub store_timeout_s: f64,
    /// A request that a client waits for is sent again after this time: a tenth of the store's
    /// timeout, many times as long as a response usually takes.
    pub hedge_after_s: f64,
    /// Timeout of a request to the cloud.
    pub cloud_timeout_s: f64,
}

impl From<&Settings> for Timing {
    fn from(settings: &Settings) -> Self {
        let workers = &settings.params.workers;
        let heartbeat_interval_s = workers.heartbeat_interval_s;
        let lease_s = workers.lease_s;
        let beyond_lease_s = workers.cancel_s - lease_s;
        let delegated_lease_s = (beyond_lease_s / 4.0).min(lease_s / 3.0);
        let max_connections = settings.params.resources.max_connections;
        let share_of_connections = |share: f64| max_connections as f64 * share;
        Timing {
            leader_lease_s: (lease_s / 5.0).clamp(0.5, 60.0),
            renewal_interval_s: (lease_s / 20.0).clamp(0.1, 15.0),
            response_grace_s: beyond_lease_s * GRACE_SHARE,
            worker_timeout_s: WORKER_TIMEOUT_S,
            busy_heartbeat_hold_s: WORKER_TIMEOUT_S * 0.375,
            recovery_hold_s: WORKER_TIMEOUT_S * 0.85,
            idle_heartbeat_hold_s: (heartbeat_interval_s * 0.9).min(WORKER_TIMEOUT_S * 0.75),
            delegated_lease_s,
            forward_interval_s: (heartbeat_interval_s / 60.0).clamp(0.02, 0.5),
            forward_timeout_s: delegated_lease_s * 0.75,
            worker_capacity: share_of_connections(0.7) as u32,
            max_workers: share_of_connections(0.78) as u32,
            max_front_connections: share_of_connections(0.85) as usize,
            max_worker_calls: (max_connections / 20).max(2),
            lease_expiry_s: lease_s * CLOCK_DRIFT_FACTOR + EXPIRY_MARGIN_S,
            worker_failover_s: WORKER_TIMEOUT_S + WORKER_RETRY_PAUSE_S,
            failure_suspicion_s: heartbeat_interval_s * 3.5,
            gang_assembly_s: workers.gang_wait_s * 4.0,
            unreachable_zone_retention_s: lease_s * 3.0,
            starvation_wait_s: lease_s * 3.0,
            max_idle_capacity_wait_s: MAX_WAIT_BESIDE_CAPACITY_S * 0.5,
            gang_reservation_s: MAX_WAIT_BESIDE_CAPACITY_S * 0.75,
            reappearance_wait_s: heartbeat_interval_s * 1.75,
            abandoned_submission_s: SUBMISSION_RETRY_S * 10.0,
            heartbeat_validity_s: heartbeat_interval_s * 3.0,
            max_heartbeat_gap_s: heartbeat_interval_s * 1.75,
            planning_interval_s: heartbeat_interval_s / 3.0,
            store_timeout_s: STORE_TIMEOUT_S,
            hedge_after_s: STORE_TIMEOUT_S / 10.0,
            cloud_timeout_s: CLOUD_TIMEOUT_S,
        }
    }
}
