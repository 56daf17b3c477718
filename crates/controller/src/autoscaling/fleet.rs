//! The fleet as the leader keeps it: pools, capacity targets, calls to the cloud in flight, and
//! the machines that are known to be gone.

use crate::autoscaling::machine_list::MachineListing;
use crate::autoscaling::scale_out::{ExhaustedPools, PendingScaleOut};
use crate::leader::state::Role;
use crate::{CallContext, CloudReply, Controller, RateLimiter, Time};
use sharding::ZoneReachability;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// Machines that can be rented alike. Ordered by machine type, ordinary machines before spot ones.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachinePool {
    /// Name of the machine type in the cloud's catalogue.
    pub machine_type: String,
    /// Whether its machines are spot machines, which the cloud may reclaim.
    pub spot: bool,
}

impl MachinePool {
    /// The pool of a machine type, spot or not.
    pub fn new(machine_type: &str, spot: bool) -> Self {
        MachinePool { machine_type: machine_type.to_string(), spot }
    }
}

/// Log lines show a pool as `("type", spot)`.
impl fmt::Debug for MachinePool {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("").field(&self.machine_type).field(&self.spot).finish()
    }
}

/// A pool in one zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZonalPool {
    /// Machine type and whether spot.
    pub pool: MachinePool,
    /// Name of the zone.
    pub zone: String,
}

impl ZonalPool {
    /// `pool` in `zone`.
    pub fn new(pool: &MachinePool, zone: &str) -> Self {
        ZonalPool { pool: pool.clone(), zone: zone.to_string() }
    }
}

/// A machine type in one zone, spot or not.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZonalMachineType {
    /// Name of the machine type in the cloud's catalogue.
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
}

impl ZonalMachineType {
    /// `machine_type` in `zone`.
    pub fn new(machine_type: &str, zone: &str) -> Self {
        ZonalMachineType { machine_type: machine_type.to_string(), zone: zone.to_string() }
    }
}

/// How many machines there should be, as decided after the last plan.
#[derive(Debug, Default)]
pub struct CapacityTargets {
    /// Machines to add to those that exist, by pool.
    pub wanted: BTreeMap<MachinePool, u32>,
    /// Machines to add in one zone, for work that has to run there.
    pub wanted_in_zone: BTreeMap<ZonalPool, u32>,
    /// Machines that are kept for gangs whose other machines are still missing.
    pub assembling_gang_machines: BTreeMap<ZonalMachineType, u32>,
    /// Machines that each pool keeps free for jobs that usually arrive.
    pub reserve: BTreeMap<MachinePool, u32>,
    /// Machines that each pool should have. Idle ones beyond it are scaled in.
    pub desired: BTreeMap<MachinePool, u32>,
    /// The same for pools of latency-sensitive work: enough for a burst of arrivals, too.
    pub generous: BTreeMap<MachinePool, u32>,
}

/// Machines that were deleted, the oldest first. The cloud's list shows them for a while, and
/// delayed heartbeats may come from them at any time.
#[derive(Debug, Default)]
struct Tombstones {
    machines: BTreeSet<String>,
    insertion_order: VecDeque<String>,
}

impl Tombstones {
    fn add(&mut self, machine: &str) {
        if self.machines.insert(machine.to_string()) {
            self.insertion_order.push_back(machine.to_string());
        }
        if self.insertion_order.len() > MAX_TOMBSTONES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.machines.remove(&oldest);
            }
        }
    }
}

