//! Wire formats of anisecroft: what users, workers, the cloud and the state
//! service exchange with a controller. Rust names are the scheduling field's;
//! `serde` renames map them to the words on the wire.

pub mod cloud;
pub mod codec;
pub mod forwarding;
pub mod job;
pub mod state;
pub mod worker;

pub use codec::{decode, encode, first_map, DecodeError};

/// Largest request body a receiver has to take, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// The controllers' own protocol, generated from `proto/peer.proto`.
#[allow(clippy::all)]
pub mod peer {
    tonic::include_proto!("anisecroft.peer.v1");
}
