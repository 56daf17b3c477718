//! What users ask for. Every node serves them from the state service.

use crate::model::records::*;
use crate::storage::spec_chunks::{new_job, nonce};
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
    no_chunks: Vec<(String, Value)>,
    /// Submissions whose awaited jobs are being looked up.
    dependency_checks: BTreeMap<String, DependencyCheck>,
    /// Ids just submitted through this node, so that a leader here need not
    /// wait for its watch.
    pub created: Vec<(String, JobRecord, u64)>,
}

/// A submission that names others.
struct DependencyCheck {
    waiting: Vec<RequestId>,
    spec: JobSpec,
    /// What it awaits, for the log.
    logged_names: String,
    /// Awaited jobs of which nothing is known yet.
    unresolved: BTreeSet<String>,
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
    Unavailable,
}

struct PendingCreate {
    waiting: Vec<RequestId>,
    record: JobRecord,
    /// As it is stored, where its specification goes in parts, and parts that are not
    /// stored yet, the last first.
    stored_record: Option<JobRecord>,
    pending_chunks: Vec<(String, Value)>,
    cache_era: Option<u64>,
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
    pub fn pending_chunks(&mut self, id: &str) -> &mut Vec<(String, Value)> {
        match self.creates.get_mut(id) {
            Some(c) => &mut c.pending_chunks,
            None => &mut self.no_chunks,
        }
    }
}

/// The zones that have a machine type which a task of `spec` may run on.
fn zones_for<'a>(spec: &JobSpec, types: &'a [MachineType]) -> BTreeSet<&'a str> {
    let needs = Resources::new(spec.cores, spec.accelerators, spec.memory_gb);
    let fits = |t: &&MachineType| {
        spec.machine_types.as_ref().is_none_or(|l| l.contains(&t.name))
            && Resources::new(t.cores, t.accelerators, t.memory_gb).fits(&needs)
    };
    let zones = types.iter().filter(fits).flat_map(|t| &t.zones).map(String::as_str);
    zones.filter(|z| spec.zone.as_ref().is_none_or(|own| own == z)).collect()
}

impl Controller {
    pub(crate) fn respond_with_job(
        &mut self,
        id: RequestId,
        code: u16,
        job: &str,
        status: JobStatus,
        counts: Option<(u32, u32)>,
    ) {
        let view =
            JobView { id: job.to_string(), status, done: counts.map(|c| c.0), running: counts.map(|c| c.1) };
        self.respond(id, code, protocol::encode(&view));
    }

