//! Detection of failed machines, and of a leader that the workers can't reach. A silent machine
//! is declared dead immediately only if few machines are silent. Its tasks are released only once
//! its worker's lease has certainly expired, because they may run until then.

use crate::leader::state::{LeaderState, Role};
use crate::model::machine::{Machine, MachinePhase};
use crate::{CallContext, Controller, StoreRequest, Time};
use sharding::HeartbeatForwarding;
use std::collections::BTreeMap;
use tracing::warn;

#[cfg(test)]
mod tests;

/// Time for which a leader that stepped down doesn't campaign, in leader leases.
const CAMPAIGN_PAUSE_LEASES: f64 = 3.0;
/// Size up to which a fleet is too small to distinguish a network failure from failed machines.
const MAX_SMALL_FLEET: usize = 2;

/// Rule that decides when a worker's lease has certainly expired.
#[derive(Clone, Copy)]
struct LeaseExpiryRule {
    now: Time,
    /// Age of a response at which the lease that it renewed has expired, in seconds.
    expiry_s: Time,
    /// Whether to assume that unresponsive proxies may have renewed the lease after the last
    /// response that this leader knows of.
    wait_for_lost_proxies: bool,
}

impl LeaseExpiryRule {
    /// Whether the lease of a worker has expired if `last_response_at` is the time of the last
    /// response that this leader knows of.
    fn has_expired(&self, forwarding: &HeartbeatForwarding, last_response_at: Time) -> bool {
        if !self.wait_for_lost_proxies {
            return self.now > last_response_at + self.expiry_s;
        }
        forwarding.lease_certainly_expired(last_response_at, self.expiry_s, self.now)
    }
}

/// Limits on the silence of a machine.
struct SilenceLimits {
    /// Limit for zones that are not in `by_zone`, in seconds.
    default_s: Time,
    /// Limit by zone, in seconds.
    by_zone: BTreeMap<String, Time>,
    /// Time for which the machines of an unreachable zone are kept, in seconds.
    unreachable_zone_s: Time,
    /// Time after the recovery of an unreachable zone by which all of its workers have tried every
    /// node, in seconds.
    reappearance_s: Time,
}

/// Machines that have been silent for too long.
#[derive(Default)]
struct SilentMachines {
    /// Machines that are judged individually.
    individual: Vec<String>,
    /// Machines of an unreachable zone whose leases have expired. They are kept for a while
    /// because a partitioned zone may recover within seconds.
    expired_in_unreachable_zones: Vec<String>,
}

