//! Which of the other controllers have been reachable without interruption.

use crate::Time;
use std::collections::BTreeMap;

/// Contact with a node.
#[derive(Debug, Clone, Copy)]
struct ContactSpan {
    last_at: Time,
    /// Since when there was no gap.
    since: Time,
}

/// When each node was last heard from, and since when without a gap.
#[derive(Debug, Default)]
pub struct PeerLiveness {
    contacts: BTreeMap<String, ContactSpan>,
    /// The incarnation of each node that was seen last.
    incarnations: BTreeMap<String, u64>,
}

impl PeerLiveness {
    /// Records that `node` was heard from; a silence longer than `max_gap_s` interrupts
    /// its presence.
    pub fn record_contact(&mut self, now: Time, node: &str, max_gap_s: f64) {
        let first = ContactSpan { last_at: now, since: now };
        let contact = self.contacts.entry(node.to_string()).or_insert(first);
        if now - contact.last_at > max_gap_s {
            contact.since = now;
        }
        contact.last_at = now;
    }

    /// Records that a request of that start of `node`'s process came. A process that
    /// restarted faster than `max_gap_s` was interrupted all the same: the workers that
    /// it served may still be trying the other nodes.
    pub fn record_incarnation(&mut self, now: Time, node: &str, incarnation: u64) {
        let previous = self.incarnations.insert(node.to_string(), incarnation);
        if previous.is_some_and(|previous| previous != incarnation) {
            self.contacts.insert(node.to_string(), ContactSpan { last_at: now, since: now });
        }
    }

    /// Whether `node` has been reachable for the last `required_s` seconds; if not, a
    /// worker that it served may still be looking for another node.
    pub fn is_live(&self, now: Time, max_gap_s: f64, required_s: f64, node: &str) -> bool {
        let Some(contact) = self.contacts.get(node) else { return false };
        let is_recent = now - contact.last_at <= max_gap_s;
        // Right after this node's own start nobody has been heard from for long.
        let is_continuous = now - contact.since >= required_s || contact.since < required_s;
        is_recent && is_continuous
    }
}
