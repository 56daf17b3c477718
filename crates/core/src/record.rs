//! What the controllers keep in the state service, and under which keys.

use serde::{Deserialize, Serialize};
use wire::cloud::MachineType;
use wire::job::{JobSpec, JobStatus};

pub const LEADER_KEY: &str = "a/leader";
pub const TYPES_KEY: &str = "a/types";
pub const NODE_PREFIX: &str = "a/";
pub const JOB_PREFIX: &str = "j/";
pub const PAGE_PREFIX: &str = "t/";

pub fn job_key(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
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
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub node: String,
}

/// One task's place: committed before its launch, removed only on proof.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredPlacement {
    pub task: u32,
    pub attempt: u64,
    pub machine: String,
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

/// Tasks per page such that a page full of placements, of 48 bytes each in
/// JSON at most, stays within half of a value's limit.
pub fn tasks_per_page(value_kb: f64) -> u32 {
    ((value_kb * 1024.0 / 2.0 / 48.0) as u32).clamp(8, 4096) / 4 * 4
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
