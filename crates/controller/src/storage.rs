//! How the leader keeps the store up to date: writes, the archive of terminal jobs, chunked
//! specifications, limits and formats.

pub(crate) mod archive;
pub(crate) mod fencing;
pub(crate) mod format_agreement;
pub(crate) mod format_negotiation;
pub(crate) mod spec_chunks;
pub(crate) mod store_limits;
pub(crate) mod undecodable;
pub(crate) mod write_queue;
