//! Runs a controller on sockets and clocks, all on one thread.
//!
//! The [`controller`] crate is a state machine without I/O. This crate feeds it with
//! requests, replies and ticks, and carries out what it returns: HTTP for clients and
//! workers, gRPC between controllers, and calls to the key-value store and the cloud.

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
