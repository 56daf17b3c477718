//! What the recovery of a new leader costs the store, with any history, and what it must not lose.

mod common;

use anisecroft_simulation::state::{Limits, Store};
use common::{example_settings, plain_array};
use controller::records::*;
use controller::*;
use protocol::job::*;
use protocol::worker::{CommandKind, Heartbeat, HeartbeatResponse, TaskState, TaskStatus};
use settings::{NextLimits, Operator, Peer, Settings};

fn settings() -> Settings {
    let mut s = example_settings();
    s.peers.clear();
    s.params.store.next = Some(NextLimits { value_kb: Some(2.0), txn_ops: Some(8), ..NextLimits::default() });
    s
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

/// One controller, alone with the store; the cloud does not answer.
struct World {
    controller: Controller,
    store: Store,
    now: f64,
    requests: u64,
    bytes: u64,
    changes: u64,
    answers: std::collections::BTreeMap<RequestId, HttpResponse>,
    /// The store is down, or only its watches answer nothing.
    down: bool,
    watches_down: bool,
    /// Writes of jobs wait for an answer, and those that do.
    hold_writes: bool,
    held_writes: Vec<CallId>,
    /// Watches that wait: until when, for which call.
    watches: Vec<(f64, CallId, StoreRequest)>,
    /// Another controller that hears no workers either, so that this one does not resign.
    peer: Option<protocol::peer::View>,
}

impl World {
    fn new(store: Store) -> Self {
        let controller = Controller::new(settings(), Operator::default(), 1);
        let answers = Default::default();
        World {
            controller,
            store,
            now: 0.0,
            requests: 0,
            bytes: 0,
            changes: 0,
            answers,
            down: false,
            watches_down: false,
            hold_writes: false,
            held_writes: Vec::new(),
            watches: Vec::new(),
            peer: None,
        }
    }

    /// From `now` on, beside another controller.
    fn beside(store: Store, now: f64) -> Self {
        let mut s = settings();
        let node = "n-1".to_string();
        s.peers = vec![Peer { node: node.clone(), zone: String::new(), addr: s.peer_addr }];
        let view = protocol::peer::View { node, state_reached: true, format: FORMAT, ..Default::default() };
        let controller = Controller::new(s, Operator::default(), 1);
        let mut world = World { controller, peer: Some(view), now, ..World::new(store) };
        world.store.expire_leases(now);
        world.take_over();
        world
    }

    fn feed(&mut self, input: Input) {
        for o in self.controller.handle(self.now, 1e9 + self.now, input) {
            if let Output::Response(id, answer) = &o {
                self.answers.insert(*id, answer.clone());
            }
            let Output::Store(call, op) = o else { continue };
            self.requests += 1;
            if let StoreRequest::Commit(txn) = &op {
                self.changes += txn.mutations.len() as u64;
            }
            if self.down {
                self.feed(Input::Store(call, StoreReply::Refused));
                continue;
            }
            let job = |c: &protocol::state::Mutation<Value>| match c {
                protocol::state::Mutation::Put { key, .. } => key.starts_with(JOB_PREFIX),
                protocol::state::Mutation::Delete { .. } => false,
            };
            if matches!(&op, StoreRequest::Commit(txn) if self.hold_writes && txn.mutations.iter().any(job)) {
                self.held_writes.push(call);
                continue;
            }
            let waits = match &op {
                StoreRequest::Watch { wait_ms, .. } if *wait_ms > 0 => {
                    Some(self.now + *wait_ms as f64 / 1000.0)
                }
                _ => None,
            };
            if let (Some(until), true) = (waits, self.watches_down) {
                self.watches.push((until, call, op));
                continue;
            }
            let Some(reply) = self.store.execute(self.now, &op) else {
                self.watches.extend(waits.map(|until| (until, call, op)));
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
            if !self.down {
                self.store.expire_leases(self.now);
            }
            for (until, call, op) in std::mem::take(&mut self.watches) {
                let ready = !self.down && !self.watches_down;
                let reply = ready.then(|| self.store.execute(self.now, &op)).flatten();
                let quiet = (ready && self.now >= until).then(|| self.store.no_events());
                match reply.or(quiet) {
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

    fn take_over(&mut self) {
        while !self.controller.has_recovered() {
            assert!(self.now < 600.0, "records are not read");
            self.run(0.05);
        }
    }
}

fn live() -> impl Iterator<Item = (String, Value)> {
    (0..60).map(|n| {
        let id = format!("req-{n}");
        (job_key(&id), Value::Job(Box::new(record(&id, JobStatus::Pending))))
    })
}

/// Requests and bytes until all live jobs are known, after `over` finished ones.
fn takeover(over: usize) -> (u64, u64) {
    let finished = (0..over).map(|n| {
        let o = TerminalRecord { status: JobStatus::Done, done: 3, submitted_wall_s: 1e9 };
        (terminal_job_key(&format!("req-{}", 1_000 + n)), Value::Terminal(o))
    });
    let format = (FORMAT_KEY.to_string(), Value::Format(FORMAT));
    let mut world = World::new(Store::with_items(live().chain(finished).chain([format])));
    world.take_over();
    (world.requests, world.bytes)
}

fn within_a_tenth(a: u64, b: u64) -> bool {
    a.abs_diff(b) * 10 <= a
}

/// A new leader once read all jobs that there ever were: 125 pages and 41 MB after 100,000 of
/// them.
#[test]
fn recovery_cost_does_not_grow_with_history() {
    let (requests, bytes) = takeover(0);
    for over in [1_000, 100_000] {
        let (r, b) = takeover(over);
        assert!(within_a_tenth(requests, r), "{r} requests after {over} jobs, {requests} after none");
        assert!(within_a_tenth(bytes, b), "{b} bytes after {over} jobs, {bytes} after none");
    }
}

/// The same at a million, with the figures; see `docs/performance.md`.
#[test]
#[ignore = "for its figures"]
fn recovery_after_a_million_jobs() {
    for over in [0, 1_000, 100_000, 1_000_000] {
        let (requests, bytes) = takeover(over);
        println!("{over:>9} jobs over: {requests} requests, {bytes} bytes");
    }
}

/// Finished records of the version before are stored among the live ones; they are archived at a
/// part of the write rate, and nothing of them is lost.
#[test]
fn older_records_are_archived_at_a_limited_rate() {
    let old = (0..300).map(|n| {
        let id = format!("req-{}", 1_000 + n);
        (job_key(&id), Value::Job(Box::new(record(&id, JobStatus::Done))))
    });
    let pages = (0..90).map(|n| (page_key("req-1007", n + 1, 0), Value::Page(PageRecord::default())));
    let mut world = World::new(Store::with_items(live().chain(old).chain(pages)));
    world.take_over();
    let (before, at) = (world.changes, world.now);
    world.run(10.0);
    let rate = (world.changes - before) as f64 / (world.now - at);
    let most = settings().params.store.write_rps / 8.0 * 1.2;
    assert!(rate > 1.0 && rate <= most, "{rate} changes a second, {most} allowed");
    world.run(200.0);
    assert_eq!(world.store.count(TERMINAL_JOB_PREFIX), 300);
    assert_eq!(world.store.count(JOB_PREFIX), 60);
    assert_eq!(world.store.count(PAGE_PREFIX), 0);
}

/// `waiting` jobs, each of which depends on one that is done, whose record is kept for that, and
/// on one that is live; `moved` of them depend on one that is archived.
fn waiting_jobs(waiting: usize, moved: usize) -> Vec<(String, Value)> {
    let job = |id: String, awaits: Vec<String>, status| {
        let r = record(&id, status);
        let r = JobRecord { spec: JobSpec { dependencies: awaits, ..r.spec.clone() }, ..r };
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
        let first = if n < moved { "req-3" } else { "req-1" };
        let awaits = vec![first.to_string(), "req-2".to_string()];
        job(format!("req-{}", 10_000 + n), awaits, JobStatus::Pending)
    }));
    items
}

/// Requests of a recovery beyond the pages of its lists.
fn reads_beyond_lists(waiting: usize, moved: usize) -> u64 {
    let mut world = World::new(Store::with_items(waiting_jobs(waiting, moved)));
    world.take_over();
    world.run(1.0);
    assert_eq!(world.controller.waiting_job_count(), waiting);
    // Prefixes without a key take one list each.
    world.requests - (waiting as u64 + 2).div_ceil(7)
}

/// Dependencies are known from the lists alone, and from one read for each archived job that
/// others depend on; not from one for each job that waits.
#[test]
fn recovery_learns_dependencies_from_the_lists() {
    let few = reads_beyond_lists(10, 0);
    assert!(reads_beyond_lists(2_000, 0) <= few + 60, "{few} with ten");
    assert!(reads_beyond_lists(2_000, 2_000) <= few + 62, "{few} with ten");
}

#[test]
#[ignore = "for its figures"]
fn recovery_with_twenty_thousand_waiting_jobs() {
    for waiting in [0, 2_000, 20_000] {
        let began = std::time::Instant::now();
        let reads = reads_beyond_lists(waiting, 0);
        println!("{waiting:>6} jobs wait: {reads} requests beyond the lists, {:?}", began.elapsed());
    }
}

/// A job of 300 tasks, 256 of them placed, in one value.
fn wide(id: &str) -> (String, Value) {
    let r = record(id, JobStatus::Running);
    let spec = JobSpec { tasks: 300, ..r.spec.clone() };
    let place = |task| StoredPlacement { task, attempt: 1, machine: format!("vm-{task:06}") };
    let page = PageRecord { done: "f".into(), placements: (4..260).map(place).collect() };
    let value = Value::Job(Box::new(JobRecord { spec, per_page: 300, done: 4, first_page: page, ..r }));
    (job_key(id), value)
}

/// Records of production are larger than the store accepts by now: such a job is cancelled all the
/// same, by a mark beside its record; others are split when nothing urgent is pending, and can
/// end. All of them go in the end, and the store had to refuse nothing.
#[test]
fn oversized_records_are_cancelled_and_split() {
    let format = (FORMAT_KEY.to_string(), Value::Format(FORMAT));
    let items = [wide("req-1"), wide("req-2"), format];
    let mut world = World::new(Store::with_items(items));
    world.store.set_limits(Limits { value_bytes: 2048, txn_ops: 8, write_rps: f64::MAX });
    assert!(world.store.largest_value_bytes(JOB_PREFIX) > 6000);
    world.take_over();
    // Before the leader has had the time to divide it.
    world.feed(Input::Request(1, Request::Cancel("req-1".into())));
    assert_eq!(world.answers.get(&1).map(|a| a.status), Some(200));
    assert_eq!(world.store.count(MARK_PREFIX), 1);
    world.feed(Input::Request(2, Request::QueryStatus("req-1".into())));
    world.run(1.0);
    assert!(String::from_utf8_lossy(&world.answers[&2].body).contains("withdrawn"));
    world.run(20.0);
    assert!(world.store.largest_value_bytes("") <= 2048, "{}", world.store.largest_value_bytes(""));
    assert_eq!((world.store.count(MARK_PREFIX), world.store.rejected_for_size), (0, 0));
    world.feed(Input::Request(3, Request::QueryStatus("req-2".into())));
    world.run(1.0);
    assert!(String::from_utf8_lossy(&world.answers[&3].body).contains("running"));
    // A new leader finds all of both.
    let mut next = World::new(std::mem::take(&mut world.store));
    next.now = world.now + 20.0;
    next.store.expire_leases(next.now);
    next.take_over();
    assert_eq!(next.controller.placement_count(), 512);
}

/// The largest array there may be, as production left it: pages of more than a thousand tasks,
/// some ended, some placed on machines with long names. It is split a few values at a time; a
/// leader that crashes in the middle leaves a consistent state, and the next one begins anew. No
/// end and no placement is lost.
#[test]
fn largest_array_is_split_a_few_values_at_a_time() {
    let (per_page, tasks) = (1224, protocol::job::MAX_TASKS);
    let page_of = |n: u32| {
        let first = n * per_page;
        let bits = if n % 3 == 0 { "f".repeat(200) } else { String::new() };
        let ended = bits.len() as u32 * 4;
        let long = |t: u32| format!("a-machine-with-a-name-longer-than-usual-{t:06}");
        let place = |t| StoredPlacement { task: first + t, attempt: 7, machine: long(t) };
        let places = if n % 5 == 0 { (ended..ended + 120).map(place).collect() } else { vec![] };
        PageRecord { done: bits, placements: places }
    };
    let r = record("req-1", JobStatus::Running);
    let spec = JobSpec { tasks, ..r.spec.clone() };
    let job = JobRecord { spec, per_page, first_page: page_of(0), ..r };
    let pages = (1..tasks.div_ceil(per_page)).map(|n| {
        let page = page_of(n);
        (page_key("req-1", n as usize, 0), Value::Page(page))
    });
    let main = (job_key("req-1"), Value::Job(Box::new(job)));
    let format = (FORMAT_KEY.to_string(), Value::Format(FORMAT));
    let mut world = World::new(Store::with_items([main, format].into_iter().chain(pages)));
    world.store.set_limits(Limits { value_bytes: 2048, txn_ops: 8, write_rps: f64::MAX });
    let mut world = World::beside(world.store, 0.0);
    let places = world.controller.placement_count();
    assert!(places > 1500, "{places}");
    // No worker is heard, so that what is placed counts for a lease only.
    for seconds in [5.0, 8.0, 25.0] {
        world.run(seconds);
        world = World::beside(std::mem::take(&mut world.store), world.now + 20.0);
        assert_eq!(world.controller.placement_count(), places);
    }
    assert!(world.store.largest_value_bytes(JOB_PREFIX) <= 2048);
    world.run(240.0);
    assert_eq!(world.store.rejected_for_size, 0);
    assert!(world.store.largest_value_bytes("") <= 2048, "{}", world.store.largest_value_bytes(""));
    // What is left of the old layouts is gone as well.
    let expected = (0..tasks.div_ceil(per_page)).map(page_of);
    let ended: usize = expected.map(|p| p.done.len() * 4).sum();
    assert_eq!(world.controller.completed_task_count(), ended);
}

fn report(machine: &str, seq: u64, tasks: Vec<TaskStatus>) -> Input {
    let report = Heartbeat {
        machine: machine.into(),
        addr: "10.0.0.1:1".into(),
        machine_type: "big".into(),
        zone: "a".into(),
        spot: false,
        epoch: 1,
        sequence: seq,
        fencing_token: 0,
        notice_s: None,
        tasks,
    };
    Input::Request(seq, Request::Heartbeat(protocol::encode(&report)))
}

/// Another controller's cancellation is seen while a write of the same job is pending, which the
/// store then refuses: the task is stopped all the same. (The cancellation once took effect only
/// after the next write that succeeded.)
#[test]
fn cancellation_seen_during_a_refused_write_takes_effect() {
    let format = (FORMAT_KEY.to_string(), Value::Format(FORMAT));
    let mut world = World::new(Store::with_items([wide("req-2"), format]));
    // It is to be divided as soon as nothing presses.
    world.hold_writes = true;
    world.take_over();
    world.run(2.0);
    assert!(!world.held_writes.is_empty());
    let key = job_key("req-2");
    let Some(StoreReply::Item(item)) = world.store.execute(world.now, &StoreRequest::Get(key.clone())) else {
        panic!()
    };
    let Value::Job(record) = item.value else { panic!() };
    let value = Value::Job(Box::new(JobRecord { status: JobStatus::Cancelled, ..*record }));
    let txn = protocol::state::Transaction {
        compares: vec![protocol::state::Compare { key: key.clone(), version: item.version }],
        mutations: vec![protocol::state::Mutation::Put { key, value, lease: None }],
    };
    assert!(matches!(
        world.store.execute(world.now, &StoreRequest::Commit(txn)),
        Some(StoreReply::Committed(_))
    ));
    world.run(0.2);
    for call in std::mem::take(&mut world.held_writes) {
        world.feed(Input::Store(call, StoreReply::Refused));
    }
    world.run(2.0);
    let running = TaskStatus {
        task: "req-2/4".into(),
        attempt: 1,
        state: TaskState::Running,
        exit_cause: None,
        checkpointed: None,
    };
    world.feed(report("vm-000004", 1, vec![running]));
    world.run(3.9);
    let answer: HeartbeatResponse = protocol::decode(&world.answers[&1].body).unwrap();
    let stops = answer.commands.iter().filter(|c| c.kind == CommandKind::Stop && c.task == "req-2/4");
    assert_eq!(stops.count(), 1, "{:?}", answer.commands);
}

/// A leader lease that is renewed after an outage says nothing of cancellations before it: until
/// its watch has answered, the leader accepts no heartbeat, since that renews a lease or launches
/// placed tasks. (It once did so after the renewal alone.)
#[test]
fn renewed_leader_lease_does_not_imply_current_knowledge() {
    let mut world = World::beside(Store::with_items(live()), 0.0);
    world.run(2.0);
    let status = |world: &mut World, seq: u64| {
        world.feed(report("vm-000001", seq, Vec::new()));
        world.run(3.9);
        world.answers.get(&seq).map(|a| a.status)
    };
    assert_eq!(status(&mut world, 1), Some(200));
    world.down = true;
    world.run(30.0);
    world.store.renew_all_leases(world.now);
    (world.down, world.watches_down) = (false, true);
    world.run(1.0);
    assert_eq!(status(&mut world, 2), Some(503));
    world.watches_down = false;
    world.run(1.0);
    assert_eq!(status(&mut world, 3), Some(200));
}
