//! Watch on the stored jobs, through which the leader learns of writes by other nodes.

use crate::leader::state::{LeaderState, Role};
use crate::leader::terminal_jobs::terminal_job;
use crate::model::job::Job;
use crate::model::records::{job_key, JobRecord, Value, JOB_PREFIX, MARK_PREFIX};
use crate::{CallContext, Controller, StoreReply, StoreRequest, Time};
use protocol::job::JobStatus;
use protocol::state::{Event, Events};
use tracing::debug;

/// Job record that was read while the leader's own write of the same job was in flight.
pub struct DeferredRecord {
    id: String,
    record: Box<JobRecord>,
    version: u64,
}

impl LeaderState {
    /// Whether the specification of a job must be read before its record can be applied.
    fn lacks_specification(&self, id: &str, record: &JobRecord) -> bool {
        let known =
            self.cluster.jobs.contains_key(id) || record.status.is_final() || !record.spec.class.is_empty();
        record.spec_chunks.is_some() && !known
    }
}

impl Controller {
    /// Handles the reply to a watch on the jobs that was sent at `sent_at`.
    pub(crate) fn on_job_watch(&mut self, token: u64, sent_at: Time, reply: StoreReply) {
        let retry_at = self.store_retry_at();
        let Some(leader) = self.leader_state(token) else { return };
        leader.watch.in_flight = false;
        match reply {
            StoreReply::Events(batch) => self.on_job_events(token, sent_at, batch),
            // The history has been compacted: the next leader reads all records again.
            StoreReply::Gone => self.step_down("watch fell behind"),
            _ => leader.watch.retry_at = retry_at,
        }
    }

    fn on_job_events(&mut self, token: u64, sent_at: Time, batch: Events<Value>) {
        let now = self.now;
        let Some(leader) = self.leader_state(token) else { return };
        let previous_revision = leader.watch.revision.unwrap_or(u64::MAX);
        leader.watch.revision = leader.watch.revision.max(Some(batch.revision));
        self.record_events(&batch);
        self.status_queries.extend_freshness(previous_revision, batch.revision, now);
        self.observe_own_write(token, &batch.events);
        for event in batch.events {
            if let Event::Put { key, value, version } = event {
                self.observe_record(&key, value, version);
            }
        }
        if let Some(leader) = self.leader_state(token) {
            leader.leadership.authority.record_read(sent_at);
        }
        self.confirm_records_applied();
    }

    /// Processes a stored record, which need not be newer than the known state.
    pub(crate) fn observe_record(&mut self, key: &str, value: Value, version: u64) {
        match value {
            Value::Terminal(terminal) => {
                if let Some(id) = key.strip_prefix(MARK_PREFIX) {
                    self.observe_cancellation_mark(id, terminal.status, version);
                }
            }
            Value::Job(record) => {
                if let Some(id) = key.strip_prefix(JOB_PREFIX) {
                    self.observe_job_record(id, record, version);
                }
            }
            _ => {}
        }
    }

    fn observe_job_record(&mut self, id: &str, record: Box<JobRecord>, version: u64) {
        let was_terminal = self.terminal_states.get(id).is_some();
        let status = record.status;
        if status.is_final() {
            self.terminal_states.insert(id, status, record.done);
        }
        let Role::Leader(leader) = &mut self.role else { return };
        // If the reply to the job's archival was lost, an outdated record of the archived job must
        // not be mistaken for a live job, whose tasks would be placed.
        if leader.archive.archived.is_outdated(id, version) {
            return;
        }
        if status.is_final() && leader.undecodable.contains_job(id) {
            return self.record_outcome(id, status);
        }
        if leader.write_queue.is_unsettled(id) {
            return self.defer_record(id, record, version);
        }
        if leader.lacks_specification(id, &record) {
            let token = leader.fencing_token;
            return self.read_spec_chunks(Some(token), *record, version);
        }
        self.apply_record(id, &record, version, was_terminal);
        self.record_outcome(id, status);
    }

