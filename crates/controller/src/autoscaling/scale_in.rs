//! Scale-in: marks faulty machines, machines whose boot timed out, and idle machines beyond the
//! desired capacity as terminating, and then deletes them in the cloud.

use crate::autoscaling::fleet::{CapacityTargets, MachinePool, RemovalProof, ZonalMachineType, MIN_CHARGE_S};
use crate::leader::state::{LeaderState, Role};
use crate::model::machine::{Machine, MachinePhase};
use crate::{CallContext, CloudReply, CloudRequest, Controller, Time};
use protocol::cloud::{MachineType, MAX_DELETED};
use sharding::ZoneReachability;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use tracing::info;

/// Assumed boot time of machines of unknown type.
const DEFAULT_BOOT_S: f64 = 60.0;

/// Delay before a failed deletion is retried.
const DELETE_RETRY_INTERVAL_S: Time = 1.0;

/// Reason to scale in a machine regardless of the desired capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Its agent has sent no heartbeat within a multiple of the boot time.
    BootTimedOut,
    /// Its agent sends heartbeats but receives no responses.
    ReceivesNoResponses,
    /// It is quarantined, and no task is placed on it any more.
    Quarantined,
}

/// Parameters of the scale-in decision, apart from the machine itself.
struct ScaleInPolicy<'a> {
    now: Time,
    types: &'a [MachineType],
    /// Maximum boot duration, as a multiple of the usual boot time.
    max_boot_factor: f64,
    /// Maximum idle time, as a multiple of the boot time.
    max_idle_factor: f64,
    lease_s: Time,
    /// Time without a heartbeat after which a machine no longer counts as idle.
    max_silence_s: Time,
    /// Time since which the leader has been entitled to act without interruption.
    entitled_since: Time,
    /// Whether idle machines are kept for a gang only for a limited time.
    gang_wait_is_limited: bool,
    unreachable_zone_retention_s: Time,
    zones: &'a ZoneReachability,
    /// Pools with work that has to start within seconds.
    latency_sensitive: BTreeSet<MachinePool>,
}

/// A machine that has been idle long enough to be scaled in.
struct IdleMachine<'a> {
    machine: &'a Machine,
    /// Whether its pool serves latency-sensitive work and it has been idle for less than a boot time.
    latency_sensitive: bool,
}

