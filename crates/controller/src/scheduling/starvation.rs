//! Classes and teams under their floors, for one plan (see `planner::starvation`).

use crate::scheduling::planning::needs;
use planner::starvation::{
    guaranteed_tasks, overdue_tasks, reservation_expiry, starving_groups, StarvationPolicy, WaitingDemand,
};
use planner::{Job, Resources, RunningTask, Shape};
use protocol::job::JobSpec;
use std::collections::BTreeMap;

/// What each class and team holds and asks for.
pub struct StarvationGuard {
    policy: StarvationPolicy,
    /// Size of all machines together.
    total: Resources,
    /// Classes and teams by name; the flag keeps the two apart.
    group_indices: BTreeMap<(bool, String), usize>,
    held_shares: Vec<f64>,
    demands: Vec<WaitingDemand>,
    /// The plan's job that each claim is of.
    job_indices: Vec<usize>,
}

impl StarvationGuard {
    pub fn new(floor: StarvationPolicy, sizes: impl Iterator<Item = Resources>) -> Self {
        let mut total = Resources::new(0.0, 0.0, 0.0);
        sizes.for_each(|s| total.add(&s));
        let groups = BTreeMap::new();
        StarvationGuard {
            policy: floor,
            total,
            group_indices: groups,
            held_shares: Vec::new(),
            demands: Vec::new(),
            job_indices: Vec::new(),
        }
    }

    fn group_indices(&mut self, s: &JobSpec) -> [usize; 2] {
        [(false, &s.class), (true, &s.team)].map(|(team, name)| {
            let next = self.group_indices.len();
            let g = *self.group_indices.entry((team, name.clone())).or_insert(next);
            self.held_shares.resize(self.group_indices.len(), 0.0);
            g
        })
    }

    /// The part of all machines that one task takes.
    fn share_per_task(&self, spec: &JobSpec) -> f64 {
        let (need, all) = (needs(spec), &self.total);
        let part = |x: f64, of: f64| if of > 0.0 { x / of } else { 0.0 };
        part(need.cores, all.cores)
            .max(part(need.accelerators, all.accelerators))
            .max(part(need.memory_gb, all.memory_gb))
    }

    /// `tasks` tasks of such a job have their places.
    pub fn add_usage(&mut self, spec: &JobSpec, tasks: usize) {
        let part = self.share_per_task(spec) * tasks as f64;
        for g in self.group_indices(spec) {
            self.held_shares[g] += part;
        }
    }

    /// Job `at` of the plan waits with what it needs.
    pub fn add_demand(&mut self, at: usize, spec: &JobSpec, job: &Job, begun: bool) {
        let (groups, each) = (self.group_indices(spec), self.share_per_task(spec));
        // A job bound to zones is not divided either: each part would choose its
        // own. (Two parts of an array once ran in two zones.)
        let whole = job.shape == Shape::Gang || job.one_zone || job.max_per_zone.is_some();
        let tasks = job.pending_tasks.len();
        self.demands.push(WaitingDemand {
            groups,
            submitted_at: job.submitted_at,
            tasks,
            share_per_task: each,
            indivisible: whole,
            has_started: begun,
        });
        self.job_indices.push(at);
    }

    /// Lets what is under its floor go first. Part of a job's tasks becomes a job of
    /// its own, which the plan has under the same name.
    pub fn apply(&mut self, now: f64, ids: &mut Vec<String>, jobs: &mut Vec<Job>) -> StarvingGroups {
        let starving = starving_groups(now, &self.policy, &self.held_shares, &self.demands);
        let mut granted = overdue_tasks(now, &self.policy, &self.demands);
        for ((c, &i), _) in self.demands.iter().zip(&self.job_indices).zip(&granted).filter(|(_, n)| **n > 0)
        {
            jobs[i].reserves_until = reservation_expiry(&self.policy, c.submitted_at);
        }
        if starving.contains(&true) {
            let groups = guaranteed_tasks(&self.policy, &starving, &self.held_shares, &self.demands);
            granted.iter_mut().zip(groups).for_each(|(g, n)| *g = (*g).max(n));
        }
        if granted.iter().any(|n| *n > 0) {
            for (&i, n) in self.job_indices.iter().zip(granted).filter(|(_, n)| *n > 0) {
                let rest = jobs[i].pending_tasks.split_off(n);
                if rest.is_empty() {
                    jobs[i].starvation_relief = true;
                    continue;
                }
                let first = std::mem::replace(&mut jobs[i].pending_tasks, rest);
                let part = Job { pending_tasks: first, starvation_relief: true, ..jobs[i].clone() };
                jobs[i].reserves_until = 0.0;
                jobs.push(part);
                ids.push(ids[i].clone());
            }
        }
        let names = self.group_indices.iter().filter(|(_, &g)| starving[g]);
        StarvingGroups { groups: names.map(|(name, _)| name.clone()).collect() }
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
    groups: Vec<(bool, String)>,
}

impl StarvingGroups {
    fn contains(&self, spec: &JobSpec) -> bool {
        self.groups.iter().any(|(team, name)| *name == if *team { &spec.team } else { &spec.class }[..])
    }

    /// What they run is not stopped for others. `spec`: of the task's job.
    pub fn protect_from_preemption<'a>(
        &self,
        busy: impl Iterator<Item = &'a mut RunningTask>,
        spec: impl Fn(usize) -> Option<&'a JobSpec>,
    ) {
        if self.groups.is_empty() {
            return;
        }
        for b in busy {
            b.preemption = b.preemption.filter(|v| !spec(v.owner).is_some_and(|s| self.contains(s)));
        }
    }
}
