//! Reread of records after a conflict or a write whose outcome is unknown.

use crate::model::records::{parse_page_key, Value, JOB_PREFIX, MARK_PREFIX};
use crate::{CallContext, Controller, StoreReply, StoreRequest};
use protocol::state::Item;
use std::collections::BTreeSet;

impl Controller {
    /// Reads these keys back. Nothing is written before all of them are known.
    pub(super) fn read_back_keys(&mut self, token: u64, keys: Vec<String>) {
        if let Some(leader) = self.leader_state(token) {
            leader.write_queue.rereads_in_flight += keys.len() as u32;
        }
        for key in keys {
            self.call_store(CallContext::ReadBackRecord { token, key: key.clone() }, StoreRequest::Get(key));
        }
    }

    /// Handles the reply to the reread of a record.
    pub(crate) fn on_read_back_record(&mut self, token: u64, key: &str, reply: StoreReply) {
        let Some(leader) = self.leader_state(token) else { return };
        let is_known = matches!(reply, StoreReply::Item(_) | StoreReply::Missing(_));
        if !is_known {
            // Nothing may be written before this record is known, so the read is repeated, with a
            // delay: otherwise an outage would cause a storm of reads.
            leader.write_queue.failed_rereads.push(key.to_string());
            return self.delay_writes(token);
        }
        leader.write_queue.rereads_in_flight -= 1;
        let all_known = leader.write_queue.rereads_in_flight == 0;
        match reply {
            StoreReply::Item(Item { value, version, .. }) => {
                self.on_reread_value(token, key, value, version);
            }
            StoreReply::Missing(revision) => self.on_reread_missing(token, key, revision),
            _ => {}
        }
        if all_known {
            self.replay_deferred_records();
        }
    }

    fn on_reread_value(&mut self, token: u64, key: &str, value: Value, version: u64) {
        let unreported_until = self.unreported_work_expiry();
        let Some(leader) = self.leader_state(token) else { return };
        match value {
            Value::Job(record) => {
                let id = &record.spec.id;
                if let Some(job) = leader.cluster.jobs.get_mut(id) {
                    job.reconcile(&record, version);
                }
                leader.planning.needed = true;
                self.record_outcome(id, record.status);
                self.settle_terminal(id);
            }
            Value::Page(record) => {
                let Some((id, page, layout)) = parse_page_key(key) else { return };
                let Some(job) = leader.cluster.jobs.get_mut(id) else { return };
                if job.page_layout.number == layout {
                    job.reconcile_page(page, &record);
                    job.page_layout.record_stored(&BTreeSet::from([page]), version);
                }
            }
            Value::Terminal(mark) => {
                if let Some(id) = key.strip_prefix(MARK_PREFIX) {
                    self.observe_cancellation_mark(id, mark.status, version);
                }
            }
            // The job is quarantined. Otherwise its record would be reread and rewritten in turns
            // forever, which would block all other writes.
            Value::Undecodable => drop(leader.quarantine_undecodable(key, unreported_until)),
            _ => {}
        }
    }

    /// Handles a missing key: a page that is not stored, whose version is 0; a cancellation
    /// mark that was removed; or the record of a job that has ended and was archived. In the last
    /// case it is not known by whom and with which status: a leader that was cut off must not assume
    /// that its own move succeeded, or it could report a cancelled job as done.
    fn on_reread_missing(&mut self, token: u64, key: &str, revision: u64) {
        let Some(leader) = self.leader_state(token) else { return };
        if let Some(id) = key.strip_prefix(JOB_PREFIX) {
            leader.archive.archived.record(id, revision);
            if leader.cluster.jobs.remove(id).is_some() {
                self.on_archived_with_unknown_outcome(id);
            }
        } else if let Some(id) = key.strip_prefix(MARK_PREFIX) {
            if let Some(job) = leader.cluster.jobs.get_mut(id) {
                job.cancellation_mark.version = None;
            }
        } else if let Some((id, page, layout)) = parse_page_key(key) {
            if let Some(job) = leader.cluster.jobs.get_mut(id) {
                if job.page_layout.number == layout {
                    job.page_layout.on_page_missing(page);
                }
            }
        }
    }
}
