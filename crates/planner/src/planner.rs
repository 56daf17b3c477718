//! The state of a plan in the making, and how it changes when a job takes capacity.

use crate::misfit::KnownMisfit;
use crate::plan::{Plan, Reservation};
use crate::problem::{Job, Problem, RunningTask, Shape, TeamQuota};
use crate::resources::Resources;
use crate::timeline::MachineTimeline;

/// What does not start now starts this much later at least, in seconds.
pub(crate) const MIN_DELAY_S: f64 = 1e-6;

/// More misfits than this are not kept: comparing a job with them has to stay cheaper than the
/// search that it saves.
const MAX_MISFITS: usize = 24;

/// The least that any job needs.
pub(crate) struct SmallestNeed {
    /// The smallest need of each resource, over all jobs.
    pub(crate) resources: Resources,
    /// The shortest run on the fastest machine, in seconds.
    run_s: f64,
}

impl SmallestNeed {
    fn of(problem: &Problem) -> Self {
        let mut resources = Resources::new(f64::MAX, f64::MAX, f64::MAX);
        let mut run_s = f64::MAX;
        for job in &problem.jobs {
            resources = resources.min(&job.resources);
            run_s = run_s.min(job.run_s);
        }
        let least_slowness = problem.machines.iter().map(|machine| machine.slowness).fold(1.0, f64::min);
        SmallestNeed { resources, run_s: run_s * least_slowness }
    }
}

/// A plan in the making.
pub(crate) struct Planner<'a> {
    /// The input.
    pub(crate) problem: &'a Problem,
    /// What has been decided so far.
    pub(crate) plan: Plan,
    /// By machine.
    pub(crate) timelines: Vec<MachineTimeline>,
    /// By team, with what this plan starts taken off.
    pub(crate) teams: Vec<TeamQuota>,
    /// By machine: images that it holds, is fetching or will fetch for this plan.
    pub(crate) images: Vec<Vec<u32>>,
    /// Machines where some job may still find capacity.
    pub(crate) open_machines: Vec<usize>,
    /// Machines that offer less are full.
    pub(crate) smallest_need: SmallestNeed,
    /// Jobs that found no capacity.
    misfits: Vec<KnownMisfit>,
    /// One of each kind of running work that may be preempted.
    pub(crate) preemptible: Vec<RunningTask>,
    /// Jobs for which their teams' quota is kept.
    pub(crate) quota_reservations: Vec<usize>,
    /// By machine type: no job may start later than this, once it is fixed.
    pub(crate) windows: Vec<Option<f64>>,
    /// Tasks of the job that is being planned that start later and meet their deadline.
    pub(crate) on_time_tasks: u32,
}

impl<'a> Planner<'a> {
    /// A plan with nothing decided yet.
    pub(crate) fn new(problem: &'a Problem) -> Self {
        Planner {
            problem,
            plan: Plan::default(),
            timelines: problem.machines.iter().map(MachineTimeline::of).collect(),
            teams: problem.teams.clone(),
            images: problem.machines.iter().map(|machine| machine.images.clone()).collect(),
            open_machines: (0..problem.machines.len()).collect(),
            smallest_need: SmallestNeed::of(problem),
            misfits: Vec::new(),
            preemptible: preemptible_kinds(problem),
            quota_reservations: Vec::new(),
            windows: vec![None; problem.instance_types.len()],
            on_time_tasks: 0,
        }
    }

    /// Reserves capacity for a job, if it gets any. What starts now goes into the plan.
    pub(crate) fn reserve(&mut self, job_index: usize) -> Option<Reservation> {
        let job = &self.problem.jobs[job_index];
        if job.not_before > self.problem.now || job.pending_tasks.is_empty() {
            return None;
        }
        self.plan.steps += 1;
        let started = if job.waits_beside_capacity { self.start_on_free_capacity(job_index) } else { 0 };
        let is_misfit = || self.misfits.iter().any(|misfit| misfit.covers(job));
        if started == job.pending_tasks.len() || is_misfit() {
            return None;
        }
        if self.reserve_team_quota(job_index) {
            return None;
        }
        match job.shape {
            Shape::Gang => self.reserve_gang(job_index),
            Shape::Array | Shape::Service => self.reserve_tasks(job_index, started),
        }
    }

    /// Gives capacity of `machine` to a task of the job, from `starts_at` to `ends_at`.
    pub(crate) fn occupy(&mut self, job: &Job, machine: usize, starts_at: f64, ends_at: f64) {
        if starts_at > self.problem.now {
            self.timelines[machine].reserve(starts_at, job.resources);
            return;
        }
        self.timelines[machine].start(RunningTask {
            ends_at,
            endless: job.shape == Shape::Service,
            resources: job.resources,
            priority: job.priority,
            team: job.team,
            within_guarantee: job.guaranteed,
            preemption: None,
        });
        if !self.images[machine].contains(&job.image) {
            self.images[machine].push(job.image);
        }
        self.teams[job.team].charge(&job.resources);
    }

    /// Forgets the machines that no job can use any more.
    pub(crate) fn drop_full_machines(&mut self) {
        let now = self.problem.now;
        let need = &self.smallest_need;
        let timelines = &self.timelines;
        self.open_machines.retain(|&machine| !timelines[machine].is_full(now, &need.resources, need.run_s));
    }

    /// Remembers a job that found no capacity, if that tells something about other jobs.
    pub(crate) fn record_misfit(&mut self, job: &Job) {
        // An array bound to one zone looks only into the one where it runs already.
        let bound_to_its_zone = job.one_zone && job.shape != Shape::Gang;
        // Machines that this job avoids others may use.
        let searched_everywhere =
            job.excluded_machines.is_empty() && job.max_per_zone.is_none() && !bound_to_its_zone;
        if !searched_everywhere || self.misfits.len() >= MAX_MISFITS {
            return;
        }
        let rates = self.problem.instance_types.iter().map(|instance_type| instance_type.fetch_gb_per_s);
        let slowest_rate = rates.filter(|rate| *rate > 0.0).fold(f64::MAX, f64::min);
        let slowest_fetch_s = job.image_gb / slowest_rate;
        self.misfits.push(KnownMisfit::of(job, job.run_s + slowest_fetch_s));
    }

    /// Whether a job may start on a machine of this type at `starts_at`.
    pub(crate) fn is_inside_window(&self, instance_type: usize, starts_at: f64) -> bool {
        starts_at <= self.problem.now
            || self.windows[instance_type].is_none_or(|latest_start| starts_at <= latest_start)
    }

    /// Whether a start at `soonest` lies inside the window of any type that the job may use.
    pub(crate) fn window_is_reachable(&self, job: &Job, soonest: f64) -> bool {
        soonest < f64::MAX
            && job.instance_types.iter().any(|&instance_type| self.is_inside_window(instance_type, soonest))
    }
}

/// One of each kind of running work that may be preempted, as far as [`crate::preemption`] tells
/// them apart.
fn preemptible_kinds(problem: &Problem) -> Vec<RunningTask> {
    let kind = |task: &RunningTask| (task.priority, task.team, task.within_guarantee);
    let mut kinds: Vec<RunningTask> = Vec::new();
    for task in problem.machines.iter().flat_map(|machine| &machine.running) {
        if task.preemption.is_some() && !kinds.iter().any(|known| kind(known) == kind(task)) {
            kinds.push(*task);
        }
    }
    kinds
}
