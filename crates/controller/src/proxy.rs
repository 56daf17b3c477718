//! Heartbeats through every node: this node as a proxy, and the leader towards its proxies.

pub(crate) mod heartbeat_proxying;
pub(crate) mod sharding_state;
