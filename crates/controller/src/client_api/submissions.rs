//! Submissions of jobs: the checks of a job, and the transactions that store it.

use crate::client_api::client_requests::{
    TaskCounts, ERROR_BUSY, ERROR_STORE_UNREACHABLE, MAX_CLIENT_WRITE_SHARE, MAX_WAITING_REQUESTS,
};
use crate::client_api::feasibility::check_feasibility;
use crate::client_api::status_queries::CacheGeneration;
use crate::model::records::{job_key, json_size, JobRecord, JobValueSizes, Value};
use crate::storage::spec_chunks::{new_job_conditions, new_nonce};
use crate::storage::write_queue::LEADER_WRITE_SHARE;
use crate::{CallContext, Controller, RequestId, StoreReply};
use protocol::job::{valid_id, JobSpec, JobStatus};
use protocol::state::{Mutation, Transaction};
use protocol::DecodeError;
use rand::Rng;
use serde::Deserialize;
use tracing::info;

/// A submission that is being written.
pub(super) struct PendingSubmission {
    /// Requests that submitted the job. The first one started the write.
    waiting: Vec<RequestId>,
    /// Record of the whole job.
    record: JobRecord,
    /// Record that is stored instead of `record` if the specification is stored in chunks.
    stored_record: Option<JobRecord>,
    /// Chunks that are not stored yet, in reverse order: key and value.
    pub(super) pending_chunks: Vec<(String, Value)>,
    /// Generation of the status cache when the write began.
    cache_generation: Option<CacheGeneration>,
}

impl PendingSubmission {
    /// Moves the specification out of the record, into chunks of at most `max_value_bytes`.
    fn split_spec(&mut self, nonce: String, max_value_bytes: usize) {
        let (stored_record, mut chunks) = self.record.clone().split_spec(nonce, max_value_bytes);
        self.record.per_page = stored_record.per_page;
        self.record.spec_chunks = stored_record.spec_chunks.clone();
        chunks.reverse();
        self.stored_record = Some(stored_record);
        self.pending_chunks = chunks;
    }
}

/// Reason why the body of a submission is not a valid job.
#[derive(Debug, thiserror::Error)]
enum InvalidSubmission {
    /// The body exceeds the limit.
    #[error("body over 64 KiB")]
    TooLarge,
    /// The body does not decode to a job in the allowed ranges.
    #[error(transparent)]
    Malformed(#[from] DecodeError),
}

/// The part of an invalid submission that is still read.
#[derive(Deserialize)]
struct JobIdOnly {
    /// Id of the job.
    #[serde(default)]
    id: Option<String>,
}

/// Decodes and checks the body of a submission.
///
/// # Errors
/// Returns the reason why the body is not a valid job.
fn decode_submission(body: &[u8]) -> Result<JobSpec, InvalidSubmission> {
    if body.len() > protocol::MAX_BODY_BYTES {
        return Err(InvalidSubmission::TooLarge);
    }
    let spec: JobSpec = protocol::decode(body)?;
    spec.check()?;
    Ok(spec)
}

/// Returns the job id in the body of an invalid submission, if the body has a valid one.
fn submitted_id(body: &[u8]) -> Option<String> {
    let (body, _) = protocol::decode_prefix::<JobIdOnly>(body).ok()?;
    body.id.filter(|id| valid_id(id))
}

impl Controller {
    /// Handles a submission: creates the job, or answers with the reason for refusing it.
    pub(crate) fn on_submit(&mut self, request_id: RequestId, body: &[u8]) {
        let spec = match decode_submission(body) {
            Ok(spec) => spec,
            Err(error) => return self.refuse_invalid_submission(request_id, body, &error),
        };
        if let Some((status, done)) = self.terminal_states.get(&spec.id) {
            let counts = TaskCounts::terminal(done);
            return self.respond_with_job(request_id, 200, &spec.id, status, Some(counts));
        }
        let Some(machine_types) = &self.machine_types else {
            return self.respond_error(request_id, 503, "machine types not known yet");
        };
        if let Err(error) = check_feasibility(&spec, machine_types, &self.settings.params.teams) {
            return self.query_status(request_id, &spec.id, 422, &error.to_string());
        }
        if spec.dependencies.is_empty() {
            self.create_job(request_id, spec, JobStatus::Pending);
        } else {
            self.check_dependencies(request_id, spec);
        }
    }

    /// Refuses an invalid submission with 400. If the body has an id, the job is looked up first,
    /// because a repeated submission of a known job must never be answered with 400.
    fn refuse_invalid_submission(&mut self, request_id: RequestId, body: &[u8], error: &InvalidSubmission) {
        let message = error.to_string();
        match submitted_id(body) {
            Some(id) => self.query_status(request_id, &id, 400, &message),
            None => self.respond_error(request_id, 400, &message),
        }
    }

