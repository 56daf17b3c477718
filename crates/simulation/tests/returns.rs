//! What comes back: zones, gateways and nodes that were away, and machines that
//! are gone for good.

mod common;

use anisecroft_simulation::{Fault, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use protocol::job::*;

/// A zone is cut off for so long that its machines are given back. When its
/// gateway returns it passes on all that it knew, to a leader that gave them
/// back or to one that never knew them. (A third of a fleet that was long gone
/// was once taken for up again, and had work placed on it.)
#[test]
fn what_is_gone_does_not_come_back_with_its_gateway() {
    let mut given_back = 0;
    for seed in 0..16 {
        let (cut, hold) = (40.0 + seed as f64, derived().unreachable_zone_retention_s + 40.0);
        let mut faults = vec![ScheduledFault::new(cut, Fault::ZonePartition { zone: "b", duration_s: hold })];
        // All nodes outside start anew, so that nobody there knows any more.
        if seed % 2 == 1 {
            let crash = |node| {
                ScheduledFault::new(cut + hold - 12.0, Fault::ControllerCrash { node, duration_s: 3.0 })
            };
            faults.extend([0, 2].map(crash));
        }
        let mut sim = Simulation::new(setup(seed, faults));
        assert_eq!(sim.run(300.0), [], "seed {seed}");
        given_back += sim.deleted.len();
        assert!(sim.usable_after_loss.is_empty(), "seed {seed}: {:?}", sim.usable_after_loss);
    }
    assert!(given_back > 0);
}

/// Work that fills `machines` machines for longer than the day.
fn full(seed: u64, machines: usize) -> Simulation {
    full_of(3, seed, machines)
}

fn full_of(nodes: usize, seed: u64, machines: usize) -> Simulation {
    let spec = JobSpec { tasks: machines as u32 * 4, ..long_array() };
    let mut s = setup(seed, vec![]);
    unlimited(&mut s);
    let mut sim = Simulation::new(Setup {
        jobs: vec![Submission::new(1.0, spec)],
        capacity: machines,
        loss: 0.0,
        nodes,
        ..s
    });
    assert_eq!(sim.run(100.0), []);
    sim
}

/// A zone that is away for longer than a lease has its work placed anew, but its
/// machines are kept and nothing is rented there; when it comes back they work
/// on, and no task runs twice. (They were once given back after three reports,
/// and as many rented in the very zone that nobody reached.) With the odd pairs of
/// seeds a controller outside crashes meanwhile. (A new leader once gave the zone's
/// machines up at once, by the age of the reports that another node passed on.)
#[test]
fn a_zone_that_comes_back_is_still_there() {
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
        let rented = sim.rented_in(zone);
        assert_eq!(sim.run(150.0), [], "seed {seed}");
        assert_eq!(sim.rented_in(zone), rented, "seed {seed}: rented in zone {zone}");
        assert_eq!(sim.run(260.0), [], "seed {seed}");
        assert_eq!(&sim.deleted[deleted..], [], "seed {seed}");
        assert!(sim.metrics.task_starts >= starts + 40, "seed {seed}: its work was placed anew");
        assert!(sim.declared_dead_alive.is_empty(), "seed {seed}: {:?}", sim.declared_dead_alive);
        assert!(sim.unknown_workers().is_empty(), "seed {seed}: {:?}", sim.unknown_workers());
    }
}

/// Every live machine is heard within a report's interval after nodes and links
/// are back, whichever way its report comes.
#[test]
fn who_comes_back_is_heard_within_a_report() {
    let d = derived();
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
        // A worker gives its report up and tries the next node a second later.
        let retry = d.worker_timeout_s + 1.0;
        let takeover = d.leader_lease_s + d.renewal_interval_s;
        assert_eq!(sim.run(100.0 + away + takeover + report_s * 1.25 + retry), [], "seed {seed}");
        assert!(sim.unknown_workers().is_empty(), "seed {seed}: {:?}", sim.unknown_workers());
        assert!(sim.declared_dead_alive.is_empty(), "seed {seed}: {:?}", sim.declared_dead_alive);
    }
}

/// Nodes that hear one another and the state service, but no workers, or none of one
/// zone: their workers try one after the other until they find a node that does, and
/// are kept meanwhile. (With four of five nodes cut off from the workers the one that
/// was left gave a quarter of the fleet up.)
#[test]
fn workers_that_few_nodes_hear_are_not_given_up() {
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
        assert!(sim.declared_dead_alive.is_empty(), "seed {seed}: {:?}", sim.declared_dead_alive);
        assert!(sim.unknown_workers().is_empty(), "seed {seed}: {:?}", sim.unknown_workers());
    }
}

