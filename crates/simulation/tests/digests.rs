//! Detects changes of behaviour: on some two hundred seeded days, the controllers receive and send
//! exactly the same messages as recorded. `digests.txt` has a line per day with its name, its
//! number of messages and their digest, which covers encoding, simulated time, kind, node and call
//! of every message (see `Digest`).
//!
//! A refactoring must leave that file unchanged. After an intended change of behaviour, record it
//! again and review which days differ:
//! `RECORD_DIGESTS=1 cargo test -p anisecroft-simulation --test digests`

mod common;

use anisecroft_simulation::explore::{checks_without, SCRIPTS};
use anisecroft_simulation::{
    Fault, MessageFault, PlannedFault, ScheduledFault, Setup, Simulation, Submission,
};
use common::*;
use protocol::cloud::MachineType;
use protocol::job::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use rayon::prelude::*;
use std::path::Path;

/// Length of most days. All seeded faults have begun by 160 s.
const DAY_S: f64 = 230.0;

/// A named day, and the function that simulates it.
struct Day {
    name: String,
    simulate: Box<dyn Fn() -> Simulation + Send + Sync>,
}

fn day(kind: &str, seed: u64, simulate: impl Fn() -> Simulation + Send + Sync + 'static) -> Day {
    Day { name: format!("{kind}-{seed}"), simulate: Box::new(simulate) }
}

/// Simulates a day until `until` and records its digest.
fn run(setup: Setup, until: f64) -> Simulation {
    let mut sim = Simulation::new(setup);
    sim.record_digest();
    sim.run(until);
    sim
}

/// Eight faults of kinds that `common::seeded_faults` does not inject.
fn further_faults(seed: u64) -> Vec<ScheduledFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xd19e);
    let fault = |_| {
        let at = rng.gen_range(5.0..160.0);
        let duration_s: f64 = rng.gen_range(5.0..40.0);
        let (node, machine) = (rng.gen_range(0..3), rng.gen_range(0..6));
        let zone = ["a", "b"][machine % 2];
        let fault = match rng.gen_range(0..24) {
            0 | 1 => Fault::ZonePartition { zone, duration_s },
            2 => Fault::ZoneWorkersPartition { node, zone, duration_s },
            3 => Fault::PeerConnectionsRefused { duration_s },
            4 => Fault::PeerPartition { node, duration_s },
            5 => Fault::RotatingHeartbeatTargets { duration_s },
            6 => Fault::DelayedWrites { share: 0.2, duration_s },
            7 => Fault::LostWriteResponses { share: 0.3, duration_s },
            8 => Fault::SlowStore { max_delay_s: 1.5, duration_s },
            9 => Fault::SlowWorkerResponses { max_delay_s: 6.0, duration_s },
            10 => Fault::DuplicatedHeartbeats { max_delay_s: 40.0, duration_s },
            11 => Fault::HeartbeatsReplayedAfterFailover { delay_s: 4.0, duration_s },
            12 => Fault::IsolatedWithWorkers { node, duration_s },
            13 => Fault::ResponsesLost { machine, duration_s },
            14 => Fault::ResponsesLostInZone { zone, duration_s },
            15 => Fault::HeartbeatsLost { machine, duration_s },
            16 => Fault::HeartbeatsLostInZone { zone, duration_s },
            17 => Fault::FastBoots { duration_s },
            18 => Fault::CancelRunningJobs { count: 8, hang_s: duration_s },
            19 => Fault::CancelAtCompletion { share: 0.5, duration_s },
            20 => Fault::InvalidRequests { duration_s },
            21 => Fault::ConcurrentQueries { duration_s },
            22 => Fault::SlowImageFetch { machine, fetch_s: duration_s },
            _ => Fault::LeaderCrash { duration_s: duration_s / 8.0 },
        };
        ScheduledFault::new(at, fault)
    };
    (0..8).map(fault).collect()
}

