//! Several controllers and the store, with every message delivered in any order, lost or late, and
//! controllers that restart. Users ask at all controllers; what they are told is judged by when
//! each request was sent.

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

pub fn big() -> MachineType {
    machine_types().remove(0)
}

/// KiB of a value under the limits to come, and the bytes that are used of it.
pub const NEXT_VALUE_KB: f64 = 2.0;
pub const NEXT_VALUE_BYTES: usize = 1984;

/// Node `n` of `nodes`, whose limits will fall.
pub fn settings(n: usize, nodes: usize) -> Settings {
    let mut s = example_settings();
    s.node = NODE_NAMES[n].into();
    let peer = |name: &&str| Peer { node: (*name).into(), zone: String::new(), addr: s.peer_addr };
    s.peers = NODE_NAMES[..nodes].iter().filter(|m| **m != NODE_NAMES[n]).map(peer).collect();
    s.params.nodes = nodes as u32;
    let state = &mut s.params.store;
    state.value_kb = 64.0;
    state.next = Some(NextLimits { value_kb: Some(NEXT_VALUE_KB), ..NextLimits::default() });
    s
}

pub fn put(key: String, value: Value) -> Mutation<Value> {
    Mutation::Put { key, value, lease: None }
}

pub fn holds(key: String, version: u64) -> Compare {
    Compare { key, version }
}

/// Gives a record a placement with which it takes so many bytes.
pub fn pad(record: &mut JobRecord, bytes: usize) {
    let place = |machine: String| vec![StoredPlacement { task: 0, attempt: 1, machine }];
    record.first_page.placements = place(String::new());
    record.first_page.placements = place("m".repeat(bytes - json_size(record)));
}

/// What a user was told of a job, in the order in which it may be told.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReportedStatus {
    Nothing,
    Accepted,
    Over(JobStatus),
}

impl ReportedStatus {
    pub fn rank(self) -> u8 {
        match self {
            ReportedStatus::Nothing => 0,
            ReportedStatus::Accepted => 1,
            ReportedStatus::Over(_) => 2,
        }
    }
    /// Whether this may be told once `before` was.
    pub fn may_follow(self, before: ReportedStatus) -> bool {
        let changed = matches!((before, self), (ReportedStatus::Over(a), ReportedStatus::Over(b)) if a != b);
        self.rank() >= before.rank() && !changed
    }
}

/// What was brought about, so that no run shows nothing.
#[derive(Default, Debug)]
pub struct Coverage {
    /// Questions at all nodes in the moment of an answer that told something new.
    pub close: u64,
    /// Submissions of jobs that were accepted before, and those that are not well formed.
    pub repeated: u64,
    pub odd: u64,
    pub cancelled: u64,
    /// Cancellations by marks, and those told of a job by the ones before it.
    pub marks: u64,
    pub lineage: u64,
    pub done: u64,
    pub moved: u64,
    /// Copies that had to be read again, returns with nothing in memory, late writes, lost answers.
    pub gone: u64,
    pub returns: u64,
    pub late: u64,
    pub lost: u64,
}

impl Coverage {
    pub fn add(&mut self, m: &Coverage) {
        self.close += m.close;
        self.repeated += m.repeated;
        self.odd += m.odd;
        self.cancelled += m.cancelled;
        self.marks += m.marks;
        self.lineage += m.lineage;
        self.done += m.done;
        self.moved += m.moved;
        self.gone += m.gone;
        self.returns += m.returns;
        self.late += m.late;
        self.lost += m.lost;
    }
}

/// How much goes wrong.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub nodes: usize,
    pub ids: usize,
    /// The nodes lead themselves; else another does, which is played here.
    pub lead: bool,
    pub faults: bool,
    /// How often users cancel.
    pub cancels: f64,
}

pub struct Cluster {
    pub scenario: Scenario,
    pub rng: SmallRng,
    pub now: f64,
    pub controllers: Vec<Controller>,
    pub starts: Vec<u64>,
    pub store: Store,
    /// Calls on their way to the store, and replies on their way back, with the start of the
    /// node that they are of.
    pub calls: Vec<(usize, u64, CallId, StoreRequest)>,
    pub replies: Vec<(usize, u64, Input)>,
    /// The cloud and the workers, if the nodes lead themselves.
    pub machines: Option<Machines>,
    /// Transactions that have been abandoned and are carried out some time.
    pub overdue: Vec<StoreRequest>,
    /// Open questions: job, and what had been told when it was sent.
    pub open: BTreeMap<(usize, RequestId), (String, ReportedStatus)>,
    pub told: BTreeMap<String, ReportedStatus>,
    /// The statuses of all answers, by job.
    pub statuses: BTreeMap<String, Vec<u16>>,
    pub submitted: BTreeSet<String>,
    pub cancel_asked: BTreeSet<String>,
    /// Jobs of which something new was told just now.
    pub changed_jobs: Vec<String>,
    pub next: RequestId,
    pub coverage: Coverage,
    pub violation: Option<String>,
}