    pub(crate) fn on_submit(&mut self, request_id: RequestId, body: &[u8]) {
        let parsed: Result<JobSpec, String> = if body.len() > protocol::MAX_BODY_BYTES {
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
                    Some(id) => self.query_status(request_id, &id, 400, &why),
                    None => self.respond_error(request_id, 400, &why),
                }
                return;
            }
        };
        if let Some((status, done)) = self.terminal_states.get(&spec.id) {
            self.respond_with_job(request_id, 200, &spec.id.clone(), status, Some((done, 0)));
            return;
        }
        match self.validate_feasibility(&spec) {
            None => self.respond_error(request_id, 503, "machine types not known yet"),
            Some(Err(why)) => self.query_status(request_id, &spec.id.clone(), 422, why),
            Some(Ok(())) if spec.dependencies.is_empty() => {
                self.create_job(request_id, spec, JobStatus::Pending)
            }
            Some(Ok(())) => self.check_dependencies(request_id, spec),
        }
    }

    /// Looks up the jobs that a submission names: all have to be accepted, and none may
    /// be a service, which is never done. What is done already need not be waited for, and
    /// with one that is cancelled the job is withdrawn from the start.
    fn check_dependencies(&mut self, request_id: RequestId, spec: JobSpec) {
        let id = spec.id.clone();
        // Nobody asks for this before every node has this version.
        if self.formats.confirm() {
            info!("job with dependencies submitted: every node runs this version");
        }
        if spec.dependencies.contains(&id) {
            return self.query_status(request_id, &id, 422, "a job cannot await itself");
        }
        if let Some(v) = self.client_requests.dependency_checks.get_mut(&id) {
            return v.waiting.push(request_id);
        }
        let open: usize = self.client_requests.dependency_checks.values().map(|v| v.unresolved.len()).sum();
        if open + spec.dependencies.len() > MOST_VETTED {
            return self.respond_error(request_id, 503, "busy");
        }
        let left: BTreeSet<String> = spec.dependencies.iter().cloned().collect();
        let awaited: Vec<String> = left.iter().cloned().collect();
        let names = awaited.iter().take(MOST_NAMED).cloned().collect::<Vec<_>>().join(",");
        self.client_requests.dependency_checks.insert(
            id.clone(),
            DependencyCheck {
                waiting: vec![request_id],
                spec,
                logged_names: names,
                unresolved: left,
                cancelled: false,
            },
        );
        for a in awaited {
            self.look_up_dependency(&id, &a);
        }
    }

    /// The answer on one of the jobs that submission `id` names.
    pub(crate) fn on_dependency_checked(&mut self, id: &str, awaited: &str, found: DependencyLookup) {
        let Some(v) = self.client_requests.dependency_checks.get_mut(id) else { return };
        if !v.unresolved.remove(awaited) {
            return;
        }
        let refusal = match found {
            DependencyLookup::Known { service: true, .. } => {
                Some((422, "it awaits a service, which is never done"))
            }
            DependencyLookup::Known { status, .. } => {
                v.cancelled |= status == JobStatus::Cancelled;
                if status == JobStatus::Done {
                    v.spec.dependencies.retain(|a| a != awaited);
                }
                None
            }
            DependencyLookup::Missing => Some((422, "it awaits a job that was never accepted")),
            DependencyLookup::Unavailable => Some((503, "awaited jobs cannot be looked up now")),
        };
        let over = refusal.is_some() || v.unresolved.is_empty();
        let Some(v) = over.then(|| self.client_requests.dependency_checks.remove(id)).flatten() else {
            return;
        };
        let status = if v.cancelled { JobStatus::Cancelled } else { JobStatus::Pending };
        if refusal.is_none() {
            info!(job = %id, awaits = %v.logged_names, "job has dependencies");
        }
        for req in v.waiting {
            match refusal {
                // A known job's repeated submission gets its state, whatever it names now.
                Some((422, why)) => self.query_status(req, id, 422, why),
                Some((code, why)) => self.respond_error(req, code, why),
                None => self.create_job(req, v.spec.clone(), status),
            }
        }
    }

    /// None while it cannot be said, else why the job can never run.
    fn validate_feasibility(&self, spec: &JobSpec) -> Option<Result<(), &'static str>> {
        let types = self.machine_types.as_ref()?;
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

    fn create_job(&mut self, request_id: RequestId, spec: JobSpec, status: JobStatus) {
        let id = spec.id.clone();
        if let Some(c) = self.client_requests.creates.get_mut(&id) {
            c.waiting.push(request_id);
            return;
        }
        if self.client_requests.creates.len() > MOST_WAITING || !self.client_writes.try_acquire(self.now, 1.0)
        {
            return self.respond_error(request_id, 503, "busy");
        }
        let fit = self.store_limits.value_bytes();
        let mut record = JobRecord { status, ..JobRecord::new(spec, self.time_of_day, fit) };
        let (mut stub, mut parts) = (None, Vec::new());
        let large = json_size(&record) + RECORD_BYTES / 2 > fit;
        // (A node that was back at once stored such a job whole, which the coming limits never let
        // the leader write again: it never ran.)
        if large && !self.uses_current_format() && !self.formats.gate.was_answered() {
            return self.respond_error(request_id, 503, "not known yet whether all nodes read parts");
        }
        if large && self.uses_current_format() {
            let nonce = nonce(self.time_of_day, self.rng.gen());
            let (slim, pieces) = record.clone().split_spec(nonce, fit);
            (record.per_page, record.spec_chunks) = (slim.per_page, slim.spec_chunks.clone());
            (stub, parts) = (Some(slim), pieces);
            parts.reverse();
        }
        let era = self.status_queries.era();
        self.client_requests.creates.insert(
            id.clone(),
            PendingCreate {
                waiting: vec![request_id],
                record,
                stored_record: stub,
                pending_chunks: parts,
                cache_era: era,
            },
        );
        self.store_next_chunks(&id);
    }

    /// Stores the record of a submission, all parts of which are stored.
    pub(crate) fn store_job_record(&mut self, id: &str) {
        let Some(c) = self.client_requests.creates.get(id) else { return };
        let value = Value::Job(Box::new(c.stored_record.as_ref().unwrap_or(&c.record).clone()));
        let txn = Transaction {
            compares: new_job(id),
            mutations: vec![Mutation::Put { key: job_key(id), value, lease: None }],
        };
        self.commit_hedged(CallContext::Create { id: id.to_string() }, txn);
    }

    pub(crate) fn on_job_created(&mut self, id: &str, reply: StoreReply) {
        let Some(c) = self.client_requests.creates.remove(id) else { return };
        match &reply {
            StoreReply::Committed(_) => self.store_limits.on_write_served(),
            StoreReply::Limited => self.on_rate_limited(),
            StoreReply::Invalid if json_size(&c.record) > self.store_limits.value_bytes() => {
                self.on_size_refused()
            }
            _ => {}
        }
        let rate = self.store_limits.write_rps();
        let nodes = f64::from(self.settings.params.nodes.max(1));
        match &reply {
            StoreReply::Committed(_) | StoreReply::Conflict(_) => {
                self.client_writes.recover(rate * MOST_WRITES)
            }
            StoreReply::Refused | StoreReply::Limited => {
                self.client_writes
                    .halve(self.now, rate * (1.0 - crate::storage::write_queue::LEADER_WRITES) / nodes);
            }
            _ => {}
        }
        match reply {
            StoreReply::Committed(revision) => {
                let s = &c.record.spec;
                let awaits = s.dependencies.len();
                info!(job = %id, class = %s.class, team = %s.team, tasks = s.tasks, awaits, "job submitted");
                self.record_job_read(id, &c.record, revision, c.cache_era);
                let status = c.record.status;
                self.client_requests.created.push((id.to_string(), c.record, revision));
                // Repetitions came later than the change was sent: the job may
                // have been cancelled elsewhere in between.
                let mut waiting = c.waiting.into_iter();
                if let Some(first) = waiting.next() {
                    self.respond_with_job(first, 201, id, status, None);
                }
                for req in waiting {
                    self.query_status(req, id, 503, "busy");
                }
            }
            StoreReply::Conflict(_) => {
                for req in c.waiting {
                    self.query_status(req, id, 503, "busy");
                }
            }
            _ => {
                for req in c.waiting {
                    self.respond_error(req, 503, "state service not reached");
                }
            }
        }
    }

    pub(crate) fn on_status_query(&mut self, request_id: RequestId, id: &str) {
        if !valid_id(id) {
            return self.respond_error(request_id, 404, "no such job");
        }
        // Polls are shed first. Never all of them: somebody who asks on is told.
        let shed = self.sharding.event_loop_lag.shed_probability(POLL_PATIENCE_S);
        if shed > 0.0 && self.rng.gen_bool(shed) {
            return self.respond_error(request_id, 503, "too late for polls");
        }
        self.query_status(request_id, id, 404, "no such job");
    }

    pub(crate) fn on_cancel(&mut self, request_id: RequestId, id: &str) {
        if !valid_id(id) {
            return self.respond_error(request_id, 404, "no such job");
        }
        if let Some((status, _)) = self.terminal_states.get(id) {
            return self.respond_with_job(request_id, 200, id, status, None);
        }
        if let Some(w) = self.client_requests.cancels.get_mut(id) {
            w.0.push(request_id);
            return;
        }
        if self.client_requests.cancels.len() > MOST_WAITING || !self.client_reads.try_acquire(self.now, 1.0)
        {
            return self.respond_error(request_id, 503, "busy");
        }
        self.client_requests.cancels.insert(id.to_string(), (vec![request_id], 0));
        self.read_for_cancellation(id, 0);
    }

    fn read_for_cancellation(&mut self, id: &str, tries: u32) {
        if let Some(w) = self.client_requests.cancels.get_mut(id) {
            w.1 = w.0.len();
        }
        self.call_store(
            CallContext::CancelRead { id: id.to_string(), tries, over: false },
            StoreRequest::Get(job_key(id)),
        );
    }

    fn finish_cancellation(&mut self, id: &str, outcome: Result<JobStatus, (u16, &str)>) {
        for req in self.client_requests.cancels.remove(id).unwrap_or_default().0 {
            match outcome {
                Ok(status) => self.respond_with_job(req, 200, id, status, None),
                Err((code, why)) => self.respond_error(req, code, why),
            }
        }
    }

    pub(crate) fn on_cancel_read(&mut self, id: &str, tries: u32, over: bool, reply: StoreReply) {
        match reply {
            StoreReply::Item(Item { value: Value::Terminal(o), .. }) => {
                self.terminal_states.insert(id, o.status, o.done);
                self.finish_cancellation(id, Ok(o.status));
            }
            StoreReply::Item(Item { value: Value::Job(j), version, .. }) => {
                if j.status.is_final() {
                    self.terminal_states.insert(id, j.status, j.done);
                    return self.finish_cancellation(id, Ok(j.status));
                }
                let txn = self.cancellation_transaction(*j, version);
                self.client_writes.try_acquire(self.now, 1.0);
                self.commit_hedged(CallContext::CancelWrite { id: id.to_string(), tries }, txn);
            }
            // It may have been over, and moved, before that read.
            StoreReply::Missing(_) if !over => {
                let purpose = CallContext::CancelRead { id: id.to_string(), tries, over: true };
                self.call_store(purpose, StoreRequest::Get(over_key(id)));
            }
            StoreReply::Missing(_) => {
                // Those that came after that read was sent need one of their
                // own: the job may have been accepted in between.
                let later =
                    self.client_requests.cancels.get_mut(id).map(|w| w.0.split_off(w.1)).unwrap_or_default();
                self.finish_cancellation(id, Err((404, "no such job")));
                if !later.is_empty() {
                    self.client_requests.cancels.insert(id.to_string(), (later, 0));
                    self.read_for_cancellation(id, tries);
                }
            }
            _ => self.finish_cancellation(id, Err((503, "state service not reached"))),
        }
    }

    /// The change that cancels a job which is stored as `record`. One that is too large to be
    /// written again gets a mark beside it, which the leader's next write of it has to
    /// know of.
    fn cancellation_transaction(&self, record: JobRecord, version: u64) -> Transaction<Value> {
        let id = record.spec.id.clone();
        let mut conditions = vec![Compare { key: job_key(&id), version }];
        let cancelled = JobRecord { status: JobStatus::Cancelled, ..record };
        let room = self.store_limits.value_bytes();
        let put = if json_size(&cancelled) <= room {
            (job_key(&id), Value::Job(Box::new(cancelled)))
        } else {
            let cancelled = cancelled.trimmed();
            if self.uses_current_format() && json_size(&cancelled) > room {
                let over = TerminalRecord {
                    status: JobStatus::Cancelled,
                    done: 0,
                    submitted_wall_s: cancelled.submitted_wall_s,
                };
                conditions.push(Compare { key: mark_key(&id), version: 0 });
                (mark_key(&id), Value::Terminal(over))
            } else {
                (job_key(&id), Value::Job(Box::new(cancelled)))
            }
        };
        let changes = vec![Mutation::Put { key: put.0, value: put.1, lease: None }];
        Transaction { compares: conditions, mutations: changes }
    }

    pub(crate) fn on_cancel_write(&mut self, id: &str, tries: u32, reply: StoreReply) {
        match reply {
            StoreReply::Committed(_) => {
                self.terminal_states.insert(id, JobStatus::Cancelled, 0);
                self.finish_cancellation(id, Ok(JobStatus::Cancelled));
                self.on_local_cancellation(id);
            }
            // Somebody's mark is there already.
            StoreReply::Conflict(c) if c.failed.contains(&mark_key(id)) => {
                self.terminal_states.insert(id, JobStatus::Cancelled, 0);
                self.finish_cancellation(id, Ok(JobStatus::Cancelled));
            }
            // The leader wrote in between: read again.
            StoreReply::Conflict(_) if tries < CANCEL_TRIES => {
                self.read_for_cancellation(id, tries + 1);
            }
            // Its record is larger than the service takes now: once more, with a mark.
            StoreReply::Invalid if tries < CANCEL_TRIES => {
                self.on_size_refused();
                self.read_for_cancellation(id, tries + 1);
            }
            _ => self.finish_cancellation(id, Err((503, "state service not reached"))),
        }
    }

    pub(crate) fn tick_client_requests(&mut self) {
        if !self.is_leader() {
            self.client_requests.created.clear();
        }
    }
}
