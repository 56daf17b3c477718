//! Transactions that are carried out while their response is lost, or that are carried out late
//! (`docs/safety.md`).

mod common;
#[path = "common/store_harness.rs"]
mod store_harness;

use anisecroft_simulation::{Fault, ScheduledFault, Setup, Simulation, Submission};
use common::{example_settings, plain_array, seeded_setup, single_zone_type, without_quotas};
use controller::records::{
    JobRecord, LeaderRecord, StoredPlacement, Value, FORMAT, FORMAT_KEY, LEADER_KEY, TYPES_KEY,
};
use controller::*;
use protocol::job::*;
use protocol::worker::TaskState;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use settings::NextLimits;
use std::collections::{BTreeMap, BTreeSet};
use store_harness::*;

/// Loses the responses of the first `count` transactions that change a key with that prefix.
fn lose(prefix: &'static str, count: usize) -> Box<dyn FnMut(&StoreRequest) -> JobOutcome> {
    once(prefix, count, JobOutcome::Lost)
}

fn once(prefix: &'static str, count: usize, fate: JobOutcome) -> Box<dyn FnMut(&StoreRequest) -> JobOutcome> {
    let mut left = count;
    Box::new(move |op| {
        if left > 0 && writes(op, prefix) {
            left -= 1;
            return fate;
        }
        JobOutcome::Answered
    })
}

/// A submission that is stored, or will be, is accepted within a second, whichever responses are
/// lost. (Users once got 503 after the timeout, and asked again a second later.)
#[test]
fn submission_with_lost_response_is_accepted_within_a_second() {
    for (n, fate) in [JobOutcome::Lost, JobOutcome::Late(6.0), JobOutcome::Answered].into_iter().enumerate() {
        let mut harness = StoreHarness::leading();
        harness.fate = once("j/", 1, fate);
        let sent = harness.now;
        let request = harness.submit(&plain_array("req-1", 1));
        harness.run(8.0);
        let (at, status, told) = harness.told(request).expect("an answer");
        assert_eq!((status, told), (201, Some(JobStatus::Pending)), "{fate:?}");
        assert!(at - sent < 1.0, "{fate:?}: after {}", at - sent);
        // In quiet times nothing is read back.
        assert_eq!(harness.reads("j/") > 0, n < 2, "{fate:?}: {} read", harness.reads("j/"));
        assert_eq!(harness.store.count("j/"), 1);
    }
}

/// The same of a cancellation, also by a mark beside an oversized record.
#[test]
fn cancellation_with_lost_response_is_confirmed_within_a_second() {
    for (fate, marked) in [
        (JobOutcome::Lost, false),
        (JobOutcome::Late(6.0), false),
        (JobOutcome::Lost, true),
        (JobOutcome::Late(6.0), true),
    ] {
        let mut harness = if marked { with_a_large_record() } else { StoreHarness::leading() };
        if !marked {
            harness.submit(&plain_array("req-1", 1));
            harness.run(1.0);
        }
        let key = if marked { "jx/" } else { "j/" };
        harness.fate = once(key, 1, fate);
        let sent = harness.now;
        let request = harness.ask(Request::Cancel("req-1".into()));
        harness.run(8.0);
        let (at, status, told) = harness.told(request).expect("an answer");
        assert_eq!((status, told), (200, Some(JobStatus::Cancelled)), "{fate:?}");
        assert!(at - sent < 1.0, "{fate:?}: after {}", at - sent);
        assert!(harness.writes(sent - 0.1, key) > 0);
    }
}

/// A job of an earlier version, whose record is larger than the coming limits allow.
fn with_a_large_record() -> StoreHarness {
    let mut settings = example_settings();
    settings.params.store.value_kb = 8.0;
    settings.params.store.next = Some(NextLimits { value_kb: Some(2.0), ..NextLimits::default() });
    let mut record = JobRecord { per_page: 200, ..JobRecord::new(plain_array("req-1", 200), 1e9, 8192) };
    let place = |task| StoredPlacement { task, attempt: 1, machine: "vm-of-a-long-name".into() };
    record.first_page.placements = (0..100).map(place).collect();
    let mut harness = StoreHarness::with(settings, [("j/req-1".into(), Value::Job(Box::new(record)))]);
    harness.all_have_this_version();
    harness
}

