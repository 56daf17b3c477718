//! A node that takes workers' reports for the leader.

use crate::{RequestId, Time};
use protocol::peer::{ForwardReply, ForwardRequest, ForwardedHeartbeat, HeartbeatContent, MachineCommands};
use protocol::worker::{Heartbeat, HeartbeatResponse, TaskState};
use settings::Timing;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What the node has to do.
#[derive(Debug, PartialEq)]
pub enum ProxyAction {
    /// Answer a report with 200.
    Respond(RequestId, HeartbeatResponse),
    /// Send the worker on, to that node if one is named.
    Redirect(RequestId, Option<String>),
    /// Answer with 503.
    Reject(RequestId, &'static str),
    /// Ask the leader, by name; the reply goes to [`HeartbeatProxy::on_reply`].
    Forward(String, ForwardRequest),
}

/// Guards that tests turn off to show that the simulation notices.
#[derive(Debug, Clone, Copy)]
pub struct ProxySafetyChecks {
    /// Answer only while the leave lasts.
    pub lease_expiry: bool,
    /// Commands go out with the token of the leader that gave them, and to the
    /// report that they were given for.
    pub fencing: bool,
}

impl Default for ProxySafetyChecks {
    fn default() -> Self {
        ProxySafetyChecks { lease_expiry: true, fencing: true }
    }
}

/// Reports that one request passes on at most, and about how many bytes.
const MOST_ENTRIES: usize = 400;
const MOST_BYTES: usize = 48 * 1024;
/// Most workers that a node remembers: those that came within the last twelve reports.
const MOST_WORKERS: usize = 20_000;

/// A report whose answer waits.
struct HeldHeartbeat {
    request: RequestId,
    received_at: Time,
    /// Its key in `HeartbeatProxy::ends`.
    deadline_ms: u64,
}

/// A report's place in its worker's order.
type HeartbeatPosition = (u64, u64);

struct ProxiedWorker {
    /// The newest report, without its tally.
    heartbeat: Heartbeat,
    position: HeartbeatPosition,
    /// Since which report its content has been the same.
    unchanged_since: HeartbeatPosition,
    /// The leadership that has the content in full, as of that report.
    forwarded: Option<(u64, HeartbeatPosition)>,
    /// When that report came.
    received_at: Time,
    /// The same, but earlier for a worker that was sent on.
    last_seen_at: Time,
    held: Option<HeldHeartbeat>,
    /// It has yet to be passed on.
    queued: bool,
}

struct DelegatedLease {
    fencing_token: u64,
    expires_at: Time,
    /// The leader takes reports in.
    leader_ready: bool,
}

struct InFlightForward {
    sequence: u64,
    sent_at: Time,
    /// What it passed on, and whether in full.
    forwarded: Vec<(String, HeartbeatPosition, bool)>,
}

pub struct HeartbeatProxy {
    pub checks: ProxySafetyChecks,
    node: String,
    incarnation: u64,
    timing: Timing,
    /// Whom to ask, and since when it is known.
    leader: Option<(String, u64)>,
    leader_since: Time,
    lease: Option<DelegatedLease>,
    workers: BTreeMap<String, ProxiedWorker>,
    forward_queue: VecDeque<String>,
    /// Machines that only the leader answers; true: something is to be stopped.
    leader_only: BTreeMap<String, bool>,
    /// Ends of held reports' time, in milliseconds.
    hold_deadlines: BTreeSet<(u64, String)>,
    in_flight: Option<InFlightForward>,
    forward_sequence: u64,
    acknowledged_sequence: u64,
    next_forward_at: Time,
    failures: u32,
    last_sweep_at: Time,
    actions: Vec<ProxyAction>,
}

fn millis(t: Time) -> u64 {
    (t.max(0.0) * 1000.0) as u64
}

fn same_content(a: &Heartbeat, b: &Heartbeat) -> bool {
    a.epoch == b.epoch
        && a.fencing_token == b.fencing_token
        && a.addr == b.addr
        && a.machine_type == b.machine_type
        && a.zone == b.zone
        && a.spot == b.spot
        && a.notice_s.is_none()
        && b.notice_s.is_none()
        && a.tasks == b.tasks
}

impl HeartbeatProxy {
    /// `incarnation` has to differ between two starts of the same node.
    pub fn new(node: &str, incarnation: u64, d: Timing) -> Self {
        HeartbeatProxy {
            checks: ProxySafetyChecks::default(),
            node: node.to_string(),
            incarnation,
            timing: d,
            leader: None,
            leader_since: 0.0,
            lease: None,
            workers: BTreeMap::new(),
            forward_queue: VecDeque::new(),
            leader_only: BTreeMap::new(),
            hold_deadlines: BTreeSet::new(),
            in_flight: None,
            forward_sequence: 0,
            acknowledged_sequence: 0,
            next_forward_at: 0.0,
            failures: 0,
            last_sweep_at: 0.0,
            actions: Vec::new(),
        }
    }

