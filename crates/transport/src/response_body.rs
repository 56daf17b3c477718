//! Encoding of query values and decoding of response bodies, for all HTTP services.

use tracing::warn;

/// Percent-encodes the characters that a query value may not contain.
pub(crate) fn percent_encode(text: &str) -> String {
    text.bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' | b'/' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}

/// Decodes a response body; if it is malformed, logs a warning and returns None. `expected`
/// names the expected content in the log.
pub(crate) fn decode_or_warn<T: serde::de::DeserializeOwned>(body: &[u8], expected: &str) -> Option<T> {
    match protocol::decode(body) {
        Ok(value) => Some(value),
        Err(error) => {
            warn!(what = expected, error = %error, "malformed response");
            None
        }
    }
}

/// Returns the text of an error response, empty if it cannot be decoded.
pub(crate) fn error_text(body: &[u8]) -> String {
    protocol::decode::<protocol::job::ErrorResponse>(body).map(|response| response.error).unwrap_or_default()
}
