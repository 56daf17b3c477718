//! How urgent a job is, by itself and for those that need it: a pipeline's users set the
//! deadline, and the priority that they care about, on its last job only.

use crate::leader::state::{LeaderState, Role};
use crate::model::job::Job;
use crate::scheduling::planning::{band, ClassStats};
use crate::Controller;
use dependencies::{InheritedPriority, OwnPriority};
use protocol::job::{JobSpec, Priority, Shape};
use std::collections::HashMap;

/// No deadline.
pub(crate) const NEVER: f64 = f64::MAX / 4.0;

/// What the plan goes by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct EffectivePriority {
    pub priority: u8,
    pub deadline: f64,
    pub latest_useful_end: f64,
    /// Others need it, or usually need jobs of its class.
    pub has_dependents: bool,
}

/// What was asked of a class's jobs lately by those that needed them: some pipelines'
/// last jobs are submitted only when the others are over.
#[derive(Debug, Clone, Default)]
pub struct InheritedDemand {
    /// Part of the class's jobs that others needed.
    dependent_share: f64,
    priority: u8,
    /// From when such a job could start to when it had to be done, mean.
    within_s: f64,
}

/// Weight of a job in what is learned of its class.
const WEIGHT: f64 = 0.125;

impl InheritedDemand {
    /// A job of the class is done that was free at `since`.
    fn record(&mut self, since: f64, passed: Option<&InheritedPriority>) {
        let first = self.dependent_share == 0.0;
        let weight = if first { 1.0 } else { WEIGHT };
        self.dependent_share += (f64::from(u8::from(passed.is_some())) - self.dependent_share) * weight;
        if let Some(p) = passed.filter(|p| p.deadline < NEVER / 2.0) {
            self.priority = p.priority;
            let within_s = (p.deadline - since).max(0.0);
            self.within_s += (within_s - self.within_s) * if self.within_s == 0.0 { 1.0 } else { WEIGHT };
        }
    }

    /// What will probably be asked of a job that was free at `since`.
    fn expect(&self, since: f64) -> Option<(u8, f64)> {
        (self.dependent_share > 0.5 && self.within_s > 0.0).then_some((self.priority, since + self.within_s))
    }
}

impl LeaderState {
    /// Job `id` is done: what was asked of it is what will be asked of its class.
    pub(crate) fn learn_inherited_priority(&mut self, id: &str) {
        let Some(job) = self.cluster.jobs.get(id) else { return };
        let known = self.planning.classes.get(&job.spec.class);
        // Most classes have nothing to do with pipelines.
        if job.inherited_priority.is_none() && known.is_none_or(|c| c.inherited_demand.dependent_share == 0.0)
        {
            return;
        }
        let stats = self.planning.classes.entry(job.spec.class.clone()).or_default();
        stats.inherited_demand.record(job.ready_at, job.inherited_priority.as_ref());
    }
}

impl Controller {
    /// Up to how many times its deadline a job of a class still counts.
    fn max_deadline_factor(&self, class: &str) -> f64 {
        let aims = &self.settings.params.slos;
        let times = aims.iter().filter(|o| o.kind == "deadline" && o.class.as_deref() == Some(class));
        times.filter_map(|o| o.deadline_factor).fold(1.0, f64::max)
    }

    /// When its owner wants it done: by its deadline, else by the hardest of its class's
    /// aims at being finished, if there is one.
    pub(crate) fn due_by(&self, job: &Job) -> f64 {
        let aims = self.settings.params.slos.iter();
        let mine = aims.filter(|o| o.kind == "finished" && o.class.as_deref() == Some(&job.spec.class));
        let within = mine.filter_map(|o| o.threshold_s).fold(NEVER, f64::min);
        job.spec.deadline_s.map_or(job.ready_at + within, |due| job.submitted_at + due)
    }

