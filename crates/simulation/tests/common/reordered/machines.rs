//! The cloud and the workers of a cluster whose controllers elect a leader among themselves.

use anisecroft_simulation::cloud::Cloud;
use anisecroft_simulation::worker::{HeartbeatInFlight, Launch, Task, TaskKey, TaskPhase, Worker};
use controller::*;
use protocol::cloud::{MachineType, RentRequest};
use protocol::job::JobSpec;
use protocol::worker::{ExitCause, HeartbeatResponse};
use rand::{rngs::SmallRng, Rng};
use std::collections::{BTreeMap, BTreeSet};

/// Requests of workers are numbered from there on.
pub const FIRST_WORKER_REQUEST: RequestId = 1 << 40;
/// A worker waits that long for a response, in seconds (fixed by the protocol).
const HEARTBEAT_TIMEOUT_S: f64 = 4.0;
/// The number of machines that there can be.
const CAPACITY: usize = 3;

pub struct Machines {
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    /// Heartbeats without a response, by node and request.
    open: BTreeMap<(usize, RequestId), OpenHeartbeat>,
    last_request: RequestId,
    lease_s: f64,
    /// Tasks that completed.
    completed: BTreeSet<TaskKey>,
}

struct OpenHeartbeat {
    machine: String,
    sequence: u64,
}

impl Machines {
    /// One machine that has all tasks of `job`, and room for more to be rented.
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
            open: BTreeMap::new(),
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

    /// A call to the cloud.
    pub fn call(&mut self, now: f64, request: &CloudRequest) -> CloudReply {
        let reply = self.cloud.execute(now, request, 1.0, 0.5);
        for id in std::mem::take(&mut self.cloud.deleted) {
            self.workers.remove(&id);
        }
        reply
    }

    /// Boots machines, and has tasks go on.
    pub fn advance(&mut self, now: f64, rng: &mut SmallRng) {
        self.cloud.record_listing(now);
        for machine in self.cloud.running(now) {
            let new = || Worker::new(machine.clone(), now, 0);
            self.workers.entry(machine.id.clone()).or_insert_with(new);
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

    /// Some worker's heartbeat to `node`, if it has none on its way.
    pub fn heartbeat(&mut self, now: f64, node: usize, rng: &mut SmallRng) -> Option<(RequestId, Request)> {
        let index = rng.gen_range(0..self.workers.len().max(1));
        let (id, worker) = self.workers.iter_mut().nth(index)?;
        if worker.in_flight.is_some_and(|sent| !has_timed_out(&sent, now)) {
            return None;
        }
        let heartbeat = worker.send_heartbeat(now);
        self.last_request += 1;
        let open = OpenHeartbeat { machine: id.clone(), sequence: heartbeat.sequence };
        self.open.insert((node, self.last_request), open);
        Some((self.last_request, Request::Heartbeat(protocol::encode(&heartbeat))))
    }

    /// The response to a heartbeat.
    pub fn response_arrives(&mut self, now: f64, node: usize, request: RequestId, response: &HttpResponse) {
        let Some(OpenHeartbeat { machine, sequence }) = self.open.remove(&(node, request)) else { return };
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
