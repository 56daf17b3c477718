//! Reports through every node: the gateway here while another leads, and the
//! leader's dealings with the gateways. `docs/gateways.md` argues why it is safe.

use crate::agents::heartbeats::PendingHeartbeat;
use crate::leader::state::Role;
use crate::model::machine::{Machine, MachinePhase};
use crate::{CallContext, Controller, Output, RequestId, Time};
use protocol::job::Health;
use protocol::peer::{ForwardReply, ForwardRequest, ForwardedHeartbeat, MachineCommands, TaskCommand};
use protocol::worker::{split_task, Heartbeat, HeartbeatResponse, Redirect, TaskState};
use sharding::{ObservationWindows, ProxyAction, ProxyId, ShardMember};
use std::collections::{BTreeMap, BTreeSet};
use tracing::{info, warn};

/// Where a worker finds room.
pub enum WorkerAdmission {
    Accept,
    Redirect(String),
    Reject,
}

/// How a report came, and so how its answer goes.
pub enum ReplyRoute {
    Direct(RequestId),
    /// By that node; the answer is for the report of that session and number.
    Forwarded(ProxyId, u64, u64),
}

impl Controller {
    pub(crate) fn redirect(&mut self, request_id: RequestId, report_to: Option<String>) {
        self.respond(request_id, 421, protocol::encode(&Redirect { report_to }));
    }

    /// A report at a node that does not lead.
    pub(crate) fn on_proxied_heartbeat(&mut self, request_id: RequestId, heartbeat: Heartbeat) {
        let known = self.sharding.proxy.knows(&heartbeat.machine);
        match self.admit_worker(known) {
            WorkerAdmission::Accept => {}
            WorkerAdmission::Redirect(node) => return self.redirect(request_id, Some(node)),
            WorkerAdmission::Reject => {
                return self.respond_error(request_id, 503, "no room for more workers")
            }
        }
        if self.sharding.proxy.may_be_moved(self.now, &heartbeat) {
            let (own, others) = self.shard_members();
            if let Some(node) =
                self.sharding.balancer.pick_better_node(self.now, &heartbeat.machine, &own, &others)
            {
                self.sharding.proxy.on_worker_moved(self.now, &heartbeat.machine);
                self.sharding.worker_count = self.sharding.worker_count.saturating_sub(1);
                return self.redirect(request_id, Some(node));
            }
        }
        self.sharding.proxy.on_heartbeat(self.now, request_id, heartbeat);
        self.perform_proxy_actions();
    }

    /// This node leads from now on: what waits in its gateway is its own.
    pub(crate) fn take_over_held_heartbeats(&mut self) {
        // Counted anew as they report.
        self.sharding.worker_count = 0;
        for (request, report) in self.sharding.proxy.take_held_heartbeats() {
            self.on_leader_heartbeat(request, &report);
        }
    }

    pub(crate) fn tick_proxy(&mut self) {
        if self.is_leader() {
            return;
        }
        // The state service says who leads, but a node that misses it hears of a
        // newer leader from that one itself.
        let fresh = |at: f64| self.now - at < self.timing.leader_lease_s;
        let claims = self.peers.values().filter(|(v, at)| v.token > 0 && fresh(*at));
        let claimed = claims.map(|(v, _)| (v.node.clone(), v.token)).max_by_key(|(_, t)| *t);
        let known = self.election.known_leader.clone().filter(|(n, _)| *n != self.settings.node);
        let leader = match (known, claimed) {
            (Some(k), Some(c)) if c.1 > k.1 => Some(c),
            (None, Some(c)) if c.1 > self.election.last_stored_token => Some(c),
            (k, _) => k,
        };
        self.election.last_stored_token =
            self.election.last_stored_token.max(self.election.known_leader.as_ref().map_or(0, |l| l.1));
        self.sharding.proxy.set_leader(self.now, leader);
        self.sharding.proxy.tick(self.now);
        self.perform_proxy_actions();
        self.log_delegated_lease();
    }

    /// A line when leave comes and goes.
    fn log_delegated_lease(&mut self) {
        let serves = self.sharding.proxy.may_respond(self.now);
        if serves != self.sharding.was_proxying {
            self.sharding.was_proxying = serves;
            let (leader, token) = self.sharding.proxy.leader().cloned().unwrap_or_default();
            if serves {
                info!(leader, token, "delegated lease granted, responding to heartbeats");
            } else {
                warn!(leader, token, "delegated lease lost, heartbeats are held or redirected");
            }
        }
    }

