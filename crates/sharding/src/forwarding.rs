//! The leader's side of heartbeat forwarding: what it knows of each proxy, and the
//! leases that it delegates to them.

use crate::{HeartbeatObservations, ProxyId, RequestId, Time};
use protocol::peer::{ForwardReply, ForwardRequest, LeaderOnly, MachineCommands};
use settings::CLOCK_DRIFT_FACTOR;
use std::collections::{BTreeMap, VecDeque};

/// Replies whose times are remembered; one request of a proxy is open at a time.
const MAX_RECENT_REPLIES: usize = 8;
/// Proxies, counting each start of a node, that are remembered.
const MAX_PROXIES: usize = 64;

/// A reply that is due, for the request that waits for it.
#[derive(Debug, PartialEq)]
pub struct DueReply {
    /// The request that waits.
    pub request: RequestId,
    /// What to reply.
    pub reply: ForwardReply,
}

/// A request that waits until there is something to reply.
struct OpenForward {
    request: RequestId,
    sequence: u64,
    received_at: Time,
    /// Its heartbeats were processed.
    ready: bool,
}

struct SentReply {
    sequence: u64,
    sent_at: Time,
}

/// The machines that only the leader answers, at some version; true if a task there
/// has to be killed.
struct LeaderOnlySnapshot {
    version: u64,
    machines: BTreeMap<String, bool>,
}

/// A snapshot that was sent and not acknowledged yet.
struct SentSnapshot {
    sequence: u64,
    snapshot: LeaderOnlySnapshot,
}

#[derive(Default)]
struct ForwardingProxy {
    /// Until when it may answer heartbeats, by this node's clock.
    lease_expires_at: Time,
    /// Every heartbeat that it answered before then has been forwarded.
    complete_until: Time,
    /// Replies that it may have received.
    recent_replies: VecDeque<SentReply>,
    open: Option<OpenForward>,
    commands: Vec<MachineCommands>,
    /// Machines whose content is wanted in full.
    unknown: Vec<String>,
    /// The snapshot of the last reply that it acknowledged; None: unknown.
    acknowledged_leader_only: Option<LeaderOnlySnapshot>,
    /// The snapshot that it has once the last reply arrives.
    sent_leader_only: Option<SentSnapshot>,
}

impl ForwardingProxy {
    /// Takes in that the proxy has received the reply of that sequence number.
    fn acknowledge(&mut self, request: &ForwardRequest, ready: bool) {
        let Some(reply) = self.recent_replies.iter().find(|reply| reply.sequence == request.acked) else {
            return;
        };
        // It made this request after that reply had arrived.
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

    /// Whether the open request is to be replied to at once.
    fn is_urgent(&self, version: u64) -> bool {
        let has_unsent_change = self.is_leader_only_outdated(version) && self.sent_leader_only.is_none();
        !self.commands.is_empty() || !self.unknown.is_empty() || has_unsent_change
    }

    /// Adds to `reply` how `current` differs from what the proxy has acknowledged.
    fn add_leader_only_changes(&self, reply: &mut ForwardReply, current: &BTreeMap<String, bool>) {
        let empty = BTreeMap::new();
        let base = self.acknowledged_leader_only.as_ref().map_or(&empty, |snapshot| &snapshot.machines);
        reply.attend = current
            .iter()
            .filter(|(machine, stops)| base.get(*machine) != Some(stops))
            .map(|(machine, stops)| LeaderOnly { machine: machine.clone(), stops: *stops })
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

    /// Whether a lease that a worker got by `renewed_at` or through this proxy is over.
    fn surely_expired(&self, renewed_at: Time, worker_lease_s: f64, now: Time) -> bool {
        renewed_at + worker_lease_s < self.complete_until
            || renewed_at.max(self.lease_expires_at) + worker_lease_s < now
    }
}

/// What the leader knows of the proxies that serve heartbeats for it.
#[derive(Default)]
pub struct HeartbeatForwarding {
    /// Which nodes the workers reach, by the heartbeats that come through each.
    pub observations: HeartbeatObservations,
    proxies: BTreeMap<ProxyId, ForwardingProxy>,
    /// Machines that only the leader answers; true if a task there has to be killed.
    leader_only: BTreeMap<String, bool>,
    /// Counts changes of `leader_only`.
    leader_only_version: u64,
}

impl HeartbeatForwarding {
    /// Registers a proxy's request, which stays open until a reply is due. `ready`: its
    /// heartbeats are processed. Returns false if there are too many proxies.
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

    /// Adds the response to a heartbeat that came through `source` to its next reply.
    pub fn add_commands(&mut self, source: &ProxyId, commands: MachineCommands) {
        if let Some(proxy) = self.proxies.get_mut(source) {
            proxy.commands.push(commands);
        }
    }

    /// Asks `source` for the full content of `machine`'s heartbeat.
    pub fn request_content(&mut self, source: &ProxyId, machine: &str) {
        if let Some(proxy) = self.proxies.get_mut(source) {
            proxy.unknown.push(machine.to_string());
        }
    }

    /// Sets whether only the leader may answer `machine`'s heartbeats, and if so,
    /// whether a task there has to be killed.
    pub fn set_leader_only(&mut self, machine: &str, has_pending_kill: Option<bool>) {
        let before = match has_pending_kill {
            Some(value) => self.leader_only.insert(machine.to_string(), value),
            None => self.leader_only.remove(machine),
        };
        self.leader_only_version += u64::from(before != has_pending_kill);
    }

    /// Whether only the leader may answer `machine`'s heartbeats.
    pub fn is_leader_only(&self, machine: &str) -> bool {
        self.leader_only.contains_key(machine)
    }

    /// Whether a request waits for its reply.
    pub fn has_open_request(&self) -> bool {
        self.proxies.values().any(|proxy| proxy.open.is_some())
    }

    /// Replies that are due: those with news for the proxy, and those that have waited
    /// for `max_wait_s`. Each delegates a lease for `lease_s` seconds under `fencing_token`.
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

    /// Takes the requests that wait, for a node that no longer leads.
    pub fn take_waiting_requests(&mut self) -> Vec<RequestId> {
        self.proxies.values_mut().filter_map(|proxy| Some(proxy.open.take()?.request)).collect()
    }

    /// Whether the lease of a worker that was last known to be renewed at `renewed_at`
    /// has surely expired, worker leases being `worker_lease_s` long.
    ///
    /// A proxy may have renewed it without this node's knowledge: not before the time up
    /// to which it has forwarded everything (if the lease was over by then, it had not
    /// been renewed), and not after the proxy's own lease.
    pub fn lease_surely_expired(&self, renewed_at: Time, worker_lease_s: f64, now: Time) -> bool {
        renewed_at + worker_lease_s < now
            && self.proxies.values().all(|proxy| proxy.surely_expired(renewed_at, worker_lease_s, now))
    }

    /// Nodes whose delegated lease may be valid at `now`.
    pub fn nodes_that_may_respond(&self, now: Time) -> impl Iterator<Item = &str> {
        self.proxies
            .iter()
            .filter(move |(_, proxy)| now < proxy.lease_expires_at)
            .map(|(proxy_id, _)| proxy_id.node.as_str())
    }

    /// Forgets proxies whose last responses no longer matter, worker leases being
    /// `worker_lease_s` long.
    pub fn forget_expired(&mut self, now: Time, worker_lease_s: f64) {
        self.proxies.retain(|_, proxy| proxy.open.is_some() || now < proxy.lease_expires_at + worker_lease_s);
    }
}
