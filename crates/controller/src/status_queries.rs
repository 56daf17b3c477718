//! "How is my job?": one read of the state service answers many.
//!
//! A node keeps a slim copy of the jobs that were asked for and extends it by
//! what changed since (a watch that does not wait). That read answers every
//! poll that came before it was sent, so no answer is older than its question:
//! nothing that any node has told anybody can be missing from it. Ids that the
//! copy lacks are compared in one transaction without writes; where none
//! exists, all of them get their 404 from that. Only jobs that do exist and
//! were not asked for here before cost a read each. (Every poll once cost a
//! read of its own, from the budget that everything else lives on.)

//!
//! A job that waits for others is cancelled as soon as one of them is, whatever its own
//! record says yet: what is told of it follows from the records of those before it, as
//! fresh as its own (`docs/pipelines.md`).

use crate::cancellation_lineage::CancellationLineage;
use crate::client_requests::DependencyLookup;
use crate::records::*;
use crate::{CallContext, Controller, RequestId, StoreReply, StoreRequest, Time};
use protocol::job::{JobStatus, Shape};
use protocol::state::{Compare, Event, Events, Item, Transaction};
use std::collections::{BTreeMap, HashSet};

/// Who asks after a job.
pub(crate) enum Requester {
    /// A user, and what to say if there is no such job.
    User { request: RequestId, code: u16, why: String },
    /// The submission of that job, which names it.
    Submission(String),
    /// A question after a job that comes after it.
    Kin,
}

pub(crate) struct StatusQuery {
    pub to: Requester,
    pub id: String,
    pub at: Time,
}

/// What a poll shows of a job, as of `version`.
pub(crate) struct CachedJob {
    version: u64,
    pub status: JobStatus,
    done: u32,
    running: u32,
    /// Jobs that it waits for, as far as its record tells.
    pub awaits: Vec<String>,
    /// They are in parts beside its record, which have not been read.
    pub apart: Option<SpecChunks>,
    service: bool,
}

impl CachedJob {
    fn of(r: &JobRecord, version: u64) -> Self {
        CachedJob {
            version,
            status: r.status,
            done: r.done,
            running: r.running,
            awaits: r.awaits().to_vec(),
            apart: r.parts.clone().filter(|_| r.freed_at.is_none() && r.spec.class.is_empty()),
            service: r.spec.shape == Shape::Service,
        }
    }

    /// Whether it may be cancelled with another that it waits for.
    pub fn waits(&self) -> bool {
        self.status == JobStatus::Pending && !(self.awaits.is_empty() && self.apart.is_none())
    }
}

#[derive(Default)]
pub struct StatusQueries {
    /// Jobs that are not over, as of `revision` or later.
    pub(crate) rows: BTreeMap<String, CachedJob>,
    /// Questions that wait for what is known of the jobs before.
    pub(crate) kin: CancellationLineage,
    /// None: the copy has no beginning yet, or fell behind.
    revision: Option<u64>,
    /// Counts the copy's beginnings.
    era: u64,
    fresh_at: Time,
    /// Questions that came since the read in flight was sent.
    asked: Vec<StatusQuery>,
    /// Questions that the read in flight answers.
    looking: Option<Vec<StatusQuery>>,
    /// Ids that the copy lacks, and those that are being compared.
    strangers: Vec<StatusQuery>,
    comparing: Option<Vec<StatusQuery>>,
    reads: BTreeMap<String, (Option<u64>, Vec<StatusQuery>)>,
    waiting: usize,
    next_read: Time,
}

/// Most questions that wait at a time, and most jobs in the copy.
const MOST_WAITING: usize = 4_000;
const MOST_ROWS: usize = 20_000;

impl StatusQueries {
    /// The copy as it is now, if it has begun: what is read or written from now
    /// on may be noted in it for as long as it has not begun anew, because
    /// every change made since will come to it, or has come.
    pub(crate) fn era(&self) -> Option<u64> {
        self.revision.map(|_| self.era)
    }

