//! The store's size limits fall without notice, to a quarter or a sixteenth.

mod common;

use anisecroft_simulation::{Fault, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use protocol::job::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use settings::NextLimits;

/// A seeded day in which some arrays have hundreds of tasks. Store values may have `value_kb` KiB;
/// the settings announce that this limit may fall to `fraction` of it.
fn day_with_large_arrays(seed: u64, value_kb: f64, fraction: f64, faults: Vec<ScheduledFault>) -> Setup {
    let mut setup = seeded_setup(seed, faults);
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x11417);
    without_quotas(&mut setup);
    let store = &mut setup.settings.params.store;
    (store.value_kb, store.txn_ops) = (value_kb, 24);
    store.next = Some(NextLimits {
        rps: None,
        write_rps: Some(store.write_rps * 0.7),
        value_kb: Some(value_kb * fraction),
        txn_ops: Some(8),
    });
    for (n, Submission { at, spec, .. }) in setup.jobs.iter_mut().enumerate().filter(|(n, _)| n % 4 == 0) {
        if spec.shape != Shape::Array {
            continue;
        }
        spec.tasks = rng.gen_range(100..600);
        (spec.cores, spec.accelerators, spec.memory_gb) = (0.25, 0.0, 0.25);
        spec.image = format!("img-{}", "x".repeat(if n % 8 == 0 { 100 } else { 5 }));
        *at = at.min(60.0);
    }
    setup
}

/// The limits fall around faults, failovers, cancellations, a crash of all controllers or a
/// partition of the leader. No job is lost, and the store refuses only the few oversized writes of
/// controllers that have not yet learned of the new limits.
#[test]
fn falling_store_limits_during_faults_lose_no_job() {
    for seed in 0..12 {
        let (value_kb, fraction) = [(8.0, 0.25), (32.0, 1.0 / 16.0)][seed as usize % 2];
        let mut faults = if seed % 3 == 0 { seeded_faults(seed) } else { vec![] };
        let at = 40.0 + seed as f64 * 2.0;
        faults.push(ScheduledFault::new(at, Fault::StoreLimitsReduced));
        match seed % 6 {
            1 => {
                faults.extend((0..3).map(|node| {
                    ScheduledFault::new(at - 1.0, Fault::ControllerCrash { node, duration_s: 3.0 })
                }));
            }
            2 => {
                faults.extend((0..3).map(|node| {
                    ScheduledFault::new(at + 0.1, Fault::ControllerCrash { node, duration_s: 0.3 })
                }));
            }
            4 => faults.extend((0..3).map(|n| {
                ScheduledFault::new(
                    at - 2.0,
                    Fault::NodePartition {
                        node: n,
                        store: n == seed as usize % 3,
                        workers: false,
                        duration_s: 9.0,
                    },
                )
            })),
            _ => {}
        }
        // A higher message loss with some seeds, so that writes of unknown outcome are pending when
        // the limits fall.
        let loss = if seed % 4 == 3 { 0.02 } else { 0.002 };
        let mut sim = Simulation::new(Setup {
            capacity: 20,
            loss,
            ..day_with_large_arrays(seed, value_kb, fraction, faults.clone())
        });
        assert_eq!(sim.run(600.0), [], "seed {seed}: {faults:?}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}: {faults:?}");
        assert!(
            sim.store().rejected_for_size < 20,
            "seed {seed}: {} writes refused",
            sim.store().rejected_for_size
        );
    }
}

/// A job with hundreds of dependencies and dozens of long machine type names is stored in chunks
/// that fit the limits. It survives crashes of all controllers, starts after all its dependencies,
/// and leaves only its terminal record. With some seeds the job or one of its dependencies is
/// cancelled.
#[test]
fn oversized_specification_is_stored_in_chunks() {
    for seed in 0..6 {
        let mut setup =
            day_with_large_arrays(seed, 8.0, 0.25, vec![ScheduledFault::new(3.0, Fault::StoreLimitsReduced)]);
        let rng = &mut SmallRng::seed_from_u64(seed);
        let small_job = |n: usize, rng: &mut SmallRng| JobSpec {
            id: format!("req-{n:08}"),
            shape: Shape::Array,
            tasks: 1,
            machine_types: None,
            zone: None,
            one_zone: false,
            spread: false,
            estimated_run_s: 2.0,
            ..random_job(rng, n)
        };
        setup.jobs = (0..300).map(|n| Submission::new(4.0 + n as f64 * 0.05, small_job(n, rng))).collect();
        let dependencies: Vec<String> = setup.jobs.iter().map(|j| j.spec.id.clone()).collect();
        let names = (0..60).map(|n| format!("{}{n}", "type-with-a-long-name-".repeat(4)));
        let machine_types = Some(names.chain(["big".to_string()]).collect());
        let dependent = JobSpec { dependencies, machine_types, ..small_job(400, rng) };
        let cancel_at = (seed % 3 == 2).then_some(40.0);
        setup.jobs.push(Submission::new(6.0, dependent).cancelled_at(cancel_at));
        if seed % 3 == 1 {
            setup.jobs[77].cancel_at = Some(20.0);
        }
        setup.faults.extend((0..3).map(|node| {
            ScheduledFault::new(30.0 + seed as f64, Fault::ControllerCrash { node, duration_s: 2.0 })
        }));
        let mut sim = Simulation::new(Setup { capacity: 8, ..setup });
        assert_eq!(sim.run(25.0), [], "seed {seed}");
        assert!(
            sim.store().largest_value_bytes("") <= 2048,
            "seed {seed}: {}",
            sim.store().largest_value_bytes("")
        );
        assert_eq!(sim.run(500.0), [], "seed {seed}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
        assert_eq!(sim.store().count("j/"), 0, "seed {seed}");
        // A submission whose write got no response is retried with new chunks. The first failover
        // after `abandoned_submission_s` deletes the chunks of the first attempt.
        let failover_at = timing().abandoned_submission_s + 60.0;
        assert_eq!(sim.run(failover_at), [], "seed {seed}");
        (0..3).for_each(|node| sim.inject(Fault::ControllerCrash { node, duration_s: 2.0 }));
        assert_eq!(sim.run(failover_at + 60.0), [], "seed {seed}");
        assert_eq!(sim.store().count("w/"), 0, "seed {seed}");
    }
}
