//! Leader recovery: its cost in store requests does not grow with the number of archived jobs, and
//! no job, placement, task completion or cancellation is lost.

mod common;

use anisecroft_simulation::state::{Limits, Store};
use common::{example_settings, plain_array};
use controller::records::*;
use controller::*;
use protocol::job::*;
use protocol::worker::{CommandKind, Heartbeat, HeartbeatResponse, TaskState, TaskStatus};
use settings::{NextLimits, Operator, Peer, Settings};

fn settings() -> Settings {
    let mut settings = example_settings();
    settings.peers.clear();
    settings.params.store.next =
        Some(NextLimits { value_kb: Some(2.0), txn_ops: Some(8), ..NextLimits::default() });
    settings
}

fn record(id: &str, status: JobStatus) -> JobRecord {
    let done = if status == JobStatus::Done { 3 } else { 0 };
    JobRecord {
        status,
        done,
        per_page: 100,
        first_page: PageRecord {
            done: if done == 3 { "7".into() } else { String::new() },
            placements: vec![],
        },
        ..JobRecord::new(plain_array(id, 3), 1e9, 30_000)
    }
}

/// One controller and the store, without workers; the cloud does not answer.
struct RecoveryHarness {
    controller: Controller,
    store: Store,
    now: f64,
    requests: u64,
    bytes: u64,
    mutations: u64,
    responses: std::collections::BTreeMap<RequestId, HttpResponse>,
    /// While set, the store refuses all requests.
    store_down: bool,
    /// While set, watches get no reply.
    watches_down: bool,
    /// While set, writes of job records are not executed and get no reply.
    hold_job_writes: bool,
    /// Calls of the job writes that were held.
    held_job_writes: Vec<CallId>,
    /// Pending watches: when each times out, its call and its request.
    watches: Vec<(f64, CallId, StoreRequest)>,
    /// View of another controller that hears no workers either, so that this one does not resign.
    peer: Option<protocol::peer::View>,
}

impl RecoveryHarness {
    fn new(store: Store) -> Self {
        let controller = Controller::new(settings(), Operator::default(), 1);
        let responses = Default::default();
        RecoveryHarness {
            controller,
            store,
            now: 0.0,
            requests: 0,
            bytes: 0,
            mutations: 0,
            responses,
            store_down: false,
            watches_down: false,
            hold_job_writes: false,
            held_job_writes: Vec::new(),
            watches: Vec::new(),
            peer: None,
        }
    }

    /// Starts at `now` with another controller as a peer, and runs until recovery is complete.
    fn with_peer(store: Store, now: f64) -> Self {
        let mut settings = settings();
        let node = "n-1".to_string();
        settings.peers = vec![Peer { node: node.clone(), zone: String::new(), addr: settings.peer_addr }];
        let view = protocol::peer::View { node, state_reached: true, format: FORMAT, ..Default::default() };
        let controller = Controller::new(settings, Operator::default(), 1);
        let mut harness =
            RecoveryHarness { controller, peer: Some(view), now, ..RecoveryHarness::new(store) };
        harness.store.expire_leases(now);
        harness.run_until_recovered();
        harness
    }

    fn feed(&mut self, input: Input) {
        for o in self.controller.handle(self.now, 1e9 + self.now, input) {
            if let Output::Response(id, response) = &o {
                self.responses.insert(*id, response.clone());
            }
            let Output::Store(call, op) = o else { continue };
            self.requests += 1;
            if let StoreRequest::Commit(txn) = &op {
                self.mutations += txn.mutations.len() as u64;
            }
            if self.store_down {
                self.feed(Input::Store(call, StoreReply::Refused));
                continue;
            }
            let writes_job = |mutation: &protocol::state::Mutation<Value>| match mutation {
                protocol::state::Mutation::Put { key, .. } => key.starts_with(JOB_PREFIX),
                protocol::state::Mutation::Delete { .. } => false,
            };
            if matches!(&op, StoreRequest::Commit(txn) if self.hold_job_writes && txn.mutations.iter().any(writes_job))
            {
                self.held_job_writes.push(call);
                continue;
            }
            let watch_deadline = match &op {
                StoreRequest::Watch { wait_ms, .. } if *wait_ms > 0 => {
                    Some(self.now + *wait_ms as f64 / 1000.0)
                }
                _ => None,
            };
            if let (Some(until), true) = (watch_deadline, self.watches_down) {
                self.watches.push((until, call, op));
                continue;
            }
            let Some(reply) = self.store.execute(self.now, &op) else {
                self.watches.extend(watch_deadline.map(|until| (until, call, op)));
                continue;
            };
            self.bytes += match &reply {
                StoreReply::Item(i) => protocol::encode(i).len() as u64,
                StoreReply::Page(p) => protocol::encode(p).len() as u64,
                StoreReply::Events(e) => protocol::encode(e).len() as u64,
                _ => 20,
            };
            self.feed(Input::Store(call, reply));
        }
    }

    fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.05;
            if !self.store_down {
                self.store.expire_leases(self.now);
            }
            for (until, call, op) in std::mem::take(&mut self.watches) {
                let watchable = !self.store_down && !self.watches_down;
                let reply = watchable.then(|| self.store.execute(self.now, &op)).flatten();
                let timed_out = (watchable && self.now >= until).then(|| self.store.no_events());
                match reply.or(timed_out) {
                    Some(reply) => self.feed(Input::Store(call, reply)),
                    None => self.watches.push((until, call, op)),
                }
            }
            if let Some(view) = self.peer.clone() {
                self.feed(Input::PeerView(view));
            }
            self.feed(Input::Tick);
        }
    }

    fn run_until_recovered(&mut self) {
        while !self.controller.has_recovered() {
            assert!(self.now < 600.0, "recovery is not complete after 600 s");
            self.run(0.05);
        }
    }
}

fn live_jobs() -> impl Iterator<Item = (String, Value)> {
    (0..60).map(|n| {
        let id = format!("req-{n}");
        (job_key(&id), Value::Job(Box::new(record(&id, JobStatus::Pending))))
    })
}

/// Requests and bytes read until recovery is complete, with `archived_jobs` records of finished
/// jobs in the store.
fn recovery_cost(archived_jobs: usize) -> (u64, u64) {
    let archived = (0..archived_jobs).map(|n| {
        let terminal = TerminalRecord { status: JobStatus::Done, done: 3, submitted_wall_s: 1e9 };
        (terminal_job_key(&format!("req-{}", 1_000 + n)), Value::Terminal(terminal))
    });
    let format = (FORMAT_KEY.to_string(), Value::Format(FORMAT));
    let mut harness = RecoveryHarness::new(Store::with_items(live_jobs().chain(archived).chain([format])));
    harness.run_until_recovered();
    (harness.requests, harness.bytes)
}

fn within_ten_percent(a: u64, b: u64) -> bool {
    a.abs_diff(b) * 10 <= a
}

/// Guards against a recovery that reads every job ever submitted: after 100,000 jobs that took 125
/// pages and 41 MB.
#[test]
fn recovery_cost_does_not_grow_with_history() {
    let (requests, bytes) = recovery_cost(0);
    for archived in [1_000, 100_000] {
        let (r, b) = recovery_cost(archived);
        assert!(
            within_ten_percent(requests, r),
            "{r} requests with {archived} archived jobs, {requests} with none"
        );
        assert!(within_ten_percent(bytes, b), "{b} bytes with {archived} archived jobs, {bytes} with none");
    }
}

/// Prints the recovery cost with up to a million archived jobs; see `docs/performance.md`.
#[test]
#[ignore = "for its figures"]
fn recovery_after_a_million_jobs() {
    for archived in [0, 1_000, 100_000, 1_000_000] {
        let (requests, bytes) = recovery_cost(archived);
        println!("{archived:>9} archived jobs: {requests} requests, {bytes} bytes");
    }
}

