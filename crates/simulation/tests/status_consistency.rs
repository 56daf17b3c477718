//! A status that any controller reports must not be older than one that any controller had reported
//! for that job before the request was sent (`docs/safety.md`, `went_back`).

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

/// Runs `scenario` until a violation, for at most `steps` steps.
fn run(seed: u64, scenario: Scenario, steps: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, scenario);
    for _ in 0..steps {
        cluster.step();
        if cluster.violation.is_some() {
            break;
        }
    }
    cluster
}

/// Derives a scenario from `seed`.
fn scenario(seed: u64) -> Scenario {
    let jobs = [1, 2, 3, 6, 9][seed as usize / 8 % 5];
    Scenario {
        nodes: 3 + seed as usize % 2 * 2,
        jobs,
        elects_leader: seed % 8 >= 5,
        faults: seed / 2 % 3 > 0,
        cancel_probability: [0.02, 0.1, 0.4][seed as usize / 5 % 3],
    }
}

/// Runs the scenarios of `seeds` with messages reordered, lost or late and controllers that restart,
/// and checks that none ends with a violation.
fn run_scenarios(seeds: Range<u64>) -> Coverage {
    let mut coverage = Coverage::default();
    for seed in seeds {
        let cluster = run(seed, scenario(seed), 3000);
        assert_eq!(cluster.violation, None, "seed {seed}");
        coverage.add(&cluster.coverage);
    }
    coverage
}

#[test]
fn status_never_goes_back_at_any_node() {
    let coverage = run_scenarios(0..200);
    assert!(
        coverage.concurrent_queries > 1000
            && coverage.resubmissions > 1000
            && coverage.invalid_submissions > 1000,
        "{coverage:?}"
    );
    assert!(
        coverage.cancelled > 100
            && coverage.done > 100
            && coverage.inherited_cancellations > 50
            && coverage.cancellation_marks > 50,
        "{coverage:?}"
    );
    assert!(
        coverage.archived > 100
            && coverage.expired_watches > 100
            && coverage.restarts > 100
            && coverage.late_writes > 50
            && coverage.lost_replies > 100,
        "{coverage:?}"
    );
}

/// The same over many seeds, which takes minutes: `cargo test --release -p anisecroft-simulation
/// --test status_consistency -- --ignored`.
#[test]
#[ignore = "minutes"]
fn status_never_goes_back_over_many_seeds() {
    assert!(run_scenarios(200..20_000).cancellation_marks > 1000);
}

/// A heartbeat of the only machine, which reports all tasks of a job as completed.
fn completion_heartbeat(job: &JobSpec, token: u64) -> Request {
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

/// The leader's write of a job's completion is in flight when a cancellation is confirmed by a mark,
/// because the record is too large to be rewritten. The completion must not override the mark, even if
/// the specification alone makes the record too large.
#[test]
fn cancellation_mark_wins_over_completion_in_flight() {
    for (nodes, record) in [3, 5].into_iter().flat_map(|n| oversized_records().map(|r| (n, r))) {
        let mut cluster = Cluster::new(
            1,
            Scenario { nodes, jobs: 1, elects_leader: true, faults: false, cancel_probability: 0.0 },
        );
        let (id, job) = ("req-0", record.spec.clone());
        let changes = vec![put(job_key(id), Value::Job(Box::new(record)))];
        cluster
            .store
            .execute(0.0, &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes }));
        cluster.submitted.insert(id.into());
        while cluster.leader().is_none() {
            cluster.settle(0.02, |op| is_leader_write(op, id));
        }
        let leader = cluster.leader().unwrap();
        let token = cluster.controllers[leader].token().unwrap();
        cluster.feed(leader, Input::Request(RequestId::MAX, completion_heartbeat(&job, token)));
        cluster.settle(1.0, |op| is_leader_write(op, id));
        assert!(
            cluster.calls.iter().any(|c| is_leader_write(&c.3, id)),
            "the write of the completion is not in flight"
        );
        cluster.send_request((leader + 1) % nodes, id, Request::Cancel(id.into()));
        cluster.settle(1.0, |op| is_leader_write(op, id));
        assert_eq!(cluster.reported.get(id), Some(&ReportedStatus::Terminal(JobStatus::Cancelled)));
        assert!(matches!(cluster.stored(mark_key(id)), Some(Value::Terminal(_))), "no cancellation mark");
        cluster.settle(20.0, |_| false);
        (0..nodes).for_each(|n| cluster.send_request(n, id, Request::QueryStatus(id.into())));
        cluster.settle(1.0, |_| false);
        assert_eq!(cluster.violation, None, "{nodes} nodes");
        let terminal = cluster.stored(terminal_job_key(id));
        assert!(
            matches!(&terminal, Some(Value::Terminal(t)) if t.status == JobStatus::Cancelled),
            "{terminal:?}"
        );
    }
}

