//! Demand that is bound to zones: machines for it are requested where it may run. (Machines for a
//! job of one zone were once requested where the fewest were, scaled in idle, and requested there
//! again, for ever.)

use crate::autoscaling::fleet::{Fleet, MachinePool, ZonalMachineType, ZonalPool};
use crate::messages::Time;
use protocol::cloud::MachineType;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// How many more machines a zone counts as having if the gang's machines were there before.
const ASSEMBLY_ZONE_BONUS: u32 = 2;

/// Which machines are alike for `AvailableCapacity`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CapacityKey<'a> {
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
}

/// Machines without work, by type, zone and whether spot.
#[derive(Debug, Default)]
pub struct AvailableCapacity<'a>(BTreeMap<CapacityKey<'a>, u32>);

impl<'a> AvailableCapacity<'a> {
    /// Adds `machines` machines.
    pub fn add(&mut self, machine_type: &'a str, zone: &'a str, spot: bool, machines: u32) {
        *self.0.entry(CapacityKey { machine_type, zone, spot }).or_insert(0) += machines;
    }

    /// How many a job can have, given whether it may use spot machines. (Spot machines once counted
    /// for gangs that may not use them, which then waited for ever.)
    fn count(&self, machine_type: &str, zone: &str, spot: bool) -> u32 {
        let count = |spot| self.0.get(&CapacityKey { machine_type, zone, spot }).copied().unwrap_or(0);
        count(false) + if spot { count(true) } else { 0 }
    }

    /// Takes up to `max_machines` of these, spot machines first. Returns how many.
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

/// Zones of all machine types, in the order in which the planner numbers them.
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
    /// Price of a machine divided by the tasks that fit on it.
    pub price_per_task: f64,
    /// The pool.
    pub pool: MachinePool,
    /// Tasks that fit on one machine; at least 1.
    pub tasks_per_machine: f64,
}

/// Tasks of a job that wait for machines.
pub struct CapacityRequest<'a> {
    /// The job in the planner's input.
    pub job: &'a planner::Job,
    /// How many of its tasks need a further machine.
    pub tasks: f64,
    /// Where they may run, the cheapest pool first.
    pub pools: &'a [PoolOption],
}

/// A zone that a job may use.
struct ZoneAllowance {
    /// The planner's number of the zone.
    zone: usize,
    /// How many of the job's tasks it may yet take.
    max_tasks: f64,
}

impl ZoneAllowance {
    fn unlimited(zone: usize) -> Self {
        ZoneAllowance { zone, max_tasks: f64::MAX }
    }
}

/// The machines that demand bound to zones needs.
#[derive(Debug, Default)]
pub struct ZonalRequirements {
    /// Machines to add, by pool and zone.
    pub wanted_in_zone: BTreeMap<ZonalPool, u32>,
    /// Machines that are kept for gangs whose other machines are still missing.
    pub assembling: BTreeMap<ZonalMachineType, u32>,
    /// Machines that are booting for this demand, by pool.
    pub booting: BTreeMap<MachinePool, f64>,
    /// Machines to add, by pool. (Machines wanted in one zone are no reason to keep idle ones in
    /// another.)
    pub additional: BTreeMap<MachinePool, u32>,
}

/// Assigns free machines to demand that is bound to zones, and finds what is missing.
pub struct ZonalDemand<'a> {
    now: Time,
    types: &'a [MachineType],
    /// Names of the zones, in the planner's order.
    zones: &'a [String],
    fleet: &'a Fleet,
    /// Machines without work that are not assigned yet, booting ones included.
    available: AvailableCapacity<'a>,
    /// Those of them that are up.
    idle: AvailableCapacity<'a>,
    requirements: ZonalRequirements,
}

impl<'a> ZonalDemand<'a> {
    /// No demand yet. `available`: machines without work, booting ones included; `idle`: those of
    /// them that are up; `zones`: as the planner numbers them.
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

    /// What all demand added so far needs.
    pub fn into_requirements(self) -> ZonalRequirements {
        self.requirements
    }

    fn machine_type(&self, pool: &MachinePool) -> Option<&'a MachineType> {
        self.types.iter().find(|machine_type| machine_type.name == pool.machine_type)
    }

    /// Zones that `job` is bound to; None: it may run in any, or has yet to choose its only one.
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

    /// Adds the demand of a job that is bound to zones. False if it is not bound.
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

    /// Assigns machines without work in the job's zones to it.
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
            // Idle machines may be those that it failed on.
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

    /// Adds machines that are missing in `option`'s pool: in the zone that may take most tasks first.
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

    /// Keeps idle machines for a gang whose other machines are missing. (Where these were refused,
    /// the idle ones were once scaled in and requested again in turn, for ever.)
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

    /// Gathers the machines of a gang that has yet to choose its only zone in one. (Requested in
    /// all zones alike, those of a large gang were scaled in idle and requested again, for ever.)
    /// Returns the tasks for which other machines have to come, or None without a pool or zone.
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
        // Booting machines are counted with all that arrive. (Counted here as well, too few were
        // requested.)
        let taken_idle = self.idle.take(type_name, zone, spot, machines);
        Some(f64::from(machines - taken_idle) * tasks_per_machine)
    }

    /// The zone where a gang's machines gather: where the most are available, if all are or the
    /// others can be requested.
    fn assembly_zone(&self, machine_type: &'a MachineType, spot: bool, machines: u32) -> Option<&'a String> {
        let ordinary_pool = MachinePool::new(&machine_type.name, false);
        let spot_pool = MachinePool::new(&machine_type.name, true);
        machine_type.zones.iter().max_by_key(|zone| {
            let available = self.available.count(&machine_type.name, zone, spot);
            let can_request = spot && self.fleet.is_zone_available(self.now, &spot_pool, zone)
                || self.fleet.is_zone_available(self.now, &ordinary_pool, zone);
            // The gang must not change zones with each machine that arrives.
            let location = ZonalMachineType::new(&machine_type.name, zone);
            let chosen_before = self.fleet.targets.assembling_gang_machines.contains_key(&location);
            let bonus = if chosen_before { ASSEMBLY_ZONE_BONUS } else { 0 };
            (available >= machines || can_request, available + bonus, Reverse(*zone))
        })
    }
}
