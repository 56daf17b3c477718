//! Machines at the cloud: the list, rentals, returns.

use crate::leader::state::Role;
use crate::model::machine::{Machine, MachinePhase};
use crate::model::records::*;
use crate::{CallContext, CloudReply, CloudRequest, Controller, RateLimiter, StoreRequest, Time};
use protocol::cloud::*;
use protocol::state::{Compare, Mutation, Transaction};
use settings::Timing;
use sharding::ZoneReachability;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use tracing::{info, warn};

/// A kind of machine that can be rented: type and whether spot.
pub type MachinePool = (String, bool);

#[derive(Default)]
pub struct Fleet {
    /// Number of scale-out requests so far: part of the next one's name.
    pub scale_out_count: u64,
    /// When the machine types were read from the cloud.
    pub machine_types_read_at: Option<Time>,
    /// The worker capacity when it was last logged.
    pub logged_capacity: u32,
    cloud_calls: Option<RateLimiter>,
    leader_writes: Option<RateLimiter>,
    pub list_in_flight: bool,
    pub list_at: Time,
    list_sent: Time,
    listed: Vec<ListedMachine>,
    /// The list goes on after that machine, and when its next page is due.
    list_after: Option<String>,
    page_at: Time,
    pub listed_once: bool,
    types_in_flight: bool,
    /// The rental whose outcome is not known yet.
    pending_scale_out: Option<PendingScaleOut>,
    /// The pool that the last rental was asked of.
    last_scale_out_pool: Option<MachinePool>,
    /// No capacity there until then, with how often in a row.
    exhausted_pools: BTreeMap<(String, String, bool), (Time, u32)>,
    delete_in_flight: bool,
    delete_at: Time,
    /// Next look for machines to be given back.
    scale_in_check_at: Time,
    /// Machines wanted beyond those there are, by pool.
    pub wanted: BTreeMap<MachinePool, u32>,
    /// Machines each pool keeps ready for what usually comes.
    pub reserve: BTreeMap<MachinePool, u32>,
    /// Machines wanted in one zone, for gangs that have to be together there.
    pub wanted_in_zone: BTreeMap<(MachinePool, String), u32>,
    /// Machines, by type and zone, that such gangs wait for the others of.
    pub assembling_gang_machines: BTreeMap<(String, String), u32>,
    /// Machines each pool should keep.
    pub desired_capacity: BTreeMap<MachinePool, u32>,
    /// Machines of a pool beyond which no bad moment is likely to need one.
    pub generous_capacity: BTreeMap<MachinePool, u32>,
    /// Machines deleted, the oldest first: the list shows them for a while yet,
    /// and late reports may speak of them at any time.
    tombstones: BTreeSet<String>,
    tombstone_order: VecDeque<String>,
    /// Zones out of reach: nothing is rented there.
    pub zones: ZoneReachability,
}

struct PendingScaleOut {
    request: RentRequest,
    requested_at: Time,
    in_flight: bool,
    retry_at: Time,
}

impl Fleet {
    pub fn write_budget(&mut self, rate: f64) -> &mut RateLimiter {
        let budget = self.leader_writes.get_or_insert_with(|| RateLimiter::new(rate));
        budget.set_rate(rate);
        budget
    }

    /// `machine` was deleted. Names of machines are never used again.
    fn add_tombstone(&mut self, machine: &str) {
        if self.tombstones.insert(machine.to_string()) {
            self.tombstone_order.push_back(machine.to_string());
        }
        if self.tombstone_order.len() > MOST_BURIED {
            if let Some(oldest) = self.tombstone_order.pop_front() {
                self.tombstones.remove(&oldest);
            }
        }
    }

    /// Whether `machine` is known to be gone.
    pub(crate) fn has_tombstone(&self, machine: &str) -> bool {
        self.tombstones.contains(machine)
    }

