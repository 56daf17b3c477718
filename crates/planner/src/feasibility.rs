//! Estimates which jobs can still meet their deadlines, given the queue ahead of them.

use crate::problem::{Job, Machine, Problem};
use crate::resources::Resources;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Share of the machines' time that is available for running tasks. The rest is spent on image
/// fetches, heartbeats and stopping tasks.
const ATTAINABLE_SHARE: f64 = 0.9;

/// Lower bound on the number of concurrent tasks that a job is assumed to have. It keeps the work
/// estimate finite when no machine is up.
const MIN_CONCURRENT_TASKS: f64 = 0.5;

/// Whether a job can still meet its deadline; jobs with the smaller value are planned first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Feasibility {
    /// The job can meet its deadline.
    InTime,
    /// The job misses its deadline, but can end by its latest useful end.
    Useful,
    /// The job misses both.
    TooLate,
}

/// Returns the feasibility of every job. `by_deadline` lists all jobs in ascending order of their
/// deadlines.
///
/// Each job is assessed together with the queue ahead of it: when the work of a priority exceeds
/// what its machines can do in time, earliest-deadline-first order would make nearly every job a
/// little late. The Moore–Hodgson algorithm minimizes the number of late jobs.
pub(crate) fn feasibilities(problem: &Problem, by_deadline: &[usize]) -> Vec<Feasibility> {
    let mut result = vec![Feasibility::TooLate; problem.jobs.len()];
    let mut estimator = WorkEstimator::new(problem);
    let committed_s = estimator.mean_committed_s();
    let mut priorities: Vec<u8> = problem.jobs.iter().map(|job| job.priority).collect();
    priorities.sort_unstable();
    priorities.dedup();
    for priority in priorities.into_iter().rev() {
        let of_priority = |&job: &usize| problem.jobs[job].priority == priority;
        let mut candidates: Vec<usize> = by_deadline.iter().copied().filter(of_priority).collect();
        let mut queued_s = committed_s;
        for level in [Feasibility::InTime, Feasibility::Useful] {
            let selection = select_feasible(&mut estimator, candidates, queued_s, level);
            for &job in &selection.kept {
                result[job] = level;
            }
            queued_s = selection.queued_s;
            candidates = selection.dropped;
        }
    }
    result
}

/// Result of the Moore–Hodgson algorithm.
struct Selection {
    /// Jobs that can end in time, in no particular order.
    kept: Vec<usize>,
    /// Jobs that were dropped so that the others can end in time.
    dropped: Vec<usize>,
    /// Work in the queue, including the jobs that were kept, in seconds.
    queued_s: f64,
}

/// Applies the Moore–Hodgson algorithm: jobs are added in the order of their due times; whenever one
/// would end too late, the largest job added so far is dropped.
fn select_feasible(
    estimator: &mut WorkEstimator,
    mut candidates: Vec<usize>,
    queued_before_s: f64,
    level: Feasibility,
) -> Selection {
    let problem = estimator.problem;
    let due_at = |job: usize| match level {
        Feasibility::InTime => problem.jobs[job].deadline,
        _ => problem.jobs[job].latest_useful_end,
    };
    candidates.sort_by(|&a, &b| due_at(a).total_cmp(&due_at(b)).then(a.cmp(&b)));
    let mut kept: BinaryHeap<JobWork> = BinaryHeap::new();
    let mut dropped = Vec::new();
    let mut queued_s = queued_before_s;
    for job in candidates {
        let work_s = estimator.work_s(job);
        kept.push(JobWork { work_s, job });
        queued_s += work_s;
        // After the queue ahead of it, the job itself takes at least the run time of one task.
        let job_run_s = work_s.max(problem.jobs[job].run_s);
        while problem.now + (queued_s - work_s).max(0.0) / ATTAINABLE_SHARE + job_run_s > due_at(job) {
            let Some(largest) = kept.pop() else { break };
            queued_s -= largest.work_s;
            dropped.push(largest.job);
            if largest.job == job {
                break;
            }
        }
    }
    Selection { kept: kept.into_iter().map(|entry| entry.job).collect(), dropped, queued_s }
}

/// Work of a job, ordered by its amount.
struct JobWork {
    work_s: f64,
    job: usize,
}

