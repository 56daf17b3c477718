//! Campaigns: a node asks for a lease, then claims the leader key with it.
//!
//! If the claim is committed and only its reply is lost, the leader key names this node with a
//! token that it has not been told. The claim is recognized by its lease, which no other node has.
//! (Such a claim was once taken for a failure and its lease revoked, while the other nodes
//! already sent their workers here.)

use crate::election::lease_authority::LeaseAuthority;
use crate::leader::state::{LeaderState, Role};
use crate::model::records::{LeaderRecord, Value, LEADER_KEY};
use crate::{CallContext, Controller, StoreReply, StoreRequest, Time};
use protocol::state::{Compare, Item, Mutation, Transaction};
use tracing::info;

/// A claim of the leader key that has no outcome yet.
#[derive(Debug, Clone, Copy)]
pub struct ElectionAttempt {
    /// The lease that the key is claimed with.
    pub lease: u64,
    /// When the lease was asked for: its time cannot have begun earlier.
    pub requested_at: Time,
}

/// On which terms this node may claim the leader key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ElectionTerms {
    /// The version that the key must still have; 0: it must not exist.
    pub expected_version: u64,
    /// Failovers in a row from a short-lived incarnation of this node to the next.
    pub quick_restarts: u32,
}

impl Controller {
    /// Keeps the watch on the leader key, and campaigns when nobody leads.
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

    /// On which terms this node may claim the leader key; None: another node leads, or the key
    /// has not been read.
    fn election_terms(&self) -> Option<ElectionTerms> {
        self.election.leader_watch.revision?;
        let Some((node, _)) = &self.election.known_leader else { return Some(ElectionTerms::default()) };
        if *node != self.settings.node {
            return None;
        }
        self.election.previous_incarnation.succession(self.wall_time_s, self.timing.leader_lease_s)
    }

    /// Handles the reply to the request for a lease: claims the leader key with it.
    pub(crate) fn on_lease_granted(&mut self, reply: StoreReply) {
        let StoreReply::Granted(lease) = reply else {
            self.election.campaigning = false;
            self.election.campaign_at = self.now + self.timing.renewal_interval_s / 2.0;
            return;
        };
        // If another node has been elected meanwhile, the default makes the claim fail.
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

    /// Handles the leader key, read back after a claim whose outcome is unknown.
    pub(crate) fn on_campaign_read(&mut self, lease: u64, reply: StoreReply) {
        let Some(attempt) = self.attempt_with_lease(lease) else { return };
        match reply {
            StoreReply::Item(Item { value: Value::Leader(leader), version, .. }) if leader.lease == lease => {
                self.become_leader(attempt, version);
            }
            _ => self.abandon_campaign(attempt),
        }
    }

    /// Takes in the leader key as read with version `token`: it may be this node's own claim.
    pub(super) fn observe_own_campaign(&mut self, leader: &LeaderRecord, token: u64) {
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

    /// Gives up a claim that failed or has an unknown outcome. Revoking its lease makes sure that
    /// it cannot take effect later.
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
