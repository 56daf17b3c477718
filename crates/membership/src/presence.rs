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

    /// How many of `nodes` have been away within the last `within` seconds: a
    /// worker that reported there may still be looking for another.
    pub fn away<'a>(
        &self,
        now: Time,
        gap: Time,
        within: Time,
        nodes: impl Iterator<Item = &'a str>,
    ) -> usize {
        let here = |node: &str| {
            let heard = self.nodes.get(node);
            heard.is_some_and(|(last, since)| now - last <= gap && (now - since >= within || *since < within))
        };
        nodes.filter(|n| !here(n)).count()
    }
}
