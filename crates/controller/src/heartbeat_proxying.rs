//! Reports through every node: the gateway here while another leads, and the
//! leader's dealings with the gateways. `docs/gateways.md` argues why it is safe.

use crate::heartbeats::PendingHeartbeat;
use crate::leader::Role;
use crate::machine::{Machine, MachinePhase};
use crate::{CallContext, Controller, Output, RequestId, Time};
use protocol::job::Health;
use protocol::peer::{ForwardReply, ForwardRequest, ForwardedHeartbeat, MachineCommands, TaskCommand};
use protocol::worker::{split_task, Heartbeat, HeartbeatResponse, Redirect, TaskState};
use sharding::{ObservationWindows, ProxyAction, ProxyId, ShardMember};
use std::collections::{BTreeMap, BTreeSet};
use tracing::{info, warn};

/// Where a worker finds room.
pub enum WorkerAdmission {
    Here,
    At(String),
    Nowhere,
}

/// How a report came, and so how its answer goes.
pub enum ReplyRoute {
    Direct(RequestId),
    /// By that node; the answer is for the report of that session and number.
    Relayed(ProxyId, u64, u64),
}

impl Controller {
    pub(crate) fn redirect(&mut self, req: RequestId, report_to: Option<String>) {
        self.answer(req, 421, protocol::encode(&Redirect { report_to }));
    }

    /// A report at a node that does not lead.
    pub(crate) fn report_at_gateway(&mut self, req: RequestId, report: Heartbeat) {
        let known = self.gateway.knows(&report.machine);
        match self.find_room(known) {
            WorkerAdmission::Here => {}
            WorkerAdmission::At(node) => return self.redirect(req, Some(node)),
            WorkerAdmission::Nowhere => return self.refuse(req, 503, "no room for more workers"),
        }
        if self.gateway.may_go(self.now, &report) {
            let (own, others) = self.members();
            if let Some(node) = self.spread.better(self.now, &report.machine, &own, &others) {
                self.gateway.sent_on(self.now, &report.machine);
                self.workers_here = self.workers_here.saturating_sub(1);
                return self.redirect(req, Some(node));
            }
        }
        self.gateway.on_report(self.now, req, report);
        self.carry_acts();
    }

    /// This node leads from now on: what waits in its gateway is its own.
    pub(crate) fn take_over_reports(&mut self) {
        // Counted anew as they report.
        self.workers_here = 0;
        for (request, report) in self.gateway.hand_over() {
            self.on_own_report(request, &report);
        }
    }

    pub(crate) fn gateway_on_time(&mut self) {
        if self.is_leader() {
            return;
        }
        // The state service says who leads, but a node that misses it hears of a
        // newer leader from that one itself.
        let fresh = |at: f64| self.now - at < self.d.leader_ttl_s;
        let claims = self.peers.values().filter(|(v, at)| v.token > 0 && fresh(*at));
        let claimed = claims.map(|(v, _)| (v.node.clone(), v.token)).max_by_key(|(_, t)| *t);
        let known = self.known_leader.clone().filter(|(n, _)| *n != self.settings.node);
        let leader = match (known, claimed) {
            (Some(k), Some(c)) if c.1 > k.1 => Some(c),
            (None, Some(c)) if c.1 > self.last_token => Some(c),
            (k, _) => k,
        };
        self.last_token = self.last_token.max(self.known_leader.as_ref().map_or(0, |l| l.1));
        self.gateway.follow(self.now, leader);
        self.gateway.on_time(self.now);
        self.carry_acts();
        self.tell_leave();
    }

    /// A line when leave comes and goes.
    fn tell_leave(&mut self) {
        let serves = self.gateway.serves(self.now);
        if serves != self.served {
            self.served = serves;
            let (leader, token) = self.gateway.leader().cloned().unwrap_or_default();
            if serves {
                info!(leader, token, "answering reports on the leader's leave");
            } else {
                warn!(leader, token, "no leave from the leader, workers are held or sent on");
            }
        }
    }

