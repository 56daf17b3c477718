//! Renewal of the leader's lease.

use crate::leader::state::Role;
use crate::{CallContext, Controller, StoreReply, StoreRequest, Time};

impl Controller {
    /// Sends a lease renewal if one is due.
    pub(crate) fn tick_lease_renewal(&mut self) {
        let now = self.now;
        let Role::Leader(leader) = &self.role else { return };
        let token = leader.fencing_token;
        let leadership = &leader.leadership;
        if leadership.renewal_in_flight.is_some() || now < leadership.renew_at {
            return;
        }
        let request = StoreRequest::Renew(leadership.lease);
        let call = self.call_store(CallContext::Renew { token, sent: now }, request);
        if let Some(leader) = self.leader_state(token) {
            leader.leadership.renewal_in_flight = Some(call);
        }
    }

    /// Handles the reply to a renewal sent at `sent_at`.
    pub(crate) fn on_renewal_reply(&mut self, token: u64, sent_at: Time, reply: StoreReply) {
        let now = self.now;
        let renewal_interval_s = self.timing.renewal_interval_s;
        let Some(leader) = self.leader_state(token) else { return };
        leader.leadership.renewal_in_flight = None;
        match reply {
            StoreReply::Done => {
                leader.leadership.authority.record_renewal(sent_at);
                leader.leadership.renew_at = sent_at + renewal_interval_s;
                if !leader.leadership.authority.may_act(now) {
                    // The store is reachable again: read the missed changes without delay.
                    leader.watch.retry_at = leader.watch.retry_at.min(now);
                }
            }
            StoreReply::Gone => self.step_down("lease ended"),
            _ => leader.leadership.renew_at = now + renewal_interval_s / 4.0,
        }
    }

    /// Whether this node leads, certainly holds the lease, and knows a recent enough state to
    /// schedule, write and call the cloud.
    pub(crate) fn may_act(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => leader.leadership.authority.may_act(self.now),
            Role::Follower => false,
        }
    }
}
