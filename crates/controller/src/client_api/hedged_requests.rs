//! Hedged requests: clients' transactions whose reply is overdue are read back and sent again.
//!
//! A transaction without a reply may have been executed, may still be executed, or may never be. The
//! transport's driver reports a missing reply only after a timeout that is longer than clients should
//! wait. Therefore, once a reply is overdue, the key that the transaction writes is read back. If the
//! key holds the written value, the transaction was executed, and the read-back serves as its reply.
//! If not, the outcome is still unknown: another copy is sent, while the replies to earlier copies
//! are still accepted. All copies have the same compares and write the same values to the same keys, so
//! at most one is executed, provided that the transaction changes a key that it compares. Otherwise
//! (it only compares, or puts chunks that no record refers to yet) it does not matter how many copies
//! are executed.

use crate::model::records::Value;
use crate::{CallContext, Controller, RateLimiter, StoreReply, StoreRequest, Time};
use protocol::state::{CasConflict, Item, Mutation, Transaction};
use std::collections::BTreeMap;

/// Maximum number of copies of a transaction, including the first.
const MAX_COPIES: u32 = 3;
/// Share of the node's budget of client reads and writes that read-backs and further copies may use.
const HEDGING_SHARE: f64 = 0.25;

/// Identifies a hedged transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct HedgedRequestId(u64);

/// A transaction in flight.
struct HedgedRequest {
    /// Context by which the reply is routed.
    context: CallContext,
    /// The transaction, the same in all copies.
    transaction: Transaction<Value>,
    /// Number of copies that have been sent.
    copies_sent: u32,
    /// Number of copies that have not been answered.
    copies_in_flight: u32,
    /// Whether the key is being read back.
    read_back_in_flight: bool,
    /// Time at which the last copy was sent, or a read-back last became due (whether or not it was
    /// sent) or was answered.
    last_attempt_at: Time,
}

/// Clients' transactions in flight, and the budgets for hedging them.
pub struct HedgedRequests {
    /// Transactions that have not been answered.
    in_flight: BTreeMap<HedgedRequestId, HedgedRequest>,
    /// Id of the next transaction.
    next_id: HedgedRequestId,
    /// Budget of read-backs and of further copies without writes.
    reads: RateLimiter,
    /// Budget of writes by further copies.
    writes: RateLimiter,
    /// Whether the store's last reply was a refusal. Nothing is read back until it replies with
    /// anything but a refusal; a missing reply changes nothing.
    store_refuses: bool,
}

/// State of a transaction according to a read-back.
enum ReadBackOutcome {
    /// The transaction was executed at that revision.
    Stored(u64),
    /// The transaction can no longer be executed: the key that it replaces has changed.
    Superseded(CasConflict),
    /// The transaction has not been executed yet.
    NotExecutedYet,
    /// The key could not be read, or no key shows the outcome.
    Inconclusive,
}

/// The write of a transaction by which a read-back can tell whether the transaction was executed.
struct OutcomeKey<'a> {
    /// Key written.
    key: &'a str,
    /// Value written.
    value: &'a Value,
    /// Version that the key must have before the write.
    version_before: u64,
}

impl HedgedRequests {
    /// Creates an empty set of requests. `client_reads` and `client_writes` are the node's rates per
    /// second.
    pub fn new(client_reads: f64, client_writes: f64) -> Self {
        HedgedRequests {
            in_flight: BTreeMap::new(),
            next_id: HedgedRequestId::default(),
            reads: RateLimiter::new(client_reads * HEDGING_SHARE),
            writes: RateLimiter::new(client_writes * HEDGING_SHARE),
            store_refuses: false,
        }
    }

    /// Records the store's reply to any call of this node.
    pub fn record_reply(&mut self, reply: &StoreReply) {
        match reply {
            StoreReply::Refused => self.store_refuses = true,
            StoreReply::Unknown => {}
            _ => self.store_refuses = false,
        }
    }

