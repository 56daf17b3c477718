//! The keys of the store, and what can be read off a key.

/// The leader's record. Its version is the fencing token.
pub const LEADER_KEY: &str = "a/leader";
/// The catalogue of machine types, if it fits one value.
pub const TYPES_KEY: &str = "a/types";
/// The leader's record and the catalogue.
pub const NODE_PREFIX: &str = "a/";
/// Records of live jobs.
pub const JOB_PREFIX: &str = "j/";
/// Pages of the tasks of live jobs.
pub const PAGE_PREFIX: &str = "t/";
/// Records of terminal jobs, kept apart from live jobs so that a new leader lists only live ones.
pub const TERMINAL_JOB_PREFIX: &str = "jo/";
/// The prefix to watch for live and terminal jobs: at every revision a job is under exactly one
/// of the two.
pub const JOB_WATCH_PREFIX: &str = "j";
/// Chunks of job specifications that are too large for the job's record.
pub const SPEC_CHUNK_PREFIX: &str = "w/";
/// Chunks of the catalogue of machine types, if it is too large for one value.
pub const CATALOGUE_PREFIX: &str = "y/";
/// Which images the machines hold, for the next leader.
pub const IMAGES_PREFIX: &str = "i/";
/// The record format that all nodes can read. Written once all nodes have reported that they can.
pub const FORMAT_KEY: &str = "f/format";
/// Cancellation marks of jobs whose own record is too large to be written again.
pub const MARK_PREFIX: &str = "jx/";

/// The key of a live job's record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// The key of a terminal job's record.
pub fn terminal_job_key(id: &str) -> String {
    format!("{TERMINAL_JOB_PREFIX}{id}")
}

/// The id of the job, live or terminal, whose record has this key.
pub fn job_id_of_key(key: &str) -> Option<&str> {
    key.strip_prefix(JOB_PREFIX).or_else(|| key.strip_prefix(TERMINAL_JOB_PREFIX))
}

/// The key of part `part` of the machines' images.
pub fn images_key(part: usize) -> String {
    format!("{IMAGES_PREFIX}{part:04}")
}

/// The key of chunk `chunk` of the catalogue of machine types.
pub(super) fn catalogue_key(chunk: usize) -> String {
    format!("{CATALOGUE_PREFIX}{chunk:05}")
}

/// The job id, page number and layout number in a page's key.
pub fn parse_page_key(key: &str) -> Option<(&str, usize, u32)> {
    let (id, page_and_layout) = key.strip_prefix(PAGE_PREFIX)?.rsplit_once('/')?;
    let (page, layout) = page_and_layout.split_once('.').unwrap_or((page_and_layout, "0"));
    Some((id, page.parse().ok()?, layout.parse().ok()?))
}

/// The key of a job's page in layout `layout`. Versions that know no layouts ignore the keys of
/// all layouts but the first (0).
pub fn page_key(id: &str, page: usize, layout: u32) -> String {
    match layout {
        0 => format!("{PAGE_PREFIX}{id}/{page:06}"),
        layout => format!("{PAGE_PREFIX}{id}/{page:06}.{layout}"),
    }
}

/// The key of a job's cancellation mark.
pub fn mark_key(id: &str) -> String {
    format!("{MARK_PREFIX}{id}")
}
