//! Heartbeats that wait for their responses, so that a worker learns of a launch at once.

use crate::agents::early_heartbeats::HeartbeatsBeforeRecovery;
use crate::messages::{RequestId, Time};
use sharding::ProxyId;
use std::collections::{BTreeMap, BTreeSet};

/// How a heartbeat reached the leader, and so how its response goes back.
pub enum ReplyRoute {
    /// The worker sent it to the leader: the request to respond to.
    Direct(RequestId),
    /// Another node forwarded it.
    Forwarded {
        /// The node that holds the worker's request.
        proxy: ProxyId,
        /// The agent epoch of the heartbeat that the response is for.
        epoch: u64,
        /// Its sequence number within that epoch.
        sequence: u64,
    },
}

/// A heartbeat whose response is deferred until there is a command, or until its deadline.
pub struct PendingHeartbeat {
    /// How the response goes back.
    pub reply_route: ReplyRoute,
    /// When it is responded to at the latest.
    pub deadline: Time,
    /// The machine runs nothing: the response waits for a launch.
    pub idle: bool,
}

/// Heartbeats whose responses are deferred, and when they are checked again.
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
