//! Sharding of the workers across the controllers: which controller serves which worker,
//! and under which delegated lease. State machines without a clock or I/O.
//!
//! Every controller accepts heartbeats ([`HeartbeatProxy`]), but only the leader makes
//! decisions. With each reply to a forwarded batch, the leader delegates a lease of a few
//! seconds to the proxy ([`HeartbeatForwarding`]). Workers are distributed over the
//! controllers by capacity ([`ShardBalancer`]). The safety argument is in
//! `docs/heartbeat_proxying.md`.

mod forwarding;
mod heartbeat_observations;
mod heartbeat_proxy;
mod identity;
mod peer_liveness;
mod shard_balancer;
mod zone_reachability;

pub use forwarding::{DueReply, HeartbeatForwarding};
pub use heartbeat_observations::{HeartbeatObservations, ObservationWindows};
pub use heartbeat_proxy::{HeartbeatProxy, ProxyAction, ProxySafetyChecks};
pub use identity::{LeaderIdentity, ProxyId};
pub use peer_liveness::PeerLiveness;
pub use shard_balancer::{EventLoopLag, ShardBalancer, ShardMember};
pub use zone_reachability::ZoneReachability;

/// Seconds on the node's monotonic clock.
pub type Time = f64;
/// Identifier of a request that waits for its response at this node.
pub type RequestId = u64;
