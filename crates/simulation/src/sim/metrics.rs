//! Metrics of a run.

/// Counters and durations of a run so far.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Metrics {
    /// Tasks that started.
    pub task_starts: u64,
    /// Tasks that failed.
    pub task_failures: u64,
    /// Transactions that failed because of a version conflict.
    pub conflicts: u64,
    /// Mutations sent to the store.
    pub mutations: u64,
    /// Transactions without a response that were executed, successfully or not, after a newer
    /// transaction of the same node had been applied.
    pub overtaken_writes: u64,
    /// Calls that sent commands directly to workers.
    pub direct_calls: u64,
    /// Heartbeats that workers sent.
    pub heartbeats: u64,
    /// Requests with which controllers forwarded heartbeats.
    pub forward_requests: u64,
    /// Heartbeats in the forward requests.
    pub forwarded_heartbeats: u64,
    /// Bytes of the forward requests and their replies.
    pub forward_bytes: u64,
    /// Calls to the cloud by leaders that had been replaced.
    pub cloud_calls_by_replaced_leaders: u64,
    /// Longest time, in seconds, for which a replaced leader considered itself the leader.
    pub max_dual_leadership_s: f64,
    /// Longest time without any leader, in seconds.
    pub max_leaderless_s: f64,
}
