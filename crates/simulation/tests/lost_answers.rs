//! Transactions that are carried out while their answer is lost, or carried out late
//! (`docs/safety.md`, "Where troubles meet").

mod common;
mod stage;

use anisecroft_simulation::{Fault, ScheduledFault, Setup, Simulation, Submission};
use common::{setup, unlimited};
use controller::records::{
    JobRecord, LeaderRecord, StoredPlacement, Value, FORMAT, FORMAT_KEY, LEADER_KEY, TYPES_KEY,
};
use controller::*;
use protocol::job::*;
use protocol::worker::TaskState;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use settings::NextLimits;
use stage::*;
use std::collections::{BTreeMap, BTreeSet};

/// Loses the answers of the first `count` transactions that change a key with that beginning.
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

/// A submission that is stored, or will be, is accepted within a second, whichever answers
/// are missing. (Users once got 503 after the time-out, and asked again a second later.)
#[test]
fn a_submission_without_an_answer_is_accepted_within_a_second() {
    for (n, fate) in [JobOutcome::Lost, JobOutcome::Late(6.0), JobOutcome::Answered].into_iter().enumerate() {
        let mut s = Stage::leading();
        s.fate = once("j/", 1, fate);
        let sent = s.now;
        let request = s.submit(&spec("req-1", 1));
        s.run(8.0);
        let (at, status, told) = s.told(request).expect("an answer");
        assert_eq!((status, told), (201, Some(JobStatus::Pending)), "{fate:?}");
        assert!(at - sent < 1.0, "{fate:?}: after {}", at - sent);
        // In quiet times nothing is read back.
        assert_eq!(s.reads("j/") > 0, n < 2, "{fate:?}: {} read", s.reads("j/"));
        assert_eq!(s.store.count("j/"), 1);
    }
}

/// The same of a cancellation, also by a mark beside a record that is too large.
#[test]
fn a_cancellation_without_an_answer_is_confirmed_within_a_second() {
    for (fate, marked) in [
        (JobOutcome::Lost, false),
        (JobOutcome::Late(6.0), false),
        (JobOutcome::Lost, true),
        (JobOutcome::Late(6.0), true),
    ] {
        let mut s = if marked { with_a_large_record() } else { Stage::leading() };
        if !marked {
            s.submit(&spec("req-1", 1));
            s.run(1.0);
        }
        let key = if marked { "jx/" } else { "j/" };
        s.fate = once(key, 1, fate);
        let sent = s.now;
        let request = s.ask(Request::Cancel("req-1".into()));
        s.run(8.0);
        let (at, status, told) = s.told(request).expect("an answer");
        assert_eq!((status, told), (200, Some(JobStatus::Cancelled)), "{fate:?}");
        assert!(at - sent < 1.0, "{fate:?}: after {}", at - sent);
        assert!(s.writes(sent - 0.1, key) > 0);
    }
}

/// A job of an earlier version, whose record is larger than the coming limits allow.
fn with_a_large_record() -> Stage {
    let mut settings = settings();
    settings.params.store.value_kb = 8.0;
    settings.params.store.next = Some(NextLimits { value_kb: Some(2.0), ..NextLimits::default() });
    let mut record = JobRecord { per_page: 200, ..JobRecord::new(spec("req-1", 200), 1e9, 8192) };
    let place = |task| StoredPlacement { task, attempt: 1, machine: "vm-of-a-long-name".into() };
    record.first_page.placements = (0..100).map(place).collect();
    let mut s = Stage::with(settings, [("j/req-1".into(), Value::Job(Box::new(record)))]);
    s.all_have_this_version();
    s
}

/// A question is answered within a second though the comparison that it needs got no answer.
#[test]
fn a_question_without_a_comparison_is_answered_within_a_second() {
    let mut s = Stage::leading();
    s.submit(&spec("req-1", 1));
    s.run(0.5);
    let mut left = 1;
    s.fate = Box::new(move |op| {
        let compares = matches!(op, StoreRequest::Commit(t) if t.mutations.is_empty());
        if compares && left > 0 {
            left -= 1;
            return JobOutcome::Lost;
        }
        JobOutcome::Answered
    });
    let sent = s.now;
    let asked = ["req-1", "req-2"].map(|id| s.ask(Request::QueryStatus(id.into())));
    s.run(2.0);
    let told = asked.map(|request| s.told(request).expect("an answer"));
    assert_eq!(told.map(|t| (t.1, t.2)), [(200, Some(JobStatus::Pending)), (404, None)]);
    assert!(told.iter().all(|t| t.0 - sent < 1.0), "{told:?} of {sent}");
}

