//! The leader's state of a job, reconciled with its stored record.

mod pages;
mod persistence;
mod placement;
mod progress;
mod record;
mod spec_split;

pub use persistence::{JobWrite, PersistenceState};
pub use placement::Placement;
pub use record::CancellationMark;

use crate::messages::Time;
use crate::model::page_layout::PageLayout;
use crate::model::records::{JobRecord, JobValueSizes, SpecChunks, Value};
use crate::storage::store_limits::StoreLimits;
use protocol::job::{JobSpec, JobStatus, Shape};
use std::collections::{BTreeMap, BTreeSet};

/// A live job: its specification, the state of its tasks, and its persistence state.
#[derive(Debug, Clone)]
pub struct Job {
    /// Complete specification, even if the stored record contains only a stub of it.
    pub spec: JobSpec,
    /// Wall-clock time of the submission, in seconds.
    pub submitted_wall_s: f64,
    /// Time of the submission on this node's monotonic clock.
    pub submitted_at: Time,
    /// Time at which it could first start: its submission, or the end of its last dependency.
    pub ready_at: Time,
    /// Wall-clock time at which its last dependency was done, in seconds, once that is known.
    pub ready_wall_s: Option<f64>,
    /// Chunks in which the specification is stored, if it is not part of the record.
    pub spec_chunks: Option<SpecChunks>,
    /// Priority inherited from its dependents when it was last planned.
    pub inherited_priority: Option<dependencies::InheritedPriority>,
    /// Status; final once the final status is stored or about to be stored.
    pub status: JobStatus,
    /// Whether each task is done.
    pub done_tasks: Vec<bool>,
    /// Number of tasks that are done.
    pub done_count: u32,
    /// Highest attempt number assigned so far.
    pub attempt: u64,
    /// Division of its tasks among stored values.
    pub page_layout: PageLayout,
    /// Placements by task. They count towards quotas and zones until there is proof that the task is
    /// not on the machine.
    pub placements: BTreeMap<u32, Placement>,
    /// Version of the stored record; 0 if there is none yet.
    pub version: u64,
    /// Mark that a cancellation may have stored beside the record.
    pub cancellation_mark: CancellationMark,
    /// Stored and unsaved changes.
    pub persistence: PersistenceState,
    /// Number that this leader assigned to its image.
    pub image_id: u32,
    /// Upper bounds of the sizes of its stored values.
    value_sizes: JobValueSizes,
    /// Chunks of the specification that must be stored before the record refers to them, in reverse
    /// order: key and value.
    unstored_spec_chunks: Vec<(String, Value)>,
    /// Earliest time at which a task may be placed, after tasks of the job failed.
    pub not_before: Time,
    /// Machines on which its tasks failed since a task last succeeded, except machines known to be
    /// faulty.
    pub failed_on: BTreeSet<String>,
    /// Number of probing rounds since the job itself was suspected to be faulty.
    pub probes: u32,
    /// Whether an attempt of the gang is being stopped.
    pub gang_aborting: bool,
    /// Run time saved by its last checkpoint, in seconds. Used for planning only.
    pub progress_s: f64,
    /// Time at which a task of the job first started.
    pub first_start: Option<Time>,
    /// Machines on which its tasks ran, which therefore have its image.
    pub machines_with_image: BTreeSet<String>,
}

impl Job {
    /// Creates the state of a job from its record, without its first page.
    fn new(record: &JobRecord, submitted_at: Time, limits: &StoreLimits) -> Self {
        let value_sizes = JobValueSizes::of_record(record);
        Job {
            value_sizes,
            unstored_spec_chunks: Vec::new(),
            spec: record.spec.clone(),
            submitted_wall_s: record.submitted_wall_s,
            submitted_at,
            ready_at: submitted_at,
            ready_wall_s: None,
            spec_chunks: None,
            inherited_priority: None,
            status: JobStatus::Pending,
            done_tasks: vec![false; record.spec.tasks as usize],
            done_count: 0,
            attempt: 0,
            page_layout: PageLayout::stored(record, value_sizes, limits),
            placements: BTreeMap::new(),
            version: 0,
            cancellation_mark: CancellationMark::default(),
            persistence: PersistenceState::default(),
            image_id: 0,
            not_before: 0.0,
            failed_on: BTreeSet::new(),
            probes: 0,
            gang_aborting: false,
            progress_s: 0.0,
            first_start: None,
            machines_with_image: BTreeSet::new(),
        }
    }

