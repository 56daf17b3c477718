//! Zonal demand: requests machines for work that is bound to zones in the zones where it may run.
//! Otherwise, machines for a job bound to one zone would be requested in the zone with the fewest
//! machines, scaled in while idle, and requested there again, without end.

use crate::autoscaling::fleet::{Fleet, MachinePool, ZonalMachineType, ZonalPool};
use crate::messages::Time;
use protocol::cloud::MachineType;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Number of machines added to a zone's count if the gang's machines were being assembled there
/// before.
const ASSEMBLY_ZONE_BONUS: u32 = 2;

/// Attributes by which `AvailableCapacity` groups machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CapacityKey<'a> {
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
}

/// Numbers of machines without work, by type, zone and whether they are spot machines.
#[derive(Debug, Default)]
pub struct AvailableCapacity<'a>(BTreeMap<CapacityKey<'a>, u32>);

impl<'a> AvailableCapacity<'a> {
    /// Adds `machines` machines to their group.
    pub fn add(&mut self, machine_type: &'a str, zone: &'a str, spot: bool, machines: u32) {
        *self.0.entry(CapacityKey { machine_type, zone, spot }).or_insert(0) += machines;
    }

    /// Returns the number of machines available to a job; spot machines count only if the job may use
    /// them. Otherwise, a gang that may not use spot machines could wait for them forever.
    fn count(&self, machine_type: &str, zone: &str, spot: bool) -> u32 {
        let count = |spot| self.0.get(&CapacityKey { machine_type, zone, spot }).copied().unwrap_or(0);
        count(false) + if spot { count(true) } else { 0 }
    }

    /// Takes up to `max_machines` of the machines available to a job, spot machines first. Returns the
    /// number taken.
    fn take(&mut self, machine_type: &'a str, zone: &'a str, spot: bool, max_machines: u32) -> u32 {
        let mut left = max_machines;
        for spot in [true, false].into_iter().filter(|is_spot| spot || !is_spot) {
            let available = self.0.entry(CapacityKey { machine_type, zone, spot }).or_insert(0);
            let taken = left.min(*available);
            *available -= taken;
            left -= taken;
        }
        max_machines - left
    }
}

/// Returns the zones of all machine types, in the order of the planner's zone indices.
pub fn zones_of(types: &[MachineType]) -> Vec<String> {
    let mut zones: Vec<String> = Vec::new();
    for zone in types.iter().flat_map(|machine_type| &machine_type.zones) {
        if !zones.contains(zone) {
            zones.push(zone.clone());
        }
    }
    zones
}

/// A pool that a job may run in.
#[derive(Debug)]
pub struct PoolOption {
    /// Price of a machine divided by the number of tasks that fit on it.
    pub price_per_task: f64,
    /// The pool.
    pub pool: MachinePool,
    /// Number of tasks that fit on one machine; at least 1.
    pub tasks_per_machine: f64,
}

/// Tasks of a job that wait for machines.
pub struct CapacityRequest<'a> {
    /// The job in the planner's input.
    pub job: &'a planner::Job,
    /// Number of its tasks that need additional machines.
    pub tasks: f64,
    /// Pools in which they may run, cheapest first.
    pub pools: &'a [PoolOption],
}

/// A zone that a job may use.
struct ZoneAllowance {
    /// Index of the zone in the planner's input.
    zone: usize,
    /// Number of the job's tasks that it may still take.
    max_tasks: f64,
}

impl ZoneAllowance {
    fn unlimited(zone: usize) -> Self {
        ZoneAllowance { zone, max_tasks: f64::MAX }
    }
}

/// Machines that zonal demand needs.
#[derive(Debug, Default)]
pub struct ZonalRequirements {
    /// Machines to add, by pool and zone.
    pub wanted_in_zone: BTreeMap<ZonalPool, u32>,
    /// Machines that are kept for gangs whose other machines are still missing.
    pub assembling: BTreeMap<ZonalMachineType, u32>,
    /// Machines that are booting for this demand, by pool.
    pub booting: BTreeMap<MachinePool, f64>,
    /// Machines to add, by pool. They are counted separately, because machines wanted in one zone are
    /// no reason to keep idle machines in another.
    pub additional: BTreeMap<MachinePool, u32>,
}

/// Assignment of free machines to zonal demand, and the machines that it lacks.
pub struct ZonalDemand<'a> {
    now: Time,
    types: &'a [MachineType],
    /// Names of the zones, in the planner's order.
    zones: &'a [String],
    fleet: &'a Fleet,
    /// Unassigned machines without work, including booting ones.
    available: AvailableCapacity<'a>,
    /// Unassigned machines without work that are up.
    idle: AvailableCapacity<'a>,
    requirements: ZonalRequirements,
}

