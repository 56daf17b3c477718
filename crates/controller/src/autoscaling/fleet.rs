//! The leader's state of the fleet: machine pools, capacity targets, cloud calls in flight, and
//! tombstones of deleted machines.

use crate::autoscaling::machine_list::MachineListing;
use crate::autoscaling::scale_out::{ExhaustedPools, PendingScaleOut};
use crate::leader::state::Role;
use crate::model::machine::HeartbeatPosition;
use crate::{CallContext, CloudReply, Controller, RateLimiter, Time};
use sharding::ZoneReachability;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;

/// Machines of one type and purchase option. Ordered by machine type, ordinary before spot machines.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachinePool {
    /// Name of the machine type in the cloud's catalogue.
    pub machine_type: String,
    /// Whether its machines are spot machines, which the cloud may reclaim.
    pub spot: bool,
}

impl MachinePool {
    /// Creates the pool of spot or ordinary machines of a type.
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
    /// The pool.
    pub pool: MachinePool,
    /// Name of the zone.
    pub zone: String,
}

impl ZonalPool {
    /// Creates the key for `pool` in `zone`.
    pub fn new(pool: &MachinePool, zone: &str) -> Self {
        ZonalPool { pool: pool.clone(), zone: zone.to_string() }
    }
}

/// A machine type in one zone, regardless of whether its machines are spot machines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZonalMachineType {
    /// Name of the machine type in the cloud's catalogue.
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
}

impl ZonalMachineType {
    /// Creates the key for `machine_type` in `zone`.
    pub fn new(machine_type: &str, zone: &str) -> Self {
        ZonalMachineType { machine_type: machine_type.to_string(), zone: zone.to_string() }
    }
}

/// Capacity targets, computed after the last plan.
#[derive(Debug, Default)]
pub struct CapacityTargets {
    /// Machines to add, by pool.
    pub wanted: BTreeMap<MachinePool, u32>,
    /// Machines to add in a specific zone, for work that has to run there.
    pub wanted_in_zone: BTreeMap<ZonalPool, u32>,
    /// Machines that are kept for gangs whose other machines are still missing.
    pub assembling_gang_machines: BTreeMap<ZonalMachineType, u32>,
    /// Machines that each pool keeps free for expected arrivals.
    pub reserve: BTreeMap<MachinePool, u32>,
    /// Desired number of machines of each pool. Idle machines beyond it are scaled in.
    pub desired: BTreeMap<MachinePool, u32>,
    /// Desired number of machines of pools with latency-sensitive work, which also covers a burst of
    /// arrivals.
    pub desired_with_burst: BTreeMap<MachinePool, u32>,
}

/// Observation from which the leader concluded that a machine no longer exists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RemovalProof {
    /// The cloud confirmed its deletion. Every heartbeat that arrives afterwards was sent before.
    Deleted,
    /// A list that had to show it did not. A newer heartbeat than the newest one known at that time
    /// contradicts this.
    Unlisted(HeartbeatPosition),
}

/// Removed machines, in order of removal. The cloud's list still shows them for a while, and their
/// delayed heartbeats may arrive at any time.
#[derive(Debug, Default)]
struct Tombstones {
    machines: BTreeMap<String, RemovalProof>,
    insertion_order: VecDeque<String>,
}

impl Tombstones {
    fn add(&mut self, machine: &str, proof: RemovalProof) {
        if self.machines.insert(machine.to_string(), proof).is_none() {
            self.insertion_order.push_back(machine.to_string());
        }
        if self.insertion_order.len() > MAX_TOMBSTONES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.machines.remove(&oldest);
            }
        }
    }

    fn remove(&mut self, machine: &str) {
        if self.machines.remove(machine).is_some() {
            self.insertion_order.retain(|id| id != machine);
        }
    }
}