    /// Defers a record until the outcome of the leader's own write of the same job is known.
    fn defer_record(&mut self, id: &str, record: Box<JobRecord>, version: u64) {
        let Role::Leader(leader) = &mut self.role else { return };
        let cancelled = record.status == JobStatus::Cancelled;
        leader.deferred_records.push(DeferredRecord { id: id.to_string(), record, version });
        if !cancelled {
            return;
        }
        // The tasks of a cancelled job are stopped without waiting: they are useless whatever the
        // outcome of that write.
        if let Some(job) = leader.cluster.jobs.get_mut(id) {
            job.cancel();
            self.settle_terminal(id);
        }
    }

    /// Applies the record of job `id` as stored in `version`. `was_terminal` tells whether the job
    /// was already known to be terminal.
    fn apply_record(&mut self, id: &str, record: &JobRecord, version: u64, was_terminal: bool) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(job) = leader.cluster.jobs.get_mut(id) else {
            return self.apply_unknown_record(id, record, version, was_terminal);
        };
        if version > job.version {
            debug!(id, version, "record changed by another node");
            job.reconcile(record, version);
            leader.planning.needed = true;
            self.settle_terminal(id);
        }
    }

    /// Applies the record of a job that is not among the live jobs.
    fn apply_unknown_record(&mut self, id: &str, record: &JobRecord, version: u64, was_terminal: bool) {
        // A late event of a job that this leader has already removed may show placements that no
        // longer exist. Treating them as an earlier leader's would occupy the team's quota forever.
        if record.status.is_final() && record.first_page.placements.is_empty() {
            return self.archive_job(terminal_job(id, record, version));
        }
        if !was_terminal {
            self.add_live_job(id, record, version);
        }
    }

    fn add_live_job(&mut self, id: &str, record: &JobRecord, version: u64) {
        let submitted_at = self.now - (self.wall_time_s - record.submitted_wall_s).max(0.0);
        let Role::Leader(leader) = &mut self.role else { return };
        leader.cluster.insert_job(Job::from_record(record, version, submitted_at, &self.store_limits));
        leader.planning.needed = true;
        if record.dependencies().is_empty() {
            self.record_arrival(&record.spec, submitted_at);
        } else {
            // Dependencies are accepted only once all nodes support them.
            self.formats.confirm();
            self.add_job_to_dependency_graph(id);
        }
    }

    /// Applies a cancellation mark: another node has cancelled job `id`, whose record is too large to
    /// be rewritten.
    pub(crate) fn observe_cancellation_mark(&mut self, id: &str, status: JobStatus, version: u64) {
        self.terminal_states.insert(id, status, 0);
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(job) = leader.cluster.jobs.get_mut(id) else { return };
        job.on_cancellation_mark(version);
        leader.planning.needed = true;
        self.record_outcome(id, status);
        self.settle_terminal(id);
    }

    /// Processes the deferred records after the outcome of a write has become known.
    pub(crate) fn replay_deferred_records(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        for DeferredRecord { id, record, version } in std::mem::take(&mut leader.deferred_records) {
            self.observe_job_record(&id, record, version);
        }
        self.confirm_records_applied();
    }

    /// Records that all changes shown by the watch have been applied, unless a record is deferred.
    fn confirm_records_applied(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.recovery.finished && leader.deferred_records.is_empty() {
            leader.leadership.authority.record_applied();
            leader.archive.archived.forget_until(leader.watch.revision.unwrap_or(0));
        }
    }

    /// Reads the record of a job that was cancelled at this node, ahead of the watch.
    pub(crate) fn on_local_cancellation(&mut self, id: &str) {
        let Role::Leader(leader) = &mut self.role else { return };
        if !leader.cluster.jobs.contains_key(id) {
            return;
        }
        let token = leader.fencing_token;
        leader.write_queue.rereads_in_flight += 1;
        let key = job_key(id);
        self.call_store(CallContext::ReadBackRecord { token, key: key.clone() }, StoreRequest::Get(key));
    }
}
