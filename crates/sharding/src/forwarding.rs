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
    number: u64,
    came: Time,
    ready: bool,
}

#[derive(Default)]
struct ForwardingProxy {
    /// Until when it may answer reports, by this node's clock.
    leave_until: Time,
    /// Every report that it answered before then has come here.
    known_to: Time,
    /// Replies that it may have, with when they were sent.
    replies: VecDeque<(u64, Time)>,
    open: Option<OpenForward>,
    orders: Vec<MachineCommands>,
    unknown: Vec<String>,
    /// What it attends as of the last reply that it acknowledged; None: unknown.
    attends: Option<(u64, BTreeMap<String, bool>)>,
    /// What it attends once it has the last reply.
    told: Option<(u64, u64, BTreeMap<String, bool>)>,
}

/// Replies whose times are remembered; one is on its way at a time.
const MOST_REPLIES: usize = 8;
/// Nodes' starts that are remembered.
const MOST_RELAYS: usize = 64;

#[derive(Default)]
pub struct HeartbeatForwarding {
    /// Which nodes the workers reach, by the reports that come by each.
    pub hearing: HeartbeatObservations,
    map: BTreeMap<ProxyId, ForwardingProxy>,
    /// Machines that only the leader answers, and whether something is to be
    /// stopped there.
    attended: BTreeMap<String, bool>,
    /// Counts changes of `attended`.
    changes: u64,
}

impl HeartbeatForwarding {
    /// A node's request; false if there are too many nodes. `ready`: its
    /// reports are taken in.
    pub fn on_request(&mut self, now: Time, request: RequestId, r: &ForwardRequest, ready: bool) -> bool {
        let source = (r.node.clone(), r.incarnation);
        if self.map.len() >= MOST_RELAYS && !self.map.contains_key(&source) {
            return false;
        }
        let relay = self.map.entry(source).or_default();
        if let Some((_, sent)) = relay.replies.iter().find(|(n, _)| *n == r.acked) {
            // It made this request after that reply had come.
            if r.complete && ready {
                relay.known_to = relay.known_to.max(*sent);
            }
            if let Some((_, change, told)) = relay.told.take_if(|(n, ..)| *n == r.acked) {
                relay.attends = Some((change, told));
            }
        }
        relay.open = Some(OpenForward { request, number: r.number, came: now, ready });
        true
    }

    /// The answer to a report that came by `source`.
    pub fn order(&mut self, source: &ProxyId, orders: MachineCommands) {
        if let Some(r) = self.map.get_mut(source) {
            r.orders.push(orders);
        }
    }

    /// `machine`'s content is wanted in full.
    pub fn want(&mut self, source: &ProxyId, machine: &str) {
        if let Some(r) = self.map.get_mut(source) {
            r.unknown.push(machine.to_string());
        }
    }

    /// Whether only the leader answers `machine`'s reports, and whether
    /// something is to be stopped there.
    pub fn attend(&mut self, machine: &str, stops: Option<bool>) {
        let before = match stops {
            Some(s) => self.attended.insert(machine.to_string(), s),
            None => self.attended.remove(machine),
        };
        self.changes += u64::from(before != stops);
    }

    /// Whether only the leader answers `machine`'s reports.
    pub fn attends(&self, machine: &str) -> bool {
        self.attended.contains_key(machine)
    }

    /// Whether a request waits for its reply.
    pub fn open(&self) -> bool {
        self.map.values().any(|r| r.open.is_some())
    }

    /// Replies that are due: those with something to tell, and those that have
    /// waited for `hold`. Each gives leave for `leave` seconds.
    pub fn due(&mut self, now: Time, token: u64, leave: Time, hold: Time) -> Vec<DueReply> {
        let mut due = Vec::new();
        for relay in self.map.values_mut() {
            let Some(open) = &relay.open else { continue };
            let news = relay.attends.as_ref().is_none_or(|(change, _)| *change != self.changes);
            let urgent =
                !relay.orders.is_empty() || !relay.unknown.is_empty() || news && relay.told.is_none();
            if !urgent && now < open.came + hold {
                continue;
            }
            let Some(open) = relay.open.take() else { continue };
            let mut reply = ForwardReply {
                token,
                leave_ms: (leave.max(0.0) * 1000.0) as u32,
                ready: open.ready,
                afresh: relay.attends.is_none(),
                unknown: std::mem::take(&mut relay.unknown),
                orders: std::mem::take(&mut relay.orders),
                ..ForwardReply::default()
            };
            if news {
                let empty = BTreeMap::new();
                let base = relay.attends.as_ref().map_or(&empty, |(_, a)| a);
                let added = self.attended.iter().filter(|(m, s)| base.get(*m) != Some(s));
                reply.attend = added.map(|(m, s)| LeaderOnly { machine: m.clone(), stops: *s }).collect();
                let gone = base.keys().filter(|m| !self.attended.contains_key(*m));
                reply.attend_no_more = gone.cloned().collect();
                relay.told = Some((open.number, self.changes, self.attended.clone()));
            }
            relay.leave_until = relay.leave_until.max(now + leave.max(0.0) * DRIFT);
            relay.replies.push_back((open.number, now));
            if relay.replies.len() > MOST_REPLIES {
                relay.replies.pop_front();
            }
            due.push(DueReply { request: open.request, reply });
        }
        due
    }

    /// Requests that wait, for a node that leads no longer.
    pub fn waiting(&mut self) -> Vec<RequestId> {
        self.map.values_mut().filter_map(|r| Some(r.open.take()?.request)).collect()
    }

    /// Whether the lease of a worker that was last known to be answered at
    /// `answered` is surely over, leases ending `over` after that. Another node
    /// may have answered it unbeknown to this one: not before `known_to`, or the
    /// lease was over already then, and not after its leave.
    pub fn surely_over(&self, answered: Time, over: Time, now: Time) -> bool {
        let by =
            |r: &ForwardingProxy| answered + over < r.known_to || answered.max(r.leave_until) + over < now;
        answered + over < now && self.map.values().all(by)
    }

    /// Nodes that may answer reports now.
    pub fn serving(&self, now: Time) -> impl Iterator<Item = &str> {
        self.map.iter().filter(move |(_, r)| now < r.leave_until).map(|((node, _), _)| node.as_str())
    }

    /// Forgets nodes whose last answers can matter no more, leases ending
    /// `over` after them.
    pub fn sweep(&mut self, now: Time, over: Time) {
        self.map.retain(|_, r| r.open.is_some() || now < r.leave_until + over);
    }
}