/// The leader's state of the fleet, apart from the machines themselves.
#[derive(Default)]
pub struct Fleet {
    /// Worker capacity that was logged last.
    pub logged_capacity: u32,
    /// Reachability of the zones. No machines are rented in unreachable zones.
    pub zones: ZoneReachability,
    /// Capacity targets of the pools.
    pub targets: CapacityTargets,
    /// Progress of reading the cloud's machine list page by page.
    pub(crate) listing: MachineListing,
    /// Rate limiter of the calls to the cloud.
    cloud_calls: Option<RateLimiter>,
    /// Rate limiter of the leader's writes to the store.
    leader_writes: Option<RateLimiter>,
    /// Whether the machine types are being read from the cloud.
    pub(super) types_in_flight: bool,
    /// Start of the current interval between reads of the machine types: the time of the last
    /// request or, after a failed call, an earlier time that brings the next request forward.
    pub(super) types_interval_started_at: Option<Time>,
    /// Number of scale-out requests so far; makes the name of each request unique.
    pub(super) scale_out_count: u64,
    /// Scale-out request whose outcome is not known yet.
    pub(super) pending_scale_out: Option<PendingScaleOut>,
    /// Pool of the last scale-out request.
    pub(super) last_scale_out_pool: Option<MachinePool>,
    /// Zonal pools that recently lacked capacity.
    pub(super) exhausted_pools: ExhaustedPools,
    /// Whether a call to delete machines is in flight.
    pub(super) delete_in_flight: bool,
    /// Earliest time of the next call to delete machines.
    pub(super) delete_at: Time,
    /// Time of the next check for machines to scale in.
    pub(super) scale_in_check_at: Time,
    tombstones: Tombstones,
}

impl Fleet {
    /// Returns the rate limiter of the leader's writes to the store, after setting it to `rate` writes
    /// per second.
    pub fn write_budget(&mut self, rate: f64) -> &mut RateLimiter {
        let budget = self.leader_writes.get_or_insert_with(|| RateLimiter::new(rate));
        budget.set_rate(rate);
        budget
    }

    /// Records that `machine` no longer exists. Machine names are never reused.
    pub(super) fn add_tombstone(&mut self, machine: &str, proof: RemovalProof) {
        self.tombstones.add(machine, proof);
    }

    /// Whether `machine` is considered removed.
    pub(crate) fn has_tombstone(&self, machine: &str) -> bool {
        self.tombstones.machines.contains_key(machine)
    }

    /// Whether a heartbeat at `position` shows that `machine` exists although it is considered removed.
    pub(crate) fn contradicts_removal(&self, machine: &str, position: HeartbeatPosition) -> bool {
        match self.tombstones.machines.get(machine) {
            Some(RemovalProof::Unlisted(newest_known)) => position > *newest_known,
            Some(RemovalProof::Deleted) | None => false,
        }
    }

    /// Forgets that `machine` was considered removed.
    pub(crate) fn remove_tombstone(&mut self, machine: &str) {
        self.tombstones.remove(machine);
    }

    /// Whether machines of `pool` may be requested in `zone`: the zone is reachable, and the pool is
    /// not in a pause after a lack of capacity there.
    pub(crate) fn is_zone_available(&self, now: Time, pool: &MachinePool, zone: &str) -> bool {
        !self.zones.is_unreachable(zone) && self.exhausted_pools.may_request(now, pool, zone)
    }
}

/// Maximum number of deleted machines that are remembered.
const MAX_TOMBSTONES: usize = 20_000;

/// Minimum time for which the cloud charges a machine.
pub(super) const MIN_CHARGE_S: f64 = 60.0;

/// Fraction of the cloud's rate limit that the leader uses.
const CLOUD_RATE_SHARE: f64 = 0.9;

impl Controller {
    /// Takes one call from the budget of cloud calls. Returns false if none is left.
    pub(super) fn try_acquire_cloud_call(&mut self) -> bool {
        let now = self.now;
        let rate = self.settings.params.cloud.rps * CLOUD_RATE_SHARE;
        let Role::Leader(leader) = &mut self.role else { return false };
        leader.fleet.cloud_calls.get_or_insert_with(|| RateLimiter::new(rate)).try_acquire(now, 1.0)
    }

    /// Sends the cloud calls that are due.
    pub(crate) fn tick_fleet(&mut self) {
        self.tick_machine_types();
        self.tick_machine_list();
        self.tick_scale_in_check();
        self.tick_deletions();
        self.tick_scale_out();
    }

    /// Routes a reply of the cloud to the handler of its call.
    pub(crate) fn on_cloud_reply(&mut self, context: CallContext, reply: CloudReply) {
        match context {
            CallContext::CloudTypes { token } => self.on_machine_types(token, reply),
            CallContext::CloudList { token } => self.on_machine_list(token, reply),
            CallContext::ScaleOut { token } => self.on_scale_out(token, reply),
            CallContext::Delete { token, machines } => self.on_deleted(token, &machines, reply),
            _ => {}
        }
    }

    /// Checks periodically which machines to scale in. The check is not run on every tick because it
    /// iterates over all machines and placements, and scale-in is never urgent.
    fn tick_scale_in_check(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        if self.now >= leader.fleet.scale_in_check_at {
            leader.fleet.scale_in_check_at = self.now + self.timing.planning_interval_s / 2.0;
            self.tick_scale_in();
        }
    }
}
