//! The cloud's machine list: reads it page by page and reconciles it with the machines that the
//! leader knows.

use crate::autoscaling::fleet::RemovalProof;
use crate::leader::state::{LeaderState, Role};
use crate::model::machine::{Machine, MachinePhase};
use crate::{CallContext, CloudReply, CloudRequest, Controller, Time};
use protocol::cloud::{ListedMachine, MachineState};
use std::collections::BTreeSet;
use tracing::{debug, info};

/// Number of machines after which the rest of a list is not read.
const MAX_LISTED_MACHINES: usize = 20_000;

/// Time added to the largest age of a list, for the call and the clocks.
const LIST_AGE_MARGIN_S: Time = 2.0;

/// Progress of reading the machine list.
#[derive(Debug, Default)]
pub(crate) struct MachineListing {
    /// Whether a complete list has been read since this leader was elected.
    pub completed_once: bool,
    /// Whether a page is being read.
    in_flight: bool,
    /// Earliest start of the next list.
    next_list_at: Time,
    /// Time at which the first page of the current list was requested.
    started_at: Time,
    /// Machines on the pages read so far.
    machines: Vec<ListedMachine>,
    /// Id of the machine after which the next page starts, or None if it is the first of a list.
    continue_after: Option<String>,
    /// Earliest time of the next page within a list.
    next_page_at: Time,
}

impl MachineListing {
    /// Restarts a list that takes longer than `max_s`, because its first pages are too old by then.
    fn abandon_slow_list(&mut self, now: Time, max_s: Time) {
        if !self.in_flight && now - self.started_at > max_s {
            self.continue_after = None;
        }
    }

    fn is_page_due(&self, now: Time) -> bool {
        let due_at = if self.continue_after.is_some() { self.next_page_at } else { self.next_list_at };
        !self.in_flight && now >= due_at
    }

    /// Records the start of reading the next page. Pages are `page_interval_s` apart and lists
    /// `list_interval_s`. The first list is read without pauses, because planning starts only after
    /// it is complete. Later lists need the pauses: without them, the cloud refuses every list of
    /// several thousand machines.
    fn start_page(&mut self, now: Time, page_interval_s: Time, list_interval_s: Time) {
        self.in_flight = true;
        self.next_page_at = if self.completed_once { now + page_interval_s } else { now };
        self.next_list_at = self.next_list_at.max(now + page_interval_s);
        if self.continue_after.is_none() {
            self.started_at = now;
            self.machines.clear();
            self.next_list_at = now + list_interval_s.max(page_interval_s);
        }
    }

    /// Adds a page. Returns whether it was the last one.
    fn add_page(&mut self, machines: Vec<ListedMachine>, more: bool) -> bool {
        let last = machines.last().map(|machine| machine.id.clone());
        self.machines.extend(machines);
        self.continue_after = last.filter(|_| more && self.machines.len() < MAX_LISTED_MACHINES);
        self.continue_after.is_none()
    }
}

impl Controller {
    /// Requests the next page of the list when it is due.
    pub(super) fn tick_machine_list(&mut self) {
        let now = self.now;
        let max_list_s = self.settings.params.workers.lease_s;
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        leader.fleet.listing.abandon_slow_list(now, max_list_s);
        if !leader.fleet.listing.is_page_due(now) || !self.try_acquire_cloud_call() {
            return;
        }
        // Each page takes one call. Half of the calls are left for other purposes.
        let page_interval_s = 2.0 / self.settings.params.cloud.rps;
        let list_interval_s = self.settings.params.cloud.list_lag_s * 0.75;
        let Role::Leader(leader) = &mut self.role else { return };
        let after = leader.fleet.listing.continue_after.clone();
        leader.fleet.listing.start_page(now, page_interval_s, list_interval_s);
        self.call_cloud(CallContext::CloudList { token }, CloudRequest::List { after });
    }

    /// Adds a page to the list. After the last page, reconciles the known machines with the list.
    pub(super) fn on_machine_list(&mut self, token: u64, reply: CloudReply) {
        let now = self.now;
        let list_lag_s = self.settings.params.cloud.list_lag_s;
        let Some(leader) = self.leader_state(token) else { return };
        leader.fleet.listing.in_flight = false;
        // A page that failed is requested again.
        let CloudReply::List(page) = reply else { return };
        if !leader.fleet.listing.add_page(page.machines, page.more) {
            return;
        }
        let list = std::mem::take(&mut leader.fleet.listing.machines);
        register_listed_machines(leader, &list, now);
        leader.fleet.listing.completed_once = true;
        let missing = missing_machines(leader, &list, list_lag_s);
        scale_in_failed_machines(leader, &list);
        leader.planning.needed = true;
        for machine in missing {
            if let Role::Leader(leader) = &mut self.role {
                log_removal(leader, &machine, now);
                add_unlisted_tombstone(leader, &machine);
            }
            self.remove_machine_work(&machine, true);
        }
    }
}

