//! Effective priorities: the priority and deadline of a job, raised by those of the jobs that depend
//! on it. Users set the deadline and priority of a dependency chain only on its last job.

use crate::leader::state::{LeaderState, Role};
use crate::model::job::Job;
use crate::scheduling::planner_input::{expected_run_s, run_time_ratio};
use crate::Controller;
use dependencies::{InheritedPriority, OwnPriority};
use protocol::job::{JobSpec, Priority, Shape};
use settings::Slo;
use std::collections::HashMap;

/// Time that stands for "no deadline".
pub(crate) const NO_DEADLINE: f64 = f64::MAX / 4.0;

/// Time from which on a deadline counts as none.
const MAX_DEADLINE: f64 = NO_DEADLINE / 2.0;

/// Priority and deadline of a job, raised by the jobs that depend on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct EffectivePriority {
    /// Priority level, 0 to 3 (see `priority_level`).
    pub priority: u8,
    /// Time by which the job should be done, or `NO_DEADLINE`.
    pub deadline: f64,
    /// Latest end at which the job is still useful, or `NO_DEADLINE`.
    pub latest_useful_end: f64,
    /// Whether other jobs depend on it, or usually depend on jobs of its class.
    pub has_dependents: bool,
}

impl EffectivePriority {
    /// Raises the priority and deadline to those that dependents require.
    fn raise(&mut self, priority: u8, deadline: f64, latest_useful_end: f64) {
        self.priority = self.priority.max(priority);
        self.deadline = self.deadline.min(deadline);
        self.latest_useful_end = self.latest_useful_end.min(latest_useful_end);
        self.has_dependents = true;
    }
}

/// Returns the numeric level of a job's priority, 0 to 3; larger is more urgent.
pub(crate) fn priority_level(spec: &JobSpec) -> u8 {
    match spec.priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Production => 3,
    }
}

/// Statistics of the priorities and deadlines that jobs of a class inherited recently. They predict
/// the demand of dependents that are not submitted yet: the last jobs of some dependency chains are
/// submitted only when the others are done.
#[derive(Debug, Clone, Default)]
pub struct InheritedDemand {
    /// Fraction of the class's jobs that had dependents.
    dependent_share: f64,
    /// Priority that the last such job inherited.
    priority: u8,
    /// Mean time from the moment such a job could start to its inherited deadline, in seconds.
    mean_time_to_deadline_s: f64,
}

/// Priority and deadline that a job will probably inherit.
struct ExpectedDemand {
    priority: u8,
    deadline: f64,
}

/// Weight of a job in the moving averages of its class.
const SMOOTHING_FACTOR: f64 = 0.125;

impl InheritedDemand {
    /// Records a finished job of the class that could start at `ready_at`.
    fn record(&mut self, ready_at: f64, inherited: Option<&InheritedPriority>) {
        let is_first = self.dependent_share == 0.0;
        let weight = if is_first { 1.0 } else { SMOOTHING_FACTOR };
        let had_dependents = f64::from(u8::from(inherited.is_some()));
        self.dependent_share += (had_dependents - self.dependent_share) * weight;
        if let Some(inherited) = inherited.filter(|inherited| inherited.deadline < MAX_DEADLINE) {
            self.priority = inherited.priority;
            let time_to_deadline_s = (inherited.deadline - ready_at).max(0.0);
            let weight = if self.mean_time_to_deadline_s == 0.0 { 1.0 } else { SMOOTHING_FACTOR };
            self.mean_time_to_deadline_s += (time_to_deadline_s - self.mean_time_to_deadline_s) * weight;
        }
    }

    /// Returns the demand that a job that could start at `ready_at` will probably inherit, or None if
    /// jobs of the class usually have no dependents with a deadline.
    fn expected_for(&self, ready_at: f64) -> Option<ExpectedDemand> {
        let usually_has_dependents = self.dependent_share > 0.5 && self.mean_time_to_deadline_s > 0.0;
        let expected =
            ExpectedDemand { priority: self.priority, deadline: ready_at + self.mean_time_to_deadline_s };
        usually_has_dependents.then_some(expected)
    }
}

impl LeaderState {
    /// Adds the priority that job `id` inherited to the statistics of its class. Called when the job
    /// is done.
    pub(crate) fn record_inherited_priority(&mut self, id: &str) {
        let Some(job) = self.cluster.jobs.get(id) else { return };
        let class_stats = self.planning.classes.get(&job.spec.class);
        // Most classes never take part in dependencies.
        let never_had_dependents =
            class_stats.is_none_or(|stats| stats.inherited_demand.dependent_share == 0.0);
        if job.inherited_priority.is_none() && never_had_dependents {
            return;
        }
        let stats = self.planning.classes.entry(job.spec.class.clone()).or_default();
        stats.inherited_demand.record(job.ready_at, job.inherited_priority.as_ref());
    }
}

fn is_of_class(slo: &Slo, class: &str) -> bool {
    slo.class.as_deref() == Some(class)
}

impl Controller {
    /// Returns the largest multiple of its deadline at which a job of the class is still useful.
    fn max_deadline_factor(&self, class: &str) -> f64 {
        let slos = self.settings.params.slos.iter();
        let deadlines = slos.filter(|slo| slo.kind == "deadline" && is_of_class(slo, class));
        deadlines.filter_map(|slo| slo.deadline_factor).fold(1.0, f64::max)
    }

