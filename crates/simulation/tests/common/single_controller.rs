//! One controller whose workers are played by the test: every heartbeat, duplicate, response and
//! direct command passes through its hands. The store and the cloud answer at once.

#![allow(dead_code)]

use anisecroft_simulation::state::Store;
use controller::*;
use protocol::cloud::*;
use protocol::job::*;
use protocol::worker::*;
use settings::Operator;
use std::collections::BTreeMap;

pub struct SingleController {
    pub controller: Controller,
    pub store: Store,
    pub now: f64,
    /// Machines that the cloud lists.
    pub listed_machines: Vec<String>,
    pub cloud_down: bool,
    /// The records are not read while this holds.
    pub lists_refused: bool,
    /// Writes are on their way while this holds.
    pub writes_unanswered: bool,
    /// Reads of single keys that are served yet, if not all.
    pub remaining_reads: Option<u32>,
    pub responses: BTreeMap<RequestId, HttpResponse>,
    /// Direct commands, with when and to which address.
    pub direct_commands: Vec<(f64, CallId, String, DirectCommands)>,
    watches: Vec<(f64, CallId, StoreRequest)>,
    last_request: RequestId,
}

/// A worker as the test holds it.
#[derive(Debug, Clone)]
pub struct ManualWorker {
    pub heartbeat: Heartbeat,
}

impl ManualWorker {
    pub fn new(machine: &str) -> Self {
        let heartbeat = Heartbeat {
            machine: machine.into(),
            addr: addr_of(machine),
            machine_type: "big".into(),
            zone: "a".into(),
            spot: false,
            epoch: 1,
            sequence: 0,
            fencing_token: 0,
            notice_s: None,
            tasks: Vec::new(),
        };
        ManualWorker { heartbeat }
    }

    /// Its next heartbeat, also as the reply to a direct command.
    pub fn next_heartbeat(&mut self) -> Heartbeat {
        self.heartbeat.sequence += 1;
        self.heartbeat.clone()
    }

    /// Executes the commands of a response; launched tasks run at once.
    pub fn apply_response(&mut self, answer: &HeartbeatResponse) {
        self.heartbeat.fencing_token = self.heartbeat.fencing_token.max(answer.fencing_token);
        self.execute_commands(&answer.commands);
    }

    pub fn execute_commands(&mut self, commands: &[Command]) {
        for c in commands {
            let tasks = &mut self.heartbeat.tasks;
            let known = tasks.iter_mut().find(|t| t.task == c.task && t.attempt == c.attempt);
            match (c.kind, known) {
                (CommandKind::Start, None) => tasks.push(TaskStatus {
                    task: c.task.clone(),
                    attempt: c.attempt,
                    state: TaskState::Running,
                    exit_cause: None,
                    checkpointed: None,
                }),
                (CommandKind::Stop, Some(t)) if t.state != TaskState::Exited => {
                    (t.state, t.exit_cause) = (TaskState::Exited, Some(ExitCause::Stopped));
                }
                (CommandKind::Forget, Some(_)) => tasks.retain(|t| t.task != c.task),
                _ => {}
            }
        }
    }

    /// Whether `job` has a task there that has not exited.
    pub fn has_live_task(&self, job: &str) -> bool {
        let live = self.heartbeat.tasks.iter().filter(|t| t.state != TaskState::Exited);
        live.filter_map(|t| split_task(&t.task)).any(|(id, _)| id == job)
    }
}

pub fn addr_of(machine: &str) -> String {
    format!("{machine}:9000")
}

/// What of `commands` is to stop a task of `job`.
pub fn stop_commands<'a>(commands: &'a [Command], job: &'a str) -> impl Iterator<Item = &'a Command> {
    let of = move |c: &&Command| {
        c.kind == CommandKind::Stop && split_task(&c.task).is_some_and(|(id, _)| id == job)
    };
    commands.iter().filter(of)
}

/// Whether `commands` launch a task of `job`.
pub fn launches(commands: &[Command], job: &str) -> bool {
    let starts = commands.iter().filter(|c| c.kind == CommandKind::Start);
    starts.filter_map(|c| split_task(&c.task)).any(|(id, _)| id == job)
}

