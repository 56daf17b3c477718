//! What users are told, at every controller, judged by when each request was sent: nothing older
//! than what any controller has told of that job before (`docs/safety.md`, `went_back`).

mod common;
#[path = "common/reordered/mod.rs"]
mod reordered;

use anisecroft_simulation::sim::QueryCounts;
use anisecroft_simulation::{Fault, ScheduledFault, Setup, Simulation, Submission};
use common::{seeded_setup, without_quotas};
use controller::records::*;
use controller::*;
use protocol::cloud::MachineType;
use protocol::job::*;
use protocol::state::{Mutation, Transaction};
use protocol::worker::{task_name, ExitCause, Heartbeat, TaskState, TaskStatus};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use reordered::*;
use serde::Serialize;
use std::collections::BTreeMap;
use std::ops::Range;

fn play(seed: u64, scenario: Scenario, steps: usize) -> Cluster {
    let mut world = Cluster::new(seed, scenario);
    for _ in 0..steps {
        world.step();
        if world.violation.is_some() {
            break;
        }
    }
    world
}

/// The scenario that `seed` stands for.
fn scenario(seed: u64) -> Scenario {
    let ids = [1, 2, 3, 6, 9][seed as usize / 8 % 5];
    Scenario {
        nodes: 3 + seed as usize % 2 * 2,
        ids,
        lead: seed % 8 >= 5,
        faults: seed / 2 % 3 > 0,
        cancels: [0.02, 0.1, 0.4][seed as usize / 5 % 3],
    }
}

/// Plays so many scenarios, with every message in any order, lost or late, and controllers that
/// restart.
fn play_all(seeds: Range<u64>) -> Coverage {
    let mut coverage = Coverage::default();
    for seed in seeds {
        let world = play(seed, scenario(seed), 3000);
        assert_eq!(world.violation, None, "seed {seed}");
        coverage.add(&world.coverage);
    }
    coverage
}

#[test]
fn status_never_goes_back_at_any_node() {
    let m = play_all(0..200);
    assert!(m.close > 1000 && m.repeated > 1000 && m.odd > 1000, "{m:?}");
    assert!(m.cancelled > 100 && m.done > 100 && m.lineage > 50 && m.marks > 50, "{m:?}");
    assert!(m.moved > 100 && m.gone > 100 && m.returns > 100 && m.late > 50 && m.lost > 100, "{m:?}");
}

/// The same for minutes: `cargo test --release -p anisecroft-simulation --test status_consistency
/// -- --ignored`.
#[test]
#[ignore = "minutes"]
fn status_never_goes_back_over_many_seeds() {
    assert!(play_all(200..20_000).marks > 1000);
}

/// A heartbeat of the only machine that all tasks of a job have completed.
fn all_done(job: &JobSpec, token: u64) -> Request {
    let done = |task| TaskStatus {
        task: task_name(&job.id, task),
        attempt: 1,
        state: TaskState::Exited,
        exit_cause: Some(ExitCause::Done),
        checkpointed: None,
    };
    Request::Heartbeat(protocol::encode(&Heartbeat {
        machine: "vm-000001".into(),
        addr: "10.1.0.1:9000".into(),
        machine_type: "big".into(),
        zone: "a".into(),
        spot: false,
        epoch: 1,
        sequence: 1,
        fencing_token: token,
        notice_s: None,
        tasks: (0..job.tasks).map(done).collect(),
    }))
}

