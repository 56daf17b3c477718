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

use crate::client_api::cancellation_lineage::CancellationLineage;
use crate::client_api::client_requests::DependencyLookup;
use crate::model::records::*;
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
    Lineage,
}

pub(crate) struct StatusQuery {
    pub requester: Requester,
    pub id: String,
    pub asked_at: Time,
}

/// What a poll shows of a job, as of `version`.
pub(crate) struct CachedJob {
    version: u64,
    pub status: JobStatus,
    done: u32,
    running: u32,
    /// Jobs that it waits for, as far as its record tells.
    pub dependencies: Vec<String>,
    /// They are in parts beside its record, which have not been read.
    pub external_spec: Option<SpecChunks>,
    service: bool,
}

impl CachedJob {
    fn from_record(r: &JobRecord, version: u64) -> Self {
        CachedJob {
            version,
            status: r.status,
            done: r.done,
            running: r.running,
            dependencies: r.dependencies().to_vec(),
            external_spec: r
                .spec_chunks
                .clone()
                .filter(|_| r.ready_wall_s.is_none() && r.spec.class.is_empty()),
            service: r.spec.shape == Shape::Service,
        }
    }

    /// Whether it may be cancelled with another that it waits for.
    pub fn waits_for_dependencies(&self) -> bool {
        self.status == JobStatus::Pending && !(self.dependencies.is_empty() && self.external_spec.is_none())
    }
}

#[derive(Default)]
pub struct StatusQueries {
    /// Jobs that are not over, as of `revision` or later.
    pub(crate) cached_jobs: BTreeMap<String, CachedJob>,
    /// Questions that wait for what is known of the jobs before.
    pub(crate) lineage: CancellationLineage,
    /// None: the copy has no beginning yet, or fell behind.
    revision: Option<u64>,
    /// Counts the copy's beginnings.
    era: u64,
    fresh_at: Time,
    /// Questions that came since the read in flight was sent.
    queued: Vec<StatusQuery>,
    /// Questions that the read in flight answers.
    watch_read: Option<Vec<StatusQuery>>,
    /// Ids that the copy lacks, and those that are being compared.
    uncached: Vec<StatusQuery>,
    comparison: Option<Vec<StatusQuery>>,
    job_reads: BTreeMap<String, (Option<u64>, Vec<StatusQuery>)>,
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

    fn begin_era(&mut self, revision: u64, now: Time) {
        if self.revision.is_none() {
            self.era += 1;
            self.revision = Some(revision);
            self.fresh_at = now;
        }
    }

    /// Takes in the record of a job that is not over.
    fn update_cached(&mut self, id: &str, r: &JobRecord, version: u64) {
        let row = CachedJob::from_record(r, version);
        match self.cached_jobs.get_mut(id) {
            Some(old) if old.version > version || old.version == version && old.external_spec.is_none() => {}
            Some(old) => {
                // The same parts as before have been read.
                let known = row.external_spec.is_some()
                    && old.external_spec.is_none()
                    && !old.dependencies.is_empty();
                let awaits = std::mem::take(&mut old.dependencies);
                *old = row;
                if known {
                    (old.dependencies, old.external_spec) = (awaits, None);
                }
            }
            None => {
                self.cached_jobs.insert(id.to_string(), row);
                if self.cached_jobs.len() > MOST_ROWS {
                    self.cached_jobs.pop_first();
                }
            }
        }
    }

    /// Everything up to `to` has been noted by one that had seen `from`.
    pub(crate) fn extend_freshness(&mut self, from: u64, to: u64, now: Time) {
        if let Some(r) = &mut self.revision {
            if from <= *r && to > *r {
                *r = to;
                self.fresh_at = now;
            }
        }
    }

    /// A question that the copy cannot answer.
    pub(crate) fn enqueue(&mut self, query: StatusQuery) {
        self.uncached.push(query);
    }

    fn invalidate(&mut self) {
        self.cached_jobs.clear();
        self.revision = None;
    }
}

