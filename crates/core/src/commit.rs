//! The leader's writes: one transaction in flight, each fenced by the leader
//! key's version and by the version of every record it replaces.

use crate::leader::Role;
use crate::planning::band;
use crate::record::*;
use crate::{Core, Purpose, StateOp, StateReply, Time};
use std::collections::BTreeSet;
use tracing::{debug, warn};
use wire::job::JobStatus;
use wire::state::{Change, Condition, Item, Txn, TXN_LIMIT};

pub struct InFlight {
    pub serial: u64,
    pub parts: Vec<Part>,
}

/// One job's share of a transaction.
pub struct Part {
    pub id: String,
    pub count: u64,
    pub pages: BTreeSet<usize>,
    /// They were all that had changed.
    pub whole: bool,
    /// It is over, and its record leaves those that run.
    pub moves: bool,
}

/// Part of the state service's rate of changes that the leader may take; the
/// rest is for submissions and cancellations.
pub const LEADER_WRITES: f64 = 0.7;

impl InFlight {
    pub fn touches(&self, id: &str) -> bool {
        self.parts.iter().any(|p| p.id == id)
    }
}

impl Core {
    pub(crate) fn commit_on_time(&mut self) {
        let now = self.now;
        if let Role::Leader(l) = &mut self.role {
            if now >= l.commit_retry && !l.reread_queue.is_empty() {
                let token = l.token;
                for key in std::mem::take(&mut l.reread_queue) {
                    self.state(Purpose::Reread { token, key: key.clone() }, StateOp::Get(key));
                }
            }
        }
        if !self.entitled() {
            return;
        }
        let most = self.settings.params.state.txn_ops;
        let rate = self.settings.params.state.write_rps * LEADER_WRITES;
        let lazy_s = self.settings.params.workers.report_s / 2.0;
        let scan_s = self.d.tick_s / 50.0;
        let Role::Leader(l) = &mut self.role else { return };
        if l.commit.is_some() || l.rereads > 0 || now < l.commit_retry {
            return;
        }
        if now < l.commit_scan && !l.commit_now {
            return;
        }
        l.commit_scan = now + scan_s;
        l.commit_now = false;
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
            if job.pressing || job.is_final() {
                due.push((false, u8::MAX - band(&job.spec), job.submitted, id.clone()));
            } else if now >= since + lazy_s {
                due.push((true, 0, since, id.clone()));
            }
        }
        if due.is_empty() {
            return;
        }
        due.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)).then(a.3.cmp(&b.3)));
        let (token, open) = (l.token, l.archive.open());
        let budget = l.fleet.write_budget(rate);
        let mut txn = Txn {
            conditions: vec![Condition { key: LEADER_KEY.to_string(), version: token }],
            changes: Vec::new(),
        };
        let mut parts = Vec::new();
        let mut size = 0;
        for (lazy, _, _, id) in due {
            let Some(job) = l.jobs.get_mut(&id) else { continue };
            let ripe = job.dirty_since.is_some_and(|s| now >= s + lazy_s);
            let all = job.complete() || ripe && budget.left(now) >= rate / 2.0;
            let room = most - txn.changes.len();
            if room == 0 || lazy && budget.left(now) < rate / 2.0 {
                break;
            }
            // Page 0 is part of the main record, which is always written. Others
            // go with it as far as the transaction and the rate have room: a
            // huge array's pages were once put into one that the service had to
            // refuse as too large, for ever, and everybody's writes with it.
            let allowed = (budget.left(now) as usize).min(room);
            // What ends leaves at once while there is room; else it is stored as
            // over where it is, which takes one change, and moves later.
            let pages = job.page_versions.len();
            if open && job.over() && pages + 2 <= allowed && budget.left(now) >= rate / 2.0 {
                if !job.is_final() {
                    job.status = JobStatus::Done;
                }
                let (conditions, changes) = crate::archive::moved(job);
                budget.take(now, changes.len() as f64);
                size += 400 + 100 * pages;
                txn.conditions.extend(conditions);
                txn.changes.extend(changes);
                let pages = BTreeSet::from([0]);
                parts.push(Part { id, count: job.mutated, pages, whole: true, moves: true });
                continue;
            }
            let due_pages = job.pages_due(all);
            if due_pages.is_empty() && !job.dirty_pages.contains(&0) {
                continue;
            }
            let mut pages = BTreeSet::from([0]);
            let mut more = job.page_size(0) + 200;
            if size > 0 && size + more > TXN_LIMIT * 7 / 8 {
                continue;
            }
            for p in due_pages {
                let with = more + job.page_size(p) + 200;
                if pages.len() >= allowed || size + with > TXN_LIMIT * 7 / 8 {
                    break;
                }
                pages.insert(p);
                more = with;
            }
            if !budget.take(now, pages.len() as f64) {
                break;
            }
            size += more;
            let whole = job.dirty_pages.is_subset(&pages);
            if job.complete() && !job.is_final() && whole {
                job.status = JobStatus::Done;
            }
            for &page in &pages {
                let (key, value, version) = if page == 0 {
                    (job_key(&id), Value::Job(Box::new(job.record())), job.version)
                } else {
                    let version = job.page_versions.get(&page).copied().unwrap_or(0);
                    (page_key(&id, page), Value::Page(job.page_record(page)), version)
                };
                txn.conditions.push(Condition { key: key.clone(), version });
                txn.changes.push(Change::Put { key, value, lease: None });
            }
            parts.push(Part { id, count: job.mutated, pages, whole, moves: false });
        }
        if parts.is_empty() {
            return;
        }
        l.serial += 1;
        let serial = l.serial;
        l.commit = Some(InFlight { serial, parts });
        if !self.guards.versions {
            txn.conditions.clear();
        }
        self.state(Purpose::Commit { token, serial }, StateOp::Commit(txn));
    }

    pub(crate) fn on_commit(&mut self, token: u64, serial: u64, r: StateReply) {
        let now = self.now;
        let retry = self.d.renew_s / 4.0;
        let Some(l) = self.lead(token) else { return };
        let Some(c) = l.commit.take_if(|c| c.serial == serial) else { return };
        match r {
            StateReply::Committed(revision) => {
                for part in c.parts.iter().filter(|p| p.moves) {
                    self.has_moved(&part.id);
                }
                let Some(l) = self.lead(token) else { return };
                for part in &c.parts {
                    if let Some(job) = l.jobs.get_mut(&part.id) {
                        job.applied(part.count, &part.pages, part.whole, revision);
                        l.recheck.extend(job.places.values().map(|p| p.machine.clone()));
                    }
                }
                for part in &c.parts {
                    self.settle_final(&part.id);
                }
                self.replay_deferred();
            }
            StateReply::Conflict(f) => {
                if f.failed.iter().any(|k| k == LEADER_KEY) {
                    return self.step_down("leader key is another's");
                }
                debug!(?f.failed, "records changed meanwhile");
                self.reread(token, f.failed);
            }
            StateReply::Refused | StateReply::Gone => l.commit_retry = now + retry,
            _ => {
                // It may have been applied, or may be later. The stored
                // versions tell; a late application fails on them.
                warn!(serial, "outcome of a write unknown, reading back");
                let keys = c
                    .parts
                    .iter()
                    .flat_map(|p| {
                        p.pages.iter().map(|&n| if n == 0 { job_key(&p.id) } else { page_key(&p.id, n) })
                    })
                    .collect();
                self.reread(token, keys);
            }
        }
    }

    fn reread(&mut self, token: u64, keys: Vec<String>) {
        if let Some(l) = self.lead(token) {
            l.rereads += keys.len() as u32;
        }
        for key in keys {
            self.state(Purpose::Reread { token, key: key.clone() }, StateOp::Get(key));
        }
    }

    pub(crate) fn on_reread(&mut self, token: u64, key: &str, r: StateReply) {
        let now = self.now;
        let retry = self.d.renew_s / 4.0;
        let Some(l) = self.lead(token) else { return };
        match r {
            StateReply::Item(Item { value, version, .. }) => {
                l.rereads -= 1;
                let done = l.rereads == 0;
                match value {
                    Value::Job(record) => {
                        if let Some(job) = l.jobs.get_mut(&record.spec.id) {
                            job.reconcile(&record, version);
                        }
                        l.plan_dirty = true;
                        let id = record.spec.id.clone();
                        self.settle_final(&id);
                    }
                    Value::Page(record) => {
                        let rest = key.strip_prefix(PAGE_PREFIX).unwrap_or_default();
                        if let Some((id, n)) = rest.rsplit_once('/') {
                            if let (Some(job), Ok(n)) = (l.jobs.get_mut(id), n.parse()) {
                                job.reconcile_page(n, &record);
                                job.page_versions.insert(n, version);
                            }
                        }
                    }
                    _ => {}
                }
                if done {
                    self.replay_deferred();
                }
            }
            StateReply::Missing(_) => {
                // A page that was never written, its version is 0 still; or a
                // job that was over, and has moved. By whom is not known, nor as
                // what: a leader that was cut off once took its own move, which
                // had failed, for done, and called a cancelled job done.
                l.rereads -= 1;
                let done = l.rereads == 0;
                if let Some(id) = key.strip_prefix(JOB_PREFIX) {
                    l.jobs.remove(id);
                }
                if done {
                    self.replay_deferred();
                }
            }
            _ => {
                // Nothing may be written before this is known: ask again, but
                // not at once, or an outage becomes a storm of reads.
                l.commit_retry = now + retry;
                l.reread_queue.push(key.to_string());
            }
        }
    }
}
