//! The operators' size: 4,500 machines through a failover, a store outage and a cold start of all
//! controllers.

mod common;

use anisecroft_simulation::{Fault, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use protocol::job::*;
use std::collections::BTreeSet;

const MACHINES: u32 = 4_500;

/// Settings as in a deployment of that size: long heartbeat intervals, and sockets for all workers
/// at two of three controllers.
fn large(run_s: f64, faults: Vec<ScheduledFault>) -> Setup {
    let mut setup = seeded_setup(1, faults);
    without_quotas(&mut setup);
    let workers = &mut setup.settings.params.workers;
    (workers.heartbeat_interval_s, workers.lease_s, workers.cancel_s) = (6.0, 31.0, 62.0);
    setup.settings.params.resources.max_connections = 4_000;
    setup.settings.params.cloud.rps = 6.0;
    setup.capacity = MACHINES as usize;
    // Every task takes a machine to itself, so that all of them have to come up and work.
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

fn all_crash(at: f64) -> impl Iterator<Item = ScheduledFault> {
    (0..3).map(move |node| ScheduledFault::new(at, Fault::ControllerCrash { node, duration_s: 5.0 }))
}

/// Runs until `rest_s` after the last fault: all machines are up and at work before the first, and
/// known again at the end.
fn returns(run_s: f64, faults: &[ScheduledFault], rest_s: f64) -> Simulation {
    let first = faults[0].at;
    let last = faults[faults.len() - 1].at;
    let mut sim = Simulation::new(large(run_s, faults.to_vec()));
    sim.limit_cloud_rate();
    assert_eq!(sim.run(first), []);
    assert_eq!((sim.rented_count(), sim.metrics.task_starts), (MACHINES, u64::from(MACHINES)), "at {first}");
    assert_eq!(sim.run(last + rest_s), []);
    assert!(sim.has_recovered());
    assert_eq!(sim.unknown_workers(), Vec::<&str>::new());
    assert_eq!(sim.recently_answered_workers(31.0), MACHINES as usize);
    sim
}

/// Each machine was rented once and each task started once: no live machine was declared dead.
fn stays_whole(sim: &Simulation) {
    eprintln!(
        "{} reports, {} relayed, {} changes, leaderless {:.1} s, {} refused by the cloud",
        sim.metrics.heartbeats,
        sim.metrics.forwarded_heartbeats,
        sim.metrics.mutations,
        sim.metrics.max_leaderless_s,
        sim.refused_cloud_calls()
    );
    assert_eq!((sim.rented_count(), sim.metrics.task_starts), (MACHINES, u64::from(MACHINES)));
    assert!(sim.wrongly_declared_dead.is_empty(), "{} given up alive", sim.wrongly_declared_dead.len());
    assert!(sim.usable_after_loss.is_empty(), "{} ghosts", sim.usable_after_loss.len());
}

/// The leader crashes, the store is down for a while, and all controllers crash and restart.
fn failover_outage_and_restart(first: f64, apart_s: f64) -> Vec<ScheduledFault> {
    let mut faults = vec![
        ScheduledFault::new(first, Fault::LeaderCrash { duration_s: 10.0 }),
        ScheduledFault::new(first + apart_s, Fault::StoreOutage { duration_s: 15.0 }),
    ];
    faults.extend(all_crash(first + 2.0 * apart_s));
    faults
}

#[test]
fn thousands_of_machines_survive_failovers_and_outages() {
    let mut sim = returns(600.0, &failover_outage_and_restart(105.0, 25.0), 45.0);
    assert_eq!(sim.run(205.0), []);
    stays_whole(&sim);
}

/// The same with jobs that last through all of it.
#[test]
#[ignore = "takes minutes"]
fn long_jobs_on_thousands_of_machines_survive_failovers_and_outages() {
    let mut sim = returns(800.0, &failover_outage_and_restart(120.0, 90.0), 60.0);
    assert_eq!(sim.run(1600.0), []);
    stays_whole(&sim);
    assert_eq!(sim.unfinished(), Vec::<String>::new());
}

/// Gangs were once cut to the first 256 of their tasks, and waited for the others for ever.
#[test]
fn gang_of_hundreds_starts_as_a_whole() {
    let mut s = seeded_setup(1, vec![]);
    without_quotas(&mut s);
    s.capacity = 30;
    let gang = JobSpec {
        shape: Shape::Gang,
        team: "fleet".into(),
        accelerators: 0.0,
        memory_gb: 1.0,
        estimated_run_s: 20.0,
        ..plain_array("req-1", 300)
    };
    s.jobs = vec![Submission::new(1.0, gang)];
    let mut sim = Simulation::new(s);
    assert_eq!(sim.run(300.0), []);
    assert_eq!(sim.unfinished(), Vec::<String>::new());
    assert_eq!(sim.metrics.task_starts, 300);
}
