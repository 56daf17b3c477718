//! The cloud's machine list: read page by page, then reconciled with the machines that the
//! leader knows.

use crate::leader::state::{LeaderState, Role};
use crate::model::machine::{Machine, MachinePhase};
use crate::{CallContext, CloudReply, CloudRequest, Controller, Time};
use protocol::cloud::{ListedMachine, MachineState};
use std::collections::BTreeSet;
use tracing::info;

/// Machines of a list that are looked at.
const MAX_LISTED_MACHINES: usize = 20_000;

/// How far a list is read, and when its next page is due.
#[derive(Debug, Default)]
pub(crate) struct MachineListing {
    /// Whether a list has been read to its end since this leader was elected.
    pub completed_once: bool,
    /// Whether a page is being read.
    in_flight: bool,
    /// When the next list is begun.
    next_list_at: Time,
    /// When the first page of this list was asked for.
    started_at: Time,
    /// The machines on the pages so far.
    machines: Vec<ListedMachine>,
    /// The machine that the next page starts after; None: the next page is the first of a list.
    continue_after: Option<String>,
    /// When the next page of a list that is begun is due.
    next_page_at: Time,
}

impl MachineListing {
    /// Gives a list up that takes longer than `max_s`: its first pages are too old by then.
    fn abandon_slow_list(&mut self, now: Time, max_s: Time) {
        if !self.in_flight && now - self.started_at > max_s {
            self.continue_after = None;
        }
    }

    fn is_page_due(&self, now: Time) -> bool {
        let due_at = if self.continue_after.is_some() { self.next_page_at } else { self.next_list_at };
        !self.in_flight && now >= due_at
    }

    /// Begins the next page. Pages are `page_interval_s` apart, lists `list_interval_s`. The first
    /// list is read without pauses, as nothing else is done before it is complete. (Later lists
    /// were read so, too: with some thousand machines the cloud refused every list.)
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

    /// Adds a page. True if it was the last one.
    fn add_page(&mut self, machines: Vec<ListedMachine>, more: bool) -> bool {
        let last = machines.last().map(|machine| machine.id.clone());
        self.machines.extend(machines);
        self.continue_after = last.filter(|_| more && self.machines.len() < MAX_LISTED_MACHINES);
        self.continue_after.is_none()
    }
}

impl Controller {
    /// Asks for the next page of the list when it is due.
    pub(super) fn tick_machine_list(&mut self) {
        let now = self.now;
        let max_list_s = self.settings.params.workers.lease_s;
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        leader.fleet.listing.abandon_slow_list(now, max_list_s);
        if !leader.fleet.listing.is_page_due(now) || !self.try_acquire_cloud_call() {
            return;
        }
        // Every page is a call. Half of the calls are left for other purposes.
        let page_interval_s = 2.0 / self.settings.params.cloud.rps;
        let list_interval_s = self.settings.params.cloud.list_lag_s * 0.75;
        let Role::Leader(leader) = &mut self.role else { return };
        let after = leader.fleet.listing.continue_after.clone();
        leader.fleet.listing.start_page(now, page_interval_s, list_interval_s);
        self.call_cloud(CallContext::CloudList { token }, CloudRequest::List { after });
    }

    /// Adds a page to the list. After the last page the machines are reconciled with it.
    pub(super) fn on_machine_list(&mut self, token: u64, reply: CloudReply) {
        let now = self.now;
        let list_lag_s = self.settings.params.cloud.list_lag_s;
        let Some(leader) = self.leader_state(token) else { return };
        leader.fleet.listing.in_flight = false;
        // A page that failed is asked for again.
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
            info!(%machine, "machine removed from the cloud's list");
            if let Role::Leader(leader) = &mut self.role {
                leader.fleet.add_tombstone(&machine);
            }
            self.remove_machine_work(&machine, true);
        }
    }
}

/// Takes over what the list says of each machine that is not known to be deleted.
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
            Machine::new(&listed.id, &listed.machine_type, &listed.zone, listed.spot, now - listed.age_s)
        });
        let learned_address = apply_listing(machine, listed, now);
        if learned_address {
            leader.pending_kills.retry_now(&listed.id, now);
        }
    }
}

/// Takes over what the list says of one machine. True if that is how its address became known.
fn apply_listing(machine: &mut Machine, listed: &ListedMachine, now: Time) -> bool {
    machine.listed = true;
    machine.unconfirmed_since = None;
    // It may have sent heartbeats before it was listed, but is older than these. (After a
    // failover no machine was old enough for scale-in for a minute.)
    machine.known_since = machine.known_since.min(now - listed.age_s);
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

/// Known machines that the list lacks although it is new enough to have them: they are gone, with
/// everything on them. A list is up to twice `list_lag_s` old.
fn missing_machines(leader: &LeaderState, list: &[ListedMachine], list_lag_s: Time) -> Vec<String> {
    let listed: BTreeSet<&str> = list.iter().map(|machine| machine.id.as_str()).collect();
    let max_list_age_s = 2.0 * list_lag_s + 2.0;
    let started_at = leader.fleet.listing.started_at;
    let is_missing = |machine: &&Machine| {
        !listed.contains(machine.id.as_str())
            && machine.listed
            && started_at - machine.known_since > max_list_age_s
    };
    leader.cluster.machines.values().filter(is_missing).map(|machine| machine.id.clone()).collect()
}

/// Machines that the cloud reports as failed get no work, and are deleted.
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
