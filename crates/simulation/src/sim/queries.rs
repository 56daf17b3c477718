//! User requests outside the regular sequence of a user: concurrent requests to all nodes, invalid
//! jobs, and cancellations at the moment of completion.

use super::fault_injection::Disturbance;
use super::*;

/// Requests outside the regular sequence have numbers above this one.
pub(super) const FIRST_QUERY: u64 = 1 << 40;

/// Time after a status change within which users query all nodes, in seconds.
const CONCURRENT_S: f64 = 0.01;

/// Maximum number of machines that hang when running jobs are cancelled.
const MAX_HANGING_MACHINES: usize = 8;

/// Remaining run time, in seconds, above which a task makes its job a candidate for
/// `Fault::CancelRunningJobs`.
const MIN_REMAINING_S: f64 = 20.0;

/// Request outside the regular sequence of a user.
struct Query {
    job: String,
    sent_at: f64,
    /// Whether it submits a job that no node may accept.
    invalid: bool,
}

/// Requests outside the regular sequences of the users.
#[derive(Default)]
pub(super) struct Queries {
    open: BTreeMap<u64, Query>,
    sent: u64,
    invalid_sent: u64,
    /// End of the period in which users query all nodes after a status change.
    pub(super) concurrent_until: f64,
    /// End of the period in which users send invalid requests.
    pub(super) invalid_until: f64,
    /// Period in which jobs are cancelled at their completion, and the share of these jobs.
    pub(super) cancel_at_completion: Disturbance,
    counts: QueryCounts,
}

/// Numbers of requests outside the regular sequences that were sent and answered.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QueryCounts {
    /// Requests sent to any node within 10 ms of a status change.
    pub concurrent: u64,
    /// Requests outside the regular sequences that were answered with a status.
    pub concurrent_answered: u64,
    /// Cancellations sent at the moment of acceptance.
    pub cancelled_at_acceptance: u64,
    /// Cancellations sent at the moment at which the last task completed.
    pub cancelled_at_completion: u64,
    /// Refused submissions of jobs that cannot run or lack required fields.
    pub invalid_refused: u64,
}

impl Simulation {
    /// Returns the numbers of requests outside the regular sequences.
    pub fn query_counts(&self) -> QueryCounts {
        self.queries.counts
    }

    /// Sends a request of a job's user to a node after `after_s` seconds.
    fn query(&mut self, job: &str, node: usize, after_s: f64, request: Request) {
        self.send_query(job, node, after_s, request, false);
    }

    fn send_query(&mut self, job: &str, node: usize, after_s: f64, request: Request, invalid: bool) {
        self.queries.sent += 1;
        let number = FIRST_QUERY + self.queries.sent;
        let sent_at = self.now + after_s;
        let job = job.to_string();
        self.queries.open.insert(number, Query { job: job.clone(), sent_at, invalid });
        let at = sent_at + self.delay();
        self.send(at, None, Event::UserRequestArrives { job, number, node, request });
    }

    /// Sends a cancellation of a job to a random node. The regular sequence of its user repeats the
    /// cancellation until it is answered.
    fn cancel_job(&mut self, job: &str, after_s: f64) {
        let node = self.rng.gen_range(0..self.nodes.len());
        if let Some(user) = self.users.get_mut(job) {
            user.cancel_at = Some(self.now + after_s);
        }
        self.history.cancel_requested.insert(job.to_string());
        self.query(job, node, after_s, Request::Cancel(job.to_string()));
    }

    /// Records the answer to a request sent at `sent_at`: a status, or None if the job is unknown to
    /// the node. A change may make the user query all nodes.
    pub(super) fn record_status(&mut self, job: &str, sent_at: f64, status: Option<JobStatus>) {
        let acceptance_and_end =
            |history: &History| (history.accepted_at.contains_key(job), history.finished.contains_key(job));
        let before = acceptance_and_end(&self.history);
        self.history.record_status(self.now, sent_at, job, status);
        if acceptance_and_end(&self.history) != before && self.now < self.queries.concurrent_until {
            let newly_accepted = before == (false, false);
            self.query_all_nodes(job, newly_accepted);
        }
    }

    fn query_all_nodes(&mut self, job: &str, newly_accepted: bool) {
        if newly_accepted && self.rng.gen_bool(0.1) {
            self.queries.counts.cancelled_at_acceptance += 1;
            self.cancel_job(job, 0.0);
        }
        let spec = protocol::encode(&self.history.specs[job]);
        for node in 0..self.nodes.len() {
            for _ in 0..2 {
                let request = if self.rng.gen_bool(0.4) {
                    Request::Submit(spec.clone())
                } else {
                    Request::QueryStatus(job.to_string())
                };
                let after_s = self.rng.gen_range(0.0..CONCURRENT_S);
                self.queries.counts.concurrent += 1;
                self.query(job, node, after_s, request);
            }
        }
    }

    pub(super) fn query_answered(&mut self, number: u64, response: &HttpResponse) {
        let Some(query) = self.queries.open.remove(&number) else { return };
        if query.invalid {
            return self.invalid_answered(query.job, response.status);
        }
        let job = query.job;
        match response.status {
            200 | 201 => {
                if let Ok(view) = protocol::decode::<JobView>(&response.body) {
                    self.queries.counts.concurrent_answered += 1;
                    self.record_status(&job, query.sent_at, Some(view.status));
                }
            }
            404 => self.record_status(&job, query.sent_at, None),
            400 | 422 if self.history.accepted.contains(&job) => {
                let details = format!("{job} got {}", response.status);
                self.history.violate(Rule::Forgotten, self.now, details);
            }
            _ => {}
        }
    }

