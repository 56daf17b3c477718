//! Queue of the leader's writes. One transaction is in flight at a time, conditional on the version of
//! the leader key and of every record that it replaces.

mod due_jobs;
mod outcome;
mod page_selection;
mod read_back;
mod transaction;

use crate::leader::state::{LeaderState, Role};
use crate::model::job::{Job, JobWrite};
use crate::model::records::{json_size, Value};
use crate::scheduling::effective_priority::priority_level;
use crate::{CallContext, Controller, StoreRequest, Time};
use due_jobs::{due_jobs, move_to_front, DueJob};
use protocol::job::JobStatus;
use protocol::state::{Event, Mutation, Transaction};
use transaction::{TransactionBuilder, WriteConditions};

/// Fraction of the store's write rate that the leader may use; the rest is for submissions and
/// cancellations.
pub const LEADER_WRITE_SHARE: f64 = 0.7;
/// Number of scans for jobs to be written per planning interval.
const SCANS_PER_PLANNING_INTERVAL: f64 = 50.0;

/// State of the leader's writes, and the time of the next one.
pub struct WriteQueue {
    in_flight: Option<InFlightTransaction>,
    last_serial: u64,
    /// Number of records being read back. Nothing is written before they are known.
    pub rereads_in_flight: u32,
    /// Keys whose reread failed and is repeated after `retry_at`.
    failed_rereads: Vec<String>,
    retry_at: Time,
    /// Time of the next scan for jobs to be written.
    scan_at: Time,
    /// Whether to scan for jobs to be written without waiting for `scan_at`.
    pub write_now: bool,
    /// Whether the last transaction was that of a job that is written alone.
    last_was_alone: bool,
}

impl WriteQueue {
    /// Creates the queue of a leader that starts at `now`.
    pub fn new(now: Time) -> Self {
        WriteQueue {
            in_flight: None,
            last_serial: 0,
            rereads_in_flight: 0,
            failed_rereads: Vec::new(),
            retry_at: now,
            scan_at: now,
            write_now: false,
            last_was_alone: false,
        }
    }

    /// Whether the stored state of job `id` is not known for certain at present.
    pub fn is_unsettled(&self, id: &str) -> bool {
        self.rereads_in_flight > 0 || self.in_flight.as_ref().is_some_and(|txn| txn.touches(id))
    }

    /// Returns whether to scan for jobs to be written; if so, the next scan is `interval_s` later.
    fn begin_scan(&mut self, now: Time, interval_s: Time) -> bool {
        let is_blocked = self.in_flight.is_some() || self.rereads_in_flight > 0 || now < self.retry_at;
        if is_blocked || now < self.scan_at && !self.write_now {
            return false;
        }
        self.scan_at = now + interval_s;
        self.write_now = false;
        true
    }

    /// Registers a transaction that is about to be sent. Returns its serial number.
    fn begin_transaction(&mut self, entries: Vec<TransactionEntry>, txn: &Transaction<Value>) -> u64 {
        self.last_serial += 1;
        let serial = self.last_serial;
        self.in_flight = Some(InFlightTransaction { serial, entries, written_values: written_values(txn) });
        serial
    }

    /// Removes and returns the keys whose reread failed, if they are due to be read again.
    fn take_due_rereads(&mut self, now: Time) -> Vec<String> {
        if now < self.retry_at {
            return Vec::new();
        }
        std::mem::take(&mut self.failed_rereads)
    }
}

/// Transaction whose outcome is not known yet.
struct InFlightTransaction {
    serial: u64,
    entries: Vec<TransactionEntry>,
    /// Values that it writes, with their keys.
    written_values: Vec<(String, Value)>,
}

/// Part of a transaction that belongs to one job.
struct TransactionEntry {
    job_id: String,
    /// Extent of the job's state that it stores.
    write: JobWrite,
    /// Keys of the chunks of its specification that it stores.
    spec_chunk_keys: Vec<String>,
    /// Whether the job has ended and the transaction archives its record.
    archives: bool,
    /// Final status that it stores, if any.
    final_status: Option<JobStatus>,
    /// Whether it stores that the job no longer waits for a dependency.
    marks_ready: bool,
}

impl InFlightTransaction {
    fn touches(&self, id: &str) -> bool {
        self.entries.iter().any(|entry| entry.job_id == id)
    }

    /// Returns the sizes of the values that it writes, in JSON bytes.
    fn value_bytes(&self) -> impl Iterator<Item = usize> + '_ {
        self.written_values.iter().map(|(_, value)| json_size(value))
    }

    fn largest_value_bytes(&self) -> usize {
        self.value_bytes().max().unwrap_or(0)
    }

    /// Returns the revision at which all its values were stored, if `events` show it. All of them are
    /// compared, since a single job may look the same after an earlier transaction that was applied
    /// late.
    fn stored_at(&self, events: &[Event<Value>]) -> Option<u64> {
        let mut revisions = self.written_values.iter().map(|(key, value)| put_revision(events, key, value));
        let first = revisions.next()??;
        revisions.all(|revision| revision == Some(first)).then_some(first)
    }
}

