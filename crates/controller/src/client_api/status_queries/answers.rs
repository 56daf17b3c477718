//! Answers to status queries, from the cache or from a record that was read.

use crate::client_api::cancellation_lineage::{LineageCheck, UncancelledJobs};
use crate::client_api::client_requests::TaskCounts;
use crate::client_api::dependency_checks::DependencyLookup;
use crate::client_api::status_queries::{CacheGeneration, CachedJob, Requester, StatusQuery};
use crate::model::records::{JobRecord, Value, JOB_PREFIX, MARK_PREFIX, OVER_PREFIX};
use crate::Controller;
use protocol::job::JobStatus;
use protocol::state::{Event, Events};

/// What is known of a job that exists.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobAnswer {
    /// Its status.
    pub(super) status: JobStatus,
    /// Numbers of its tasks.
    pub(super) counts: TaskCounts,
    /// Whether it is a service, which is never done.
    pub(super) is_service: bool,
}

impl JobAnswer {
    /// Of a job that is terminal.
    pub(super) fn terminal(status: JobStatus, done: u32) -> Self {
        JobAnswer { status, counts: TaskCounts::terminal(done), is_service: false }
    }
}

/// The result of a status query.
#[derive(Clone, Copy)]
enum QueryOutcome<'a> {
    /// The job exists.
    Known(JobAnswer),
    /// No such job was accepted.
    NoSuchJob,
    /// The query failed, with that error text.
    Failed(&'a str),
}

impl QueryOutcome<'_> {
    /// The result as the submission sees it that names the job.
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
    /// Gives the requester the result.
    fn finish_query(&mut self, query: StatusQuery, outcome: QueryOutcome) {
        match query.requester {
            Requester::Client { request, status_code, error } => {
                self.status_queries.waiting -= 1;
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

    /// Fails queries with an error text.
    pub(crate) fn fail_queries(&mut self, queries: Vec<StatusQuery>, error: &str) {
        for query in queries {
            self.finish_query(query, QueryOutcome::Failed(error));
        }
    }

    /// Answers queries for jobs that were never accepted, as a read sent after the queries tells.
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
        // A lookup for a dependent asks only for the job's own record, which is known now.
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

    /// Answers queries from a record that was read in `generation` of the cache.
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
            // The job is cached now if it may be; else the next shared read brings it.
            if let Some(unanswered) = self.try_answer(query, &mut uncancelled) {
                self.status_queries.queued.push(unanswered);
            }
        }
    }

    /// Records the changes that a watch has shown.
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
        // The cache has seen all versions up to its revision, or began later.
        let is_newer = self.status_queries.cache.revision().is_some_and(|revision| version > revision);
        self.record_job_state(id, record, version, is_newer);
    }

    fn record_terminal_event(&mut self, key: &str, status: JobStatus, done: u32) {
        if let Some(id) = key.strip_prefix(OVER_PREFIX).or_else(|| key.strip_prefix(MARK_PREFIX)) {
            self.terminal_states.insert(id, status, done);
            self.status_queries.cache.remove(id);
        }
    }

    /// Records a job's record that was read or written by a call sent in `generation` of the cache.
    /// (Recorded before the cache had begun, a job was once answered as pending that another node
    /// had cancelled by then.)
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

    /// Terminal jobs never come back into the cache. (A read that was answered after the end of a
    /// job once left it there as running, and that was answered after the terminal state had been
    /// evicted.)
    fn record_job_state(&mut self, id: &str, record: &JobRecord, version: u64, is_cacheable: bool) {
        self.terminal_states.insert(id, record.status, record.done);
        if self.terminal_states.get(id).is_some() {
            self.status_queries.cache.remove(id);
        } else if is_cacheable {
            self.status_queries.cache.update(id, record, version);
        }
    }
}
