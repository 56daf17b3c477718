//! Dependency graph of jobs, and the effects of a job's outcome on its dependents.

use std::collections::{BTreeMap, BTreeSet};

/// Final outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks of the job are done.
    Done,
    /// The job was cancelled, by its user or with one of its dependencies.
    Cancelled,
}

/// Effects of a recorded fact on the jobs of the graph.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct GraphEffects {
    /// Jobs whose dependencies are all done.
    pub ready: Vec<String>,
    /// Jobs that are cancelled with one of their direct or indirect dependencies. None of their tasks
    /// has ever started.
    pub cancelled: Vec<String>,
    /// Dependencies that no stored record names any more.
    pub unreferenced: Vec<String>,
}

/// Live job with dependencies.
#[derive(Debug, Default)]
struct WaitingJob {
    /// All dependencies that its stored record names.
    dependencies: BTreeSet<String>,
    /// Dependencies that are not known to be done.
    unfinished: BTreeSet<String>,
}

/// Graph of the live jobs with dependencies, and of these dependencies.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    /// Live jobs with dependencies, by id.
    waiting_jobs: BTreeMap<String, WaitingJob>,
    /// Jobs whose stored record names a dependency, by that dependency, which may have ended.
    dependents: BTreeMap<String, BTreeSet<String>>,
    /// Dependencies whose state is not known yet.
    unknown: BTreeSet<String>,
}

impl DependencyGraph {
    /// Adds a live job. `outcome` returns the outcome of a dependency, `None` while it has none;
    /// `is_live` returns whether a dependency is known to be live. A dependency that has no outcome
    /// and is not known to be live becomes [`DependencyGraph::unknown`].
    pub fn add(
        &mut self,
        id: &str,
        dependencies: &[String],
        outcome: impl Fn(&str) -> Option<JobOutcome>,
        is_live: impl Fn(&str) -> bool,
    ) -> GraphEffects {
        let mut effects = GraphEffects::default();
        if self.waiting_jobs.contains_key(id) || dependencies.is_empty() {
            return effects;
        }
        let mut unfinished = BTreeSet::new();
        let mut has_cancelled_dependency = false;
        for dependency in dependencies {
            match outcome(dependency) {
                Some(JobOutcome::Done) => {}
                Some(JobOutcome::Cancelled) => has_cancelled_dependency = true,
                None => {
                    unfinished.insert(dependency.clone());
                    if !is_live(dependency) {
                        self.unknown.insert(dependency.clone());
                    }
                }
            }
            self.dependents.entry(dependency.clone()).or_default().insert(id.to_string());
        }
        let is_ready = unfinished.is_empty();
        let dependencies = dependencies.iter().cloned().collect();
        self.waiting_jobs.insert(id.to_string(), WaitingJob { dependencies, unfinished });
        if has_cancelled_dependency {
            self.cancel_with_dependents(id, &mut effects);
        } else if is_ready {
            effects.ready.push(id.to_string());
        }
        effects
    }

    /// Records that a job has ended and that its outcome is stored.
    pub fn record_outcome(&mut self, id: &str, outcome: JobOutcome) -> GraphEffects {
        let mut effects = GraphEffects::default();
        self.unknown.remove(id);
        if outcome == JobOutcome::Cancelled {
            // The job may have been cancelled while it had unfinished dependencies itself.
            self.remove(id, &mut effects);
        }
        let Some(dependents) = self.dependents.get(id) else { return effects };
        for dependent in dependents.iter().cloned().collect::<Vec<_>>() {
            let Some(waiting_job) = self.waiting_jobs.get_mut(&dependent) else { continue };
            match outcome {
                JobOutcome::Cancelled => self.cancel_with_dependents(&dependent, &mut effects),
                JobOutcome::Done => {
                    let was_unfinished = waiting_job.unfinished.remove(id);
                    if was_unfinished && waiting_job.unfinished.is_empty() {
                        effects.ready.push(dependent);
                    }
                }
            }
        }
        effects
    }

    /// Cancels a job and all jobs that depend on it, directly or indirectly. Uses a work list instead of
    /// recursion, because a chain may have thousands of jobs.
    fn cancel_with_dependents(&mut self, first: &str, effects: &mut GraphEffects) {
        let mut to_cancel = vec![first.to_string()];
        while let Some(id) = to_cancel.pop() {
            if !self.waiting_jobs.contains_key(&id) {
                continue;
            }
            self.remove(&id, effects);
            self.unknown.remove(&id);
            to_cancel.extend(self.dependents.get(&id).into_iter().flatten().cloned());
            effects.cancelled.push(id);
        }
    }

    /// Removes a job whose stored record no longer names dependencies or is no longer needed.
    fn remove(&mut self, id: &str, effects: &mut GraphEffects) {
        let Some(waiting_job) = self.waiting_jobs.remove(id) else { return };
        for dependency in waiting_job.dependencies {
            let Some(dependents) = self.dependents.get_mut(&dependency) else { continue };
            dependents.remove(id);
            if dependents.is_empty() {
                self.dependents.remove(&dependency);
                self.unknown.remove(&dependency);
                effects.unreferenced.push(dependency);
            }
        }
    }

    /// Records that a ready job is stored as ready, so that its record names no dependencies any more.
    /// Returns the jobs that no stored record names any more because of that.
    pub fn on_ready_stored(&mut self, id: &str) -> Vec<String> {
        let mut effects = GraphEffects::default();
        if self.waiting_jobs.get(id).is_some_and(|job| job.unfinished.is_empty()) {
            self.remove(id, &mut effects);
        }
        effects.unreferenced
    }

    /// Whether a job may not start yet.
    pub fn is_waiting(&self, id: &str) -> bool {
        self.waiting_jobs.get(id).is_some_and(|job| !job.unfinished.is_empty())
    }

    /// Returns the number of a job's dependencies that are not known to be done.
    pub fn unfinished_dependencies(&self, id: &str) -> usize {
        self.waiting_jobs.get(id).map_or(0, |job| job.unfinished.len())
    }

    /// Whether the stored record of a live job names this job, so that the next leader will need its
    /// outcome.
    pub fn has_dependents(&self, id: &str) -> bool {
        self.dependents.contains_key(id)
    }

    /// Returns the dependencies whose state is not known, so that their records have to be read.
    pub fn unknown(&self) -> impl Iterator<Item = &String> {
        self.unknown.iter()
    }

    /// Records that the state of a job is no longer known. If another job waits for it, it becomes
    /// [`DependencyGraph::unknown`].
    pub fn mark_unknown(&mut self, id: &str) {
        if self.waiting_dependents(id).next().is_some() {
            self.unknown.insert(id.to_string());
        }
    }

    /// Records that a job is live.
    pub fn mark_known(&mut self, id: &str) {
        self.unknown.remove(id);
    }

    /// Returns the number of jobs that may not start yet.
    pub fn waiting_count(&self) -> usize {
        self.waiting_jobs.values().filter(|job| !job.unfinished.is_empty()).count()
    }

    /// Returns all jobs on which others depend, including jobs that have ended.
    pub(crate) fn dependencies(&self) -> impl Iterator<Item = &str> {
        self.dependents.keys().map(String::as_str)
    }

    /// Returns the jobs that depend on this job and for which it is not known to be done.
    pub(crate) fn waiting_dependents<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a str> {
        let dependents = self.dependents.get(id).into_iter().flatten();
        dependents.map(String::as_str).filter(move |dependent| {
            self.waiting_jobs.get(*dependent).is_some_and(|job| job.unfinished.contains(id))
        })
    }
}
