//! How many tasks fit one page of a job.

/// A placement's usual size in JSON, in bytes.
const TYPICAL_PLACEMENT_BYTES: usize = 24;
/// Bytes of a job's record in JSON beside its specification, placements and completion bits:
/// field names, and numbers at their longest.
pub const RECORD_OVERHEAD_BYTES: usize = 320;
/// Bytes of a first page that are left free for names of machines, where there is room.
const MACHINE_NAMES_BYTES: usize = 1792;
/// Fewest tasks of a page. All page sizes are multiples of four, since four completion
/// bits make a hexadecimal digit.
pub(crate) const MIN_TASKS_PER_PAGE: u32 = 4;
/// Most tasks of a page.
const MAX_TASKS_PER_PAGE: usize = 4096;
/// Completion bits in a hexadecimal digit, which is a byte.
const TASKS_PER_DIGIT: usize = 4;

/// Tasks per page such that a page full of placements usually stays within `max_value_bytes`.
/// Where names are longer than usual a page holds fewer placements, and the rest waits.
pub fn tasks_per_page(max_value_bytes: usize, spec_size: usize) -> u32 {
    let room = page_room(max_value_bytes, spec_size);
    // Each task takes a placement and a quarter of a byte for its completion bit.
    let tasks = room * TASKS_PER_DIGIT / (TYPICAL_PLACEMENT_BYTES * TASKS_PER_DIGIT + 1);
    round_to_digits(tasks.clamp(MIN_TASKS_PER_PAGE as usize, MAX_TASKS_PER_PAGE) as u32)
}

/// Half of `per_page` tasks, within the limits of a page.
pub(crate) fn halved_page(per_page: u32) -> u32 {
    round_to_digits((per_page / 2).max(MIN_TASKS_PER_PAGE))
}

fn round_to_digits(tasks: u32) -> u32 {
    let digit = TASKS_PER_DIGIT as u32;
    tasks / digit * digit
}

/// Bytes that placements and completion bits of a first page may take, and so of any page.
fn page_room(max_value_bytes: usize, spec_size: usize) -> usize {
    let reserved = (spec_size + RECORD_OVERHEAD_BYTES).max(MACHINE_NAMES_BYTES.min(max_value_bytes / 4));
    max_value_bytes.saturating_sub(reserved)
}
