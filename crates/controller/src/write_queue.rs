//! The leader's writes: one transaction in flight, each fenced by the leader
//! key's version and by the version of every record it replaces.

use crate::job::Job;
use crate::leader::Role;
use crate::records::*;
use crate::scheduling::band;
use crate::{CallContext, Controller, StoreReply, StoreRequest, Time};
use protocol::job::JobStatus;
use protocol::state::{Compare, Event, Item, Mutation, Transaction, TXN_LIMIT};
use std::collections::BTreeSet;
use tracing::{debug, warn};

/// What the leader is writing, and when it may go on.
pub struct WriteQueue {
    pub in_flight: Option<InFlightTransaction>,
    serial: u64,
    /// Records that are being read back: nothing is written before they are known.
    pub rereads: u32,
    reread_queue: Vec<String>,
    retry_at: Time,
    /// Next look for jobs to be written, and whether one is due at once.
    scan_at: Time,
    pub due_now: bool,
    /// The service took a transaction for invalid: each job by itself, to see whose it was.
    one_by_one: bool,
}

impl WriteQueue {
    pub fn new(now: Time) -> Self {
        WriteQueue {
            in_flight: None,
            serial: 0,
            rereads: 0,
            reread_queue: Vec::new(),
            retry_at: now,
            scan_at: now,
            due_now: false,
            one_by_one: false,
        }
    }

    /// Whether what is stored of job `id` may be changing just now.
    pub fn unsettled(&self, id: &str) -> bool {
        self.rereads > 0 || self.in_flight.as_ref().is_some_and(|c| c.touches(id))
    }
}

pub struct InFlightTransaction {
    pub serial: u64,
    pub parts: Vec<TransactionEntry>,
    /// What it puts where.
    puts: Vec<(String, Value)>,
}

/// One job's share of a transaction.
pub struct TransactionEntry {
    pub id: String,
    pub count: u64,
    pub pages: BTreeSet<usize>,
    /// They were all that had changed.
    pub whole: bool,
    /// It is over, and its record leaves those that run.
    pub moves: bool,
    /// The status with which it ends, if it does.
    pub ends: Option<JobStatus>,
    /// It tells that the job waits for nobody any more.
    pub freed: bool,
}

/// Part of the state service's rate of changes that the leader may take; the
/// rest is for submissions and cancellations.
pub const LEADER_WRITES: f64 = 0.7;

impl InFlightTransaction {
    pub fn touches(&self, id: &str) -> bool {
        self.parts.iter().any(|p| p.id == id)
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
        let mut revisions = self.puts.iter().map(|(key, value)| stored(key, value));
        let first = revisions.next()??;
        revisions.all(|r| r == Some(first)).then_some(first)
    }
}

fn puts(txn: &Transaction<Value>) -> Vec<(String, Value)> {
    let put = |c: &Mutation<Value>| match c {
        Mutation::Put { key, value, .. } => Some((key.clone(), value.clone())),
        Mutation::Delete { .. } => None,
    };
    txn.changes.iter().filter_map(put).collect()
}

