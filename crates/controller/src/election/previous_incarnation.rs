//! Fast failover of a node to itself after a restart.

use crate::election::campaign::ElectionTerms;
use crate::election::leader_watch::ObservedLeader;
use crate::messages::Time;

/// Quick restarts in a row after which a node waits for its lease to expire, so that another node
/// can be elected. Without a limit, a process that crashes soon after each start would lead for
/// ever.
const MAX_QUICK_RESTARTS: u32 = 3;

/// The leader key, while it still names an earlier incarnation of this node.
///
/// Only one process runs under a node's name at a time, so the earlier one has ended: there is no
/// need to wait for its lease to expire (`docs/failure_detection.md` has the argument).
#[derive(Debug, Default)]
pub struct PreviousIncarnation {
    leader: Option<ObservedLeader>,
}

impl PreviousIncarnation {
    /// Records the leader key as last read; None: it does not exist.
    pub fn observe_leader(&mut self, own_node: &str, leader: Option<&ObservedLeader>) {
        self.leader = leader.filter(|leader| leader.record.node == own_node).cloned();
    }

    /// On which terms the key may be replaced at `wall_s` (time of day in seconds).
    ///
    /// None: no such key, or its lease must expire first. An incarnation that led for longer than
    /// `stable_after_s` does not count as a quick restart.
    pub fn succession(&self, wall_s: f64, stable_after_s: Time) -> Option<ElectionTerms> {
        let leader = self.leader.as_ref()?;
        let led_long = wall_s - leader.record.elected_wall_s > stable_after_s;
        let quick_restarts = if led_long { 0 } else { leader.record.quick_restarts + 1 };
        if quick_restarts > MAX_QUICK_RESTARTS {
            return None;
        }
        Some(ElectionTerms { expected_version: leader.token, quick_restarts })
    }
}
