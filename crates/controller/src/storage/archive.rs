//! Moves terminal jobs out of the way, so that a new leader reads live jobs only.
//!
//! A job is stored under `j/` while it is live and under `jo/` once it is terminal. One
//! transaction moves it, so at every revision it is in exactly one place. It
//! never moves back, and a terminal job is never deleted. A node that misses it under
//! `j/` and then under `jo/`, in this order, knows that it did not exist at the
//! first read.

mod machine_images;
mod moves;

pub use moves::ArchiveMove;

use crate::leader::state::Role;
use crate::messages::Time;
use crate::model::job::Job;
use crate::model::records::{ImagesRecord, TerminalRecord, ARCHIVE_FORMAT};
use crate::storage::format_agreement::FormatAgreement;
use crate::{Controller, RateLimiter};
use machine_images::StoredImages;
use protocol::job::JobStatus;
use std::collections::BTreeMap;

/// A job that has ended and is still stored among the live ones.
#[derive(Debug, Clone, PartialEq)]
pub struct TerminalJob {
    /// The job's id.
    pub id: String,
    /// Version of its record under `j/`.
    pub version: u64,
    /// What is kept of it.
    pub record: TerminalRecord,
    /// Its other keys: pages, chunks and marks.
    pub keys: Vec<String>,
}

impl TerminalJob {
    /// A live job that has ended.
    pub fn from_job(job: &Job) -> Self {
        TerminalJob {
            id: job.spec.id.clone(),
            version: job.version,
            record: over_record(job.status, job.done_count, job.submitted_wall_s),
            keys: job.keys_beside_record(),
        }
    }
}

/// What is kept of a terminal job with `done` tasks done, submitted at that time of day (seconds).
pub fn over_record(status: JobStatus, done: u32, submitted_wall_s: f64) -> TerminalRecord {
    TerminalRecord { status, done, submitted_wall_s }
}

/// Jobs whose record was moved, each with a revision at which it was gone: what the
/// watch shows of them from before is outdated. No record comes back.
#[derive(Default)]
pub struct ArchivedJobs {
    archived_at: BTreeMap<String, u64>,
}

impl ArchivedJobs {
    /// The record of job `id` was gone at that revision.
    pub fn record(&mut self, id: &str, revision: u64) {
        self.archived_at.insert(id.to_string(), revision);
    }

    /// Whether a live record of job `id` in that version is outdated.
    pub fn is_outdated(&self, id: &str, version: u64) -> bool {
        self.archived_at.get(id).is_some_and(|gone_at| version <= *gone_at)
    }

    /// The watch has shown all up to `revision`, and all of that was processed.
    pub fn forget_until(&mut self, revision: u64) {
        self.archived_at.retain(|_, gone_at| *gone_at > revision);
    }
}

/// Terminal jobs on their way out of the live ones, and what else a leader tidies in the store.
#[derive(Default)]
pub struct Archive {
    /// The record format that all nodes read.
    pub format: FormatAgreement,
    /// Jobs that have yet to be moved, by id.
    pub waiting: BTreeMap<String, TerminalJob>,
    /// Jobs that stay as long as a live job's record names them: the next leader has to learn
    /// how they ended without a read for each.
    pub held_for_dependents: BTreeMap<String, TerminalJob>,
    /// Jobs that were moved.
    pub archived: ArchivedJobs,
    /// Keys that no record refers to any more.
    stale_keys: Vec<String>,
    /// Stale keys that the transaction in flight deletes.
    deleting: Vec<String>,
    /// The jobs that the transaction in flight moves.
    in_flight: Option<Vec<TerminalJob>>,
    /// Nothing is moved before then: the last transaction failed.
    retry_at: Time,
    /// What moves may use of the write rate.
    budget: Option<RateLimiter>,
    /// Which images the machines hold, as stored.
    images: StoredImages,
}

impl Archive {
    /// Whether terminal jobs may be moved.
    pub fn is_enabled(&self) -> bool {
        self.format.agreed().is_some_and(|format| format >= ARCHIVE_FORMAT)
    }

    /// Adds keys that no record refers to any more, to be deleted.
    pub fn discard_keys(&mut self, keys: Vec<String>) {
        self.stale_keys.extend(keys);
    }

    /// A live job's record names job `id`.
    pub fn hold(&mut self, id: &str) {
        if let Some(job) = self.waiting.remove(id) {
            self.held_for_dependents.insert(job.id.clone(), job);
        }
    }

    /// No live job's record names job `id` any more.
    pub fn release(&mut self, id: &str) {
        if let Some(job) = self.held_for_dependents.remove(id) {
            self.waiting.insert(job.id.clone(), job);
        }
    }

    /// How a job ended whose record is still stored among the live ones.
    pub fn terminal_status(&self, id: &str) -> Option<JobStatus> {
        let job = self.held_for_dependents.get(id).or_else(|| self.waiting.get(id))?;
        Some(job.record.status)
    }

    /// A part of the machines' images was read as an earlier leader stored it.
    pub fn read_images(&mut self, part: usize, record: ImagesRecord, version: u64) {
        self.images.record(part, record, version);
    }
}

impl Controller {
    /// Moves terminal jobs and stores the machines' images, as far as the write rate has room.
    pub(crate) fn tick_archive(&mut self) {
        if !self.may_act() {
            return;
        }
        self.tick_format_agreement();
        self.tick_archive_moves();
        self.store_images();
    }

    /// A job has ended, and its record is stored under `j/` in that version.
    pub(crate) fn archive_job(&mut self, terminal_job: TerminalJob) {
        let Role::Leader(leader) = &mut self.role else { return };
        let jobs = if leader.dependencies.graph.has_dependents(&terminal_job.id) {
            &mut leader.archive.held_for_dependents
        } else {
            &mut leader.archive.waiting
        };
        jobs.entry(terminal_job.id.clone()).or_insert(terminal_job);
    }

    /// A job's record was moved to the terminal ones: nothing is left of it among the live ones.
    pub(crate) fn on_job_archived(&mut self, id: &str, revision: u64) {
        self.log_job_finished(id);
        let Role::Leader(leader) = &mut self.role else { return };
        leader.archive.archived.record(id, revision);
        if let Some(job) = leader.cluster.jobs.remove(id) {
            self.terminal_states.insert(id, job.status, job.done_count);
        }
    }
}
