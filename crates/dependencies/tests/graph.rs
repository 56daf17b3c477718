//! The graph against a plain model over generated pipelines.

use anisecroft_dependencies::{DependencyGraph, InheritedPriority, JobOutcome, OwnPriority};
use proptest::prelude::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

fn id(n: usize) -> String {
    format!("req-{n}")
}

/// Jobs that each await some of the earlier ones.
fn dag(rng: &mut SmallRng, jobs: usize) -> Vec<Vec<usize>> {
    (0..jobs)
        .map(|n| {
            let most = rng.gen_range(0..4usize).min(n);
            let chosen: BTreeSet<usize> = (0..most).map(|_| rng.gen_range(0..n)).collect();
            chosen.into_iter().collect()
        })
        .collect()
}

/// What the stored facts say, by looking at everything.
struct Model {
    awaits: Vec<Vec<usize>>,
    fates: BTreeMap<usize, JobOutcome>,
    /// Cancelled with another; told by the graph, not by its own record.
    withdrawn: BTreeSet<usize>,
}

impl Model {
    fn cancelled(&self, n: usize) -> bool {
        self.fates.get(&n) == Some(&JobOutcome::Cancelled)
            || self.awaits[n].iter().any(|&a| self.cancelled(a))
    }
    fn free(&self, n: usize) -> bool {
        self.awaits[n].iter().all(|a| self.fates.get(a) == Some(&JobOutcome::Done))
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(36),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Jobs come and end in any order that the protocol allows; what is freed and withdrawn
    /// is what the facts say, each once, and nothing is kept of what is over.
    #[test]
    fn freed_and_withdrawn_follow_from_the_facts(seed in any::<u64>(), jobs in 1usize..30) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut m = Model { awaits: dag(&mut rng, jobs), fates: BTreeMap::new(), withdrawn: BTreeSet::new() };
        let mut g = DependencyGraph::default();
        let (mut added, mut freed) = (0, BTreeSet::new());
        for _ in 0..jobs * 6 {
            let effects = if added < jobs && rng.gen_bool(0.4) {
                let n = added;
                added += 1;
                let awaits: Vec<String> = m.awaits[n].iter().map(|&a| id(a)).collect();
                let known = |a: &str| {
                    let a: usize = a[4..].parse().unwrap();
                    m.fates.get(&a).copied().or(m.withdrawn.contains(&a).then_some(JobOutcome::Cancelled))
                };
                g.add(&id(n), &awaits, known, |_| true)
            } else {
                let ready: Vec<usize> = (0..added)
                    .filter(|n| !m.fates.contains_key(n) && !m.withdrawn.contains(n))
                    .collect();
                if ready.is_empty() {
                    continue;
                }
                let n = ready[rng.gen_range(0..ready.len())];
                let fate = if m.free(n) && rng.gen_bool(0.8) { JobOutcome::Done } else { JobOutcome::Cancelled };
                m.fates.insert(n, fate);
                if rng.gen_bool(0.5) || fate == JobOutcome::Done {
                    g.on_ready_stored(&id(n));
                }
                g.record_outcome(&id(n), fate)
            };
            for n in &effects.cancelled {
                let n: usize = n[4..].parse().unwrap();
                prop_assert!(m.withdrawn.insert(n), "withdrawn twice");
                prop_assert!(m.cancelled(n) && !freed.contains(&n));
            }
            for n in &effects.ready {
                let n: usize = n[4..].parse().unwrap();
                prop_assert!(freed.insert(n), "freed twice");
                prop_assert!(m.free(n));
            }
            for n in 0..added {
                let over = m.fates.contains_key(&n) || m.withdrawn.contains(&n);
                prop_assert_eq!(m.cancelled(n), m.withdrawn.contains(&n) || m.fates.get(&n) == Some(&JobOutcome::Cancelled));
                prop_assert_eq!(g.is_waiting(&id(n)), !over && !m.free(n));
                prop_assert!(!m.free(n) || m.awaits[n].is_empty() || over || freed.contains(&n));
            }
        }
        // All end: nothing is left that a record would be kept for.
        for n in 0..added {
            g.on_ready_stored(&id(n));
            g.record_outcome(&id(n), JobOutcome::Cancelled);
        }
        prop_assert!((0..jobs).all(|n| !g.has_dependents(&id(n)) && !g.is_waiting(&id(n))));
        prop_assert_eq!(g.unknown().count(), 0);
    }

