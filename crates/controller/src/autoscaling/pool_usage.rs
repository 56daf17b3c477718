//! What the machines of each pool do: how many there are, have work, or are about to take some.

use crate::autoscaling::fleet::MachinePool;
use crate::autoscaling::zonal_demand::AvailableCapacity;
use crate::leader::state::LeaderState;
use crate::messages::Time;
use crate::model::machine::Machine;
use settings::Timing;
use std::collections::{BTreeMap, HashSet};

/// The machines of one pool.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct PoolUsage {
    /// Machines that accept work in zones that are reachable.
    pub present: u32,
    /// Those of them that have work.
    pub used: u32,
    /// Those without work that will take some soon: they boot, or are not heard again yet.
    pub arriving: u32,
}

/// Names of the machines that have work.
pub(super) fn used_machines(leader: &LeaderState) -> HashSet<&str> {
    let placements = leader.cluster.jobs.values().flat_map(|job| job.placements.values());
    placements.map(|placement| placement.machine.as_str()).collect()
}

/// Machines that accept work, without those in zones that are unreachable.
fn reachable_machines(leader: &LeaderState) -> impl Iterator<Item = &Machine> {
    let zones = &leader.fleet.zones;
    let machines = leader.cluster.machines.values();
    machines.filter(|machine| machine.accepts_work() && !zones.is_unreachable(&machine.zone))
}

/// Machines without work.
pub(super) struct FreeMachines<'a> {
    /// All of them, booting ones included.
    pub available: AvailableCapacity<'a>,
    /// Those that are up.
    pub idle: AvailableCapacity<'a>,
}

/// Machines without work, by type and zone.
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

/// Tells which machines are about to take work.
pub(super) struct ArrivalCriteria<'a> {
    /// The time.
    pub now: Time,
    /// Intervals derived from the settings.
    pub timing: &'a Timing,
    /// Whether machines that are silent for a short time count as arriving.
    pub retain_silent: bool,
    /// The leader has begun to act just now, and has not heard all machines yet.
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

/// The usage of each pool that has machines.
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
