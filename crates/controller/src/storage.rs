//! Persistence of the cluster state: the leader's writes, the archive of terminal jobs, chunked
//! specifications, store limits and record formats.

pub(crate) mod archive;
pub(crate) mod fencing;
pub(crate) mod format_agreement;
pub(crate) mod format_negotiation;
pub(crate) mod spec_chunks;
pub(crate) mod store_limits;
pub(crate) mod undecodable;
pub(crate) mod write_queue;