    fn begin(&mut self, revision: u64, now: Time) {
        if self.revision.is_none() {
            self.era += 1;
            self.revision = Some(revision);
            self.fresh_at = now;
        }
    }

    /// Takes in the record of a job that is not over.
    fn note(&mut self, id: &str, r: &JobRecord, version: u64) {
        let row = CachedJob::of(r, version);
        match self.rows.get_mut(id) {
            Some(old) if old.version > version || old.version == version && old.apart.is_none() => {}
            Some(old) => {
                // The same parts as before have been read.
                let known = row.apart.is_some() && old.apart.is_none() && !old.awaits.is_empty();
                let awaits = std::mem::take(&mut old.awaits);
                *old = row;
                if known {
                    (old.awaits, old.apart) = (awaits, None);
                }
            }
            None => {
                self.rows.insert(id.to_string(), row);
                if self.rows.len() > MOST_ROWS {
                    self.rows.pop_first();
                }
            }
        }
    }

    /// Everything up to `to` has been noted by one that had seen `from`.
    pub(crate) fn extend(&mut self, from: u64, to: u64, now: Time) {
        if let Some(r) = &mut self.revision {
            if from <= *r && to > *r {
                *r = to;
                self.fresh_at = now;
            }
        }
    }

    /// A question that the copy cannot answer.
    pub(crate) fn ask_for(&mut self, a: StatusQuery) {
        self.strangers.push(a);
    }

    fn forget(&mut self) {
        self.rows.clear();
        self.revision = None;
    }
}

impl Controller {
    /// Answers from a read sent after now; `code` and `why` if nobody has
    /// submitted such a job.
    pub(crate) fn inquire(&mut self, request: RequestId, id: &str, code: u16, why: &str) {
        if let Some((status, done)) = self.finals.get(id) {
            return self.view(request, 200, id, status, Some((done, 0)));
        }
        if self.polls.waiting >= MOST_WAITING {
            return self.refuse(request, 503, "busy");
        }
        self.polls.waiting += 1;
        let to = Requester::User { request, code, why: why.to_string() };
        self.polls.asked.push(StatusQuery { to, id: id.to_string(), at: self.now });
    }

    /// Submission `submission` names job `id`.
    pub(crate) fn look_up(&mut self, submission: &str, id: &str) {
        if let Some((status, _)) = self.finals.get(id) {
            return self.vetted(submission, id, DependencyLookup::Known { status, service: false });
        }
        let to = Requester::Submission(submission.to_string());
        self.polls.asked.push(StatusQuery { to, id: id.to_string(), at: self.now });
    }

    pub(crate) fn refuse_all(&mut self, asks: Vec<StatusQuery>, why: &str) {
        for a in asks {
            match a.to {
                Requester::User { request, .. } => {
                    self.polls.waiting -= 1;
                    self.refuse(request, 503, why);
                }
                Requester::Submission(submission) => self.vetted(&submission, &a.id, DependencyLookup::Later),
                Requester::Kin => self.polls.kin.answered(&a.id),
            }
        }
    }

    /// There is no such job, by fresh knowledge.
    fn deny_all(&mut self, asks: Vec<StatusQuery>) {
        for a in asks {
            match a.to {
                Requester::User { request, code, why } => {
                    self.polls.waiting -= 1;
                    self.refuse(request, code, &why);
                }
                Requester::Submission(submission) => {
                    self.vetted(&submission, &a.id, DependencyLookup::Missing)
                }
                Requester::Kin => self.polls.kin.answered(&a.id),
            }
        }
    }

    /// Says how a job is.
    fn say(&mut self, a: StatusQuery, status: JobStatus, counts: (u32, u32), service: bool) {
        match a.to {
            Requester::User { request, .. } => {
                self.polls.waiting -= 1;
                self.view(request, 200, &a.id, status, Some(counts));
            }
            Requester::Submission(submission) => {
                self.vetted(&submission, &a.id, DependencyLookup::Known { status, service });
            }
            Requester::Kin => self.polls.kin.answered(&a.id),
        }
    }

