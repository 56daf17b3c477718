//! Several controllers and a store whose messages are reordered, lost or delayed at random;
//! controllers also restart. Users send requests to all controllers. A status is stale if it is older
//! than one that had been reported before its request was sent.

pub mod machines;

use crate::common::{example_settings, machine_types, plain_array};
use anisecroft_simulation::state::Store;
use controller::records::*;
use controller::*;
use machines::Machines;
use protocol::cloud::MachineType;
use protocol::job::*;
use protocol::state::{Compare, Mutation, Transaction};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use settings::{NextLimits, Operator, Peer, Settings};
use std::collections::{BTreeMap, BTreeSet};

pub const NODE_NAMES: [&str; 5] = ["n-0", "n-1", "n-2", "n-3", "n-4"];

pub fn spec(id: &str) -> JobSpec {
    plain_array(id, 3)
}

pub fn big_machine_type() -> MachineType {
    machine_types().remove(0)
}

/// Maximum size of a value under the future limits, in KiB, and how many bytes of it controllers use.
pub const NEXT_VALUE_KB: f64 = 2.0;
pub const NEXT_VALUE_BYTES: usize = 1984;

/// The settings of node `n` of `nodes`, which announce a lower limit on the size of values.
pub fn settings(n: usize, nodes: usize) -> Settings {
    let mut s = example_settings();
    s.node = NODE_NAMES[n].into();
    let peer = |name: &&str| Peer { node: (*name).into(), zone: String::new(), addr: s.peer_addr };
    s.peers = NODE_NAMES[..nodes].iter().filter(|name| **name != NODE_NAMES[n]).map(peer).collect();
    s.params.nodes = nodes as u32;
    let state = &mut s.params.store;
    state.value_kb = 64.0;
    state.next = Some(NextLimits { value_kb: Some(NEXT_VALUE_KB), ..NextLimits::default() });
    s
}

pub fn put(key: String, value: Value) -> Mutation<Value> {
    Mutation::Put { key, value, lease: None }
}

pub fn version_is(key: String, version: u64) -> Compare {
    Compare { key, version }
}

/// Pads the record with a placement so that its encoding takes exactly `bytes` bytes.
pub fn pad_to(record: &mut JobRecord, bytes: usize) {
    let placements = |machine: String| vec![StoredPlacement { task: 0, attempt: 1, machine }];
    record.first_page.placements = placements(String::new());
    record.first_page.placements = placements("m".repeat(bytes - json_size(record)));
}

/// The status of a job as reported to users, in the order in which statuses may be reported.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReportedStatus {
    Unknown,
    Accepted,
    Terminal(JobStatus),
}

impl ReportedStatus {
    pub fn rank(self) -> u8 {
        match self {
            ReportedStatus::Unknown => 0,
            ReportedStatus::Accepted => 1,
            ReportedStatus::Terminal(_) => 2,
        }
    }
    /// Whether this status may be reported after `before`.
    pub fn may_follow(self, before: ReportedStatus) -> bool {
        let contradicts =
            matches!((before, self), (ReportedStatus::Terminal(a), ReportedStatus::Terminal(b)) if a != b);
        self.rank() >= before.rank() && !contradicts
    }
}

/// Counts how often each situation occurred. Tests assert minimums, so that no test passes without
/// having exercised them.
#[derive(Default, Debug)]
pub struct Coverage {
    /// Requests sent to all nodes right after a response reported a new status.
    pub concurrent_queries: u64,
    /// Submissions of jobs whose status had been reported before.
    pub resubmissions: u64,
    /// Submissions that no new job can be created from.
    pub invalid_submissions: u64,
    /// Jobs that were reported cancelled.
    pub cancelled: u64,
    /// Transactions that put a cancellation mark.
    pub cancellation_marks: u64,
    /// Jobs that were reported cancelled because one that they depend on was.
    pub inherited_cancellations: u64,
    /// Jobs that were reported done.
    pub done: u64,
    /// Jobs that another leader moved to the archive.
    pub archived: u64,
    /// Watches that can no longer be continued, so that the records are read again.
    pub expired_watches: u64,
    /// Controllers that restarted with empty memory.
    pub restarts: u64,
    /// Transactions without a reply that may be applied later.
    pub late_writes: u64,
    /// Requests that were executed and whose replies were lost.
    pub lost_replies: u64,
}

