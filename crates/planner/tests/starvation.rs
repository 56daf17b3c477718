//! Properties of starvation prevention.

use anisecroft_planner::starvation::{
    guaranteed_tasks, overdue_tasks, starving_groups, StarvationPolicy, WaitingDemand,
};
use proptest::prelude::*;

const POLICY: StarvationPolicy =
    StarvationPolicy { guaranteed_share: 0.1, max_wait_s: 60.0, reservation_s: 40.0 };

/// Current time of the tests; demands are submitted between 0 and this time.
const NOW: f64 = 200.0;

fn demand() -> impl Strategy<Value = WaitingDemand> {
    let fields = (0usize..3, 3usize..6, 0.0..NOW, 1usize..40, 0.0..0.2f64, any::<(bool, bool)>());
    fields.prop_map(|(class, team, submitted_at, tasks, share_per_task, (indivisible, has_started))| {
        WaitingDemand { groups: [class, team], submitted_at, tasks, share_per_task, indivisible, has_started }
    })
}

fn has_waited_long(demand: &WaitingDemand) -> bool {
    demand.submitted_at < NOW - POLICY.max_wait_s
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// No more than the guaranteed share is granted. Groups that hold their share or have not waited
    /// get nothing, and a gang gets all or none of its tasks.
    #[test]
    fn grants_stay_within_the_guaranteed_share(
        demands in prop::collection::vec(demand(), 0..30),
        held_shares in prop::collection::vec(0.0..0.2f64, 6..7),
    ) {
        let starving = starving_groups(NOW, &POLICY, &held_shares, &demands);
        let granted = guaranteed_tasks(&POLICY, &starving, &held_shares, &demands);
        let granted_share: f64 =
            demands.iter().zip(&granted).map(|(demand, tasks)| demand.share_per_task * *tasks as f64).sum();
        prop_assert!(granted_share <= POLICY.guaranteed_share + 1e-6, "{granted_share} granted");
        for (demand, &tasks) in demands.iter().zip(&granted) {
            prop_assert!(tasks <= demand.tasks);
            prop_assert!(!demand.indivisible || tasks == 0 || tasks == demand.tasks);
            prop_assert!(tasks == 0 || demand.groups.iter().any(|&group| starving[group]));
        }
        for group in 0..held_shares.len() {
            let has_waited = demands.iter().any(|demand| demand.groups.contains(&group) && has_waited_long(demand));
            prop_assert!(!starving[group] || has_waited && held_shares[group] < POLICY.guaranteed_share);
        }
    }

    /// One task of each overdue array is granted, within the guaranteed share, and the whole of the
    /// oldest overdue gang; nothing else.
    #[test]
    fn overdue_grants_are_one_task_per_array_and_the_oldest_gang(demands in prop::collection::vec(demand(), 0..30)) {
        let granted = overdue_tasks(NOW, &POLICY, &demands);
        let is_overdue = |demand: &WaitingDemand| !demand.has_started && has_waited_long(demand);
        let mut arrays_share = 0.0;
        for (demand, &tasks) in demands.iter().zip(&granted).filter(|(_, tasks)| **tasks > 0) {
            let expected_tasks = if demand.indivisible { demand.tasks } else { 1 };
            prop_assert!(is_overdue(demand) && tasks == expected_tasks);
            arrays_share += if demand.indivisible { 0.0 } else { demand.share_per_task };
        }
        prop_assert!(arrays_share <= POLICY.guaranteed_share + 1e-9);
        let overdue_gangs =
            || demands.iter().zip(&granted).filter(|(demand, _)| demand.indivisible && is_overdue(demand));
        let oldest = overdue_gangs().map(|(demand, _)| demand.submitted_at).fold(f64::MAX, f64::min);
        let granted_gangs = overdue_gangs().filter(|(_, tasks)| **tasks > 0).count();
        prop_assert_eq!(granted_gangs, usize::from(oldest < f64::MAX));
        prop_assert!(overdue_gangs().all(|(demand, tasks)| *tasks == 0 || demand.submitted_at == oldest));
    }
}
