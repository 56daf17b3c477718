//! Classes and teams under their floors, for one plan (see `planner::starvation`).

use crate::scheduling::needs;
use planner::starvation::{grants, keeps_until, overdue, under, StarvationPolicy, WaitingDemand};
use planner::{Job, Resources, RunningTask, Shape};
use protocol::job::JobSpec;
use std::collections::BTreeMap;

/// What each class and team holds and asks for.
pub struct StarvationGuard {
    floor: StarvationPolicy,
    /// Size of all machines together.
    total: Resources,
    /// Classes and teams by name; the flag keeps the two apart.
    groups: BTreeMap<(bool, String), usize>,
    held: Vec<f64>,
    claims: Vec<WaitingDemand>,
    /// The plan's job that each claim is of.
    of: Vec<usize>,
}

impl StarvationGuard {
    pub fn new(floor: StarvationPolicy, sizes: impl Iterator<Item = Resources>) -> Self {
        let mut total = Resources::new(0.0, 0.0, 0.0);
        sizes.for_each(|s| total.give(&s));
        let groups = BTreeMap::new();
        StarvationGuard { floor, total, groups, held: Vec::new(), claims: Vec::new(), of: Vec::new() }
    }

    fn groups(&mut self, s: &JobSpec) -> [usize; 2] {
        [(false, &s.class), (true, &s.team)].map(|(team, name)| {
            let next = self.groups.len();
            let g = *self.groups.entry((team, name.clone())).or_insert(next);
            self.held.resize(self.groups.len(), 0.0);
            g
        })
    }

    /// The part of all machines that one task takes.
    fn each(&self, s: &JobSpec) -> f64 {
        let (need, all) = (needs(s), &self.total);
        let part = |x: f64, of: f64| if of > 0.0 { x / of } else { 0.0 };
        part(need.cores, all.cores)
            .max(part(need.accelerators, all.accelerators))
            .max(part(need.memory_gb, all.memory_gb))
    }

    /// `tasks` tasks of such a job have their places.
    pub fn hold(&mut self, s: &JobSpec, tasks: usize) {
        let part = self.each(s) * tasks as f64;
        for g in self.groups(s) {
            self.held[g] += part;
        }
    }

    /// Job `at` of the plan waits with what it needs.
    pub fn claim(&mut self, at: usize, s: &JobSpec, job: &Job, begun: bool) {
        let (groups, each) = (self.groups(s), self.each(s));
        // A job bound to zones is not divided either: each part would choose its
        // own. (Two parts of an array once ran in two zones.)
        let whole = job.shape == Shape::Gang || job.one_zone || job.zone_cap.is_some();
        let tasks = job.waiting.len();
        self.claims.push(WaitingDemand { groups, submitted: job.submitted, tasks, each, whole, begun });
        self.of.push(at);
    }

    /// Lets what is under its floor go first. Part of a job's tasks becomes a job of
    /// its own, which the plan has under the same name.
    pub fn apply(&mut self, now: f64, ids: &mut Vec<String>, jobs: &mut Vec<Job>) -> StarvingGroups {
        let starving = under(now, &self.floor, &self.held, &self.claims);
        let mut granted = overdue(now, &self.floor, &self.claims);
        for ((c, &i), _) in self.claims.iter().zip(&self.of).zip(&granted).filter(|(_, n)| **n > 0) {
            jobs[i].keeps_until = keeps_until(&self.floor, c.submitted);
        }
        if starving.contains(&true) {
            let groups = grants(&self.floor, &starving, &self.held, &self.claims);
            granted.iter_mut().zip(groups).for_each(|(g, n)| *g = (*g).max(n));
        }
        if granted.iter().any(|n| *n > 0) {
            for (&i, n) in self.of.iter().zip(granted).filter(|(_, n)| *n > 0) {
                let rest = jobs[i].waiting.split_off(n);
                if rest.is_empty() {
                    jobs[i].floor = true;
                    continue;
                }
                let first = std::mem::replace(&mut jobs[i].waiting, rest);
                let part = Job { waiting: first, floor: true, ..jobs[i].clone() };
                jobs[i].keeps_until = 0.0;
                jobs.push(part);
                ids.push(ids[i].clone());
            }
        }
        let names = self.groups.iter().filter(|(_, &g)| starving[g]);
        StarvingGroups { names: names.map(|(name, _)| name.clone()).collect() }
    }
}

/// The overdue gang for which machines gather in one zone, with the plan's number of the zone.
#[derive(Debug, Default, PartialEq)]
pub struct GangReservation(pub Option<(String, usize)>);

impl GangReservation {
    /// The zone of job `id`, if it is that gang.
    pub fn zone_of(&self, id: &str) -> Option<usize> {
        self.0.as_ref().filter(|(gang, _)| gang == id).map(|(_, zone)| *zone)
    }
}

/// Classes and teams under their floors, by whether it is a team, and name.
#[derive(Debug, Default, PartialEq)]
pub struct StarvingGroups {
    names: Vec<(bool, String)>,
}

impl StarvingGroups {
    fn has(&self, s: &JobSpec) -> bool {
        self.names.iter().any(|(team, name)| *name == if *team { &s.team } else { &s.class }[..])
    }

    /// What they run is not stopped for others. `spec`: of the task's job.
    pub fn spare<'a>(
        &self,
        busy: impl Iterator<Item = &'a mut RunningTask>,
        spec: impl Fn(usize) -> Option<&'a JobSpec>,
    ) {
        if self.names.is_empty() {
            return;
        }
        for b in busy {
            b.victim = b.victim.filter(|v| !spec(v.owner).is_some_and(|s| self.has(s)));
        }
    }
}