    /// Whether any transaction is in flight.
    pub fn has_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }

    fn insert(&mut self, request: HedgedRequest) -> HedgedRequestId {
        let id = self.next_id;
        self.next_id = HedgedRequestId(id.0 + 1);
        self.in_flight.insert(id, request);
        id
    }

    /// Returns the transactions that have an unanswered copy, no read-back in flight, and whose last
    /// attempt was at least `timeout_s` ago.
    fn overdue(&self, now: Time, timeout_s: Time) -> Vec<HedgedRequestId> {
        let is_overdue = |request: &HedgedRequest| {
            request.copies_in_flight > 0
                && !request.read_back_in_flight
                && now - request.last_attempt_at >= timeout_s
        };
        self.in_flight.iter().filter(|(_, request)| is_overdue(request)).map(|(&id, _)| id).collect()
    }

    fn read_backs_in_flight(&self) -> usize {
        self.in_flight.values().filter(|request| request.read_back_in_flight).count()
    }
}

impl HedgedRequest {
    /// Returns the write that shows the outcome: the first put, if its key is also compared; None
    /// otherwise.
    fn outcome_key(&self) -> Option<OutcomeKey<'_>> {
        let (key, value) = self.transaction.mutations.iter().find_map(|mutation| match mutation {
            Mutation::Put { key, value, .. } => Some((key, value)),
            Mutation::Delete { .. } => None,
        })?;
        let compare = self.transaction.compares.iter().find(|compare| compare.key == *key)?;
        Some(OutcomeKey { key, value, version_before: compare.version })
    }

    /// Derives the state of the transaction from the reply to the read of its outcome key.
    fn read_back_outcome(&self, reply: StoreReply) -> ReadBackOutcome {
        let Some(OutcomeKey { key, value, version_before }) = self.outcome_key() else {
            return ReadBackOutcome::Inconclusive;
        };
        let superseded =
            |revision| ReadBackOutcome::Superseded(CasConflict { failed: vec![key.to_string()], revision });
        match reply {
            StoreReply::Item(item) if item.value == *value => ReadBackOutcome::Stored(item.version),
            // The key's version is a lower bound of the store's revision.
            StoreReply::Item(Item { version, .. }) if version != version_before => superseded(version),
            StoreReply::Item(_) => ReadBackOutcome::NotExecutedYet,
            // The transaction may have been executed and the record archived since; the compares of
            // the next copy detect that.
            StoreReply::Missing(_) if version_before == 0 => ReadBackOutcome::NotExecutedYet,
            StoreReply::Missing(revision) => superseded(revision),
            _ => ReadBackOutcome::Inconclusive,
        }
    }
}

impl Controller {
    /// Sends a transaction whose outcome clients wait for. Exactly one reply is routed by `context`,
    /// no matter how many copies are sent.
    pub(crate) fn commit_hedged(&mut self, context: CallContext, transaction: Transaction<Value>) {
        let id = self.hedged_requests.insert(HedgedRequest {
            context,
            transaction,
            copies_sent: 0,
            copies_in_flight: 0,
            read_back_in_flight: false,
            last_attempt_at: self.now,
        });
        self.send_copy(id);
    }

    fn send_copy(&mut self, id: HedgedRequestId) {
        let Some(request) = self.hedged_requests.in_flight.get_mut(&id) else { return };
        request.copies_sent += 1;
        request.copies_in_flight += 1;
        request.last_attempt_at = self.now;
        let commit = StoreRequest::Commit(request.transaction.clone());
        self.call_store(CallContext::Hedged { id }, commit);
    }

    /// Routes the reply by the transaction's context and removes the transaction.
    fn finish_hedged(&mut self, id: HedgedRequestId, reply: StoreReply) {
        if let Some(request) = self.hedged_requests.in_flight.remove(&id) {
            self.on_store_reply(request.context, reply);
        }
    }