    /// What is to be done since the last time.
    pub fn take_actions(&mut self) -> Vec<ProxyAction> {
        std::mem::take(&mut self.actions)
    }

    /// Whether it answers reports now.
    pub fn may_respond(&self, now: Time) -> bool {
        self.valid_lease(now).is_some()
    }

    pub fn leader(&self) -> Option<&(String, u64)> {
        self.leader.as_ref()
    }

    /// Whether a report waits here for the leader, so that time matters.
    pub fn has_pending(&self) -> bool {
        !self.hold_deadlines.is_empty() || !self.forward_queue.is_empty()
    }

    /// Workers that reported here since `since`.
    pub fn count_workers_since(&self, since: Time) -> u32 {
        self.workers.values().filter(|w| w.last_seen_at > since).count() as u32
    }

    pub fn knows(&self, machine: &str) -> bool {
        self.workers.contains_key(machine)
    }

    fn valid_lease(&self, now: Time) -> Option<&DelegatedLease> {
        self.lease.as_ref().filter(|l| now < l.expires_at || !self.checks.lease_expiry)
    }

    /// The leader as last heard of, by name and token; None while there is none.
    pub fn set_leader(&mut self, now: Time, leader: Option<(String, u64)>) {
        if self.leader == leader {
            return;
        }
        self.leader = leader;
        self.leader_since = now;
        self.failures = 0;
        self.next_forward_at = now;
    }

    /// Gives all reports that wait here back, for a node that has become the
    /// leader itself.
    pub fn take_held_heartbeats(&mut self) -> Vec<(RequestId, Heartbeat)> {
        self.lease = None;
        self.leader = None;
        self.in_flight = None;
        self.hold_deadlines.clear();
        self.forward_queue.clear();
        self.leader_only.clear();
        let workers = std::mem::take(&mut self.workers);
        workers.into_values().filter_map(|w| Some((w.held?.request, w.heartbeat))).collect()
    }

    /// Whether there is nothing for the worker here, so that another node may as
    /// well have it: the leader has had all that it says.
    pub fn may_be_moved(&self, now: Time, report: &Heartbeat) -> bool {
        let (Some(w), Some(l)) = (self.workers.get(&report.machine), self.valid_lease(now)) else {
            return false;
        };
        let known =
            w.forwarded.is_some_and(|(token, at)| token == l.fencing_token && w.unchanged_since <= at);
        let ended = report.tasks.iter().any(|t| t.state == TaskState::Exited);
        known
            && !ended
            && same_content(&w.heartbeat, report)
            && !self.leader_only.contains_key(&report.machine)
    }

    /// `machine`'s worker was sent on. What it was answered is still passed on.
    pub fn on_worker_moved(&mut self, now: Time, machine: &str) {
        if let Some(w) = self.workers.get_mut(machine) {
            w.last_seen_at = w.last_seen_at.min(now - self.timing.heartbeat_validity_s);
            w.forwarded = None;
        }
    }

