//! Work that is left lying beside room that fits, and what is rented or given back for nothing.

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

type Jobs = Vec<Submission>;

/// A day of `jobs` and nothing else on up to `capacity` machines, with three or five controllers.
fn day(seed: u64, checks: SafetyChecks, capacity: usize, jobs: Jobs) -> Simulation {
    let mut s = setup(seed, vec![]);
    unlimited(&mut s);
    let nodes = 3 + 2 * (seed % 2) as usize;
    Simulation::new(Setup { jobs, capacity, nodes, checks, loss: 0.0, ..s })
}

/// Fourteen machines stand idle when an outage of the state service ends that was longer than three
/// leases, and work comes at once. Machines rented since, and those given back.
fn after_an_outage(seed: u64, checks: SafetyChecks) -> (u32, usize) {
    let first = Submission::new(2.0, array(1, 12, 4.0, 60.0));
    let later = (2..4).map(|n| Submission::new(95.0, array(n, 2, 4.0, 60.0)));
    let mut sim = day(seed, checks, 60, [first].into_iter().chain(later).collect());
    sim.run(40.0);
    let rented = sim.rented();
    sim.inject(Fault::StoreOutage { duration_s: 75.0 });
    sim.run(114.0);
    assert!(sim.machine_count() >= 12, "seed {seed}: {} machines", sim.machine_count());
    assert_eq!(sim.run(121.0), [], "seed {seed}");
    let all = sim.rented() - rented;
    sim.run(300.0);
    assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
    (all, sim.deleted.iter().filter(|deleted| deleted.at < 117.5).count())
}

/// They take it: none is given back as deaf, since nobody was answered meanwhile, and none is rented.
#[test]
fn after_an_outage_idle_machines_take_the_work() {
    for seed in 0..6 {
        // (Two at most for what usually comes.)
        let (rented, deleted) = after_an_outage(seed, SafetyChecks::default());
        assert!(rented <= 2 && deleted == 0, "seed {seed}: {rented} rented, {deleted} given back");
    }
    let (rented, deleted) =
        after_an_outage(0, SafetyChecks { retain_silent_machines: false, ..SafetyChecks::default() });
    assert!(rented > 2 && deleted >= 12, "{rented} rented, {deleted} given back");
}

/// Nothing reaches the leader but the state service for eight seconds, in which work comes.
/// Machines rented by the end of that.
fn unheard_for_a_moment(seed: u64, checks: SafetyChecks) -> u32 {
    // (All machines in one zone, so that it is not taken for one that is out of reach.)
    let idle = JobSpec { priority: Priority::Low, class: "spare".into(), ..array(1, 12, 4.0, 20.0) };
    let first = Submission::new(2.0, in_zone("a", idle));
    let later = (2..5).map(|n| Submission::new(51.2, array(n, 2, 4.0, 60.0)));
    let mut sim = day(seed, checks, 60, [first].into_iter().chain(later).collect());
    sim.run(45.0);
    let (rented, Some(node)) = (sim.rented(), sim.leader()) else { return 0 };
    sim.inject(Fault::PeerPartition { node, duration_s: 8.0 });
    sim.inject(Fault::NodePartition { node, store: false, workers: true, duration_s: 8.0 });
    assert_eq!(sim.run(53.3), [], "seed {seed}");
    assert_eq!(sim.leader(), Some(node), "seed {seed}: another leads");
    assert!(sim.ledger.accepted.len() == 4 && sim.machine_count() >= 12, "seed {seed}");
    sim.rented() - rented
}

/// What fell silent a moment ago is probably there; that is waited for, for one gap of reports.
#[test]
fn nothing_is_rented_for_what_silent_machines_may_take() {
    for seed in 0..6 {
        assert_eq!(unheard_for_a_moment(seed, SafetyChecks::default()), 0, "seed {seed}");
    }
    let off = SafetyChecks { retain_silent_machines: false, ..SafetyChecks::default() };
    assert!((0..6).any(|seed| unheard_for_a_moment(seed, off) > 0));
}

/// Work bound to a zone that is full, while fewer machines stand in the other: of one zone by name, an
/// array that has begun there, a service of which half may be in each. The jobs that
/// have not ended, or begun.
fn bound(seed: u64, checks: SafetyChecks) -> Vec<String> {
    let mut jobs: Jobs = (1..25).map(|n| Submission::new(2.0, in_zone("b", service(n)))).collect();
    jobs.push(Submission::new(150.0, in_zone("b", array(100, 1, 4.0, 20.0))));
    let pair = JobSpec { tasks: 2, spread: true, ..service(101) };
    jobs.push(Submission::new(150.0, pair));
    let mut sim = day(seed, checks, 60, jobs);
    assert_eq!(sim.run(300.0), [], "seed {seed}");
    let begun = |id: &String| sim.ledger.last_status.get(id) == Some(&JobStatus::Running);
    let services = ["req-101".to_string()].into_iter().filter(|id| !begun(id));
    sim.unfinished().into_iter().chain(services).collect()
}