    /// How many such machines may be had: none where they were refused just
    /// now, a few where they were refused lately, else any number. (All the
    /// work was once sent after a pool as soon as its pause was over, found a
    /// machine or none, and dearer machines were rented much too late.)
    pub(crate) fn available_machines(&self, now: Time, machine_type: &MachineType, spot: bool) -> f64 {
        machine_type
            .zones
            .iter()
            .filter(|z| self.is_zone_available(now, &machine_type.name, z, spot))
            .map(|z| {
                if self.was_exhausted_lately(now, &machine_type.name, z, spot) {
                    f64::from(PROBE)
                } else {
                    f64::MAX / 1e6
                }
            })
            .sum()
    }

    fn was_exhausted_lately(&self, now: Time, name: &str, zone: &str, spot: bool) -> bool {
        let key = (name.to_string(), zone.to_string(), spot);
        self.exhausted_pools.get(&key).is_some_and(|(until, _)| now - until < LEAST_CHARGE_S)
    }

    pub(crate) fn is_zone_available(&self, now: Time, name: &str, zone: &str, spot: bool) -> bool {
        let key = (name.to_string(), zone.to_string(), spot);
        !self.zones.is_unreachable(zone)
            && self.exhausted_pools.get(&key).is_none_or(|(until, _)| now >= *until)
    }
}

/// Machines of the cloud's list that are looked at.
const MOST_MACHINES: usize = 20_000;

/// Machines that are remembered as deleted.
const MOST_BURIED: usize = 20_000;

/// Machines asked for where there were none a while ago.
const PROBE: u32 = 2;

/// The cloud charges every machine for that long at least.
const LEAST_CHARGE_S: f64 = 60.0;

/// Zones of which a new leader has hardly heard a machine yet: where nothing is
/// rented until it can tell whether they are out of reach.
fn unheard_zones(machines: &BTreeMap<String, Machine>, now: Time, timing: &Timing) -> Vec<String> {
    let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for m in machines.values().filter(|m| m.phase == MachinePhase::Up) {
        let n = zones.entry(&m.zone).or_default();
        *n = (n.0 + 1, n.1 + usize::from(m.is_heard(now, timing)));
    }
    let unheard = zones.into_iter().filter(|(_, (up, heard))| heard * 3 < *up);
    unheard.map(|(zone, _)| zone.to_string()).collect()
}

impl Controller {
    fn try_acquire_cloud_call(&mut self) -> bool {
        let (now, rate) = (self.now, self.settings.params.cloud.rps * 0.9);
        let Role::Leader(leader) = &mut self.role else { return false };
        leader.fleet.cloud_calls.get_or_insert_with(|| RateLimiter::new(rate)).try_acquire(now, 1.0)
    }

    pub(crate) fn tick_fleet(&mut self) {
        let now = self.now;
        let lag = self.settings.params.cloud.list_lag_s;
        let Role::Leader(leader) = &self.role else { return };
        let token = leader.fencing_token;
        let types_due = !leader.fleet.types_in_flight
            && leader.fleet.machine_types_read_at.is_none_or(|t| now - t > 60.0);
        if types_due && self.try_acquire_cloud_call() {
            self.call_cloud(CallContext::CloudTypes { token }, CloudRequest::Types);
            if let Role::Leader(leader) = &mut self.role {
                leader.fleet.types_in_flight = true;
                leader.fleet.machine_types_read_at = Some(now);
            }
        }
        let Role::Leader(leader) = &mut self.role else { return };
        // One that takes too long is begun anew: its first pages tell nothing any more.
        if !leader.fleet.list_in_flight && now - leader.fleet.list_sent > self.settings.params.workers.lease_s
        {
            leader.fleet.list_after = None;
        }
        let after = leader.fleet.list_after.clone();
        let due = if after.is_some() { leader.fleet.page_at } else { leader.fleet.list_at };
        if !leader.fleet.list_in_flight && now >= due && self.try_acquire_cloud_call() {
            // Every page is a call of its own. Half of the calls are left for the rest, but
            // nothing goes on before the first list is whole. (Pages beyond the first were once
            // asked for at once: with some thousand machines the cloud refused every list.)
            let pace = 2.0 / self.settings.params.cloud.rps;
            let Role::Leader(leader) = &mut self.role else { return };
            leader.fleet.list_in_flight = true;
            leader.fleet.page_at = if leader.fleet.listed_once { now + pace } else { now };
            leader.fleet.list_at = leader.fleet.list_at.max(now + pace);
            if after.is_none() {
                leader.fleet.list_sent = now;
                leader.fleet.listed.clear();
                leader.fleet.list_at = now + (lag * 0.75).max(pace);
            }
            self.call_cloud(CallContext::CloudList { token }, CloudRequest::List { after });
        }
        let Role::Leader(leader) = &mut self.role else { return };
        // It looks at every machine and place, and no return is that urgent.
        if now >= leader.fleet.scale_in_check_at {
            leader.fleet.scale_in_check_at = now + self.timing.planning_interval_s / 2.0;
            self.tick_scale_in();
        }
        self.tick_deletions();
        self.tick_scale_out();
    }

