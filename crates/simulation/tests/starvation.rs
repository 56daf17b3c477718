//! No class and no team is starved, whatever has a higher priority.

mod common;

use anisecroft_simulation::{Setup, Simulation, Submission};
use common::*;
use protocol::job::*;

fn spec(id: String, class: &str, team: &str, shape: Shape, priority: Priority, tasks: u32) -> JobSpec {
    let (class, team) = (class.into(), team.into());
    JobSpec { id, class, team, shape, priority, tasks, estimated_run_s: 30.0, ..long_array() }
}

fn day(seed: u64, jobs: Vec<Submission>, capacity: usize) -> Simulation {
    let mut setup = seeded_setup(seed, vec![]);
    without_quotas(&mut setup);
    Simulation::new(Setup { jobs, capacity, loss: 0.0, ..setup })
}

/// Urgent jobs ask for twice the fleet all day long; a small job of another class and team has
/// nothing running. It is served soon, and the urgent jobs get nearly all of the fleet.
#[test]
fn urgent_load_does_not_starve_another_class() {
    for seed in 0..3 {
        let rush = (0..150).map(|n| {
            let id = format!("req-{n}");
            Submission::new(f64::from(n) * 2.0, spec(id, "rush", "dispatch", Shape::Array, Priority::High, 8))
        });
        let report = spec("req-900".into(), "reports", "fleet", Shape::Array, Priority::Normal, 6);
        let jobs = rush.chain([Submission::new(20.0, report)]).collect();
        let mut sim = day(seed, jobs, 20);
        assert_eq!(sim.run(260.0), [], "seed {seed}");
        let done = |id: &str| sim.history.completed.get(id).map_or(0, std::collections::BTreeSet::len);
        assert_eq!(done("req-900"), 6, "seed {seed}");
        let rush: usize = (0..150).map(|n| done(&format!("req-{n}"))).sum();
        assert!(rush > 300, "seed {seed}: {rush} urgent tasks done");
    }
}

/// Gangs that need more machines than there are do not keep machines from other jobs for long.
#[test]
fn impossible_gangs_starve_nobody() {
    for seed in 0..3 {
        let gangs = (0..10).map(|n| {
            let mut s = spec(format!("req-{n}"), "train", "dispatch", Shape::Gang, Priority::High, 8);
            s.accelerators = 4.0;
            Submission::new(f64::from(n) * 10.0, s)
        });
        let arrays = (20..40).map(|n| {
            let id = format!("req-{n}");
            Submission::new(f64::from(n) * 4.0, spec(id, "tiles", "fleet", Shape::Array, Priority::Normal, 8))
        });
        let mut sim = day(seed, gangs.chain(arrays).collect(), 6);
        assert_eq!(sim.run(400.0), [], "seed {seed}");
        let waiting: Vec<String> = sim.unfinished();
        let arrays = waiting.iter().filter(|id| id.len() > "req-9".len()).count();
        assert_eq!(arrays, 0, "seed {seed}: {waiting:?}");
    }
}
