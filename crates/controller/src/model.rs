//! The data of the controllers: jobs, machines, placements, and the records that they are stored as.

pub(crate) mod cluster;
pub(crate) mod job;
pub(crate) mod machine;
pub(crate) mod page_layout;
pub mod records;
