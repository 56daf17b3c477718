//! The leader's replies: delegated leases and commands for held heartbeats.

use super::batch::{InFlightForward, SentEntry};
use super::worker::{ForwardedContent, HeartbeatPosition};
use super::{DelegatedLease, HeartbeatProxy, ProxyAction};
use crate::Time;
use protocol::peer::{ForwardReply, LeaderOnly, MachineCommands};

/// Maximum number of times that the exponential backoff doubles the forward interval.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

impl HeartbeatProxy {
    /// Handles the reply to the batch in flight, or None if the call failed or timed out.
    pub fn on_reply(&mut self, now: Time, reply: Option<ForwardReply>) {
        let Some(batch) = self.in_flight.take() else { return };
        let current_token = self.lease.as_ref().map_or(0, |lease| lease.fencing_token);
        let is_usable =
            |reply: &ForwardReply| reply.token > 0 && (reply.token >= current_token || !self.checks.fencing);
        let Some(reply) = reply.filter(is_usable) else {
            return self.on_forward_failed(now, &batch);
        };
        self.consecutive_failures = 0;
        self.acknowledged_sequence = batch.sequence;
        self.next_forward_at = now.max(batch.sent_at + self.timing.forward_interval_s / 5.0);
        let is_new_leader = reply.token > current_token;
        let was_ready = self.lease.as_ref().is_some_and(|lease| lease.leader_ready);
        if is_new_leader || reply.afresh {
            self.leader_only.clear();
        }
        self.lease = Some(self.renewed_lease(batch.sent_at, &reply));
        self.update_leader_only(reply.attend, &reply.attend_no_more);
        self.record_forwarded(batch.forwarded, reply.token, reply.ready);
        self.resend_in_full(&reply.unknown);
        if is_new_leader || !was_ready && reply.ready {
            self.on_lease_granted(now);
        }
        for commands in reply.orders {
            self.deliver_commands(now, reply.token, commands);
        }
    }

    /// Schedules the whole batch to be forwarded again after a backoff, because it may not
    /// have arrived.
    fn on_forward_failed(&mut self, now: Time, batch: &InFlightForward) {
        for entry in &batch.forwarded {
            self.enqueue(&entry.machine);
        }
        self.consecutive_failures += 1;
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff_s = self.timing.forward_interval_s * f64::from(1u32 << doublings);
        self.next_forward_at = now + backoff_s.min(self.timing.renewal_interval_s);
    }

    /// Returns the lease that `reply` grants. It starts when the batch was sent, so that it
    /// expires here before it expires for the leader, which granted it later.
    fn renewed_lease(&self, sent_at: Time, reply: &ForwardReply) -> DelegatedLease {
        let granted_until = sent_at + f64::from(reply.leave_ms) / 1000.0;
        let expires_at = match &self.lease {
            Some(lease) if lease.fencing_token == reply.token => lease.expires_at.max(granted_until),
            _ => granted_until,
        };
        DelegatedLease { fencing_token: reply.token, expires_at, leader_ready: reply.ready }
    }

    fn update_leader_only(&mut self, added: Vec<LeaderOnly>, removed: &[String]) {
        self.leader_only.extend(added.into_iter().map(|entry| (entry.machine, entry.stops)));
        for machine in removed {
            self.leader_only.remove(machine);
        }
    }

    fn record_forwarded(&mut self, entries: Vec<SentEntry>, fencing_token: u64, leader_ready: bool) {
        for entry in entries {
            if !leader_ready {
                self.enqueue(&entry.machine);
                continue;
            }
            if !entry.in_full {
                continue;
            }
            if let Some(worker) = self.workers.get_mut(&entry.machine) {
                worker.forwarded = Some(ForwardedContent { fencing_token, position: entry.position });
            }
        }
    }

    fn resend_in_full(&mut self, machines: &[String]) {
        for machine in machines {
            if let Some(worker) = self.workers.get_mut(machine) {
                worker.forwarded = None;
            }
            self.enqueue(machine);
        }
    }

    /// Handles the first lease of a leader, and its first lease while it is ready. If the
    /// leader is ready, the heartbeats of all workers are forwarded, so that it sees the
    /// whole fleet immediately. Before that, held heartbeats get responses without commands.
    fn on_lease_granted(&mut self, now: Time) {
        let Some(lease) = self.valid_lease(now) else { return };
        let fencing_token = lease.fencing_token;
        let leader_ready = lease.leader_ready;
        let machines: Vec<String> = self.workers.keys().cloned().collect();
        for machine in machines {
            if leader_ready {
                self.enqueue(&machine);
            } else if let Some(held) = self.release_held(&machine) {
                self.respond_without_commands(held.request, fencing_token);
            }
        }
    }

    /// Responds to a held heartbeat with the leader's commands, if it is still the
    /// heartbeat for which they were issued.
    fn deliver_commands(&mut self, now: Time, fencing_token: u64, commands: MachineCommands) {
        let fencing = self.checks.fencing;
        let may_respond =
            self.valid_lease(now).is_some_and(|lease| lease.fencing_token == fencing_token || !fencing);
        let response_token = match &self.leader {
            Some(leader) if !fencing => leader.fencing_token,
            _ => fencing_token,
        };
        let position = HeartbeatPosition { epoch: commands.session, sequence: commands.seq };
        let Some(worker) = self.workers.get(&commands.machine) else { return };
        if fencing && worker.position != position {
            return;
        }
        let Some(held) = self.release_held(&commands.machine) else { return };
        self.actions.push(if may_respond {
            ProxyAction::Respond(held.request, commands.into_response(response_token))
        } else {
            ProxyAction::Redirect(held.request, self.leader_node())
        });
    }
}
