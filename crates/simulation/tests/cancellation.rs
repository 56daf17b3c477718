//! Cancellations of running jobs: tasks end in time, count against the quota until they are proved
//! gone, and no longer (`docs/safety.md`).

mod common;

#[path = "common/single_controller.rs"]
mod single_controller;

use anisecroft_simulation::state::Store;
use anisecroft_simulation::{Fault, Setup, Simulation, Submission};
use common::*;
use controller::records::*;
use controller::*;
use protocol::job::*;
use protocol::state::{Mutation, Transaction};
use protocol::worker::*;
use single_controller::*;

/// A job of one long task, of which several fit a machine.
fn one(id: &str) -> JobSpec {
    JobSpec { id: id.into(), tasks: 1, cores: 1.0, accelerators: 0.5, ..long_array() }
}

/// A leader with one machine on which `jobs` run.
fn busy(jobs: &[JobSpec]) -> (SingleController, ManualWorker) {
    let mut driver = SingleController::leading(Store::default(), &["vm-1"], 0.0);
    let mut worker = ManualWorker::new("vm-1");
    jobs.iter().for_each(|j| driver.submit(j));
    driver.run_until_launched(&mut worker, &jobs.iter().map(|j| j.id.as_str()).collect::<Vec<_>>());
    (driver, worker)
}

/// A machine resumes after a hang: it executes a late direct command and sends a heartbeat, and
/// the reply to the command arrives first. The heartbeat renews the lease all the same. (A task
/// was once started elsewhere while it still ran there.)
#[test]
fn overtaken_heartbeat_renews_the_lease() {
    let (mut driver, mut hung) = busy(&[one("req-1"), one("req-2")]);
    let mut others = ["vm-3", "vm-4"].map(ManualWorker::new);
    let mut well = ManualWorker::new("vm-2");
    driver.listed_machines.extend(["vm-2", "vm-3", "vm-4"].map(String::from));
    driver.run(3.0);
    driver.exchange_heartbeat(&mut hung);
    driver.cancel("req-2");
    let (_, call, stop) = driver.direct_commands_to(&hung)[0].clone();
    // It hangs for a while; the others go on.
    for _ in 0..4 {
        for worker in others.iter_mut().chain([&mut well]) {
            driver.send_heartbeat(&worker.next_heartbeat());
        }
        driver.run(2.0);
    }
    let report = hung.next_heartbeat();
    driver.execute_direct_commands(&mut hung, call, &stop);
    let renewed = driver.now;
    let id = driver.send_heartbeat(&report);
    driver.run_until(4.0, |driver| driver.responses.contains_key(&id));
    assert!(driver.accepted_response(id).is_some(), "not answered: {:?}", driver.responses.get(&id));
    assert!(hung.has_live_task("req-1") && !hung.has_live_task("req-2"));
    // Then most are silent at once, and none can be deleted.
    driver.cloud_down = true;
    let mut moved = None;
    while moved.is_none() && driver.now < renewed + 60.0 {
        let told = driver.exchange_heartbeat(&mut well);
        moved = launches(&told, "req-1").then_some(driver.now);
        driver.run(0.5);
    }
    let lease_s = settings().params.workers.lease_s;
    let after = moved.expect("its place is kept for ever") - renewed;
    assert!(after > lease_s, "started elsewhere {after} s after the answer, the lease is {lease_s} s");
}

/// A duplicate of each heartbeat arrives before the heartbeat itself, so the response to the
/// duplicate, with the stop in it, goes nowhere. (The heartbeat was once answered without
/// commands, which renewed the lease forever.)
#[test]
fn heartbeat_after_its_duplicate_gets_the_stop() {
    let (mut driver, mut worker) = busy(&[one("req-1"), one("req-2")]);
    driver.cancel("req-2");
    for _ in 0..4 {
        let report = worker.next_heartbeat();
        driver.send_heartbeat(&report);
        driver.run(0.05);
        let id = driver.send_heartbeat(&report);
        driver.run_until(4.0, |driver| driver.responses.contains_key(&id));
        if let Some(answer) = driver.accepted_response(id) {
            worker.apply_response(&answer);
        }
        driver.run(2.0);
    }
    assert!(worker.has_live_task("req-1") && !worker.has_live_task("req-2"), "{:?}", worker.heartbeat.tasks);
}