    /// A worker's report.
    pub fn on_heartbeat(&mut self, now: Time, request: RequestId, report: Heartbeat) {
        let place = (report.epoch, report.sequence);
        let machine = report.machine.clone();
        let full = self.workers.len() >= MOST_WORKERS && !self.workers.contains_key(&machine);
        if full {
            return self.actions.push(ProxyAction::Reject(request, "too many workers"));
        }
        let w = self.workers.entry(machine.clone()).or_insert_with(|| ProxiedWorker {
            heartbeat: report.clone(),
            position: (0, 0),
            unchanged_since: place,
            forwarded: None,
            received_at: now,
            last_seen_at: now,
            held: None,
            queued: false,
        });
        if place <= w.position {
            // Its sender has given it up.
            return self.actions.push(ProxyAction::Reject(request, "a newer report came"));
        }
        if let Some(old) = w.held.take() {
            self.hold_deadlines.remove(&(old.deadline_ms, machine.clone()));
            self.actions.push(ProxyAction::Reject(old.request, "a newer report came"));
        }
        // It has been elsewhere meanwhile: the leader is asked again.
        if now - w.last_seen_at > self.timing.heartbeat_validity_s {
            w.forwarded = None;
        }
        if !same_content(&w.heartbeat, &report) {
            w.unchanged_since = place;
        }
        (w.position, w.received_at, w.last_seen_at, w.heartbeat) = (place, now, now, report);
        self.enqueue(&machine);
        let Some(l) = self.valid_lease(now) else { return self.hold_without_lease(now, request, &machine) };
        if !l.leader_ready || !self.needs_leader(&self.workers[&machine], l) {
            let token = l.fencing_token;
            return self.actions.push(ProxyAction::Respond(
                request,
                HeartbeatResponse { fencing_token: token, commands: Vec::new() },
            ));
        }
        let idle = self.workers[&machine].heartbeat.tasks.iter().all(|t| t.state == TaskState::Exited);
        // The leader answers busy machines after half of that at the latest.
        let until = now
            + if idle { self.timing.idle_heartbeat_hold_s } else { self.timing.busy_heartbeat_hold_s * 2.0 };
        self.hold(machine, request, now, until);
    }

    fn hold(&mut self, machine: String, request: RequestId, came: Time, until: Time) {
        let end = millis(until);
        if let Some(w) = self.workers.get_mut(&machine) {
            w.held = Some(HeldHeartbeat { request, received_at: came, deadline_ms: end });
            self.hold_deadlines.insert((end, machine));
        }
    }

    /// Whether the leader has to see the report before it is answered: all but
    /// a busy machine's that says what the leader has had already.
    fn needs_leader(&self, w: &ProxiedWorker, l: &DelegatedLease) -> bool {
        let known =
            w.forwarded.is_some_and(|(token, at)| token == l.fencing_token && w.unchanged_since <= at);
        let quiet = w.heartbeat.tasks.iter().all(|t| t.state != TaskState::Exited);
        !known
            || w.heartbeat.tasks.is_empty()
            || !quiet
            || self.leader_only.contains_key(&w.heartbeat.machine)
    }

    fn enqueue(&mut self, machine: &str) {
        if let Some(w) = self.workers.get_mut(machine) {
            if !w.queued {
                w.queued = true;
                self.forward_queue.push_back(machine.to_string());
            }
        }
    }

    /// Whether leave may come soon: there is no leader, or it is new, or reads its records yet.
    fn lease_may_follow(&self, now: Time) -> bool {
        let new = now - self.leader_since < self.timing.worker_timeout_s / 2.0;
        self.leader.is_none() || new || self.leader_is_recovering()
    }

    /// Whether the leader has answered, but takes no reports in yet.
    fn leader_is_recovering(&self) -> bool {
        let token = self.leader.as_ref().map(|(_, token)| *token);
        self.lease.as_ref().is_some_and(|l| !l.leader_ready && Some(l.fencing_token) == token)
    }

    fn hold_without_lease(&mut self, now: Time, request: RequestId, machine: &str) {
        if !self.lease_may_follow(now) {
            return self.actions.push(ProxyAction::Redirect(request, self.leader_name()));
        }
        let until = now + self.max_hold_s();
        self.hold(machine.to_string(), request, now, until);
    }

