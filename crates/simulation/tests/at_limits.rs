//! Limits at their limit: what is cancelled ends in time, counts until it is proved gone, and no
//! longer (`docs/safety.md`).

mod common;

#[path = "common/by_hand.rs"]
mod by_hand;

use anisecroft_simulation::state::Store;
use anisecroft_simulation::{Fault, Setup, Simulation, Submission};
use by_hand::*;
use common::*;
use controller::records::*;
use controller::*;
use protocol::job::*;
use protocol::state::{Mutation, Transaction};
use protocol::worker::*;

/// A job of one long task that fits a machine several times.
fn one(id: &str) -> JobSpec {
    JobSpec { id: id.into(), tasks: 1, cores: 1.0, accelerators: 0.5, ..long_array() }
}

/// A leader with one machine on which `jobs` run.
fn busy(jobs: &[JobSpec]) -> (ByHand, Hand) {
    let mut w = ByHand::leading(Store::default(), &["vm-1"], 0.0);
    let mut hand = Hand::new("vm-1");
    jobs.iter().for_each(|j| w.submit(j));
    w.settle(&mut hand, &jobs.iter().map(|j| j.id.as_str()).collect::<Vec<_>>());
    (w, hand)
}

/// A machine resumes: it carries out a late direct command and reports, and the answer to the
/// command comes first. Its lease was renewed all the same, and what still runs there was
/// once started elsewhere before it had ended.
#[test]
fn a_report_that_a_direct_answer_overtook_renews_the_lease() {
    let (mut w, mut hung) = busy(&[one("req-1"), one("req-2")]);
    let mut others = ["vm-3", "vm-4"].map(Hand::new);
    let mut well = Hand::new("vm-2");
    w.listed.extend(["vm-2", "vm-3", "vm-4"].map(String::from));
    w.run(3.0);
    w.turn(&mut hung);
    w.cancel("req-2");
    let (_, call, stop) = w.told(&hung)[0].clone();
    // It hangs for a while; the others go on.
    for _ in 0..4 {
        for hand in others.iter_mut().chain([&mut well]) {
            w.deliver(&hand.next());
        }
        w.run(2.0);
    }
    let report = hung.next();
    w.take_direct(&mut hung, call, &stop);
    let renewed = w.now;
    let id = w.deliver(&report);
    w.run_until(4.0, |w| w.answers.contains_key(&id));
    assert!(w.answer(id).is_some(), "not answered: {:?}", w.answers.get(&id));
    assert!(hung.has("req-1") && !hung.has("req-2"));
    // Then most are silent at once, and none can be given back.
    w.cloud_down = true;
    let mut moved = None;
    while moved.is_none() && w.now < renewed + 60.0 {
        let told = w.turn(&mut well);
        moved = launches(&told, "req-1").then_some(w.now);
        w.run(0.5);
    }
    let lease_s = settings().params.workers.lease_s;
    let after = moved.expect("its place is kept for ever") - renewed;
    assert!(after > lease_s, "started elsewhere {after} s after the answer, the lease is {lease_s} s");
}

/// A copy of each report comes before the report itself, so that the answer to the copy, with the
/// stop in it, goes nowhere. The report was once answered without a word, which renewed
/// the lease for ever.
#[test]
fn a_report_whose_copy_came_first_is_told_to_stop() {
    let (mut w, mut hand) = busy(&[one("req-1"), one("req-2")]);
    w.cancel("req-2");
    for _ in 0..4 {
        let report = hand.next();
        w.deliver(&report);
        w.run(0.05);
        let id = w.deliver(&report);
        w.run_until(4.0, |w| w.answers.contains_key(&id));
        if let Some(answer) = w.answer(id) {
            hand.obey(&answer);
        }
        w.run(2.0);
    }
    assert!(hand.has("req-1") && !hand.has("req-2"), "{:?}", hand.report.tasks);
}

