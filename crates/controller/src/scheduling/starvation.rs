//! Starvation protection in one plan: classes and teams that have waited long and hold almost no
//! machines go first (see `planner::starvation`).

use crate::scheduling::pricing::resources_per_task;
use planner::starvation::{
    guaranteed_tasks, overdue_tasks, reservation_expiry, starving_groups, StarvationPolicy, WaitingDemand,
};
use planner::{Job, Resources, RunningTask, Shape};
use protocol::job::JobSpec;
use std::collections::BTreeMap;
use std::fmt;

/// A job class or a team. Ordered: classes before teams, then by name.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum StarvationGroup {
    Class(String),
    Team(String),
}

impl StarvationGroup {
    fn contains(&self, spec: &JobSpec) -> bool {
        match self {
            StarvationGroup::Class(class) => *class == spec.class,
            StarvationGroup::Team(team) => *team == spec.team,
        }
    }
}

/// Log lines show a group as `(is_team, "name")`.
impl fmt::Debug for StarvationGroup {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (is_team, name) = match self {
            StarvationGroup::Class(name) => (false, name),
            StarvationGroup::Team(name) => (true, name),
        };
        formatter.debug_tuple("").field(&is_team).field(name).finish()
    }
}

/// What each class and team holds and waits for.
pub struct StarvationGuard {
    policy: StarvationPolicy,
    /// Resources of all machines together.
    total: Resources,
    /// The number of each class and team.
    group_indices: BTreeMap<StarvationGroup, usize>,
    /// The part of all machines that each group holds, by its number.
    held_shares: Vec<f64>,
    demands: Vec<WaitingDemand>,
    /// The planner's number of the job that each demand is of.
    job_indices: Vec<usize>,
}

impl StarvationGuard {
    /// Nothing is held or waited for yet. `sizes`: of all machines.
    pub fn new(policy: StarvationPolicy, sizes: impl Iterator<Item = Resources>) -> Self {
        let mut total = Resources::new(0.0, 0.0, 0.0);
        for size in sizes {
            total.add(&size);
        }
        StarvationGuard {
            policy,
            total,
            group_indices: BTreeMap::new(),
            held_shares: Vec::new(),
            demands: Vec::new(),
            job_indices: Vec::new(),
        }
    }

    /// The numbers of a job's class and team.
    fn group_indices(&mut self, spec: &JobSpec) -> [usize; 2] {
        let groups = [StarvationGroup::Class(spec.class.clone()), StarvationGroup::Team(spec.team.clone())];
        groups.map(|group| {
            let next_index = self.group_indices.len();
            let index = *self.group_indices.entry(group).or_insert(next_index);
            self.held_shares.resize(self.group_indices.len(), 0.0);
            index
        })
    }

    /// The part of all machines that one task takes.
    fn share_per_task(&self, spec: &JobSpec) -> f64 {
        let task = resources_per_task(spec);
        let share = |part: f64, total: f64| if total > 0.0 { part / total } else { 0.0 };
        share(task.cores, self.total.cores)
            .max(share(task.accelerators, self.total.accelerators))
            .max(share(task.memory_gb, self.total.memory_gb))
    }

    /// Counts `tasks` placed tasks of such a job as held.
    pub fn add_usage(&mut self, spec: &JobSpec, tasks: usize) {
        let share = self.share_per_task(spec) * tasks as f64;
        for group in self.group_indices(spec) {
            self.held_shares[group] += share;
        }
    }

    /// Adds the waiting tasks of a job. `index`: the planner's number of it.
    pub fn add_demand(&mut self, index: usize, spec: &JobSpec, job: &Job, has_started: bool) {
        // A job that is bound to zones is not divided either: each part would choose its own. (Two
        // parts of an array once ran in two zones.)
        let indivisible = job.shape == Shape::Gang || job.one_zone || job.max_per_zone.is_some();
        let demand = WaitingDemand {
            groups: self.group_indices(spec),
            submitted_at: job.submitted_at,
            tasks: job.pending_tasks.len(),
            share_per_task: self.share_per_task(spec),
            indivisible,
            has_started,
        };
        self.demands.push(demand);
        self.job_indices.push(index);
    }

