//! Proxying of heartbeats while another node leads: this node holds and forwards heartbeats, and
//! responds to them under a lease that the leader delegates.

use crate::{CallContext, Controller, Output, RequestId, Time};
use protocol::peer::ForwardReply;
use protocol::worker::{Heartbeat, Redirect};
use sharding::{LeaderIdentity, ProxyAction};
use tracing::{info, warn};

impl Controller {
    /// Tells a worker to send its heartbeats to another node, or to any other if `node` is None.
    pub(crate) fn redirect(&mut self, request_id: RequestId, node: Option<String>) {
        self.respond(request_id, 421, protocol::encode(&Redirect { addr: node }));
    }

    /// Handles a heartbeat that a worker sent to this node while the node doesn't lead.
    pub(crate) fn on_proxied_heartbeat(&mut self, request_id: RequestId, heartbeat: Heartbeat) {
        let is_known = self.sharding.proxy.knows_worker(&heartbeat.machine);
        if !self.admit_or_refuse(request_id, is_known) {
            return;
        }
        if let Some(node) = self.pick_better_proxy(&heartbeat) {
            return self.redirect(request_id, Some(node));
        }
        self.sharding.proxy.on_heartbeat(self.now, request_id, heartbeat);
        self.perform_proxy_actions();
    }

    /// Returns the node that should serve the sender of a heartbeat instead of this proxy, if
    /// there is one. The worker then no longer counts as served by this node.
    fn pick_better_proxy(&mut self, heartbeat: &Heartbeat) -> Option<String> {
        if !self.sharding.proxy.may_redirect(self.now, heartbeat) {
            return None;
        }
        let (own_member, others) = self.shard_members();
        let node =
            self.sharding.balancer.pick_better_node(self.now, &heartbeat.machine, &own_member, &others)?;
        self.sharding.proxy.on_worker_redirected(self.now, &heartbeat.machine);
        self.sharding.worker_count = self.sharding.worker_count.saturating_sub(1);
        Some(node)
    }

    /// Handles the heartbeats that this node held as a proxy before it was elected.
    pub(crate) fn take_over_held_heartbeats(&mut self) {
        // Workers are counted again as their heartbeats arrive.
        self.sharding.worker_count = 0;
        for (request_id, heartbeat) in self.sharding.proxy.take_held_heartbeats() {
            self.on_leader_heartbeat(request_id, &heartbeat);
        }
    }

    /// Follows changes of the leader, forwards heartbeats, and expires held heartbeats.
    pub(crate) fn tick_proxy(&mut self) {
        if self.is_leader() {
            return;
        }
        let leader = self.newest_known_leader();
        let stored_token = self.election.known_leader.as_ref().map_or(0, |(_, token)| *token);
        self.election.last_stored_token = self.election.last_stored_token.max(stored_token);
        let leader = leader.map(|(node, fencing_token)| LeaderIdentity { node, fencing_token });
        self.sharding.proxy.set_leader(self.now, leader);
        self.sharding.proxy.tick(self.now);
        self.perform_proxy_actions();
        self.log_delegated_lease();
    }

    /// Returns the node and the token of the newest known leader. The store names the leader, but
    /// a node that misses the change learns of a newer leader from the view that this leader
    /// sends.
    fn newest_known_leader(&self) -> Option<(String, u64)> {
        let is_fresh = |received_at: Time| self.now - received_at < self.timing.leader_lease_s;
        let announced = self
            .peers
            .values()
            .filter(|(view, received_at)| view.token > 0 && is_fresh(*received_at))
            .map(|(view, _)| (view.node.clone(), view.token))
            .max_by_key(|(_, token)| *token);
        let stored = self.election.known_leader.clone().filter(|(node, _)| *node != self.settings.node);
        let min_token = stored.as_ref().map_or(self.election.last_stored_token, |(_, token)| *token);
        announced.filter(|(_, token)| *token > min_token).or(stored)
    }

    /// Logs the beginning and the end of a delegated lease.
    fn log_delegated_lease(&mut self) {
        let may_respond = self.sharding.proxy.may_respond(self.now);
        if may_respond == self.sharding.was_proxying {
            return;
        }
        self.sharding.was_proxying = may_respond;
        let LeaderIdentity { node: leader, fencing_token: token } =
            self.sharding.proxy.leader().cloned().unwrap_or_default();
        if may_respond {
            info!(leader, token, "delegated lease granted, responding to heartbeats");
        } else {
            warn!(leader, token, "delegated lease lost, heartbeats are held or redirected");
        }
    }

    fn perform_proxy_actions(&mut self) {
        for action in self.sharding.proxy.take_actions() {
            match action {
                ProxyAction::Respond(request_id, response) => {
                    self.respond(request_id, 200, protocol::encode(&response));
                }
                ProxyAction::Redirect(request_id, node) => self.redirect(request_id, node),
                ProxyAction::Reject(request_id, error) => self.respond_error(request_id, 503, error),
                ProxyAction::Forward(node, request) => {
                    let call_id = self.register_call(CallContext::Forward);
                    self.outputs.push(Output::Forward(call_id, node, request));
                }
            }
        }
    }

    /// Handles the leader's reply to forwarded heartbeats, or None if the call failed.
    pub(crate) fn on_forward_reply(&mut self, reply: Option<ForwardReply>) {
        self.sharding.proxy.on_reply(self.now, reply);
        self.perform_proxy_actions();
    }
}
