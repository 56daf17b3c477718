//! What the controllers keep in the store, and under which keys. `docs/upgrades.md`
//! says which version reads and writes which format.

mod completion_bits;
mod json_size;
mod keys;
mod page_size;
mod specification;
mod values;

pub use completion_bits::{merge_bits, pack_bits};
pub use json_size::json_size;
pub use keys::*;
pub(crate) use page_size::{halved_page, MIN_TASKS_PER_PAGE};
pub use page_size::{tasks_per_page, RECORD_OVERHEAD_BYTES};
pub use specification::{catalogue_chunks, parse_catalogue, spec_stub, SpecChunks, SPEC_CHUNKS_FIELD_BYTES};
pub use values::*;

/// The record format that this version reads and writes. 2: terminal jobs are stored apart from
/// live ones. 3: pages have layouts, and jobs have dependencies.
pub const FORMAT: u32 = 3;
/// From this format on, terminal jobs may be moved to their own prefix.
pub const ARCHIVE_FORMAT: u32 = 2;
