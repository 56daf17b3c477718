//! The planner's input: the cluster's state as the planner's problem, built step by step.

use crate::autoscaling::zonal_demand::zones_of;
use crate::leader::state::LeaderState;
use crate::model::job::Job;
use crate::scheduling::class_stats::ClassStats;
use crate::scheduling::effective_priority::EffectivePriority;
use crate::scheduling::machines::PlannerMachines;
use crate::scheduling::pending_jobs::{open_jobs, PendingJobs};
use crate::scheduling::pricing::{machine_resources, update_price_ratio};
use crate::scheduling::running_tasks::{PlacedTask, RunningTasks};
use crate::scheduling::starvation::{StarvationGuard, StarvingGroups};
use crate::scheduling::teams::{guaranteed_jobs, TeamQuotas};
use crate::{Controller, Time};
use dependencies::InheritedPriority;
use planner::starvation::StarvationPolicy;
use planner::{InstanceType, Problem};
use protocol::cloud::MachineType;
use protocol::job::{JobSpec, Shape};
use std::collections::{HashMap, HashSet};

/// Part of the fleet that starving classes and teams get together. It is less than what urgent
/// work loses to the fetches of its images.
const STARVATION_SHARE: f64 = 0.05;

/// No reservation reaches further than that many worker leases.
const MAX_WINDOW_LEASES: f64 = 10.0;

/// Expected run time of a service's task, which has no end of its own.
const SERVICE_RUN_S: f64 = 3600.0;

/// Tasks are expected to run for that part of their run time yet, at least.
const MIN_REMAINING_PART: f64 = 0.1;

/// What all steps of building the input read.
pub(super) struct PlanningContext<'a> {
    /// The time.
    pub now: Time,
    /// The controller, for its settings.
    pub controller: &'a Controller,
    /// What the leader knows.
    pub leader: &'a LeaderState,
    /// The machine types; their position is the planner's number of a type.
    pub types: &'a [MachineType],
    /// The zones; their position is the planner's number of a zone.
    pub zones: Vec<String>,
    /// What dependent jobs ask of those before them, by id.
    pub inherited_priorities: HashMap<String, InheritedPriority>,
}

/// A job as far as its treatment depends on more than its specification.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobClassification {
    /// How urgent it is, given the jobs that depend on it.
    pub priority: EffectivePriority,
    /// Whether its team's guarantee covers it.
    pub guaranteed: bool,
    /// Whether it runs on machines that nothing else needs only.
    pub best_effort: bool,
}

impl<'a> PlanningContext<'a> {
    /// What `controller`, as `leader`, plans from.
    pub fn new(controller: &'a Controller, leader: &'a LeaderState, types: &'a [MachineType]) -> Self {
        PlanningContext {
            now: controller.now,
            controller,
            leader,
            types,
            zones: zones_of(types),
            inherited_priorities: controller.inherited_priorities(),
        }
    }

    /// The planner's number of a zone.
    pub fn zone_index(&self, zone: &str) -> Option<usize> {
        self.zones.iter().position(|name| name == zone)
    }

    /// How urgent a job is, given the jobs that depend on it.
    pub fn effective_priority(&self, id: &str, job: &Job) -> EffectivePriority {
        self.controller.effective_priority(job, self.inherited_priorities.get(id))
    }

    /// How a job is to be treated.
    pub fn classify(&self, job: &Job, priority: EffectivePriority, guaranteed: bool) -> JobClassification {
        let best_effort =
            self.controller.is_best_effort(&job.spec) && !guaranteed && !priority.has_dependents;
        JobClassification { priority, guaranteed, best_effort }
    }

    /// How long a task of the job is expected to run, in seconds.
    pub fn expected_run_s(&self, job: &Job) -> f64 {
        expected_run_s(job, run_time_ratio(self.leader, &job.spec))
    }

    /// Unfinished jobs that do not wait for others, the oldest first.
    fn ready_jobs(&self) -> Vec<(&'a String, &'a Job)> {
        let leader = self.leader;
        let graph = &leader.dependencies.graph;
        let respects_dependencies = self.controller.checks.dependency_order;
        let jobs = leader.cluster.jobs.iter();
        let mut ready: Vec<(&String, &Job)> = jobs
            .filter(|(id, job)| !(job.is_final() || respects_dependencies && graph.is_waiting(id)))
            .collect();
        ready.sort_by(|a, b| a.1.ready_at.total_cmp(&b.1.ready_at).then(a.0.cmp(b.0)));
        ready
    }

    fn instance_types(&self) -> Vec<InstanceType> {
        let to_instance_type = |machine_type: &MachineType| InstanceType {
            size: machine_resources(machine_type),
            price: machine_type.price,
            spot_price: machine_type.spot_price,
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
        };
        self.types.iter().map(to_instance_type).collect()
    }

    fn starvation_guard(&self, machines: &PlannerMachines) -> StarvationGuard {
        let timing = &self.controller.timing;
        let policy = StarvationPolicy {
            guaranteed_share: STARVATION_SHARE,
            max_wait_s: timing.starvation_wait_s,
            reservation_s: timing.gang_reservation_s,
        };
        let sizes = machines.machines.iter().map(|m| machine_resources(&self.types[m.instance_type]));
        StarvationGuard::new(policy, sizes)
    }

