//! MessagePack bodies: always a map at the top, nothing after it.

use serde::{de::DeserializeOwned, Serialize};

/// A body that is not what its path asks for.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum DecodeError {
    #[error("not a MessagePack map")]
    NotAMap,
    #[error("{0}")]
    Field(String),
    #[error("bytes after the map")]
    Trailing,
}

/// Encodes `value` as a MessagePack map keyed by text.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serialising into memory fails only for types that refuse to be
    // serialised; none of the wire types does.
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Decodes one map. A bare sequence is refused although serde would take it
/// for a struct: the protocol knows only maps.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    match first_map(body)? {
        (value, []) => Ok(value),
        _ => Err(DecodeError::Trailing),
    }
}

/// Decodes the map that `body` begins with, and returns what follows it.
pub fn first_map<T: DeserializeOwned>(body: &[u8]) -> Result<(T, &[u8]), DecodeError> {
    match body.first() {
        Some(0x80..=0x8f | 0xde | 0xdf) => {}
        _ => return Err(DecodeError::NotAMap),
    }
    let mut rest = body;
    let mut reader = rmp_serde::Deserializer::new(&mut rest);
    let value = T::deserialize(&mut reader).map_err(|e| DecodeError::Field(e.to_string()))?;
    drop(reader);
    Ok((value, rest))
}
