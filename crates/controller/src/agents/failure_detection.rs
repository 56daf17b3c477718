//! Detection of failed machines, and of a leader that the workers don't reach. A silent machine
//! is declared dead at once only if few are silent; its tasks are released only when its worker's
//! lease has certainly expired, because until then they may run.

use crate::leader::state::{LeaderState, Role};
use crate::model::machine::{Machine, MachinePhase};
use crate::{CallContext, Controller, StoreRequest, Time};
use sharding::HeartbeatForwarding;
use std::collections::BTreeMap;
use tracing::warn;

#[cfg(test)]
mod tests;

/// Leader leases for which a leader that stepped down leaves the election to the others.
const CAMPAIGN_PAUSE_LEASES: f64 = 3.0;
/// A fleet of at most this many machines is too small to tell a network failure from failed
/// machines.
const MAX_SMALL_FLEET: usize = 2;

/// Decides when a worker's lease has certainly expired.
#[derive(Clone, Copy)]
struct LeaseExpiryRule {
    now: Time,
    /// Age of a response at which the lease that it renewed has expired, in seconds.
    expiry_s: Time,
    /// Proxies that don't answer may have renewed the lease since.
    wait_for_lost_proxies: bool,
}

impl LeaseExpiryRule {
    /// Whether the lease has expired of a worker that was last responded to at
    /// `last_response_at`, as far as is known here.
    fn has_expired(&self, forwarding: &HeartbeatForwarding, last_response_at: Time) -> bool {
        if !self.wait_for_lost_proxies {
            return self.now > last_response_at + self.expiry_s;
        }
        forwarding.lease_surely_expired(last_response_at, self.expiry_s, self.now)
    }
}

/// How long a machine may be silent.
struct SilenceLimits {
    /// Where no limit of the zone is known, in seconds.
    default_s: Time,
    /// By zone, in seconds.
    by_zone: BTreeMap<String, Time>,
    /// How long machines of an unreachable zone are kept, in seconds.
    unreachable_zone_s: Time,
    /// Time after which every worker of a zone that was unreachable has tried all nodes, in
    /// seconds.
    reappearance_s: Time,
}

/// Machines that were silent for too long.
#[derive(Default)]
struct SilentMachines {
    /// Those to be judged by themselves.
    individual: Vec<String>,
    /// Those of an unreachable zone whose leases have expired. They are kept for a while: a
    /// partitioned zone may be back within seconds.
    expired_in_unreachable_zones: Vec<String>,
}

impl Controller {
    /// Declares silent machines dead and releases what certainly ended with their leases.
    pub(crate) fn tick_failure_detection(&mut self) {
        let now = self.now;
        let suspicion_s = self.timing.failure_suspicion_s;
        let rule = self.lease_expiry_rule();
        let limits = SilenceLimits {
            default_s: suspicion_s,
            by_zone: self.failure_timeouts_s(),
            unreachable_zone_s: self.timing.unreachable_zone_retention_s,
            reappearance_s: self.full_failover_s(),
        };
        let Role::Leader(leader) = &mut self.role else { return };
        leader.expire_suspicions(now, suspicion_s);
        leader.forwarding.forget_expired(now, rule.expiry_s);
        self.update_zone_reachability();
        let Role::Leader(leader) = &mut self.role else { return };
        let silent = leader.find_silent_machines(&limits, &rule);
        let is_mass_silence = leader.is_mass_silence(now, suspicion_s);
        let dead = leader.declare_dead(&silent.individual, is_mass_silence, &rule);
        for machine in silent.expired_in_unreachable_zones.into_iter().chain(dead) {
            self.remove_machine_work(&machine, false);
        }
        let Role::Leader(leader) = &mut self.role else { return };
        for machine in leader.find_expired_terminating_machines(&rule) {
            self.remove_machine_work(&machine, false);
        }
    }

    fn lease_expiry_rule(&self) -> LeaseExpiryRule {
        let expiry_s = if self.checks.wait_for_lease_expiry {
            self.timing.lease_expiry_s + self.timing.worker_timeout_s
        } else {
            0.0
        };
        LeaseExpiryRule { now: self.now, expiry_s, wait_for_lost_proxies: self.checks.wait_for_lost_proxies }
    }