/// What is saving when its job is cancelled is ended at once, however long it would take.
#[test]
fn a_task_that_saves_ends_when_its_job_is_cancelled() {
    let long = JobSpec { shape: Shape::Gang, checkpoint_interval_s: 10.0, save_s: 60.0, ..one("req-1") };
    let (mut w, mut hand) = busy(&[long]);
    hand.report.notice_s = Some(200.0);
    let told = w.deliver(&hand.next());
    w.run(3.0);
    let told = w.answer(told).map(|a| a.commands).unwrap_or_default();
    assert!(stops(&told, "req-1").any(|c| c.grace_s > Some(60.0)), "{told:?}");
    hand.report.tasks[0].state = TaskState::Saving;
    w.direct.clear();
    w.cancel("req-1");
    w.run(0.2);
    let direct = w.told(&hand);
    let at_once = |c: &[Command]| stops(c, "req-1").any(|c| c.grace_s == Some(0.0));
    assert!(direct.iter().any(|d| at_once(&d.2.commands)), "{direct:?}");
    let id = w.deliver(&hand.next());
    w.run(3.0);
    assert!(at_once(&w.answer(id).expect("no answer").commands));
}

/// The leader has told that a job is cancelled and reads its record back: it launches nothing of it
/// meanwhile.
#[test]
fn nothing_is_launched_once_the_leader_has_told_its_end() {
    let (mut w, mut hand) = busy(&[one("req-1")]);
    w.submit(&one("req-2"));
    w.run(1.0);
    assert_eq!(w.core.placement_count(), 2);
    w.reads_left = Some(1);
    w.cancel("req-2");
    assert_eq!((w.core.placement_count(), w.reads_left), (2, Some(0)));
    let told = w.turn(&mut hand);
    assert!(!launches(&told, "req-2"), "{told:?}");
}

/// Another node cancels a job while the leader's own write of it is on its way: its tasks are told
/// at once, not when that write's outcome is known.
#[test]
fn a_cancellation_beside_a_write_on_its_way_stops_at_once() {
    let (mut w, mut hand) = busy(&[JobSpec { tasks: 2, ..one("req-1") }]);
    let first = &mut hand.report.tasks[0];
    (first.state, first.exit_cause) = (TaskState::Exited, Some(ExitCause::Done));
    w.writes_held = true;
    w.deliver(&hand.next());
    w.run(2.0);
    let key = job_key("req-1");
    let Some(StoreReply::Item(item)) = w.store.execute(w.now, &StoreRequest::Get(key.clone())) else {
        panic!()
    };
    let Value::Job(record) = item.value else { panic!() };
    let cancelled = Box::new(JobRecord { status: JobStatus::Cancelled, ..*record });
    let change = Mutation::Put { key, value: Value::Job(cancelled), lease: None };
    let txn = Transaction { compares: Vec::new(), mutations: vec![change] };
    w.store.execute(w.now, &StoreRequest::Commit(txn));
    w.direct.clear();
    w.run(0.3);
    let direct = w.told(&hand);
    assert!(direct.iter().any(|d| stops(&d.2.commands, "req-1").count() > 0), "{direct:?}");
}

/// A launch is on its way when its job is cancelled: the stop follows it at once, and not only
/// when a report shows the task.
#[test]
fn a_launch_on_its_way_is_followed_by_a_stop() {
    let (mut w, mut hand) = busy(&[one("req-1")]);
    w.submit(&one("req-2"));
    w.run(1.0);
    let told = w.turn(&mut hand);
    assert!(launches(&told, "req-2"), "{told:?}");
    w.direct.clear();
    w.cancel("req-2");
    w.run(0.2);
    let direct = w.told(&hand);
    assert!(direct.iter().any(|d| stops(&d.2.commands, "req-2").count() > 0), "{direct:?}");
}

/// A stop that was sent straight to a machine and not answered is sent again, while no report
/// could take it there.
#[test]
fn a_direct_stop_that_is_lost_is_sent_again() {
    let (mut w, hand) = busy(&[one("req-1"), one("req-2")]);
    w.cancel("req-2");
    w.run(0.2);
    let (_, call, _) = w.told(&hand)[0].clone();
    w.run(2.0);
    w.feed(Input::Worker(call, WorkerReply::Failed));
    assert!(w.run_until(8.0, |w| w.told(&hand).len() > 1), "{:?}", w.told(&hand));
}

