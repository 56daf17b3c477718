//! The machines in the planner's input.

use crate::autoscaling::fleet::MachinePool;
use crate::model::machine::Machine;
use crate::scheduling::planner_input::PlanningContext;
use crate::scheduling::pricing::machine_resources;
use crate::Time;
use protocol::worker::{split_task, TaskState, TaskStatus};
use std::collections::{HashMap, HashSet};

/// Expected duration of a boot, as a multiple of the machine type's boot time.
const BOOT_TIME_MARGIN: f64 = 1.1;

/// Minimum expected time until a booting machine is ready.
const MIN_BOOT_LEFT_S: Time = 2.0;

/// Machines that a plan can use, with their indices in the planner's input.
pub(super) struct PlannerMachines<'a> {
    /// Names by machine index.
    pub names: Vec<String>,
    /// Machines in the planner's input, by machine index.
    pub machines: Vec<planner::Machine>,
    /// Machine indices by name.
    indices: HashMap<&'a str, usize>,
}

impl<'a> PlannerMachines<'a> {
    /// Collects the machines that can get work, without tasks.
    pub fn new(context: &PlanningContext<'a>) -> Self {
        let mut all = PlannerMachines { names: Vec::new(), machines: Vec::new(), indices: HashMap::new() };
        for machine in context.leader.cluster.machines.values() {
            let Some(planned) = planner_machine(context, machine) else { continue };
            all.indices.insert(&machine.id, all.machines.len());
            all.names.push(machine.id.clone());
            all.machines.push(planned);
        }
        all
    }

    /// Returns the index of a machine, or None if plans cannot use it.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// Returns the machines that best-effort work leaves free for expected arrivals: in each pool the
    /// emptiest machines without best-effort work, up to the pool's reserve.
    pub fn reserved_for_arrivals(
        &self,
        context: &PlanningContext,
        best_effort_machines: &HashSet<&str>,
    ) -> Vec<usize> {
        let mut reserved = Vec::new();
        for (pool, &count) in &context.leader.fleet.targets.reserve {
            let mut candidates: Vec<(f64, usize)> = self
                .indices_in_pool(context, pool)
                .filter(|&index| !best_effort_machines.contains(self.names[index].as_str()))
                .map(|index| (free_score(&self.machines[index]), index))
                .filter(|(score, _)| *score > 0.0)
                .collect();
            candidates.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
            reserved.extend(candidates.into_iter().take(count as usize).map(|(_, index)| index));
        }
        reserved
    }

    fn indices_in_pool<'p>(
        &'p self,
        context: &'p PlanningContext,
        pool: &'p MachinePool,
    ) -> impl Iterator<Item = usize> + 'p {
        let machines = self.machines.iter().enumerate();
        let in_pool = machines.filter(|(_, machine)| {
            machine.spot == pool.spot && context.types[machine.instance_type].name == pool.machine_type
        });
        in_pool.map(|(index, _)| index)
    }
}

/// Returns a score that ranks machines by free accelerators, then by free cores.
fn free_score(machine: &planner::Machine) -> f64 {
    machine.free.accelerators + machine.free.cores / 1e3
}

/// Converts a machine to the planner's form, without tasks. Returns None if it can get no work.
fn planner_machine(context: &PlanningContext, machine: &Machine) -> Option<planner::Machine> {
    if !machine.accepts_work() {
        return None;
    }
    let instance_type =
        context.types.iter().position(|machine_type| machine_type.name == machine.machine_type)?;
    let zone = context.zone_index(&machine.zone)?;
    if !is_reachable(context, machine) || runs_undecodable_work(context, machine) {
        return None;
    }
    let machine_type = &context.types[instance_type];
    let ready_at = match machine.last_heard_at {
        Some(_) => context.now,
        None => {
            let boot_ends_at = machine.created_at + machine_type.boot_s * BOOT_TIME_MARGIN;
            boot_ends_at.max(context.now + MIN_BOOT_LEFT_S)
        }
    };
    Some(planner::Machine {
        instance_type,
        zone,
        spot: machine.spot,
        ready_at,
        free: machine_resources(machine_type),
        running: Vec::new(),
        images: machine.cached_images(machine_type.cache_gb),
        slowness: machine.slowness,
    })
}

/// Whether the machine has missed no heartbeats and, if it is still booting, its zone is reachable.
fn is_reachable(context: &PlanningContext, machine: &Machine) -> bool {
    let boots_in_unreachable_zone =
        machine.last_heard_at.is_none() && context.leader.fleet.zones.is_unreachable(&machine.zone);
    !machine.missed_heartbeats(context.now, &context.controller.timing) && !boots_in_unreachable_zone
}

/// Whether the machine runs a task of a job whose record cannot be decoded. The resources that such
/// a task uses are unknown.
fn runs_undecodable_work(context: &PlanningContext, machine: &Machine) -> bool {
    let undecodable = &context.leader.undecodable;
    let is_undecodable = |task: &TaskStatus| {
        task.state != TaskState::Exited
            && split_task(&task.task).is_some_and(|(job, _)| undecodable.contains_job(job))
    };
    !undecodable.is_empty() && machine.tasks.iter().any(is_undecodable)
}
