//! Handling of the outcome of a transaction.

use super::{InFlightTransaction, TransactionEntry};
use crate::leader::state::LeaderState;
use crate::model::job::Job;
use crate::model::records::{job_key, mark_key, page_key, Value};
use crate::storage::fencing::{is_fenced, LEADERSHIP_LOST};
use crate::{Controller, StoreReply};
use protocol::job::JobStatus;
use protocol::state::Event;
use tracing::{debug, warn};

/// Number of conflicts in a row after which the writes of a job are suspended.
const MAX_CONFLICTS_IN_A_ROW: u32 = 4;

impl Controller {
    /// Handles the reply to the transaction with this serial number.
    pub(crate) fn on_commit_reply(&mut self, token: u64, serial: u64, reply: StoreReply) {
        let Some(leader) = self.leader_state(token) else { return };
        let Some(txn) = leader.write_queue.in_flight.take_if(|txn| txn.serial == serial) else { return };
        match reply {
            StoreReply::Committed(revision) => {
                self.store_limits.on_write_served();
                self.on_transaction_applied(token, txn.entries, revision);
            }
            StoreReply::Conflict(conflict) => {
                if is_fenced(&conflict) {
                    return self.step_down(LEADERSHIP_LOST);
                }
                debug!(failed = ?conflict.failed, "write conflict: records changed");
                self.count_conflicts(token, &txn.entries, &conflict.failed);
                self.read_back_keys(token, conflict.failed);
            }
            StoreReply::Refused | StoreReply::Gone => self.delay_writes(token),
            StoreReply::Limited => {
                self.delay_writes(token);
                self.on_rate_limited();
            }
            StoreReply::Invalid => {
                log_refused_transaction(&txn);
                self.on_transaction_invalid(token, &txn);
            }
            _ => {
                // The transaction may have been applied, or may still be. The stored versions show
                // whether it was; if other writes are committed first, the delayed transaction fails its
                // version compares.
                warn!(serial, "write outcome unknown, reading back");
                let keys = leader.written_keys(&txn.entries);
                self.read_back_keys(token, keys);
            }
        }
        // Records are deferred again while keys are being read back.
        self.replay_deferred_records();
    }

    /// Delays the next write and the next retry of a failed read-back.
    pub(super) fn delay_writes(&mut self, token: u64) {
        let retry_at = self.store_retry_at();
        if let Some(leader) = self.leader_state(token) {
            leader.write_queue.retry_at = retry_at;
        }
    }

    /// Completes the transaction in flight if the watch shows its values before the reply arrives.
    /// Without this, a lost reply would block all writes until the call times out.
    pub(crate) fn observe_own_write(&mut self, token: u64, events: &[Event<Value>]) {
        let Some(leader) = self.leader_state(token) else { return };
        let Some(revision) = leader.write_queue.in_flight.as_ref().and_then(|txn| txn.stored_at(events))
        else {
            return;
        };
        let Some(txn) = leader.write_queue.in_flight.take() else { return };
        self.store_limits.on_write_served();
        self.on_transaction_applied(token, txn.entries, revision);
        self.replay_deferred_records();
    }

    /// Updates the jobs after a transaction with these entries was applied at `revision`.
    fn on_transaction_applied(&mut self, token: u64, entries: Vec<TransactionEntry>, revision: u64) {
        if let Some(leader) = self.leader_state(token) {
            for entry in entries.iter().filter(|entry| entry.final_status == Some(JobStatus::Done)) {
                leader.record_inherited_priority(&entry.job_id);
            }
        }
        for entry in entries.iter().filter(|entry| entry.archives) {
            self.on_job_archived(&entry.job_id, revision);
        }
        let Some(leader) = self.leader_state(token) else { return };
        for entry in &entries {
            leader.on_job_stored(entry, revision);
        }
        for entry in &entries {
            if entry.marks_ready {
                self.on_ready_stored(&entry.job_id);
            }
            if let Some(status) = entry.final_status {
                self.record_outcome(&entry.job_id, status);
            }
            self.settle_terminal(&entry.job_id);
        }
    }