impl ScaleInPolicy<'_> {
    fn boot_s(&self, machine: &Machine) -> f64 {
        let machine_type = self.types.iter().find(|machine_type| machine_type.name == machine.machine_type);
        machine_type.map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s)
    }

    fn fault(&self, machine: &Machine, in_use: bool) -> Option<Fault> {
        match machine.phase {
            MachinePhase::Booting if self.has_boot_timed_out(machine) => Some(Fault::BootTimedOut),
            MachinePhase::Up if machine.reachability.is_lost() => Some(Fault::ReceivesNoResponses),
            MachinePhase::Up if machine.quarantined && !in_use => Some(Fault::Quarantined),
            _ => None,
        }
    }

    /// Whether the machine has not finished booting in time. After a failover or an outage of the store,
    /// every worker gets one lease to send a heartbeat, because none was answered before. Otherwise, a
    /// leader could take a machine that has been up for a long time for one that does not finish booting.
    fn has_boot_timed_out(&self, machine: &Machine) -> bool {
        self.now - machine.created_at > self.boot_s(machine) * self.max_boot_factor
            && self.now - self.entitled_since > self.lease_s
            && !self.zones.is_unreachable(&machine.zone)
    }

    fn is_idle(&self, machine: &Machine) -> bool {
        machine.phase == MachinePhase::Up
            && machine.last_heard_at.is_some_and(|heard_at| self.now - heard_at < self.max_silence_s)
            && machine.tasks.is_empty()
            && machine.spot_reclaim_at.is_none()
            && self.now - machine.idle_since > self.boot_s(machine) * self.max_idle_factor
            && self.now - machine.created_at > MIN_CHARGE_S
    }

    /// Returns the idle machines among `machines`, longest idle first.
    fn idle_machines<'m>(&self, machines: &'m BTreeMap<String, Machine>) -> Vec<IdleMachine<'m>> {
        let idle = machines.values().filter(|machine| self.is_idle(machine));
        let mut idle: Vec<IdleMachine> = idle
            .map(|machine| IdleMachine { machine, latency_sensitive: self.is_latency_sensitive(machine) })
            .collect();
        idle.sort_by(|a, b| {
            let (a, b) = (a.machine, b.machine);
            a.idle_since.total_cmp(&b.idle_since).then(a.id.cmp(&b.id))
        });
        idle
    }

    /// Whether the machine is kept for latency-sensitive work. If work has to start within seconds, a
    /// machine is worth keeping for as long as a replacement would take to boot.
    fn is_latency_sensitive(&self, machine: &Machine) -> bool {
        self.latency_sensitive.contains(&pool_of(machine))
            && self.now - machine.idle_since <= self.boot_s(machine)
    }

    /// Whether the machine may still be kept for a gang whose other machines are missing. The wait is
    /// limited, because a gang that can never be complete would otherwise keep the last machines of a
    /// pool from other jobs indefinitely.
    fn may_wait_for_gang(&self, machine: &Machine) -> bool {
        let max_wait_s = (self.boot_s(machine) * self.max_boot_factor).max(self.unreachable_zone_retention_s);
        !self.gang_wait_is_limited || self.now - machine.idle_since < max_wait_s
    }

    /// Returns the ids of idle machines beyond the targets. `machine_counts` are the numbers of machines
    /// that accept work, by pool.
    fn surplus_machines(
        &self,
        idle: &[IdleMachine],
        mut machine_counts: BTreeMap<MachinePool, u32>,
        targets: &CapacityTargets,
    ) -> Vec<String> {
        let mut assembling = targets.assembling_gang_machines.clone();
        let mut surplus = Vec::new();
        for IdleMachine { machine, latency_sensitive } in idle {
            let location = ZonalMachineType::new(&machine.machine_type, &machine.zone);
            let kept_for_gang = assembling.get_mut(&location).filter(|machines| **machines > 0);
            if let Some(machines) = kept_for_gang.filter(|_| self.may_wait_for_gang(machine)) {
                *machines -= 1;
                continue;
            }
            let pool = pool_of(machine);
            let desired = if *latency_sensitive { &targets.desired_with_burst } else { &targets.desired };
            let desired = desired.get(&pool).copied().unwrap_or(0);
            let existing = machine_counts.entry(pool).or_insert(0);
            if *existing > desired {
                *existing -= 1;
                surplus.push(machine.id.clone());
            }
        }
        surplus
    }
}

fn pool_of(machine: &Machine) -> MachinePool {
    MachinePool::new(&machine.machine_type, machine.spot)
}

/// Counts the machines that accept work, by pool.
fn count_schedulable_machines(machines: &BTreeMap<String, Machine>) -> BTreeMap<MachinePool, u32> {
    let mut counts = BTreeMap::new();
    for machine in machines.values().filter(|machine| machine.accepts_work()) {
        *counts.entry(pool_of(machine)).or_insert(0) += 1;
    }
    counts
}

/// Returns the pools in which jobs of `classes` usually run.
fn pools_of_classes(leader: &LeaderState, classes: &BTreeSet<String>) -> BTreeSet<MachinePool> {
    let stats = leader.planning.classes.iter().filter(|(name, _)| classes.contains(name.as_str()));
    let demands = stats.filter_map(|(_, stats)| stats.typical_demand.as_ref());
    demands.map(|demand| demand.pool.clone()).collect()
}

/// Marks a faulty machine as terminating.
fn scale_in_faulty(machine: &mut Machine, fault: Fault) {
    match fault {
        Fault::BootTimedOut => info!(machine = %machine.id, "scaling in machine: boot timed out"),
        Fault::ReceivesNoResponses => {
            info!(machine = %machine.id, "scaling in machine: receives no responses");
        }
        // The quarantine itself was logged.
        Fault::Quarantined => {}
    }
    machine.phase = MachinePhase::Terminating;
}

/// Marks an idle machine as terminating.
fn scale_in_idle(machine: &mut Machine) {
    info!(machine = %machine.id, kind = %machine.machine_type, spot = machine.spot,
          "scaling in idle machine");
    machine.phase = MachinePhase::Terminating;
}

