//! Feasibility check of submitted jobs: whether a job could ever run in this cluster.

use planner::Resources;
use protocol::cloud::MachineType;
use protocol::job::{JobSpec, Shape};
use settings::Team;
use std::collections::BTreeSet;

/// Tolerance for sums of fractional resources.
const RESOURCE_EPSILON: f64 = 1e-6;

/// Reason why a job can never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum Infeasible {
    /// The job names a team that is not in the settings.
    #[error("unknown team")]
    UnknownTeam,
    /// A task fits none of the machine types that the job allows, in the zones that it allows.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// The tasks have to be spread over zones, but the job requires one zone or only one
    /// zone is available to it.
    #[error("a gang that is to be spread is bound to one zone")]
    SpreadInOneZone,
    /// The tasks that must run at the same time exceed the team's quota.
    #[error("more than the team's limit")]
    OverQuota,
}

/// Checks a job against the machine types and the teams' quotas.
///
/// # Errors
/// Returns the first reason found why the job can never run.
pub(super) fn check_feasibility(
    spec: &JobSpec,
    machine_types: &[MachineType],
    teams: &[Team],
) -> Result<(), Infeasible> {
    let team = teams.iter().find(|team| team.name == spec.team).ok_or(Infeasible::UnknownTeam)?;
    let zones = feasible_zones(spec, machine_types);
    if zones.is_empty() {
        return Err(Infeasible::FitsNoMachineType);
    }
    // All tasks of a gang run at the same time, and at most half of a spread gang's tasks may run in
    // one zone.
    let is_spread_gang = spec.shape == Shape::Gang && spec.spread && spec.tasks > 1;
    if is_spread_gang && (spec.one_zone || zones.len() < 2) {
        return Err(Infeasible::SpreadInOneZone);
    }
    // An array can run one task at a time; gangs and services need all tasks at once.
    let min_concurrent_tasks = if spec.shape == Shape::Array { 1.0 } else { f64::from(spec.tasks) };
    // A limit of 0 means no limit.
    let exceeds =
        |per_task: f64, limit: f64| limit > 0.0 && per_task * min_concurrent_tasks > limit + RESOURCE_EPSILON;
    if exceeds(spec.cores, team.cores_max) || exceeds(spec.accelerators, team.accelerators_max) {
        return Err(Infeasible::OverQuota);
    }
    Ok(())
}

/// Returns the zones with a machine type on which a task of the job may run.
fn feasible_zones<'a>(spec: &JobSpec, machine_types: &'a [MachineType]) -> BTreeSet<&'a str> {
    let task = Resources::new(spec.cores, spec.accelerators, spec.memory_gb);
    let is_allowed = |machine_type: &MachineType| {
        spec.machine_types.as_ref().is_none_or(|allowed| allowed.contains(&machine_type.name))
    };
    let has_room = |machine_type: &MachineType| {
        let capacity = Resources::new(machine_type.cores, machine_type.accelerators, machine_type.memory_gb);
        capacity.fits(&task)
    };
    machine_types
        .iter()
        .filter(|machine_type| is_allowed(machine_type) && has_room(machine_type))
        .flat_map(|machine_type| &machine_type.zones)
        .map(String::as_str)
        .filter(|zone| spec.zone.as_ref().is_none_or(|required| required == zone))
        .collect()
}