    pub(crate) fn on_cloud_reply(&mut self, context: CallContext, reply: CloudReply) {
        match context {
            CallContext::CloudTypes { token } => self.on_machine_types(token, reply),
            CallContext::CloudList { token } => self.on_machine_list(token, reply),
            CallContext::ScaleOut { token } => self.on_scale_out(token, reply),
            CallContext::Delete { token, machines } => self.on_deleted(token, &machines, reply),
            _ => {}
        }
    }

    fn on_machine_types(&mut self, token: u64, reply: CloudReply) {
        let now = self.now;
        let Some(leader) = self.leader_state(token) else { return };
        leader.fleet.types_in_flight = false;
        let CloudReply::Types(t) = reply else {
            leader.fleet.machine_types_read_at = Some(now - 58.0);
            return;
        };
        let sane = |x: f64| x.is_finite() && x >= 0.0;
        let valid = !t.types.is_empty()
            && t.types.iter().all(|t| {
                [
                    t.cores,
                    t.accelerators,
                    t.memory_gb,
                    t.price,
                    t.spot_price,
                    t.boot_s,
                    t.fetch_gb_per_s,
                    t.cache_gb,
                ]
                .into_iter()
                .all(sane)
                    && !t.zones.is_empty()
            });
        if !valid {
            warn!("machine type catalogue is invalid, ignored");
            return;
        }
        leader.planning.needed = true;
        let first = self.machine_types.is_none();
        self.machine_types = Some(t.types.clone());
        if first {
            info!(types = t.types.len(), "machine types loaded");
            self.store_machine_types(token, t.types);
        }
    }

    /// Kept in the state service, so that a node can decide on submissions while the cloud
    /// does not answer: in one value, or, once every node reads that, in as many as it takes.
    /// (Too long for one transaction it is not kept: half of it would refuse what can run.)
    fn store_machine_types(&mut self, token: u64, types: Vec<MachineType>) {
        let fit = self.store_limits.value_bytes();
        let put = |(key, value)| Mutation::Put { key, value, lease: None };
        let whole = Value::Types(types.clone());
        let changes: Vec<Mutation<Value>> = if json_size(&whole) > fit && self.uses_current_format() {
            let gone = Mutation::Delete { key: TYPES_KEY.to_string() };
            catalogue(&types, fit).into_iter().map(put).chain([gone]).collect()
        } else {
            vec![put((TYPES_KEY.to_string(), whole))]
        };
        if changes.len() <= self.store_limits.mutations() {
            let conditions = vec![Compare { key: LEADER_KEY.to_string(), version: token }];
            self.call_store(
                CallContext::TypesWrite,
                StoreRequest::Commit(Transaction { compares: conditions, mutations: changes }),
            );
        }
    }

