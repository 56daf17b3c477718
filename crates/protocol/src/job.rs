//! What users send and are told.

use crate::DecodeError;
use serde::de::IntoDeserializer;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeSet;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, each runs to completion.
    #[serde(rename = "array")]
    Array,
    /// All tasks run at the same time or none does.
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "idle")]
    Low,
    #[serde(rename = "standard")]
    Normal,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "prod")]
    Production,
}

/// A submission. A job keeps it unchanged for life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub id: String,
    #[serde(rename = "lane")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    #[serde(deserialize_with = "word")]
    pub shape: Shape,
    #[serde(rename = "urgency", deserialize_with = "word")]
    pub priority: Priority,
    #[serde(rename = "legs")]
    pub tasks: u32,
    pub cores: f64,
    pub accelerators: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    #[serde(rename = "kit")]
    pub image: String,
    #[serde(rename = "sizeGb")]
    pub image_gb: f64,
    #[serde(rename = "breeds", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    #[serde(rename = "yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(rename = "together")]
    pub one_zone: bool,
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "etaS")]
    pub estimated_run_s: f64,
    #[serde(rename = "waypointS")]
    pub checkpoint_interval_s: f64,
    #[serde(rename = "stashS")]
    pub save_s: f64,
    #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts, each named once.
    /// Nodes without pipelines neither send nor keep this field.
    #[serde(default, deserialize_with = "distinct", skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "awaits")]
    pub dependencies: Vec<String>,
}

/// One of the words that stand for `T`. (By itself serde takes a word's number as well: jobs
/// were once accepted whose shape was 0.)
fn word<'de, D: Deserializer<'de>, T: Deserialize<'de>>(d: D) -> Result<T, D::Error> {
    T::deserialize(String::deserialize(d)?.into_deserializer())
}

/// A list of names, or null for none; a name that comes again counts once.
fn distinct<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<String>, D::Error> {
    let names = Option::<Vec<String>>::deserialize(d)?.unwrap_or_default();
    let mut seen = BTreeSet::new();
    Ok(names.into_iter().filter(|n| seen.insert(n.clone())).collect())
}

/// Most tasks a job may have.
pub const MOST_TASKS: u32 = 100_000;
const LONGEST_NAME: usize = 120;

/// The one form of job ids: `req-` and digits.
pub fn valid_id(id: &str) -> bool {
    id.strip_prefix("req-")
        .is_some_and(|n| (1..=20).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

impl JobSpec {
    /// Checks what types cannot: ranges, finite amounts, forms of names.
    pub fn check(&self) -> Result<(), DecodeError> {
        let bad = |field: &str| Err(DecodeError::Field(format!("invalid {field}")));
        let amount = |x: f64| x.is_finite() && (0.0..1e9).contains(&x);
        if !valid_id(&self.id) {
            return bad("id");
        }
        if self.tasks == 0 || self.tasks > MOST_TASKS {
            return bad("legs");
        }
        for (name, x) in [
            ("cores", self.cores),
            ("accelerators", self.accelerators),
            ("memGb", self.memory_gb),
            ("sizeGb", self.image_gb),
            ("etaS", self.estimated_run_s),
            ("waypointS", self.checkpoint_interval_s),
            ("stashS", self.save_s),
            ("dueS", self.deadline_s.unwrap_or(0.0)),
        ] {
            if !amount(x) {
                return bad(name);
            }
        }
        for (name, text) in [("lane", &self.class), ("crew", &self.team), ("kit", &self.image)] {
            if text.is_empty() || text.len() > LONGEST_NAME {
                return bad(name);
            }
        }
        let listed = self.machine_types.iter().flatten().chain(self.zone.iter());
        if listed.clone().any(|t| t.is_empty() || t.len() > LONGEST_NAME) {
            return bad("breeds or yard");
        }
        if self.machine_types.as_ref().is_some_and(|t| t.len() > 64) {
            return bad("breeds");
        }
        if self.dependencies.iter().any(|id| !valid_id(id)) {
            return bad("awaits");
        }
        Ok(())
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    Pending,
    Running,
    Done,
    #[serde(rename = "withdrawn")]
    Cancelled,
}

impl JobStatus {
    pub fn is_final(self) -> bool {
        matches!(self, JobStatus::Done | JobStatus::Cancelled)
    }
}

/// Answer to a submission, a poll or a cancellation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobView {
    pub id: String,
    pub status: JobStatus,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// Body of a healthy node's answer to `GET /up`: workers that it has and could
/// have, and how many all nodes that answer reports could have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    pub workers: u32,
    #[serde(rename = "room")]
    pub capacity: u32,
    pub ceiling: u32,
}

/// Body of every refusal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorResponse {
    pub error: String,
}