/// The leader's write of the end is on its way when a cancellation is confirmed by a mark, since
/// the record is too large to be written again. (The leader once wrote the end over the mark; and
/// of a job whose specification alone is too large it did not expect one.)
#[test]
fn cancellation_mark_wins_over_completion_in_flight() {
    for (nodes, record) in [3, 5].into_iter().flat_map(|n| oversized_records().map(|r| (n, r))) {
        let mut world = Cluster::new(1, Scenario { nodes, ids: 1, lead: true, faults: false, cancels: 0.0 });
        let (id, job) = ("req-0", record.spec.clone());
        let changes = vec![put(job_key(id), Value::Job(Box::new(record)))];
        world.store.execute(0.0, &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes }));
        world.submitted.insert(id.into());
        while world.leader().is_none() {
            world.settle(0.02, |op| writes(op, id));
        }
        let leader = world.leader().unwrap();
        let token = world.controllers[leader].token().unwrap();
        world.feed(leader, Input::Request(RequestId::MAX, all_done(&job, token)));
        world.settle(1.0, |op| writes(op, id));
        assert!(world.calls.iter().any(|c| writes(&c.3, id)), "its end is on its way");
        world.ask((leader + 1) % nodes, id, Request::Cancel(id.into()));
        world.settle(1.0, |op| writes(op, id));
        assert_eq!(world.told.get(id), Some(&ReportedStatus::Over(JobStatus::Cancelled)));
        assert!(matches!(world.stored(mark_key(id)), Some(Value::Terminal(_))), "by a mark");
        world.settle(20.0, |_| false);
        (0..nodes).for_each(|n| world.ask(n, id, Request::QueryStatus(id.into())));
        world.settle(1.0, |_| false);
        assert_eq!(world.violation, None, "{nodes} nodes");
        let over = world.stored(terminal_job_key(id));
        assert!(matches!(&over, Some(Value::Terminal(o)) if o.status == JobStatus::Cancelled), "{over:?}");
    }
}

impl Cluster {
    /// A job that runs, whose record takes so many bytes.
    fn running(seed: u64, nodes: usize, bytes: usize) -> Self {
        let mut world =
            Cluster::new(seed, Scenario { nodes, ids: 1, lead: false, faults: false, cancels: 0.0 });
        let mut record = JobRecord::new(spec("req-0"), 1e9, NEXT_VALUE_BYTES);
        record.status = JobStatus::Running;
        pad(&mut record, bytes);
        let changes = vec![put(job_key("req-0"), Value::Job(Box::new(record)))];
        world.store.execute(0.0, &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes }));
        world.submitted.insert("req-0".into());
        world
    }

    /// Another leader stores that a job is done.
    fn finish(&mut self, id: &str) {
        let Some(Value::Job(j)) = self.stored(job_key(id)) else { return };
        let record = JobRecord { status: JobStatus::Done, first_page: PageRecord::default(), ..*j };
        let changes = vec![put(job_key(id), Value::Job(Box::new(record)))];
        self.store
            .execute(self.now, &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes }));
    }

    /// Another leader takes a mark in: one write removes it and stores the cancellation.
    fn apply_mark(&mut self, id: &str) {
        let Some(Value::Job(j)) = self.stored(job_key(id)) else { return };
        let record = JobRecord { status: JobStatus::Cancelled, first_page: PageRecord::default(), ..*j };
        let changes =
            vec![put(job_key(id), Value::Job(Box::new(record))), Mutation::Delete { key: mark_key(id) }];
        self.store
            .execute(self.now, &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes }));
    }
}

/// A record that fits by a byte or two, and would not if it named the cancellation, is cancelled
/// by a mark. (A controller that had read the record once did not look for it.)
#[test]
fn cancellation_mark_beside_a_full_record_is_seen() {
    for (nodes, bytes) in
        [3, 5].into_iter().flat_map(|n| (NEXT_VALUE_BYTES - 12..NEXT_VALUE_BYTES + 4).map(move |b| (n, b)))
    {
        let mut world = Cluster::running(1, nodes, bytes);
        world.ask(0, "req-0", Request::Cancel("req-0".into()));
        world.settle(1.0, |_| false);
        assert_eq!(world.told.get("req-0"), Some(&ReportedStatus::Over(JobStatus::Cancelled)));
        (1..nodes).for_each(|n| world.ask(n, "req-0", Request::QueryStatus("req-0".into())));
        world.settle(1.0, |_| false);
        assert_eq!((world.violation, world.open.len()), (None, 0), "{bytes} bytes, {nodes} nodes");
    }
}

/// Whether a request looks for the mark beside the first job's record.
fn reads_mark(op: &StoreRequest) -> bool {
    match op {
        StoreRequest::Get(key) => *key == mark_key("req-0"),
        StoreRequest::Commit(t) => {
            t.mutations.is_empty() && t.compares.iter().any(|c| c.key == mark_key("req-0"))
        }
        _ => false,
    }
}

