//! What comes back: zones, gateways and nodes that were away, and machines that
//! are gone for good.

mod common;

use anisecroft_testkit::{Fault, Sim};
use common::*;

/// A gateway is cut off with the workers of its zone; their machines are given back
/// meanwhile. When it returns it passes on all that it knew. (The leader once took
/// a fleet's third that was long gone for up again, and gave it work.)
#[test]
fn what_is_gone_does_not_come_back_with_its_gateway() {
    let mut given_back = 0;
    for seed in 0..12 {
        let cut = (40.0 + seed as f64, Fault::ZoneCut { zone: ["a", "b"][seed as usize % 2], for_s: 75.0 });
        let mut sim = Sim::new(setup(seed, vec![cut]));
        assert_eq!(sim.run(250.0), [], "seed {seed}");
        given_back += sim.deleted.len();
        assert_eq!(sim.ghosts.iter().collect::<Vec<_>>(), Vec::<&String>::new(), "seed {seed}");
    }
    assert!(given_back > 0);
}
