//! Stored values. The field names in the store never change; where they differ from those in the code,
//! serde attributes name them.

use super::specification::SpecChunks;
use super::value_fit::JobValueSizes;
use super::{json_size, json_text_bytes};
use protocol::cloud::MachineType;
use protocol::job::{JobSpec, JobStatus};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Serialize, Serializer};

/// Maximum number of bytes by which a record grows when its status changes to a longer name.
const MAX_STATUS_GROWTH_BYTES: usize = 8;
/// Maximum number of machines that a job's record lists as holding its image.
pub const MAX_MACHINES_WITH_IMAGE: usize = 40;
/// JSON bytes of a stored placement besides its numbers and its machine's name.
const PLACEMENT_OVERHEAD_BYTES: usize = 10;

/// Stored value of any kind, encoded as a map whose only key names the variant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// Current leader.
    Leader(LeaderRecord),
    /// Machine type catalogue.
    Types(Vec<MachineType>),
    /// Live job.
    Job(Box<JobRecord>),
    /// Page of a live job's tasks.
    Page(PageRecord),
    /// Terminal job, or cancellation mark.
    #[serde(rename = "Over")]
    Terminal(TerminalRecord),
    /// Part of the images that the machines hold.
    Images(ImagesRecord),
    /// Record format that all nodes can read.
    Format(u32),
    /// Chunk of the text of a specification or of the machine type catalogue.
    #[serde(rename = "Part")]
    SpecChunk(String),
    /// Value that this version cannot decode; never written.
    #[serde(skip)]
    Undecodable,
}

/// Record of the current leader. The version of its key is the fencing token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Node id of the leader.
    pub node: String,
    /// Time of day of the election, in seconds; 0 if written by a version without this field.
    #[serde(default)]
    #[serde(rename = "at")]
    pub elected_wall_s: f64,
    /// Number of consecutive elections in which this node succeeded an earlier process of its own
    /// that had not led for long.
    #[serde(default)]
    #[serde(rename = "again")]
    pub quick_restarts: u32,
    /// Store lease of the election; 0 if written by a version without this field.
    #[serde(default)]
    pub lease: u64,
}

/// Terminal job, reduced to what users can still query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TerminalRecord {
    /// Final status.
    pub status: JobStatus,
    /// Number of completed tasks.
    pub done: u32,
    /// Time of day of the submission, in seconds.
    #[serde(rename = "at")]
    pub submitted_wall_s: f64,
}

/// Images held by some of the machines, the most recent first.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Image names and sizes in GB.
    pub images: Vec<(String, f64)>,
    /// Machines, each with indices into `images`.
    pub machines: Vec<(String, Vec<u32>)>,
}

/// Placement of a task, stored before the task's launch and removed only on proof that the task has
/// ended. It is encoded as a list, which takes half the bytes of a map; maps written by earlier
/// versions are also read.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct StoredPlacement {
    /// Index of the task in its job.
    pub task: u32,
    /// Attempt number.
    pub attempt: u64,
    /// Machine id.
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
    /// Returns an upper bound of its JSON bytes: both numbers, the name, and the punctuation.
    pub fn size(task: u32, attempt: u64, machine: &str) -> usize {
        Self::max_size(task, attempt, json_text_bytes(machine))
    }

    /// Returns an upper bound of the JSON bytes of a placement whose machine's name takes
    /// `machine_name_bytes`.
    pub(super) fn max_size(task: u32, attempt: u64, machine_name_bytes: usize) -> usize {
        let number_bytes = decimal_digits(u64::from(task)) + decimal_digits(attempt);
        number_bytes + machine_name_bytes + PLACEMENT_OVERHEAD_BYTES
    }
}

fn decimal_digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

/// Page of a job's tasks.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PageRecord {
    /// Completion bits, four per hexadecimal digit, lowest task first.
    pub done: String,
    /// Placements of the page's tasks.
    #[serde(rename = "places")]
    pub placements: Vec<StoredPlacement>,
}

/// Record of a live job. The first page of tasks is part of the record, so that a job of ordinary
/// size takes only one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Specification, or its stub if the complete specification is stored in chunks.
    pub spec: JobSpec,
    /// Time of day of the submission, in seconds.
    #[serde(rename = "at")]
    pub submitted_wall_s: f64,
    /// Status as shown to users.
    pub status: JobStatus,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Highest attempt number assigned so far.
    pub attempt: u64,
    /// Number of tasks per page, stored so that a change of the settings does not affect how pages are
    /// read.
    pub per_page: u32,
    /// First page of tasks.
    #[serde(rename = "page")]
    pub first_page: PageRecord,
    /// Machines that ran its tasks and so hold its image. From this list, a new leader learns which
    /// images idle machines hold.
    #[serde(default)]
    #[serde(rename = "ran_on")]
    pub machines_with_image: Vec<String>,
    /// Time of day, in seconds, at which the last of its dependencies was known to be done; None if
    /// it has no dependencies or still waits for them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "freed_at")]
    pub ready_wall_s: Option<f64>,
    /// Reference to the chunks of its specification if that is too large for a record; `spec` is then
    /// a stub.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "parts")]
    pub spec_chunks: Option<SpecChunks>,
    /// Number of its current page layout; pages of other layouts are ignored.
    #[serde(default, skip_serializing_if = "is_first_layout")]
    pub layout: u32,
}

fn is_first_layout(layout: &u32) -> bool {
    *layout == 0
}

impl JobRecord {
    /// Creates the record of a job submitted at time of day `submitted_wall_s` (seconds), where a
    /// value may take `max_value_bytes`.
    pub fn new(spec: JobSpec, submitted_wall_s: f64, max_value_bytes: usize) -> Self {
        JobRecord {
            per_page: JobValueSizes::with_whole_spec(&spec).tasks_per_page(max_value_bytes),
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

    /// Returns the record without its optional hints, which makes it smaller.
    pub fn trimmed(mut self) -> Self {
        self.machines_with_image.clear();
        self
    }

    /// Whether its cancellation may be stored as a separate mark, because the record with the new
    /// status may exceed `max_value_bytes`.
    pub fn may_have_cancellation_mark(&self, max_value_bytes: usize) -> bool {
        json_size(self) + MAX_STATUS_GROWTH_BYTES > max_value_bytes
    }

    /// Returns the jobs that it still waits for, as far as the record shows.
    pub fn dependencies(&self) -> &[String] {
        if self.ready_wall_s.is_some() || self.status.is_final() {
            return &[];
        }
        &self.spec.dependencies
    }
}
