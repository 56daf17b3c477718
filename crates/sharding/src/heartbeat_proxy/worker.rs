//! What a proxy knows of one worker.

use crate::{RequestId, Time};
use protocol::worker::{Heartbeat, TaskState};

/// A heartbeat's place in the order of its worker's heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HeartbeatPosition {
    /// The agent's epoch: differs between two starts of the worker.
    pub(super) epoch: u64,
    /// Counts the heartbeats of an epoch.
    pub(super) sequence: u64,
}

impl HeartbeatPosition {
    /// Before every heartbeat.
    const START: HeartbeatPosition = HeartbeatPosition { epoch: 0, sequence: 0 };

    pub(super) fn of(heartbeat: &Heartbeat) -> Self {
        HeartbeatPosition { epoch: heartbeat.epoch, sequence: heartbeat.sequence }
    }
}

/// A heartbeat whose response waits for the leader.
pub(super) struct HeldHeartbeat {
    pub(super) request: RequestId,
    pub(super) received_at: Time,
    /// Its key in `HeartbeatProxy::hold_deadlines`.
    pub(super) deadline_ms: u64,
}

/// Content that a leader has received in full.
#[derive(Clone, Copy)]
pub(super) struct ForwardedContent {
    pub(super) fencing_token: u64,
    /// The heartbeat with which it was forwarded.
    pub(super) position: HeartbeatPosition,
}

/// A worker whose heartbeats come to this node.
pub(super) struct ProxiedWorker {
    /// The newest heartbeat.
    pub(super) heartbeat: Heartbeat,
    pub(super) position: HeartbeatPosition,
    /// The first heartbeat of those with the present content.
    pub(super) unchanged_since: HeartbeatPosition,
    pub(super) forwarded: Option<ForwardedContent>,
    /// When the newest heartbeat came.
    pub(super) received_at: Time,
    /// As `received_at`, but earlier for a worker that was redirected.
    pub(super) last_seen_at: Time,
    pub(super) held: Option<HeldHeartbeat>,
    /// It is in the forward queue.
    pub(super) queued: bool,
}

impl ProxiedWorker {
    /// A worker that came just now. `heartbeat` has yet to be recorded.
    pub(super) fn new(now: Time, position: HeartbeatPosition, heartbeat: Heartbeat) -> Self {
        ProxiedWorker {
            heartbeat,
            position: HeartbeatPosition::START,
            unchanged_since: position,
            forwarded: None,
            received_at: now,
            last_seen_at: now,
            held: None,
            queued: false,
        }
    }

    /// Takes in a heartbeat that is newer than all before. After a gap longer than
    /// `validity_s` the worker may have been served elsewhere, so that the leader has
    /// to see its content again.
    pub(super) fn record_heartbeat(
        &mut self,
        now: Time,
        position: HeartbeatPosition,
        heartbeat: Heartbeat,
        validity_s: f64,
    ) {
        if now - self.last_seen_at > validity_s {
            self.forwarded = None;
        }
        if !is_same_content(&self.heartbeat, &heartbeat) {
            self.unchanged_since = position;
        }
        self.position = position;
        self.received_at = now;
        self.last_seen_at = now;
        self.heartbeat = heartbeat;
    }

    /// The position at which the leader of that term received the present content.
    pub(super) fn known_position(&self, fencing_token: u64) -> Option<HeartbeatPosition> {
        let forwarded = self.forwarded?;
        let is_current =
            forwarded.fencing_token == fencing_token && self.unchanged_since <= forwarded.position;
        is_current.then_some(forwarded.position)
    }

    /// Whether the leader of that term has the present content.
    pub(super) fn is_known_to_leader(&self, fencing_token: u64) -> bool {
        self.known_position(fencing_token).is_some()
    }

    /// Whether no task is there that has not exited.
    pub(super) fn is_idle(&self) -> bool {
        self.heartbeat.tasks.iter().all(|task| task.state == TaskState::Exited)
    }
}

/// Whether a task has exited, which only the leader may acknowledge.
pub(super) fn has_exited_task(heartbeat: &Heartbeat) -> bool {
    heartbeat.tasks.iter().any(|task| task.state == TaskState::Exited)
}

/// Whether `new` says the same as `old`. A preemption notice always is news.
pub(super) fn is_same_content(old: &Heartbeat, new: &Heartbeat) -> bool {
    old.epoch == new.epoch
        && old.fencing_token == new.fencing_token
        && old.addr == new.addr
        && old.machine_type == new.machine_type
        && old.zone == new.zone
        && old.spot == new.spot
        && old.notice_s.is_none()
        && new.notice_s.is_none()
        && old.tasks == new.tasks
}
