//! Cancellations of jobs: a read of the job's record, then a compare-and-swap on the version read.

use crate::client_api::client_requests::{
    ERROR_BUSY, ERROR_NO_SUCH_JOB, ERROR_STORE_UNREACHABLE, MAX_WAITING_REQUESTS,
};
use crate::client_api::record_location::RecordLocation;
use crate::model::records::{job_key, json_size, mark_key, JobRecord, TerminalRecord, Value};
use crate::{CallContext, Controller, RequestId, StoreReply, StoreRequest};
use protocol::job::{valid_id, JobStatus};
use protocol::state::{Compare, Item, Mutation, Transaction};

/// Maximum number of retries of a cancellation after another node has written the record or the
/// store has refused the record's size.
const MAX_CANCELLATION_RETRIES: u32 = 8;

/// Cancellation of one job, in progress.
pub(super) struct PendingCancellation {
    /// Requests in the order of their arrival.
    waiting: Vec<RequestId>,
    /// Number of requests that arrived before the read in flight was sent.
    requests_before_read: usize,
}

/// Reason for the failure of a cancellation.
#[derive(Debug, Clone, Copy, thiserror::Error)]
enum CancellationError {
    /// No such job was accepted.
    #[error("{ERROR_NO_SUCH_JOB}")]
    NoSuchJob,
    /// The store refused or did not answer the call, or the retries were used up.
    #[error("{ERROR_STORE_UNREACHABLE}")]
    StoreUnreachable,
}

impl CancellationError {
    /// Returns the HTTP status code of the response.
    fn status_code(self) -> u16 {
        match self {
            CancellationError::NoSuchJob => 404,
            CancellationError::StoreUnreachable => 503,
        }
    }
}

impl Controller {
    /// Handles a request to cancel job `id`.
    pub(crate) fn on_cancel(&mut self, request_id: RequestId, id: &str) {
        if !valid_id(id) {
            return self.respond_error(request_id, 404, ERROR_NO_SUCH_JOB);
        }
        if let Some((status, _)) = self.terminal_states.get(id) {
            return self.respond_with_job(request_id, 200, id, status, None);
        }
        if let Some(cancellation) = self.client_requests.cancellations.get_mut(id) {
            cancellation.waiting.push(request_id);
            return;
        }
        if self.client_requests.cancellations.len() > MAX_WAITING_REQUESTS
            || !self.client_reads.try_acquire(self.now, 1.0)
        {
            return self.respond_error(request_id, 503, ERROR_BUSY);
        }
        self.start_cancellation(id, vec![request_id], 0);
    }

    fn start_cancellation(&mut self, id: &str, waiting: Vec<RequestId>, tries: u32) {
        let cancellation = PendingCancellation { waiting, requests_before_read: 0 };
        self.client_requests.cancellations.insert(id.to_string(), cancellation);
        self.read_for_cancellation(id, tries);
    }

    /// Reads the record for all requests that have arrived so far.
    fn read_for_cancellation(&mut self, id: &str, tries: u32) {
        if let Some(cancellation) = self.client_requests.cancellations.get_mut(id) {
            cancellation.requests_before_read = cancellation.waiting.len();
        }
        self.send_cancellation_read(id, tries, RecordLocation::Live);
    }

    fn send_cancellation_read(&mut self, id: &str, tries: u32, location: RecordLocation) {
        let context = CallContext::CancelRead { id: id.to_string(), tries, location };
        self.call_store(context, StoreRequest::Get(location.key(id)));
    }

    /// Answers all requests to cancel job `id` and ends the cancellation.
    fn finish_cancellation(&mut self, id: &str, outcome: Result<JobStatus, CancellationError>) {
        let Some(cancellation) = self.client_requests.cancellations.remove(id) else { return };
        for request_id in cancellation.waiting {
            match outcome {
                Ok(status) => self.respond_with_job(request_id, 200, id, status, None),
                Err(error) => self.respond_error(request_id, error.status_code(), &error.to_string()),
            }
        }
    }

    /// Answers all requests to cancel job `id` with its terminal status.
    fn finish_cancellation_of_terminal(&mut self, id: &str, status: JobStatus, done: u32) {
        self.terminal_states.insert(id, status, done);
        self.finish_cancellation(id, Ok(status));
    }

