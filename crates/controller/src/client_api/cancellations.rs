//! Cancellations: a read of the job's record, then a compare-and-swap of the version read.

use crate::client_api::client_requests::{
    ERROR_BUSY, ERROR_NO_SUCH_JOB, ERROR_STORE_UNREACHABLE, MAX_WAITING_REQUESTS,
};
use crate::client_api::record_location::RecordLocation;
use crate::model::records::{job_key, json_size, mark_key, JobRecord, TerminalRecord, Value};
use crate::{CallContext, Controller, RequestId, StoreReply, StoreRequest};
use protocol::job::{valid_id, JobStatus};
use protocol::state::{Compare, Item, Mutation, Transaction};

/// Times that a cancellation is tried again after another node has written the record.
const MAX_CANCELLATION_RETRIES: u32 = 8;

/// The cancellation of one job.
pub(super) struct PendingCancellation {
    /// Requests in the order in which they came.
    waiting: Vec<RequestId>,
    /// How many of them came before the read in flight was sent.
    before_read: usize,
}

/// Why a cancellation fails.
#[derive(Debug, Clone, Copy, thiserror::Error)]
enum CancellationError {
    /// The job was never accepted.
    #[error("{ERROR_NO_SUCH_JOB}")]
    NoSuchJob,
    /// The store did not reply, or the record changed with every attempt.
    #[error("{ERROR_STORE_UNREACHABLE}")]
    StoreUnreachable,
}

impl CancellationError {
    /// HTTP status code of the response.
    fn status_code(self) -> u16 {
        match self {
            CancellationError::NoSuchJob => 404,
            CancellationError::StoreUnreachable => 503,
        }
    }
}

impl Controller {
    /// Handles the cancellation of job `id`.
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
        let cancellation = PendingCancellation { waiting, before_read: 0 };
        self.client_requests.cancellations.insert(id.to_string(), cancellation);
        self.read_for_cancellation(id, tries);
    }

    /// Reads the record on behalf of all requests that have come so far.
    fn read_for_cancellation(&mut self, id: &str, tries: u32) {
        if let Some(cancellation) = self.client_requests.cancellations.get_mut(id) {
            cancellation.before_read = cancellation.waiting.len();
        }
        self.send_cancellation_read(id, tries, RecordLocation::Live);
    }

    fn send_cancellation_read(&mut self, id: &str, tries: u32, location: RecordLocation) {
        let context = CallContext::CancelRead { id: id.to_string(), tries, location };
        self.call_store(context, StoreRequest::Get(location.key(id)));
    }

    /// Answers all requests to cancel job `id`.
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

    /// The record of job `id` was read at `location` in order to cancel it.
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
            // The job may have ended and its record been archived before that read.
            StoreReply::Missing(_) if location == RecordLocation::Live => {
                self.send_cancellation_read(id, tries, RecordLocation::Archive);
            }
            StoreReply::Missing(_) => self.on_cancelled_job_missing(id, tries),
            _ => self.finish_cancellation(id, Err(CancellationError::StoreUnreachable)),
        }
    }

    /// Requests that came after the read was sent need another read: the job may have been
    /// accepted in between.
    fn on_cancelled_job_missing(&mut self, id: &str, tries: u32) {
        let came_later = match self.client_requests.cancellations.get_mut(id) {
            Some(cancellation) => cancellation.waiting.split_off(cancellation.before_read),
            None => Vec::new(),
        };
        self.finish_cancellation(id, Err(CancellationError::NoSuchJob));
        if !came_later.is_empty() {
            self.start_cancellation(id, came_later, tries);
        }
    }

    /// The transaction that cancels the job with that record. A record that is too large to be
    /// written again gets a cancellation mark beside it, which the leader takes into account with
    /// its next write of the job.
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

    /// The cancellation of job `id` was written, or not.
    pub(crate) fn on_cancel_write(&mut self, id: &str, tries: u32, reply: StoreReply) {
        let may_retry = tries < MAX_CANCELLATION_RETRIES;
        match reply {
            StoreReply::Committed(_) => {
                self.finish_cancellation_of_terminal(id, JobStatus::Cancelled, 0);
                self.on_local_cancellation(id);
            }
            // Another node has written the mark.
            StoreReply::Conflict(conflict) if conflict.failed.contains(&mark_key(id)) => {
                self.finish_cancellation_of_terminal(id, JobStatus::Cancelled, 0);
            }
            // The leader has written the record in between.
            StoreReply::Conflict(_) if may_retry => self.read_for_cancellation(id, tries + 1),
            // The record is larger than the store accepts now: the next attempt writes a mark.
            StoreReply::Invalid if may_retry => {
                self.on_size_refused();
                self.read_for_cancellation(id, tries + 1);
            }
            _ => self.finish_cancellation(id, Err(CancellationError::StoreUnreachable)),
        }
    }
}
