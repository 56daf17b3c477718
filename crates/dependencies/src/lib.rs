//! Who waits for whom among the jobs that a leader knows.
//!
//! A job that awaits others starts after all of them are done, and is cancelled with the
//! first of them that is. Both follow from facts that are stored for good: this module is
//! told of such facts only, never of what a leader is about to store. It holds live
//! jobs and what they wait for, nothing of history, and has neither clock nor I/O.
//! `docs/pipelines.md` has the argument.

mod inheritance;

pub use inheritance::{InheritedPriority, OwnPriority};

use std::collections::{BTreeMap, BTreeSet};

/// How a job has ended, for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    Done,
    Cancelled,
}

/// What follows from a fact.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct GraphEffects {
    /// Jobs that wait for nothing any more.
    pub ready: Vec<String>,
    /// Jobs that are cancelled with it, directly or through others. None of their tasks has
    /// ever started.
    pub cancelled: Vec<String>,
    /// Jobs that are over and that no stored record waits for any more.
    pub forgotten: Vec<String>,
}

/// A job that awaits others.
#[derive(Debug, Default)]
struct WaitingJob {
    /// All that its stored record names.
    dependencies: BTreeSet<String>,
    /// Those of them that are not known to be done.
    unfinished: BTreeSet<String>,
}

/// Live jobs that wait, and what they wait for.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    waiting_jobs: BTreeMap<String, WaitingJob>,
    /// By awaited job, over or not: the waiters whose stored record names it.
    dependents: BTreeMap<String, BTreeSet<String>>,
    /// Awaited jobs of which nothing is known yet.
    unknown: BTreeSet<String>,
}

impl DependencyGraph {
    /// Live job `id` awaits others. `fate` tells of each whether it is over, or None while
    /// it lives; `live` whether it is known to live. What neither knows is [`DependencyGraph::unknown`].
    pub fn add(
        &mut self,
        id: &str,
        awaits: &[String],
        fate: impl Fn(&str) -> Option<JobOutcome>,
        live: impl Fn(&str) -> bool,
    ) -> GraphEffects {
        if self.waiting_jobs.contains_key(id) || awaits.is_empty() {
            return GraphEffects::default();
        }
        let mut waiter =
            WaitingJob { dependencies: awaits.iter().cloned().collect(), ..WaitingJob::default() };
        let mut cancelled = false;
        for a in awaits {
            match fate(a) {
                Some(JobOutcome::Done) => {}
                Some(JobOutcome::Cancelled) => cancelled = true,
                None => {
                    waiter.unfinished.insert(a.clone());
                    if !live(a) {
                        self.unknown.insert(a.clone());
                    }
                }
            }
            self.dependents.entry(a.clone()).or_default().insert(id.to_string());
        }
        let free = waiter.unfinished.is_empty();
        self.waiting_jobs.insert(id.to_string(), waiter);
        let mut effects = GraphEffects::default();
        if cancelled {
            self.cancel_dependents(id, &mut effects);
        } else if free {
            effects.ready.push(id.to_string());
        }
        effects
    }

    /// Job `id` is over, and that is stored.
    pub fn record_outcome(&mut self, id: &str, fate: JobOutcome) -> GraphEffects {
        let mut effects = GraphEffects::default();
        self.unknown.remove(id);
        if fate == JobOutcome::Cancelled {
            // Its user cancelled it while it waited itself, or one before it was.
            self.forget(id, &mut effects);
        }
        let Some(names) = self.dependents.get(id) else { return effects };
        for name in names.iter().cloned().collect::<Vec<_>>() {
            let Some(w) = self.waiting_jobs.get_mut(&name) else { continue };
            match fate {
                JobOutcome::Cancelled => self.cancel_dependents(&name, &mut effects),
                JobOutcome::Done => {
                    if w.unfinished.remove(id) && w.unfinished.is_empty() {
                        effects.ready.push(name);
                    }
                }
            }
        }
        effects
    }

    /// Takes `first` and all that need it out. (By a list, not by recursion: a chain may
    /// have thousands of jobs.)
    fn cancel_dependents(&mut self, first: &str, effects: &mut GraphEffects) {
        let mut left = vec![first.to_string()];
        while let Some(id) = left.pop() {
            if !self.waiting_jobs.contains_key(&id) {
                continue;
            }
            self.forget(&id, effects);
            self.unknown.remove(&id);
            left.extend(self.dependents.get(&id).into_iter().flatten().cloned());
            effects.cancelled.push(id);
        }
    }

    /// `id` waits for nothing any more, and its record says so or no longer matters.
    fn forget(&mut self, id: &str, effects: &mut GraphEffects) {
        let Some(w) = self.waiting_jobs.remove(id) else { return };
        for a in w.dependencies {
            let Some(names) = self.dependents.get_mut(&a) else { continue };
            names.remove(id);
            if names.is_empty() {
                self.dependents.remove(&a);
                self.unknown.remove(&a);
                effects.forgotten.push(a);
            }
        }
    }

    /// It is stored that `id` was freed: its record names nobody any more. Returns the
    /// jobs that nobody names since.
    pub fn on_ready_stored(&mut self, id: &str) -> Vec<String> {
        let mut effects = GraphEffects::default();
        if self.waiting_jobs.get(id).is_some_and(|w| w.unfinished.is_empty()) {
            self.forget(id, &mut effects);
        }
        effects.forgotten
    }

    /// Whether `id` may not start yet.
    pub fn is_waiting(&self, id: &str) -> bool {
        self.waiting_jobs.get(id).is_some_and(|w| !w.unfinished.is_empty())
    }

    /// How many jobs of `id`'s are not known to be done.
    pub fn unfinished_dependencies(&self, id: &str) -> usize {
        self.waiting_jobs.get(id).map_or(0, |w| w.unfinished.len())
    }

    /// Whether the stored record of a live job names `id`, so that the next leader will
    /// ask how it ended.
    pub fn has_dependents(&self, id: &str) -> bool {
        self.dependents.contains_key(id)
    }

    /// Awaited jobs of which nothing is known: their records have to be read.
    pub fn unknown(&self) -> impl Iterator<Item = &String> {
        self.unknown.iter()
    }

    /// Nothing is known of `id` any more: if somebody waits for it, it is asked for.
    pub fn mark_unknown(&mut self, id: &str) {
        if self.dependents_of(id).next().is_some() {
            self.unknown.insert(id.to_string());
        }
    }

    /// `id` lives.
    pub fn mark_known(&mut self, id: &str) {
        self.unknown.remove(id);
    }

    /// Jobs that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting_jobs.values().filter(|w| !w.unfinished.is_empty()).count()
    }

    /// The waiters that need `id` and do not know it done yet.
    fn dependents_of<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a str> {
        let names = self.dependents.get(id).into_iter().flatten();
        names
            .map(String::as_str)
            .filter(move |n| self.waiting_jobs.get(*n).is_some_and(|w| w.unfinished.contains(id)))
    }
}