    fn on_machine_list(&mut self, token: u64, reply: CloudReply) {
        let now = self.now;
        let lag = self.settings.params.cloud.list_lag_s;
        let Some(leader) = self.leader_state(token) else { return };
        leader.fleet.list_in_flight = false;
        // A page that failed is asked for again.
        let CloudReply::List(page) = reply else { return };
        let after = page.machines.last().map(|m| m.id.clone());
        leader.fleet.listed.extend(page.machines);
        leader.fleet.list_after = after.filter(|_| page.more && leader.fleet.listed.len() < MOST_MACHINES);
        if leader.fleet.list_after.is_some() {
            return;
        }
        let first = !leader.fleet.listed_once;
        leader.fleet.listed_once = true;
        let list = std::mem::take(&mut leader.fleet.listed);
        let mut failed = Vec::new();
        for item in &list {
            if leader.fleet.has_tombstone(&item.id) {
                continue;
            }
            let known = leader.cluster.machines.contains_key(&item.id);
            let m = leader.cluster.machines.entry(item.id.clone()).or_insert_with(|| {
                Machine::new(&item.id, &item.machine_type, &item.zone, item.spot, now - item.age_s)
            });
            if !known && !first {
                info!(machine = %item.id, "unknown machine in the cloud's list, registered");
            }
            (m.listed, m.unconfirmed_since) = (true, None);
            // A machine that was heard first is older than that. (After a takeover
            // none was once old enough to be given back, for a minute.)
            m.known_since = m.known_since.min(now - item.age_s);
            if m.machine_type.is_empty() {
                m.machine_type.clone_from(&item.machine_type);
                m.zone.clone_from(&item.zone);
                m.spot = item.spot;
            }
            if m.addr.is_empty() {
                if let Some(a) = &item.addr {
                    m.addr.clone_from(a);
                    leader.pending_kills.retry_now(&item.id, now);
                }
            }
            if item.state == MachineState::Running {
                m.mark_up(now);
            }
            if item.state == MachineState::Failed && m.phase != MachinePhase::Terminating {
                failed.push(item.id.clone());
            }
        }
        let names: BTreeSet<&str> = list.iter().map(|m| m.id.as_str()).collect();
        // A list is at most twice the lag old: a machine known for longer
        // that it lacks is gone, with everything on it.
        let settle = 2.0 * lag + 2.0;
        let sent = leader.fleet.list_sent;
        let gone: Vec<String> = leader
            .cluster
            .machines
            .values()
            .filter(|m| !names.contains(m.id.as_str()) && m.listed && sent - m.known_since > settle)
            .map(|m| m.id.clone())
            .collect();
        for id in &failed {
            if let Some(m) = leader.cluster.machines.get_mut(id) {
                m.phase = MachinePhase::Terminating;
                m.quarantined = true;
            }
        }
        leader.planning.needed = true;
        for id in gone {
            info!(machine = %id, "machine removed from the cloud's list");
            if let Role::Leader(leader) = &mut self.role {
                leader.fleet.add_tombstone(&id);
            }
            self.remove_machine_work(&id, true);
        }
    }

    /// Classes whose work has to start at once: those with an aim at start, or
    /// all that run under a team's guarantee if that has one.
    fn latency_sensitive_classes(&self) -> BTreeSet<String> {
        let p = &self.settings.params;
        let guaranteed = p.slos.iter().any(|o| o.kind == "guarantee")
            && p.teams.iter().any(|t| t.cores > 0.0 || t.accelerators > 0.0);
        if guaranteed {
            if let Role::Leader(leader) = &self.role {
                return leader.planning.classes.keys().cloned().collect();
            }
        }
        p.slos.iter().filter(|o| o.kind == "wait").filter_map(|o| o.class.clone()).collect()
    }

