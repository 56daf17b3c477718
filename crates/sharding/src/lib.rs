//! Which node answers which worker, and on whose leave: state machines without
//! clock or I/O.
//!
//! Every node takes workers' reports ([`HeartbeatProxy`]); the leader alone decides.
//! It gives each node a leave for a few seconds with every reply to a relay
//! ([`HeartbeatForwarding`]), and workers are shared out by what the nodes can take
//! ([`ShardBalancer`]). `docs/gateways.md` has the safety argument.

mod forwarding;
mod heartbeat_observations;
mod heartbeat_proxy;
mod peer_liveness;
mod shard_balancer;
mod zone_reachability;

pub use forwarding::{DueReply, HeartbeatForwarding, ProxyId};
pub use heartbeat_observations::{HeartbeatObservations, ObservationWindows};
pub use heartbeat_proxy::{HeartbeatProxy, ProxyAction, ProxySafetyChecks};
pub use peer_liveness::PeerLiveness;
pub use shard_balancer::{EventLoopLag, ShardBalancer, ShardMember};
pub use zone_reachability::ZoneReachability;

/// Seconds on the node's steady clock.
pub type Time = f64;
/// A request that waits at this node for its answer.
pub type RequestId = u64;