impl Cluster {
    pub fn new(seed: u64, scenario: Scenario) -> Self {
        let mut store = Store::default();
        let mut first = vec![
            put(TYPES_KEY.into(), Value::Types(vec![big()])),
            put(FORMAT_KEY.into(), Value::Format(FORMAT)),
        ];
        if !scenario.lead {
            let leader =
                LeaderRecord { node: "elsewhere".into(), elected_wall_s: 0.0, quick_restarts: 0, lease: 0 };
            first.push(put(LEADER_KEY.into(), Value::Leader(leader)));
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let machines = scenario.lead.then(|| {
            let record = oversized_records()[seed as usize / 3 % 2].clone();
            let lease_s = settings(0, scenario.nodes).params.workers.lease_s;
            let machines = Machines::running(&record.spec, big(), lease_s, &mut rng);
            first.push(put(job_key("req-0"), Value::Job(Box::new(record))));
            machines
        });
        store.execute(0.0, &StoreRequest::Commit(Transaction { compares: vec![], mutations: first }));
        let mut world = Cluster {
            scenario,
            rng,
            machines,
            now: 0.0,
            controllers: Vec::new(),
            starts: vec![0; scenario.nodes],
            store,
            calls: vec![],
            replies: vec![],
            overdue: vec![],
            open: BTreeMap::new(),
            told: BTreeMap::new(),
            statuses: BTreeMap::new(),
            submitted: if scenario.lead { BTreeSet::from(["req-0".into()]) } else { BTreeSet::new() },
            cancel_asked: BTreeSet::new(),
            changed_jobs: vec![],
            next: 0,
            coverage: Coverage::default(),
            violation: None,
        };
        world.controllers = (0..scenario.nodes).map(|n| world.core(n)).collect();
        world.exchange_views();
        world
    }

    pub fn core(&mut self, n: usize) -> Controller {
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
                Output::Response(id, a) => self.answered(n, id, &a),
                Output::Store(call, op) => self.calls.push((n, self.starts[n], call, op)),
                Output::Cloud(call, op) => {
                    let now = self.now;
                    let r = self.machines.as_mut().map_or(CloudReply::Refused, |m| m.call(now, &op));
                    self.replies.push((n, self.starts[n], Input::Cloud(call, r)));
                }
                Output::Worker(call, ..) => {
                    let r = Input::Worker(call, WorkerReply::Failed);
                    self.replies.push((n, self.starts[n], r));
                }
                Output::Forward(call, ..) => {
                    self.replies.push((n, self.starts[n], Input::ForwardReply(call, None)));
                }
                Output::ForwardReply(..) => {}
            }
        }
    }

    pub fn spec(&self, id: &str) -> JobSpec {
        // Every third waits for the one before it, which may wait itself.
        let n: usize = id[4..].parse().unwrap();
        let before = (n % 3 != 0).then(|| format!("req-{}", n - 1));
        JobSpec { dependencies: before.into_iter().collect(), ..spec(id) }
    }

    /// A job and all that it waits for.
    pub fn chain(&self, id: &str) -> Vec<String> {
        let mut all = vec![id.to_string()];
        while let Some(a) = self.spec(&all[all.len() - 1]).dependencies.pop() {
            all.push(a);
        }
        all
    }

    pub fn ask(&mut self, n: usize, id: &str, r: Request) {
        self.next += 1;
        let told = self.told.get(id).copied().unwrap_or(ReportedStatus::Nothing);
        match &r {
            Request::Submit(_) => {
                self.submitted.insert(id.to_string());
                self.coverage.repeated += u64::from(told != ReportedStatus::Nothing);
            }
            Request::Cancel(_) => {
                self.cancel_asked.insert(id.to_string());
            }
            _ => {}
        }
        self.open.insert((n, self.next), (id.to_string(), told));
        self.feed(n, Input::Request(self.next, r));
    }

    pub fn violate(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    pub fn answered(&mut self, n: usize, id: RequestId, a: &HttpResponse) {
        if let (true, Some(m)) = (id >= machines::FIRST_WORKER_REQUEST, &mut self.machines) {
            return m.response_arrives(self.now, n, id, a);
        }
        let Some((job, then)) = self.open.remove(&(n, id)) else { return };
        self.statuses.entry(job.clone()).or_default().push(a.status);
        let said = match a.status {
            200 | 201 => {
                let v: JobView = protocol::decode(&a.body).unwrap();
                if v.status.is_final() {
                    ReportedStatus::Over(v.status)
                } else {
                    ReportedStatus::Accepted
                }
            }
            400 | 404 | 422 => ReportedStatus::Nothing,
            _ => return,
        };
        let known = self.told.get(&job).copied().unwrap_or(ReportedStatus::Nothing);
        let asked = self.chain(&job).iter().any(|j| self.cancel_asked.contains(j));
        let changed = matches!((known, said), (ReportedStatus::Over(x), ReportedStatus::Over(y)) if x != y);
        if !said.may_follow(then) || changed {
            self.violate(format!("{job}: {then:?} when asked, {known:?} now, said {said:?} ({})", a.status));
        }
        if said != ReportedStatus::Nothing && !self.submitted.contains(&job) {
            self.violate(format!("{job} was invented"));
        }
        if said == ReportedStatus::Over(JobStatus::Cancelled) && !asked {
            self.violate(format!("{job} was not cancelled"));
        }
        if said == ReportedStatus::Over(JobStatus::Done) && !self.is_done(&job) {
            self.violate(format!("{job} is not done"));
        }
        if said.rank() <= known.rank() {
            return;
        }
        self.told.insert(job.clone(), said);
        if said == ReportedStatus::Over(JobStatus::Cancelled) {
            self.coverage.cancelled += 1;
            self.coverage.lineage += u64::from(!self.cancel_asked.contains(&job));
        }
        self.coverage.done += u64::from(said == ReportedStatus::Over(JobStatus::Done));
        self.changed_jobs.push(job);
    }

    /// Whether a job's tasks all have results, as far as that is played.
    pub fn is_done(&self, id: &str) -> bool {
        let Some(m) = &self.machines else { return true };
        let [many, few] = oversized_records().map(|r| r.spec);
        // The first job was there from the beginning, one or the other.
        if id == "req-0" {
            return m.is_done(&many) || m.is_done(&few);
        }
        m.is_done(&self.spec(id))
    }

    /// At all nodes at once: questions, and repeated submissions or cancellations among them.
    pub fn query_all_nodes(&mut self, id: &str) {
        let cancels = self.rng.gen_bool(self.scenario.cancels);
        for n in 0..self.controllers.len() {
            self.coverage.close += 1;
            let r = match self.rng.gen_range(0..6) {
                0 => Request::Submit(protocol::encode(&self.spec(id))),
                1 => self.invalid_submission(id),
                2 if cancels => Request::Cancel(id.to_string()),
                _ => Request::QueryStatus(id.to_string()),
            };
            self.ask(n, id, r);
        }
    }

    /// A submission that no new job may be made of.
    pub fn invalid_submission(&mut self, id: &str) -> Request {
        self.coverage.odd += 1;
        let s = self.spec(id);
        let odd = match self.rng.gen_range(0..6) {
            0 => JobSpec { cores: f64::NAN, ..s },
            1 => JobSpec { tasks: 0, ..s },
            2 => JobSpec { team: "nobody".into(), ..s },
            3 => JobSpec { machine_types: Some(vec!["gone".into()]), ..s },
            4 => JobSpec { dependencies: vec![id.to_string()], ..s },
            _ => JobSpec { dependencies: vec!["req-77777".into()], ..s },
        };
        Request::Submit(protocol::encode(&odd))
    }

    /// Another leader's turn with job `id`: what it stores is conditional on what it knows, which
    /// is all that there is.
    pub fn lead(&mut self, id: &str) {
        let Some((Value::Job(j), version)) = self.stored_at(job_key(id)) else { return };
        let mark = self.stored_at(mark_key(id));
        let conditions =
            vec![holds(job_key(id), version), holds(mark_key(id), mark.as_ref().map_or(0, |m| m.1))];
        let before = j.dependencies().first().map(|a| self.status_of(a));
        let mut changes = Vec::new();
        if j.status.is_final() {
            let over =
                TerminalRecord { status: j.status, done: j.done, submitted_wall_s: j.submitted_wall_s };
            changes =
                vec![Mutation::Delete { key: job_key(id) }, put(terminal_job_key(id), Value::Terminal(over))];
            self.coverage.moved += 1;
        } else if mark.is_some() || before == Some(JobStatus::Cancelled) {
            // It may be stored late.
            if self.rng.gen_bool(0.7) {
                return;
            }
            let record = JobRecord { status: JobStatus::Cancelled, first_page: PageRecord::default(), ..*j };
            changes.push(put(job_key(id), Value::Job(Box::new(record))));
            changes.extend(mark.map(|_| Mutation::Delete { key: mark_key(id) }));
        } else if before.is_none_or(|s| s == JobStatus::Done) {
            let freed_at = before.map(|_| 1e9 + self.now);
            let record = self.advanced(JobRecord { ready_wall_s: freed_at, ..*j });
            changes.push(put(job_key(id), Value::Job(Box::new(record))));
        }
        if !changes.is_empty() {
            self.store.execute(
                self.now,
                &StoreRequest::Commit(Transaction { compares: conditions, mutations: changes }),
            );
        }
    }

    /// How a job is stored that another awaits.
    fn status_of(&mut self, id: &str) -> JobStatus {
        match self.stored(job_key(id)).or_else(|| self.stored(terminal_job_key(id))) {
            Some(Value::Job(j)) => j.status,
            Some(Value::Terminal(o)) => o.status,
            _ => JobStatus::Pending,
        }
    }

    /// A job's record when it runs, or is done.
    fn advanced(&mut self, record: JobRecord) -> JobRecord {
        match self.rng.gen_range(0..5) {
            0 => JobRecord { status: JobStatus::Done, done: 3, first_page: PageRecord::default(), ..record },
            running => self.padded(JobRecord { status: JobStatus::Running, running, ..record }),
        }
    }

    /// The same with a placement such that the record is small, too oversized_records to be written again, or
    /// just about so.
    pub fn padded(&mut self, mut record: JobRecord) -> JobRecord {
        match self.rng.gen_range(0..3) {
            0 => {}
            1 => pad(&mut record, NEXT_VALUE_BYTES + 500),
            _ => pad(&mut record, NEXT_VALUE_BYTES - 4 + self.rng.gen_range(0..8)),
        }
        record
    }

    /// Time passes for machines, and one of them sends a heartbeat, to the leader or to `node`.
    pub fn report(&mut self, n: usize) {
        let leader = (0..self.controllers.len()).max_by_key(|n| self.controllers[*n].token());
        let n = leader.filter(|_| self.rng.gen_bool(0.9)).unwrap_or(n);
        let Some(m) = &mut self.machines else { return };
        m.advance(self.now, &mut self.rng);
        if let Some((id, r)) = m.heartbeat(self.now, n, &mut self.rng) {
            self.feed(n, Input::Request(id, r));
        }
    }

    /// A request reaches the store, which may execute it and may reply.
    pub fn serve(&mut self) {
        let (n, start, call, op) = self.calls.remove(self.rng.gen_range(0..self.calls.len()));
        let faults = self.scenario.faults;
        let is_commit = matches!(&op, StoreRequest::Commit(t) if !t.mutations.is_empty());
        if let (StoreRequest::Commit(t), true) = (&op, is_commit) {
            let marked =
                |c: &Mutation<Value>| matches!(c, Mutation::Put { key, .. } if key.starts_with(MARK_PREFIX));
            self.coverage.marks += u64::from(t.mutations.iter().any(marked));
        }
        if faults && self.rng.gen_bool(0.06) {
            let reply = match self.rng.gen_range(0..3) {
                0 => StoreReply::Refused,
                1 if is_commit => {
                    self.coverage.late += 1;
                    self.overdue.push(op);
                    StoreReply::Unknown
                }
                _ => {
                    self.coverage.lost += 1;
                    self.store.execute(self.now, &op);
                    StoreReply::Unknown
                }
            };
            return self.replies.push((n, start, Input::Store(call, reply)));
        }
        if faults && matches!(op, StoreRequest::Watch { .. }) && self.rng.gen_bool(0.08) {
            self.coverage.gone += 1;
            return self.replies.push((n, start, Input::Store(call, StoreReply::Gone)));
        }
        let r = self.store.execute(self.now, &op).unwrap_or_else(|| self.store.no_events());
        self.replies.push((n, start, Input::Store(call, r)));
    }

    pub fn step(&mut self) {
        for id in std::mem::take(&mut self.changed_jobs) {
            if self.rng.gen_bool(0.4) {
                self.query_all_nodes(&id);
            }
        }
        self.now += self.rng.gen_range(0.0..0.05);
        let n = self.rng.gen_range(0..self.controllers.len());
        let id = format!("req-{}", self.rng.gen_range(0..self.scenario.ids));
        let faults = self.scenario.faults;
        match self.rng.gen_range(0..40) {
            0 | 1 => self.ask(n, &id, Request::Submit(protocol::encode(&self.spec(&id)))),
            2 if self.submitted.contains(&id) && self.rng.gen_bool(self.scenario.cancels) => {
                self.ask(n, &id, Request::Cancel(id.clone()));
            }
            3..=5 => self.ask(n, &id, Request::QueryStatus(id.clone())),
            6 if self.submitted.contains(&id) => {
                let r = self.invalid_submission(&id);
                self.ask(n, &id, r);
            }
            7 if faults && self.rng.gen_bool(0.1) => self.now += self.rng.gen_range(0.0..8.0),
            8 if faults && self.rng.gen_bool(0.2) => {
                // Back at once with nothing in memory.
                self.coverage.returns += 1;
                self.starts[n] += 1;
                self.open.retain(|(m, _), _| *m != n);
                self.controllers[n] = self.core(n);
                self.exchange_views();
            }
            9 if !self.overdue.is_empty() => {
                let op = self.overdue.remove(self.rng.gen_range(0..self.overdue.len()));
                self.store.execute(self.now, &op);
            }
            10..=12 if self.scenario.lead => self.report(n),
            10..=12 => self.lead(&id),
            13 => self.exchange_views(),
            14..=24 if !self.calls.is_empty() => self.serve(),
            25..=36 if !self.replies.is_empty() => {
                let (n, start, reply) = self.replies.remove(self.rng.gen_range(0..self.replies.len()));
                if start == self.starts[n] {
                    self.feed(n, reply);
                }
            }
            _ => self.feed(n, Input::Tick),
        }
    }
}