    /// Machines to be given back: faulty ones, boots that are stuck, idle
    /// ones beyond the target.
    fn tick_scale_in(&mut self) {
        let now = self.now;
        let types = self.machine_types.clone().unwrap_or_default();
        let entitled = self.may_act();
        let own = self.operator.clone();
        let lease_s = self.settings.params.workers.lease_s;
        let silent_s = self.timing.failure_suspicion_s / 2.0;
        let prompt = self.latency_sensitive_classes();
        let (asleep, bound, d) =
            (self.checks.retain_silent_machines, self.checks.zonal_scale_out, self.timing);
        let Role::Leader(leader) = &mut self.role else { return };
        let (since, reach) = (leader.leadership.elected_at, &leader.fleet.zones);
        // Nobody could give it work before. (After an outage whatever stood idle was once given
        // back in the moment before the users came again.)
        let acts_since = if asleep { leader.leadership.tenure.entitled_since() } else { 0.0 };
        if !entitled {
            return;
        }
        let places = leader.cluster.jobs.values().flat_map(|j| j.placements.values());
        let used: HashSet<&str> = places.map(|p| p.machine.as_str()).collect();
        let mut count: BTreeMap<MachinePool, u32> = BTreeMap::new();
        for m in leader.cluster.machines.values().filter(|m| m.accepts_work()) {
            *count.entry((m.machine_type.clone(), m.spot)).or_insert(0) += 1;
        }
        let mut idle: Vec<(Time, String, bool)> = Vec::new();
        // Where work has to start within seconds, a machine is worth keeping
        // until another could have booted in its place.
        let waited_for: BTreeSet<MachinePool> = leader
            .planning
            .classes
            .iter()
            .filter(|(name, _)| prompt.contains(name.as_str()))
            .filter_map(|(_, c)| c.typical_demand.as_ref().map(|u| u.pool.clone()))
            .collect();
        for m in leader.cluster.machines.values_mut() {
            let boot = types.iter().find(|t| t.name == m.machine_type).map_or(60.0, |t| t.boot_s);
            // Nor could it get work while it was not heard. (Of a zone that came back one machine was given
            // back in that moment, by a target of the time without it.)
            let kept_busy = used.contains(m.id.as_str()) || asleep && m.missed_heartbeats(now, &d);
            m.idle_since = if kept_busy { now } else { m.idle_since.max(acts_since) };
            match m.phase {
                // After a take-over every worker has its lease's time to report: an
                // idle machine that had been up for long was once taken for stuck.
                MachinePhase::Booting
                    if now - m.known_since > boot * own.boot_stuck
                        && now - since > lease_s
                        && !reach.is_unreachable(&m.zone) =>
                {
                    info!(machine = %m.id, "scaling in machine: boot timed out");
                    m.phase = MachinePhase::Terminating;
                }
                MachinePhase::Up if m.reachability.is_lost() => {
                    info!(machine = %m.id, "scaling in machine: receives no responses");
                    m.phase = MachinePhase::Terminating;
                }
                MachinePhase::Up if m.quarantined && !used.contains(m.id.as_str()) => {
                    m.phase = MachinePhase::Terminating
                }
                MachinePhase::Up
                    if m.last_heard_at.is_some_and(|h| now - h < silent_s)
                        && m.tasks.is_empty()
                        && m.spot_reclaim_at.is_none()
                        && now - m.idle_since > boot * own.idle_hold
                        && now - m.known_since > LEAST_CHARGE_S =>
                {
                    let pool = (m.machine_type.clone(), m.spot);
                    let prompt = waited_for.contains(&pool) && now - m.idle_since <= boot;
                    idle.push((m.idle_since, m.id.clone(), prompt));
                }
                _ => {}
            }
        }
        idle.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        // Counted anew at each look, or it would hold for one only.
        let mut gathering = leader.fleet.assembling_gang_machines.clone();
        for (_, id, prompt) in idle {
            let Some(m) = leader.cluster.machines.get_mut(&id) else { continue };
            let waits = gathering.get_mut(&(m.machine_type.clone(), m.zone.clone()));
            // Not beyond the time in which the others would have come. (What could never be whole
            // once kept the last machines to be had from others for ever.)
            let boot = types.iter().find(|t| t.name == m.machine_type).map_or(60.0, |t| t.boot_s);
            let in_time =
                !bound || now - m.idle_since < (boot * own.boot_stuck).max(d.unreachable_zone_retention_s);
            if let Some(n) = waits.filter(|n| **n > 0 && in_time) {
                *n -= 1;
                continue;
            }
            let pool = (m.machine_type.clone(), m.spot);
            let have = count.entry(pool.clone()).or_insert(0);
            // Far more idle ones than a bad moment takes are not worth it.
            let keep = if prompt { &leader.fleet.generous_capacity } else { &leader.fleet.desired_capacity };
            if *have > keep.get(&pool).copied().unwrap_or(0) {
                *have -= 1;
                info!(machine = %id, kind = %pool.0, spot = pool.1, "scaling in idle machine");
                m.phase = MachinePhase::Terminating;
            }
        }
    }