    /// Updates which zones are unreachable.
    fn update_zone_reachability(&mut self) {
        let now = self.now;
        let timing = self.timing;
        let Role::Leader(leader) = &mut self.role else { return };
        // At first a leader has not heard from all nodes yet, and after a store outage workers
        // may have been redirected to nodes that could not respond.
        if leader.leadership.tenure.entitled_for_s(now) < timing.worker_failover_s {
            return;
        }
        let machines = leader.cluster.machines.values().filter(|machine| machine.phase == MachinePhase::Up);
        let heard =
            machines.map(|machine| (machine.zone.as_str(), machine.has_recent_heartbeats(now, &timing)));
        if leader.fleet.zones.update(now, heard) {
            let dark: Vec<&str> = leader.fleet.zones.unreachable().collect();
            warn!(?dark, "unreachable zones changed");
            leader.planning.needed = true;
        }
    }

    /// Steps down if another leader would serve the workers better: no worker has reached this
    /// node for long, or a peer hears from more than twice as many.
    pub(crate) fn step_down_if_unreachable(&mut self) {
        let now = self.now;
        let validity_s = self.timing.heartbeat_validity_s;
        let Role::Leader(leader) = &self.role else { return };
        let is_new = now - leader.leadership.elected_at <= validity_s + self.timing.worker_timeout_s;
        if is_new || !leader.leadership.authority.is_exclusive(now) {
            return;
        }
        let machines = || leader.cluster.machines.values();
        if !machines().any(|machine| machine.phase == MachinePhase::Up) {
            return;
        }
        let is_recent = |at: Time| now - at < validity_s;
        let heard_here =
            machines().filter(|machine| machine.last_heartbeat_at.is_some_and(is_recent)).count();
        let heard_by_peers = self
            .peers
            .values()
            .filter(|(view, received_at)| is_recent(*received_at) && view.state_reached)
            .map(|(view, _)| view.workers_heard as usize)
            .max();
        if !would_peer_serve_better(heard_here, heard_by_peers) {
            return;
        }
        let lease = leader.leadership.lease;
        self.call_store(CallContext::Revoke, StoreRequest::Revoke(lease));
        self.step_down("workers do not reach this node");
        self.election.campaign_at = now + CAMPAIGN_PAUSE_LEASES * self.timing.leader_lease_s;
    }

    /// When no response to a heartbeat can arrive any more that an earlier leader sent, or a
    /// proxy on a lease that it delegated.
    fn previous_lease_expiry(&self) -> Time {
        let old_responses_s =
            (self.timing.response_grace_s - self.timing.leader_lease_s).max(self.timing.delegated_lease_s);
        self.now + old_responses_s + self.timing.worker_timeout_s
    }

    /// When everything that is on a machine now has been listed in a heartbeat, or has ended with
    /// its worker's lease.
    pub(crate) fn unreported_work_expiry(&self) -> Time {
        self.previous_lease_expiry() + self.timing.lease_expiry_s + self.timing.worker_timeout_s
    }

    /// Adds the machines that stored placements name and that this leader has not heard from.
    /// Their leases may be renewed until an earlier leader's grace period ends, or a lease that
    /// was delegated to an earlier incarnation of this node just before it ended.
    pub(crate) fn register_machines_of_placements(&mut self) {
        let now = self.now;
        let last_possible_response_at = self.previous_lease_expiry();
        let Role::Leader(leader) = &mut self.role else { return };
        if !leader.recovery.finished {
            return;
        }
        for job_id in leader.cluster.jobs.keys().cloned().collect::<Vec<_>>() {
            leader.cluster.index_job(&job_id);
        }
        for placement in leader.cluster.jobs.values().flat_map(|job| job.placements.values()) {
            let id = &placement.machine;
            let machine = leader.cluster.machines.entry(id.clone()).or_insert_with(|| {
                let mut machine = Machine::new(id, "", "", false, now);
                machine.phase = MachinePhase::Up;
                machine
            });
            machine.last_possible_response_at = last_possible_response_at;
        }
    }
}

impl LeaderState {
    /// Ends suspicions that have lasted for `suspicion_s`: a machine on which several jobs still
    /// count as failed is quarantined.
    fn expire_suspicions(&mut self, now: Time, suspicion_s: Time) {
        for machine in self.cluster.machines.values_mut() {
            if machine.suspected_since.is_none_or(|since| now - since <= suspicion_s) {
                continue;
            }
            machine.suspected_since = None;
            if machine.failed_jobs.len() > 1 {
                machine.quarantine();
            }
            self.planning.needed = true;
        }
    }

