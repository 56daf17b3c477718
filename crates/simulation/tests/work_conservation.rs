//! No job waits beside machines that have room for it, and nothing is rented or scaled in for no
//! reason.

mod common;

use anisecroft_simulation::{Fault, Rule, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use controller::SafetyChecks;
use protocol::job::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};

/// An array of `tasks` that take `accelerators` each, for `estimate_s`.
fn array(n: usize, tasks: u32, accelerators: f64, estimate_s: f64) -> JobSpec {
    JobSpec { id: format!("req-{n}"), tasks, accelerators, estimated_run_s: estimate_s, ..long_array() }
}

fn service(n: usize) -> JobSpec {
    JobSpec { shape: Shape::Service, ..array(n, 1, 4.0, 0.0) }
}

fn in_zone(zone: &str, s: JobSpec) -> JobSpec {
    JobSpec { zone: Some(zone.into()), ..s }
}

/// A day of `jobs` and nothing else on up to `capacity` machines, with three or five controllers.
fn day(seed: u64, checks: SafetyChecks, capacity: usize, jobs: Vec<Submission>) -> Simulation {
    let mut setup = seeded_setup(seed, vec![]);
    without_quotas(&mut setup);
    let nodes = 3 + 2 * (seed % 2) as usize;
    Simulation::new(Setup { jobs, capacity, nodes, checks, loss: 0.0, ..setup })
}

/// Fourteen machines are idle when a store outage of more than three leases ends, and jobs are
/// submitted at once. Returns the machines rented since, and those scaled in.
fn after_an_outage(seed: u64, checks: SafetyChecks) -> (u32, usize) {
    let first = Submission::new(2.0, array(1, 12, 4.0, 60.0));
    let later = (2..4).map(|n| Submission::new(95.0, array(n, 2, 4.0, 60.0)));
    let mut sim = day(seed, checks, 60, [first].into_iter().chain(later).collect());
    sim.run(40.0);
    let rented = sim.rented_count();
    sim.inject(Fault::StoreOutage { duration_s: 75.0 });
    sim.run(114.0);
    assert!(sim.machine_count() >= 12, "seed {seed}: {} machines", sim.machine_count());
    assert_eq!(sim.run(121.0), [], "seed {seed}");
    let all = sim.rented_count() - rented;
    sim.run(300.0);
    assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
    (all, sim.deleted.iter().filter(|deleted| deleted.at < 117.5).count())
}

/// They take the jobs: none is scaled in as unreachable, since nobody was answered meanwhile, and
/// none is rented.
#[test]
fn idle_machines_take_jobs_after_a_store_outage() {
    for seed in 0..6 {
        // (Two at most for what usually comes.)
        let (rented, deleted) = after_an_outage(seed, SafetyChecks::default());
        assert!(rented <= 2 && deleted == 0, "seed {seed}: {rented} rented, {deleted} given back");
    }
    let (rented, deleted) =
        after_an_outage(0, SafetyChecks { retain_silent_machines: false, ..SafetyChecks::default() });
    assert!(rented > 2 && deleted >= 12, "{rented} rented, {deleted} given back");
}

/// Only the store reaches the leader for eight seconds, in which jobs are submitted. Returns the
/// machines rented by the end of that.
fn unheard_for_a_moment(seed: u64, checks: SafetyChecks) -> u32 {
    // (All machines in one zone, so that it is not taken for one that is out of reach.)
    let idle = JobSpec { priority: Priority::Low, class: "spare".into(), ..array(1, 12, 4.0, 20.0) };
    let first = Submission::new(2.0, in_zone("a", idle));
    let later = (2..5).map(|n| Submission::new(51.2, array(n, 2, 4.0, 60.0)));
    let mut sim = day(seed, checks, 60, [first].into_iter().chain(later).collect());
    sim.run(45.0);
    let (rented, Some(node)) = (sim.rented_count(), sim.leader()) else { return 0 };
    sim.inject(Fault::PeerPartition { node, duration_s: 8.0 });
    sim.inject(Fault::NodePartition { node, store: false, workers: true, duration_s: 8.0 });
    assert_eq!(sim.run(53.3), [], "seed {seed}");
    assert_eq!(sim.leader(), Some(node), "seed {seed}: another leads");
    assert!(sim.history.accepted.len() == 4 && sim.machine_count() >= 12, "seed {seed}");
    sim.rented_count() - rented
}

/// A machine that fell silent a moment ago is probably there, and is waited for, for one heartbeat
/// gap.
#[test]
fn no_scale_out_for_jobs_that_silent_machines_may_take() {
    for seed in 0..6 {
        assert_eq!(unheard_for_a_moment(seed, SafetyChecks::default()), 0, "seed {seed}");
    }
    let off = SafetyChecks { retain_silent_machines: false, ..SafetyChecks::default() };
    assert!((0..6).any(|seed| unheard_for_a_moment(seed, off) > 0));
}