    fn leader_name(&self) -> Option<String> {
        self.leader.as_ref().map(|(n, _)| n.clone()).filter(|n| *n != self.node)
    }

    /// No report waits longer, or its worker would give it up.
    fn max_hold_s(&self) -> Time {
        self.timing.recovery_hold_s
    }

    pub fn tick(&mut self, now: Time) {
        self.expire_holds(now);
        self.forward(now);
        if now - self.last_sweep_at > self.timing.heartbeat_validity_s {
            self.last_sweep_at = now;
            let since = now - 4.0 * self.timing.heartbeat_validity_s;
            self.workers.retain(|_, w| w.last_seen_at > since || w.held.is_some() || w.queued);
        }
    }

    fn expire_holds(&mut self, now: Time) {
        while self.hold_deadlines.first().is_some_and(|(end, _)| *end <= millis(now)) {
            let Some((_, machine)) = self.hold_deadlines.pop_first() else { return };
            let leave = self.valid_lease(now).map(|l| l.fencing_token);
            let stops = self.leader_only.get(&machine).copied();
            let Some(h) = self.workers.get_mut(&machine).and_then(|w| w.held.take()) else { continue };
            let last = h.received_at + self.max_hold_s();
            match (leave, stops) {
                // Something there is to be stopped: only the leader renews it.
                (Some(_), Some(true)) => {
                    self.actions.push(ProxyAction::Reject(h.request, "the leader has not answered"))
                }
                (Some(token), _) => {
                    let answer = HeartbeatResponse { fencing_token: token, commands: Vec::new() };
                    self.actions.push(ProxyAction::Respond(h.request, answer));
                }
                (None, _) if self.lease_may_follow(now) && h.deadline_ms < millis(last) => {
                    self.hold(machine, h.request, h.received_at, last);
                }
                // All of them at the leader would not help it.
                (None, _) if self.leader_is_recovering() => {
                    self.actions.push(ProxyAction::Reject(h.request, "the leader reads its records"));
                }
                (None, _) => self.actions.push(ProxyAction::Redirect(h.request, self.leader_name())),
            }
        }
    }

    /// Sends the next request, if none is on its way.
    fn forward(&mut self, now: Time) {
        let Some((leader, token)) = self.leader.clone() else { return };
        if leader == self.node || self.in_flight.is_some() || now < self.next_forward_at {
            return;
        }
        // Reports are of use to the leader that gave leave and takes them in.
        let ready = self.lease.as_ref().is_some_and(|l| l.leader_ready && l.fencing_token == token);
        let has_news = ready && !self.forward_queue.is_empty();
        if !has_news && now < self.next_forward_at + self.timing.forward_interval_s {
            return;
        }
        let mut entries = Vec::new();
        let mut passed = Vec::new();
        let mut size = 0;
        while ready && entries.len() < MOST_ENTRIES && size < MOST_BYTES {
            let Some(machine) = self.forward_queue.pop_front() else { break };
            let Some(w) = self.workers.get_mut(&machine) else { continue };
            w.queued = false;
            let base =
                w.forwarded.filter(|(t, at)| *t == token && w.unchanged_since <= *at).map(|(_, at)| at.1);
            let content = base.is_none().then(|| HeartbeatContent::from(&w.heartbeat));
            size += machine.len() + 12 + content.as_ref().map_or(0, |c| 80 + 32 * c.tasks.len());
            passed.push((machine.clone(), w.position, content.is_some()));
            entries.push(ForwardedHeartbeat {
                machine,
                session: w.position.0,
                seq: w.position.1,
                same_as: base.unwrap_or(0),
                held: w.held.is_some(),
                content,
                age_ms: millis(now - w.received_at) as u32,
            });
        }
        self.forward_sequence += 1;
        self.in_flight =
            Some(InFlightForward { sequence: self.forward_sequence, sent_at: now, forwarded: passed });
        let request = ForwardRequest {
            node: self.node.clone(),
            incarnation: self.incarnation,
            number: self.forward_sequence,
            acked: self.acknowledged_sequence,
            token,
            complete: ready && self.forward_queue.is_empty(),
            entries,
        };
        self.actions.push(ProxyAction::Forward(leader, request));
    }