/// All controllers crash while a third of the machines hang: what goes on is kept,
/// and what hangs for good is replaced.
#[test]
fn all_controllers_crash_while_a_third_hangs() {
    for seed in 0..6 {
        let mut sim = full(seed, 24);
        for machine in (0..24).step_by(3) {
            sim.inject(Fault::MachineHang { machine, duration_s: if seed % 2 == 0 { 6.0 } else { 1000.0 } });
        }
        for node in 0..3 {
            sim.inject(Fault::ControllerCrash { node, duration_s: 4.0 });
        }
        assert_eq!(sim.run(260.0), [], "seed {seed}");
        assert!(sim.declared_dead_alive.is_empty(), "seed {seed}: {:?}", sim.declared_dead_alive);
        assert!(sim.unknown_workers().is_empty(), "seed {seed}: {:?}", sim.unknown_workers());
        if seed % 2 == 0 {
            assert_eq!(sim.deleted, [], "seed {seed}");
        } else {
            assert_eq!(sim.deleted.len(), 8, "seed {seed}");
        }
    }
}

/// A leader that the state service does not reach, or alone is refused by, is replaced. It
/// asks nothing of the cloud from then on and judges no machine, and it leads no longer once
/// another node says that there is a newer one. (It once went on for a minute: it
/// listed the cloud beside its successor and gave the whole fleet up in its own books.)
#[test]
fn a_replaced_leader_rests() {
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
        assert!(sim.declared_dead_alive.is_empty(), "seed {seed}: {:?}", sim.declared_dead_alive);
        if !apart {
            // Views go out that often; one may be lost.
            assert!(
                sim.metrics.max_dual_leadership_s < derived().renewal_interval_s * 2.5,
                "seed {seed}: {}",
                sim.metrics.max_dual_leadership_s
            );
        }
    }
}

/// The state service is away for longer than the leader's grace: the workers go from node
/// to node in vain meanwhile, and what is silent when it comes back is kept until it
/// could have been heard.
#[test]
fn nobody_is_given_up_for_an_outage() {
    for seed in 0..8 {
        let mut sim = full_of(3 + seed as usize % 3, seed, 24);
        sim.inject(Fault::StoreOutage { duration_s: derived().response_grace_s + 4.0 + 3.0 * seed as f64 });
        if seed % 2 == 1 {
            sim.inject(Fault::NodePartition { node: 0, store: false, workers: true, duration_s: 40.0 });
        }
        assert_eq!(sim.run(220.0), [], "seed {seed}");
        assert!(sim.declared_dead_alive.is_empty(), "seed {seed}: {:?}", sim.declared_dead_alive);
        assert!(sim.unknown_workers().is_empty(), "seed {seed}: {:?}", sim.unknown_workers());
    }
}

/// All controllers end and are back at once, some while the state service is down: the
/// one that led goes on from its own key instead of waiting for a lease that nobody
/// renews any more, and no work is lost. (Nobody led for a whole lease each time.)
#[test]
fn who_led_goes_on_after_a_quick_return() {
    let d = derived();
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
        // The outage's rest, a look and a claim, each of which may be slow.
        let most = if outage { 3.0 } else { back } + d.renewal_interval_s * 2.0;
        assert_eq!(sim.run(200.0), [], "seed {seed}");
        assert!(
            sim.metrics.max_leaderless_s < most,
            "seed {seed}: {} s without a leader",
            sim.metrics.max_leaderless_s
        );
        assert_eq!(sim.leader(), leader, "seed {seed}");
        assert_eq!(sim.metrics.task_starts, starts, "seed {seed}: work was lost");
        assert!(sim.declared_dead_alive.is_empty(), "seed {seed}: {:?}", sim.declared_dead_alive);
    }
}

/// A controller that ends soon after every start does not keep the others from leading.
#[test]
fn a_leader_that_ends_again_and_again_is_followed_by_another() {
    for seed in 0..6 {
        let mut sim = full_of(3, seed, 24);
        let Some(first) = sim.leader() else { panic!("seed {seed}: nobody leads") };
        for n in 0..24 {
            sim.inject(Fault::ControllerCrash { node: first, duration_s: 0.2 });
            assert_eq!(sim.run(101.0 + n as f64), [], "seed {seed}");
        }
        assert_ne!(sim.leader(), Some(first), "seed {seed}");
        assert_eq!(sim.run(200.0), [], "seed {seed}");
        assert!(sim.declared_dead_alive.is_empty(), "seed {seed}: {:?}", sim.declared_dead_alive);
    }
}
