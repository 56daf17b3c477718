//! Forwarding of heartbeats to the leader, in batches; one batch is in flight at a time.

use super::worker::{HeartbeatPosition, ProxiedWorker};
use super::{to_millis, HeartbeatProxy, ProxyAction};
use crate::Time;
use protocol::peer::{ForwardRequest, ForwardedHeartbeat, HeartbeatContent};

/// Maximum number of heartbeats in one batch.
const MAX_BATCH_ENTRIES: usize = 400;
/// Estimated size at which a batch is closed, in bytes.
const MAX_BATCH_BYTES: usize = 48 * 1024;
/// Estimated size of an entry without its machine's name and content, in bytes.
const ENTRY_BYTES: usize = 12;
/// Estimated size of an entry's content without its tasks, in bytes.
const CONTENT_BYTES: usize = 80;
/// Estimated size of a task's status, in bytes.
const TASK_BYTES: usize = 32;

/// A batch that the leader has yet to reply to.
pub(super) struct InFlightBatch {
    pub(super) sequence: u64,
    pub(super) sent_at: Time,
    pub(super) sent_entries: Vec<SentEntry>,
}

/// A heartbeat that was forwarded with a batch.
pub(super) struct SentEntry {
    pub(super) machine: String,
    pub(super) position: HeartbeatPosition,
    /// Whether it was forwarded with its content.
    pub(super) in_full: bool,
}

#[derive(Default)]
struct Batch {
    entries: Vec<ForwardedHeartbeat>,
    sent_entries: Vec<SentEntry>,
}

fn forwarded_heartbeat(
    now: Time,
    machine: String,
    worker: &ProxiedWorker,
    fencing_token: u64,
) -> ForwardedHeartbeat {
    let position_known_to_leader = worker.position_known_to_leader(fencing_token);
    ForwardedHeartbeat {
        machine,
        session: worker.position.epoch,
        seq: worker.position.sequence,
        same_as: position_known_to_leader.map_or(0, |position| position.sequence),
        held: worker.held.is_some(),
        content: position_known_to_leader.is_none().then(|| HeartbeatContent::from(&worker.heartbeat)),
        age_ms: to_millis(now - worker.received_at) as u32,
    }
}

fn estimated_bytes(entry: &ForwardedHeartbeat) -> usize {
    let content_bytes =
        entry.content.as_ref().map_or(0, |content| CONTENT_BYTES + TASK_BYTES * content.tasks.len());
    entry.machine.len() + ENTRY_BYTES + content_bytes
}

impl HeartbeatProxy {
    pub(super) fn enqueue(&mut self, machine: &str) {
        let Some(worker) = self.workers.get_mut(machine) else { return };
        if !worker.queued {
            worker.queued = true;
            self.forward_queue.push_back(machine.to_string());
        }
    }

    /// Sends the next batch if none is in flight and one is due. If there is nothing to forward, an
    /// empty batch is sent after a longer interval, to renew the lease.
    pub(super) fn forward_batch(&mut self, now: Time) {
        let Some(leader) = &self.leader else { return };
        if leader.node == self.node || self.in_flight.is_some() || now < self.earliest_forward_at {
            return;
        }
        // Only a leader that has delegated a lease and is ready processes heartbeats.
        let fencing_token = leader.fencing_token;
        let leader_accepts_heartbeats = self
            .lease
            .as_ref()
            .is_some_and(|lease| lease.leader_ready && lease.fencing_token == fencing_token);
        let has_heartbeats = leader_accepts_heartbeats && !self.forward_queue.is_empty();
        // An empty batch waits one forwarding interval longer.
        if !has_heartbeats && now < self.earliest_forward_at + self.timing.forward_interval_s {
            return;
        }
        let leader_node = leader.node.clone();
        let batch =
            if leader_accepts_heartbeats { self.take_batch(now, fencing_token) } else { Batch::default() };
        self.forward_sequence += 1;
        self.in_flight = Some(InFlightBatch {
            sequence: self.forward_sequence,
            sent_at: now,
            sent_entries: batch.sent_entries,
        });
        let request = ForwardRequest {
            node: self.node.clone(),
            incarnation: self.incarnation,
            number: self.forward_sequence,
            acked: self.acknowledged_sequence,
            token: fencing_token,
            complete: leader_accepts_heartbeats && self.forward_queue.is_empty(),
            entries: batch.entries,
        };
        self.actions.push(ProxyAction::Forward(leader_node, request));
    }

    fn take_batch(&mut self, now: Time, fencing_token: u64) -> Batch {
        let mut batch = Batch::default();
        let mut batch_bytes = 0;
        while batch.entries.len() < MAX_BATCH_ENTRIES && batch_bytes < MAX_BATCH_BYTES {
            let Some(machine) = self.forward_queue.pop_front() else { break };
            let Some(worker) = self.workers.get_mut(&machine) else { continue };
            worker.queued = false;
            let entry = forwarded_heartbeat(now, machine.clone(), worker, fencing_token);
            batch_bytes += estimated_bytes(&entry);
            batch.sent_entries.push(SentEntry {
                machine,
                position: worker.position,
                in_full: entry.content.is_some(),
            });
            batch.entries.push(entry);
        }
        batch
    }
}