impl Coverage {
    pub fn add(&mut self, other: &Coverage) {
        self.concurrent_queries += other.concurrent_queries;
        self.resubmissions += other.resubmissions;
        self.invalid_submissions += other.invalid_submissions;
        self.cancelled += other.cancelled;
        self.cancellation_marks += other.cancellation_marks;
        self.inherited_cancellations += other.inherited_cancellations;
        self.done += other.done;
        self.archived += other.archived;
        self.expired_watches += other.expired_watches;
        self.restarts += other.restarts;
        self.late_writes += other.late_writes;
        self.lost_replies += other.lost_replies;
    }
}

/// The parameters of a run.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub nodes: usize,
    pub jobs: usize,
    /// Whether the nodes elect a leader among themselves. If not, the test writes to the store in
    /// place of a leader elsewhere.
    pub elects_leader: bool,
    pub faults: bool,
    /// The probability that a step or query that may cancel a job does so.
    pub cancel_probability: f64,
}

pub struct Cluster {
    pub scenario: Scenario,
    pub rng: SmallRng,
    pub now: f64,
    pub controllers: Vec<Controller>,
    /// The number of restarts of each node.
    pub incarnations: Vec<u64>,
    pub store: Store,
    /// Calls in flight to the store, with the node and incarnation that sent them, and replies in
    /// flight to that node.
    pub calls: Vec<(usize, u64, CallId, StoreRequest)>,
    pub replies: Vec<(usize, u64, Input)>,
    /// The cloud and the workers, if the nodes elect a leader.
    pub machines: Option<Machines>,
    /// Transactions whose outcome was reported unknown and that may be applied later.
    pub delayed_writes: Vec<StoreRequest>,
    /// Requests without a response, by node: the job and the status last reported when the request
    /// was sent.
    pub pending_requests: BTreeMap<(usize, RequestId), (String, ReportedStatus)>,
    /// The newest status that users were told, by job.
    pub reported: BTreeMap<String, ReportedStatus>,
    /// The HTTP status codes of all responses, by job.
    pub response_codes: BTreeMap<String, Vec<u16>>,
    pub submitted: BTreeSet<String>,
    pub cancel_requested: BTreeSet<String>,
    /// Jobs whose reported status has just changed.
    pub changed_jobs: Vec<String>,
    pub last_request: RequestId,
    pub coverage: Coverage,
    pub violation: Option<String>,
}

