//! Reports through every node, under troubles of the links between nodes.

mod common;

use anisecroft_simulation::{Fault, Rule, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use controller::{ProxySafetyChecks, SafetyChecks};
use protocol::job::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};

/// Troubles of gateways above all, and the older ones among them.
fn troubles(seed: u64) -> Vec<ScheduledFault> {
    troubles_with(seed, returns(seed))
}

/// The same with processes that are back after 8 s, as the seeds below were found.
fn late_returns(seed: u64) -> Vec<ScheduledFault> {
    troubles_with(seed, || 8.0)
}

fn troubles_with(seed: u64, mut back: impl FnMut() -> f64) -> Vec<ScheduledFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x9a7e);
    (0..10)
        .map(|_| {
            let at = rng.gen_range(5.0..160.0);
            let node = rng.gen_range(0..3);
            let duration_s: f64 = rng.gen_range(2.0..40.0);
            let machine = rng.gen_range(0..6);
            let fault = match rng.gen_range(0..12) {
                0 => Fault::PeerConnectionsRefused { duration_s },
                1 | 2 => Fault::PeerPartition { node, duration_s: duration_s * 2.0 },
                3 => Fault::ZonePartition { zone: ["a", "b"][machine % 2], duration_s },
                4 | 5 => Fault::RotatingHeartbeatTargets { duration_s },
                6 => Fault::ControllerPause { node, duration_s },
                7 => Fault::ControllerCrash { node, duration_s: back() },
                8 => Fault::NodePartition { node, store: rng.gen(), workers: rng.gen(), duration_s },
                9 => Fault::StoreRefusesNode { node, duration_s },
                10 => Fault::MachineHang { machine, duration_s },
                _ => Fault::StoreOutage { duration_s: duration_s.min(25.0) },
            };
            ScheduledFault::new(at, fault)
        })
        .collect()
}

fn holds(seeds: std::ops::Range<u64>, troubles: impl Fn(u64) -> Vec<ScheduledFault>) {
    for seed in seeds {
        let faults = troubles(seed);
        let mut sim = Simulation::new(setup(seed, faults.clone()));
        assert_eq!(sim.run(700.0), [], "seed {seed}: {faults:?}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}: {faults:?}");
        assert!(sim.metrics.forwarded_heartbeats > 0, "seed {seed} relayed nothing");
    }
}

#[test]
fn gateways_among_troubles_break_no_rule() {
    holds(1000..1030, troubles);
}

/// Of these, 2437 divided an array bound to a zone for its floor, and its parts ran in
/// two zones; 2177 left a gang that may not use spot machines waiting for ever beside
/// an idle one, which was counted as its own.
#[test]
fn seeds_that_once_failed_hold() {
    holds(2437..2438, late_returns);
    holds(2177..2178, late_returns);
}

/// The same over hundreds of seeds; minutes, so not in CI.
#[test]
#[ignore = "minutes"]
fn gateways_among_many_troubles_break_no_rule() {
    std::thread::scope(|s| {
        for part in 0..8 {
            s.spawn(move || holds(2000 + part * 100..2100 + part * 100, troubles));
        }
    });
}

/// Runs many seeds with a guard off until a rule breaks.
fn caught(rules: &[Rule], checks: SafetyChecks, setup: impl Fn(u64) -> Setup) -> bool {
    (0..200).any(|seed| {
        let broken = Simulation::new(Setup { checks, ..setup(seed) }).run(300.0).to_vec();
        broken.iter().any(|b| rules.contains(&b.rule))
    })
}

const ANY: [Rule; 4] = [Rule::RanTwice, Rule::Quota, Rule::WrongPlace, Rule::RanCancelled];

/// A zone that is cut off with a gateway and its workers inside.
fn cut_zones(seed: u64) -> Setup {
    let cut = |i: u64| {
        let zone = ["a", "b"][((seed + i) % 2) as usize];
        ScheduledFault::new(
            30.0 + 90.0 * i as f64 + (seed % 9) as f64,
            Fault::ZonePartition { zone, duration_s: 75.0 },
        )
    };
    let cloud = ScheduledFault::new(25.0, Fault::CloudOutage { duration_s: 250.0 });
    setup(seed, (0..2).map(cut).chain([cloud]).collect())
}

