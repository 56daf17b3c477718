//! Scale-out: machines that are wanted are requested from the cloud, one request at a time. A
//! request is repeated under its name until its outcome is known, so it is idempotent.

use crate::autoscaling::fleet::{Fleet, MachinePool, ZonalPool, MIN_CHARGE_S};
use crate::leader::state::{LeaderState, Role};
use crate::model::machine::{Machine, MachinePhase};
use crate::{CallContext, CloudReply, CloudRequest, Controller, Time};
use protocol::cloud::{MachineType, RentRequest, MAX_RENTED};
use settings::Timing;
use std::collections::BTreeMap;
use tracing::{info, warn};

/// Machines requested where there was no capacity a while ago.
const PROBE_MACHINES: u32 = 2;

/// A pool's machines in a zone, as far as the cloud is not known to lack them.
const UNLIMITED_MACHINES: f64 = f64::MAX / 1e6;

/// How long nothing is requested where fewer machines were given than requested.
const PARTIAL_CAPACITY_PAUSE_S: Time = 10.0;

/// How long nothing is requested after a refusal, times the refusals in a row.
const REFUSAL_PAUSE_S: Time = 5.0;

/// Refusals in a row beyond which the pause grows no longer.
const MAX_COUNTED_REFUSALS: u32 = 4;

/// When a request whose outcome is unknown is repeated.
const RETRY_INTERVAL_S: Time = 1.0;

/// A scale-out request whose outcome is not known yet.
pub(super) struct PendingScaleOut {
    request: RentRequest,
    requested_at: Time,
    in_flight: bool,
    retry_at: Time,
}

/// The cloud's last refusal of a pool in a zone.
#[derive(Debug)]
struct Exhaustion {
    /// Nothing is requested there until then.
    until: Time,
    /// Refusals in a row.
    refusals: u32,
}

/// Pools that the cloud had no capacity for when they were last requested, by zone.
#[derive(Debug, Default)]
pub(super) struct ExhaustedPools(BTreeMap<ZonalPool, Exhaustion>);

impl ExhaustedPools {
    /// Whether machines of `pool` may be requested in `zone`.
    pub(super) fn may_request(&self, now: Time, pool: &MachinePool, zone: &str) -> bool {
        self.0.get(&ZonalPool::new(pool, zone)).is_none_or(|exhaustion| now >= exhaustion.until)
    }

    fn was_exhausted_lately(&self, now: Time, pool: &MachinePool, zone: &str) -> bool {
        let exhaustion = self.0.get(&ZonalPool::new(pool, zone));
        exhaustion.is_some_and(|exhaustion| now - exhaustion.until < MIN_CHARGE_S)
    }

    /// The cloud gave `complete` or not, but did not refuse.
    fn record_success(&mut self, now: Time, location: ZonalPool, complete: bool) {
        if complete {
            self.0.remove(&location);
        } else {
            self.0.insert(location, Exhaustion { until: now + PARTIAL_CAPACITY_PAUSE_S, refusals: 1 });
        }
    }

    fn record_refusal(&mut self, now: Time, location: ZonalPool) {
        let refusals = self.0.get(&location).map_or(0, |exhaustion| exhaustion.refusals) + 1;
        let pause_s = REFUSAL_PAUSE_S * f64::from(refusals.min(MAX_COUNTED_REFUSALS));
        self.0.insert(location, Exhaustion { until: now + pause_s, refusals });
    }
}

impl Fleet {
    /// How many machines of a pool can be had: none where they were refused just now, a few where
    /// they were refused lately, else any number. (Once all work waited for a pool as soon as its
    /// pause was over, got a machine or none, and dearer machines were requested far too late.)
    pub(super) fn available_machines(&self, now: Time, machine_type: &MachineType, spot: bool) -> f64 {
        let pool = MachinePool::new(&machine_type.name, spot);
        let available = machine_type.zones.iter().filter(|zone| self.is_zone_available(now, &pool, zone));
        available
            .map(|zone| match self.exhausted_pools.was_exhausted_lately(now, &pool, zone) {
                true => f64::from(PROBE_MACHINES),
                false => UNLIMITED_MACHINES,
            })
            .sum()
    }

    /// Counts machines that were given off those that are wanted.
    fn subtract_from_wanted(&mut self, location: &ZonalPool, machines: u32) {
        if let Some(wanted) = self.targets.wanted.get_mut(&location.pool) {
            *wanted = wanted.saturating_sub(machines);
        }
        if let Some(wanted) = self.targets.wanted_in_zone.get_mut(location) {
            *wanted = wanted.saturating_sub(machines);
        }
    }
}

