//! What users ask for. Every node serves them from the state service.

use crate::records::*;
use crate::spec_chunks::{new_job, nonce};
use crate::{CallContext, Controller, RequestId, StoreReply, StoreRequest};
use planner::Resources;
use protocol::cloud::MachineType;
use protocol::job::{valid_id, JobSpec, JobStatus, JobView, Shape};
use protocol::state::{Compare, Item, Mutation, Transaction};
use rand::Rng;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

#[derive(Default)]
pub struct ClientRequests {
    creates: BTreeMap<String, PendingCreate>,
    /// Cancellations, and how many of each came before its read was sent.
    cancels: BTreeMap<String, (Vec<RequestId>, usize)>,
    /// No parts.
    none: Vec<(String, Value)>,
    /// Submissions whose awaited jobs are being looked up.
    vets: BTreeMap<String, DependencyCheck>,
    /// Ids just submitted through this node, so that a leader here need not
    /// wait for its watch.
    pub created: Vec<(String, JobRecord, u64)>,
}

/// A submission that names others.
struct DependencyCheck {
    waiting: Vec<RequestId>,
    spec: JobSpec,
    /// What it awaits, for the log.
    names: String,
    /// Awaited jobs of which nothing is known yet.
    left: BTreeSet<String>,
    /// One of them is cancelled, and so is this one.
    cancelled: bool,
}

/// What is stored of an awaited job.
pub(crate) enum DependencyLookup {
    Known {
        status: JobStatus,
        service: bool,
    },
    /// It was never accepted.
    Missing,
    /// It cannot be told now.
    Later,
}

struct PendingCreate {
    waiting: Vec<RequestId>,
    record: JobRecord,
    /// As it is stored, where its specification goes in parts, and parts that are not
    /// stored yet, the last first.
    stub: Option<JobRecord>,
    parts: Vec<(String, Value)>,
    era: Option<u64>,
}

/// Most awaited jobs that are looked up at a time: what a request's 64 KiB can name.
const MOST_VETTED: usize = 8_000;
/// Awaited jobs that the log names.
const MOST_NAMED: usize = 16;
/// Most requests of one kind that wait at a time.
const MOST_WAITING: usize = 2_000;
/// Users wait that long for the answer to a poll (fixed by the protocol).
const POLL_PATIENCE_S: f64 = 2.0;
const CANCEL_TRIES: u32 = 8;

/// Part of the state service's rate of changes that submissions through one
/// node may take while it serves them. When it refuses, each node goes down as
/// far as its share of what the leader leaves, and comes back as it is served.
/// (That share alone once turned away nine in ten of a swarm's submissions at a
/// service that was half idle.)
pub const MOST_WRITES: f64 = 0.5;

#[derive(Deserialize)]
struct JobIdOnly {
    #[serde(default)]
    id: Option<String>,
}

impl ClientRequests {
    /// Parts of submission `id` that are not stored yet, the last first.
    pub fn parts_of(&mut self, id: &str) -> &mut Vec<(String, Value)> {
        match self.creates.get_mut(id) {
            Some(c) => &mut c.parts,
            None => &mut self.none,
        }
    }
}

/// The zones that have a machine type which a task of `spec` may run on.
fn zones_for<'a>(spec: &JobSpec, types: &'a [MachineType]) -> BTreeSet<&'a str> {
    let needs = Resources::new(spec.cores, spec.accelerators, spec.memory_gb);
    let fits = |t: &&MachineType| {
        spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
            && Resources::new(t.cores, t.accelerators, t.memory_gb).holds(&needs)
    };
    let zones = types.iter().filter(fits).flat_map(|t| &t.zones).map(String::as_str);
    zones.filter(|z| spec.zone.as_ref().is_none_or(|own| own == z)).collect()
}

impl Controller {
    pub(crate) fn view(
        &mut self,
        id: RequestId,
        code: u16,
        job: &str,
        status: JobStatus,
        counts: Option<(u32, u32)>,
    ) {
        let view =
            JobView { id: job.to_string(), status, done: counts.map(|c| c.0), running: counts.map(|c| c.1) };
        self.answer(id, code, protocol::encode(&view));
    }

