//! The leader's side: what it knows of the nodes that answer for it.

use crate::{HeartbeatObservations, RequestId, Time};
use protocol::peer::{ForwardReply, ForwardRequest, LeaderOnly, MachineCommands};
use settings::DRIFT;
use std::collections::{BTreeMap, VecDeque};

/// A start of a node's process.
pub type ProxyId = (String, u64);

/// A reply that is due, for the request that waits for it.
#[derive(Debug, PartialEq)]
pub struct DueReply {
    pub request: RequestId,
    pub reply: ForwardReply,
}

/// A request that waits for something to tell.
struct OpenForward {
    request: RequestId,
    sequence: u64,
    received_at: Time,
    ready: bool,
}

#[derive(Default)]
struct ForwardingProxy {
    /// Until when it may answer reports, by this node's clock.
    lease_expires_at: Time,
    /// Every report that it answered before then has come here.
    known_until: Time,
    /// Replies that it may have, with when they were sent.
    recent_replies: VecDeque<(u64, Time)>,
    open: Option<OpenForward>,
    commands: Vec<MachineCommands>,
    unknown: Vec<String>,
    /// What it attends as of the last reply that it acknowledged; None: unknown.
    acknowledged_leader_only: Option<(u64, BTreeMap<String, bool>)>,
    /// What it attends once it has the last reply.
    sent_leader_only: Option<(u64, u64, BTreeMap<String, bool>)>,
}

/// Replies whose times are remembered; one is on its way at a time.
const MOST_REPLIES: usize = 8;
/// Nodes' starts that are remembered.
const MOST_RELAYS: usize = 64;

#[derive(Default)]
pub struct HeartbeatForwarding {
    /// Which nodes the workers reach, by the reports that come by each.
    pub observations: HeartbeatObservations,
    proxies: BTreeMap<ProxyId, ForwardingProxy>,
    /// Machines that only the leader answers, and whether something is to be
    /// stopped there.
    leader_only: BTreeMap<String, bool>,
    /// Counts changes of `attended`.
    leader_only_version: u64,
}

impl HeartbeatForwarding {
    /// A node's request; false if there are too many nodes. `ready`: its
    /// reports are taken in.
    pub fn on_request(&mut self, now: Time, request: RequestId, r: &ForwardRequest, ready: bool) -> bool {
        let source = (r.node.clone(), r.incarnation);
        if self.proxies.len() >= MOST_RELAYS && !self.proxies.contains_key(&source) {
            return false;
        }
        let relay = self.proxies.entry(source).or_default();
        if let Some((_, sent)) = relay.recent_replies.iter().find(|(n, _)| *n == r.acked) {
            // It made this request after that reply had come.
            if r.complete && ready {
                relay.known_until = relay.known_until.max(*sent);
            }
            if let Some((_, change, told)) = relay.sent_leader_only.take_if(|(n, ..)| *n == r.acked) {
                relay.acknowledged_leader_only = Some((change, told));
            }
        }
        relay.open = Some(OpenForward { request, sequence: r.number, received_at: now, ready });
        true
    }

    /// The answer to a report that came by `source`.
    pub fn add_commands(&mut self, source: &ProxyId, orders: MachineCommands) {
        if let Some(r) = self.proxies.get_mut(source) {
            r.commands.push(orders);
        }
    }

    /// `machine`'s content is wanted in full.
    pub fn request_content(&mut self, source: &ProxyId, machine: &str) {
        if let Some(r) = self.proxies.get_mut(source) {
            r.unknown.push(machine.to_string());
        }
    }

    /// Whether only the leader answers `machine`'s reports, and whether
    /// something is to be stopped there.
    pub fn set_leader_only(&mut self, machine: &str, stops: Option<bool>) {
        let before = match stops {
            Some(s) => self.leader_only.insert(machine.to_string(), s),
            None => self.leader_only.remove(machine),
        };
        self.leader_only_version += u64::from(before != stops);
    }

    /// Whether only the leader answers `machine`'s reports.
    pub fn is_leader_only(&self, machine: &str) -> bool {
        self.leader_only.contains_key(machine)
    }

    /// Whether a request waits for its reply.
    pub fn has_open_request(&self) -> bool {
        self.proxies.values().any(|r| r.open.is_some())
    }

    /// Replies that are due: those with something to tell, and those that have
    /// waited for `hold`. Each gives leave for `leave` seconds.
    pub fn take_due_replies(&mut self, now: Time, token: u64, leave: Time, hold: Time) -> Vec<DueReply> {
        let mut due = Vec::new();
        for relay in self.proxies.values_mut() {
            let Some(open) = &relay.open else { continue };
            let news = relay
                .acknowledged_leader_only
                .as_ref()
                .is_none_or(|(change, _)| *change != self.leader_only_version);
            let urgent = !relay.commands.is_empty()
                || !relay.unknown.is_empty()
                || news && relay.sent_leader_only.is_none();
            if !urgent && now < open.received_at + hold {
                continue;
            }
            let Some(open) = relay.open.take() else { continue };
            let mut reply = ForwardReply {
                token,
                leave_ms: (leave.max(0.0) * 1000.0) as u32,
                ready: open.ready,
                afresh: relay.acknowledged_leader_only.is_none(),
                unknown: std::mem::take(&mut relay.unknown),
                orders: std::mem::take(&mut relay.commands),
                ..ForwardReply::default()
            };
            if news {
                let empty = BTreeMap::new();
                let base = relay.acknowledged_leader_only.as_ref().map_or(&empty, |(_, a)| a);
                let added = self.leader_only.iter().filter(|(m, s)| base.get(*m) != Some(s));
                reply.attend = added.map(|(m, s)| LeaderOnly { machine: m.clone(), stops: *s }).collect();
                let gone = base.keys().filter(|m| !self.leader_only.contains_key(*m));
                reply.attend_no_more = gone.cloned().collect();
                relay.sent_leader_only =
                    Some((open.sequence, self.leader_only_version, self.leader_only.clone()));
            }
            relay.lease_expires_at = relay.lease_expires_at.max(now + leave.max(0.0) * DRIFT);
            relay.recent_replies.push_back((open.sequence, now));
            if relay.recent_replies.len() > MOST_REPLIES {
                relay.recent_replies.pop_front();
            }
            due.push(DueReply { request: open.request, reply });
        }
        due
    }

    /// Requests that wait, for a node that leads no longer.
    pub fn take_waiting_requests(&mut self) -> Vec<RequestId> {
        self.proxies.values_mut().filter_map(|r| Some(r.open.take()?.request)).collect()
    }

    /// Whether the lease of a worker that was last known to be answered at
    /// `answered` is surely over, leases ending `over` after that. Another node
    /// may have answered it unbeknown to this one: not before `known_to`, or the
    /// lease was over already then, and not after its leave.
    pub fn lease_surely_expired(&self, answered: Time, over: Time, now: Time) -> bool {
        let by = |r: &ForwardingProxy| {
            answered + over < r.known_until || answered.max(r.lease_expires_at) + over < now
        };
        answered + over < now && self.proxies.values().all(by)
    }

    /// Nodes that may answer reports now.
    pub fn nodes_that_may_respond(&self, now: Time) -> impl Iterator<Item = &str> {
        self.proxies.iter().filter(move |(_, r)| now < r.lease_expires_at).map(|((node, _), _)| node.as_str())
    }

    /// Forgets nodes whose last answers can matter no more, leases ending
    /// `over` after them.
    pub fn forget_expired(&mut self, now: Time, over: Time) {
        self.proxies.retain(|_, r| r.open.is_some() || now < r.lease_expires_at + over);
    }
}
