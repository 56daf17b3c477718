//! A claim of the leadership on its way. If it is carried out and only its answer is lost, the
//! leader key names this node with a token that it has not been told: it is its own claim
//! all the same, known by its lease, which nobody else has. (It was once taken for a failure, and its
//! lease given back, while all others sent their workers here.)

use crate::election::lease_authority::LeaseAuthority;
use crate::leader::state::{LeaderState, Role};
use crate::model::records::*;
use crate::{CallContext, Controller, StoreReply, StoreRequest, Time};
use protocol::state::Item;
use tracing::info;

#[derive(Debug, Clone, Copy)]
pub struct ElectionAttempt {
    pub lease: u64,
    /// When the lease was asked for: its time cannot have begun earlier.
    pub requested_at: Time,
}

impl Controller {
    pub(crate) fn on_campaign_reply(&mut self, lease: u64, reply: StoreReply) {
        let Some(claim) = self.election.attempt.filter(|c| c.lease == lease) else { return };
        match reply {
            StoreReply::Committed(token) => self.become_leader(claim, token),
            StoreReply::Unknown => {
                self.call_store(
                    CallContext::CampaignRead { lease },
                    StoreRequest::Get(LEADER_KEY.to_string()),
                );
            }
            _ => self.abandon_campaign(claim),
        }
    }

    /// The leader key, read back after a claim without an answer.
    pub(crate) fn on_campaign_read(&mut self, lease: u64, reply: StoreReply) {
        let Some(claim) = self.election.attempt.filter(|c| c.lease == lease) else { return };
        match reply {
            StoreReply::Item(Item { value: Value::Leader(l), version, .. }) if l.lease == lease => {
                self.become_leader(claim, version);
            }
            _ => self.abandon_campaign(claim),
        }
    }

    /// The leader key was seen as `leader` in that version.
    pub(crate) fn observe_own_campaign(&mut self, leader: &LeaderRecord, token: u64) {
        let own = |c: &ElectionAttempt| c.lease == leader.lease && leader.node == self.settings.node;
        if let Some(claim) = self.election.attempt.filter(own) {
            self.become_leader(claim, token);
        }
    }

    fn become_leader(&mut self, claim: ElectionAttempt, token: u64) {
        info!(token, "elected leader");
        (self.election.campaigning, self.election.attempt) = (false, None);
        self.election.known_leader = Some((self.settings.node.clone(), token));
        let authority = LeaseAuthority::new(&self.timing, claim.requested_at);
        self.role = Role::Leader(Box::new(LeaderState::new(token, claim.lease, self.now, authority)));
        self.take_over_held_heartbeats();
    }

    /// It failed, or is not known to be carried out. Without its lease it never will be.
    fn abandon_campaign(&mut self, claim: ElectionAttempt) {
        (self.election.campaigning, self.election.attempt) = (false, None);
        self.call_store(CallContext::Revoke, StoreRequest::Revoke(claim.lease));
        self.election.campaign_at = self.now + self.timing.renewal_interval_s / 4.0;
        if !self.election.leader_watch.in_flight {
            self.reread_leader(0.0);
        }
    }
}
