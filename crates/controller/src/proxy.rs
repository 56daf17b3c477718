//! Proxying of heartbeats: this node as a proxy for the leader, and the leader's side of the
//! protocol with its proxies. The safety argument is in `docs/heartbeat_proxying.md`.

pub(crate) mod admission;
pub(crate) mod capacity;
pub(crate) mod follower;
pub(crate) mod forwarded_heartbeats;
pub(crate) mod leader_only;
pub(crate) mod sharding_state;
