//! The leader's side of heartbeat forwarding: the state of each proxy, and the leases
//! that the leader delegates to the proxies.

use crate::{HeartbeatObservations, ProxyId, RequestId, Time};
use protocol::peer::{ForwardReply, ForwardRequest, LeaderOnly, MachineCommands};
use settings::CLOCK_DRIFT_FACTOR;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of replies per proxy whose times are remembered. A proxy has one open
/// request at a time.
const MAX_RECENT_REPLIES: usize = 8;
/// Maximum number of proxies that are remembered. Each incarnation of a node counts as a
/// proxy.
const MAX_PROXIES: usize = 64;

/// A reply that is due, with the request that it answers.
#[derive(Debug, PartialEq)]
pub struct DueReply {
    /// The open request.
    pub request: RequestId,
    /// The reply to send.
    pub reply: ForwardReply,
}

/// A request that stays open until a reply is due.
struct OpenForward {
    request: RequestId,
    sequence: u64,
    received_at: Time,
    /// Whether its heartbeats are processed.
    ready: bool,
}

struct SentReply {
    sequence: u64,
    sent_at: Time,
}

/// Snapshot of `HeartbeatForwarding::leader_only` at some version.
struct LeaderOnlySnapshot {
    version: u64,
    /// The machines to which only the leader may respond; true if a task there has to be
    /// killed.
    machines: BTreeMap<String, bool>,
}

/// A snapshot that was sent but has not been acknowledged yet.
struct SentSnapshot {
    sequence: u64,
    snapshot: LeaderOnlySnapshot,
}

#[derive(Default)]
struct ForwardingProxy {
    /// Time until which the proxy may respond to heartbeats, by this node's clock.
    lease_expires_at: Time,
    /// Time before which every heartbeat that the proxy responded to has been forwarded.
    complete_until: Time,
    /// Replies that the proxy may have received.
    recent_replies: VecDeque<SentReply>,
    open: Option<OpenForward>,
    commands: Vec<MachineCommands>,
    /// Machines whose content the proxy has to send in full.
    unknown: Vec<String>,
    /// The last snapshot that the proxy acknowledged, or None if it is not known to have any.
    acknowledged_leader_only: Option<LeaderOnlySnapshot>,
    /// The snapshot that the proxy has once it receives the last reply.
    sent_leader_only: Option<SentSnapshot>,
}

impl ForwardingProxy {
    /// Processes a request's acknowledgement of an earlier reply.
    fn acknowledge(&mut self, request: &ForwardRequest, ready: bool) {
        let Some(reply) = self.recent_replies.iter().find(|reply| reply.sequence == request.acked) else {
            return;
        };
        // The proxy made this request after it had received that reply.
        if request.complete && ready {
            self.complete_until = self.complete_until.max(reply.sent_at);
        }
        if let Some(sent) = self.sent_leader_only.take_if(|sent| sent.sequence == request.acked) {
            self.acknowledged_leader_only = Some(sent.snapshot);
        }
    }

    fn is_leader_only_outdated(&self, version: u64) -> bool {
        self.acknowledged_leader_only.as_ref().is_none_or(|snapshot| snapshot.version != version)
    }

    /// Whether the open request has to be replied to immediately.
    fn is_urgent(&self, version: u64) -> bool {
        let has_unsent_change = self.is_leader_only_outdated(version) && self.sent_leader_only.is_none();
        !self.commands.is_empty() || !self.unknown.is_empty() || has_unsent_change
    }

    /// Adds the difference between `current` and the acknowledged snapshot to `reply`.
    fn add_leader_only_changes(&self, reply: &mut ForwardReply, current: &BTreeMap<String, bool>) {
        let empty = BTreeMap::new();
        let base = self.acknowledged_leader_only.as_ref().map_or(&empty, |snapshot| &snapshot.machines);
        reply.attend = current
            .iter()
            .filter(|(machine, has_kill)| base.get(*machine) != Some(has_kill))
            .map(|(machine, has_kill)| LeaderOnly { machine: machine.clone(), stops: *has_kill })
            .collect();
        reply.attend_no_more =
            base.keys().filter(|machine| !current.contains_key(*machine)).cloned().collect();
    }

    fn record_reply(&mut self, now: Time, sequence: u64, lease_s: f64) {
        self.lease_expires_at = self.lease_expires_at.max(now + lease_s.max(0.0) * CLOCK_DRIFT_FACTOR);
        self.recent_replies.push_back(SentReply { sequence, sent_at: now });
        if self.recent_replies.len() > MAX_RECENT_REPLIES {
            self.recent_replies.pop_front();
        }
    }

    /// Whether a worker's lease that was renewed at `renewed_at`, or later by this proxy, has
    /// certainly expired.
    fn has_certainly_expired(&self, renewed_at: Time, worker_lease_s: f64, now: Time) -> bool {
        renewed_at + worker_lease_s < self.complete_until
            || renewed_at.max(self.lease_expires_at) + worker_lease_s < now
    }
}

/// The leader's state of the proxies that serve heartbeats on its behalf.
#[derive(Default)]
pub struct HeartbeatForwarding {
    /// Observations of which nodes the workers reach, from the heartbeats received by each.
    pub observations: HeartbeatObservations,
    proxies: BTreeMap<ProxyId, ForwardingProxy>,
    /// Machines to which only the leader may respond; true if a task there has to be killed.
    leader_only: BTreeMap<String, bool>,
    /// Version of `leader_only`, which is incremented by each change.
    leader_only_version: u64,
}