    /// Answers from the copy if the job is there, or has the jobs before it looked up first;
    /// else gives the question back. `clear`: jobs that are known by now not to be
    /// cancelled with any before them.
    pub(crate) fn tell(&mut self, a: StatusQuery, clear: &mut HashSet<String>) -> Option<StatusQuery> {
        if let Some((status, done)) = self.finals.get(&a.id) {
            self.say(a, status, (done, 0), false);
            return None;
        }
        let Some(row) = self.polls.rows.get(&a.id) else { return Some(a) };
        let (status, counts, service) = (row.status, (row.done, row.running), row.service);
        if row.apart.is_some() && row.waits() {
            return Some(a);
        }
        // What only a later job's question asks is its own record, which is known now.
        if !row.waits() || matches!(a.to, Requester::Kin) {
            self.say(a, status, counts, service);
            return None;
        }
        if let Some((a, cancelled)) = self.judge(a, clear) {
            let status = if cancelled { JobStatus::Cancelled } else { status };
            self.say(a, status, counts, service);
        }
        None
    }

    /// Sends the shared reads. Half of the users' budget is theirs, evenly
    /// spaced; the other half is for reads of single jobs.
    pub(crate) fn polls_on_time(&mut self) {
        let now = self.now;
        self.drop_late_kin();
        let ttl = self.d.leader_ttl_s;
        let p = &mut self.polls;
        if p.revision.is_some() && now - p.fresh_at > 2.0 * ttl {
            // Too much to catch up with in one answer.
            p.forget();
        }
        if p.revision.is_none() && p.looking.is_none() {
            p.strangers.append(&mut p.asked);
        }
        let idle = !p.rows.is_empty() && now - p.fresh_at > ttl / 2.0;
        let look = p.looking.is_none() && p.revision.is_some() && (!p.asked.is_empty() || idle);
        let compare = p.comparing.is_none() && !p.strangers.is_empty();
        if now < p.next_read || !(look || compare) {
            return;
        }
        p.next_read = now + 2.0 / self.reads.rate();
        if !self.reads.take(now, 1.0) {
            let mut asks = std::mem::take(&mut self.polls.asked);
            asks.append(&mut self.polls.strangers);
            return self.refuse_all(asks, "busy");
        }
        let p = &mut self.polls;
        if compare {
            // In their order, as many ids as a transaction may compare, each with
            // both places where it may be.
            let most = (self.limits.conditions() / 2).min(MOST_COMPARED);
            let rest = p.strangers.split_off(p.strangers.len().min(most));
            let asks = std::mem::replace(&mut p.strangers, rest);
            let mut keys: Vec<String> = asks.iter().flat_map(|a| [job_key(&a.id), over_key(&a.id)]).collect();
            keys.sort();
            keys.dedup();
            p.comparing = Some(asks);
            let conditions = keys.into_iter().map(|key| Compare { key, version: 0 }).collect();
            self.commit_hedged(CallContext::Compare, Transaction { conditions, changes: Vec::new() });
        } else if let Some(after) = p.revision {
            p.looking = Some(std::mem::take(&mut p.asked));
            self.state(
                CallContext::Look,
                StoreRequest::Watch { prefix: JOBS_WATCHED.to_string(), after, wait_ms: 0 },
            );
        }
    }

    pub(crate) fn on_look(&mut self, r: StoreReply) {
        let asks = self.polls.looking.take().unwrap_or_default();
        match r {
            StoreReply::Events(e) => {
                self.note_events(&e);
                let p = &mut self.polls;
                p.revision = p.revision.max(Some(e.revision));
                p.fresh_at = self.now;
                let mut clear = HashSet::new();
                for a in asks {
                    if let Some(a) = self.tell(a, &mut clear) {
                        self.polls.strangers.push(a);
                    }
                }
            }
            StoreReply::Gone => {
                self.polls.forget();
                self.polls.strangers.extend(asks);
            }
            _ => {
                self.polls.next_read = self.now + self.d.renew_s / 4.0;
                self.refuse_all(asks, "state service not reached");
            }
        }
        self.tell_kin();
    }

