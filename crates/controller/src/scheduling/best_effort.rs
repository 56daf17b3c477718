//! Best-effort work: jobs without a deadline or objective. They run where it is cheap, on a limited
//! number of machines.

use crate::scheduling::planner_input::PlanningContext;
use crate::scheduling::pricing::{lowest_task_price, machine_resources, resources_per_task, task_price};
use protocol::job::JobSpec;

/// Tolerance when prices are compared.
const PRICE_TOLERANCE: f64 = 1e-9;

/// How many machines best-effort work may take in a plan, besides those that it has.
#[derive(Debug)]
pub(super) struct BestEffortLimit {
    machines_left: usize,
}

impl BestEffortLimit {
    /// At most `machines_left` machines.
    pub fn new(machines_left: usize) -> Self {
        BestEffortLimit { machines_left }
    }

    /// Any number of machines.
    pub fn unlimited() -> Self {
        BestEffortLimit::new(usize::MAX)
    }

    /// Leaves of `tasks` what may be placed, and counts it, if `tasks_per_machine` fit on a machine.
    pub fn take(&mut self, tasks: &mut Vec<u32>, tasks_per_machine: usize) {
        tasks.truncate(self.machines_left.saturating_mul(tasks_per_machine));
        let machines = tasks.len().div_ceil(tasks_per_machine);
        self.machines_left = self.machines_left.saturating_sub(machines);
    }
}

/// Machine types that a job may be placed on.
#[derive(Debug)]
pub(super) struct AllowedTypes {
    /// The planner's numbers of the types.
    pub instance_types: Vec<usize>,
    /// Only spot machines of these types.
    pub spot_only: bool,
}

/// The cheap ones of the types that a job may use. Without a deadline the cheapest configuration is
/// the planner's choice; others are allowed as far as they cost no more, relative to it, than work
/// does on average.
pub(super) fn cheap_types(
    context: &PlanningContext,
    spec: &JobSpec,
    instance_types: &[usize],
) -> AllowedTypes {
    let resources = resources_per_task(spec);
    let lowest_price = lowest_task_price(context.types, spec).unwrap_or(0.0);
    let max_price = lowest_price * context.leader.planning.price_paid.max(1.0) + PRICE_TOLERANCE;
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

/// The most tasks of a job that fit on a machine of one of these types; at least 1.
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
