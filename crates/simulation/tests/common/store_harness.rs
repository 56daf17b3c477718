//! One controller before a store whose replies a test loses, delays or holds back.

use crate::common::{example_settings, single_zone_type};
use anisecroft_simulation::state::Store;
use controller::records::{Value, FORMAT, FORMAT_KEY};
use controller::*;
use protocol::cloud::*;
use protocol::job::*;
use protocol::state::{Mutation, Transaction};
use protocol::worker::*;
use settings::{Operator, Settings};
use std::collections::BTreeMap;

/// How long the driver waits for an answer.
pub const TIMEOUT_S: f64 = 1.5;
const WAY_S: f64 = 0.005;

/// What becomes of a call.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum JobOutcome {
    Answered,
    /// Carried out, without an answer.
    Lost,
    /// The same, but not before that time.
    Late(f64),
    /// Its answer waits until the test wants it.
    Held,
    Refused,
}

pub struct StoreHarness {
    pub controller: Controller,
    pub store: Store,
    pub now: f64,
    /// What becomes of calls from now on.
    pub fate: Box<dyn FnMut(&StoreRequest) -> JobOutcome>,
    /// Before keys with that beginning are listed first, somebody else stores these.
    pub before_list: Option<(&'static str, Vec<(String, Value)>)>,
    /// All transactions, with when they were sent.
    pub sent: Vec<(f64, Transaction<Value>)>,
    pub answers: BTreeMap<RequestId, (f64, HttpResponse)>,
    /// Keys that were read.
    gets: Vec<String>,
    replies: Vec<(f64, Input)>,
    late: Vec<(f64, StoreRequest)>,
    watches: Vec<(f64, CallId, StoreRequest)>,
    pub held: Vec<Input>,
    seq: u64,
    next: RequestId,
}

pub fn task(id: &str, number: u32, state: TaskState) -> TaskStatus {
    let cause = (state == TaskState::Exited).then_some(ExitCause::Done);
    // An array that is placed in order has these attempts.
    TaskStatus {
        task: task_name(id, number),
        attempt: u64::from(number) + 1,
        state,
        exit_cause: cause,
        checkpointed: None,
    }
}

impl StoreHarness {
    pub fn new() -> Self {
        StoreHarness::with(example_settings(), [(FORMAT_KEY.to_string(), Value::Format(FORMAT))])
    }

    /// With `items` in the store.
    pub fn with(settings: Settings, items: impl IntoIterator<Item = (String, Value)>) -> Self {
        StoreHarness {
            controller: Controller::new(settings, Operator::default(), 1),
            store: Store::with_items(items),
            before_list: None,
            now: 0.0,
            fate: Box::new(|_| JobOutcome::Answered),
            sent: vec![],
            answers: BTreeMap::new(),
            gets: vec![],
            replies: vec![],
            late: vec![],
            watches: vec![],
            held: vec![],
            seq: 0,
            next: 0,
        }
    }

    /// One that leads.
    pub fn leading() -> Self {
        let mut s = StoreHarness::new();
        s.run(1.0);
        assert!(s.controller.has_recovered());
        s
    }

    pub fn feed(&mut self, input: Input) {
        for o in self.controller.handle(self.now, 1e9 + self.now, input) {
            match o {
                Output::Response(id, a) => {
                    self.answers.insert(id, (self.now, a));
                }
                Output::Store(call, op) => self.call(call, op),
                Output::Cloud(call, op) => {
                    self.replies.push((self.now + 0.1, Input::Cloud(call, cloud(&op))));
                }
                Output::Worker(call, ..) => {
                    self.replies.push((self.now + WAY_S, Input::Worker(call, WorkerReply::Failed)));
                }
                _ => {}
            }
        }
    }