/// A mute machine whose tasks are cancelled under a new leader, which no report of it reaches:
/// direct commands do, and end them.
#[test]
fn a_new_leader_stops_what_runs_on_a_mute_machine() {
    let (mut w, mut hand) = busy(&[one("req-1"), one("req-2")]);
    w.cancel("req-2");
    w.cloud_down = true;
    let mut w = w.next_leader();
    let end = w.now + 12.0;
    let mut taken = 0;
    while w.now < end && hand.has("req-2") {
        w.run(0.1);
        let calls = w.told(&hand);
        for (_, call, body) in calls.iter().skip(taken) {
            w.take_direct(&mut hand, *call, body);
        }
        taken = calls.len();
    }
    assert!(!hand.has("req-2") && hand.has("req-1"), "{:?}", hand.report.tasks);
}

/// The first that a new leader hears of a machine may be old, and the machine hang or be mute: what is
/// to be stopped there is told at once, not when it reports.
#[test]
fn a_new_leader_tells_a_machine_as_soon_as_it_knows_its_session() {
    let (mut w, mut hand) = busy(&[one("req-1"), one("req-2")]);
    w.cancel("req-2");
    let copy = hand.next();
    let mut w = w.next_leader();
    assert!(w.told(&hand).iter().all(|(.., d)| d.epoch != 1), "{:?}", w.told(&hand));
    w.deliver(&copy);
    w.run(0.2);
    assert!(w.told(&hand).iter().any(|(.., d)| d.epoch == 1), "{:?}", w.told(&hand));
}

/// The same where its worker reported to this node before it led, and no more.
#[test]
fn a_new_leader_knows_the_sessions_that_it_heard_before() {
    let (mut w, mut hand) = busy(&[one("req-1"), one("req-2")]);
    w.cancel("req-2");
    let mut w = w.successor();
    w.run(0.1);
    let early = w.deliver(&hand.next());
    // Nobody leads yet, and its worker is sent on.
    assert!(w.run_until(4.0, |w| w.answers.contains_key(&early)) && !w.core.is_leader());
    assert!(w.run_until(10.0, |w| w.core.has_recovered()));
    w.run(0.2);
    assert!(w.told(&hand).iter().any(|(.., d)| d.epoch == 1), "{:?}", w.told(&hand));
}

/// A machine that answers direct commands but whose reports arrive nowhere gets no work: no
/// launch would reach it. Each cancellation there once made it heard anew.
#[test]
fn a_direct_answer_is_no_hearing() {
    let names: Vec<String> = (1..=6).map(|n| format!("req-{n}")).collect();
    let (mut w, mut hand) = busy(&names.iter().map(|n| one(n)).collect::<Vec<_>>());
    let mut well = Hand::new("vm-2");
    w.listed.push("vm-2".into());
    w.cloud_down = true;
    let mute_since = w.now;
    for name in &names[1..5] {
        w.cancel(name);
        w.run(0.2);
        for (_, call, body) in w.told(&hand) {
            w.take_direct(&mut hand, call, &body);
        }
        w.direct.clear();
        w.turn(&mut well);
        w.run(3.0);
    }
    assert!(w.now - mute_since > derived().failure_suspicion_s);
    let usable: Vec<&str> = w.core.usable_machines().collect();
    assert!(!usable.contains(&"vm-1"), "{usable:?}");
    assert!(w.core.machines_given_up().any(|m| m == "vm-1"));
}

/// A leader that reads a job of eight tasks, four on each of two machines, whose second page it
/// cannot read; together they take all that their team may use.
fn half_read() -> (ByHand, [Hand; 3]) {
    let spec = JobSpec { team: "dispatch".into(), tasks: 8, accelerators: 1.0, ..one("req-1") };
    let place = |task| StoredPlacement { task, attempt: 1, machine: "vm-1".into() };
    let page = PageRecord { placements: (0..4).map(place).collect(), ..PageRecord::default() };
    let record = JobRecord { per_page: 4, attempt: 1, first_page: page, ..JobRecord::new(spec, 1e9, 30_000) };
    let items = [
        (job_key("req-1"), Value::Job(Box::new(record))),
        (page_key("req-1", 1, 0), Value::Undecodable),
        (FORMAT_KEY.to_string(), Value::Format(FORMAT)),
    ];
    let mut w = ByHand::leading(Store::holding(items), &["vm-1", "vm-2", "vm-3"], 100.0);
    let mut hands = ["vm-1", "vm-2", "vm-3"].map(Hand::new);
    for (hand, tasks) in hands.iter_mut().zip([0..4, 4..8, 0..0]) {
        let runs = |n| TaskStatus {
            task: task_name("req-1", n),
            attempt: 1,
            state: TaskState::Running,
            exit_cause: None,
            checkpointed: None,
        };
        hand.report.tasks = tasks.map(runs).collect();
        w.turn(hand);
    }
    (w, hands)
}

