//! State that a node keeps for the sharding of workers across the controllers.

use crate::messages::Time;
use settings::{Settings, Timing};
use sharding::{EventLoopLag, HeartbeatProxy, ShardBalancer};
use std::collections::BTreeMap;

/// Workers that this node serves, and the node's load.
pub(crate) struct ShardingState {
    /// Proxy that serves heartbeats under a delegated lease while another node leads.
    pub(crate) proxy: HeartbeatProxy,
    /// Balancer that decides which workers to redirect to other nodes.
    pub(crate) balancer: ShardBalancer,
    /// Lag of this node's timers.
    pub(crate) event_loop_lag: EventLoopLag,
    /// Whether this node had a valid delegated lease at the last tick.
    pub(crate) was_proxying: bool,
    /// Number of workers that this node serves, as of the last count.
    pub(crate) worker_count: u32,
    /// Number of workers admitted since the last count.
    pub(crate) new_workers: u32,
    /// Time of the last count of the workers.
    pub(crate) counted_at: Time,
    /// Time of each worker's last heartbeat to this node, regardless of the response, with the
    /// agent epoch and sequence number of that heartbeat.
    pub(crate) worker_contacts: BTreeMap<String, (Time, (u64, u64))>,
}

impl ShardingState {
    /// Creates the state of a node that serves no workers yet. `incarnation` has to differ between
    /// two starts of the same node.
    pub(crate) fn new(settings: &Settings, incarnation: u64, timing: Timing) -> Self {
        ShardingState {
            proxy: HeartbeatProxy::new(&settings.node, incarnation, timing),
            balancer: ShardBalancer::new(settings.params.workers.lease_s),
            event_loop_lag: EventLoopLag::default(),
            was_proxying: false,
            worker_count: 0,
            new_workers: 0,
            counted_at: 0.0,
            worker_contacts: BTreeMap::new(),
        }
    }
}
