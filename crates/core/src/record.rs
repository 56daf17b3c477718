//! What the controllers keep in the state service, and under which keys.

use serde::ser::SerializeTuple;
use serde::{Deserialize, Serialize, Serializer};
use wire::cloud::MachineType;
use wire::job::{JobSpec, JobStatus};

pub const LEADER_KEY: &str = "a/leader";
pub const TYPES_KEY: &str = "a/types";
pub const NODE_PREFIX: &str = "a/";
pub const JOB_PREFIX: &str = "j/";
pub const PAGE_PREFIX: &str = "t/";
/// Jobs that are over, out of the way of lists of those that are not.
pub const OVER_PREFIX: &str = "jo/";
/// Both kinds of jobs, for watches: a job is in one place at every revision.
pub const JOBS_WATCHED: &str = "j";
/// Which images the machines hold, for the next leader.
pub const IMAGES_PREFIX: &str = "i/";
/// The format that all nodes can read. Written once they have all said so.
pub const FORMAT_KEY: &str = "f/format";
/// Jobs that are over lie in a place of their own.
pub const FORMAT: u32 = 2;

pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

pub fn over_key(id: &str) -> String {
    format!("{OVER_PREFIX}{id}")
}

/// The job that a key of either place is of.
pub fn id_of(key: &str) -> Option<&str> {
    key.strip_prefix(JOB_PREFIX).or_else(|| key.strip_prefix(OVER_PREFIX))
}

pub fn images_key(part: usize) -> String {
    format!("{IMAGES_PREFIX}{part:04}")
}

/// The job and number of a page's key.
pub fn page_of_key(key: &str) -> Option<(&str, usize)> {
    let (id, number) = key.strip_prefix(PAGE_PREFIX)?.rsplit_once('/')?;
    Some((id, number.parse().ok()?))
}

pub fn page_key(id: &str, page: usize) -> String {
    format!("{PAGE_PREFIX}{id}/{page:06}")
}

/// Every stored value is one of these, told apart by the map's only key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Value {
    Leader(LeaderRecord),
    Types(Vec<MachineType>),
    Job(Box<JobRecord>),
    Page(PageRecord),
    Over(OverRecord),
    Images(ImagesRecord),
    Format(u32),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
    /// When it claimed, by its time of day in seconds; 0 from nodes that do not tell.
    #[serde(default)]
    pub at: f64,
    /// How often in a row this node took over from an earlier start of its own that had
    /// not led for long.
    #[serde(default)]
    pub again: u32,
}

/// What is left of a job that is over: all that users are ever told of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OverRecord {
    pub status: JobStatus,
    pub done: u32,
    /// Time of day of the submission, in seconds.
    pub at: f64,
}

/// The images that some machines hold, the latest first.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Names and sizes in GB.
    pub images: Vec<(String, f64)>,
    /// Machines, with places in `images`.
    pub machines: Vec<(String, Vec<u32>)>,
}

/// One task's place: committed before its launch, removed only on proof.
/// Stored as a list, which takes half the room of a map; records that an earlier
/// version stored as maps are read as well.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoredPlacement {
    pub task: u32,
    pub attempt: u64,
    pub machine: String,
}

impl Serialize for StoredPlacement {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let mut t = s.serialize_tuple(3)?;
        t.serialize_element(&self.task)?;
        t.serialize_element(&self.attempt)?;
        t.serialize_element(&self.machine)?;
        t.end()
    }
}

impl StoredPlacement {
    /// Bytes in JSON, at most: both numbers, the name, and what is around them.
    pub fn size(task: u32, attempt: u64, machine: &str) -> usize {
        let digits = |n: u64| n.checked_ilog10().unwrap_or(0) as usize + 1;
        digits(u64::from(task)) + digits(attempt) + machine.len() + 7
    }
}

/// State of the tasks of one page of a job.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PageRecord {
    /// Finished tasks, four to a hexadecimal digit, lowest number first.
    pub done: String,
    pub places: Vec<StoredPlacement>,
}

/// A job's record. Its first page of tasks is inlined, so that a job of
/// ordinary size is one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub spec: JobSpec,
    /// Time of day of the submission, in seconds.
    pub at: f64,
    pub status: JobStatus,
    pub done: u32,
    pub running: u32,
    /// Highest attempt number given out.
    pub attempt: u64,
    /// Tasks per page; kept so that other settings cannot reinterpret it.
    pub per_page: u32,
    pub page: PageRecord,
    /// Machines that have its image, as far as it ran there; a new leader
    /// learns from it what idle machines hold.
    #[serde(default)]
    pub ran_on: Vec<String>,
}

/// Most machines that a record remembers.
pub const MOST_RAN_ON: usize = 40;

/// A placement's usual size in JSON, and what a job's record takes without any.
const PLACE_BYTES: f64 = 24.0;
const REST_BYTES: f64 = 2048.0;

/// Tasks per page such that a page full of placements usually stays within a
/// value's limit. Names longer than usual fill a page with fewer: what is over
/// waits (`Job::room_on_page`).
pub fn tasks_per_page(value_kb: f64) -> u32 {
    ((page_room(value_kb) / PLACE_BYTES) as u32).clamp(8, 4096) / 4 * 4
}

/// Bytes that the placements of one page may take.
pub fn page_room(value_kb: f64) -> f64 {
    (value_kb * 1024.0 - REST_BYTES).max(value_kb * 256.0)
}

pub fn pack_bits(bits: &[bool]) -> String {
    bits.chunks(4)
        .map(|c| {
            let n = c.iter().enumerate().fold(0u32, |n, (i, &b)| n | (u32::from(b) << i));
            char::from_digit(n, 16).unwrap_or('0')
        })
        .collect()
}

/// Sets the bits that `text` has set; never clears one.
pub fn merge_bits(bits: &mut [bool], text: &str) {
    for (i, c) in text.chars().enumerate() {
        let n = c.to_digit(16).unwrap_or(0);
        for b in 0..4 {
            if n & (1 << b) != 0 {
                if let Some(bit) = bits.get_mut(i * 4 + b) {
                    *bit = true;
                }
            }
        }
    }
}
