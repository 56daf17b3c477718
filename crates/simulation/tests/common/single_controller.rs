//! One controller whose workers the test simulates by hand: it sends every heartbeat and duplicate,
//! and delivers every response and direct command. The store and the cloud reply at once.

#![allow(dead_code)]

use anisecroft_simulation::state::Store;
use controller::*;
use protocol::cloud::*;
use protocol::job::*;
use protocol::worker::*;
use settings::{Operator, Peer, Settings};
use std::collections::BTreeMap;

pub struct SingleController {
    pub controller: Controller,
    pub store: Store,
    pub now: f64,
    /// Machines that the cloud lists.
    pub listed_machines: Vec<String>,
    pub cloud_down: bool,
    /// While set, the cloud's lists are out of order.
    pub reordered_lists: Option<ReorderedLists>,
    /// Number of machines in each list that the cloud has returned.
    pub list_lengths: Vec<usize>,
    /// Age that the cloud's list states for every machine.
    pub listed_age_s: f64,
    /// Machines that the cloud rents out next, all at once.
    pub rentable_machines: Vec<String>,
    /// While set, rentals are executed but get no reply.
    pub rental_replies_lost: bool,
    /// Deletions that the cloud has executed.
    pub deleted_machines: Vec<String>,
    /// Machines rented by each request.
    rentals: BTreeMap<String, Vec<String>>,
    /// View of another controller that is a peer, received all the time.
    pub peer: Option<protocol::peer::View>,
    /// While set, the store refuses all requests, and watches stay open.
    pub store_down: bool,
    /// State in which the cloud lists the machines.
    pub listed_state: MachineState,
    /// While set, the store refuses to list keys, so that no records are read.
    pub lists_refused: bool,
    /// While set, writes are not executed and get no reply.
    pub writes_unanswered: bool,
    /// Number of single-key reads that still succeed; `None` for no limit.
    pub remaining_reads: Option<u32>,
    pub responses: BTreeMap<RequestId, HttpResponse>,
    /// Direct commands: when each was sent, its call, the worker's address and the content.
    pub direct_commands: Vec<(f64, CallId, String, DirectCommands)>,
    watches: Vec<(f64, CallId, StoreRequest)>,
    last_request: RequestId,
}

/// Times between which one list shows the machines and later ones hide them again.
pub struct ReorderedLists {
    /// Time from which the most recent list shows the machines.
    pub shown_at: f64,
    /// Time until which the oldest list hides them.
    pub hidden_until: f64,
}

impl ReorderedLists {
    fn show_machines(&self, driver: &SingleController) -> bool {
        let were_shown = driver.list_lengths.iter().any(|length| *length > 0);
        driver.now >= self.hidden_until || driver.now >= self.shown_at && !were_shown
    }
}

/// A worker that acts only when the test says so.
#[derive(Debug, Clone)]
pub struct ManualWorker {
    /// The last heartbeat sent, and the content of the next one.
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

    /// The next heartbeat of the worker, which is also its reply to a direct command.
    pub fn next_heartbeat(&mut self) -> Heartbeat {
        self.heartbeat.sequence += 1;
        self.heartbeat.clone()
    }

    /// Executes the commands of a response; launched tasks run at once.
    pub fn apply_response(&mut self, response: &HeartbeatResponse) {
        self.heartbeat.fencing_token = self.heartbeat.fencing_token.max(response.fencing_token);
        self.execute_commands(&response.commands);
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

    /// Whether `job` has a task on this worker that has not exited.
    pub fn has_live_task(&self, job: &str) -> bool {
        let live_tasks = self.heartbeat.tasks.iter().filter(|t| t.state != TaskState::Exited);
        live_tasks.filter_map(|t| split_task(&t.task)).any(|(id, _)| id == job)
    }
}

pub fn addr_of(machine: &str) -> String {
    format!("{machine}:9000")
}

/// The commands that stop a task of `job`.
pub fn stop_commands<'a>(commands: &'a [Command], job: &'a str) -> impl Iterator<Item = &'a Command> {
    let stops_job = move |c: &&Command| {
        c.kind == CommandKind::Stop && split_task(&c.task).is_some_and(|(id, _)| id == job)
    };
    commands.iter().filter(stops_job)
}

/// Whether `commands` launch a task of `job`.
pub fn launches(commands: &[Command], job: &str) -> bool {
    let starts = commands.iter().filter(|c| c.kind == CommandKind::Start);
    starts.filter_map(|c| split_task(&c.task)).any(|(id, _)| id == job)
}

fn single_node_settings(name: &str) -> Settings {
    let mut settings = super::common::settings();
    settings.node = name.into();
    settings.peers.clear();
    settings
}

/// The operator's settings, with which no idle machine is scaled in.
fn operator() -> Operator {
    Operator { idle_hold: 1000.0, ..Operator::default() }
}

impl SingleController {
    /// A controller that leads and has read the records in `store`; the cloud lists these machines.
    pub fn leading(store: Store, listed_machines: &[&str], now: f64) -> Self {
        let mut driver = SingleController::starting(store, listed_machines, now);
        driver.run_until(20.0, |driver| driver.controller.has_recovered());
        driver.run(1.0);
        driver
    }

