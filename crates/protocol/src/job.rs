//! Messages of the clients' API: submissions, status queries and cancellations.

use crate::DecodeError;
use serde::de::IntoDeserializer;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeSet;

/// Relation between the tasks of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "array")]
    Array,
    /// Tasks that run at the same time or not at all.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority of a job, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    /// Work that nobody waits for.
    #[serde(rename = "idle")]
    Low,
    /// Usual work.
    #[serde(rename = "standard")]
    Normal,
    /// Urgent work.
    #[serde(rename = "high")]
    High,
    /// Work that production depends on.
    #[serde(rename = "prod")]
    Production,
}

/// Specification of a job, as submitted. It never changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id of the job, chosen by the client (see [`valid_id`]). A submission with a known id is a
    /// repetition.
    pub id: String,
    /// Class that the job belongs to; objectives are set by class.
    #[serde(rename = "lane")]
    pub class: String,
    /// Team whose quota the job uses.
    #[serde(rename = "crew")]
    pub team: String,
    /// Relation between the tasks.
    #[serde(deserialize_with = "deserialize_enum_by_name")]
    pub shape: Shape,
    /// Priority of the job.
    #[serde(rename = "urgency", deserialize_with = "deserialize_enum_by_name")]
    pub priority: Priority,
    /// Number of tasks, 1 to [`MAX_TASKS`].
    #[serde(rename = "legs")]
    pub tasks: u32,
    /// Cores that each task needs.
    pub cores: f64,
    /// Accelerators that each task needs.
    pub accelerators: f64,
    /// Memory that each task needs, in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Name of the image that the tasks run.
    #[serde(rename = "kit")]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    /// Names of the allowed machine types; `None` allows all.
    #[serde(rename = "breeds", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// Zone in which the job has to run; `None` allows all.
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks have to run in the same zone.
    #[serde(rename = "together")]
    pub one_zone: bool,
    /// Whether the tasks have to be spread over the zones.
    pub spread: bool,
    /// Whether spot machines are allowed.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Estimated run time of a task, in seconds.
    #[serde(rename = "etaS")]
    pub estimated_run_s: f64,
    /// Interval between two checkpoints of a task, in seconds; 0 if it takes none.
    #[serde(rename = "waypointS")]
    pub checkpoint_interval_s: f64,
    /// Time that a task takes to save its progress when it is stopped, in seconds.
    #[serde(rename = "stashS")]
    pub save_s: f64,
    /// Deadline of the job, in seconds after its submission; `None` for no deadline.
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Distinct ids of the jobs that have to be done before any task of this one starts. Versions
    /// without support for dependencies neither send nor store this field.
    #[serde(default, deserialize_with = "deserialize_distinct", skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "awaits")]
    pub dependencies: Vec<String>,
}

/// Deserializes a variant of `T` from its name only. By default serde also accepts the number of a
/// variant, so that a job with the shape 0 would be accepted.
fn deserialize_enum_by_name<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    deserializer: D,
) -> Result<T, D::Error> {
    T::deserialize(String::deserialize(deserializer)?.into_deserializer())
}

/// Deserializes a list of names without duplicates; null stands for an empty list.
fn deserialize_distinct<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    let names = Option::<Vec<String>>::deserialize(deserializer)?.unwrap_or_default();
    let mut seen = BTreeSet::new();
    Ok(names.into_iter().filter(|name| seen.insert(name.clone())).collect())
}

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

/// Maximum length of a class, team, image, machine type or zone, in bytes.
const MAX_NAME_BYTES: usize = 120;

/// Maximum number of machine types that a job may list.
const MAX_MACHINE_TYPES: usize = 64;

/// Maximum number of digits in a job's id.
const MAX_ID_DIGITS: usize = 20;

/// Exclusive upper bound of amounts and durations.
const AMOUNT_LIMIT: f64 = 1e9;

/// Whether `id` is a valid job id: `req-` followed by 1 to 20 digits.
pub fn valid_id(id: &str) -> bool {
    let Some(digits) = id.strip_prefix("req-") else { return false };
    (1..=MAX_ID_DIGITS).contains(&digits.len()) && digits.bytes().all(|byte| byte.is_ascii_digit())
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

fn is_valid_amount(amount: f64) -> bool {
    amount.is_finite() && (0.0..AMOUNT_LIMIT).contains(&amount)
}

/// Returns an error with `field`, the name of the field on the wire, unless `is_valid`.
fn require(is_valid: bool, field: &str) -> Result<(), DecodeError> {
    if is_valid {
        Ok(())
    } else {
        Err(DecodeError::Field(format!("invalid {field}")))
    }
}

impl JobSpec {
    /// Validates what the types do not: ranges, finite amounts and the format of names.
    ///
    /// # Errors
    /// [`DecodeError::Field`] with the name of the first invalid field.
    pub fn check(&self) -> Result<(), DecodeError> {
        require(valid_id(&self.id), "id")?;
        require((1..=MAX_TASKS).contains(&self.tasks), "legs")?;
        self.check_amounts()?;
        self.check_names()?;
        require(self.dependencies.iter().all(|id| valid_id(id)), "awaits")
    }

    fn check_amounts(&self) -> Result<(), DecodeError> {
        for (field, amount) in [
            ("cores", self.cores),
            ("accelerators", self.accelerators),
            ("memGb", self.memory_gb),
            ("sizeGb", self.image_gb),
            ("etaS", self.estimated_run_s),
            ("waypointS", self.checkpoint_interval_s),
            ("stashS", self.save_s),
            ("dueS", self.deadline_s.unwrap_or(0.0)),
        ] {
            require(is_valid_amount(amount), field)?;
        }
        Ok(())
    }

    fn check_names(&self) -> Result<(), DecodeError> {
        for (field, name) in [("lane", &self.class), ("crew", &self.team), ("kit", &self.image)] {
            require(is_valid_name(name), field)?;
        }
        let machine_types = self.machine_types.as_deref().unwrap_or_default();
        let mut placement_names = machine_types.iter().chain(&self.zone);
        require(placement_names.all(|name| is_valid_name(name)), "breeds or yard")?;
        require(machine_types.len() <= MAX_MACHINE_TYPES, "breeds")
    }
}

/// Status of a job as reported to clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    /// The job waits for machines.
    Pending,
    /// Some of its tasks run.
    Running,
    /// All tasks are done.
    Done,
    /// The job was cancelled.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl JobStatus {
    /// Whether the status never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, JobStatus::Done | JobStatus::Cancelled)
    }
}

/// Response to a submission, a status query or a cancellation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    /// Id of the job.
    pub id: String,
    /// Status of the job.
    pub status: JobStatus,
    /// Number of its tasks that are done, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of its tasks that run, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// Body of a healthy node's response to `GET /up`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Number of workers that the node serves.
    pub workers: u32,
    /// Number of workers that the node could serve.
    #[serde(rename = "room")]
    pub capacity: u32,
    /// Number of workers that all nodes that respond to heartbeats could serve together.
    pub ceiling: u32,
}

/// Body of every error response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Description of the error.
    pub error: String,
}
