//! The cached statuses of jobs that are not terminal, as of one revision of the store.

use crate::client_api::client_requests::TaskCounts;
use crate::client_api::status_queries::answers::JobAnswer;
use crate::model::records::{JobRecord, SpecChunks};
use crate::Time;
use protocol::job::{JobStatus, Shape};
use std::collections::BTreeMap;

/// Jobs that are cached; beyond that the first by id is evicted.
const MAX_CACHED_JOBS: usize = 20_000;

/// Counts how often the cache has begun anew. What is read while the cache has one generation may
/// be recorded in it only as long as it has the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct CacheGeneration(u64);

/// What a status query shows of a job.
pub(crate) struct CachedJob {
    /// Version of the record.
    version: u64,
    /// Status in the record.
    status: JobStatus,
    /// Numbers of tasks in the record.
    counts: TaskCounts,
    /// Dependencies that the job waits for, as far as its record tells.
    pub(crate) dependencies: Vec<String>,
    /// The dependencies are in chunks beside the record, which have not been read.
    pub(crate) external_spec: Option<SpecChunks>,
    /// Whether the job is a service, which is never done.
    is_service: bool,
}

impl CachedJob {
    /// Of a job's record, with the version of the record.
    pub(super) fn from_record(record: &JobRecord, version: u64) -> Self {
        let lacks_spec = record.ready_wall_s.is_none() && record.spec.class.is_empty();
        CachedJob {
            version,
            status: record.status,
            counts: TaskCounts { done: record.done, running: record.running },
            dependencies: record.dependencies().to_vec(),
            external_spec: record.spec_chunks.clone().filter(|_| lacks_spec),
            is_service: record.spec.shape == Shape::Service,
        }
    }

    /// Whether the job may be cancelled with a dependency.
    pub(crate) fn waits_for_dependencies(&self) -> bool {
        let may_have_dependencies = !self.dependencies.is_empty() || self.external_spec.is_some();
        self.status == JobStatus::Pending && may_have_dependencies
    }

    /// What the job's own record tells.
    pub(super) fn answer(&self) -> JobAnswer {
        JobAnswer { status: self.status, counts: self.counts, is_service: self.is_service }
    }

    /// Replaces the job by a newer record, but keeps dependencies that were read from the same
    /// chunks.
    fn replace(&mut self, newer: CachedJob) {
        let chunks_were_read =
            newer.external_spec.is_some() && self.external_spec.is_none() && !self.dependencies.is_empty();
        let dependencies = std::mem::take(&mut self.dependencies);
        *self = newer;
        if chunks_were_read {
            self.dependencies = dependencies;
            self.external_spec = None;
        }
    }
}

/// Cached jobs, and how fresh they are.
#[derive(Default)]
pub(super) struct JobCache {
    /// Jobs that are not terminal, as of `revision` or later.
    jobs: BTreeMap<String, CachedJob>,
    /// None: the cache has not begun yet, or fell behind.
    revision: Option<u64>,
    /// How often the cache has begun.
    generation: CacheGeneration,
    /// When the cache was last brought up to date.
    fresh_at: Time,
}

impl JobCache {
    /// The cached job `id`.
    pub(super) fn get(&self, id: &str) -> Option<&CachedJob> {
        self.jobs.get(id)
    }

    /// Whether no job is cached.
    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// The revision up to which all changes are recorded; none if the cache has not begun.
    pub(super) fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Seconds since the cache was brought up to date.
    pub(super) fn age_s(&self, now: Time) -> Time {
        now - self.fresh_at
    }

    /// None if the cache has not begun. What is read or written from now on may be recorded for as
    /// long as the generation stays the same: every change since will come to the cache, or has.
    pub(super) fn generation(&self) -> Option<CacheGeneration> {
        self.revision.map(|_| self.generation)
    }

    /// Begins a new generation at `revision`, unless the cache is in use.
    pub(super) fn begin(&mut self, revision: u64, now: Time) {
        if self.revision.is_none() {
            self.generation = CacheGeneration(self.generation.0 + 1);
            self.revision = Some(revision);
            self.fresh_at = now;
        }
    }

    /// All changes up to `revision` are recorded.
    pub(super) fn advance(&mut self, revision: u64, now: Time) {
        self.revision = self.revision.max(Some(revision));
        self.fresh_at = now;
    }

    /// All changes up to revision `to` were recorded by a reader that had seen revision `from`.
    pub(super) fn extend_freshness(&mut self, from: u64, to: u64, now: Time) {
        let Some(revision) = &mut self.revision else { return };
        if from <= *revision && to > *revision {
            *revision = to;
            self.fresh_at = now;
        }
    }

    /// Ends the generation.
    pub(super) fn invalidate(&mut self) {
        self.jobs.clear();
        self.revision = None;
    }

    /// Removes job `id`, which is terminal.
    pub(super) fn remove(&mut self, id: &str) {
        self.jobs.remove(id);
    }

    /// Records a job that is not terminal, unless a newer version is cached. The same version
    /// counts as newer if the cached one lacks the chunks of its specification.
    pub(super) fn update(&mut self, id: &str, record: &JobRecord, version: u64) {
        let job = CachedJob::from_record(record, version);
        let Some(cached) = self.jobs.get_mut(id) else {
            self.jobs.insert(id.to_string(), job);
            if self.jobs.len() > MAX_CACHED_JOBS {
                self.jobs.pop_first();
            }
            return;
        };
        let is_current =
            cached.version > version || cached.version == version && cached.external_spec.is_none();
        if !is_current {
            cached.replace(job);
        }
    }
}
