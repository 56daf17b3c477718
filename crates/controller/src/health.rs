//! Health of this node: reachability of the store, and reports to load balancers and peers.

use crate::client_api::store_latency::RoundTripEstimator;
use crate::controller::Controller;
use crate::leader::state::Role;
use crate::messages::{RequestId, StoreReply, Time};
use crate::model::records::FORMAT;
use protocol::peer::View;

/// Reachability of the store, according to its replies to the calls of this node.
#[derive(Default)]
pub(crate) struct StoreHealth {
    /// Time of the last reply other than [`StoreReply::Refused`] and [`StoreReply::Unknown`].
    pub(crate) reached_at: Time,
    /// Time since which the store has refused or not answered every call; none if it answers.
    pub(crate) failing_since: Option<Time>,
    /// Estimate of the store's response time.
    pub(crate) latency: RoundTripEstimator,
}

impl StoreHealth {
    /// Records the reply to a call that was sent at `sent_at`.
    pub(crate) fn record_reply(&mut self, now: Time, sent_at: Time, reply: &StoreReply) {
        if matches!(reply, StoreReply::Refused | StoreReply::Unknown) {
            self.failing_since.get_or_insert(now);
            return;
        }
        self.reached_at = now;
        self.failing_since = None;
        // A watch may wait for a change, so its duration does not measure the store's response time.
        if !matches!(reply, StoreReply::Events(_)) {
            self.latency.record(now - sent_at);
        }
    }

    /// Whether the store has answered within the last `window_s` seconds and is not failing now.
    fn is_reachable(&self, now: Time, window_s: Time) -> bool {
        self.failing_since.is_none() && now - self.reached_at < window_s
    }
}

impl Controller {
    /// Returns this node's view of the cluster, for its peers.
    pub fn view_for_peers(&self) -> View {
        let contact_cutoff = self.now - self.timing.heartbeat_validity_s;
        let recent_contacts =
            self.sharding.worker_contacts.values().filter(|contact| contact.0 > contact_cutoff).count();
        let serves = match &self.role {
            Role::Leader(leader) => leader.leadership.authority.may_respond(self.now),
            Role::Follower => self.sharding.proxy.may_respond(self.now),
        };
        View {
            node: self.settings.node.clone(),
            token: self.token().unwrap_or(0),
            state_reached: self.store_health.is_reachable(self.now, self.timing.leader_lease_s),
            workers_heard: recent_contacts as u32,
            workers: self.sharding.worker_count,
            format: FORMAT,
            newest: self.election.newest_token(),
            room: self.timing.worker_capacity,
            serves,
            weight: (self.sharding.event_loop_lag.weight() * 1000.0) as u32,
        }
    }

    /// Records the view that a peer has sent; views of unknown nodes are ignored.
    pub(crate) fn on_peer_view(&mut self, view: View) {
        if !self.settings.peers.iter().any(|peer| peer.node == view.node) {
            return;
        }
        let gap = self.view_gap_s();
        self.peer_liveness.record_contact(self.now, &view.node, gap);
        self.formats.record(&view.node, view.format);
        self.observe_token(view.token.max(view.newest), &view.node);
        self.peers.insert(view.node.clone(), (view, self.now));
    }

    /// Answers a load balancer's health check.
    pub(crate) fn on_health_check(&mut self, request_id: RequestId) {
        if self.should_fail_health_check() {
            self.respond_error(request_id, 503, "state service not reached from here");
        } else if self.machine_types.is_some() {
            self.respond(request_id, 200, protocol::encode(&self.health()));
        } else {
            self.respond_error(request_id, 503, "machine types not known yet");
        }
    }

    /// Whether load balancers should send users to other nodes: this node does not reach the store
    /// while a peer does, or it reaches neither the store nor any peer. During an outage of the store
    /// itself all nodes report themselves healthy, because load balancers would otherwise keep users
    /// away for longer than the outage lasts.
    fn should_fail_health_check(&self) -> bool {
        let Some(failing_since) = self.store_health.failing_since else { return false };
        let is_isolated = !self.peers.is_empty()
            && self.peers.values().all(|(_, received_at)| *received_at < failing_since);
        if is_isolated && self.now > failing_since + self.timing.leader_lease_s {
            return true;
        }
        let evaluation_start = failing_since + self.timing.renewal_interval_s;
        let reached_by_peer =
            |(view, received_at): &(View, Time)| view.state_reached && *received_at > evaluation_start;
        self.now > evaluation_start && self.peers.values().any(reached_by_peer)
    }
}