    fn carry_acts(&mut self) {
        for act in self.gateway.take_acts() {
            match act {
                ProxyAction::Answer(req, answer) => self.answer(req, 200, protocol::encode(&answer)),
                ProxyAction::Elsewhere(req, node) => self.redirect(req, node),
                ProxyAction::Refuse(req, why) => self.refuse(req, 503, why),
                ProxyAction::Call(node, request) => {
                    let id = self.call_id(CallContext::Relay);
                    self.out.push(Output::Relay(id, node, request));
                }
            }
        }
    }

    pub(crate) fn on_relay_reply(&mut self, reply: Option<ForwardReply>) {
        self.gateway.on_reply(self.now, reply);
        self.carry_acts();
    }

    /// Another node passes reports on.
    pub(crate) fn on_relay_request(&mut self, req: RequestId, r: ForwardRequest) {
        let now = self.now;
        let known = self.settings.peers.iter().any(|p| p.node == r.node);
        if known {
            self.presence.started(now, &r.node, r.incarnation);
        }
        let Role::Leader(l) = &mut self.role else {
            return self.out.push(Output::RelayReply(req, ForwardReply::default()));
        };
        // What was meant for an earlier leadership may be minutes old.
        let ready = l.loaded && r.token == l.token;
        if !known || !l.relays.on_request(now, req, &r, ready) {
            return self.out.push(Output::RelayReply(req, ForwardReply::default()));
        }
        if !ready {
            return;
        }
        let source: ProxyId = (r.node, r.incarnation);
        for entry in r.entries {
            self.on_entry(&source, entry);
        }
    }

    fn on_entry(&mut self, source: &ProxyId, entry: ForwardedHeartbeat) {
        let (now, close, gap) = (self.now, self.d.heard_s, self.d.report_gap_s);
        let came = now - f64::from(entry.age_ms) / 1000.0;
        let Role::Leader(l) = &mut self.role else { return };
        let (token, held, place) = (l.token, entry.held, (entry.session, entry.seq));
        let machine = entry.machine.clone();
        let mut known = l.machines.get_mut(&machine);
        if let Some(m) = &mut known {
            // Its node may have answered it, whatever is known of what it says.
            m.beat(place, came, true);
        }
        // The report of which this one says the same, if it does.
        let base = entry.content.is_none().then_some((entry.session, entry.same_as));
        let report = match (base, known) {
            (None, _) => entry.report(),
            // Most of all: its tasks go on as they did.
            (Some(base), Some(m)) if m.content == base && !held && m.calm(now, close) => {
                if place > m.newest {
                    m.newest = place;
                    m.reported_at(came);
                    m.stays = false;
                    l.relays.hearing.heard(came, &source.0, &m.zone, gap);
                }
                return;
            }
            (Some(base), Some(m)) if m.content == base => Some(m.repeated(place.1)),
            (Some(_), Some(m)) if place <= m.newest => None,
            (Some(_), _) => {
                l.relays.want(source, &machine);
                None
            }
        };
        let Some(report) = report.filter(|r| r.token <= token) else { return };
        if !self.receive(&report, Some(source.clone()), came) {
            return;
        }
        if let (Some(base), Role::Leader(l)) = (base, &mut self.role) {
            if let Some(m) = l.machines.get_mut(&machine) {
                m.content = base;
            }
        }
        if held {
            self.hold_report(&report, ReplyRoute::Relayed(source.clone(), place.0, place.1));
        } else {
            self.attend_to(&machine);
        }
    }

    /// Answers a report that was held here.
    pub(crate) fn answer_report(&mut self, machine: &str, held: PendingHeartbeat, answer: HeartbeatResponse) {
        match held.way {
            ReplyRoute::Direct(request) => self.answer(request, 200, protocol::encode(&answer)),
            // Its node answers an idle machine by itself when its time is over.
            ReplyRoute::Relayed(..) if held.idle && answer.commands.is_empty() => {}
            ReplyRoute::Relayed(source, session, seq) => {
                let orders = answer.commands.iter().map(TaskCommand::from).collect();
                let Role::Leader(l) = &mut self.role else { return };
                l.relays
                    .order(&source, MachineCommands { machine: machine.to_string(), session, seq, orders });
            }
        }
    }