impl SingleController {
    /// It leads and has read what `store` holds; the cloud lists `listed`.
    pub fn leading(store: Store, listed: &[&str], now: f64) -> Self {
        let mut driver = SingleController::starting(store, listed, now);
        driver.run_until(20.0, |driver| driver.controller.has_recovered());
        driver.run(1.0);
        driver
    }

    /// It has just been started.
    pub fn starting(store: Store, listed: &[&str], now: f64) -> Self {
        let listed = listed.iter().map(|m| (*m).to_string()).collect();
        SingleController::node("n-0", store, listed, now)
    }

    fn node(name: &str, store: Store, listed_machines: Vec<String>, now: f64) -> Self {
        let mut s = super::common::settings();
        s.node = name.into();
        s.peers.clear();
        SingleController {
            // No idle machine is scaled in.
            controller: Controller::new(s, Operator { idle_hold: 1000.0, ..Operator::default() }, 1),
            store,
            now,
            listed_machines,
            cloud_down: false,
            lists_refused: false,
            writes_unanswered: false,
            remaining_reads: None,
            responses: BTreeMap::new(),
            direct_commands: Vec::new(),
            watches: Vec::new(),
            last_request: 0,
        }
    }

    /// Another node, on what is stored, as this one ends.
    pub fn successor(self) -> Self {
        SingleController::node("n-9", self.store, self.listed_machines, self.now)
    }

    /// The next leader begins after this one, whose lease has ended.
    pub fn next_leader(mut self) -> Self {
        let listed = self.listed_machines.clone();
        self.now += 30.0;
        self.store.expire_leases(self.now);
        let listed: Vec<&str> = listed.iter().map(String::as_str).collect();
        SingleController::leading(self.store, &listed, self.now)
    }

    fn machine_list(&self) -> MachineList {
        let machine = |id: &String| ListedMachine {
            id: id.clone(),
            addr: Some(addr_of(id)),
            machine_type: "big".into(),
            zone: "a".into(),
            spot: false,
            state: MachineState::Running,
            age_s: 500.0,
        };
        MachineList { machines: self.listed_machines.iter().map(machine).collect(), more: false }
    }

    fn cloud_reply(&mut self, op: &CloudRequest) -> CloudReply {
        if self.cloud_down {
            return CloudReply::Refused;
        }
        match op {
            CloudRequest::Types => CloudReply::Types(MachineTypes { types: super::common::machine_types() }),
            CloudRequest::List { .. } => CloudReply::List(self.machine_list()),
            CloudRequest::Rent(_) => CloudReply::NoCapacity,
            CloudRequest::Delete(names) => {
                self.listed_machines.retain(|m| !names.contains(m));
                CloudReply::Done
            }
        }
    }

    pub fn feed(&mut self, input: Input) {
        for o in self.controller.handle(self.now, 1e9 + self.now, input) {
            match o {
                Output::Response(id, answer) => {
                    self.responses.insert(id, answer);
                }
                Output::Worker(call, addr, body) => self.direct_commands.push((self.now, call, addr, body)),
                Output::Cloud(call, op) => {
                    let reply = self.cloud_reply(&op);
                    self.feed(Input::Cloud(call, reply));
                }
                Output::Store(call, op) => self.handle_store_request(call, op),
                Output::Forward(..) | Output::ForwardReply(..) => {}
            }
        }
    }

    fn handle_store_request(&mut self, call: CallId, op: StoreRequest) {
        if self.lists_refused && matches!(op, StoreRequest::List { .. }) {
            return self.feed(Input::Store(call, StoreReply::Refused));
        }
        if self.writes_unanswered && matches!(op, StoreRequest::Commit(_)) {
            return;
        }
        if matches!(op, StoreRequest::Get(_)) {
            match &mut self.remaining_reads {
                Some(0) => return self.feed(Input::Store(call, StoreReply::Refused)),
                left => *left = left.map(|n| n - 1),
            }
        }
        match (self.store.execute(self.now, &op), &op) {
            (Some(reply), _) => self.feed(Input::Store(call, reply)),
            (None, StoreRequest::Watch { wait_ms, .. }) => {
                self.watches.push((self.now + *wait_ms as f64 / 1000.0, call, op));
            }
            (None, _) => {}
        }
    }

