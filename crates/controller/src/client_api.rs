//! Submissions, cancellations and status queries of clients. Every node serves them from the store.

pub(crate) mod cancellation_lineage;
mod cancellations;
pub(crate) mod client_requests;
mod dependency_checks;
mod feasibility;
pub(crate) mod hedged_requests;
pub(crate) mod record_location;
pub(crate) mod status_queries;
pub(crate) mod store_latency;
mod submissions;