/// The previous version left the records of finished jobs among those of live jobs. They are
/// archived at a fraction of the write rate, and none is lost.
#[test]
fn finished_jobs_of_the_previous_version_are_archived_at_a_limited_rate() {
    let finished = (0..300).map(|n| {
        let id = format!("req-{}", 1_000 + n);
        (job_key(&id), Value::Job(Box::new(record(&id, JobStatus::Done))))
    });
    let pages = (0..90).map(|n| (page_key("req-1007", n + 1, 0), Value::Page(PageRecord::default())));
    let mut harness = RecoveryHarness::new(Store::with_items(live_jobs().chain(finished).chain(pages)));
    harness.run_until_recovered();
    let (mutations_before, recovered_at) = (harness.mutations, harness.now);
    harness.run(10.0);
    let rate = (harness.mutations - mutations_before) as f64 / (harness.now - recovered_at);
    let max_rate = settings().params.store.write_rps / 8.0 * 1.2;
    assert!(rate > 1.0 && rate <= max_rate, "{rate} mutations per second, {max_rate} allowed");
    harness.run(200.0);
    assert_eq!(harness.store.count(TERMINAL_JOB_PREFIX), 300);
    assert_eq!(harness.store.count(JOB_PREFIX), 60);
    assert_eq!(harness.store.count(PAGE_PREFIX), 0);
}

/// `waiting` jobs, each with two dependencies: a live job, and a finished job whose full record is
/// still stored or, for the first `with_archived_dependency` of them, one that is archived.
fn waiting_jobs(waiting: usize, with_archived_dependency: usize) -> Vec<(String, Value)> {
    let job = |id: String, dependencies: Vec<String>, status| {
        let r = record(&id, status);
        let r = JobRecord { spec: JobSpec { dependencies, ..r.spec.clone() }, ..r };
        (job_key(&id), Value::Job(Box::new(r)))
    };
    let mut items = vec![
        job("req-1".into(), vec![], JobStatus::Done),
        job("req-2".into(), vec![], JobStatus::Pending),
        (FORMAT_KEY.to_string(), Value::Format(FORMAT)),
        (
            terminal_job_key("req-3"),
            Value::Terminal(TerminalRecord { status: JobStatus::Done, done: 3, submitted_wall_s: 1e9 }),
        ),
    ];
    items.extend((0..waiting).map(|n| {
        let finished = if n < with_archived_dependency { "req-3" } else { "req-1" };
        let dependencies = vec![finished.to_string(), "req-2".to_string()];
        job(format!("req-{}", 10_000 + n), dependencies, JobStatus::Pending)
    }));
    items
}

/// Store requests of a recovery, not counting those that list the job records.
fn requests_beyond_job_lists(waiting: usize, with_archived_dependency: usize) -> u64 {
    let mut harness =
        RecoveryHarness::new(Store::with_items(waiting_jobs(waiting, with_archived_dependency)));
    harness.run_until_recovered();
    harness.run(1.0);
    assert_eq!(harness.controller.waiting_job_count(), waiting);
    // The store lists seven items per page. Prefixes without a key take one list request each, which
    // stays in the count.
    harness.requests - (waiting as u64 + 2).div_ceil(7)
}

/// Recovery learns dependencies from the lists, plus one read for each archived job that others
/// depend on, instead of one read for each waiting job.
#[test]
fn recovery_learns_dependencies_from_the_lists() {
    let with_ten = requests_beyond_job_lists(10, 0);
    assert!(requests_beyond_job_lists(2_000, 0) <= with_ten + 60, "{with_ten} requests with ten jobs");
    assert!(requests_beyond_job_lists(2_000, 2_000) <= with_ten + 62, "{with_ten} requests with ten jobs");
}

#[test]
#[ignore = "for its figures"]
fn recovery_with_twenty_thousand_waiting_jobs() {
    for waiting in [0, 2_000, 20_000] {
        let start = std::time::Instant::now();
        let requests = requests_beyond_job_lists(waiting, 0);
        println!("{waiting:>6} waiting jobs: {requests} requests beyond the lists, {:?}", start.elapsed());
    }
}

/// A job of 300 tasks, 256 of them placed, stored as one value.
fn single_value_job(id: &str) -> (String, Value) {
    let r = record(id, JobStatus::Running);
    let spec = JobSpec { tasks: 300, ..r.spec.clone() };
    let place = |task| StoredPlacement { task, attempt: 1, machine: format!("vm-{task:06}") };
    let page = PageRecord { done: "f".into(), placements: (4..260).map(place).collect() };
    let value = Value::Job(Box::new(JobRecord { spec, per_page: 300, done: 4, first_page: page, ..r }));
    (job_key(id), value)
}

