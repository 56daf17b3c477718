//! Intervals and limits derived from the settings, most of them as a fixed ratio of one setting. The
//! ratios are explained here and nowhere else.

use crate::platform::Settings;

/// Timeout of a worker's request to a controller, in seconds (fixed by the protocol).
const WORKER_TIMEOUT_S: f64 = 4.0;

/// Pause of a worker before it tries the next controller, in seconds (fixed by the protocol).
const WORKER_RETRY_PAUSE_S: f64 = 1.0;

/// Timeout of a request to the key-value store, in seconds. It is shorter than the 2 s for which
/// clients wait for a response (fixed by the protocol).
const STORE_TIMEOUT_S: f64 = 1.5;

/// Timeout of a request to the cloud, in seconds.
const CLOUD_TIMEOUT_S: f64 = 5.0;

/// Maximum delay with which a worker acts on the expiry of its lease, in seconds (fixed by the
/// protocol).
pub(crate) const MAX_EXPIRY_DELAY_S: f64 = 0.1;

/// Margin added to a worker's lease before it is considered expired, in seconds. It covers the delay
/// of the expiry and the transmission of the last response.
const EXPIRY_MARGIN_S: f64 = 0.5;

/// Share of the time between the workers' lease and `cancel_s` for which a leader still responds to
/// heartbeats after its leadership was last confirmed.
pub(crate) const GRACE_SHARE: f64 = 0.75;

/// Time for which clients repeat a submission, in seconds (fixed by the protocol).
const SUBMISSION_RETRY_S: f64 = 60.0;

/// Maximum time for which work may wait while capacity that it could use is idle, in seconds
/// (specified by the operators).
const MAX_WAIT_BESIDE_CAPACITY_S: f64 = 90.0;

/// Maximum ratio between the rates of two clocks: each may deviate by 0.05%; the rest is a margin.
pub const CLOCK_DRIFT_FACTOR: f64 = 1.002;