/// A task that is saving a checkpoint when its job is cancelled ends at once, however long saving
/// would take.
#[test]
fn cancellation_ends_a_checkpointing_task_at_once() {
    let long = JobSpec { shape: Shape::Gang, checkpoint_interval_s: 10.0, save_s: 60.0, ..one("req-1") };
    let (mut driver, mut worker) = busy(&[long]);
    worker.heartbeat.notice_s = Some(200.0);
    let told = driver.send_heartbeat(&worker.next_heartbeat());
    driver.run(3.0);
    let told = driver.accepted_response(told).map(|a| a.commands).unwrap_or_default();
    assert!(stop_commands(&told, "req-1").any(|c| c.grace_s > Some(60.0)), "{told:?}");
    worker.heartbeat.tasks[0].state = TaskState::Saving;
    driver.direct_commands.clear();
    driver.cancel("req-1");
    driver.run(0.2);
    let direct = driver.direct_commands_to(&worker);
    let at_once = |c: &[Command]| stop_commands(c, "req-1").any(|c| c.grace_s == Some(0.0));
    assert!(direct.iter().any(|d| at_once(&d.2.commands)), "{direct:?}");
    let id = driver.send_heartbeat(&worker.next_heartbeat());
    driver.run(3.0);
    assert!(at_once(&driver.accepted_response(id).expect("no answer").commands));
}

/// The leader has confirmed a cancellation and reads the record back: it launches no task of the
/// job meanwhile.
#[test]
fn nothing_is_launched_after_a_confirmed_cancellation() {
    let (mut driver, mut worker) = busy(&[one("req-1")]);
    driver.submit(&one("req-2"));
    driver.run(1.0);
    assert_eq!(driver.controller.placement_count(), 2);
    driver.remaining_reads = Some(1);
    driver.cancel("req-2");
    assert_eq!((driver.controller.placement_count(), driver.remaining_reads), (2, Some(0)));
    let told = driver.exchange_heartbeat(&mut worker);
    assert!(!launches(&told, "req-2"), "{told:?}");
}

/// Another controller cancels a job while the leader's own write of it is pending: the stops go
/// out at once, not when the outcome of that write is known.
#[test]
fn cancellation_during_a_pending_write_stops_tasks_at_once() {
    let (mut driver, mut worker) = busy(&[JobSpec { tasks: 2, ..one("req-1") }]);
    let first = &mut worker.heartbeat.tasks[0];
    (first.state, first.exit_cause) = (TaskState::Exited, Some(ExitCause::Done));
    driver.writes_unanswered = true;
    driver.send_heartbeat(&worker.next_heartbeat());
    driver.run(2.0);
    let key = job_key("req-1");
    let Some(StoreReply::Item(item)) = driver.store.execute(driver.now, &StoreRequest::Get(key.clone()))
    else {
        panic!()
    };
    let Value::Job(record) = item.value else { panic!() };
    let cancelled = Box::new(JobRecord { status: JobStatus::Cancelled, ..*record });
    let change = Mutation::Put { key, value: Value::Job(cancelled), lease: None };
    let txn = Transaction { compares: Vec::new(), mutations: vec![change] };
    driver.store.execute(driver.now, &StoreRequest::Commit(txn));
    driver.direct_commands.clear();
    driver.run(0.3);
    let direct = driver.direct_commands_to(&worker);
    assert!(direct.iter().any(|d| stop_commands(&d.2.commands, "req-1").count() > 0), "{direct:?}");
}