    /// Machines that are up and have been silent for longer than they may.
    fn find_silent_machines(&self, limits: &SilenceLimits, rule: &LeaseExpiryRule) -> SilentMachines {
        let now = rule.now;
        // A new leader learns of silences only now. (In its first moments one gave up a zone's
        // machines by the age of their last heartbeats, before it could see that the whole zone
        // was silent.)
        let entitled_for_s = self.leadership.tenure.entitled_for_s(now);
        let mut silent = SilentMachines::default();
        for machine in self.cluster.machines.values() {
            let limit_s = limits.by_zone.get(&machine.zone).copied().unwrap_or(limits.default_s);
            if machine.silence_s(now).min(entitled_for_s) <= limit_s {
                continue;
            }
            if !self.is_zone_waited_for(&machine.zone, limits, now) {
                silent.individual.push(machine.id.clone());
            } else if rule.has_expired(&self.forwarding, machine.last_possible_response_at) {
                silent.expired_in_unreachable_zones.push(machine.id.clone());
            }
        }
        silent
    }

    /// Whether a zone is unreachable or was until a moment ago, so that its machines are kept.
    fn is_zone_waited_for(&self, zone: &str, limits: &SilenceLimits, now: Time) -> bool {
        let zones = &self.fleet.zones;
        let is_retained =
            zones.unreachable_since(zone).is_some_and(|since| now - since < limits.unreachable_zone_s);
        is_retained || zones.recovered_within(zone, now, limits.reappearance_s)
    }

    /// Whether so many machines are silent that the network is the likely cause. Their tasks go
    /// on, and only the expiry of their leases is waited for. All machines that missed a
    /// heartbeat count, not only those silent for long: these come one by one, and a partitioned
    /// leader once gave up its whole fleet that way.
    fn is_mass_silence(&self, now: Time, suspicion_s: Time) -> bool {
        let mut heard = 0;
        let mut recently_heard = 0;
        for machine in self.cluster.machines.values() {
            let is_up = machine.phase == MachinePhase::Up;
            if !is_up || self.fleet.zones.is_unreachable(&machine.zone) {
                continue;
            }
            let Some(last_heard_at) = machine.last_heard_at else { continue };
            heard += 1;
            if now - last_heard_at < suspicion_s / 2.0 {
                recently_heard += 1;
            }
        }
        are_too_many_silent(heard, recently_heard)
    }

    /// Declares silent machines dead where that is safe to judge, and returns those whose leases
    /// have expired.
    fn declare_dead(
        &mut self,
        silent: &[String],
        is_mass_silence: bool,
        rule: &LeaseExpiryRule,
    ) -> Vec<String> {
        let mut expired = Vec::new();
        for id in silent {
            let Some(machine) = self.cluster.machines.get_mut(id) else { continue };
            let lease_over = rule.has_expired(&self.forwarding, machine.last_possible_response_at);
            let is_dead = lease_over || !is_mass_silence && machine.last_heard_at.is_some();
            if !is_dead {
                continue;
            }
            warn!(machine = %id, lease_over, "machine declared dead");
            machine.phase = MachinePhase::Terminating;
            machine.declared_dead = true;
            self.planning.needed = true;
            if lease_over {
                expired.push(id.clone());
            }
        }
        expired
    }

    /// Machines that were given up before and whose leases have expired since.
    fn find_expired_terminating_machines(&self, rule: &LeaseExpiryRule) -> Vec<String> {
        let has_expired = |machine: &&Machine| {
            machine.phase == MachinePhase::Terminating
                && rule.has_expired(&self.forwarding, machine.last_possible_response_at)
                && machine.last_heard_at.is_none_or(|heard_at| rule.now - heard_at > rule.expiry_s)
        };
        self.cluster.machines.values().filter(has_expired).map(|m| m.id.clone()).collect()
    }
}

/// Whether more than a third of the machines that have been heard are silent now.
fn are_too_many_silent(heard: usize, recently_heard: usize) -> bool {
    heard > MAX_SMALL_FLEET && recently_heard * 3 < heard * 2
}

/// Whether a peer would serve the workers better than this leader; `heard_by_peers` is the most
/// workers that a peer which reaches the store hears from, None if there is no such peer. If no
/// worker is heard anywhere, the machines are the likely cause. (Leaders once stepped down one
/// after the other over a single machine that was gone, each before its lease had expired.)
fn would_peer_serve_better(heard_here: usize, heard_by_peers: Option<usize>) -> bool {
    match heard_by_peers {
        None => heard_here == 0,
        Some(0) => false,
        Some(heard_there) => heard_here == 0 || heard_there > heard_here * 2 + 1,
    }
}