/// A query is answered within a second though the compare that it needs got no response.
#[test]
fn query_with_lost_compare_is_answered_within_a_second() {
    let mut harness = StoreHarness::leading();
    harness.submit(&plain_array("req-1", 1));
    harness.run(0.5);
    let mut left = 1;
    harness.fate = Box::new(move |op| {
        let compares = matches!(op, StoreRequest::Commit(t) if t.mutations.is_empty());
        if compares && left > 0 {
            left -= 1;
            return JobOutcome::Lost;
        }
        JobOutcome::Answered
    });
    let sent = harness.now;
    let asked = ["req-1", "req-2"].map(|id| harness.ask(Request::QueryStatus(id.into())));
    harness.run(2.0);
    let told = asked.map(|request| harness.told(request).expect("an answer"));
    assert_eq!(told.map(|t| (t.1, t.2)), [(200, Some(JobStatus::Pending)), (404, None)]);
    assert!(told.iter().all(|t| t.0 - sent < 1.0), "{told:?} of {sent}");
}

/// In an outage nothing is read back; and when many writes are overdue at once, reading back takes
/// a part of the controller's reads only, so that others go on.
#[test]
fn hedged_reads_are_bounded() {
    let mut harness = StoreHarness::leading();
    harness.fate = Box::new(|op| if writes(op, "j/") { JobOutcome::Lost } else { JobOutcome::Refused });
    harness.run(1.0);
    harness.submit(&plain_array("req-1", 1));
    harness.run(3.0);
    assert_eq!(harness.reads("j/"), 0);
    let mut harness = StoreHarness::leading();
    harness.fate = Box::new(|op| if writes(op, "j/") { JobOutcome::Late(9.0) } else { JobOutcome::Answered });
    (0..400).for_each(|n| {
        harness.submit(&plain_array(&format!("req-{n}"), 1));
    });
    harness.run(1.4);
    let state = example_settings().params.store;
    let most = state.rps * 0.8 / 3.0 * 0.25 * 2.4;
    let (reads, copies) = (harness.reads("j/"), harness.writes(1.1, "j/"));
    assert!(reads > 5 && reads as f64 <= most, "{reads} read, {most} at most");
    assert!(copies as f64 <= state.write_rps * 0.5 * 0.25 * 2.4, "{copies} copies");
}

/// A placement whose response is lost is launched at once all the same.
#[test]
fn placement_with_lost_response_is_launched_at_once() {
    let mut harness = StoreHarness::leading();
    harness.submit(&plain_array("req-1", 1));
    harness.run(0.5);
    harness.fate = lose("j/", 9);
    let (request, sent) = (harness.report(&[]), harness.now);
    harness.run(4.0);
    assert_eq!(harness.started(request), ["req-1/0"]);
    assert!(harness.answers[&request].0 - sent < 1.0, "after {}", harness.answers[&request].0 - sent);
}

/// An election that was carried out is recognised as won, however the controller learns of it. (It
/// once revoked its lease and tried again after the timeout.)
#[test]
fn election_with_lost_response_is_recognised() {
    for (watched, within) in [(true, 0.5), (false, TIMEOUT_S + 0.5)] {
        let mut harness = StoreHarness::new();
        let mut claim = lose("a/leader", 1);
        harness.fate = Box::new(move |op| match op {
            StoreRequest::Watch { prefix, .. } if prefix == "a/" && !watched => JobOutcome::Held,
            _ => claim(op),
        });
        harness.run(within);
        assert_eq!(
            (harness.controller.is_leader(), harness.writes(0.0, "a/leader")),
            (true, 1),
            "watched: {watched}"
        );
        harness.run(10.0);
        assert_eq!(
            (harness.controller.is_leader(), harness.writes(0.0, "a/leader")),
            (true, 1),
            "watched: {watched}"
        );
    }
}