/// Jobs bound to a zone that is full, while fewer machines are in the other: jobs of one zone by
/// name, an array that has begun there, a service of which half may be in each. Returns the jobs
/// that have not ended, or begun.
fn bound(seed: u64, checks: SafetyChecks) -> Vec<String> {
    let mut jobs: Vec<Submission> = (1..25).map(|n| Submission::new(2.0, in_zone("b", service(n)))).collect();
    jobs.push(Submission::new(150.0, in_zone("b", array(100, 1, 4.0, 20.0))));
    let pair = JobSpec { tasks: 2, spread: true, ..service(101) };
    jobs.push(Submission::new(150.0, pair));
    let mut sim = day(seed, checks, 60, jobs);
    assert_eq!(sim.run(300.0), [], "seed {seed}");
    let begun = |id: &String| sim.history.last_status.get(id) == Some(&JobStatus::Running);
    let services = ["req-101".to_string()].into_iter().filter(|id| !begun(id));
    sim.unfinished().into_iter().chain(services).collect()
}

/// Machines for them are rented there. (They were once rented where fewest were, scaled in and
/// rented there anew, forever.)
#[test]
fn scale_out_for_zonal_jobs_happens_in_their_zone() {
    for seed in 0..6 {
        assert_eq!(bound(seed, SafetyChecks::default()), Vec::<String>::new(), "seed {seed}");
    }
    let off = SafetyChecks { zonal_scale_out: false, ..SafetyChecks::default() };
    assert!((0..6).any(|seed| !bound(seed, off).is_empty()));
}

/// Nothing is rented for jobs that a team's limit keeps from running. (Sixty machines were once,
/// for a team of two.)
#[test]
fn no_scale_out_for_a_team_at_its_limit() {
    for seed in 0..3 {
        let mut setup = seeded_setup(seed, vec![]);
        without_quotas(&mut setup);
        for t in &mut setup.settings.params.teams {
            t.accelerators_max = 8.0;
        }
        let late = |n| JobSpec { deadline_s: Some(60.0), ..array(n, 1, 4.0, 30.0) };
        let jobs = (10..60).map(|n| Submission::new(2.0 + n as f64 * 0.2, late(n))).collect();
        let mut sim = Simulation::new(Setup { jobs, capacity: 60, loss: 0.0, ..setup });
        assert_eq!(sim.run(200.0), [], "seed {seed}");
        assert!(sim.rented_count() < 10, "seed {seed}: {} rented", sim.rented_count());
    }
}

/// A gang needs room on all three machines, of which one is full for the whole day; jobs that take
/// longer than that are submitted, and jobs that do not.
fn held_for_a_gang(seed: u64, checks: SafetyChecks) -> Vec<Rule> {
    let gang = JobSpec { shape: Shape::Gang, deadline_s: Some(10.0), ..array(10, 3, 1.5, 30.0) };
    let jobs = vec![
        Submission::new(2.0, array(1, 1, 4.0, 3000.0)),
        Submission::new(2.0, array(2, 2, 2.5, 3000.0)),
        Submission::new(5.0, gang),
        Submission::new(80.0, array(20, 1, 1.0, 5000.0)),
        Submission::new(80.0, array(21, 1, 0.5, 30.0)),
    ];
    let mut sim = day(seed, checks, 3, jobs);
    sim.run(400.0).iter().map(|b| b.rule).collect()
}

/// Capacity that is reserved for a gang goes to other jobs in the end.
#[test]
fn gang_reservation_is_released() {
    for seed in 0..6 {
        assert_eq!(held_for_a_gang(seed, SafetyChecks::default()), [], "seed {seed}");
    }
    let off = SafetyChecks { work_conservation: false, ..SafetyChecks::default() };
    assert!((0..6).any(|seed| held_for_a_gang(seed, off) == [Rule::LeftWaiting]));
}

/// A best-effort job may use the cheaper type only, which cannot be had, while a more expensive
/// machine that others use has room.
fn left_beside_a_dear_machine(seed: u64, checks: SafetyChecks) -> Vec<Rule> {
    let mut setup = seeded_setup(seed, vec![]);
    without_quotas(&mut setup);
    setup.types.push(protocol::cloud::MachineType {
        name: "dear".into(),
        price: 40.0,
        ..setup.types[0].clone()
    });
    let dear = JobSpec { machine_types: Some(vec!["dear".into()]), ..array(1, 1, 1.0, 3000.0) };
    let idle = JobSpec { priority: Priority::Low, class: "spare".into(), ..array(2, 3, 1.0, 30.0) };
    let jobs = vec![Submission::new(2.0, dear), Submission::new(60.0, idle)];
    let nodes = 3 + 2 * (seed % 2) as usize;
    let mut sim = Simulation::new(Setup { jobs, capacity: 1, nodes, checks, loss: 0.0, ..setup });
    sim.run(300.0).iter().map(|b| b.rule).collect()
}

