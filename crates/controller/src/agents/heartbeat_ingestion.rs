//! Ingestion of heartbeats: at any node, at the leader, and from the leader's proxies. The module
//! `reconciliation` evaluates their content.

use crate::agents::heartbeat_queue::ReplyRoute;
use crate::agents::reconciliation::HeartbeatOrigin;
use crate::leader::state::{LeaderState, Role};
use crate::model::machine::{Machine, MachinePhase};
use crate::{Controller, RequestId, Time};
use protocol::worker::{Heartbeat, HeartbeatResponse};
use sharding::ProxyId;
use tracing::{info, warn};

/// Maximum number of workers whose last contact is remembered. When it is reached, workers that
/// have been silent for `CONTACT_RETENTION_LEASES` are forgotten: no duplicate of a heartbeat is
/// delayed for that long.
const MAX_WORKER_CONTACTS: usize = 20_000;
/// Silence after which a worker's contact may be forgotten, in worker leases.
const CONTACT_RETENTION_LEASES: Time = 10.0;

impl Controller {
    /// Handles a heartbeat that a worker sent to this node.
    pub(crate) fn on_heartbeat(&mut self, request_id: RequestId, body: &[u8]) {
        let heartbeat: Heartbeat = match protocol::decode(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => return self.respond_error(request_id, 400, &error.to_string()),
        };
        self.record_worker_contact(&heartbeat);
        if self.is_leader() {
            self.on_leader_heartbeat(request_id, &heartbeat);
        } else {
            self.on_proxied_heartbeat(request_id, heartbeat);
        }
    }

    /// Records that a worker reaches this node. Delayed or duplicate heartbeats, which are not
    /// newer than the last one, don't count.
    fn record_worker_contact(&mut self, heartbeat: &Heartbeat) {
        let now = self.now;
        let position = (heartbeat.epoch, heartbeat.sequence);
        let is_full = self.sharding.worker_contacts.len() >= MAX_WORKER_CONTACTS;
        if is_full && !self.sharding.worker_contacts.contains_key(&heartbeat.machine) {
            // Without the removal of old entries, a full table counted no new workers.
            let since = now - self.settings.params.workers.lease_s * CONTACT_RETENTION_LEASES;
            self.sharding.worker_contacts.retain(|_, (contact_at, _)| *contact_at > since);
        }
        let has_room = self.sharding.worker_contacts.len() < MAX_WORKER_CONTACTS;
        match self.sharding.worker_contacts.get_mut(&heartbeat.machine) {
            Some(contact) if position > contact.1 => *contact = (now, position),
            None if has_room => {
                self.sharding.worker_contacts.insert(heartbeat.machine.clone(), (now, position));
            }
            _ => return,
        }
        self.sharding.balancer.on_heartbeat(now, &heartbeat.machine);
    }

    /// Handles a heartbeat that a worker sent to this node while the node leads.
    pub(crate) fn on_leader_heartbeat(&mut self, request_id: RequestId, heartbeat: &Heartbeat) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        if heartbeat.fencing_token > token {
            self.observe_token(heartbeat.fencing_token, &heartbeat.machine);
            return self.respond_error(request_id, 503, "a newer leader exists");
        }
        if !leader.recovery.finished && self.checks.response_grace {
            return self.hold_until_recovered(request_id, heartbeat);
        }
        // After the grace period another node may have confirmed a cancellation that this node
        // can't see. A response would keep the worker's lease from expiring in time for it.
        if !leader.leadership.authority.may_respond(now) && self.checks.response_grace {
            return self.respond_error(request_id, 503, "state service not reached");
        }
        let machine = leader.cluster.machines.get(&heartbeat.machine);
        let is_known = machine.is_some_and(|machine| machine.reports_here);
        if !self.admit_or_refuse(request_id, is_known) {
            return;
        }
        let Some(leader) = self.leader_state(token) else { return };
        if !leader.recovery.finished {
            let response = HeartbeatResponse { fencing_token: token, commands: Vec::new() };
            return self.respond(request_id, 200, protocol::encode(&response));
        }
        if !self.ingest_heartbeat(heartbeat, None, now) {
            // The heartbeat is late, or a duplicate or the reply to direct commands overtook it.
            // Its worker may still wait, and the response renews its lease, so the response has to
            // carry the pending commands. Otherwise a duplicate that arrived first got the kills,
            // and the waiting worker did not.
            let response = self.build_response(&heartbeat.machine);
            return self.respond(request_id, 200, protocol::encode(&response));
        }
        if let Some(node) = self.pick_better_node(heartbeat) {
            return self.redirect(request_id, Some(node));
        }
        self.defer_response(heartbeat, ReplyRoute::Direct(request_id));
    }

    /// Keeps a heartbeat that arrived before the stored records were read.
    fn hold_until_recovered(&mut self, request_id: RequestId, heartbeat: &Heartbeat) {
        let deadline = self.now + self.timing.recovery_hold_s;
        let Role::Leader(leader) = &mut self.role else { return };
        if let Some(superseded) = leader.heartbeats.early.insert(request_id, heartbeat, deadline) {
            self.respond_error(superseded, 503, "a newer report came");
        }
    }

    /// Handles the heartbeats that arrived before the stored records were read.
    pub(crate) fn process_early_heartbeats(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        for (request_id, heartbeat) in leader.heartbeats.early.take_all() {
            self.on_leader_heartbeat(request_id, &heartbeat);
        }
    }

    /// Refuses early heartbeats whose deadline has passed.
    pub(crate) fn expire_early_heartbeats(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        for request_id in leader.heartbeats.early.take_expired(self.now) {
            self.respond_error(request_id, 503, "records are being read");
        }
    }

    /// Records a heartbeat that arrived at `received_at`, at the proxy `via` or, if that is None,
    /// at this node. Returns false if it is not newer than the last one, or if its machine no
    /// longer exists.
    pub(crate) fn ingest_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        via: Option<ProxyId>,
        received_at: Time,
    ) -> bool {
        let now = self.now;
        let suspicion_s = self.timing.failure_suspicion_s;
        let in_order = self.checks.heartbeat_order;
        let Role::Leader(leader) = &mut self.role else { return false };
        let is_old = now - received_at > suspicion_s;
        if !is_old {
            leader.readmit_for_deletion(heartbeat, received_at);
        }
        if leader.is_removed_machine(&heartbeat.machine, is_old) {
            return false;
        }
        // The worker's lease counts from the time it sent the heartbeat, which is earlier than
        // `received_at`.
        let position = (heartbeat.epoch, heartbeat.sequence);
        leader.register_sender(heartbeat, received_at, now).record_heartbeat(position, received_at, in_order);
        if !self.apply_heartbeat(heartbeat, HeartbeatOrigin::Worker, received_at) {
            return false;
        }
        self.record_observation(via.as_ref(), &heartbeat.zone, received_at);
        let Role::Leader(leader) = &mut self.role else { return true };
        if let Some(machine) = leader.cluster.machines.get_mut(&heartbeat.machine) {
            machine.record_unsolicited_heartbeat(received_at);
            machine.reports_here = via.is_none();
            machine.proxy = via;
        }
        true
    }
}

