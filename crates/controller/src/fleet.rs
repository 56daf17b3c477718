//! Machines at the cloud: the list, rentals, returns.

use crate::leader::Role;
use crate::machine::{Machine, MachinePhase};
use crate::records::*;
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
    budget: Option<RateLimiter>,
    writes: Option<RateLimiter>,
    pub listing: bool,
    pub list_at: Time,
    list_sent: Time,
    list: Vec<ListedMachine>,
    /// The list goes on after that machine, and when its next page is due.
    list_after: Option<String>,
    page_at: Time,
    pub listed_once: bool,
    types_busy: bool,
    /// The rental whose outcome is not known yet.
    rental: Option<PendingScaleOut>,
    /// The pool that the last rental was asked of.
    rented: Option<MachinePool>,
    /// No capacity there until then, with how often in a row.
    blocked: BTreeMap<(String, String, bool), (Time, u32)>,
    deleting: bool,
    delete_at: Time,
    /// Next look for machines to be given back.
    mark_at: Time,
    /// Machines wanted beyond those there are, by pool.
    pub wanted: BTreeMap<MachinePool, u32>,
    /// Machines each pool keeps ready for what usually comes.
    pub reserve: BTreeMap<MachinePool, u32>,
    /// Machines wanted in one zone, for gangs that have to be together there.
    pub zoned: BTreeMap<(MachinePool, String), u32>,
    /// Machines, by type and zone, that such gangs wait for the others of.
    pub gathering: BTreeMap<(String, String), u32>,
    /// Machines each pool should keep.
    pub target: BTreeMap<MachinePool, u32>,
    /// Machines of a pool beyond which no bad moment is likely to need one.
    pub ample: BTreeMap<MachinePool, u32>,
    /// Machines deleted, the oldest first: the list shows them for a while yet,
    /// and late reports may speak of them at any time.
    buried: BTreeSet<String>,
    buried_order: VecDeque<String>,
    /// Zones out of reach: nothing is rented there.
    pub reach: ZoneReachability,
}

struct PendingScaleOut {
    rent: RentRequest,
    asked: Time,
    in_flight: bool,
    retry_at: Time,
}

impl Fleet {
    pub fn write_budget(&mut self, rate: f64) -> &mut RateLimiter {
        let budget = self.writes.get_or_insert_with(|| RateLimiter::new(rate));
        budget.set_rate(rate);
        budget
    }

    /// `machine` was deleted. Names of machines are never used again.
    fn bury(&mut self, machine: &str) {
        if self.buried.insert(machine.to_string()) {
            self.buried_order.push_back(machine.to_string());
        }
        if self.buried_order.len() > MOST_BURIED {
            if let Some(oldest) = self.buried_order.pop_front() {
                self.buried.remove(&oldest);
            }
        }
    }

    /// Whether `machine` is known to be gone.
    pub(crate) fn is_gone(&self, machine: &str) -> bool {
        self.buried.contains(machine)
    }

    /// How many such machines may be had: none where they were refused just
    /// now, a few where they were refused lately, else any number. (All the
    /// work was once sent after a pool as soon as its pause was over, found a
    /// machine or none, and dearer machines were rented much too late.)
    pub(crate) fn room(&self, now: Time, t: &MachineType, spot: bool) -> f64 {
        t.zones
            .iter()
            .filter(|z| self.zone_open(now, &t.name, z, spot))
            .map(
                |z| {
                    if self.refused_lately(now, &t.name, z, spot) {
                        f64::from(PROBE)
                    } else {
                        f64::MAX / 1e6
                    }
                },
            )
            .sum()
    }

    fn refused_lately(&self, now: Time, name: &str, zone: &str, spot: bool) -> bool {
        let key = (name.to_string(), zone.to_string(), spot);
        self.blocked.get(&key).is_some_and(|(until, _)| now - until < LEAST_CHARGE_S)
    }