    /// Handles the reply to the read of job `id` at `location` that precedes its cancellation.
    pub(crate) fn on_cancel_read(
        &mut self,
        id: &str,
        tries: u32,
        location: RecordLocation,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Item(Item { value: Value::Terminal(record), .. }) => {
                self.finish_cancellation_of_terminal(id, record.status, record.done);
            }
            StoreReply::Item(Item { value: Value::Job(record), .. }) if record.status.is_final() => {
                self.finish_cancellation_of_terminal(id, record.status, record.done);
            }
            StoreReply::Item(Item { value: Value::Job(record), version, .. }) => {
                let transaction = self.cancellation_transaction(*record, version);
                self.client_writes.try_acquire(self.now, 1.0);
                self.commit_hedged(CallContext::CancelWrite { id: id.to_string(), tries }, transaction);
            }
            // The job may have ended and its record may have been archived before the read.
            StoreReply::Missing(_) if location == RecordLocation::Live => {
                self.send_cancellation_read(id, tries, RecordLocation::Archive);
            }
            StoreReply::Missing(_) => self.on_cancelled_job_missing(id, tries),
            _ => self.finish_cancellation(id, Err(CancellationError::StoreUnreachable)),
        }
    }

    /// Answers the requests that arrived before the read with 404. Requests that arrived after it
    /// was sent need another read, because the job may have been accepted in between.
    fn on_cancelled_job_missing(&mut self, id: &str, tries: u32) {
        let later_requests = match self.client_requests.cancellations.get_mut(id) {
            Some(cancellation) => cancellation.waiting.split_off(cancellation.requests_before_read),
            None => Vec::new(),
        };
        self.finish_cancellation(id, Err(CancellationError::NoSuchJob));
        if !later_requests.is_empty() {
            self.start_cancellation(id, later_requests, tries);
        }
    }

    /// Returns the transaction that cancels the job with that record. If the record is too large to
    /// be written again, the transaction puts a cancellation mark beside it, which the leader takes
    /// into account with its next write of the job.
    fn cancellation_transaction(&self, record: JobRecord, version: u64) -> Transaction<Value> {
        let id = record.spec.id.clone();
        let mut compares = vec![Compare { key: job_key(&id), version }];
        let max_value_bytes = self.store_limits.value_bytes();
        let mut cancelled = JobRecord { status: JobStatus::Cancelled, ..record };
        if json_size(&cancelled) > max_value_bytes {
            cancelled = cancelled.trimmed();
        }
        let needs_mark = self.uses_current_format() && json_size(&cancelled) > max_value_bytes;
        let (key, value) = if needs_mark {
            let mark = TerminalRecord {
                status: JobStatus::Cancelled,
                done: 0,
                submitted_wall_s: cancelled.submitted_wall_s,
            };
            compares.push(Compare { key: mark_key(&id), version: 0 });
            (mark_key(&id), Value::Terminal(mark))
        } else {
            (job_key(&id), Value::Job(Box::new(cancelled)))
        };
        Transaction { compares, mutations: vec![Mutation::Put { key, value, lease: None }] }
    }

    /// Handles the reply to the write of the cancellation of job `id`.
    pub(crate) fn on_cancel_write(&mut self, id: &str, tries: u32, reply: StoreReply) {
        let may_retry = tries < MAX_CANCELLATION_RETRIES;
        match reply {
            StoreReply::Committed(_) => {
                self.finish_cancellation_of_terminal(id, JobStatus::Cancelled, 0);
                self.on_local_cancellation(id);
            }
            // Another node has already written the mark.
            StoreReply::Conflict(conflict) if conflict.failed.contains(&mark_key(id)) => {
                self.finish_cancellation_of_terminal(id, JobStatus::Cancelled, 0);
            }
            // The record was written by another node after it was read.
            StoreReply::Conflict(_) if may_retry => self.read_for_cancellation(id, tries + 1),
            // The record exceeds the store's current size limit: the next attempt writes a mark.
            StoreReply::Invalid if may_retry => {
                self.on_size_refused();
                self.read_for_cancellation(id, tries + 1);
            }
            _ => self.finish_cancellation(id, Err(CancellationError::StoreUnreachable)),
        }
    }
}
