//! The planner's output, and the main loop that makes it.

use crate::ordering::order;
use crate::planner::Planner;
use crate::problem::{Problem, Shape};

/// One task that starts now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    /// Index of its job in [`Problem::jobs`].
    pub job: usize,
    /// Its number, out of the job's pending tasks.
    pub task: u32,
    /// Index of its machine in [`Problem::machines`].
    pub machine: usize,
}

/// When a job is expected to run; it holds for this plan only.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    /// Index of the job in [`Problem::jobs`].
    pub job: usize,
    /// The machine type that its first task uses.
    pub instance_type: usize,
    /// Start of its first task; of a gang all start then.
    pub starts_at: f64,
    /// End of its last task.
    pub ends_at: f64,
    /// Its end fixed the window of its machine type.
    pub sets_window: bool,
}

/// Tasks of a job that found no capacity now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnmetDemand {
    /// Index of the job in [`Problem::jobs`].
    pub job: usize,
    /// How many of its tasks do not start now.
    pub tasks: u32,
    /// How many of these are expected to miss their deadline.
    pub late_tasks: u32,
}

/// What is to be done, and what is expected.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// All jobs in the order in which they were planned.
    pub order: Vec<usize>,
    /// Tasks that start now.
    pub starts: Vec<Start>,
    /// Expected runs, in the order of the jobs.
    pub reservations: Vec<Reservation>,
    /// Tasks that found no capacity now, by job.
    pub unmet: Vec<UnmetDemand>,
    /// Running tasks to preempt, by [`crate::PreemptionCandidate::task_id`].
    pub preemptions: Vec<usize>,
    /// Jobs that wait although capacity that they could use is free.
    pub waiting_beside_capacity: Vec<usize>,
    /// The overdue gang that needs a single zone, and the zone in which its machines are assembled.
    pub gang_assembly: Option<(usize, usize)>,
    /// Effort: how often a machine or a job was looked at.
    pub steps: u64,
}

/// Makes the plan: the first job gets a reservation, whose end, at most the longest window, fixes
/// the window of its machine type. The others follow by falling priority and get one if they start
/// inside the window of their type.
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

    /// Fixes the window of the reservation's machine type if it has none yet. Starvation relief
    /// decides nothing for others. Returns whether the window was fixed.
    fn open_window(&mut self, reservation: &Reservation) -> bool {
        let window = &mut self.windows[reservation.instance_type];
        if window.is_some() || self.problem.jobs[reservation.job].starvation_relief {
            return false;
        }
        let latest_end = self.problem.now + self.problem.max_window_s;
        *window = Some(reservation.ends_at.min(latest_end));
        true
    }

    /// Notes tasks that a larger fleet could start now. A probing job asks for nothing.
    fn record_unmet_demand(&mut self, job: usize, tasks: u32) {
        if !self.problem.jobs[job].probing {
            let late_tasks = tasks.saturating_sub(self.on_time_tasks);
            self.plan.unmet.push(UnmetDemand { job, tasks, late_tasks });
        }
    }
}
