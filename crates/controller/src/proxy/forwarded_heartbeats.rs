//! The leader towards its proxies: heartbeats that they forward, and the replies that delegate
//! leases to them.

use crate::agents::heartbeat_queue::ReplyRoute;
use crate::leader::state::Role;
use crate::model::machine::Machine;
use crate::{Controller, Output, RequestId, Time};
use protocol::peer::{ForwardReply, ForwardRequest, ForwardedHeartbeat};
use protocol::worker::Heartbeat;
use sharding::ProxyId;

/// Milliseconds of one second, the unit of the ages that proxies tell.
const MS_PER_S: f64 = 1000.0;

/// How the worker's state follows from a forwarded heartbeat. Proxies send it in full only when
/// it changes, and refer to the heartbeat that had it otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ForwardedState {
    /// The entry has it in full.
    Full,
    /// It is the same as before, and nothing has changed here either.
    Reconciled,
    /// It is the same as before.
    Repeated,
    /// A newer heartbeat is known.
    Outdated,
    /// The heartbeat that had it is not known here.
    Unknown,
}

/// A forwarded heartbeat with the worker's state in full.
struct ResolvedHeartbeat {
    heartbeat: Heartbeat,
    /// The heartbeat from which its state was repeated, if it was: epoch and sequence.
    base_position: Option<(u64, u64)>,
}

/// Decides how the state follows from `entry`. Machines count as reconciled for `reconciled_s`.
fn judge_forwarded(
    entry: &ForwardedHeartbeat,
    machine: Option<&Machine>,
    now: Time,
    reconciled_s: Time,
) -> ForwardedState {
    if entry.content.is_some() {
        return ForwardedState::Full;
    }
    let Some(machine) = machine else { return ForwardedState::Unknown };
    if machine.content_position == (entry.session, entry.same_as) {
        // The most frequent case: the tasks go on as they did.
        if !entry.held && machine.is_reconciled(now, reconciled_s) {
            return ForwardedState::Reconciled;
        }
        return ForwardedState::Repeated;
    }
    if (entry.session, entry.seq) <= machine.newest_position {
        return ForwardedState::Outdated;
    }
    ForwardedState::Unknown
}

impl Controller {
    /// Another node forwards heartbeats.
    pub(crate) fn on_forward_request(&mut self, request_id: RequestId, request: ForwardRequest) {
        let now = self.now;
        let is_peer = self.settings.peers.iter().any(|peer| peer.node == request.node);
        if is_peer {
            self.peer_liveness.record_incarnation(now, &request.node, request.incarnation);
        }
        let Role::Leader(leader) = &mut self.role else {
            return self.refuse_forward_request(request_id);
        };
        // Heartbeats that were meant for an earlier leader may be minutes old.
        let is_ready = leader.recovery.finished && request.token == leader.fencing_token;
        if !is_peer || !leader.forwarding.on_request(now, request_id, &request, is_ready) {
            return self.refuse_forward_request(request_id);
        }
        if !is_ready {
            return;
        }
        let proxy = ProxyId { node: request.node, incarnation: request.incarnation };
        for entry in request.entries {
            self.on_forwarded_heartbeat(&proxy, entry);
        }
    }

    fn refuse_forward_request(&mut self, request_id: RequestId) {
        self.outputs.push(Output::ForwardReply(request_id, ForwardReply::default()));
    }

    fn on_forwarded_heartbeat(&mut self, proxy: &ProxyId, entry: ForwardedHeartbeat) {
        let (epoch, sequence) = (entry.session, entry.seq);
        let held = entry.held;
        let received_at = self.now - f64::from(entry.age_ms) / MS_PER_S;
        let Some(resolved) = self.resolve_forwarded(proxy, entry, received_at) else { return };
        let heartbeat = resolved.heartbeat;
        if !self.ingest_heartbeat(&heartbeat, Some(proxy.clone()), received_at) {
            return;
        }
        if let Some(position) = resolved.base_position {
            self.set_content_position(&heartbeat.machine, position);
        }
        if held {
            let route = ReplyRoute::Forwarded { proxy: proxy.clone(), epoch, sequence };
            self.defer_response(&heartbeat, route);
        } else {
            self.update_leader_only(&heartbeat.machine);
        }
    }

    /// Restores the heartbeat that an entry stands for. None if there is nothing more to do: it
    /// changes nothing, is outdated, or has to be sent in full first.
    fn resolve_forwarded(
        &mut self,
        proxy: &ProxyId,
        entry: ForwardedHeartbeat,
        received_at: Time,
    ) -> Option<ResolvedHeartbeat> {
        let now = self.now;
        let reconciled_s = self.timing.heartbeat_validity_s;
        let max_gap_s = self.timing.max_heartbeat_gap_s;
        let position = (entry.session, entry.seq);
        let base_position = (entry.session, entry.same_as);
        let Role::Leader(leader) = &mut self.role else { return None };
        let token = leader.fencing_token;
        let mut machine = leader.cluster.machines.get_mut(&entry.machine);
        if let Some(machine) = &mut machine {
            // The proxy may have responded to it, whatever follows from it here.
            machine.record_heartbeat(position, received_at, true);
        }
        let state = judge_forwarded(&entry, machine.as_deref(), now, reconciled_s);
        let resolved = match (state, machine) {
            (ForwardedState::Full, _) => {
                ResolvedHeartbeat { heartbeat: entry.into_heartbeat()?, base_position: None }
            }
            (ForwardedState::Reconciled, Some(machine)) => {
                if position > machine.newest_position {
                    machine.newest_position = position;
                    machine.record_unsolicited_heartbeat(received_at);
                    machine.reports_here = false;
                    let observations = &mut leader.forwarding.observations;
                    observations.record(received_at, &proxy.node, &machine.zone, max_gap_s);
                }
                return None;
            }
            (ForwardedState::Repeated, Some(machine)) => ResolvedHeartbeat {
                heartbeat: machine.repeated_heartbeat(entry.seq),
                base_position: Some(base_position),
            },
            (ForwardedState::Unknown, _) => {
                leader.forwarding.request_content(proxy, &entry.machine);
                return None;
            }
            _ => return None,
        };
        Some(resolved).filter(|resolved| resolved.heartbeat.fencing_token <= token)
    }

    /// The state of a machine is that of an older heartbeat, to which proxies refer.
    fn set_content_position(&mut self, machine: &str, position: (u64, u64)) {
        let Role::Leader(leader) = &mut self.role else { return };
        if let Some(machine) = leader.cluster.machines.get_mut(machine) {
            machine.content_position = position;
        }
    }

    /// Sends the replies that are due to the proxies, each with a delegated lease.
    pub(crate) fn tick_forwarding(&mut self) {
        let now = self.now;
        let reply_interval_s = self.timing.forward_interval_s;
        let Role::Leader(leader) = &mut self.role else { return };
        // Proxies must stop responding when this leader must, at the latest.
        let own_lease_s = if self.checks.response_grace {
            leader.leadership.authority.may_respond_until() - now
        } else {
            self.timing.delegated_lease_s
        };
        let lease_s = self.timing.delegated_lease_s.min(own_lease_s);
        let token = leader.fencing_token;
        for due in leader.forwarding.take_due_replies(now, token, lease_s, reply_interval_s) {
            self.outputs.push(Output::ForwardReply(due.request, due.reply));
        }
    }
}