/// Makes every fifth job fail on all machines until its user cancels it.
fn with_failing_jobs(mut setup: Setup) -> Setup {
    for Submission { at, spec, cancel_at } in setup.jobs.iter_mut().step_by(5) {
        setup.failing_jobs.insert(spec.id.clone());
        *cancel_at = Some(*at + 60.0);
    }
    setup
}

/// Jobs of every kind on too few machines of three types, with checkpoints, deadlines, selected
/// machine types and all priorities, so that running tasks are preempted.
fn varied_jobs(seed: u64, faults: Vec<ScheduledFault>) -> Setup {
    let mut setup = seeded_setup(seed, faults);
    without_quotas(&mut setup);
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x7a61);
    let big = setup.types[0].clone();
    setup.types.push(MachineType {
        name: "small".into(),
        cores: 8.0,
        accelerators: 2.0,
        price: 2.2,
        ..big.clone()
    });
    setup.types.push(MachineType {
        name: "fast".into(),
        fetch_gb_per_s: 3.0,
        price: 6.0,
        boot_s: 4.0,
        ..big
    });
    for Submission { spec, .. } in &mut setup.jobs {
        spec.priority =
            [Priority::Low, Priority::Normal, Priority::High, Priority::Production][rng.gen_range(0..4)];
        spec.deadline_s = rng.gen_bool(0.4).then(|| rng.gen_range(20.0..200.0));
        if rng.gen_bool(0.5) {
            (spec.checkpoint_interval_s, spec.save_s) = (rng.gen_range(2.0..15.0), rng.gen_range(0.5..4.0));
        }
        if rng.gen_bool(0.3) {
            spec.machine_types =
                Some(vec![["big", "small", "fast"][rng.gen_range(0..3)].into(), "big".into()]);
        }
    }
    Setup { capacity: 5, ..setup }
}

/// Long jobs of low priority, some with checkpoints, fill all machines. From 40 s on, more urgent
/// gangs and arrays arrive, some with deadlines, some within their team's guarantee, so that running
/// tasks are preempted.
fn contended_machines(seed: u64, faults: Vec<ScheduledFault>) -> Setup {
    let mut setup = seeded_setup(seed, faults);
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xc047);
    for team in &mut setup.settings.params.teams {
        team.accelerators = if seed % 2 == 0 { 0.0 } else { 4.0 };
        team.accelerators_max = 0.0;
    }
    let first_spec = setup.jobs[0].spec.clone();
    let base = JobSpec { zone: None, one_zone: false, spread: false, cores: 1.0, ..first_spec };
    setup.jobs = (0..6).map(|n| long_submission(n, &base, &mut rng)).collect();
    setup.jobs.extend((10..30).map(|n| urgent_submission(n, &base, &mut rng)));
    Setup { capacity: 5, ..setup }
}

/// An array of low priority or, for one `n`, a service that is cancelled late.
fn long_submission(n: u32, base: &JobSpec, rng: &mut SmallRng) -> Submission {
    let service = n == 3;
    let checkpoint_interval_s = if n % 2 == 0 { 0.0 } else { rng.gen_range(5.0..20.0) };
    let save_s = if n % 2 == 0 { 0.0 } else { rng.gen_range(0.5..4.0) };
    let spec = JobSpec {
        id: format!("req-{n}"),
        team: "clinics".into(),
        shape: if service { Shape::Service } else { Shape::Array },
        priority: Priority::Low,
        tasks: 4,
        estimated_run_s: if service { 0.0 } else { rng.gen_range(60.0..160.0) },
        checkpoint_interval_s,
        save_s,
        ..base.clone()
    };
    Submission::new(1.0 + f64::from(n), spec).cancelled_at(service.then_some(180.0))
}