    fn problem(
        &self,
        machines: Vec<planner::Machine>,
        jobs: Vec<planner::Job>,
        teams: Vec<planner::TeamQuota>,
    ) -> Problem {
        Problem {
            now: self.now,
            instance_types: self.instance_types(),
            zones: self.zones.len(),
            machines,
            jobs,
            teams,
            max_window_s: self.controller.settings.params.workers.lease_s * MAX_WINDOW_LEASES,
            preemption_wait_s: self.preemption_wait_s(),
        }
    }

    fn price_ratio(&self) -> f64 {
        let lease_s = self.controller.settings.params.workers.lease_s;
        update_price_ratio(self.leader, self.types, self.now, lease_s)
    }

    /// More urgent work waits that long rather than having tasks preempted.
    fn preemption_wait_s(&self) -> Time {
        if self.controller.operator.preempt {
            self.controller.settings.params.workers.heartbeat_interval_s
        } else {
            f64::MAX
        }
    }
}

/// Expected run time of the job's class, as a multiple of the estimate.
pub(super) fn run_time_ratio(leader: &LeaderState, spec: &JobSpec) -> f64 {
    leader.planning.classes.get(&spec.class).map_or(1.0, ClassStats::run_time_ratio)
}

/// How long a task of the job is expected to run, in seconds, if tasks of its class take `ratio`
/// times their estimate.
pub(super) fn expected_run_s(job: &Job, ratio: f64) -> f64 {
    let full_s = match job.spec.shape {
        Shape::Service => SERVICE_RUN_S,
        Shape::Array | Shape::Gang => job.spec.estimated_run_s * ratio,
    };
    (full_s - job.progress_s).max(full_s * MIN_REMAINING_PART).max(1.0)
}

/// The planner's problem, with what its numbers stand for.
pub(super) struct PlannerInput {
    /// What the planner gets.
    pub problem: Problem,
    /// Names of the problem's machines.
    pub machine_names: Vec<String>,
    /// Ids of the problem's jobs. One that is planned in two parts stands here twice.
    pub job_ids: Vec<String>,
    /// Tasks by the number of their owner in a preemption candidate.
    pub preemptible_tasks: Vec<PlacedTask>,
    /// Classes and teams that are starving.
    pub starving_groups: StarvingGroups,
    /// What dependent jobs ask of those before them, by id.
    pub inherited_priorities: HashMap<String, InheritedPriority>,
    /// What is paid, as a multiple of what the work would cost where it is cheapest.
    pub price_ratio: f64,
    /// The largest number of machines that work other than best-effort work has had at a time.
    pub peak_demanded_machines: usize,
    /// What building the input took, in the planner's steps.
    pub steps: u64,
}

impl PlannerInput {
    /// Builds the input from the state of the cluster.
    pub fn build(context: PlanningContext) -> Self {
        let mut machines = PlannerMachines::new(&context);
        let mut quotas = TeamQuotas::new(&context);
        let ready_jobs = context.ready_jobs();
        let guaranteed = guaranteed_jobs(&context, &ready_jobs);
        let mut guard = context.starvation_guard(&machines);
        let running = RunningTasks::add_to(&context, &guaranteed, &mut machines, &mut quotas, &mut guard);
        let reserved = machines.reserved_for_arrivals(&context, &running.best_effort_machines);
        let open_jobs = open_jobs(&context, &quotas, ready_jobs);
        let peak_demanded_machines =
            running.demanded_machines.len().max(context.leader.planning.peak_demanded_machines);
        let best_effort_limit = running.best_effort_limit(&context, &open_jobs, peak_demanded_machines);
        let mut pending = PendingJobs::new(&context, &machines, &guaranteed, reserved, best_effort_limit);
        pending.add_all(open_jobs, &mut guard);
        let steps = running.steps + pending.search_steps();
        let (mut job_ids, mut jobs) = pending.into_jobs();
        let starving_groups = guard.apply(context.now, &mut job_ids, &mut jobs);
        let preemptible_tasks = running.preemptible_tasks;
        protect_starving(&context, &starving_groups, &preemptible_tasks, &mut machines);
        PlannerInput {
            problem: context.problem(machines.machines, jobs, quotas.teams),
            machine_names: machines.names,
            job_ids,
            preemptible_tasks,
            starving_groups,
            price_ratio: context.price_ratio(),
            peak_demanded_machines,
            steps,
            inherited_priorities: context.inherited_priorities,
        }
    }
}

/// Tasks of starving classes and teams are not preempted.
fn protect_starving(
    context: &PlanningContext,
    starving: &StarvingGroups,
    tasks: &[PlacedTask],
    machines: &mut PlannerMachines,
) {
    let spec = |owner: usize| context.leader.cluster.jobs.get(&tasks[owner].job).map(|job| &job.spec);
    starving.protect_from_preemption(machines.machines.iter_mut().flat_map(|m| &mut m.running), spec);
}

/// Ids of jobs, as a set without order.
pub(super) type JobIds<'a> = HashSet<&'a str>;
