//! No class and no team is starved, regardless of the load with a higher priority.

mod common;

use anisecroft_simulation::{Setup, Simulation, Submission};
use common::*;
use protocol::job::*;

fn spec(id: String, class: &str, team: &str, shape: Shape, priority: Priority, tasks: u32) -> JobSpec {
    let (class, team) = (class.into(), team.into());
    JobSpec { id, class, team, shape, priority, tasks, estimated_run_s: 30.0, ..long_array() }
}

/// A simulation without faults of `jobs` on up to `capacity` machines.
fn simulation(seed: u64, jobs: Vec<Submission>, capacity: usize) -> Simulation {
    let mut setup = seeded_setup(seed, vec![]);
    without_quotas(&mut setup);
    Simulation::new(Setup { jobs, capacity, loss: 0.0, ..setup })
}

/// Jobs of high priority request twice the fleet during the whole run, and a small job of another class
/// and team has no running task. It is served soon, and the jobs of high priority get nearly all of the
/// fleet.
#[test]
fn urgent_load_does_not_starve_another_class() {
    for seed in 0..3 {
        let urgent = (0..150).map(|n| {
            let id = format!("req-{n}");
            Submission::new(f64::from(n) * 2.0, spec(id, "rush", "dispatch", Shape::Array, Priority::High, 8))
        });
        let report = spec("req-900".into(), "reports", "fleet", Shape::Array, Priority::Normal, 6);
        let jobs = urgent.chain([Submission::new(20.0, report)]).collect();
        let mut sim = simulation(seed, jobs, 20);
        assert_eq!(sim.run(260.0), [], "seed {seed}");
        let done = |id: &str| sim.history.completed.get(id).map_or(0, std::collections::BTreeSet::len);
        assert_eq!(done("req-900"), 6, "seed {seed}");
        let urgent_done: usize = (0..150).map(|n| done(&format!("req-{n}"))).sum();
        assert!(urgent_done > 300, "seed {seed}: {urgent_done} tasks of high priority are done");
    }
}

/// Gangs that need more machines than the capacity allows do not withhold machines from other jobs for
/// long.
#[test]
fn gangs_that_never_fit_do_not_starve_other_jobs() {
    for seed in 0..3 {
        let gangs = (0..10).map(|n| {
            let mut gang = spec(format!("req-{n}"), "train", "dispatch", Shape::Gang, Priority::High, 8);
            gang.accelerators = 4.0;
            Submission::new(f64::from(n) * 10.0, gang)
        });
        let arrays = (20..40).map(|n| {
            let id = format!("req-{n}");
            Submission::new(f64::from(n) * 4.0, spec(id, "tiles", "fleet", Shape::Array, Priority::Normal, 8))
        });
        let mut sim = simulation(seed, gangs.chain(arrays).collect(), 6);
        assert_eq!(sim.run(400.0), [], "seed {seed}");
        let unfinished: Vec<String> = sim.unfinished();
        // Only the IDs of gangs have a single digit.
        let unfinished_arrays = unfinished.iter().filter(|id| id.len() > "req-9".len()).count();
        assert_eq!(unfinished_arrays, 0, "seed {seed}: {unfinished:?}");
    }
}