    /// Notes what a watch showed, for later questions.
    pub(crate) fn note_events(&mut self, e: &Events<Value>) {
        for event in &e.events {
            let (key, record, version) = match event {
                Event::Put { key, value: Value::Job(record), version } => (key, record, version),
                Event::Put { key, value: Value::Over(o), .. } => {
                    let id = key.strip_prefix(OVER_PREFIX).or_else(|| key.strip_prefix(MARK_PREFIX));
                    if let Some(id) = id {
                        self.finals.put(id, o.status, o.done);
                        self.polls.rows.remove(id);
                    }
                    continue;
                }
                _ => continue,
            };
            let Some(id) = key.strip_prefix(JOB_PREFIX) else { continue };
            // What the copy has passed it has seen, or it began later.
            let newer = self.polls.revision.is_some_and(|r| *version > r);
            self.note_state(id, record, *version, newer);
        }
    }

    /// Notes a record read or written by a call that was sent in `era`. (Noted
    /// before the copy had begun, a job was once called pending from it that
    /// another node had cancelled by then.)
    pub(crate) fn note_record(&mut self, id: &str, record: &JobRecord, version: u64, era: Option<u64>) {
        self.note_state(id, record, version, era.is_some() && era == self.polls.era());
    }

    /// Notes what was stored of a job; `copied`: it belongs into the copy. What is known to be over
    /// never comes back into it. (A read that was answered after the end left the job there as
    /// running, which was told once the end in memory had made room for later ones.)
    fn note_state(&mut self, id: &str, record: &JobRecord, version: u64, copied: bool) {
        self.finals.put(id, record.status, record.done);
        if self.finals.get(id).is_some() {
            self.polls.rows.remove(id);
        } else if copied {
            self.polls.note(id, record, version);
        }
    }

    pub(crate) fn on_compare(&mut self, r: StoreReply) {
        let asks = self.polls.comparing.take().unwrap_or_default();
        let (there, revision) = match r {
            StoreReply::Committed(revision) => (Vec::new(), revision),
            StoreReply::Conflict(c) if !c.failed.is_empty() => (c.failed, c.revision),
            _ => {
                self.polls.next_read = self.now + self.d.renew_s / 4.0;
                return self.refuse_all(asks, "state service not reached");
            }
        };
        self.polls.begin(revision, self.now);
        if there.is_empty() {
            return self.deny_all(asks);
        }
        let mut known: BTreeMap<String, (bool, Vec<StatusQuery>)> = BTreeMap::new();
        for a in asks {
            let over = there.contains(&over_key(&a.id));
            if over || there.contains(&job_key(&a.id)) {
                known.entry(a.id.clone()).or_insert((over, Vec::new())).1.push(a);
            } else {
                // A conflict need not name every key: compared once more.
                self.polls.strangers.push(a);
            }
        }
        for (id, (over, asks)) in known {
            if self.polls.reads.contains_key(&id) {
                // That read was sent before these questions: they come again.
                self.polls.asked.extend(asks);
            } else {
                self.read_job(id, over, asks);
            }
        }
    }

    fn read_job(&mut self, id: String, over: bool, asks: Vec<StatusQuery>) {
        let quarter = self.reads.rate() / 4.0;
        if self.reads.left(self.now) < quarter.max(1.0) || !self.reads.take(self.now, 1.0) {
            return self.refuse_all(asks, "busy");
        }
        let era = self.polls.era();
        self.polls.reads.insert(id.clone(), (era, asks));
        let key = if over { over_key(&id) } else { job_key(&id) };
        self.state(CallContext::Poll { id, over }, StoreRequest::Get(key));
    }

