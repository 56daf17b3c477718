//! The size of the fleet: how many machines of each pool there should be, scale-out and
//! scale-in, and the cloud's catalogue and machine list.
//!
//! `desired_capacity` decides after each plan how many machines a pool needs. `scale_out` and
//! `scale_in` bring the fleet there, one call to the cloud at a time.

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
