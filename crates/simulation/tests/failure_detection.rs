//! Failure detection: zones, proxies and controllers that return, and machines that are gone for
//! good.

mod common;

use anisecroft_simulation::{Fault, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use protocol::job::*;

/// A zone is partitioned for so long that its machines are scaled in. When its proxy returns it
/// forwards all that it knew, to the leader that scaled them in or to one that never knew them. (A
/// third of a fleet that was long gone was once taken for alive and given tasks.)
#[test]
fn deleted_machines_do_not_return_with_their_proxy() {
    let mut given_back = 0;
    for seed in 0..16 {
        let (cut, hold) = (40.0 + seed as f64, timing().unreachable_zone_retention_s + 40.0);
        let mut faults = vec![ScheduledFault::new(cut, Fault::ZonePartition { zone: "b", duration_s: hold })];
        // All nodes outside start anew, so that nobody there knows any more.
        if seed % 2 == 1 {
            let crash = |node| {
                ScheduledFault::new(cut + hold - 12.0, Fault::ControllerCrash { node, duration_s: 3.0 })
            };
            faults.extend([0, 2].map(crash));
        }
        let mut sim = Simulation::new(seeded_setup(seed, faults));
        assert_eq!(sim.run(300.0), [], "seed {seed}");
        given_back += sim.deleted.len();
        assert!(sim.usable_after_loss.is_empty(), "seed {seed}: {:?}", sim.usable_after_loss);
    }
    assert!(given_back > 0);
}

/// A job that fills `machines` machines for longer than the day.
fn full(seed: u64, machines: usize) -> Simulation {
    full_of(3, seed, machines)
}

fn full_of(nodes: usize, seed: u64, machines: usize) -> Simulation {
    let spec = JobSpec { tasks: machines as u32 * 4, ..long_array() };
    let mut setup = seeded_setup(seed, vec![]);
    without_quotas(&mut setup);
    let mut sim = Simulation::new(Setup {
        jobs: vec![Submission::new(1.0, spec)],
        capacity: machines,
        loss: 0.0,
        nodes,
        ..setup
    });
    assert_eq!(sim.run(100.0), []);
    sim
}

/// The tasks of a zone that is away for longer than a lease are placed elsewhere, but its machines
/// are kept and nothing is rented there; when the zone returns they work on, and no task runs
/// twice. (They were once scaled in after three heartbeats, and as many rented in the zone that
/// nobody reached.) With the odd pairs of seeds a controller outside crashes meanwhile. (A new
/// leader once declared the zone's machines dead at once, by the age of forwarded heartbeats.)
#[test]
fn partitioned_zone_keeps_its_machines() {
    for seed in 0..12 {
        let mut sim = full(seed, 24);
        let (deleted, starts) = (sim.deleted.len(), sim.metrics.task_starts);
        let crash = seed / 2 % 2 == 1;
        let zone = if crash { "b" } else { ["a", "b"][seed as usize % 2] };
        sim.inject(Fault::ZonePartition { zone, duration_s: 50.0 });
        assert_eq!(sim.run(112.0), [], "seed {seed}");
        if crash {
            sim.inject(Fault::ControllerCrash { node: [0, 2][seed as usize % 2], duration_s: 3.0 });
        }
        let rented = sim.rented_count_in(zone);
        assert_eq!(sim.run(150.0), [], "seed {seed}");
        assert_eq!(sim.rented_count_in(zone), rented, "seed {seed}: rented in zone {zone}");
        assert_eq!(sim.run(260.0), [], "seed {seed}");
        assert_eq!(&sim.deleted[deleted..], [], "seed {seed}");
        assert!(sim.metrics.task_starts >= starts + 40, "seed {seed}: its work was placed anew");
        assert!(sim.wrongly_declared_dead.is_empty(), "seed {seed}: {:?}", sim.wrongly_declared_dead);
        assert!(sim.unknown_workers().is_empty(), "seed {seed}: {:?}", sim.unknown_workers());
    }
}

/// Every live machine is heard within a heartbeat interval after controllers and links are back,
/// whichever way its heartbeat comes.
#[test]
fn reappearing_workers_are_heard_within_a_heartbeat() {
    let d = timing();
    let report_s = settings().params.workers.heartbeat_interval_s;
    for seed in 0..8 {
        let mut sim = full(seed, 40);
        let away = 3.0 + seed as f64;
        sim.inject(match seed % 4 {
            0 => Fault::ZonePartition { zone: "b", duration_s: away },
            1 => Fault::PeerPartition { node: 1, duration_s: away },
            2 => Fault::ControllerPause { node: 2, duration_s: away },
            _ => Fault::StoreOutage { duration_s: away },
        });
        for node in 0..3 {
            if (seed + node as u64) % 3 == 0 {
                sim.inject(Fault::ControllerCrash { node, duration_s: away });
            }
        }
        // A worker's heartbeat times out, and it tries the next node a second later.
        let retry = d.worker_timeout_s + 1.0;
        let takeover = d.leader_lease_s + d.renewal_interval_s;
        assert_eq!(sim.run(100.0 + away + takeover + report_s * 1.25 + retry), [], "seed {seed}");
        assert!(sim.unknown_workers().is_empty(), "seed {seed}: {:?}", sim.unknown_workers());
        assert!(sim.wrongly_declared_dead.is_empty(), "seed {seed}: {:?}", sim.wrongly_declared_dead);
    }
}

/// Controllers that reach each other and the store, but no workers, or none of one zone: the
/// workers try one after the other until they find one that hears them, and are kept meanwhile.
/// (With four of five controllers cut off, the last one once declared a quarter of the fleet
/// dead.)
#[test]
fn workers_heard_by_few_controllers_are_not_declared_dead() {
    for seed in 0..12 {
        let nodes = 3 + seed as usize % 3;
        let mut sim = full_of(nodes, seed, 40);
        let (hears, duration_s) = (seed as usize / 3 % nodes, 20.0 + seed as f64);
        let cut = |node, index: usize| match seed % 4 {
            // Some of them a little later than the others.
            0 | 1 => ScheduledFault::new(
                index as f64 * (seed % 4) as f64,
                Fault::NodePartition { node, store: false, workers: true, duration_s },
            ),
            2 => ScheduledFault::new(0.0, Fault::ZoneWorkersPartition { node, zone: "a", duration_s }),
            _ => ScheduledFault::new(
                index as f64 * 2.0,
                Fault::ZoneWorkersPartition { node, zone: ["a", "b"][index % 2], duration_s },
            ),
        };
        let mut cuts: Vec<_> =
            (0..nodes).filter(|n| *n != hears).zip(0..).map(|(n, index)| cut(n, index)).collect();
        cuts.sort_by(|a, b| a.at.total_cmp(&b.at));
        for ScheduledFault { at, fault } in cuts {
            assert_eq!(sim.run(100.0 + at), [], "seed {seed}");
            sim.inject(fault);
        }
        assert_eq!(sim.run(220.0), [], "seed {seed}");
        assert!(sim.wrongly_declared_dead.is_empty(), "seed {seed}: {:?}", sim.wrongly_declared_dead);
        assert!(sim.unknown_workers().is_empty(), "seed {seed}: {:?}", sim.unknown_workers());
    }
}

/// All controllers crash while a third of the machines hang: live machines are kept, and those
/// that hang for good are replaced.
#[test]
fn all_controllers_crash_while_a_third_of_machines_hang() {
    for seed in 0..6 {
        let mut sim = full(seed, 24);
        for machine in (0..24).step_by(3) {
            sim.inject(Fault::MachineHang { machine, duration_s: if seed % 2 == 0 { 6.0 } else { 1000.0 } });
        }
        for node in 0..3 {
            sim.inject(Fault::ControllerCrash { node, duration_s: 4.0 });
        }
        assert_eq!(sim.run(260.0), [], "seed {seed}");
        assert!(sim.wrongly_declared_dead.is_empty(), "seed {seed}: {:?}", sim.wrongly_declared_dead);
        assert!(sim.unknown_workers().is_empty(), "seed {seed}: {:?}", sim.unknown_workers());
        if seed % 2 == 0 {
            assert_eq!(sim.deleted, [], "seed {seed}");
        } else {
            assert_eq!(sim.deleted.len(), 8, "seed {seed}");
        }
    }
}

/// A leader that the store does not reach, or refuses, is replaced. From then on it makes no call
/// to the cloud and declares no machine dead, and it steps down once another controller announces
/// a newer leader. (It once led on for a minute, beside its successor.)
#[test]
fn replaced_leader_stays_passive() {
    for seed in 0..12 {
        let mut sim = full_of(3 + seed as usize % 3, seed, 24);
        let Some(leader) = sim.leader() else { panic!("seed {seed}: nobody leads") };
        let apart = seed % 3 == 2;
        let workers = seed % 2 == 0;
        let duration_s = 60.0;
        sim.inject(match seed % 4 {
            0 => Fault::StoreRefusesNode { node: leader, duration_s },
            _ => Fault::NodePartition { node: leader, store: true, workers, duration_s },
        });
        if apart {
            sim.inject(Fault::PeerPartition { node: leader, duration_s });
        }
        assert_eq!(sim.run(170.0), [], "seed {seed}");
        assert_ne!(sim.leader(), Some(leader), "seed {seed}");
        assert_eq!(sim.metrics.cloud_calls_by_replaced_leaders, 0, "seed {seed}");
        assert!(sim.wrongly_declared_dead.is_empty(), "seed {seed}: {:?}", sim.wrongly_declared_dead);
        if !apart {
            // Views go out that often; one may be lost.
            assert!(
                sim.metrics.max_dual_leadership_s < timing().renewal_interval_s * 2.5,
                "seed {seed}: {}",
                sim.metrics.max_dual_leadership_s
            );
        }
    }
}

/// The store is down for longer than the leader's grace: workers go from controller to controller
/// in vain, and those that are silent afterwards are kept until they could have been heard.
#[test]
fn no_worker_is_declared_dead_for_a_store_outage() {
    for seed in 0..8 {
        let mut sim = full_of(3 + seed as usize % 3, seed, 24);
        sim.inject(Fault::StoreOutage { duration_s: timing().response_grace_s + 4.0 + 3.0 * seed as f64 });
        if seed % 2 == 1 {
            sim.inject(Fault::NodePartition { node: 0, store: false, workers: true, duration_s: 40.0 });
        }
        assert_eq!(sim.run(220.0), [], "seed {seed}");
        assert!(sim.wrongly_declared_dead.is_empty(), "seed {seed}: {:?}", sim.wrongly_declared_dead);
        assert!(sim.unknown_workers().is_empty(), "seed {seed}: {:?}", sim.unknown_workers());
    }
}

/// All controllers crash and restart at once, some during a store outage: the former leader
/// resumes from its own key instead of waiting for a lease that nobody renews, and no task is
/// lost. (There was no leader for a whole lease each time.)
#[test]
fn former_leader_resumes_after_a_quick_restart() {
    let d = timing();
    for seed in 0..12 {
        let mut sim = full_of(3 + seed as usize % 3, seed, 24);
        let nodes = sim.workers_by_node().len();
        let (starts, leader) = (sim.metrics.task_starts, sim.leader());
        let back = 0.1 + 0.05 * seed as f64;
        let outage = seed % 3 == 2;
        if outage {
            sim.inject(Fault::StoreOutage { duration_s: 6.0 });
            assert_eq!(sim.run(103.0), [], "seed {seed}");
        }
        for node in 0..nodes {
            sim.inject(Fault::ControllerCrash { node, duration_s: back });
        }
        sim.metrics.max_leaderless_s = 0.0;
        // The rest of the outage, a read and an election, each of which may be slow.
        let most = if outage { 3.0 } else { back } + d.renewal_interval_s * 2.0;
        assert_eq!(sim.run(200.0), [], "seed {seed}");
        assert!(
            sim.metrics.max_leaderless_s < most,
            "seed {seed}: {} s without a leader",
            sim.metrics.max_leaderless_s
        );
        assert_eq!(sim.leader(), leader, "seed {seed}");
        assert_eq!(sim.metrics.task_starts, starts, "seed {seed}: work was lost");
        assert!(sim.wrongly_declared_dead.is_empty(), "seed {seed}: {:?}", sim.wrongly_declared_dead);
    }
}

/// A controller that crashes soon after every start does not keep the others from leading.
#[test]
fn crash_looping_leader_is_replaced() {
    for seed in 0..6 {
        let mut sim = full_of(3, seed, 24);
        let Some(first) = sim.leader() else { panic!("seed {seed}: nobody leads") };
        for n in 0..24 {
            sim.inject(Fault::ControllerCrash { node: first, duration_s: 0.2 });
            assert_eq!(sim.run(101.0 + n as f64), [], "seed {seed}");
        }
        assert_ne!(sim.leader(), Some(first), "seed {seed}");
        assert_eq!(sim.run(200.0), [], "seed {seed}");
        assert!(sim.wrongly_declared_dead.is_empty(), "seed {seed}: {:?}", sim.wrongly_declared_dead);
    }
}
