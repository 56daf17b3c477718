//! Hedged requests: clients' transactions whose reply is overdue are read back and sent again.
//!
//! A transaction without a reply was executed, is yet to be, or never will be. The driver reports
//! that only after a long timeout, longer than clients should wait. So once a reply is overdue, the
//! key that the transaction writes is read back. If it holds the value written, that is the reply.
//! If it does not, nothing is proven: the first copy is still waited for, and another copy is sent.
//! All copies have the same compares and write the same values to the same keys, so at most one is
//! executed. Where a transaction only compares, or puts chunks that no record names yet, it does
//! not matter which copy is.

use crate::model::records::Value;
use crate::{CallContext, Controller, RateLimiter, StoreReply, StoreRequest, Time};
use protocol::state::{CasConflict, Item, Mutation, Transaction};
use std::collections::BTreeMap;

/// Copies of a transaction that are sent at most, the first included.
const MAX_COPIES: u32 = 3;
/// Part of the node's client reads and writes that read-backs and further copies may use.
const HEDGING_SHARE: f64 = 0.25;

/// Identifies a hedged transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct HedgedRequestId(u64);

/// A transaction in flight.
struct HedgedRequest {
    /// What the transaction is for.
    context: CallContext,
    /// The transaction, the same in all copies.
    transaction: Transaction<Value>,
    /// Copies that have been sent.
    copies_sent: u32,
    /// Copies that have not been answered.
    copies_open: u32,
    /// The key is being read back.
    read_back_in_flight: bool,
    /// When the last copy was sent, or the last read-back was due or answered.
    last_attempt_at: Time,
}

/// All clients' transactions in flight.
pub struct HedgedRequests {
    /// Transactions that have not been answered.
    open: BTreeMap<HedgedRequestId, HedgedRequest>,
    /// The id of the next transaction.
    next_id: HedgedRequestId,
    /// Budget of read-backs.
    reads: RateLimiter,
    /// Budget of writes by further copies.
    writes: RateLimiter,
    /// The store's last reply was a refusal: nothing is read back until it serves again.
    refused: bool,
}

/// What a read-back tells of a transaction.
enum ReadBackOutcome {
    /// It was executed at that revision.
    Stored(u64),
    /// It was not executed and cannot be any more: the key that it replaces has changed.
    Overtaken(CasConflict),
    /// It has not been executed yet.
    NotYet,
    /// The key could not be read, or there is no key that tells.
    Unread,
}

/// The write of a transaction that shows whether it was executed.
struct OutcomeKey<'a> {
    /// The key written.
    key: &'a str,
    /// The value written.
    value: &'a Value,
    /// The version that the key must have before.
    version_before: u64,
}

impl HedgedRequests {
    /// Without any transaction; `client_reads` and `client_writes` are the node's rates per second.
    pub fn new(client_reads: f64, client_writes: f64) -> Self {
        HedgedRequests {
            open: BTreeMap::new(),
            next_id: HedgedRequestId::default(),
            reads: RateLimiter::new(client_reads * HEDGING_SHARE),
            writes: RateLimiter::new(client_writes * HEDGING_SHARE),
            refused: false,
        }
    }

    /// Records how the store has answered any call.
    pub fn record_reply(&mut self, reply: &StoreReply) {
        match reply {
            StoreReply::Refused => self.refused = true,
            StoreReply::Unknown => {}
            _ => self.refused = false,
        }
    }

    /// Whether any transaction is in flight.
    pub fn has_open(&self) -> bool {
        !self.open.is_empty()
    }

    fn insert(&mut self, request: HedgedRequest) -> HedgedRequestId {
        let id = self.next_id;
        self.next_id = HedgedRequestId(id.0 + 1);
        self.open.insert(id, request);
        id
    }

    /// Transactions whose last copy or read-back was `timeout_s` ago or longer.
    fn overdue(&self, now: Time, timeout_s: Time) -> Vec<HedgedRequestId> {
        let is_overdue = |request: &HedgedRequest| {
            request.copies_open > 0
                && !request.read_back_in_flight
                && now - request.last_attempt_at >= timeout_s
        };
        self.open.iter().filter(|(_, request)| is_overdue(request)).map(|(&id, _)| id).collect()
    }

    fn read_backs_in_flight(&self) -> usize {
        self.open.values().filter(|request| request.read_back_in_flight).count()
    }
}

impl HedgedRequest {
    /// None if no key that is written is also compared.
    fn outcome_key(&self) -> Option<OutcomeKey<'_>> {
        let (key, value) = self.transaction.mutations.iter().find_map(|mutation| match mutation {
            Mutation::Put { key, value, .. } => Some((key, value)),
            Mutation::Delete { .. } => None,
        })?;
        let compare = self.transaction.compares.iter().find(|compare| compare.key == *key)?;
        Some(OutcomeKey { key, value, version_before: compare.version })
    }

    /// What the reply to the read of the outcome key tells.
    fn read_back_outcome(&self, reply: StoreReply) -> ReadBackOutcome {
        let Some(OutcomeKey { key, value, version_before }) = self.outcome_key() else {
            return ReadBackOutcome::Unread;
        };
        let overtaken =
            |revision| ReadBackOutcome::Overtaken(CasConflict { failed: vec![key.to_string()], revision });
        match reply {
            StoreReply::Item(item) if item.value == *value => ReadBackOutcome::Stored(item.version),
            StoreReply::Item(Item { version, .. }) if version != version_before => overtaken(version),
            StoreReply::Item(_) => ReadBackOutcome::NotYet,
            // The record may also have been archived; the compares of the next copy tell.
            StoreReply::Missing(_) if version_before == 0 => ReadBackOutcome::NotYet,
            StoreReply::Missing(revision) => overtaken(revision),
            _ => ReadBackOutcome::Unread,
        }
    }
}