/// Returns the first revision at which `events` show a put of `value` under `key`.
fn put_revision(events: &[Event<Value>], key: &str, value: &Value) -> Option<u64> {
    events.iter().find_map(|event| match event {
        Event::Put { key: put_key, value: put_value, version } if put_key == key && put_value == value => {
            Some(*version)
        }
        _ => None,
    })
}

fn written_values(txn: &Transaction<Value>) -> Vec<(String, Value)> {
    let put = |mutation: &Mutation<Value>| match mutation {
        Mutation::Put { key, value, .. } => Some((key.clone(), value.clone())),
        Mutation::Delete { .. } => None,
    };
    txn.mutations.iter().filter_map(put).collect()
}

impl Controller {
    /// Sends the next transaction if a write is due and none is in flight.
    pub(crate) fn tick_write_queue(&mut self) {
        self.resend_failed_rereads();
        if !self.may_act() {
            return;
        }
        let now = self.now;
        let scan_interval_s = self.timing.planning_interval_s / SCANS_PER_PLANNING_INTERVAL;
        let conditions = self.write_conditions();
        let Role::Leader(leader) = &mut self.role else { return };
        if !leader.write_queue.begin_scan(now, scan_interval_s) {
            return;
        }
        let mut due = due_jobs(&mut leader.cluster.jobs, now, conditions.lazy_delay_s);
        if due.is_empty() {
            leader.shrink_oversized_job(&conditions);
            return;
        }
        let token = leader.fencing_token;
        let budget = leader.fleet.write_budget(conditions.rate);
        if !leader.write_queue.last_was_alone {
            let has_reserve = budget.available_at(now) >= conditions.urgent_reserve();
            let is_alone = |job: &DueJob| {
                let job_state = leader.cluster.jobs.get(&job.id);
                job_state.is_some_and(|state| state.persistence.write_alone)
            };
            move_to_front(&mut due, |job| (has_reserve || !job.is_lazy) && is_alone(job));
        }
        let mut builder = TransactionBuilder::new(&conditions, budget, &leader.dependencies.graph, token);
        for due_job in &due {
            let Some(job) = leader.cluster.jobs.get_mut(&due_job.id) else { continue };
            if builder.add(due_job, job).is_break() {
                break;
            }
        }
        let Some((mut txn, entries)) = builder.finish() else { return };
        let is_alone = |entry: &TransactionEntry| {
            let job = leader.cluster.jobs.get(&entry.job_id);
            job.is_some_and(|job| job.persistence.write_alone)
        };
        leader.write_queue.last_was_alone = entries.iter().all(is_alone);
        let serial = leader.write_queue.begin_transaction(entries, &txn);
        if !self.checks.version_checks {
            txn.compares.clear();
        }
        self.call_store(CallContext::Commit { token, serial }, StoreRequest::Commit(txn));
    }

    fn resend_failed_rereads(&mut self) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        for key in leader.write_queue.take_due_rereads(now) {
            self.call_store(CallContext::ReadBackRecord { token, key: key.clone() }, StoreRequest::Get(key));
        }
    }

    fn write_conditions(&self) -> WriteConditions {
        let leader = match &self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        };
        WriteConditions {
            now: self.now,
            max_mutations: self.store_limits.mutations(),
            rate: self.store_limits.write_rps() * LEADER_WRITE_SHARE,
            lazy_delay_s: self.settings.params.workers.heartbeat_interval_s / 2.0,
            current_value_bytes: self.store_limits.current_value_bytes(),
            may_change_layout: self.uses_current_format(),
            may_archive: leader.is_some_and(|leader| leader.archive.is_enabled()),
            wall_time_s: self.wall_time_s,
        }
    }
}

impl LeaderState {
    /// Marks one job for a new layout while no write is due: the most urgent one whose values were
    /// written by an earlier version and may exceed the announced limits.
    fn shrink_oversized_job(&mut self, conditions: &WriteConditions) {
        if !conditions.may_change_layout {
            return;
        }
        let budget = self.fleet.write_budget(conditions.rate);
        if budget.available_at(conditions.now) < conditions.urgent_reserve() {
            return;
        }
        let oversized =
            self.cluster.jobs.values_mut().filter(|job| {
                job.page_layout.exceeds_next_limit() && job.is_stored() && !job.has_fully_ended()
            });
        let by_urgency = |a: &&mut Job, b: &&mut Job| {
            let by_priority = priority_level(&a.spec).cmp(&priority_level(&b.spec));
            by_priority.then(b.ready_at.total_cmp(&a.ready_at))
        };
        if let Some(job) = oversized.max_by(by_urgency) {
            job.mark_main_dirty();
            job.page_layout.restrict_to_next_limits();
        }
    }
}
