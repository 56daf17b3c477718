//! Answers to status queries, from the cache or from a record read from the store.

use crate::client_api::cancellation_lineage::{LineageCheck, UncancelledJobs};
use crate::client_api::client_requests::TaskCounts;
use crate::client_api::dependency_checks::DependencyLookup;
use crate::client_api::status_queries::{CacheGeneration, CachedJob, Requester, StatusQuery};
use crate::model::records::{JobRecord, Value, JOB_PREFIX, MARK_PREFIX, TERMINAL_JOB_PREFIX};
use crate::Controller;
use protocol::job::JobStatus;
use protocol::state::{Event, Events};

/// Answer to a query for a job that exists.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobAnswer {
    /// Status of the job.
    pub(super) status: JobStatus,
    /// Task counts of the job.
    pub(super) counts: TaskCounts,
    /// Whether the job is a service, which is never done.
    pub(super) is_service: bool,
}

impl JobAnswer {
    /// Returns the answer for a terminal job.
    pub(super) fn terminal(status: JobStatus, done: u32) -> Self {
        JobAnswer { status, counts: TaskCounts::terminal(done), is_service: false }
    }
}

/// Result of a status query.
#[derive(Clone, Copy)]
enum QueryOutcome<'a> {
    /// The job exists.
    Known(JobAnswer),
    /// No such job was accepted.
    NoSuchJob,
    /// The query failed with that error text.
    Failed(&'a str),
}

impl QueryOutcome<'_> {
    /// Converts the result for a submission that names the job as a dependency.
    fn dependency_lookup(self) -> DependencyLookup {
        match self {
            QueryOutcome::Known(answer) => {
                DependencyLookup::Known { status: answer.status, service: answer.is_service }
            }
            QueryOutcome::NoSuchJob => DependencyLookup::Missing,
            QueryOutcome::Failed(_) => DependencyLookup::Unavailable,
        }
    }
}

impl Controller {
    /// Passes the result to the requester.
    fn finish_query(&mut self, query: StatusQuery, outcome: QueryOutcome) {
        match query.requester {
            Requester::Client { request, status_code, error } => {
                self.status_queries.open_client_queries -= 1;
                match outcome {
                    QueryOutcome::Known(answer) => {
                        self.respond_with_job(request, 200, &query.id, answer.status, Some(answer.counts));
                    }
                    QueryOutcome::NoSuchJob => self.respond_error(request, status_code, &error),
                    QueryOutcome::Failed(error) => self.respond_error(request, 503, error),
                }
            }
            Requester::Submission(submission) => {
                self.on_dependency_checked(&submission, &query.id, outcome.dependency_lookup());
            }
            Requester::Lineage => self.status_queries.parked.on_lookup_done(&query.id),
        }
    }

    fn answer_query(&mut self, query: StatusQuery, answer: JobAnswer) {
        self.finish_query(query, QueryOutcome::Known(answer));
    }

    /// Gives several queries for one job the same answer.
    pub(super) fn answer_queries(&mut self, queries: Vec<StatusQuery>, answer: JobAnswer) {
        for query in queries {
            self.answer_query(query, answer);
        }
    }

    /// Fails the queries with an error text.
    pub(crate) fn fail_queries(&mut self, queries: Vec<StatusQuery>, error: &str) {
        for query in queries {
            self.finish_query(query, QueryOutcome::Failed(error));
        }
    }

    /// Answers queries for jobs that do not exist, according to a read that was sent after the queries
    /// arrived.
    pub(super) fn answer_unknown(&mut self, queries: Vec<StatusQuery>) {
        for query in queries {
            self.finish_query(query, QueryOutcome::NoSuchJob);
        }
    }

