//! Pairs of faults that overlap, as the operators saw them break rules (`docs/safety.md`).

mod common;

use anisecroft_simulation::{Fault, Rule, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use controller::SafetyChecks;
use protocol::job::*;

/// When the cancellations are asked for.
const ASKED: f64 = 70.0;

/// Long arrays, most of which their users cancel at `ASKED`, on machines that hold them all.
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
            let cancel = (n % 5 > 0).then_some(ASKED + f64::from(n % 4) * 0.4);
            Submission::new(1.0 + f64::from(n) * 0.3, spec).cancelled_at(cancel)
        })
        .collect();
    Setup { capacity: 8, checks, loss: 0.0, ..setup }
}

/// The number of cancellations that users were told of since `at`.
fn told_since(sim: &Simulation, at: f64) -> usize {
    sim.history.cancelled_at.values().filter(|t| **t >= at).count()
}

/// The store refuses the leader alone, other controllers confirm cancellations, a successor is
/// elected, and the store is down for all before the successor has recovered. (It once renewed the
/// workers' leases all the same, from the time of its election.)
fn unread_takeover(seed: u64, checks: SafetyChecks) -> Simulation {
    let mut sim = Simulation::new(cancelled_arrays(seed, checks));
    sim.run(ASKED - 1.0);
    let Some(first) = sim.leader() else { return sim };
    sim.inject(Fault::StoreRefusesNode { node: first, duration_s: 25.0 });
    sim.run(ASKED + 2.0);
    // The lease of the first has its full time again after that.
    sim.inject(Fault::StoreOutage { duration_s: 5.0 });
    let claimed = run_until(&mut sim, 20.0, |s| s.leader() != Some(first));
    assert!(claimed && !sim.has_recovered(), "seed {seed}: it has read the records already");
    assert!(told_since(&sim, ASKED - 1.0) > 0, "seed {seed}: nobody was told meanwhile");
    sim.inject(Fault::StoreOutage { duration_s: 63.0 });
    sim.run(260.0);
    sim
}

#[test]
fn successor_without_recovery_renews_no_lease() {
    for seed in 0..8 {
        let sim = unread_takeover(seed, SafetyChecks::default());
        assert_eq!(sim.history.violations, [], "seed {seed}");
        assert!(sim.history.cancelled_at.len() >= 15, "seed {seed}: {}", sim.history.cancelled_at.len());
    }
}

/// The safety check of it: a leader that renews leases without having recovered keeps cancelled
/// tasks alive.
#[test]
fn without_response_grace_an_unrecovered_successor_keeps_cancelled_tasks() {
    let checks = SafetyChecks { response_grace: false, ..SafetyChecks::default() };
    let broken = |seed| unread_takeover(seed, checks).history.violations;
    assert!((0..8).any(|seed| broken(seed).iter().any(|b| b.rule == Rule::RanCancelled)));
}

/// The operators' combinations of faults that are begun within seconds of each other; the first eight
/// are their first page's.
const MEETINGS: usize = 19;

/// Begins the operators' fault combination `n` around the current leader.
fn begin(sim: &mut Simulation, n: usize, duration_s: f64) {
    let leader = sim.leader().unwrap_or(0);
    let nodes = sim.workers_by_node().len();
    let next = (leader + 1) % nodes;
    let faults = match n {
        0..=7 => first_page(n, duration_s, (leader, next, nodes))
            .into_iter()
            .map(|fault| ScheduledFault::new(0.0, fault))
            .collect(),
        _ => later_pages(n, duration_s, (leader, next, nodes)),
    };
    for ScheduledFault { at, fault } in faults {
        sim.inject_after(at, fault);
    }
}

/// The combinations of the operators' first page, which begin at once.
fn first_page(n: usize, duration_s: f64, (leader, next, nodes): (usize, usize, usize)) -> Vec<Fault> {
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
            let away = |node| Fault::ControllerCrash {
                node,
                duration_s: if node == next { 0.2 } else { duration_s.min(8.0) },
            };
            (0..nodes).map(away).collect()
        }
        _ => vec![
            Fault::SlowStore { max_delay_s: 0.8, duration_s },
            Fault::QueryFlood { factor: 6.0, duration_s },
            Fault::StoreRefusesNode { node: leader, duration_s: duration_s + 4.0 },
        ],
    }
}

