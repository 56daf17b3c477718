//! A job as the leader holds it, kept in step with its stored record.

mod pages;
mod persistence;
mod placement;
mod progress;
mod record;

pub use persistence::{JobWrite, PersistenceState};
pub use placement::Placement;
pub use record::CancellationMark;

use crate::messages::Time;
use crate::model::page_layout::PageLayout;
use crate::model::records::{json_size, stub, JobRecord, SpecChunks, PARTS_BYTES};
use crate::storage::store_limits::StoreLimits;
use protocol::job::{JobSpec, JobStatus};
use std::collections::{BTreeMap, BTreeSet};

/// A live job: its specification, the state of its tasks, and what of both is stored.
#[derive(Debug, Clone)]
pub struct Job {
    /// The whole specification, also where the stored record has only a stub of it.
    pub spec: JobSpec,
    /// Time of day of the submission, in seconds.
    pub submitted_wall_s: f64,
    /// The submission on this node's steady clock.
    pub submitted_at: Time,
    /// When it could first start: its submission, or the end of the last of its dependencies.
    pub ready_at: Time,
    /// Time of day when the last of its dependencies was done, in seconds, once that is known.
    pub ready_wall_s: Option<f64>,
    /// Where its specification is stored, if not in its record.
    pub spec_chunks: Option<SpecChunks>,
    /// The priority that it had from its dependents when it was last planned.
    pub inherited_priority: Option<dependencies::InheritedPriority>,
    /// The status: final once it is stored so, or is about to be.
    pub status: JobStatus,
    /// Whether each task is done.
    pub done_tasks: Vec<bool>,
    /// Number of tasks that are done.
    pub done_count: u32,
    /// Highest attempt number given out.
    pub attempt: u64,
    /// How its tasks are divided among stored values.
    pub page_layout: PageLayout,
    /// Placements by task. They count for quota and zones until proof that the task is gone.
    pub placements: BTreeMap<u32, Placement>,
    /// Version of its stored record; 0 if there is none yet.
    pub version: u64,
    /// The mark that its cancellation may have left beside its record.
    pub cancellation_mark: CancellationMark,
    /// What of it is not stored yet.
    pub persistence: PersistenceState,
    /// The number of its image with this leader.
    pub image_id: u32,
    /// Bytes in JSON, at most, that the specification takes in its record.
    spec_size: usize,
    /// No task is placed before then: its tasks failed.
    pub not_before: Time,
    /// Machines that its tasks failed on since one last succeeded, except those known to be
    /// faulty.
    pub failed_on: BTreeSet<String>,
    /// Rounds of probing since the job itself was suspected to be at fault.
    pub probes: u32,
    /// A gang attempt of it is being stopped.
    pub gang_aborting: bool,
    /// Run time that its last checkpoint saved, in seconds; for planning only.
    pub progress_s: f64,
    /// When a task of it first started.
    pub first_start: Option<Time>,
    /// Machines that its tasks ran on, and that so have its image.
    pub machines_with_image: BTreeSet<String>,
}

impl Job {
    fn new(spec: JobSpec, submitted_wall_s: f64, submitted_at: Time, page_layout: PageLayout) -> Self {
        let tasks = spec.tasks as usize;
        Job {
            spec_size: json_size(&spec),
            spec,
            submitted_wall_s,
            submitted_at,
            ready_at: submitted_at,
            ready_wall_s: None,
            spec_chunks: None,
            inherited_priority: None,
            status: JobStatus::Pending,
            done_tasks: vec![false; tasks],
            done_count: 0,
            attempt: 0,
            page_layout,
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

    /// A job as its record, in that version, shows it.
    pub fn from_record(record: &JobRecord, version: u64, submitted_at: Time, limits: &StoreLimits) -> Self {
        let spec_size = match record.spec_chunks {
            Some(_) => json_size(&stub(&record.spec)) + PARTS_BYTES,
            None => json_size(&record.spec),
        };
        let layout = PageLayout::stored(record.per_page, record.layout, record.spec.tasks, spec_size, limits);
        let mut job = Job::new(record.spec.clone(), record.submitted_wall_s, submitted_at, layout);
        job.spec_size = spec_size;
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

    /// The last of its dependencies is done, at `now` and time of day `wall_s`.
    pub fn on_dependencies_done(&mut self, now: Time, wall_s: f64) {
        if self.ready_wall_s.is_none() {
            self.ready_at = now;
            self.ready_wall_s = Some(wall_s);
            self.mark_main_dirty();
        }
    }

    /// A dependency of it, direct or not, was cancelled.
    pub fn cancel(&mut self) {
        if !self.is_final() {
            self.status = JobStatus::Cancelled;
            self.mark_main_dirty();
        }
    }

    /// Whether its status is final.
    pub fn is_final(&self) -> bool {
        self.status.is_final()
    }

    /// Whether it has ended and no task of it is left on any machine.
    pub fn has_fully_ended(&self) -> bool {
        self.placements.is_empty() && (self.is_complete() || self.is_final())
    }

    /// Records a change of `task`'s state that has to be stored.
    pub fn mark_task_dirty(&mut self, task: u32) {
        self.persistence.mark_page_dirty(self.page_of(task));
    }

    /// Records a change that has to be stored in the main record.
    pub fn mark_main_dirty(&mut self) {
        self.persistence.mark_page_dirty(0);
    }

    /// Whether all that is known of it is stored.
    pub fn is_stored(&self) -> bool {
        self.persistence.is_stored()
    }

    /// Whether all that is known of `task` is stored, so that its agent may
    /// forget an exited attempt. (Waiting for the whole job instead
    /// kept the exited tasks of busy arrays in the heartbeats.)
    pub fn outcome_stored(&self, task: u32) -> bool {
        self.persistence.outcome_stored(task, self.page_of(task))
    }

    /// Adds a placement of `task`, to be stored at once.
    pub fn add_placement(&mut self, task: u32, machine: &str, attempt: u64, now: Time) {
        self.attempt = self.attempt.max(attempt);
        self.mark_task_dirty(task);
        self.persistence.on_new_placement(self.page_of(task));
        let created_at_mutation = self.persistence.mutation_count();
        self.placements.insert(task, Placement::new(attempt, machine, created_at_mutation, now));
    }

    /// Removes a placement. The caller has proof that the task is not on the
    /// machine and will not start there.
    pub fn release_placement(&mut self, task: u32) {
        if self.placements.remove(&task).is_some() {
            self.mark_task_dirty(task);
            self.persistence.record_release(task);
        }
        if self.placements.is_empty() {
            self.gang_aborting = false;
        }
    }
}
