//! Which node answers which worker, and on whose leave: state machines without
//! clock or I/O.
//!
//! Every node takes workers' reports ([`Gateway`]); the leader alone decides.
//! It gives each node a leave for a few seconds with every reply to a relay
//! ([`Relays`]), and workers are shared out by what the nodes can take
//! ([`Spread`]). `docs/gateways.md` has the safety argument.

mod forwarding;
mod heartbeat_observations;
mod heartbeat_proxy;
mod peer_liveness;
mod shard_balancer;
mod zone_reachability;

pub use forwarding::{Relays, Reply, Source};
pub use heartbeat_observations::{Hearing, Spans};
pub use heartbeat_proxy::{Act, Gateway, GatewayGuards};
pub use peer_liveness::Presence;
pub use shard_balancer::{Lateness, Member, Spread};
pub use zone_reachability::Reach;

/// Seconds on the node's steady clock.
pub type Time = f64;
/// A request that waits at this node for its answer.
pub type RequestId = u64;