    fn perform_proxy_actions(&mut self) {
        for act in self.sharding.proxy.take_actions() {
            match act {
                ProxyAction::Respond(req, answer) => self.respond(req, 200, protocol::encode(&answer)),
                ProxyAction::Redirect(req, node) => self.redirect(req, node),
                ProxyAction::Reject(req, why) => self.respond_error(req, 503, why),
                ProxyAction::Forward(node, request) => {
                    let id = self.register_call(CallContext::Forward);
                    self.outputs.push(Output::Forward(id, node, request));
                }
            }
        }
    }

    pub(crate) fn on_forward_reply(&mut self, reply: Option<ForwardReply>) {
        self.sharding.proxy.on_reply(self.now, reply);
        self.perform_proxy_actions();
    }

    /// Another node passes reports on.
    pub(crate) fn on_forward_request(&mut self, request_id: RequestId, request: ForwardRequest) {
        let now = self.now;
        let known = self.settings.peers.iter().any(|p| p.node == request.node);
        if known {
            self.peer_liveness.record_incarnation(now, &request.node, request.incarnation);
        }
        let Role::Leader(leader) = &mut self.role else {
            return self.outputs.push(Output::ForwardReply(request_id, ForwardReply::default()));
        };
        // What was meant for an earlier leadership may be minutes old.
        let ready = leader.recovery.finished && request.token == leader.fencing_token;
        if !known || !leader.forwarding.on_request(now, request_id, &request, ready) {
            return self.outputs.push(Output::ForwardReply(request_id, ForwardReply::default()));
        }
        if !ready {
            return;
        }
        let source: ProxyId = (request.node, request.incarnation);
        for entry in request.entries {
            self.on_forwarded_heartbeat(&source, entry);
        }
    }

    fn on_forwarded_heartbeat(&mut self, source: &ProxyId, entry: ForwardedHeartbeat) {
        let (now, close, gap) = (self.now, self.timing.heartbeat_validity_s, self.timing.max_heartbeat_gap_s);
        let came = now - f64::from(entry.age_ms) / 1000.0;
        let Role::Leader(leader) = &mut self.role else { return };
        let (token, held, place) = (leader.fencing_token, entry.held, (entry.session, entry.seq));
        let machine = entry.machine.clone();
        let mut known = leader.cluster.machines.get_mut(&machine);
        if let Some(m) = &mut known {
            // Its node may have answered it, whatever is known of what it says.
            m.record_heartbeat(place, came, true);
        }
        // The report of which this one says the same, if it does.
        let base = entry.content.is_none().then_some((entry.session, entry.same_as));
        let report = match (base, known) {
            (None, _) => entry.into_heartbeat(),
            // Most of all: its tasks go on as they did.
            (Some(base), Some(m)) if m.content_position == base && !held && m.is_reconciled(now, close) => {
                if place > m.newest_position {
                    m.newest_position = place;
                    m.record_unsolicited_heartbeat(came);
                    m.reports_here = false;
                    leader.forwarding.observations.record(came, &source.0, &m.zone, gap);
                }
                return;
            }
            (Some(base), Some(m)) if m.content_position == base => Some(m.repeated_heartbeat(place.1)),
            (Some(_), Some(m)) if place <= m.newest_position => None,
            (Some(_), _) => {
                leader.forwarding.request_content(source, &machine);
                None
            }
        };
        let Some(report) = report.filter(|r| r.fencing_token <= token) else { return };
        if !self.ingest_heartbeat(&report, Some(source.clone()), came) {
            return;
        }
        if let (Some(base), Role::Leader(leader)) = (base, &mut self.role) {
            if let Some(m) = leader.cluster.machines.get_mut(&machine) {
                m.content_position = base;
            }
        }
        if held {
            self.defer_response(&report, ReplyRoute::Forwarded(source.clone(), place.0, place.1));
        } else {
            self.update_leader_only(&machine);
        }
    }

    /// Answers a report that was held here.
    pub(crate) fn respond_to_heartbeat(
        &mut self,
        machine: &str,
        pending: PendingHeartbeat,
        answer: HeartbeatResponse,
    ) {
        match pending.reply_route {
            ReplyRoute::Direct(request) => self.respond(request, 200, protocol::encode(&answer)),
            // Its node answers an idle machine by itself when its time is over.
            ReplyRoute::Forwarded(..) if pending.idle && answer.commands.is_empty() => {}
            ReplyRoute::Forwarded(source, session, seq) => {
                let orders = answer.commands.iter().map(TaskCommand::from).collect();
                let Role::Leader(leader) = &mut self.role else { return };
                leader.forwarding.add_commands(
                    &source,
                    MachineCommands { machine: machine.to_string(), session, seq, orders },
                );
            }
        }
    }

