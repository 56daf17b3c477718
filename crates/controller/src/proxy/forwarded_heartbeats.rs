//! The leader's side of heartbeat proxying: heartbeats that proxies forward, and the replies that
//! delegate leases to the proxies.

use crate::agents::heartbeat_queue::ReplyRoute;
use crate::leader::state::Role;
use crate::model::machine::Machine;
use crate::{Controller, Output, RequestId, Time};
use protocol::peer::{ForwardReply, ForwardRequest, ForwardedHeartbeat};
use protocol::worker::Heartbeat;
use sharding::ProxyId;

/// Milliseconds per second. Proxies state the age of heartbeats in milliseconds.
const MS_PER_S: f64 = 1000.0;

/// Source of the worker's state for a forwarded heartbeat. Proxies send the state in full only
/// when it changes, and otherwise refer to the heartbeat that contained it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ForwardedState {
    /// The entry contains the state in full.
    Full,
    /// The state is unchanged, and so are the leader's placements.
    Reconciled,
    /// The state is unchanged.
    Repeated,
    /// A newer heartbeat is known.
    Outdated,
    /// The heartbeat that contained the state is not known here.
    Unknown,
}

/// A forwarded heartbeat with the worker's state in full.
struct ResolvedHeartbeat {
    heartbeat: Heartbeat,
    /// Epoch and sequence number of the heartbeat from which the state was repeated, if it was.
    base_position: Option<(u64, u64)>,
}

/// Determines the source of the worker's state for `entry`. Machines count as reconciled for
/// `reconciled_s` seconds.
fn classify_forwarded(
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
        // The most frequent case: the tasks continue unchanged.
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
    /// Handles heartbeats that another node forwards.
    pub(crate) fn on_forward_request(&mut self, request_id: RequestId, request: ForwardRequest) {
        let now = self.now;
        let is_peer = self.settings.peers.iter().any(|peer| peer.node == request.node);
        if is_peer {
            self.peer_liveness.record_incarnation(now, &request.node, request.incarnation);
        }
        let Role::Leader(leader) = &mut self.role else {
            return self.refuse_forward_request(request_id);
        };
        // Heartbeats that were sent for an earlier leader may be minutes old.
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

    /// Restores the heartbeat that an entry represents. Returns None if there is nothing more to
    /// do: the heartbeat changes nothing, is outdated, or has to be sent in full first.
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
            // The proxy may have responded to the heartbeat, whether or not it is processed here.
            machine.record_heartbeat(position, received_at, true);
        }
        let state = classify_forwarded(&entry, machine.as_deref(), now, reconciled_s);
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

    /// Sets the position of the older heartbeat that contains the machine's state and to which
    /// proxies refer.
    fn set_content_position(&mut self, machine: &str, position: (u64, u64)) {
        let Role::Leader(leader) = &mut self.role else { return };
        if let Some(machine) = leader.cluster.machines.get_mut(machine) {
            machine.content_position = position;
        }
    }

    /// Sends the due replies to the proxies, each with a delegated lease.
    pub(crate) fn tick_forwarding(&mut self) {
        let now = self.now;
        let reply_interval_s = self.timing.forward_interval_s;
        let Role::Leader(leader) = &mut self.role else { return };
        // Proxies must stop responding no later than this leader.
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