    /// Answers a query from the cache, or parks it until the dependencies of the job are looked up.
    /// Returns the query if the cache cannot answer it.
    pub(crate) fn try_answer(
        &mut self,
        query: StatusQuery,
        uncancelled: &mut UncancelledJobs,
    ) -> Option<StatusQuery> {
        if let Some((status, done)) = self.terminal_states.get(&query.id) {
            self.answer_query(query, JobAnswer::terminal(status, done));
            return None;
        }
        let Some(job) = self.status_queries.cached_job(&query.id) else { return Some(query) };
        let answer = job.answer();
        let waits_for_dependencies = job.waits_for_dependencies();
        if waits_for_dependencies && job.external_spec.is_some() {
            return Some(query);
        }
        // A lookup for a parked query needs only the job's own record, which is cached now.
        if !waits_for_dependencies || matches!(query.requester, Requester::Lineage) {
            self.answer_query(query, answer);
            return None;
        }
        match self.check_lineage(query, uncancelled) {
            LineageCheck::Decided { query, cancelled: true } => {
                self.answer_query(query, JobAnswer { status: JobStatus::Cancelled, ..answer });
            }
            LineageCheck::Decided { query, cancelled: false } => self.answer_query(query, answer),
            LineageCheck::Parked => {}
        }
        None
    }

    /// Answers queries from a record that was read while the cache had `generation`.
    pub(super) fn answer_from_record(
        &mut self,
        id: &str,
        record: &JobRecord,
        version: u64,
        generation: Option<CacheGeneration>,
        queries: Vec<StatusQuery>,
    ) {
        self.record_job_read(id, record, version, generation);
        let job = CachedJob::from_record(record, version);
        let mut uncancelled = UncancelledJobs::new();
        for query in queries {
            if !job.waits_for_dependencies() || matches!(query.requester, Requester::Lineage) {
                self.answer_query(query, job.answer());
                continue;
            }
            // The job is cached now, if caching it is allowed. Otherwise the query waits for the next
            // shared read.
            if let Some(unanswered) = self.try_answer(query, &mut uncancelled) {
                self.status_queries.queued.push(unanswered);
            }
        }
    }

    /// Records the changes that a watch has returned.
    pub(crate) fn record_events(&mut self, events: &Events<Value>) {
        for event in &events.events {
            let Event::Put { key, value, version } = event else { continue };
            match value {
                Value::Job(record) => self.record_job_event(key, record, *version),
                Value::Terminal(record) => self.record_terminal_event(key, record.status, record.done),
                _ => {}
            }
        }
    }

    fn record_job_event(&mut self, key: &str, record: &JobRecord, version: u64) {
        let Some(id) = key.strip_prefix(JOB_PREFIX) else { return };
        // The cache has already recorded all versions up to its revision, or began after them.
        let is_newer = self.status_queries.cache.revision().is_some_and(|revision| version > revision);
        self.record_job_state(id, record, version, is_newer);
    }

    fn record_terminal_event(&mut self, key: &str, status: JobStatus, done: u32) {
        if let Some(id) = key.strip_prefix(TERMINAL_JOB_PREFIX).or_else(|| key.strip_prefix(MARK_PREFIX)) {
            self.terminal_states.insert(id, status, done);
            self.status_queries.cache.remove(id);
        }
    }

    /// Records a job's record that was read or written by a call sent while the cache had `generation`.
    /// A record from before the cache began is not cached: another node may have cancelled the job
    /// since, and the job would be answered as pending.
    pub(crate) fn record_job_read(
        &mut self,
        id: &str,
        record: &JobRecord,
        version: u64,
        generation: Option<CacheGeneration>,
    ) {
        let is_cacheable = generation.is_some() && generation == self.status_queries.generation();
        self.record_job_state(id, record, version, is_cacheable);
    }

    /// Records the state of a job. A terminal job never returns to the cache. Otherwise, a read that
    /// was answered after the end of the job would leave the job in the cache as running, and queries
    /// would be answered with that status once the terminal state has been evicted.
    fn record_job_state(&mut self, id: &str, record: &JobRecord, version: u64, is_cacheable: bool) {
        self.terminal_states.insert(id, record.status, record.done);
        if self.terminal_states.get(id).is_some() {
            self.status_queries.cache.remove(id);
        } else if is_cacheable {
            self.status_queries.cache.update(id, record, version);
        }
    }
}
