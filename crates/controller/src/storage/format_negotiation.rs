//! Which format of records and messages every node reads, while old and new versions serve
//! side by side. `docs/upgrades.md` argues why each opening is safe.

use crate::messages::Time;
use crate::model::records::FORMAT;
use settings::Peer;
use std::collections::BTreeMap;

/// The formats that the other nodes have reported. A node that has its new version keeps it, so
/// a report holds for good; a node that has not reported counts as the oldest.
#[derive(Debug, Default)]
pub struct FormatNegotiation {
    reported_formats: BTreeMap<String, u32>,
    /// Something has shown that all nodes have this version.
    confirmed: bool,
    /// This node's reads of the stored format.
    pub gate: FormatGateProbe,
}

/// This node's reads of the format that is stored as read by all nodes. A node that has just started
/// has no reports of others, and learns it from there.
#[derive(Debug, Default)]
pub struct FormatGateProbe {
    in_flight: bool,
    probe_at: Time,
    was_answered: bool,
}

impl FormatGateProbe {
    /// Whether the stored format, or its absence, has been read.
    pub fn was_answered(&self) -> bool {
        self.was_answered
    }

    /// Whether to read the stored format `now`. If so, the next read is `interval_s` later, and
    /// `end` is to be called with the outcome.
    pub fn begin(&mut self, now: Time, interval_s: Time) -> bool {
        if self.in_flight || now < self.probe_at {
            return false;
        }
        self.in_flight = true;
        self.probe_at = now + interval_s;
        true
    }

    /// A read has ended, with an answer or without.
    pub fn end(&mut self, answered: bool) {
        self.in_flight = false;
        self.was_answered |= answered;
    }
}

impl FormatNegotiation {
    /// Node `node` reads formats up to `format`.
    pub fn record(&mut self, node: &str, format: u32) {
        let reported = self.reported_formats.entry(node.to_string()).or_insert(0);
        *reported = (*reported).max(format);
    }

    /// A request or a refusal was seen that occurs only after all nodes have this version.
    /// True the first time.
    pub fn confirm(&mut self) -> bool {
        !std::mem::replace(&mut self.confirmed, true)
    }

    /// The newest format that all of `peers` and this node read.
    pub fn common_format(&self, peers: &[Peer]) -> u32 {
        if self.confirmed {
            return FORMAT;
        }
        let reported = |peer: &Peer| self.reported_formats.get(&peer.node).copied().unwrap_or(0);
        peers.iter().map(reported).min().unwrap_or(FORMAT).min(FORMAT)
    }
}