/// A gateway that answers on after its leave keeps cancelled tasks alive, and
/// those of machines that were given up.
#[test]
fn without_the_leave_a_rule_breaks() {
    let gateway = ProxySafetyChecks { lease_expiry: false, ..ProxySafetyChecks::default() };
    assert!(caught(&ANY, SafetyChecks { proxy: gateway, ..SafetyChecks::default() }, cut_zones));
}

/// What a gateway answered before it was lost is not known to the leader.
#[test]
fn without_the_wait_for_a_lost_gateway_a_task_runs_twice() {
    let checks = SafetyChecks { wait_for_lost_proxies: false, ..SafetyChecks::default() };
    let long_leave = |seed| {
        // Most seeds find no free machine within the few seconds that are missing.
        let mut s = cut_zones(200 + seed);
        s.settings.params.workers.lease_s = 30.0;
        s.settings.params.workers.cancel_s = 90.0;
        s
    };
    assert!(caught(&[Rule::RanTwice, Rule::Quota, Rule::WrongPlace], checks, long_leave));
}

/// An old report by way of a held relay, taken for the newest, shows tasks as
/// gone that run.
#[test]
fn without_the_order_of_reports_a_rule_breaks() {
    let checks = SafetyChecks { heartbeat_order: false, ..SafetyChecks::default() };
    let wandering = |seed: u64| {
        let cut = |i: u64| Fault::PeerPartition { node: ((seed + i) % 3) as usize, duration_s: 8.0 };
        let cuts = (0..10).map(|i| ScheduledFault::new(20.0 + 13.0 * i as f64, cut(i)));
        setup(
            seed,
            cuts.chain([ScheduledFault::new(15.0, Fault::RotatingHeartbeatTargets { duration_s: 200.0 })])
                .collect(),
        )
    };
    assert!(caught(&ANY, checks, wandering));
}

/// Relays that are held for long, while their sender waits on for the reply: what
/// keeps them harmless is not how soon they are given up. Machines hang now and
/// then, so that gangs which were told to start are taken back.
fn held_relays(seed: u64) -> Setup {
    let mut faults = vec![ScheduledFault::new(15.0, Fault::RotatingHeartbeatTargets { duration_s: 220.0 })];
    for i in 0..20u64 {
        let at = 15.0 + 10.0 * i as f64 + (seed % 7) as f64;
        faults.push(ScheduledFault::new(
            at,
            Fault::PeerPartition { node: ((seed + i) % 3) as usize, duration_s: 7.0 },
        ));
        faults.push(ScheduledFault::new(
            at + 1.0,
            Fault::MachineHang { machine: (seed + i) as usize, duration_s: 12.0 },
        ));
    }
    Setup { forward_timeout_s: Some(60.0), ..setup(seed, faults) }
}