impl Cluster {
    /// A cluster with one running job, whose record takes `bytes` bytes.
    fn with_running_job(seed: u64, nodes: usize, bytes: usize) -> Self {
        let mut cluster = Cluster::new(
            seed,
            Scenario { nodes, jobs: 1, elects_leader: false, faults: false, cancel_probability: 0.0 },
        );
        let mut record = JobRecord::new(spec("req-0"), 1e9, NEXT_VALUE_BYTES);
        record.status = JobStatus::Running;
        pad_to(&mut record, bytes);
        let changes = vec![put(job_key("req-0"), Value::Job(Box::new(record)))];
        cluster
            .store
            .execute(0.0, &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes }));
        cluster.submitted.insert("req-0".into());
        cluster
    }

    /// Stores that a job is done, as a leader elsewhere would.
    fn finish(&mut self, id: &str) {
        let Some(Value::Job(j)) = self.stored(job_key(id)) else { return };
        let record = JobRecord { status: JobStatus::Done, first_page: PageRecord::default(), ..*j };
        let changes = vec![put(job_key(id), Value::Job(Box::new(record)))];
        self.store
            .execute(self.now, &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes }));
    }

    /// Applies a cancellation mark, as a leader elsewhere would: one transaction stores the
    /// cancellation and deletes the mark.
    fn apply_mark(&mut self, id: &str) {
        let Some(Value::Job(j)) = self.stored(job_key(id)) else { return };
        let record = JobRecord { status: JobStatus::Cancelled, first_page: PageRecord::default(), ..*j };
        let changes =
            vec![put(job_key(id), Value::Job(Box::new(record))), Mutation::Delete { key: mark_key(id) }];
        self.store
            .execute(self.now, &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes }));
    }
}

/// A record within a few bytes of the limit, which would exceed it with the cancellation in it, is
/// cancelled by a mark. Controllers that read such a record must look for the mark.
#[test]
fn cancellation_mark_of_a_full_record_is_seen() {
    for (nodes, bytes) in
        [3, 5].into_iter().flat_map(|n| (NEXT_VALUE_BYTES - 12..NEXT_VALUE_BYTES + 4).map(move |b| (n, b)))
    {
        let mut cluster = Cluster::with_running_job(1, nodes, bytes);
        cluster.send_request(0, "req-0", Request::Cancel("req-0".into()));
        cluster.settle(1.0, |_| false);
        assert_eq!(cluster.reported.get("req-0"), Some(&ReportedStatus::Terminal(JobStatus::Cancelled)));
        (1..nodes).for_each(|n| cluster.send_request(n, "req-0", Request::QueryStatus("req-0".into())));
        cluster.settle(1.0, |_| false);
        assert_eq!(
            (cluster.violation, cluster.pending_requests.len()),
            (None, 0),
            "{bytes} bytes, {nodes} nodes"
        );
    }
}

