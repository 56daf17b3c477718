//! Liveness of the other controllers: whether each has been reachable without interruption.

use crate::Time;
use std::collections::BTreeMap;

/// Period of contact with a node without a gap.
#[derive(Debug, Clone, Copy)]
struct ContactSpan {
    last_at: Time,
    /// Time since which there has been no gap.
    since: Time,
}

/// Last contact with each node, and the time since which there has been no gap.
#[derive(Debug, Default)]
pub struct PeerLiveness {
    contacts: BTreeMap<String, ContactSpan>,
    /// The last incarnation that was seen of each node.
    incarnations: BTreeMap<String, u64>,
}

impl PeerLiveness {
    /// Records contact with `node`. A silence longer than `max_gap_s` starts a new period of
    /// contact.
    pub fn record_contact(&mut self, now: Time, node: &str, max_gap_s: f64) {
        let first_contact = ContactSpan { last_at: now, since: now };
        let contact = self.contacts.entry(node.to_string()).or_insert(first_contact);
        if now - contact.last_at > max_gap_s {
            contact.since = now;
        }
        contact.last_at = now;
    }

    /// Records a request from an incarnation of `node`. A new incarnation starts a new period
    /// of contact even if the process restarted within `max_gap_s`, because the workers that
    /// it served may still be trying the other nodes.
    pub fn record_incarnation(&mut self, now: Time, node: &str, incarnation: u64) {
        let previous = self.incarnations.insert(node.to_string(), incarnation);
        if previous.is_some_and(|previous| previous != incarnation) {
            self.contacts.insert(node.to_string(), ContactSpan { last_at: now, since: now });
        }
    }

    /// Whether `node` has been reachable for the last `required_s` seconds. If not, a worker
    /// that it served may still be looking for another node.
    pub fn is_live(&self, now: Time, max_gap_s: f64, required_s: f64, node: &str) -> bool {
        let Some(contact) = self.contacts.get(node) else { return false };
        let is_recent = now - contact.last_at <= max_gap_s;
        // Shortly after this node's own start, no contact can have lasted for `required_s`.
        let is_continuous = now - contact.since >= required_s || contact.since < required_s;
        is_recent && is_continuous
    }
}