#[test]
fn relays_held_for_long_break_no_rule() {
    for seed in 300..312 {
        let mut sim = Simulation::new(held_relays(seed));
        assert_eq!(sim.run(700.0), [], "seed {seed}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
    }
}

/// Machines that are full for the whole run, and what their reports cost.
fn busy_fleet(capacity: usize) -> Simulation {
    let spec = JobSpec { tasks: capacity as u32 * 4, ..long_array() };
    let mut s = setup(31, vec![]);
    unlimited(&mut s);
    let mut sim = Simulation::new(Setup { jobs: vec![Submission::new(1.0, spec)], capacity, loss: 0.0, ..s });
    assert_eq!(sim.run(150.0), []);
    sim
}

/// What passes between controllers for a report: few messages however many
/// workers there are, and a dozen bytes for one that says nothing new.
#[test]
fn reports_that_say_nothing_new_cost_little_between_nodes() {
    for capacity in [30, 120] {
        let mut sim = busy_fleet(capacity);
        let before = (
            sim.metrics.heartbeats,
            sim.metrics.forward_requests,
            sim.metrics.forwarded_heartbeats,
            sim.metrics.forward_bytes,
        );
        let direct = sim.metrics.direct_calls;
        assert_eq!(sim.run(250.0), []);
        let reports = (sim.metrics.heartbeats - before.0) as f64;
        let (relays, relayed) = (
            (sim.metrics.forward_requests - before.1) as f64,
            (sim.metrics.forwarded_heartbeats - before.2) as f64,
        );
        let bytes = (sim.metrics.forward_bytes - before.3) as f64;
        // Two of three nodes pass theirs on, each at most every relay's hold.
        let most = 2.0 * 100.0 / (settings().params.workers.heartbeat_interval_s / 60.0);
        assert!(relays <= most, "{relays} relays for {reports} reports, {most} at most");
        assert!(relayed <= reports * 0.75, "{relayed} of {reports} reports passed on");
        let each = (bytes - relays * 60.0) / relayed;
        assert!(each < 40.0, "{each} bytes a report");
        assert_eq!(sim.metrics.direct_calls, direct);
    }
}

/// Workers are shared out: no node has more than 1.25 times its part, and it stays
/// so through a crash and the node's return.
#[test]
fn workers_are_spread_evenly() {
    let mut sim = busy_fleet(120);
    let even = |sim: &Simulation| {
        let counts = sim.workers_by_node();
        let part = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
        counts.iter().all(|&c| c as f64 <= part * 1.25)
    };
    assert!(even(&sim), "{:?}", sim.workers_by_node());
    sim.inject(Fault::ControllerCrash { node: 2, duration_s: 20.0 });
    assert_eq!(sim.run(160.0), []);
    assert_eq!(sim.workers_by_node()[2], 0);
    assert_eq!(sim.run(290.0), []);
    assert!(even(&sim), "{:?}", sim.workers_by_node());
}

/// No machine is rented that the nodes could not take.
#[test]
fn rentals_stop_at_the_nodes_room() {
    let spec = JobSpec { tasks: 400, estimated_run_s: 100.0, ..long_array() };
    let mut s = setup(33, vec![]);
    unlimited(&mut s);
    // Seven tenths of 20 sockets at each of three nodes: 42 workers.
    s.settings.params.resources.max_connections = 20;
    let mut sim =
        Simulation::new(Setup { jobs: vec![Submission::new(1.0, spec)], capacity: 100, loss: 0.0, ..s });
    for end in 1..40 {
        assert_eq!(sim.run(f64::from(end) * 5.0), []);
        assert!(sim.machine_count() <= 42, "{} machines for 42 workers' room", sim.machine_count());
    }
    assert!(sim.rented() >= 40, "{}", sim.rented());
}

/// The one node that is left takes workers only up to the part of its sockets that
/// is the users'. (It once took all of them, and no user got through.)
#[test]
fn users_keep_their_part_of_the_last_node() {
    let mut s = setup(34, vec![]);
    unlimited(&mut s);
    s.settings.params.resources.max_connections = 40;
    let most = settings::Timing::from(&s.settings).max_workers as usize;
    let spec = JobSpec { tasks: 400, estimated_run_s: 100.0, ..long_array() };
    let mut sim =
        Simulation::new(Setup { jobs: vec![Submission::new(1.0, spec)], capacity: 60, loss: 0.0, ..s });
    assert_eq!(sim.run(100.0), []);
    assert!(sim.machine_count() > most + 20, "{}", sim.machine_count());
    for node in [1, 2] {
        sim.inject(Fault::ControllerCrash { node, duration_s: 60.0 });
    }
    // From when the leases of those that found no room are over.
    for end in [130.0, 140.0, 150.0, 159.0] {
        assert_eq!(sim.run(end), []);
        let answered = sim.workers_answered(5.0);
        assert!(answered <= most && answered * 2 > most, "{answered} answered at {end}, {most} at most");
    }
    assert_eq!(sim.run(200.0), []);
    assert!(sim.workers_answered(5.0) > most, "{}", sim.workers_answered(5.0));
}
