//! Status queries: one read of the store answers many of them.
//!
//! A node caches the statuses of the jobs that were queried, and updates the cache by reading the
//! changes since its last update (a watch that does not wait). That read answers every query that
//! arrived before it was sent. So no answer is older than its query, and an answer includes
//! everything that any node answered before. For jobs that are not cached, one transaction without
//! writes, the existence check, compares the keys of many jobs; if none of them exists, all of the
//! queries are answered with 404. Only a job that exists and was not queried at this node before
//! costs a read of its own. One read for every query would take too much of the read budget that
//! everything else needs.
//!
//! A job that waits for dependencies is cancelled as soon as one of them is, even if its own record
//! does not say so yet: its status is derived from the records of the dependencies, which are as
//! up to date as its own record (`docs/dependencies.md`).

mod answers;
mod job_cache;
mod job_reads;
mod shared_reads;

use crate::client_api::cancellation_lineage::ParkedQueries;
use crate::client_api::client_requests::{TaskCounts, ERROR_BUSY, ERROR_NO_SUCH_JOB};
use crate::client_api::dependency_checks::DependencyLookup;
use crate::{Controller, RequestId, Time};
use job_cache::JobCache;
pub(crate) use job_cache::{CacheGeneration, CachedJob};
use job_reads::PendingJobRead;
use protocol::job::valid_id;
use rand::Rng;
use std::collections::BTreeMap;

/// Maximum number of clients' queries that have not been answered.
const MAX_WAITING_QUERIES: usize = 4_000;
/// Seconds that clients wait for the answer to a status query, as fixed by the protocol.
const CLIENT_TIMEOUT_S: f64 = 2.0;

/// Originator of a status query.
pub(crate) enum Requester {
    /// A client.
    Client {
        /// Id of the client's request.
        request: RequestId,
        /// HTTP status code of the response if no such job was accepted.
        status_code: u16,
        /// Error text of the response if no such job was accepted.
        error: String,
    },
    /// The submission with that id, which names the job as a dependency.
    Submission(String),
    /// A parked query for a job that depends on this job, directly or indirectly.
    Lineage,
}

/// A query for the status of one job.
pub(crate) struct StatusQuery {
    /// Recipient of the answer.
    pub(crate) requester: Requester,
    /// Id of the job.
    pub(crate) id: String,
    /// Time at which the query arrived.
    pub(crate) asked_at: Time,
}

/// Status queries in progress.
#[derive(Default)]
pub struct StatusQueries {
    /// Cached statuses of the jobs that were queried.
    cache: JobCache,
    /// Queries that wait for lookups of the job's dependencies.
    pub(crate) parked: ParkedQueries,
    /// Queries that arrived after the watch in flight was sent.
    queued: Vec<StatusQuery>,
    /// Queries that the watch in flight answers; none if no watch is in flight.
    watch_queries: Option<Vec<StatusQuery>>,
    /// Queries for jobs that are not cached.
    uncached: Vec<StatusQuery>,
    /// Queries that the existence check in flight answers; none if no check is in flight.
    existence_check_queries: Option<Vec<StatusQuery>>,
    /// Reads of job records in flight, by job id.
    job_reads: BTreeMap<String, PendingJobRead>,
    /// Number of clients' queries that have not been answered.
    open_client_queries: usize,
    /// Earliest time of the next watch or existence check.
    next_read_at: Time,
}

impl StatusQueries {
    /// Returns the current generation of the cache; none if the cache is not in use.
    pub(crate) fn generation(&self) -> Option<CacheGeneration> {
        self.cache.generation()
    }

    /// Returns the cached status of job `id`.
    pub(crate) fn cached_job(&self, id: &str) -> Option<&CachedJob> {
        self.cache.get(id)
    }

    /// Marks the cache as up to date at revision `to` after a reader that had seen revision `from` has
    /// recorded all changes up to `to`.
    pub(crate) fn extend_freshness(&mut self, from: u64, to: u64, now: Time) {
        self.cache.extend_freshness(from, to, now);
    }

    /// Adds a query that the cache cannot answer.
    pub(crate) fn enqueue_uncached(&mut self, query: StatusQuery) {
        self.uncached.push(query);
    }
}

impl Controller {
    /// Handles a client's status query.
    pub(crate) fn on_status_query(&mut self, request_id: RequestId, id: &str) {
        if !valid_id(id) {
            return self.respond_error(request_id, 404, ERROR_NO_SUCH_JOB);
        }
        // An overloaded node sheds status queries first, but never all of them, so that a client
        // that retries is answered eventually.
        let shed_probability = self.sharding.event_loop_lag.shed_probability(CLIENT_TIMEOUT_S);
        if shed_probability > 0.0 && self.rng.gen_bool(shed_probability) {
            return self.respond_error(request_id, 503, "too late for polls");
        }
        self.query_status(request_id, id, 404, ERROR_NO_SUCH_JOB);
    }

    /// Answers a client's request with the status of job `id`, from a terminal state in memory or from
    /// a read that has not been sent yet. If no such job was accepted, the response has `status_code`
    /// and `error`.
    pub(crate) fn query_status(&mut self, request: RequestId, id: &str, status_code: u16, error: &str) {
        if let Some((status, done)) = self.terminal_states.get(id) {
            let counts = TaskCounts::terminal(done);
            return self.respond_with_job(request, 200, id, status, Some(counts));
        }
        if self.status_queries.open_client_queries >= MAX_WAITING_QUERIES {
            return self.respond_error(request, 503, ERROR_BUSY);
        }
        self.status_queries.open_client_queries += 1;
        self.enqueue_query(Requester::Client { request, status_code, error: error.to_string() }, id);
    }

    /// Looks up job `id`, which submission `submission` names as a dependency.
    pub(crate) fn look_up_dependency(&mut self, submission: &str, id: &str) {
        if let Some((status, _)) = self.terminal_states.get(id) {
            let lookup = DependencyLookup::Known { status, service: false };
            return self.on_dependency_checked(submission, id, lookup);
        }
        self.enqueue_query(Requester::Submission(submission.to_string()), id);
    }

    fn enqueue_query(&mut self, requester: Requester, id: &str) {
        let query = StatusQuery { requester, id: id.to_string(), asked_at: self.now };
        self.status_queries.queued.push(query);
    }
}
