//! One controller with a store whose replies the test can drop, delay or hold back.

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

/// Time after which a store call without a reply has an unknown outcome.
pub const TIMEOUT_S: f64 = 1.5;
/// Network delay in one direction.
const ONE_WAY_DELAY_S: f64 = 0.005;

/// What happens to a store call and to its reply.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum CallOutcome {
    Answered,
    /// Executed, but the reply is lost.
    ReplyLost,
    /// Executed after this many seconds, without a reply.
    Delayed(f64),
    /// Executed; the reply waits until the test releases it.
    ReplyHeld,
    /// Not executed; the caller learns so.
    Refused,
}

pub struct StoreHarness {
    pub controller: Controller,
    pub store: Store,
    pub now: f64,
    /// Decides the outcome of each call.
    pub call_outcome: Box<dyn FnMut(&StoreRequest) -> CallOutcome>,
    /// Items that are stored just before the first list of this prefix, as if by another controller.
    pub before_list: Option<(&'static str, Vec<(String, Value)>)>,
    /// All transactions, with the time at which each was sent.
    pub sent_transactions: Vec<(f64, Transaction<Value>)>,
    pub responses: BTreeMap<RequestId, (f64, HttpResponse)>,
    /// Keys of all single reads.
    read_keys: Vec<String>,
    replies: Vec<(f64, Input)>,
    delayed: Vec<(f64, StoreRequest)>,
    watches: Vec<(f64, CallId, StoreRequest)>,
    pub held_replies: Vec<Input>,
    sequence: u64,
    last_request: RequestId,
}

pub fn task(id: &str, number: u32, state: TaskState) -> TaskStatus {
    let cause = (state == TaskState::Exited).then_some(ExitCause::Done);
    // The attempt numbers of an array whose tasks are placed in order.
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
        StoreHarness::with_items(example_settings(), [(FORMAT_KEY.to_string(), Value::Format(FORMAT))])
    }

    pub fn with_items(settings: Settings, items: impl IntoIterator<Item = (String, Value)>) -> Self {
        StoreHarness {
            controller: Controller::new(settings, Operator::default(), 1),
            store: Store::with_items(items),
            before_list: None,
            now: 0.0,
            call_outcome: Box::new(|_| CallOutcome::Answered),
            sent_transactions: vec![],
            responses: BTreeMap::new(),
            read_keys: vec![],
            replies: vec![],
            delayed: vec![],
            watches: vec![],
            held_replies: vec![],
            sequence: 0,
            last_request: 0,
        }
    }

    /// A harness whose controller leads and has recovered.
    pub fn leading() -> Self {
        let mut harness = StoreHarness::new();
        harness.run(1.0);
        assert!(harness.controller.has_recovered());
        harness
    }

    pub fn feed(&mut self, input: Input) {
        for o in self.controller.handle(self.now, 1e9 + self.now, input) {
            match o {
                Output::Response(id, response) => {
                    self.responses.insert(id, (self.now, response));
                }
                Output::Store(call, op) => self.call_store(call, op),
                Output::Cloud(call, op) => {
                    self.replies.push((self.now + 0.1, Input::Cloud(call, cloud_reply(&op))));
                }
                Output::Worker(call, ..) => {
                    self.replies.push((self.now + ONE_WAY_DELAY_S, Input::Worker(call, WorkerReply::Failed)));
                }
                _ => {}
            }
        }
    }