/// The leader key, read before the election was carried out and answered after it, once ended the
/// leadership at once, and others waited for the lease.
#[test]
fn read_from_before_the_election_does_not_end_leadership() {
    let mut harness = StoreHarness::new();
    let (mut watches, mut looks) = (0, 0);
    harness.fate = Box::new(move |op| match op {
        StoreRequest::Watch { .. } => {
            watches += 1;
            if watches == 1 {
                JobOutcome::Refused
            } else {
                JobOutcome::Answered
            }
        }
        StoreRequest::Grant { .. } => JobOutcome::Held,
        StoreRequest::Get(key) if key == LEADER_KEY => {
            looks += 1;
            if looks == 2 {
                JobOutcome::Held
            } else {
                JobOutcome::Answered
            }
        }
        _ => JobOutcome::Answered,
    });
    harness.run(0.6);
    harness.release();
    harness.run(0.05);
    assert!(harness.controller.is_leader());
    harness.release();
    harness.run(1.0);
    assert!(harness.controller.is_leader());
}

/// A job whose end was archived without a response is over, whatever an older read still shows.
/// (It was once loaded anew from that, and placed.)
#[test]
fn archived_job_with_lost_response_does_not_come_back() {
    let mut harness = StoreHarness::leading();
    harness.submit(&plain_array("req-1", 1));
    harness.run(0.5);
    let mut end = lose("jo/", 1);
    harness.fate = Box::new(move |op| match op {
        StoreRequest::Watch { prefix, .. } if prefix == "j" => JobOutcome::Held,
        _ => end(op),
    });
    let request = harness.report(&[]);
    harness.run(0.1);
    assert_eq!(harness.started(request), ["req-1/0"]);
    harness.report(&[task("req-1", 0, TaskState::Exited)]);
    harness.run(TIMEOUT_S + 0.1);
    assert_eq!(
        (harness.store.count("j/"), harness.store.count("jo/"), harness.controller.placement_count()),
        (0, 1, 0)
    );
    harness.fate = Box::new(|_| JobOutcome::Answered);
    let released = harness.now;
    harness.release();
    for _ in 0..4 {
        assert_eq!(harness.controller.placement_count(), 0);
        harness.report(&[]);
        harness.run(1.0);
    }
    assert_eq!(harness.writes(released, "j/"), 0);
}

/// The images of machines are stored on after one such write got no response. (The version that
/// the leader knew once failed forever.)
#[test]
fn images_are_stored_after_a_lost_response() {
    let mut harness = StoreHarness::leading();
    harness.fate = lose("i/", 1);
    for (n, image) in ["img-1", "img-2"].into_iter().enumerate() {
        let id = format!("req-{n}");
        harness.submit(&JobSpec { image: image.into(), ..plain_array(&id, 1) });
        harness.run(0.5);
        harness.report(&[]);
        for _ in 0..20 {
            harness.run(1.5);
            harness.report(&[task(&id, 0, TaskState::Running)]);
        }
        let named = |v: &Value| matches!(v, Value::Images(i) if i.images.iter().any(|(n, _)| n == "img-2"));
        assert_eq!(harness.store.history("i/0000", named).first_match_at.is_some(), n == 1);
    }
    assert!(harness.writes(0.0, "i/") > 1);
}

/// A job stored in chunks while a new leader recovers is not damaged: its machine takes other
/// tasks. (It took none, and the job could not be stopped.)
#[test]
fn chunked_submission_during_recovery_is_complete() {
    let names = (0..40).map(|n| format!("{}{n}", "type-with-a-long-name-".repeat(4)));
    let spec_1 = JobSpec {
        machine_types: Some(names.chain(["big".to_string()]).collect()),
        ..plain_array("req-1", 1)
    };
    let (record, parts) = JobRecord::new(spec_1, 1e9, 2048).split_spec("1-1".into(), 2048);
    let mut harness = StoreHarness::new();
    harness.before_list =
        Some(("j/", parts.into_iter().chain([("j/req-1".into(), Value::Job(Box::new(record)))]).collect()));
    harness.run(1.0);
    let request = harness.report(&[]);
    harness.run(0.5);
    assert_eq!(harness.started(request), ["req-1/0"]);
    let running = [task("req-1", 0, TaskState::Running)];
    harness.report(&running);
    harness.submit(&plain_array("req-2", 1));
    harness.run(0.5);
    let request = harness.report(&running);
    harness.run(2.0);
    assert_eq!(harness.started(request), ["req-2/0"]);
}

