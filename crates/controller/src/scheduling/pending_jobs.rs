//! The jobs in the planner's input: those with tasks that wait for a machine, most urgent first.

use crate::model::job::Job;
use crate::scheduling::best_effort::{cheap_types, max_tasks_per_machine, AllowedTypes, BestEffortLimit};
use crate::scheduling::effective_priority::EffectivePriority;
use crate::scheduling::free_capacity::FreeCapacitySearch;
use crate::scheduling::machines::PlannerMachines;
use crate::scheduling::planner_input::{JobIds, PlanningContext};
use crate::scheduling::pricing::{allows_type, resources_per_task};
use crate::scheduling::starvation::StarvationGuard;
use crate::scheduling::teams::TeamQuotas;
use protocol::job::{JobSpec, Shape};
use std::cmp::Reverse;

/// Maximum number of tasks of one job that a plan considers. Gangs are always considered whole.
const MAX_TASKS_PER_JOB: usize = 256;

/// Maximum number of jobs that a plan considers.
const MAX_JOBS_PER_PLAN: usize = 1000;

/// Zone index that stands for a zone that does not exist.
const UNKNOWN_ZONE: usize = usize::MAX;

/// A job with tasks that have no placement.
pub(super) struct OpenJob<'a> {
    /// Id of the job.
    pub id: &'a String,
    /// The job.
    pub job: &'a Job,
    /// Index of its team.
    pub team: usize,
    /// Its effective priority.
    pub priority: EffectivePriority,
}

/// Returns the open jobs among `jobs`. Jobs whose team is below its limit come first; within that,
/// jobs are sorted by falling priority, and ties keep the order of `jobs`. A plan that considered
/// only the oldest jobs would miss urgent new ones when very many jobs are open.
pub(super) fn open_jobs<'a>(
    context: &PlanningContext<'a>,
    quotas: &TeamQuotas,
    jobs: Vec<(&'a String, &'a Job)>,
) -> Vec<OpenJob<'a>> {
    let mut open = Vec::new();
    for (id, job) in jobs {
        let Some(team) = quotas.index_of(&job.spec.team) else { continue };
        if !job.has_no_pending_tasks() && !job.page_layout.is_changing() {
            open.push(OpenJob { id, job, team, priority: context.effective_priority(id, job) });
        }
    }
    open.sort_by_key(|open| Reverse((quotas.allows_task(open.team, &open.job.spec), open.priority.priority)));
    open
}

/// Parameters for planning the open tasks of one job.
struct JobPlan {
    guaranteed: bool,
    best_effort: bool,
    /// Whether only one task is placed: to test whether a suspected job works, or for overdue
    /// best-effort work regardless of its limits.
    probing: bool,
    tasks: Vec<u32>,
    types: AllowedTypes,
    placed_per_zone: Vec<u32>,
}

/// Builder of the planner's jobs.
pub(super) struct PendingJobs<'a, 'c> {
    context: &'c PlanningContext<'a>,
    machines: &'c PlannerMachines<'a>,
    guaranteed: &'c JobIds<'a>,
    /// Machines that best-effort work must leave free.
    reserved_machines: Vec<usize>,
    best_effort_limit: BestEffortLimit,
    free_capacity: FreeCapacitySearch<'a>,
    ids: Vec<String>,
    jobs: Vec<planner::Job>,
}

impl<'a, 'c> PendingJobs<'a, 'c> {
    /// Creates a builder without jobs. Best-effort work leaves `reserved_machines` free.
    pub fn new(
        context: &'c PlanningContext<'a>,
        machines: &'c PlannerMachines<'a>,
        guaranteed: &'c JobIds<'a>,
        reserved_machines: Vec<usize>,
        best_effort_limit: BestEffortLimit,
    ) -> Self {
        PendingJobs {
            context,
            machines,
            guaranteed,
            reserved_machines,
            best_effort_limit,
            free_capacity: FreeCapacitySearch::default(),
            ids: Vec::new(),
            jobs: Vec::new(),
        }
    }

    /// Returns the cost of searching for free capacity, in planner steps.
    pub fn search_steps(&self) -> u64 {
        self.free_capacity.steps()
    }

    /// Returns the job ids and the jobs, both in the order of the planner's job indices.
    pub fn into_jobs(self) -> (Vec<String>, Vec<planner::Job>) {
        (self.ids, self.jobs)
    }

    /// Adds the first `MAX_JOBS_PER_PLAN` open jobs, and adds their demand to `guard`.
    pub fn add_all(&mut self, open_jobs: Vec<OpenJob<'a>>, guard: &mut StarvationGuard) {
        for open in open_jobs.into_iter().take(MAX_JOBS_PER_PLAN) {
            let Some(plan) = self.plan_job(&open) else { continue };
            let planned = self.planner_job(&open, plan);
            // Neither best-effort work nor jobs that fail everywhere are protected from starvation.
            if !planned.best_effort && !planned.probing {
                guard.add_demand(self.jobs.len(), &open.job.spec, &planned, has_started(open.job));
            }
            self.ids.push(open.id.clone());
            self.jobs.push(planned);
        }
    }

