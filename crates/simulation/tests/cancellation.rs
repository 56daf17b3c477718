//! Cancellations of running jobs: tasks end in time, and they count against the quota exactly until
//! it is proved that they have ended (`docs/safety.md`).

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

/// A job with one long task; several such tasks fit on one machine.
fn single_task_job(id: &str) -> JobSpec {
    JobSpec { id: id.into(), tasks: 1, cores: 1.0, accelerators: 0.5, ..long_array() }
}

/// A leader with one machine on which all of `jobs` run.
fn leader_with_running(jobs: &[JobSpec]) -> (SingleController, ManualWorker) {
    let mut driver = SingleController::leading(Store::default(), &["vm-1"], 0.0);
    let mut worker = ManualWorker::new("vm-1");
    jobs.iter().for_each(|j| driver.submit(j));
    driver.run_until_launched(&mut worker, &jobs.iter().map(|j| j.id.as_str()).collect::<Vec<_>>());
    (driver, worker)
}

/// A machine resumes after a hang: it sends a heartbeat and executes a late direct command, and the
/// reply to the command arrives first. The response to the heartbeat renews the worker's lease, so the
/// leader must count the lease from then. Otherwise it launches the task elsewhere while the task still
/// runs there.
#[test]
fn overtaken_heartbeat_renews_the_lease() {
    let (mut driver, mut hung) = leader_with_running(&[single_task_job("req-1"), single_task_job("req-2")]);
    let mut others = ["vm-3", "vm-4"].map(ManualWorker::new);
    let mut healthy = ManualWorker::new("vm-2");
    driver.listed_machines.extend(["vm-2", "vm-3", "vm-4"].map(String::from));
    driver.run(3.0);
    driver.exchange_heartbeat(&mut hung);
    driver.cancel("req-2");
    let (_, call, stop) = driver.direct_commands_to(&hung)[0].clone();
    // The machine hangs for a while, and the others continue.
    for _ in 0..4 {
        for worker in others.iter_mut().chain([&mut healthy]) {
            driver.send_heartbeat(&worker.next_heartbeat());
        }
        driver.run(2.0);
    }
    let heartbeat = hung.next_heartbeat();
    driver.execute_direct_commands(&mut hung, call, &stop);
    let renewed_at = driver.now;
    let id = driver.send_heartbeat(&heartbeat);
    driver.run_until(4.0, |driver| driver.responses.contains_key(&id));
    assert!(driver.accepted_response(id).is_some(), "not accepted: {:?}", driver.responses.get(&id));
    assert!(hung.has_live_task("req-1") && !hung.has_live_task("req-2"));
    // Then all machines but one fall silent at the same time, and none can be deleted.
    driver.cloud_down = true;
    let mut relaunched_at = None;
    while relaunched_at.is_none() && driver.now < renewed_at + 60.0 {
        let commands = driver.exchange_heartbeat(&mut healthy);
        relaunched_at = launches(&commands, "req-1").then_some(driver.now);
        driver.run(0.5);
    }
    let lease_s = settings().params.workers.lease_s;
    let delay_s = relaunched_at.expect("the task was never launched elsewhere") - renewed_at;
    assert!(delay_s > lease_s, "launched elsewhere {delay_s} s after the renewal; the lease is {lease_s} s");
}

/// A duplicate of each heartbeat arrives before the heartbeat itself, so the response to the duplicate,
/// which carries the stop, is lost. The response to the heartbeat must carry the stop too: without
/// commands it would renew the lease forever and the task would not end.
#[test]
fn heartbeat_after_its_duplicate_gets_the_stop() {
    let (mut driver, mut worker) = leader_with_running(&[single_task_job("req-1"), single_task_job("req-2")]);
    driver.cancel("req-2");
    for _ in 0..4 {
        let heartbeat = worker.next_heartbeat();
        driver.send_heartbeat(&heartbeat);
        driver.run(0.05);
        let id = driver.send_heartbeat(&heartbeat);
        driver.run_until(4.0, |driver| driver.responses.contains_key(&id));
        if let Some(response) = driver.accepted_response(id) {
            worker.apply_response(&response);
        }
        driver.run(2.0);
    }
    assert!(worker.has_live_task("req-1") && !worker.has_live_task("req-2"), "{:?}", worker.heartbeat.tasks);
}

