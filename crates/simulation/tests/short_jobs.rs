//! Machines that boot immediately, and single-task jobs that are submitted several times per second.

mod common;

use anisecroft_simulation::{Fault, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use protocol::job::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use settings::NextLimits;

/// Checks that nothing is left of a run: all jobs have ended and are archived, and no machine is left
/// that no controller knows or needs.
fn check_nothing_left(sim: &Simulation, context: &str) {
    assert_eq!(sim.history.violations, [], "{context}");
    assert_eq!(sim.unfinished(), Vec::<String>::new(), "{context}");
    let remaining_keys = ["j/", "t/", "w/", "jx/"].map(|prefix| sim.store().count(prefix));
    assert_eq!(remaining_keys, [0; 4], "{context}");
    assert_eq!(sim.store().count("jo/"), sim.history.accepted.len(), "{context}");
    assert_eq!(sim.unknown_workers(), Vec::<&str>::new(), "{context}");
    assert_eq!(sim.machine_count(), 0, "{context}");
}

/// Single-task jobs, four per second for `duration_s` seconds from `from` on. A quarter of them is
/// cancelled 0 s to 3 s after submission: as they are accepted, launched or about to run.
fn short_jobs(rng: &mut SmallRng, from: f64, duration_s: f64) -> Vec<Submission> {
    let job = |n: usize, rng: &mut SmallRng| JobSpec {
        id: format!("req-{}", 1000 + n),
        tasks: 1,
        cores: 1.0,
        accelerators: 0.25,
        memory_gb: 1.0,
        estimated_run_s: rng.gen_range(1.0..6.0),
        ..long_array()
    };
    (0..(duration_s * 4.0) as usize)
        .map(|n| {
            let at = from + n as f64 * 0.25;
            let cancel = rng.gen_bool(0.25).then(|| at + [0.0, 0.5, 1.0, 3.0][rng.gen_range(0..4usize)]);
            Submission::new(at, job(n, rng)).cancelled_at(cancel)
        })
        .collect()
}

/// The setup of a run with short jobs for `duration_s` seconds and with `faults`.
fn short_jobs_setup(seed: u64, duration_s: f64, faults: Vec<ScheduledFault>) -> Setup {
    let mut setup = seeded_setup(seed, faults);
    without_quotas(&mut setup);
    setup.jobs = short_jobs(&mut SmallRng::seed_from_u64(seed ^ 0x5407), 10.0, duration_s);
    Setup { capacity: 12, nodes: 3 + 2 * (seed % 2) as usize, loss: 0.0, ..setup }
}

/// A fault that delays or loses messages between controllers and the store.
fn store_fault(seed: u64, duration_s: f64) -> Fault {
    match seed % 4 {
        0 => Fault::DelayedWrites { share: 0.2, duration_s },
        1 => Fault::LostWriteResponses { share: 0.3, duration_s },
        2 => Fault::SlowStore { max_delay_s: 0.6, duration_s },
        _ => Fault::SlowStore { max_delay_s: 1.2, duration_s },
    }
}

/// Machines boot immediately and get tasks while messages to or from the store are delayed or lost. The
/// leader crashes up to four times right after the cloud has executed a rental, before it knows of it.
/// Returns how many machines were rented without its knowledge.
fn rented_without_reply(seed: u64) -> u32 {
    let mut sim = Simulation::new(short_jobs_setup(
        seed,
        90.0,
        vec![ScheduledFault::new(0.0, Fault::FastBoots { duration_s: 130.0 })],
    ));
    sim.run(12.0);
    sim.inject(store_fault(seed, 90.0));
    let (mut rented_unknown, mut rounds) = (0, 0);
    while rounds < 4 && sim.now < 100.0 {
        let rented_before = sim.rented_count();
        if !run_until(&mut sim, 20.0, |s| s.rented_count() > rented_before) {
            // No further machine is needed, so one is removed to cause another rental.
            sim.inject(Fault::MachineLost { machine: rounds });
            rounds += 1;
            continue;
        }
        if let Some(node) = sim.leader() {
            let duration_s = if rounds % 2 == 0 { 0.2 } else { 6.0 };
            sim.inject(Fault::ControllerCrash { node, duration_s });
            rented_unknown += sim.rented_count() - rented_before;
            rounds += 1;
        }
        sim.run(sim.now + 3.0);
    }
    sim.run(420.0);
    check_nothing_left(&sim, &format!("seed {seed}"));
    rented_unknown
}

#[test]
fn machines_rented_without_a_reply_are_used_or_scaled_in() {
    let rented: Vec<u32> = (0..8).map(rented_without_reply).collect();
    assert!(rented.iter().all(|n| *n >= 1) && rented.iter().sum::<u32>() > 10, "{rented:?}");
}

/// Short jobs for two minutes at nine tenths of the store's write rate, some of them cancelled as they
/// complete. In the middle, two controllers crash and store messages are lost or delayed.
fn run_flood(seed: u64) -> Simulation {
    let cancels = Fault::CancelAtCompletion { share: 0.1, duration_s: 150.0 };
    let faults = vec![
        ScheduledFault::new(0.0, Fault::FastBoots { duration_s: 150.0 }),
        ScheduledFault::new(0.0, cancels),
        ScheduledFault::new(1.0, Fault::StoreLimitsReduced),
        ScheduledFault::new(50.0, store_fault(seed, 30.0)),
        ScheduledFault::new(
            60.0 + seed as f64,
            Fault::ControllerCrash { node: (seed % 3) as usize, duration_s: 0.2 },
        ),
        ScheduledFault::new(
            70.0 + seed as f64,
            Fault::ControllerCrash { node: ((seed + 1) % 3) as usize, duration_s: 5.0 },
        ),
    ];
    let mut setup = short_jobs_setup(seed, 120.0, faults);
    let next = NextLimits { rps: None, write_rps: Some(24.0), value_kb: None, txn_ops: None };
    setup.settings.params.store.next = Some(next);
    let mut sim = Simulation::new(setup);
    sim.run(130.0);
    let mutations_per_s = sim.metrics.mutations as f64 / 120.0;
    assert!(mutations_per_s > 18.0, "seed {seed}: {mutations_per_s} mutations per second");
    assert!(
        sim.store().rejected_for_rate < 150,
        "seed {seed}: {} requests rejected for the rate limit",
        sim.store().rejected_for_rate
    );
    let finished = sim.history.finished.len();
    assert!(finished > 300, "seed {seed}: only {finished} jobs have ended");
    sim.run(600.0);
    sim
}

#[test]
fn flood_of_short_jobs_leaves_no_keys_or_machines() {
    for seed in 0..8 {
        let sim = run_flood(seed);
        check_nothing_left(&sim, &format!("seed {seed}"));
        let cancelled = sim.history.cancelled_at.len();
        assert!(
            cancelled > 60 && sim.query_counts().cancelled_at_completion > 10,
            "seed {seed}: {cancelled}"
        );
        println!(
            "seed {seed}: rejected for rate {}, late starts {}, finished {}, cancelled {}, mutations {}",
            sim.store().rejected_for_rate,
            sim.late_starts.len(),
            sim.history.finished.len(),
            cancelled,
            sim.metrics.mutations
        );
    }
}
