//! Runs a controller on real sockets and clocks, on a single thread.
//!
//! The [`controller`] crate is a state machine without I/O. This crate passes it requests,
//! replies and ticks, and carries out its outputs: HTTP responses to clients and workers,
//! gRPC between controllers, and calls to the key-value store, the cloud and the workers.

mod client;
mod cloud_client;
mod driver;
mod peers;
mod response_body;
mod server;
mod socket;
mod store_client;
mod timeouts;
mod worker_client;

pub use driver::run;

#[cfg(test)]
mod tests;
