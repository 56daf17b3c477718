//! How urgent a job is, by itself and for those that depend on it. The users of a dependency chain
//! set the deadline, and the priority that they care about, on its last job only.

use crate::leader::state::{LeaderState, Role};
use crate::model::job::Job;
use crate::scheduling::planner_input::{expected_run_s, run_time_ratio};
use crate::Controller;
use dependencies::{InheritedPriority, OwnPriority};
use protocol::job::{JobSpec, Priority, Shape};
use settings::Slo;
use std::collections::HashMap;

/// No deadline.
pub(crate) const NEVER: f64 = f64::MAX / 4.0;

/// Deadlines from then on are none.
const MAX_DEADLINE: f64 = NEVER / 2.0;

/// How urgent a job is, given the jobs that depend on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct EffectivePriority {
    /// As of `priority_level`, 0 to 3.
    pub priority: u8,
    /// When it should be done, or `NEVER`.
    pub deadline: f64,
    /// When it is of no use any more, or `NEVER`.
    pub latest_useful_end: f64,
    /// Others depend on it, or usually depend on jobs of its class.
    pub has_dependents: bool,
}

impl EffectivePriority {
    /// Raises it to what is asked of the job.
    fn raise(&mut self, priority: u8, deadline: f64, latest_useful_end: f64) {
        self.priority = self.priority.max(priority);
        self.deadline = self.deadline.min(deadline);
        self.latest_useful_end = self.latest_useful_end.min(latest_useful_end);
        self.has_dependents = true;
    }
}

/// The planner's number of a job's priority, 0 to 3.
pub(crate) fn priority_level(spec: &JobSpec) -> u8 {
    match spec.priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Production => 3,
    }
}

/// What dependent jobs asked of a class's jobs lately: the last jobs of some dependency chains are
/// submitted only when the others are done.
#[derive(Debug, Clone, Default)]
pub struct InheritedDemand {
    /// Part of the class's jobs that others depended on.
    dependent_share: f64,
    /// The priority of the last such job's dependents.
    priority: u8,
    /// Mean time from when such a job could start to when it had to be done, in seconds.
    within_s: f64,
}

/// What dependent jobs will probably ask of a job.
struct ExpectedDemand {
    priority: u8,
    deadline: f64,
}

/// Weight of a job in what is learned of its class.
const LEARNING_WEIGHT: f64 = 0.125;

impl InheritedDemand {
    /// Records a finished job of the class that could start at `ready_at`.
    fn record(&mut self, ready_at: f64, inherited: Option<&InheritedPriority>) {
        let is_first = self.dependent_share == 0.0;
        let weight = if is_first { 1.0 } else { LEARNING_WEIGHT };
        let had_dependents = f64::from(u8::from(inherited.is_some()));
        self.dependent_share += (had_dependents - self.dependent_share) * weight;
        if let Some(inherited) = inherited.filter(|inherited| inherited.deadline < MAX_DEADLINE) {
            self.priority = inherited.priority;
            let within_s = (inherited.deadline - ready_at).max(0.0);
            let weight = if self.within_s == 0.0 { 1.0 } else { LEARNING_WEIGHT };
            self.within_s += (within_s - self.within_s) * weight;
        }
    }

    /// What will probably be asked of a job that could start at `ready_at`.
    fn expect(&self, ready_at: f64) -> Option<ExpectedDemand> {
        let usually_has_dependents = self.dependent_share > 0.5 && self.within_s > 0.0;
        let expected = ExpectedDemand { priority: self.priority, deadline: ready_at + self.within_s };
        usually_has_dependents.then_some(expected)
    }
}