/// The first job has been cancelled by a mark, and node 1, which was asked, looks for it.
fn reading_mark(nodes: usize) -> Cluster {
    let mut world = Cluster::running(1, nodes, NEXT_VALUE_BYTES + 500);
    world.ask(0, "req-0", Request::Cancel("req-0".into()));
    world.settle(1.0, |_| false);
    world.ask(1, "req-0", Request::QueryStatus("req-0".into()));
    world.settle(0.2, reads_mark);
    assert!(world.calls.iter().any(|c| reads_mark(&c.3)), "it is reading_mark for the mark");
    world
}

/// A controller has read such a record, and the leader applies the mark before the controller
/// looks for it. (The job was once called running.)
#[test]
fn cancellation_mark_removed_during_a_read_is_not_missed() {
    for nodes in [3, 5] {
        let mut world = reading_mark(nodes);
        world.apply_mark("req-0");
        world.settle(1.0, |_| false);
        assert_eq!((world.violation, world.open.len()), (None, 0), "{nodes} nodes");
    }
}

/// That read gets no reply: it is repeated before the user times out.
#[test]
fn lost_read_of_a_cancellation_mark_is_retried() {
    for nodes in [3, 5] {
        let mut world = reading_mark(nodes);
        world.calls.retain(|c| !reads_mark(&c.3));
        world.settle(1.0, |_| false);
        assert_eq!((world.violation, world.open.len()), (None, 0), "{nodes} nodes");
    }
}

impl Cluster {
    /// Has job `id` read by node `n` and keeps the reply on its way.
    fn read_slowly(&mut self, n: usize, id: &str) -> (CallId, StoreReply) {
        let read = StoreRequest::Get(job_key(id));
        self.ask(n, id, Request::QueryStatus(id.into()));
        self.settle(1.0, |op| *op == read);
        let at = self.calls.iter().position(|c| c.3 == read).expect("it is being read");
        let call = self.calls.remove(at).2;
        (call, self.store.execute(self.now, &read).unwrap())
    }

    /// Stores that so many other jobs are over.
    fn end_others(&mut self, count: usize) {
        let over = |n| TerminalRecord { status: JobStatus::Done, done: n % 7, submitted_wall_s: 1e9 };
        for from in (0..count).step_by(100) {
            let ids = from..from + 100;
            let changes = ids.map(|n| {
                put(terminal_job_key(&format!("req-{}", 1000 + n)), Value::Terminal(over(n as u32)))
            });
            self.store.execute(
                0.0,
                &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes.collect() }),
            );
        }
    }
}

/// A read that is answered after the end was seen once left the job among the live ones, hidden
/// behind the cached end until that was evicted.
#[test]
fn late_read_does_not_revive_a_finished_job() {
    for nodes in [3, 5] {
        let mut world = Cluster::running(1, nodes, 1000);
        let (call, reply) = world.read_slowly(1, "req-0");
        world.finish("req-0");
        world.ask(1, "req-0", Request::QueryStatus("req-0".into()));
        world.settle(1.0, |_| false);
        assert_eq!(world.told.get("req-0"), Some(&ReportedStatus::Over(JobStatus::Done)));
        world.feed(1, Input::Store(call, reply));
        world.end_others(20_500);
        for id in ["req-1000", "req-0"] {
            world.submitted.insert(id.into());
            world.ask(1, id, Request::QueryStatus(id.into()));
            world.settle(1.0, |_| false);
        }
        assert_eq!((world.violation, world.open.len()), (None, 0), "{nodes} nodes");
    }
}

/// A page is left of a cancelled job whose record is archived. (A new leader once took the job for
/// done, and released its dependents.)
#[test]
fn leftover_page_of_a_cancelled_job_releases_no_dependents() {
    for nodes in [3, 5] {
        let mut world = Cluster::new(1, Scenario { nodes, ids: 1, lead: true, faults: false, cancels: 0.0 });
        let over = TerminalRecord { status: JobStatus::Cancelled, done: 0, submitted_wall_s: 1e9 };
        let next = JobRecord::new(world.spec("req-4"), 1e9, NEXT_VALUE_BYTES);
        let changes = vec![
            put(terminal_job_key("req-3"), Value::Terminal(over)),
            put(page_key("req-3", 1, 0), Value::Page(PageRecord::default())),
            put(job_key("req-4"), Value::Job(Box::new(next))),
        ];
        world.store.execute(0.0, &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes }));
        world.submitted.insert("req-4".into());
        world.cancel_asked.insert("req-3".into());
        for _ in 0..3 {
            world.settle(5.0, |_| false);
            (0..nodes).for_each(|n| world.ask(n, "req-4", Request::QueryStatus("req-4".into())));
        }
        world.settle(1.0, |_| false);
        assert_eq!(world.violation, None, "{nodes} nodes");
        assert_eq!(
            world.told.get("req-4"),
            Some(&ReportedStatus::Over(JobStatus::Cancelled)),
            "{nodes} nodes"
        );
    }
}

