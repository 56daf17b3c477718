//! Records that the controllers keep in the store, and their keys. `docs/upgrades.md` lists the
//! formats that each version reads and writes.

mod completion_bits;
mod json_size;
mod keys;
mod page_size;
mod specification;
mod value_fit;
mod values;

pub use completion_bits::{merge_bits, pack_bits};
pub use json_size::json_size;
pub(crate) use json_size::json_text_bytes;
pub use keys::*;
pub(crate) use page_size::{halved_page, MIN_TASKS_PER_PAGE};
pub use page_size::{tasks_per_page, RECORD_OVERHEAD_BYTES};
pub use specification::{catalogue_chunks, parse_catalogue, spec_stub, SpecChunks, SPEC_CHUNKS_FIELD_BYTES};
pub use value_fit::JobValueSizes;
pub use values::*;

/// Record format that this version reads and writes. Format 2 stores terminal jobs apart from live
/// jobs; format 3 adds page layouts and job dependencies.
pub const FORMAT: u32 = 3;
/// First format in which terminal jobs may be archived under their own prefix.
pub const ARCHIVE_FORMAT: u32 = 2;