    pub fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        self.run_until(seconds, |driver| driver.now >= end - 1e-9);
    }

    /// Until `done` holds, at most for so long. Whether it does.
    pub fn run_until(&mut self, seconds: f64, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + seconds;
        while self.now < end && !done(self) {
            self.now += 0.05;
            self.store.expire_leases(self.now);
            for (until, call, op) in std::mem::take(&mut self.watches) {
                let quiet = (self.now >= until).then(|| self.store.no_events());
                match self.store.execute(self.now, &op).or(quiet) {
                    Some(reply) => self.feed(Input::Store(call, reply)),
                    None => self.watches.push((until, call, op)),
                }
            }
            self.feed(Input::Tick);
        }
        done(self)
    }

    pub fn send_request(&mut self, request: Request) -> RequestId {
        self.last_request += 1;
        self.feed(Input::Request(self.last_request, request));
        self.last_request
    }

    /// Sends a request, and waits for the status of the response.
    pub fn response_status(&mut self, request: Request) -> u16 {
        let id = self.send_request(request);
        self.run_until(6.0, |driver| driver.responses.contains_key(&id));
        self.responses.get(&id).map_or(0, |a| a.status)
    }

    pub fn submit(&mut self, spec: &JobSpec) {
        assert_eq!(self.response_status(Request::Submit(protocol::encode(spec))), 201);
    }

    pub fn cancel(&mut self, job: &str) {
        assert_eq!(self.response_status(Request::Cancel(job.into())), 200);
    }

    pub fn send_heartbeat(&mut self, report: &Heartbeat) -> RequestId {
        self.send_request(Request::Heartbeat(protocol::encode(report)))
    }

    /// The response with which a heartbeat was accepted by now.
    pub fn accepted_response(&self, id: RequestId) -> Option<HeartbeatResponse> {
        let answer = self.responses.get(&id).filter(|a| a.status == 200)?;
        protocol::decode(&answer.body).ok()
    }

    /// `worker` sends a heartbeat, waits and executes the commands, which are returned.
    pub fn exchange_heartbeat(&mut self, worker: &mut ManualWorker) -> Vec<Command> {
        let id = self.send_heartbeat(&worker.next_heartbeat());
        self.run_until(4.0, |driver| driver.responses.contains_key(&id));
        let Some(answer) = self.accepted_response(id) else { return Vec::new() };
        worker.apply_response(&answer);
        answer.commands
    }

    /// `worker` has what it is to run, and the leader knows.
    pub fn run_until_launched(&mut self, worker: &mut ManualWorker, jobs: &[&str]) {
        for _ in 0..12 {
            self.exchange_heartbeat(worker);
            self.run(0.5);
        }
        assert!(
            jobs.iter().all(|j| worker.has_live_task(j)),
            "{jobs:?} not launched: {:?}",
            worker.heartbeat.tasks
        );
        self.direct_commands.clear();
    }

    /// Direct commands to `worker` so far.
    pub fn direct_commands_to(&self, worker: &ManualWorker) -> Vec<(f64, CallId, DirectCommands)> {
        let to = self.direct_commands.iter().filter(|d| d.2 == worker.heartbeat.addr);
        to.map(|d| (d.0, d.1, d.3.clone())).collect()
    }

    /// `worker` executes a direct command and replies.
    pub fn execute_direct_commands(
        &mut self,
        worker: &mut ManualWorker,
        call: CallId,
        body: &DirectCommands,
    ) {
        let executed =
            body.fencing_token >= worker.heartbeat.fencing_token && body.epoch == worker.heartbeat.epoch;
        worker.heartbeat.fencing_token = worker.heartbeat.fencing_token.max(body.fencing_token);
        if executed {
            worker.execute_commands(&body.commands);
        }
        let report = Box::new(worker.next_heartbeat());
        self.feed(Input::Worker(call, WorkerReply::Heartbeat { executed, report }));
    }
}
