//! Number of tasks per page of a job.

/// Typical size of a placement in JSON bytes.
const TYPICAL_PLACEMENT_BYTES: usize = 24;
/// JSON bytes of a job's record besides its specification, placements and completion bits: field
/// names, and numbers at their maximum length.
pub const RECORD_OVERHEAD_BYTES: usize = 320;
/// Bytes of the first page that are left free for machine names, as far as the value limit allows.
const MACHINE_NAMES_BYTES: usize = 1792;
/// Minimum number of tasks per page. All page sizes are multiples of four, since a hexadecimal digit
/// encodes four completion bits.
pub(crate) const MIN_TASKS_PER_PAGE: u32 = 4;
/// Maximum number of tasks per page.
const MAX_TASKS_PER_PAGE: usize = 4096;
/// Number of completion bits per hexadecimal digit, which takes one byte.
pub(super) const TASKS_PER_DIGIT: usize = 4;

/// Returns the number of tasks per page such that a page full of placements usually fits
/// `max_value_bytes`. With longer names than usual, a page holds fewer placements and the other tasks
/// wait.
pub fn tasks_per_page(max_value_bytes: usize, spec_size: usize) -> u32 {
    let room = page_room(max_value_bytes, spec_size);
    // Each task takes a placement and a quarter of a byte for its completion bit.
    let tasks = room * TASKS_PER_DIGIT / (TYPICAL_PLACEMENT_BYTES * TASKS_PER_DIGIT + 1);
    round_to_digits(tasks.clamp(MIN_TASKS_PER_PAGE as usize, MAX_TASKS_PER_PAGE) as u32)
}

/// Returns half of `per_page` tasks, within the limits of a page.
pub(crate) fn halved_page(per_page: u32) -> u32 {
    round_to_digits((per_page / 2).max(MIN_TASKS_PER_PAGE))
}

fn round_to_digits(tasks: u32) -> u32 {
    let digit = TASKS_PER_DIGIT as u32;
    tasks / digit * digit
}

/// Returns the bytes available for placements and completion bits on the first page, which has the
/// least room of all pages.
fn page_room(max_value_bytes: usize, spec_size: usize) -> usize {
    let reserved = (spec_size + RECORD_OVERHEAD_BYTES).max(MACHINE_NAMES_BYTES.min(max_value_bytes / 4));
    max_value_bytes.saturating_sub(reserved)
}
