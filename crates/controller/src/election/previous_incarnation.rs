//! Fast re-election of a leader that restarts.

use crate::election::campaign::ElectionTerms;
use crate::election::leader_watch::ObservedLeader;
use crate::messages::Time;

/// Number of consecutive quick restarts after which a node waits for its lease to expire, so that
/// another node can be elected. Without a limit, a process that crashes soon after each start would
/// remain leader forever.
const MAX_QUICK_RESTARTS: u32 = 3;

/// Leader key, while it names an earlier incarnation of this node.
///
/// Only one process runs under a node's name at a time, so the earlier process has ended and its
/// lease need not expire first (`docs/failure_detection.md` has the argument).
#[derive(Debug, Default)]
pub struct PreviousIncarnation {
    leader: Option<ObservedLeader>,
}

impl PreviousIncarnation {
    /// Records the leader key as last read; None if it does not exist.
    pub fn observe_leader(&mut self, own_node: &str, leader: Option<&ObservedLeader>) {
        self.leader = leader.filter(|leader| leader.record.node == own_node).cloned();
    }

    /// Returns the terms on which the key may be replaced at `wall_s` (time of day in seconds); None
    /// if there is no such key or its lease must expire first.
    ///
    /// The restart of an incarnation that led for longer than `stable_after_s` does not count as a
    /// quick restart.
    pub fn succession_terms(&self, wall_s: f64, stable_after_s: Time) -> Option<ElectionTerms> {
        let leader = self.leader.as_ref()?;
        let was_stable = wall_s - leader.record.elected_wall_s > stable_after_s;
        let quick_restarts = if was_stable { 0 } else { leader.record.quick_restarts + 1 };
        if quick_restarts > MAX_QUICK_RESTARTS {
            return None;
        }
        Some(ElectionTerms { expected_version: leader.token, quick_restarts })
    }
}
