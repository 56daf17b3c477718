//! Applies a plan: records its results, places the tasks that start, and stops the preempted tasks.

use crate::leader::state::{LeaderState, Role};
use crate::model::job::Job;
use crate::model::records::StoredPlacement;
use crate::scheduling::planner_input::PlannerInput;
use crate::scheduling::running_tasks::PlacedTask;
use crate::scheduling::starvation::{AssemblingGang, GangReservation};
use crate::{Controller, Time};
use planner::{Plan, Start};
use protocol::job::Shape;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tracing::{debug, info};

/// Grace period of a preempted task that saves a checkpoint, as a multiple of its usual save time.
const CHECKPOINT_TIME_MARGIN: f64 = 1.25;

/// A page of a job's stored record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct StoredPage {
    /// Index of the job in the planner's input.
    job: usize,
    page: usize,
}

/// Places the tasks that a plan starts.
#[derive(Default)]
struct StartedTasks {
    /// Attempt number of the tasks of each gang, by job index.
    gang_attempts: BTreeMap<usize, u64>,
    /// Bytes of the placements on each page that gets new ones.
    page_bytes: HashMap<StoredPage, usize>,
}

impl StartedTasks {
    /// Places a task unless its job still waits for dependencies or its placement does not fit its
    /// page.
    fn start(
        &mut self,
        leader: &mut LeaderState,
        input: &PlannerInput,
        start: &Start,
        now: Time,
        respect_dependencies: bool,
    ) {
        let id = &input.job_ids[start.job];
        let machine_name = &input.machine_names[start.machine];
        // Placements are created only here, so no task of a job is placed before the jobs that it
        // depends on are stored as done.
        if respect_dependencies && leader.dependencies.graph.is_waiting(id) {
            return;
        }
        let Some(job) = leader.cluster.jobs.get(id) else { return };
        let attempt = self.attempt(job, start);
        if !self.reserve_page_bytes(job, start, attempt, machine_name) {
            return;
        }
        leader.cluster.add_placement(id, start.task, machine_name, attempt, now);
        leader.heartbeats.to_check.insert(machine_name.clone());
        leader.write_queue.write_now = true;
        if let Some(machine) = leader.cluster.machines.get_mut(machine_name) {
            let planned = &input.problem.jobs[start.job];
            machine.record_image(planned.image, now, planned.image_gb);
            machine.idle_since = now;
        }
    }

    /// Returns the next attempt number, which is the same for all tasks of a gang.
    fn attempt(&mut self, job: &Job, start: &Start) -> u64 {
        let next = job.attempt + 1;
        match job.spec.shape {
            Shape::Gang => *self.gang_attempts.entry(start.job).or_insert(next),
            Shape::Array | Shape::Service => next,
        }
    }

    /// Reserves space for the placement on the page that stores it. Returns whether the placement may
    /// be created.
    fn reserve_page_bytes(&mut self, job: &Job, start: &Start, attempt: u64, machine: &str) -> bool {
        let page = job.page_of(start.task);
        let bytes = self
            .page_bytes
            .entry(StoredPage { job: start.job, page })
            .or_insert_with(|| job.placement_bytes(page));
        let added = StoredPlacement::size(start.task, attempt, machine);
        if !job.accepts_placement(page, *bytes, added) {
            debug!(
                job = %job.spec.id,
                task = start.task,
                added,
                bytes = *bytes,
                "placement withheld: no room in its stored page"
            );
            return false;
        }
        *bytes += added;
        true
    }
}

/// Returns the time that a preempted task of the job gets to save its progress.
fn preemption_grace_s(job: &Job) -> Time {
    if job.spec.checkpoint_interval_s > 0.0 {
        job.spec.save_s * CHECKPOINT_TIME_MARGIN
    } else {
        0.0
    }
}

impl Controller {
    /// Records the results of the plan. The next plan is made after `next_plan_in_s` at the earliest.
    pub(super) fn record_plan(&mut self, input: &mut PlannerInput, plan: &Plan, next_plan_in_s: Time) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let planning = &mut leader.planning;
        planning.needed = false;
        planning.planned_at = now;
        planning.next_plan_at = now + next_plan_in_s;
        planning.peak_non_best_effort_machines = input.peak_non_best_effort_machines;
        planning.price_ratio = input.price_ratio;
        planning.gang_reservation = GangReservation(
            plan.gang_assembly.map(|(job, zone)| AssemblingGang { job: input.job_ids[job].clone(), zone }),
        );
        let waiting: BTreeSet<&str> =
            plan.waiting_beside_capacity.iter().map(|&job| input.job_ids[job].as_str()).collect();
        planning.waiting_beside_capacity.update(now, &waiting);
        if planning.starved_groups != input.starved_groups {
            info!(starving = ?input.starved_groups, "starving classes and teams changed");
            planning.starved_groups = std::mem::take(&mut input.starved_groups);
        }
        for (id, priority) in input.inherited_priorities.drain() {
            if let Some(job) = leader.cluster.jobs.get_mut(&id) {
                job.inherited_priority = Some(priority);
            }
        }
    }

    /// Places the tasks that start now.
    pub(super) fn apply_starts(&mut self, input: &PlannerInput, plan: &Plan) {
        let now = self.now;
        let respect_dependencies = self.checks.dependency_order;
        let Role::Leader(leader) = &mut self.role else { return };
        if !plan.starts.is_empty() {
            debug!(starts = plan.starts.len(), reserved = plan.reservations.len(), "plan applied");
        }
        let mut started = StartedTasks::default();
        for start in &plan.starts {
            started.start(leader, input, start, now, respect_dependencies);
        }
    }

    /// Stops the preempted tasks; `preemptions` are indices of `tasks`.
    pub(super) fn apply_preemptions(&mut self, preemptions: &[usize], tasks: &[PlacedTask]) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let mut preempted: BTreeMap<&String, u32> = BTreeMap::new();
        for PlacedTask { job: id, task } in preemptions.iter().filter_map(|&index| tasks.get(index)) {
            let Some(job) = leader.cluster.jobs.get_mut(id) else { continue };
            let grace_s = preemption_grace_s(job);
            let Some(placement) = job.placements.get_mut(task) else { continue };
            placement.stopping = Some((now, grace_s));
            *preempted.entry(id).or_insert(0) += 1;
            leader.pending_kills.add_job(id);
        }
        for (job, tasks) in preempted {
            info!(%job, tasks, "tasks preempted");
        }
    }
}