    /// What is passed back is the least over all ways to an end, worked out path by path.
    #[test]
    fn one_deadline_is_passed_back_along_every_way(seed in any::<u64>(), jobs in 2usize..14) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let awaits = dag(&mut rng, jobs);
        let own: Vec<OwnPriority> = (0..jobs)
            .map(|_| OwnPriority {
                priority: rng.gen_range(0..4),
                deadline: if rng.gen_bool(0.3) { rng.gen_range(10.0..500.0) } else { 1e9 },
                latest_useful_end: 2e9,
                expected_duration_s: rng.gen_range(1.0..50.0),
            })
            .collect();
        let mut g = DependencyGraph::default();
        for (n, a) in awaits.iter().enumerate() {
            g.add(&id(n), &a.iter().map(|&a| id(a)).collect::<Vec<_>>(), |_| None, |_| true);
        }
        let passed = g.inherited_priorities(|n| Some(own[n[4..].parse::<usize>().unwrap()]));
        fn ways(n: usize, awaits: &[Vec<usize>], own: &[OwnPriority]) -> Option<InheritedPriority> {
            let needing = (0..awaits.len()).filter(|&m| awaits[m].contains(&n));
            needing.map(|m| {
                let (o, asked) = (own[m], ways(m, awaits, own));
                InheritedPriority {
                    priority: o.priority.max(asked.map_or(0, |p| p.priority)),
                    deadline: o.deadline.min(asked.map_or(f64::MAX, |p| p.deadline)) - o.expected_duration_s,
                    latest_useful_end: o.latest_useful_end.min(asked.map_or(f64::MAX, |p| p.latest_useful_end)) - o.expected_duration_s,
                }
            }).reduce(|a, b| InheritedPriority {
                priority: a.priority.max(b.priority),
                deadline: a.deadline.min(b.deadline),
                latest_useful_end: a.latest_useful_end.min(b.latest_useful_end),
            })
        }
        for n in 0..jobs {
            prop_assert_eq!(passed.get(&id(n)[..]).copied(), ways(n, &awaits, &own), "{}", n);
        }
    }
}

/// A chain of thousands and one job that ten thousand await: by lists, not by recursion, and
/// each edge once.
#[test]
fn long_chains_and_wide_fans_end() {
    let mut g = DependencyGraph::default();
    for n in 1..5_000 {
        g.add(&id(n), &[id(n - 1)], |_| None, |_| true);
    }
    let own = OwnPriority { priority: 1, deadline: 1e6, latest_useful_end: 1e6, expected_duration_s: 1.0 };
    let passed = g.inherited_priorities(|_| Some(own));
    assert_eq!(passed["req-0"].deadline, 1e6 - 4_999.0);
    assert_eq!(g.record_outcome("req-0", JobOutcome::Cancelled).cancelled.len(), 4_999);
    for n in 1..10_000 {
        g.add(&id(n), &[id(0)], |_| None, |_| true);
    }
    assert_eq!(g.record_outcome("req-0", JobOutcome::Done).ready.len(), 9_999);
}

/// What is awaited and unknown is asked for until it is known; what nobody awaits any
/// more is not.
#[test]
fn the_unknown_is_asked_for_as_long_as_somebody_waits() {
    let mut g = DependencyGraph::default();
    let awaits = [id(7), id(8)];
    assert_eq!(g.add("req-1", &awaits, |_| None, |a| a == "req-7"), Default::default());
    assert_eq!(g.unknown().collect::<Vec<_>>(), ["req-8"]);
    g.record_outcome("req-8", JobOutcome::Done);
    assert_eq!((g.unknown().count(), g.is_waiting("req-1")), (0, true));
    assert_eq!(g.record_outcome("req-7", JobOutcome::Done).ready, ["req-1"]);
    // Its record still names both: they stay where the next leader reads them.
    assert!(g.has_dependents("req-7") && g.has_dependents("req-8"));
    assert_eq!(g.on_ready_stored("req-1"), ["req-7", "req-8"]);
    assert!(!g.has_dependents("req-7"));
}