    fn tick_deletions(&mut self) {
        let now = self.now;
        let entitled = self.may_act();
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.fleet.delete_in_flight || now < leader.fleet.delete_at || !entitled {
            return;
        }
        let names: Vec<String> = leader
            .cluster
            .machines
            .values()
            .filter(|m| m.phase == MachinePhase::Terminating)
            .map(|m| m.id.clone())
            .take(MAX_DELETED)
            .collect();
        if names.is_empty() || !self.try_acquire_cloud_call() {
            return;
        }
        let Role::Leader(leader) = &mut self.role else { return };
        leader.fleet.delete_in_flight = true;
        let token = leader.fencing_token;
        self.call_cloud(CallContext::Delete { token, machines: names.clone() }, CloudRequest::Delete(names));
    }

    fn on_deleted(&mut self, token: u64, machines: &[String], reply: CloudReply) {
        let now = self.now;
        let Some(leader) = self.leader_state(token) else { return };
        leader.fleet.delete_in_flight = false;
        if reply == CloudReply::Done {
            for id in machines {
                leader.fleet.add_tombstone(id);
            }
            for id in machines {
                self.remove_machine_work(id, true);
            }
        } else {
            leader.fleet.delete_at = now + 1.0;
        }
    }

    fn tick_scale_out(&mut self) {
        let now = self.now;
        let entitled = self.may_act();
        let types = self.machine_types.clone().unwrap_or_default();
        let timing = self.timing;
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        if let Some(r) = &leader.fleet.pending_scale_out {
            if r.in_flight || now < r.retry_at {
                return;
            }
        } else {
            // Unknown machines would be rented twice: the list comes first.
            if !entitled || !leader.fleet.listed_once {
                return;
            }
            if leader.fleet.wanted.values().all(|n| *n == 0) {
                return;
            }
            // No machine that no node could take.
            let room = self.machine_capacity_left();
            if room == 0 {
                return;
            }
            let Role::Leader(leader) = &mut self.role else { return };
            // Calls are few. Ordinary machines come before spot ones, which less
            // work may use, but no pool twice in a row while another waits: single
            // ordinary machines once kept hundreds of spot machines waiting for half
            // a minute, and the largest call first kept gangs waiting for theirs.
            let mut choice: Option<(String, bool, String, u32)> = None;
            let unsure = if now - leader.leadership.elected_at < timing.worker_failover_s {
                unheard_zones(&leader.cluster.machines, now, &timing)
            } else {
                vec![]
            };
            let rents_in = |name: &str, zone: &String, spot: bool| {
                leader.fleet.is_zone_available(now, name, zone, spot) && !unsure.contains(zone)
            };
            for ((name, spot), n) in &leader.fleet.wanted {
                let Some(t) = types.iter().find(|t| t.name == *name) else { continue };
                // What is wanted in one zone is of no use in another.
                let shut = leader
                    .fleet
                    .wanted_in_zone
                    .iter()
                    .filter(|((p, z), _)| p.0 == *name && p.1 == *spot && !rents_in(name, z, *spot));
                let n = n.saturating_sub(shut.map(|(_, n)| n).sum());
                if n == 0 {
                    continue;
                }
                let mut zones: Vec<(usize, &String)> = t
                    .zones
                    .iter()
                    .filter(|z| rents_in(name, z, *spot))
                    .map(|z| {
                        let there = leader
                            .cluster
                            .machines
                            .values()
                            .filter(|m| m.zone == **z && m.machine_type == *name && m.spot == *spot)
                            .count();
                        (there, z)
                    })
                    .collect();
                zones.sort();
                if let Some((_, zone)) = zones.first() {
                    let mut part = n.div_ceil(zones.len() as u32).clamp(1, MAX_RENTED);
                    let mut zone = *zone;
                    let together = zones.iter().find_map(|(_, z)| {
                        let n = leader.fleet.wanted_in_zone.get(&((name.clone(), *spot), (*z).clone()))?;
                        (*n > 0).then_some((*z, *n))
                    });
                    if let Some((z, n)) = together {
                        (zone, part) = (z, n.min(MAX_RENTED));
                    }
                    let lately = leader.fleet.was_exhausted_lately(now, name, zone, *spot);
                    let part = if lately { part.min(PROBE) } else { part }.min(room);
                    let again = leader
                        .fleet
                        .last_scale_out_pool
                        .as_ref()
                        .is_some_and(|r| r.0 == *name && r.1 == *spot);
                    if choice.is_none() || !again {
                        choice = Some((name.clone(), *spot, zone.clone(), part));
                    }
                    if !again {
                        break;
                    }
                }
            }
            let Some((machine_type, spot, zone, count)) = choice else { return };
            leader.fleet.last_scale_out_pool = Some((machine_type.clone(), spot));
            leader.fleet.scale_out_count += 1;
            let request = format!("r-{token}-{}", leader.fleet.scale_out_count);
            leader.fleet.pending_scale_out = Some(PendingScaleOut {
                request: RentRequest { request, machine_type, zone, spot, count },
                requested_at: now,
                in_flight: false,
                retry_at: now,
            });
        }
        if !self.try_acquire_cloud_call() {
            return;
        }
        let Role::Leader(leader) = &mut self.role else { return };
        if let Some(r) = &mut leader.fleet.pending_scale_out {
            r.in_flight = true;
            let rent = r.request.clone();
            self.call_cloud(CallContext::ScaleOut { token }, CloudRequest::Rent(rent));
        }
    }