impl Controller {
    /// Answers from a read sent after now; `code` and `why` if nobody has
    /// submitted such a job.
    pub(crate) fn query_status(&mut self, request: RequestId, id: &str, code: u16, why: &str) {
        if let Some((status, done)) = self.terminal_states.get(id) {
            return self.respond_with_job(request, 200, id, status, Some((done, 0)));
        }
        if self.status_queries.waiting >= MOST_WAITING {
            return self.respond_error(request, 503, "busy");
        }
        self.status_queries.waiting += 1;
        let to = Requester::User { request, code, why: why.to_string() };
        self.status_queries.queued.push(StatusQuery {
            requester: to,
            id: id.to_string(),
            asked_at: self.now,
        });
    }

    /// Submission `submission` names job `id`.
    pub(crate) fn look_up_dependency(&mut self, submission: &str, id: &str) {
        if let Some((status, _)) = self.terminal_states.get(id) {
            return self.on_dependency_checked(
                submission,
                id,
                DependencyLookup::Known { status, service: false },
            );
        }
        let to = Requester::Submission(submission.to_string());
        self.status_queries.queued.push(StatusQuery {
            requester: to,
            id: id.to_string(),
            asked_at: self.now,
        });
    }

    pub(crate) fn fail_queries(&mut self, queries: Vec<StatusQuery>, why: &str) {
        for a in queries {
            match a.requester {
                Requester::User { request, .. } => {
                    self.status_queries.waiting -= 1;
                    self.respond_error(request, 503, why);
                }
                Requester::Submission(submission) => {
                    self.on_dependency_checked(&submission, &a.id, DependencyLookup::Unavailable)
                }
                Requester::Lineage => self.status_queries.lineage.on_lookup_done(&a.id),
            }
        }
    }

    /// There is no such job, by fresh knowledge.
    fn answer_unknown(&mut self, queries: Vec<StatusQuery>) {
        for a in queries {
            match a.requester {
                Requester::User { request, code, why } => {
                    self.status_queries.waiting -= 1;
                    self.respond_error(request, code, &why);
                }
                Requester::Submission(submission) => {
                    self.on_dependency_checked(&submission, &a.id, DependencyLookup::Missing)
                }
                Requester::Lineage => self.status_queries.lineage.on_lookup_done(&a.id),
            }
        }
    }

    /// Says how a job is.
    fn answer_query(&mut self, query: StatusQuery, status: JobStatus, counts: (u32, u32), service: bool) {
        match query.requester {
            Requester::User { request, .. } => {
                self.status_queries.waiting -= 1;
                self.respond_with_job(request, 200, &query.id, status, Some(counts));
            }
            Requester::Submission(submission) => {
                self.on_dependency_checked(
                    &submission,
                    &query.id,
                    DependencyLookup::Known { status, service },
                );
            }
            Requester::Lineage => self.status_queries.lineage.on_lookup_done(&query.id),
        }
    }

    /// Answers from the copy if the job is there, or has the jobs before it looked up first;
    /// else gives the question back. `clear`: jobs that are known by now not to be
    /// cancelled with any before them.
    pub(crate) fn try_answer(
        &mut self,
        query: StatusQuery,
        clear: &mut HashSet<String>,
    ) -> Option<StatusQuery> {
        if let Some((status, done)) = self.terminal_states.get(&query.id) {
            self.answer_query(query, status, (done, 0), false);
            return None;
        }
        let Some(row) = self.status_queries.cached_jobs.get(&query.id) else { return Some(query) };
        let (status, counts, service) = (row.status, (row.done, row.running), row.service);
        if row.external_spec.is_some() && row.waits_for_dependencies() {
            return Some(query);
        }
        // What only a later job's question asks is its own record, which is known now.
        if !row.waits_for_dependencies() || matches!(query.requester, Requester::Lineage) {
            self.answer_query(query, status, counts, service);
            return None;
        }
        if let Some((query, cancelled)) = self.check_lineage(query, clear) {
            let status = if cancelled { JobStatus::Cancelled } else { status };
            self.answer_query(query, status, counts, service);
        }
        None
    }