/// Applies the list to all machines that are not known to be deleted, and adds unknown ones.
fn register_listed_machines(leader: &mut LeaderState, list: &[ListedMachine], now: Time) {
    let first_list = !leader.fleet.listing.completed_once;
    for listed in list {
        if leader.fleet.has_tombstone(&listed.id) {
            continue;
        }
        if !first_list && !leader.cluster.machines.contains_key(&listed.id) {
            info!(machine = %listed.id, "unknown machine in the cloud's list, registered");
        }
        let machine = leader.cluster.machines.entry(listed.id.clone()).or_insert_with(|| {
            let created_at = now - listed.age_s;
            let mut machine =
                Machine::new(&listed.id, &listed.machine_type, &listed.zone, listed.spot, created_at);
            machine.exists_since = now;
            machine
        });
        let learned_address = apply_listing(machine, listed, now);
        if learned_address {
            leader.pending_kills.retry_now(&listed.id, now);
        }
    }
}

/// Applies a list entry to its machine. Returns whether the machine's address became known by this.
fn apply_listing(machine: &mut Machine, listed: &ListedMachine, now: Time) -> bool {
    if !machine.listed {
        debug!(machine = %machine.id, held_s = listed.age_s, known_s = now - machine.created_at,
               exists_s = now - machine.exists_since, "machine listed for the first time");
    }
    machine.listed = true;
    machine.possibly_gone = false;
    machine.unconfirmed_since = None;
    // The machine may have sent heartbeats before it was listed, but it is older than these. Without
    // this, no machine would be old enough for scale-in during the first minute after a failover.
    machine.created_at = machine.created_at.min(now - listed.age_s);
    // The cloud counts the age from when it carried the rental out. For machines of earlier leaders
    // there is no other evidence; without it, a new leader learns late which of them are gone.
    if !machine.rented_by_this_leader {
        machine.exists_since = machine.exists_since.min(now - listed.age_s);
    }
    if machine.machine_type.is_empty() {
        machine.machine_type.clone_from(&listed.machine_type);
        machine.zone.clone_from(&listed.zone);
        machine.spot = listed.spot;
    }
    let mut learned_address = false;
    if let Some(addr) = listed.addr.as_ref().filter(|_| machine.addr.is_empty()) {
        machine.addr.clone_from(addr);
        learned_address = true;
    }
    if listed.state == MachineState::Running {
        machine.mark_up(now);
    }
    learned_address
}

/// Returns the known machines that no longer exist: they were listed before, but are missing from a
/// list that has to contain them. The data of a list is up to twice `list_lag_s` old, and may be older
/// than that of the list before. So a machine is gone only if its existence had been proven for that
/// long when the list was requested. Its estimated age proves nothing, because it may include attempts
/// of the rental that were not carried out; a machine that is only old enough by this age may be gone.
fn missing_machines(leader: &mut LeaderState, list: &[ListedMachine], list_lag_s: Time) -> Vec<String> {
    let listed: BTreeSet<&str> = list.iter().map(|machine| machine.id.as_str()).collect();
    let shown_since = leader.fleet.listing.started_at - (2.0 * list_lag_s + LIST_AGE_MARGIN_S);
    let mut missing = Vec::new();
    for machine in leader.cluster.machines.values_mut() {
        if !machine.listed || listed.contains(machine.id.as_str()) {
            continue;
        }
        if machine.exists_since < shown_since {
            missing.push(machine.id.clone());
        } else if machine.created_at < shown_since {
            machine.possibly_gone = true;
        }
    }
    missing
}

/// Records that a list proves that a machine is gone.
fn add_unlisted_tombstone(leader: &mut LeaderState, id: &str) {
    let newest_position =
        leader.cluster.machines.get(id).map(|machine| machine.newest_position).unwrap_or_default();
    leader.fleet.add_tombstone(id, RemovalProof::Unlisted(newest_position));
}

/// Logs the removal of a machine that the list no longer shows, with the times that decide whether
/// the list had to show it, relative to the request for the list.
fn log_removal(leader: &LeaderState, id: &str, now: Time) {
    let Some(machine) = leader.cluster.machines.get(id) else { return };
    let requested_at = leader.fleet.listing.started_at;
    info!(machine = %id, list_s = now - requested_at, known_s = requested_at - machine.created_at,
          exists_s = requested_at - machine.exists_since,
          silent_s = machine.last_heard_at.map(|heard_at| now - heard_at),
          "machine removed from the cloud's list");
}

/// Quarantines machines that the cloud reports as failed and marks them as terminating.
fn scale_in_failed_machines(leader: &mut LeaderState, list: &[ListedMachine]) {
    for listed in list.iter().filter(|listed| listed.state == MachineState::Failed) {
        if leader.fleet.has_tombstone(&listed.id) {
            continue;
        }
        let Some(machine) = leader.cluster.machines.get_mut(&listed.id) else { continue };
        if machine.phase != MachinePhase::Terminating {
            machine.phase = MachinePhase::Terminating;
            machine.quarantined = true;
        }
    }
}
