//! The operators' size: 4,500 machines at work, through the end of the leader, an outage of the
//! state service and a cold start.

mod common;

use anisecroft_simulation::{Fault, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use protocol::job::*;
use std::collections::BTreeSet;

const MACHINES: u32 = 4_500;

/// Settings as in a deployment of that size: reports seldom, sockets for all workers at two of
/// three controllers.
fn large(run_s: f64, faults: Vec<ScheduledFault>) -> Setup {
    let mut s = setup(1, faults);
    unlimited(&mut s);
    let w = &mut s.settings.params.workers;
    (w.heartbeat_interval_s, w.lease_s, w.cancel_s) = (6.0, 31.0, 62.0);
    s.settings.params.resources.max_connections = 4_000;
    s.settings.params.cloud.rps = 6.0;
    s.capacity = MACHINES as usize;
    // Every task takes a machine to itself, so that all of them have to come up and work.
    let array = |n: u32| JobSpec {
        team: "fleet".into(),
        cores: 16.0,
        accelerators: 4.0,
        memory_gb: 32.0,
        estimated_run_s: run_s,
        ..plain_array(&format!("req-{n}"), MACHINES / 9)
    };
    s.jobs = (0..9).map(|n| Submission::new(1.0 + f64::from(n) * 0.1, array(n))).collect();
    (s.failing_jobs, s.loss) = (BTreeSet::new(), 0.0);
    s
}

fn all_crash(at: f64) -> impl Iterator<Item = ScheduledFault> {
    (0..3).map(move |node| ScheduledFault::new(at, Fault::ControllerCrash { node, duration_s: 5.0 }))
}

/// Until `rest_s` after the last trouble: all machines are up and at work before the first, and
/// known again.
fn returns(run_s: f64, faults: &[ScheduledFault], rest_s: f64) -> Simulation {
    let first = faults[0].at;
    let last = faults[faults.len() - 1].at;
    let mut sim = Simulation::new(large(run_s, faults.to_vec()));
    sim.limit_cloud();
    assert_eq!(sim.run(first), []);
    assert_eq!((sim.rented(), sim.metrics.task_starts), (MACHINES, u64::from(MACHINES)), "at {first}");
    assert_eq!(sim.run(last + rest_s), []);
    assert!(sim.has_recovered());
    assert_eq!(sim.unknown_workers(), Vec::<&str>::new());
    assert_eq!(sim.workers_answered(31.0), MACHINES as usize);
    sim
}

/// Each machine was rented once and each task started once: nothing that lived was given up.
fn stays_whole(sim: &Simulation) {
    eprintln!(
        "{} reports, {} relayed, {} changes, leaderless {:.1} s, {} refused by the cloud",
        sim.metrics.heartbeats,
        sim.metrics.forwarded_heartbeats,
        sim.metrics.mutations,
        sim.metrics.max_leaderless_s,
        sim.refused_by_cloud()
    );
    assert_eq!((sim.rented(), sim.metrics.task_starts), (MACHINES, u64::from(MACHINES)));
    assert!(sim.declared_dead_alive.is_empty(), "{} given up alive", sim.declared_dead_alive.len());
    assert!(sim.usable_after_loss.is_empty(), "{} ghosts", sim.usable_after_loss.len());
}

/// The leader ends, the state service is down for a while, and all controllers end and are back.
fn troubles_at(first: f64, apart_s: f64) -> Vec<ScheduledFault> {
    let mut faults = vec![
        ScheduledFault::new(first, Fault::LeaderCrash { duration_s: 10.0 }),
        ScheduledFault::new(first + apart_s, Fault::StoreOutage { duration_s: 15.0 }),
    ];
    faults.extend(all_crash(first + 2.0 * apart_s));
    faults
}

#[test]
fn thousands_of_machines_work_through_every_return() {
    let mut sim = returns(600.0, &troubles_at(105.0, 25.0), 45.0);
    assert_eq!(sim.run(205.0), []);
    stays_whole(&sim);
}

/// The same with work that lasts through all of it.
#[test]
#[ignore = "takes minutes"]
fn long_work_on_thousands_of_machines_lasts_through_every_return() {
    let mut sim = returns(800.0, &troubles_at(120.0, 90.0), 60.0);
    assert_eq!(sim.run(1600.0), []);
    stays_whole(&sim);
    assert_eq!(sim.unfinished(), Vec::<String>::new());
}

/// Gangs were once cut to the first 256 of their tasks, and waited for the others for ever.
#[test]
fn a_gang_of_hundreds_starts_as_a_whole() {
    let mut s = setup(1, vec![]);
    unlimited(&mut s);
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