/// Records that the production version wrote exceed the current size limit of the store. Cancelling
/// such a job writes a mark beside its record; the other records are split when no urgent write is
/// pending. In the end no oversized record is left, and the store never refused a write for its
/// size.
#[test]
fn oversized_records_are_cancelled_and_split() {
    let format = (FORMAT_KEY.to_string(), Value::Format(FORMAT));
    let items = [single_value_job("req-1"), single_value_job("req-2"), format];
    let mut harness = RecoveryHarness::new(Store::with_items(items));
    harness.store.set_limits(Limits { value_bytes: 2048, txn_ops: 8, write_rps: f64::MAX });
    assert!(harness.store.largest_value_bytes(JOB_PREFIX) > 6000);
    harness.run_until_recovered();
    // Before the leader has split the record.
    harness.feed(Input::Request(1, Request::Cancel("req-1".into())));
    assert_eq!(harness.responses.get(&1).map(|a| a.status), Some(200));
    assert_eq!(harness.store.count(MARK_PREFIX), 1);
    harness.feed(Input::Request(2, Request::QueryStatus("req-1".into())));
    harness.run(1.0);
    assert!(String::from_utf8_lossy(&harness.responses[&2].body).contains("withdrawn"));
    harness.run(20.0);
    assert!(harness.store.largest_value_bytes("") <= 2048, "{}", harness.store.largest_value_bytes(""));
    assert_eq!((harness.store.count(MARK_PREFIX), harness.store.rejected_for_size), (0, 0));
    harness.feed(Input::Request(3, Request::QueryStatus("req-2".into())));
    harness.run(1.0);
    assert!(String::from_utf8_lossy(&harness.responses[&3].body).contains("running"));
    // A new leader finds all placements of both jobs.
    let mut next = RecoveryHarness::new(std::mem::take(&mut harness.store));
    next.now = harness.now + 20.0;
    next.store.expire_leases(next.now);
    next.run_until_recovered();
    assert_eq!(next.controller.placement_count(), 512);
}

/// An array of the maximum size, as the production version stored it: pages of more than a thousand
/// tasks, some completed, some placed on machines with long names. It is split a few values at a
/// time; a leader that crashes midway leaves a consistent state, and the next one starts the split
/// over. No completion and no placement is lost.
#[test]
fn largest_array_is_split_a_few_values_at_a_time() {
    let (per_page, tasks) = (1224, protocol::job::MAX_TASKS);
    let page_of = |n: u32| {
        let first = n * per_page;
        let done = if n % 3 == 0 { "f".repeat(200) } else { String::new() };
        let done_tasks = done.len() as u32 * 4;
        let long_name = |t: u32| format!("a-machine-with-a-name-longer-than-usual-{t:06}");
        let place = |t| StoredPlacement { task: first + t, attempt: 7, machine: long_name(t) };
        let placements =
            if n % 5 == 0 { (done_tasks..done_tasks + 120).map(place).collect() } else { vec![] };
        PageRecord { done, placements }
    };
    let r = record("req-1", JobStatus::Running);
    let spec = JobSpec { tasks, ..r.spec.clone() };
    let job = JobRecord { spec, per_page, first_page: page_of(0), ..r };
    let pages = (1..tasks.div_ceil(per_page)).map(|n| {
        let page = page_of(n);
        (page_key("req-1", n as usize, 0), Value::Page(page))
    });
    let main_record = (job_key("req-1"), Value::Job(Box::new(job)));
    let format = (FORMAT_KEY.to_string(), Value::Format(FORMAT));
    let mut harness = RecoveryHarness::new(Store::with_items([main_record, format].into_iter().chain(pages)));
    harness.store.set_limits(Limits { value_bytes: 2048, txn_ops: 8, write_rps: f64::MAX });
    let mut harness = RecoveryHarness::with_peer(harness.store, 0.0);
    let placements = harness.controller.placement_count();
    assert!(placements > 1500, "{placements}");
    // No worker sends heartbeats, so placements are only kept for the duration of a lease.
    for seconds in [5.0, 8.0, 25.0] {
        harness.run(seconds);
        harness = RecoveryHarness::with_peer(std::mem::take(&mut harness.store), harness.now + 20.0);
        assert_eq!(harness.controller.placement_count(), placements);
    }
    assert!(harness.store.largest_value_bytes(JOB_PREFIX) <= 2048);
    harness.run(240.0);
    assert_eq!(harness.store.rejected_for_size, 0);
    // Values of the old layout have been deleted as well.
    assert!(harness.store.largest_value_bytes("") <= 2048, "{}", harness.store.largest_value_bytes(""));
    let expected = (0..tasks.div_ceil(per_page)).map(page_of);
    let done_tasks: usize = expected.map(|p| p.done.len() * 4).sum();
    assert_eq!(harness.controller.completed_task_count(), done_tasks);
}