impl LeaderState {
    /// Whether a heartbeat is from a machine that no longer exists. `is_old`: the heartbeat is so
    /// old that an unknown machine counts as removed as well. Without that rule, proxies that
    /// became reachable again forwarded all heartbeats that they had, and machines that had been
    /// deleted in the meantime got work until their silence was noticed.
    fn is_removed_machine(&self, machine: &str, is_old: bool) -> bool {
        self.fleet.has_tombstone(machine) || is_old && !self.cluster.machines.contains_key(machine)
    }

    /// Adds a machine again that sends heartbeats although a list proved that it is gone, as one that is
    /// terminating: its tasks may have been placed elsewhere. It gets no work, its tasks are stopped, and
    /// it is deleted. Without this, its lease was renewed and its tasks went on.
    fn readmit_for_deletion(&mut self, heartbeat: &Heartbeat, received_at: Time) {
        let position = (heartbeat.epoch, heartbeat.sequence);
        if !self.fleet.contradicts_removal(&heartbeat.machine, position) {
            return;
        }
        warn!(machine = %heartbeat.machine, "heartbeat from a machine removed from the cloud's list, deleting it");
        self.fleet.remove_tombstone(&heartbeat.machine);
        let mut machine = unlisted_machine(heartbeat, received_at);
        machine.phase = MachinePhase::Terminating;
        self.cluster.machines.insert(heartbeat.machine.clone(), machine);
    }

    /// Returns the machine that sent a heartbeat, and adds it if it was unknown.
    fn register_sender(&mut self, heartbeat: &Heartbeat, received_at: Time, now: Time) -> &mut Machine {
        let id = &heartbeat.machine;
        let machine = self.cluster.machines.entry(id.clone()).or_insert_with(|| {
            info!(machine = %heartbeat.machine, "heartbeat from a machine not in the list yet");
            unlisted_machine(heartbeat, received_at)
        });
        // A worker that has received a response from this leader exists. Two heartbeats alone
        // prove nothing: two delayed duplicates were taken for a live worker.
        machine.unconfirmed_since.take_if(|_| heartbeat.fencing_token == self.fencing_token);
        if machine.last_heard_at.is_none() {
            info!(machine = %id, kind = %heartbeat.machine_type, zone = %heartbeat.zone, spot = heartbeat.spot,
                  took_s = now - machine.created_at, "machine up");
            self.planning.needed = true;
            let cached_images = self.cluster.cached_images.remove(id).unwrap_or_default();
            for (image, used_at, size_gb) in cached_images {
                machine.record_image(image, used_at, size_gb);
            }
        }
        machine
    }
}

/// Creates the record of a machine that is not in the cloud's list yet.
fn unlisted_machine(heartbeat: &Heartbeat, received_at: Time) -> Machine {
    let mut machine = Machine::new(
        &heartbeat.machine,
        &heartbeat.machine_type,
        &heartbeat.zone,
        heartbeat.spot,
        received_at,
    );
    machine.unconfirmed_since = Some(received_at);
    machine
}