/// A gang or array that is more urgent than the long jobs.
fn urgent_submission(n: u32, base: &JobSpec, rng: &mut SmallRng) -> Submission {
    let gang = rng.gen_bool(0.6);
    let spec = JobSpec {
        id: format!("req-{n}"),
        team: "dispatch".into(),
        shape: if gang { Shape::Gang } else { Shape::Array },
        priority: [Priority::Normal, Priority::High, Priority::Production][rng.gen_range(0..3)],
        tasks: rng.gen_range(1..4),
        accelerators: [1.0, 2.0, 4.0][rng.gen_range(0..3)],
        estimated_run_s: rng.gen_range(5.0..30.0),
        deadline_s: rng.gen_bool(0.5).then(|| rng.gen_range(15.0..90.0)),
        ..base.clone()
    };
    Submission::new(40.0 + 6.0 * f64::from(n - 10), spec)
}

/// Arrays of hundreds of tasks, stored in pages, a store whose limits fall, and a flood of queries.
fn falling_store_limits(seed: u64) -> Setup {
    let mut setup = seeded_setup(seed, seeded_faults(seed));
    without_quotas(&mut setup);
    setup.settings.params.store.next = Some(settings::NextLimits {
        value_kb: Some(2.0),
        txn_ops: Some(8),
        ..settings::NextLimits::default()
    });
    for Submission { spec, .. } in setup.jobs.iter_mut().step_by(5).filter(|j| j.spec.shape == Shape::Array) {
        (spec.tasks, spec.cores, spec.accelerators, spec.memory_gb) = (200, 0.25, 0.0, 0.25);
    }
    setup.faults.push(ScheduledFault::new(60.0 + seed as f64 % 30.0, Fault::StoreLimitsReduced));
    setup.faults.push(ScheduledFault::new(70.0, Fault::QueryFlood { factor: 8.0, duration_s: 20.0 }));
    Setup { capacity: 12, ..setup }
}

/// The store refuses the leader while users cancel jobs, and is down for all controllers while the
/// successor takes over.
fn failover_during_store_outages(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seeded_setup(seed, vec![]));
    sim.record_digest();
    sim.run(69.0 + seed as f64 % 7.0);
    if let Some(node) = sim.leader() {
        sim.inject(Fault::StoreRefusesNode { node, duration_s: 25.0 });
    }
    sim.inject(Fault::CancelRunningJobs { count: 6, hang_s: 10.0 });
    sim.run(sim.now + 3.0);
    sim.inject(Fault::StoreOutage { duration_s: 5.0 });
    sim.run(sim.now + 12.0 + (seed % 5) as f64);
    sim.inject(Fault::StoreOutage { duration_s: 40.0 });
    sim.run(DAY_S);
    sim
}

/// A script of the explorer with up to two faults, whose kinds and messages are drawn with the seed.
fn scripted(script_index: usize, seed: u64) -> Simulation {
    let script = &SCRIPTS[script_index];
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5c71);
    let faults = [
        MessageFault::Lost,
        MessageFault::Delayed(6.0),
        MessageFault::Duplicated(2.0),
        MessageFault::SenderEndsBefore(0.2),
        MessageFault::SenderEndsAfter(12.0),
        MessageFault::ReceiverPartitioned(8.0),
        MessageFault::SenderRefused(8.0),
        MessageFault::MachineHangs(12.0),
        MessageFault::JobsCancelled,
        MessageFault::JobsQueried,
    ];
    // No faults with seed 0.
    let plan = (0..seed % 3).map(|_| PlannedFault {
        message: rng.gen_range(50..900),
        fault: faults[rng.gen_range(0..faults.len())],
    });
    let mut sim = Simulation::new(script.setup(seed, checks_without(None)));
    sim.intercept(plan.collect(), false);
    sim.record_digest();
    sim.run(script.until_s + 20.0);
    sim
}