    /// Creates a job from version `version` of its record.
    pub fn from_record(record: &JobRecord, version: u64, submitted_at: Time, limits: &StoreLimits) -> Self {
        let mut job = Job::new(record, submitted_at, limits);
        job.spec_chunks.clone_from(&record.spec_chunks);
        job.version = version;
        job.status = record.status;
        job.attempt = record.attempt;
        job.machines_with_image = record.machines_with_image.iter().cloned().collect();
        job.ready_wall_s = record.ready_wall_s;
        let waited_s = record.ready_wall_s.map_or(0.0, |ready| (ready - record.submitted_wall_s).max(0.0));
        job.ready_at = submitted_at + waited_s;
        job.load_page(0, record.layout, &record.first_page, 0, submitted_at);
        job.cancellation_mark.possible = job.may_have_cancellation_mark();
        job
    }

    /// Marks the job as ready to start, because its last dependency was done at `now`, which is
    /// wall-clock time `wall_s`.
    pub fn on_dependencies_done(&mut self, now: Time, wall_s: f64) {
        if self.ready_wall_s.is_none() {
            self.ready_at = now;
            self.ready_wall_s = Some(wall_s);
            self.mark_main_dirty();
        }
    }

    /// Cancels the job, because a direct or indirect dependency was cancelled.
    pub fn cancel(&mut self) {
        if !self.is_final() {
            self.status = JobStatus::Cancelled;
            self.mark_main_dirty();
        }
    }

    /// Whether the status is final.
    pub fn is_final(&self) -> bool {
        self.status.is_final()
    }

    /// Whether the job has ended and none of its tasks is left on a machine.
    pub fn has_fully_ended(&self) -> bool {
        self.placements.is_empty() && (self.is_complete() || self.is_final())
    }

    /// Records a change of the state of `task` that has to be stored.
    pub fn mark_task_dirty(&mut self, task: u32) {
        self.persistence.mark_page_dirty(self.page_of(task));
    }

    /// Records a change that has to be stored in the main record.
    pub fn mark_main_dirty(&mut self) {
        self.persistence.mark_page_dirty(0);
    }

    /// Whether all changes of the job are stored.
    pub fn is_stored(&self) -> bool {
        self.persistence.is_stored()
    }

    /// Whether the last end or release of `task` is stored, so that its agent may forget an exited
    /// attempt. Waiting until all changes of the job are stored would keep the exited tasks of busy
    /// arrays in the heartbeats.
    pub fn outcome_stored(&self, task: u32) -> bool {
        self.persistence.outcome_stored(task, self.page_of(task))
    }

    /// Adds a placement of `task` and requests that it is stored without delay.
    pub fn add_placement(&mut self, task: u32, machine: &str, attempt: u64, now: Time) {
        self.attempt = self.attempt.max(attempt);
        self.mark_task_dirty(task);
        self.persistence.on_new_placement(self.page_of(task));
        let created_at_mutation = self.persistence.mutation_count();
        self.placements.insert(task, Placement::new(attempt, machine, created_at_mutation, now));
    }

    /// Removes a placement. The caller must have proof that the task is not on the machine and will
    /// not start there.
    pub fn release_placement(&mut self, task: u32) {
        if self.placements.remove(&task).is_some() {
            self.mark_task_dirty(task);
            self.persistence.record_release(task);
        }
        if self.placements.is_empty() {
            self.gang_aborting = false;
        }
    }

    /// Releases the placements whose task was never launched.
    pub fn release_unlaunched(&mut self) {
        self.release_where(|placement| !placement.launch_sent && placement.observed_state.is_none());
    }

    /// Releases the placements that are not stored, whose tasks were never launched. A gang keeps them
    /// if others of its placements are stored, because it runs as a whole.
    pub(super) fn release_uncommitted(&mut self) {
        let is_partly_stored = self.placements.values().any(|placement| placement.committed);
        if self.spec.shape != Shape::Gang || !is_partly_stored {
            self.release_where(|placement| !placement.committed);
        }
    }

    fn release_where(&mut self, is_released: impl Fn(&Placement) -> bool) {
        let released = self.placements.iter().filter(|(_, placement)| is_released(placement));
        let tasks: Vec<u32> = released.map(|(&task, _)| task).collect();
        for task in tasks {
            self.release_placement(task);
        }
    }
}