impl Controller {
    pub(crate) fn commit_on_time(&mut self) {
        let now = self.now;
        if let Role::Leader(l) = &mut self.role {
            if now >= l.writes.retry_at && !l.writes.reread_queue.is_empty() {
                let token = l.token;
                for key in std::mem::take(&mut l.writes.reread_queue) {
                    self.state(CallContext::Reread { token, key: key.clone() }, StoreRequest::Get(key));
                }
            }
        }
        if !self.entitled() {
            return;
        }
        let most = self.limits.changes();
        let rate = self.limits.write_rps() * LEADER_WRITES;
        let present = self.limits.present_bytes();
        let newest = self.newest_forms();
        let lazy_s = self.settings.params.workers.report_s / 2.0;
        let scan_s = self.d.tick_s / 50.0;
        let Role::Leader(l) = &mut self.role else { return };
        if l.writes.in_flight.is_some() || l.writes.rereads > 0 || now < l.writes.retry_at {
            return;
        }
        if now < l.writes.scan_at && !l.writes.due_now {
            return;
        }
        l.writes.scan_at = now + scan_s;
        l.writes.due_now = false;
        // Placements and completed jobs go at once, the most urgent first;
        // mere ends and counts wait a little, so that many of a job share one
        // change, and leave half of the budget to what presses. (In the order
        // of ids, late jobs once starved under a backlog.)
        let mut due: Vec<(bool, u8, Time, String)> = Vec::new();
        for (id, job) in &mut l.jobs {
            if job.clean() {
                continue;
            }
            let since = *job.dirty_since.get_or_insert(now);
            if now < job.aside_until {
                continue;
            }
            // What nobody tells from its record may wait: a cancelled job's place in the
            // line follows from the first cancellation.
            let derived = job.is_final() && job.places.is_empty() && !job.complete();
            if job.pressing || job.is_final() && !derived {
                due.push((false, u8::MAX - band(&job.spec), job.since, id.clone()));
            } else if now >= since + lazy_s {
                due.push((true, 0, since, id.clone()));
            }
        }
        if due.is_empty() {
            // Nothing presses: what an earlier version left that does not fit the coming
            // limits is divided, the most urgent first and one at a time.
            if newest && l.fleet.write_budget(rate).left(now) >= rate / 2.0 {
                let wide = l.jobs.values_mut().filter(|j| j.layout.wide() && j.clean() && !j.over());
                if let Some(job) =
                    wide.max_by(|a, b| band(&a.spec).cmp(&band(&b.spec)).then(b.since.total_cmp(&a.since)))
                {
                    job.touch_main();
                    job.layout.narrow();
                }
            }
            return;
        }
        due.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3)));
        let (token, open) = (l.token, l.archive.open());
        let (graph, alone) = (&l.pipelines.graph, l.writes.one_by_one);
        let budget = l.fleet.write_budget(rate);
        let mut txn = Transaction {
            conditions: vec![Compare { key: LEADER_KEY.to_string(), version: token }],
            changes: Vec::new(),
        };
        let mut parts = Vec::new();
        let mut size = 0;
        for (lazy, _, _, id) in due {
            let Some(job) = l.jobs.get_mut(&id) else { continue };
            let ripe = job.dirty_since.is_some_and(|s| now >= s + lazy_s);
            let all = job.complete() || ripe && budget.left(now) >= rate / 2.0;
            let room = most - txn.changes.len();
            if room == 0 || lazy && budget.left(now) < rate / 2.0 || alone && !parts.is_empty() {
                break;
            }
            if !job.over() && !job.layout.changing() && job.needs_layout() {
                if newest {
                    debug!(job = %id, per_page = job.layout.per_page, "divided anew");
                    job.divide_anew();
                } else {
                    job.layout.widen(present);
                }
            }
            // Page 0 is part of the main record, which is always written. Others
            // go with it as far as the transaction and the rate have room: a
            // huge array's pages were once put into one that the service had to
            // refuse as too large, for ever, and everybody's writes with it.
            let allowed = (budget.left(now) as usize).min(room);
            // What ends leaves at once while there is room; else it is stored as
            // over where it is, which takes one change, and moves later. So does what a
            // live job's record names.
            let keys = job.other_keys().len();
            let leaves = open && job.over() && !graph.named(&id);
            if leaves && keys + 2 <= allowed && budget.left(now) >= rate / 2.0 {
                if !job.is_final() {
                    job.status = JobStatus::Done;
                }
                let (conditions, changes) = crate::archive::moved(job);
                budget.take(now, changes.len() as f64);
                size += 400 + 100 * keys;
                txn.conditions.extend(conditions);
                txn.changes.extend(changes);
                let pages = BTreeSet::from([0]);
                let ends = Some(job.status);
                parts.push(TransactionEntry {
                    id,
                    count: job.mutated,
                    pages,
                    whole: true,
                    moves: true,
                    ends,
                    freed: true,
                });
                continue;
            }
            let Some((pages, more)) = share_of(job, all, allowed, size) else { continue };
            if !budget.take(now, pages.len() as f64) {
                break;
            }
            size += more;
            let whole = job.covers(&pages);
            if job.complete() && !job.is_final() && whole && pages.contains(&0) {
                job.status = JobStatus::Done;
            }
            if pages.contains(&0) {
                txn.conditions.extend(job.mark_condition());
                if let Some(key) = job.mark.map(|_| mark_key(&id)) {
                    txn.changes.push(Mutation::Delete { key });
                }
            }
            for &page in &pages {
                let (key, value, version) = if page == 0 {
                    (job_key(&id), Value::Job(Box::new(job.record_to_write())), job.version)
                } else {
                    let layout = &job.layout;
                    let key = page_key(&id, page, layout.number);
                    (key, Value::Page(job.page_record(page)), layout.version(page))
                };
                txn.conditions.push(Compare { key: key.clone(), version });
                txn.changes.push(Mutation::Put { key, value, lease: None });
            }
            let ends = Some(job.status).filter(|s| s.is_final() && pages.contains(&0));
            let freed = job.freed_at.is_some() && pages.contains(&0);
            parts.push(TransactionEntry { id, count: job.mutated, pages, whole, moves: false, ends, freed });
        }
        if parts.is_empty() {
            return;
        }
        l.writes.serial += 1;
        let serial = l.writes.serial;
        l.writes.in_flight = Some(InFlightTransaction { serial, parts, puts: puts(&txn) });
        if !self.guards.versions {
            txn.conditions.clear();
        }
        self.state(CallContext::Commit { token, serial }, StoreRequest::Commit(txn));
    }

    pub(crate) fn on_commit(&mut self, token: u64, serial: u64, r: StoreReply) {
        let now = self.now;
        let retry = self.d.renew_s / 4.0;
        let Some(l) = self.lead(token) else { return };
        let Some(c) = l.writes.in_flight.take_if(|c| c.serial == serial) else { return };
        match r {
            StoreReply::Committed(revision) => {
                self.limits.served();
                self.applied(token, c.parts, revision);
            }
            StoreReply::Conflict(f) => {
                if f.failed.iter().any(|k| k == LEADER_KEY) {
                    return self.step_down("leader key is another's");
                }
                debug!(?f.failed, "records changed meanwhile");
                self.reread(token, f.failed);
            }
            StoreReply::Refused | StoreReply::Gone => l.writes.retry_at = now + retry,
            StoreReply::Limited => {
                l.writes.retry_at = now + retry;
                self.too_many_changes();
            }
            StoreReply::Invalid => self.refused_parts(token, c.parts),
            _ => {
                // It may have been applied, or may be later. The stored
                // versions tell; a late application fails on them.
                warn!(serial, "outcome of a write unknown, reading back");
                let keys = c
                    .parts
                    .iter()
                    .flat_map(|p| {
                        let layout = l.jobs.get(&p.id).map_or(0, |j| j.layout.number);
                        let key = move |&n: &usize| {
                            if n == 0 {
                                job_key(&p.id)
                            } else {
                                page_key(&p.id, n, layout)
                            }
                        };
                        p.pages.iter().map(key)
                    })
                    .collect();
                self.reread(token, keys);
            }
        }
        // Whatever became of the write; what is read back keeps its events waiting.
        self.replay_deferred();
    }

    /// The watch may show a transaction in flight before its answer does, which may be lost. (All
    /// writes once stood still until that was given up for lost.)
    pub(crate) fn see_own_write(&mut self, token: u64, events: &[Event<Value>]) {
        let Some(l) = self.lead(token) else { return };
        let Some(c) = l.writes.in_flight.take() else { return };
        match c.stored_at(events) {
            Some(revision) => {
                self.limits.served();
                self.applied(token, c.parts, revision);
                self.replay_deferred();
            }
            None => l.writes.in_flight = Some(c),
        }
    }

    /// A transaction with these parts was applied.
    fn applied(&mut self, token: u64, parts: Vec<TransactionEntry>, revision: u64) {
        if let Some(l) = self.lead(token) {
            for part in parts.iter().filter(|p| p.ends == Some(JobStatus::Done)) {
                l.learn_passed(&part.id);
            }
        }
        for part in parts.iter().filter(|p| p.moves) {
            self.has_moved(&part.id, revision);
        }
        let Some(l) = self.lead(token) else { return };
        l.writes.one_by_one = false;
        for part in &parts {
            if let Some(job) = l.jobs.get_mut(&part.id) {
                job.applied(part.count, &part.pages, part.whole, revision);
                l.archive.discard(job.layout.take_left(&part.id));
                l.recheck.extend(job.places.values().map(|p| p.machine.clone()));
            }
        }
        for part in &parts {
            if part.freed {
                self.stored_free(&part.id);
            }
            if let Some(status) = part.ends {
                self.is_over(&part.id, status);
            }
            self.settle_final(&part.id);
        }
    }

    /// The service took a transaction for invalid. Alone, a part shows whether it was
    /// its own: such a job's writes wait, never everybody's.
    fn refused_parts(&mut self, token: u64, parts: Vec<TransactionEntry>) {
        let (now, aside_s) = (self.now, self.settings.params.workers.lease_s);
        let present = self.limits.present_bytes();
        let Some(l) = self.lead(token) else { return };
        let larger =
            |p: &TransactionEntry| l.jobs.get(&p.id).is_some_and(|j| j.needs_layout() || j.layout.wide());
        let large = parts.iter().any(larger);
        if large {
            self.size_was_refused();
        }
        let Some(l) = self.lead(token) else { return };
        l.writes.one_by_one = true;
        l.writes.due_now = true;
        if let ([part], false) = (&parts[..], large) {
            warn!(job = %part.id, present, "the state service takes this job's record for invalid, set aside");
            if let Some(job) = l.jobs.get_mut(&part.id) {
                job.aside_until = now + aside_s;
            }
        }
    }

    fn reread(&mut self, token: u64, keys: Vec<String>) {
        if let Some(l) = self.lead(token) {
            l.writes.rereads += keys.len() as u32;
        }
        for key in keys {
            self.state(CallContext::Reread { token, key: key.clone() }, StoreRequest::Get(key));
        }
    }

    pub(crate) fn on_reread(&mut self, token: u64, key: &str, r: StoreReply) {
        let now = self.now;
        let retry = self.d.renew_s / 4.0;
        let unseen_until = self.unseen_until();
        let Some(l) = self.lead(token) else { return };
        match r {
            StoreReply::Item(Item { value, version, .. }) => {
                l.writes.rereads -= 1;
                let done = l.writes.rereads == 0;
                match value {
                    Value::Job(record) => {
                        if let Some(job) = l.jobs.get_mut(&record.spec.id) {
                            job.reconcile(&record, version);
                        }
                        l.plan_dirty = true;
                        let id = record.spec.id.clone();
                        self.is_over(&id, record.status);
                        self.settle_final(&id);
                    }
                    Value::Page(record) => {
                        if let Some((id, n, layout)) = page_of_key(key) {
                            let job = l.jobs.get_mut(id).filter(|j| j.layout.number == layout);
                            if let Some(job) = job {
                                job.reconcile_page(n, &record);
                                job.layout.stored_at(&BTreeSet::from([n]), version);
                            }
                        }
                    }
                    Value::Over(over) => {
                        if let Some(id) = key.strip_prefix(MARK_PREFIX) {
                            self.mark_seen(id, over.status, version);
                        }
                    }
                    // (It was once read back and written in turn, for ever, and nothing else.)
                    Value::Unread => drop(l.set_aside(key, unseen_until)),
                    _ => {}
                }
                if done {
                    self.replay_deferred();
                }
            }
            StoreReply::Missing(revision) => {
                // A page that was never written, its version is 0 still; or a
                // job that was over, and has moved. By whom is not known, nor as
                // what: a leader that was cut off once took its own move, which
                // had failed, for done, and called a cancelled job done.
                l.writes.rereads -= 1;
                let done = l.writes.rereads == 0;
                if let Some(id) = key.strip_prefix(JOB_PREFIX) {
                    l.archive.departed.note(id, revision);
                    if l.jobs.remove(id).is_some() {
                        self.moved_unseen(id);
                    }
                } else if let Some(job) = key.strip_prefix(MARK_PREFIX).and_then(|id| l.jobs.get_mut(id)) {
                    job.mark = None;
                }
                if done {
                    self.replay_deferred();
                }
            }
            _ => {
                // Nothing may be written before this is known: ask again, but
                // not at once, or an outage becomes a storm of reads.
                l.writes.retry_at = now + retry;
                l.writes.reread_queue.push(key.to_string());
            }
        }
    }
}

