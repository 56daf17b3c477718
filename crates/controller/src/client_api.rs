//! Submissions, cancellations and status queries, served by every node from the store.

pub(crate) mod cancellation_lineage;
pub(crate) mod client_requests;
pub(crate) mod hedged_requests;
pub(crate) mod status_queries;
pub(crate) mod store_latency;