/// A launch is on its way when its job is cancelled: the stop follows at once, and not only when a
/// heartbeat shows the task.
#[test]
fn launch_in_flight_is_followed_by_a_stop() {
    let (mut driver, mut worker) = busy(&[one("req-1")]);
    driver.submit(&one("req-2"));
    driver.run(1.0);
    let told = driver.exchange_heartbeat(&mut worker);
    assert!(launches(&told, "req-2"), "{told:?}");
    driver.direct_commands.clear();
    driver.cancel("req-2");
    driver.run(0.2);
    let direct = driver.direct_commands_to(&worker);
    assert!(direct.iter().any(|d| stop_commands(&d.2.commands, "req-2").count() > 0), "{direct:?}");
}

/// A direct stop without a reply is sent again while no heartbeat response could carry it.
#[test]
fn lost_direct_stop_is_retried() {
    let (mut driver, worker) = busy(&[one("req-1"), one("req-2")]);
    driver.cancel("req-2");
    driver.run(0.2);
    let (_, call, _) = driver.direct_commands_to(&worker)[0].clone();
    driver.run(2.0);
    driver.feed(Input::Worker(call, WorkerReply::Failed));
    assert!(
        driver.run_until(8.0, |driver| driver.direct_commands_to(&worker).len() > 1),
        "{:?}",
        driver.direct_commands_to(&worker)
    );
}

/// Jobs are cancelled on a machine whose heartbeats do not reach the new leader: direct commands
/// do, and end the tasks.
#[test]
fn new_leader_stops_tasks_on_a_machine_whose_heartbeats_are_lost() {
    let (mut driver, mut worker) = busy(&[one("req-1"), one("req-2")]);
    driver.cancel("req-2");
    driver.cloud_down = true;
    let mut driver = driver.next_leader();
    let end = driver.now + 12.0;
    let mut taken = 0;
    while driver.now < end && worker.has_live_task("req-2") {
        driver.run(0.1);
        let calls = driver.direct_commands_to(&worker);
        for (_, call, body) in calls.iter().skip(taken) {
            driver.execute_direct_commands(&mut worker, *call, body);
        }
        taken = calls.len();
    }
    assert!(!worker.has_live_task("req-2") && worker.has_live_task("req-1"), "{:?}", worker.heartbeat.tasks);
}

/// The first heartbeat of a machine that a new leader gets may be old, and the machine may hang:
/// the stops go out as soon as the agent epoch is known, not with the next heartbeat.
#[test]
fn new_leader_sends_stops_once_it_knows_the_agent_epoch() {
    let (mut driver, mut worker) = busy(&[one("req-1"), one("req-2")]);
    driver.cancel("req-2");
    let copy = worker.next_heartbeat();
    let mut driver = driver.next_leader();
    assert!(
        driver.direct_commands_to(&worker).iter().all(|(.., d)| d.epoch != 1),
        "{:?}",
        driver.direct_commands_to(&worker)
    );
    driver.send_heartbeat(&copy);
    driver.run(0.2);
    assert!(
        driver.direct_commands_to(&worker).iter().any(|(.., d)| d.epoch == 1),
        "{:?}",
        driver.direct_commands_to(&worker)
    );
}

/// The same where the last heartbeat came to this controller before its election.
#[test]
fn new_leader_keeps_agent_epochs_heard_before_its_election() {
    let (mut driver, mut worker) = busy(&[one("req-1"), one("req-2")]);
    driver.cancel("req-2");
    let mut driver = driver.successor();
    driver.run(0.1);
    let early = driver.send_heartbeat(&worker.next_heartbeat());
    // Nobody leads yet, and the worker is redirected.
    assert!(
        driver.run_until(4.0, |driver| driver.responses.contains_key(&early))
            && !driver.controller.is_leader()
    );
    assert!(driver.run_until(10.0, |driver| driver.controller.has_recovered()));
    driver.run(0.2);
    assert!(
        driver.direct_commands_to(&worker).iter().any(|(.., d)| d.epoch == 1),
        "{:?}",
        driver.direct_commands_to(&worker)
    );
}

