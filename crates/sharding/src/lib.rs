//! Which node answers which worker, and on whose leave: state machines without
//! clock or I/O.
//!
//! Every node takes workers' reports ([`Gateway`]); the leader alone decides.
//! It gives each node a leave for a few seconds with every reply to a relay
//! ([`Relays`]), and workers are shared out by what the nodes can take
//! ([`Spread`]). `docs/gateways.md` has the safety argument.

mod gateway;
mod hearing;
mod presence;
mod reach;
mod relays;
mod spread;

pub use gateway::{Act, Gateway, GatewayGuards};
pub use hearing::{Hearing, Spans};
pub use presence::Presence;
pub use reach::Reach;
pub use relays::{Relays, Reply, Source};
pub use spread::{Lateness, Member, Spread};

/// Seconds on the node's steady clock.
pub type Time = f64;
/// A request that waits at this node for its answer.
pub type RequestId = u64;
