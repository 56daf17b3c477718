//! Wire formats: messages that clients, workers, the cloud and the key-value store exchange with a
//! controller, and the protocol between controllers.
//!
//! Names in Rust are the usual terms of scheduling. Serde attributes map them to the names on the
//! wire, which are fixed.

pub mod cloud;
pub mod codec;
pub mod forwarding;
pub mod job;
pub mod state;
pub mod worker;

pub use codec::{decode, decode_prefix, encode, DecodeError};

/// Maximum size of a request body that a receiver has to accept, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Protocol between controllers, generated from `proto/peer.proto`, where it is documented.
#[allow(clippy::all, missing_docs)]
pub mod peer {
    tonic::include_proto!("anisecroft.peer.v1");
}
