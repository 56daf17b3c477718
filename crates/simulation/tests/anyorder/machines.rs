//! The cloud and the workers of a world whose nodes lead themselves.

use anisecroft_simulation::cloud::Cloud;
use anisecroft_simulation::worker::{Launch, Phase, Task, TaskKey, Worker};
use controller::*;
use protocol::cloud::{MachineType, RentRequest};
use protocol::job::JobSpec;
use protocol::worker::HeartbeatResponse;
use rand::{rngs::SmallRng, Rng};
use std::collections::{BTreeMap, BTreeSet};

/// Requests of workers are numbered from there on.
pub const FIRST: RequestId = 1 << 40;
/// A worker waits that long for an answer (fixed by the protocol).
const PATIENCE_S: f64 = 4.0;

pub struct Machines {
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    /// Reports that have no answer yet, by node and request.
    open: BTreeMap<(usize, RequestId), (String, u64)>,
    next: RequestId,
    lease_s: f64,
    /// Results of tasks, which are kept.
    results: BTreeSet<TaskKey>,
}

impl Machines {
    /// One machine that has all tasks of `job`, and room for more to be rented.
    pub fn with(job: &JobSpec, kind: MachineType, lease_s: f64, rng: &mut SmallRng) -> Self {
        let (machine_type, zone) = (kind.name.clone(), kind.zones[0].clone());
        let mut cloud = Cloud::new(vec![kind], 3, 1.0);
        let rent = RentRequest { request: "first".into(), machine_type, zone, spot: false, count: 1 };
        cloud.execute(0.0, &CloudRequest::Rent(rent), 1.0, 0.0);
        let (open, next, results) = (BTreeMap::new(), FIRST, BTreeSet::new());
        let mut m = Machines { cloud, workers: BTreeMap::new(), open, next, lease_s, results };
        m.go_on(0.0, rng);
        let end: f64 = rng.gen_range(1.0..20.0);
        for w in m.workers.values_mut() {
            let run = |_| Task { attempt: 1, phase: Phase::Running { until: end } };
            w.tasks = (0..job.tasks).map(|task| ((job.id.clone(), task), run(task))).collect();
        }
        m
    }

    /// A call to the cloud.
    pub fn call(&mut self, now: f64, op: &CloudRequest) -> CloudReply {
        let r = self.cloud.execute(now, op, 1.0, 0.5);
        for id in std::mem::take(&mut self.cloud.deleted) {
            self.workers.remove(&id);
        }
        r
    }

    /// What has become of tasks, and which machines are up.
    pub fn go_on(&mut self, now: f64, rng: &mut SmallRng) {
        self.cloud.snapshot(now);
        let up = self.cloud.machines.values().filter(|m| now >= m.up_at).map(|m| m.listed.clone());
        for place in up.collect::<Vec<_>>() {
            self.workers.entry(place.id.clone()).or_insert_with(|| Worker::new(place, now, 0));
        }
        for w in self.workers.values_mut() {
            w.expire(now, self.lease_s);
            for (key, task) in &mut w.tasks {
                match task.phase {
                    Phase::Fetching { until } if now >= until && !self.results.contains(key) => {
                        task.phase = Phase::Running { until: now + rng.gen_range(0.1..4.0) };
                    }
                    Phase::Fetching { until } | Phase::Running { until } if now >= until => {
                        self.results.insert(key.clone());
                        task.phase = Phase::Exited(protocol::worker::ExitCause::Done);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Some worker's report to node `n`, if it has none on its way.
    pub fn report(&mut self, now: f64, n: usize, rng: &mut SmallRng) -> Option<(RequestId, Request)> {
        let nth = rng.gen_range(0..self.workers.len().max(1));
        let (id, w) = self.workers.iter_mut().nth(nth)?;
        if w.in_flight.is_some_and(|f| now - f.2 <= PATIENCE_S) {
            return None;
        }
        let report = w.report();
        w.in_flight = Some((w.seq, w.session, now));
        self.next += 1;
        self.open.insert((n, self.next), (id.clone(), w.seq));
        Some((self.next, Request::Heartbeat(protocol::encode(&report))))
    }

    /// The answer to a report.
    pub fn answered(&mut self, now: f64, n: usize, request: RequestId, a: &HttpResponse) {
        let Some((id, seq)) = self.open.remove(&(n, request)) else { return };
        let Some(w) = self.workers.get_mut(&id) else { return };
        let Some((_, session, sent)) = w.in_flight.filter(|f| f.0 == seq && now - f.2 <= PATIENCE_S) else {
            return;
        };
        w.in_flight = None;
        w.expire(now, self.lease_s);
        let answer = protocol::decode::<HeartbeatResponse>(&a.body).ok();
        let Some(answer) =
            answer.filter(|r| a.status == 200 && session == w.session && r.fencing_token >= w.token)
        else {
            return;
        };
        w.see_token(answer.fencing_token, now, self.lease_s);
        w.renewed = w.renewed.max(sent);
        answer.commands.iter().for_each(|c| w.command(now, c, Some(Launch { fetch_s: 0.1 })));
    }

    /// Whether all tasks of a job have a result.
    pub fn is_done(&self, job: &JobSpec) -> bool {
        (0..job.tasks).all(|task| self.results.contains(&(job.id.clone(), task)))
    }
}
