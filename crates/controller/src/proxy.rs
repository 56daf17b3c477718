//! Heartbeats through every node: this node as a proxy for the leader, and the leader towards its
//! proxies. `docs/heartbeat_proxying.md` argues why that is safe.

pub(crate) mod admission;
pub(crate) mod capacity;
pub(crate) mod follower;
pub(crate) mod forwarded_heartbeats;
pub(crate) mod leader_only;
pub(crate) mod sharding_state;
