//! Work conservation: no job waits for long while an eligible machine has free capacity.

use super::invariants::{is_eligible, ACCELERATOR_TOLERANCE};
use super::*;

/// Longest time, in seconds, that a job may wait while free capacity exists. Time before the end of
/// all faults does not count. The operators set this value.
const MAX_WAIT_WITH_CAPACITY_S: f64 = 90.0;
/// Interval between two checks, in seconds.
const CHECK_INTERVAL_S: f64 = 1.0;

/// Time since which each job has been waiting while free capacity exists.
#[derive(Default)]
pub(super) struct WaitingJobs {
    since: BTreeMap<String, f64>,
    checked_at: f64,
}

impl Simulation {
    pub(super) fn check_work_conservation(&mut self) {
        let now = self.now;
        if now < self.faults_end {
            return self.waiting_jobs.since.clear();
        }
        if now < self.waiting_jobs.checked_at + CHECK_INTERVAL_S {
            return;
        }
        self.waiting_jobs.checked_at = now;
        let waiting = self.jobs_waiting_despite_capacity();
        self.waiting_jobs.since.retain(|job, _| waiting.contains(job));
        for job in waiting {
            let since = *self.waiting_jobs.since.entry(job.clone()).or_insert(now);
            if now - since > MAX_WAIT_WITH_CAPACITY_S {
                self.history.violate(
                    Rule::LeftWaiting,
                    now,
                    format!("{job} has waited despite free capacity since {since}"),
                );
            }
        }
    }

    /// Returns the accepted jobs without any active task although there is capacity for them.
    fn jobs_waiting_despite_capacity(&self) -> Vec<String> {
        let tasks = self.workers.values().flat_map(|worker| &worker.tasks);
        let active: BTreeSet<&String> =
            tasks.filter(|(_, task)| !task.has_exited()).map(|(key, _)| &key.job).collect();
        let is_waiting = |job: &&String| {
            !active.contains(job) && !self.never_runs(job) && self.has_capacity(&self.history.specs[*job])
        };
        self.history.accepted.iter().filter(is_waiting).cloned().collect()
    }

    /// Returns whether no task of a job will run again: the job is done or fails on every machine, or
    /// its cancellation or that of one of its dependencies was requested.
    fn never_runs(&self, job: &str) -> bool {
        let mut lineage = self.history.with_dependencies(job).into_iter();
        lineage.any(|job| self.history.cancel_requested.contains(job))
            || self.history.is_done(job)
            || self.failing_jobs.contains(job)
    }

    /// Returns whether a job could start now: its dependencies are done, its team is below its limit,
    /// and eligible machines have free capacity.
    fn has_capacity(&self, spec: &JobSpec) -> bool {
        if !spec.dependencies.iter().all(|job| self.history.is_done(job)) {
            return false;
        }
        let min_tasks = if spec.shape == Shape::Array { 1 } else { spec.tasks };
        if self.is_over_quota(spec, min_tasks) {
            return false;
        }
        let mut slots: BTreeMap<&str, u32> = BTreeMap::new();
        for worker in self.workers.values() {
            *slots.entry(&worker.machine.zone).or_default() += self.free_slots(worker, spec);
        }
        if spec.one_zone {
            return slots.values().any(|slots| *slots >= min_tasks);
        }
        let max_per_zone = if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX };
        slots.values().map(|slots| (*slots).min(max_per_zone)).sum::<u32>() >= min_tasks
    }

    /// Returns whether `tasks` more tasks of a job would take its team over its limit.
    fn is_over_quota(&self, spec: &JobSpec, tasks: u32) -> bool {
        let team = self.settings.params.teams.iter().find(|team| team.name == spec.team);
        let limit = team.map_or(0.0, |team| team.accelerators_max);
        let used = self.accelerators_in_use().get(&spec.team).copied().unwrap_or(0.0);
        limit > 0.0 && used + spec.accelerators * f64::from(tasks) > limit + ACCELERATOR_TOLERANCE
    }

    /// Returns the number of tasks of a job that fit into the free capacity of a machine.
    fn free_slots(&self, worker: &Worker, spec: &JobSpec) -> u32 {
        let types = &self.cloud.types;
        let machine_type = types.iter().find(|kind| kind.name == worker.machine.machine_type);
        let Some(machine_type) = machine_type else { return 0 };
        if !is_eligible(spec, &worker.machine) || worker.faulty || self.now < worker.hung_until {
            return 0;
        }
        let mut free = [machine_type.cores, machine_type.accelerators, machine_type.memory_gb];
        for (key, _) in worker.tasks.iter().filter(|(_, task)| !task.has_exited()) {
            let task_spec = &self.history.specs[&key.job];
            free =
                [free[0] - task_spec.cores, free[1] - task_spec.accelerators, free[2] - task_spec.memory_gb];
        }
        let needed = [spec.cores, spec.accelerators, spec.memory_gb];
        let count = |(free, needed): (&f64, f64)| {
            if needed > 0.0 {
                (free + ACCELERATOR_TOLERANCE) / needed
            } else {
                f64::MAX
            }
        };
        let fits = free.iter().zip(needed).map(count);
        fits.fold(f64::from(spec.tasks), f64::min).max(0.0) as u32
    }
}
