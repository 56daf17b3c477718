//! Machines that boot at once, and jobs of one task that are submitted several times a second.

mod common;

use anisecroft_simulation::{Fault, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use protocol::job::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use settings::NextLimits;

/// Nothing of the day is left: every job is over and archived, and no machine is left that nobody
/// knows of or needs.
fn nothing_stays_behind(sim: &Simulation, what: &str) {
    assert_eq!(sim.history.violations, [], "{what}");
    assert_eq!(sim.unfinished(), Vec::<String>::new(), "{what}");
    let left = ["j/", "t/", "w/", "jx/"].map(|prefix| sim.store().count(prefix));
    assert_eq!(left, [0; 4], "{what}");
    assert_eq!(sim.store().count("jo/"), sim.history.accepted.len(), "{what}");
    assert_eq!(sim.unknown_workers(), Vec::<&str>::new(), "{what}");
    assert_eq!(sim.machine_count(), 0, "{what}");
}

/// Jobs of one short task, four a second from `from` on for `duration_s`, a quarter of them
/// cancelled as they are accepted, launched or about to run.
fn short_jobs(rng: &mut SmallRng, from: f64, duration_s: f64) -> Vec<Submission> {
    let one = |n: usize, rng: &mut SmallRng| JobSpec {
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
            Submission::new(at, one(n, rng)).cancelled_at(cancel)
        })
        .collect()
}

/// A day of such jobs while `faults` strike.
fn day(seed: u64, duration_s: f64, faults: Vec<ScheduledFault>) -> Setup {
    let mut setup = seeded_setup(seed, faults);
    without_quotas(&mut setup);
    setup.jobs = short_jobs(&mut SmallRng::seed_from_u64(seed ^ 0x5407), 10.0, duration_s);
    Setup { capacity: 12, nodes: 3 + 2 * (seed % 2) as usize, loss: 0.0, ..setup }
}

/// What disturbs the way to and from the store.
fn lag(seed: u64, duration_s: f64) -> Fault {
    match seed % 4 {
        0 => Fault::DelayedWrites { share: 0.2, duration_s },
        1 => Fault::LostWriteResponses { share: 0.3, duration_s },
        2 => Fault::SlowStore { max_delay_s: 0.6, duration_s },
        _ => Fault::SlowStore { max_delay_s: 1.2, duration_s },
    }
}

/// Machines boot at once and get tasks, writes lag, and the leader crashes when the cloud has
/// carried out a rental that it does not know of, four times. Returns the number of machines
/// rented so.
fn rented_unawares(seed: u64) -> u32 {
    let mut sim = Simulation::new(day(
        seed,
        90.0,
        vec![ScheduledFault::new(0.0, Fault::FastBoots { duration_s: 130.0 })],
    ));
    sim.run(12.0);
    sim.inject(lag(seed, 90.0));
    let (mut unawares, mut ends) = (0, 0);
    while ends < 4 && sim.now < 100.0 {
        let before = sim.rented_count();
        if !run_until(&mut sim, 20.0, |s| s.rented_count() > before) {
            // All that is needed is there: some of it goes.
            sim.inject(Fault::MachineLost { machine: ends });
            ends += 1;
            continue;
        }
        if let Some(node) = sim.leader() {
            let duration_s = if ends % 2 == 0 { 0.2 } else { 6.0 };
            sim.inject(Fault::ControllerCrash { node, duration_s });
            unawares += sim.rented_count() - before;
            ends += 1;
        }
        sim.run(sim.now + 3.0);
    }
    sim.run(420.0);
    nothing_stays_behind(&sim, &format!("seed {seed}"));
    unawares
}

#[test]
fn machines_rented_without_a_reply_are_used_or_scaled_in() {
    let unawares: Vec<u32> = (0..8).map(rented_unawares).collect();
    assert!(unawares.iter().all(|n| *n >= 1) && unawares.iter().sum::<u32>() > 10, "{unawares:?}");
}

/// Such jobs for two minutes at nine tenths of the store's rate, with others cancelled at their
/// end; the leader crashes in the middle, and responses are lost or late.
fn flood(seed: u64) -> Simulation {
    let cancels = Fault::CancelAtCompletion { share: 0.1, duration_s: 150.0 };
    let faults = vec![
        ScheduledFault::new(0.0, Fault::FastBoots { duration_s: 150.0 }),
        ScheduledFault::new(0.0, cancels),
        ScheduledFault::new(1.0, Fault::StoreLimitsReduced),
        ScheduledFault::new(50.0, lag(seed, 30.0)),
        ScheduledFault::new(
            60.0 + seed as f64,
            Fault::ControllerCrash { node: (seed % 3) as usize, duration_s: 0.2 },
        ),
        ScheduledFault::new(
            70.0 + seed as f64,
            Fault::ControllerCrash { node: ((seed + 1) % 3) as usize, duration_s: 5.0 },
        ),
    ];
    let mut s = day(seed, 120.0, faults);
    let next = NextLimits { rps: None, write_rps: Some(24.0), value_kb: None, txn_ops: None };
    s.settings.params.store.next = Some(next);
    let mut sim = Simulation::new(s);
    sim.run(130.0);
    let rate = sim.metrics.mutations as f64 / 120.0;
    assert!(rate > 18.0, "seed {seed}: {rate} changes a second");
    assert!(sim.store().rejected_for_rate < 150, "seed {seed}: {} refused", sim.store().rejected_for_rate);
    let done = sim.history.finished.len();
    assert!(done > 300, "seed {seed}: {done} over by then");
    sim.run(600.0);
    sim
}

#[test]
fn a_flood_of_short_jobs_leaves_nothing_behind() {
    for seed in 0..8 {
        let sim = flood(seed);
        nothing_stays_behind(&sim, &format!("seed {seed}"));
        let cancelled = sim.history.cancelled_at.len();
        assert!(
            cancelled > 60 && sim.query_counts().cancelled_at_completion > 10,
            "seed {seed}: {cancelled}"
        );
        println!(
            "seed {seed} limited {} late {} over {} cancelled {} changes {}",
            sim.store().rejected_for_rate,
            sim.late_starts.len(),
            sim.history.finished.len(),
            cancelled,
            sim.metrics.mutations
        );
    }
}
