//! Overlapping pairs of faults, taken from the operators' reports of broken rules
//! (`docs/safety.md`).

mod common;

use anisecroft_simulation::{Fault, Rule, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use controller::SafetyChecks;
use protocol::job::*;

/// When users start to cancel jobs, in simulated seconds.
const CANCELLATIONS_BEGIN_S: f64 = 70.0;

/// Long arrays, most of which users cancel from `CANCELLATIONS_BEGIN_S` on, on machines with capacity
/// for all of them.
fn cancelled_arrays(seed: u64, checks: SafetyChecks) -> Setup {
    let mut setup = seeded_setup(seed, vec![]);
    without_quotas(&mut setup);
    setup.jobs = (0..24)
        .map(|n| {
            let spec = JobSpec {
                id: format!("req-{}", 100 + n),
                tasks: 1 + n % 3,
                estimated_run_s: 500.0,
                cores: 1.0,
                accelerators: 0.5,
                memory_gb: 2.0,
                ..long_array()
            };
            let cancel = (n % 5 > 0).then_some(CANCELLATIONS_BEGIN_S + f64::from(n % 4) * 0.4);
            Submission::new(1.0 + f64::from(n) * 0.3, spec).cancelled_at(cancel)
        })
        .collect();
    Setup { capacity: 8, checks, loss: 0.0, ..setup }
}

/// The number of jobs first reported cancelled at `at` or later.
fn cancellations_reported_since(sim: &Simulation, at: f64) -> usize {
    sim.history.cancelled_at.values().filter(|t| **t >= at).count()
}

/// The store refuses only the leader, other controllers confirm cancellations, a successor is elected,
/// and the store is down for all before the successor has recovered. The successor must not renew
/// workers' leases on the basis of its election alone.
fn store_outage_before_recovery(seed: u64, checks: SafetyChecks) -> Simulation {
    let mut sim = Simulation::new(cancelled_arrays(seed, checks));
    sim.run(CANCELLATIONS_BEGIN_S - 1.0);
    let Some(first) = sim.leader() else { return sim };
    sim.inject(Fault::StoreRefusesNode { node: first, duration_s: 25.0 });
    sim.run(CANCELLATIONS_BEGIN_S + 2.0);
    // After an outage, the first leader's lease runs for its full time again.
    sim.inject(Fault::StoreOutage { duration_s: 5.0 });
    let elected = run_until(&mut sim, 20.0, |s| s.leader() != Some(first));
    assert!(elected && !sim.has_recovered(), "seed {seed}: no successor, or it has already recovered");
    assert!(
        cancellations_reported_since(&sim, CANCELLATIONS_BEGIN_S - 1.0) > 0,
        "seed {seed}: no cancellation was reported"
    );
    sim.inject(Fault::StoreOutage { duration_s: 63.0 });
    sim.run(260.0);
    sim
}

#[test]
fn successor_without_recovery_renews_no_lease() {
    for seed in 0..8 {
        let sim = store_outage_before_recovery(seed, SafetyChecks::default());
        assert_eq!(sim.history.violations, [], "seed {seed}");
        assert!(sim.history.cancelled_at.len() >= 15, "seed {seed}: {}", sim.history.cancelled_at.len());
    }
}

/// Without the check, a leader that has not recovered renews leases and keeps cancelled tasks
/// running.
#[test]
fn without_response_grace_an_unrecovered_successor_keeps_cancelled_tasks() {
    let checks = SafetyChecks { response_grace: false, ..SafetyChecks::default() };
    let violations = |seed| store_outage_before_recovery(seed, checks).history.violations;
    assert!((0..8).any(|seed| violations(seed).iter().any(|v| v.rule == Rule::RanCancelled)));
}

/// The number of fault combinations that the operators reported. The faults of each begin within
/// seconds of each other.
const COMBINATIONS: usize = 19;

/// Injects fault combination `n`, relative to the current leader.
fn inject_combination(sim: &mut Simulation, n: usize, duration_s: f64) {
    let leader = sim.leader().unwrap_or(0);
    let nodes = sim.workers_by_node().len();
    let next = (leader + 1) % nodes;
    let faults = match n {
        0..=7 => simultaneous_faults(n, duration_s, (leader, next, nodes))
            .into_iter()
            .map(|fault| ScheduledFault::new(0.0, fault))
            .collect(),
        _ => staggered_faults(n, duration_s, (leader, next, nodes)),
    };
    for ScheduledFault { at, fault } in faults {
        sim.inject_after(at, fault);
    }
}

/// Combinations 0 to 7, whose faults begin at the same time.
fn simultaneous_faults(
    n: usize,
    duration_s: f64,
    (leader, next, nodes): (usize, usize, usize),
) -> Vec<Fault> {
    match n {
        0 => vec![Fault::DelayedWrites { share: 0.3, duration_s }],
        1 => vec![Fault::IsolatedWithWorkers { node: leader, duration_s }],
        2 => {
            vec![
                Fault::ControllerCrash { node: leader, duration_s: 0.2 },
                Fault::StoreRefusesNode { node: leader, duration_s: 8.0 },
            ]
        }
        3 => vec![
            Fault::ZoneWorkersPartition { node: next, zone: "a", duration_s },
            Fault::ResponsesLostInZone { zone: "b", duration_s },
            Fault::ControllerCrash { node: leader, duration_s },
        ],
        4 => vec![
            Fault::SlowWorkerResponses { max_delay_s: 6.0, duration_s },
            Fault::MachineHang { machine: 1, duration_s: duration_s.min(12.0) },
        ],
        5 => vec![
            Fault::DuplicatedHeartbeats { max_delay_s: 28.0, duration_s },
            Fault::RotatingHeartbeatTargets { duration_s },
        ],
        6 => {
            let crash = |node| Fault::ControllerCrash {
                node,
                duration_s: if node == next { 0.2 } else { duration_s.min(8.0) },
            };
            (0..nodes).map(crash).collect()
        }
        _ => vec![
            Fault::SlowStore { max_delay_s: 0.8, duration_s },
            Fault::QueryFlood { factor: 6.0, duration_s },
            Fault::StoreRefusesNode { node: leader, duration_s: duration_s + 4.0 },
        ],
    }
}

/// The other combinations, some of whose faults begin seconds after the first.
fn staggered_faults(
    n: usize,
    duration_s: f64,
    (leader, next, nodes): (usize, usize, usize),
) -> Vec<ScheduledFault> {
    let cancel = |hang_s| Fault::CancelRunningJobs { count: 5, hang_s };
    let crash = |duration_s| Fault::LeaderCrash { duration_s };
    match n {
        // The store refuses the leader while users cancel, then it is down for longer than `cancel_s`.
        8 => vec![
            ScheduledFault::new(0.0, Fault::StoreRefusesNode { node: leader, duration_s: 6.0 }),
            ScheduledFault::new(0.1, cancel(0.0)),
            ScheduledFault::new(1.1, Fault::StoreOutage { duration_s: duration_s.max(45.0) }),
        ],
        // Ten failovers, also during an outage.
        9 => {
            let interval_s = duration_s.max(10.0) / 10.0;
            let mut all: Vec<_> =
                (0..10).map(|k| ScheduledFault::new(f64::from(k) * interval_s, crash(0.2))).collect();
            all.push(ScheduledFault::new(
                duration_s / 2.0,
                Fault::StoreOutage { duration_s: interval_s * 3.0 },
            ));
            all
        }
        // Only responses to writes are lost, while users query all nodes.
        10 => vec![
            ScheduledFault::new(0.0, Fault::LostWriteResponses { share: 0.4, duration_s }),
            ScheduledFault::new(0.0, Fault::ConcurrentQueries { duration_s }),
        ],
        // Cancellations and queries coincide with the completion of the last task.
        11 => vec![
            ScheduledFault::new(0.0, Fault::CancelAtCompletion { share: 0.5, duration_s }),
            ScheduledFault::new(0.0, Fault::ConcurrentQueries { duration_s }),
            ScheduledFault::new(0.0, Fault::InvalidRequests { duration_s }),
        ],
        // Machines boot immediately and get tasks while writes are delayed, and the leader crashes.
        12 => vec![
            ScheduledFault::new(0.0, Fault::FastBoots { duration_s }),
            ScheduledFault::new(0.0, Fault::MachineLost { machine: 0 }),
            ScheduledFault::new(0.0, Fault::MachineLost { machine: 2 }),
            ScheduledFault::new(0.0, Fault::DelayedWrites { share: 0.5, duration_s }),
            ScheduledFault::new(4.0, crash(0.2)),
            ScheduledFault::new(9.0, crash(8.0)),
        ],
        // Old heartbeats reach every controller as a new leader starts or 1 s later.
        13 => vec![
            ScheduledFault::new(
                0.0,
                Fault::HeartbeatsReplayedAfterFailover {
                    delay_s: if duration_s > 10.0 { 0.0 } else { 1.0 },
                    duration_s,
                },
            ),
            ScheduledFault::new(duration_s / 2.0, crash(0.2)),
        ],
        // All controllers are down for longer than a worker lease.
        14 => (0..nodes)
            .map(|node| {
                ScheduledFault::new(0.0, Fault::ControllerCrash { node, duration_s: duration_s.max(25.0) })
            })
            .collect(),
        // All heartbeats of a zone are lost, while direct commands reach it.
        15 => vec![
            ScheduledFault::new(0.0, Fault::HeartbeatsLostInZone { zone: "a", duration_s }),
            ScheduledFault::new(0.5, cancel(0.0)),
            ScheduledFault::new(1.0, crash(0.2)),
        ],
        // Jobs are cancelled on machines that hang or are partitioned while the leader changes.
        16 => vec![
            ScheduledFault::new(0.0, Fault::ZoneWorkersPartition { node: next, zone: "b", duration_s }),
            ScheduledFault::new(0.0, cancel(duration_s)),
            ScheduledFault::new(0.5, crash(0.2)),
            ScheduledFault::new(3.0, cancel(duration_s / 2.0)),
            ScheduledFault::new(4.0, crash(8.0)),
        ],
        // A zone with workers and a controller is partitioned and loses machines.
        17 => vec![
            ScheduledFault::new(0.0, Fault::ZonePartition { zone: "a", duration_s }),
            ScheduledFault::new(duration_s / 2.0, Fault::MachineLost { machine: 0 }),
            ScheduledFault::new(duration_s / 2.0, Fault::MachineLost { machine: 1 }),
        ],
        // Jobs are cancelled during the seconds that a failover takes.
        _ => {
            let cancels = [0.0, 0.1, 0.5, 1.0, 2.0, 4.0, 6.0].map(|at| ScheduledFault::new(at, cancel(0.0)));
            cancels
                .into_iter()
                .chain([ScheduledFault::new(0.05, crash(6.0)), ScheduledFault::new(7.0, crash(0.2))])
                .collect()
        }
    }
}

/// Runs two combinations, the second `delay_s` seconds after the first, and later the same pair in
/// reverse order. With odd seeds, the store is then down for longer than `cancel_s`. Returns how many
/// transactions were overtaken by newer ones of the same controller.
fn run_pair(seed: u64, nodes: usize, (a, b): (usize, usize), duration_s: f64, delay_s: f64) -> u64 {
    let context =
        format!("seed {seed}: combinations {a} and {b} for {duration_s} s, {delay_s} s apart, {nodes} nodes");
    let mut setup = seeded_setup(seed, vec![]);
    for (n, Submission { at, spec, cancel_at: cancel }) in setup.jobs.iter_mut().enumerate() {
        // Many jobs are cancelled during the faults; some of the others run four times as long.
        *cancel = cancel.or((n % 2 == 0).then_some(at.max(45.0) + (n % 7) as f64));
        if n % 4 == 1 {
            spec.estimated_run_s *= 4.0;
        }
    }
    let mut sim = Simulation::new(Setup { nodes, ..setup });
    for (at, first, second) in [(45.0, a, b), (125.0, b, a)] {
        sim.run(at);
        inject_combination(&mut sim, first, duration_s);
        sim.run(at + delay_s);
        inject_combination(&mut sim, second, duration_s);
        if seed % 2 == 1 {
            sim.run(at + delay_s + 2.5);
            sim.inject(Fault::StoreOutage { duration_s: duration_s.max(45.0) });
        }
        assert_eq!(sim.history.violations, [], "{context}");
    }
    assert_eq!(sim.run(1000.0), [], "{context}");
    assert_eq!(sim.unfinished(), Vec::<String>::new(), "{context}");
    sim.metrics.overtaken_writes
}

/// Runs part `part` of `parts` of all pairs, each with three durations. Returns the number of
/// overtaken transactions.
fn run_pairs(part: usize, parts: usize, first_seed: u64) -> u64 {
    let numbers = (0..COMBINATIONS * COMBINATIONS * 3).filter(|n| n % parts == part);
    let run = |n: usize| {
        let (a, b) = (n / COMBINATIONS % COMBINATIONS, n % COMBINATIONS);
        let duration_s = [5.0, 20.0, 48.0][n / (COMBINATIONS * COMBINATIONS)];
        let nodes = 3 + (n + n / COMBINATIONS) % 2 * 2;
        let delay_s = [0.2, 1.0, 6.0, 15.0][(n + n / 24) % 4];
        run_pair(first_seed + n as u64, nodes, (a, b), duration_s, delay_s)
    };
    numbers.map(run).sum()
}

/// Each combination with some of the others.
#[test]
fn fault_pairs_break_no_rule() {
    assert!(
        on_threads(8, |part| run_pairs(part * 19, 152, 0)).into_iter().sum::<u64>() > 0,
        "no write was overtaken"
    );
}

/// All pairs of combinations, which takes minutes: `cargo test --release -p anisecroft-simulation
/// --test combined_faults -- --ignored`.
#[test]
#[ignore = "minutes"]
fn all_fault_pairs_break_no_rule() {
    let overtaken = on_threads(8, |part| (0..5).map(|round| run_pairs(part, 8, round * 1001)).sum::<u64>());
    assert!(overtaken.into_iter().sum::<u64>() > 0);
}

/// Twice in a row, the store refuses only the leader, other controllers confirm cancellations, and
/// then the store is down for all for longer than `cancel_s` while the workers keep running.
fn cancellations_before_outages(seed: u64, checks: SafetyChecks) -> Simulation {
    let mut setup = cancelled_arrays(seed, checks);
    let workers = &mut setup.settings.params.workers;
    (workers.heartbeat_interval_s, workers.lease_s, workers.cancel_s) = (6.0, 31.0, 51.0);
    // More jobs are submitted in the 2 s before each fault, when the machines are already busy, and are
    // cancelled as the fault begins.
    let specs: Vec<_> = setup.jobs.iter().map(|Submission { spec, .. }| spec.clone()).collect();
    for (n, spec) in specs.into_iter().enumerate() {
        let resubmitted = |id: usize, at: f64| {
            let spec = JobSpec { id: format!("req-{id}"), ..spec.clone() };
            Submission::new(at + n as f64 * 0.05, spec).cancelled_at(at + 2.0)
        };
        setup.jobs.extend([
            resubmitted(200 + n, CANCELLATIONS_BEGIN_S - 2.0),
            resubmitted(300 + n, CANCELLATIONS_BEGIN_S + 84.0),
        ]);
    }
    let mut sim = Simulation::new(setup);
    for at in [CANCELLATIONS_BEGIN_S, CANCELLATIONS_BEGIN_S + 86.0] {
        sim.run(at);
        let node = sim.leader().unwrap_or(0);
        sim.inject(Fault::StoreRefusesNode { node, duration_s: 14.0 });
        if !sim.run(at + 2.0).is_empty() {
            return sim;
        }
        assert!(
            cancellations_reported_since(&sim, at) > 0,
            "seed {seed}: no cancellation was reported before the outage"
        );
        sim.inject(Fault::StoreOutage { duration_s: 63.0 });
    }
    sim.run(CANCELLATIONS_BEGIN_S + 240.0);
    sim
}

#[test]
fn tasks_cancelled_before_an_outage_end_in_time() {
    for seed in 0..6 {
        assert_eq!(
            cancellations_before_outages(seed, SafetyChecks::default()).history.violations,
            [],
            "seed {seed}"
        );
    }
}

#[test]
fn without_response_grace_tasks_cancelled_before_an_outage_keep_running() {
    let checks = SafetyChecks { response_grace: false, ..SafetyChecks::default() };
    assert!((0..6).any(|seed| cancellations_before_outages(seed, checks)
        .history
        .violations
        .iter()
        .any(|v| v.rule == Rule::RanCancelled)));
}
