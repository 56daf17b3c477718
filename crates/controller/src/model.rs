//! Data model of the controllers: jobs, machines, placements, and the records that store them.

pub(crate) mod cluster;
pub(crate) mod job;
pub(crate) mod machine;
pub(crate) mod page_layout;
pub mod records;
