//! Scale-out: requests the wanted machines from the cloud, one request at a time. A request is
//! repeated under the same name until its outcome is known, so it is idempotent.

use crate::autoscaling::fleet::{Fleet, MachinePool, ZonalPool, MIN_CHARGE_S};
use crate::leader::state::{LeaderState, Role};
use crate::model::machine::{Machine, MachinePhase};
use crate::{CallContext, CloudReply, CloudRequest, Controller, Time};
use protocol::cloud::{MachineType, RentRequest, MAX_RENTED};
use settings::Timing;
use std::collections::BTreeMap;
use tracing::{info, warn};

/// Maximum number of machines to request where capacity was lacking recently.
const PROBE_MACHINES: u32 = 2;

/// Assumed number of machines that a pool can provide in a zone without a known lack of capacity.
const UNLIMITED_MACHINES: f64 = f64::MAX / 1e6;

/// Pause between requests where the cloud provided fewer machines than requested.
const PARTIAL_CAPACITY_PAUSE_S: Time = 10.0;

/// Pause after a refusal; multiplied by the number of consecutive refusals.
const REFUSAL_PAUSE_S: Time = 5.0;

/// Number of consecutive refusals beyond which the pause no longer grows.
const MAX_COUNTED_REFUSALS: u32 = 4;

/// Delay before a request with unknown outcome is repeated.
const RETRY_INTERVAL_S: Time = 1.0;

/// A scale-out request whose outcome is not known yet.
pub(super) struct PendingScaleOut {
    request: RentRequest,
    /// Time of the first attempt.
    requested_at: Time,
    /// Number of attempts so far.
    attempts: u32,
    /// Time of the last attempt.
    last_sent_at: Time,
    in_flight: bool,
    retry_at: Time,
}

/// Lack of capacity for a pool in a zone.
#[derive(Debug)]
struct Exhaustion {
    /// End of the pause, before which nothing is requested there.
    until: Time,
    /// Number of consecutive refusals.
    refusals: u32,
}

/// Zonal pools for which the cloud lacked capacity at the last request.
#[derive(Debug, Default)]
pub(super) struct ExhaustedPools(BTreeMap<ZonalPool, Exhaustion>);

impl ExhaustedPools {
    /// Whether no pause prevents a request for machines of `pool` in `zone`.
    pub(super) fn may_request(&self, now: Time, pool: &MachinePool, zone: &str) -> bool {
        self.0.get(&ZonalPool::new(pool, zone)).is_none_or(|exhaustion| now >= exhaustion.until)
    }

    fn was_recently_exhausted(&self, now: Time, pool: &MachinePool, zone: &str) -> bool {
        let exhaustion = self.0.get(&ZonalPool::new(pool, zone));
        exhaustion.is_some_and(|exhaustion| now - exhaustion.until < MIN_CHARGE_S)
    }

    /// Records that the cloud provided machines, all that were requested if `complete`.
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
    /// Returns the number of machines that a pool is assumed to provide: per zone, none during a pause
    /// after a lack of capacity, a few for a while after it, and otherwise any number. Without the
    /// middle step, all work would wait for a pool as soon as its pause is over and get at most one
    /// machine, and more expensive machines would be requested far too late.
    pub(super) fn available_machines(&self, now: Time, machine_type: &MachineType, spot: bool) -> f64 {
        let pool = MachinePool::new(&machine_type.name, spot);
        let available = machine_type.zones.iter().filter(|zone| self.is_zone_available(now, &pool, zone));
        available
            .map(|zone| match self.exhausted_pools.was_recently_exhausted(now, &pool, zone) {
                true => f64::from(PROBE_MACHINES),
                false => UNLIMITED_MACHINES,
            })
            .sum()
    }

    /// Subtracts machines that the cloud provided from the wanted ones.
    fn subtract_from_wanted(&mut self, location: &ZonalPool, machines: u32) {
        if let Some(wanted) = self.targets.wanted.get_mut(&location.pool) {
            *wanted = wanted.saturating_sub(machines);
        }
        if let Some(wanted) = self.targets.wanted_in_zone.get_mut(location) {
            *wanted = wanted.saturating_sub(machines);
        }
    }
}

/// Returns the zones where less than a third of the machines that are up have sent heartbeats to a
/// new leader. Nothing is requested there until the leader can tell whether they are unreachable.
fn silent_zones(machines: &BTreeMap<String, Machine>, now: Time, timing: &Timing) -> Vec<String> {
    #[derive(Default)]
    struct ZoneCount {
        up: usize,
        with_recent_heartbeats: usize,
    }
    let mut zones: BTreeMap<&str, ZoneCount> = BTreeMap::new();
    for machine in machines.values().filter(|machine| machine.phase == MachinePhase::Up) {
        let count = zones.entry(&machine.zone).or_default();
        count.up += 1;
        count.with_recent_heartbeats += usize::from(machine.has_recent_heartbeats(now, timing));
    }
    let silent = zones.into_iter().filter(|(_, count)| count.with_recent_heartbeats * 3 < count.up);
    silent.map(|(zone, _)| zone.to_string()).collect()
}

/// The machines to request next.
#[derive(Debug, PartialEq)]
struct ScaleOutChoice {
    location: ZonalPool,
    machines: u32,
}

