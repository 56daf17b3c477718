//! Observations of which nodes the workers of a zone can reach, from the heartbeats that
//! each node receives. A node that its peers can reach may still be unreachable for the
//! workers, or for those of one zone.

use crate::Time;
use std::collections::BTreeMap;

/// Number of workers of a zone that a node should serve for their absence to say anything
/// about the link between the zone and the node.
const MIN_EXPECTED_WORKERS: usize = 2;

/// Period in which a node received heartbeats from a zone without a gap.
#[derive(Debug, Clone, Copy)]
struct ObservationSpan {
    last_at: Time,
    since: Time,
}

/// Observed heartbeats by node and zone. A state machine without a clock.
#[derive(Debug, Default)]
pub struct HeartbeatObservations {
    spans: BTreeMap<String, BTreeMap<String, ObservationSpan>>,
}

impl HeartbeatObservations {
    /// Records that `node` received a heartbeat of a worker in `zone` at `received_at`. A
    /// silence longer than `max_gap_s` starts a new span for that node and zone.
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
    /// time. If the node has served none of them recently or ever, nothing is known; it then
    /// counts as reached if its expected share of them is too small to tell.
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

/// Time limits by which observations are judged, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct ObservationWindows {
    /// Maximum silence within a span.
    pub max_gap_s: f64,
    /// Minimum duration of a span. A shorter one may have started after a gap.
    pub required_s: f64,
    /// Age beyond which an observation is irrelevant.
    pub relevance_s: f64,
}
