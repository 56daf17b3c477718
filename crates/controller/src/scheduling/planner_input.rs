//! The planner's input: the cluster state, converted into the planner's problem.

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

/// Fraction of the fleet that all starved classes and teams get together. It is smaller than the
/// fraction that urgent work loses to fetching its images.
const STARVATION_SHARE: f64 = 0.05;

/// Maximum length of a reservation, in worker leases.
const MAX_WINDOW_LEASES: f64 = 10.0;

/// Expected run time of a task of a service, which does not end by itself.
const SERVICE_RUN_S: f64 = 3600.0;

/// Minimum expected remaining run time of a task, as a fraction of its full run time.
const MIN_REMAINING_FRACTION: f64 = 0.1;

/// Data that all steps of building the input read.
pub(super) struct PlanningContext<'a> {
    /// Current time.
    pub now: Time,
    /// The controller, for its settings.
    pub controller: &'a Controller,
    /// State of the leader.
    pub leader: &'a LeaderState,
    /// Machine types, in the order of the planner's type indices.
    pub types: &'a [MachineType],
    /// Zones, in the order of the planner's zone indices.
    pub zones: Vec<String>,
    /// Priorities that jobs inherit from their dependents, by job id.
    pub inherited_priorities: HashMap<String, InheritedPriority>,
}

/// Scheduling properties of a job that do not follow from its specification alone.
#[derive(Debug, Clone, Copy)]
pub(super) struct JobClassification {
    /// Priority and deadline, raised by the jobs that depend on it.
    pub priority: EffectivePriority,
    /// Whether its team's guarantee covers it.
    pub guaranteed: bool,
    /// Whether it is best-effort work, which runs only on machines that no other work needs.
    pub best_effort: bool,
}

impl<'a> PlanningContext<'a> {
    /// Creates the context for a plan of `controller`, whose leader state is `leader`.
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

    /// Returns the index of a zone.
    pub fn zone_index(&self, zone: &str) -> Option<usize> {
        self.zones.iter().position(|name| name == zone)
    }

    /// Returns the priority of a job, raised by the jobs that depend on it.
    pub fn effective_priority(&self, id: &str, job: &Job) -> EffectivePriority {
        self.controller.effective_priority(job, self.inherited_priorities.get(id))
    }

    /// Returns the classification of a job.
    pub fn classify(&self, job: &Job, priority: EffectivePriority, guaranteed: bool) -> JobClassification {
        let best_effort =
            self.controller.is_best_effort(&job.spec) && !guaranteed && !priority.has_dependents;
        JobClassification { priority, guaranteed, best_effort }
    }

    /// Returns the expected run time of a task of the job, in seconds.
    pub fn expected_run_s(&self, job: &Job) -> f64 {
        expected_run_s(job, run_time_ratio(self.leader, &job.spec))
    }

    /// Returns the unfinished jobs that do not wait for dependencies, oldest first.
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
        let sizes =
            machines.machines.iter().map(|machine| machine_resources(&self.types[machine.instance_type]));
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

    /// Returns the time that more urgent work waits for free machines before tasks are preempted.
    fn preemption_wait_s(&self) -> Time {
        if self.controller.operator.preempt {
            self.controller.settings.params.workers.heartbeat_interval_s
        } else {
            f64::MAX
        }
    }
}

/// Returns the expected run time of jobs of the class, as a multiple of their estimates.
pub(super) fn run_time_ratio(leader: &LeaderState, spec: &JobSpec) -> f64 {
    leader.planning.classes.get(&spec.class).map_or(1.0, ClassStats::run_time_ratio)
}

/// Returns the expected run time of a task of the job, in seconds, if tasks of its class take
/// `ratio` times their estimate.
pub(super) fn expected_run_s(job: &Job, ratio: f64) -> f64 {
    let full_s = match job.spec.shape {
        Shape::Service => SERVICE_RUN_S,
        Shape::Array | Shape::Gang => job.spec.estimated_run_s * ratio,
    };
    (full_s - job.progress_s).max(full_s * MIN_REMAINING_FRACTION).max(1.0)
}

/// The planner's problem, and the names that its indices stand for.
pub(super) struct PlannerInput {
    /// Input of the planner.
    pub problem: Problem,
    /// Names of the machines, by machine index.
    pub machine_names: Vec<String>,
    /// Ids of the jobs, by job index. A job that is planned in two parts appears twice.
    pub job_ids: Vec<String>,
    /// Tasks that may be preempted; preemption candidates refer to them by index.
    pub preemptible_tasks: Vec<PlacedTask>,
    /// Classes and teams that are starved.
    pub starved_groups: StarvingGroups,
    /// Priorities that jobs inherit from their dependents, by job id.
    pub inherited_priorities: HashMap<String, InheritedPriority>,
    /// Price of all machines divided by the lowest possible price of the running tasks.
    pub price_ratio: f64,
    /// Peak number of machines used at the same time by work other than best-effort work.
    pub peak_non_best_effort_machines: usize,
    /// Cost of building the input, in planner steps.
    pub steps: u64,
}

impl PlannerInput {
    /// Builds the input from the cluster state.
    pub fn build(context: PlanningContext) -> Self {
        let mut machines = PlannerMachines::new(&context);
        let mut quotas = TeamQuotas::new(&context);
        let ready_jobs = context.ready_jobs();
        let guaranteed = guaranteed_jobs(&context, &ready_jobs);
        let mut guard = context.starvation_guard(&machines);
        let running = RunningTasks::add_to(&context, &guaranteed, &mut machines, &mut quotas, &mut guard);
        let reserved = machines.reserved_for_arrivals(&context, &running.best_effort_machines);
        let open_jobs = open_jobs(&context, &quotas, ready_jobs);
        let peak_non_best_effort_machines =
            running.non_best_effort_machines.len().max(context.leader.planning.peak_non_best_effort_machines);
        let best_effort_limit =
            running.best_effort_limit(&context, &open_jobs, peak_non_best_effort_machines);
        let mut pending = PendingJobs::new(&context, &machines, &guaranteed, reserved, best_effort_limit);
        pending.add_all(open_jobs, &mut guard);
        let steps = running.steps + pending.search_steps();
        let (mut job_ids, mut jobs) = pending.into_jobs();
        let starved_groups = guard.apply(context.now, &mut job_ids, &mut jobs);
        let preemptible_tasks = running.preemptible_tasks;
        protect_starved_groups(&context, &starved_groups, &preemptible_tasks, &mut machines);
        PlannerInput {
            problem: context.problem(machines.machines, jobs, quotas.teams),
            machine_names: machines.names,
            job_ids,
            preemptible_tasks,
            starved_groups,
            price_ratio: context.price_ratio(),
            peak_non_best_effort_machines,
            steps,
            inherited_priorities: context.inherited_priorities,
        }
    }
}

/// Protects running tasks of starved classes and teams from preemption.
fn protect_starved_groups(
    context: &PlanningContext,
    starved: &StarvingGroups,
    tasks: &[PlacedTask],
    machines: &mut PlannerMachines,
) {
    let spec = |task_id: usize| context.leader.cluster.jobs.get(&tasks[task_id].job).map(|job| &job.spec);
    starved
        .protect_from_preemption(machines.machines.iter_mut().flat_map(|machine| &mut machine.running), spec);
}

/// Unordered set of job ids.
pub(super) type JobIds<'a> = HashSet<&'a str>;
