//! Step-down of the leader.

use crate::agents::heartbeat_queue::ReplyRoute;
use crate::leader::state::{LeaderState, Role};
use crate::{Controller, Output};
use protocol::peer::ForwardReply;
use rand::Rng;
use tracing::warn;

/// Error text for requests that are still unanswered when the leader steps down.
const NO_LONGER_LEADING: &str = "no longer leading";

impl Controller {
    /// Drops the leader's state and becomes a follower. Does nothing on a follower.
    pub(crate) fn step_down(&mut self, reason: &str) {
        let Role::Leader(leader) = std::mem::replace(&mut self.role, Role::Follower) else { return };
        warn!(token = leader.fencing_token, why = reason, "leadership lost");
        self.sharding.worker_count = 0;
        self.reject_unanswered_requests(*leader);
        self.election.known_leader = None;
        if !self.election.leader_watch.in_flight {
            self.reread_leader(0.0);
        }
        // Random jitter prevents the nodes from campaigning simultaneously.
        let jitter: f64 = self.rng.gen_range(0.5..1.0);
        self.election.campaign_at = self.now + self.timing.renewal_interval_s * jitter;
    }

    fn reject_unanswered_requests(&mut self, mut leader: LeaderState) {
        for request in leader.forwarding.take_waiting_requests() {
            self.outputs.push(Output::ForwardReply(request, ForwardReply::default()));
        }
        for (request, _) in leader.heartbeats.early.take_all() {
            self.respond_error(request, 503, NO_LONGER_LEADING);
        }
        for heartbeat in leader.heartbeats.pending.into_values() {
            if let ReplyRoute::Direct(request) = heartbeat.reply_route {
                self.respond_error(request, 503, NO_LONGER_LEADING);
            }
        }
    }
}
