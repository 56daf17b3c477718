//! How urgent a job is, by itself and for those that need it: a pipeline's users set the
//! deadline, and the priority that they care about, on its last job only.

use crate::job::Job;
use crate::leader::{LeaderState, Role};
use crate::scheduling::{band, ClassStats};
use crate::Controller;
use dependencies::{InheritedPriority, OwnPriority};
use protocol::job::{JobSpec, Priority, Shape};
use std::collections::HashMap;

/// No deadline.
pub(crate) const NEVER: f64 = f64::MAX / 4.0;

/// What the plan goes by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct EffectivePriority {
    pub band: u8,
    pub deadline: f64,
    pub last_chance: f64,
    /// Others need it, or usually need jobs of its class.
    pub needed: bool,
}

/// What was asked of a class's jobs lately by those that needed them: some pipelines'
/// last jobs are submitted only when the others are over.
#[derive(Debug, Clone, Default)]
pub struct InheritedDemand {
    /// Part of the class's jobs that others needed.
    share: f64,
    band: u8,
    /// From when such a job could start to when it had to be done, mean.
    within_s: f64,
}

/// Weight of a job in what is learned of its class.
const WEIGHT: f64 = 0.125;

impl InheritedDemand {
    /// A job of the class is done that was free at `since`.
    fn learn(&mut self, since: f64, passed: Option<&InheritedPriority>) {
        let first = self.share == 0.0;
        let weight = if first { 1.0 } else { WEIGHT };
        self.share += (f64::from(u8::from(passed.is_some())) - self.share) * weight;
        if let Some(p) = passed.filter(|p| p.deadline < NEVER / 2.0) {
            self.band = p.band;
            let within_s = (p.deadline - since).max(0.0);
            self.within_s += (within_s - self.within_s) * if self.within_s == 0.0 { 1.0 } else { WEIGHT };
        }
    }

    /// What will probably be asked of a job that was free at `since`.
    fn expect(&self, since: f64) -> Option<(u8, f64)> {
        (self.share > 0.5 && self.within_s > 0.0).then_some((self.band, since + self.within_s))
    }
}

impl LeaderState {
    /// Job `id` is done: what was asked of it is what will be asked of its class.
    pub(crate) fn learn_passed(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id) else { return };
        let known = self.classes.get(&job.spec.class);
        // Most classes have nothing to do with pipelines.
        if job.passed.is_none() && known.is_none_or(|c| c.needed.share == 0.0) {
            return;
        }
        let stats = self.classes.entry(job.spec.class.clone()).or_default();
        stats.needed.learn(job.since, job.passed.as_ref());
    }
}

impl Controller {
    /// Up to how many times its deadline a job of a class still counts.
    fn last_times(&self, class: &str) -> f64 {
        let aims = &self.settings.params.objectives;
        let times = aims.iter().filter(|o| o.kind == "deadline" && o.class.as_deref() == Some(class));
        times.filter_map(|o| o.times).fold(1.0, f64::max)
    }

    /// When its owner wants it done: by its deadline, else by the hardest of its class's
    /// aims at being finished, if there is one.
    pub(crate) fn wanted_by(&self, job: &Job) -> f64 {
        let aims = self.settings.params.objectives.iter();
        let mine = aims.filter(|o| o.kind == "finished" && o.class.as_deref() == Some(&job.spec.class));
        let within = mine.filter_map(|o| o.within_s).fold(NEVER, f64::min);
        job.spec.due_s.map_or(job.since + within, |due| job.submitted + due)
    }

    fn deadline(&self, job: &Job, times: f64) -> f64 {
        let s = &job.spec;
        if let Some(d) = s.due_s {
            return job.submitted + d * times;
        }
        let within = |kind: &str| {
            self.settings
                .params
                .objectives
                .iter()
                .find(|o| o.kind == kind && o.class.as_deref() == Some(&s.class))
                .and_then(|o| o.within_s)
        };
        // Its class's aims stand in for a deadline: done by one aim, or
        // started by the other and then run.
        let done = within("finished");
        let started = within("wait").map(|w| w + s.estimate_s);
        match (done, started) {
            (Some(a), Some(b)) => job.since + a.min(b),
            (Some(a), None) | (None, Some(a)) => job.since + a,
            (None, None) => NEVER,
        }
    }

    /// Work that nobody waits for: idle, without a deadline or an aim.
    pub(crate) fn leftover(&self, s: &JobSpec) -> bool {
        let aimed = |o: &settings::Slo| o.class.as_deref() == Some(&s.class);
        let plain = s.priority == Priority::Low && s.due_s.is_none() && s.shape == Shape::Array;
        plain && !self.settings.params.objectives.iter().any(aimed)
    }

    /// From the end of what a job awaits to its own end, as expected: a report's way, its
    /// image and its run.
    fn takes_s(&self, job: &Job, ratio: f64) -> f64 {
        let rates = self.types.iter().flatten().map(|t| t.fetch_gb_per_s).filter(|r| *r > 0.0);
        let fetch_s = job.spec.image_gb / rates.fold(f64::MAX, f64::min);
        self.expected_run(job, ratio) + fetch_s + self.settings.params.workers.report_s / 2.0
    }

    /// What those that need them ask of the jobs before.
    pub(crate) fn passed_back(&self) -> HashMap<String, InheritedPriority> {
        let Role::Leader(l) = &self.role else { return HashMap::new() };
        let ratio = |class: &str| l.classes.get(class).map_or(1.0, ClassStats::ratio);
        let own = |id: &str| {
            let job = l.jobs.get(id)?;
            let s = &job.spec;
            // An aim at its start or end counts from when it is free, which is its own
            // affair: what is passed back is the pipeline's deadline.
            let due = |times: f64| s.due_s.map_or(NEVER, |d| job.submitted + d * times);
            Some(OwnPriority {
                band: band(s),
                deadline: due(1.0),
                last_chance: due(self.last_times(&s.class)),
                takes_s: self.takes_s(job, ratio(&s.class)),
            })
        };
        let passed = l.pipelines.graph.passed(own);
        passed.into_iter().map(|(id, p)| (id.to_string(), p)).collect()
    }

    /// How urgent `job` is, given what is asked of it.
    pub(crate) fn urgency(&self, job: &Job, passed: Option<&InheritedPriority>) -> EffectivePriority {
        let s = &job.spec;
        let mut u = EffectivePriority {
            band: band(s),
            deadline: self.deadline(job, 1.0),
            last_chance: self.deadline(job, self.last_times(&s.class)),
            needed: passed.is_some(),
        };
        if let Some(p) = passed {
            u.band = u.band.max(p.band);
            u.deadline = u.deadline.min(p.deadline);
            u.last_chance = u.last_chance.min(p.last_chance);
        }
        let open_ended = s.due_s.is_none() && passed.is_none_or(|p| p.deadline > NEVER / 2.0);
        if let (Role::Leader(l), true) = (&self.role, open_ended) {
            let usual = l.classes.get(&s.class).and_then(|c| c.needed.expect(job.since));
            if let Some((band, deadline)) = usual {
                u.band = u.band.max(band);
                u.deadline = u.deadline.min(deadline);
                u.last_chance = u.last_chance.min(deadline);
                u.needed = true;
            }
        }
        u
    }
}