/// The combinations of the later pages, some of whose faults begin seconds later.
fn later_pages(
    n: usize,
    duration_s: f64,
    (leader, next, nodes): (usize, usize, usize),
) -> Vec<ScheduledFault> {
    let cancel = |hang_s| Fault::CancelRunningJobs { count: 5, hang_s };
    let ends = |back_s| Fault::LeaderCrash { duration_s: back_s };
    match n {
        // The leader is refused while users cancel, then the store is down for longer than `cancel_s`.
        8 => vec![
            ScheduledFault::new(0.0, Fault::StoreRefusesNode { node: leader, duration_s: 6.0 }),
            ScheduledFault::new(0.1, cancel(0.0)),
            ScheduledFault::new(1.1, Fault::StoreOutage { duration_s: duration_s.max(45.0) }),
        ],
        // Ten failovers, also during an outage.
        9 => {
            let every = duration_s.max(10.0) / 10.0;
            let mut all: Vec<_> =
                (0..10).map(|k| ScheduledFault::new(f64::from(k) * every, ends(0.2))).collect();
            all.push(ScheduledFault::new(duration_s / 2.0, Fault::StoreOutage { duration_s: every * 3.0 }));
            all
        }
        // Only responses are lost, while users ask everywhere.
        10 => vec![
            ScheduledFault::new(0.0, Fault::LostWriteResponses { share: 0.4, duration_s }),
            ScheduledFault::new(0.0, Fault::ConcurrentQueries { duration_s }),
        ],
        // Cancellations and queries coincide with the end of the last task.
        11 => vec![
            ScheduledFault::new(0.0, Fault::CancelAtCompletion { share: 0.5, duration_s }),
            ScheduledFault::new(0.0, Fault::ConcurrentQueries { duration_s }),
            ScheduledFault::new(0.0, Fault::InvalidRequests { duration_s }),
        ],
        // Machines boot at once and get tasks while writes lag, and the leader crashes.
        12 => vec![
            ScheduledFault::new(0.0, Fault::FastBoots { duration_s }),
            ScheduledFault::new(0.0, Fault::MachineLost { machine: 0 }),
            ScheduledFault::new(0.0, Fault::MachineLost { machine: 2 }),
            ScheduledFault::new(0.0, Fault::DelayedWrites { share: 0.5, duration_s }),
            ScheduledFault::new(4.0, ends(0.2)),
            ScheduledFault::new(9.0, ends(8.0)),
        ],
        // Old heartbeats reach every controller as a new leader begins, and a moment after.
        13 => vec![
            ScheduledFault::new(
                0.0,
                Fault::HeartbeatsReplayedAfterFailover {
                    delay_s: if duration_s > 10.0 { 0.0 } else { 1.0 },
                    duration_s,
                },
            ),
            ScheduledFault::new(duration_s / 2.0, ends(0.2)),
        ],
        // All controllers are away for longer than a lease.
        14 => (0..nodes)
            .map(|node| {
                ScheduledFault::new(0.0, Fault::ControllerCrash { node, duration_s: duration_s.max(25.0) })
            })
            .collect(),
        // Heartbeats of a zone arrive nowhere, while direct commands reach it.
        15 => vec![
            ScheduledFault::new(0.0, Fault::HeartbeatsLostInZone { zone: "a", duration_s }),
            ScheduledFault::new(0.5, cancel(0.0)),
            ScheduledFault::new(1.0, ends(0.2)),
        ],
        // Cancelled on machines that hang or are cut off while the leader changes.
        16 => vec![
            ScheduledFault::new(0.0, Fault::ZoneWorkersPartition { node: next, zone: "b", duration_s }),
            ScheduledFault::new(0.0, cancel(duration_s)),
            ScheduledFault::new(0.5, ends(0.2)),
            ScheduledFault::new(3.0, cancel(duration_s / 2.0)),
            ScheduledFault::new(4.0, ends(8.0)),
        ],
        // A zone with workers and a controller is cut off, and loses machines.
        17 => vec![
            ScheduledFault::new(0.0, Fault::ZonePartition { zone: "a", duration_s }),
            ScheduledFault::new(duration_s / 2.0, Fault::MachineLost { machine: 0 }),
            ScheduledFault::new(duration_s / 2.0, Fault::MachineLost { machine: 1 }),
        ],
        // Jobs are cancelled in the seconds of a failover.
        _ => {
            let cancels = [0.0, 0.1, 0.5, 1.0, 2.0, 4.0, 6.0].map(|at| ScheduledFault::new(at, cancel(0.0)));
            cancels
                .into_iter()
                .chain([ScheduledFault::new(0.05, ends(6.0)), ScheduledFault::new(7.0, ends(0.2))])
                .collect()
        }
    }
}