    fn call_store(&mut self, call: CallId, op: StoreRequest) {
        if let StoreRequest::Commit(txn) = &op {
            self.sent_transactions.push((self.now, txn.clone()));
        }
        if let StoreRequest::Get(key) = &op {
            self.read_keys.push(key.clone());
        }
        let unknown = (self.now + TIMEOUT_S, Input::Store(call, StoreReply::Unknown));
        let outcome = (self.call_outcome)(&op);
        if outcome == CallOutcome::Refused {
            return self.replies.push((self.now + ONE_WAY_DELAY_S, Input::Store(call, StoreReply::Refused)));
        }
        if let CallOutcome::Delayed(delay_s) = outcome {
            self.delayed.push((self.now + delay_s, op));
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
        match (reply, outcome) {
            (Some(r), CallOutcome::Answered) => {
                self.replies.push((self.now + 2.0 * ONE_WAY_DELAY_S, Input::Store(call, r)));
            }
            (Some(r), CallOutcome::ReplyHeld) => self.held_replies.push(Input::Store(call, r)),
            (Some(_), _) => self.replies.push(unknown),
            (None, _) => {
                let StoreRequest::Watch { wait_ms, .. } = &op else { return };
                self.watches.push((self.now + *wait_ms as f64 / 1000.0, call, op));
            }
        }
    }

    /// Delivers the oldest held reply; returns false if there is none.
    pub fn release(&mut self) -> bool {
        let any_held = !self.held_replies.is_empty();
        if any_held {
            let input = self.held_replies.remove(0);
            self.feed(input);
        }
        any_held
    }

    /// Both peers announce the record format of this version.
    pub fn peers_announce_current_format(&mut self) {
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
                Some(r) if (self.call_outcome)(&op) == CallOutcome::ReplyHeld => {
                    self.held_replies.push(Input::Store(call, r));
                }
                Some(r) => self.replies.push((self.now + ONE_WAY_DELAY_S, Input::Store(call, r))),
                None => self.watches.push((until, call, op)),
            }
        }
    }

    pub fn run(&mut self, duration_s: f64) {
        let end = self.now + duration_s;
        while self.now < end {
            self.now += ONE_WAY_DELAY_S;
            let now = self.now;
            self.store.expire_leases(now);
            let (due, rest): (Vec<_>, _) =
                std::mem::take(&mut self.delayed).into_iter().partition(|call| call.0 <= now);
            self.delayed = rest;
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
            // The controller ticks every 50 ms.
            if (now / ONE_WAY_DELAY_S).round() as u64 % 10 == 0 {
                self.feed(Input::Tick);
            }
        }
    }

    pub fn send_request(&mut self, request: Request) -> RequestId {
        self.last_request += 1;
        let id = self.last_request;
        self.feed(Input::Request(id, request));
        id
    }

    pub fn submit(&mut self, spec: &JobSpec) -> RequestId {
        self.send_request(Request::Submit(protocol::encode(spec)))
    }

    /// Sends a heartbeat of the machine with these tasks, without waiting for the response.
    pub fn send_heartbeat(&mut self, tasks: &[TaskStatus]) -> RequestId {
        self.sequence += 1;
        let heartbeat = Heartbeat {
            machine: "vm-1".into(),
            addr: "10.1.0.1:9000".into(),
            machine_type: "big".into(),
            zone: "a".into(),
            spot: false,
            epoch: 1,
            sequence: self.sequence,
            fencing_token: self.controller.token().unwrap_or(0),
            notice_s: None,
            tasks: tasks.to_vec(),
        };
        self.send_request(Request::Heartbeat(protocol::encode(&heartbeat)))
    }

    /// The tasks that the response to a heartbeat starts.
    pub fn started_tasks(&self, request: RequestId) -> Vec<String> {
        let response = self.responses.get(&request).filter(|r| r.1.status == 200);
        let commands = response.map(|r| protocol::decode::<HeartbeatResponse>(&r.1.body).unwrap().commands);
        let starts = commands.into_iter().flatten().filter(|c| c.kind == CommandKind::Start);
        starts.map(|c| c.task).collect()
    }

    /// Time, status code and job status of the response to a client request.
    pub fn client_response(&self, request: RequestId) -> Option<(f64, u16, Option<JobStatus>)> {
        let (at, response) = self.responses.get(&request)?;
        Some((*at, response.status, protocol::decode::<JobView>(&response.body).ok().map(|v| v.status)))
    }

    /// Number of single reads of keys with this prefix.
    pub fn read_count(&self, prefix: &str) -> usize {
        self.read_keys.iter().filter(|k| k.starts_with(prefix)).count()
    }

    /// Number of transactions sent after `since` that change a key with this prefix.
    pub fn write_count(&self, since: f64, prefix: &str) -> usize {
        let changes_prefix =
            |t: &Transaction<Value>| t.mutations.iter().any(|m| mutation_key(m).starts_with(prefix));
        self.sent_transactions.iter().filter(|(sent_at, t)| *sent_at > since && changes_prefix(t)).count()
    }
}

pub fn mutation_key(mutation: &Mutation<Value>) -> &str {
    match mutation {
        Mutation::Put { key, .. } | Mutation::Delete { key } => key,
    }
}

/// Whether `op` changes a key with this prefix.
pub fn writes_prefix(op: &StoreRequest, prefix: &str) -> bool {
    matches!(op, StoreRequest::Commit(t) if t.mutations.iter().any(|m| mutation_key(m).starts_with(prefix)))
}

fn cloud_reply(op: &CloudRequest) -> CloudReply {
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
