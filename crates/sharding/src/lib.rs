//! Sharding of the workers over the controllers: which controller serves which
//! worker, and on which delegated lease. State machines without clock or I/O.
//!
//! Every controller accepts heartbeats ([`HeartbeatProxy`]), but only the leader
//! makes decisions. With each reply to a forwarded batch it delegates a lease of a
//! few seconds to the proxy ([`HeartbeatForwarding`]). Workers are spread over the
//! controllers by what these can serve ([`ShardBalancer`]). `docs/heartbeat_proxying.md` has
//! the safety argument.

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
/// A request that waits at this node for its response.
pub type RequestId = u64;