    pub(crate) fn on_submit(&mut self, req: RequestId, body: &[u8]) {
        let parsed: Result<JobSpec, String> = if body.len() > protocol::BODY_LIMIT {
            Err("body over 64 KiB".to_string())
        } else {
            protocol::decode::<JobSpec>(body).and_then(|s| s.check().map(|()| s)).map_err(|e| e.to_string())
        };
        let spec = match parsed {
            Ok(spec) => spec,
            Err(why) => {
                // A known job's repeated submission must never get 400, so
                // the id is looked up if there is one.
                let named = protocol::first_map::<JobIdOnly>(body).ok().and_then(|(o, _)| o.id);
                let id = named.filter(|id| valid_id(id));
                match id {
                    Some(id) => self.inquire(req, &id, 400, &why),
                    None => self.refuse(req, 400, &why),
                }
                return;
            }
        };
        if let Some((status, done)) = self.finals.get(&spec.id) {
            self.view(req, 200, &spec.id.clone(), status, Some((done, 0)));
            return;
        }
        match self.can_run(&spec) {
            None => self.refuse(req, 503, "machine types not known yet"),
            Some(Err(why)) => self.inquire(req, &spec.id.clone(), 422, why),
            Some(Ok(())) if spec.awaits.is_empty() => self.create(req, spec, JobStatus::Pending),
            Some(Ok(())) => self.vet(req, spec),
        }
    }

    /// Looks up the jobs that a submission names: all have to be accepted, and none may
    /// be a service, which is never done. What is done already need not be waited for, and
    /// with one that is cancelled the job is withdrawn from the start.
    fn vet(&mut self, req: RequestId, spec: JobSpec) {
        let id = spec.id.clone();
        // Nobody asks for this before every node has this version.
        if self.versions.is_evident() {
            info!("a job that awaits others was submitted: every node has this version");
        }
        if spec.awaits.contains(&id) {
            return self.inquire(req, &id, 422, "a job cannot await itself");
        }
        if let Some(v) = self.users.vets.get_mut(&id) {
            return v.waiting.push(req);
        }
        let open: usize = self.users.vets.values().map(|v| v.left.len()).sum();
        if open + spec.awaits.len() > MOST_VETTED {
            return self.refuse(req, 503, "busy");
        }
        let left: BTreeSet<String> = spec.awaits.iter().cloned().collect();
        let awaited: Vec<String> = left.iter().cloned().collect();
        let names = awaited.iter().take(MOST_NAMED).cloned().collect::<Vec<_>>().join(",");
        self.users
            .vets
            .insert(id.clone(), DependencyCheck { waiting: vec![req], spec, names, left, cancelled: false });
        for a in awaited {
            self.look_up(&id, &a);
        }
    }

    /// The answer on one of the jobs that submission `id` names.
    pub(crate) fn vetted(&mut self, id: &str, awaited: &str, found: DependencyLookup) {
        let Some(v) = self.users.vets.get_mut(id) else { return };
        if !v.left.remove(awaited) {
            return;
        }
        let refusal = match found {
            DependencyLookup::Known { service: true, .. } => {
                Some((422, "it awaits a service, which is never done"))
            }
            DependencyLookup::Known { status, .. } => {
                v.cancelled |= status == JobStatus::Cancelled;
                if status == JobStatus::Done {
                    v.spec.awaits.retain(|a| a != awaited);
                }
                None
            }
            DependencyLookup::Missing => Some((422, "it awaits a job that was never accepted")),
            DependencyLookup::Later => Some((503, "awaited jobs cannot be looked up now")),
        };
        let over = refusal.is_some() || v.left.is_empty();
        let Some(v) = over.then(|| self.users.vets.remove(id)).flatten() else { return };
        let status = if v.cancelled { JobStatus::Cancelled } else { JobStatus::Pending };
        if refusal.is_none() {
            info!(job = %id, awaits = %v.names, "job awaits others");
        }
        for req in v.waiting {
            match refusal {
                // A known job's repeated submission gets its state, whatever it names now.
                Some((422, why)) => self.inquire(req, id, 422, why),
                Some((code, why)) => self.refuse(req, code, why),
                None => self.create(req, v.spec.clone(), status),
            }
        }
    }

