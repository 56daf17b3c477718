//! Autoscaling: the desired capacity of each machine pool, scale-out and scale-in, and the cloud's
//! machine type catalogue and machine list.
//!
//! `desired_capacity` computes the number of machines that each pool needs after each plan.
//! `scale_out` and `scale_in` adjust the fleet accordingly, each with one cloud call at a time.

mod arrival_forecast;
mod desired_capacity;
pub(crate) mod fleet;
mod machine_catalogue;
mod machine_list;
mod pool_demand;
mod pool_usage;
mod scale_in;
mod scale_out;
pub(crate) mod zonal_demand;
