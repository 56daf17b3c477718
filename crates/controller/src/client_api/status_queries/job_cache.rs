//! Cache of the statuses of jobs that are not terminal, as of one revision of the store.

use crate::client_api::client_requests::TaskCounts;
use crate::client_api::status_queries::answers::JobAnswer;
use crate::model::records::{JobRecord, SpecChunks};
use crate::Time;
use protocol::job::{JobStatus, Shape};
use std::collections::BTreeMap;

/// Maximum number of cached jobs; beyond that the job with the lowest id is evicted.
const MAX_CACHED_JOBS: usize = 20_000;

/// Number of times the cache has begun anew. A record may be cached only while the cache has the same
/// generation as when the record was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct CacheGeneration(u64);

/// Cached status of a job, and the other data needed to answer queries for it.
pub(crate) struct CachedJob {
    /// Version of the record.
    version: u64,
    /// Status in the record.
    status: JobStatus,
    /// Task counts in the record.
    counts: TaskCounts,
    /// Dependencies of the job that its record names.
    pub(crate) dependencies: Vec<String>,
    /// Chunks beside the record that hold the dependencies and have not been read; none if the
    /// dependencies are known.
    pub(crate) external_spec: Option<SpecChunks>,
    /// Whether the job is a service, which is never done.
    is_service: bool,
}

impl CachedJob {
    /// Returns the cache entry for a job's record and its version.
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

    /// Returns the answer according to the job's own record.
    pub(super) fn answer(&self) -> JobAnswer {
        JobAnswer { status: self.status, counts: self.counts, is_service: self.is_service }
    }

    /// Replaces the entry by a newer one, but keeps the dependencies if they were read from the chunks
    /// that the newer record refers to.
    fn replace(&mut self, newer: CachedJob) {
        let keep_dependencies =
            newer.external_spec.is_some() && self.external_spec.is_none() && !self.dependencies.is_empty();
        let dependencies = std::mem::take(&mut self.dependencies);
        *self = newer;
        if keep_dependencies {
            self.dependencies = dependencies;
            self.external_spec = None;
        }
    }
}

/// Cached jobs, and the revision and time up to which they are current.
#[derive(Default)]
pub(super) struct JobCache {
    /// Jobs that are not terminal, as of `revision` or later.
    jobs: BTreeMap<String, CachedJob>,
    /// Revision up to which all changes are recorded; none if the cache has not begun yet or was
    /// invalidated.
    revision: Option<u64>,
    /// Current generation, or the last one if the cache is not in use.
    generation: CacheGeneration,
    /// Time of the last update of the cache.
    updated_at: Time,
}

impl JobCache {
    /// Returns the cached status of job `id`.
    pub(super) fn get(&self, id: &str) -> Option<&CachedJob> {
        self.jobs.get(id)
    }

    /// Whether no job is cached.
    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the revision up to which all changes are recorded; none if the cache is not in use.
    pub(super) fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Returns the seconds since the last update of the cache.
    pub(super) fn age_s(&self, now: Time) -> Time {
        now - self.updated_at
    }

    /// Returns the current generation; none if the cache is not in use. A record that is read or
    /// written from now on may be cached as long as the generation stays the same, because the cache
    /// receives every later change as well.
    pub(super) fn generation(&self) -> Option<CacheGeneration> {
        self.revision.map(|_| self.generation)
    }

    /// Begins a new generation at `revision`, unless the cache is already in use.
    pub(super) fn begin(&mut self, revision: u64, now: Time) {
        if self.revision.is_none() {
            self.generation = CacheGeneration(self.generation.0 + 1);
            self.revision = Some(revision);
            self.updated_at = now;
        }
    }

    /// Marks the cache as up to date at `revision`.
    pub(super) fn advance(&mut self, revision: u64, now: Time) {
        self.revision = self.revision.max(Some(revision));
        self.updated_at = now;
    }

    /// Marks the cache as up to date at revision `to` after a reader that had seen revision `from` has
    /// recorded all changes up to `to`.
    pub(super) fn extend_freshness(&mut self, from: u64, to: u64, now: Time) {
        let Some(revision) = &mut self.revision else { return };
        if from <= *revision && to > *revision {
            *revision = to;
            self.updated_at = now;
        }
    }

    /// Empties the cache and ends its generation.
    pub(super) fn invalidate(&mut self) {
        self.jobs.clear();
        self.revision = None;
    }

    /// Removes job `id`, which is terminal.
    pub(super) fn remove(&mut self, id: &str) {
        self.jobs.remove(id);
    }

    /// Caches a job that is not terminal, unless the cached version is as new or newer. A record of the
    /// same version replaces the cached one if the latter lacks the chunks of its specification.
    pub(super) fn update(&mut self, id: &str, record: &JobRecord, version: u64) {
        let job = CachedJob::from_record(record, version);
        let Some(cached) = self.jobs.get_mut(id) else {
            self.jobs.insert(id.to_string(), job);
            if self.jobs.len() > MAX_CACHED_JOBS {
                self.jobs.pop_first();
            }
            return;
        };
        let is_up_to_date =
            cached.version > version || cached.version == version && cached.external_spec.is_none();
        if !is_up_to_date {
            cached.replace(job);
        }
    }
}