    pub(crate) fn on_poll_read(&mut self, id: &str, over: bool, r: StoreReply) {
        // Not among those that run: it has moved since, or never was. The other
        // place is read after this one, so a move cannot slip in between.
        if matches!(r, StoreReply::Missing(_)) && !over {
            let purpose = CallContext::Poll { id: id.to_string(), over: true };
            self.state(purpose, StoreRequest::Get(over_key(id)));
            return;
        }
        let (era, asks) = self.polls.reads.remove(id).unwrap_or_default();
        match r {
            StoreReply::Item(Item { value: Value::Job(j), version, .. }) => {
                // The mark of a cancellation may lie beside a record of that size.
                if !j.status.is_final() && j.may_be_marked(self.limits.value_bytes()) {
                    self.polls.reads.insert(id.to_string(), (era, asks));
                    let conditions = vec![
                        Compare { key: job_key(id), version },
                        Compare { key: mark_key(id), version: 0 },
                    ];
                    let purpose = CallContext::PollMark { id: id.to_string(), record: j, version };
                    self.commit_hedged(purpose, Transaction { conditions, changes: Vec::new() });
                    return;
                }
                if CachedJob::of(&j, version).apart.is_some() && !j.status.is_final() {
                    self.polls.reads.insert(id.to_string(), (era, asks));
                    return self.read_parts(None, *j, version);
                }
                self.tell_record(id, &j, version, era, asks);
            }
            StoreReply::Item(Item { value: Value::Over(o), .. }) => {
                self.finals.put(id, o.status, o.done);
                for a in asks {
                    self.say(a, o.status, (o.done, 0), false);
                }
            }
            StoreReply::Missing(_) => self.deny_all(asks),
            _ => self.refuse_all(asks, "state service not reached"),
        }
        self.tell_kin();
    }

    /// A job's record with its parts.
    pub(crate) fn tell_joined(&mut self, record: &JobRecord, version: u64) {
        let id = record.spec.id.clone();
        let (era, asks) = self.polls.reads.remove(&id).unwrap_or_default();
        self.tell_record(&id, record, version, era, asks);
        self.tell_kin();
    }

    /// A read of job `id` did not get through.
    pub(crate) fn refuse_read(&mut self, id: &str) {
        let (_, asks) = self.polls.reads.remove(id).unwrap_or_default();
        self.refuse_all(asks, "state service not reached");
        self.tell_kin();
    }

    /// Whether a job whose record is as large as that has been cancelled by a mark. Both are
    /// compared at once. (Where the mark was read by itself, the leader had written the end and
    /// removed the mark in between, and a cancelled job was called running.)
    pub(crate) fn on_poll_mark(&mut self, id: &str, record: &JobRecord, version: u64, r: StoreReply) {
        let (era, asks) = self.polls.reads.remove(id).unwrap_or_default();
        match r {
            StoreReply::Committed(_) => self.tell_record(id, record, version, era, asks),
            StoreReply::Conflict(c) if c.failed.contains(&mark_key(id)) => {
                self.finals.put(id, JobStatus::Cancelled, 0);
                for a in asks {
                    self.say(a, JobStatus::Cancelled, (0, 0), false);
                }
            }
            // The record has changed since it was read.
            StoreReply::Conflict(_) => self.polls.strangers.extend(asks),
            _ => self.refuse_all(asks, "state service not reached"),
        }
        self.tell_kin();
    }

    /// Answers from a record that was read in `era`.
    fn tell_record(
        &mut self,
        id: &str,
        j: &JobRecord,
        version: u64,
        era: Option<u64>,
        asks: Vec<StatusQuery>,
    ) {
        self.note_record(id, j, version, era);
        let row = CachedJob::of(j, version);
        let mut clear = HashSet::new();
        for a in asks {
            if row.waits() && !matches!(a.to, Requester::Kin) {
                // From the copy, where it is now, or with the next look.
                if let Some(a) = self.tell(a, &mut clear) {
                    self.polls.asked.push(a);
                }
            } else {
                self.say(a, row.status, (row.done, row.running), row.service);
            }
        }
    }
}

/// Ids compared at once, whatever the service allows: a transaction's 64 KiB
/// hold that many of the longest.
const MOST_COMPARED: usize = 200;
