//! The stored values. Field names in the store differ from those in the code where serde says so,
//! and never change.

use super::json_size;
use super::page_size::tasks_per_page;
use super::specification::SpecChunks;
use protocol::cloud::MachineType;
use protocol::job::{JobSpec, JobStatus};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Serialize, Serializer};

/// Bytes by which the names of statuses differ, at most.
const STATUS_BYTES: usize = 8;
/// Most machines that a job's record remembers for their images.
pub const MAX_MACHINES_WITH_IMAGE: usize = 40;
/// Bytes of a stored placement in JSON beside its numbers and its machine's name.
const PLACEMENT_OVERHEAD_BYTES: usize = 10;

/// Any stored value. It is stored as a map whose only key names the variant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// Who leads.
    Leader(LeaderRecord),
    /// The catalogue of machine types.
    Types(Vec<MachineType>),
    /// A live job.
    Job(Box<JobRecord>),
    /// A page of a live job's tasks.
    Page(PageRecord),
    /// A terminal job, or a cancellation mark.
    #[serde(rename = "Over")]
    Terminal(TerminalRecord),
    /// A part of the machines' images.
    Images(ImagesRecord),
    /// The record format that all nodes can read.
    Format(u32),
    /// A chunk of a specification's or the catalogue's text.
    #[serde(rename = "Part")]
    SpecChunk(String),
    /// A value that this version cannot read; never written.
    #[serde(skip)]
    Undecodable,
}

/// Who leads. The version of its key is the fencing token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader's node id.
    pub node: String,
    /// Time of day of its election, in seconds; 0 from versions that do not say.
    #[serde(default)]
    #[serde(rename = "at")]
    pub elected_wall_s: f64,
    /// How often in a row this node succeeded an earlier process of its own that had
    /// not led for long.
    #[serde(default)]
    #[serde(rename = "again")]
    pub quick_restarts: u32,
    /// The store's lease that the election was made with; 0 from versions that do not say.
    #[serde(default)]
    pub lease: u64,
}

/// A terminal job: all that users can still ask about it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TerminalRecord {
    /// How it ended.
    pub status: JobStatus,
    /// Number of its tasks that are done.
    pub done: u32,
    /// Time of day of the submission, in seconds.
    #[serde(rename = "at")]
    pub submitted_wall_s: f64,
}

/// The images that some machines hold, the latest first.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Names and sizes in GB.
    pub images: Vec<(String, f64)>,
    /// Machines, each with indices into `images`.
    pub machines: Vec<(String, Vec<u32>)>,
}

/// A task's placement: stored before its launch, removed only on proof that the task is gone.
/// Stored as a list, which takes half the bytes of a map; maps of earlier versions are
/// read as well.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoredPlacement {
    /// The task's index in its job.
    pub task: u32,
    /// The attempt number.
    pub attempt: u64,
    /// The machine's id.
    pub machine: String,
}

impl Serialize for StoredPlacement {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut tuple = serializer.serialize_tuple(3)?;
        tuple.serialize_element(&self.task)?;
        tuple.serialize_element(&self.attempt)?;
        tuple.serialize_element(&self.machine)?;
        tuple.end()
    }
}

impl StoredPlacement {
    /// Bytes in JSON, at most: both numbers, the name, and the punctuation around them.
    pub fn size(task: u32, attempt: u64, machine: &str) -> usize {
        decimal_digits(u64::from(task)) + decimal_digits(attempt) + machine.len() + PLACEMENT_OVERHEAD_BYTES
    }
}

fn decimal_digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

/// A page of a job's tasks.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PageRecord {
    /// Completion bits, four to a hexadecimal digit, lowest task first.
    pub done: String,
    /// Placements of the page's tasks.
    #[serde(rename = "places")]
    pub placements: Vec<StoredPlacement>,
}

/// A live job. Its first page of tasks is part of the record, so that a job of
/// ordinary size is one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The specification, or its stub if the whole is stored in chunks.
    pub spec: JobSpec,
    /// Time of day of the submission, in seconds.
    #[serde(rename = "at")]
    pub submitted_wall_s: f64,
    /// The status as users see it.
    pub status: JobStatus,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that run.
    pub running: u32,
    /// Highest attempt number given out.
    pub attempt: u64,
    /// Tasks per page; stored so that other settings do not change how pages are read.
    pub per_page: u32,
    /// The first page of tasks.
    #[serde(rename = "page")]
    pub first_page: PageRecord,
    /// Machines that its tasks ran on and that so have its image; a new leader
    /// learns from it which images idle machines hold.
    #[serde(default)]
    #[serde(rename = "ran_on")]
    pub machines_with_image: Vec<String>,
    /// Time of day when the last of its dependencies was known to be done, in seconds. None:
    /// it has none, or still waits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "freed_at")]
    pub ready_wall_s: Option<f64>,
    /// Where its specification is stored, if that is too large for a record: `spec` is a stub
    /// then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "parts")]
    pub spec_chunks: Option<SpecChunks>,
    /// Number of its current page layout: pages of others do not count.
    #[serde(default, skip_serializing_if = "is_first_layout")]
    pub layout: u32,
}

fn is_first_layout(layout: &u32) -> bool {
    *layout == 0
}

impl JobRecord {
    /// A job that was submitted at that time of day (seconds), where a value may take
    /// `max_value_bytes`.
    pub fn new(spec: JobSpec, submitted_wall_s: f64, max_value_bytes: usize) -> Self {
        JobRecord {
            per_page: tasks_per_page(max_value_bytes, json_size(&spec)),
            submitted_wall_s,
            status: JobStatus::Pending,
            done: 0,
            running: 0,
            attempt: 0,
            first_page: PageRecord::default(),
            machines_with_image: Vec::new(),
            ready_wall_s: None,
            spec_chunks: None,
            layout: 0,
            spec,
        }
    }

    /// The record without its optional hints, to make it smaller.
    pub fn trimmed(mut self) -> Self {
        self.machines_with_image.clear();
        self
    }

    /// Whether its cancellation may be stored as a mark beside it, where a value may take
    /// `max_value_bytes`: the new status may not fit the record.
    pub fn may_have_cancellation_mark(&self, max_value_bytes: usize) -> bool {
        json_size(self) + STATUS_BYTES > max_value_bytes
    }

    /// The jobs that it still waits for, as far as the record shows.
    pub fn dependencies(&self) -> &[String] {
        if self.ready_wall_s.is_some() || self.status.is_final() {
            return &[];
        }
        &self.spec.dependencies
    }
}