/// Zones of which a new leader has heard hardly any machine yet. Nothing is requested there until
/// it can tell whether they are unreachable.
fn unheard_zones(machines: &BTreeMap<String, Machine>, now: Time, timing: &Timing) -> Vec<String> {
    #[derive(Default)]
    struct ZoneCount {
        up: usize,
        heard: usize,
    }
    let mut zones: BTreeMap<&str, ZoneCount> = BTreeMap::new();
    for machine in machines.values().filter(|machine| machine.phase == MachinePhase::Up) {
        let count = zones.entry(&machine.zone).or_default();
        count.up += 1;
        count.heard += usize::from(machine.has_recent_heartbeats(now, timing));
    }
    let unheard = zones.into_iter().filter(|(_, count)| count.heard * 3 < count.up);
    unheard.map(|(zone, _)| zone.to_string()).collect()
}

/// Which machines to request next.
#[derive(Debug, PartialEq)]
struct ScaleOutChoice {
    location: ZonalPool,
    machines: u32,
}

/// Chooses the pool and zone of the next request.
struct ScaleOutChooser<'a> {
    now: Time,
    types: &'a [MachineType],
    leader: &'a LeaderState,
    /// Zones where nothing is requested yet.
    unheard_zones: Vec<String>,
    /// Machines that the controllers can serve beyond those that exist.
    capacity_left: u32,
}

impl ScaleOutChooser<'_> {
    /// The first pool that machines are wanted of, but not the last request's if another one will
    /// do. Ordinary machines come before spot ones, which less work may use. (Single ordinary
    /// machines once delayed hundreds of spot machines by half a minute, as calls are few; the
    /// largest request first once delayed those of gangs.)
    fn choose(&self) -> Option<ScaleOutChoice> {
        let mut repeated = None;
        for (pool, &wanted) in &self.leader.fleet.targets.wanted {
            let Some(choice) = self.choose_in_pool(pool, wanted) else { continue };
            if self.leader.fleet.last_scale_out_pool.as_ref() != Some(pool) {
                return Some(choice);
            }
            repeated = Some(choice);
        }
        repeated
    }

    fn choose_in_pool(&self, pool: &MachinePool, wanted: u32) -> Option<ScaleOutChoice> {
        let machine_type = self.types.iter().find(|t| t.name == pool.machine_type)?;
        let wanted = wanted.saturating_sub(self.wanted_in_closed_zones(pool));
        if wanted == 0 {
            return None;
        }
        let zones = self.open_zones(pool, machine_type);
        let emptiest = *zones.first()?;
        let mut zone = emptiest;
        let mut machines = wanted.div_ceil(zones.len() as u32).clamp(1, MAX_RENTED);
        if let Some((bound_zone, bound)) = self.wanted_in_one_zone(pool, &zones) {
            zone = bound_zone;
            machines = bound.min(MAX_RENTED);
        }
        if self.leader.fleet.exhausted_pools.was_exhausted_lately(self.now, pool, zone) {
            machines = machines.min(PROBE_MACHINES);
        }
        let location = ZonalPool::new(pool, zone);
        Some(ScaleOutChoice { location, machines: machines.min(self.capacity_left) })
    }

    fn may_request_in(&self, pool: &MachinePool, zone: &String) -> bool {
        self.leader.fleet.is_zone_available(self.now, pool, zone) && !self.unheard_zones.contains(zone)
    }

    /// Machines of `pool` that are wanted in zones where none can be requested: in other zones
    /// they would be of no use.
    fn wanted_in_closed_zones(&self, pool: &MachinePool) -> u32 {
        let wanted_in_zone = self.leader.fleet.targets.wanted_in_zone.iter();
        let closed = wanted_in_zone
            .filter(|(location, _)| location.pool == *pool && !self.may_request_in(pool, &location.zone));
        closed.map(|(_, machines)| machines).sum()
    }

    /// Zones where machines of `pool` can be requested, that with the fewest of them first.
    fn open_zones<'t>(&self, pool: &MachinePool, machine_type: &'t MachineType) -> Vec<&'t String> {
        let open = machine_type.zones.iter().filter(|zone| self.may_request_in(pool, zone));
        let mut zones: Vec<(usize, &String)> =
            open.map(|zone| (self.count_machines(pool, zone), zone)).collect();
        zones.sort();
        zones.into_iter().map(|(_, zone)| zone).collect()
    }

    fn count_machines(&self, pool: &MachinePool, zone: &str) -> usize {
        let machines = self.leader.cluster.machines.values();
        let matching = machines.filter(|machine| {
            machine.zone == zone && machine.machine_type == pool.machine_type && machine.spot == pool.spot
        });
        matching.count()
    }

    /// The first of `zones` for which machines of `pool` are wanted, and how many.
    fn wanted_in_one_zone<'z>(&self, pool: &MachinePool, zones: &[&'z String]) -> Option<(&'z String, u32)> {
        zones.iter().find_map(|&zone| {
            let wanted = *self.leader.fleet.targets.wanted_in_zone.get(&ZonalPool::new(pool, zone))?;
            (wanted > 0).then_some((zone, wanted))
        })
    }
}

