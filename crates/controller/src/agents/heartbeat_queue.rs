//! Heartbeats whose responses are deferred, so that a worker learns of a launch immediately.

use crate::agents::early_heartbeats::HeartbeatsBeforeRecovery;
use crate::messages::{RequestId, Time};
use sharding::ProxyId;
use std::collections::{BTreeMap, BTreeSet};

/// Route on which a heartbeat reached the leader and on which its response is sent back.
pub enum ReplyRoute {
    /// The worker sent it directly to the leader, with this request.
    Direct(RequestId),
    /// Another node forwarded it.
    Forwarded {
        /// The node that holds the worker's request.
        proxy: ProxyId,
        /// The agent epoch of the heartbeat.
        epoch: u64,
        /// The heartbeat's sequence number within that epoch.
        sequence: u64,
    },
}

/// A heartbeat whose response is deferred until there is a command, or until its deadline.
pub struct PendingHeartbeat {
    /// Route on which the response is sent.
    pub reply_route: ReplyRoute,
    /// Time by which the response is sent at the latest.
    pub deadline: Time,
    /// Whether the machine runs nothing, so that the response waits for a launch.
    pub idle: bool,
}

/// Heartbeats whose responses are deferred, and the schedule for checking them.
pub struct HeartbeatQueue {
    /// Heartbeats that wait for a response, by machine.
    pub pending: BTreeMap<String, PendingHeartbeat>,
    /// Heartbeats that arrived before the stored records were read.
    pub early: HeartbeatsBeforeRecovery,
    /// Machines whose response may have become ready.
    pub to_check: BTreeSet<String>,
    /// Time of the next check of all pending heartbeats.
    pub check_all_at: Time,
}

impl HeartbeatQueue {
    /// Creates an empty queue.
    pub fn new(now: Time) -> Self {
        HeartbeatQueue {
            pending: BTreeMap::new(),
            early: HeartbeatsBeforeRecovery::default(),
            to_check: BTreeSet::new(),
            check_all_at: now,
        }
    }
}
