//! Requests to the key-value store, pending watches, and calls to the cloud.

use super::*;
use protocol::state::Mutation;

/// Watch that is waiting for a change.
pub(super) struct PendingWatch {
    call: CallKey,
    request: StoreRequest,
    /// Time at which it is answered if there was no change.
    until: f64,
}

/// Transaction that was applied although its sender received no response.
#[derive(Debug, Clone, PartialEq)]
pub struct UnansweredWrite {
    /// Time at which it was applied.
    pub at: f64,
    /// Node that sent it.
    pub node: usize,
    /// Keys that it changed.
    pub keys: Vec<String>,
}

impl Simulation {
    /// Returns whether the store serves the requests of a node.
    pub(super) fn store_serves(&self, node: usize) -> bool {
        self.now >= self.faults.store_down_until.max(self.nodes[node].store_refuses_until)
    }

    pub(super) fn serve_store_request(&mut self, call: CallKey, request: StoreRequest) {
        let cut_until = self.store_link_cut_until(call.node);
        if !self.store_serves(call.node) {
            // Watches that are already pending are kept.
            return self.reply(call, Input::Store(call.call, StoreReply::Refused), cut_until, None);
        }
        let revision_before = self.store.revision;
        match self.store.execute(self.now, &request) {
            Some(reply) => self.reply_from_store(call, reply, cut_until),
            None => {
                if let StoreRequest::Watch { wait_ms, .. } = &request {
                    let until = self.now + *wait_ms as f64 / 1000.0;
                    self.watches.push(PendingWatch { call, request, until });
                }
            }
        }
        if self.store.revision != revision_before {
            self.answer_watches();
        }
    }

    fn reply_from_store(&mut self, call: CallKey, reply: StoreReply, cut_until: f64) {
        self.metrics.conflicts += u64::from(matches!(reply, StoreReply::Conflict(_)));
        if matches!(reply, StoreReply::Committed(_)) {
            let last = &mut self.last_applied_write[call.node];
            *last = call.max(*last);
        }
        let delay_s = self.store_delay();
        if let Some(at) = self.arrival(cut_until) {
            self.send_reply(at + delay_s, call, Input::Store(call.call, reply), None);
        }
    }

    /// Executes a transaction whose sender receives no response.
    pub(super) fn apply_unanswered_write(&mut self, call: CallKey, request: &StoreRequest) {
        if self.now < self.faults.store_down_until {
            return;
        }
        let revision_before = self.store.revision;
        self.store.execute(self.now, request);
        let applied = self.store.revision != revision_before;
        if applied {
            self.record_unanswered_write(call.node, request);
        }
        self.metrics.overtaken_writes += u64::from(self.last_applied_write[call.node] > call);
        if applied {
            self.answer_watches();
        }
    }

    fn record_unanswered_write(&mut self, node: usize, request: &StoreRequest) {
        let StoreRequest::Commit(transaction) = request else { return };
        let key_of = |mutation: &Mutation<_>| match mutation {
            Mutation::Put { key, .. } | Mutation::Delete { key } => key.clone(),
        };
        let keys = transaction.mutations.iter().map(key_of).collect();
        self.unanswered_writes.push(UnansweredWrite { at: self.now, node, keys });
    }

    /// Answers the watches that have events to report or whose wait has ended.
    pub(super) fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let node = watch.call.node;
            let reply = if self.store_serves(node) { self.watch_reply(&watch) } else { None };
            match reply {
                Some(reply) => {
                    let cut_until = self.store_link_cut_until(node);
                    self.reply(watch.call, Input::Store(watch.call.call, reply), cut_until, None);
                }
                None => self.watches.push(watch),
            }
        }
    }

    fn watch_reply(&mut self, watch: &PendingWatch) -> Option<StoreReply> {
        let reply = self.store.execute(self.now, &watch.request);
        reply.or_else(|| (self.now >= watch.until).then(|| self.store.no_events()))
    }

    pub(super) fn serve_cloud_request(&mut self, call: CallKey, request: &CloudRequest) {
        let reply = if self.now < self.faults.cloud_down_until {
            CloudReply::Refused
        } else {
            let mut lag_factor = self.rng.gen_range(1.0..2.0);
            if self.now < self.faults.reordered_lists_until {
                lag_factor = self.cloud.reordering_lag_factor(self.now);
            }
            let fast = self.now < self.faults.fast_boots_until;
            let boot_s = if fast { 0.2..2.0 } else { 2.0..12.0 };
            let boot_s = self.rng.gen_range(boot_s);
            self.cloud.execute(self.now, request, lag_factor, boot_s)
        };
        let at = self.now;
        let deleted = self.cloud.deleted.iter().cloned();
        self.deleted.extend(deleted.map(|machine| DeletedMachine { at, machine }));
        self.drop_deleted_machines();
        self.reply(call, Input::Cloud(call.call, reply), 0.0, None);
    }

    /// Removes the workers of machines that the cloud has deleted.
    pub(super) fn drop_deleted_machines(&mut self) {
        for id in std::mem::take(&mut self.cloud.deleted) {
            self.workers.remove(&id);
            self.lost_at.entry(id).or_insert(self.now);
        }
    }
}