/// Selection of the pool and zone of the next request.
struct ScaleOutSelector<'a> {
    now: Time,
    types: &'a [MachineType],
    leader: &'a LeaderState,
    /// Zones where nothing is requested until more of their machines have sent heartbeats.
    silent_zones: Vec<String>,
    /// Number of machines that the controllers can serve in addition to the existing ones.
    capacity_left: u32,
}

impl ScaleOutSelector<'_> {
    /// Chooses the first pool with wanted machines, but prefers pools other than that of the last
    /// request. Ordinary machines come before spot machines, because more work may use them. Pools
    /// alternate because calls are rate limited: otherwise, requests for single ordinary machines delay
    /// hundreds of spot machines by half a minute. Choosing the largest request first would delay the
    /// machines of gangs.
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
        let machine_type = self.types.iter().find(|machine_type| machine_type.name == pool.machine_type)?;
        let wanted = wanted.saturating_sub(self.wanted_in_closed_zones(pool));
        if wanted == 0 {
            return None;
        }
        let zones = self.open_zones(pool, machine_type);
        let emptiest = *zones.first()?;
        let mut zone = emptiest;
        let mut machines = wanted.div_ceil(zones.len() as u32).clamp(1, MAX_RENTED);
        if let Some((bound_zone, bound_machines)) = self.wanted_in_one_zone(pool, &zones) {
            zone = bound_zone;
            machines = bound_machines.min(MAX_RENTED);
        }
        if self.leader.fleet.exhausted_pools.was_recently_exhausted(self.now, pool, zone) {
            machines = machines.min(PROBE_MACHINES);
        }
        let location = ZonalPool::new(pool, zone);
        Some(ScaleOutChoice { location, machines: machines.min(self.capacity_left) })
    }

    fn may_request_in(&self, pool: &MachinePool, zone: &String) -> bool {
        self.leader.fleet.is_zone_available(self.now, pool, zone) && !self.silent_zones.contains(zone)
    }

    /// Returns the number of machines of `pool` that are wanted in zones where none can be requested.
    /// Machines in other zones could not replace them.
    fn wanted_in_closed_zones(&self, pool: &MachinePool) -> u32 {
        let wanted_in_zone = self.leader.fleet.targets.wanted_in_zone.iter();
        let closed = wanted_in_zone
            .filter(|(location, _)| location.pool == *pool && !self.may_request_in(pool, &location.zone));
        closed.map(|(_, machines)| machines).sum()
    }

    /// Returns the zones where machines of `pool` can be requested, those with the fewest machines of
    /// the pool first.
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

    /// Returns the first of `zones` in which machines of `pool` are specifically wanted, and their
    /// number.
    fn wanted_in_one_zone<'z>(&self, pool: &MachinePool, zones: &[&'z String]) -> Option<(&'z String, u32)> {
        zones.iter().find_map(|&zone| {
            let wanted = *self.leader.fleet.targets.wanted_in_zone.get(&ZonalPool::new(pool, zone))?;
            (wanted > 0).then_some((zone, wanted))
        })
    }
}

impl Controller {
    /// Sends the pending scale-out request, or chooses and sends the next one.
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

    /// Chooses the next request, if the leader may act and machines are wanted.
    fn choose_scale_out(&mut self) -> Option<ScaleOutChoice> {
        let now = self.now;
        let may_act = self.may_act();
        let Role::Leader(leader) = &self.role else { return None };
        // Before the machine list is complete, machines that already exist would be requested again.
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
        let silent_zones = if now - leader.leadership.elected_at < self.timing.worker_failover_s {
            silent_zones(&leader.cluster.machines, now, &self.timing)
        } else {
            Vec::new()
        };
        let types = self.machine_types.as_deref().unwrap_or_default();
        ScaleOutSelector { now, types, leader, silent_zones, capacity_left }.choose()
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
        leader.fleet.pending_scale_out = Some(PendingScaleOut {
            request,
            requested_at: now,
            attempts: 0,
            last_sent_at: now,
            in_flight: false,
            retry_at: now,
        });
    }

    fn send_scale_out(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        let Some(pending) = &mut leader.fleet.pending_scale_out else { return };
        pending.in_flight = true;
        pending.attempts += 1;
        pending.last_sent_at = self.now;
        let request = pending.request.clone();
        self.call_cloud(CallContext::ScaleOut { token }, CloudRequest::Rent(request));
    }

    /// Handles the reply to the pending request.
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

/// Adds the machines that the cloud provided to the cluster. Their age counts from the attempt that was
/// answered: earlier ones may not have been carried out. If one was, the cloud's list shows it. The
/// reply to a repeated request may name machines that have been removed since.
fn record_rented_machines(
    leader: &mut LeaderState,
    pending: &PendingScaleOut,
    machines: &[String],
    now: Time,
) {
    let request = &pending.request;
    info!(kind = %request.machine_type, zone = %request.zone, spot = request.spot,
          asked = request.count, got = machines.len(), attempts = pending.attempts,
          took_s = now - pending.requested_at, "scale-out completed");
    for id in machines.iter().filter(|id| !leader.fleet.has_tombstone(id)) {
        leader.cluster.machines.entry(id.clone()).or_insert_with(|| {
            let sent_at = pending.last_sent_at;
            let mut machine = Machine::new(id, &request.machine_type, &request.zone, request.spot, sent_at);
            machine.exists_since = now;
            machine.rented_by_this_leader = true;
            machine
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