    /// Sees to it that only the leader answers `machine` while it has something
    /// to tell there.
    pub(crate) fn attend_to(&mut self, machine: &str) {
        let now = self.now;
        let Role::Leader(l) = &mut self.role else { return };
        let mut stops = None;
        let on = l.tasks_on(machine);
        let places = on.len();
        for (id, task) in on {
            let Some(job) = l.jobs.get(&id) else { continue };
            let Some(p) = job.places.get(&task) else { continue };
            if p.stopping.is_some() {
                stops = Some(true);
            } else if p.seen.is_none() && !p.inherited && stops.is_none() {
                stops = Some(false);
            }
        }
        if let Some(m) = l.machines.get(machine) {
            let placed = |id: &str, n: u32, attempt: u64| {
                let place = l.jobs.get(id).and_then(|j| j.places.get(&n));
                place.is_some_and(|p| p.machine == machine && p.attempt == attempt)
            };
            let live = m.tasks.iter().filter(|t| t.state != TaskState::Exited);
            let stray = |t: &&protocol::worker::TaskStatus| {
                split_task(&t.task).is_some_and(|(id, n)| !placed(id, n, t.attempt))
            };
            if live.filter(stray).count() > 0 {
                stops = Some(true);
            }
        }
        l.relays.attend(machine, stops);
        let settled = |m: &Machine| m.content_token == l.token && places == m.tasks.len();
        if let Some(m) = l.machines.get_mut(machine) {
            m.calm_at = (stops.is_none() && settled(m)).then_some(now);
        }
    }

    /// Replies that are due to the gateways.
    pub(crate) fn relays_on_time(&mut self) {
        let now = self.now;
        let (leave_s, hold) = (self.d.leave_s, self.d.relay_s);
        let Role::Leader(l) = &mut self.role else { return };
        // Their answers end with this leader's own, at the latest.
        let own = if self.guards.grace { l.authority.renews_until() - now } else { leave_s };
        let token = l.token;
        for due in l.relays.due(now, token, leave_s.min(own), hold) {
            self.out.push(Output::RelayReply(due.request, due.reply));
        }
    }

    /// Longest usual time between two views of a node.
    pub(crate) fn view_gap_s(&self) -> f64 {
        2.0 * self.d.renew_s + self.d.relay_timeout_s
    }

    /// A worker's report had come to `via`, or to this node, at `came`.
    pub(crate) fn heard_by(&mut self, via: Option<&ProxyId>, zone: &str, came: Time) {
        let gap = self.d.report_gap_s;
        let Role::Leader(l) = &mut self.role else { return };
        let node = via.map_or(&self.settings.node, |(node, _)| node);
        l.relays.hearing.heard(came, node, zone, gap);
    }

    /// Silence after which machines are given up, by zone: longer while nodes are away
    /// from this one or from the zone's workers, which may have to try one after the
    /// other. (With two of three nodes cut off, machines that went on were once
    /// given up; with four of five cut off from the workers alone, a quarter of them.)
    pub(crate) fn patience_s(&self) -> BTreeMap<String, f64> {
        let Role::Leader(l) = &self.role else { return BTreeMap::new() };
        let (now, d) = (self.now, &self.d);
        let own = &self.settings.node;
        let peers = self.settings.peers.iter().map(|p| p.node.as_str());
        let nodes: Vec<&str> = peers.chain([own.as_str()]).collect();
        let gap = self.view_gap_s();
        let here = |node: &str| node == own || self.presence.here(now, gap, d.silent_s, node);
        let longest = self.tour_of_all_s();
        let spans = ObservationWindows { gap: d.report_gap_s, within: d.silent_s, lately: longest };
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        for m in l.machines.values().filter(|m| m.life == MachinePhase::Up) {
            *zones.entry(&m.zone).or_default() += 1;
        }
        let patience = |(zone, up): (&str, usize)| {
            let part = up / nodes.len();
            let reached =
                |node: &&&str| here(node) && l.relays.hearing.reached(now, node, zone, part, &spans);
            let away = nodes.len() - nodes.iter().filter(reached).count();
            (zone.to_string(), d.silent_s.max(spans.gap + d.tour_s * (away + 1) as f64))
        };
        zones.into_iter().map(patience).collect()
    }

    /// A worker that goes on has come to a node that hears it by then, whichever that is.
    pub(crate) fn tour_of_all_s(&self) -> Time {
        self.d.report_gap_s + self.d.tour_s * (self.settings.peers.len() + 2) as f64
    }

