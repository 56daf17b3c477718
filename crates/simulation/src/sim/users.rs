//! Users who submit, query and cancel jobs. Each job has one user, who sends one request at a time.

use super::*;

/// Time for which a user waits for a response, in seconds.
const USER_TIMEOUT_S: f64 = 4.0;
/// Pause of a user after a request that got no status, in seconds.
const RETRY_PAUSE_S: f64 = 1.0;
/// Interval at which a user checks whether the dependencies of the job are accepted, in seconds.
const DEPENDENCY_PAUSE_S: f64 = 0.3;
/// Interval of queries after the final status, in seconds. They verify that it does not change.
const FINISHED_PAUSE_S: f64 = 10.0;
/// Request number used for jobs that were never submitted.
const UNSUBMITTED: u64 = 0;
/// Request number used by tests, outside the regular sequences of the users.
const TEST_REQUEST: u64 = u64::MAX;

/// User of one job.
pub(super) struct User {
    /// Time at which the user cancels the job.
    pub(super) cancel_at: Option<f64>,
    /// Number of the last request.
    last_request: u64,
    sent_at: f64,
    waiting: bool,
    /// Whether the user was told that the job is refused.
    refused: bool,
}

impl User {
    pub(super) fn new(cancel_at: Option<f64>) -> Self {
        User { cancel_at, last_request: 0, sent_at: 0.0, waiting: false, refused: false }
    }

    /// Returns whether the user is waiting for the response to this request.
    fn waits_for(&self, number: u64) -> bool {
        self.waiting && self.last_request == number
    }
}

impl Simulation {
    pub(super) fn user_turn(&mut self, job: &str) {
        let now = self.now;
        if self.faults.query_flood.is_active(now) && self.rng.gen_bool(0.5) {
            self.query_unsubmitted();
        }
        self.send_invalid_requests(job);
        let Some(user) = self.users.get(job) else { return };
        if user.waiting || user.refused {
            return;
        }
        if !self.dependencies_accepted(job) {
            return self.schedule(now + DEPENDENCY_PAUSE_S, Event::UserTurn(job.to_string()));
        }
        let request = self.next_request(job);
        let Some(user) = self.users.get_mut(job) else { return };
        user.waiting = true;
        user.last_request += 1;
        user.sent_at = now;
        let number = user.last_request;
        let node = self.rng.gen_range(0..self.nodes.len());
        let at = now + self.delay();
        let job = job.to_string();
        self.send(at, None, Event::UserRequestArrives { job: job.clone(), number, node, request });
        self.schedule(now + USER_TIMEOUT_S, Event::UserRequestTimeout { job, number });
    }

    /// Returns whether a job may be submitted: the jobs of a pipeline are submitted one after another.
    fn dependencies_accepted(&self, job: &str) -> bool {
        let accepted = &self.history.accepted;
        let mut dependencies = self.history.specs[job].dependencies.iter();
        accepted.contains(job) || dependencies.all(|dependency| accepted.contains(dependency))
    }

    /// Returns the next request of a job's user.
    fn next_request(&mut self, job: &str) -> Request {
        let spec = &self.history.specs[job];
        let cancel_at = self.users.get(job).and_then(|user| user.cancel_at);
        if !self.history.accepted.contains(job) {
            self.history.submitted.insert(job.to_string());
            Request::Submit(protocol::encode(spec))
        } else if cancel_at.is_some_and(|cancel_at| self.now >= cancel_at) {
            self.history.cancel_requested.insert(job.to_string());
            Request::Cancel(job.to_string())
        } else if self.rng.gen_bool(0.1) {
            // A submission may be repeated at any time.
            Request::Submit(protocol::encode(spec))
        } else {
            Request::QueryStatus(job.to_string())
        }
    }

    fn query_unsubmitted(&mut self) {
        let job = format!("req-{}", self.rng.gen_range(5000..5100));
        let node = self.rng.gen_range(0..self.nodes.len());
        let at = self.now + self.delay();
        let request = Request::QueryStatus(job.clone());
        self.schedule(at, Event::UserRequestArrives { job, number: UNSUBMITTED, node, request });
    }

    pub(super) fn user_response_arrives(&mut self, job: &str, number: u64, response: &HttpResponse) {
        let now = self.now;
        if number == TEST_REQUEST {
            self.test_response = Some(response.clone());
            return;
        }
        if number >= queries::FIRST_QUERY {
            return self.query_answered(number, response);
        }
        if number == UNSUBMITTED && response.status == 200 {
            self.history.violate(Rule::Invented, now, job.to_string());
        }
        let Some(user) = self.users.get_mut(job).filter(|user| user.waits_for(number)) else { return };
        user.waiting = false;
        let sent_at = user.sent_at;
        let mut pause_s = self.rng.gen_range(1.5..3.0);
        match response.status {
            200 | 201 => {
                if let Ok(view) = protocol::decode::<JobView>(&response.body) {
                    if view.status.is_final() {
                        pause_s = FINISHED_PAUSE_S;
                    }
                    self.record_status(job, sent_at, Some(view.status));
                }
            }
            404 => self.record_status(job, sent_at, None),
            400 | 422 => self.job_refused(job, response.status),
            _ => pause_s = RETRY_PAUSE_S,
        }
        if self.faults.query_flood.is_active(now) {
            pause_s /= self.faults.query_flood.strength;
        }
        self.schedule(now + pause_s, Event::UserTurn(job.to_string()));
    }

    fn job_refused(&mut self, job: &str, status: u16) {
        if self.history.accepted.contains(job) {
            self.history.violate(Rule::Forgotten, self.now, format!("{job} got {status}"));
        } else if let Some(user) = self.users.get_mut(job) {
            user.refused = true;
        }
    }

    pub(super) fn user_request_timeout(&mut self, job: &str, number: u64) {
        if let Some(user) = self.users.get_mut(job).filter(|user| user.waits_for(number)) {
            user.waiting = false;
            self.schedule(self.now + RETRY_PAUSE_S, Event::UserTurn(job.to_string()));
        }
    }

    /// Submits `spec` to a node and runs until there is a response. The outcome of the job is not
    /// checked.
    pub fn submit(&mut self, node: usize, spec: JobSpec) -> HttpResponse {
        let body = protocol::encode(&spec);
        self.history.submitted.insert(spec.id.clone());
        self.history.specs.insert(spec.id.clone(), spec);
        self.request_and_wait(node, Request::Submit(body))
    }

    /// Returns whether a node passes its health check.
    pub fn is_healthy(&mut self, node: usize) -> bool {
        self.request_and_wait(node, Request::HealthCheck).status == 200
    }

    /// Sends a request and runs for up to 10 s until there is a response. Without one, the returned
    /// status is 0.
    fn request_and_wait(&mut self, node: usize, request: Request) -> HttpResponse {
        self.test_response = None;
        let job = "by hand".to_string();
        self.schedule(self.now, Event::UserRequestArrives { job, number: TEST_REQUEST, node, request });
        let end = self.now + 10.0;
        while self.test_response.is_none() && self.now < end {
            self.run(self.now + 0.05);
        }
        let no_response = HttpResponse { status: 0, body: Vec::new(), retry_after_s: None };
        self.test_response.take().unwrap_or(no_response)
    }
}