    pub(crate) fn zone_open(&self, now: Time, name: &str, zone: &str, spot: bool) -> bool {
        let key = (name.to_string(), zone.to_string(), spot);
        !self.reach.is_dark(zone) && self.blocked.get(&key).is_none_or(|(until, _)| now >= *until)
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
fn unheard_zones(machines: &BTreeMap<String, Machine>, now: Time, d: &Timing) -> Vec<String> {
    let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    for m in machines.values().filter(|m| m.life == MachinePhase::Up) {
        let n = zones.entry(&m.zone).or_default();
        *n = (n.0 + 1, n.1 + usize::from(m.heard_lately(now, d)));
    }
    let unheard = zones.into_iter().filter(|(_, (up, heard))| heard * 3 < *up);
    unheard.map(|(zone, _)| zone.to_string()).collect()
}

impl Controller {
    fn cloud_budget(&mut self) -> bool {
        let (now, rate) = (self.now, self.settings.params.cloud.rps * 0.9);
        let Role::Leader(l) = &mut self.role else { return false };
        l.fleet.budget.get_or_insert_with(|| RateLimiter::new(rate)).take(now, 1.0)
    }

    pub(crate) fn fleet_on_time(&mut self) {
        let now = self.now;
        let lag = self.settings.params.cloud.list_lag_s;
        let Role::Leader(l) = &self.role else { return };
        let token = l.token;
        let types_due = !l.fleet.types_busy && l.types_at.is_none_or(|t| now - t > 60.0);
        if types_due && self.cloud_budget() {
            self.cloud(CallContext::CloudTypes { token }, CloudRequest::Types);
            if let Role::Leader(l) = &mut self.role {
                l.fleet.types_busy = true;
                l.types_at = Some(now);
            }
        }
        let Role::Leader(l) = &mut self.role else { return };
        // One that takes too long is begun anew: its first pages tell nothing any more.
        if !l.fleet.listing && now - l.fleet.list_sent > self.settings.params.workers.lease_s {
            l.fleet.list_after = None;
        }
        let after = l.fleet.list_after.clone();
        let due = if after.is_some() { l.fleet.page_at } else { l.fleet.list_at };
        if !l.fleet.listing && now >= due && self.cloud_budget() {
            // Every page is a call of its own. Half of the calls are left for the rest, but
            // nothing goes on before the first list is whole. (Pages beyond the first were once
            // asked for at once: with some thousand machines the cloud refused every list.)
            let pace = 2.0 / self.settings.params.cloud.rps;
            let Role::Leader(l) = &mut self.role else { return };
            l.fleet.listing = true;
            l.fleet.page_at = if l.fleet.listed_once { now + pace } else { now };
            l.fleet.list_at = l.fleet.list_at.max(now + pace);
            if after.is_none() {
                l.fleet.list_sent = now;
                l.fleet.list.clear();
                l.fleet.list_at = now + (lag * 0.75).max(pace);
            }
            self.cloud(CallContext::CloudList { token }, CloudRequest::List { after });
        }
        let Role::Leader(l) = &mut self.role else { return };
        // It looks at every machine and place, and no return is that urgent.
        if now >= l.fleet.mark_at {
            l.fleet.mark_at = now + self.d.tick_s / 2.0;
            self.mark_leaving();
        }
        self.delete_on_time();
        self.rent_on_time();
    }

    pub(crate) fn on_cloud(&mut self, p: CallContext, r: CloudReply) {
        match p {
            CallContext::CloudTypes { token } => self.on_types(token, r),
            CallContext::CloudList { token } => self.on_list(token, r),
            CallContext::Rent { token } => self.on_rent(token, r),
            CallContext::Delete { token, machines } => self.on_delete(token, &machines, r),
            _ => {}
        }
    }

    fn on_types(&mut self, token: u64, r: CloudReply) {
        let now = self.now;
        let Some(l) = self.lead(token) else { return };
        l.fleet.types_busy = false;
        let CloudReply::Types(t) = r else {
            l.types_at = Some(now - 58.0);
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
            warn!("catalogue of machine types makes no sense, ignored");
            return;
        }
        l.plan_dirty = true;
        let first = self.types.is_none();
        self.types = Some(t.types.clone());
        if first {
            info!(types = t.types.len(), "machine types known");
            self.store_types(token, t.types);
        }
    }

    /// Kept in the state service, so that a node can decide on submissions while the cloud
    /// does not answer: in one value, or, once every node reads that, in as many as it takes.
    /// (Too long for one transaction it is not kept: half of it would refuse what can run.)
    fn store_types(&mut self, token: u64, types: Vec<MachineType>) {
        let fit = self.limits.value_bytes();
        let put = |(key, value)| Mutation::Put { key, value, lease: None };
        let whole = Value::Types(types.clone());
        let changes: Vec<Mutation<Value>> = if json_size(&whole) > fit && self.newest_forms() {
            let gone = Mutation::Delete { key: TYPES_KEY.to_string() };
            catalogue(&types, fit).into_iter().map(put).chain([gone]).collect()
        } else {
            vec![put((TYPES_KEY.to_string(), whole))]
        };
        if changes.len() <= self.limits.changes() {
            let conditions = vec![Compare { key: LEADER_KEY.to_string(), version: token }];
            self.state(CallContext::TypesWrite, StoreRequest::Commit(Transaction { conditions, changes }));
        }
    }

    fn on_list(&mut self, token: u64, r: CloudReply) {
        let now = self.now;
        let lag = self.settings.params.cloud.list_lag_s;
        let Some(l) = self.lead(token) else { return };
        l.fleet.listing = false;
        // A page that failed is asked for again.
        let CloudReply::List(page) = r else { return };
        let after = page.machines.last().map(|m| m.id.clone());
        l.fleet.list.extend(page.machines);
        l.fleet.list_after = after.filter(|_| page.more && l.fleet.list.len() < MOST_MACHINES);
        if l.fleet.list_after.is_some() {
            return;
        }
        let first = !l.fleet.listed_once;
        l.fleet.listed_once = true;
        let list = std::mem::take(&mut l.fleet.list);
        let mut failed = Vec::new();
        for item in &list {
            if l.fleet.is_gone(&item.id) {
                continue;
            }
            let known = l.machines.contains_key(&item.id);
            let m = l.machines.entry(item.id.clone()).or_insert_with(|| {
                Machine::new(&item.id, &item.machine_type, &item.zone, item.spot, now - item.age_s)
            });
            if !known && !first {
                info!(machine = %item.id, "unexpected machine in the list, adopted");
            }
            (m.listed, m.doubted) = (true, None);
            // A machine that was heard first is older than that. (After a takeover
            // none was once old enough to be given back, for a minute.)
            m.since = m.since.min(now - item.age_s);
            if m.machine_type.is_empty() {
                m.machine_type.clone_from(&item.machine_type);
                m.zone.clone_from(&item.zone);
                m.spot = item.spot;
            }
            if m.addr.is_empty() {
                if let Some(a) = &item.addr {
                    m.addr.clone_from(a);
                    l.stops.hurry(&item.id, now);
                }
            }
            if item.state == MachineState::Running {
                m.is_up(now);
            }
            if item.state == MachineState::Failed && m.life != MachinePhase::Leaving {
                failed.push(item.id.clone());
            }
        }
        let names: BTreeSet<&str> = list.iter().map(|m| m.id.as_str()).collect();
        // A list is at most twice the lag old: a machine known for longer
        // that it lacks is gone, with everything on it.
        let settle = 2.0 * lag + 2.0;
        let sent = l.fleet.list_sent;
        let gone: Vec<String> = l
            .machines
            .values()
            .filter(|m| !names.contains(m.id.as_str()) && m.listed && sent - m.since > settle)
            .map(|m| m.id.clone())
            .collect();
        for id in &failed {
            if let Some(m) = l.machines.get_mut(id) {
                m.life = MachinePhase::Leaving;
                m.sick = true;
            }
        }
        l.plan_dirty = true;
        for id in gone {
            info!(machine = %id, "machine is gone");
            if let Role::Leader(l) = &mut self.role {
                l.fleet.bury(&id);
            }
            self.lose_machine(&id, true);
        }
    }

    /// Classes whose work has to start at once: those with an aim at start, or
    /// all that run under a team's guarantee if that has one.
    fn prompt_classes(&self) -> BTreeSet<String> {
        let p = &self.settings.params;
        let guaranteed = p.objectives.iter().any(|o| o.kind == "guarantee")
            && p.teams.iter().any(|t| t.cores > 0.0 || t.accelerators > 0.0);
        if guaranteed {
            if let Role::Leader(l) = &self.role {
                return l.classes.keys().cloned().collect();
            }
        }
        p.objectives.iter().filter(|o| o.kind == "wait").filter_map(|o| o.class.clone()).collect()
    }

    /// Machines to be given back: faulty ones, boots that are stuck, idle
    /// ones beyond the target.
    fn mark_leaving(&mut self) {
        let now = self.now;
        let types = self.types.clone().unwrap_or_default();
        let entitled = self.entitled();
        let own = self.operator.clone();
        let lease_s = self.settings.params.workers.lease_s;
        let silent_s = self.d.silent_s / 2.0;
        let prompt = self.prompt_classes();
        let (asleep, bound, d) = (self.guards.asleep, self.guards.bound, self.d);
        let Role::Leader(l) = &mut self.role else { return };
        let (since, reach) = (l.since, &l.fleet.reach);
        // Nobody could give it work before. (After an outage whatever stood idle was once given
        // back in the moment before the users came again.)
        let acts_since = if asleep { l.standing.acts_since() } else { 0.0 };
        if !entitled {
            return;
        }
        let places = l.jobs.values().flat_map(|j| j.places.values());
        let used: HashSet<&str> = places.map(|p| p.machine.as_str()).collect();
        let mut count: BTreeMap<MachinePool, u32> = BTreeMap::new();
        for m in l.machines.values().filter(|m| m.takes_work()) {
            *count.entry((m.machine_type.clone(), m.spot)).or_insert(0) += 1;
        }
        let mut idle: Vec<(Time, String, bool)> = Vec::new();
        // Where work has to start within seconds, a machine is worth keeping
        // until another could have booted in its place.
        let waited_for: BTreeSet<MachinePool> = l
            .classes
            .iter()
            .filter(|(name, _)| prompt.contains(name.as_str()))
            .filter_map(|(_, c)| c.pool.as_ref().map(|u| u.pool.clone()))
            .collect();
        for m in l.machines.values_mut() {
            let boot = types.iter().find(|t| t.name == m.machine_type).map_or(60.0, |t| t.boot_s);
            // Nor could it get work while it was not heard. (Of a zone that came back one machine was given
            // back in that moment, by a target of the time without it.)
            let kept_busy = used.contains(m.id.as_str()) || asleep && m.quiet(now, &d);
            m.idle_since = if kept_busy { now } else { m.idle_since.max(acts_since) };
            match m.life {
                // After a take-over every worker has its lease's time to report: an
                // idle machine that had been up for long was once taken for stuck.
                MachinePhase::Booting
                    if now - m.since > boot * own.boot_stuck
                        && now - since > lease_s
                        && !reach.is_dark(&m.zone) =>
                {
                    info!(machine = %m.id, "boot is stuck, giving it back");
                    m.life = MachinePhase::Leaving;
                }
                MachinePhase::Up if m.ears.hopeless() => {
                    info!(machine = %m.id, "hears nothing for too long, giving it back");
                    m.life = MachinePhase::Leaving;
                }
                MachinePhase::Up if m.sick && !used.contains(m.id.as_str()) => m.life = MachinePhase::Leaving,
                MachinePhase::Up
                    if m.heard.is_some_and(|h| now - h < silent_s)
                        && m.tasks.is_empty()
                        && m.notice_until.is_none()
                        && now - m.idle_since > boot * own.idle_hold
                        && now - m.since > LEAST_CHARGE_S =>
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
        let mut gathering = l.fleet.gathering.clone();
        for (_, id, prompt) in idle {
            let Some(m) = l.machines.get_mut(&id) else { continue };
            let waits = gathering.get_mut(&(m.machine_type.clone(), m.zone.clone()));
            // Not beyond the time in which the others would have come. (What could never be whole
            // once kept the last machines to be had from others for ever.)
            let boot = types.iter().find(|t| t.name == m.machine_type).map_or(60.0, |t| t.boot_s);
            let in_time = !bound || now - m.idle_since < (boot * own.boot_stuck).max(d.dark_hold_s);
            if let Some(n) = waits.filter(|n| **n > 0 && in_time) {
                *n -= 1;
                continue;
            }
            let pool = (m.machine_type.clone(), m.spot);
            let have = count.entry(pool.clone()).or_insert(0);
            // Far more idle ones than a bad moment takes are not worth it.
            let keep = if prompt { &l.fleet.ample } else { &l.fleet.target };
            if *have > keep.get(&pool).copied().unwrap_or(0) {
                *have -= 1;
                info!(machine = %id, kind = %pool.0, spot = pool.1, "idle beyond the target, giving it back");
                m.life = MachinePhase::Leaving;
            }
        }
    }

    fn delete_on_time(&mut self) {
        let now = self.now;
        let entitled = self.entitled();
        let Role::Leader(l) = &mut self.role else { return };
        if l.fleet.deleting || now < l.fleet.delete_at || !entitled {
            return;
        }
        let names: Vec<String> = l
            .machines
            .values()
            .filter(|m| m.life == MachinePhase::Leaving)
            .map(|m| m.id.clone())
            .take(MOST_DELETED)
            .collect();
        if names.is_empty() || !self.cloud_budget() {
            return;
        }
        let Role::Leader(l) = &mut self.role else { return };
        l.fleet.deleting = true;
        let token = l.token;
        self.cloud(CallContext::Delete { token, machines: names.clone() }, CloudRequest::Delete(names));
    }

    fn on_delete(&mut self, token: u64, machines: &[String], r: CloudReply) {
        let now = self.now;
        let Some(l) = self.lead(token) else { return };
        l.fleet.deleting = false;
        if r == CloudReply::Done {
            for id in machines {
                l.fleet.bury(id);
            }
            for id in machines {
                self.lose_machine(id, true);
            }
        } else {
            l.fleet.delete_at = now + 1.0;
        }
    }

    fn rent_on_time(&mut self) {
        let now = self.now;
        let entitled = self.entitled();
        let types = self.types.clone().unwrap_or_default();
        let d = self.d;
        let Role::Leader(l) = &mut self.role else { return };
        let token = l.token;
        if let Some(r) = &l.fleet.rental {
            if r.in_flight || now < r.retry_at {
                return;
            }
        } else {
            // Unknown machines would be rented twice: the list comes first.
            if !entitled || !l.fleet.listed_once {
                return;
            }
            if l.fleet.wanted.values().all(|n| *n == 0) {
                return;
            }
            // No machine that no node could take.
            let room = self.room_left();
            if room == 0 {
                return;
            }
            let Role::Leader(l) = &mut self.role else { return };
            // Calls are few. Ordinary machines come before spot ones, which less
            // work may use, but no pool twice in a row while another waits: single
            // ordinary machines once kept hundreds of spot machines waiting for half
            // a minute, and the largest call first kept gangs waiting for theirs.
            let mut choice: Option<(String, bool, String, u32)> = None;
            let unsure = if now - l.since < d.tour_s { unheard_zones(&l.machines, now, &d) } else { vec![] };
            let rents_in = |name: &str, zone: &String, spot: bool| {
                l.fleet.zone_open(now, name, zone, spot) && !unsure.contains(zone)
            };
            for ((name, spot), n) in &l.fleet.wanted {
                let Some(t) = types.iter().find(|t| t.name == *name) else { continue };
                // What is wanted in one zone is of no use in another.
                let shut = l
                    .fleet
                    .zoned
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
                        let there = l
                            .machines
                            .values()
                            .filter(|m| m.zone == **z && m.machine_type == *name && m.spot == *spot)
                            .count();
                        (there, z)
                    })
                    .collect();
                zones.sort();
                if let Some((_, zone)) = zones.first() {
                    let mut part = n.div_ceil(zones.len() as u32).clamp(1, MOST_RENTED);
                    let mut zone = *zone;
                    let together = zones.iter().find_map(|(_, z)| {
                        let n = l.fleet.zoned.get(&((name.clone(), *spot), (*z).clone()))?;
                        (*n > 0).then_some((*z, *n))
                    });
                    if let Some((z, n)) = together {
                        (zone, part) = (z, n.min(MOST_RENTED));
                    }
                    let lately = l.fleet.refused_lately(now, name, zone, *spot);
                    let part = if lately { part.min(PROBE) } else { part }.min(room);
                    let again = l.fleet.rented.as_ref().is_some_and(|r| r.0 == *name && r.1 == *spot);
                    if choice.is_none() || !again {
                        choice = Some((name.clone(), *spot, zone.clone(), part));
                    }
                    if !again {
                        break;
                    }
                }
            }
            let Some((machine_type, spot, zone, count)) = choice else { return };
            l.fleet.rented = Some((machine_type.clone(), spot));
            l.booking += 1;
            let request = format!("r-{token}-{}", l.booking);
            l.fleet.rental = Some(PendingScaleOut {
                rent: RentRequest { request, machine_type, zone, spot, count },
                asked: now,
                in_flight: false,
                retry_at: now,
            });
        }
        if !self.cloud_budget() {
            return;
        }
        let Role::Leader(l) = &mut self.role else { return };
        if let Some(r) = &mut l.fleet.rental {
            r.in_flight = true;
            let rent = r.rent.clone();
            self.cloud(CallContext::Rent { token }, CloudRequest::Rent(rent));
        }
    }

    fn on_rent(&mut self, token: u64, r: CloudReply) {
        let now = self.now;
        let Some(l) = self.lead(token) else { return };
        let Some(mut rental) = l.fleet.rental.take() else { return };
        let rent = rental.rent.clone();
        let key = (rent.machine_type.clone(), rent.zone.clone(), rent.spot);
        match r {
            CloudReply::Machines(got) => {
                info!(kind = %rent.machine_type, zone = %rent.zone, spot = rent.spot,
                      asked = rent.count, got = got.machines.len(), "rented");
                for id in &got.machines {
                    l.machines.entry(id.clone()).or_insert_with(|| {
                        Machine::new(id, &rent.machine_type, &rent.zone, rent.spot, rental.asked)
                    });
                }
                let pool = (rent.machine_type.clone(), rent.spot);
                if let Some(n) = l.fleet.wanted.get_mut(&pool) {
                    *n = n.saturating_sub(got.machines.len() as u32);
                }
                if let Some(n) = l.fleet.zoned.get_mut(&(pool, rent.zone.clone())) {
                    *n = n.saturating_sub(got.machines.len() as u32);
                }
                if (got.machines.len() as u32) < rent.count {
                    l.fleet.blocked.insert(key, (now + 10.0, 1));
                } else {
                    l.fleet.blocked.remove(&key);
                }
                l.plan_dirty = true;
            }
            CloudReply::NoCapacity => {
                let often = l.fleet.blocked.get(&key).map_or(0, |b| b.1) + 1;
                let pause = 5.0 * f64::from(often.min(4));
                info!(kind = %rent.machine_type, zone = %rent.zone, spot = rent.spot, "no capacity");
                l.fleet.blocked.insert(key, (now + pause, often));
                l.plan_dirty = true;
            }
            CloudReply::Malformed => warn!("rental refused as malformed"),
            // Refused or unknown: the same request again, under its name,
            // until its outcome is known.
            _ => {
                rental.in_flight = false;
                rental.retry_at = now + 1.0;
                l.fleet.rental = Some(rental);
            }
        }
    }
}
