//! Heartbeats that wait for their responses.

use crate::agents::early_heartbeats::HeartbeatsBeforeRecovery;
use crate::agents::heartbeats::PendingHeartbeat;
use crate::messages::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Heartbeats whose responses are deferred, and when they are looked at again.
pub struct HeartbeatQueue {
    /// Heartbeats that wait for a response, by machine.
    pub pending: BTreeMap<String, PendingHeartbeat>,
    /// Heartbeats that came before the records were read.
    pub early: HeartbeatsBeforeRecovery,
    /// Machines whose response may have become ready.
    pub to_check: BTreeSet<String>,
    /// When all pending heartbeats are checked next.
    pub check_all_at: Time,
}

impl HeartbeatQueue {
    /// An empty queue.
    pub fn new(now: Time) -> Self {
        HeartbeatQueue {
            pending: BTreeMap::new(),
            early: HeartbeatsBeforeRecovery::default(),
            to_check: BTreeSet::new(),
            check_all_at: now,
        }
    }
}