/// It gets capacity that is free anyway.
#[test]
fn best_effort_jobs_get_free_capacity() {
    for seed in 0..4 {
        assert_eq!(left_beside_a_dear_machine(seed, SafetyChecks::default()), [], "seed {seed}");
    }
    let off = SafetyChecks { work_conservation: false, ..SafetyChecks::default() };
    assert_eq!(left_beside_a_dear_machine(0, off), [Rule::LeftWaiting]);
}

/// More jobs than room, urgent and not, of every shape, bound to zones and types; machines are
/// lost, partitioned one way or both, faulty or slow, links are slow, leaders crash. Then all
/// faults are over.
fn crowded(seed: u64) -> Simulation {
    let rng = &mut SmallRng::seed_from_u64(seed ^ 0x1e_f7);
    let mut faults: Vec<ScheduledFault> = (0..8)
        .map(|_| {
            let (at, duration_s): (f64, f64) = (rng.gen_range(20.0..140.0), rng.gen_range(3.0..45.0));
            let (machine, zone) = (rng.gen_range(0..8), ["a", "b"][rng.gen_range(0..2usize)]);
            let fault = match rng.gen_range(0..11) {
                0 | 1 => Fault::MachineLost { machine },
                2 => Fault::ZonePartition { zone, duration_s },
                3 => Fault::HeartbeatsLostInZone { zone, duration_s },
                4 => Fault::ResponsesLostInZone { zone, duration_s },
                5 => Fault::MachineHang { machine, duration_s },
                6 => Fault::FaultyMachine { machine },
                7 => Fault::SlowWorkerResponses { max_delay_s: 6.0, duration_s },
                8 => Fault::CloudOutage { duration_s },
                9 => Fault::StoreOutage { duration_s: duration_s * 2.0 },
                _ => {
                    Fault::ControllerCrash { node: rng.gen_range(0..3), duration_s: rng.gen_range(0.1..8.0) }
                }
            };
            ScheduledFault::new(at, fault)
        })
        .collect();
    if seed % 3 == 0 {
        // All machines of one zone at a time.
        faults.extend((0..6).map(|machine| ScheduledFault::new(60.0, Fault::MachineLost { machine })));
    }
    let mut setup = seeded_setup(seed, faults);
    let types = [None, Some(vec!["big".to_string()]), Some(vec!["dear".to_string()])];
    setup.types.push(protocol::cloud::MachineType {
        name: "dear".into(),
        price: 12.0,
        ..setup.types[0].clone()
    });
    for Submission { at, spec, .. } in &mut setup.jobs {
        *at = at.min(100.0);
        spec.machine_types = types[rng.gen_range(0..3usize)].clone();
        (spec.accelerators, spec.class) = ([0.5, 1.0, 2.0, 4.0][rng.gen_range(0..4usize)], "work".into());
        if spec.priority == Priority::Low {
            spec.class = "spare".into();
        }
        // A gang that can never be complete is no fault.
        spec.tasks = spec.tasks.min(2);
    }
    if seed % 2 == 0 {
        without_quotas(&mut setup);
    }
    let nodes = 3 + 2 * (seed / 2 % 2) as usize;
    Simulation::new(Setup { capacity: 3 + (seed % 5) as usize, nodes, ..setup })
}

#[test]
fn no_job_waits_beside_capacity_after_faults() {
    let mut waited = 0;
    // 30: machines kept for gangs that could not be whole were the last to be had. 50: nothing was
    // rented for best-effort jobs that had waited for long.
    for seed in (0..14).chain([30, 50]) {
        let mut sim = crowded(seed);
        assert_eq!(sim.run(160.0), [], "seed {seed}");
        waited += sim.unfinished().len();
        assert_eq!(sim.run(900.0), [], "seed {seed}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
    }
    assert!(waited > 80, "{waited} jobs waited or ran as the faults ended");
}

/// A best-effort job fails on the machine that is in use already, and goes to another. (It once
/// came back to the same one forever.)
#[test]
fn best_effort_jobs_leave_a_faulty_machine() {
    for seed in 0..4 {
        let idle = JobSpec { priority: Priority::Low, class: "spare".into(), ..array(2, 1, 1.0, 20.0) };
        let jobs = vec![Submission::new(2.0, array(1, 1, 1.0, 3000.0)), Submission::new(40.0, idle)];
        let mut sim = day(seed, SafetyChecks::default(), 4, jobs);
        sim.run(30.0);
        sim.inject(Fault::FaultyMachine { machine: 0 });
        assert_eq!(sim.run(400.0), [], "seed {seed}");
        assert!(sim.metrics.task_failures > 0, "seed {seed}: nothing failed");
        assert_eq!(sim.unfinished(), ["req-1"], "seed {seed}");
    }
}
