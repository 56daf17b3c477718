//! Failures that the explorer found, each as a run of its own that needs no numbers of messages.

mod common;

use anisecroft_simulation::{Fault, Setup, Simulation, Submission};
use common::*;
use protocol::job::*;

/// A best-effort job that has waited for long loses its machine, and there is no other job: a
/// machine is rented for it again. (It was taken for a job that only fills free capacity, and
/// never ran again. Found by `explore`, script `gang`, with a machine that hangs.)
#[test]
fn best_effort_job_alone_gets_a_new_machine() {
    for seed in 0..6 {
        let mut setup = seeded_setup(seed, vec![]);
        without_quotas(&mut setup);
        let idle = JobSpec { priority: Priority::Low, tasks: 2, estimated_run_s: 110.0, ..long_array() };
        setup.jobs = vec![Submission::new(1.0, idle)];
        let mut sim = Simulation::new(Setup { capacity: 2, loss: 0.0, ..setup });
        assert_eq!(sim.run(70.0), [], "seed {seed}");
        assert!(
            sim.metrics.task_starts > 0 && !sim.unfinished().is_empty(),
            "seed {seed}: it is not running"
        );
        let rented = sim.rented_count();
        (0..2).for_each(|machine| sim.inject(Fault::MachineLost { machine }));
        assert_eq!(sim.run(160.0), [], "seed {seed}");
        assert!(sim.rented_count() > rented, "seed {seed}: nothing was rented for what is left");
        assert_eq!(sim.run(480.0), [], "seed {seed}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
    }
}