impl Controller {
    /// Declares silent machines dead and releases the tasks that certainly ended with their
    /// leases.
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
        let expired = leader.declare_dead(&silent.individual, is_mass_silence, &rule);
        for machine in silent.expired_in_unreachable_zones.into_iter().chain(expired) {
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

    /// Updates the set of unreachable zones.
    fn update_zone_reachability(&mut self) {
        let now = self.now;
        let timing = self.timing;
        let Role::Leader(leader) = &mut self.role else { return };
        // A new leader has not yet heard from all nodes, and after a store outage workers may have
        // been redirected to nodes that could not respond.
        if leader.leadership.tenure.entitled_for_s(now) < timing.worker_failover_s {
            return;
        }
        let machines = leader.cluster.machines.values().filter(|machine| machine.phase == MachinePhase::Up);
        let heard_by_zone =
            machines.map(|machine| (machine.zone.as_str(), machine.has_recent_heartbeats(now, &timing)));
        if leader.fleet.zones.update(now, heard_by_zone) {
            let unreachable: Vec<&str> = leader.fleet.zones.unreachable().collect();
            warn!(dark = ?unreachable, "unreachable zones changed");
            leader.planning.needed = true;
        }
    }

    /// Steps down if another leader would serve the workers better: no worker has reached this
    /// node for a while, or a peer hears from more than twice as many workers.
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

    /// Returns the time from which no response of an earlier leader, or of a proxy on a lease that
    /// such a leader delegated, can reach a worker any more.
    fn previous_lease_expiry(&self) -> Time {
        let old_responses_s =
            (self.timing.response_grace_s - self.timing.leader_lease_s).max(self.timing.delegated_lease_s);
        self.now + old_responses_s + self.timing.worker_timeout_s
    }

    /// Returns the time by which every task that is on a machine now has either been listed in a
    /// heartbeat or ended with its worker's lease.
    pub(crate) fn unreported_work_expiry(&self) -> Time {
        self.previous_lease_expiry() + self.timing.lease_expiry_s + self.timing.worker_timeout_s
    }

    /// Adds the machines that are named in stored placements and that this leader has not heard
    /// from. Their leases may be renewed until the grace period of an earlier leader ends, or
    /// until the leases expire that an earlier incarnation of this node delegated to proxies just
    /// before its process ended.
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
    /// Ends suspicions that have lasted for more than `suspicion_s`. Quarantines the machines on
    /// which several jobs still count as failed.
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

    /// Returns the machines that are up and have been silent for longer than their limit.
    fn find_silent_machines(&self, limits: &SilenceLimits, rule: &LeaseExpiryRule) -> SilentMachines {
        let now = rule.now;
        // Silence from before the leader's current tenure doesn't count. Otherwise a new leader
        // declared a zone's machines dead by the age of their last heartbeats, before it could see
        // that the whole zone was silent.
        let entitled_for_s = self.leadership.tenure.entitled_for_s(now);
        let mut silent = SilentMachines::default();
        for machine in self.cluster.machines.values() {
            let limit_s = limits.by_zone.get(&machine.zone).copied().unwrap_or(limits.default_s);
            if machine.silence_s(now).min(entitled_for_s) <= limit_s {
                continue;
            }
            if !self.retains_silent_machines(&machine.zone, limits, now) {
                silent.individual.push(machine.id.clone());
            } else if rule.has_expired(&self.forwarding, machine.last_possible_response_at) {
                silent.expired_in_unreachable_zones.push(machine.id.clone());
            }
        }
        silent
    }

    /// Whether the silent machines of a zone are kept because the zone is unreachable or has only
    /// just recovered.
    fn retains_silent_machines(&self, zone: &str, limits: &SilenceLimits, now: Time) -> bool {
        let zones = &self.fleet.zones;
        let is_recently_unreachable =
            zones.unreachable_since(zone).is_some_and(|since| now - since < limits.unreachable_zone_s);
        is_recently_unreachable || zones.recovered_within(zone, now, limits.reappearance_s)
    }

    /// Whether so many machines are silent that the network is the likely cause. Their tasks then
    /// keep running, and the machines are declared dead only once their leases have expired. Every
    /// machine that has missed a heartbeat counts as silent: machines exceed their silence limit
    /// one by one, and when only those counted, a partitioned leader declared its whole fleet
    /// dead.
    fn is_mass_silence(&self, now: Time, suspicion_s: Time) -> bool {
        let mut ever_heard = 0;
        let mut recently_heard = 0;
        for machine in self.cluster.machines.values() {
            let is_up = machine.phase == MachinePhase::Up;
            if !is_up || self.fleet.zones.is_unreachable(&machine.zone) {
                continue;
            }
            let Some(last_heard_at) = machine.last_heard_at else { continue };
            ever_heard += 1;
            if now - last_heard_at < suspicion_s / 2.0 {
                recently_heard += 1;
            }
        }
        are_too_many_silent(ever_heard, recently_heard)
    }

    /// Declares silent machines dead if their leases have expired or, unless so many are silent
    /// that the network is the likely cause, if this leader has heard from them before. Returns
    /// those whose leases have expired.
    fn declare_dead(
        &mut self,
        silent: &[String],
        is_mass_silence: bool,
        rule: &LeaseExpiryRule,
    ) -> Vec<String> {
        let mut expired = Vec::new();
        for id in silent {
            let Some(machine) = self.cluster.machines.get_mut(id) else { continue };
            let has_lease_expired = rule.has_expired(&self.forwarding, machine.last_possible_response_at);
            let is_dead = has_lease_expired || !is_mass_silence && machine.last_heard_at.is_some();
            if !is_dead {
                continue;
            }
            warn!(machine = %id, lease_over = has_lease_expired, "machine declared dead");
            machine.phase = MachinePhase::Terminating;
            machine.declared_dead = true;
            self.planning.needed = true;
            if has_lease_expired {
                expired.push(id.clone());
            }
        }
        expired
    }

    /// Returns the terminating machines whose leases have expired.
    fn find_expired_terminating_machines(&self, rule: &LeaseExpiryRule) -> Vec<String> {
        let has_expired = |machine: &&Machine| {
            machine.phase == MachinePhase::Terminating
                && rule.has_expired(&self.forwarding, machine.last_possible_response_at)
                && machine.last_heard_at.is_none_or(|heard_at| rule.now - heard_at > rule.expiry_s)
        };
        self.cluster.machines.values().filter(has_expired).map(|machine| machine.id.clone()).collect()
    }
}

/// Whether more than a third of the machines that were ever heard are silent now.
fn are_too_many_silent(ever_heard: usize, recently_heard: usize) -> bool {
    ever_heard > MAX_SMALL_FLEET && recently_heard * 3 < ever_heard * 2
}

/// Whether a peer would serve the workers better than this leader. `heard_by_peers` is the maximum
/// number of workers heard by any peer that reaches the store, or None if there is no such peer.
/// If no node hears any worker, the machines are the likely cause: without this rule, leaders
/// stepped down one after the other because of a single lost machine, each before the machine's
/// lease had expired.
fn would_peer_serve_better(heard_here: usize, heard_by_peers: Option<usize>) -> bool {
    match heard_by_peers {
        None => heard_here == 0,
        Some(0) => false,
        Some(heard_there) => heard_here == 0 || heard_there > heard_here * 2 + 1,
    }
}
