//! A cluster of the operators' size, 4,500 machines, through a failover, a store outage and a restart
//! of all controllers.

mod common;

use anisecroft_simulation::{Fault, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use protocol::job::*;
use std::collections::BTreeSet;

const MACHINES: u32 = 4_500;

/// A day with the settings of a deployment of this size: long heartbeat intervals, and enough sockets
/// for two of three controllers to serve all workers.
fn large_deployment(run_s: f64, faults: Vec<ScheduledFault>) -> Setup {
    let mut setup = seeded_setup(1, faults);
    without_quotas(&mut setup);
    let workers = &mut setup.settings.params.workers;
    (workers.heartbeat_interval_s, workers.lease_s, workers.cancel_s) = (6.0, 31.0, 62.0);
    setup.settings.params.resources.max_connections = 4_000;
    setup.settings.params.cloud.rps = 6.0;
    setup.capacity = MACHINES as usize;
    // Every task takes a whole machine, so that all machines have to boot and run one.
    let array = |n: u32| JobSpec {
        team: "fleet".into(),
        cores: 16.0,
        accelerators: 4.0,
        memory_gb: 32.0,
        estimated_run_s: run_s,
        ..plain_array(&format!("req-{n}"), MACHINES / 9)
    };
    setup.jobs = (0..9).map(|n| Submission::new(1.0 + f64::from(n) * 0.1, array(n))).collect();
    (setup.failing_jobs, setup.loss) = (BTreeSet::new(), 0.0);
    setup
}

fn crash_of_all_controllers(at: f64) -> impl Iterator<Item = ScheduledFault> {
    (0..3).map(move |node| ScheduledFault::new(at, Fault::ControllerCrash { node, duration_s: 5.0 }))
}

/// Runs until `recovery_s` after the last fault, and checks that all machines run tasks before the
/// first fault and are known to the leader at the end.
fn run_through_faults(run_s: f64, faults: &[ScheduledFault], recovery_s: f64) -> Simulation {
    let first_at = faults[0].at;
    let last_at = faults[faults.len() - 1].at;
    let mut sim = Simulation::new(large_deployment(run_s, faults.to_vec()));
    sim.limit_cloud_rate();
    assert_eq!(sim.run(first_at), []);
    assert_eq!(
        (sim.rented_count(), sim.metrics.task_starts),
        (MACHINES, u64::from(MACHINES)),
        "at {first_at} s"
    );
    assert_eq!(sim.run(last_at + recovery_s), []);
    assert!(sim.has_recovered());
    assert_eq!(sim.unknown_workers(), Vec::<&str>::new());
    assert_eq!(sim.recently_answered_workers(31.0), MACHINES as usize);
    sim
}

/// Checks that each machine was rented once and each task started once, and that no live machine was
/// declared dead.
fn assert_no_machine_was_replaced(sim: &Simulation) {
    eprintln!(
        "{} heartbeats, {} forwarded, {} mutations, leaderless {:.1} s, {} calls refused by the cloud",
        sim.metrics.heartbeats,
        sim.metrics.forwarded_heartbeats,
        sim.metrics.mutations,
        sim.metrics.max_leaderless_s,
        sim.refused_cloud_calls()
    );
    assert_eq!((sim.rented_count(), sim.metrics.task_starts), (MACHINES, u64::from(MACHINES)));
    assert!(
        sim.wrongly_declared_dead.is_empty(),
        "{} live machines declared dead",
        sim.wrongly_declared_dead.len()
    );
    assert!(
        sim.usable_after_loss.is_empty(),
        "{} lost machines taken for usable",
        sim.usable_after_loss.len()
    );
}

/// A leader crash, a store outage of 15 s, and a crash and restart of all controllers, `interval_s`
/// apart.
fn failover_outage_and_restart(first_at: f64, interval_s: f64) -> Vec<ScheduledFault> {
    let mut faults = vec![
        ScheduledFault::new(first_at, Fault::LeaderCrash { duration_s: 10.0 }),
        ScheduledFault::new(first_at + interval_s, Fault::StoreOutage { duration_s: 15.0 }),
    ];
    faults.extend(crash_of_all_controllers(first_at + 2.0 * interval_s));
    faults
}

#[test]
fn thousands_of_machines_survive_failovers_and_outages() {
    let mut sim = run_through_faults(600.0, &failover_outage_and_restart(105.0, 25.0), 45.0);
    assert_eq!(sim.run(205.0), []);
    assert_no_machine_was_replaced(&sim);
}

/// The same with jobs that run through all the faults, which are further apart; all jobs finish.
#[test]
#[ignore = "takes minutes"]
fn long_jobs_on_thousands_of_machines_survive_failovers_and_outages() {
    let mut sim = run_through_faults(800.0, &failover_outage_and_restart(120.0, 90.0), 60.0);
    assert_eq!(sim.run(1600.0), []);
    assert_no_machine_was_replaced(&sim);
    assert_eq!(sim.unfinished(), Vec::<String>::new());
}

/// All tasks of a large gang start. A gang that is cut to its first 256 tasks waits for the others
/// forever.
#[test]
fn all_tasks_of_a_gang_of_hundreds_start() {
    let mut setup = seeded_setup(1, vec![]);
    without_quotas(&mut setup);
    setup.capacity = 30;
    let gang = JobSpec {
        shape: Shape::Gang,
        team: "fleet".into(),
        accelerators: 0.0,
        memory_gb: 1.0,
        estimated_run_s: 20.0,
        ..plain_array("req-1", 300)
    };
    setup.jobs = vec![Submission::new(1.0, gang)];
    let mut sim = Simulation::new(setup);
    assert_eq!(sim.run(300.0), []);
    assert_eq!(sim.unfinished(), Vec::<String>::new());
    assert_eq!(sim.metrics.task_starts, 300);
}
