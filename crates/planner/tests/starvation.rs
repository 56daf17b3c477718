//! The floor under classes and teams, as pure functions.

use anisecroft_planner::starvation::{
    guaranteed_tasks, overdue_tasks, starving_groups, StarvationPolicy, WaitingDemand,
};
use proptest::prelude::*;

const FLOOR: StarvationPolicy =
    StarvationPolicy { guaranteed_share: 0.1, max_wait_s: 60.0, reservation_s: 40.0 };

fn claim() -> impl Strategy<Value = WaitingDemand> {
    let numbers = (0usize..3, 3usize..6, 0.0..200.0f64, 1usize..40, 0.0..0.2f64, any::<(bool, bool)>());
    numbers.prop_map(|(class, team, submitted, tasks, each, (whole, begun))| WaitingDemand {
        groups: [class, team],
        submitted_at: submitted,
        tasks,
        share_per_task: each,
        indivisible: whole,
        has_started: begun,
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
        let starving = starving_groups(200.0, &FLOOR, &held, &claims);
        let granted = guaranteed_tasks(&FLOOR, &starving, &held, &claims);
        let part: f64 = claims.iter().zip(&granted).map(|(c, n)| c.share_per_task * *n as f64).sum();
        prop_assert!(part <= FLOOR.guaranteed_share + 1e-6, "{part} granted");
        for (c, n) in claims.iter().zip(&granted) {
            prop_assert!(*n <= c.tasks && (!c.indivisible || *n == 0 || *n == c.tasks));
            prop_assert!(*n == 0 || c.groups.iter().any(|&g| starving[g]));
        }
        for g in 0..held.len() {
            let waited = claims.iter().any(|c| c.groups.contains(&g) && c.submitted_at < 140.0);
            prop_assert!(!starving[g] || waited && held[g] < FLOOR.guaranteed_share);
        }
    }

    /// Of what has waited long and never begun one task each, within a floor, and the oldest
    /// gang, alone; nothing else.
    #[test]
    fn the_overdue_begin(claims in prop::collection::vec(claim(), 0..30)) {
        let granted = overdue_tasks(200.0, &FLOOR, &claims);
        let due = |c: &WaitingDemand| !c.has_started && c.submitted_at < 200.0 - FLOOR.max_wait_s;
        let mut arrays = 0.0;
        for (c, n) in claims.iter().zip(&granted).filter(|(_, n)| **n > 0) {
            let all = if c.indivisible { c.tasks } else { 1 };
            prop_assert!(due(c) && *n == all);
            arrays += if c.indivisible { 0.0 } else { c.share_per_task };
        }
        prop_assert!(arrays <= FLOOR.guaranteed_share + 1e-9);
        let gangs = || claims.iter().zip(&granted).filter(|(c, _)| c.indivisible && due(c));
        let oldest = gangs().map(|(c, _)| c.submitted_at).fold(f64::MAX, f64::min);
        prop_assert_eq!(gangs().filter(|(_, n)| **n > 0).count(), usize::from(oldest < f64::MAX));
        prop_assert!(gangs().all(|(c, n)| *n == 0 || c.submitted_at == oldest));
    }
}