/// A task that is saving a checkpoint when its job is cancelled ends immediately, regardless of how
/// long saving takes.
#[test]
fn cancellation_ends_a_checkpointing_task_at_once() {
    let gang =
        JobSpec { shape: Shape::Gang, checkpoint_interval_s: 10.0, save_s: 60.0, ..single_task_job("req-1") };
    let (mut driver, mut worker) = leader_with_running(&[gang]);
    worker.heartbeat.notice_s = Some(200.0);
    let id = driver.send_heartbeat(&worker.next_heartbeat());
    driver.run(3.0);
    let commands = driver.accepted_response(id).map(|response| response.commands).unwrap_or_default();
    assert!(stop_commands(&commands, "req-1").any(|c| c.grace_s > Some(60.0)), "{commands:?}");
    worker.heartbeat.tasks[0].state = TaskState::Saving;
    driver.direct_commands.clear();
    driver.cancel("req-1");
    driver.run(0.2);
    let direct = driver.direct_commands_to(&worker);
    let stops_immediately =
        |commands: &[Command]| stop_commands(commands, "req-1").any(|c| c.grace_s == Some(0.0));
    assert!(direct.iter().any(|d| stops_immediately(&d.2.commands)), "{direct:?}");
    let id = driver.send_heartbeat(&worker.next_heartbeat());
    driver.run(3.0);
    assert!(stops_immediately(&driver.accepted_response(id).expect("no response").commands));
}

/// While the leader reads back a record whose cancellation it has confirmed, it launches no task of
/// that job.
#[test]
fn nothing_is_launched_after_a_confirmed_cancellation() {
    let (mut driver, mut worker) = leader_with_running(&[single_task_job("req-1")]);
    driver.submit(&single_task_job("req-2"));
    driver.run(1.0);
    assert_eq!(driver.controller.placement_count(), 2);
    driver.remaining_reads = Some(1);
    driver.cancel("req-2");
    assert_eq!((driver.controller.placement_count(), driver.remaining_reads), (2, Some(0)));
    let commands = driver.exchange_heartbeat(&mut worker);
    assert!(!launches(&commands, "req-2"), "{commands:?}");
}