fn heartbeat(machine: &str, sequence: u64, tasks: Vec<TaskStatus>) -> Input {
    let heartbeat = Heartbeat {
        machine: machine.into(),
        addr: "10.0.0.1:1".into(),
        machine_type: "big".into(),
        zone: "a".into(),
        spot: false,
        epoch: 1,
        sequence,
        fencing_token: 0,
        notice_s: None,
        tasks,
    };
    Input::Request(sequence, Request::Heartbeat(protocol::encode(&heartbeat)))
}

/// The leader sees another controller's cancellation while its own write of the same job is
/// pending, and the store then refuses that write. The task must be stopped at once, not only after
/// the next successful write.
#[test]
fn cancellation_seen_during_a_refused_write_takes_effect() {
    let format = (FORMAT_KEY.to_string(), Value::Format(FORMAT));
    let mut harness = RecoveryHarness::new(Store::with_items([single_value_job("req-2"), format]));
    // The leader splits the record, which is over the size limit, as soon as no urgent write is
    // pending.
    harness.hold_job_writes = true;
    harness.run_until_recovered();
    harness.run(2.0);
    assert!(!harness.held_job_writes.is_empty());
    let key = job_key("req-2");
    let Some(StoreReply::Item(item)) = harness.store.execute(harness.now, &StoreRequest::Get(key.clone()))
    else {
        panic!()
    };
    let Value::Job(record) = item.value else { panic!() };
    let value = Value::Job(Box::new(JobRecord { status: JobStatus::Cancelled, ..*record }));
    let txn = protocol::state::Transaction {
        compares: vec![protocol::state::Compare { key: key.clone(), version: item.version }],
        mutations: vec![protocol::state::Mutation::Put { key, value, lease: None }],
    };
    assert!(matches!(
        harness.store.execute(harness.now, &StoreRequest::Commit(txn)),
        Some(StoreReply::Committed(_))
    ));
    harness.run(0.2);
    for call in std::mem::take(&mut harness.held_job_writes) {
        harness.feed(Input::Store(call, StoreReply::Refused));
    }
    harness.run(2.0);
    let running = TaskStatus {
        task: "req-2/4".into(),
        attempt: 1,
        state: TaskState::Running,
        exit_cause: None,
        checkpointed: None,
    };
    harness.feed(heartbeat("vm-000004", 1, vec![running]));
    harness.run(3.9);
    let response: HeartbeatResponse = protocol::decode(&harness.responses[&1].body).unwrap();
    let stops = response.commands.iter().filter(|c| c.kind == CommandKind::Stop && c.task == "req-2/4");
    assert_eq!(stops.count(), 1, "{:?}", response.commands);
}

/// After a store outage the leader may have missed cancellations, even once it has renewed its
/// lease. It accepts no heartbeat until its watch has returned, because accepting one renews the
/// worker's lease or launches placed tasks.
#[test]
fn leader_accepts_no_heartbeat_after_an_outage_until_its_watch_returns() {
    let mut harness = RecoveryHarness::with_peer(Store::with_items(live_jobs()), 0.0);
    harness.run(2.0);
    let heartbeat_status = |harness: &mut RecoveryHarness, sequence: u64| {
        harness.feed(heartbeat("vm-000001", sequence, Vec::new()));
        harness.run(3.9);
        harness.responses.get(&sequence).map(|a| a.status)
    };
    assert_eq!(heartbeat_status(&mut harness, 1), Some(200));
    harness.store_down = true;
    harness.run(30.0);
    harness.store.renew_all_leases(harness.now);
    (harness.store_down, harness.watches_down) = (false, true);
    harness.run(1.0);
    assert_eq!(heartbeat_status(&mut harness, 2), Some(503));
    harness.watches_down = false;
    harness.run(1.0);
    assert_eq!(heartbeat_status(&mut harness, 3), Some(200));
}