/// Intervals and limits derived from the settings. All times are in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Duration of the leadership lease: a fifth of the workers' lease, so that a crashed leader is
    /// replaced, and every worker gets a response, well before the workers' leases expire.
    pub leader_lease_s: f64,
    /// Interval between two renewals of the leadership lease: a quarter of it, so that three renewals
    /// may be lost.
    pub renewal_interval_s: f64,
    /// Time for which a leader responds to heartbeats after it sent its last confirmed renewal, and
    /// after it sent the last read that showed all stored records: three quarters of the time between
    /// the workers' lease and `cancel_s`. The tasks of a partitioned leader then end in time for a
    /// cancellation that it cannot see.
    pub response_grace_s: f64,
    /// Timeout of a worker's request to a controller.
    pub worker_timeout_s: f64,
    /// Time for which the response to a heartbeat is deferred for the plan and the commit that its
    /// launches need: three eighths of the worker's timeout; a heartbeat proxy waits twice as long.
    /// With a quarter, machines of a large fleet missed plans and stayed idle until their next
    /// heartbeat.
    pub busy_heartbeat_hold_s: f64,
    /// Time for which the response to a heartbeat is deferred while a new leader reads the records:
    /// the worker's timeout less the transmission of the response.
    pub recovery_hold_s: f64,
    /// Time for which the response to an idle machine is deferred for a launch: well within the
    /// worker's timeout, and no longer than until its next heartbeat.
    pub idle_heartbeat_hold_s: f64,
    /// Time for which a node may respond to heartbeats on a delegated lease after it requested the
    /// lease: a quarter of the time between the workers' lease and `cancel_s` (the response grace
    /// takes the rest), and at most a third of the workers' lease, because the leader has to wait for
    /// the delegated lease to expire when the node is lost.
    pub delegated_lease_s: f64,
    /// Maximum time for which the leader keeps a forwarding request open while it has nothing to send:
    /// two replies per second at the longest usual heartbeat interval.
    pub forward_interval_s: f64,
    /// Time without a reply after which a forwarding request has failed: three quarters of the
    /// delegated lease, so that a late reply still delegates a lease for the remaining quarter. It has
    /// to allow for a busy leader, which sometimes plans for a second.
    pub forward_timeout_s: f64,
    /// Number of workers that a node usually serves: seven tenths of its sockets. Half of the other
    /// sockets are for clients, a third for the node's own connections and other controllers, and a
    /// sixth for direct calls to workers.
    pub worker_capacity: u32,
    /// Maximum number of workers that a node serves when no other node has capacity; 7% of the
    /// sockets always stay available to clients.
    pub max_workers: u32,
    /// Maximum number of connections of clients and workers together.
    pub max_front_connections: usize,
    /// Maximum number of concurrent direct calls to workers.
    pub max_worker_calls: usize,
    /// Time after its last response at which a worker's lease has certainly expired.
    pub lease_expiry_s: f64,
    /// Time after which a worker that gets no response tries the next node: its timeout plus the pause
    /// that the protocol prescribes.
    pub worker_failover_s: f64,
    /// Time without a heartbeat after which a machine is suspected to have failed: three missed
    /// heartbeats.
    pub failure_suspicion_s: f64,
    /// Time after its launch for which a gang's attempt is continued by restarting tasks that gave up
    /// waiting: four times the gang's wait, in which the largest image reaches the slowest machine.
    pub gang_assembly_s: f64,
    /// Time for which machines of an unreachable zone are kept: three leases. After the first one
    /// certainly nothing runs there any more; the other two cost about as much as renting and booting
    /// new machines.
    pub unreachable_zone_retention_s: f64,
    /// A class or team with almost nothing running is starving after its jobs have waited for this
    /// time: three leases, by which work that a partition or a crash delayed has been started again.
    pub starvation_wait_s: f64,
    /// Time after which a job that waits while capacity that it could use is idle takes that capacity,
    /// whatever it is kept for: half of what the operators allow. The other half is for the plan, the
    /// commit and the launch.
    pub max_idle_capacity_wait_s: f64,
    /// Time for which capacity may be kept for an overdue job that cannot use it yet: three quarters
    /// of the time for which the operators let work wait while capacity is idle.
    pub gang_reservation_s: f64,
    /// Time for which a leader whose authority was confirmed again does not scale out for work that
    /// could run on machines that have not sent a heartbeat since: the longest gap between two
    /// heartbeats.
    pub reappearance_wait_s: f64,
    /// Time after which records of a submission that no job refers to are deleted: ten times as long
    /// as clients repeat a submission.
    pub abandoned_submission_s: f64,
    /// Time since its last heartbeat for which a worker is considered able to reach the node: three
    /// heartbeat intervals.
    pub heartbeat_validity_s: f64,
    /// Longest usual gap between two heartbeats of a worker, with a margin for the transmission.
    pub max_heartbeat_gap_s: f64,
    /// Interval between two plans when nothing happens: a third of the heartbeat interval.
    pub planning_interval_s: f64,
    /// Timeout of a request to the key-value store.
    pub store_timeout_s: f64,
    /// Time after which a request to the key-value store that a client waits for is sent again: a
    /// tenth of the store's timeout, many times as long as a response usually takes.
    pub hedge_after_s: f64,
    /// Timeout of a request to the cloud.
    pub cloud_timeout_s: f64,
}

impl From<&Settings> for Timing {
    fn from(settings: &Settings) -> Self {
        let workers = &settings.params.workers;
        let heartbeat_interval_s = workers.heartbeat_interval_s;
        let lease_s = workers.lease_s;
        let cancellation_margin_s = workers.cancel_s - lease_s;
        let delegated_lease_s = (cancellation_margin_s / 4.0).min(lease_s / 3.0);
        let max_connections = settings.params.resources.max_connections;
        let share_of_connections = |share: f64| max_connections as f64 * share;
        Timing {
            leader_lease_s: (lease_s / 5.0).clamp(0.5, 60.0),
            renewal_interval_s: (lease_s / 20.0).clamp(0.1, 15.0),
            response_grace_s: cancellation_margin_s * GRACE_SHARE,
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
