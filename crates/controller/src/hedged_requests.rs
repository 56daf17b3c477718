//! Users' transactions whose answer is overdue.
//!
//! One that gets no answer was carried out, is yet to be, or never will be; the driver waits long
//! before it says so, longer than users should. So as soon as its answer is overdue what it writes
//! is read back. If it stands there, that is its answer. What is missing proves nothing, so the
//! first one is waited for still, but a copy is sent as well (a hedged request): both have the same
//! conditions, and change the same keys to the same values, so that one of them is carried out at
//! most, or, where it puts parts that no record names yet or only compares, it does not matter
//! which.

use crate::records::Value;
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
    purpose: CallContext,
    txn: Transaction<Value>,
    copies: u32,
    /// Copies that have not been answered.
    open: u32,
    /// It is being read back.
    reading: bool,
    /// When the last copy was sent, or it was last looked at.
    at: Time,
}

/// All transactions of users that are on their way.
pub struct HedgedRequests {
    open: BTreeMap<u64, HedgedRequest>,
    next: u64,
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
        HedgedRequests { open: BTreeMap::new(), next: 0, reads, writes, refused: false }
    }

    /// Notes how the service answered any call.
    pub fn note(&mut self, r: &StoreReply) {
        match r {
            StoreReply::Refused => self.refused = true,
            StoreReply::Unknown => {}
            _ => self.refused = false,
        }
    }

    /// Whether one is waited for.
    pub fn waits(&self) -> bool {
        !self.open.is_empty()
    }
}

impl HedgedRequest {
    /// What it writes and how that key has to be before, if its outcome can be read there.
    fn told_by(&self) -> Option<(&str, &Value, u64)> {
        let (key, value) = self.txn.changes.iter().find_map(|c| match c {
            Mutation::Put { key, value, .. } => Some((key, value)),
            Mutation::Delete { .. } => None,
        })?;
        let condition = self.txn.conditions.iter().find(|c| c.key == *key)?;
        Some((key, value, condition.version))
    }

    fn found(&self, r: StoreReply) -> ReadBackOutcome {
        let Some((key, value, before)) = self.told_by() else { return ReadBackOutcome::Unread };
        let overtaken =
            |revision| ReadBackOutcome::Overtaken(CasConflict { failed: vec![key.to_string()], revision });
        match r {
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
    pub(crate) fn commit_hedged(&mut self, purpose: CallContext, txn: Transaction<Value>) {
        let n = self.hedges.next;
        self.hedges.next += 1;
        let hedge = HedgedRequest { purpose, txn, copies: 0, open: 0, reading: false, at: self.now };
        self.hedges.open.insert(n, hedge);
        self.send_copy(n);
    }

    fn send_copy(&mut self, n: u64) {
        let now = self.now;
        let Some(h) = self.hedges.open.get_mut(&n) else { return };
        (h.copies, h.open, h.at) = (h.copies + 1, h.open + 1, now);
        let op = StoreRequest::Commit(h.txn.clone());
        self.state(CallContext::Hedged { n }, op);
    }

    fn end_hedge(&mut self, n: u64, r: StoreReply) {
        if let Some(h) = self.hedges.open.remove(&n) {
            self.on_state(h.purpose, r);
        }
    }

    pub(crate) fn on_hedged(&mut self, n: u64, r: StoreReply) {
        let Some(h) = self.hedges.open.get_mut(&n) else { return };
        h.open -= 1;
        // Of a copy, a conflict may come from an earlier one that was carried out. Whoever gets it
        // reads what is there.
        let told = matches!(r, StoreReply::Committed(_) | StoreReply::Conflict(_));
        let (only, last) = (h.copies == 1, h.open == 0 && !h.reading);
        if told || only && last {
            return self.end_hedge(n, r);
        }
        if matches!(r, StoreReply::Limited) {
            self.too_many_changes();
        }
        if last {
            self.end_hedge(n, StoreReply::Unknown);
        }
    }

    pub(crate) fn on_read_back(&mut self, n: u64, r: StoreReply) {
        let now = self.now;
        let Some(h) = self.hedges.open.get_mut(&n) else { return };
        (h.reading, h.at) = (false, now);
        match h.found(r) {
            ReadBackOutcome::Stored(version) => self.end_hedge(n, StoreReply::Committed(version)),
            ReadBackOutcome::Overtaken(conflict) => self.end_hedge(n, StoreReply::Conflict(conflict)),
            ReadBackOutcome::NotYet | ReadBackOutcome::Unread if h.open == 0 => {
                self.end_hedge(n, StoreReply::Unknown)
            }
            ReadBackOutcome::NotYet => self.copy_again(n),
            ReadBackOutcome::Unread => {}
        }
    }

    /// Sends another copy, as far as there is room.
    fn copy_again(&mut self, n: u64) {
        let now = self.now;
        let Some(h) = self.hedges.open.get(&n) else { return };
        let changes = h.txn.changes.len() as f64;
        if h.copies >= MOST_COPIES {
            return;
        }
        let room = if changes == 0.0 {
            self.may_read_back()
        } else {
            self.writes.left(now) >= changes && self.hedges.writes.take(now, changes)
        };
        if room {
            self.writes.take(now, changes);
            self.send_copy(n);
        }
    }

    /// Takes one more read for what is overdue, if there is room for it.
    fn may_read_back(&mut self) -> bool {
        let now = self.now;
        let quarter = self.reads.rate() / 4.0;
        let room = self.reads.left(now) >= quarter.max(1.0) && self.hedges.reads.take(now, 1.0);
        room && self.reads.take(now, 1.0)
    }

    /// Looks after what is overdue.
    pub(crate) fn hedges_on_time(&mut self) {
        if !self.hedges.waits() || self.hedges.refused {
            return;
        }
        let Timing { state_timeout_s, overdue_s, .. } = self.d;
        let patience_s = self.round_trip.patience_s(overdue_s);
        // So slow that the answer comes no later than what is read back.
        if patience_s > state_timeout_s / 2.0 {
            return;
        }
        // Nothing was answered for long: one look at a time shows when that has changed.
        let doubt = self.state_bad_since.is_some_and(|since| self.now - since > state_timeout_s);
        let overdue = |h: &HedgedRequest| h.open > 0 && !h.reading && self.now - h.at >= patience_s;
        let due = self.hedges.open.iter().filter(|(_, h)| overdue(h)).map(|(&n, _)| n);
        let due: Vec<u64> = due.collect();
        let reading = self.hedges.open.values().filter(|h| h.reading).count();
        let most = if doubt { 1_usize.saturating_sub(reading) } else { due.len() };
        for n in due.into_iter().take(most) {
            self.read_back(n);
        }
    }

    fn read_back(&mut self, n: u64) {
        let now = self.now;
        let Some(h) = self.hedges.open.get_mut(&n) else { return };
        h.at = now;
        let Some(key) = h.told_by().map(|t| t.0.to_string()) else { return self.copy_again(n) };
        if !self.may_read_back() {
            return;
        }
        if let Some(h) = self.hedges.open.get_mut(&n) {
            h.reading = true;
        }
        self.state(CallContext::ReadBack { n }, StoreRequest::Get(key));
    }
}