    /// A controller that has just started.
    pub fn starting(store: Store, listed_machines: &[&str], now: f64) -> Self {
        let listed_machines = listed_machines.iter().map(|m| (*m).to_string()).collect();
        SingleController::node("n-0", store, listed_machines, now)
    }

    /// A controller that leads and has a peer to which no worker sends heartbeats.
    pub fn leading_with_peer(listed_machines: &[&str]) -> Self {
        let mut driver = SingleController::starting(Store::default(), listed_machines, 0.0);
        let mut settings = single_node_settings("n-0");
        let node = "n-1".to_string();
        let addr = settings.peer_addr;
        settings.peers = vec![Peer { node: node.clone(), zone: String::new(), addr }];
        driver.controller = Controller::new(settings, operator(), 1);
        let format = records::FORMAT;
        driver.peer = Some(protocol::peer::View { node, state_reached: true, format, ..Default::default() });
        driver.run_until(60.0, |driver| driver.controller.has_recovered());
        driver.run(1.0);
        driver
    }

    fn node(name: &str, store: Store, listed_machines: Vec<String>, now: f64) -> Self {
        let settings = single_node_settings(name);
        SingleController {
            controller: Controller::new(settings, operator(), 1),
            store,
            now,
            listed_machines,
            cloud_down: false,
            peer: None,
            store_down: false,
            listed_state: MachineState::Running,
            reordered_lists: None,
            list_lengths: Vec::new(),
            listed_age_s: 500.0,
            rentable_machines: Vec::new(),
            rental_replies_lost: false,
            deleted_machines: Vec::new(),
            rentals: BTreeMap::new(),
            lists_refused: false,
            writes_unanswered: false,
            remaining_reads: None,
            responses: BTreeMap::new(),
            direct_commands: Vec::new(),
            watches: Vec::new(),
            last_request: 0,
        }
    }

    /// Stops this controller and starts another node with the same store, without waiting for the
    /// leader lease to expire.
    pub fn successor(self) -> Self {
        SingleController::node("n-9", self.store, self.listed_machines, self.now)
    }

    /// Stops this controller and, after its leader lease has expired, runs another one until it
    /// leads.
    pub fn next_leader(mut self) -> Self {
        let listed_machines = self.listed_machines.clone();
        self.now += 30.0;
        self.store.expire_leases(self.now);
        let listed_machines: Vec<&str> = listed_machines.iter().map(String::as_str).collect();
        SingleController::leading(self.store, &listed_machines, self.now)
    }

    fn machine_list(&self) -> MachineList {
        if self.reordered_lists.as_ref().is_some_and(|lists| !lists.show_machines(self)) {
            return MachineList { machines: Vec::new(), more: false };
        }
        let machine = |id: &String| ListedMachine {
            id: id.clone(),
            addr: Some(addr_of(id)),
            machine_type: "big".into(),
            zone: "a".into(),
            spot: false,
            state: self.listed_state,
            age_s: self.listed_age_s,
        };
        MachineList { machines: self.listed_machines.iter().map(machine).collect(), more: false }
    }

    fn cloud_reply(&mut self, op: &CloudRequest) -> CloudReply {
        if self.cloud_down {
            return CloudReply::Refused;
        }
        match op {
            CloudRequest::Types => CloudReply::Types(MachineTypes { types: super::common::machine_types() }),
            CloudRequest::List { .. } => {
                let list = self.machine_list();
                self.list_lengths.push(list.machines.len());
                CloudReply::List(list)
            }
            CloudRequest::Rent(request) => self.rental_reply(&request.request),
            CloudRequest::Delete(names) => {
                self.deleted_machines.extend(names.iter().cloned());
                self.listed_machines.retain(|m| !names.contains(m));
                CloudReply::Done
            }
        }
    }

    /// Rents out the machines that are available. A repeated request gets the same machines.
    fn rental_reply(&mut self, request: &str) -> CloudReply {
        let is_repeated = self.rentals.contains_key(request);
        if !is_repeated && !self.rentable_machines.is_empty() {
            let machines = std::mem::take(&mut self.rentable_machines);
            self.rentals.insert(request.to_string(), machines);
        }
        match self.rentals.get(request) {
            None => CloudReply::NoCapacity,
            Some(_) if self.rental_replies_lost => CloudReply::Unknown,
            Some(machines) => CloudReply::Machines(Machines { machines: machines.clone() }),
        }
    }

