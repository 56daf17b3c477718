//! The leader's writes: one transaction in flight, each fenced by the leader
//! key's version and by the version of every record it replaces.

use crate::leader::state::Role;
use crate::model::job::Job;
use crate::model::records::*;
use crate::scheduling::planning::band;
use crate::{CallContext, Controller, StoreReply, StoreRequest, Time};
use protocol::job::JobStatus;
use protocol::state::{Compare, Event, Item, Mutation, Transaction, MAX_TRANSACTION_BYTES};
use std::collections::BTreeSet;
use tracing::{debug, warn};

/// What the leader is writing, and when it may go on.
pub struct WriteQueue {
    pub in_flight: Option<InFlightTransaction>,
    last_serial: u64,
    /// Records that are being read back: nothing is written before they are known.
    pub rereads_in_flight: u32,
    reread_queue: Vec<String>,
    retry_at: Time,
    /// Next look for jobs to be written, and whether one is due at once.
    scan_at: Time,
    pub write_now: bool,
    /// The service took a transaction for invalid: each job by itself, to see whose it was.
    isolate_jobs: bool,
}

impl WriteQueue {
    pub fn new(now: Time) -> Self {
        WriteQueue {
            in_flight: None,
            last_serial: 0,
            rereads_in_flight: 0,
            reread_queue: Vec::new(),
            retry_at: now,
            scan_at: now,
            write_now: false,
            isolate_jobs: false,
        }
    }

    /// Whether what is stored of job `id` may be changing just now.
    pub fn unsettled(&self, id: &str) -> bool {
        self.rereads_in_flight > 0 || self.in_flight.as_ref().is_some_and(|c| c.touches(id))
    }
}

pub struct InFlightTransaction {
    pub serial: u64,
    pub entries: Vec<TransactionEntry>,
    /// What it puts where.
    written_values: Vec<(String, Value)>,
}

/// One job's share of a transaction.
pub struct TransactionEntry {
    pub job_id: String,
    pub mutation_count: u64,
    pub pages: BTreeSet<usize>,
    /// They were all that had changed.
    pub covers_all: bool,
    /// It is over, and its record leaves those that run.
    pub archives: bool,
    /// The status with which it ends, if it does.
    pub final_status: Option<JobStatus>,
    /// It tells that the job waits for nobody any more.
    pub marks_ready: bool,
}

/// Part of the state service's rate of changes that the leader may take; the
/// rest is for submissions and cancellations.
pub const LEADER_WRITES: f64 = 0.7;

impl InFlightTransaction {
    pub fn touches(&self, id: &str) -> bool {
        self.entries.iter().any(|p| p.job_id == id)
    }

    /// The revision at which all that it puts was stored, if `events` show that. (They may show
    /// one job as it is in this transaction and as an earlier one, carried out late, left it.)
    fn stored_at(&self, events: &[Event<Value>]) -> Option<u64> {
        let stored = |key: &str, value: &Value| {
            events.iter().find_map(|e| match e {
                Event::Put { key: k, value: v, version } if k == key && v == value => Some(*version),
                _ => None,
            })
        };
        let mut revisions = self.written_values.iter().map(|(key, value)| stored(key, value));
        let first = revisions.next()??;
        revisions.all(|r| r == Some(first)).then_some(first)
    }
}

fn puts(txn: &Transaction<Value>) -> Vec<(String, Value)> {
    let put = |c: &Mutation<Value>| match c {
        Mutation::Put { key, value, .. } => Some((key.clone(), value.clone())),
        Mutation::Delete { .. } => None,
    };
    txn.mutations.iter().filter_map(put).collect()
}

