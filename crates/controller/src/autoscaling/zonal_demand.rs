//! Machines for work that is bound to zones: rented where it may run. (For a job of one zone they
//! were once rented where fewest stood, given back idle and rented there anew, for ever.)

use crate::autoscaling::fleet::{Fleet, MachinePool};
use crate::messages::Time;
use protocol::cloud::MachineType;
use std::collections::BTreeMap;

/// Machines without work, by type, zone and whether spot.
#[derive(Default)]
pub struct AvailableCapacity<'a>(BTreeMap<(&'a str, &'a str, bool), u32>);

impl<'a> AvailableCapacity<'a> {
    pub fn add(&mut self, kind: &'a str, zone: &'a str, spot: bool, n: u32) {
        *self.0.entry((kind, zone, spot)).or_insert(0) += n;
    }

    /// How many a job could have, on spot machines or not. (Spot machines once
    /// counted for gangs that may not use them, which then waited for ever.)
    fn count(&self, kind: &str, zone: &str, spot: bool) -> u32 {
        let of = |s: bool| self.0.get(&(kind, zone, s)).copied().unwrap_or(0);
        of(false) + if spot { of(true) } else { 0 }
    }

    /// Takes up to `most` of these, spot machines first.
    fn take(&mut self, kind: &'a str, zone: &'a str, spot: bool, most: u32) -> u32 {
        let mut left = most;
        for s in [true, false].into_iter().filter(|s| spot || !s) {
            let n = self.0.entry((kind, zone, s)).or_insert(0);
            let taken = left.min(*n);
            (*n, left) = (*n - taken, left - taken);
        }
        most - left
    }
}

/// Zones of all types, in the order in which the plan numbers them.
pub fn zones_of(types: &[MachineType]) -> Vec<String> {
    let mut zones: Vec<String> = Vec::new();
    for z in types.iter().flat_map(|t| &t.zones) {
        if !zones.contains(z) {
            zones.push(z.clone());
        }
    }
    zones
}

/// Work that waits for machines.
pub struct CapacityRequest<'a> {
    pub job: &'a planner::Job,
    /// Tasks that need a machine more.
    pub tasks: f64,
    /// Pools with how many tasks a machine holds, the cheapest first.
    pub pools: &'a [(f64, MachinePool, f64)],
}

/// What is wanted in certain zones.
pub struct ZonalDemand<'a> {
    pub now: Time,
    pub types: &'a [MachineType],
    pub zones: &'a [String],
    pub fleet: &'a Fleet,
    /// Machines without work, booting ones included, and those of them that stand idle.
    pub available: AvailableCapacity<'a>,
    pub idle: AvailableCapacity<'a>,
    /// Machines wanted, by pool and zone.
    pub wanted_in_zone: BTreeMap<(MachinePool, String), u32>,
    /// Machines, by type and zone, that gangs wait for the others of.
    pub assembling: BTreeMap<(String, String), u32>,
    /// Machines that are coming for bound work, and those that it wants more, by pool. (What it wants
    /// in one zone is no reason to keep what stands idle in another.)
    pub need: BTreeMap<MachinePool, f64>,
    pub additional: BTreeMap<MachinePool, u32>,
}

impl<'a> ZonalDemand<'a> {
    /// Zones that `job` is bound to, with how many of its tasks each may have; None: it may run
    /// in any, or has yet to choose its only one.
    fn allowed_zones(&self, job: &planner::Job) -> Option<Vec<(usize, f64)>> {
        let any = f64::MAX;
        if let Some(z) = job.zone {
            return Some(vec![(z, any)]);
        }
        if job.one_zone {
            let held = job.placed_per_zone.iter().position(|&n| n > 0)?;
            return Some(vec![(held, any)]);
        }
        let cap = job.max_per_zone?;
        let left = job.placed_per_zone.iter().map(|&n| f64::from(cap.saturating_sub(n)));
        Some(left.enumerate().collect())
    }