/// Short jobs at four a second, some with dependencies, some wide; users that ask everywhere,
/// cancel at the end and send invalid requests; and by `seed` a fault beside, or none.
fn crowd(seed: u64) -> Setup {
    let rng = &mut SmallRng::seed_from_u64(seed ^ 0xc201d);
    let mut setup = seeded_setup(seed, vec![]);
    without_quotas(&mut setup);
    let job = |n: u32, rng: &mut SmallRng| JobSpec {
        tasks: if n % 20 == 7 { 120 } else { rng.gen_range(1..4) },
        cores: 0.1,
        accelerators: 0.0,
        memory_gb: 0.1,
        estimated_run_s: rng.gen_range(0.2..6.0),
        dependencies: (n % 4 == 3).then(|| format!("req-{}", 100 + n - 1)).into_iter().collect(),
        ..spec(&format!("req-{}", 100 + n))
    };
    setup.jobs = (0..100)
        .map(|n| {
            let at = 25.0 + f64::from(n) * 0.25;
            let cancel = rng.gen_bool(0.2).then(|| at + rng.gen_range(0.0..8.0));
            Submission::new(at, job(n, rng)).cancelled_at(cancel)
        })
        .collect();
    let duration_s = 60.0;
    let node = rng.gen_range(0..3);
    setup.faults = vec![
        ScheduledFault::new(20.0, Fault::ConcurrentQueries { duration_s: 100.0 }),
        ScheduledFault::new(20.0, Fault::InvalidRequests { duration_s }),
        ScheduledFault::new(20.0, Fault::CancelAtCompletion { share: 0.4, duration_s: 100.0 }),
    ];
    let at = rng.gen_range(26.0..48.0);
    setup.faults.extend(match seed / 2 % 8 {
        0 => vec![],
        1 => vec![ScheduledFault::new(at, Fault::SlowStore { max_delay_s: 0.4, duration_s: 30.0 })],
        2 => vec![ScheduledFault::new(at, Fault::LostWriteResponses { share: 0.3, duration_s: 30.0 })],
        3 => vec![ScheduledFault::new(at, Fault::DelayedWrites { share: 0.3, duration_s: 30.0 })],
        4 => (0..12)
            .map(|n| {
                ScheduledFault::new(
                    at + f64::from(n),
                    Fault::ControllerCrash { node: n as usize % 3, duration_s: 0.2 },
                )
            })
            .collect(),
        5 => vec![
            ScheduledFault::new(at, Fault::StoreRefusesNode { node, duration_s: 12.0 }),
            ScheduledFault::new(at + 20.0, Fault::StoreOutage { duration_s: 8.0 }),
        ],
        6 => vec![ScheduledFault::new(
            at,
            Fault::NodePartition { node, store: true, workers: false, duration_s: 9.0 },
        )],
        _ => vec![
            ScheduledFault::new(at, Fault::QueryFlood { factor: 8.0, duration_s: 30.0 }),
            ScheduledFault::new(at + 5.0, Fault::ControllerPause { node, duration_s: 7.0 }),
        ],
    });
    Setup { nodes: 3 + seed as usize % 2 * 2, capacity: 20, ..setup }
}

