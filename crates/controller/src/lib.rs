//! Controller of the cluster scheduler, as a state machine without I/O.
//!
//! [`Controller::handle`] processes one [`Input`] (a request, a reply, a tick) and returns the
//! [`Output`]s to carry out (responses, and calls to the store, the cloud, workers and other
//! controllers). It reads no clock, opens no socket, and derives all random numbers from its seed, so
//! a simulated run is deterministic.

mod agents;
mod autoscaling;
mod calls;
mod client_api;
mod controller;
mod election;
mod health;
mod inspection;
mod leader;
pub mod messages;
mod model;
mod proxy;
mod rate_limiter;
mod responses;
mod routing;
mod safety_checks;
mod scheduling;
mod storage;
mod terminal_states;
mod ticking;

pub(crate) use calls::CallContext;
pub use controller::Controller;
pub use messages::*;
pub use model::records;
pub(crate) use rate_limiter::RateLimiter;
pub use safety_checks::SafetyChecks;
pub use sharding::ProxySafetyChecks;
pub(crate) use terminal_states::TerminalStateCache;
