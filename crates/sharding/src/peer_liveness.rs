//! Which of the other controllers have been there all along.

use crate::Time;
use std::collections::BTreeMap;

/// When each node was last heard, and since when without a gap.
#[derive(Debug, Default)]
pub struct PeerLiveness {
    nodes: BTreeMap<String, (Time, Time)>,
    /// The start of each node's process that was seen last.
    incarnations: BTreeMap<String, u64>,
}

impl PeerLiveness {
    /// `node` was heard; a silence longer than `gap` ends its presence.
    pub fn record_contact(&mut self, now: Time, node: &str, gap: Time) {
        let (last, since) = self.nodes.entry(node.to_string()).or_insert((now, now));
        if now - *last > gap {
            *since = now;
        }
        *last = now;
    }

    /// A request of that start of `node`'s process came. Who was back before it was missed
    /// has not been there all along: the workers that it had may be trying the others yet.
    pub fn record_incarnation(&mut self, now: Time, node: &str, start: u64) {
        let before = self.incarnations.insert(node.to_string(), start);
        if before.is_some_and(|before| before != start) {
            self.nodes.insert(node.to_string(), (now, now));
        }
    }

    /// Whether `node` has been there for the last `within` seconds: else a worker that
    /// reported there may still be looking for another.
    pub fn is_live(&self, now: Time, gap: Time, within: Time, node: &str) -> bool {
        let heard = self.nodes.get(node);
        heard.is_some_and(|(last, since)| now - last <= gap && (now - since >= within || *since < within))
    }
}
