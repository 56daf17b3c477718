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
    Answer(RequestId, HeartbeatResponse),
    /// Send the worker on, to that node if one is named.
    Elsewhere(RequestId, Option<String>),
    /// Answer with 503.
    Refuse(RequestId, &'static str),
    /// Ask the leader, by name; the reply goes to [`HeartbeatProxy::on_reply`].
    Call(String, ForwardRequest),
}

/// Guards that tests turn off to show that the simulation notices.
#[derive(Debug, Clone, Copy)]
pub struct ProxySafetyChecks {
    /// Answer only while the leave lasts.
    pub leave: bool,
    /// Commands go out with the token of the leader that gave them, and to the
    /// report that they were given for.
    pub token: bool,
}

impl Default for ProxySafetyChecks {
    fn default() -> Self {
        ProxySafetyChecks { leave: true, token: true }
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
    came: Time,
    /// Its key in `HeartbeatProxy::ends`.
    end: u64,
}

/// A report's place in its worker's order.
type HeartbeatPosition = (u64, u64);

struct ProxiedWorker {
    /// The newest report, without its tally.
    report: Heartbeat,
    newest: HeartbeatPosition,
    /// Since which report its content has been the same.
    unchanged_since: HeartbeatPosition,
    /// The leadership that has the content in full, as of that report.
    passed: Option<(u64, HeartbeatPosition)>,
    /// When that report came.
    came: Time,
    /// The same, but earlier for a worker that was sent on.
    heard: Time,
    held: Option<HeldHeartbeat>,
    /// It has yet to be passed on.
    queued: bool,
}

struct DelegatedLease {
    token: u64,
    until: Time,
    /// The leader takes reports in.
    ready: bool,
}

struct InFlightForward {
    number: u64,
    sent: Time,
    /// What it passed on, and whether in full.
    passed: Vec<(String, HeartbeatPosition, bool)>,
}

pub struct HeartbeatProxy {
    pub guards: ProxySafetyChecks,
    node: String,
    incarnation: u64,
    d: Timing,
    /// Whom to ask, and since when it is known.
    leader: Option<(String, u64)>,
    leader_since: Time,
    leave: Option<DelegatedLease>,
    workers: BTreeMap<String, ProxiedWorker>,
    queue: VecDeque<String>,
    /// Machines that only the leader answers; true: something is to be stopped.
    attended: BTreeMap<String, bool>,
    /// Ends of held reports' time, in milliseconds.
    ends: BTreeSet<(u64, String)>,
    call: Option<InFlightForward>,
    number: u64,
    acked: u64,
    next_call: Time,
    failures: u32,
    swept: Time,
    out: Vec<ProxyAction>,
}

fn millis(t: Time) -> u64 {
    (t.max(0.0) * 1000.0) as u64
}

fn same_content(a: &Heartbeat, b: &Heartbeat) -> bool {
    a.session == b.session
        && a.token == b.token
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
            guards: ProxySafetyChecks::default(),
            node: node.to_string(),
            incarnation,
            d,
            leader: None,
            leader_since: 0.0,
            leave: None,
            workers: BTreeMap::new(),
            queue: VecDeque::new(),
            attended: BTreeMap::new(),
            ends: BTreeSet::new(),
            call: None,
            number: 0,
            acked: 0,
            next_call: 0.0,
            failures: 0,
            swept: 0.0,
            out: Vec::new(),
        }
    }

    /// What is to be done since the last time.
    pub fn take_acts(&mut self) -> Vec<ProxyAction> {
        std::mem::take(&mut self.out)
    }

    /// Whether it answers reports now.
    pub fn serves(&self, now: Time) -> bool {
        self.leave_now(now).is_some()
    }

    pub fn leader(&self) -> Option<&(String, u64)> {
        self.leader.as_ref()
    }

    /// Whether a report waits here for the leader, so that time matters.
    pub fn waits(&self) -> bool {
        !self.ends.is_empty() || !self.queue.is_empty()
    }

    /// Workers that reported here since `since`.
    pub fn workers_since(&self, since: Time) -> u32 {
        self.workers.values().filter(|w| w.heard > since).count() as u32
    }

    pub fn knows(&self, machine: &str) -> bool {
        self.workers.contains_key(machine)
    }

    fn leave_now(&self, now: Time) -> Option<&DelegatedLease> {
        self.leave.as_ref().filter(|l| now < l.until || !self.guards.leave)
    }

    /// The leader as last heard of, by name and token; None while there is none.
    pub fn follow(&mut self, now: Time, leader: Option<(String, u64)>) {
        if self.leader == leader {
            return;
        }
        self.leader = leader;
        self.leader_since = now;
        self.failures = 0;
        self.next_call = now;
    }

    /// Gives all reports that wait here back, for a node that has become the
    /// leader itself.
    pub fn hand_over(&mut self) -> Vec<(RequestId, Heartbeat)> {
        self.leave = None;
        self.leader = None;
        self.call = None;
        self.ends.clear();
        self.queue.clear();
        self.attended.clear();
        let workers = std::mem::take(&mut self.workers);
        workers.into_values().filter_map(|w| Some((w.held?.request, w.report))).collect()
    }

    /// Whether there is nothing for the worker here, so that another node may as
    /// well have it: the leader has had all that it says.
    pub fn may_go(&self, now: Time, report: &Heartbeat) -> bool {
        let (Some(w), Some(l)) = (self.workers.get(&report.machine), self.leave_now(now)) else {
            return false;
        };
        let known = w.passed.is_some_and(|(token, at)| token == l.token && w.unchanged_since <= at);
        let ended = report.tasks.iter().any(|t| t.state == TaskState::Exited);
        known && !ended && same_content(&w.report, report) && !self.attended.contains_key(&report.machine)
    }

    /// `machine`'s worker was sent on. What it was answered is still passed on.
    pub fn sent_on(&mut self, now: Time, machine: &str) {
        if let Some(w) = self.workers.get_mut(machine) {
            w.heard = w.heard.min(now - self.d.heard_s);
            w.passed = None;
        }
    }

    /// A worker's report.
    pub fn on_report(&mut self, now: Time, request: RequestId, report: Heartbeat) {
        let place = (report.session, report.seq);
        let machine = report.machine.clone();
        let full = self.workers.len() >= MOST_WORKERS && !self.workers.contains_key(&machine);
        if full {
            return self.out.push(ProxyAction::Refuse(request, "too many workers"));
        }
        let w = self.workers.entry(machine.clone()).or_insert_with(|| ProxiedWorker {
            report: report.clone(),
            newest: (0, 0),
            unchanged_since: place,
            passed: None,
            came: now,
            heard: now,
            held: None,
            queued: false,
        });
        if place <= w.newest {
            // Its sender has given it up.
            return self.out.push(ProxyAction::Refuse(request, "a newer report came"));
        }
        if let Some(old) = w.held.take() {
            self.ends.remove(&(old.end, machine.clone()));
            self.out.push(ProxyAction::Refuse(old.request, "a newer report came"));
        }
        // It has been elsewhere meanwhile: the leader is asked again.
        if now - w.heard > self.d.heard_s {
            w.passed = None;
        }
        if !same_content(&w.report, &report) {
            w.unchanged_since = place;
        }
        (w.newest, w.came, w.heard, w.report) = (place, now, now, report);
        self.enqueue(&machine);
        let Some(l) = self.leave_now(now) else { return self.hold_without_leave(now, request, &machine) };
        if !l.ready || !self.asks_leader(&self.workers[&machine], l) {
            let token = l.token;
            return self
                .out
                .push(ProxyAction::Answer(request, HeartbeatResponse { token, commands: Vec::new() }));
        }
        let idle = self.workers[&machine].report.tasks.iter().all(|t| t.state == TaskState::Exited);
        // The leader answers busy machines after half of that at the latest.
        let until = now + if idle { self.d.idle_hold_s } else { self.d.hold_s * 2.0 };
        self.hold(machine, request, now, until);
    }

    fn hold(&mut self, machine: String, request: RequestId, came: Time, until: Time) {
        let end = millis(until);
        if let Some(w) = self.workers.get_mut(&machine) {
            w.held = Some(HeldHeartbeat { request, came, end });
            self.ends.insert((end, machine));
        }
    }

    /// Whether the leader has to see the report before it is answered: all but
    /// a busy machine's that says what the leader has had already.
    fn asks_leader(&self, w: &ProxiedWorker, l: &DelegatedLease) -> bool {
        let known = w.passed.is_some_and(|(token, at)| token == l.token && w.unchanged_since <= at);
        let quiet = w.report.tasks.iter().all(|t| t.state != TaskState::Exited);
        !known || w.report.tasks.is_empty() || !quiet || self.attended.contains_key(&w.report.machine)
    }

    fn enqueue(&mut self, machine: &str) {
        if let Some(w) = self.workers.get_mut(machine) {
            if !w.queued {
                w.queued = true;
                self.queue.push_back(machine.to_string());
            }
        }
    }

    /// Whether leave may come soon: there is no leader, or it is new, or reads its records yet.
    fn leave_may_come(&self, now: Time) -> bool {
        let new = now - self.leader_since < self.d.worker_timeout_s / 2.0;
        self.leader.is_none() || new || self.leader_reads()
    }

    /// Whether the leader has answered, but takes no reports in yet.
    fn leader_reads(&self) -> bool {
        let token = self.leader.as_ref().map(|(_, token)| *token);
        self.leave.as_ref().is_some_and(|l| !l.ready && Some(l.token) == token)
    }

    fn hold_without_leave(&mut self, now: Time, request: RequestId, machine: &str) {
        if !self.leave_may_come(now) {
            return self.out.push(ProxyAction::Elsewhere(request, self.leader_name()));
        }
        let until = now + self.longest();
        self.hold(machine.to_string(), request, now, until);
    }

    fn leader_name(&self) -> Option<String> {
        self.leader.as_ref().map(|(n, _)| n.clone()).filter(|n| *n != self.node)
    }

    /// No report waits longer, or its worker would give it up.
    fn longest(&self) -> Time {
        self.d.early_s
    }

    pub fn on_time(&mut self, now: Time) {
        self.end_holds(now);
        self.ask(now);
        if now - self.swept > self.d.heard_s {
            self.swept = now;
            let since = now - 4.0 * self.d.heard_s;
            self.workers.retain(|_, w| w.heard > since || w.held.is_some() || w.queued);
        }
    }

    fn end_holds(&mut self, now: Time) {
        while self.ends.first().is_some_and(|(end, _)| *end <= millis(now)) {
            let Some((_, machine)) = self.ends.pop_first() else { return };
            let leave = self.leave_now(now).map(|l| l.token);
            let stops = self.attended.get(&machine).copied();
            let Some(h) = self.workers.get_mut(&machine).and_then(|w| w.held.take()) else { continue };
            let last = h.came + self.longest();
            match (leave, stops) {
                // Something there is to be stopped: only the leader renews it.
                (Some(_), Some(true)) => {
                    self.out.push(ProxyAction::Refuse(h.request, "the leader has not answered"))
                }
                (Some(token), _) => {
                    let answer = HeartbeatResponse { token, commands: Vec::new() };
                    self.out.push(ProxyAction::Answer(h.request, answer));
                }
                (None, _) if self.leave_may_come(now) && h.end < millis(last) => {
                    self.hold(machine, h.request, h.came, last);
                }
                // All of them at the leader would not help it.
                (None, _) if self.leader_reads() => {
                    self.out.push(ProxyAction::Refuse(h.request, "the leader reads its records"));
                }
                (None, _) => self.out.push(ProxyAction::Elsewhere(h.request, self.leader_name())),
            }
        }
    }

    /// Sends the next request, if none is on its way.
    fn ask(&mut self, now: Time) {
        let Some((leader, token)) = self.leader.clone() else { return };
        if leader == self.node || self.call.is_some() || now < self.next_call {
            return;
        }
        // Reports are of use to the leader that gave leave and takes them in.
        let ready = self.leave.as_ref().is_some_and(|l| l.ready && l.token == token);
        let has_news = ready && !self.queue.is_empty();
        if !has_news && now < self.next_call + self.d.relay_s {
            return;
        }
        let mut entries = Vec::new();
        let mut passed = Vec::new();
        let mut size = 0;
        while ready && entries.len() < MOST_ENTRIES && size < MOST_BYTES {
            let Some(machine) = self.queue.pop_front() else { break };
            let Some(w) = self.workers.get_mut(&machine) else { continue };
            w.queued = false;
            let base = w.passed.filter(|(t, at)| *t == token && w.unchanged_since <= *at).map(|(_, at)| at.1);
            let content = base.is_none().then(|| HeartbeatContent::from(&w.report));
            size += machine.len() + 12 + content.as_ref().map_or(0, |c| 80 + 32 * c.tasks.len());
            passed.push((machine.clone(), w.newest, content.is_some()));
            entries.push(ForwardedHeartbeat {
                machine,
                session: w.newest.0,
                seq: w.newest.1,
                same_as: base.unwrap_or(0),
                held: w.held.is_some(),
                content,
                age_ms: millis(now - w.came) as u32,
            });
        }
        self.number += 1;
        self.call = Some(InFlightForward { number: self.number, sent: now, passed });
        let request = ForwardRequest {
            node: self.node.clone(),
            incarnation: self.incarnation,
            number: self.number,
            acked: self.acked,
            token,
            complete: ready && self.queue.is_empty(),
            entries,
        };
        self.out.push(ProxyAction::Call(leader, request));
    }

    /// The reply to the request on its way; None: it failed or came too late.
    pub fn on_reply(&mut self, now: Time, reply: Option<ForwardReply>) {
        let Some(call) = self.call.take() else { return };
        let current = self.leave.as_ref().map_or(0, |l| l.token);
        let exact = self.guards.token;
        let Some(reply) = reply.filter(|r| r.token > 0 && (r.token >= current || !exact)) else {
            // What it passed on may not have come: all of it goes again.
            for (machine, ..) in &call.passed {
                self.enqueue(machine);
            }
            self.failures += 1;
            let pause = self.d.relay_s * f64::from(1u32 << self.failures.min(5));
            self.next_call = now + pause.min(self.d.renew_s);
            return;
        };
        self.failures = 0;
        self.acked = call.number;
        self.next_call = now.max(call.sent + self.d.relay_s / 5.0);
        let first = reply.token > current || !self.leave.as_ref().is_some_and(|l| l.ready) && reply.ready;
        if reply.token > current || reply.afresh {
            self.attended.clear();
        }
        // Counted from when it was asked for: the leader gave it later.
        let until = call.sent + f64::from(reply.leave_ms) / 1000.0;
        let until =
            self.leave.as_ref().filter(|l| l.token == reply.token).map_or(until, |l| l.until.max(until));
        self.leave = Some(DelegatedLease { token: reply.token, until, ready: reply.ready });
        self.attended.extend(reply.attend.into_iter().map(|a| (a.machine, a.stops)));
        for machine in &reply.attend_no_more {
            self.attended.remove(machine);
        }
        for (machine, place, in_full) in call.passed {
            if !reply.ready {
                self.enqueue(&machine);
            } else if let Some(w) = self.workers.get_mut(&machine).filter(|_| in_full) {
                w.passed = Some((reply.token, place));
            }
        }
        for machine in &reply.unknown {
            if let Some(w) = self.workers.get_mut(machine) {
                w.passed = None;
            }
            self.enqueue(machine);
        }
        if first {
            self.leave_begins(now);
        }
        for orders in reply.orders {
            self.carry_back(now, reply.token, orders);
        }
    }

    /// A leader's first leave: what waits is answered, or passed on to it.
    fn leave_begins(&mut self, now: Time) {
        let Some((token, ready)) = self.leave_now(now).map(|l| (l.token, l.ready)) else { return };
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for machine in names {
            if ready {
                // All that is known here, and not only what reports next: the
                // new leader sees the fleet at once.
                self.enqueue(&machine);
                continue;
            }
            if let Some(h) = self.workers.get_mut(&machine).and_then(|w| w.held.take()) {
                self.ends.remove(&(h.end, machine));
                self.out
                    .push(ProxyAction::Answer(h.request, HeartbeatResponse { token, commands: Vec::new() }));
            }
        }
    }

    /// The leader's answer to one report, if that still waits here.
    fn carry_back(&mut self, now: Time, token: u64, orders: MachineCommands) {
        let exact = self.guards.token;
        let live = self.leave_now(now).is_some_and(|l| l.token == token || !exact);
        let token = match &self.leader {
            Some((_, newest)) if !exact => *newest,
            _ => token,
        };
        let Some(w) = self.workers.get_mut(&orders.machine) else { return };
        if exact && w.newest != (orders.session, orders.seq) {
            return;
        }
        let Some(h) = w.held.take() else { return };
        self.ends.remove(&(h.end, orders.machine.clone()));
        self.out.push(if live {
            ProxyAction::Answer(h.request, orders.answer(token))
        } else {
            ProxyAction::Elsewhere(h.request, self.leader_name())
        });
    }
}