/// What cannot be read counts for its team's limit, and no longer than it runs.
#[test]
fn what_cannot_be_read_counts_for_its_team() {
    let (mut w, mut hands) = half_read();
    w.submit(&JobSpec { team: "dispatch".into(), ..one("req-2") });
    let turns = |w: &mut ByHand, hands: &mut [Hand; 3], duration_s: f64| {
        let end = w.now + duration_s;
        while w.now < end && !hands.iter().any(|h| h.has("req-2")) {
            hands.iter_mut().for_each(|h| drop(w.turn(h)));
            w.run(0.5);
        }
        hands.iter().any(|h| h.has("req-2"))
    };
    assert!(!turns(&mut w, &mut hands, 90.0), "over the limit: {:?}", hands[2].report.tasks);
    let ended = hands[1].report.tasks.iter_mut().take(2);
    ended.for_each(|t| (t.state, t.exit_cause) = (TaskState::Exited, Some(ExitCause::Stopped)));
    assert!(turns(&mut w, &mut hands, 30.0), "room is kept for ever");
}

/// What cannot be read of a cancelled job is stopped where it runs all the same.
#[test]
fn what_cannot_be_read_is_stopped_once_its_job_is_cancelled() {
    let (mut w, mut hands) = half_read();
    w.cancel("req-1");
    for _ in 0..3 {
        hands.iter_mut().for_each(|h| drop(w.turn(h)));
        w.run(0.5);
    }
    assert!(hands.iter().all(|h| !h.has("req-1")), "{hands:?}");
}

/// A record becomes unreadable while its job runs: the writes of others go on.
#[test]
fn one_unreadable_record_holds_no_other_up() {
    let (mut w, mut hand) = busy(&[one("req-1"), one("req-2")]);
    w.store.damage(&job_key("req-1"));
    // The leader has something to write of it.
    let first = &mut hand.report.tasks[0];
    (first.state, first.exit_cause) = (TaskState::Exited, Some(ExitCause::Stopped));
    w.turn(&mut hand);
    w.submit(&one("req-3"));
    w.settle(&mut hand, &["req-2", "req-3"]);
}

/// Work for three times what each team may use, in small arrays.
fn full(seed: u64, nodes: usize) -> Setup {
    let s = setup(seed, vec![]);
    let job = |n: usize| JobSpec {
        id: format!("req-{}", 100 + n),
        team: ["dispatch", "clinics", "fleet"][n % 3].into(),
        tasks: 1 + (n as u32 / 3) % 3,
        accelerators: 1.0,
        estimated_run_s: 60.0 + (n % 5) as f64 * 20.0,
        ..long_array()
    };
    let jobs = (0..36).map(|n| Submission::new(1.0 + n as f64 * 0.2, job(n))).collect();
    Setup { nodes, capacity: 10, jobs, ..s }
}

/// What becomes of the machines whose jobs are cancelled, as troubles of that length.
const WAYS: usize = 6;

fn way(n: usize, duration_s: f64) -> Vec<Fault> {
    let cancel = |hang_s| Fault::CancelRunningJobs { count: 8, hang_s };
    let mute = |zone| Fault::HeartbeatsLostInZone { zone, duration_s };
    match n {
        0 => vec![cancel(duration_s)],
        1 => vec![mute("a"), cancel(0.0)],
        2 => vec![Fault::ResponsesLostInZone { zone: "a", duration_s }, cancel(0.0)],
        3 => vec![Fault::ZonePartition { zone: "b", duration_s }, cancel(0.0)],
        4 => vec![mute("a"), mute("b"), cancel(duration_s / 2.0)],
        _ => vec![
            Fault::SlowWorkerResponses { max_delay_s: 6.0, duration_s },
            Fault::RotatingHeartbeatTargets { duration_s },
            cancel(duration_s),
        ],
    }
}

