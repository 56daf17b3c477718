//! Users' transactions whose answer is overdue.
//!
//! One that gets no answer was carried out, is yet to be, or never will be; the driver waits long
//! before it says so, longer than users should. So as soon as its answer is overdue what it writes
//! is read back. If it stands there, that is its answer. What is missing proves nothing, so the
//! first one is waited for still, but a copy is sent as well (a hedged request): both have the same
//! conditions, and change the same keys to the same values, so that one of them is carried out at
//! most, or, where it puts parts that no record names yet or only compares, it does not matter
//! which.

use crate::model::records::Value;
use crate::{CallContext, Controller, RateLimiter, StoreReply, StoreRequest, Time};
use protocol::state::{CasConflict, Item, Mutation, Transaction};
use settings::Timing;
use std::collections::BTreeMap;

/// Copies of a transaction that are sent at most, the first included.
const MOST_COPIES: u32 = 3;
/// Part of the node's reads and of its users' changes that reading back and copies may take.
const SHARE: f64 = 0.25;

/// A transaction on its way.
struct HedgedRequest {
    context: CallContext,
    transaction: Transaction<Value>,
    copies_sent: u32,
    /// Copies that have not been answered.
    copies_open: u32,
    /// It is being read back.
    read_back_in_flight: bool,
    /// When the last copy was sent, or it was last looked at.
    last_attempt_at: Time,
}

/// All transactions of users that are on their way.
pub struct HedgedRequests {
    open: BTreeMap<u64, HedgedRequest>,
    next_id: u64,
    reads: RateLimiter,
    writes: RateLimiter,
    /// The service's last answer was a refusal: nothing is read back until it serves.
    refused: bool,
}

/// What reading back says of a transaction.
enum ReadBackOutcome {
    /// It is stored, in that version.
    Stored(u64),
    /// It is not, and cannot be any more: what it replaces has changed.
    Overtaken(CasConflict),
    NotYet,
    Unread,
}

impl HedgedRequests {
    /// Beside users' reads and changes at such rates.
    pub fn new(reads: f64, writes: f64) -> Self {
        let (reads, writes) = (RateLimiter::new(reads * SHARE), RateLimiter::new(writes * SHARE));
        HedgedRequests { open: BTreeMap::new(), next_id: 0, reads, writes, refused: false }
    }

    /// Notes how the service answered any call.
    pub fn record_reply(&mut self, reply: &StoreReply) {
        match reply {
            StoreReply::Refused => self.refused = true,
            StoreReply::Unknown => {}
            _ => self.refused = false,
        }
    }

    /// Whether one is waited for.
    pub fn has_open(&self) -> bool {
        !self.open.is_empty()
    }
}

impl HedgedRequest {
    /// What it writes and how that key has to be before, if its outcome can be read there.
    fn outcome_key(&self) -> Option<(&str, &Value, u64)> {
        let (key, value) = self.transaction.mutations.iter().find_map(|c| match c {
            Mutation::Put { key, value, .. } => Some((key, value)),
            Mutation::Delete { .. } => None,
        })?;
        let condition = self.transaction.compares.iter().find(|c| c.key == *key)?;
        Some((key, value, condition.version))
    }

    fn read_back_outcome(&self, reply: StoreReply) -> ReadBackOutcome {
        let Some((key, value, before)) = self.outcome_key() else { return ReadBackOutcome::Unread };
        let overtaken =
            |revision| ReadBackOutcome::Overtaken(CasConflict { failed: vec![key.to_string()], revision });
        match reply {
            StoreReply::Item(item) if item.value == *value => ReadBackOutcome::Stored(item.version),
            StoreReply::Item(Item { version, .. }) if version != before => overtaken(version),
            StoreReply::Item(_) => ReadBackOutcome::NotYet,
            // (A job that is over has moved: a copy's conditions tell.)
            StoreReply::Missing(_) if before == 0 => ReadBackOutcome::NotYet,
            StoreReply::Missing(revision) => overtaken(revision),
            _ => ReadBackOutcome::Unread,
        }
    }
}

impl Controller {
    /// Sends a transaction whose outcome users wait for. `purpose` gets one answer.
    pub(crate) fn commit_hedged(&mut self, context: CallContext, txn: Transaction<Value>) {
        let n = self.hedged_requests.next_id;
        self.hedged_requests.next_id += 1;
        let hedge = HedgedRequest {
            context,
            transaction: txn,
            copies_sent: 0,
            copies_open: 0,
            read_back_in_flight: false,
            last_attempt_at: self.now,
        };
        self.hedged_requests.open.insert(n, hedge);
        self.send_copy(n);
    }

    fn send_copy(&mut self, n: u64) {
        let now = self.now;
        let Some(h) = self.hedged_requests.open.get_mut(&n) else { return };
        (h.copies_sent, h.copies_open, h.last_attempt_at) = (h.copies_sent + 1, h.copies_open + 1, now);
        let op = StoreRequest::Commit(h.transaction.clone());
        self.call_store(CallContext::Hedged { n }, op);
    }