/// Whether a request reads or compares the cancellation mark of `req-0`.
fn reads_mark(op: &StoreRequest) -> bool {
    match op {
        StoreRequest::Get(key) => *key == mark_key("req-0"),
        StoreRequest::Commit(t) => {
            t.mutations.is_empty() && t.compares.iter().any(|c| c.key == mark_key("req-0"))
        }
        _ => false,
    }
}

/// A cluster in which `req-0` was cancelled by a mark, and node 1 is reading the mark to answer a
/// status query.
fn cluster_reading_mark(nodes: usize) -> Cluster {
    let mut cluster = Cluster::with_running_job(1, nodes, NEXT_VALUE_BYTES + 500);
    cluster.send_request(0, "req-0", Request::Cancel("req-0".into()));
    cluster.settle(1.0, |_| false);
    cluster.send_request(1, "req-0", Request::QueryStatus("req-0".into()));
    cluster.settle(0.2, reads_mark);
    assert!(cluster.calls.iter().any(|c| reads_mark(&c.3)), "node 1 is not reading the mark");
    cluster
}

/// The leader applies the mark after a controller has read the record and before it reads the mark.
/// The controller must not report the job as running.
#[test]
fn cancellation_mark_removed_during_a_read_is_not_missed() {
    for nodes in [3, 5] {
        let mut cluster = cluster_reading_mark(nodes);
        cluster.apply_mark("req-0");
        cluster.settle(1.0, |_| false);
        assert_eq!((cluster.violation, cluster.pending_requests.len()), (None, 0), "{nodes} nodes");
    }
}

/// A read of the mark that gets no reply is repeated before the user times out.
#[test]
fn lost_read_of_a_cancellation_mark_is_retried() {
    for nodes in [3, 5] {
        let mut cluster = cluster_reading_mark(nodes);
        cluster.calls.retain(|c| !reads_mark(&c.3));
        cluster.settle(1.0, |_| false);
        assert_eq!((cluster.violation, cluster.pending_requests.len()), (None, 0), "{nodes} nodes");
    }
}

impl Cluster {
    /// Queries job `id` at node `n`. Returns node `n`'s read of the record and its reply, which the
    /// test delivers later.
    fn start_read(&mut self, n: usize, id: &str) -> (CallId, StoreReply) {
        let read = StoreRequest::Get(job_key(id));
        self.send_request(n, id, Request::QueryStatus(id.into()));
        self.settle(1.0, |op| *op == read);
        let index = self.calls.iter().position(|c| c.3 == read).expect("the node reads the record");
        let call = self.calls.remove(index).2;
        (call, self.store.execute(self.now, &read).unwrap())
    }

    /// Stores `count` other jobs as archived.
    fn archive_other_jobs(&mut self, count: usize) {
        let terminal = |n| TerminalRecord { status: JobStatus::Done, done: n % 7, submitted_wall_s: 1e9 };
        for from in (0..count).step_by(100) {
            let ids = from..from + 100;
            let changes = ids.map(|n| {
                put(terminal_job_key(&format!("req-{}", 1000 + n)), Value::Terminal(terminal(n as u32)))
            });
            self.store.execute(
                0.0,
                &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes.collect() }),
            );
        }
    }
}

/// A read of a job's record is answered after the controller has seen the job's end. The outdated
/// record must not bring the job back once its cached terminal status is evicted.
#[test]
fn late_read_does_not_revive_a_finished_job() {
    for nodes in [3, 5] {
        let mut cluster = Cluster::with_running_job(1, nodes, 1000);
        let (call, reply) = cluster.start_read(1, "req-0");
        cluster.finish("req-0");
        cluster.send_request(1, "req-0", Request::QueryStatus("req-0".into()));
        cluster.settle(1.0, |_| false);
        assert_eq!(cluster.reported.get("req-0"), Some(&ReportedStatus::Terminal(JobStatus::Done)));
        cluster.feed(1, Input::Store(call, reply));
        cluster.archive_other_jobs(20_500);
        for id in ["req-1000", "req-0"] {
            cluster.submitted.insert(id.into());
            cluster.send_request(1, id, Request::QueryStatus(id.into()));
            cluster.settle(1.0, |_| false);
        }
        assert_eq!((cluster.violation, cluster.pending_requests.len()), (None, 0), "{nodes} nodes");
    }
}