/// A machine that replies to direct commands but whose heartbeats arrive nowhere gets no tasks,
/// since no launch would reach it. (Each cancellation there once made it look alive.)
#[test]
fn direct_reply_does_not_count_as_a_heartbeat() {
    let names: Vec<String> = (1..=6).map(|n| format!("req-{n}")).collect();
    let (mut driver, mut worker) = busy(&names.iter().map(|n| one(n)).collect::<Vec<_>>());
    let mut well = ManualWorker::new("vm-2");
    driver.listed_machines.push("vm-2".into());
    driver.cloud_down = true;
    let mute_since = driver.now;
    for name in &names[1..5] {
        driver.cancel(name);
        driver.run(0.2);
        for (_, call, body) in driver.direct_commands_to(&worker) {
            driver.execute_direct_commands(&mut worker, call, &body);
        }
        driver.direct_commands.clear();
        driver.exchange_heartbeat(&mut well);
        driver.run(3.0);
    }
    assert!(driver.now - mute_since > timing().failure_suspicion_s);
    let usable: Vec<&str> = driver.controller.usable_machines().collect();
    assert!(!usable.contains(&"vm-1"), "{usable:?}");
    assert!(driver.controller.machines_given_up().any(|m| m == "vm-1"));
}

/// A leader that recovers a job of eight tasks, four on each of two machines, whose second page it
/// cannot decode; together they use up their team's quota.
fn half_read() -> (SingleController, [ManualWorker; 3]) {
    let spec = JobSpec { team: "dispatch".into(), tasks: 8, accelerators: 1.0, ..one("req-1") };
    let place = |task| StoredPlacement { task, attempt: 1, machine: "vm-1".into() };
    let page = PageRecord { placements: (0..4).map(place).collect(), ..PageRecord::default() };
    let record = JobRecord { per_page: 4, attempt: 1, first_page: page, ..JobRecord::new(spec, 1e9, 30_000) };
    let items = [
        (job_key("req-1"), Value::Job(Box::new(record))),
        (page_key("req-1", 1, 0), Value::Undecodable),
        (FORMAT_KEY.to_string(), Value::Format(FORMAT)),
    ];
    let mut driver = SingleController::leading(Store::with_items(items), &["vm-1", "vm-2", "vm-3"], 100.0);
    let mut workers = ["vm-1", "vm-2", "vm-3"].map(ManualWorker::new);
    for (worker, tasks) in workers.iter_mut().zip([0..4, 4..8, 0..0]) {
        let runs = |n| TaskStatus {
            task: task_name("req-1", n),
            attempt: 1,
            state: TaskState::Running,
            exit_cause: None,
            checkpointed: None,
        };
        worker.heartbeat.tasks = tasks.map(runs).collect();
        driver.exchange_heartbeat(worker);
    }
    (driver, workers)
}

/// Placements that cannot be decoded count against their team's quota, and no longer than their
/// tasks run.
#[test]
fn undecodable_placements_count_against_the_quota() {
    let (mut driver, mut workers) = half_read();
    driver.submit(&JobSpec { team: "dispatch".into(), ..one("req-2") });
    let turns = |driver: &mut SingleController, workers: &mut [ManualWorker; 3], duration_s: f64| {
        let end = driver.now + duration_s;
        while driver.now < end && !workers.iter().any(|h| h.has_live_task("req-2")) {
            workers.iter_mut().for_each(|h| drop(driver.exchange_heartbeat(h)));
            driver.run(0.5);
        }
        workers.iter().any(|h| h.has_live_task("req-2"))
    };
    assert!(!turns(&mut driver, &mut workers, 90.0), "over the limit: {:?}", workers[2].heartbeat.tasks);
    let ended = workers[1].heartbeat.tasks.iter_mut().take(2);
    ended.for_each(|t| (t.state, t.exit_cause) = (TaskState::Exited, Some(ExitCause::Stopped)));
    assert!(turns(&mut driver, &mut workers, 30.0), "room is kept for ever");
}

