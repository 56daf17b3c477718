//! State that a proxy keeps for each worker.

use crate::{RequestId, Time};
use protocol::worker::{Heartbeat, TaskState};

/// Position of a heartbeat in the sequence of its worker's heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HeartbeatPosition {
    /// The agent's epoch, which differs between two starts of the worker.
    pub(super) epoch: u64,
    /// Sequence number of the heartbeat within the epoch.
    pub(super) sequence: u64,
}

impl HeartbeatPosition {
    /// Position before the first heartbeat.
    const START: HeartbeatPosition = HeartbeatPosition { epoch: 0, sequence: 0 };

    pub(super) fn of(heartbeat: &Heartbeat) -> Self {
        HeartbeatPosition { epoch: heartbeat.epoch, sequence: heartbeat.sequence }
    }
}

/// Request of a heartbeat whose response waits for the leader.
pub(super) struct HeldHeartbeat {
    pub(super) request: RequestId,
    pub(super) received_at: Time,
    /// Deadline under which it is listed in `HeartbeatProxy::hold_deadlines`.
    pub(super) deadline_ms: u64,
}

/// Record of the last content that a leader received in full.
#[derive(Clone, Copy)]
pub(super) struct ForwardedContent {
    pub(super) fencing_token: u64,
    /// Position of the heartbeat with which the content was forwarded.
    pub(super) position: HeartbeatPosition,
}

/// A worker that sends its heartbeats to this node.
pub(super) struct ProxiedWorker {
    /// The newest heartbeat.
    pub(super) heartbeat: Heartbeat,
    pub(super) position: HeartbeatPosition,
    /// Position of the first heartbeat with the current content.
    pub(super) unchanged_since: HeartbeatPosition,
    pub(super) forwarded: Option<ForwardedContent>,
    /// Arrival time of the newest heartbeat.
    pub(super) received_at: Time,
    /// Same as `received_at`, but earlier for a worker that was redirected.
    pub(super) last_seen_at: Time,
    pub(super) held: Option<HeldHeartbeat>,
    /// Whether the worker's machine is in the forward queue.
    pub(super) queued: bool,
}

impl ProxiedWorker {
    /// Creates the state of a new worker, whose `heartbeat` has yet to be recorded.
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

    /// Records a heartbeat that is newer than all previous ones. After a gap longer than
    /// `validity_s` the worker may have been served by another node, so the leader has to
    /// receive its content again.
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

    /// Returns the position with which the leader of the given term received the current
    /// content, if it did.
    pub(super) fn position_known_to_leader(&self, fencing_token: u64) -> Option<HeartbeatPosition> {
        let forwarded = self.forwarded?;
        let is_current =
            forwarded.fencing_token == fencing_token && self.unchanged_since <= forwarded.position;
        is_current.then_some(forwarded.position)
    }

    /// Whether the leader of the given term has received the current content.
    pub(super) fn is_known_to_leader(&self, fencing_token: u64) -> bool {
        self.position_known_to_leader(fencing_token).is_some()
    }

    /// Whether all of the worker's tasks have exited, or it has none.
    pub(super) fn is_idle(&self) -> bool {
        self.heartbeat.tasks.iter().all(|task| task.state == TaskState::Exited)
    }
}

/// Whether a heartbeat lists an exited task. Only the leader may acknowledge task exits.
pub(super) fn has_exited_task(heartbeat: &Heartbeat) -> bool {
    heartbeat.tasks.iter().any(|task| task.state == TaskState::Exited)
}

/// Whether `new` has the same content as `old`. A heartbeat with a reclaim notice always
/// counts as new content.
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
