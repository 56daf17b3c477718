//! Regression tests for failures that the explorer found, written as simulations that do not depend
//! on message numbers.

mod common;

use anisecroft_simulation::{Fault, Setup, Simulation, Submission};
use common::*;
use protocol::job::*;

/// A best-effort job that has waited for long loses its machines while there is no other job: new
/// machines must be rented for it. If it counts as a job that only fills free capacity, it never
/// runs again. Found by `explore`, script `gang`, with a machine that hangs.
#[test]
fn best_effort_job_gets_new_machines_when_it_is_the_only_job() {
    for seed in 0..6 {
        let mut setup = seeded_setup(seed, vec![]);
        without_quotas(&mut setup);
        let best_effort =
            JobSpec { priority: Priority::Low, tasks: 2, estimated_run_s: 110.0, ..long_array() };
        setup.jobs = vec![Submission::new(1.0, best_effort)];
        let mut sim = Simulation::new(Setup { capacity: 2, loss: 0.0, ..setup });
        assert_eq!(sim.run(70.0), [], "seed {seed}");
        assert!(
            sim.metrics.task_starts > 0 && !sim.unfinished().is_empty(),
            "seed {seed}: the job is not running"
        );
        let rented_before = sim.rented_count();
        (0..2).for_each(|machine| sim.inject(Fault::MachineLost { machine }));
        assert_eq!(sim.run(160.0), [], "seed {seed}");
        assert!(sim.rented_count() > rented_before, "seed {seed}: no machine was rented");
        assert_eq!(sim.run(480.0), [], "seed {seed}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
    }
}
