//! Size of a value as the store counts it: the number of bytes in JSON.

use serde::Serialize;
use serde_json::ser::Formatter;
use std::io::{self, Write};

/// Size of a value that cannot be serialized as JSON, and so is never stored. It exceeds every limit,
/// and is small enough that sums do not overflow.
const UNSERIALIZABLE_SIZE: usize = usize::MAX / 4;
/// Bytes of the JSON escape sequence of a UTF-16 code unit.
const ESCAPE_SEQUENCE_BYTES: usize = 6;

/// Returns the maximum number of bytes of `value` in JSON: some versions of the store write a space
/// after every comma and colon, and characters beyond ASCII as escape sequences.
pub fn json_size<T: Serialize>(value: &T) -> usize {
    let mut serializer = serde_json::Serializer::with_formatter(ByteCounter(0), SpacedFormatter);
    match value.serialize(&mut serializer) {
        Ok(()) => serializer.into_inner().0,
        Err(_) => UNSERIALIZABLE_SIZE,
    }
}

/// Returns the maximum number of bytes of `text` in a JSON string, without the quotes.
pub(crate) fn json_text_bytes(text: &str) -> usize {
    text.chars().map(json_char_bytes).sum()
}

/// Returns the maximum number of bytes of a character in a JSON string.
pub(super) fn json_char_bytes(character: char) -> usize {
    match character {
        '"' | '\\' => 2,
        ' '..='~' => 1,
        _ => ESCAPE_SEQUENCE_BYTES * character.len_utf16(),
    }
}

/// JSON formatter that adds a space after every comma and colon, and counts characters beyond ASCII as
/// escape sequences.
struct SpacedFormatter;

impl SpacedFormatter {
    fn separator(first: bool) -> &'static [u8] {
        if first {
            b""
        } else {
            b", "
        }
    }
}

impl Formatter for SpacedFormatter {
    fn begin_array_value<W: ?Sized + Write>(&mut self, writer: &mut W, first: bool) -> io::Result<()> {
        writer.write_all(Self::separator(first))
    }

    fn begin_object_key<W: ?Sized + Write>(&mut self, writer: &mut W, first: bool) -> io::Result<()> {
        writer.write_all(Self::separator(first))
    }

    fn write_string_fragment<W: ?Sized + Write>(&mut self, writer: &mut W, fragment: &str) -> io::Result<()> {
        if fragment.is_ascii() {
            return writer.write_all(fragment.as_bytes());
        }
        let escape_sequence = [b'?'; ESCAPE_SEQUENCE_BYTES];
        for character in fragment.chars() {
            if character.is_ascii() {
                writer.write_all(&escape_sequence[..1])?;
            } else {
                (0..character.len_utf16()).try_for_each(|_| writer.write_all(&escape_sequence))?;
            }
        }
        Ok(())
    }

    fn begin_object_value<W: ?Sized + Write>(&mut self, writer: &mut W) -> io::Result<()> {
        writer.write_all(b": ")
    }
}

/// Writer that counts and discards bytes.
struct ByteCounter(usize);

impl Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
