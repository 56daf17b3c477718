//! The floor under classes and teams, as pure functions.

use anisecroft_plan::floor::{grants, under, Claim, Floor};
use proptest::prelude::*;

const FLOOR: Floor = Floor { share: 0.1, patience_s: 60.0 };

fn claim() -> impl Strategy<Value = Claim> {
    let numbers = (0usize..3, 3usize..6, 0.0..200.0f64, 1usize..40, 0.0..0.2f64, any::<bool>());
    numbers.prop_map(|(class, team, submitted, tasks, each, whole)| Claim {
        groups: [class, team],
        submitted,
        tasks,
        each,
        whole,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// No more than the floor is granted, nothing to groups that hold theirs or
    /// have not waited, and a gang in whole or not at all.
    #[test]
    fn grants_keep_to_the_floor(
        claims in prop::collection::vec(claim(), 0..30),
        held in prop::collection::vec(0.0..0.2f64, 6..7),
    ) {
        let starving = under(200.0, &FLOOR, &held, &claims);
        let granted = grants(&FLOOR, &starving, &held, &claims);
        let part: f64 = claims.iter().zip(&granted).map(|(c, n)| c.each * *n as f64).sum();
        prop_assert!(part <= FLOOR.share + 1e-6, "{part} granted");
        for (c, n) in claims.iter().zip(&granted) {
            prop_assert!(*n <= c.tasks && (!c.whole || *n == 0 || *n == c.tasks));
            prop_assert!(*n == 0 || c.groups.iter().any(|&g| starving[g]));
        }
        for g in 0..held.len() {
            let waited = claims.iter().any(|c| c.groups.contains(&g) && c.submitted < 140.0);
            prop_assert!(!starving[g] || waited && held[g] < FLOOR.share);
        }
    }
}