/// In an outage nothing is read back; and of much that is overdue at once no more than a part of the
/// node's reads, so that the others go on.
#[test]
fn reading_back_has_its_bounds() {
    let mut s = Stage::leading();
    s.fate = Box::new(|op| if writes(op, "j/") { JobOutcome::Lost } else { JobOutcome::Refused });
    s.run(1.0);
    s.submit(&spec("req-1", 1));
    s.run(3.0);
    assert_eq!(s.reads("j/"), 0);
    let mut s = Stage::leading();
    s.fate = Box::new(|op| if writes(op, "j/") { JobOutcome::Late(9.0) } else { JobOutcome::Answered });
    (0..400).for_each(|n| {
        s.submit(&spec(&format!("req-{n}"), 1));
    });
    s.run(1.4);
    let state = settings().params.store;
    let most = state.rps * 0.8 / 3.0 * 0.25 * 2.4;
    let (reads, copies) = (s.reads("j/"), s.writes(1.1, "j/"));
    assert!(reads > 5 && reads as f64 <= most, "{reads} read, {most} at most");
    assert!(copies as f64 <= state.write_rps * 0.5 * 0.25 * 2.4, "{copies} copies");
}

/// A placement whose answer is lost is launched all the same, at once.
#[test]
fn a_placement_without_an_answer_is_launched_at_once() {
    let mut s = Stage::leading();
    s.submit(&spec("req-1", 1));
    s.run(0.5);
    s.fate = lose("j/", 9);
    let (request, sent) = (s.report(&[]), s.now);
    s.run(4.0);
    assert_eq!(s.started(request), ["req-1/0"]);
    assert!(s.answers[&request].0 - sent < 1.0, "after {}", s.answers[&request].0 - sent);
}

/// A claim that was carried out is this node's own, by whatever it learns so. (Its lease was given back,
/// and the next claim made, after the time-out.)
#[test]
fn a_claim_without_an_answer_is_known_as_own() {
    for (watched, within) in [(true, 0.5), (false, TIMEOUT_S + 0.5)] {
        let mut s = Stage::new();
        let mut claim = lose("a/leader", 1);
        s.fate = Box::new(move |op| match op {
            StoreRequest::Watch { prefix, .. } if prefix == "a/" && !watched => JobOutcome::Held,
            _ => claim(op),
        });
        s.run(within);
        assert_eq!((s.core.is_leader(), s.writes(0.0, "a/leader")), (true, 1), "watched: {watched}");
        s.run(10.0);
        assert_eq!((s.core.is_leader(), s.writes(0.0, "a/leader")), (true, 1), "watched: {watched}");
    }
}

