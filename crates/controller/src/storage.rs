//! How the leader keeps the store in step: writes, the archive, chunked specifications, limits and formats.

pub(crate) mod archive;
pub(crate) mod format_negotiation;
pub(crate) mod spec_chunks;
pub(crate) mod store_limits;
pub(crate) mod undecodable;
pub(crate) mod write_queue;