    fn call(&mut self, call: CallId, op: StoreRequest) {
        if let StoreRequest::Commit(txn) = &op {
            self.sent.push((self.now, txn.clone()));
        }
        if let StoreRequest::Get(key) = &op {
            self.gets.push(key.clone());
        }
        let unknown = (self.now + TIMEOUT_S, Input::Store(call, StoreReply::Unknown));
        let fate = (self.fate)(&op);
        if fate == JobOutcome::Refused {
            return self.replies.push((self.now + WAY_S, Input::Store(call, StoreReply::Refused)));
        }
        if let JobOutcome::Late(at) = fate {
            self.late.push((self.now + at, op));
            return self.replies.push(unknown);
        }
        if let StoreRequest::List { prefix, .. } = &op {
            if let Some((_, items)) = self.before_list.take_if(|b| b.0 == prefix) {
                let put = |(key, value)| Mutation::Put { key, value, lease: None };
                let changes = items.into_iter().map(put).collect();
                self.store.execute(
                    self.now,
                    &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes }),
                );
            }
        }
        let reply = self.store.execute(self.now, &op);
        match (reply, fate) {
            (Some(r), JobOutcome::Answered) => {
                self.replies.push((self.now + 2.0 * WAY_S, Input::Store(call, r)));
            }
            (Some(r), JobOutcome::Held) => self.held.push(Input::Store(call, r)),
            (Some(_), _) => self.replies.push(unknown),
            (None, _) => {
                let StoreRequest::Watch { wait_ms, .. } = &op else { return };
                self.watches.push((self.now + *wait_ms as f64 / 1000.0, call, op));
            }
        }
    }

    /// Delivers the reply that has been held longest; false if there is none.
    pub fn release(&mut self) -> bool {
        let held = !self.held.is_empty();
        if held {
            let input = self.held.remove(0);
            self.feed(input);
        }
        held
    }

    /// All other controllers announce this version.
    pub fn all_have_this_version(&mut self) {
        for node in ["chiefs-1", "chiefs-2"] {
            let view =
                protocol::peer::View { node: node.into(), token: 0, ..self.controller.view_for_peers() };
            self.feed(Input::PeerView(view));
        }
    }

    fn wake_watches(&mut self) {
        for (until, call, op) in std::mem::take(&mut self.watches) {
            let r = self.store.execute(self.now, &op);
            match r.or_else(|| (self.now >= until).then(|| self.store.no_events())) {
                Some(r) if (self.fate)(&op) == JobOutcome::Held => self.held.push(Input::Store(call, r)),
                Some(r) => self.replies.push((self.now + WAY_S, Input::Store(call, r))),
                None => self.watches.push((until, call, op)),
            }
        }
    }

    pub fn run(&mut self, duration_s: f64) {
        let end = self.now + duration_s;
        while self.now < end {
            self.now += WAY_S;
            let now = self.now;
            self.store.expire_leases(now);
            let (due, rest): (Vec<_>, _) =
                std::mem::take(&mut self.late).into_iter().partition(|l| l.0 <= now);
            self.late = rest;
            for (_, op) in due {
                self.store.execute(now, &op);
            }
            self.wake_watches();
            let (due, rest): (Vec<_>, _) =
                std::mem::take(&mut self.replies).into_iter().partition(|r| r.0 <= now);
            self.replies = rest;
            for (_, input) in due {
                self.feed(input);
            }
            // As a driver that ticks every 50 ms.
            if (now / WAY_S).round() as u64 % 10 == 0 {
                self.feed(Input::Tick);
            }
        }
    }

    pub fn ask(&mut self, r: Request) -> RequestId {
        self.next += 1;
        let id = self.next;
        self.feed(Input::Request(id, r));
        id
    }

    pub fn submit(&mut self, spec: &JobSpec) -> RequestId {
        self.ask(Request::Submit(protocol::encode(spec)))
    }

    /// The machine sends a heartbeat with these tasks. Its response may come later.
    pub fn report(&mut self, tasks: &[TaskStatus]) -> RequestId {
        self.seq += 1;
        let report = Heartbeat {
            machine: "vm-1".into(),
            addr: "10.1.0.1:9000".into(),
            machine_type: "big".into(),
            zone: "a".into(),
            spot: false,
            epoch: 1,
            sequence: self.seq,
            fencing_token: self.controller.token().unwrap_or(0),
            notice_s: None,
            tasks: tasks.to_vec(),
        };
        self.ask(Request::Heartbeat(protocol::encode(&report)))
    }

    /// The tasks that the response to a heartbeat starts.
    pub fn started(&self, request: RequestId) -> Vec<String> {
        let answer = self.answers.get(&request).filter(|a| a.1.status == 200);
        let commands = answer.map(|a| protocol::decode::<HeartbeatResponse>(&a.1.body).unwrap().commands);
        let starts = commands.into_iter().flatten().filter(|c| c.kind == CommandKind::Start);
        starts.map(|c| c.task).collect()
    }

    /// Status code and job status that a user was told, and when.
    pub fn told(&self, request: RequestId) -> Option<(f64, u16, Option<JobStatus>)> {
        let (at, a) = self.answers.get(&request)?;
        Some((*at, a.status, protocol::decode::<JobView>(&a.body).ok().map(|v| v.status)))
    }

    /// Reads of keys with that beginning.
    pub fn reads(&self, prefix: &str) -> usize {
        self.gets.iter().filter(|k| k.starts_with(prefix)).count()
    }

    /// Transactions since `at` that change a key with that beginning.
    pub fn writes(&self, at: f64, prefix: &str) -> usize {
        let touches = |t: &Transaction<Value>| t.mutations.iter().any(|c| changed(c).starts_with(prefix));
        self.sent.iter().filter(|(sent, t)| *sent > at && touches(t)).count()
    }
}

/// The key that a change is of.
pub fn changed(c: &Mutation<Value>) -> &str {
    match c {
        Mutation::Put { key, .. } | Mutation::Delete { key } => key,
    }
}

/// Whether `op` changes a key with that beginning.
pub fn writes(op: &StoreRequest, prefix: &str) -> bool {
    matches!(op, StoreRequest::Commit(t) if t.mutations.iter().any(|c| changed(c).starts_with(prefix)))
}

fn cloud(op: &CloudRequest) -> CloudReply {
    match op {
        CloudRequest::Types => CloudReply::Types(MachineTypes { types: vec![single_zone_type()] }),
        CloudRequest::List { .. } => CloudReply::List(MachineList {
            machines: vec![ListedMachine {
                id: "vm-1".into(),
                addr: Some("10.1.0.1:9000".into()),
                machine_type: "big".into(),
                zone: "a".into(),
                spot: false,
                state: MachineState::Running,
                age_s: 1.0,
            }],
            more: false,
        }),
        CloudRequest::Rent(_) => CloudReply::NoCapacity,
        CloudRequest::Delete(_) => CloudReply::Done,
    }
}