/// A restarted controller that has heard from nobody yet stores a large job in chunks all the
/// same, if that format was agreed on. (Such a job, stored whole, once waited forever after the
/// limits fell; seeds 112 and 261.)
#[test]
fn restarted_node_knows_the_agreed_format() {
    let leader = LeaderRecord { node: "elsewhere".into(), elected_wall_s: 0.0, quick_restarts: 0, lease: 0 };
    let items = [
        (LEADER_KEY.into(), Value::Leader(leader)),
        (TYPES_KEY.into(), Value::Types(vec![single_zone_type()])),
        (FORMAT_KEY.into(), Value::Format(FORMAT)),
    ];
    let mut settings = example_settings();
    settings.params.store.next = Some(NextLimits { value_kb: Some(2.0), ..NextLimits::default() });
    let mut harness = StoreHarness::with(settings, items);
    let names = (0..40).map(|n| format!("{}{n}", "type-with-a-long-name-".repeat(4)));
    let large = JobSpec {
        machine_types: Some(names.chain(["big".to_string()]).collect()),
        ..plain_array("req-1", 1)
    };
    for _ in 0..4 {
        harness.submit(&large);
        harness.run(0.015);
    }
    harness.run(0.5);
    assert_eq!(harness.store.count("j/"), 1);
    assert!(
        harness.store.count("w/") > 1 && harness.store.largest_value_bytes("j/") <= 2048,
        "{}",
        harness.store.largest_value_bytes("j/")
    );
}

/// A job is split in several transactions, and the response to the decisive one is lost.
/// (Placements on pages written before once stayed unlaunched forever.)
#[test]
fn page_split_with_lost_response_takes_effect() {
    let mut settings = example_settings();
    let state = &mut settings.params.store;
    (state.value_kb, state.txn_ops) = (8.0, 2);
    state.next = Some(NextLimits { rps: None, write_rps: None, value_kb: Some(2.0), txn_ops: None });
    let array = JobSpec { cores: 0.16, accelerators: 0.0, memory_gb: 0.1, ..plain_array("req-1", 200) };
    let record = JobRecord { per_page: 200, ..JobRecord::new(array, 1e9, 8192) };
    let mut harness = StoreHarness::with(settings, [("j/req-1".into(), Value::Job(Box::new(record)))]);
    let state_of = |from: u32| move |n| if n < from { TaskState::Exited } else { TaskState::Running };
    let tasks = |n: u32, state: &dyn Fn(u32) -> TaskState| -> Vec<_> {
        (0..n).map(|n| task("req-1", n, state(n))).collect()
    };
    harness.run(1.0);
    let request = harness.report(&[]);
    harness.run(2.5);
    let placed = harness.started(request).len() as u32;
    assert_eq!(placed, 100);
    harness.report(&tasks(placed, &state_of(0)));
    harness.run(0.5);
    // Some places are given while a write is on its way; from then on the job may be divided.
    harness.fate = Box::new(|op| if held(op) { JobOutcome::Held } else { JobOutcome::Answered });
    for ended in [25, 50] {
        harness.report(&tasks(placed, &state_of(ended)));
        harness.run(0.6);
    }
    harness.all_have_this_version();
    let mut record = lose("j/", 1);
    harness.fate = Box::new(move |op| if is_watch(op) { JobOutcome::Held } else { record(op) });
    while harness.release() {}
    harness.run(TIMEOUT_S + 0.5);
    assert!(harness.store.count("t/") > 1, "{} pages", harness.store.count("t/"));
    harness.fate = Box::new(|_| JobOutcome::Answered);
    while harness.release() {}
    let mut started = BTreeSet::new();
    for _ in 0..4 {
        let request = harness.report(&tasks(placed, &state_of(50)));
        harness.run(2.5);
        started.extend(harness.started(request));
    }
    assert_eq!(started.len(), 50);
}

fn is_watch(op: &StoreRequest) -> bool {
    matches!(op, StoreRequest::Watch { prefix, .. } if prefix == "j")
}

