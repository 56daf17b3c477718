//! Which nodes the workers of a zone reach, judged by the heartbeats that come through
//! each. A node that its peers hear may be cut off from the workers, or from those of
//! one zone.

use crate::Time;
use std::collections::BTreeMap;

/// Workers of a zone that a node should serve before their absence there says anything
/// about the link between them.
const MIN_EXPECTED_WORKERS: usize = 2;

/// When a zone's heartbeats came through a node last, and since when without a gap.
#[derive(Debug, Clone, Copy)]
struct ObservationSpan {
    last_at: Time,
    since: Time,
}

/// Heartbeats by node and zone. A state machine without clock.
#[derive(Debug, Default)]
pub struct HeartbeatObservations {
    spans: BTreeMap<String, BTreeMap<String, ObservationSpan>>,
}

impl HeartbeatObservations {
    /// Records that a heartbeat of a worker in `zone` came to `node` at `received_at`. A
    /// silence longer than `max_gap_s` interrupts the span of that node and zone.
    pub fn record(&mut self, received_at: Time, node: &str, zone: &str, max_gap_s: f64) {
        if !self.spans.contains_key(node) {
            self.spans.insert(node.to_string(), BTreeMap::new());
        }
        let Some(zones) = self.spans.get_mut(node) else { return };
        match zones.get_mut(zone) {
            Some(span) => {
                if received_at - span.last_at > max_gap_s {
                    span.since = received_at;
                }
                span.last_at = span.last_at.max(received_at);
            }
            None => {
                zones.insert(zone.to_string(), ObservationSpan { last_at: received_at, since: received_at });
            }
        }
    }

    /// Whether workers of `zone` have reached `node` without interruption for the required
    /// time. Nothing is known of a node that has served none of them lately or ever; it
    /// counts as reached unless `expected_workers` of them should be its own.
    pub fn reached_continuously(
        &self,
        now: Time,
        node: &str,
        zone: &str,
        expected_workers: usize,
        windows: &ObservationWindows,
    ) -> bool {
        match self.spans.get(node).and_then(|zones| zones.get(zone)) {
            Some(span) if now - span.last_at <= windows.max_gap_s => span.since <= now - windows.required_s,
            Some(span) if now - span.last_at <= windows.relevance_s => false,
            _ => expected_workers < MIN_EXPECTED_WORKERS,
        }
    }
}

/// The time spans by which observations are judged, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct ObservationWindows {
    /// A longer silence interrupts a span.
    pub max_gap_s: f64,
    /// How long a span has to last; a younger one may follow a gap.
    pub required_s: f64,
    /// Observations older than that say nothing.
    pub relevance_s: f64,
}
