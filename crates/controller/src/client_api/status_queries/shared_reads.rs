//! The reads that answer many queries at once: the watch that brings the cache up to date, and the
//! comparison that tells which jobs exist.

use crate::client_api::cancellation_lineage::UncancelledJobs;
use crate::client_api::client_requests::{ERROR_BUSY, ERROR_STORE_UNREACHABLE};
use crate::client_api::record_location::RecordLocation;
use crate::client_api::status_queries::{StatusQueries, StatusQuery};
use crate::model::records::{job_key, over_key, JOBS_WATCHED};
use crate::{CallContext, Controller, StoreReply, StoreRequest, Time};
use protocol::state::{Compare, Transaction};
use std::collections::BTreeMap;

/// Jobs that are compared at once, whatever the store allows: a transaction's 64 KiB hold that many
/// of the longest ids.
const MAX_COMPARED_JOBS: usize = 200;

/// A shared read that is due.
enum SharedRead {
    /// The watch, after that revision.
    Watch {
        /// The revision after which changes are wanted.
        after: u64,
    },
    /// The comparison of jobs that are not cached.
    Comparison,
}

impl StatusQueries {
    /// Drops a cache that is too old to be brought up to date by one watch.
    fn drop_stale_cache(&mut self, now: Time, max_age_s: Time) {
        if self.cache.revision().is_some() && self.cache.age_s(now) > max_age_s {
            self.cache.invalidate();
        }
        if self.cache.revision().is_none() && self.watch_read.is_none() {
            self.uncached.append(&mut self.queued);
        }
    }

    /// The shared read that is due; without queries the cache is kept up to date every
    /// `refresh_interval_s`.
    fn due_read(&self, now: Time, refresh_interval_s: Time) -> Option<SharedRead> {
        if now < self.next_read_at {
            return None;
        }
        if self.comparison.is_none() && !self.uncached.is_empty() {
            return Some(SharedRead::Comparison);
        }
        let needs_refresh = !self.cache.is_empty() && self.cache.age_s(now) > refresh_interval_s;
        let is_wanted = !self.queued.is_empty() || needs_refresh;
        if self.watch_read.is_some() || !is_wanted {
            return None;
        }
        self.cache.revision().map(|after| SharedRead::Watch { after })
    }

    /// Takes out all queries that wait for a shared read.
    fn take_waiting(&mut self) -> Vec<StatusQuery> {
        let mut queries = std::mem::take(&mut self.queued);
        queries.append(&mut self.uncached);
        queries
    }

    /// Takes out the oldest queries for jobs that are not cached.
    fn take_uncached(&mut self, max_queries: usize) -> Vec<StatusQuery> {
        let rest = self.uncached.split_off(self.uncached.len().min(max_queries));
        std::mem::replace(&mut self.uncached, rest)
    }
}

impl Controller {
    /// Sends the shared reads. They use half of the clients' read budget, evenly spaced; the other
    /// half is for reads of single jobs.
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
            SharedRead::Comparison => self.send_comparison(),
        }
    }

    fn send_watch(&mut self, after: u64) {
        let queries = std::mem::take(&mut self.status_queries.queued);
        self.status_queries.watch_read = Some(queries);
        let watch = StoreRequest::Watch { prefix: JOBS_WATCHED.to_string(), after, wait_ms: 0 };
        self.call_store(CallContext::StatusCacheWatch, watch);
    }

    /// Compares as many jobs as a transaction may, each in both places where it may be.
    fn send_comparison(&mut self) {
        let max_jobs = (self.store_limits.compares() / 2).min(MAX_COMPARED_JOBS);
        let queries = self.status_queries.take_uncached(max_jobs);
        let mut keys: Vec<String> =
            queries.iter().flat_map(|query| [job_key(&query.id), over_key(&query.id)]).collect();
        keys.sort();
        keys.dedup();
        self.status_queries.comparison = Some(queries);
        let compares = keys.into_iter().map(|key| Compare { key, version: 0 }).collect();
        self.commit_hedged(CallContext::ExistenceCheck, Transaction { compares, mutations: Vec::new() });
    }

    /// The watch was answered.
    pub(crate) fn on_status_cache_watch(&mut self, reply: StoreReply) {
        let queries = self.status_queries.watch_read.take().unwrap_or_default();
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

    /// Answers queries from the cache; those that it lacks are compared next.
    fn answer_from_cache(&mut self, queries: Vec<StatusQuery>) {
        let mut uncancelled = UncancelledJobs::new();
        for query in queries {
            if let Some(unanswered) = self.try_answer(query, &mut uncancelled) {
                self.status_queries.enqueue_uncached(unanswered);
            }
        }
    }

    /// Fails the queries of a shared read, and delays the next one.
    fn fail_shared_read(&mut self, queries: Vec<StatusQuery>) {
        self.status_queries.next_read_at = self.now + self.timing.renewal_interval_s / 4.0;
        self.fail_queries(queries, ERROR_STORE_UNREACHABLE);
    }

    /// The comparison was answered.
    pub(crate) fn on_existence_check(&mut self, reply: StoreReply) {
        let queries = self.status_queries.comparison.take().unwrap_or_default();
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

    /// Reads the jobs whose keys exist. A conflict need not name every key that exists, so the
    /// other jobs are compared once more.
    fn read_existing_jobs(&mut self, queries: Vec<StatusQuery>, existing_keys: &[String]) {
        let mut existing: BTreeMap<String, (RecordLocation, Vec<StatusQuery>)> = BTreeMap::new();
        for query in queries {
            let locations = [RecordLocation::Archive, RecordLocation::Live];
            match locations.into_iter().find(|location| existing_keys.contains(&location.key(&query.id))) {
                Some(location) => {
                    let (_, same_job) =
                        existing.entry(query.id.clone()).or_insert_with(|| (location, Vec::new()));
                    same_job.push(query);
                }
                None => self.status_queries.enqueue_uncached(query),
            }
        }
        for (id, (location, queries)) in existing {
            if self.status_queries.job_reads.contains_key(&id) {
                // The read in flight was sent before these queries came.
                self.status_queries.queued.extend(queries);
            } else {
                self.read_job_record(id, location, queries);
            }
        }
    }
}
