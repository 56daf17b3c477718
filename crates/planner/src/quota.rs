//! Team limits: tasks that a team may still start, and quota that is reserved for overdue jobs.

use crate::planner::Planner;
use crate::problem::{Job, Shape};
use crate::resources::{Resources, RESOURCE_TOLERANCE};

impl Planner<'_> {
    /// Whether the team's limit admits `tasks` more tasks of the job.
    pub(crate) fn fits_team_quota(&self, job: &Job, tasks: u32) -> bool {
        let need = job.resources.scaled(f64::from(tasks));
        self.teams[job.team].admits(&need, &Resources::default())
    }

    /// Returns the number of the job's pending tasks that its team may start now; for a gang all or
    /// none.
    pub(crate) fn tasks_within_quota(&self, job: &Job) -> usize {
        let pending = job.pending_tasks.len();
        if job.shape == Shape::Gang {
            return if self.fits_team_quota(job, pending as u32) { pending } else { 0 };
        }
        let team = &self.teams[job.team];
        let tasks_within = |left: Option<f64>, need: f64| match left {
            Some(left) if need > 0.0 => ((left + RESOURCE_TOLERANCE) / need).max(0.0) as usize,
            _ => pending,
        };
        pending
            .min(tasks_within(team.cores_left, job.resources.cores))
            .min(tasks_within(team.accelerators_left, job.resources.accelerators))
    }

    /// Reserves the team's remaining quota for a job that it does not admit yet, if enough of the
    /// team's work is expected to end before the reservation expires. Without this, quota that came
    /// free in a team at its limit always went to the team's small jobs and its largest gang never
    /// started. Returns whether quota is reserved.
    pub(crate) fn reserve_team_quota(&mut self, job_index: usize) -> bool {
        let job = &self.problem.jobs[job_index];
        let tasks = if job.shape == Shape::Gang { job.pending_tasks.len() as u32 } else { 1 };
        if self.problem.now >= job.reserves_until || self.fits_team_quota(job, tasks) {
            return false;
        }
        let need = job.resources.scaled(f64::from(tasks));
        let freed = self.team_resources_freed_in_time(job);
        let team = &mut self.teams[job.team];
        let suffices_in_time = team.admits(&need, &freed);
        if suffices_in_time {
            team.charge(&need);
            self.quota_reservations.push(job_index);
        }
        suffices_in_time
    }

    /// Returns the resources that running work of the job's team frees before the job's reservation
    /// expires.
    fn team_resources_freed_in_time(&self, job: &Job) -> Resources {
        let mut freed = Resources::default();
        for task in self.timelines.iter().flat_map(|timeline| &timeline.running) {
            if task.team == job.team && !task.endless && task.ends_at <= job.reserves_until {
                freed.add(&task.resources);
            }
        }
        freed
    }

    /// Removes the tasks from the unmet demand that cannot run now because of their teams' limits,
    /// since more machines would not help them. Without this, sixty machines were rented again and
    /// again for a team at its limit of two.
    pub(crate) fn drop_demand_over_quota(&mut self) {
        let teams_before = self.teams.clone();
        let mut unmet = std::mem::take(&mut self.plan.unmet);
        for demand in &mut unmet {
            // Quota that is reserved for a job comes free while its machines boot.
            if self.quota_reservations.contains(&demand.job) {
                continue;
            }
            let job = &self.problem.jobs[demand.job];
            demand.tasks = demand.tasks.min(self.tasks_within_quota(job) as u32);
            demand.late_tasks = demand.late_tasks.min(demand.tasks);
            self.teams[job.team].charge(&job.resources.scaled(f64::from(demand.tasks)));
        }
        unmet.retain(|demand| demand.tasks > 0);
        self.plan.unmet = unmet;
        self.teams = teams_before;
    }
}