    /// Handles a transaction that the store rejected as invalid. Its jobs are then written one by one
    /// to find the rejected record. If a record may exceed the announced limits, but fits the current
    /// ones, the announced limits are taken to be in force from now on. A job that was rejected alone
    /// is suspended, unless its next write will be smaller: an unchanged write would be rejected again
    /// and hold up those of other jobs.
    fn on_transaction_invalid(&mut self, token: u64, txn: &InFlightTransaction) {
        let current_value_bytes = self.store_limits.current_value_bytes();
        let Some(leader) = self.leader_state(token) else { return };
        let may_exceed_announced_limits =
            txn.entries.iter().any(|entry| leader.may_exceed_announced_limits(&entry.job_id));
        if may_exceed_announced_limits && txn.largest_value_bytes() <= current_value_bytes {
            self.on_size_refused();
        }
        let may_change_layout = self.uses_current_format();
        let (now, lease_s) = (self.now, self.settings.params.workers.lease_s);
        let Some(leader) = self.leader_state(token) else { return };
        leader.write_queue.write_now = true;
        for entry in &txn.entries {
            let Some(job) = leader.cluster.jobs.get_mut(&entry.job_id) else { continue };
            job.persistence.write_alone = true;
            let next_is_smaller = may_change_layout && !entry.archives && job.is_new_layout_due();
            if txn.entries.len() == 1
                && !(next_is_smaller && job.persistence.take_immediate_retry(&entry.write.pages))
            {
                job.suspend_writes(&entry.write.pages, now, lease_s);
            }
        }
    }

    /// Counts a conflict against the jobs whose records had changed. A job whose writes keep failing,
    /// although its records are read back after each of them, is suspended.
    fn count_conflicts(&mut self, token: u64, entries: &[TransactionEntry], failed: &[String]) {
        let (now, lease_s) = (self.now, self.settings.params.workers.lease_s);
        let Some(leader) = self.leader_state(token) else { return };
        for entry in entries {
            let mut keys = leader.written_keys(std::slice::from_ref(entry));
            keys.extend([job_key(&entry.job_id), mark_key(&entry.job_id)]);
            keys.extend(entry.spec_chunk_keys.iter().cloned());
            let is_affected = keys.iter().any(|key| failed.contains(key));
            let Some(job) = leader.cluster.jobs.get_mut(&entry.job_id) else { continue };
            if !is_affected {
                continue;
            }
            let conflicts = job.persistence.record_refusal(&entry.write.pages);
            // A second conflict in a row may not be the last: it must not fail the writes of others.
            job.persistence.write_alone |= conflicts > 1;
            if conflicts > MAX_CONFLICTS_IN_A_ROW {
                job.suspend_writes(&entry.write.pages, now, lease_s);
            }
        }
    }
}

/// Logs the jobs of a transaction that the store rejected as invalid, and the sizes of its values.
fn log_refused_transaction(txn: &InFlightTransaction) {
    let jobs: Vec<&str> = txn.entries.iter().map(|entry| entry.job_id.as_str()).collect();
    let value_bytes: Vec<usize> = txn.value_bytes().collect();
    debug!(serial = txn.serial, ?jobs, ?value_bytes, "state service refused a transaction as invalid");
}

impl LeaderState {
    fn on_job_stored(&mut self, entry: &TransactionEntry, revision: u64) {
        let Some(job) = self.cluster.jobs.get_mut(&entry.job_id) else { return };
        job.on_spec_chunks_stored(&entry.spec_chunk_keys);
        job.on_stored(&entry.write, revision);
        self.archive.discard_keys(job.page_layout.take_obsolete_keys(&entry.job_id));
        let machines = job.placements.values().map(|placement| placement.machine.clone());
        self.heartbeats.to_check.extend(machines);
    }

    fn may_exceed_announced_limits(&self, id: &str) -> bool {
        let exceeds = |job: &Job| job.exceeds_next_limit() || job.page_layout.exceeds_next_limit();
        self.cluster.jobs.get(id).is_some_and(exceeds)
    }

    /// Returns the keys of the live records and pages that a transaction with these entries puts or
    /// deletes.
    fn written_keys(&self, entries: &[TransactionEntry]) -> Vec<String> {
        let mut keys = Vec::new();
        for entry in entries {
            let layout = self.cluster.jobs.get(&entry.job_id).map_or(0, |job| job.page_layout.number);
            keys.extend(entry.write.pages.iter().map(|&page| match page {
                0 => job_key(&entry.job_id),
                _ => page_key(&entry.job_id, page, layout),
            }));
        }
        keys
    }
}
