//! Usage of each pool: the numbers of machines that exist, have work, or will take work soon.

use crate::autoscaling::fleet::MachinePool;
use crate::autoscaling::zonal_demand::AvailableCapacity;
use crate::leader::state::LeaderState;
use crate::messages::Time;
use crate::model::machine::Machine;
use settings::Timing;
use std::collections::{BTreeMap, HashSet};

/// Numbers of machines of one pool.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct PoolUsage {
    /// Machines in reachable zones that accept work.
    pub present: u32,
    /// Machines among these that have work.
    pub used: u32,
    /// Machines among these without work that will take work soon: they are booting, or have missed
    /// heartbeats and are expected to send them again.
    pub arriving: u32,
}

/// Returns the names of the machines that have work.
pub(super) fn used_machines(leader: &LeaderState) -> HashSet<&str> {
    let placements = leader.cluster.jobs.values().flat_map(|job| job.placements.values());
    placements.map(|placement| placement.machine.as_str()).collect()
}

/// Returns the machines in reachable zones that accept work.
fn reachable_machines(leader: &LeaderState) -> impl Iterator<Item = &Machine> {
    let zones = &leader.fleet.zones;
    let machines = leader.cluster.machines.values();
    machines.filter(|machine| machine.accepts_work() && !zones.is_unreachable(&machine.zone))
}

/// Numbers of machines without work.
pub(super) struct FreeMachines<'a> {
    /// All such machines, including those that are booting.
    pub available: AvailableCapacity<'a>,
    /// Such machines that are up.
    pub idle: AvailableCapacity<'a>,
}

/// Counts the machines without work, by type, zone and whether they are spot machines.
pub(super) fn free_machines<'a>(leader: &'a LeaderState, used: &HashSet<&str>) -> FreeMachines<'a> {
    let mut free =
        FreeMachines { available: AvailableCapacity::default(), idle: AvailableCapacity::default() };
    for machine in reachable_machines(leader).filter(|machine| !used.contains(machine.id.as_str())) {
        let is_up = u32::from(machine.last_heard_at.is_some());
        free.available.add(&machine.machine_type, &machine.zone, machine.spot, 1);
        free.idle.add(&machine.machine_type, &machine.zone, machine.spot, is_up);
    }
    free
}

/// Criteria by which a machine without work counts as arriving.
pub(super) struct ArrivalCriteria<'a> {
    /// Current time.
    pub now: Time,
    /// Intervals derived from the settings.
    pub timing: &'a Timing,
    /// Whether machines that have been silent for a short time count as arriving.
    pub retain_silent: bool,
    /// Whether the leader has only just become entitled to act, so that some machines may not have
    /// sent heartbeats to it yet.
    pub resuming: bool,
}

impl ArrivalCriteria<'_> {
    fn is_arriving(&self, machine: &Machine) -> bool {
        let missed_heartbeats = machine.missed_heartbeats(self.now, self.timing);
        if machine.last_heard_at.is_none() {
            return !missed_heartbeats;
        }
        let may_reappear = self.resuming || machine.silence_s(self.now) < self.timing.failure_suspicion_s;
        self.retain_silent && missed_heartbeats && may_reappear
    }
}

/// Returns the usage of each pool that has machines.
pub(super) fn pool_usage(
    leader: &LeaderState,
    used: &HashSet<&str>,
    criteria: &ArrivalCriteria,
) -> BTreeMap<MachinePool, PoolUsage> {
    let mut pools: BTreeMap<MachinePool, PoolUsage> = BTreeMap::new();
    for machine in reachable_machines(leader) {
        let pool = MachinePool::new(&machine.machine_type, machine.spot);
        let usage = pools.entry(pool).or_default();
        usage.present += 1;
        if used.contains(machine.id.as_str()) {
            usage.used += 1;
        } else if criteria.is_arriving(machine) {
            usage.arriving += 1;
        }
    }
    pools
}
