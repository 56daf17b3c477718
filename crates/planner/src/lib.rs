//! The planner of the Cura scheduler as a pure function.
//!
//! [`plan()`] takes a [`Problem`] (jobs that wait, machines as they are) and returns a [`Plan`]:
//! reservations by falling priority, of which those that begin now are started. The same problem
//! always gives the same plan, to the last bit: callers compare plans across nodes and in tests.
//! There is no clock, no I/O and no randomness in here.
//!
//! Times are seconds on the caller's clock, prices are per machine and second.

mod cost;
mod feasibility;
mod gang;
mod misfit;
mod ordering;
mod placement;
mod plan;
mod planner;
mod preemption;
mod problem;
mod quota;
mod resources;
pub mod starvation;
mod tasks;
mod timeline;
mod work_conservation;
mod zones;

pub use cost::{deferrals, pair_cost};
pub use ordering::order;
pub use plan::{plan, Plan, Reservation, Start, UnmetDemand};
pub use problem::{InstanceType, Job, Machine, PreemptionCandidate, Problem, RunningTask, Shape, TeamQuota};
pub use resources::Resources;