    /// Notes what bound work wants. False if it is not bound.
    pub fn add_demand(&mut self, ask: &CapacityRequest) -> bool {
        let Some(mut zones) = self.allowed_zones(ask.job) else { return false };
        let mut left = ask.tasks;
        for (_, pool, n) in ask.pools {
            self.take_at_hand(ask.job, pool, *n, &mut zones, &mut left);
        }
        // The cheapest first, and of its zones the one that may have most.
        for (_, pool, n) in ask.pools {
            let kind = self.types.iter().find(|t| t.name == pool.0);
            zones.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
            for (z, most) in &mut zones {
                let name = self.zones.get(*z).filter(|z| kind.is_some_and(|t| t.zones.contains(z)));
                let open = |z: &&String| self.fleet.is_zone_available(self.now, &pool.0, z, pool.1);
                let Some(zone) = name.filter(open) else { continue };
                let machines = (left.min(*most) / n).ceil();
                if machines > 0.0 {
                    *self.wanted_in_zone.entry((pool.clone(), zone.clone())).or_insert(0) += machines as u32;
                    *self.additional.entry(pool.clone()).or_insert(0) += machines as u32;
                    let tasks = (machines * n).min(left).min(*most);
                    (left, *most) = (left - tasks, *most - tasks);
                }
            }
        }
        true
    }

    /// Takes what is at hand in the job's zones off what it wants.
    fn take_at_hand(
        &mut self,
        job: &planner::Job,
        pool: &MachinePool,
        n: f64,
        zones: &mut [(usize, f64)],
        left: &mut f64,
    ) {
        let Some(kind) = self.types.iter().find(|t| t.name == pool.0) else { return };
        for (z, most) in zones {
            let Some(zone) = self.zones.get(*z) else { continue };
            let machines = (left.min(*most) / n).ceil() as u32;
            // What it failed on may stand idle there, and is no machine of its own.
            let idle = self.idle.count(&kind.name, zone, job.spot);
            let shunned = if job.excluded_machines.is_empty() { 0 } else { idle };
            let room = self.available.count(&kind.name, zone, job.spot).saturating_sub(shunned);
            let taken = self.available.take(&kind.name, zone, job.spot, machines.min(room));
            let ready = self.idle.take(&kind.name, zone, job.spot, taken.min(idle - shunned));
            *self.need.entry(pool.clone()).or_insert(0.0) += f64::from(taken - ready);
            if job.shape == planner::Shape::Gang {
                *self.assembling.entry((pool.0.clone(), zone.clone())).or_insert(0) += taken;
            }
            let tasks = (f64::from(taken) * n).min(*left).min(*most);
            (*left, *most) = (*left - tasks, *most - tasks);
        }
    }

    /// Machines that stand idle while a gang waits for the others are kept for it. (Where the
    /// others were refused, they were once given back and rented anew in turn, for ever.)
    pub fn keep_idle(&mut self, ask: &CapacityRequest) {
        let mut left = ask.tasks;
        for (_, pool, n) in ask.pools {
            let Some(t) = self.types.iter().find(|t| t.name == pool.0) else { continue };
            for zone in &t.zones {
                let machines = (left / n).ceil() as u32;
                let kept = self.idle.take(&t.name, zone, ask.job.spot, machines);
                *self.assembling.entry((t.name.clone(), zone.clone())).or_insert(0) += kept;
                left = (left - f64::from(kept) * n).max(0.0);
            }
        }
    }

    /// The machines of a job that has yet to choose its only zone come together in one: where
    /// most are at hand or can be had. (Rented in all zones alike, those of a large gang went back
    /// idle and were rented anew for ever.) Returns the tasks for which others have to come.
    pub fn assemble_gang(&mut self, ask: &CapacityRequest) -> Option<f64> {
        let job = ask.job;
        let (_, pool, n) = ask.pools.first()?;
        let machines = (ask.tasks / n).ceil() as u32;
        let t = self.types.iter().find(|t| t.name == pool.0)?;
        let kind = &t.name;
        let best = t.zones.iter().max_by_key(|z| {
            let at_hand = self.available.count(kind, z, job.spot);
            let can = job.spot && self.fleet.is_zone_available(self.now, kind, z, true)
                || self.fleet.is_zone_available(self.now, kind, z, false);
            // Not from one zone to the other with each machine that comes.
            let before = self.fleet.assembling_gang_machines.contains_key(&(kind.clone(), (*z).clone()));
            (at_hand >= machines || can, at_hand + if before { 2 } else { 0 }, std::cmp::Reverse(*z))
        });
        let zone = best?;
        let taken = self.available.take(kind, zone, job.spot, machines);
        *self.assembling.entry((kind.clone(), zone.clone())).or_insert(0) += machines;
        let spot = job.spot && self.fleet.is_zone_available(self.now, kind, zone, true);
        *self.wanted_in_zone.entry(((kind.clone(), spot), zone.clone())).or_insert(0) += machines - taken;
        // Only what stands idle is had; what boots is counted with all that comes. (Counted
        // twice, too few were rented.)
        let ready = self.idle.take(kind, zone, job.spot, machines);
        Some(f64::from(machines - ready) * n)
    }
}