impl Cluster {
    pub fn new(seed: u64, scenario: Scenario) -> Self {
        let mut store = Store::default();
        let mut initial_items = vec![
            put(TYPES_KEY.into(), Value::Types(vec![big_machine_type()])),
            put(FORMAT_KEY.into(), Value::Format(FORMAT)),
        ];
        if !scenario.elects_leader {
            let leader =
                LeaderRecord { node: "elsewhere".into(), elected_wall_s: 0.0, quick_restarts: 0, lease: 0 };
            initial_items.push(put(LEADER_KEY.into(), Value::Leader(leader)));
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let machines = scenario.elects_leader.then(|| {
            let record = oversized_records()[seed as usize / 3 % 2].clone();
            let lease_s = settings(0, scenario.nodes).params.workers.lease_s;
            let machines = Machines::running(&record.spec, big_machine_type(), lease_s, &mut rng);
            initial_items.push(put(job_key("req-0"), Value::Job(Box::new(record))));
            machines
        });
        store.execute(0.0, &StoreRequest::Commit(Transaction { compares: vec![], mutations: initial_items }));
        let mut cluster = Cluster {
            scenario,
            rng,
            machines,
            now: 0.0,
            controllers: Vec::new(),
            incarnations: vec![0; scenario.nodes],
            store,
            calls: vec![],
            replies: vec![],
            delayed_writes: vec![],
            pending_requests: BTreeMap::new(),
            reported: BTreeMap::new(),
            response_codes: BTreeMap::new(),
            submitted: if scenario.elects_leader {
                BTreeSet::from(["req-0".into()])
            } else {
                BTreeSet::new()
            },
            cancel_requested: BTreeSet::new(),
            changed_jobs: vec![],
            last_request: 0,
            coverage: Coverage::default(),
            violation: None,
        };
        cluster.controllers = (0..scenario.nodes).map(|n| cluster.new_controller(n)).collect();
        cluster.exchange_views();
        cluster
    }

    pub fn new_controller(&mut self, n: usize) -> Controller {
        Controller::new(settings(n, self.scenario.nodes), Operator::default(), self.rng.gen())
    }

    pub fn exchange_views(&mut self) {
        for a in 0..self.controllers.len() {
            let view = self.controllers[a].view_for_peers();
            for b in (0..self.controllers.len()).filter(|b| *b != a) {
                self.feed(b, Input::PeerView(view.clone()));
            }
        }
    }

    pub fn feed(&mut self, n: usize, input: Input) {
        for o in self.controllers[n].handle(self.now, 1e9 + self.now, input) {
            match o {
                Output::Response(id, response) => self.handle_response(n, id, &response),
                Output::Store(call, op) => self.calls.push((n, self.incarnations[n], call, op)),
                Output::Cloud(call, op) => {
                    let now = self.now;
                    let r = self
                        .machines
                        .as_mut()
                        .map_or(CloudReply::Refused, |machines| machines.call(now, &op));
                    self.replies.push((n, self.incarnations[n], Input::Cloud(call, r)));
                }
                Output::Worker(call, ..) => {
                    let r = Input::Worker(call, WorkerReply::Failed);
                    self.replies.push((n, self.incarnations[n], r));
                }
                Output::Forward(call, ..) => {
                    self.replies.push((n, self.incarnations[n], Input::ForwardReply(call, None)));
                }
                Output::ForwardReply(..) => {}
            }
        }
    }

    pub fn spec(&self, id: &str) -> JobSpec {
        // Chains of three jobs: two of three depend on the job with the previous number.
        let n: usize = id[4..].parse().unwrap();
        let dependency = (n % 3 != 0).then(|| format!("req-{}", n - 1));
        JobSpec { dependencies: dependency.into_iter().collect(), ..spec(id) }
    }

    /// A job and all jobs that it depends on, directly or through others.
    pub fn dependency_chain(&self, id: &str) -> Vec<String> {
        let mut all = vec![id.to_string()];
        while let Some(dependency) = self.spec(&all[all.len() - 1]).dependencies.pop() {
            all.push(dependency);
        }
        all
    }

    pub fn send_request(&mut self, n: usize, id: &str, r: Request) {
        self.last_request += 1;
        let reported = self.reported.get(id).copied().unwrap_or(ReportedStatus::Unknown);
        match &r {
            Request::Submit(_) => {
                self.submitted.insert(id.to_string());
                self.coverage.resubmissions += u64::from(reported != ReportedStatus::Unknown);
            }
            Request::Cancel(_) => {
                self.cancel_requested.insert(id.to_string());
            }
            _ => {}
        }
        self.pending_requests.insert((n, self.last_request), (id.to_string(), reported));
        self.feed(n, Input::Request(self.last_request, r));
    }

    /// Keeps the first violation.
    pub fn violate(&mut self, details: String) {
        self.violation.get_or_insert(details);
    }

    /// Checks a response to a user against what users knew when the request was sent.
    pub fn handle_response(&mut self, n: usize, id: RequestId, response: &HttpResponse) {
        if let (true, Some(machines)) = (id >= machines::FIRST_WORKER_REQUEST, &mut self.machines) {
            return machines.response_arrives(self.now, n, id, response);
        }
        let Some((job, reported_at_send)) = self.pending_requests.remove(&(n, id)) else { return };
        self.response_codes.entry(job.clone()).or_default().push(response.status);
        let status = match response.status {
            200 | 201 => {
                let v: JobView = protocol::decode(&response.body).unwrap();
                if v.status.is_final() {
                    ReportedStatus::Terminal(v.status)
                } else {
                    ReportedStatus::Accepted
                }
            }
            400 | 404 | 422 => ReportedStatus::Unknown,
            _ => return,
        };
        let newest = self.reported.get(&job).copied().unwrap_or(ReportedStatus::Unknown);
        let cancel_requested = self.dependency_chain(&job).iter().any(|j| self.cancel_requested.contains(j));
        let contradicts =
            matches!((newest, status), (ReportedStatus::Terminal(x), ReportedStatus::Terminal(y)) if x != y);
        if !status.may_follow(reported_at_send) || contradicts {
            self.violate(format!(
                "{job}: {reported_at_send:?} when the request was sent, {newest:?} now, the response is {status:?} ({})",
                response.status
            ));
        }
        if status != ReportedStatus::Unknown && !self.submitted.contains(&job) {
            self.violate(format!("{job} was never submitted, but the response is {status:?}"));
        }
        if status == ReportedStatus::Terminal(JobStatus::Cancelled) && !cancel_requested {
            self.violate(format!("{job} was reported cancelled, but no user cancelled it or a dependency"));
        }
        if status == ReportedStatus::Terminal(JobStatus::Done) && !self.is_done(&job) {
            self.violate(format!("{job} was reported done before its tasks completed"));
        }
        if status.rank() <= newest.rank() {
            return;
        }
        self.reported.insert(job.clone(), status);
        if status == ReportedStatus::Terminal(JobStatus::Cancelled) {
            self.coverage.cancelled += 1;
            self.coverage.inherited_cancellations += u64::from(!self.cancel_requested.contains(&job));
        }
        self.coverage.done += u64::from(status == ReportedStatus::Terminal(JobStatus::Done));
        self.changed_jobs.push(job);
    }

    /// Whether all tasks of a job have completed; without simulated workers, every job counts as done.
    pub fn is_done(&self, id: &str) -> bool {
        let Some(machines) = &self.machines else { return true };
        let [many_tasks, long_spec] = oversized_records().map(|r| r.spec);
        // The initial job is one of these two.
        if id == "req-0" {
            return machines.is_done(&many_tasks) || machines.is_done(&long_spec);
        }
        machines.is_done(&self.spec(id))
    }

    /// Sends one request to each node at the same time: mostly status queries, and among them repeated
    /// or invalid submissions and cancellations.
    pub fn query_all_nodes(&mut self, id: &str) {
        let may_cancel = self.rng.gen_bool(self.scenario.cancel_probability);
        for n in 0..self.controllers.len() {
            self.coverage.concurrent_queries += 1;
            let r = match self.rng.gen_range(0..6) {
                0 => Request::Submit(protocol::encode(&self.spec(id))),
                1 => self.invalid_submission(id),
                2 if may_cancel => Request::Cancel(id.to_string()),
                _ => Request::QueryStatus(id.to_string()),
            };
            self.send_request(n, id, r);
        }
    }

    /// A submission that no new job can be created from.
    pub fn invalid_submission(&mut self, id: &str) -> Request {
        self.coverage.invalid_submissions += 1;
        let s = self.spec(id);
        let invalid = match self.rng.gen_range(0..6) {
            0 => JobSpec { cores: f64::NAN, ..s },
            1 => JobSpec { tasks: 0, ..s },
            2 => JobSpec { team: "nobody".into(), ..s },
            3 => JobSpec { machine_types: Some(vec!["gone".into()]), ..s },
            4 => JobSpec { dependencies: vec![id.to_string()], ..s },
            _ => JobSpec { dependencies: vec!["req-77777".into()], ..s },
        };
        Request::Submit(protocol::encode(&invalid))
    }

    /// Writes job `id` as a leader elsewhere would. The write is conditional on the current versions of
    /// the record and its cancellation mark.
    pub fn act_as_leader(&mut self, id: &str) {
        let Some((Value::Job(j), version)) = self.stored_at(job_key(id)) else { return };
        let mark = self.stored_at(mark_key(id));
        let compares = vec![
            version_is(job_key(id), version),
            version_is(mark_key(id), mark.as_ref().map_or(0, |m| m.1)),
        ];
        let dependency_status = j.dependencies().first().map(|dependency| self.status_of(dependency));
        let mut changes = Vec::new();
        if j.status.is_final() {
            let terminal =
                TerminalRecord { status: j.status, done: j.done, submitted_wall_s: j.submitted_wall_s };
            changes = vec![
                Mutation::Delete { key: job_key(id) },
                put(terminal_job_key(id), Value::Terminal(terminal)),
            ];
            self.coverage.archived += 1;
        } else if mark.is_some() || dependency_status == Some(JobStatus::Cancelled) {
            // The leader may store the cancellation late.
            if self.rng.gen_bool(0.7) {
                return;
            }
            let record = JobRecord { status: JobStatus::Cancelled, first_page: PageRecord::default(), ..*j };
            changes.push(put(job_key(id), Value::Job(Box::new(record))));
            changes.extend(mark.map(|_| Mutation::Delete { key: mark_key(id) }));
        } else if dependency_status.is_none_or(|s| s == JobStatus::Done) {
            let ready_wall_s = dependency_status.map(|_| 1e9 + self.now);
            let record = self.advanced(JobRecord { ready_wall_s, ..*j });
            changes.push(put(job_key(id), Value::Job(Box::new(record))));
        }
        if !changes.is_empty() {
            self.store.execute(self.now, &StoreRequest::Commit(Transaction { compares, mutations: changes }));
        }
    }

    /// The stored status of a job; pending if it is not stored.
    fn status_of(&mut self, id: &str) -> JobStatus {
        match self.stored(job_key(id)).or_else(|| self.stored(terminal_job_key(id))) {
            Some(Value::Job(j)) => j.status,
            Some(Value::Terminal(t)) => t.status,
            _ => JobStatus::Pending,
        }
    }

    /// The record of a job that is running or done.
    fn advanced(&mut self, record: JobRecord) -> JobRecord {
        match self.rng.gen_range(0..5) {
            0 => JobRecord { status: JobStatus::Done, done: 3, first_page: PageRecord::default(), ..record },
            running => self.padded(JobRecord { status: JobStatus::Running, running, ..record }),
        }
    }

    /// Pads the record so that it is small, too large to be rewritten, or within a few bytes of that
    /// limit.
    pub fn padded(&mut self, mut record: JobRecord) -> JobRecord {
        match self.rng.gen_range(0..3) {
            0 => {}
            1 => pad_to(&mut record, NEXT_VALUE_BYTES + 500),
            _ => pad_to(&mut record, NEXT_VALUE_BYTES - 4 + self.rng.gen_range(0..8)),
        }
        record
    }

    /// Advances the machines to the current time and lets a worker send a heartbeat: mostly to the
    /// node with the newest fencing token, else to node `n`.
    pub fn send_worker_heartbeat(&mut self, n: usize) {
        let leader = (0..self.controllers.len()).max_by_key(|n| self.controllers[*n].token());
        let n = leader.filter(|_| self.rng.gen_bool(0.9)).unwrap_or(n);
        let Some(machines) = &mut self.machines else { return };
        machines.advance(self.now, &mut self.rng);
        if let Some((id, r)) = machines.heartbeat(self.now, n, &mut self.rng) {
            self.feed(n, Input::Request(id, r));
        }
    }

    /// Delivers a random call to the store, which may fail to execute it or to reply.
    pub fn deliver_store_call(&mut self) {
        let (n, incarnation, call, op) = self.calls.remove(self.rng.gen_range(0..self.calls.len()));
        let faults = self.scenario.faults;
        let is_commit = matches!(&op, StoreRequest::Commit(t) if !t.mutations.is_empty());
        if let (StoreRequest::Commit(t), true) = (&op, is_commit) {
            let puts_mark =
                |c: &Mutation<Value>| matches!(c, Mutation::Put { key, .. } if key.starts_with(MARK_PREFIX));
            self.coverage.cancellation_marks += u64::from(t.mutations.iter().any(puts_mark));
        }
        if faults && self.rng.gen_bool(0.06) {
            let reply = match self.rng.gen_range(0..3) {
                0 => StoreReply::Refused,
                1 if is_commit => {
                    self.coverage.late_writes += 1;
                    self.delayed_writes.push(op);
                    StoreReply::Unknown
                }
                _ => {
                    self.coverage.lost_replies += 1;
                    self.store.execute(self.now, &op);
                    StoreReply::Unknown
                }
            };
            return self.replies.push((n, incarnation, Input::Store(call, reply)));
        }
        if faults && matches!(op, StoreRequest::Watch { .. }) && self.rng.gen_bool(0.08) {
            self.coverage.expired_watches += 1;
            return self.replies.push((n, incarnation, Input::Store(call, StoreReply::Gone)));
        }
        let r = self.store.execute(self.now, &op).unwrap_or_else(|| self.store.no_events());
        self.replies.push((n, incarnation, Input::Store(call, r)));
    }

    pub fn step(&mut self) {
        for id in std::mem::take(&mut self.changed_jobs) {
            if self.rng.gen_bool(0.4) {
                self.query_all_nodes(&id);
            }
        }
        self.now += self.rng.gen_range(0.0..0.05);
        let n = self.rng.gen_range(0..self.controllers.len());
        let id = format!("req-{}", self.rng.gen_range(0..self.scenario.jobs));
        let faults = self.scenario.faults;
        match self.rng.gen_range(0..40) {
            0 | 1 => self.send_request(n, &id, Request::Submit(protocol::encode(&self.spec(&id)))),
            2 if self.submitted.contains(&id) && self.rng.gen_bool(self.scenario.cancel_probability) => {
                self.send_request(n, &id, Request::Cancel(id.clone()));
            }
            3..=5 => self.send_request(n, &id, Request::QueryStatus(id.clone())),
            6 if self.submitted.contains(&id) => {
                let r = self.invalid_submission(&id);
                self.send_request(n, &id, r);
            }
            7 if faults && self.rng.gen_bool(0.1) => self.now += self.rng.gen_range(0.0..8.0),
            8 if faults && self.rng.gen_bool(0.2) => {
                // The controller restarts immediately with empty memory.
                self.coverage.restarts += 1;
                self.incarnations[n] += 1;
                self.pending_requests.retain(|(node, _), _| *node != n);
                self.controllers[n] = self.new_controller(n);
                self.exchange_views();
            }
            9 if !self.delayed_writes.is_empty() => {
                let op = self.delayed_writes.remove(self.rng.gen_range(0..self.delayed_writes.len()));
                self.store.execute(self.now, &op);
            }
            10..=12 if self.scenario.elects_leader => self.send_worker_heartbeat(n),
            10..=12 => self.act_as_leader(&id),
            13 => self.exchange_views(),
            14..=24 if !self.calls.is_empty() => self.deliver_store_call(),
            25..=36 if !self.replies.is_empty() => {
                let (n, incarnation, reply) = self.replies.remove(self.rng.gen_range(0..self.replies.len()));
                if incarnation == self.incarnations[n] {
                    self.feed(n, reply);
                }
            }
            _ => self.feed(n, Input::Tick),
        }
    }
}

/// Whether `op` is a leader's write of job `id`'s record.
pub fn is_leader_write(op: &StoreRequest, id: &str) -> bool {
    let StoreRequest::Commit(t) = op else { return false };
    let checks_leadership = t.compares.iter().any(|c| c.key == LEADER_KEY);
    checks_leadership && t.compares.iter().any(|c| c.key == job_key(id))
}

impl Cluster {
    /// Runs for `duration_s` seconds and executes all calls to the store at once, except those for which
    /// `is_held` holds: they stay in flight.
    pub fn settle(&mut self, duration_s: f64, is_held: impl Fn(&StoreRequest) -> bool) {
        let end = self.now + duration_s;
        while self.now < end {
            self.now += 0.02;
            let (held, due): (Vec<_>, _) =
                std::mem::take(&mut self.calls).into_iter().partition(|c| is_held(&c.3));
            self.calls = held;
            for (n, _, call, op) in due {
                let r = self.store.execute(self.now, &op).unwrap_or_else(|| self.store.no_events());
                self.feed(n, Input::Store(call, r));
            }
            (0..self.controllers.len()).for_each(|n| self.feed(n, Input::Tick));
        }
    }

