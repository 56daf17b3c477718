//! A claim of the leadership on its way. If it is carried out and only its answer is lost, the
//! leader key names this node with a token that it has not been told: it is its own claim
//! all the same, known by its lease, which nobody else has. (It was once taken for a failure, and its
//! lease given back, while all others sent their workers here.)

use crate::leader::{LeaderState, Role};
use crate::lease_authority::LeaseAuthority;
use crate::records::*;
use crate::{CallContext, Controller, StoreReply, StoreRequest, Time};
use protocol::state::Item;
use tracing::info;

#[derive(Debug, Clone, Copy)]
pub struct ElectionAttempt {
    pub lease: u64,
    /// When the lease was asked for: its time cannot have begun earlier.
    pub asked: Time,
}

impl Controller {
    pub(crate) fn on_claim(&mut self, lease: u64, r: StoreReply) {
        let Some(claim) = self.claim.filter(|c| c.lease == lease) else { return };
        match r {
            StoreReply::Committed(token) => self.begin_to_lead(claim, token),
            StoreReply::Unknown => {
                self.state(CallContext::ClaimLook { lease }, StoreRequest::Get(LEADER_KEY.to_string()));
            }
            _ => self.give_claim_up(claim),
        }
    }

    /// The leader key, read back after a claim without an answer.
    pub(crate) fn on_claim_look(&mut self, lease: u64, r: StoreReply) {
        let Some(claim) = self.claim.filter(|c| c.lease == lease) else { return };
        match r {
            StoreReply::Item(Item { value: Value::Leader(l), version, .. }) if l.lease == lease => {
                self.begin_to_lead(claim, version);
            }
            _ => self.give_claim_up(claim),
        }
    }

    /// The leader key was seen as `leader` in that version.
    pub(crate) fn see_own_claim(&mut self, leader: &LeaderRecord, token: u64) {
        let own = |c: &ElectionAttempt| c.lease == leader.lease && leader.node == self.settings.node;
        if let Some(claim) = self.claim.filter(own) {
            self.begin_to_lead(claim, token);
        }
    }

    fn begin_to_lead(&mut self, claim: ElectionAttempt, token: u64) {
        info!(token, "leading");
        (self.claiming, self.claim) = (false, None);
        self.known_leader = Some((self.settings.node.clone(), token));
        let authority = LeaseAuthority::new(&self.d, claim.asked);
        self.role = Role::Leader(Box::new(LeaderState::new(token, claim.lease, self.now, authority)));
        self.take_over_reports();
    }

    /// It failed, or is not known to be carried out. Without its lease it never will be.
    fn give_claim_up(&mut self, claim: ElectionAttempt) {
        (self.claiming, self.claim) = (false, None);
        self.state(CallContext::Revoke, StoreRequest::Revoke(claim.lease));
        self.claim_at = self.now + self.d.renew_s / 4.0;
        if !self.leader_watch.busy {
            self.look_again(0.0);
        }
    }
}
