//! Stored agreement on the record format that all nodes can read. The leader raises it, and every
//! node reads it.

use crate::leader::state::Role;
use crate::messages::Time;
use crate::model::records::{Value, FORMAT, FORMAT_KEY};
use crate::storage::fencing::leader_compare;
use crate::{CallContext, Controller, StoreReply, StoreRequest};
use protocol::state::{Compare, Item, Mutation, Transaction};
use tracing::info;

/// Stored format and the version of its key; both 0 if none is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StoredFormat {
    format: u32,
    version: u64,
}

/// Leader's knowledge of the agreed record format.
#[derive(Debug, Default)]
pub struct FormatAgreement {
    /// Format as last read or written; None if not known yet.
    stored: Option<StoredFormat>,
    in_flight: bool,
    check_at: Time,
}

impl FormatAgreement {
    /// Returns the format that all nodes can read; None if not known yet.
    pub fn agreed(&self) -> Option<u32> {
        self.stored.map(|stored| stored.format)
    }

    /// Whether the next check is due; none is needed once the newest format is agreed.
    fn is_check_due(&self, now: Time) -> bool {
        let is_current = self.agreed().is_some_and(|format| format >= FORMAT);
        !self.in_flight && !is_current && now >= self.check_at
    }

    fn on_stored(&mut self, format: u32, version: u64) {
        self.stored = Some(StoredFormat { format, version });
    }
}

/// Returns the transaction that raises the stored format.
fn raise_format(fencing_token: u64, format: u32, version: u64) -> Transaction<Value> {
    let key = FORMAT_KEY.to_string();
    let unchanged = Compare { key: key.clone(), version };
    Transaction {
        compares: vec![leader_compare(fencing_token), unchanged],
        mutations: vec![Mutation::Put { key, value: Value::Format(format), lease: None }],
    }
}

impl Controller {
    /// Raises the stored format once every node is known to read a newer one. The stored format is
    /// never lowered.
    pub(crate) fn tick_format_agreement(&mut self) {
        let now = self.now;
        let interval_s = self.timing.renewal_interval_s;
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        let agreement = &mut leader.archive.format;
        if !agreement.is_check_due(now) {
            return;
        }
        agreement.check_at = now + interval_s;
        let common_format = self.formats.common_format(&self.settings.peers);
        match agreement.stored {
            None => {
                agreement.in_flight = true;
                let request = StoreRequest::Get(FORMAT_KEY.to_string());
                self.call_store(CallContext::FormatRead { token }, request);
            }
            Some(stored) if common_format > stored.format => {
                agreement.in_flight = true;
                let request = StoreRequest::Commit(raise_format(token, common_format, stored.version));
                self.call_store(CallContext::FormatWrite { token, format: common_format }, request);
            }
            Some(_) => {}
        }
    }

    /// Handles the reply to the leader's read of the stored format.
    pub(crate) fn on_format_read(&mut self, token: u64, reply: StoreReply) {
        let Some(leader) = self.leader_state(token) else { return };
        let agreement = &mut leader.archive.format;
        agreement.in_flight = false;
        match reply {
            StoreReply::Item(Item { value: Value::Format(format), version, .. }) => {
                agreement.on_stored(format, version);
                if format >= FORMAT {
                    self.formats.confirm();
                }
            }
            StoreReply::Missing(_) => agreement.on_stored(0, 0),
            _ => {}
        }
    }

    /// Handles the reply to the leader's write of a newer format.
    pub(crate) fn on_format_write(&mut self, token: u64, format: u32, reply: StoreReply) {
        let Some(leader) = self.leader_state(token) else { return };
        let agreement = &mut leader.archive.format;
        agreement.in_flight = false;
        if let StoreReply::Committed(revision) = reply {
            info!(format, "record format activated: all nodes can read it");
            agreement.on_stored(format, revision);
        } else {
            agreement.stored = None;
        }
    }

    /// Reads the stored format, on any node, until every node is known to have this version.
    pub(crate) fn tick_format_gate(&mut self) {
        if self.uses_current_format() {
            return;
        }
        if self.formats.gate.begin(self.now, self.timing.renewal_interval_s) {
            self.call_store(CallContext::FormatGateRead, StoreRequest::Get(FORMAT_KEY.to_string()));
        }
    }

    /// Handles the reply to a node's read of the stored format.
    pub(crate) fn on_format_gate_read(&mut self, reply: StoreReply) {
        self.formats.gate.end(matches!(reply, StoreReply::Item(_) | StoreReply::Missing(_)));
        if matches!(reply, StoreReply::Item(Item { value: Value::Format(format), .. }) if format >= FORMAT) {
            self.formats.confirm();
        }
    }
}