/// Two combinations, one `apart` seconds after the other, and then again in reverse order. With
/// odd seeds the store is then down for all for longer than `cancel_s`. Returns how many
/// transactions were overtaken by newer ones of the same controller.
fn pair(seed: u64, nodes: usize, (a, b): (usize, usize), duration_s: f64, apart: f64) -> u64 {
    let what = format!("seed {seed}: {a} and {b} for {duration_s} s, {apart} s apart, {nodes} nodes");
    let mut setup = seeded_setup(seed, vec![]);
    for (n, Submission { at, spec, cancel_at: cancel }) in setup.jobs.iter_mut().enumerate() {
        // Many are cancelled while it goes on, and some would run on.
        *cancel = cancel.or((n % 2 == 0).then_some(at.max(45.0) + (n % 7) as f64));
        if n % 4 == 1 {
            spec.estimated_run_s *= 4.0;
        }
    }
    let mut sim = Simulation::new(Setup { nodes, ..setup });
    for (at, first, second) in [(45.0, a, b), (125.0, b, a)] {
        sim.run(at);
        begin(&mut sim, first, duration_s);
        sim.run(at + apart);
        begin(&mut sim, second, duration_s);
        if seed % 2 == 1 {
            sim.run(at + apart + 2.5);
            sim.inject(Fault::StoreOutage { duration_s: duration_s.max(45.0) });
        }
        assert_eq!(sim.history.violations, [], "{what}");
    }
    assert_eq!(sim.run(1000.0), [], "{what}");
    assert_eq!(sim.unfinished(), Vec::<String>::new(), "{what}");
    sim.metrics.overtaken_writes
}

/// All pairs, each at three lengths, in so many parts, of which `part` is played.
fn pairs(part: usize, parts: usize, first_seed: u64) -> u64 {
    let all = (0..MEETINGS * MEETINGS * 3).filter(|n| n % parts == part);
    let play = |n: usize| {
        let (a, b) = (n / MEETINGS % MEETINGS, n % MEETINGS);
        let duration_s = [5.0, 20.0, 48.0][n / (MEETINGS * MEETINGS)];
        let nodes = 3 + (n + n / MEETINGS) % 2 * 2;
        let apart = [0.2, 1.0, 6.0, 15.0][(n + n / 24) % 4];
        pair(first_seed + n as u64, nodes, (a, b), duration_s, apart)
    };
    all.map(play).sum()
}

/// Every combination with some of the others.
#[test]
fn fault_pairs_break_no_rule() {
    assert!(
        on_threads(8, |part| pairs(part * 19, 152, 0)).into_iter().sum::<u64>() > 0,
        "no write came late"
    );
}

/// Every combination with every other, in minutes: `cargo test --release -p anisecroft-simulation
/// --test combined_faults -- --ignored`.
#[test]
#[ignore = "minutes"]
fn all_fault_pairs_break_no_rule() {
    let overtaken = on_threads(8, |part| (0..5).map(|round| pairs(part, 8, round * 1001)).sum::<u64>());
    assert!(overtaken.into_iter().sum::<u64>() > 0);
}

/// Twice in a row, the store refuses the leader alone, other controllers confirm cancellations,
/// and then the store is down for all for longer than `cancel_s`, while workers go on.
fn gap(seed: u64, checks: SafetyChecks) -> Simulation {
    let mut s = cancelled_arrays(seed, checks);
    let workers = &mut s.settings.params.workers;
    (workers.heartbeat_interval_s, workers.lease_s, workers.cancel_s) = (6.0, 31.0, 51.0);
    // Some come moments before, on machines that are busy already.
    let late: Vec<_> = s.jobs.iter().map(|Submission { spec, .. }| spec.clone()).collect();
    for (n, spec) in late.into_iter().enumerate() {
        let again = |id: usize, at: f64| {
            let spec = JobSpec { id: format!("req-{id}"), ..spec.clone() };
            Submission::new(at + n as f64 * 0.05, spec).cancelled_at(at + 2.0)
        };
        s.jobs.extend([again(200 + n, ASKED - 2.0), again(300 + n, ASKED + 84.0)]);
    }
    let mut sim = Simulation::new(s);
    for at in [ASKED, ASKED + 86.0] {
        sim.run(at);
        let node = sim.leader().unwrap_or(0);
        sim.inject(Fault::StoreRefusesNode { node, duration_s: 14.0 });
        if !sim.run(at + 2.0).is_empty() {
            return sim;
        }
        assert!(told_since(&sim, at) > 0, "seed {seed}: nobody was told in the gap");
        sim.inject(Fault::StoreOutage { duration_s: 63.0 });
    }
    sim.run(ASKED + 240.0);
    sim
}

#[test]
fn tasks_cancelled_before_an_outage_end_in_time() {
    for seed in 0..6 {
        assert_eq!(gap(seed, SafetyChecks::default()).history.violations, [], "seed {seed}");
    }
}

#[test]
fn without_response_grace_tasks_cancelled_before_an_outage_stay() {
    let checks = SafetyChecks { response_grace: false, ..SafetyChecks::default() };
    assert!((0..6).any(|seed| gap(seed, checks)
        .history
        .violations
        .iter()
        .any(|b| b.rule == Rule::RanCancelled)));
}
