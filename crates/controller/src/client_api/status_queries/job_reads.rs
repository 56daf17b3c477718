//! Reads of single job records for status queries, with their chunks and cancellation marks.

use crate::client_api::client_requests::{ERROR_BUSY, ERROR_STORE_UNREACHABLE};
use crate::client_api::record_location::RecordLocation;
use crate::client_api::status_queries::answers::JobAnswer;
use crate::client_api::status_queries::{CacheGeneration, CachedJob, StatusQuery};
use crate::model::records::{job_key, mark_key, JobRecord, Value};
use crate::{CallContext, Controller, StoreReply, StoreRequest};
use protocol::job::JobStatus;
use protocol::state::{Compare, Item, Transaction};

/// Read of one job's record, in flight.
#[derive(Default)]
pub(super) struct PendingJobRead {
    /// Generation of the cache when the read was sent.
    generation: Option<CacheGeneration>,
    /// Queries that the read answers.
    queries: Vec<StatusQuery>,
}

impl Controller {
    /// Reads the record of job `id` if the budget allows it, and fails the queries otherwise.
    pub(super) fn read_job_record(
        &mut self,
        id: String,
        location: RecordLocation,
        queries: Vec<StatusQuery>,
    ) {
        if !self.client_reads.has_reserve(self.now) || !self.client_reads.try_acquire(self.now, 1.0) {
            return self.fail_queries(queries, ERROR_BUSY);
        }
        let generation = self.status_queries.generation();
        self.status_queries.job_reads.insert(id.clone(), PendingJobRead { generation, queries });
        let key = location.key(&id);
        self.call_store(CallContext::JobRead { id, location }, StoreRequest::Get(key));
    }

    /// Removes and returns the read of job `id`, or a read without queries if there is none.
    fn take_job_read(&mut self, id: &str) -> PendingJobRead {
        self.status_queries.job_reads.remove(id).unwrap_or_default()
    }

    /// Handles the reply to the read of job `id` at `location`.
    pub(crate) fn on_job_read(&mut self, id: &str, location: RecordLocation, reply: StoreReply) {
        match reply {
            StoreReply::Item(Item { value: Value::Job(record), version, .. }) => {
                self.on_job_record(id, record, version);
            }
            // The record has been archived since, or never existed. The archive is read after the live
            // records, so that a move between the two reads cannot be missed.
            StoreReply::Missing(_) if location == RecordLocation::Live => {
                let location = RecordLocation::Archive;
                let context = CallContext::JobRead { id: id.to_string(), location };
                self.call_store(context, StoreRequest::Get(location.key(id)));
            }
            reply => self.finish_job_read(id, reply),
        }
    }

    /// Answers the queries after a read that found no live record.
    fn finish_job_read(&mut self, id: &str, reply: StoreReply) {
        let queries = self.take_job_read(id).queries;
        match reply {
            StoreReply::Item(Item { value: Value::Terminal(record), .. }) => {
                self.terminal_states.insert(id, record.status, record.done);
                self.answer_queries(queries, JobAnswer::terminal(record.status, record.done));
            }
            StoreReply::Missing(_) => self.answer_unknown(queries),
            _ => self.fail_queries(queries, ERROR_STORE_UNREACHABLE),
        }
        self.retry_parked_queries();
    }

    /// Answers the queries from a live record, after further reads where the record is not sufficient:
    /// a large record may have a cancellation mark beside it, and the dependencies may be in chunks.
    fn on_job_record(&mut self, id: &str, record: Box<JobRecord>, version: u64) {
        if record.status.is_final() {
            return self.finish_job_read_with_record(id, &record, version);
        }
        // Without a pending read there are no queries, but the reply to the next read still takes an
        // entry.
        self.status_queries.job_reads.entry(id.to_string()).or_default();
        if record.may_have_cancellation_mark(self.store_limits.value_bytes()) {
            self.compare_cancellation_mark(id, record, version);
        } else if CachedJob::from_record(&record, version).external_spec.is_some() {
            self.read_spec_chunks(None, *record, version);
        } else {
            self.finish_job_read_with_record(id, &record, version);
        }
    }

    /// Answers the queries from the record.
    fn finish_job_read_with_record(&mut self, id: &str, record: &JobRecord, version: u64) {
        let read = self.take_job_read(id);
        self.answer_from_record(id, record, version, read.generation, read.queries);
        self.retry_parked_queries();
    }

    /// Compares the versions of the record and of its cancellation mark in one transaction. If the mark
    /// were read separately, the leader could write the terminal state and remove the mark between the
    /// two reads, and a cancelled job would be answered as running.
    fn compare_cancellation_mark(&mut self, id: &str, record: Box<JobRecord>, version: u64) {
        let compares = vec![Compare { key: job_key(id), version }, Compare { key: mark_key(id), version: 0 }];
        let context = CallContext::CancellationMarkCompare { id: id.to_string(), record, version };
        self.commit_hedged(context, Transaction { compares, mutations: Vec::new() });
    }

    /// Handles the reply to the comparison of job `id`'s record and its cancellation mark.
    pub(crate) fn on_cancellation_mark_compared(
        &mut self,
        id: &str,
        record: &JobRecord,
        version: u64,
        reply: StoreReply,
    ) {
        let PendingJobRead { generation, queries } = self.take_job_read(id);
        match reply {
            StoreReply::Committed(_) => self.answer_from_record(id, record, version, generation, queries),
            StoreReply::Conflict(conflict) if conflict.failed.contains(&mark_key(id)) => {
                self.terminal_states.insert(id, JobStatus::Cancelled, 0);
                self.answer_queries(queries, JobAnswer::terminal(JobStatus::Cancelled, 0));
            }
            // The record has changed since it was read, so the job is checked and read again.
            StoreReply::Conflict(_) => self.status_queries.uncached.extend(queries),
            _ => self.fail_queries(queries, ERROR_STORE_UNREACHABLE),
        }
        self.retry_parked_queries();
    }

    /// Answers the queries for a job whose specification chunks were read and joined into `record`.
    pub(crate) fn answer_from_joined_record(&mut self, record: &JobRecord, version: u64) {
        self.finish_job_read_with_record(&record.spec.id, record, version);
    }

    /// Fails the queries for job `id` because the chunks of its record could not be read.
    pub(crate) fn on_job_read_failed(&mut self, id: &str) {
        let queries = self.take_job_read(id).queries;
        self.fail_queries(queries, ERROR_STORE_UNREACHABLE);
        self.retry_parked_queries();
    }
}
