//! Best-effort work: jobs without a deadline or objective. They run on cheap machines and on a
//! limited number of them.

use crate::scheduling::planner_input::PlanningContext;
use crate::scheduling::pricing::{lowest_task_price, machine_resources, resources_per_task, task_price};
use protocol::job::JobSpec;

/// Tolerance for comparing prices.
const PRICE_TOLERANCE: f64 = 1e-9;

/// Number of machines that best-effort work may take in a plan in addition to those that it uses.
#[derive(Debug)]
pub(super) struct BestEffortLimit {
    machines_left: usize,
}

impl BestEffortLimit {
    /// Creates a limit of `machines_left` machines.
    pub fn new(machines_left: usize) -> Self {
        BestEffortLimit { machines_left }
    }

    /// Creates a limit that allows any number of machines.
    pub fn unlimited() -> Self {
        BestEffortLimit::new(usize::MAX)
    }

    /// Truncates `tasks` to those that may be placed and counts the machines that they need, given
    /// that `tasks_per_machine` tasks fit on a machine.
    pub fn take(&mut self, tasks: &mut Vec<u32>, tasks_per_machine: usize) {
        tasks.truncate(self.machines_left.saturating_mul(tasks_per_machine));
        let machines = tasks.len().div_ceil(tasks_per_machine);
        self.machines_left = self.machines_left.saturating_sub(machines);
    }
}

/// Machine types that a job may be placed on.
#[derive(Debug)]
pub(super) struct AllowedTypes {
    /// Indices of the machine types.
    pub instance_types: Vec<usize>,
    /// Whether only spot machines of these types are allowed.
    pub spot_only: bool,
}

/// Returns the cheap types among those that a best-effort job may use: those whose price per task is
/// at most the lowest such price times the cluster's average price ratio. Without a deadline the
/// planner would choose the cheapest type; this also allows types that are no more expensive than
/// average. Only spot machines are allowed if no ordinary machine is cheap enough.
pub(super) fn cheap_types(
    context: &PlanningContext,
    spec: &JobSpec,
    instance_types: &[usize],
) -> AllowedTypes {
    let resources = resources_per_task(spec);
    let lowest_price = lowest_task_price(context.types, spec).unwrap_or(0.0);
    let max_price = lowest_price * context.leader.planning.price_ratio.max(1.0) + PRICE_TOLERANCE;
    let cheap = |spot: bool| -> Vec<usize> {
        let is_cheap = |&index: &usize| {
            task_price(&context.types[index], &resources, spot).is_some_and(|price| price <= max_price)
        };
        instance_types.iter().copied().filter(is_cheap).collect()
    };
    let ordinary = cheap(false);
    let has_spot = spec.spot && context.types.iter().any(|machine_type| machine_type.spot_price > 0.0);
    if ordinary.is_empty() && has_spot {
        AllowedTypes { instance_types: cheap(true), spot_only: true }
    } else {
        AllowedTypes { instance_types: ordinary, spot_only: false }
    }
}

/// Returns the maximum number of the job's tasks that fit on a machine of any of these types; at
/// least 1.
pub(super) fn max_tasks_per_machine(
    context: &PlanningContext,
    spec: &JobSpec,
    instance_types: &[usize],
) -> usize {
    let resources = resources_per_task(spec);
    let counts = instance_types
        .iter()
        .map(|&index| machine_resources(&context.types[index]).instances_that_fit(&resources) as usize);
    counts.max().unwrap_or(1).max(1)
}
