//! The cloud and the workers of a cluster whose controllers elect a leader among themselves.

use anisecroft_simulation::cloud::Cloud;
use anisecroft_simulation::worker::{HeartbeatInFlight, Launch, Task, TaskKey, TaskPhase, Worker};
use controller::*;
use protocol::cloud::{MachineType, RentRequest};
use protocol::job::JobSpec;
use protocol::worker::{ExitCause, HeartbeatResponse};
use rand::{rngs::SmallRng, Rng};
use std::collections::{BTreeMap, BTreeSet};

/// Request IDs of workers start here, so that they differ from those of users.
pub const FIRST_WORKER_REQUEST: RequestId = 1 << 40;
/// How long a worker waits for a response, in seconds. The protocol fixes this value.
const HEARTBEAT_TIMEOUT_S: f64 = 4.0;
/// The maximum number of machines.
const CAPACITY: usize = 3;

pub struct Machines {
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    /// Heartbeats without a response, by node and request.
    pending_heartbeats: BTreeMap<(usize, RequestId), PendingHeartbeat>,
    last_request: RequestId,
    lease_s: f64,
    /// Tasks that completed.
    completed: BTreeSet<TaskKey>,
}

struct PendingHeartbeat {
    machine: String,
    sequence: u64,
}

impl Machines {
    /// One machine that runs all tasks of `job`; more machines can be rented.
    pub fn running(job: &JobSpec, machine_type: MachineType, lease_s: f64, rng: &mut SmallRng) -> Self {
        let rent = RentRequest {
            request: "first".into(),
            machine_type: machine_type.name.clone(),
            zone: machine_type.zones[0].clone(),
            spot: false,
            count: 1,
        };
        let mut cloud = Cloud::new(vec![machine_type], CAPACITY, 1.0);
        cloud.execute(0.0, &CloudRequest::Rent(rent), 1.0, 0.0);
        let mut machines = Machines {
            cloud,
            workers: BTreeMap::new(),
            pending_heartbeats: BTreeMap::new(),
            last_request: FIRST_WORKER_REQUEST,
            lease_s,
            completed: BTreeSet::new(),
        };
        machines.advance(0.0, rng);
        let until: f64 = rng.gen_range(1.0..20.0);
        for worker in machines.workers.values_mut() {
            let running = Task { attempt: 1, phase: TaskPhase::Running { until } };
            worker.tasks = task_keys(job).map(|key| (key, running.clone())).collect();
        }
        machines
    }

    /// Executes a call to the cloud and removes the workers on deleted machines.
    pub fn call(&mut self, now: f64, request: &CloudRequest) -> CloudReply {
        let reply = self.cloud.execute(now, request, 1.0, 0.5);
        for id in std::mem::take(&mut self.cloud.deleted) {
            self.workers.remove(&id);
        }
        reply
    }

    /// Adds a worker on each machine that has booted, and advances the tasks of all workers to `now`.
    pub fn advance(&mut self, now: f64, rng: &mut SmallRng) {
        self.cloud.record_listing(now);
        for machine in self.cloud.running(now) {
            let new_worker = || Worker::new(machine.clone(), now, 0);
            self.workers.entry(machine.id.clone()).or_insert_with(new_worker);
        }
        for worker in self.workers.values_mut() {
            worker.expire_lease(now, self.lease_s);
            for (key, task) in &mut worker.tasks {
                match task.phase {
                    TaskPhase::Fetching { until } if now >= until && !self.completed.contains(key) => {
                        task.phase = TaskPhase::Running { until: now + rng.gen_range(0.1..4.0) };
                    }
                    TaskPhase::Fetching { until } | TaskPhase::Running { until } if now >= until => {
                        self.completed.insert(key.clone());
                        task.phase = TaskPhase::Exited(ExitCause::Done);
                    }
                    _ => {}
                }
            }
        }
    }

    /// A heartbeat of a random worker to `node`, unless that worker already has one in flight.
    pub fn heartbeat(&mut self, now: f64, node: usize, rng: &mut SmallRng) -> Option<(RequestId, Request)> {
        let index = rng.gen_range(0..self.workers.len().max(1));
        let (id, worker) = self.workers.iter_mut().nth(index)?;
        if worker.in_flight.is_some_and(|sent| !has_timed_out(&sent, now)) {
            return None;
        }
        let heartbeat = worker.send_heartbeat(now);
        self.last_request += 1;
        let pending = PendingHeartbeat { machine: id.clone(), sequence: heartbeat.sequence };
        self.pending_heartbeats.insert((node, self.last_request), pending);
        Some((self.last_request, Request::Heartbeat(protocol::encode(&heartbeat))))
    }

    /// Delivers the response to a heartbeat. A worker ignores late and outdated responses; an accepted
    /// one renews its lease, and its commands are executed.
    pub fn response_arrives(&mut self, now: f64, node: usize, request: RequestId, response: &HttpResponse) {
        let Some(PendingHeartbeat { machine, sequence }) = self.pending_heartbeats.remove(&(node, request))
        else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&machine) else { return };
        let in_time = |sent: &HeartbeatInFlight| sent.sequence == sequence && !has_timed_out(sent, now);
        let Some(sent) = worker.in_flight.filter(in_time) else { return };
        worker.in_flight = None;
        worker.expire_lease(now, self.lease_s);
        let Ok(accepted) = protocol::decode::<HeartbeatResponse>(&response.body) else { return };
        let outdated = sent.epoch != worker.epoch || accepted.fencing_token < worker.fencing_token;
        if response.status != 200 || outdated {
            return;
        }
        worker.observe_token(accepted.fencing_token, now, self.lease_s);
        worker.renewed_at = worker.renewed_at.max(sent.sent_at);
        for command in &accepted.commands {
            worker.execute(now, command, Some(Launch { fetch_s: 0.1 }));
        }
    }

    /// Whether all tasks of a job have completed.
    pub fn is_done(&self, job: &JobSpec) -> bool {
        task_keys(job).all(|key| self.completed.contains(&key))
    }
}

fn has_timed_out(sent: &HeartbeatInFlight, now: f64) -> bool {
    now - sent.sent_at > HEARTBEAT_TIMEOUT_S
}

fn task_keys(job: &JobSpec) -> impl Iterator<Item = TaskKey> + '_ {
    (0..job.tasks).map(|index| TaskKey { job: job.id.clone(), index })
}
