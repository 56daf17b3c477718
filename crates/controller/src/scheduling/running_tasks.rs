//! The placed tasks of the planner's input: what they take of machines and quotas, when they are
//! expected to end, and which of them may be preempted.

use crate::model::job::{Job, Placement};
use crate::scheduling::best_effort::BestEffortLimit;
use crate::scheduling::machines::PlannerMachines;
use crate::scheduling::pending_jobs::OpenJob;
use crate::scheduling::planner_input::{JobClassification, JobIds, PlanningContext};
use crate::scheduling::pricing::resources_per_task;
use crate::scheduling::starvation::StarvationGuard;
use crate::scheduling::teams::TeamQuotas;
use crate::Time;
use planner::{PreemptionCandidate, Resources, RunningTask};
use protocol::job::Shape;
use std::collections::HashSet;

/// From sending a kill until the machine can take another task, about.
const STOP_S: Time = 1.5;

/// From placing a task until it runs, about.
const START_S: Time = 10.0;

/// A task is expected to run for that part of its run time yet, at least.
const MIN_REMAINING_PART: f64 = 0.1;

/// A task is expected to run for that long yet, at least.
const MIN_REMAINING_S: Time = 0.5;

/// What building the input takes, in the planner's steps. (Without these, plans of a large fleet
/// with little waiting work took all of the processor's share.)
const STEPS_PER_MACHINE: u64 = 8;
const STEPS_PER_PLACEMENT: u64 = 3;
const STEPS_PER_JOB: u64 = 1;

/// The team of jobs whose team is not in the settings.
const UNKNOWN_TEAM: usize = usize::MAX;

/// A task that has a placement.
#[derive(Debug, Clone)]
pub(super) struct PlacedTask {
    /// Its job's id.
    pub job: String,
    /// Its number in the job.
    pub task: u32,
}

/// What a pass over all placed tasks finds.
pub(super) struct RunningTasks<'a> {
    /// Tasks by their `task_id` in a preemption candidate.
    pub preemptible_tasks: Vec<PlacedTask>,
    /// Machines with work other than best-effort work.
    pub demanded_machines: HashSet<&'a str>,
    /// Machines with best-effort work.
    pub best_effort_machines: HashSet<&'a str>,
    /// What the pass took, in the planner's steps.
    pub steps: u64,
}

impl<'a> RunningTasks<'a> {
    /// Adds all placed tasks to their machines, and counts them against quotas and shares.
    pub fn add_to(
        context: &PlanningContext<'a>,
        guaranteed: &JobIds,
        machines: &mut PlannerMachines,
        quotas: &mut TeamQuotas,
        guard: &mut StarvationGuard,
    ) -> Self {
        let mut running = RunningTasks {
            preemptible_tasks: Vec::new(),
            demanded_machines: HashSet::new(),
            best_effort_machines: HashSet::new(),
            steps: STEPS_PER_MACHINE * machines.machines.len() as u64,
        };
        for (id, job) in &context.leader.cluster.jobs {
            guard.add_usage(&job.spec, job.placements.len());
            running.steps += STEPS_PER_PLACEMENT * job.placements.len() as u64 + STEPS_PER_JOB;
            let priority = context.effective_priority(id, job);
            let planned = PlacedJob {
                id,
                job,
                resources: resources_per_task(&job.spec),
                team: quotas.index_of(&job.spec.team),
                run_s: context.expected_run_s(job),
                classification: context.classify(job, priority, guaranteed.contains(id.as_str())),
                may_be_preempted: !is_late_starter(context, job),
            };
            running.add_job(context.now, &planned, machines, quotas);
        }
        running
    }

    fn add_job(
        &mut self,
        now: Time,
        placed: &PlacedJob<'a>,
        machines: &mut PlannerMachines,
        quotas: &mut TeamQuotas,
    ) {
        for (&task, placement) in &placed.job.placements {
            let occupied = if placed.classification.best_effort {
                &mut self.best_effort_machines
            } else {
                &mut self.demanded_machines
            };
            occupied.insert(&placement.machine);
            quotas.subtract(placed.team, &placed.resources);
            let Some(index) = machines.index_of(&placement.machine) else { continue };
            let preemption = self.preemption_candidate(now, placed, task, placement);
            let machine = &mut machines.machines[index];
            machine.free.subtract(&placed.resources);
            machine.running.push(placed.running_task(now, placement, preemption));
            if !machine.images.contains(&placed.job.image_id) {
                machine.images.push(placed.job.image_id);
            }
        }
    }