fn held(op: &StoreRequest) -> bool {
    is_watch(op) || writes(op, "j/")
}

/// Kinds of transactions whose response was lost, with their number.
fn kinds(sim: &Simulation) -> BTreeMap<&'static str, usize> {
    let mut kinds = BTreeMap::new();
    for w in &sim.unanswered_writes {
        let mut note = |kind| *kinds.entry(kind).or_insert(0) += 1;
        for key in &w.keys {
            let first =
                |such: fn(&Value) -> bool| sim.store().history(key, such).first_match_at == Some(w.at);
            let cancelled = |v: &Value| matches!(v, Value::Job(j) if j.status == JobStatus::Cancelled);
            match key.split('/').next() {
                Some("a") if key == LEADER_KEY => note("claim"),
                Some("f") => note("gate"),
                Some("w") => note("parts"),
                Some("t") => note("pages"),
                Some("i") => note("images"),
                Some("jx") => note("mark"),
                Some("jo") => note("move"),
                Some("j") if first(|_| true) => note("submission"),
                Some("j") if first(cancelled) => note("cancellation"),
                Some("j") => note("record"),
                _ => {}
            }
        }
    }
    kinds
}

/// Jobs of all kinds, some of hundreds of tasks and some whose specification is stored in chunks,
/// under limits that may fall to a quarter.
fn mixture(seed: u64) -> Setup {
    let mut setup = seeded_setup(seed, vec![]);
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x105e);
    let state = &mut setup.settings.params.store;
    (state.value_kb, state.txn_ops) = (8.0, 24);
    state.next = Some(NextLimits {
        rps: None,
        write_rps: Some(state.write_rps * 0.7),
        value_kb: Some(2.0),
        txn_ops: Some(8),
    });
    without_quotas(&mut setup);
    for (n, Submission { at, spec, cancel_at: cancel }) in setup.jobs.iter_mut().enumerate() {
        *at = rng.gen_range(2.0..110.0);
        *cancel = cancel.map(|_| *at + rng.gen_range(0.1..30.0));
        if n % 5 == 0 && spec.shape == Shape::Array {
            spec.tasks = rng.gen_range(60..300);
            (spec.cores, spec.accelerators, spec.memory_gb) = (0.25, 0.0, 0.25);
        }
        if n % 7 == 0 {
            let names = (0..40).map(|n| format!("{}{n}", "type-with-a-long-name-".repeat(4)));
            spec.machine_types = Some(names.chain(["big".to_string()]).collect());
        }
    }
    Setup { capacity: 12, ..setup }
}

/// Responses are lost, transactions delayed, or both, for two minutes, at that share in all; at
/// first, during the first election, most responses are lost.
fn lossy(seed: u64, nodes: usize, share: f64) -> Simulation {
    let (from, duration_s) = ([4.0, 15.0][seed as usize / 3 % 2], 110.0);
    let mut faults = match seed % 4 {
        0 => vec![Fault::LostWriteResponses { share, duration_s }],
        1 => vec![Fault::DelayedWrites { share, duration_s }],
        _ => {
            let share = share / 2.0;
            vec![Fault::LostWriteResponses { share, duration_s }, Fault::DelayedWrites { share, duration_s }]
        }
    };
    faults.push(Fault::ConcurrentQueries { duration_s });
    faults.push(Fault::CancelAtCompletion { share: 0.1, duration_s });
    let mut faults: Vec<_> = faults.into_iter().map(|fault| ScheduledFault::new(from, fault)).collect();
    faults.push(ScheduledFault::new(0.0, Fault::LostWriteResponses { share: 0.7, duration_s: 4.0 }));
    if seed % 3 > 0 {
        faults.push(ScheduledFault::new(20.0 + seed as f64 % 40.0, Fault::StoreLimitsReduced));
    }
    Simulation::new(Setup { nodes, faults, ..mixture(seed) })
}

/// The leader is replaced, or crashes, once.
fn hand_over(sim: &mut Simulation, seed: u64) {
    let Some(node) = sim.leader() else { return };
    sim.inject(match seed % 4 {
        0 => Fault::ControllerCrash { node, duration_s: 0.2 },
        1 => Fault::ControllerCrash { node, duration_s: 8.0 },
        2 => Fault::StoreRefusesNode { node, duration_s: 9.0 },
        _ => Fault::ControllerPause { node, duration_s: 12.0 },
    });
}