    /// This node and the others that answer reports, as far as workers go.
    pub(crate) fn members(&self) -> (ShardMember, Vec<ShardMember>) {
        let fresh = self.view_gap_s();
        let others = self.peers.values().filter(|(v, at)| v.serves && self.now - at < fresh);
        let others = others.map(|(v, _)| ShardMember {
            node: v.node.clone(),
            workers: v.workers,
            room: v.room,
            weight: f64::from(v.weight) / 1000.0,
        });
        let own = ShardMember {
            node: self.settings.node.clone(),
            workers: self.workers_here,
            room: self.d.worker_room,
            weight: self.lateness.weight(),
        };
        (own, others.collect())
    }

    /// Counts the workers that stay here.
    pub(crate) fn count_workers(&mut self) {
        let since = self.now - self.d.heard_s;
        self.newcomers = 0;
        self.workers_here = match &self.role {
            Role::Leader(l) => {
                let here = l.machines.values().filter(|m| m.stays && m.reported.is_some_and(|t| t > since));
                here.count() as u32
            }
            Role::Follower => self.gateway.workers_since(since),
        };
    }

    /// What `/up` tells of the room for workers.
    pub(crate) fn health(&self) -> Health {
        let (own, others) = self.members();
        let ceiling = match &self.role {
            Role::Leader(_) => self.ceiling(),
            Role::Follower => own.room + others.iter().map(|m| m.room).sum::<u32>(),
        };
        Health { workers: own.workers, room: own.room, ceiling }
    }

    /// Where a worker goes that finds no room here, if it does. Who is here stays,
    /// and where there is room nowhere it is answered all the same, up to the
    /// part that is the users'.
    pub(crate) fn find_room(&mut self, known: bool) -> WorkerAdmission {
        if known {
            return WorkerAdmission::Here;
        }
        if self.workers_here >= self.d.worker_room {
            let (_, others) = self.members();
            if let Some(m) = self.spread.roomiest(self.now, &others) {
                return WorkerAdmission::At(m.node.clone());
            }
        }
        if self.workers_here + self.newcomers >= self.d.worker_most {
            return WorkerAdmission::Nowhere;
        }
        self.newcomers += 1;
        WorkerAdmission::Here
    }

    /// The node that had better take a worker which has just reported here, and
    /// for which there is nothing to do.
    pub(crate) fn better_for(&mut self, report: &Heartbeat) -> Option<String> {
        let ended = report.tasks.iter().any(|t| t.state == TaskState::Exited);
        if ended || report.notice_s.is_some() {
            return None;
        }
        let (own, others) = self.members();
        let node = self.spread.better(self.now, &report.machine, &own, &others)?;
        self.attend_to(&report.machine);
        let Role::Leader(l) = &mut self.role else { return None };
        if l.relays.attends(&report.machine) {
            return None;
        }
        if let Some(m) = l.machines.get_mut(&report.machine) {
            m.stays = false;
        }
        self.workers_here = self.workers_here.saturating_sub(1);
        Some(node)
    }

    /// Machines that the nodes can take: those that answer reports, or did
    /// lately, and this one.
    pub(crate) fn ceiling(&self) -> u32 {
        let Role::Leader(l) = &self.role else { return 0 };
        let lately = self.now - self.settings.params.workers.lease_s;
        let serving: BTreeSet<&str> = l.relays.serving(lately).collect();
        let rooms = serving.iter().filter_map(|n| self.peers.get(*n)).map(|(v, _)| v.room);
        self.d.worker_room + rooms.sum::<u32>()
    }

    /// Machines that may be rented yet.
    pub(crate) fn room_left(&mut self) -> u32 {
        let ceiling = self.ceiling();
        let Role::Leader(l) = &mut self.role else { return 0 };
        let there = l.machines.values().filter(|m| m.life != MachinePhase::Leaving).count() as u32;
        if ceiling != l.ceiling_told && there + 50 >= ceiling {
            l.ceiling_told = ceiling;
            info!(ceiling, machines = there, "the nodes can take no more machines than that");
        }
        ceiling.saturating_sub(there)
    }
}
