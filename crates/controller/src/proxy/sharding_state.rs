//! A node's part in sharding the workers between the controllers.

use crate::messages::Time;
use settings::{Settings, Timing};
use sharding::{EventLoopLag, HeartbeatProxy, ShardBalancer};
use std::collections::BTreeMap;

/// Which workers this node serves, and how loaded it is.
pub(crate) struct ShardingState {
    /// Serves heartbeats on a delegated lease while another node leads.
    pub(crate) proxy: HeartbeatProxy,
    /// Decides which workers to redirect to other nodes.
    pub(crate) balancer: ShardBalancer,
    /// How late this node's timers fire.
    pub(crate) event_loop_lag: EventLoopLag,
    /// Whether this node served on a delegated lease at the last tick.
    pub(crate) was_proxying: bool,
    /// Workers that this node serves, as last counted.
    pub(crate) worker_count: u32,
    /// Workers that have come since the last count.
    pub(crate) new_workers: u32,
    /// When the workers were last counted.
    pub(crate) counted_at: Time,
    /// When each worker last sent a heartbeat to this node, whatever the response was, and the
    /// agent epoch and sequence number of that heartbeat.
    pub(crate) worker_contacts: BTreeMap<String, (Time, (u64, u64))>,
}

impl ShardingState {
    /// Of a node that serves no worker yet; `seed` is the proxy's source of randomness.
    pub(crate) fn new(settings: &Settings, seed: u64, timing: Timing) -> Self {
        ShardingState {
            proxy: HeartbeatProxy::new(&settings.node, seed, timing),
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
