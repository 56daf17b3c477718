//! Construction and parsing of store keys.

/// Key of the leader's record, whose version is the fencing token.
pub const LEADER_KEY: &str = "a/leader";
/// Key of the machine type catalogue, if it fits one value.
pub const TYPES_KEY: &str = "a/types";
/// Common prefix of the leader's record and the machine type catalogue.
pub const NODE_PREFIX: &str = "a/";
/// Prefix of the records of live jobs.
pub const JOB_PREFIX: &str = "j/";
/// Prefix of the task pages of live jobs.
pub const PAGE_PREFIX: &str = "t/";
/// Prefix of the records of terminal jobs, stored apart so that a new leader lists only live jobs.
pub const TERMINAL_JOB_PREFIX: &str = "jo/";
/// Prefix of the watch on live and terminal jobs. At every revision, a job is stored under exactly
/// one of `JOB_PREFIX` and `TERMINAL_JOB_PREFIX`.
pub const JOB_WATCH_PREFIX: &str = "j";
/// Prefix of the chunks of specifications that are too large for the job's record.
pub const SPEC_CHUNK_PREFIX: &str = "w/";
/// Prefix of the chunks of the machine type catalogue, if it is too large for one value.
pub const CATALOGUE_PREFIX: &str = "y/";
/// Prefix of the images that the machines hold, stored for the next leader.
pub const IMAGES_PREFIX: &str = "i/";
/// Key of the record format that all nodes can read, written once every node is known to read it.
pub const FORMAT_KEY: &str = "f/format";
/// Prefix of the cancellation marks of jobs whose record is too large to be rewritten.
pub const MARK_PREFIX: &str = "jx/";

/// Returns the key of a live job's record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of a terminal job's record.
pub fn terminal_job_key(id: &str) -> String {
    format!("{TERMINAL_JOB_PREFIX}{id}")
}

/// Returns the id of the live or terminal job whose record has this key.
pub fn job_id_of_key(key: &str) -> Option<&str> {
    key.strip_prefix(JOB_PREFIX).or_else(|| key.strip_prefix(TERMINAL_JOB_PREFIX))
}

/// Returns the key of part `part` of the machines' images.
pub fn images_key(part: usize) -> String {
    format!("{IMAGES_PREFIX}{part:04}")
}

/// Returns the key of chunk `chunk` of the machine type catalogue.
pub(super) fn catalogue_key(chunk: usize) -> String {
    format!("{CATALOGUE_PREFIX}{chunk:05}")
}

/// Returns the job id, page number and layout number in a page's key.
pub fn parse_page_key(key: &str) -> Option<(&str, usize, u32)> {
    let (id, page_and_layout) = key.strip_prefix(PAGE_PREFIX)?.rsplit_once('/')?;
    let (page, layout) = page_and_layout.split_once('.').unwrap_or((page_and_layout, "0"));
    Some((id, page.parse().ok()?, layout.parse().ok()?))
}

/// Returns the key of a job's page in layout `layout`. Versions without layouts ignore the keys of
/// all layouts except the first (0).
pub fn page_key(id: &str, page: usize, layout: u32) -> String {
    match layout {
        0 => format!("{PAGE_PREFIX}{id}/{page:06}"),
        layout => format!("{PAGE_PREFIX}{id}/{page:06}.{layout}"),
    }
}

/// Returns the key of a job's cancellation mark.
pub fn mark_key(id: &str) -> String {
    format!("{MARK_PREFIX}{id}")
}