    fn preemption_candidate(
        &mut self,
        now: Time,
        placed: &PlacedJob,
        task: u32,
        placement: &Placement,
    ) -> Option<PreemptionCandidate> {
        if !placed.may_be_preempted || !is_preemptible(placed.job, placement) {
            return None;
        }
        self.preemptible_tasks.push(PlacedTask { job: placed.id.clone(), task });
        let task_id = self.preemptible_tasks.len() - 1;
        Some(preemption_cost(now, placed.job, placement, task_id))
    }

    /// How many machines best-effort work may take, besides those that it has: half as many as
    /// other work has had, or any number without other work.
    pub fn best_effort_limit(
        &self,
        context: &PlanningContext,
        open_jobs: &[OpenJob],
        peak_demanded_machines: usize,
    ) -> BestEffortLimit {
        let is_alone = self.demanded_machines.is_empty()
            && open_jobs.iter().all(|open| {
                context.controller.is_best_effort(&open.job.spec) && !open.priority.has_dependents
            });
        if is_alone {
            BestEffortLimit::unlimited()
        } else {
            let machines_left = peak_demanded_machines.saturating_sub(self.best_effort_machines.len());
            BestEffortLimit::new(machines_left)
        }
    }
}

/// A job with what its placed tasks have in common.
struct PlacedJob<'a> {
    id: &'a String,
    job: &'a Job,
    resources: Resources,
    team: Option<usize>,
    /// Expected run time of one of its tasks.
    run_s: Time,
    classification: JobClassification,
    may_be_preempted: bool,
}

impl PlacedJob<'_> {
    fn running_task(
        &self,
        now: Time,
        placement: &Placement,
        preemption: Option<PreemptionCandidate>,
    ) -> RunningTask {
        RunningTask {
            ends_at: self.expected_end(now, placement).max(now + MIN_REMAINING_S),
            endless: self.job.spec.shape == Shape::Service && placement.stopping.is_none(),
            resources: self.resources,
            priority: self.classification.priority.priority,
            team: self.team.unwrap_or(UNKNOWN_TEAM),
            within_guarantee: self.classification.guaranteed,
            preemption,
        }
    }

    fn expected_end(&self, now: Time, placement: &Placement) -> Time {
        match (placement.stopping, placement.running_since) {
            (Some((since, grace_s)), _) => since + grace_s + STOP_S,
            (None, Some(since)) => (since + self.run_s).max(now + self.run_s * MIN_REMAINING_PART),
            (None, None) => placement.placed_at + self.run_s + START_S,
        }
    }
}

/// Whether a task may be stopped for more urgent work. A gang of several tasks is left alone: its
/// graceful eviction costs all of its machines.
fn is_preemptible(job: &Job, placement: &Placement) -> bool {
    placement.observed_state.is_some()
        && placement.stopping.is_none()
        && !job.is_final()
        && (job.spec.shape != Shape::Gang || job.spec.tasks == 1)
}

/// What preempting a task would lose, and how long it would take.
fn preemption_cost(now: Time, job: &Job, placement: &Placement, task_id: usize) -> PreemptionCandidate {
    if job.spec.checkpoint_interval_s > 0.0 {
        let save_s = job.spec.save_s;
        return PreemptionCandidate { task_id, lost_work_s: save_s, stop_s: save_s + STOP_S };
    }
    let lost_work_s = placement.running_since.map_or(0.0, |since| now - since);
    PreemptionCandidate { task_id, lost_work_s, stop_s: STOP_S }
}

/// Whether a job that went first because it was overdue has only just started: until it has run
/// for a worker lease it is not preempted. (The one task that an array got after minutes was once
/// preempted again and again before it had its image.)
fn is_late_starter(context: &PlanningContext, job: &Job) -> bool {
    let now = context.now;
    let lease_s = context.controller.settings.params.workers.lease_s;
    let is_first_placement = job.spec.shape == Shape::Gang || job.placements.len() == 1;
    let has_progressed = job.done_count > 0 || job.first_start.is_some_and(|at| now - at > lease_s);
    let is_overdue = now - job.ready_at > context.controller.timing.starvation_wait_s;
    is_first_placement && !has_progressed && is_overdue
}