/// What a run of `limits_full` showed.
#[derive(Default, Debug)]
struct Shown {
    /// Teams at their limit as the leader changed, and cancellations told around that.
    full: usize,
    told: usize,
    late_starts: usize,
}

/// Every team is at its limit, jobs are cancelled on machines that hang or are out of reach in one
/// way or another, and the leader changes before, just after, or later. Twice.
fn limits_full(seed: u64, nodes: usize, n: usize, duration_s: f64, after: f64) -> Shown {
    let what = format!("seed {seed}: way {n} for {duration_s} s, {after} s after, {nodes} nodes");
    let mut sim = Simulation::new(full(seed, nodes));
    let mut shown = Shown::default();
    for at in [60.0, 150.0] {
        sim.run(at);
        let (mut steps, change) = (way(n, duration_s), at + after);
        let leader = sim.leader().unwrap_or(0);
        let back = if seed / WAYS as u64 % 2 == 0 { 0.2 } else { 9.0 };
        let told = sim.ledger.cancelled_at.len();
        if after < 0.0 {
            sim.run(at - after);
        }
        if after >= 0.0 {
            steps.drain(..).for_each(|f| sim.inject(f));
            sim.run(change);
        }
        let limit = sim.accelerators_in_use().values().filter(|u| **u > 7.5).count();
        shown.full += limit;
        sim.inject(Fault::ControllerCrash { node: leader, duration_s: back });
        if after < 0.0 {
            sim.run(sim.now - after);
            steps.drain(..).for_each(|f| sim.inject(f));
        }
        sim.run(at + 20.0);
        shown.told += sim.ledger.cancelled_at.len() - told;
        assert_eq!(sim.ledger.violations, [], "{what}");
    }
    assert_eq!(sim.run(700.0), [], "{what}");
    assert_eq!(sim.unfinished(), Vec::<String>::new(), "{what}");
    shown.late_starts = sim.late_starts.len();
    shown
}

/// All ways at four lengths around a lease and `cancel_s`, `part` of `parts`.
fn all_full(part: usize, parts: usize, first_seed: u64) -> Shown {
    let mut sum = Shown::default();
    for n in (0..WAYS * 16).filter(|n| n % parts == part) {
        let duration_s = [6.0, 17.0, 30.0, 48.0][n / WAYS % 4];
        let after = [-1.0, 0.1, 0.5, 6.0][(n + n / (WAYS * 4)) % 4];
        let nodes = 3 + (n + n / WAYS) % 2 * 2;
        let s = limits_full(first_seed + n as u64, nodes, n % WAYS, duration_s, after);
        (sum.full, sum.told) = (sum.full + s.full, sum.told + s.told);
        sum.late_starts += s.late_starts;
    }
    sum
}

/// Plays on two threads.
fn on_threads(play: impl Fn(usize) -> Shown + Sync) -> Vec<Shown> {
    let play = &play;
    std::thread::scope(|s| {
        let threads: Vec<_> = (0..2).map(|part| s.spawn(move || play(part))).collect();
        threads.into_iter().map(|t| t.join().expect("no rule breaks")).collect()
    })
}

#[test]
fn full_limits_are_kept_and_room_comes_free() {
    for shown in on_threads(|part| all_full(part, 5, 0)) {
        assert!(shown.full > 10 && shown.told > 60, "{shown:?}");
    }
}

/// All of them, over many seeds and by hand: `cargo test --release -p anisecroft-simulation --test
/// at_limits -- --ignored --nocapture`.
#[test]
#[ignore = "minutes"]
fn full_limits_are_kept_over_many_seeds() {
    for round in 0..20 {
        println!("{:?}", on_threads(|part| all_full(part, 2, round * 1000)));
    }
}
