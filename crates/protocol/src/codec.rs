//! MessagePack bodies: a map with text keys, and nothing after it.

use serde::{de::DeserializeOwned, Serialize};

/// A body that is not what its path asks for.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The body does not begin with a map.
    #[error("not a MessagePack map")]
    NotAMap,
    /// A field is missing, has the wrong type or is out of range; the text says which.
    #[error("{0}")]
    Field(String),
    /// The body goes on after the map.
    #[error("bytes after the map")]
    Trailing,
}

/// Encodes `value` as a MessagePack map keyed by text.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serializing into memory fails only for types that refuse to be serialized; none of the wire
    // types does.
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Decodes one map.
///
/// # Errors
/// If the body is not a map of the expected fields, or goes on after it.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    match decode_prefix(body)? {
        (value, []) => Ok(value),
        _ => Err(DecodeError::Trailing),
    }
}

/// Decodes the map that `body` begins with, and returns what follows it. A sequence is refused
/// although serde would accept it for a struct: the protocol has only maps.
///
/// # Errors
/// If the body does not begin with a map of the expected fields.
pub fn decode_prefix<T: DeserializeOwned>(body: &[u8]) -> Result<(T, &[u8]), DecodeError> {
    // Markers of a map: of up to 15 entries, with a 16-bit and with a 32-bit size.
    let Some(0x80..=0x8f | 0xde | 0xdf) = body.first() else { return Err(DecodeError::NotAMap) };
    let mut rest = body;
    let mut deserializer = rmp_serde::Deserializer::new(&mut rest);
    let value = T::deserialize(&mut deserializer).map_err(|error| DecodeError::Field(error.to_string()))?;
    drop(deserializer);
    Ok((value, rest))
}