fn play(seed: u64) -> Simulation {
    let nodes = 3 + (seed / 2 % 2) as usize * 2;
    let what = format!("seed {seed}, {nodes} nodes");
    let mut sim = lossy(seed, nodes, 0.3);
    for at in [45.0, 85.0] {
        assert_eq!(sim.run(at + seed as f64 % 7.0), [], "{what}");
        hand_over(&mut sim, seed / 4);
    }
    assert_eq!(sim.run(500.0), [], "{what}");
    assert_eq!(sim.unfinished(), Vec::<String>::new(), "{what}");
    assert!(sim.query_counts().concurrent_answered > 100, "{what}: {:?}", sim.query_counts());
    sim
}

/// Days on two threads, and which transactions got no response on them.
fn days(seeds: std::ops::Range<u64>) -> BTreeMap<&'static str, usize> {
    let half = |odd: u64| seeds.clone().filter(move |s| s % 2 == odd).map(|s| kinds(&play(s)));
    let all = std::thread::scope(|scope| {
        let threads = [0, 1].map(|odd| scope.spawn(move || half(odd).collect::<Vec<_>>()));
        threads.into_iter().flat_map(|t| t.join().expect("no rule breaks")).collect::<Vec<_>>()
    });
    let mut sums = BTreeMap::new();
    all.into_iter().flatten().for_each(|(kind, n)| *sums.entry(kind).or_insert(0) += n);
    sums
}

/// While the other controllers read what was written, users ask there, and the writer retries,
/// reads back, is replaced or crashes.
#[test]
fn lost_responses_and_delayed_writes_break_no_rule() {
    let kinds = days(0..6);
    for kind in KINDS {
        assert!(kinds.contains_key(kind), "no {kind}: {kinds:?}");
    }
}

const KINDS: [&str; 9] =
    ["claim", "gate", "parts", "pages", "images", "move", "submission", "cancellation", "record"];

/// The same for many seeds: `cargo test --release -p anisecroft-simulation --test
/// lost_write_responses -- --ignored`.
#[test]
#[ignore = "minutes"]
fn lost_responses_and_delayed_writes_over_many_seeds() {
    println!("{:?}", days(100..300));
}

/// Of 300 submissions in a minute with a fault, those accepted within a second.
fn accepted_in_time(seed: u64, nodes: usize, fault: Fault) -> usize {
    let mut setup = seeded_setup(seed, vec![ScheduledFault::new(10.0, fault)]);
    without_quotas(&mut setup);
    let job = |n: usize| JobSpec { estimated_run_s: 3.0, ..plain_array(&format!("req-{n:04}"), 1) };
    setup.jobs = (0..300).map(|n| Submission::new(10.0 + n as f64 * 0.2, job(n))).collect();
    let at: BTreeMap<String, f64> =
        setup.jobs.iter().map(|Submission { at, spec, .. }| (spec.id.clone(), *at)).collect();
    let mut sim = Simulation::new(Setup { nodes, ..setup });
    assert_eq!(sim.run(100.0), [], "seed {seed}");
    assert_eq!(sim.history.accepted.len(), 300, "seed {seed}");
    sim.history.accepted_at.iter().filter(|(id, told)| **told - at[*id] <= 1.0).count()
}

/// With three transactions in ten without a response, users are told within a second nearly as
/// often as ever. (Of ten seeds before: 0.70 with lost responses, 0.71 with delayed writes.)
#[test]
fn most_submissions_are_accepted_within_a_second_despite_losses() {
    for (seed, nodes) in [(1, 3), (2, 5)] {
        for fault in [
            Fault::LostWriteResponses { share: 0.3, duration_s: 60.0 },
            Fault::DelayedWrites { share: 0.3, duration_s: 60.0 },
        ] {
            let accepted = accepted_in_time(seed, nodes, fault.clone());
            assert!(accepted >= 280, "seed {seed}, {nodes} nodes, {fault:?}: {accepted} of 300");
        }
    }
}
