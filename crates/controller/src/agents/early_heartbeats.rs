//! Heartbeats that reach a new leader before it has read the stored records. The leader can't
//! respond to them yet: a response renews the worker's lease, and the leader doesn't know which
//! tasks were cancelled.

use crate::messages::{RequestId, Time};
use protocol::worker::Heartbeat;
use std::collections::BTreeMap;

struct EarlyHeartbeat {
    request: RequestId,
    heartbeat: Heartbeat,
    deadline: Time,
}

/// The newest early heartbeat of each machine.
#[derive(Default)]
pub struct HeartbeatsBeforeRecovery {
    waiting: BTreeMap<String, EarlyHeartbeat>,
    /// A lower bound of all deadlines, so that most ticks need no scan.
    next_deadline: Time,
}

impl HeartbeatsBeforeRecovery {
    /// Keeps the newest heartbeat of each machine until its `deadline`. Returns the superseded
    /// request, if any: that of an older heartbeat, or `request` itself if a newer heartbeat
    /// already waits. Without this comparison, a delayed duplicate replaced the heartbeat whose
    /// worker was still waiting.
    pub fn insert(&mut self, request: RequestId, heartbeat: &Heartbeat, deadline: Time) -> Option<RequestId> {
        let position = (heartbeat.epoch, heartbeat.sequence);
        let is_newer = |early: &EarlyHeartbeat| (early.heartbeat.epoch, early.heartbeat.sequence) > position;
        if self.waiting.get(&heartbeat.machine).is_some_and(is_newer) {
            return Some(request);
        }
        if self.waiting.is_empty() || deadline < self.next_deadline {
            self.next_deadline = deadline;
        }
        let early = EarlyHeartbeat { request, heartbeat: heartbeat.clone(), deadline };
        let superseded = self.waiting.insert(heartbeat.machine.clone(), early)?;
        Some(superseded.request)
    }

    /// Removes the heartbeats whose deadline has passed and returns their requests.
    pub fn take_expired(&mut self, now: Time) -> Vec<RequestId> {
        if self.waiting.is_empty() || now < self.next_deadline {
            return Vec::new();
        }
        let mut expired = Vec::new();
        self.waiting.retain(|_, early| {
            let keep = now < early.deadline;
            if !keep {
                expired.push(early.request);
            }
            keep
        });
        self.next_deadline = self.waiting.values().map(|early| early.deadline).fold(Time::MAX, Time::min);
        expired
    }

    /// Removes and returns all waiting heartbeats.
    pub fn take_all(&mut self) -> Vec<(RequestId, Heartbeat)> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|early| (early.request, early.heartbeat)).collect()
    }
}