    /// Handles the reply to one copy of a transaction.
    pub(crate) fn on_hedged_reply(&mut self, id: HedgedRequestId, reply: StoreReply) {
        let Some(request) = self.hedged_requests.in_flight.get_mut(&id) else { return };
        request.copies_in_flight -= 1;
        // A copy may conflict with an earlier copy that was executed. The handler of the conflict
        // reads what is stored.
        let is_decisive = matches!(reply, StoreReply::Committed(_) | StoreReply::Conflict(_));
        let is_only_copy = request.copies_sent == 1;
        let is_last_in_flight = request.copies_in_flight == 0 && !request.read_back_in_flight;
        if is_decisive || is_only_copy && is_last_in_flight {
            return self.finish_hedged(id, reply);
        }
        if matches!(reply, StoreReply::Limited) {
            self.on_rate_limited();
        }
        if is_last_in_flight {
            self.finish_hedged(id, StoreReply::Unknown);
        }
    }

    /// Handles the reply to a read-back.
    pub(crate) fn on_hedged_read_back(&mut self, id: HedgedRequestId, reply: StoreReply) {
        let Some(request) = self.hedged_requests.in_flight.get_mut(&id) else { return };
        request.read_back_in_flight = false;
        request.last_attempt_at = self.now;
        match request.read_back_outcome(reply) {
            ReadBackOutcome::Stored(version) => self.finish_hedged(id, StoreReply::Committed(version)),
            ReadBackOutcome::Superseded(conflict) => self.finish_hedged(id, StoreReply::Conflict(conflict)),
            ReadBackOutcome::NotExecutedYet | ReadBackOutcome::Inconclusive
                if request.copies_in_flight == 0 =>
            {
                self.finish_hedged(id, StoreReply::Unknown);
            }
            ReadBackOutcome::NotExecutedYet => self.resend_hedged(id),
            ReadBackOutcome::Inconclusive => {}
        }
    }

    /// Sends another copy if the number of copies and the budgets allow it.
    fn resend_hedged(&mut self, id: HedgedRequestId) {
        let Some(request) = self.hedged_requests.in_flight.get(&id) else { return };
        if request.copies_sent >= MAX_COPIES {
            return;
        }
        let writes = request.transaction.mutations.len() as f64;
        // A copy without writes is charged as one read.
        let is_allowed = if writes == 0.0 {
            self.try_acquire_hedged_read()
        } else {
            self.try_acquire_hedged_writes(writes)
        };
        if is_allowed {
            // Available, as checked above; takes nothing for a transaction without writes.
            self.client_writes.try_acquire(self.now, writes);
            self.send_copy(id);
        }
    }

    /// Takes writes from the budget of further copies if enough client writes are available.
    fn try_acquire_hedged_writes(&mut self, writes: f64) -> bool {
        self.client_writes.available_at(self.now) >= writes
            && self.hedged_requests.writes.try_acquire(self.now, writes)
    }

    /// Takes one read from the budget of read-backs and of further copies without writes if the client
    /// reads have a reserve.
    fn try_acquire_hedged_read(&mut self) -> bool {
        self.client_reads.has_reserve(self.now)
            && self.hedged_requests.reads.try_acquire(self.now, 1.0)
            && self.client_reads.try_acquire(self.now, 1.0)
    }

    /// Reads back the transactions whose reply is overdue.
    pub(crate) fn tick_hedged_requests(&mut self) {
        if !self.hedged_requests.has_in_flight() || self.hedged_requests.store_refuses {
            return;
        }
        let store_timeout_s = self.timing.store_timeout_s;
        let hedge_after_s = self.store_health.latency.timeout_s(self.timing.hedge_after_s);
        // With a store this slow, the transport driver's timeout may expire before the read-back is
        // answered.
        if hedge_after_s > store_timeout_s / 2.0 {
            return;
        }
        let overdue = self.hedged_requests.overdue(self.now, hedge_after_s);
        // While the store answers no call, only one read-back at a time probes whether it has recovered.
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
        let Some(request) = self.hedged_requests.in_flight.get_mut(&id) else { return };
        request.last_attempt_at = self.now;
        let Some(key) = request.outcome_key().map(|outcome| outcome.key.to_string()) else {
            return self.resend_hedged(id);
        };
        if !self.try_acquire_hedged_read() {
            return;
        }
        if let Some(request) = self.hedged_requests.in_flight.get_mut(&id) {
            request.read_back_in_flight = true;
        }
        self.call_store(CallContext::HedgedReadBack { id }, StoreRequest::Get(key));
    }
}