/// Machines for it are rented there. (They were once rented where fewest stood, given back and rented
/// there anew, for ever.)
#[test]
fn machines_for_bound_work_come_where_it_may_run() {
    for seed in 0..6 {
        assert_eq!(bound(seed, SafetyChecks::default()), Vec::<String>::new(), "seed {seed}");
    }
    let off = SafetyChecks { zonal_scale_out: false, ..SafetyChecks::default() };
    assert!((0..6).any(|seed| !bound(seed, off).is_empty()));
}

/// Nothing is rented for work that a team's limit lets nobody run. (Sixty machines were once, for a
/// team of two.)
#[test]
fn a_team_at_its_limit_has_nothing_rented() {
    for seed in 0..3 {
        let mut s = setup(seed, vec![]);
        unlimited(&mut s);
        for t in &mut s.settings.params.teams {
            t.accelerators_max = 8.0;
        }
        let late = |n| JobSpec { deadline_s: Some(60.0), ..array(n, 1, 4.0, 30.0) };
        let jobs = (10..60).map(|n| Submission::new(2.0 + n as f64 * 0.2, late(n))).collect();
        let mut sim = Simulation::new(Setup { jobs, capacity: 60, loss: 0.0, ..s });
        assert_eq!(sim.run(200.0), [], "seed {seed}");
        assert!(sim.rented() < 10, "seed {seed}: {} rented", sim.rented());
    }
}

/// A gang needs room on all three machines, of which one is full for the whole day; work that takes
/// longer than that comes, and work that does not.
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

/// A place that is held for a gang is given to others in the end.
#[test]
fn no_place_is_held_for_long() {
    for seed in 0..6 {
        assert_eq!(held_for_a_gang(seed, SafetyChecks::default()), [], "seed {seed}");
    }
    let off = SafetyChecks { work_conservation: false, ..SafetyChecks::default() };
    assert!((0..6).any(|seed| held_for_a_gang(seed, off) == [Rule::LeftWaiting]));
}

/// What nobody waits for may use the cheaper type only, which cannot be had, while a dearer machine
/// that others use has room.
fn left_beside_a_dear_machine(seed: u64, checks: SafetyChecks) -> Vec<Rule> {
    let mut s = setup(seed, vec![]);
    unlimited(&mut s);
    s.types.push(protocol::cloud::MachineType { name: "dear".into(), price: 40.0, ..s.types[0].clone() });
    let dear = JobSpec { machine_types: Some(vec!["dear".into()]), ..array(1, 1, 1.0, 3000.0) };
    let idle = JobSpec { priority: Priority::Low, class: "spare".into(), ..array(2, 3, 1.0, 30.0) };
    let jobs = vec![Submission::new(2.0, dear), Submission::new(60.0, idle)];
    let nodes = 3 + 2 * (seed % 2) as usize;
    let mut sim = Simulation::new(Setup { jobs, capacity: 1, nodes, checks, loss: 0.0, ..s });
    sim.run(300.0).iter().map(|b| b.rule).collect()
}

/// It gets room that is free anyway.
#[test]
fn what_nobody_waits_for_gets_what_is_free() {
    for seed in 0..4 {
        assert_eq!(left_beside_a_dear_machine(seed, SafetyChecks::default()), [], "seed {seed}");
    }
    let off = SafetyChecks { work_conservation: false, ..SafetyChecks::default() };
    assert_eq!(left_beside_a_dear_machine(0, off), [Rule::LeftWaiting]);
}

/// More work than room, urgent and not, of every shape, bound to zones and types; machines are lost,
/// cut off, mute, deaf, faulty or slow, links are slow, leaders end. Then all is well again.
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
    let mut s = setup(seed, faults);
    let types = [None, Some(vec!["big".to_string()]), Some(vec!["dear".to_string()])];
    s.types.push(protocol::cloud::MachineType { name: "dear".into(), price: 12.0, ..s.types[0].clone() });
    for Submission { at, spec, .. } in &mut s.jobs {
        *at = at.min(100.0);
        spec.machine_types = types[rng.gen_range(0..3usize)].clone();
        (spec.accelerators, spec.class) = ([0.5, 1.0, 2.0, 4.0][rng.gen_range(0..4usize)], "work".into());
        if spec.priority == Priority::Low {
            spec.class = "spare".into();
        }
        // What can never be whole is no fault.
        spec.tasks = spec.tasks.min(2);
    }
    if seed % 2 == 0 {
        unlimited(&mut s);
    }
    let nodes = 3 + 2 * (seed / 2 % 2) as usize;
    Simulation::new(Setup { capacity: 3 + (seed % 5) as usize, nodes, ..s })
}

#[test]
fn once_troubles_are_over_nothing_is_left_lying() {
    let mut waited = 0;
    // 30: machines kept for gangs that could not be whole were the last to be had. 50: nothing was
    // rented for what nobody waits for, once it had waited long.
    for seed in (0..14).chain([30, 50]) {
        let mut sim = crowded(seed);
        assert_eq!(sim.run(160.0), [], "seed {seed}");
        waited += sim.unfinished().len();
        assert_eq!(sim.run(900.0), [], "seed {seed}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
    }
    assert!(waited > 80, "{waited} jobs waited or ran as the troubles ended");
}

/// What nobody waits for fails on the machine that is used already, and goes to another. (It once came
/// back to the same one for ever.)
#[test]
fn what_nobody_waits_for_leaves_a_faulty_machine() {
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
