//! What tasks take and cost on the machine types, and what the cluster pays for its work.

use crate::leader::state::LeaderState;
use crate::messages::Time;
use planner::Resources;
use protocol::cloud::MachineType;
use protocol::job::JobSpec;

/// Price ratios above that are taken for it.
const MAX_PRICE_RATIO: f64 = 10.0;

/// The price ratio is a mean over about that many worker leases.
const PRICE_MEMORY_LEASES: f64 = 3.0;

/// What one task of a job takes.
pub(crate) fn resources_per_task(spec: &JobSpec) -> Resources {
    Resources::new(spec.cores, spec.accelerators, spec.memory_gb)
}

/// What a machine of this type has.
pub(super) fn machine_resources(machine_type: &MachineType) -> Resources {
    Resources::new(machine_type.cores, machine_type.accelerators, machine_type.memory_gb)
}

/// Price of a machine of this type, as spot machine or not.
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

/// Price of a task on a machine that is full of such tasks; None if it does not fit, or the
/// machine type has no such price.
pub(super) fn task_price(machine_type: &MachineType, resources: &Resources, spot: bool) -> Option<f64> {
    let tasks = machine_resources(machine_type).instances_that_fit(resources);
    let price = machine_price(machine_type, spot);
    (tasks > 0 && price > 0.0).then(|| price / f64::from(tasks))
}

/// Price of a task on the cheapest machine type that the job may use.
pub(super) fn lowest_task_price(types: &[MachineType], spec: &JobSpec) -> Option<f64> {
    let allowed = types.iter().filter(|machine_type| allows_type(spec, machine_type));
    let prices = allowed.filter_map(|t| task_price(t, &resources_per_task(spec), spec.spot));
    prices.min_by(f64::total_cmp)
}

/// Price of all machines, as a multiple of what the running tasks would cost where they are
/// cheapest: a mean that is brought up to date with each plan.
pub(super) fn update_price_ratio(
    leader: &LeaderState,
    types: &[MachineType],
    now: Time,
    worker_lease_s: Time,
) -> f64 {
    let previous = leader.planning.price_paid;
    let paid: f64 = leader
        .cluster
        .machines
        .values()
        .filter_map(|machine| {
            let machine_type = types.iter().find(|t| t.name == machine.machine_type)?;
            Some(machine_price(machine_type, machine.spot))
        })
        .sum();
    let lowest: f64 = leader
        .cluster
        .jobs
        .values()
        .map(|job| {
            let running = job.placements.values().filter(|p| p.running_since.is_some()).count();
            running as f64 * lowest_task_price(types, &job.spec).unwrap_or(0.0)
        })
        .sum();
    let since_last_plan_s = now - leader.planning.planned_at;
    let weight = (since_last_plan_s / (worker_lease_s * PRICE_MEMORY_LEASES)).clamp(0.0, 1.0);
    let ratio = if lowest > 0.0 { (paid / lowest).min(MAX_PRICE_RATIO) } else { previous };
    previous + (ratio - previous) * weight
}