impl HeartbeatForwarding {
    /// Registers a proxy's request, which stays open until a reply is due. `ready` states
    /// whether its heartbeats are processed. Returns false if there are too many proxies.
    pub fn on_request(
        &mut self,
        now: Time,
        request_id: RequestId,
        request: &ForwardRequest,
        ready: bool,
    ) -> bool {
        let source = ProxyId { node: request.node.clone(), incarnation: request.incarnation };
        if self.proxies.len() >= MAX_PROXIES && !self.proxies.contains_key(&source) {
            return false;
        }
        let proxy = self.proxies.entry(source).or_default();
        proxy.acknowledge(request, ready);
        proxy.open =
            Some(OpenForward { request: request_id, sequence: request.number, received_at: now, ready });
        true
    }

    /// Adds the response to a heartbeat that `source` forwarded to the next reply to `source`.
    pub fn add_commands(&mut self, source: &ProxyId, commands: MachineCommands) {
        if let Some(proxy) = self.proxies.get_mut(source) {
            proxy.commands.push(commands);
        }
    }

    /// Requests the full content of the heartbeat of `machine` from `source`.
    pub fn request_content(&mut self, source: &ProxyId, machine: &str) {
        if let Some(proxy) = self.proxies.get_mut(source) {
            proxy.unknown.push(machine.to_string());
        }
    }

    /// Sets whether only the leader may respond to `machine`. `has_pending_kill` is None if
    /// proxies may respond, and otherwise states whether a task there has to be killed.
    pub fn set_leader_only(&mut self, machine: &str, has_pending_kill: Option<bool>) {
        let previous = match has_pending_kill {
            Some(value) => self.leader_only.insert(machine.to_string(), value),
            None => self.leader_only.remove(machine),
        };
        self.leader_only_version += u64::from(previous != has_pending_kill);
    }

    /// Whether only the leader may respond to the heartbeats of `machine`.
    pub fn is_leader_only(&self, machine: &str) -> bool {
        self.leader_only.contains_key(machine)
    }

    /// Whether any request waits for its reply.
    pub fn has_open_request(&self) -> bool {
        self.proxies.values().any(|proxy| proxy.open.is_some())
    }

    /// Returns the replies that are due: those with commands or changes for the proxy, and
    /// those whose requests have waited for `max_wait_s`. Each delegates a lease of `lease_s`
    /// seconds under `fencing_token`.
    pub fn take_due_replies(
        &mut self,
        now: Time,
        fencing_token: u64,
        lease_s: f64,
        max_wait_s: f64,
    ) -> Vec<DueReply> {
        let mut due = Vec::new();
        for proxy in self.proxies.values_mut() {
            let is_urgent = proxy.is_urgent(self.leader_only_version);
            let is_due = |open: &mut OpenForward| is_urgent || now >= open.received_at + max_wait_s;
            let Some(open) = proxy.open.take_if(is_due) else { continue };
            let mut reply = ForwardReply {
                token: fencing_token,
                leave_ms: (lease_s.max(0.0) * 1000.0) as u32,
                ready: open.ready,
                afresh: proxy.acknowledged_leader_only.is_none(),
                unknown: std::mem::take(&mut proxy.unknown),
                orders: std::mem::take(&mut proxy.commands),
                ..ForwardReply::default()
            };
            if proxy.is_leader_only_outdated(self.leader_only_version) {
                proxy.add_leader_only_changes(&mut reply, &self.leader_only);
                let snapshot = LeaderOnlySnapshot {
                    version: self.leader_only_version,
                    machines: self.leader_only.clone(),
                };
                proxy.sent_leader_only = Some(SentSnapshot { sequence: open.sequence, snapshot });
            }
            proxy.record_reply(now, open.sequence, lease_s);
            due.push(DueReply { request: open.request, reply });
        }
        due
    }

    /// Takes the requests that wait for a reply. Called when this node no longer leads.
    pub fn take_waiting_requests(&mut self) -> Vec<RequestId> {
        self.proxies.values_mut().filter_map(|proxy| Some(proxy.open.take()?.request)).collect()
    }

    /// Whether the lease of a worker has certainly expired, if its last known renewal was at
    /// `renewed_at` and worker leases last for `worker_lease_s`.
    ///
    /// A proxy may have renewed the lease without this node's knowledge. Such a renewal is
    /// later than the time up to which the proxy has forwarded everything, so a lease that had
    /// expired by that time has not been renewed. It is not later than the end of the proxy's
    /// own lease.
    pub fn lease_certainly_expired(&self, renewed_at: Time, worker_lease_s: f64, now: Time) -> bool {
        renewed_at + worker_lease_s < now
            && self.proxies.values().all(|proxy| proxy.has_certainly_expired(renewed_at, worker_lease_s, now))
    }

    /// Returns the nodes whose delegated lease may be valid at `now`.
    pub fn nodes_that_may_respond(&self, now: Time) -> impl Iterator<Item = &str> {
        self.proxies
            .iter()
            .filter(move |(_, proxy)| now < proxy.lease_expires_at)
            .map(|(proxy_id, _)| proxy_id.node.as_str())
    }

    /// Forgets the proxies whose last responses can no longer keep a worker's lease valid, if
    /// worker leases last for `worker_lease_s`.
    pub fn forget_expired(&mut self, now: Time, worker_lease_s: f64) {
        self.proxies.retain(|_, proxy| proxy.open.is_some() || now < proxy.lease_expires_at + worker_lease_s);
    }
}
