//! Reads that answer many queries at once: the watch that updates the cache, and the existence check,
//! a transaction that compares versions to find out which jobs exist.

use crate::client_api::cancellation_lineage::UncancelledJobs;
use crate::client_api::client_requests::{ERROR_BUSY, ERROR_STORE_UNREACHABLE};
use crate::client_api::record_location::RecordLocation;
use crate::client_api::status_queries::{StatusQueries, StatusQuery};
use crate::model::records::{job_key, terminal_job_key, JOB_WATCH_PREFIX};
use crate::{CallContext, Controller, StoreReply, StoreRequest, Time};
use protocol::state::{Compare, Transaction};
use std::collections::BTreeMap;

/// Maximum number of jobs in one existence check, even if the store allows more: that many of the
/// longest ids fit into a transaction of 64 KiB.
const MAX_JOBS_PER_EXISTENCE_CHECK: usize = 200;

/// Kind of shared read that is due.
enum SharedRead {
    /// Read of the changes since the last update of the cache.
    Watch {
        /// Revision after which changes are returned.
        after: u64,
    },
    /// Check which of the jobs that are not cached exist.
    ExistenceCheck,
}

impl StatusQueries {
    /// Invalidates a cache that is too old to be updated by one watch. While the cache is not in use,
    /// all waiting queries go to the next existence check.
    fn drop_stale_cache(&mut self, now: Time, max_age_s: Time) {
        if self.cache.revision().is_some() && self.cache.age_s(now) > max_age_s {
            self.cache.invalidate();
        }
        if self.cache.revision().is_none() && self.watch_queries.is_none() {
            self.uncached.append(&mut self.queued);
        }
    }

    /// Returns the shared read that is due, if any. Without queries, a cache with jobs is updated every
    /// `refresh_interval_s`.
    fn due_read(&self, now: Time, refresh_interval_s: Time) -> Option<SharedRead> {
        if now < self.next_read_at {
            return None;
        }
        if self.existence_check_queries.is_none() && !self.uncached.is_empty() {
            return Some(SharedRead::ExistenceCheck);
        }
        let needs_refresh = !self.cache.is_empty() && self.cache.age_s(now) > refresh_interval_s;
        let is_needed = !self.queued.is_empty() || needs_refresh;
        if self.watch_queries.is_some() || !is_needed {
            return None;
        }
        self.cache.revision().map(|after| SharedRead::Watch { after })
    }

    /// Removes and returns all queries that wait for a shared read.
    fn take_waiting(&mut self) -> Vec<StatusQuery> {
        let mut queries = std::mem::take(&mut self.queued);
        queries.append(&mut self.uncached);
        queries
    }

    /// Removes and returns the oldest queries for jobs that are not cached.
    fn take_uncached(&mut self, max_queries: usize) -> Vec<StatusQuery> {
        let remaining = self.uncached.split_off(self.uncached.len().min(max_queries));
        std::mem::replace(&mut self.uncached, remaining)
    }
}

impl Controller {
    /// Sends a shared read if one is due. Shared reads use half of the clients' read budget, evenly
    /// spaced. The other half is for reads of single jobs.
    pub(crate) fn tick_status_queries(&mut self) {
        let now = self.now;
        self.expire_parked_queries();
        let leader_lease_s = self.timing.leader_lease_s;
        self.status_queries.drop_stale_cache(now, 2.0 * leader_lease_s);
        let Some(read) = self.status_queries.due_read(now, leader_lease_s / 2.0) else { return };
        self.status_queries.next_read_at = now + 2.0 / self.client_reads.rate();
        if !self.client_reads.try_acquire(now, 1.0) {
            let queries = self.status_queries.take_waiting();
            return self.fail_queries(queries, ERROR_BUSY);
        }
        match read {
            SharedRead::Watch { after } => self.send_watch(after),
            SharedRead::ExistenceCheck => self.send_existence_check(),
        }
    }

    fn send_watch(&mut self, after: u64) {
        let queries = std::mem::take(&mut self.status_queries.queued);
        self.status_queries.watch_queries = Some(queries);
        let watch = StoreRequest::Watch { prefix: JOB_WATCH_PREFIX.to_string(), after, wait_ms: 0 };
        self.call_store(CallContext::StatusCacheWatch, watch);
    }