impl<'a> ZonalDemand<'a> {
    /// Creates the state without demand. `zones` are in the order of the planner's zone indices,
    /// `available` are the machines without work including booting ones, and `idle` are those of them
    /// that are up.
    pub fn new(
        now: Time,
        types: &'a [MachineType],
        zones: &'a [String],
        fleet: &'a Fleet,
        available: AvailableCapacity<'a>,
        idle: AvailableCapacity<'a>,
    ) -> Self {
        ZonalDemand { now, types, zones, fleet, available, idle, requirements: ZonalRequirements::default() }
    }

    /// Returns the machines that the added demand needs.
    pub fn into_requirements(self) -> ZonalRequirements {
        self.requirements
    }

    fn machine_type(&self, pool: &MachinePool) -> Option<&'a MachineType> {
        self.types.iter().find(|machine_type| machine_type.name == pool.machine_type)
    }

    /// Returns the zones to which `job` is bound, or None if it may run in any zone or all of its tasks
    /// must run in one zone that is not chosen yet.
    fn allowed_zones(&self, job: &planner::Job) -> Option<Vec<ZoneAllowance>> {
        if let Some(zone) = job.zone {
            return Some(vec![ZoneAllowance::unlimited(zone)]);
        }
        if job.one_zone {
            let chosen = job.placed_per_zone.iter().position(|&tasks| tasks > 0)?;
            return Some(vec![ZoneAllowance::unlimited(chosen)]);
        }
        let max_per_zone = job.max_per_zone?;
        let placed = job.placed_per_zone.iter().enumerate();
        let allowances = placed.map(|(zone, &tasks)| ZoneAllowance {
            zone,
            max_tasks: f64::from(max_per_zone.saturating_sub(tasks)),
        });
        Some(allowances.collect())
    }

    /// Adds the demand of a job that is bound to zones. Returns false if the job is not bound.
    pub fn add_demand(&mut self, request: &CapacityRequest) -> bool {
        let Some(mut zones) = self.allowed_zones(request.job) else { return false };
        let mut tasks_left = request.tasks;
        for option in request.pools {
            self.take_available(request.job, option, &mut zones, &mut tasks_left);
        }
        for option in request.pools {
            self.add_missing(option, &mut zones, &mut tasks_left);
        }
        true
    }

    /// Assigns machines without work in the job's zones to the job.
    fn take_available(
        &mut self,
        job: &planner::Job,
        option: &PoolOption,
        zones: &mut [ZoneAllowance],
        tasks_left: &mut f64,
    ) {
        let PoolOption { pool, tasks_per_machine, .. } = option;
        let Some(machine_type) = self.machine_type(pool) else { return };
        let type_name = &machine_type.name;
        for allowance in zones {
            let Some(zone) = self.zones.get(allowance.zone) else { continue };
            let machines = (tasks_left.min(allowance.max_tasks) / tasks_per_machine).ceil() as u32;
            // The idle machines may be those on which the job failed.
            let idle = self.idle.count(type_name, zone, job.spot);
            let excluded = if job.excluded_machines.is_empty() { 0 } else { idle };
            let usable = self.available.count(type_name, zone, job.spot).saturating_sub(excluded);
            let taken = self.available.take(type_name, zone, job.spot, machines.min(usable));
            let taken_idle = self.idle.take(type_name, zone, job.spot, taken.min(idle - excluded));
            *self.requirements.booting.entry(pool.clone()).or_insert(0.0) += f64::from(taken - taken_idle);
            if job.shape == planner::Shape::Gang {
                self.keep_for_gang(type_name, zone, taken);
            }
            let tasks = (f64::from(taken) * tasks_per_machine).min(*tasks_left).min(allowance.max_tasks);
            *tasks_left -= tasks;
            allowance.max_tasks -= tasks;
        }
    }

    /// Requests the missing machines of `option`'s pool, first in the zones that may take most tasks.
    fn add_missing(&mut self, option: &PoolOption, zones: &mut [ZoneAllowance], tasks_left: &mut f64) {
        let PoolOption { pool, tasks_per_machine, .. } = option;
        let machine_type = self.machine_type(pool);
        zones.sort_by(|a, b| b.max_tasks.total_cmp(&a.max_tasks).then(a.zone.cmp(&b.zone)));
        for allowance in zones {
            let Some(zone) = self.zones.get(allowance.zone) else { continue };
            let has_type = machine_type.is_some_and(|machine_type| machine_type.zones.contains(zone));
            if !has_type || !self.fleet.is_zone_available(self.now, pool, zone) {
                continue;
            }
            let machines = (tasks_left.min(allowance.max_tasks) / tasks_per_machine).ceil();
            if machines > 0.0 {
                let location = ZonalPool::new(pool, zone);
                *self.requirements.wanted_in_zone.entry(location).or_insert(0) += machines as u32;
                *self.requirements.additional.entry(pool.clone()).or_insert(0) += machines as u32;
                let tasks = (machines * tasks_per_machine).min(*tasks_left).min(allowance.max_tasks);
                *tasks_left -= tasks;
                allowance.max_tasks -= tasks;
            }
        }
    }

    fn keep_for_gang(&mut self, machine_type: &str, zone: &str, machines: u32) {
        let location = ZonalMachineType::new(machine_type, zone);
        *self.requirements.assembling.entry(location).or_insert(0) += machines;
    }

    /// Keeps idle machines for a gang whose other machines are missing. Otherwise, where the cloud
    /// refuses the missing ones, the idle machines would be scaled in and requested again without end.
    pub fn keep_idle(&mut self, request: &CapacityRequest) {
        let mut tasks_left = request.tasks;
        for PoolOption { pool, tasks_per_machine, .. } in request.pools {
            let Some(machine_type) = self.machine_type(pool) else { continue };
            for zone in &machine_type.zones {
                let machines = (tasks_left / tasks_per_machine).ceil() as u32;
                let kept = self.idle.take(&machine_type.name, zone, request.job.spot, machines);
                self.keep_for_gang(&machine_type.name, zone, kept);
                tasks_left = (tasks_left - f64::from(kept) * tasks_per_machine).max(0.0);
            }
        }
    }

    /// Assembles in one zone the machines of a gang that must run in a single zone but has not chosen
    /// one yet. If they were requested evenly in all zones, the machines of a large gang would be
    /// scaled in while idle and requested again without end. Returns the number of tasks whose machines
    /// are not idle yet, or None if there is no pool or zone.
    pub fn assemble_gang(&mut self, request: &CapacityRequest) -> Option<f64> {
        let spot = request.job.spot;
        let PoolOption { pool, tasks_per_machine, .. } = request.pools.first()?;
        let machines = (request.tasks / tasks_per_machine).ceil() as u32;
        let machine_type = self.machine_type(pool)?;
        let type_name = &machine_type.name;
        let zone = self.assembly_zone(machine_type, spot, machines)?;
        let taken = self.available.take(type_name, zone, spot, machines);
        self.keep_for_gang(type_name, zone, machines);
        let spot_pool = MachinePool::new(type_name, true);
        let use_spot = spot && self.fleet.is_zone_available(self.now, &spot_pool, zone);
        let location = ZonalPool::new(&MachinePool::new(type_name, use_spot), zone);
        *self.requirements.wanted_in_zone.entry(location).or_insert(0) += machines - taken;
        // Booting machines are counted among the arriving machines of the pool. If they were counted
        // here as well, too few machines would be requested.
        let taken_idle = self.idle.take(type_name, zone, spot, machines);
        Some(f64::from(machines - taken_idle) * tasks_per_machine)
    }

    /// Returns the zone in which to assemble a gang's machines. Zones where enough machines are
    /// available or more can be requested are preferred, and among these the one with the most
    /// available machines.
    fn assembly_zone(&self, machine_type: &'a MachineType, spot: bool, machines: u32) -> Option<&'a String> {
        let ordinary_pool = MachinePool::new(&machine_type.name, false);
        let spot_pool = MachinePool::new(&machine_type.name, true);
        machine_type.zones.iter().max_by_key(|zone| {
            let available = self.available.count(&machine_type.name, zone, spot);
            let can_request = spot && self.fleet.is_zone_available(self.now, &spot_pool, zone)
                || self.fleet.is_zone_available(self.now, &ordinary_pool, zone);
            // The bonus keeps the gang from changing zones with each machine that arrives.
            let location = ZonalMachineType::new(&machine_type.name, zone);
            let chosen_before = self.fleet.targets.assembling_gang_machines.contains_key(&location);
            let bonus = if chosen_before { ASSEMBLY_ZONE_BONUS } else { 0 };
            (available >= machines || can_request, available + bonus, Reverse(*zone))
        })
    }
}