fn days() -> Vec<Day> {
    let mut days = Vec::new();
    let five_nodes = |setup: Setup| Setup { nodes: 5, ..setup };
    days.extend((0..2).map(|n| day("quiet", n, move || run(seeded_setup(n, vec![]), DAY_S))));
    days.extend((0..30).map(|n| day("troubles", n, move || run(seeded_setup(n, seeded_faults(n)), DAY_S))));
    days.extend(
        (3080..3092).map(|n| {
            day("late-returns", n, move || run(seeded_setup(n, faults_with_late_restarts(n)), DAY_S))
        }),
    );
    days.extend((0..16).map(|n| day("newest", n, move || run(seeded_setup(n, one_way_faults(n)), DAY_S))));
    days.extend((0..36).map(|n| day("further", n, move || run(seeded_setup(n, further_faults(n)), DAY_S))));
    days.extend(
        (100..112).map(|n| day("five", n, move || run(five_nodes(seeded_setup(n, seeded_faults(n))), DAY_S))),
    );
    days.extend(
        (100..108).map(|n| {
            day("five-further", n, move || run(five_nodes(seeded_setup(n, further_faults(n))), DAY_S))
        }),
    );
    days.extend((200..212).map(|n| {
        day("broken-jobs", n, move || run(with_failing_jobs(seeded_setup(n, seeded_faults(n))), DAY_S))
    }));
    days.extend(
        (300..316)
            .map(|n| day("pipelines", n, move || run(dependent_jobs_setup(n, seeded_faults(n)), DAY_S))),
    );
    days.extend((600..608).map(|n| day("varied", n, move || run(varied_jobs(n, vec![]), DAY_S))));
    days.extend((608..624).map(|n| day("varied", n, move || run(varied_jobs(n, seeded_faults(n)), DAY_S))));
    days.extend((700..710).map(|n| day("contended", n, move || run(contended_machines(n, vec![]), DAY_S))));
    days.extend(
        (710..720).map(|n| day("contended", n, move || run(contended_machines(n, seeded_faults(n)), DAY_S))),
    );
    days.extend((400..410).map(|n| day("limits", n, move || run(falling_store_limits(n), DAY_S))));
    days.extend((500..512).map(|n| day("meeting", n, move || failover_during_store_outages(n))));
    for (script_index, script) in SCRIPTS.iter().enumerate() {
        let kind = format!("script-{}", script.name);
        days.extend((0..3).map(|n| day(&kind, n, move || scripted(script_index, n))));
    }
    days
}

/// Simulates a day and returns its line for `digests.txt`. The day must break no rule, because the
/// messages of a faulty run are no reference.
fn digest_line(day: &Day) -> String {
    let sim = (day.simulate)();
    assert_eq!(sim.history.violations, [], "{}", day.name);
    let digest = sim.digest().expect("no digest recorded");
    assert!(digest.messages > 1000, "{}: {} messages", day.name, digest.messages);
    format!("{} {} {:016x}", day.name, digest.messages, digest.value)
}

#[test]
fn every_day_matches_its_recorded_digest() {
    let lines: Vec<String> = days().par_iter().with_max_len(1).map(digest_line).collect();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/digests.txt");
    if std::env::var_os("RECORD_DIGESTS").is_some() {
        std::fs::write(&path, lines.join("\n") + "\n").expect("cannot write digests.txt");
    }
    let recorded = std::fs::read_to_string(&path).unwrap_or_default();
    let recorded: Vec<&str> = recorded.lines().collect();
    let differences: Vec<String> = (0..lines.len().max(recorded.len()))
        .map(|n| (recorded.get(n).copied(), lines.get(n).map(String::as_str)))
        .filter(|(before, now)| before != now)
        .map(|(before, now)| format!("{} is now {}", before.unwrap_or("none"), now.unwrap_or("none")))
        .collect();
    assert!(
        differences.is_empty(),
        "{} of {} days differ:\n{}",
        differences.len(),
        lines.len(),
        differences.join("\n")
    );
}

#[test]
fn equal_seeds_give_equal_digests_and_different_seeds_do_not() {
    let digest =
        |seed| run(seeded_setup(seed, seeded_faults(seed)), 60.0).digest().expect("no digest recorded");
    assert_eq!(digest(7), digest(7));
    assert_ne!(digest(7), digest(8));
}
