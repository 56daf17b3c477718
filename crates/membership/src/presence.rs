//! Which of the other controllers have been there all along.

use crate::Time;
use std::collections::BTreeMap;

/// When each node was last heard, and since when without a gap.
#[derive(Debug, Default)]
pub struct Presence {
    nodes: BTreeMap<String, (Time, Time)>,
}

impl Presence {
    /// `node` was heard; a silence longer than `gap` ends its presence.
    pub fn heard(&mut self, now: Time, node: &str, gap: Time) {
        let (last, since) = self.nodes.entry(node.to_string()).or_insert((now, now));
        if now - *last > gap {
            *since = now;
        }
        *last = now;
    }

    /// Whether `node` has been there for the last `within` seconds: else a worker that
    /// reported there may still be looking for another.
    pub fn here(&self, now: Time, gap: Time, within: Time, node: &str) -> bool {
        let heard = self.nodes.get(node);
        heard.is_some_and(|(last, since)| now - last <= gap && (now - since >= within || *since < within))
    }
}
