//! Reading records back after a conflict, or a write whose outcome is unknown.

use crate::model::records::{page_of_key, Value, JOB_PREFIX, MARK_PREFIX};
use crate::{CallContext, Controller, StoreReply, StoreRequest};
use protocol::state::Item;
use std::collections::BTreeSet;

impl Controller {
    /// Reads these keys. Nothing is written before all are known.
    pub(super) fn read_back_keys(&mut self, token: u64, keys: Vec<String>) {
        if let Some(leader) = self.leader_state(token) {
            leader.write_queue.rereads_in_flight += keys.len() as u32;
        }
        for key in keys {
            self.call_store(CallContext::ReadBackRecord { token, key: key.clone() }, StoreRequest::Get(key));
        }
    }

    /// The reply to a record's reread.
    pub(crate) fn on_read_back_record(&mut self, token: u64, key: &str, reply: StoreReply) {
        let Some(leader) = self.leader_state(token) else { return };
        let is_known = matches!(reply, StoreReply::Item(_) | StoreReply::Missing(_));
        if !is_known {
            // Nothing may be written before this is known: ask again, but
            // not at once, or an outage becomes a storm of reads.
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
                let Some((id, page, layout)) = page_of_key(key) else { return };
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
            // (It was once read back and written in turn, for ever, and nothing else was.)
            Value::Undecodable => drop(leader.quarantine_undecodable(key, unreported_until)),
            _ => {}
        }
    }

    /// A key is missing: a page that was never written, whose version is 0 still; a mark that was
    /// removed; or a job that has ended, and whose record has moved. By whom and with which status
    /// is not known. (A leader that was cut off once took its own move, which
    /// had failed, for done, and called a cancelled job done.)
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
        }
    }
}
