//! What the controllers do on two hundred seeded days, message by message, is what it was: each
//! day's digest (`Digest`: wire form, simulated time, border, node and call) is the one recorded
//! in `digests.txt`, a line a day with its name, its messages and its digest.
//!
//! A change that is meant to change no behaviour leaves that file as it is. After one that is
//! meant to, record anew and read which days moved:
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

/// How long most days go on: all faults of the helpers have begun by 160 s.
const DAY_S: f64 = 230.0;

/// A day by name, and how it is played.
struct Day {
    name: String,
    play: Box<dyn Fn() -> Simulation + Send + Sync>,
}

fn day(kind: &str, seed: u64, play: impl Fn() -> Simulation + Send + Sync + 'static) -> Day {
    Day { name: format!("{kind}-{seed}"), play: Box::new(play) }
}

/// Runs a day from its setup, with the digest taken.
fn run(setup: Setup, until: f64) -> Simulation {
    let mut sim = Simulation::new(setup);
    sim.record_digest();
    sim.run(until);
    sim
}

/// Eight faults of those that the other helpers have not.
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

/// Jobs that fail everywhere until their users cancel them.
fn with_broken_jobs(mut s: Setup) -> Setup {
    for Submission { at, spec, cancel_at: cancel } in s.jobs.iter_mut().step_by(5) {
        s.failing_jobs.insert(spec.id.clone());
        *cancel = Some(*at + 60.0);
    }
    s
}

/// Jobs of every kind on machines of three types that hold a part of them: with checkpoints,
/// deadlines, chosen types and all priorities, so that running work is stopped for other work.
fn varied(seed: u64, faults: Vec<ScheduledFault>) -> Setup {
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

/// Long work of low priority fills all machines, some of it with checkpoints; from 40 s on more urgent
/// gangs and arrays come, some with deadlines, some within a guarantee: running work is preempted.
fn contended(seed: u64, faults: Vec<ScheduledFault>) -> Setup {
    let mut setup = seeded_setup(seed, faults);
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xc047);
    for team in &mut setup.settings.params.teams {
        team.accelerators = if seed % 2 == 0 { 0.0 } else { 4.0 };
        team.accelerators_max = 0.0;
    }
    let first = setup.jobs[0].spec.clone();
    let base = JobSpec { zone: None, one_zone: false, spread: false, cores: 1.0, ..first };
    setup.jobs = (0..6).map(|n| long_submission(n, &base, &mut rng)).collect();
    setup.jobs.extend((10..30).map(|n| urgent_submission(n, &base, &mut rng)));
    Setup { capacity: 5, ..setup }
}

/// An array of low priority, or the one service, that is cancelled late.
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

/// A gang or array that is more urgent than the long work.
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

/// Wide arrays in pages, a store whose limits fall, and users that ask often.
fn at_limits(seed: u64) -> Setup {
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

/// The store refuses the leader alone, users cancel, and the service is down for all
/// while the successor takes over.
fn meeting(seed: u64) -> Simulation {
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

/// A script of the explorer's with a fault of each of some kinds, at messages that the seed draws.
fn scripted(machine: usize, seed: u64) -> Simulation {
    let script = &SCRIPTS[machine];
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5c71);
    let kinds = [
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
    // None of these on the first seed.
    let plan = (0..seed % 3).map(|_| PlannedFault {
        message: rng.gen_range(50..900),
        fault: kinds[rng.gen_range(0..kinds.len())],
    });
    let mut sim = Simulation::new(script.setup(seed, checks_without(None)));
    sim.intercept(plan.collect(), false);
    sim.record_digest();
    sim.run(script.until_s + 20.0);
    sim
}

fn days() -> Vec<Day> {
    let mut days = Vec::new();
    let five = |s: Setup| Setup { nodes: 5, ..s };
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
        (100..112).map(|n| day("five", n, move || run(five(seeded_setup(n, seeded_faults(n))), DAY_S))),
    );
    days.extend(
        (100..108)
            .map(|n| day("five-further", n, move || run(five(seeded_setup(n, further_faults(n))), DAY_S))),
    );
    days.extend((200..212).map(|n| {
        day("broken-jobs", n, move || run(with_broken_jobs(seeded_setup(n, seeded_faults(n))), DAY_S))
    }));
    days.extend(
        (300..316)
            .map(|n| day("pipelines", n, move || run(dependent_jobs_setup(n, seeded_faults(n)), DAY_S))),
    );
    days.extend((600..608).map(|n| day("varied", n, move || run(varied(n, vec![]), DAY_S))));
    days.extend((608..624).map(|n| day("varied", n, move || run(varied(n, seeded_faults(n)), DAY_S))));
    days.extend((700..710).map(|n| day("contended", n, move || run(contended(n, vec![]), DAY_S))));
    days.extend((710..720).map(|n| day("contended", n, move || run(contended(n, seeded_faults(n)), DAY_S))));
    days.extend((400..410).map(|n| day("limits", n, move || run(at_limits(n), DAY_S))));
    days.extend((500..512).map(|n| day("meeting", n, move || meeting(n))));
    for (machine, script) in SCRIPTS.iter().enumerate() {
        let kind = format!("script-{}", script.name);
        days.extend((0..3).map(|n| day(&kind, n, move || scripted(machine, n))));
    }
    days
}

/// A day's line. A day that breaks a rule is none to compare with.
fn line(day: &Day) -> String {
    let sim = (day.play)();
    assert_eq!(sim.history.violations, [], "{}", day.name);
    let digest = sim.digest().expect("it was taken");
    assert!(digest.messages > 1000, "{}: {} messages", day.name, digest.messages);
    format!("{} {} {:016x}", day.name, digest.messages, digest.value)
}

#[test]
fn every_day_is_as_it_was_recorded() {
    let lines: Vec<String> = days().par_iter().with_max_len(1).map(line).collect();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/digests.txt");
    if std::env::var_os("RECORD_DIGESTS").is_some() {
        std::fs::write(&path, lines.join("\n") + "\n").expect("the file can be written");
    }
    let recorded = std::fs::read_to_string(&path).unwrap_or_default();
    let recorded: Vec<&str> = recorded.lines().collect();
    let moved: Vec<String> = (0..lines.len().max(recorded.len()))
        .map(|n| (recorded.get(n).copied(), lines.get(n).map(String::as_str)))
        .filter(|(before, now)| before != now)
        .map(|(before, now)| format!("{} is now {}", before.unwrap_or("none"), now.unwrap_or("none")))
        .collect();
    assert!(moved.is_empty(), "{} of {} days moved:\n{}", moved.len(), lines.len(), moved.join("\n"));
}

/// Two plays of one day are equal, and another seed's day is another.
#[test]
fn a_day_repeats_exactly() {
    let play = |n| run(seeded_setup(n, seeded_faults(n)), 60.0).digest().expect("it was taken");
    assert_eq!(play(7), play(7));
    assert_ne!(play(7), play(8));
}
