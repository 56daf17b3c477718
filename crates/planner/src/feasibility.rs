//! Which jobs can still meet their deadlines, given the queue ahead of them.

use crate::problem::{Job, Machine, Problem};
use crate::resources::Resources;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Part of its machines' time that a priority really gets: some goes into fetches, heartbeats and
/// stops.
const ATTAINABLE_SHARE: f64 = 0.9;

/// A job counts on this many tasks side by side at least, so that its work stays finite where no
/// machine is up.
const MIN_CONCURRENT_TASKS: f64 = 0.5;

/// How well a job can still do; the smaller is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Feasibility {
    /// It can meet its deadline.
    InTime,
    /// It can end while that is still of some use.
    Useful,
    /// It can do neither.
    TooLate,
}

/// The feasibility of every job. `by_deadline` has all jobs by rising deadline.
///
/// Jobs are judged with the queue ahead of them, not alone: when the work of a priority exceeds
/// what its machines can do in time, earliest-deadline order would make nearly every job a little
/// late. Moore and Hodgson's rule gives up the fewest.
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

/// The outcome of Moore and Hodgson's rule.
struct Selection {
    /// Jobs that can end in time, in no order.
    kept: Vec<usize>,
    /// Jobs that were given up for the others.
    dropped: Vec<usize>,
    /// Seconds of work up to the last job that was kept.
    queued_s: f64,
}

/// Moore and Hodgson's rule: in the order of due times, whenever a job would end too late, the
/// largest one so far is given up.
fn select_feasible(
    estimator: &mut WorkEstimator,
    mut candidates: Vec<usize>,
    queued_before_s: f64,
    level: Feasibility,
) -> Selection {
    let problem = estimator.problem;
    let due = |job: usize| match level {
        Feasibility::InTime => problem.jobs[job].deadline,
        _ => problem.jobs[job].latest_useful_end,
    };
    candidates.sort_by(|&a, &b| due(a).total_cmp(&due(b)).then(a.cmp(&b)));
    let mut kept: BinaryHeap<JobWork> = BinaryHeap::new();
    let mut dropped = Vec::new();
    let mut queued_s = queued_before_s;
    for job in candidates {
        let work_s = estimator.work_s(job);
        kept.push(JobWork { work_s, job });
        queued_s += work_s;
        // Behind the queue, the job's own tasks take one run at least.
        let own_run_s = work_s.max(problem.jobs[job].run_s);
        while problem.now + (queued_s - work_s).max(0.0) / ATTAINABLE_SHARE + own_run_s > due(job) {
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

/// A job's work, ordered by size.
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

/// Which machines a job may have, as far as its share of their time depends on it.
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

/// Machines with the same usable resources.
struct MachineGroup {
    resources: Resources,
    machines: f64,
}

/// Estimates how long jobs take on the machines that they may have.
struct WorkEstimator<'a> {
    problem: &'a Problem,
    /// Machines that are up before the longest window ends.
    usable: Vec<&'a Machine>,
    /// Capacity by view: jobs mostly share a few views.
    capacities: Vec<(CapacityView, Vec<MachineGroup>)>,
}

impl<'a> WorkEstimator<'a> {
    fn new(problem: &'a Problem) -> Self {
        let horizon = problem.now + problem.max_window_s;
        let usable = problem.machines.iter().filter(|machine| machine.ready_at <= horizon).collect();
        WorkEstimator { problem, usable, capacities: Vec::new() }
    }

    /// Mean time for which running work and boots still hold a machine, in seconds.
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
        self.usable.iter().map(committed_s).sum::<f64>() / (self.usable.len().max(1) as f64)
    }

    /// Time that the job's pending tasks take of all its machines together, in seconds.
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
        let known = self.capacities.iter().position(|(other, _)| *other == view);
        let index = known.unwrap_or_else(|| {
            let groups = self.machine_groups(&view);
            self.capacities.push((view, groups));
            self.capacities.len() - 1
        });
        &self.capacities[index].1
    }

    /// Resources that a view may count on. Most machines are alike, so grouping them spares every
    /// job a look at each.
    fn machine_groups(&self, view: &CapacityView) -> Vec<MachineGroup> {
        let mut groups: Vec<MachineGroup> = Vec::new();
        for machine in self.usable.iter().filter(|machine| view.includes(machine)) {
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