/// The leader key, read before this node's claim was carried out and answered after, ended its
/// leadership at once, and others waited for its lease.
#[test]
fn a_look_from_before_the_claim_does_not_end_it() {
    let mut s = Stage::new();
    let (mut watches, mut looks) = (0, 0);
    s.fate = Box::new(move |op| match op {
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
    s.run(0.6);
    s.release();
    s.run(0.05);
    assert!(s.core.is_leader());
    s.release();
    s.run(1.0);
    assert!(s.core.is_leader());
}

/// A job whose end was stored and has moved, without an answer, is over, whatever an older look at
/// the records still shows of it. (It was taken in anew from that, and placed.)
#[test]
fn a_job_that_has_moved_unseen_does_not_come_back() {
    let mut s = Stage::leading();
    s.submit(&spec("req-1", 1));
    s.run(0.5);
    let mut end = lose("jo/", 1);
    s.fate = Box::new(move |op| match op {
        StoreRequest::Watch { prefix, .. } if prefix == "j" => JobOutcome::Held,
        _ => end(op),
    });
    let request = s.report(&[]);
    s.run(0.1);
    assert_eq!(s.started(request), ["req-1/0"]);
    s.report(&[task("req-1", 0, TaskState::Exited)]);
    s.run(TIMEOUT_S + 0.1);
    assert_eq!((s.store.count("j/"), s.store.count("jo/"), s.core.placement_count()), (0, 1, 0));
    s.fate = Box::new(|_| JobOutcome::Answered);
    let released = s.now;
    s.release();
    for _ in 0..4 {
        assert_eq!(s.core.placement_count(), 0);
        s.report(&[]);
        s.run(1.0);
    }
    assert_eq!(s.writes(released, "j/"), 0);
}

/// What machines hold is stored on after the answer to one such write was lost. (The version of
/// it that this leader knew failed for ever.)
#[test]
fn images_are_stored_after_a_lost_answer() {
    let mut s = Stage::leading();
    s.fate = lose("i/", 1);
    for (n, image) in ["img-1", "img-2"].into_iter().enumerate() {
        let id = format!("req-{n}");
        s.submit(&JobSpec { image: image.into(), ..spec(&id, 1) });
        s.run(0.5);
        s.report(&[]);
        for _ in 0..20 {
            s.run(1.5);
            s.report(&[task(&id, 0, TaskState::Running)]);
        }
        let named = |v: &Value| matches!(v, Value::Images(i) if i.images.iter().any(|(n, _)| n == "img-2"));
        assert_eq!(s.store.history("i/0000", named).first_match_at.is_some(), n == 1);
    }
    assert!(s.writes(0.0, "i/") > 1);
}

/// A job in parts that is submitted while a new leader reads is no damaged one: its
/// machine takes other work. (It took none, and the job could not be stopped.)
#[test]
fn a_submission_in_parts_while_records_are_read_is_whole() {
    let names = (0..40).map(|n| format!("{}{n}", "type-with-a-long-name-".repeat(4)));
    let spec_1 =
        JobSpec { machine_types: Some(names.chain(["big".to_string()]).collect()), ..spec("req-1", 1) };
    let (record, parts) = JobRecord::new(spec_1, 1e9, 2048).split_spec("1-1".into(), 2048);
    let mut s = Stage::new();
    s.before_list =
        Some(("j/", parts.into_iter().chain([("j/req-1".into(), Value::Job(Box::new(record)))]).collect()));
    s.run(1.0);
    let request = s.report(&[]);
    s.run(0.5);
    assert_eq!(s.started(request), ["req-1/0"]);
    let running = [task("req-1", 0, TaskState::Running)];
    s.report(&running);
    s.submit(&spec("req-2", 1));
    s.run(0.5);
    let request = s.report(&running);
    s.run(2.0);
    assert_eq!(s.started(request), ["req-2/0"]);
}

/// A node that is back and has heard nobody yet stores a large job in parts all the same, if that was
/// agreed on. (Seeds 112 and 261 of many days: such a job, stored whole, was left waiting for ever
/// when the limits fell.)
#[test]
fn a_node_that_is_back_knows_what_all_read() {
    let leader = LeaderRecord { node: "elsewhere".into(), elected_wall_s: 0.0, quick_restarts: 0, lease: 0 };
    let items = [
        (LEADER_KEY.into(), Value::Leader(leader)),
        (TYPES_KEY.into(), Value::Types(vec![big()])),
        (FORMAT_KEY.into(), Value::Format(FORMAT)),
    ];
    let mut settings = settings();
    settings.params.store.next = Some(NextLimits { value_kb: Some(2.0), ..NextLimits::default() });
    let mut s = Stage::with(settings, items);
    let names = (0..40).map(|n| format!("{}{n}", "type-with-a-long-name-".repeat(4)));
    let large =
        JobSpec { machine_types: Some(names.chain(["big".to_string()]).collect()), ..spec("req-1", 1) };
    for _ in 0..4 {
        s.submit(&large);
        s.run(0.015);
    }
    s.run(0.5);
    assert_eq!(s.store.count("j/"), 1);
    assert!(s.store.count("w/") > 1 && s.store.largest("j/") <= 2048, "{}", s.store.largest("j/"));
}

/// A job is divided anew in several transactions; the answer to the one from which that counts is lost.
/// (Placements on pages written before stayed unlaunched for ever.)
#[test]
fn a_division_without_an_answer_counts() {
    let mut settings = settings();
    let state = &mut settings.params.store;
    (state.value_kb, state.txn_ops) = (8.0, 2);
    state.next = Some(NextLimits { rps: None, write_rps: None, value_kb: Some(2.0), txn_ops: None });
    let array = JobSpec { cores: 0.16, accelerators: 0.0, memory_gb: 0.1, ..spec("req-1", 200) };
    let record = JobRecord { per_page: 200, ..JobRecord::new(array, 1e9, 8192) };
    let mut s = Stage::with(settings, [("j/req-1".into(), Value::Job(Box::new(record)))]);
    let state_of = |from: u32| move |n| if n < from { TaskState::Exited } else { TaskState::Running };
    let tasks = |n: u32, state: &dyn Fn(u32) -> TaskState| -> Vec<_> {
        (0..n).map(|n| task("req-1", n, state(n))).collect()
    };
    s.run(1.0);
    let request = s.report(&[]);
    s.run(2.5);
    let placed = s.started(request).len() as u32;
    assert_eq!(placed, 100);
    s.report(&tasks(placed, &state_of(0)));
    s.run(0.5);
    // Some places are given while a write is on its way; from then on the job may be divided.
    s.fate = Box::new(|op| if held(op) { JobOutcome::Held } else { JobOutcome::Answered });
    for ended in [25, 50] {
        s.report(&tasks(placed, &state_of(ended)));
        s.run(0.6);
    }
    s.all_have_this_version();
    let mut record = lose("j/", 1);
    s.fate = Box::new(move |op| if is_watch(op) { JobOutcome::Held } else { record(op) });
    while s.release() {}
    s.run(TIMEOUT_S + 0.5);
    assert!(s.store.count("t/") > 1, "{} pages", s.store.count("t/"));
    s.fate = Box::new(|_| JobOutcome::Answered);
    while s.release() {}
    let mut started = BTreeSet::new();
    for _ in 0..4 {
        let request = s.report(&tasks(placed, &state_of(50)));
        s.run(2.5);
        started.extend(s.started(request));
    }
    assert_eq!(started.len(), 50);
}

fn is_watch(op: &StoreRequest) -> bool {
    matches!(op, StoreRequest::Watch { prefix, .. } if prefix == "j")
}

fn held(op: &StoreRequest) -> bool {
    is_watch(op) || writes(op, "j/")
}

/// Kinds of transactions whose answer was lost, with how many there were.
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

/// Jobs of all kinds, some of hundreds of tasks and some whose specification goes into parts, under
/// limits that may fall to a quarter.
fn mixture(seed: u64) -> Setup {
    let mut s = setup(seed, vec![]);
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x105e);
    let state = &mut s.settings.params.store;
    (state.value_kb, state.txn_ops) = (8.0, 24);
    state.next = Some(NextLimits {
        rps: None,
        write_rps: Some(state.write_rps * 0.7),
        value_kb: Some(2.0),
        txn_ops: Some(8),
    });
    unlimited(&mut s);
    for (n, Submission { at, spec, cancel_at: cancel }) in s.jobs.iter_mut().enumerate() {
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
    Setup { capacity: 12, ..s }
}

/// Answers are lost, transactions late, or both, for two minutes, at that share in all; before, as the
/// first leader begins, most answers are lost.
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

/// The leader is replaced, or ends, once.
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

/// Days on two threads, and which transactions lost their answer on them.
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

/// While the other nodes read what was written, and users ask there, and the writer retries, reads
/// back, is replaced or ends.
#[test]
fn lost_answers_and_late_transactions_break_no_rule() {
    let kinds = days(0..6);
    for kind in KINDS {
        assert!(kinds.contains_key(kind), "no {kind}: {kinds:?}");
    }
}

const KINDS: [&str; 9] =
    ["claim", "gate", "parts", "pages", "images", "move", "submission", "cancellation", "record"];

/// The same for many seeds, by hand: `cargo test --release -p anisecroft-simulation --test
/// lost_answers -- --ignored`.
#[test]
#[ignore = "minutes"]
fn lost_answers_and_late_transactions_on_many_days() {
    println!("{:?}", days(100..300));
}

/// Of 300 submissions in a minute of `trouble`, those accepted within a second.
fn accepted_in_time(seed: u64, nodes: usize, trouble: Fault) -> usize {
    let mut s = setup(seed, vec![ScheduledFault::new(10.0, trouble)]);
    unlimited(&mut s);
    let job = |n: usize| JobSpec { estimated_run_s: 3.0, ..spec(&format!("req-{n:04}"), 1) };
    s.jobs = (0..300).map(|n| Submission::new(10.0 + n as f64 * 0.2, job(n))).collect();
    let at: BTreeMap<String, f64> =
        s.jobs.iter().map(|Submission { at, spec, .. }| (spec.id.clone(), *at)).collect();
    let mut sim = Simulation::new(Setup { nodes, ..s });
    assert_eq!(sim.run(100.0), [], "seed {seed}");
    assert_eq!(sim.ledger.accepted.len(), 300, "seed {seed}");
    sim.ledger.accepted_at.iter().filter(|(id, told)| **told - at[*id] <= 1.0).count()
}

/// Where three transactions in ten get no answer, users are told within a second nearly as
/// often as ever. (Of ten seeds before: 0.70 with lost answers, 0.71 with late writes.)
#[test]
fn most_are_accepted_within_a_second_whatever_is_lost() {
    for (seed, nodes) in [(1, 3), (2, 5)] {
        for trouble in [
            Fault::LostWriteResponses { share: 0.3, duration_s: 60.0 },
            Fault::DelayedWrites { share: 0.3, duration_s: 60.0 },
        ] {
            let accepted = accepted_in_time(seed, nodes, trouble.clone());
            assert!(accepted >= 280, "seed {seed}, {nodes} nodes, {trouble:?}: {accepted} of 300");
        }
    }
}