    /// Sends the shared reads. Half of the users' budget is theirs, evenly
    /// spaced; the other half is for reads of single jobs.
    pub(crate) fn tick_status_queries(&mut self) {
        let now = self.now;
        self.expire_parked_queries();
        let ttl = self.timing.leader_lease_s;
        let p = &mut self.status_queries;
        if p.revision.is_some() && now - p.fresh_at > 2.0 * ttl {
            // Too much to catch up with in one answer.
            p.invalidate();
        }
        if p.revision.is_none() && p.watch_read.is_none() {
            p.uncached.append(&mut p.queued);
        }
        let idle = !p.cached_jobs.is_empty() && now - p.fresh_at > ttl / 2.0;
        let look = p.watch_read.is_none() && p.revision.is_some() && (!p.queued.is_empty() || idle);
        let compare = p.comparison.is_none() && !p.uncached.is_empty();
        if now < p.next_read || !(look || compare) {
            return;
        }
        p.next_read = now + 2.0 / self.client_reads.rate();
        if !self.client_reads.try_acquire(now, 1.0) {
            let mut asks = std::mem::take(&mut self.status_queries.queued);
            asks.append(&mut self.status_queries.uncached);
            return self.fail_queries(asks, "busy");
        }
        let p = &mut self.status_queries;
        if compare {
            // In their order, as many ids as a transaction may compare, each with
            // both places where it may be.
            let most = (self.store_limits.compares() / 2).min(MOST_COMPARED);
            let rest = p.uncached.split_off(p.uncached.len().min(most));
            let asks = std::mem::replace(&mut p.uncached, rest);
            let mut keys: Vec<String> = asks.iter().flat_map(|a| [job_key(&a.id), over_key(&a.id)]).collect();
            keys.sort();
            keys.dedup();
            p.comparison = Some(asks);
            let conditions = keys.into_iter().map(|key| Compare { key, version: 0 }).collect();
            self.commit_hedged(
                CallContext::CacheComparison,
                Transaction { compares: conditions, mutations: Vec::new() },
            );
        } else if let Some(after) = p.revision {
            p.watch_read = Some(std::mem::take(&mut p.queued));
            self.call_store(
                CallContext::FreshnessRead,
                StoreRequest::Watch { prefix: JOBS_WATCHED.to_string(), after, wait_ms: 0 },
            );
        }
    }

    pub(crate) fn on_freshness_read(&mut self, reply: StoreReply) {
        let asks = self.status_queries.watch_read.take().unwrap_or_default();
        match reply {
            StoreReply::Events(e) => {
                self.record_events(&e);
                let p = &mut self.status_queries;
                p.revision = p.revision.max(Some(e.revision));
                p.fresh_at = self.now;
                let mut clear = HashSet::new();
                for a in asks {
                    if let Some(a) = self.try_answer(a, &mut clear) {
                        self.status_queries.uncached.push(a);
                    }
                }
            }
            StoreReply::Gone => {
                self.status_queries.invalidate();
                self.status_queries.uncached.extend(asks);
            }
            _ => {
                self.status_queries.next_read = self.now + self.timing.renewal_interval_s / 4.0;
                self.fail_queries(asks, "state service not reached");
            }
        }
        self.retry_parked_queries();
    }

    /// Notes what a watch showed, for later questions.
    pub(crate) fn record_events(&mut self, events: &Events<Value>) {
        for event in &events.events {
            let (key, record, version) = match event {
                Event::Put { key, value: Value::Job(record), version } => (key, record, version),
                Event::Put { key, value: Value::Terminal(o), .. } => {
                    let id = key.strip_prefix(OVER_PREFIX).or_else(|| key.strip_prefix(MARK_PREFIX));
                    if let Some(id) = id {
                        self.terminal_states.insert(id, o.status, o.done);
                        self.status_queries.cached_jobs.remove(id);
                    }
                    continue;
                }
                _ => continue,
            };
            let Some(id) = key.strip_prefix(JOB_PREFIX) else { continue };
            // What the copy has passed it has seen, or it began later.
            let newer = self.status_queries.revision.is_some_and(|r| *version > r);
            self.record_job_state(id, record, *version, newer);
        }
    }

