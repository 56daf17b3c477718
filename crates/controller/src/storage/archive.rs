//! Archive of terminal jobs, kept apart so that a new leader reads only live jobs.
//!
//! A job is stored under `j/` while it is live and under `jo/` once it has been archived. One
//! transaction moves it, so at every revision it is in exactly one place. It never moves back, and
//! an archived job is never deleted. A node that finds the job neither under `j/` nor, in a later
//! read, under `jo/` knows that it did not exist at the time of the first read.

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

/// Terminal job that is still stored among the live jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct TerminalJob {
    /// Job id.
    pub id: String,
    /// Version of its record under `j/`.
    pub version: u64,
    /// Record to be stored under `jo/`.
    pub record: TerminalRecord,
    /// Other keys of the job: pages, spec chunks and the cancellation mark.
    pub keys: Vec<String>,
}

impl TerminalJob {
    /// Creates the archive entry of a live job that has ended.
    pub fn from_job(job: &Job) -> Self {
        TerminalJob {
            id: job.spec.id.clone(),
            version: job.version,
            record: terminal_record(job.status, job.done_count, job.submitted_wall_s),
            keys: job.keys_beside_record(),
        }
    }
}

/// Returns the record of a terminal job with `done` completed tasks, submitted at time of day
/// `submitted_wall_s` in seconds.
pub fn terminal_record(status: JobStatus, done: u32, submitted_wall_s: f64) -> TerminalRecord {
    TerminalRecord { status, done, submitted_wall_s }
}

/// Archived jobs, each with a revision at which its live record no longer existed. Events of an
/// earlier revision are outdated, since a live record is never recreated.
#[derive(Default)]
pub struct ArchivedJobs {
    archived_at: BTreeMap<String, u64>,
}

impl ArchivedJobs {
    /// Records that the live record of job `id` did not exist at `revision`.
    pub fn record(&mut self, id: &str, revision: u64) {
        self.archived_at.insert(id.to_string(), revision);
    }

    /// Whether `version` of the live record of job `id` is outdated.
    pub fn is_outdated(&self, id: &str, version: u64) -> bool {
        self.archived_at.get(id).is_some_and(|archived_at| version <= *archived_at)
    }

    /// Forgets jobs archived up to `revision`, after the watch has shown all changes up to it and they
    /// have been processed.
    pub fn forget_until(&mut self, revision: u64) {
        self.archived_at.retain(|_, archived_at| *archived_at > revision);
    }
}

/// Jobs that a transaction archives.
#[derive(Default)]
struct MovesInFlight {
    /// Jobs that it archives completely.
    complete: Vec<TerminalJob>,
    /// Job of which it only deletes other keys, with the keys that remain.
    partial: Option<PartialMove>,
}

/// Move of a job whose other keys do not fit one transaction.
struct PartialMove {
    job: TerminalJob,
    remaining_keys: Vec<String>,
}

impl MovesInFlight {
    /// Returns all jobs, as they were before the transaction.
    fn into_jobs(self) -> Vec<TerminalJob> {
        self.complete.into_iter().chain(self.partial.map(|partial| partial.job)).collect()
    }
}

/// Move of a terminal job that the store refused by itself.
struct RefusedMove {
    job: TerminalJob,
    retry_at: Time,
}

/// State of the leader's cleanup of the store: terminal jobs to be archived, stale keys to be
/// deleted, and the machines' images.
#[derive(Default)]
pub struct Archive {
    /// Record format that all nodes can read.
    pub format: FormatAgreement,
    /// Jobs to be archived, by id.
    pub waiting: BTreeMap<String, TerminalJob>,
    /// Jobs that are not archived while a live job depends on them, so that the next leader learns
    /// how they ended without reading each of them separately.
    pub held_for_dependents: BTreeMap<String, TerminalJob>,
    /// Jobs that have been archived.
    pub archived: ArchivedJobs,
    /// Keys that no record refers to any longer.
    stale_keys: Vec<String>,
    /// Stale keys deleted by the transaction in flight.
    deleting: Vec<String>,
    /// Jobs archived by the transaction in flight; None if there is no such transaction.
    in_flight: Option<MovesInFlight>,
    /// Number of moves that are still made one at a time, after the store refused them together.
    moves_to_isolate: usize,
    /// Jobs whose move the store refused by itself, with the time of their next attempt.
    refused: Vec<RefusedMove>,
    /// Earliest time of the next transaction, set after a failed one.
    retry_at: Time,
    /// Limiter of the write rate available to archival.
    budget: Option<RateLimiter>,
    /// Stored record of the images that the machines hold.
    images: StoredImages,
}

impl Archive {
    /// Whether terminal jobs may be archived, that is, all nodes can read archived jobs.
    pub fn is_enabled(&self) -> bool {
        self.format.agreed().is_some_and(|format| format >= ARCHIVE_FORMAT)
    }

    /// Schedules the deletion of keys that no record refers to any longer.
    pub fn discard_keys(&mut self, keys: Vec<String>) {
        self.stale_keys.extend(keys);
    }

    /// Keeps job `id` from being archived, since a live job depends on it.
    pub fn hold(&mut self, id: &str) {
        if let Some(job) = self.waiting.remove(id) {
            self.held_for_dependents.insert(job.id.clone(), job);
        }
    }

    /// Allows job `id` to be archived, since no live job depends on it any longer.
    pub fn release(&mut self, id: &str) {
        if let Some(job) = self.held_for_dependents.remove(id) {
            self.waiting.insert(job.id.clone(), job);
        }
    }

    /// Returns the final status of a terminal job that is still stored among the live jobs.
    pub fn terminal_status(&self, id: &str) -> Option<JobStatus> {
        let job = self.held_for_dependents.get(id).or_else(|| self.waiting.get(id))?;
        Some(job.record.status)
    }

    /// Records a part of the machines' images as read from the store.
    pub fn record_stored_images(&mut self, part: usize, record: ImagesRecord, version: u64) {
        self.images.record(part, record, version);
    }
}

impl Controller {
    /// Archives terminal jobs and stores the machines' images, within the write rate.
    pub(crate) fn tick_archive(&mut self) {
        if !self.may_act() {
            return;
        }
        self.tick_format_agreement();
        self.tick_archive_moves();
        self.store_images();
    }

    /// Schedules the archival of a terminal job, which a live dependent delays.
    pub(crate) fn archive_job(&mut self, terminal_job: TerminalJob) {
        let Role::Leader(leader) = &mut self.role else { return };
        let jobs = if leader.dependencies.graph.has_dependents(&terminal_job.id) {
            &mut leader.archive.held_for_dependents
        } else {
            &mut leader.archive.waiting
        };
        jobs.entry(terminal_job.id.clone()).or_insert(terminal_job);
    }

    /// Removes job `id` from the live jobs after its record was archived at `revision`.
    pub(crate) fn on_job_archived(&mut self, id: &str, revision: u64) {
        self.log_job_finished(id);
        let Role::Leader(leader) = &mut self.role else { return };
        leader.archive.archived.record(id, revision);
        if let Some(job) = leader.cluster.jobs.remove(id) {
            self.terminal_states.insert(id, job.status, job.done_count);
        }
    }
}
