//! Watch on the leader key, which every node maintains.

use crate::leader::state::{Role, WatchCursor};
use crate::model::records::{LeaderRecord, Value, LEADER_KEY, NODE_PREFIX};
use crate::{CallContext, Controller, StoreReply, StoreRequest};
use protocol::state::{Event, Item};
use tracing::info;

/// Leader key as read from the store.
#[derive(Debug, Clone)]
pub struct ObservedLeader {
    /// Value of the key.
    pub record: LeaderRecord,
    /// Version of the key, which is the leader's fencing token.
    pub token: u64,
}

impl Controller {
    /// Keeps a watch open on the leader key, after an initial read of the key.
    pub(super) fn tick_leader_watch(&mut self) {
        if self.election.leader_watch.in_flight || self.now < self.election.leader_watch.retry_at {
            return;
        }
        self.election.leader_watch.in_flight = true;
        let Some(after) = self.election.leader_watch.revision else {
            self.call_store(CallContext::LeaderRead, StoreRequest::Get(LEADER_KEY.to_string()));
            return;
        };
        let wait_ms = (self.timing.leader_lease_s * 1000.0) as u64;
        let request = StoreRequest::Watch { prefix: NODE_PREFIX.to_string(), after, wait_ms };
        self.call_store(CallContext::LeaderWatch, request);
    }

    /// Schedules a new read of the leader key in `delay_s` seconds; the watch resumes from its revision.
    pub(crate) fn reread_leader(&mut self, delay_s: f64) {
        self.election.leader_watch =
            WatchCursor { in_flight: false, revision: None, retry_at: self.now + delay_s };
    }

    /// Handles the reply to the read of the leader key.
    pub(crate) fn on_leader_read(&mut self, reply: StoreReply) {
        self.election.leader_watch.in_flight = false;
        match reply {
            StoreReply::Item(Item { value: Value::Leader(record), version, .. }) => {
                self.election.leader_watch.revision = Some(version);
                self.observe_leader(Some(ObservedLeader { record, token: version }));
            }
            StoreReply::Missing(revision) => {
                self.election.leader_watch.revision = Some(revision);
                // A read that precedes this node's own election does not show its key.
                if self.token().is_none_or(|own_token| own_token < revision) {
                    self.observe_leader(None);
                }
            }
            _ => self.reread_leader(self.timing.renewal_interval_s / 2.0),
        }
    }

    /// Handles the reply to the watch on the leader key and the machine types.
    pub(crate) fn on_leader_watch(&mut self, reply: StoreReply) {
        self.election.leader_watch.in_flight = false;
        let StoreReply::Events(batch) = reply else {
            return self.reread_leader(self.timing.renewal_interval_s / 4.0);
        };
        for event in batch.events {
            self.on_node_key_event(event);
        }
        self.election.leader_watch.revision = self.election.leader_watch.revision.max(Some(batch.revision));
    }

    fn on_node_key_event(&mut self, event: Event<Value>) {
        match event {
            Event::Put { key, value: Value::Leader(record), version } if key == LEADER_KEY => {
                self.observe_leader(Some(ObservedLeader { record, token: version }));
            }
            Event::Put { value: Value::Types(types), .. } => self.machine_types = Some(types),
            Event::Delete { key, version } if key == LEADER_KEY => {
                let stale = matches!(&self.election.known_leader, Some((_, token)) if *token > version);
                if !stale {
                    self.observe_leader(None);
                }
            }
            _ => {}
        }
    }

    /// Records the leader key as last read; None if there is no leader. Steps down if this node has
    /// been superseded.
    fn observe_leader(&mut self, leader: Option<ObservedLeader>) {
        if let Some(leader) = &leader {
            self.observe_own_claim(&leader.record, leader.token);
        }
        self.election.previous_incarnation.observe_leader(&self.settings.node, leader.as_ref());
        if self.is_superseded_by(leader.as_ref()) {
            self.step_down("another leader was seen, or none");
        }
        self.election.known_leader = leader.map(|leader| (leader.record.node, leader.token));
    }

    /// Whether this node leads although the key shows a newer leader or none.
    fn is_superseded_by(&self, observed: Option<&ObservedLeader>) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        observed.is_none_or(|observed| observed.token > leader.fencing_token)
    }

    /// Records a fencing token reported by `reporter`, another node or a worker. A leader with a lower
    /// token has been replaced and steps down.
    pub(crate) fn observe_token(&mut self, token: u64, reporter: &str) {
        self.election.last_reported_token = self.election.last_reported_token.max(token);
        if matches!(&self.role, Role::Leader(leader) if leader.fencing_token < token) {
            info!(newer = token, by = reporter, "newer leader observed");
            self.step_down("newer leader observed");
        }
    }
}