    fn on_scale_out(&mut self, token: u64, reply: CloudReply) {
        let now = self.now;
        let Some(leader) = self.leader_state(token) else { return };
        let Some(mut rental) = leader.fleet.pending_scale_out.take() else { return };
        let rent = rental.request.clone();
        let key = (rent.machine_type.clone(), rent.zone.clone(), rent.spot);
        match reply {
            CloudReply::Machines(got) => {
                info!(kind = %rent.machine_type, zone = %rent.zone, spot = rent.spot,
                      asked = rent.count, got = got.machines.len(), "scale-out completed");
                for id in &got.machines {
                    leader.cluster.machines.entry(id.clone()).or_insert_with(|| {
                        Machine::new(id, &rent.machine_type, &rent.zone, rent.spot, rental.requested_at)
                    });
                }
                let pool = (rent.machine_type.clone(), rent.spot);
                if let Some(n) = leader.fleet.wanted.get_mut(&pool) {
                    *n = n.saturating_sub(got.machines.len() as u32);
                }
                if let Some(n) = leader.fleet.wanted_in_zone.get_mut(&(pool, rent.zone.clone())) {
                    *n = n.saturating_sub(got.machines.len() as u32);
                }
                if (got.machines.len() as u32) < rent.count {
                    leader.fleet.exhausted_pools.insert(key, (now + 10.0, 1));
                } else {
                    leader.fleet.exhausted_pools.remove(&key);
                }
                leader.planning.needed = true;
            }
            CloudReply::NoCapacity => {
                let often = leader.fleet.exhausted_pools.get(&key).map_or(0, |b| b.1) + 1;
                let pause = 5.0 * f64::from(often.min(4));
                info!(kind = %rent.machine_type, zone = %rent.zone, spot = rent.spot, "scale-out refused: no capacity");
                leader.fleet.exhausted_pools.insert(key, (now + pause, often));
                leader.planning.needed = true;
            }
            CloudReply::Malformed => warn!("scale-out refused: malformed request"),
            // Refused or unknown: the same request again, under its name,
            // until its outcome is known.
            _ => {
                rental.in_flight = false;
                rental.retry_at = now + 1.0;
                leader.fleet.pending_scale_out = Some(rental);
            }
        }
    }
}
