//! Which format of records and messages every node reads, while old and new versions serve
//! side by side. `docs/upgrade.md` argues each opening.

use crate::messages::Time;
use crate::model::records::FORMAT;
use settings::Peer;
use std::collections::BTreeMap;

/// What the other nodes have said of themselves. A node that has its new version keeps it, so
/// what was said once holds; a node that nothing was heard of counts as the oldest.
#[derive(Debug, Default)]
pub struct FormatNegotiation {
    reported_formats: BTreeMap<String, u32>,
    confirmed: bool,
    pub gate: FormatGateProbe,
}

/// This node's looks at the format that is stored as read by all. One that has just begun has
/// heard nobody; what it cannot know from that it reads there.
#[derive(Debug, Default)]
pub struct FormatGateProbe {
    in_flight: bool,
    probe_at: Time,
    was_answered: bool,
}

impl FormatGateProbe {
    /// Whether the gate has been seen, open or not.
    pub fn was_answered(&self) -> bool {
        self.was_answered
    }

    /// Whether to look `now`; again `every` seconds later.
    pub fn begin(&mut self, now: Time, every: Time) -> bool {
        let due = !self.in_flight && now >= self.probe_at;
        if due {
            (self.in_flight, self.probe_at) = (true, now + every);
        }
        due
    }

    /// A look has ended; whether it was answered.
    pub fn end(&mut self, answered: bool) {
        (self.in_flight, self.was_answered) = (false, self.was_answered || answered);
    }
}

impl FormatNegotiation {
    /// Node `node` reads formats up to `format`.
    pub fn record(&mut self, node: &str, format: u32) {
        let said = self.reported_formats.entry(node.to_string()).or_insert(0);
        *said = (*said).max(format);
    }

    /// Something was asked, or refused, that only comes after all nodes have this version.
    /// True the first time.
    pub fn confirm(&mut self) -> bool {
        !std::mem::replace(&mut self.confirmed, true)
    }

    /// The newest format that all of `peers` and this node read.
    pub fn common_format(&self, peers: &[Peer]) -> u32 {
        if self.confirmed {
            return FORMAT;
        }
        let said = |p: &Peer| self.reported_formats.get(&p.node).copied().unwrap_or(0);
        peers.iter().map(said).min().unwrap_or(FORMAT).min(FORMAT)
    }
}