    /// Stores a job that has passed all checks.
    pub(super) fn create_job(&mut self, request_id: RequestId, spec: JobSpec, status: JobStatus) {
        let id = spec.id.clone();
        if let Some(submission) = self.client_requests.submissions.get_mut(&id) {
            submission.waiting.push(request_id);
            return;
        }
        if self.client_requests.submissions.len() > MAX_WAITING_REQUESTS
            || !self.client_writes.try_acquire(self.now, 1.0)
        {
            return self.respond_error(request_id, 503, ERROR_BUSY);
        }
        let max_value_bytes = self.store_limits.value_bytes();
        let record = JobRecord { status, ..JobRecord::new(spec, self.wall_time_s, max_value_bytes) };
        let sizes = JobValueSizes::with_whole_spec(&record.spec);
        let tasks = record.spec.tasks;
        let needs_chunks = !sizes.leaves_room_for_first_page(tasks, max_value_bytes);
        let may_use_chunks = self.uses_current_format();
        if needs_chunks && !may_use_chunks && !self.may_store_large_spec(sizes, tasks) {
            return self.respond_error(request_id, 503, "not known yet whether all nodes read parts");
        }
        let mut submission = PendingSubmission {
            waiting: vec![request_id],
            record,
            stored_record: None,
            pending_chunks: Vec::new(),
            cache_generation: self.status_queries.generation(),
        };
        if needs_chunks && may_use_chunks {
            let nonce = new_nonce(self.wall_time_s, self.rng.gen());
            submission.split_spec(nonce, max_value_bytes);
        }
        self.client_requests.submissions.insert(id.clone(), submission);
        self.store_next_chunks(&id);
    }

    /// Whether a specification that needs chunks may be part of its record, while it is not known that
    /// all nodes read chunks. A restarted node must not do this before it has read the agreed format:
    /// the leader would have to move the specification into chunks later.
    fn may_store_large_spec(&self, sizes: JobValueSizes, tasks: u32) -> bool {
        self.formats.gate.was_answered()
            && sizes.leaves_room_for_first_page(tasks, self.store_limits.current_value_bytes())
    }

    /// Stores the record of submission `id`. All chunks must have been stored before.
    pub(crate) fn store_job_record(&mut self, id: &str) {
        let Some(submission) = self.client_requests.submissions.get(id) else { return };
        let record = submission.stored_record.as_ref().unwrap_or(&submission.record).clone();
        let transaction = Transaction {
            compares: new_job_conditions(id),
            mutations: vec![Mutation::Put {
                key: job_key(id),
                value: Value::Job(Box::new(record)),
                lease: None,
            }],
        };
        self.commit_hedged(CallContext::Create { id: id.to_string() }, transaction);
    }

    /// Handles the reply to the write of submission `id`'s record, or to a failed write of its chunks.
    pub(crate) fn on_job_created(&mut self, id: &str, reply: StoreReply) {
        let Some(submission) = self.client_requests.submissions.remove(id) else { return };
        self.adapt_store_limits(&reply, &submission.record);
        self.adapt_client_write_rate(&reply);
        match reply {
            StoreReply::Committed(revision) => self.finish_submission(id, submission, revision),
            StoreReply::Conflict(_) => {
                for request_id in submission.waiting {
                    self.query_status(request_id, id, 503, ERROR_BUSY);
                }
            }
            _ => {
                for request_id in submission.waiting {
                    self.respond_error(request_id, 503, ERROR_STORE_UNREACHABLE);
                }
            }
        }
    }

    /// Adapts the estimate of the store's limits to its reply to a submission.
    fn adapt_store_limits(&mut self, reply: &StoreReply, record: &JobRecord) {
        match reply {
            StoreReply::Committed(_) => self.store_limits.on_write_served(),
            StoreReply::Limited => self.on_rate_limited(),
            StoreReply::Invalid if json_size(record) > self.store_limits.value_bytes() => {
                self.on_size_refused();
            }
            _ => {}
        }
    }

    /// Raises or lowers the rate of client writes according to the store's reply to a submission.
    fn adapt_client_write_rate(&mut self, reply: &StoreReply) {
        let store_write_rps = self.store_limits.write_rps();
        match reply {
            StoreReply::Committed(_) | StoreReply::Conflict(_) => {
                self.client_writes.recover(store_write_rps * MAX_CLIENT_WRITE_SHARE);
            }
            StoreReply::Refused | StoreReply::Limited => {
                let nodes = f64::from(self.settings.params.nodes.max(1));
                let min_write_rps = store_write_rps * (1.0 - LEADER_WRITE_SHARE) / nodes;
                self.client_writes.halve(self.now, min_write_rps);
            }
            _ => {}
        }
    }

    /// Answers the requests that submitted a job whose record is stored at `revision`.
    fn finish_submission(&mut self, id: &str, submission: PendingSubmission, revision: u64) {
        let PendingSubmission { waiting, record, cache_generation, .. } = submission;
        let spec = &record.spec;
        let awaits = spec.dependencies.len();
        info!(job = %id, class = %spec.class, team = %spec.team, tasks = spec.tasks, awaits, "job submitted");
        self.record_job_read(id, &record, revision, cache_generation);
        let status = record.status;
        self.client_requests.created.push((id.to_string(), record, revision));
        let mut waiting = waiting.into_iter();
        if let Some(first) = waiting.next() {
            self.respond_with_job(first, 201, id, status, None);
        }
        // Repeated submissions arrived after the write was sent, so the job may have been cancelled
        // through another node in between.
        for repeated in waiting {
            self.query_status(repeated, id, 503, ERROR_BUSY);
        }
    }
}