    fn deadline(&self, job: &Job, times: f64) -> f64 {
        let s = &job.spec;
        if let Some(d) = s.deadline_s {
            return job.submitted_at + d * times;
        }
        let within = |kind: &str| {
            self.settings
                .params
                .slos
                .iter()
                .find(|o| o.kind == kind && o.class.as_deref() == Some(&s.class))
                .and_then(|o| o.threshold_s)
        };
        // Its class's aims stand in for a deadline: done by one aim, or
        // started by the other and then run.
        let done = within("finished");
        let started = within("wait").map(|w| w + s.estimated_run_s);
        match (done, started) {
            (Some(a), Some(b)) => job.ready_at + a.min(b),
            (Some(a), None) | (None, Some(a)) => job.ready_at + a,
            (None, None) => NEVER,
        }
    }

    /// Work that nobody waits for: idle, without a deadline or an aim.
    pub(crate) fn is_best_effort(&self, spec: &JobSpec) -> bool {
        let aimed = |o: &settings::Slo| o.class.as_deref() == Some(&spec.class);
        let plain = spec.priority == Priority::Low && spec.deadline_s.is_none() && spec.shape == Shape::Array;
        plain && !self.settings.params.slos.iter().any(aimed)
    }

    /// From the end of what a job awaits to its own end, as expected: a report's way, its
    /// image and its run.
    fn expected_duration_s(&self, job: &Job, ratio: f64) -> f64 {
        let rates = self.machine_types.iter().flatten().map(|t| t.fetch_gb_per_s).filter(|r| *r > 0.0);
        let fetch_s = job.spec.image_gb / rates.fold(f64::MAX, f64::min);
        self.expected_run(job, ratio) + fetch_s + self.settings.params.workers.heartbeat_interval_s / 2.0
    }

    /// What those that need them ask of the jobs before.
    pub(crate) fn inherited_priorities(&self) -> HashMap<String, InheritedPriority> {
        let Role::Leader(leader) = &self.role else { return HashMap::new() };
        let ratio = |class: &str| leader.planning.classes.get(class).map_or(1.0, ClassStats::run_time_ratio);
        let own = |id: &str| {
            let job = leader.cluster.jobs.get(id)?;
            let s = &job.spec;
            // An aim at its start or end counts from when it is free, which is its own
            // affair: what is passed back is the pipeline's deadline.
            let due = |times: f64| s.deadline_s.map_or(NEVER, |d| job.submitted_at + d * times);
            Some(OwnPriority {
                priority: band(s),
                deadline: due(1.0),
                latest_useful_end: due(self.max_deadline_factor(&s.class)),
                expected_duration_s: self.expected_duration_s(job, ratio(&s.class)),
            })
        };
        let passed = leader.dependencies.graph.inherited_priorities(own);
        passed.into_iter().map(|(id, p)| (id.to_string(), p)).collect()
    }

    /// How urgent `job` is, given what is asked of it.
    pub(crate) fn effective_priority(
        &self,
        job: &Job,
        passed: Option<&InheritedPriority>,
    ) -> EffectivePriority {
        let s = &job.spec;
        let mut u = EffectivePriority {
            priority: band(s),
            deadline: self.deadline(job, 1.0),
            latest_useful_end: self.deadline(job, self.max_deadline_factor(&s.class)),
            has_dependents: passed.is_some(),
        };
        if let Some(p) = passed {
            u.priority = u.priority.max(p.priority);
            u.deadline = u.deadline.min(p.deadline);
            u.latest_useful_end = u.latest_useful_end.min(p.latest_useful_end);
        }
        let open_ended = s.deadline_s.is_none() && passed.is_none_or(|p| p.deadline > NEVER / 2.0);
        if let (Role::Leader(leader), true) = (&self.role, open_ended) {
            let usual =
                leader.planning.classes.get(&s.class).and_then(|c| c.inherited_demand.expect(job.ready_at));
            if let Some((band, deadline)) = usual {
                u.priority = u.priority.max(band);
                u.deadline = u.deadline.min(deadline);
                u.latest_useful_end = u.latest_useful_end.min(deadline);
                u.has_dependents = true;
            }
        }
        u
    }
}