    /// None while it cannot be said, else why the job can never run.
    fn can_run(&self, spec: &JobSpec) -> Option<Result<(), &'static str>> {
        let types = self.types.as_ref()?;
        let Some(team) = self.settings.params.teams.iter().find(|t| t.name == spec.team) else {
            return Some(Err("unknown team"));
        };
        let zones = zones_for(spec, types);
        if zones.is_empty() {
            return Some(Err("a task fits no allowed machine type"));
        }
        // All of a gang's tasks run at the same time, at most half of them in a zone.
        let apart = spec.shape == Shape::Gang && spec.spread && spec.tasks > 1;
        if apart && (spec.one_zone || zones.len() < 2) {
            return Some(Err("a gang that is to be spread is bound to one zone"));
        }
        let at_once = if spec.shape == Shape::Array { 1.0 } else { f64::from(spec.tasks) };
        let over = |need: f64, most: f64| most > 0.0 && need * at_once > most + 1e-6;
        if over(spec.cores, team.cores_max) || over(spec.accelerators, team.accelerators_max) {
            return Some(Err("more than the team's limit"));
        }
        Some(Ok(()))
    }

    fn create(&mut self, req: RequestId, spec: JobSpec, status: JobStatus) {
        let id = spec.id.clone();
        if let Some(c) = self.users.creates.get_mut(&id) {
            c.waiting.push(req);
            return;
        }
        if self.users.creates.len() > MOST_WAITING || !self.writes.take(self.now, 1.0) {
            return self.refuse(req, 503, "busy");
        }
        let fit = self.limits.value_bytes();
        let mut record = JobRecord { status, ..JobRecord::new(spec, self.wall, fit) };
        let (mut stub, mut parts) = (None, Vec::new());
        let large = json_size(&record) + RECORD_BYTES / 2 > fit;
        // (A node that was back at once stored such a job whole, which the coming limits never let
        // the leader write again: it never ran.)
        if large && !self.newest_forms() && !self.versions.gate.seen() {
            return self.refuse(req, 503, "not known yet whether all nodes read parts");
        }
        if large && self.newest_forms() {
            let nonce = nonce(self.wall, self.rng.gen());
            let (slim, pieces) = record.clone().split(nonce, fit);
            (record.per_page, record.parts) = (slim.per_page, slim.parts.clone());
            (stub, parts) = (Some(slim), pieces);
            parts.reverse();
        }
        let era = self.polls.era();
        self.users.creates.insert(id.clone(), PendingCreate { waiting: vec![req], record, stub, parts, era });
        self.create_parts(&id);
    }

    /// Stores the record of a submission, all parts of which are stored.
    pub(crate) fn create_record(&mut self, id: &str) {
        let Some(c) = self.users.creates.get(id) else { return };
        let value = Value::Job(Box::new(c.stub.as_ref().unwrap_or(&c.record).clone()));
        let txn = Transaction {
            conditions: new_job(id),
            changes: vec![Mutation::Put { key: job_key(id), value, lease: None }],
        };
        self.commit_hedged(CallContext::Create { id: id.to_string() }, txn);
    }

    pub(crate) fn on_create(&mut self, id: &str, r: StoreReply) {
        let Some(c) = self.users.creates.remove(id) else { return };
        match &r {
            StoreReply::Committed(_) => self.limits.served(),
            StoreReply::Limited => self.too_many_changes(),
            StoreReply::Invalid if json_size(&c.record) > self.limits.value_bytes() => {
                self.size_was_refused()
            }
            _ => {}
        }
        let rate = self.limits.write_rps();
        let nodes = f64::from(self.settings.params.nodes.max(1));
        match &r {
            StoreReply::Committed(_) | StoreReply::Conflict(_) => self.writes.speed_up(rate * MOST_WRITES),
            StoreReply::Refused | StoreReply::Limited => {
                self.writes.slow_down(self.now, rate * (1.0 - crate::write_queue::LEADER_WRITES) / nodes);
            }
            _ => {}
        }
        match r {
            StoreReply::Committed(revision) => {
                let s = &c.record.spec;
                let awaits = s.awaits.len();
                info!(job = %id, class = %s.class, team = %s.team, tasks = s.tasks, awaits, "job accepted");
                self.note_record(id, &c.record, revision, c.era);
                let status = c.record.status;
                self.users.created.push((id.to_string(), c.record, revision));
                // Repetitions came later than the change was sent: the job may
                // have been cancelled elsewhere in between.
                let mut waiting = c.waiting.into_iter();
                if let Some(first) = waiting.next() {
                    self.view(first, 201, id, status, None);
                }
                for req in waiting {
                    self.inquire(req, id, 503, "busy");
                }
            }
            StoreReply::Conflict(_) => {
                for req in c.waiting {
                    self.inquire(req, id, 503, "busy");
                }
            }
            _ => {
                for req in c.waiting {
                    self.refuse(req, 503, "state service not reached");
                }
            }
        }
    }

    pub(crate) fn on_poll(&mut self, req: RequestId, id: &str) {
        if !valid_id(id) {
            return self.refuse(req, 404, "no such job");
        }
        // Polls are shed first. Never all of them: somebody who asks on is told.
        let shed = self.lateness.shed(POLL_PATIENCE_S);
        if shed > 0.0 && self.rng.gen_bool(shed) {
            return self.refuse(req, 503, "too late for polls");
        }
        self.inquire(req, id, 404, "no such job");
    }

    pub(crate) fn on_cancel(&mut self, req: RequestId, id: &str) {
        if !valid_id(id) {
            return self.refuse(req, 404, "no such job");
        }
        if let Some((status, _)) = self.finals.get(id) {
            return self.view(req, 200, id, status, None);
        }
        if let Some(w) = self.users.cancels.get_mut(id) {
            w.0.push(req);
            return;
        }
        if self.users.cancels.len() > MOST_WAITING || !self.reads.take(self.now, 1.0) {
            return self.refuse(req, 503, "busy");
        }
        self.users.cancels.insert(id.to_string(), (vec![req], 0));
        self.read_cancelled(id, 0);
    }

    fn read_cancelled(&mut self, id: &str, tries: u32) {
        if let Some(w) = self.users.cancels.get_mut(id) {
            w.1 = w.0.len();
        }
        self.state(
            CallContext::CancelRead { id: id.to_string(), tries, over: false },
            StoreRequest::Get(job_key(id)),
        );
    }

    fn end_cancel(&mut self, id: &str, outcome: Result<JobStatus, (u16, &str)>) {
        for req in self.users.cancels.remove(id).unwrap_or_default().0 {
            match outcome {
                Ok(status) => self.view(req, 200, id, status, None),
                Err((code, why)) => self.refuse(req, code, why),
            }
        }
    }

    pub(crate) fn on_cancel_read(&mut self, id: &str, tries: u32, over: bool, r: StoreReply) {
        match r {
            StoreReply::Item(Item { value: Value::Over(o), .. }) => {
                self.finals.put(id, o.status, o.done);
                self.end_cancel(id, Ok(o.status));
            }
            StoreReply::Item(Item { value: Value::Job(j), version, .. }) => {
                if j.status.is_final() {
                    self.finals.put(id, j.status, j.done);
                    return self.end_cancel(id, Ok(j.status));
                }
                let txn = self.cancellation(*j, version);
                self.writes.take(self.now, 1.0);
                self.commit_hedged(CallContext::CancelWrite { id: id.to_string(), tries }, txn);
            }
            // It may have been over, and moved, before that read.
            StoreReply::Missing(_) if !over => {
                let purpose = CallContext::CancelRead { id: id.to_string(), tries, over: true };
                self.state(purpose, StoreRequest::Get(over_key(id)));
            }
            StoreReply::Missing(_) => {
                // Those that came after that read was sent need one of their
                // own: the job may have been accepted in between.
                let later = self.users.cancels.get_mut(id).map(|w| w.0.split_off(w.1)).unwrap_or_default();
                self.end_cancel(id, Err((404, "no such job")));
                if !later.is_empty() {
                    self.users.cancels.insert(id.to_string(), (later, 0));
                    self.read_cancelled(id, tries);
                }
            }
            _ => self.end_cancel(id, Err((503, "state service not reached"))),
        }
    }

    /// The change that cancels a job which is stored as `record`. One that is too large to be
    /// written again gets a mark beside it, which the leader's next write of it has to
    /// know of.
    fn cancellation(&self, record: JobRecord, version: u64) -> Transaction<Value> {
        let id = record.spec.id.clone();
        let mut conditions = vec![Compare { key: job_key(&id), version }];
        let cancelled = JobRecord { status: JobStatus::Cancelled, ..record };
        let room = self.limits.value_bytes();
        let put = if json_size(&cancelled) <= room {
            (job_key(&id), Value::Job(Box::new(cancelled)))
        } else {
            let cancelled = cancelled.trimmed();
            if self.newest_forms() && json_size(&cancelled) > room {
                let over = TerminalRecord { status: JobStatus::Cancelled, done: 0, at: cancelled.at };
                conditions.push(Compare { key: mark_key(&id), version: 0 });
                (mark_key(&id), Value::Over(over))
            } else {
                (job_key(&id), Value::Job(Box::new(cancelled)))
            }
        };
        let changes = vec![Mutation::Put { key: put.0, value: put.1, lease: None }];
        Transaction { conditions, changes }
    }

    pub(crate) fn on_cancel_write(&mut self, id: &str, tries: u32, r: StoreReply) {
        match r {
            StoreReply::Committed(_) => {
                self.finals.put(id, JobStatus::Cancelled, 0);
                self.end_cancel(id, Ok(JobStatus::Cancelled));
                self.cancelled_here(id);
            }
            // Somebody's mark is there already.
            StoreReply::Conflict(c) if c.failed.contains(&mark_key(id)) => {
                self.finals.put(id, JobStatus::Cancelled, 0);
                self.end_cancel(id, Ok(JobStatus::Cancelled));
            }
            // The leader wrote in between: read again.
            StoreReply::Conflict(_) if tries < CANCEL_TRIES => {
                self.read_cancelled(id, tries + 1);
            }
            // Its record is larger than the service takes now: once more, with a mark.
            StoreReply::Invalid if tries < CANCEL_TRIES => {
                self.size_was_refused();
                self.read_cancelled(id, tries + 1);
            }
            _ => self.end_cancel(id, Err((503, "state service not reached"))),
        }
    }

    pub(crate) fn users_on_time(&mut self) {
        if !self.is_leader() {
            self.users.created.clear();
        }
    }
}