    /// The reply to the request on its way; None: it failed or came too late.
    pub fn on_reply(&mut self, now: Time, reply: Option<ForwardReply>) {
        let Some(call) = self.in_flight.take() else { return };
        let current = self.lease.as_ref().map_or(0, |l| l.fencing_token);
        let exact = self.checks.fencing;
        let Some(reply) = reply.filter(|r| r.token > 0 && (r.token >= current || !exact)) else {
            // What it passed on may not have come: all of it goes again.
            for (machine, ..) in &call.forwarded {
                self.enqueue(machine);
            }
            self.failures += 1;
            let pause = self.timing.forward_interval_s * f64::from(1u32 << self.failures.min(5));
            self.next_forward_at = now + pause.min(self.timing.renewal_interval_s);
            return;
        };
        self.failures = 0;
        self.acknowledged_sequence = call.sequence;
        self.next_forward_at = now.max(call.sent_at + self.timing.forward_interval_s / 5.0);
        let first =
            reply.token > current || !self.lease.as_ref().is_some_and(|l| l.leader_ready) && reply.ready;
        if reply.token > current || reply.afresh {
            self.leader_only.clear();
        }
        // Counted from when it was asked for: the leader gave it later.
        let until = call.sent_at + f64::from(reply.leave_ms) / 1000.0;
        let until = self
            .lease
            .as_ref()
            .filter(|l| l.fencing_token == reply.token)
            .map_or(until, |l| l.expires_at.max(until));
        self.lease =
            Some(DelegatedLease { fencing_token: reply.token, expires_at: until, leader_ready: reply.ready });
        self.leader_only.extend(reply.attend.into_iter().map(|a| (a.machine, a.stops)));
        for machine in &reply.attend_no_more {
            self.leader_only.remove(machine);
        }
        for (machine, place, in_full) in call.forwarded {
            if !reply.ready {
                self.enqueue(&machine);
            } else if let Some(w) = self.workers.get_mut(&machine).filter(|_| in_full) {
                w.forwarded = Some((reply.token, place));
            }
        }
        for machine in &reply.unknown {
            if let Some(w) = self.workers.get_mut(machine) {
                w.forwarded = None;
            }
            self.enqueue(machine);
        }
        if first {
            self.on_lease_granted(now);
        }
        for orders in reply.orders {
            self.deliver_commands(now, reply.token, orders);
        }
    }

    /// A leader's first leave: what waits is answered, or passed on to it.
    fn on_lease_granted(&mut self, now: Time) {
        let Some((token, ready)) = self.valid_lease(now).map(|l| (l.fencing_token, l.leader_ready)) else {
            return;
        };
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for machine in names {
            if ready {
                // All that is known here, and not only what reports next: the
                // new leader sees the fleet at once.
                self.enqueue(&machine);
                continue;
            }
            if let Some(h) = self.workers.get_mut(&machine).and_then(|w| w.held.take()) {
                self.hold_deadlines.remove(&(h.deadline_ms, machine));
                self.actions.push(ProxyAction::Respond(
                    h.request,
                    HeartbeatResponse { fencing_token: token, commands: Vec::new() },
                ));
            }
        }
    }

    /// The leader's answer to one report, if that still waits here.
    fn deliver_commands(&mut self, now: Time, token: u64, orders: MachineCommands) {
        let exact = self.checks.fencing;
        let live = self.valid_lease(now).is_some_and(|l| l.fencing_token == token || !exact);
        let token = match &self.leader {
            Some((_, newest)) if !exact => *newest,
            _ => token,
        };
        let Some(w) = self.workers.get_mut(&orders.machine) else { return };
        if exact && w.position != (orders.session, orders.seq) {
            return;
        }
        let Some(h) = w.held.take() else { return };
        self.hold_deadlines.remove(&(h.deadline_ms, orders.machine.clone()));
        self.actions.push(if live {
            ProxyAction::Respond(h.request, orders.into_response(token))
        } else {
            ProxyAction::Redirect(h.request, self.leader_name())
        });
    }
}
