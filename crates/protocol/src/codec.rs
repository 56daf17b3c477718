//! Encoding of message bodies: a single MessagePack map with text keys.

use serde::{de::DeserializeOwned, Serialize};

/// Reason why a body cannot be decoded.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The body does not begin with a map.
    #[error("not a MessagePack map")]
    NotAMap,
    /// A field is missing, has the wrong type or is out of range; the text names the field.
    #[error("{0}")]
    Field(String),
    /// The body continues after the map.
    #[error("bytes after the map")]
    Trailing,
}

/// Encodes `value` as a MessagePack map with text keys.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serialization into memory fails only for types whose serializer returns an error, which no wire
    // type does.
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Decodes a body that consists of one map.
///
/// # Errors
/// If the body is not a map of the expected fields, or continues after it.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    match decode_prefix(body)? {
        (value, []) => Ok(value),
        _ => Err(DecodeError::Trailing),
    }
}

/// Decodes the map at the beginning of `body`. Returns the value and the bytes after the map. A
/// sequence is rejected although serde would accept it for a struct, because the protocol has only
/// maps.
///
/// # Errors
/// If the body does not begin with a map of the expected fields.
pub fn decode_prefix<T: DeserializeOwned>(body: &[u8]) -> Result<(T, &[u8]), DecodeError> {
    // Markers of maps with up to 15 entries, with a 16-bit size and with a 32-bit size.
    let Some(0x80..=0x8f | 0xde | 0xdf) = body.first() else { return Err(DecodeError::NotAMap) };
    let mut rest = body;
    let mut deserializer = rmp_serde::Deserializer::new(&mut rest);
    let value = T::deserialize(&mut deserializer).map_err(|error| DecodeError::Field(error.to_string()))?;
    drop(deserializer);
    Ok((value, rest))
}
