//! This node as a proxy while another node leads: it holds and forwards heartbeats, and responds
//! to them on a lease that the leader delegates.

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

    /// A worker sent a heartbeat to this node while it doesn't lead.
    pub(crate) fn on_proxied_heartbeat(&mut self, request_id: RequestId, heartbeat: Heartbeat) {
        let is_known = self.sharding.proxy.knows(&heartbeat.machine);
        if !self.admit_or_refuse(request_id, is_known) {
            return;
        }
        if let Some(node) = self.pick_better_proxy(&heartbeat) {
            return self.redirect(request_id, Some(node));
        }
        self.sharding.proxy.on_heartbeat(self.now, request_id, heartbeat);
        self.perform_proxy_actions();
    }

    /// The node that should serve the sender of a heartbeat instead of this proxy, if any. The
    /// worker no longer counts as this node's then.
    fn pick_better_proxy(&mut self, heartbeat: &Heartbeat) -> Option<String> {
        if !self.sharding.proxy.may_be_moved(self.now, heartbeat) {
            return None;
        }
        let (own, others) = self.shard_members();
        let node = self.sharding.balancer.pick_better_node(self.now, &heartbeat.machine, &own, &others)?;
        self.sharding.proxy.on_worker_moved(self.now, &heartbeat.machine);
        self.sharding.worker_count = self.sharding.worker_count.saturating_sub(1);
        Some(node)
    }

    /// This node was elected: it handles the heartbeats that it held as a proxy itself.
    pub(crate) fn take_over_held_heartbeats(&mut self) {
        // Workers are counted anew as their heartbeats come.
        self.sharding.worker_count = 0;
        for (request_id, heartbeat) in self.sharding.proxy.take_held_heartbeats() {
            self.on_leader_heartbeat(request_id, &heartbeat);
        }
    }

    /// Follows changes of the leader, forwards heartbeats and expires held ones.
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

    /// The leader's node and token. The store names the leader, but a node that misses the change
    /// learns of a newer leader from that leader's own view.
    fn newest_known_leader(&self) -> Option<(String, u64)> {
        let is_fresh = |received_at: Time| self.now - received_at < self.timing.leader_lease_s;
        let claimed = self
            .peers
            .values()
            .filter(|(view, received_at)| view.token > 0 && is_fresh(*received_at))
            .map(|(view, _)| (view.node.clone(), view.token))
            .max_by_key(|(_, token)| *token);
        let stored = self.election.known_leader.clone().filter(|(node, _)| *node != self.settings.node);
        let min_token = stored.as_ref().map_or(self.election.last_stored_token, |(_, token)| *token);
        claimed.filter(|(_, token)| *token > min_token).or(stored)
    }

    /// Logs when a delegated lease begins and ends.
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
                ProxyAction::Reject(request_id, why) => self.respond_error(request_id, 503, why),
                ProxyAction::Forward(node, request) => {
                    let call_id = self.register_call(CallContext::Forward);
                    self.outputs.push(Output::Forward(call_id, node, request));
                }
            }
        }
    }

    /// The leader replied to forwarded heartbeats; None: the call failed.
    pub(crate) fn on_forward_reply(&mut self, reply: Option<ForwardReply>) {
        self.sharding.proxy.on_reply(self.now, reply);
        self.perform_proxy_actions();
    }
}