    /// Checks the existence of as many jobs as fit into a transaction. The record of each may be in
    /// either of two locations, so both keys are compared.
    fn send_existence_check(&mut self) {
        let max_jobs = (self.store_limits.compares() / 2).min(MAX_JOBS_PER_EXISTENCE_CHECK);
        let queries = self.status_queries.take_uncached(max_jobs);
        let mut keys: Vec<String> =
            queries.iter().flat_map(|query| [job_key(&query.id), terminal_job_key(&query.id)]).collect();
        keys.sort();
        keys.dedup();
        self.status_queries.existence_check_queries = Some(queries);
        let compares = keys.into_iter().map(|key| Compare { key, version: 0 }).collect();
        self.commit_hedged(CallContext::ExistenceCheck, Transaction { compares, mutations: Vec::new() });
    }

    /// Handles the reply to the watch.
    pub(crate) fn on_status_cache_watch(&mut self, reply: StoreReply) {
        let queries = self.status_queries.watch_queries.take().unwrap_or_default();
        match reply {
            StoreReply::Events(events) => {
                self.record_events(&events);
                self.status_queries.cache.advance(events.revision, self.now);
                self.answer_from_cache(queries);
            }
            StoreReply::Gone => {
                self.status_queries.cache.invalidate();
                self.status_queries.uncached.extend(queries);
            }
            _ => self.fail_shared_read(queries),
        }
        self.retry_parked_queries();
    }

    /// Answers queries from the cache. Queries for jobs that are not cached go to the next existence
    /// check.
    fn answer_from_cache(&mut self, queries: Vec<StatusQuery>) {
        let mut uncancelled = UncancelledJobs::new();
        for query in queries {
            if let Some(unanswered) = self.try_answer(query, &mut uncancelled) {
                self.status_queries.enqueue_uncached(unanswered);
            }
        }
    }

    /// Fails the queries of a shared read and delays the next shared read.
    fn fail_shared_read(&mut self, queries: Vec<StatusQuery>) {
        self.status_queries.next_read_at = self.now + self.timing.renewal_interval_s / 4.0;
        self.fail_queries(queries, ERROR_STORE_UNREACHABLE);
    }

    /// Handles the reply to the existence check.
    pub(crate) fn on_existence_check(&mut self, reply: StoreReply) {
        let queries = self.status_queries.existence_check_queries.take().unwrap_or_default();
        match reply {
            StoreReply::Committed(revision) => {
                self.status_queries.cache.begin(revision, self.now);
                self.answer_unknown(queries);
            }
            StoreReply::Conflict(conflict) if !conflict.failed.is_empty() => {
                self.status_queries.cache.begin(conflict.revision, self.now);
                self.read_existing_jobs(queries, &conflict.failed);
            }
            _ => self.fail_shared_read(queries),
        }
    }

    /// Reads the jobs whose keys exist. A conflict does not necessarily name every key that exists, so
    /// the other jobs go to the next existence check.
    fn read_existing_jobs(&mut self, queries: Vec<StatusQuery>, existing_keys: &[String]) {
        let mut existing: BTreeMap<String, (RecordLocation, Vec<StatusQuery>)> = BTreeMap::new();
        for query in queries {
            let locations = [RecordLocation::Archive, RecordLocation::Live];
            match locations.into_iter().find(|location| existing_keys.contains(&location.key(&query.id))) {
                Some(location) => {
                    let (_, queries_of_job) =
                        existing.entry(query.id.clone()).or_insert_with(|| (location, Vec::new()));
                    queries_of_job.push(query);
                }
                None => self.status_queries.enqueue_uncached(query),
            }
        }
        for (id, (location, queries)) in existing {
            if self.status_queries.job_reads.contains_key(&id) {
                // The read in flight was sent before these queries arrived.
                self.status_queries.queued.extend(queries);
            } else {
                self.read_job_record(id, location, queries);
            }
        }
    }
}
