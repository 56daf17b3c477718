//! Which format of records and messages every node reads, while old and new versions serve
//! side by side. `docs/upgrade.md` argues each opening.

use crate::messages::Time;
use crate::records::FORMAT;
use settings::Peer;
use std::collections::BTreeMap;

/// What the other nodes have said of themselves. A node that has its new version keeps it, so
/// what was said once holds; a node that nothing was heard of counts as the oldest.
#[derive(Debug, Default)]
pub struct FormatNegotiation {
    said: BTreeMap<String, u32>,
    evident: bool,
    pub gate: FormatGateProbe,
}

/// This node's looks at the format that is stored as read by all. One that has just begun has
/// heard nobody; what it cannot know from that it reads there.
#[derive(Debug, Default)]
pub struct FormatGateProbe {
    busy: bool,
    next: Time,
    seen: bool,
}

impl FormatGateProbe {
    /// Whether the gate has been seen, open or not.
    pub fn seen(&self) -> bool {
        self.seen
    }

    /// Whether to look `now`; again `every` seconds later.
    pub fn begin(&mut self, now: Time, every: Time) -> bool {
        let due = !self.busy && now >= self.next;
        if due {
            (self.busy, self.next) = (true, now + every);
        }
        due
    }

    /// A look has ended; whether it was answered.
    pub fn end(&mut self, answered: bool) {
        (self.busy, self.seen) = (false, self.seen || answered);
    }
}

impl FormatNegotiation {
    /// Node `node` reads formats up to `format`.
    pub fn heard(&mut self, node: &str, format: u32) {
        let said = self.said.entry(node.to_string()).or_insert(0);
        *said = (*said).max(format);
    }

    /// Something was asked, or refused, that only comes after all nodes have this version.
    /// True the first time.
    pub fn is_evident(&mut self) -> bool {
        !std::mem::replace(&mut self.evident, true)
    }

    /// The newest format that all of `peers` and this node read.
    pub fn all_read(&self, peers: &[Peer]) -> u32 {
        if self.evident {
            return FORMAT;
        }
        let said = |p: &Peer| self.said.get(&p.node).copied().unwrap_or(0);
        peers.iter().map(said).min().unwrap_or(FORMAT).min(FORMAT)
    }
}
