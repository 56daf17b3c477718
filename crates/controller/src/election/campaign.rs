//! Election campaigns: a node requests a lease from the store, then claims the leader key with it.
//!
//! If the claim is committed but its reply is lost, the leader key names this node with a fencing
//! token that the node does not know yet. The node recognizes its claim by the lease, which is
//! unique to it. Treating such a claim as failed would revoke the lease while the other nodes
//! already direct their workers to this one.

use crate::election::lease_authority::LeaseAuthority;
use crate::leader::state::{LeaderState, Role};
use crate::model::records::{LeaderRecord, Value, LEADER_KEY};
use crate::{CallContext, Controller, StoreReply, StoreRequest, Time};
use protocol::state::{Compare, Item, Mutation, Transaction};
use tracing::info;

/// A claim to the leader key whose outcome is not known yet.
#[derive(Debug, Clone, Copy)]
pub struct ElectionAttempt {
    /// Lease that the key is claimed with.
    pub lease: u64,
    /// Time at which the lease was requested; its term cannot have begun earlier.
    pub requested_at: Time,
}

/// Conditions under which this node may claim the leader key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ElectionTerms {
    /// Version that the key must still have; 0 if the key must not exist.
    pub expected_version: u64,
    /// Number of consecutive failovers from a short-lived incarnation of this node to its next one.
    pub quick_restarts: u32,
}

impl Controller {
    /// Maintains the watch on the leader key, and starts a campaign when there is no leader.
    pub(crate) fn tick_election(&mut self) {
        self.read_stored_machine_types();
        self.tick_leader_watch();
        if self.should_campaign() {
            self.election.campaigning = true;
            self.election.campaign_at = self.now;
            let ttl_ms = (self.timing.leader_lease_s * 1000.0) as u64;
            self.call_store(CallContext::Grant, StoreRequest::Grant { ttl_ms });
        }
    }

    fn should_campaign(&self) -> bool {
        !self.election.campaigning
            && !self.is_leader()
            && self.now >= self.election.campaign_at
            && self.election_terms().is_some()
    }

    /// Returns the conditions under which this node may claim the leader key; None if another node
    /// leads or the key has not been read.
    fn election_terms(&self) -> Option<ElectionTerms> {
        self.election.leader_watch.revision?;
        let Some((node, _)) = &self.election.known_leader else { return Some(ElectionTerms::default()) };
        if *node != self.settings.node {
            return None;
        }
        self.election.previous_incarnation.succession_terms(self.wall_time_s, self.timing.leader_lease_s)
    }

    /// Handles the reply to the lease request: claims the leader key with a granted lease.
    pub(crate) fn on_lease_grant_reply(&mut self, reply: StoreReply) {
        let StoreReply::Granted(lease) = reply else {
            self.election.campaigning = false;
            self.election.campaign_at = self.now + self.timing.renewal_interval_s / 2.0;
            return;
        };
        // If another node has been elected in the meantime, the default terms make the claim fail.
        let terms = self.election_terms().unwrap_or_default();
        self.election.attempt = Some(ElectionAttempt { lease, requested_at: self.election.campaign_at });
        let claim = self.claim_transaction(lease, terms);
        self.call_store(CallContext::Campaign { lease }, StoreRequest::Commit(claim));
    }

    fn claim_transaction(&self, lease: u64, terms: ElectionTerms) -> Transaction<Value> {
        let record = LeaderRecord {
            node: self.settings.node.clone(),
            elected_wall_s: self.wall_time_s,
            quick_restarts: terms.quick_restarts,
            lease,
        };
        Transaction {
            compares: vec![Compare { key: LEADER_KEY.to_string(), version: terms.expected_version }],
            mutations: vec![Mutation::Put {
                key: LEADER_KEY.to_string(),
                value: Value::Leader(record),
                lease: Some(lease),
            }],
        }
    }

    /// Handles the reply to the claim made with `lease`.
    pub(crate) fn on_campaign_reply(&mut self, lease: u64, reply: StoreReply) {
        let Some(attempt) = self.attempt_with_lease(lease) else { return };
        match reply {
            StoreReply::Committed(token) => self.become_leader(attempt, token),
            StoreReply::Unknown => {
                let request = StoreRequest::Get(LEADER_KEY.to_string());
                self.call_store(CallContext::CampaignRead { lease }, request);
            }
            _ => self.abandon_campaign(attempt),
        }
    }

    /// Handles the reply to the read of the leader key that follows a claim with unknown outcome.
    pub(crate) fn on_campaign_read(&mut self, lease: u64, reply: StoreReply) {
        let Some(attempt) = self.attempt_with_lease(lease) else { return };
        match reply {
            StoreReply::Item(Item { value: Value::Leader(leader), version, .. }) if leader.lease == lease => {
                self.become_leader(attempt, version);
            }
            _ => self.abandon_campaign(attempt),
        }
    }

    /// Becomes leader if the leader key, read with version `token`, shows this node's own claim.
    pub(super) fn observe_own_claim(&mut self, leader: &LeaderRecord, token: u64) {
        if leader.node != self.settings.node {
            return;
        }
        if let Some(attempt) = self.attempt_with_lease(leader.lease) {
            self.become_leader(attempt, token);
        }
    }

    fn attempt_with_lease(&self, lease: u64) -> Option<ElectionAttempt> {
        self.election.attempt.filter(|attempt| attempt.lease == lease)
    }

    fn become_leader(&mut self, attempt: ElectionAttempt, token: u64) {
        info!(token, "elected leader");
        self.election.campaigning = false;
        self.election.attempt = None;
        self.election.known_leader = Some((self.settings.node.clone(), token));
        let authority = LeaseAuthority::new(&self.timing, attempt.requested_at);
        self.role = Role::Leader(Box::new(LeaderState::new(token, attempt.lease, self.now, authority)));
        self.take_over_held_heartbeats();
    }

    /// Abandons a claim that failed or has an unknown outcome. Revoking the lease prevents the claim
    /// from taking effect later.
    fn abandon_campaign(&mut self, attempt: ElectionAttempt) {
        self.election.campaigning = false;
        self.election.attempt = None;
        self.call_store(CallContext::Revoke, StoreRequest::Revoke(attempt.lease));
        self.election.campaign_at = self.now + self.timing.renewal_interval_s / 4.0;
        if !self.election.leader_watch.in_flight {
            self.reread_leader(0.0);
        }
    }
}