impl Controller {
    /// Returns the classes whose work has to start at once: those with a "wait" objective, or all
    /// classes if there is a "guarantee" objective and a team with a guarantee.
    fn latency_sensitive_classes(&self) -> BTreeSet<String> {
        let params = &self.settings.params;
        let has_guarantee = params.slos.iter().any(|slo| slo.kind == "guarantee")
            && params.teams.iter().any(|team| team.cores > 0.0 || team.accelerators > 0.0);
        if has_guarantee {
            if let Role::Leader(leader) = &self.role {
                return leader.planning.classes.keys().cloned().collect();
            }
        }
        let wait_slos = params.slos.iter().filter(|slo| slo.kind == "wait");
        wait_slos.filter_map(|slo| slo.class.clone()).collect()
    }

    /// Marks the machines to scale in as terminating.
    pub(super) fn tick_scale_in(&mut self) {
        if !self.may_act() {
            return;
        }
        let now = self.now;
        let timing = self.timing;
        let retain_silent = self.checks.retain_silent_machines;
        let classes = self.latency_sensitive_classes();
        let Role::Leader(leader) = &mut self.role else { return };
        // Idle time counts only from when this leader could act, because no machine could get work
        // before. Otherwise, idle machines would be scaled in after an outage, just before users return.
        let acting_since = if retain_silent { leader.leadership.tenure.entitled_since() } else { 0.0 };
        let policy = ScaleInPolicy {
            now,
            types: self.machine_types.as_deref().unwrap_or_default(),
            max_boot_factor: self.operator.boot_stuck,
            max_idle_factor: self.operator.idle_hold,
            lease_s: self.settings.params.workers.lease_s,
            max_silence_s: timing.failure_suspicion_s / 2.0,
            entitled_since: leader.leadership.tenure.entitled_since(),
            gang_wait_is_limited: self.checks.zonal_scale_out,
            unreachable_zone_retention_s: timing.unreachable_zone_retention_s,
            zones: &leader.fleet.zones,
            latency_sensitive: pools_of_classes(leader, &classes),
        };
        let machine_counts = count_schedulable_machines(&leader.cluster.machines);
        let placements = leader.cluster.jobs.values().flat_map(|job| job.placements.values());
        let in_use: HashSet<&str> = placements.map(|placement| placement.machine.as_str()).collect();
        for machine in leader.cluster.machines.values_mut() {
            let in_use = in_use.contains(machine.id.as_str());
            // A machine that misses heartbeats cannot get work, so its idle time does not count.
            // Otherwise, machines of a zone that becomes reachable again would be scaled in at once,
            // by targets computed while the zone was unreachable.
            let busy = in_use || retain_silent && machine.missed_heartbeats(now, &timing);
            machine.idle_since = if busy { now } else { machine.idle_since.max(acting_since) };
            if let Some(fault) = policy.fault(machine, in_use) {
                scale_in_faulty(machine, fault);
            }
        }
        let idle = policy.idle_machines(&leader.cluster.machines);
        for id in policy.surplus_machines(&idle, machine_counts, &leader.fleet.targets) {
            if let Some(machine) = leader.cluster.machines.get_mut(&id) {
                scale_in_idle(machine);
            }
        }
    }

    /// Deletes terminating machines in the cloud, as many as one call allows.
    pub(super) fn tick_deletions(&mut self) {
        let may_act = self.may_act();
        let Role::Leader(leader) = &self.role else { return };
        if leader.fleet.delete_in_flight || self.now < leader.fleet.delete_at || !may_act {
            return;
        }
        let machines = leader.cluster.machines.values();
        let terminating = machines.filter(|machine| machine.phase == MachinePhase::Terminating);
        let names: Vec<String> = terminating.map(|machine| machine.id.clone()).take(MAX_DELETED).collect();
        if names.is_empty() || !self.try_acquire_cloud_call() {
            return;
        }
        let Role::Leader(leader) = &mut self.role else { return };
        leader.fleet.delete_in_flight = true;
        let token = leader.fencing_token;
        self.call_cloud(CallContext::Delete { token, machines: names.clone() }, CloudRequest::Delete(names));
    }

    /// Removes machines that the cloud has deleted, or schedules a retry if the call failed.
    pub(super) fn on_deleted(&mut self, token: u64, machines: &[String], reply: CloudReply) {
        let now = self.now;
        let Some(leader) = self.leader_state(token) else { return };
        leader.fleet.delete_in_flight = false;
        if reply != CloudReply::Done {
            leader.fleet.delete_at = now + DELETE_RETRY_INTERVAL_S;
            return;
        }
        for machine in machines {
            leader.fleet.add_tombstone(machine, RemovalProof::Deleted);
        }
        for machine in machines {
            self.remove_machine_work(machine, true);
        }
    }
}