/// Tasks of a cancelled job whose placements cannot be decoded are stopped all the same.
#[test]
fn undecodable_placements_stop_after_cancellation() {
    let (mut driver, mut workers) = half_read();
    driver.cancel("req-1");
    for _ in 0..3 {
        workers.iter_mut().for_each(|h| drop(driver.exchange_heartbeat(h)));
        driver.run(0.5);
    }
    assert!(workers.iter().all(|h| !h.has_live_task("req-1")), "{workers:?}");
}

/// A record becomes undecodable while its job runs: other records are written on.
#[test]
fn undecodable_record_does_not_block_other_writes() {
    let (mut driver, mut worker) = busy(&[one("req-1"), one("req-2")]);
    driver.store.make_undecodable(&job_key("req-1"));
    // The leader has something to write of it.
    let first = &mut worker.heartbeat.tasks[0];
    (first.state, first.exit_cause) = (TaskState::Exited, Some(ExitCause::Stopped));
    driver.exchange_heartbeat(&mut worker);
    driver.submit(&one("req-3"));
    driver.run_until_launched(&mut worker, &["req-2", "req-3"]);
}

/// Small arrays for three times what each team may use.
fn full(seed: u64, nodes: usize) -> Setup {
    let setup = seeded_setup(seed, vec![]);
    let job = |n: usize| JobSpec {
        id: format!("req-{}", 100 + n),
        team: ["dispatch", "clinics", "fleet"][n % 3].into(),
        tasks: 1 + (n as u32 / 3) % 3,
        accelerators: 1.0,
        estimated_run_s: 60.0 + (n % 5) as f64 * 20.0,
        ..long_array()
    };
    let jobs = (0..36).map(|n| Submission::new(1.0 + n as f64 * 0.2, job(n))).collect();
    Setup { nodes, capacity: 10, jobs, ..setup }
}

/// What becomes of the machines whose jobs are cancelled, as faults of that length.
const WAYS: usize = 6;

/// How cancelled machines are disturbed, as faults of that duration.
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

/// Every team is at its limit, jobs are cancelled on machines that hang or are out of reach, and
/// the leader crashes before, just after, or later. Twice.
fn limits_full(seed: u64, nodes: usize, n: usize, duration_s: f64, after: f64) -> Shown {
    let what = format!("seed {seed}: way {n} for {duration_s} s, {after} s after, {nodes} nodes");
    let mut sim = Simulation::new(full(seed, nodes));
    let mut shown = Shown::default();
    for at in [60.0, 150.0] {
        sim.run(at);
        let (mut steps, change) = (way(n, duration_s), at + after);
        let leader = sim.leader().unwrap_or(0);
        let back = if seed / WAYS as u64 % 2 == 0 { 0.2 } else { 9.0 };
        let told = sim.history.cancelled_at.len();
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
        shown.told += sim.history.cancelled_at.len() - told;
        assert_eq!(sim.history.violations, [], "{what}");
    }
    assert_eq!(sim.run(700.0), [], "{what}");
    assert_eq!(sim.unfinished(), Vec::<String>::new(), "{what}");
    shown.late_starts = sim.late_starts.len();
    shown
}

/// All disturbances with four durations around a lease and `cancel_s`: `part` of `parts`.
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

#[test]
fn full_quotas_are_kept_and_released_after_cancellation() {
    for shown in on_threads(2, |part| all_full(part, 5, 0)) {
        assert!(shown.full > 10 && shown.told > 60, "{shown:?}");
    }
}

/// All of them, over many seeds and by worker: `cargo test --release -p anisecroft-simulation --test
/// cancellation -- --ignored --nocapture`.
#[test]
#[ignore = "minutes"]
fn full_quotas_are_kept_over_many_seeds() {
    for round in 0..20 {
        println!("{:?}", on_threads(2, |part| all_full(part, 2, round * 1000)));
    }
}
