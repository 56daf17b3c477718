//! Compares the dependency graph with a simple model on generated graphs.

use anisecroft_dependencies::{DependencyGraph, GraphEffects, InheritedPriority, JobOutcome, OwnPriority};
use proptest::prelude::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

fn id(number: usize) -> String {
    format!("req-{number}")
}

fn number(id: &str) -> usize {
    id["req-".len()..].parse().unwrap()
}

/// Returns the dependencies of each job. Every job depends on up to three of the earlier jobs.
fn random_dag(rng: &mut SmallRng, jobs: usize) -> Vec<Vec<usize>> {
    (0..jobs)
        .map(|job| {
            let max_dependencies = rng.gen_range(0..4usize).min(job);
            let chosen: BTreeSet<usize> = (0..max_dependencies).map(|_| rng.gen_range(0..job)).collect();
            chosen.into_iter().collect()
        })
        .collect()
}

/// Model that derives the status of every job from all stored outcomes.
struct Model {
    /// Dependencies of each job.
    dependencies: Vec<Vec<usize>>,
    /// Outcomes of jobs according to their own records.
    outcomes: BTreeMap<usize, JobOutcome>,
    /// Jobs that the graph has cancelled with a dependency.
    cancelled_by_graph: BTreeSet<usize>,
    /// Jobs that the graph has reported as ready.
    ready: BTreeSet<usize>,
    /// Number of jobs that have been added to the graph, in the order of their numbers.
    added: usize,
}

impl Model {
    fn new(dependencies: Vec<Vec<usize>>) -> Self {
        Model {
            dependencies,
            outcomes: BTreeMap::new(),
            cancelled_by_graph: BTreeSet::new(),
            ready: BTreeSet::new(),
            added: 0,
        }
    }

    fn has_ended(&self, job: usize) -> bool {
        self.outcomes.contains_key(&job) || self.cancelled_by_graph.contains(&job)
    }

    fn is_cancelled(&self, job: usize) -> bool {
        self.outcomes.get(&job) == Some(&JobOutcome::Cancelled)
            || self.dependencies[job].iter().any(|&dependency| self.is_cancelled(dependency))
    }

    fn is_ready(&self, job: usize) -> bool {
        let is_done = |dependency| self.outcomes.get(dependency) == Some(&JobOutcome::Done);
        self.dependencies[job].iter().all(is_done)
    }

    /// Returns the outcome of a job as the graph's caller knows it.
    fn known_outcome(&self, job: usize) -> Option<JobOutcome> {
        let by_graph = self.cancelled_by_graph.contains(&job).then_some(JobOutcome::Cancelled);
        self.outcomes.get(&job).copied().or(by_graph)
    }

    /// Adds the next job to the graph.
    fn add_next(&mut self, graph: &mut DependencyGraph) -> GraphEffects {
        let job = self.added;
        self.added += 1;
        let dependencies: Vec<String> = self.dependencies[job].iter().map(|&job| id(job)).collect();
        graph.add(&id(job), &dependencies, |id| self.known_outcome(number(id)), |_| true)
    }

    /// Ends a random live job, if there is one.
    fn end_random_job(&mut self, graph: &mut DependencyGraph, rng: &mut SmallRng) -> Option<GraphEffects> {
        let live: Vec<usize> = (0..self.added).filter(|&job| !self.has_ended(job)).collect();
        if live.is_empty() {
            return None;
        }
        let job = live[rng.gen_range(0..live.len())];
        let is_done = self.is_ready(job) && rng.gen_bool(0.8);
        let outcome = if is_done { JobOutcome::Done } else { JobOutcome::Cancelled };
        self.outcomes.insert(job, outcome);
        if rng.gen_bool(0.5) || outcome == JobOutcome::Done {
            graph.on_ready_stored(&id(job));
        }
        Some(graph.record_outcome(&id(job), outcome))
    }

    /// Checks that each effect agrees with the model and occurs only once.
    fn check_effects(&mut self, effects: &GraphEffects) -> Result<(), TestCaseError> {
        for job in effects.cancelled.iter().map(|id| number(id)) {
            prop_assert!(self.cancelled_by_graph.insert(job), "cancelled twice");
            prop_assert!(self.is_cancelled(job) && !self.ready.contains(&job));
        }
        for job in effects.ready.iter().map(|id| number(id)) {
            prop_assert!(self.ready.insert(job), "ready twice");
            prop_assert!(self.is_ready(job));
        }
        Ok(())
    }

    /// Checks that the graph agrees with the model on every job.
    fn check_graph(&self, graph: &DependencyGraph) -> Result<(), TestCaseError> {
        for job in 0..self.added {
            let has_ended = self.has_ended(job);
            let is_ready = self.is_ready(job);
            let was_cancelled = self.cancelled_by_graph.contains(&job)
                || self.outcomes.get(&job) == Some(&JobOutcome::Cancelled);
            prop_assert_eq!(self.is_cancelled(job), was_cancelled);
            prop_assert_eq!(graph.is_waiting(&id(job)), !has_ended && !is_ready);
            let was_made_ready = self.dependencies[job].is_empty() || self.ready.contains(&job);
            prop_assert!(!is_ready || has_ended || was_made_ready);
        }
        Ok(())
    }
}