    fn invalid_answered(&mut self, job: String, status: u16) {
        match status {
            200 | 201 => self.history.violate(Rule::Unfit, self.now, job),
            400 | 422 => self.queries.counts.invalid_refused += 1,
            _ => {}
        }
    }

    /// Cancels a job whose last task has just completed, if that fault is active.
    pub(super) fn cancel_at_completion(&mut self, job: &str) {
        let fault = self.queries.cancel_at_completion;
        if fault.is_active(self.now) && self.rng.gen_bool(fault.strength) {
            self.queries.counts.cancelled_at_completion += 1;
            self.cancel_job(job, 0.0);
        }
    }

    /// Cancels up to `count` jobs with a long remaining run time, and makes up to eight of their
    /// machines hang.
    pub(super) fn cancel_running_jobs(&mut self, count: usize, hang_s: f64) {
        let running = self.long_running();
        let mut jobs: Vec<String> = running.iter().map(|task| task.job.clone()).collect();
        jobs.sort();
        jobs.dedup();
        while jobs.len() > count {
            let dropped = self.rng.gen_range(0..jobs.len());
            jobs.remove(dropped);
        }
        for job in &jobs {
            let after_s = self.rng.gen_range(0.0..0.2);
            self.cancel_job(job, after_s);
        }
        if hang_s > 0.0 {
            let cancelled = running.into_iter().filter(|task| jobs.contains(&task.job));
            let machines: BTreeSet<String> = cancelled.map(|task| task.machine).collect();
            for machine in machines.iter().take(MAX_HANGING_MACHINES) {
                if let Some(worker) = self.workers.get_mut(machine) {
                    worker.hung_until = self.now + hang_s;
                }
            }
        }
    }

    /// Returns the running tasks with a long remaining run time whose jobs are accepted and not
    /// cancelled.
    fn long_running(&self) -> Vec<RunningTask> {
        let earliest = self.now + MIN_REMAINING_S;
        let mut running = Vec::new();
        for (machine, worker) in &self.workers {
            for (key, task) in &worker.tasks {
                let long_running = matches!(task.phase, TaskPhase::Running { until } if until > earliest);
                let accepted = self.history.accepted.contains(&key.job);
                if long_running && accepted && !self.history.cancel_requested.contains(&key.job) {
                    running.push(RunningTask { job: key.job.clone(), machine: machine.clone() });
                }
            }
        }
        running
    }

    /// Cancels every accepted job for which users have not received a final status.
    pub(super) fn cancel_all(&mut self) {
        let statuses = &self.history.last_status;
        let is_finished = |job: &&String| statuses.get(*job).is_some_and(|status| status.is_final());
        let open = self.history.accepted.iter().filter(|job| !is_finished(job));
        for job in open.cloned().collect::<Vec<_>>() {
            self.cancel_job(&job, 0.0);
        }
    }

    /// Queries every submitted job at every node, and repeats its submission there.
    pub(super) fn query_all_jobs(&mut self) {
        for job in self.history.submitted.iter().cloned().collect::<Vec<_>>() {
            let resubmission = Request::Submit(protocol::encode(&self.history.specs[&job]));
            for node in 0..self.nodes.len() {
                self.query(&job, node, 0.0, Request::QueryStatus(job.clone()));
                self.query(&job, node, 0.0, resubmission.clone());
            }
        }
    }

    /// Sends pointless and invalid requests of a user to a random node.
    pub(super) fn send_invalid_requests(&mut self, job: &str) {
        if self.now >= self.queries.invalid_until || !self.rng.gen_bool(0.3) {
            return;
        }
        let node = self.rng.gen_range(0..self.nodes.len());
        let spec = self.history.specs[job].clone();
        match self.history.last_status.get(job) {
            Some(JobStatus::Done) => self.query(job, node, 0.0, Request::Cancel(job.to_string())),
            Some(_) => self.query(job, node, 0.0, Request::Submit(protocol::encode(&spec))),
            None => {}
        }
        self.queries.invalid_sent += 1;
        let id = format!("req-{}", 9_000_000 + self.queries.invalid_sent);
        let body = self.invalid_submission(JobSpec { id: id.clone(), dependencies: Vec::new(), ..spec });
        self.send_query(&id, node, 0.0, Request::Submit(body), true);
    }

    /// Returns the body of a submission that cannot run or lacks required fields.
    fn invalid_submission(&mut self, spec: JobSpec) -> Vec<u8> {
        match self.rng.gen_range(0..4) {
            0 => protocol::encode(&JobSpec { cores: 1e6, ..spec }),
            1 => protocol::encode(&JobSpec { team: "nobody".into(), ..spec }),
            2 => protocol::encode(&JobSpec { machine_types: Some(vec!["none".into()]), ..spec }),
            _ => protocol::encode(&BTreeMap::from([("id", spec.id), ("lane", spec.class)])),
        }
    }
}

struct RunningTask {
    job: String,
    machine: String,
}