impl Ord for JobWork {
    fn cmp(&self, other: &Self) -> Ordering {
        self.work_s.total_cmp(&other.work_s).then(self.job.cmp(&other.job))
    }
}

impl PartialOrd for JobWork {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for JobWork {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for JobWork {}

/// Attributes of a job that determine which capacity is available to it.
#[derive(PartialEq)]
struct CapacityView {
    priority: u8,
    instance_types: Vec<usize>,
    spot: bool,
    zone: Option<usize>,
}

impl CapacityView {
    fn of(job: &Job) -> CapacityView {
        CapacityView {
            priority: job.priority,
            instance_types: job.instance_types.clone(),
            spot: job.spot,
            zone: job.zone,
        }
    }

    fn includes(&self, machine: &Machine) -> bool {
        self.instance_types.contains(&machine.instance_type)
            && (self.spot || !machine.spot)
            && self.zone.is_none_or(|zone| zone == machine.zone)
    }
}

/// Number of machines with the same usable resources.
struct MachineGroup {
    resources: Resources,
    machines: f64,
}

/// Estimates how long jobs take on the machines that they may use.
struct WorkEstimator<'a> {
    problem: &'a Problem,
    /// Machines that will be up before the longest reservation window ends.
    usable_machines: Vec<&'a Machine>,
    /// Capacity by view. Most jobs share a few views.
    capacities: Vec<(CapacityView, Vec<MachineGroup>)>,
}

impl<'a> WorkEstimator<'a> {
    fn new(problem: &'a Problem) -> Self {
        let horizon = problem.now + problem.max_window_s;
        let usable_machines = problem.machines.iter().filter(|machine| machine.ready_at <= horizon).collect();
        WorkEstimator { problem, usable_machines, capacities: Vec::new() }
    }

    /// Returns the mean time for which running tasks and boots still occupy a machine, in seconds.
    fn mean_committed_s(&self) -> f64 {
        let now = self.problem.now;
        let committed_s = |machine: &&Machine| {
            let size = &self.problem.instance_types[machine.instance_type].size;
            let running = machine.running.iter();
            running
                .map(|task| (task.ends_at - now).max(0.0) * task.resources.dominant_share_of(size))
                .sum::<f64>()
                + (machine.ready_at - now).max(0.0)
        };
        self.usable_machines.iter().map(committed_s).sum::<f64>() / (self.usable_machines.len().max(1) as f64)
    }

    /// Returns the time in seconds that the job's pending tasks take if they use all of the job's
    /// machines.
    fn work_s(&mut self, job: usize) -> f64 {
        let job = &self.problem.jobs[job];
        let concurrent_tasks: f64 = self
            .capacity_for(job)
            .iter()
            .map(|group| f64::from(group.resources.instances_that_fit(&job.resources)) * group.machines)
            .sum();
        job.pending_tasks.len() as f64 * job.run_s / concurrent_tasks.max(MIN_CONCURRENT_TASKS)
    }

    fn capacity_for(&mut self, job: &Job) -> &[MachineGroup] {
        let view = CapacityView::of(job);
        let existing = self.capacities.iter().position(|(other, _)| *other == view);
        let index = existing.unwrap_or_else(|| {
            let groups = self.machine_groups(&view);
            self.capacities.push((view, groups));
            self.capacities.len() - 1
        });
        &self.capacities[index].1
    }

    /// Groups the machines of a view by the resources that they offer to it. Most machines are
    /// identical, so a job is compared with a few groups instead of every machine.
    fn machine_groups(&self, view: &CapacityView) -> Vec<MachineGroup> {
        let mut groups: Vec<MachineGroup> = Vec::new();
        for machine in self.usable_machines.iter().filter(|machine| view.includes(machine)) {
            let mut resources = self.problem.instance_types[machine.instance_type].size;
            for task in machine.running.iter().filter(|task| task.priority > view.priority) {
                resources.subtract(&task.resources);
            }
            match groups.iter_mut().find(|group| group.resources == resources) {
                Some(group) => group.machines += 1.0,
                None => groups.push(MachineGroup { resources, machines: 1.0 }),
            }
        }
        groups
    }
}