/// Another controller cancels a job while a write of the leader to that job's record is pending. The
/// stop commands are sent immediately, not only once the outcome of the write is known.
#[test]
fn cancellation_during_a_pending_write_stops_tasks_at_once() {
    let (mut driver, mut worker) = leader_with_running(&[JobSpec { tasks: 2, ..single_task_job("req-1") }]);
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

/// A job is cancelled while the launch of its task is in flight. The stop command follows immediately,
/// not only once a heartbeat reports the task.
#[test]
fn launch_in_flight_is_followed_by_a_stop() {
    let (mut driver, mut worker) = leader_with_running(&[single_task_job("req-1")]);
    driver.submit(&single_task_job("req-2"));
    driver.run(1.0);
    let commands = driver.exchange_heartbeat(&mut worker);
    assert!(launches(&commands, "req-2"), "{commands:?}");
    driver.direct_commands.clear();
    driver.cancel("req-2");
    driver.run(0.2);
    let direct = driver.direct_commands_to(&worker);
    assert!(direct.iter().any(|d| stop_commands(&d.2.commands, "req-2").count() > 0), "{direct:?}");
}

/// A direct stop command without a reply is sent again while the worker sends no heartbeat whose
/// response could carry it.
#[test]
fn lost_direct_stop_is_retried() {
    let (mut driver, worker) = leader_with_running(&[single_task_job("req-1"), single_task_job("req-2")]);
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

/// A machine's heartbeats do not reach the new leader, so that it stops the tasks of cancelled jobs
/// there by direct commands.
#[test]
fn new_leader_stops_tasks_on_a_machine_whose_heartbeats_are_lost() {
    let (mut driver, mut worker) = leader_with_running(&[single_task_job("req-1"), single_task_job("req-2")]);
    driver.cancel("req-2");
    driver.cloud_down = true;
    let mut driver = driver.next_leader();
    let end = driver.now + 12.0;
    let mut executed = 0;
    while driver.now < end && worker.has_live_task("req-2") {
        driver.run(0.1);
        let calls = driver.direct_commands_to(&worker);
        for (_, call, body) in calls.iter().skip(executed) {
            driver.execute_direct_commands(&mut worker, *call, body);
        }
        executed = calls.len();
    }
    assert!(!worker.has_live_task("req-2") && worker.has_live_task("req-1"), "{:?}", worker.heartbeat.tasks);
}

/// The first heartbeat that a new leader receives from a machine may be an old one of a machine that
/// hangs. So the stop commands are sent as soon as the agent epoch is known, not with the next
/// heartbeat.
#[test]
fn new_leader_sends_stops_once_it_knows_the_agent_epoch() {
    let (mut driver, mut worker) = leader_with_running(&[single_task_job("req-1"), single_task_job("req-2")]);
    driver.cancel("req-2");
    let old_heartbeat = worker.next_heartbeat();
    let mut driver = driver.next_leader();
    assert!(
        driver.direct_commands_to(&worker).iter().all(|(.., d)| d.epoch != 1),
        "{:?}",
        driver.direct_commands_to(&worker)
    );
    driver.send_heartbeat(&old_heartbeat);
    driver.run(0.2);
    assert!(
        driver.direct_commands_to(&worker).iter().any(|(.., d)| d.epoch == 1),
        "{:?}",
        driver.direct_commands_to(&worker)
    );
}

/// A new leader also knows the agent epoch if the machine's last heartbeat reached it before its
/// election.
#[test]
fn new_leader_keeps_agent_epochs_heard_before_its_election() {
    let (mut driver, mut worker) = leader_with_running(&[single_task_job("req-1"), single_task_job("req-2")]);
    driver.cancel("req-2");
    let mut driver = driver.successor();
    driver.run(0.1);
    let id = driver.send_heartbeat(&worker.next_heartbeat());
    // There is no leader yet, so this controller does not accept the heartbeat.
    assert!(
        driver.run_until(4.0, |driver| driver.responses.contains_key(&id)) && !driver.controller.is_leader()
    );
    assert!(driver.run_until(10.0, |driver| driver.controller.has_recovered()));
    driver.run(0.2);
    assert!(
        driver.direct_commands_to(&worker).iter().any(|(.., d)| d.epoch == 1),
        "{:?}",
        driver.direct_commands_to(&worker)
    );
}

/// A machine that replies to direct commands but whose heartbeats are lost gets no tasks, because no
/// launch would reach it. Replies to the stop commands of cancellations must not make it look alive.
#[test]
fn direct_reply_does_not_count_as_a_heartbeat() {
    let ids: Vec<String> = (1..=6).map(|n| format!("req-{n}")).collect();
    let (mut driver, mut worker) =
        leader_with_running(&ids.iter().map(|id| single_task_job(id)).collect::<Vec<_>>());
    let mut healthy = ManualWorker::new("vm-2");
    driver.listed_machines.push("vm-2".into());
    driver.cloud_down = true;
    let silent_since = driver.now;
    for id in &ids[1..5] {
        driver.cancel(id);
        driver.run(0.2);
        for (_, call, body) in driver.direct_commands_to(&worker) {
            driver.execute_direct_commands(&mut worker, call, &body);
        }
        driver.direct_commands.clear();
        driver.exchange_heartbeat(&mut healthy);
        driver.run(3.0);
    }
    assert!(driver.now - silent_since > timing().failure_suspicion_s);
    let usable: Vec<&str> = driver.controller.usable_machines().collect();
    assert!(!usable.contains(&"vm-1"), "{usable:?}");
    assert!(driver.controller.machines_declared_dead().any(|m| m == "vm-1"));
}

/// A leader that has recovered a job whose second page it cannot decode. The job's eight tasks run
/// on two machines, four on each, and use their team's whole quota.
fn leader_with_undecodable_page() -> (SingleController, [ManualWorker; 3]) {
    let spec = JobSpec { team: "dispatch".into(), tasks: 8, accelerators: 1.0, ..single_task_job("req-1") };
    let placement = |task| StoredPlacement { task, attempt: 1, machine: "vm-1".into() };
    let page = PageRecord { placements: (0..4).map(placement).collect(), ..PageRecord::default() };
    let record = JobRecord { per_page: 4, attempt: 1, first_page: page, ..JobRecord::new(spec, 1e9, 30_000) };
    let items = [
        (job_key("req-1"), Value::Job(Box::new(record))),
        (page_key("req-1", 1, 0), Value::Undecodable),
        (FORMAT_KEY.to_string(), Value::Format(FORMAT)),
    ];
    let mut driver = SingleController::leading(Store::with_items(items), &["vm-1", "vm-2", "vm-3"], 100.0);
    let mut workers = ["vm-1", "vm-2", "vm-3"].map(ManualWorker::new);
    for (worker, tasks) in workers.iter_mut().zip([0..4, 4..8, 0..0]) {
        let running = |n| TaskStatus {
            task: task_name("req-1", n),
            attempt: 1,
            state: TaskState::Running,
            exit_cause: None,
            checkpointed: None,
        };
        worker.heartbeat.tasks = tasks.map(running).collect();
        driver.exchange_heartbeat(worker);
    }
    (driver, workers)
}

/// Tasks whose placements cannot be decoded count against their team's quota for as long as they run,
/// and no longer.
#[test]
fn undecodable_placements_count_against_the_quota() {
    let (mut driver, mut workers) = leader_with_undecodable_page();
    driver.submit(&JobSpec { team: "dispatch".into(), ..single_task_job("req-2") });
    let launched_within =
        |driver: &mut SingleController, workers: &mut [ManualWorker; 3], duration_s: f64| {
            let end = driver.now + duration_s;
            while driver.now < end && !workers.iter().any(|w| w.has_live_task("req-2")) {
                workers.iter_mut().for_each(|w| drop(driver.exchange_heartbeat(w)));
                driver.run(0.5);
            }
            workers.iter().any(|w| w.has_live_task("req-2"))
        };
    assert!(
        !launched_within(&mut driver, &mut workers, 90.0),
        "launched beyond the quota: {:?}",
        workers[2].heartbeat.tasks
    );
    let stopped = workers[1].heartbeat.tasks.iter_mut().take(2);
    stopped.for_each(|t| (t.state, t.exit_cause) = (TaskState::Exited, Some(ExitCause::Stopped)));
    assert!(launched_within(&mut driver, &mut workers, 30.0), "the quota of ended tasks is not released");
}

/// Tasks of a cancelled job are stopped even if their placements cannot be decoded.
#[test]
fn cancellation_stops_tasks_with_undecodable_placements() {
    let (mut driver, mut workers) = leader_with_undecodable_page();
    driver.cancel("req-1");
    for _ in 0..3 {
        workers.iter_mut().for_each(|w| drop(driver.exchange_heartbeat(w)));
        driver.run(0.5);
    }
    assert!(workers.iter().all(|w| !w.has_live_task("req-1")), "{workers:?}");
}

/// A record that becomes undecodable while its job runs does not keep other records from being
/// written.
#[test]
fn undecodable_record_does_not_block_other_writes() {
    let (mut driver, mut worker) = leader_with_running(&[single_task_job("req-1"), single_task_job("req-2")]);
    driver.store.make_undecodable(&job_key("req-1"));
    // The exit of a task makes the leader write to that record.
    let first = &mut worker.heartbeat.tasks[0];
    (first.state, first.exit_cause) = (TaskState::Exited, Some(ExitCause::Stopped));
    driver.exchange_heartbeat(&mut worker);
    driver.submit(&single_task_job("req-3"));
    driver.run_until_launched(&mut worker, &["req-2", "req-3"]);
}

/// Small arrays that together request three times the limit of each team.
fn jobs_beyond_quotas(seed: u64, nodes: usize) -> Setup {
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

/// The number of disturbances in `disturbance`.
const DISTURBANCES: usize = 6;

/// Faults that cancel running jobs and disturb the machines of such jobs.
fn disturbance(n: usize, duration_s: f64) -> Vec<Fault> {
    let cancel = |hang_s| Fault::CancelRunningJobs { count: 8, hang_s };
    let lose_heartbeats = |zone| Fault::HeartbeatsLostInZone { zone, duration_s };
    match n {
        0 => vec![cancel(duration_s)],
        1 => vec![lose_heartbeats("a"), cancel(0.0)],
        2 => vec![Fault::ResponsesLostInZone { zone: "a", duration_s }, cancel(0.0)],
        3 => vec![Fault::ZonePartition { zone: "b", duration_s }, cancel(0.0)],
        4 => vec![lose_heartbeats("a"), lose_heartbeats("b"), cancel(duration_s / 2.0)],
        _ => vec![
            Fault::SlowWorkerResponses { max_delay_s: 6.0, duration_s },
            Fault::RotatingHeartbeatTargets { duration_s },
            cancel(duration_s),
        ],
    }
}

/// Counts what occurred in runs of `run_at_quota_limit`.
#[derive(Default, Debug)]
struct Coverage {
    /// Teams that were at their limit when the leader crashed.
    teams_at_limit: usize,
    /// Jobs first reported cancelled during the 20 s that contain the disturbance and the crash.
    cancellations: usize,
    /// Tasks that started after their job was reported cancelled.
    late_starts: usize,
}

/// All teams are at their limits, running jobs are cancelled on disturbed machines, and the leader
/// crashes `crash_delay_s` after that, or before it if negative. This happens twice in a run.
fn run_at_quota_limit(seed: u64, nodes: usize, n: usize, duration_s: f64, crash_delay_s: f64) -> Coverage {
    let context = format!(
        "seed {seed}: disturbance {n} for {duration_s} s, crash {crash_delay_s} s after, {nodes} nodes"
    );
    let mut sim = Simulation::new(jobs_beyond_quotas(seed, nodes));
    let mut coverage = Coverage::default();
    for at in [60.0, 150.0] {
        sim.run(at);
        let (mut faults, crash_at) = (disturbance(n, duration_s), at + crash_delay_s);
        let leader = sim.leader().unwrap_or(0);
        let restart_delay_s = if seed / DISTURBANCES as u64 % 2 == 0 { 0.2 } else { 9.0 };
        let cancelled_before = sim.history.cancelled_at.len();
        if crash_delay_s < 0.0 {
            sim.run(at - crash_delay_s);
        }
        if crash_delay_s >= 0.0 {
            faults.drain(..).for_each(|f| sim.inject(f));
            sim.run(crash_at);
        }
        let teams_at_limit = sim.accelerators_in_use().values().filter(|used| **used > 7.5).count();
        coverage.teams_at_limit += teams_at_limit;
        sim.inject(Fault::ControllerCrash { node: leader, duration_s: restart_delay_s });
        if crash_delay_s < 0.0 {
            sim.run(sim.now - crash_delay_s);
            faults.drain(..).for_each(|f| sim.inject(f));
        }
        sim.run(at + 20.0);
        coverage.cancellations += sim.history.cancelled_at.len() - cancelled_before;
        assert_eq!(sim.history.violations, [], "{context}");
    }
    assert_eq!(sim.run(700.0), [], "{context}");
    assert_eq!(sim.unfinished(), Vec::<String>::new(), "{context}");
    coverage.late_starts = sim.late_starts.len();
    coverage
}

/// Runs part `part` of `parts` of all disturbances, each with four durations around those of a worker
/// lease and `cancel_s`.
fn run_disturbances(part: usize, parts: usize, first_seed: u64) -> Coverage {
    let mut total = Coverage::default();
    for n in (0..DISTURBANCES * 16).filter(|n| n % parts == part) {
        let duration_s = [6.0, 17.0, 30.0, 48.0][n / DISTURBANCES % 4];
        let crash_delay_s = [-1.0, 0.1, 0.5, 6.0][(n + n / (DISTURBANCES * 4)) % 4];
        let nodes = 3 + (n + n / DISTURBANCES) % 2 * 2;
        let coverage =
            run_at_quota_limit(first_seed + n as u64, nodes, n % DISTURBANCES, duration_s, crash_delay_s);
        (total.teams_at_limit, total.cancellations) =
            (total.teams_at_limit + coverage.teams_at_limit, total.cancellations + coverage.cancellations);
        total.late_starts += coverage.late_starts;
    }
    total
}

#[test]
fn full_quotas_are_kept_and_released_after_cancellation() {
    for coverage in on_threads(2, |part| run_disturbances(part, 5, 0)) {
        assert!(coverage.teams_at_limit > 10 && coverage.cancellations > 60, "{coverage:?}");
    }
}

/// All disturbances over many seeds, with the coverage printed per thread: `cargo test --release -p
/// anisecroft-simulation --test cancellation -- --ignored --nocapture`.
#[test]
#[ignore = "minutes"]
fn full_quotas_are_kept_over_many_seeds() {
    for round in 0..20 {
        println!("{:?}", on_threads(2, |part| run_disturbances(part, 2, round * 1000)));
    }
}
