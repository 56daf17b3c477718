//! The rule that decides whether a job's values fit the store's limit. A job is accepted, stored and
//! placed by the same rule: if these used different estimates, a job could be accepted whose
//! placements never fit its record.

use super::page_size::{tasks_per_page, MIN_TASKS_PER_PAGE, RECORD_OVERHEAD_BYTES, TASKS_PER_DIGIT};
use super::{json_size, spec_stub, JobRecord, StoredPlacement, SPEC_CHUNKS_FIELD_BYTES};
use protocol::job::{JobSpec, MAX_TASKS};

/// JSON size of a page's value without its placements and completion bits, in bytes.
const PAGE_OVERHEAD_BYTES: usize = 60;
/// Length of a machine's name, in bytes, for which a record with the whole specification keeps room.
const RESERVED_MACHINE_NAME_BYTES: usize = 64;
/// Attempt number for which a record with the whole specification keeps room.
const RESERVED_ATTEMPT: u64 = u32::MAX as u64;

/// Upper bounds of the JSON sizes of a job's values: its main record, which contains its first page
/// of tasks, and its other pages. All sizes are in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobValueSizes {
    /// Size of the specification, or of its stub and the reference to its chunks.
    spec_bytes: usize,
    is_spec_chunked: bool,
}

impl JobValueSizes {
    /// Returns the sizes if the record contains the whole specification.
    pub fn with_whole_spec(spec: &JobSpec) -> Self {
        JobValueSizes { spec_bytes: json_size(spec), is_spec_chunked: false }
    }

    /// Returns the sizes if the specification is stored in chunks.
    pub fn with_chunked_spec(spec: &JobSpec) -> Self {
        let spec_bytes = json_size(&spec_stub(spec)) + SPEC_CHUNKS_FIELD_BYTES;
        JobValueSizes { spec_bytes, is_spec_chunked: true }
    }

    /// Returns the sizes of the job with this record.
    pub fn of_record(record: &JobRecord) -> Self {
        match record.spec_chunks {
            Some(_) => Self::with_chunked_spec(&record.spec),
            None => Self::with_whole_spec(&record.spec),
        }
    }

    /// Whether the specification is stored in chunks.
    pub fn is_spec_chunked(&self) -> bool {
        self.is_spec_chunked
    }

    /// Returns the maximum size of a page's value with `tasks` tasks whose placements take
    /// `placement_bytes`. For the first page, this is the main record without the list of machines
    /// that have the job's image.
    pub fn page_bytes(&self, page: usize, tasks: usize, placement_bytes: usize) -> usize {
        let fixed_bytes = match page {
            0 => self.spec_bytes + RECORD_OVERHEAD_BYTES,
            _ => PAGE_OVERHEAD_BYTES,
        };
        fixed_bytes + tasks.div_ceil(TASKS_PER_DIGIT) + placement_bytes
    }

    /// Whether a record with this specification keeps room for the placements of the smallest first
    /// page of a job with `tasks` tasks, in a value of at most `max_value_bytes`.
    pub fn leaves_room_for_first_page(&self, tasks: u32, max_value_bytes: usize) -> bool {
        let first_page_tasks = tasks.min(MIN_TASKS_PER_PAGE) as usize;
        let placement_bytes =
            StoredPlacement::max_size(MAX_TASKS, RESERVED_ATTEMPT, RESERVED_MACHINE_NAME_BYTES);
        self.page_bytes(0, first_page_tasks, first_page_tasks * placement_bytes) <= max_value_bytes
    }

    /// Returns the number of tasks per page such that a page full of placements usually fits
    /// `max_value_bytes`.
    pub fn tasks_per_page(&self, max_value_bytes: usize) -> u32 {
        tasks_per_page(max_value_bytes, self.spec_bytes)
    }
}