/// The pages of `job` that a transaction of `size` bytes so far takes, and what they add to
/// it; None: nothing of it fits, or is due. `all`: also what does not press.
fn share_of(job: &Job, all: bool, allowed: usize, size: usize) -> Option<(BTreeSet<usize>, usize)> {
    let fits = |more: usize| size == 0 && more == 0 || size + more <= TXN_LIMIT * 7 / 8;
    let changing = job.layout.changing();
    let due_pages = job.pages_due(all || changing);
    if due_pages.is_empty() && !job.is_dirty(0) {
        return None;
    }
    // Page 0 is part of the main record, which is always written. Others
    // go with it as far as the transaction and the rate have room: a
    // huge array's pages were once put into one that the service had to
    // refuse as too large, for ever, and everybody's writes with it. Of a new layout
    // the record comes last, once all others are stored or go with it.
    let marks = usize::from(job.mark.is_some());
    let first = job.page_size(0) + 200;
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
        let with = more + job.page_size(p) + 200;
        if pages.len() + marks >= allowed || !fits(with) {
            break;
        }
        pages.insert(p);
        more = with;
    }
    if changing && last && !job.covers(&pages) {
        // Not all went in: the record waits.
        pages.remove(&0);
    }
    (!pages.is_empty()).then_some((pages, more))
}
