//! What a run is measured by.

/// Counts and durations of a run so far.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Metrics {
    /// Tasks that began.
    pub task_starts: u64,
    /// Tasks that failed.
    pub task_failures: u64,
    /// Transactions that failed on a condition.
    pub conflicts: u64,
    /// Mutations sent to the store.
    pub mutations: u64,
    /// Transactions that were carried out, or failed, after a newer one of the same node.
    pub overtaken_writes: u64,
    /// Calls with commands that went straight to workers.
    pub direct_calls: u64,
    /// Heartbeats that workers sent.
    pub heartbeats: u64,
    /// Requests by which controllers forwarded heartbeats to the leader.
    pub forward_requests: u64,
    /// Heartbeats in these requests.
    pub forwarded_heartbeats: u64,
    /// Bytes of these requests and their replies.
    pub forward_bytes: u64,
    /// Calls to the cloud by leaders that had been replaced.
    pub cloud_calls_by_replaced_leaders: u64,
    /// The longest time, in seconds, that a replaced leader took itself for the leader.
    pub max_dual_leadership_s: f64,
    /// The longest time, in seconds, without any leader.
    pub max_leaderless_s: f64,
}