    /// Notes a record read or written by a call that was sent in `era`. (Noted
    /// before the copy had begun, a job was once called pending from it that
    /// another node had cancelled by then.)
    pub(crate) fn record_job_read(&mut self, id: &str, record: &JobRecord, version: u64, era: Option<u64>) {
        self.record_job_state(id, record, version, era.is_some() && era == self.status_queries.era());
    }

    /// Notes what was stored of a job; `copied`: it belongs into the copy. What is known to be over
    /// never comes back into it. (A read that was answered after the end left the job there as
    /// running, which was told once the end in memory had made room for later ones.)
    fn record_job_state(&mut self, id: &str, record: &JobRecord, version: u64, copied: bool) {
        self.terminal_states.insert(id, record.status, record.done);
        if self.terminal_states.get(id).is_some() {
            self.status_queries.cached_jobs.remove(id);
        } else if copied {
            self.status_queries.update_cached(id, record, version);
        }
    }

    pub(crate) fn on_comparison(&mut self, reply: StoreReply) {
        let asks = self.status_queries.comparison.take().unwrap_or_default();
        let (there, revision) = match reply {
            StoreReply::Committed(revision) => (Vec::new(), revision),
            StoreReply::Conflict(c) if !c.failed.is_empty() => (c.failed, c.revision),
            _ => {
                self.status_queries.next_read = self.now + self.timing.renewal_interval_s / 4.0;
                return self.fail_queries(asks, "state service not reached");
            }
        };
        self.status_queries.begin_era(revision, self.now);
        if there.is_empty() {
            return self.answer_unknown(asks);
        }
        let mut known: BTreeMap<String, (bool, Vec<StatusQuery>)> = BTreeMap::new();
        for a in asks {
            let over = there.contains(&over_key(&a.id));
            if over || there.contains(&job_key(&a.id)) {
                known.entry(a.id.clone()).or_insert((over, Vec::new())).1.push(a);
            } else {
                // A conflict need not name every key: compared once more.
                self.status_queries.uncached.push(a);
            }
        }
        for (id, (over, asks)) in known {
            if self.status_queries.job_reads.contains_key(&id) {
                // That read was sent before these questions: they come again.
                self.status_queries.queued.extend(asks);
            } else {
                self.read_job_record(id, over, asks);
            }
        }
    }

    fn read_job_record(&mut self, id: String, over: bool, queries: Vec<StatusQuery>) {
        let quarter = self.client_reads.rate() / 4.0;
        if self.client_reads.available_at(self.now) < quarter.max(1.0)
            || !self.client_reads.try_acquire(self.now, 1.0)
        {
            return self.fail_queries(queries, "busy");
        }
        let era = self.status_queries.era();
        self.status_queries.job_reads.insert(id.clone(), (era, queries));
        let key = if over { over_key(&id) } else { job_key(&id) };
        self.call_store(CallContext::JobRead { id, over }, StoreRequest::Get(key));
    }