impl Controller {
    /// Sends a transaction whose outcome clients wait for. Exactly one reply is routed by `context`.
    pub(crate) fn commit_hedged(&mut self, context: CallContext, transaction: Transaction<Value>) {
        let id = self.hedged_requests.insert(HedgedRequest {
            context,
            transaction,
            copies_sent: 0,
            copies_open: 0,
            read_back_in_flight: false,
            last_attempt_at: self.now,
        });
        self.send_copy(id);
    }

    fn send_copy(&mut self, id: HedgedRequestId) {
        let Some(request) = self.hedged_requests.open.get_mut(&id) else { return };
        request.copies_sent += 1;
        request.copies_open += 1;
        request.last_attempt_at = self.now;
        let commit = StoreRequest::Commit(request.transaction.clone());
        self.call_store(CallContext::Hedged { id }, commit);
    }

    /// Routes the reply to the transaction, and forgets it.
    fn finish_hedged(&mut self, id: HedgedRequestId, reply: StoreReply) {
        if let Some(request) = self.hedged_requests.open.remove(&id) {
            self.on_store_reply(request.context, reply);
        }
    }

    /// One copy of a transaction was answered.
    pub(crate) fn on_hedged_reply(&mut self, id: HedgedRequestId, reply: StoreReply) {
        let Some(request) = self.hedged_requests.open.get_mut(&id) else { return };
        request.copies_open -= 1;
        // The conflict of a copy may be with an earlier copy that was executed. Whoever handles
        // it reads what is stored.
        let is_decisive = matches!(reply, StoreReply::Committed(_) | StoreReply::Conflict(_));
        let is_only_copy = request.copies_sent == 1;
        let is_last_open = request.copies_open == 0 && !request.read_back_in_flight;
        if is_decisive || is_only_copy && is_last_open {
            return self.finish_hedged(id, reply);
        }
        if matches!(reply, StoreReply::Limited) {
            self.on_rate_limited();
        }
        if is_last_open {
            self.finish_hedged(id, StoreReply::Unknown);
        }
    }

    /// A read-back was answered.
    pub(crate) fn on_hedged_read_back(&mut self, id: HedgedRequestId, reply: StoreReply) {
        let Some(request) = self.hedged_requests.open.get_mut(&id) else { return };
        request.read_back_in_flight = false;
        request.last_attempt_at = self.now;
        match request.read_back_outcome(reply) {
            ReadBackOutcome::Stored(version) => self.finish_hedged(id, StoreReply::Committed(version)),
            ReadBackOutcome::Overtaken(conflict) => self.finish_hedged(id, StoreReply::Conflict(conflict)),
            ReadBackOutcome::NotYet | ReadBackOutcome::Unread if request.copies_open == 0 => {
                self.finish_hedged(id, StoreReply::Unknown);
            }
            ReadBackOutcome::NotYet => self.resend_hedged(id),
            ReadBackOutcome::Unread => {}
        }
    }

    /// Sends another copy if the limits allow it.
    fn resend_hedged(&mut self, id: HedgedRequestId) {
        let Some(request) = self.hedged_requests.open.get(&id) else { return };
        if request.copies_sent >= MAX_COPIES {
            return;
        }
        let writes = request.transaction.mutations.len() as f64;
        let is_allowed =
            if writes == 0.0 { self.try_acquire_read_back() } else { self.try_acquire_hedged_writes(writes) };
        if is_allowed {
            self.client_writes.try_acquire(self.now, writes);
            self.send_copy(id);
        }
    }

    /// Takes writes from the budget of further copies if clients do not need them.
    fn try_acquire_hedged_writes(&mut self, writes: f64) -> bool {
        self.client_writes.available_at(self.now) >= writes
            && self.hedged_requests.writes.try_acquire(self.now, writes)
    }

    /// Takes one read from the budget if clients do not need it.
    fn try_acquire_read_back(&mut self) -> bool {
        self.client_reads.has_reserve(self.now)
            && self.hedged_requests.reads.try_acquire(self.now, 1.0)
            && self.client_reads.try_acquire(self.now, 1.0)
    }

    /// Reads back the transactions whose reply is overdue.
    pub(crate) fn tick_hedged_requests(&mut self) {
        if !self.hedged_requests.has_open() || self.hedged_requests.refused {
            return;
        }
        let store_timeout_s = self.timing.store_timeout_s;
        let hedge_after_s = self.store_health.latency.timeout_s(self.timing.hedge_after_s);
        // The store is so slow that the driver's timeout would come before the read-back.
        if hedge_after_s > store_timeout_s / 2.0 {
            return;
        }
        let overdue = self.hedged_requests.overdue(self.now, hedge_after_s);
        // While the store answers nothing, one read-back at a time shows when that changes.
        let is_silent =
            self.store_health.failing_since.is_some_and(|since| self.now - since > store_timeout_s);
        let max_read_backs = if is_silent {
            1_usize.saturating_sub(self.hedged_requests.read_backs_in_flight())
        } else {
            overdue.len()
        };
        for id in overdue.into_iter().take(max_read_backs) {
            self.read_back_hedged(id);
        }
    }

    fn read_back_hedged(&mut self, id: HedgedRequestId) {
        let Some(request) = self.hedged_requests.open.get_mut(&id) else { return };
        request.last_attempt_at = self.now;
        let Some(key) = request.outcome_key().map(|outcome| outcome.key.to_string()) else {
            return self.resend_hedged(id);
        };
        if !self.try_acquire_read_back() {
            return;
        }
        if let Some(request) = self.hedged_requests.open.get_mut(&id) {
            request.read_back_in_flight = true;
        }
        self.call_store(CallContext::HedgedReadBack { id }, StoreRequest::Get(key));
    }
}
