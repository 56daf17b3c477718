//! State of a plan while it is made, and its changes when a job takes capacity.

use crate::plan::{Plan, Reservation};
use crate::problem::{Job, Problem, RunningTask, Shape, TeamQuota};
use crate::resources::Resources;
use crate::timeline::MachineTimeline;
use crate::unplaceable::UnplaceableJob;

/// Minimum delay of a task that does not start now, in seconds.
pub(crate) const MIN_DELAY_S: f64 = 1e-6;

/// Maximum number of unplaceable jobs that are recorded: comparing a job with them has to be cheaper
/// than the search that this avoids.
const MAX_UNPLACEABLE_JOBS: usize = 24;

/// Lower bound on the requirements of all jobs.
pub(crate) struct SmallestNeed {
    /// Smallest amount of each resource that any job needs.
    pub(crate) resources: Resources,
    /// Shortest run time of any job on the fastest machine, in seconds.
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
        let min_slowness = problem.machines.iter().map(|machine| machine.slowness).fold(1.0, f64::min);
        SmallestNeed { resources, run_s: run_s * min_slowness }
    }
}

/// State of a plan while it is made.
pub(crate) struct Planner<'a> {
    /// Input of the plan.
    pub(crate) problem: &'a Problem,
    /// Decisions made so far.
    pub(crate) plan: Plan,
    /// Timeline of each machine.
    pub(crate) timelines: Vec<MachineTimeline>,
    /// Remaining quota of each team, without the tasks that this plan starts.
    pub(crate) teams: Vec<TeamQuota>,
    /// Images that each machine holds, is fetching or will fetch for this plan.
    pub(crate) images: Vec<Vec<u32>>,
    /// Machines on which some job may still find capacity.
    pub(crate) open_machines: Vec<usize>,
    /// Minimum that a machine has to offer; one that offers less is full.
    pub(crate) smallest_need: SmallestNeed,
    /// Requirements of jobs that found no capacity.
    unplaceable_jobs: Vec<UnplaceableJob>,
    /// One task of each kind of running work that may be preempted.
    pub(crate) preemptible: Vec<RunningTask>,
    /// Jobs for which quota of their teams is reserved.
    pub(crate) quota_reservations: Vec<usize>,
    /// Latest start on each machine type, once its window is set.
    pub(crate) windows: Vec<Option<f64>>,
    /// Number of tasks of the current job that start later and meet their deadline.
    pub(crate) on_time_tasks: u32,
}

impl<'a> Planner<'a> {
    /// Creates the state of a plan in which nothing is decided yet.
    pub(crate) fn new(problem: &'a Problem) -> Self {
        Planner {
            problem,
            plan: Plan::default(),
            timelines: problem.machines.iter().map(MachineTimeline::of).collect(),
            teams: problem.teams.clone(),
            images: problem.machines.iter().map(|machine| machine.images.clone()).collect(),
            open_machines: (0..problem.machines.len()).collect(),
            smallest_need: SmallestNeed::of(problem),
            unplaceable_jobs: Vec::new(),
            preemptible: preemptible_kinds(problem),
            quota_reservations: Vec::new(),
            windows: vec![None; problem.instance_types.len()],
            on_time_tasks: 0,
        }
    }

    /// Reserves capacity for a job if there is any for it. Tasks that start now are added to the
    /// plan's starts.
    pub(crate) fn reserve(&mut self, job_index: usize) -> Option<Reservation> {
        let job = &self.problem.jobs[job_index];
        if job.not_before > self.problem.now || job.pending_tasks.is_empty() {
            return None;
        }
        self.plan.steps += 1;
        let started = if job.waits_beside_capacity { self.start_on_free_capacity(job_index) } else { 0 };
        let is_known_unplaceable = || self.unplaceable_jobs.iter().any(|unplaceable| unplaceable.covers(job));
        if started == job.pending_tasks.len() || is_known_unplaceable() {
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

    /// Allocates capacity of `machine` to a task of the job, from `starts_at` to `ends_at`.
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

    /// Removes machines that no job can use any more from the open machines.
    pub(crate) fn drop_full_machines(&mut self) {
        let now = self.problem.now;
        let need = &self.smallest_need;
        let timelines = &self.timelines;
        self.open_machines.retain(|&machine| !timelines[machine].is_full(now, &need.resources, need.run_s));
    }

    /// Records a job that found no capacity, if that allows conclusions about other jobs.
    pub(crate) fn record_unplaceable(&mut self, job: &Job) {
        // For an array bound to one zone, only the zone where its tasks already run was searched.
        let bound_to_its_zone = job.one_zone && job.shape != Shape::Gang;
        // Other jobs may use the machines that this job has to avoid.
        let searched_everywhere =
            job.excluded_machines.is_empty() && job.max_per_zone.is_none() && !bound_to_its_zone;
        if !searched_everywhere || self.unplaceable_jobs.len() >= MAX_UNPLACEABLE_JOBS {
            return;
        }
        let rates = self.problem.instance_types.iter().map(|instance_type| instance_type.fetch_gb_per_s);
        let slowest_rate = rates.filter(|rate| *rate > 0.0).fold(f64::MAX, f64::min);
        let slowest_fetch_s = job.image_gb / slowest_rate;
        self.unplaceable_jobs.push(UnplaceableJob::of(job, job.run_s + slowest_fetch_s));
    }

    /// Whether a job may start on a machine of this type at `starts_at`.
    pub(crate) fn is_inside_window(&self, instance_type: usize, starts_at: f64) -> bool {
        starts_at <= self.problem.now
            || self.windows[instance_type].is_none_or(|latest_start| starts_at <= latest_start)
    }

    /// Whether a start at `earliest_start` lies inside the window of any type that the job may use.
    pub(crate) fn window_is_reachable(&self, job: &Job, earliest_start: f64) -> bool {
        earliest_start < f64::MAX
            && job
                .instance_types
                .iter()
                .any(|&instance_type| self.is_inside_window(instance_type, earliest_start))
    }
}

/// Returns one task of each kind of running work that may be preempted. Tasks of the same kind are
/// those that [`crate::preemption`] does not distinguish.
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
