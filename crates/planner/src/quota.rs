//! Team limits: what a team may still start, and quota that is kept for an overdue job.

use crate::planner::Planner;
use crate::problem::{Job, Shape};
use crate::resources::{Resources, RESOURCE_TOLERANCE};

impl Planner<'_> {
    /// Whether the team's limit admits `tasks` more tasks of the job.
    pub(crate) fn fits_team_quota(&self, job: &Job, tasks: u32) -> bool {
        let need = job.resources.scaled(f64::from(tasks));
        self.teams[job.team].admits(&need, &Resources::default())
    }

    /// How many of the job's pending tasks its team may start now; a gang's only all together.
    pub(crate) fn tasks_within_quota(&self, job: &Job) -> usize {
        let pending = job.pending_tasks.len();
        if job.shape == Shape::Gang {
            return if self.fits_team_quota(job, pending as u32) { pending } else { 0 };
        }
        let team = &self.teams[job.team];
        let by_amount = |left: Option<f64>, need: f64| match left {
            Some(left) if need > 0.0 => ((left + RESOURCE_TOLERANCE) / need).max(0.0) as usize,
            _ => pending,
        };
        pending
            .min(by_amount(team.cores_left, job.resources.cores))
            .min(by_amount(team.accelerators_left, job.resources.accelerators))
    }

    /// Keeps what is left of the team's limit for a job that does not fit it yet, if enough of the
    /// team's work is expected to end in time. (Quota that came free under a full limit once went to
    /// the team's small jobs, and its largest gang never began.) Returns whether quota is kept.
    pub(crate) fn reserve_team_quota(&mut self, job_index: usize) -> bool {
        let job = &self.problem.jobs[job_index];
        let tasks = if job.shape == Shape::Gang { job.pending_tasks.len() as u32 } else { 1 };
        if self.problem.now >= job.reserves_until || self.fits_team_quota(job, tasks) {
            return false;
        }
        let need = job.resources.scaled(f64::from(tasks));
        let returning = self.team_resources_returning(job);
        let team = &mut self.teams[job.team];
        let suffices_in_time = team.admits(&need, &returning);
        if suffices_in_time {
            team.charge(&need);
            self.quota_reservations.push(job_index);
        }
        suffices_in_time
    }

    /// What the running work of the job's team gives back before the job's reservation expires.
    fn team_resources_returning(&self, job: &Job) -> Resources {
        let mut returning = Resources::default();
        for task in self.timelines.iter().flat_map(|timeline| &timeline.running) {
            if task.team == job.team && !task.endless && task.ends_at <= job.reserves_until {
                returning.add(&task.resources);
            }
        }
        returning
    }

    /// Takes off the unmet demand what the teams' limits keep from running now: more machines would
    /// be of no use to it. (A team at its limit of two machines once had sixty rented, again and
    /// again.)
    pub(crate) fn drop_demand_over_quota(&mut self) {
        let teams_before = self.teams.clone();
        let mut unmet = std::mem::take(&mut self.plan.unmet);
        for demand in &mut unmet {
            // Quota that is kept for a job comes free while its machines boot.
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