    fn finish_hedged(&mut self, n: u64, reply: StoreReply) {
        if let Some(h) = self.hedged_requests.open.remove(&n) {
            self.on_store_reply(h.context, reply);
        }
    }

    pub(crate) fn on_hedged_reply(&mut self, n: u64, reply: StoreReply) {
        let Some(h) = self.hedged_requests.open.get_mut(&n) else { return };
        h.copies_open -= 1;
        // Of a copy, a conflict may come from an earlier one that was carried out. Whoever gets it
        // reads what is there.
        let told = matches!(reply, StoreReply::Committed(_) | StoreReply::Conflict(_));
        let (only, last) = (h.copies_sent == 1, h.copies_open == 0 && !h.read_back_in_flight);
        if told || only && last {
            return self.finish_hedged(n, reply);
        }
        if matches!(reply, StoreReply::Limited) {
            self.on_rate_limited();
        }
        if last {
            self.finish_hedged(n, StoreReply::Unknown);
        }
    }

    pub(crate) fn on_hedged_read_back(&mut self, n: u64, reply: StoreReply) {
        let now = self.now;
        let Some(h) = self.hedged_requests.open.get_mut(&n) else { return };
        (h.read_back_in_flight, h.last_attempt_at) = (false, now);
        match h.read_back_outcome(reply) {
            ReadBackOutcome::Stored(version) => self.finish_hedged(n, StoreReply::Committed(version)),
            ReadBackOutcome::Overtaken(conflict) => self.finish_hedged(n, StoreReply::Conflict(conflict)),
            ReadBackOutcome::NotYet | ReadBackOutcome::Unread if h.copies_open == 0 => {
                self.finish_hedged(n, StoreReply::Unknown)
            }
            ReadBackOutcome::NotYet => self.resend_hedged(n),
            ReadBackOutcome::Unread => {}
        }
    }

    /// Sends another copy, as far as there is room.
    fn resend_hedged(&mut self, n: u64) {
        let now = self.now;
        let Some(h) = self.hedged_requests.open.get(&n) else { return };
        let changes = h.transaction.mutations.len() as f64;
        if h.copies_sent >= MOST_COPIES {
            return;
        }
        let room = if changes == 0.0 {
            self.try_acquire_read_back()
        } else {
            self.client_writes.available_at(now) >= changes
                && self.hedged_requests.writes.try_acquire(now, changes)
        };
        if room {
            self.client_writes.try_acquire(now, changes);
            self.send_copy(n);
        }
    }

    /// Takes one more read for what is overdue, if there is room for it.
    fn try_acquire_read_back(&mut self) -> bool {
        let now = self.now;
        let quarter = self.client_reads.rate() / 4.0;
        let room = self.client_reads.available_at(now) >= quarter.max(1.0)
            && self.hedged_requests.reads.try_acquire(now, 1.0);
        room && self.client_reads.try_acquire(now, 1.0)
    }

    /// Looks after what is overdue.
    pub(crate) fn tick_hedged_requests(&mut self) {
        if !self.hedged_requests.has_open() || self.hedged_requests.refused {
            return;
        }
        let Timing { store_timeout_s: state_timeout_s, hedge_after_s: overdue_s, .. } = self.timing;
        let patience_s = self.store_health.latency.timeout_s(overdue_s);
        // So slow that the answer comes no later than what is read back.
        if patience_s > state_timeout_s / 2.0 {
            return;
        }
        // Nothing was answered for long: one look at a time shows when that has changed.
        let doubt = self.store_health.failing_since.is_some_and(|since| self.now - since > state_timeout_s);
        let overdue = |h: &HedgedRequest| {
            h.copies_open > 0 && !h.read_back_in_flight && self.now - h.last_attempt_at >= patience_s
        };
        let due = self.hedged_requests.open.iter().filter(|(_, h)| overdue(h)).map(|(&n, _)| n);
        let due: Vec<u64> = due.collect();
        let reading = self.hedged_requests.open.values().filter(|h| h.read_back_in_flight).count();
        let most = if doubt { 1_usize.saturating_sub(reading) } else { due.len() };
        for n in due.into_iter().take(most) {
            self.read_back_hedged(n);
        }
    }

    fn read_back_hedged(&mut self, n: u64) {
        let now = self.now;
        let Some(h) = self.hedged_requests.open.get_mut(&n) else { return };
        h.last_attempt_at = now;
        let Some(key) = h.outcome_key().map(|t| t.0.to_string()) else { return self.resend_hedged(n) };
        if !self.try_acquire_read_back() {
            return;
        }
        if let Some(h) = self.hedged_requests.open.get_mut(&n) {
            h.read_back_in_flight = true;
        }
        self.call_store(CallContext::HedgedReadBack { n }, StoreRequest::Get(key));
    }
}