    pub fn feed(&mut self, input: Input) {
        for o in self.controller.handle(self.now, 1e9 + self.now, input) {
            match o {
                Output::Response(id, response) => {
                    self.responses.insert(id, response);
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
        if self.store_down && !matches!(op, StoreRequest::Watch { .. }) {
            return self.feed(Input::Store(call, StoreReply::Refused));
        }
        if self.lists_refused && matches!(op, StoreRequest::List { .. }) {
            return self.feed(Input::Store(call, StoreReply::Refused));
        }
        if self.writes_unanswered && matches!(op, StoreRequest::Commit(_)) {
            return;
        }
        if matches!(op, StoreRequest::Get(_)) {
            match &mut self.remaining_reads {
                Some(0) => return self.feed(Input::Store(call, StoreReply::Refused)),
                remaining => *remaining = remaining.map(|n| n - 1),
            }
        }
        let reply = if self.store_down { None } else { self.store.execute(self.now, &op) };
        match (reply, &op) {
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

    /// Runs until `done` holds, for at most `seconds`; returns whether it holds.
    pub fn run_until(&mut self, seconds: f64, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + seconds;
        while self.now < end && !done(self) {
            self.now += 0.05;
            if !self.store_down {
                self.advance_store();
            }
            if let Some(view) = self.peer.clone() {
                self.feed(Input::PeerView(view));
            }
            self.feed(Input::Tick);
        }
        done(self)
    }

    /// Ends the store's outage. All leases have their full time again.
    pub fn end_store_outage(&mut self) {
        self.store.renew_all_leases(self.now);
        self.store_down = false;
    }

    /// Expires leases, and answers the watches that have events or time out.
    fn advance_store(&mut self) {
        self.store.expire_leases(self.now);
        for (until, call, op) in std::mem::take(&mut self.watches) {
            let timed_out = (self.now >= until).then(|| self.store.no_events());
            match self.store.execute(self.now, &op).or(timed_out) {
                Some(reply) => self.feed(Input::Store(call, reply)),
                None => self.watches.push((until, call, op)),
            }
        }
    }

    pub fn send_request(&mut self, request: Request) -> RequestId {
        self.last_request += 1;
        self.feed(Input::Request(self.last_request, request));
        self.last_request
    }

    /// Sends a request and waits for the response; returns its status code, or 0 without a response.
    pub fn response_status(&mut self, request: Request) -> u16 {
        let id = self.send_request(request);
        self.run_until(6.0, |driver| driver.responses.contains_key(&id));
        self.responses.get(&id).map_or(0, |r| r.status)
    }

    pub fn submit(&mut self, spec: &JobSpec) {
        assert_eq!(self.response_status(Request::Submit(protocol::encode(spec))), 201);
    }

    pub fn cancel(&mut self, job: &str) {
        assert_eq!(self.response_status(Request::Cancel(job.into())), 200);
    }

    pub fn send_heartbeat(&mut self, heartbeat: &Heartbeat) -> RequestId {
        self.send_request(Request::Heartbeat(protocol::encode(heartbeat)))
    }

    /// The response to a heartbeat, if it has been accepted by now.
    pub fn accepted_response(&self, id: RequestId) -> Option<HeartbeatResponse> {
        let response = self.responses.get(&id).filter(|r| r.status == 200)?;
        protocol::decode(&response.body).ok()
    }

    /// Sends a heartbeat of `worker`, waits for the response and executes its commands, which are
    /// returned.
    pub fn exchange_heartbeat(&mut self, worker: &mut ManualWorker) -> Vec<Command> {
        let id = self.send_heartbeat(&worker.next_heartbeat());
        self.run_until(4.0, |driver| driver.responses.contains_key(&id));
        let Some(response) = self.accepted_response(id) else { return Vec::new() };
        worker.apply_response(&response);
        response.commands
    }

    /// Exchanges twelve heartbeats, so that the leader launches tasks on `worker` and learns that they
    /// run, and checks that `worker` has a task of each of `jobs`.
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

    /// The direct commands sent to `worker` so far.
    pub fn direct_commands_to(&self, worker: &ManualWorker) -> Vec<(f64, CallId, DirectCommands)> {
        let to_worker = self.direct_commands.iter().filter(|d| d.2 == worker.heartbeat.addr);
        to_worker.map(|d| (d.0, d.1, d.3.clone())).collect()
    }

    /// Has `worker` execute direct commands, unless their token or epoch is outdated, and reply.
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
        let heartbeat = Box::new(worker.next_heartbeat());
        self.feed(Input::Worker(call, WorkerReply::Heartbeat { executed, report: heartbeat }));
    }
}
