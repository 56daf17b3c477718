//! What users ask for. Every node serves them from the state service.

use crate::record::*;
use crate::{Core, Purpose, RequestId, StateOp, StateReply};
use plan::Amounts;
use rand::Rng;
use serde::Deserialize;
use std::collections::BTreeMap;
use tracing::info;
use wire::job::{valid_id, JobSpec, JobStatus, JobView, Shape};
use wire::state::{Change, Condition, Item, Txn};

#[derive(Default)]
pub struct Users {
    creates: BTreeMap<String, Create>,
    /// Cancellations, and how many of each came before its read was sent.
    cancels: BTreeMap<String, (Vec<RequestId>, usize)>,
    /// Ids just submitted through this node, so that a leader here need not
    /// wait for its watch.
    pub created: Vec<(String, JobRecord, u64)>,
}

struct Create {
    waiting: Vec<RequestId>,
    record: JobRecord,
    era: Option<u64>,
}

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
struct OnlyId {
    #[serde(default)]
    id: Option<String>,
}

impl Core {
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
        self.answer(id, code, wire::encode(&view));
    }

    pub(crate) fn on_submit(&mut self, req: RequestId, body: &[u8]) {
        let parsed: Result<JobSpec, String> = if body.len() > wire::BODY_LIMIT {
            Err("body over 64 KiB".to_string())
        } else {
            wire::decode::<JobSpec>(body).and_then(|s| s.check().map(|()| s)).map_err(|e| e.to_string())
        };
        let spec = match parsed {
            Ok(spec) => spec,
            Err(why) => {
                // A known job's repeated submission must never get 400, so
                // the id is looked up if there is one.
                let id = wire::decode::<OnlyId>(body).ok().and_then(|o| o.id).filter(|id| valid_id(id));
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
            Some(Ok(())) => self.create(req, spec),
        }
    }

    /// None while it cannot be said, else why the job can never run.
    fn can_run(&self, spec: &JobSpec) -> Option<Result<(), &'static str>> {
        let types = self.types.as_ref()?;
        let Some(team) = self.settings.params.teams.iter().find(|t| t.name == spec.team) else {
            return Some(Err("unknown team"));
        };
        let needs = Amounts::new(spec.cores, spec.accelerators, spec.memory_gb);
        let fits = types.iter().any(|t| {
            spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
                && Amounts::new(t.cores, t.accelerators, t.memory_gb).holds(&needs)
        });
        if !fits {
            return Some(Err("a task fits no allowed machine type"));
        }
        let at_once = if spec.shape == Shape::Array { 1.0 } else { f64::from(spec.tasks) };
        let over = |need: f64, most: f64| most > 0.0 && need * at_once > most + 1e-6;
        if over(spec.cores, team.cores_max) || over(spec.accelerators, team.accelerators_max) {
            return Some(Err("more than the team's limit"));
        }
        Some(Ok(()))
    }

    fn create(&mut self, req: RequestId, spec: JobSpec) {
        let id = spec.id.clone();
        if let Some(c) = self.users.creates.get_mut(&id) {
            c.waiting.push(req);
            return;
        }
        if self.users.creates.len() > MOST_WAITING || !self.writes.take(self.now, 1.0) {
            return self.refuse(req, 503, "busy");
        }
        let record = JobRecord {
            per_page: tasks_per_page(self.settings.params.state.value_kb),
            at: self.wall,
            status: JobStatus::Pending,
            done: 0,
            running: 0,
            attempt: 0,
            page: PageRecord::default(),
            ran_on: Vec::new(),
            spec,
        };
        let txn = Txn {
            conditions: [job_key(&id), over_key(&id)].map(|key| Condition { key, version: 0 }).into(),
            changes: vec![Change::Put {
                key: job_key(&id),
                value: Value::Job(Box::new(record.clone())),
                lease: None,
            }],
        };
        self.users.creates.insert(id.clone(), Create { waiting: vec![req], record, era: self.polls.era() });
        self.state(Purpose::Create { id }, StateOp::Commit(txn));
    }

    pub(crate) fn on_create(&mut self, id: &str, r: StateReply) {
        let Some(c) = self.users.creates.remove(id) else { return };
        let rate = self.settings.params.state.write_rps;
        let nodes = f64::from(self.settings.params.nodes.max(1));
        match &r {
            StateReply::Committed(_) | StateReply::Conflict(_) => self.writes.speed_up(rate * MOST_WRITES),
            StateReply::Refused => {
                self.writes.slow_down(self.now, rate * (1.0 - crate::commit::LEADER_WRITES) / nodes);
            }
            _ => {}
        }
        match r {
            StateReply::Committed(revision) => {
                let s = &c.record.spec;
                info!(job = %id, class = %s.class, team = %s.team, tasks = s.tasks, "job accepted");
                self.note_record(id, &c.record, revision, c.era);
                self.users.created.push((id.to_string(), c.record, revision));
                // Repetitions came later than the change was sent: the job may
                // have been cancelled elsewhere in between.
                let mut waiting = c.waiting.into_iter();
                if let Some(first) = waiting.next() {
                    self.view(first, 201, id, JobStatus::Pending, None);
                }
                for req in waiting {
                    self.inquire(req, id, 503, "busy");
                }
            }
            StateReply::Conflict(_) => {
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
        self.state(Purpose::CancelRead { id: id.to_string(), tries, over: false }, StateOp::Get(job_key(id)));
    }

    fn end_cancel(&mut self, id: &str, outcome: Result<JobStatus, (u16, &str)>) {
        for req in self.users.cancels.remove(id).unwrap_or_default().0 {
            match outcome {
                Ok(status) => self.view(req, 200, id, status, None),
                Err((code, why)) => self.refuse(req, code, why),
            }
        }
    }

    pub(crate) fn on_cancel_read(&mut self, id: &str, tries: u32, over: bool, r: StateReply) {
        match r {
            StateReply::Item(Item { value: Value::Over(o), .. }) => {
                self.finals.put(id, o.status, o.done);
                self.end_cancel(id, Ok(o.status));
            }
            StateReply::Item(Item { value: Value::Job(j), version, .. }) => {
                if j.status.is_final() {
                    self.finals.put(id, j.status, j.done);
                    return self.end_cancel(id, Ok(j.status));
                }
                let mut record = *j;
                record.status = JobStatus::Cancelled;
                let key = job_key(id);
                let txn = Txn {
                    conditions: vec![Condition { key: key.clone(), version }],
                    changes: vec![Change::Put { key, value: Value::Job(Box::new(record)), lease: None }],
                };
                self.writes.take(self.now, 1.0);
                self.state(Purpose::CancelWrite { id: id.to_string(), tries }, StateOp::Commit(txn));
            }
            // It may have been over, and moved, before that read.
            StateReply::Missing(_) if !over => {
                let purpose = Purpose::CancelRead { id: id.to_string(), tries, over: true };
                self.state(purpose, StateOp::Get(over_key(id)));
            }
            StateReply::Missing(_) => {
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

    pub(crate) fn on_cancel_write(&mut self, id: &str, tries: u32, r: StateReply) {
        match r {
            StateReply::Committed(_) => {
                self.finals.put(id, JobStatus::Cancelled, 0);
                self.end_cancel(id, Ok(JobStatus::Cancelled));
                self.cancelled_here(id);
            }
            // The leader wrote in between: read again.
            StateReply::Conflict(_) if tries < CANCEL_TRIES => {
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