    /// Returns the planning parameters of a job, or None if it is not planned now.
    fn plan_job(&mut self, open: &OpenJob<'a>) -> Option<JobPlan> {
        let context = self.context;
        let job = open.job;
        let guaranteed = self.guaranteed.contains(open.id.as_str());
        let classified_best_effort = context.classify(job, open.priority, guaranteed).best_effort;
        let overdue = classified_best_effort && self.is_overdue_beside_capacity(job);
        let best_effort = classified_best_effort && !overdue;
        let probing = job.is_suspected() || overdue;
        let mut tasks = tasks_to_plan(job, probing)?;
        let mut types = allowed_types(context, &job.spec);
        if best_effort {
            types = cheap_types(context, &job.spec, &types.instance_types);
            let per_machine = max_tasks_per_machine(context, &job.spec, &types.instance_types);
            self.best_effort_limit.take(&mut tasks, per_machine);
            if tasks.is_empty() {
                return None;
            }
        }
        let placed_per_zone = placed_per_zone(context, job)?;
        Some(JobPlan { guaranteed, best_effort, probing, tasks, types, placed_per_zone })
    }

    /// Whether a best-effort job has waited too long while a machine has room for one of its tasks.
    /// Such a job may place one task regardless of the limits on best-effort work.
    fn is_overdue_beside_capacity(&mut self, job: &'a Job) -> bool {
        let controller = self.context.controller;
        let max_wait_s = controller.timing.max_idle_capacity_wait_s / 2.0;
        controller.checks.work_conservation
            && job.placements.is_empty()
            && self.context.now - job.ready_at > max_wait_s
            && self.free_capacity.has_room(self.context, self.machines, job)
    }

    fn planner_job(&self, open: &OpenJob, plan: JobPlan) -> planner::Job {
        let OpenJob { id, job, team, priority } = open;
        let spec = &job.spec;
        let zone = spec.zone.as_ref();
        planner::Job {
            priority: priority.priority,
            shape: planner_shape(spec.shape),
            pending_tasks: plan.tasks,
            resources: resources_per_task(spec),
            run_s: self.context.expected_run_s(job),
            image: job.image_id,
            image_gb: spec.image_gb,
            instance_types: plan.types.instance_types,
            zone: zone.map(|zone| self.context.zone_index(zone).unwrap_or(UNKNOWN_ZONE)),
            one_zone: spec.one_zone,
            max_per_zone: spec.spread.then_some(spec.tasks.div_ceil(2)),
            placed_per_zone: plan.placed_per_zone,
            spot: spec.spot,
            submitted_at: job.ready_at,
            deadline: priority.deadline,
            latest_useful_end: priority.latest_useful_end,
            team: *team,
            guaranteed: plan.guaranteed,
            not_before: job.not_before,
            probing: plan.probing,
            best_effort: plan.best_effort,
            starvation_relief: false,
            reserves_until: 0.0,
            assembly_zone: self.context.leader.planning.gang_reservation.zone_of(id),
            waits_beside_capacity: self.has_waited_beside_capacity(id, job),
            spot_only: plan.types.spot_only,
            excluded_machines: self.excluded_machines(job, plan.best_effort),
        }
    }

    fn has_waited_beside_capacity(&self, id: &str, job: &Job) -> bool {
        let controller = self.context.controller;
        let waiting = &self.context.leader.planning.waiting_beside_capacity;
        let max_wait_s = controller.timing.max_idle_capacity_wait_s;
        controller.checks.work_conservation
            && job.placements.is_empty()
            && waiting.has_waited(id, self.context.now, max_wait_s)
    }

    /// Returns the machines that the job may not use: those that it failed on, unless the job itself
    /// is suspected to be faulty, and the reserved machines if it is best-effort work.
    fn excluded_machines(&self, job: &Job, best_effort: bool) -> Vec<usize> {
        let suspected = job.is_suspected();
        let failed_on = job.failed_on.iter().filter(|_| !suspected);
        let failed_on = failed_on.filter_map(|machine| self.machines.index_of(machine));
        let reserved = self.reserved_machines.iter().copied().filter(|_| best_effort);
        failed_on.chain(reserved).collect()
    }
}

/// Whether any task of the job has, or has had, a placement.
fn has_started(job: &Job) -> bool {
    !job.placements.is_empty() || job.first_start.is_some() || job.done_count > 0
}

/// Returns the tasks of a job that a plan considers, or None if its probe is still running.
fn tasks_to_plan(job: &Job, probing: bool) -> Option<Vec<u32>> {
    match job.spec.shape {
        // A gang is placed as a whole or not at all.
        Shape::Gang => Some(job.pending_tasks(usize::MAX)),
        Shape::Array | Shape::Service if !probing => Some(job.pending_tasks(MAX_TASKS_PER_JOB)),
        Shape::Array | Shape::Service => job.placements.is_empty().then(|| job.pending_tasks(1)),
    }
}

/// Returns the machine types that the specification allows.
fn allowed_types(context: &PlanningContext, spec: &JobSpec) -> AllowedTypes {
    let types = context.types.iter().enumerate();
    let allowed = types.filter(|(_, machine_type)| allows_type(spec, machine_type));
    AllowedTypes { instance_types: allowed.map(|(index, _)| index).collect(), spot_only: false }
}

/// Returns the number of the job's tasks in each zone; all 0 if zones do not matter for the job.
/// Returns None if the machine or zone of a placement is unknown.
fn placed_per_zone(context: &PlanningContext, job: &Job) -> Option<Vec<u32>> {
    let mut tasks = vec![0; context.zones.len()];
    if !job.spec.one_zone && !job.spec.spread {
        return Some(tasks);
    }
    for placement in job.placements.values() {
        let machine = context.leader.cluster.machines.get(&placement.machine)?;
        tasks[context.zone_index(&machine.zone)?] += 1;
    }
    Some(tasks)
}

fn planner_shape(shape: Shape) -> planner::Shape {
    match shape {
        Shape::Array => planner::Shape::Array,
        Shape::Gang => planner::Shape::Gang,
        Shape::Service => planner::Shape::Service,
    }
}