    /// Lets overdue jobs, and jobs of starving groups, go first in the plan. If only some of a job's
    /// tasks do, they become a job of their own, under the same id.
    pub fn apply(&mut self, now: f64, ids: &mut Vec<String>, jobs: &mut Vec<Job>) -> StarvingGroups {
        let starving = starving_groups(now, &self.policy, &self.held_shares, &self.demands);
        let mut relieved_tasks = overdue_tasks(now, &self.policy, &self.demands);
        self.reserve_for_overdue(&relieved_tasks, jobs);
        if starving.contains(&true) {
            let granted = guaranteed_tasks(&self.policy, &starving, &self.held_shares, &self.demands);
            for (tasks, granted) in relieved_tasks.iter_mut().zip(granted) {
                *tasks = (*tasks).max(granted);
            }
        }
        for (&index, tasks) in self.job_indices.iter().zip(relieved_tasks) {
            if tasks > 0 {
                relieve(index, tasks, ids, jobs);
            }
        }
        let groups = self.group_indices.iter().filter(|(_, &index)| starving[index]);
        StarvingGroups { groups: groups.map(|(group, _)| group.clone()).collect() }
    }

    /// Overdue jobs may keep machines to themselves for a while.
    fn reserve_for_overdue(&self, overdue_tasks: &[usize], jobs: &mut [Job]) {
        let demands = self.demands.iter().zip(&self.job_indices).zip(overdue_tasks);
        for ((demand, &index), _) in demands.filter(|(_, tasks)| **tasks > 0) {
            jobs[index].reserves_until = reservation_expiry(&self.policy, demand.submitted_at);
        }
    }
}

/// Lets the first `tasks` pending tasks of a job go first.
fn relieve(index: usize, tasks: usize, ids: &mut Vec<String>, jobs: &mut Vec<Job>) {
    let rest = jobs[index].pending_tasks.split_off(tasks);
    if rest.is_empty() {
        jobs[index].starvation_relief = true;
        return;
    }
    let relieved = std::mem::replace(&mut jobs[index].pending_tasks, rest);
    let part = Job { pending_tasks: relieved, starvation_relief: true, ..jobs[index].clone() };
    jobs[index].reserves_until = 0.0;
    jobs.push(part);
    ids.push(ids[index].clone());
}

/// An overdue gang for which machines are reserved in one zone.
#[derive(Debug, PartialEq)]
pub struct AssemblingGang {
    /// Its job's id.
    pub job: String,
    /// The planner's number of the zone.
    pub zone: usize,
}

/// The overdue gang for which machines are reserved, if there is one.
#[derive(Debug, Default, PartialEq)]
pub struct GangReservation(pub Option<AssemblingGang>);

impl GangReservation {
    /// The zone of job `id`, if it is that gang.
    pub fn zone_of(&self, id: &str) -> Option<usize> {
        self.0.as_ref().filter(|gang| gang.job == id).map(|gang| gang.zone)
    }
}

/// Classes and teams that are starving.
#[derive(Debug, Default, PartialEq)]
pub struct StarvingGroups {
    groups: Vec<StarvationGroup>,
}

impl StarvingGroups {
    fn contains(&self, spec: &JobSpec) -> bool {
        self.groups.iter().any(|group| group.contains(spec))
    }

    /// Their running tasks are not preempted. `spec`: of the job of a task's owner number.
    pub fn protect_from_preemption<'a>(
        &self,
        tasks: impl Iterator<Item = &'a mut RunningTask>,
        spec: impl Fn(usize) -> Option<&'a JobSpec>,
    ) {
        if self.groups.is_empty() {
            return;
        }
        let is_protected = |owner: usize| spec(owner).is_some_and(|spec| self.contains(spec));
        for task in tasks {
            task.preemption = task.preemption.filter(|candidate| !is_protected(candidate.task_id));
        }
    }
}
