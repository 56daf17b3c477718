//! How many machines there should be: scale out, scale in, and the list of the cloud.

pub(crate) mod fleet;
pub(crate) mod zonal_demand;
