//! Output of the planner, and the main loop that produces it.

use crate::ordering::order;
use crate::planner::Planner;
use crate::problem::{Problem, Shape};

/// Task that starts now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// Index of its job in [`Problem::jobs`].
    pub job: usize,
    /// Number of the task, one of the job's pending tasks.
    pub task: u32,
    /// Index of its machine in [`Problem::machines`].
    pub machine: usize,
}

/// Expected run of a job. It is valid for this plan only.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// Index of the job in [`Problem::jobs`].
    pub job: usize,
    /// Index of the machine type that its first task uses.
    pub instance_type: usize,
    /// Start of its first task; all tasks of a gang start then.
    pub starts_at: f64,
    /// End of its last task.
    pub ends_at: f64,
    /// Whether its end determined the window of its machine type.
    pub sets_window: bool,
}

/// Number of tasks of a job that do not start now for lack of capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnmetDemand {
    /// Index of the job in [`Problem::jobs`].
    pub job: usize,
    /// Number of its tasks that do not start now.
    pub tasks: u32,
    /// Number of these tasks that are expected to miss their deadline.
    pub late_tasks: u32,
}

/// Actions to take now, and the expected runs.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// All jobs in the order in which they were planned.
    pub order: Vec<usize>,
    /// Tasks that start now.
    pub starts: Vec<Start>,
    /// Expected runs, in the order of the jobs.
    pub reservations: Vec<Reservation>,
    /// Demand for which there is no capacity now, one entry for each job.
    pub unmet: Vec<UnmetDemand>,
    /// Running tasks to preempt, by [`crate::PreemptionCandidate::task_id`].
    pub preemptions: Vec<usize>,
    /// Jobs that wait although capacity that they could use is free.
    pub waiting_beside_capacity: Vec<usize>,
    /// Index of the overdue gang that needs a single zone, and the zone in which machines are
    /// assembled for it.
    pub gang_assembly: Option<(usize, usize)>,
    /// Number of times that a machine or a job was examined, a measure of the planning effort.
    pub steps: u64,
}

/// Makes the plan. Jobs are planned in descending order of priority. The end of a machine type's
/// first reservation, but at most [`Problem::max_window_s`] from now, determines the window of that
/// type; later jobs get a reservation if they start inside the window of their type.
pub fn plan(problem: &Problem) -> Plan {
    let order = order(problem);
    let mut planner = Planner::new(problem);
    let mut waiting: Vec<usize> = Vec::new();
    for &job in &order {
        let unstarted_tasks = planner.plan_job(job);
        if unstarted_tasks > 0 && problem.jobs[job].not_before <= problem.now {
            waiting.push(job);
            planner.record_unmet_demand(job, unstarted_tasks);
        }
    }
    planner.plan.waiting_beside_capacity = planner.jobs_waiting_beside_capacity(&waiting);
    planner.drop_demand_over_quota();
    let steps = planner.plan.steps + problem.machines.len() as u64 + problem.jobs.len() as u64;
    Plan { order, steps, ..planner.plan }
}

impl Planner<'_> {
    /// Plans one job. Returns how many of its pending tasks do not start now.
    fn plan_job(&mut self, job_index: usize) -> u32 {
        let job = &self.problem.jobs[job_index];
        let starts_before = self.plan.starts.len();
        self.on_time_tasks = 0;
        if let Some(mut reservation) = self.reserve(job_index) {
            reservation.sets_window = self.open_window(&reservation);
            if job.shape == Shape::Gang && reservation.ends_at <= job.deadline {
                self.on_time_tasks = job.pending_tasks.len() as u32;
            }
            self.plan.reservations.push(reservation);
        }
        let started = (self.plan.starts.len() - starts_before) as u32;
        job.pending_tasks.len() as u32 - started
    }

    /// Sets the window of the reservation's machine type if it has none yet. Jobs that are planned
    /// first for starvation relief set no window, so they do not restrict other jobs. Returns whether
    /// the window was set.
    fn open_window(&mut self, reservation: &Reservation) -> bool {
        let window = &mut self.windows[reservation.instance_type];
        if window.is_some() || self.problem.jobs[reservation.job].starvation_relief {
            return false;
        }
        let latest_end = self.problem.now + self.problem.max_window_s;
        *window = Some(reservation.ends_at.min(latest_end));
        true
    }

    /// Records tasks that a larger fleet could start now. Probing jobs cause no scale-out and are not
    /// recorded.
    fn record_unmet_demand(&mut self, job: usize, tasks: u32) {
        if !self.problem.jobs[job].probing {
            let late_tasks = tasks.saturating_sub(self.on_time_tasks);
            self.plan.unmet.push(UnmetDemand { job, tasks, late_tasks });
        }
    }
}