    /// Returns the time by which the owner expects the job to be done: its deadline, or else the time
    /// set by the strictest "finished" objective of its class, or else a time of about `NO_DEADLINE`.
    pub(crate) fn due_by(&self, job: &Job) -> f64 {
        let slos = self.settings.params.slos.iter();
        let finished = slos.filter(|slo| slo.kind == "finished" && is_of_class(slo, &job.spec.class));
        let threshold_s = finished.filter_map(|slo| slo.threshold_s).fold(NO_DEADLINE, f64::min);
        job.spec.deadline_s.map_or(job.ready_at + threshold_s, |due_s| job.submitted_at + due_s)
    }

    /// Returns the threshold of the class's first objective of that kind, in seconds.
    fn objective_s(&self, kind: &str, class: &str) -> Option<f64> {
        let mut slos = self.settings.params.slos.iter();
        slos.find(|slo| slo.kind == kind && is_of_class(slo, class)).and_then(|slo| slo.threshold_s)
    }

    /// Returns the deadline of a job, with its length multiplied by `factor`. For a job without a
    /// deadline, it follows from the objectives of its class: the "finished" objective, or the "wait"
    /// objective plus the estimated run time, whichever is earlier.
    fn deadline(&self, job: &Job, factor: f64) -> f64 {
        let spec = &job.spec;
        if let Some(deadline_s) = spec.deadline_s {
            return job.submitted_at + deadline_s * factor;
        }
        let done_s = self.objective_s("finished", &spec.class);
        let started_s = self.objective_s("wait", &spec.class).map(|wait_s| wait_s + spec.estimated_run_s);
        match (done_s, started_s) {
            (Some(done_s), Some(started_s)) => job.ready_at + done_s.min(started_s),
            (Some(due_s), None) | (None, Some(due_s)) => job.ready_at + due_s,
            (None, None) => NO_DEADLINE,
        }
    }

    /// Whether a job is best-effort work: an array of low priority without a deadline or objective.
    pub(crate) fn is_best_effort(&self, spec: &JobSpec) -> bool {
        let has_no_deadline =
            spec.priority == Priority::Low && spec.deadline_s.is_none() && spec.shape == Shape::Array;
        has_no_deadline && !self.settings.params.slos.iter().any(|slo| is_of_class(slo, &spec.class))
    }

    /// Returns the expected time from the end of a job's dependencies to its own end: half a heartbeat
    /// interval, the fetch of its image, and its run time.
    fn expected_duration_s(&self, job: &Job, ratio: f64) -> f64 {
        let rates = self.machine_types.iter().flatten().map(|machine_type| machine_type.fetch_gb_per_s);
        let slowest_rate = rates.filter(|rate| *rate > 0.0).fold(f64::MAX, f64::min);
        let fetch_s = job.spec.image_gb / slowest_rate;
        expected_run_s(job, ratio) + fetch_s + self.settings.params.workers.heartbeat_interval_s / 2.0
    }

    /// Returns the priorities that jobs inherit from their dependents, by job id.
    pub(crate) fn inherited_priorities(&self) -> HashMap<String, InheritedPriority> {
        let Role::Leader(leader) = &self.role else { return HashMap::new() };
        let own_priority = |id: &str| leader.cluster.jobs.get(id).map(|job| self.own_priority(leader, job));
        let inherited = leader.dependencies.graph.inherited_priorities(own_priority);
        inherited.into_iter().map(|(id, priority)| (id.to_string(), priority)).collect()
    }

    /// Returns the priority and deadline of a job that its dependencies inherit. Objectives for the
    /// start or end of the job do not affect the deadline, because objectives are measured from the
    /// time when the job could start.
    fn own_priority(&self, leader: &LeaderState, job: &Job) -> OwnPriority {
        let spec = &job.spec;
        let due = |factor: f64| {
            spec.deadline_s.map_or(NO_DEADLINE, |deadline_s| job.submitted_at + deadline_s * factor)
        };
        OwnPriority {
            priority: priority_level(spec),
            deadline: due(1.0),
            latest_useful_end: due(self.max_deadline_factor(&spec.class)),
            expected_duration_s: self.expected_duration_s(job, run_time_ratio(leader, spec)),
        }
    }

    /// Returns the effective priority of a job, given the priority inherited from its dependents.
    pub(crate) fn effective_priority(
        &self,
        job: &Job,
        inherited: Option<&InheritedPriority>,
    ) -> EffectivePriority {
        let spec = &job.spec;
        let mut effective = EffectivePriority {
            priority: priority_level(spec),
            deadline: self.deadline(job, 1.0),
            latest_useful_end: self.deadline(job, self.max_deadline_factor(&spec.class)),
            has_dependents: false,
        };
        if let Some(inherited) = inherited {
            effective.raise(inherited.priority, inherited.deadline, inherited.latest_useful_end);
        }
        let has_deadline = spec.deadline_s.is_some()
            || inherited.is_some_and(|inherited| inherited.deadline <= MAX_DEADLINE);
        if !has_deadline {
            if let Some(expected) = self.expected_demand(job) {
                effective.raise(expected.priority, expected.deadline, expected.deadline);
            }
        }
        effective
    }

    /// Returns the demand that jobs of its class usually inherit.
    fn expected_demand(&self, job: &Job) -> Option<ExpectedDemand> {
        let Role::Leader(leader) = &self.role else { return None };
        leader.planning.classes.get(&job.spec.class)?.inherited_demand.expected_for(job.ready_at)
    }
}