impl Controller {
    /// Sends the pending scale-out request, or decides on the next one.
    pub(super) fn tick_scale_out(&mut self) {
        let now = self.now;
        let Role::Leader(leader) = &self.role else { return };
        match &leader.fleet.pending_scale_out {
            Some(pending) if pending.in_flight || now < pending.retry_at => return,
            Some(_) => {}
            None => {
                let Some(choice) = self.choose_scale_out() else { return };
                self.prepare_scale_out(choice);
            }
        }
        if self.try_acquire_cloud_call() {
            self.send_scale_out();
        }
    }

    /// What to request next, if the leader may act and machines are wanted.
    fn choose_scale_out(&mut self) -> Option<ScaleOutChoice> {
        let now = self.now;
        let may_act = self.may_act();
        let Role::Leader(leader) = &self.role else { return None };
        // Without the list, machines that exist already would be requested again.
        if !may_act || !leader.fleet.listing.completed_once {
            return None;
        }
        if leader.fleet.targets.wanted.values().all(|machines| *machines == 0) {
            return None;
        }
        let capacity_left = self.machine_capacity_left();
        if capacity_left == 0 {
            return None;
        }
        let Role::Leader(leader) = &self.role else { return None };
        let unheard_zones = if now - leader.leadership.elected_at < self.timing.worker_failover_s {
            unheard_zones(&leader.cluster.machines, now, &self.timing)
        } else {
            Vec::new()
        };
        let types = self.machine_types.as_deref().unwrap_or_default();
        ScaleOutChooser { now, types, leader, unheard_zones, capacity_left }.choose()
    }

    fn prepare_scale_out(&mut self, choice: ScaleOutChoice) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let ZonalPool { pool, zone } = choice.location;
        leader.fleet.last_scale_out_pool = Some(pool.clone());
        leader.fleet.scale_out_count += 1;
        let request = RentRequest {
            request: format!("r-{}-{}", leader.fencing_token, leader.fleet.scale_out_count),
            machine_type: pool.machine_type,
            zone,
            spot: pool.spot,
            count: choice.machines,
        };
        leader.fleet.pending_scale_out =
            Some(PendingScaleOut { request, requested_at: now, in_flight: false, retry_at: now });
    }

    fn send_scale_out(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        let Some(pending) = &mut leader.fleet.pending_scale_out else { return };
        pending.in_flight = true;
        let request = pending.request.clone();
        self.call_cloud(CallContext::ScaleOut { token }, CloudRequest::Rent(request));
    }

    /// Takes the outcome of the pending request.
    pub(super) fn on_scale_out(&mut self, token: u64, reply: CloudReply) {
        let now = self.now;
        let Some(leader) = self.leader_state(token) else { return };
        let Some(mut pending) = leader.fleet.pending_scale_out.take() else { return };
        match reply {
            CloudReply::Machines(rented) => record_rented_machines(leader, &pending, &rented.machines, now),
            CloudReply::NoCapacity => record_refusal(leader, &pending.request, now),
            CloudReply::Malformed => warn!("scale-out refused: malformed request"),
            // Rate limited, or no reply: the request may have been carried out.
            _ => {
                pending.in_flight = false;
                pending.retry_at = now + RETRY_INTERVAL_S;
                leader.fleet.pending_scale_out = Some(pending);
            }
        }
    }
}

fn location_of(request: &RentRequest) -> ZonalPool {
    ZonalPool::new(&MachinePool::new(&request.machine_type, request.spot), &request.zone)
}

/// Adds the machines that the cloud gave to the cluster.
fn record_rented_machines(
    leader: &mut LeaderState,
    pending: &PendingScaleOut,
    machines: &[String],
    now: Time,
) {
    let request = &pending.request;
    info!(kind = %request.machine_type, zone = %request.zone, spot = request.spot,
          asked = request.count, got = machines.len(), "scale-out completed");
    for id in machines {
        leader.cluster.machines.entry(id.clone()).or_insert_with(|| {
            Machine::new(id, &request.machine_type, &request.zone, request.spot, pending.requested_at)
        });
    }
    let location = location_of(request);
    let rented = machines.len() as u32;
    leader.fleet.subtract_from_wanted(&location, rented);
    leader.fleet.exhausted_pools.record_success(now, location, rented >= request.count);
    leader.planning.needed = true;
}

fn record_refusal(leader: &mut LeaderState, request: &RentRequest, now: Time) {
    info!(kind = %request.machine_type, zone = %request.zone, spot = request.spot,
          "scale-out refused: no capacity");
    leader.fleet.exhausted_pools.record_refusal(now, location_of(request));
    leader.planning.needed = true;
}
