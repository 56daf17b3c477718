//! Status queries: one read of the store answers many.
//!
//! A node caches the statuses of the jobs that were asked for, and brings the cache up to date with
//! the changes since (a watch that does not wait). That read answers every query that came before
//! it was sent, so no answer is older than its query, and nothing that any node has answered
//! before can be missing from it. Jobs that are not cached are compared in one transaction
//! without writes; where none exists, all of them get their 404 from that. Only jobs that exist
//! and were not asked for here before cost a read each. (Every query once cost a read of its own,
//! from the budget that everything else needs.)
//!
//! A job that waits for dependencies is cancelled as soon as one of them is, whatever its own
//! record says yet: its status follows from the records of the dependencies, as fresh as its own
//! (`docs/dependencies.md`).

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

/// Queries of clients that may wait at a time.
const MAX_WAITING_QUERIES: usize = 4_000;
/// Seconds that clients wait for the answer to a status query (fixed by the protocol).
const CLIENT_TIMEOUT_S: f64 = 2.0;

/// Who asks for the status of a job.
pub(crate) enum Requester {
    /// A client.
    Client {
        /// The client's request.
        request: RequestId,
        /// HTTP status code if there is no such job.
        status_code: u16,
        /// Error text if there is no such job.
        error: String,
    },
    /// The submission with that id, which names the job as a dependency.
    Submission(String),
    /// A query for a dependent of the job.
    Lineage,
}

/// A query for the status of one job.
pub(crate) struct StatusQuery {
    /// Who gets the answer.
    pub(crate) requester: Requester,
    /// The job's id.
    pub(crate) id: String,
    /// When the query came.
    pub(crate) asked_at: Time,
}

/// Status queries in progress.
#[derive(Default)]
pub struct StatusQueries {
    /// Statuses of jobs that were asked for.
    cache: JobCache,
    /// Queries that wait until more is known of the job's dependencies.
    pub(crate) parked: ParkedQueries,
    /// Queries that came after the watch in flight was sent.
    queued: Vec<StatusQuery>,
    /// Queries that the watch in flight answers.
    watch_read: Option<Vec<StatusQuery>>,
    /// Queries for jobs that are not cached.
    uncached: Vec<StatusQuery>,
    /// Queries for the jobs that are being compared.
    comparison: Option<Vec<StatusQuery>>,
    /// Records that are being read, by job id.
    job_reads: BTreeMap<String, PendingJobRead>,
    /// Clients' queries that have not been answered.
    waiting: usize,
    /// No watch or comparison is sent before then.
    next_read_at: Time,
}

impl StatusQueries {
    /// The cache as it is now; none if it is not in use yet, or fell behind.
    pub(crate) fn generation(&self) -> Option<CacheGeneration> {
        self.cache.generation()
    }

    /// The cached record of job `id`.
    pub(crate) fn cached_job(&self, id: &str) -> Option<&CachedJob> {
        self.cache.get(id)
    }

    /// All changes up to revision `to` were recorded by a reader that had seen revision `from`.
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
        // that keeps asking gets an answer.
        let shed_probability = self.sharding.event_loop_lag.shed_probability(CLIENT_TIMEOUT_S);
        if shed_probability > 0.0 && self.rng.gen_bool(shed_probability) {
            return self.respond_error(request_id, 503, "too late for polls");
        }
        self.query_status(request_id, id, 404, ERROR_NO_SUCH_JOB);
    }

    /// Answers a client's request with the status of job `id`, from a read that is sent after now;
    /// with `status_code` and `error` if no such job was accepted.
    pub(crate) fn query_status(&mut self, request: RequestId, id: &str, status_code: u16, error: &str) {
        if let Some((status, done)) = self.terminal_states.get(id) {
            let counts = TaskCounts::terminal(done);
            return self.respond_with_job(request, 200, id, status, Some(counts));
        }
        if self.status_queries.waiting >= MAX_WAITING_QUERIES {
            return self.respond_error(request, 503, ERROR_BUSY);
        }
        self.status_queries.waiting += 1;
        self.enqueue_query(Requester::Client { request, status_code, error: error.to_string() }, id);
    }

    /// Looks up job `id`, which the submission `submission` names as a dependency.
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
