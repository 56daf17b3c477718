//! Which nodes the workers of a zone reach, from the reports that come by each.

use crate::Time;
use std::collections::BTreeMap;

/// Workers that a node should have of a zone before their absence there says
/// anything of the link between them.
const FEWEST: usize = 2;

/// When reports of a zone came by a node last, and since when without a gap.
#[derive(Debug, Clone, Copy)]
struct ObservationSpan {
    last_at: Time,
    since: Time,
}

/// Reports by node and zone. A node that others hear may be cut off from the
/// workers, or from those of one zone. A state machine without clock.
#[derive(Debug, Default)]
pub struct HeartbeatObservations {
    spans: BTreeMap<String, BTreeMap<String, ObservationSpan>>,
}

impl HeartbeatObservations {
    /// A report of a worker in `zone` had come to `node` at `came`. A silence longer
    /// than `gap` ends a node's hearing of a zone.
    pub fn record(&mut self, came: Time, node: &str, zone: &str, gap: Time) {
        if !self.spans.contains_key(node) {
            self.spans.insert(node.to_string(), BTreeMap::new());
        }
        let Some(zones) = self.spans.get_mut(node) else { return };
        match zones.get_mut(zone) {
            Some(span) => {
                if came - span.last_at > gap {
                    span.since = came;
                }
                span.last_at = span.last_at.max(came);
            }
            None => {
                zones.insert(zone.to_string(), ObservationSpan { last_at: came, since: came });
            }
        }
    }

    /// Whether workers of `zone` have reached `node` all along since `since`. Of a node
    /// that has had none of them for `lately` or ever nothing is known, unless it
    /// should have had `part` of them, a few at least.
    pub fn reached_continuously(
        &self,
        now: Time,
        node: &str,
        zone: &str,
        part: usize,
        t: &ObservationWindows,
    ) -> bool {
        match self.spans.get(node).and_then(|zones| zones.get(zone)) {
            Some(span) if now - span.last_at <= t.max_gap_s => span.since <= now - t.required_s,
            Some(span) if now - span.last_at <= t.relevance_s => false,
            _ => part < FEWEST,
        }
    }
}

/// By what a node's hearing is judged, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct ObservationWindows {
    /// A longer silence ends it.
    pub max_gap_s: Time,
    /// What is newer than that may have gaps before it.
    pub required_s: Time,
    /// What is older than that tells nothing.
    pub relevance_s: Time,
}
