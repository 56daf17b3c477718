//! Starvation protection in one plan: classes and teams that have waited long and hold almost no
//! machines are placed first (see `planner::starvation`).

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

/// Resources that each class and team holds, and the demand that waits.
pub struct StarvationGuard {
    policy: StarvationPolicy,
    /// Total resources of all machines.
    total: Resources,
    /// Index of each class and team.
    group_indices: BTreeMap<StarvationGroup, usize>,
    /// Fraction of all machines that each group holds, by group index.
    held_shares: Vec<f64>,
    demands: Vec<WaitingDemand>,
    /// Index in the planner's input of the job of each demand.
    job_indices: Vec<usize>,
}

impl StarvationGuard {
    /// Creates a guard without usage or demand. `sizes` are the sizes of all machines.
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

    /// Returns the indices of a job's class and team.
    fn group_indices(&mut self, spec: &JobSpec) -> [usize; 2] {
        let groups = [StarvationGroup::Class(spec.class.clone()), StarvationGroup::Team(spec.team.clone())];
        groups.map(|group| {
            let next_index = self.group_indices.len();
            let index = *self.group_indices.entry(group).or_insert(next_index);
            self.held_shares.resize(self.group_indices.len(), 0.0);
            index
        })
    }

    /// Returns the fraction of all machines that one task takes.
    fn share_per_task(&self, spec: &JobSpec) -> f64 {
        let task = resources_per_task(spec);
        let share = |part: f64, total: f64| if total > 0.0 { part / total } else { 0.0 };
        share(task.cores, self.total.cores)
            .max(share(task.accelerators, self.total.accelerators))
            .max(share(task.memory_gb, self.total.memory_gb))
    }

    /// Adds `tasks` placed tasks of a job to the shares that its class and team hold.
    pub fn add_usage(&mut self, spec: &JobSpec, tasks: usize) {
        let share = self.share_per_task(spec) * tasks as f64;
        for group in self.group_indices(spec) {
            self.held_shares[group] += share;
        }
    }

    /// Adds the waiting tasks of a job, whose index in the planner's input is `index`.
    pub fn add_demand(&mut self, index: usize, spec: &JobSpec, job: &Job, has_started: bool) {
        // A job with zone constraints is not divided either: each part would choose its own zone, so
        // an array that must run in one zone could run in two.
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

    /// Gives precedence in the plan to overdue jobs and to jobs of starved groups. If that applies to
    /// only some tasks of a job, these become a separate job with the same id.
    pub fn apply(&mut self, now: f64, ids: &mut Vec<String>, jobs: &mut Vec<Job>) -> StarvingGroups {
        let starved = starving_groups(now, &self.policy, &self.held_shares, &self.demands);
        let mut prioritized_tasks = overdue_tasks(now, &self.policy, &self.demands);
        self.reserve_for_overdue(&prioritized_tasks, jobs);
        if starved.contains(&true) {
            let granted = guaranteed_tasks(&self.policy, &starved, &self.held_shares, &self.demands);
            for (tasks, granted) in prioritized_tasks.iter_mut().zip(granted) {
                *tasks = (*tasks).max(granted);
            }
        }
        for (&index, tasks) in self.job_indices.iter().zip(prioritized_tasks) {
            if tasks > 0 {
                prioritize_tasks(index, tasks, ids, jobs);
            }
        }
        let groups = self.group_indices.iter().filter(|(_, &index)| starved[index]);
        StarvingGroups { groups: groups.map(|(group, _)| group.clone()).collect() }
    }

    /// Allows overdue jobs to reserve machines for a limited time.
    fn reserve_for_overdue(&self, overdue_tasks: &[usize], jobs: &mut [Job]) {
        let demands = self.demands.iter().zip(&self.job_indices).zip(overdue_tasks);
        for ((demand, &index), _) in demands.filter(|(_, tasks)| **tasks > 0) {
            jobs[index].reserves_until = reservation_expiry(&self.policy, demand.submitted_at);
        }
    }
}

/// Gives precedence to the first `tasks` pending tasks of a job.
fn prioritize_tasks(index: usize, tasks: usize, ids: &mut Vec<String>, jobs: &mut Vec<Job>) {
    let other_tasks = jobs[index].pending_tasks.split_off(tasks);
    if other_tasks.is_empty() {
        jobs[index].starvation_relief = true;
        return;
    }
    let prioritized_tasks = std::mem::replace(&mut jobs[index].pending_tasks, other_tasks);
    let prioritized_job =
        Job { pending_tasks: prioritized_tasks, starvation_relief: true, ..jobs[index].clone() };
    jobs[index].reserves_until = 0.0;
    jobs.push(prioritized_job);
    ids.push(ids[index].clone());
}

/// An overdue gang for which machines are reserved in one zone.
#[derive(Debug, PartialEq)]
pub struct AssemblingGang {
    /// Id of the gang's job.
    pub job: String,
    /// Index of the zone in the planner's input.
    pub zone: usize,
}

/// The overdue gang for which machines are reserved, if there is one.
#[derive(Debug, Default, PartialEq)]
pub struct GangReservation(pub Option<AssemblingGang>);

impl GangReservation {
    /// Returns the zone of the reservation if it is for job `id`.
    pub fn zone_of(&self, id: &str) -> Option<usize> {
        self.0.as_ref().filter(|gang| gang.job == id).map(|gang| gang.zone)
    }
}

/// Classes and teams that are starving; the name appears in a log line.
#[derive(Debug, Default, PartialEq)]
pub struct StarvingGroups {
    groups: Vec<StarvationGroup>,
}

impl StarvingGroups {
    fn contains(&self, spec: &JobSpec) -> bool {
        self.groups.iter().any(|group| group.contains(spec))
    }

    /// Protects the groups' running tasks from preemption. `spec` returns the specification of the job
    /// of a preemption candidate, given the index of its task.
    pub fn protect_from_preemption<'a>(
        &self,
        tasks: impl Iterator<Item = &'a mut RunningTask>,
        spec: impl Fn(usize) -> Option<&'a JobSpec>,
    ) {
        if self.groups.is_empty() {
            return;
        }
        let is_protected = |task_id: usize| spec(task_id).is_some_and(|spec| self.contains(spec));
        for task in tasks {
            task.preemption = task.preemption.filter(|candidate| !is_protected(candidate.task_id));
        }
    }
}