/// Returns what a job inherits, computed separately for every path through its dependents.
fn inherited_by_all_paths(
    job: usize,
    dependencies: &[Vec<usize>],
    own: &[OwnPriority],
) -> Option<InheritedPriority> {
    let dependents = (0..dependencies.len()).filter(|&other| dependencies[other].contains(&job));
    let demands = dependents.map(|dependent| {
        let figures = own[dependent];
        let inherited = inherited_by_all_paths(dependent, dependencies, own);
        let deadline = figures.deadline.min(inherited.map_or(f64::MAX, |demand| demand.deadline));
        let latest_useful_end =
            figures.latest_useful_end.min(inherited.map_or(f64::MAX, |demand| demand.latest_useful_end));
        InheritedPriority {
            priority: figures.priority.max(inherited.map_or(0, |demand| demand.priority)),
            deadline: deadline - figures.expected_duration_s,
            latest_useful_end: latest_useful_end - figures.expected_duration_s,
        }
    });
    demands.reduce(|a, b| InheritedPriority {
        priority: a.priority.max(b.priority),
        deadline: a.deadline.min(b.deadline),
        latest_useful_end: a.latest_useful_end.min(b.latest_useful_end),
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(36),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Adds and ends jobs in random orders that the protocol allows. Each job must become ready or
    /// cancelled exactly when the stored outcomes say so, and at most once, and the graph must keep
    /// nothing about ended jobs.
    #[test]
    fn effects_follow_from_the_facts(seed in any::<u64>(), jobs in 1usize..30) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut model = Model::new(random_dag(&mut rng, jobs));
        let mut graph = DependencyGraph::default();
        for _ in 0..jobs * 6 {
            let effects = if model.added < jobs && rng.gen_bool(0.4) {
                model.add_next(&mut graph)
            } else {
                let Some(effects) = model.end_random_job(&mut graph, &mut rng) else { continue };
                effects
            };
            model.check_effects(&effects)?;
            model.check_graph(&graph)?;
        }
        // After all jobs have ended, no record is needed for a dependent any more.
        for job in 0..model.added {
            graph.on_ready_stored(&id(job));
            graph.record_outcome(&id(job), JobOutcome::Cancelled);
        }
        prop_assert!((0..jobs).all(|job| !graph.has_dependents(&id(job)) && !graph.is_waiting(&id(job))));
        prop_assert_eq!(graph.unknown().count(), 0);
    }

    /// A job must inherit the strictest demands of all paths through its dependents.
    #[test]
    fn priorities_are_inherited_along_every_path(seed in any::<u64>(), jobs in 2usize..14) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let dependencies = random_dag(&mut rng, jobs);
        let own: Vec<OwnPriority> = (0..jobs)
            .map(|_| OwnPriority {
                priority: rng.gen_range(0..4),
                deadline: if rng.gen_bool(0.3) { rng.gen_range(10.0..500.0) } else { 1e9 },
                latest_useful_end: 2e9,
                expected_duration_s: rng.gen_range(1.0..50.0),
            })
            .collect();
        let mut graph = DependencyGraph::default();
        for (job, dependencies) in dependencies.iter().enumerate() {
            let ids: Vec<String> = dependencies.iter().map(|&job| id(job)).collect();
            graph.add(&id(job), &ids, |_| None, |_| true);
        }
        let inherited = graph.inherited_priorities(|id| Some(own[number(id)]));
        for job in 0..jobs {
            let expected = inherited_by_all_paths(job, &dependencies, &own);
            prop_assert_eq!(inherited.get(&id(job)[..]).copied(), expected, "{}", job);
        }
    }
}

/// Long chains and jobs with many dependents must not overflow the stack or visit an edge more than
/// once: a chain of 5,000 jobs, and a job with 10,000 dependents.
#[test]
fn long_chains_and_wide_fans_end() {
    let mut graph = DependencyGraph::default();
    for job in 1..5_000 {
        graph.add(&id(job), &[id(job - 1)], |_| None, |_| true);
    }
    let own = OwnPriority { priority: 1, deadline: 1e6, latest_useful_end: 1e6, expected_duration_s: 1.0 };
    let inherited = graph.inherited_priorities(|_| Some(own));
    assert_eq!(inherited["req-0"].deadline, 1e6 - 4_999.0);
    assert_eq!(graph.record_outcome("req-0", JobOutcome::Cancelled).cancelled.len(), 4_999);
    for job in 1..10_000 {
        graph.add(&id(job), &[id(0)], |_| None, |_| true);
    }
    assert_eq!(graph.record_outcome("req-0", JobOutcome::Done).ready.len(), 9_999);
}

/// A dependency whose state is not known stays unknown until its outcome is recorded or no job waits
/// for it.
#[test]
fn dependencies_stay_unknown_while_a_job_waits_for_them() {
    let mut graph = DependencyGraph::default();
    let dependencies = [id(7), id(8)];
    let effects = graph.add("req-1", &dependencies, |_| None, |id| id == "req-7");
    assert_eq!(effects, GraphEffects::default());
    assert_eq!(graph.unknown().collect::<Vec<_>>(), ["req-8"]);
    graph.record_outcome("req-8", JobOutcome::Done);
    assert_eq!((graph.unknown().count(), graph.is_waiting("req-1")), (0, true));
    assert_eq!(graph.record_outcome("req-7", JobOutcome::Done).ready, ["req-1"]);
    // The stored record still names both dependencies, so the next leader will need their outcomes.
    assert!(graph.has_dependents("req-7") && graph.has_dependents("req-8"));
    assert_eq!(graph.on_ready_stored("req-1"), ["req-7", "req-8"]);
    assert!(!graph.has_dependents("req-7"));
}