    /// Sees to it that only the leader answers `machine` while it has something
    /// to tell there.
    pub(crate) fn update_leader_only(&mut self, machine: &str) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let mut stops = None;
        let on = leader.cluster.tasks_on(machine);
        let places = on.len();
        for (id, task) in on {
            let Some(job) = leader.cluster.jobs.get(&id) else { continue };
            let Some(p) = job.placements.get(&task) else { continue };
            if p.stopping.is_some() {
                stops = Some(true);
            } else if p.observed_state.is_none() && !p.inherited && stops.is_none() {
                stops = Some(false);
            }
        }
        if let Some(m) = leader.cluster.machines.get(machine) {
            let placed = |id: &str, n: u32, attempt: u64| {
                let place = leader.cluster.jobs.get(id).and_then(|j| j.placements.get(&n));
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
        leader.forwarding.set_leader_only(machine, stops);
        let settled = |m: &Machine| m.content_token == leader.fencing_token && places == m.tasks.len();
        if let Some(m) = leader.cluster.machines.get_mut(machine) {
            m.reconciled_at = (stops.is_none() && settled(m)).then_some(now);
        }
    }

    /// Replies that are due to the gateways.
    pub(crate) fn tick_forwarding(&mut self) {
        let now = self.now;
        let (leave_s, hold) = (self.timing.delegated_lease_s, self.timing.forward_interval_s);
        let Role::Leader(leader) = &mut self.role else { return };
        // Their answers end with this leader's own, at the latest.
        let own = if self.checks.response_grace {
            leader.leadership.authority.may_respond_until() - now
        } else {
            leave_s
        };
        let token = leader.fencing_token;
        for due in leader.forwarding.take_due_replies(now, token, leave_s.min(own), hold) {
            self.outputs.push(Output::ForwardReply(due.request, due.reply));
        }
    }

    /// Longest usual time between two views of a node.
    pub(crate) fn view_gap_s(&self) -> f64 {
        2.0 * self.timing.renewal_interval_s + self.timing.forward_timeout_s
    }

    /// A worker's report had come to `via`, or to this node, at `came`.
    pub(crate) fn record_observation(&mut self, via: Option<&ProxyId>, zone: &str, came: Time) {
        let gap = self.timing.max_heartbeat_gap_s;
        let Role::Leader(leader) = &mut self.role else { return };
        let node = via.map_or(&self.settings.node, |(node, _)| node);
        leader.forwarding.observations.record(came, node, zone, gap);
    }

    /// Silence after which machines are given up, by zone: longer while nodes are away
    /// from this one or from the zone's workers, which may have to try one after the
    /// other. (With two of three nodes cut off, machines that went on were once
    /// given up; with four of five cut off from the workers alone, a quarter of them.)
    pub(crate) fn failure_timeouts_s(&self) -> BTreeMap<String, f64> {
        let Role::Leader(leader) = &self.role else { return BTreeMap::new() };
        let (now, d) = (self.now, &self.timing);
        let own = &self.settings.node;
        let peers = self.settings.peers.iter().map(|p| p.node.as_str());
        let nodes: Vec<&str> = peers.chain([own.as_str()]).collect();
        let gap = self.view_gap_s();
        let here =
            |node: &str| node == own || self.peer_liveness.is_live(now, gap, d.failure_suspicion_s, node);
        let longest = self.full_failover_s();
        let spans = ObservationWindows {
            max_gap_s: d.max_heartbeat_gap_s,
            required_s: d.failure_suspicion_s,
            relevance_s: longest,
        };
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        for m in leader.cluster.machines.values().filter(|m| m.phase == MachinePhase::Up) {
            *zones.entry(&m.zone).or_default() += 1;
        }
        let patience = |(zone, up): (&str, usize)| {
            let part = up / nodes.len();
            let reached = |node: &&&str| {
                here(node)
                    && leader.forwarding.observations.reached_continuously(now, node, zone, part, &spans)
            };
            let away = nodes.len() - nodes.iter().filter(reached).count();
            (
                zone.to_string(),
                d.failure_suspicion_s.max(spans.max_gap_s + d.worker_failover_s * (away + 1) as f64),
            )
        };
        zones.into_iter().map(patience).collect()
    }

    /// A worker that goes on has come to a node that hears it by then, whichever that is.
    pub(crate) fn full_failover_s(&self) -> Time {
        self.timing.max_heartbeat_gap_s
            + self.timing.worker_failover_s * (self.settings.peers.len() + 2) as f64
    }

    /// This node and the others that answer reports, as far as workers go.
    pub(crate) fn shard_members(&self) -> (ShardMember, Vec<ShardMember>) {
        let fresh = self.view_gap_s();
        let others = self.peers.values().filter(|(v, at)| v.serves && self.now - at < fresh);
        let others = others.map(|(v, _)| ShardMember {
            node: v.node.clone(),
            workers: v.workers,
            capacity: v.room,
            weight: f64::from(v.weight) / 1000.0,
        });
        let own = ShardMember {
            node: self.settings.node.clone(),
            workers: self.sharding.worker_count,
            capacity: self.timing.worker_capacity,
            weight: self.sharding.event_loop_lag.weight(),
        };
        (own, others.collect())
    }

    /// Counts the workers that stay here.
    pub(crate) fn count_workers(&mut self) {
        let since = self.now - self.timing.heartbeat_validity_s;
        self.sharding.new_workers = 0;
        self.sharding.worker_count = match &self.role {
            Role::Leader(leader) => {
                let here = leader
                    .cluster
                    .machines
                    .values()
                    .filter(|m| m.reports_here && m.last_heartbeat_at.is_some_and(|t| t > since));
                here.count() as u32
            }
            Role::Follower => self.sharding.proxy.count_workers_since(since),
        };
    }

    /// What `/up` tells of the room for workers.
    pub(crate) fn health(&self) -> Health {
        let (own, others) = self.shard_members();
        let ceiling = match &self.role {
            Role::Leader(_) => self.worker_capacity(),
            Role::Follower => own.capacity + others.iter().map(|m| m.capacity).sum::<u32>(),
        };
        Health { workers: own.workers, capacity: own.capacity, ceiling }
    }

    /// Where a worker goes that finds no room here, if it does. Who is here stays,
    /// and where there is room nowhere it is answered all the same, up to the
    /// part that is the users'.
    pub(crate) fn admit_worker(&mut self, known: bool) -> WorkerAdmission {
        if known {
            return WorkerAdmission::Accept;
        }
        if self.sharding.worker_count >= self.timing.worker_capacity {
            let (_, others) = self.shard_members();
            if let Some(m) = self.sharding.balancer.least_loaded(self.now, &others) {
                return WorkerAdmission::Redirect(m.node.clone());
            }
        }
        if self.sharding.worker_count + self.sharding.new_workers >= self.timing.max_workers {
            return WorkerAdmission::Reject;
        }
        self.sharding.new_workers += 1;
        WorkerAdmission::Accept
    }

    /// The node that had better take a worker which has just reported here, and
    /// for which there is nothing to do.
    pub(crate) fn pick_better_node(&mut self, heartbeat: &Heartbeat) -> Option<String> {
        let ended = heartbeat.tasks.iter().any(|t| t.state == TaskState::Exited);
        if ended || heartbeat.notice_s.is_some() {
            return None;
        }
        let (own, others) = self.shard_members();
        let node = self.sharding.balancer.pick_better_node(self.now, &heartbeat.machine, &own, &others)?;
        self.update_leader_only(&heartbeat.machine);
        let Role::Leader(leader) = &mut self.role else { return None };
        if leader.forwarding.is_leader_only(&heartbeat.machine) {
            return None;
        }
        if let Some(m) = leader.cluster.machines.get_mut(&heartbeat.machine) {
            m.reports_here = false;
        }
        self.sharding.worker_count = self.sharding.worker_count.saturating_sub(1);
        Some(node)
    }

    /// Machines that the nodes can take: those that answer reports, or did
    /// lately, and this one.
    pub(crate) fn worker_capacity(&self) -> u32 {
        let Role::Leader(leader) = &self.role else { return 0 };
        let lately = self.now - self.settings.params.workers.lease_s;
        let serving: BTreeSet<&str> = leader.forwarding.nodes_that_may_respond(lately).collect();
        let rooms = serving.iter().filter_map(|n| self.peers.get(*n)).map(|(v, _)| v.room);
        self.timing.worker_capacity + rooms.sum::<u32>()
    }

    /// Machines that may be rented yet.
    pub(crate) fn machine_capacity_left(&mut self) -> u32 {
        let ceiling = self.worker_capacity();
        let Role::Leader(leader) = &mut self.role else { return 0 };
        let there =
            leader.cluster.machines.values().filter(|m| m.phase != MachinePhase::Terminating).count() as u32;
        if ceiling != leader.fleet.logged_capacity && there + 50 >= ceiling {
            leader.fleet.logged_capacity = ceiling;
            info!(ceiling, machines = there, "worker capacity of the controllers reached");
        }
        ceiling.saturating_sub(there)
    }
}