impl Controller {
    pub(crate) fn tick_write_queue(&mut self) {
        let now = self.now;
        if let Role::Leader(leader) = &mut self.role {
            if now >= leader.write_queue.retry_at && !leader.write_queue.reread_queue.is_empty() {
                let token = leader.fencing_token;
                for key in std::mem::take(&mut leader.write_queue.reread_queue) {
                    self.call_store(
                        CallContext::ReadBackRecord { token, key: key.clone() },
                        StoreRequest::Get(key),
                    );
                }
            }
        }
        if !self.may_act() {
            return;
        }
        let most = self.store_limits.mutations();
        let rate = self.store_limits.write_rps() * LEADER_WRITES;
        let present = self.store_limits.current_value_bytes();
        let newest = self.uses_current_format();
        let lazy_s = self.settings.params.workers.heartbeat_interval_s / 2.0;
        let scan_s = self.timing.planning_interval_s / 50.0;
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.write_queue.in_flight.is_some()
            || leader.write_queue.rereads_in_flight > 0
            || now < leader.write_queue.retry_at
        {
            return;
        }
        if now < leader.write_queue.scan_at && !leader.write_queue.write_now {
            return;
        }
        leader.write_queue.scan_at = now + scan_s;
        leader.write_queue.write_now = false;
        // Placements and completed jobs go at once, the most urgent first;
        // mere ends and counts wait a little, so that many of a job share one
        // change, and leave half of the budget to what presses. (In the order
        // of ids, late jobs once starved under a backlog.)
        let mut due: Vec<(bool, u8, Time, String)> = Vec::new();
        for (id, job) in &mut leader.cluster.jobs {
            if job.is_stored() {
                continue;
            }
            let since = *job.dirty_since.get_or_insert(now);
            if now < job.write_suspended_until {
                continue;
            }
            // What nobody tells from its record may wait: a cancelled job's place in the
            // line follows from the first cancellation.
            let derived = job.is_final() && job.placements.is_empty() && !job.is_complete();
            if job.urgent_write || job.is_final() && !derived {
                due.push((false, u8::MAX - band(&job.spec), job.ready_at, id.clone()));
            } else if now >= since + lazy_s {
                due.push((true, 0, since, id.clone()));
            }
        }
        if due.is_empty() {
            // Nothing presses: what an earlier version left that does not fit the coming
            // limits is divided, the most urgent first and one at a time.
            if newest && leader.fleet.write_budget(rate).available_at(now) >= rate / 2.0 {
                let wide = leader
                    .cluster
                    .jobs
                    .values_mut()
                    .filter(|j| j.page_layout.exceeds_next_limit() && j.is_stored() && !j.is_over());
                if let Some(job) = wide
                    .max_by(|a, b| band(&a.spec).cmp(&band(&b.spec)).then(b.ready_at.total_cmp(&a.ready_at)))
                {
                    job.mark_main_dirty();
                    job.page_layout.shrink();
                }
            }
            return;
        }
        due.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3)));
        let (token, open) = (leader.fencing_token, leader.archive.is_enabled());
        let (graph, alone) = (&leader.dependencies.graph, leader.write_queue.isolate_jobs);
        let budget = leader.fleet.write_budget(rate);
        let mut txn = Transaction {
            compares: vec![Compare { key: LEADER_KEY.to_string(), version: token }],
            mutations: Vec::new(),
        };
        let mut parts = Vec::new();
        let mut size = 0;
        for (lazy, _, _, id) in due {
            let Some(job) = leader.cluster.jobs.get_mut(&id) else { continue };
            let ripe = job.dirty_since.is_some_and(|s| now >= s + lazy_s);
            let all = job.is_complete() || ripe && budget.available_at(now) >= rate / 2.0;
            let room = most - txn.mutations.len();
            if room == 0 || lazy && budget.available_at(now) < rate / 2.0 || alone && !parts.is_empty() {
                break;
            }
            if !job.is_over() && !job.page_layout.is_changing() && job.needs_repagination() {
                if newest {
                    debug!(job = %id, per_page = job.page_layout.per_page, "job repaginated");
                    job.repaginate();
                } else {
                    job.page_layout.grow(present);
                }
            }
            // Page 0 is part of the main record, which is always written. Others
            // go with it as far as the transaction and the rate have room: a
            // huge array's pages were once put into one that the service had to
            // refuse as too large, for ever, and everybody's writes with it.
            let allowed = (budget.available_at(now) as usize).min(room);
            // What ends leaves at once while there is room; else it is stored as
            // over where it is, which takes one change, and moves later. So does what a
            // live job's record names.
            let keys = job.keys_beside_record().len();
            let leaves = open && job.is_over() && !graph.has_dependents(&id);
            if leaves && keys + 2 <= allowed && budget.available_at(now) >= rate / 2.0 {
                if !job.is_final() {
                    job.status = JobStatus::Done;
                }
                let (conditions, changes) = crate::storage::archive::moved(job);
                budget.try_acquire(now, changes.len() as f64);
                size += 400 + 100 * keys;
                txn.compares.extend(conditions);
                txn.mutations.extend(changes);
                let pages = BTreeSet::from([0]);
                let ends = Some(job.status);
                parts.push(TransactionEntry {
                    job_id: id,
                    mutation_count: job.mutation_count,
                    pages,
                    covers_all: true,
                    archives: true,
                    final_status: ends,
                    marks_ready: true,
                });
                continue;
            }
            let Some((pages, more)) = share_of(job, all, allowed, size) else { continue };
            if !budget.try_acquire(now, pages.len() as f64) {
                break;
            }
            size += more;
            let whole = job.pages_cover_changes(&pages);
            if job.is_complete() && !job.is_final() && whole && pages.contains(&0) {
                job.status = JobStatus::Done;
            }
            if pages.contains(&0) {
                txn.compares.extend(job.mark_compare());
                if let Some(key) = job.mark_version.map(|_| mark_key(&id)) {
                    txn.mutations.push(Mutation::Delete { key });
                }
            }
            for &page in &pages {
                let (key, value, version) = if page == 0 {
                    (job_key(&id), Value::Job(Box::new(job.record_to_write())), job.version)
                } else {
                    let layout = &job.page_layout;
                    let key = page_key(&id, page, layout.number);
                    (key, Value::Page(job.page_record(page)), layout.version(page))
                };
                txn.compares.push(Compare { key: key.clone(), version });
                txn.mutations.push(Mutation::Put { key, value, lease: None });
            }
            let ends = Some(job.status).filter(|s| s.is_final() && pages.contains(&0));
            let freed = job.ready_wall_s.is_some() && pages.contains(&0);
            parts.push(TransactionEntry {
                job_id: id,
                mutation_count: job.mutation_count,
                pages,
                covers_all: whole,
                archives: false,
                final_status: ends,
                marks_ready: freed,
            });
        }
        if parts.is_empty() {
            return;
        }
        leader.write_queue.last_serial += 1;
        let serial = leader.write_queue.last_serial;
        leader.write_queue.in_flight =
            Some(InFlightTransaction { serial, entries: parts, written_values: puts(&txn) });
        if !self.checks.version_checks {
            txn.compares.clear();
        }
        self.call_store(CallContext::Commit { token, serial }, StoreRequest::Commit(txn));
    }

    pub(crate) fn on_committed(&mut self, token: u64, serial: u64, reply: StoreReply) {
        let now = self.now;
        let retry = self.timing.renewal_interval_s / 4.0;
        let Some(leader) = self.leader_state(token) else { return };
        let Some(c) = leader.write_queue.in_flight.take_if(|c| c.serial == serial) else { return };
        match reply {
            StoreReply::Committed(revision) => {
                self.store_limits.on_write_served();
                self.on_transaction_applied(token, c.entries, revision);
            }
            StoreReply::Conflict(f) => {
                if f.failed.iter().any(|k| k == LEADER_KEY) {
                    return self.step_down("leader key is held by another node");
                }
                debug!(?f.failed, "write conflict: records changed");
                self.read_back_keys(token, f.failed);
            }
            StoreReply::Refused | StoreReply::Gone => leader.write_queue.retry_at = now + retry,
            StoreReply::Limited => {
                leader.write_queue.retry_at = now + retry;
                self.on_rate_limited();
            }
            StoreReply::Invalid => self.on_transaction_invalid(token, c.entries),
            _ => {
                // It may have been applied, or may be later. The stored
                // versions tell; a late application fails on them.
                warn!(serial, "write outcome unknown, reading back");
                let keys = c
                    .entries
                    .iter()
                    .flat_map(|p| {
                        let layout = leader.cluster.jobs.get(&p.job_id).map_or(0, |j| j.page_layout.number);
                        let key = move |&n: &usize| {
                            if n == 0 {
                                job_key(&p.job_id)
                            } else {
                                page_key(&p.job_id, n, layout)
                            }
                        };
                        p.pages.iter().map(key)
                    })
                    .collect();
                self.read_back_keys(token, keys);
            }
        }
        // Whatever became of the write; what is read back keeps its events waiting.
        self.replay_deferred_records();
    }

    /// The watch may show a transaction in flight before its answer does, which may be lost. (All
    /// writes once stood still until that was given up for lost.)
    pub(crate) fn observe_own_write(&mut self, token: u64, events: &[Event<Value>]) {
        let Some(leader) = self.leader_state(token) else { return };
        let Some(c) = leader.write_queue.in_flight.take() else { return };
        match c.stored_at(events) {
            Some(revision) => {
                self.store_limits.on_write_served();
                self.on_transaction_applied(token, c.entries, revision);
                self.replay_deferred_records();
            }
            None => leader.write_queue.in_flight = Some(c),
        }
    }

    /// A transaction with these parts was applied.
    fn on_transaction_applied(&mut self, token: u64, parts: Vec<TransactionEntry>, revision: u64) {
        if let Some(leader) = self.leader_state(token) {
            for part in parts.iter().filter(|p| p.final_status == Some(JobStatus::Done)) {
                leader.learn_inherited_priority(&part.job_id);
            }
        }
        for part in parts.iter().filter(|p| p.archives) {
            self.on_job_archived(&part.job_id, revision);
        }
        let Some(leader) = self.leader_state(token) else { return };
        leader.write_queue.isolate_jobs = false;
        for part in &parts {
            if let Some(job) = leader.cluster.jobs.get_mut(&part.job_id) {
                job.on_stored(part.mutation_count, &part.pages, part.covers_all, revision);
                leader.archive.discard_keys(job.page_layout.take_obsolete_keys(&part.job_id));
                leader.heartbeats.to_check.extend(job.placements.values().map(|p| p.machine.clone()));
            }
        }
        for part in &parts {
            if part.marks_ready {
                self.on_ready_stored(&part.job_id);
            }
            if let Some(status) = part.final_status {
                self.record_outcome(&part.job_id, status);
            }
            self.settle_terminal(&part.job_id);
        }
    }

    /// The service took a transaction for invalid. Alone, a part shows whether it was
    /// its own: such a job's writes wait, never everybody's.
    fn on_transaction_invalid(&mut self, token: u64, parts: Vec<TransactionEntry>) {
        let (now, aside_s) = (self.now, self.settings.params.workers.lease_s);
        let present = self.store_limits.current_value_bytes();
        let Some(leader) = self.leader_state(token) else { return };
        let larger = |p: &TransactionEntry| {
            leader
                .cluster
                .jobs
                .get(&p.job_id)
                .is_some_and(|j| j.needs_repagination() || j.page_layout.exceeds_next_limit())
        };
        let large = parts.iter().any(larger);
        if large {
            self.on_size_refused();
        }
        let Some(leader) = self.leader_state(token) else { return };
        leader.write_queue.isolate_jobs = true;
        leader.write_queue.write_now = true;
        if let ([part], false) = (&parts[..], large) {
            warn!(job = %part.job_id, present, "state service refused the record of a job as invalid, its writes are suspended");
            if let Some(job) = leader.cluster.jobs.get_mut(&part.job_id) {
                job.write_suspended_until = now + aside_s;
            }
        }
    }

    fn read_back_keys(&mut self, token: u64, keys: Vec<String>) {
        if let Some(leader) = self.leader_state(token) {
            leader.write_queue.rereads_in_flight += keys.len() as u32;
        }
        for key in keys {
            self.call_store(CallContext::ReadBackRecord { token, key: key.clone() }, StoreRequest::Get(key));
        }
    }

    pub(crate) fn on_read_back_record(&mut self, token: u64, key: &str, reply: StoreReply) {
        let now = self.now;
        let retry = self.timing.renewal_interval_s / 4.0;
        let unseen_until = self.unreported_work_expiry();
        let Some(leader) = self.leader_state(token) else { return };
        match reply {
            StoreReply::Item(Item { value, version, .. }) => {
                leader.write_queue.rereads_in_flight -= 1;
                let done = leader.write_queue.rereads_in_flight == 0;
                match value {
                    Value::Job(record) => {
                        if let Some(job) = leader.cluster.jobs.get_mut(&record.spec.id) {
                            job.reconcile(&record, version);
                        }
                        leader.planning.needed = true;
                        let id = record.spec.id.clone();
                        self.record_outcome(&id, record.status);
                        self.settle_terminal(&id);
                    }
                    Value::Page(record) => {
                        if let Some((id, n, layout)) = page_of_key(key) {
                            let job =
                                leader.cluster.jobs.get_mut(id).filter(|j| j.page_layout.number == layout);
                            if let Some(job) = job {
                                job.reconcile_page(n, &record);
                                job.page_layout.record_stored(&BTreeSet::from([n]), version);
                            }
                        }
                    }
                    Value::Terminal(over) => {
                        if let Some(id) = key.strip_prefix(MARK_PREFIX) {
                            self.observe_cancellation_mark(id, over.status, version);
                        }
                    }
                    // (It was once read back and written in turn, for ever, and nothing else.)
                    Value::Undecodable => drop(leader.quarantine_undecodable(key, unseen_until)),
                    _ => {}
                }
                if done {
                    self.replay_deferred_records();
                }
            }
            StoreReply::Missing(revision) => {
                // A page that was never written, its version is 0 still; or a
                // job that was over, and has moved. By whom is not known, nor as
                // what: a leader that was cut off once took its own move, which
                // had failed, for done, and called a cancelled job done.
                leader.write_queue.rereads_in_flight -= 1;
                let done = leader.write_queue.rereads_in_flight == 0;
                if let Some(id) = key.strip_prefix(JOB_PREFIX) {
                    leader.archive.archived.record(id, revision);
                    if leader.cluster.jobs.remove(id).is_some() {
                        self.on_archived_unseen(id);
                    }
                } else if let Some(job) =
                    key.strip_prefix(MARK_PREFIX).and_then(|id| leader.cluster.jobs.get_mut(id))
                {
                    job.mark_version = None;
                }
                if done {
                    self.replay_deferred_records();
                }
            }
            _ => {
                // Nothing may be written before this is known: ask again, but
                // not at once, or an outage becomes a storm of reads.
                leader.write_queue.retry_at = now + retry;
                leader.write_queue.reread_queue.push(key.to_string());
            }
        }
    }
}