/// Whether `op` is a leader's write of job `id`.
pub fn writes(op: &StoreRequest, id: &str) -> bool {
    let StoreRequest::Commit(t) = op else { return false };
    let led = t.compares.iter().any(|c| c.key == LEADER_KEY);
    led && t.compares.iter().any(|c| c.key == job_key(id))
}

impl Cluster {
    /// Carries all out at once for `duration_s` seconds, but for what is held.
    pub fn settle(&mut self, duration_s: f64, held: impl Fn(&StoreRequest) -> bool) {
        let end = self.now + duration_s;
        while self.now < end {
            self.now += 0.02;
            let (held, due): (Vec<_>, _) =
                std::mem::take(&mut self.calls).into_iter().partition(|c| held(&c.3));
            self.calls = held;
            for (n, _, call, op) in due {
                let r = self.store.execute(self.now, &op).unwrap_or_else(|| self.store.no_events());
                self.feed(n, Input::Store(call, r));
            }
            (0..self.controllers.len()).for_each(|n| self.feed(n, Input::Tick));
        }
    }

    /// The node that leads and has read all records.
    pub fn leader(&self) -> Option<usize> {
        self.controllers.iter().position(Controller::has_recovered)
    }

    pub fn stored(&mut self, key: String) -> Option<Value> {
        self.stored_at(key).map(|i| i.0)
    }

    /// The same with its version.
    fn stored_at(&mut self, key: String) -> Option<(Value, u64)> {
        match self.store.execute(self.now, &StoreRequest::Get(key)) {
            Some(StoreReply::Item(i)) => Some((i.value, i.version)),
            _ => None,
        }
    }
}

/// Jobs of an earlier version, too oversized_records to be written again under the limits to come: for the
/// places of many tasks, or for what they ask for.
pub fn oversized_records() -> [JobRecord; 2] {
    let small = JobSpec { cores: 0.1, accelerators: 0.0, memory_gb: 0.1, ..spec("req-0") };
    let names = (0..60).map(|n| format!("{}{n}", "type-with-a-long-name-".repeat(4)));
    let types = Some(names.chain(["big".to_string()]).collect());
    let many = JobRecord::new(JobSpec { tasks: 100, ..small.clone() }, 1e9, 63 * 1024);
    let long = JobRecord::new(JobSpec { machine_types: types, ..small }, 1e9, NEXT_VALUE_BYTES);
    [many, long].map(|mut r| {
        let place = |task| StoredPlacement { task, attempt: 1, machine: "vm-000001".into() };
        r.first_page.placements = (0..r.spec.tasks).map(place).collect();
        r
    })
}
