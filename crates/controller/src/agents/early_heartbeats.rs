//! Reports that come before a new leader has read the records. It cannot answer them yet: an
//! answer renews a lease, and what was cancelled it does not know.

use crate::messages::{RequestId, Time};
use protocol::worker::Heartbeat;
use std::collections::BTreeMap;

struct DeferredHeartbeat {
    request: RequestId,
    heartbeat: Heartbeat,
    until: Time,
}

/// The newest such report of each machine.
#[derive(Default)]
pub struct HeartbeatsBeforeRecovery {
    waiting: BTreeMap<String, DeferredHeartbeat>,
    /// No report's time is over before.
    next_deadline: Time,
}

impl HeartbeatsBeforeRecovery {
    /// Keeps a report until `until`, of each machine the newest; returns the request of an older
    /// one. (A late copy once took the place of the report whose worker waited.)
    pub fn insert(&mut self, request: RequestId, heartbeat: &Heartbeat, until: Time) -> Option<RequestId> {
        let place = (heartbeat.epoch, heartbeat.sequence);
        let newer = |w: &DeferredHeartbeat| (w.heartbeat.epoch, w.heartbeat.sequence) > place;
        if self.waiting.get(&heartbeat.machine).is_some_and(newer) {
            return Some(request);
        }
        if self.waiting.is_empty() || until < self.next_deadline {
            self.next_deadline = until;
        }
        let waiting = DeferredHeartbeat { request, heartbeat: heartbeat.clone(), until };
        Some(self.waiting.insert(heartbeat.machine.clone(), waiting)?.request)
    }

    /// Requests whose workers will not wait any longer.
    pub fn take_expired(&mut self, now: Time) -> Vec<RequestId> {
        if self.waiting.is_empty() || now < self.next_deadline {
            return Vec::new();
        }
        let mut late = Vec::new();
        self.waiting.retain(|_, w| {
            let keep = now < w.until;
            if !keep {
                late.push(w.request);
            }
            keep
        });
        self.next_deadline = self.waiting.values().map(|w| w.until).fold(Time::MAX, Time::min);
        late
    }

    /// All that wait.
    pub fn take_all(&mut self) -> Vec<(RequestId, Heartbeat)> {
        std::mem::take(&mut self.waiting).into_values().map(|w| (w.request, w.heartbeat)).collect()
    }
}