    /// The leader, if it has recovered.
    pub fn leader(&self) -> Option<usize> {
        self.controllers.iter().position(Controller::has_recovered)
    }

    pub fn stored(&mut self, key: String) -> Option<Value> {
        self.stored_at(key).map(|i| i.0)
    }

    /// A stored value with its version.
    fn stored_at(&mut self, key: String) -> Option<(Value, u64)> {
        match self.store.execute(self.now, &StoreRequest::Get(key)) {
            Some(StoreReply::Item(i)) => Some((i.value, i.version)),
            _ => None,
        }
    }
}

/// Records of jobs written under the current limits that are too large to be rewritten under the future
/// ones: because of the placements of many tasks, or because of a long specification.
pub fn oversized_records() -> [JobRecord; 2] {
    let small = JobSpec { cores: 0.1, accelerators: 0.0, memory_gb: 0.1, ..spec("req-0") };
    let names = (0..60).map(|n| format!("{}{n}", "type-with-a-long-name-".repeat(4)));
    let types = Some(names.chain(["big".to_string()]).collect());
    let many_tasks = JobRecord::new(JobSpec { tasks: 100, ..small.clone() }, 1e9, 63 * 1024);
    let long_spec = JobRecord::new(JobSpec { machine_types: types, ..small }, 1e9, NEXT_VALUE_BYTES);
    [many_tasks, long_spec].map(|mut r| {
        let place = |task| StoredPlacement { task, attempt: 1, machine: "vm-000001".into() };
        r.first_page.placements = (0..r.spec.tasks).map(place).collect();
        r
    })
}
