//! Where two troubles meet: what the operators saw break rules (`docs/safety.md`).

mod common;

use anisecroft_testkit::{Fault, Setup, Sim};
use common::*;
use engine::Guards;
use wire::job::*;

/// When the cancellations are asked for.
const ASKED: f64 = 70.0;

/// Long arrays, most of which their users cancel at `ASKED`, on machines that hold them all.
fn cancelled_arrays(seed: u64, guards: Guards) -> Setup {
    let mut s = setup(seed, vec![]);
    unlimited(&mut s);
    s.jobs = (0..24)
        .map(|n| {
            let spec = JobSpec {
                id: format!("req-{}", 100 + n),
                tasks: 1 + n % 3,
                estimate_s: 500.0,
                cores: 1.0,
                accelerators: 0.5,
                memory_gb: 2.0,
                ..long_array()
            };
            let cancel = (n % 5 > 0).then_some(ASKED + f64::from(n % 4) * 0.4);
            (1.0 + f64::from(n) * 0.3, spec, cancel)
        })
        .collect();
    Setup { capacity: 8, guards, loss: 0.0, ..s }
}

/// Cancellations that have been told since `at`.
fn told_since(sim: &Sim, at: f64) -> usize {
    sim.ledger.cancelled_at.values().filter(|t| **t >= at).count()
}

/// Runs until `until` holds, for `most` seconds at most.
fn run_until(sim: &mut Sim, most: f64, until: impl Fn(&Sim) -> bool) -> bool {
    let end = sim.now + most;
    while sim.now < end && sim.ledger.broken.is_empty() {
        if until(sim) {
            return true;
        }
        sim.run(sim.now + 0.01);
    }
    false
}

/// The state service refuses the leader alone, others confirm cancellations, a successor
/// claims, and the service is down for all before that one has read anything. It
/// once renewed the workers' leases all the same, by the date of its claim.
fn unread_takeover(seed: u64, guards: Guards) -> Sim {
    let mut sim = Sim::new(cancelled_arrays(seed, guards));
    sim.run(ASKED - 1.0);
    let Some(first) = sim.leader() else { return sim };
    sim.strike(Fault::StateRefuses { node: first, for_s: 25.0 });
    sim.run(ASKED + 2.0);
    // The lease of the first has its full time again after that.
    sim.strike(Fault::StateOutage { for_s: 5.0 });
    let claimed = run_until(&mut sim, 20.0, |s| s.leader() != Some(first));
    assert!(claimed && !sim.has_loaded(), "seed {seed}: it has read the records already");
    assert!(told_since(&sim, ASKED - 1.0) > 0, "seed {seed}: nobody was told meanwhile");
    sim.strike(Fault::StateOutage { for_s: 63.0 });
    sim.run(260.0);
    sim
}

#[test]
fn a_successor_that_has_read_nothing_renews_no_lease() {
    for seed in 0..8 {
        let sim = unread_takeover(seed, Guards::default());
        assert_eq!(sim.ledger.broken, [], "seed {seed}");
        assert!(sim.ledger.cancelled_at.len() >= 15, "seed {seed}: {}", sim.ledger.cancelled_at.len());
    }
}