/// A page of a cancelled job is left although the job is archived. A new leader must not take the job
/// for done and release its dependents.
#[test]
fn leftover_page_of_a_cancelled_job_releases_no_dependents() {
    for nodes in [3, 5] {
        let mut cluster = Cluster::new(
            1,
            Scenario { nodes, jobs: 1, elects_leader: true, faults: false, cancel_probability: 0.0 },
        );
        let terminal = TerminalRecord { status: JobStatus::Cancelled, done: 0, submitted_wall_s: 1e9 };
        let dependent = JobRecord::new(cluster.spec("req-4"), 1e9, NEXT_VALUE_BYTES);
        let changes = vec![
            put(terminal_job_key("req-3"), Value::Terminal(terminal)),
            put(page_key("req-3", 1, 0), Value::Page(PageRecord::default())),
            put(job_key("req-4"), Value::Job(Box::new(dependent))),
        ];
        cluster
            .store
            .execute(0.0, &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes }));
        cluster.submitted.insert("req-4".into());
        cluster.cancel_requested.insert("req-3".into());
        for _ in 0..3 {
            cluster.settle(5.0, |_| false);
            (0..nodes).for_each(|n| cluster.send_request(n, "req-4", Request::QueryStatus("req-4".into())));
        }
        cluster.settle(1.0, |_| false);
        assert_eq!(cluster.violation, None, "{nodes} nodes");
        assert_eq!(
            cluster.reported.get("req-4"),
            Some(&ReportedStatus::Terminal(JobStatus::Cancelled)),
            "{nodes} nodes"
        );
    }
}

