//! Negotiation of the format of records and messages while nodes of different versions run side by
//! side. `docs/upgrades.md` explains why enabling each new format is safe.

use crate::messages::Time;
use crate::model::records::FORMAT;
use settings::Peer;
use std::collections::BTreeMap;

/// Formats reported by the other nodes. Nodes are never downgraded, so a report remains valid; a node
/// that has not reported counts as the oldest version.
#[derive(Debug, Default)]
pub struct FormatNegotiation {
    reported_formats: BTreeMap<String, u32>,
    /// Whether there is evidence that all nodes have this version.
    confirmed: bool,
    /// Reads of the stored format by this node.
    pub gate: FormatGateProbe,
}

/// Reads of the stored agreed format by this node, which has no reports of other nodes when it has
/// just started.
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

    /// Returns whether to read the stored format at `now`. If so, the next read is due `interval_s`
    /// later, and the caller must call `end` with the outcome.
    pub fn begin(&mut self, now: Time, interval_s: Time) -> bool {
        if self.in_flight || now < self.probe_at {
            return false;
        }
        self.in_flight = true;
        self.probe_at = now + interval_s;
        true
    }

    /// Records the end of a read, and whether it was answered.
    pub fn end(&mut self, answered: bool) {
        self.in_flight = false;
        self.was_answered |= answered;
    }
}

impl FormatNegotiation {
    /// Records that `node` reads formats up to `format`.
    pub fn record(&mut self, node: &str, format: u32) {
        let reported = self.reported_formats.entry(node.to_string()).or_insert(0);
        *reported = (*reported).max(format);
    }

    /// Records that a request or a refusal was seen that occurs only once all nodes have this
    /// version. Returns whether this is the first such evidence.
    pub fn confirm(&mut self) -> bool {
        !std::mem::replace(&mut self.confirmed, true)
    }

    /// Returns the newest format that all of `peers` and this node read.
    pub fn common_format(&self, peers: &[Peer]) -> u32 {
        if self.confirmed {
            return FORMAT;
        }
        let reported = |peer: &Peer| self.reported_formats.get(&peer.node).copied().unwrap_or(0);
        peers.iter().map(reported).min().unwrap_or(FORMAT).min(FORMAT)
    }
}