/// The pages of `job` that a transaction of `size` bytes so far takes, and what they add to
/// it; None: nothing of it fits, or is due. `all`: also what does not press.
fn share_of(job: &Job, all: bool, allowed: usize, size: usize) -> Option<(BTreeSet<usize>, usize)> {
    let fits = |more: usize| size == 0 && more == 0 || size + more <= MAX_TRANSACTION_BYTES * 7 / 8;
    let changing = job.page_layout.is_changing();
    let due_pages = job.pages_due(all || changing);
    if due_pages.is_empty() && !job.is_dirty(0) {
        return None;
    }
    // Page 0 is part of the main record, which is always written. Others
    // go with it as far as the transaction and the rate have room: a
    // huge array's pages were once put into one that the service had to
    // refuse as too large, for ever, and everybody's writes with it. Of a new layout
    // the record comes last, once all others are stored or go with it.
    let marks = usize::from(job.mark_version.is_some());
    let first = job.page_bytes(0) + 200;
    let last = !changing || due_pages.len() + 1 + marks <= allowed;
    let (mut pages, mut more) = (BTreeSet::new(), 0);
    if last {
        if size > 0 && !fits(first) || marks >= allowed {
            return None;
        }
        pages.insert(0);
        more = first;
    }
    for p in due_pages {
        let with = more + job.page_bytes(p) + 200;
        if pages.len() + marks >= allowed || !fits(with) {
            break;
        }
        pages.insert(p);
        more = with;
    }
    if changing && last && !job.pages_cover_changes(&pages) {
        // Not all went in: the record waits.
        pages.remove(&0);
    }
    (!pages.is_empty()).then_some((pages, more))
}
