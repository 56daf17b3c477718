//! Resource needs and prices of tasks on the machine types, and the cluster's price ratio.

use crate::leader::state::LeaderState;
use crate::messages::Time;
use planner::Resources;
use protocol::cloud::MachineType;
use protocol::job::JobSpec;

/// Upper bound of a single measurement of the price ratio.
const MAX_PRICE_RATIO: f64 = 10.0;

/// Approximate averaging period of the price ratio, in worker leases.
const PRICE_MEMORY_LEASES: f64 = 3.0;

/// Returns the resources that one task of a job needs.
pub(crate) fn resources_per_task(spec: &JobSpec) -> Resources {
    Resources::new(spec.cores, spec.accelerators, spec.memory_gb)
}

/// Returns the resources of a machine of this type.
pub(super) fn machine_resources(machine_type: &MachineType) -> Resources {
    Resources::new(machine_type.cores, machine_type.accelerators, machine_type.memory_gb)
}

/// Returns the price of a spot or an ordinary machine of this type.
pub(super) fn machine_price(machine_type: &MachineType, spot: bool) -> f64 {
    if spot {
        machine_type.spot_price
    } else {
        machine_type.price
    }
}

/// Whether the job may run on machines of this type.
pub(super) fn allows_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.machine_types.as_ref().is_none_or(|allowed| allowed.contains(&machine_type.name))
}

/// Returns the price per task of a machine that is fully packed with such tasks, or None if the
/// task does not fit or the machine type has no such price.
pub(super) fn task_price(machine_type: &MachineType, resources: &Resources, spot: bool) -> Option<f64> {
    let tasks = machine_resources(machine_type).instances_that_fit(resources);
    let price = machine_price(machine_type, spot);
    (tasks > 0 && price > 0.0).then(|| price / f64::from(tasks))
}

/// Returns the lowest price of a task on the machine types that the job may use.
pub(super) fn lowest_task_price(types: &[MachineType], spec: &JobSpec) -> Option<f64> {
    let allowed = types.iter().filter(|machine_type| allows_type(spec, machine_type));
    let prices =
        allowed.filter_map(|machine_type| task_price(machine_type, &resources_per_task(spec), spec.spot));
    prices.min_by(f64::total_cmp)
}

/// Returns the updated price ratio: the price of all machines divided by the lowest possible price
/// of the running tasks, as a moving average that is updated with each plan.
pub(super) fn update_price_ratio(
    leader: &LeaderState,
    types: &[MachineType],
    now: Time,
    worker_lease_s: Time,
) -> f64 {
    let previous = leader.planning.price_ratio;
    let machines_price: f64 = leader
        .cluster
        .machines
        .values()
        .filter_map(|machine| {
            let machine_type = types.iter().find(|machine_type| machine_type.name == machine.machine_type)?;
            Some(machine_price(machine_type, machine.spot))
        })
        .sum();
    let lowest_price: f64 = leader
        .cluster
        .jobs
        .values()
        .map(|job| {
            let running =
                job.placements.values().filter(|placement| placement.running_since.is_some()).count();
            running as f64 * lowest_task_price(types, &job.spec).unwrap_or(0.0)
        })
        .sum();
    let since_last_plan_s = now - leader.planning.planned_at;
    let weight = (since_last_plan_s / (worker_lease_s * PRICE_MEMORY_LEASES)).clamp(0.0, 1.0);
    let ratio =
        if lowest_price > 0.0 { (machines_price / lowest_price).min(MAX_PRICE_RATIO) } else { previous };
    previous + (ratio - previous) * weight
}