    pub(crate) fn on_job_read(&mut self, id: &str, over: bool, reply: StoreReply) {
        // Not among those that run: it has moved since, or never was. The other
        // place is read after this one, so a move cannot slip in between.
        if matches!(reply, StoreReply::Missing(_)) && !over {
            let purpose = CallContext::JobRead { id: id.to_string(), over: true };
            self.call_store(purpose, StoreRequest::Get(over_key(id)));
            return;
        }
        let (era, asks) = self.status_queries.job_reads.remove(id).unwrap_or_default();
        match reply {
            StoreReply::Item(Item { value: Value::Job(j), version, .. }) => {
                // The mark of a cancellation may lie beside a record of that size.
                if !j.status.is_final() && j.may_have_cancellation_mark(self.store_limits.value_bytes()) {
                    self.status_queries.job_reads.insert(id.to_string(), (era, asks));
                    let conditions = vec![
                        Compare { key: job_key(id), version },
                        Compare { key: mark_key(id), version: 0 },
                    ];
                    let purpose =
                        CallContext::CancellationMarkCompare { id: id.to_string(), record: j, version };
                    self.commit_hedged(purpose, Transaction { compares: conditions, mutations: Vec::new() });
                    return;
                }
                if CachedJob::from_record(&j, version).external_spec.is_some() && !j.status.is_final() {
                    self.status_queries.job_reads.insert(id.to_string(), (era, asks));
                    return self.read_spec_chunks(None, *j, version);
                }
                self.answer_from_record(id, &j, version, era, asks);
            }
            StoreReply::Item(Item { value: Value::Terminal(o), .. }) => {
                self.terminal_states.insert(id, o.status, o.done);
                for a in asks {
                    self.answer_query(a, o.status, (o.done, 0), false);
                }
            }
            StoreReply::Missing(_) => self.answer_unknown(asks),
            _ => self.fail_queries(asks, "state service not reached"),
        }
        self.retry_parked_queries();
    }

    /// A job's record with its parts.
    pub(crate) fn answer_from_joined_record(&mut self, record: &JobRecord, version: u64) {
        let id = record.spec.id.clone();
        let (era, asks) = self.status_queries.job_reads.remove(&id).unwrap_or_default();
        self.answer_from_record(&id, record, version, era, asks);
        self.retry_parked_queries();
    }

    /// A read of job `id` did not get through.
    pub(crate) fn on_job_read_failed(&mut self, id: &str) {
        let (_, asks) = self.status_queries.job_reads.remove(id).unwrap_or_default();
        self.fail_queries(asks, "state service not reached");
        self.retry_parked_queries();
    }

    /// Whether a job whose record is as large as that has been cancelled by a mark. Both are
    /// compared at once. (Where the mark was read by itself, the leader had written the end and
    /// removed the mark in between, and a cancelled job was called running.)
    pub(crate) fn on_cancellation_mark_compared(
        &mut self,
        id: &str,
        record: &JobRecord,
        version: u64,
        reply: StoreReply,
    ) {
        let (era, asks) = self.status_queries.job_reads.remove(id).unwrap_or_default();
        match reply {
            StoreReply::Committed(_) => self.answer_from_record(id, record, version, era, asks),
            StoreReply::Conflict(c) if c.failed.contains(&mark_key(id)) => {
                self.terminal_states.insert(id, JobStatus::Cancelled, 0);
                for a in asks {
                    self.answer_query(a, JobStatus::Cancelled, (0, 0), false);
                }
            }
            // The record has changed since it was read.
            StoreReply::Conflict(_) => self.status_queries.uncached.extend(asks),
            _ => self.fail_queries(asks, "state service not reached"),
        }
        self.retry_parked_queries();
    }

    /// Answers from a record that was read in `era`.
    fn answer_from_record(
        &mut self,
        id: &str,
        record: &JobRecord,
        version: u64,
        era: Option<u64>,
        queries: Vec<StatusQuery>,
    ) {
        self.record_job_read(id, record, version, era);
        let row = CachedJob::from_record(record, version);
        let mut clear = HashSet::new();
        for a in queries {
            if row.waits_for_dependencies() && !matches!(a.requester, Requester::Lineage) {
                // From the copy, where it is now, or with the next look.
                if let Some(a) = self.try_answer(a, &mut clear) {
                    self.status_queries.queued.push(a);
                }
            } else {
                self.answer_query(a, row.status, (row.done, row.running), row.service);
            }
        }
    }
}

/// Ids compared at once, whatever the service allows: a transaction's 64 KiB
/// hold that many of the longest.
const MOST_COMPARED: usize = 200;