/// What the leader keeps about the fleet, beside the machines themselves.
#[derive(Default)]
pub struct Fleet {
    /// The worker capacity when it was last logged.
    pub logged_capacity: u32,
    /// Which zones are unreachable. No machine is rented there.
    pub zones: ZoneReachability,
    /// How many machines there should be.
    pub targets: CapacityTargets,
    /// The cloud's machine list, read page by page.
    pub(crate) listing: MachineListing,
    /// Limits the calls to the cloud.
    cloud_calls: Option<RateLimiter>,
    /// Limits the leader's writes to the store.
    leader_writes: Option<RateLimiter>,
    /// Whether the machine types are being read from the cloud.
    pub(super) types_in_flight: bool,
    /// When the machine types were last read from the cloud.
    pub(super) types_read_at: Option<Time>,
    /// Number of scale-out requests so far: part of the next one's name.
    pub(super) scale_out_count: u64,
    /// The scale-out request whose outcome is not known yet.
    pub(super) pending_scale_out: Option<PendingScaleOut>,
    /// The pool of the last scale-out request.
    pub(super) last_scale_out_pool: Option<MachinePool>,
    /// Pools whose last requests were refused for lack of capacity.
    pub(super) exhausted_pools: ExhaustedPools,
    /// Whether machines are being deleted.
    pub(super) delete_in_flight: bool,
    /// No deletion is sent before then.
    pub(super) delete_at: Time,
    /// When machines are next checked for scale-in.
    pub(super) scale_in_check_at: Time,
    tombstones: Tombstones,
}

impl Fleet {
    /// The limiter of the leader's writes to the store, at `rate` writes a second from now on.
    pub fn write_budget(&mut self, rate: f64) -> &mut RateLimiter {
        let budget = self.leader_writes.get_or_insert_with(|| RateLimiter::new(rate));
        budget.set_rate(rate);
        budget
    }

    /// Remembers that `machine` was deleted. Names of machines are never used again.
    pub(super) fn add_tombstone(&mut self, machine: &str) {
        self.tombstones.add(machine);
    }

    /// Whether `machine` is known to be deleted.
    pub(crate) fn has_tombstone(&self, machine: &str) -> bool {
        self.tombstones.machines.contains(machine)
    }

    /// Whether machines of `pool` may be requested in `zone`: it is reachable, and the pool was
    /// not refused there a moment ago.
    pub(crate) fn is_zone_available(&self, now: Time, pool: &MachinePool, zone: &str) -> bool {
        !self.zones.is_unreachable(zone) && self.exhausted_pools.may_request(now, pool, zone)
    }
}

/// Deleted machines that are remembered.
const MAX_TOMBSTONES: usize = 20_000;

/// The cloud charges every machine for at least that long.
pub(super) const MIN_CHARGE_S: f64 = 60.0;

/// Part of the cloud's rate limit that the leader uses.
const CLOUD_RATE_SHARE: f64 = 0.9;

impl Controller {
    /// Takes one call from the budget of calls to the cloud, if one is left.
    pub(super) fn try_acquire_cloud_call(&mut self) -> bool {
        let now = self.now;
        let rate = self.settings.params.cloud.rps * CLOUD_RATE_SHARE;
        let Role::Leader(leader) = &mut self.role else { return false };
        leader.fleet.cloud_calls.get_or_insert_with(|| RateLimiter::new(rate)).try_acquire(now, 1.0)
    }

    /// Sends the calls to the cloud that are due.
    pub(crate) fn tick_fleet(&mut self) {
        self.tick_machine_types();
        self.tick_machine_list();
        self.tick_scale_in_check();
        self.tick_deletions();
        self.tick_scale_out();
    }

    /// Routes the cloud's reply to the part that made the call.
    pub(crate) fn on_cloud_reply(&mut self, context: CallContext, reply: CloudReply) {
        match context {
            CallContext::CloudTypes { token } => self.on_machine_types(token, reply),
            CallContext::CloudList { token } => self.on_machine_list(token, reply),
            CallContext::ScaleOut { token } => self.on_scale_out(token, reply),
            CallContext::Delete { token, machines } => self.on_deleted(token, &machines, reply),
            _ => {}
        }
    }

    /// Checks now and then which machines to scale in. The check looks at every machine and
    /// placement, and no scale-in is urgent.
    fn tick_scale_in_check(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        if self.now >= leader.fleet.scale_in_check_at {
            leader.fleet.scale_in_check_at = self.now + self.timing.planning_interval_s / 2.0;
            self.tick_scale_in();
        }
    }
}