impl LeaderState {
    /// Job `id` is done: what was asked of it will be asked of its class.
    pub(crate) fn record_inherited_priority(&mut self, id: &str) {
        let Some(job) = self.cluster.jobs.get(id) else { return };
        let known = self.planning.classes.get(&job.spec.class);
        // Most classes have nothing to do with dependencies.
        let never_had_dependents = known.is_none_or(|stats| stats.inherited_demand.dependent_share == 0.0);
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
    /// Up to how many times its deadline a job of a class is still of use.
    fn max_deadline_factor(&self, class: &str) -> f64 {
        let slos = self.settings.params.slos.iter();
        let deadlines = slos.filter(|slo| slo.kind == "deadline" && is_of_class(slo, class));
        deadlines.filter_map(|slo| slo.deadline_factor).fold(1.0, f64::max)
    }

    /// When its owner wants it done: by its deadline, else by the strictest objective of its class
    /// for being finished, else `NEVER`, about.
    pub(crate) fn due_by(&self, job: &Job) -> f64 {
        let slos = self.settings.params.slos.iter();
        let finished = slos.filter(|slo| slo.kind == "finished" && is_of_class(slo, &job.spec.class));
        let within_s = finished.filter_map(|slo| slo.threshold_s).fold(NEVER, f64::min);
        job.spec.deadline_s.map_or(job.ready_at + within_s, |due_s| job.submitted_at + due_s)
    }

    /// The first objective of that kind for a class, in seconds.
    fn objective_s(&self, kind: &str, class: &str) -> Option<f64> {
        let mut slos = self.settings.params.slos.iter();
        slos.find(|slo| slo.kind == kind && is_of_class(slo, class)).and_then(|slo| slo.threshold_s)
    }

    /// A job's deadline, times `factor`. Without one, its class's objectives stand in for it: it is
    /// to be done by one, or started by the other and then run.
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
            (None, None) => NEVER,
        }
    }

    /// Best-effort work: an array of low priority without a deadline or objective.
    pub(crate) fn is_best_effort(&self, spec: &JobSpec) -> bool {
        let has_no_deadline =
            spec.priority == Priority::Low && spec.deadline_s.is_none() && spec.shape == Shape::Array;
        has_no_deadline && !self.settings.params.slos.iter().any(|slo| is_of_class(slo, &spec.class))
    }

    /// From the end of the jobs that it depends on to its own end, as expected: half a heartbeat
    /// interval, the fetch of its image, and its run.
    fn expected_duration_s(&self, job: &Job, ratio: f64) -> f64 {
        let rates = self.machine_types.iter().flatten().map(|machine_type| machine_type.fetch_gb_per_s);
        let slowest_rate = rates.filter(|rate| *rate > 0.0).fold(f64::MAX, f64::min);
        let fetch_s = job.spec.image_gb / slowest_rate;
        expected_run_s(job, ratio) + fetch_s + self.settings.params.workers.heartbeat_interval_s / 2.0
    }

    /// What dependent jobs ask of the jobs before them.
    pub(crate) fn inherited_priorities(&self) -> HashMap<String, InheritedPriority> {
        let Role::Leader(leader) = &self.role else { return HashMap::new() };
        let own_priority = |id: &str| leader.cluster.jobs.get(id).map(|job| self.own_priority(leader, job));
        let inherited = leader.dependencies.graph.inherited_priorities(own_priority);
        inherited.into_iter().map(|(id, priority)| (id.to_string(), priority)).collect()
    }

    /// What a job asks of those before it. An objective for its start or end counts from when it
    /// could start, and so asks nothing of them.
    fn own_priority(&self, leader: &LeaderState, job: &Job) -> OwnPriority {
        let spec = &job.spec;
        let due =
            |factor: f64| spec.deadline_s.map_or(NEVER, |deadline_s| job.submitted_at + deadline_s * factor);
        OwnPriority {
            priority: priority_level(spec),
            deadline: due(1.0),
            latest_useful_end: due(self.max_deadline_factor(&spec.class)),
            expected_duration_s: self.expected_duration_s(job, run_time_ratio(leader, spec)),
        }
    }

    /// How urgent a job is, given what its dependents ask of it.
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

    /// What dependents usually ask of jobs of its class.
    fn expected_demand(&self, job: &Job) -> Option<ExpectedDemand> {
        let Role::Leader(leader) = &self.role else { return None };
        leader.planning.classes.get(&job.spec.class)?.inherited_demand.expect(job.ready_at)
    }
}
