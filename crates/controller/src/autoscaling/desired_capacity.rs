//! Desired capacity of each pool: the machines in use, those that waiting work needs, and a reserve
//! for expected arrivals. Recomputed after each plan.

use crate::autoscaling::arrival_forecast::ArrivalForecast;
use crate::autoscaling::fleet::{CapacityTargets, MachinePool};
use crate::autoscaling::pool_demand::{DemandCollector, PoolDemand};
use crate::autoscaling::pool_usage::{free_machines, pool_usage, used_machines, ArrivalCriteria, PoolUsage};
use crate::autoscaling::zonal_demand::{zones_of, ZonalDemand};
use crate::leader::state::{LeaderState, Role};
use crate::{Controller, SafetyChecks, Time};
use planner::{Plan, Problem};
use protocol::cloud::MachineType;
use settings::Timing;
use std::collections::BTreeMap;
use tracing::info;

/// Inputs for computing the capacity targets.
struct CapacityInputs<'a> {
    now: Time,
    timing: &'a Timing,
    checks: &'a SafetyChecks,
    /// Operator's multiplier of the reserve, 0 to 10.
    reserve_share: f64,
    leader: &'a LeaderState,
    types: &'a [MachineType],
    problem: &'a Problem,
    plan: &'a Plan,
}

impl CapacityInputs<'_> {
    fn capacity_targets(&self) -> CapacityTargets {
        let used = used_machines(self.leader);
        let free = free_machines(self.leader, &used);
        let zones = zones_of(self.types);
        let fleet = &self.leader.fleet;
        let zonal = ZonalDemand::new(self.now, self.types, &zones, fleet, free.available, free.idle);
        let zonal_scale_out = self.checks.zonal_scale_out;
        let mut demand =
            DemandCollector::new(self.now, self.problem, self.types, fleet, zonal_scale_out, zonal);
        demand.add_unmet(self.plan);
        let criteria = ArrivalCriteria {
            now: self.now,
            timing: self.timing,
            retain_silent: self.checks.retain_silent_machines,
            resuming: self.leader.leadership.tenure.entitled_for_s(self.now)
                < self.timing.reappearance_wait_s,
        };
        let usage = pool_usage(self.leader, &used, &criteria);
        let classes = self.leader.planning.classes.values();
        let forecast = ArrivalForecast::new(self.now, self.reserve_share, classes);
        targets(self.types, demand.finish(), &usage, &forecast)
    }
}

/// Returns the capacity targets of all pools.
fn targets(
    types: &[MachineType],
    demand: PoolDemand,
    usage: &BTreeMap<MachinePool, PoolUsage>,
    forecast: &ArrivalForecast,
) -> CapacityTargets {
    let mut targets = CapacityTargets::default();
    for machine_type in types {
        for spot in [true, false] {
            let pool = MachinePool::new(&machine_type.name, spot);
            let needed = demand.needed.get(&pool).copied().unwrap_or(0.0).ceil();
            let pool_usage = usage.get(&pool).copied().unwrap_or_default();
            let used = f64::from(pool_usage.used);
            let reserve = forecast.reserve(&pool).round();
            let desired = used + needed + reserve;
            let desired_with_burst = used + needed + forecast.burst(&pool);
            let shortfall = desired - f64::from(pool_usage.present);
            let machines_to_add = shortfall.max(needed - f64::from(pool_usage.arriving));
            if machines_to_add > 0.0 {
                targets.wanted.insert(pool.clone(), machines_to_add as u32);
            }
            targets.reserve.insert(pool.clone(), reserve as u32);
            targets.desired_with_burst.insert(pool.clone(), desired_with_burst.ceil() as u32);
            targets.desired.insert(pool, desired as u32);
        }
    }
    add_zonal_machines(&mut targets.wanted, &demand);
    targets.wanted_in_zone = demand.wanted_in_zone;
    targets.assembling_gang_machines = demand.assembling;
    targets
}

/// Adds the machines wanted in specific zones to the totals of their pools.
fn add_zonal_machines(wanted: &mut BTreeMap<MachinePool, u32>, demand: &PoolDemand) {
    let mut zonal: BTreeMap<&MachinePool, u32> = BTreeMap::new();
    for (location, machines) in &demand.wanted_in_zone {
        *zonal.entry(&location.pool).or_insert(0) += machines;
    }
    for (pool, machines) in zonal.into_iter().filter(|(_, machines)| *machines > 0) {
        let additional = demand.additional.get(pool).copied().unwrap_or(0);
        let wanted = wanted.entry(pool.clone()).or_insert(0);
        *wanted = (*wanted).max(machines - additional) + additional;
    }
}

impl Controller {
    /// Sets the capacity targets of all pools after `plan`.
    pub(crate) fn set_desired_capacity(&mut self, problem: &Problem, plan: &Plan) {
        let Role::Leader(leader) = &mut self.role else { return };
        let inputs = CapacityInputs {
            now: self.now,
            timing: &self.timing,
            checks: &self.checks,
            reserve_share: self.operator.reserve,
            leader,
            types: self.machine_types.as_deref().unwrap_or_default(),
            problem,
            plan,
        };
        let targets = inputs.capacity_targets();
        if targets.wanted != leader.fleet.targets.wanted && !targets.wanted.is_empty() {
            info!(wanted = ?targets.wanted, waiting = plan.unmet.len(), "scale-out requested");
        }
        leader.fleet.targets = targets;
    }
}