/// Plays so many crowds; what was asked in each.
fn crowds(seeds: Range<u64>) -> Vec<QueryCounts> {
    let play = |seed| {
        let mut sim = Simulation::new(crowd(seed));
        assert_eq!(sim.run(400.0), [], "seed {seed}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
        sim.query_counts()
    };
    seeds.map(play).collect()
}

#[test]
fn concurrent_queries_invalid_requests_and_late_cancellations_break_no_rule() {
    let reads_mark = crowds(0..16);
    assert!(
        reads_mark.iter().all(|l| l.concurrent_answered > 500 && l.invalid_refused > 50),
        "{reads_mark:?}"
    );
    assert!(
        reads_mark.iter().all(|l| l.cancelled_at_acceptance > 0 && l.cancelled_at_completion > 10),
        "{reads_mark:?}"
    );
    // A tenth of those that are accepted, of a hundred each.
    let at_once: u64 = reads_mark.iter().map(|l| l.cancelled_at_acceptance).sum();
    assert!(at_once > 16 * 5, "{reads_mark:?}");
}

#[test]
#[ignore = "minutes"]
fn concurrent_queries_over_many_seeds_break_no_rule() {
    assert_eq!(crowds(16..816).len(), 800);
}

/// A field's value as a user may send it.
#[derive(Clone, Serialize)]
#[serde(untagged)]
enum Sent {
    Id(String),
    Text(&'static str),
    Texts(Vec<&'static str>),
    Number(f64),
    Count(i64),
    Flag(bool),
    Null(()),
}

type Body = BTreeMap<&'static str, Sent>;

/// A submission that is well formed and can run, without its id.
fn body() -> Body {
    use Sent::*;
    BTreeMap::from([
        ("lane", Text("work")),
        ("crew", Text("dispatch")),
        ("shape", Text("array")),
        ("urgency", Text("standard")),
        ("legs", Count(2)),
        ("cores", Number(1.0)),
        ("accelerators", Number(1.0)),
        ("memGb", Number(1.0)),
        ("kit", Text("img-1")),
        ("sizeGb", Number(1.0)),
        ("breeds", Texts(vec!["big"])),
        ("yard", Text("a")),
        ("together", Flag(false)),
        ("spread", Flag(false)),
        ("loaners", Flag(false)),
        ("etaS", Number(10.0)),
        ("waypointS", Number(0.0)),
        ("stashS", Number(0.0)),
        ("dueS", Number(60.0)),
    ])
}

/// Fields that may be null, and so be omitted.
const NULLABLE: [&str; 3] = ["breeds", "yard", "dueS"];

/// Submissions and the status that each gets when it is new.
fn submissions() -> Vec<(String, Body, u16)> {
    use Sent::*;
    let mut all = vec![("as it is".to_string(), body(), 201)];
    let amounts = ["cores", "accelerators", "memGb", "sizeGb", "etaS", "waypointS", "stashS", "dueS"];
    let mut with = |what: &str, changes: &[(&'static str, Sent)], status: u16| {
        let mut b = body();
        b.extend(changes.iter().cloned());
        all.push((what.to_string(), b, status));
    };
    for (field, value) in body() {
        let nullable = if NULLABLE.contains(&field) { 201 } else { 400 };
        with(&format!("{field} null"), &[(field, Null(()))], nullable);
        let other = if matches!(value, Text(_) | Texts(_)) { Count(0) } else { Text("1") };
        with(&format!("{field} of another kind"), &[(field, other)], 400);
    }
    for field in amounts {
        for bad in [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
            with(&format!("{field} {bad}"), &[(field, Number(bad))], 400);
        }
    }
    for bad in [Count(0), Count(-1), Count(100_001), Number(2.5)] {
        with("a bad number of tasks", &[("legs", bad)], 400);
    }
    for (field, word) in [("shape", "swarm"), ("urgency", "asap"), ("crew", ""), ("lane", ""), ("kit", "")] {
        with(&format!("{field} {word}"), &[(field, Text(word))], 400);
    }
    with("an unknown team", &[("crew", Text("nobody"))], 422);
    with("no such type", &[("breeds", Texts(vec!["small"]))], 422);
    with("no type at all", &[("breeds", Texts(vec![]))], 422);
    with("no such zone", &[("yard", Text("z"))], 422);
    for (field, most) in [("cores", 16.0), ("accelerators", 4.0), ("memGb", 64.0)] {
        with(&format!("{field} of a whole machine"), &[(field, Number(most))], 201);
        with(&format!("{field} beyond any machine"), &[(field, Number(most + 0.5))], 422);
    }
    let group = |legs, more: &[(&'static str, Sent)]| {
        let mut changes = vec![("shape", Text("group")), ("legs", Count(legs)), ("yard", Null(()))];
        changes.extend(more.iter().cloned());
        changes
    };
    let (apart, at_once) = (("spread", Flag(true)), ("together", Flag(true)));
    with("a gang at the limit", &group(72, &[]), 201);
    with("a gang beyond the limit", &group(73, &[]), 422);
    with("a service beyond the limit", &[("shape", Text("standing")), ("legs", Count(73))], 422);
    with("an array beyond the limit", &[("legs", Count(73))], 201);
    with("a gang in two zones", &group(3, std::slice::from_ref(&apart)), 201);
    with("a gang of one, apart and together", &group(1, &[apart.clone(), at_once.clone()]), 201);
    with("a gang apart and together", &group(2, &[apart.clone(), at_once]), 422);
    with("a gang apart in one zone", &group(2, &[apart, ("yard", Text("a"))]), 422);
    for field in body().into_keys() {
        let mut b = body();
        b.remove(field);
        all.push((format!("no {field}"), b, if NULLABLE.contains(&field) { 201 } else { 400 }));
    }
    all
}

fn sent(body: &Body, id: &str) -> Request {
    let mut body = body.clone();
    body.insert("id", Sent::Id(id.into()));
    Request::Submit(protocol::encode(&body))
}

/// What is malformed gets 400, and what can never run 422.
#[test]
fn invalid_submissions_are_refused() {
    for nodes in [3, 5] {
        let mut world = Cluster::new(1, Scenario { nodes, ids: 1, lead: false, faults: false, cancels: 0.0 });
        world.settle(1.0, |_| false);
        let all = submissions();
        let ids: Vec<String> = (0..all.len()).map(|n| format!("req-{}", 100 + n)).collect();
        for (n, (id, (_, body, _))) in ids.iter().zip(&all).enumerate() {
            world.ask(n % nodes, id, sent(body, id));
            world.settle(0.1, |_| false);
        }
        world.settle(1.0, |_| false);
        let got: Vec<_> = ids.iter().zip(&all).map(|(id, a)| (&a.0, world.statuses[id].clone())).collect();
        let wanted: Vec<_> = all.iter().map(|a| (&a.0, vec![a.2])).collect();
        assert_eq!(got, wanted);
        assert_eq!(world.violation, None);
    }
}

/// Whatever is submitted under the id of a known job, at any controller, gets the status of that
/// job: while it waits, once it is done or cancelled, and when the types that it could run on are
/// gone.
#[test]
fn resubmission_of_a_known_job_returns_its_status() {
    for (nodes, end) in [(3, JobStatus::Pending), (5, JobStatus::Done), (3, JobStatus::Cancelled)] {
        let mut world = Cluster::new(1, Scenario { nodes, ids: 1, lead: false, faults: false, cancels: 0.0 });
        world.settle(1.0, |_| false);
        world.ask(0, "req-0", sent(&body(), "req-0"));
        world.settle(1.0, |_| false);
        if end.is_final() {
            let Some(Value::Job(j)) = world.stored(job_key("req-0")) else { panic!("it is not stored") };
            let over = Value::Terminal(TerminalRecord {
                status: end,
                done: j.done,
                submitted_wall_s: j.submitted_wall_s,
            });
            let changes =
                vec![Mutation::Delete { key: job_key("req-0") }, put(terminal_job_key("req-0"), over)];
            world.store.execute(
                world.now,
                &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes }),
            );
            world.cancel_asked.insert("req-0".into());
        }
        let other = Value::Types(vec![MachineType { name: "other".into(), ..big() }]);
        let changes = vec![put(TYPES_KEY.into(), other)];
        world
            .store
            .execute(world.now, &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes }));
        world.settle(4.0, |_| false);
        let Request::Submit(whole) = sent(&body(), "req-0") else { return };
        let mut all: Vec<Request> = submissions().iter().map(|(_, body, _)| sent(body, "req-0")).collect();
        all.push(Request::Submit([&whole[..], &[0xc0]].concat()));
        let count = all.len() + 1;
        for (n, request) in all.into_iter().enumerate() {
            world.ask(n % nodes, "req-0", request);
            world.settle(0.1, |_| false);
        }
        world.ask(0, "req-1", sent(&body(), "req-1"));
        world.settle(1.0, |_| false);
        assert_eq!(world.statuses["req-1"], [422], "no new job may ask for such a type");
        let statuses = &world.statuses["req-0"];
        assert_eq!((statuses.len(), statuses[0]), (count, 201));
        assert!(statuses[1..].iter().all(|s| *s == 200), "{end:?}: {statuses:?}");
        assert_eq!(world.violation, None);
    }
}
