//! Size of a value as the store counts it: the number of bytes in JSON.

use serde::Serialize;
use serde_json::ser::Formatter;
use std::io::{self, Write};

/// Size of a value that cannot be serialized as JSON, and so is never stored. It exceeds every limit,
/// and is small enough that sums do not overflow.
const UNSERIALIZABLE_SIZE: usize = usize::MAX / 4;

/// Returns the number of bytes of `value` in JSON, with a space after every comma and colon, as some
/// versions of the store write it.
pub fn json_size<T: Serialize>(value: &T) -> usize {
    let mut serializer = serde_json::Serializer::with_formatter(ByteCounter(0), SpacedFormatter);
    match value.serialize(&mut serializer) {
        Ok(()) => serializer.into_inner().0,
        Err(_) => UNSERIALIZABLE_SIZE,
    }
}

/// JSON formatter that adds a space after every comma and colon.
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