/// Short jobs at four per second, some with dependencies, some with many tasks. Users query all nodes,
/// cancel as jobs complete and send invalid requests. `seed` selects additional faults, or none.
fn short_jobs_with_faults(seed: u64) -> Setup {
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

/// Runs `short_jobs_with_faults` for each seed, checks that no rule is broken and that all jobs
/// finish, and returns the counts of user requests of each run.
fn query_counts(seeds: Range<u64>) -> Vec<QueryCounts> {
    let run = |seed| {
        let mut sim = Simulation::new(short_jobs_with_faults(seed));
        assert_eq!(sim.run(400.0), [], "seed {seed}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
        sim.query_counts()
    };
    seeds.map(run).collect()
}

#[test]
fn concurrent_queries_invalid_requests_and_late_cancellations_break_no_rule() {
    let counts = query_counts(0..16);
    assert!(counts.iter().all(|c| c.concurrent_answered > 500 && c.invalid_refused > 50), "{counts:?}");
    assert!(
        counts.iter().all(|c| c.cancelled_at_acceptance > 0 && c.cancelled_at_completion > 10),
        "{counts:?}"
    );
    // A tenth of the hundred jobs of each run is cancelled as it is accepted.
    let cancelled_at_acceptance: u64 = counts.iter().map(|c| c.cancelled_at_acceptance).sum();
    assert!(cancelled_at_acceptance > 16 * 5, "{counts:?}");
}

#[test]
#[ignore = "minutes"]
fn concurrent_queries_over_many_seeds_break_no_rule() {
    assert_eq!(query_counts(16..816).len(), 800);
}

/// The value of a field in a submission.
#[derive(Clone, Serialize)]
#[serde(untagged)]
enum FieldValue {
    Id(String),
    Text(&'static str),
    Texts(Vec<&'static str>),
    Number(f64),
    Count(i64),
    Flag(bool),
    Null(()),
}

type Body = BTreeMap<&'static str, FieldValue>;

/// A well-formed submission of a job that can run, without its ID.
fn valid_body() -> Body {
    use FieldValue::*;
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

/// Fields that may be null or omitted.
const NULLABLE: [&str; 3] = ["breeds", "yard", "dueS"];

/// Submissions, each with a description and the HTTP status code that it gets if its ID is new.
fn submissions() -> Vec<(String, Body, u16)> {
    use FieldValue::*;
    let mut all = vec![("unchanged".to_string(), valid_body(), 201)];
    let amounts = ["cores", "accelerators", "memGb", "sizeGb", "etaS", "waypointS", "stashS", "dueS"];
    let mut with = |description: &str, changes: &[(&'static str, FieldValue)], code: u16| {
        let mut body = valid_body();
        body.extend(changes.iter().cloned());
        all.push((description.to_string(), body, code));
    };
    for (field, value) in valid_body() {
        let nullable = if NULLABLE.contains(&field) { 201 } else { 400 };
        with(&format!("{field} null"), &[(field, Null(()))], nullable);
        let other_type = if matches!(value, Text(_) | Texts(_)) { Count(0) } else { Text("1") };
        with(&format!("{field} of another type"), &[(field, other_type)], 400);
    }
    for field in amounts {
        for bad in [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
            with(&format!("{field} {bad}"), &[(field, Number(bad))], 400);
        }
    }
    for bad in [Count(0), Count(-1), Count(100_001), Number(2.5)] {
        with("an invalid number of tasks", &[("legs", bad)], 400);
    }
    for (field, word) in [("shape", "swarm"), ("urgency", "asap"), ("crew", ""), ("lane", ""), ("kit", "")] {
        with(&format!("{field} {word}"), &[(field, Text(word))], 400);
    }
    with("an unknown team", &[("crew", Text("nobody"))], 422);
    with("an unknown machine type", &[("breeds", Texts(vec!["small"]))], 422);
    with("no machine type", &[("breeds", Texts(vec![]))], 422);
    with("an unknown zone", &[("yard", Text("z"))], 422);
    for (field, capacity) in [("cores", 16.0), ("accelerators", 4.0), ("memGb", 64.0)] {
        with(&format!("{field} of a whole machine"), &[(field, Number(capacity))], 201);
        with(&format!("{field} beyond any machine"), &[(field, Number(capacity + 0.5))], 422);
    }
    let gang = |tasks, more: &[(&'static str, FieldValue)]| {
        let mut changes = vec![("shape", Text("group")), ("legs", Count(tasks)), ("yard", Null(()))];
        changes.extend(more.iter().cloned());
        changes
    };
    let (spread, one_zone) = (("spread", Flag(true)), ("together", Flag(true)));
    with("a gang at the limit", &gang(72, &[]), 201);
    with("a gang beyond the limit", &gang(73, &[]), 422);
    with("a service beyond the limit", &[("shape", Text("standing")), ("legs", Count(73))], 422);
    with("an array beyond the limit", &[("legs", Count(73))], 201);
    with("a gang spread over two zones", &gang(3, std::slice::from_ref(&spread)), 201);
    with("a gang of one task, spread and in one zone", &gang(1, &[spread.clone(), one_zone.clone()]), 201);
    with("a gang spread and in one zone", &gang(2, &[spread.clone(), one_zone]), 422);
    with("a gang spread and bound to a zone", &gang(2, &[spread, ("yard", Text("a"))]), 422);
    for field in valid_body().into_keys() {
        let mut body = valid_body();
        body.remove(field);
        all.push((format!("no {field}"), body, if NULLABLE.contains(&field) { 201 } else { 400 }));
    }
    all
}

/// Submits `body` under `id`.
fn submission(body: &Body, id: &str) -> Request {
    let mut body = body.clone();
    body.insert("id", FieldValue::Id(id.into()));
    Request::Submit(protocol::encode(&body))
}

/// Malformed submissions get 400, and those of jobs that can never run get 422.
#[test]
fn invalid_submissions_are_refused() {
    for nodes in [3, 5] {
        let mut cluster = Cluster::new(
            1,
            Scenario { nodes, jobs: 1, elects_leader: false, faults: false, cancel_probability: 0.0 },
        );
        cluster.settle(1.0, |_| false);
        let all = submissions();
        let ids: Vec<String> = (0..all.len()).map(|n| format!("req-{}", 100 + n)).collect();
        for (n, (id, (_, body, _))) in ids.iter().zip(&all).enumerate() {
            cluster.send_request(n % nodes, id, submission(body, id));
            cluster.settle(0.1, |_| false);
        }
        cluster.settle(1.0, |_| false);
        let actual: Vec<_> =
            ids.iter().zip(&all).map(|(id, s)| (&s.0, cluster.response_codes[id].clone())).collect();
        let expected: Vec<_> = all.iter().map(|s| (&s.0, vec![s.2])).collect();
        assert_eq!(actual, expected);
        assert_eq!(cluster.violation, None);
    }
}

/// Any submission under the ID of a known job, at any controller, gets the status of that job: while
/// it is pending, once it is done or cancelled, and after the machine types that it could run on are
/// removed.
#[test]
fn resubmission_of_a_known_job_returns_its_status() {
    for (nodes, status) in [(3, JobStatus::Pending), (5, JobStatus::Done), (3, JobStatus::Cancelled)] {
        let mut cluster = Cluster::new(
            1,
            Scenario { nodes, jobs: 1, elects_leader: false, faults: false, cancel_probability: 0.0 },
        );
        cluster.settle(1.0, |_| false);
        cluster.send_request(0, "req-0", submission(&valid_body(), "req-0"));
        cluster.settle(1.0, |_| false);
        if status.is_final() {
            let Some(Value::Job(j)) = cluster.stored(job_key("req-0")) else { panic!("req-0 is not stored") };
            let terminal = Value::Terminal(TerminalRecord {
                status,
                done: j.done,
                submitted_wall_s: j.submitted_wall_s,
            });
            let changes =
                vec![Mutation::Delete { key: job_key("req-0") }, put(terminal_job_key("req-0"), terminal)];
            cluster.store.execute(
                cluster.now,
                &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes }),
            );
            cluster.cancel_requested.insert("req-0".into());
        }
        let other_types = Value::Types(vec![MachineType { name: "other".into(), ..big_machine_type() }]);
        let changes = vec![put(TYPES_KEY.into(), other_types)];
        cluster.store.execute(
            cluster.now,
            &StoreRequest::Commit(Transaction { compares: vec![], mutations: changes }),
        );
        cluster.settle(4.0, |_| false);
        let Request::Submit(encoded) = submission(&valid_body(), "req-0") else { return };
        let mut all: Vec<Request> =
            submissions().iter().map(|(_, body, _)| submission(body, "req-0")).collect();
        // A valid submission with an additional byte.
        all.push(Request::Submit([&encoded[..], &[0xc0]].concat()));
        let count = all.len() + 1;
        for (n, request) in all.into_iter().enumerate() {
            cluster.send_request(n % nodes, "req-0", request);
            cluster.settle(0.1, |_| false);
        }
        cluster.send_request(0, "req-1", submission(&valid_body(), "req-1"));
        cluster.settle(1.0, |_| false);
        assert_eq!(
            cluster.response_codes["req-1"],
            [422],
            "a new job requests a machine type that was removed"
        );
        let codes = &cluster.response_codes["req-0"];
        assert_eq!((codes.len(), codes[0]), (count, 201));
        assert!(codes[1..].iter().all(|code| *code == 200), "{status:?}: {codes:?}");
        assert_eq!(cluster.violation, None);
    }
}
