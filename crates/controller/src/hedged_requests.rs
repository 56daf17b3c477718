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
use crate::{Budget, Core, Purpose, StateOp, StateReply, Time};
use protocol::state::{Change, Conflict, Item, Txn};
use settings::Derived;
use std::collections::BTreeMap;

/// Copies of a transaction that are sent at most, the first included.
const MOST_COPIES: u32 = 3;
/// Part of the node's reads and of its users' changes that reading back and copies may take.
const SHARE: f64 = 0.25;

/// A transaction on its way.
struct Hedge {
    purpose: Purpose,
    txn: Txn<Value>,
    copies: u32,
    /// Copies that have not been answered.
    open: u32,
    /// It is being read back.
    reading: bool,
    /// When the last copy was sent, or it was last looked at.
    at: Time,
}

/// All transactions of users that are on their way.
pub struct Hedges {
    open: BTreeMap<u64, Hedge>,
    next: u64,
    reads: Budget,
    writes: Budget,
    /// The service's last answer was a refusal: nothing is read back until it serves.
    refused: bool,
}

/// What reading back says of a transaction.
enum Found {
    /// It is stored, in that version.
    Stored(u64),
    /// It is not, and cannot be any more: what it replaces has changed.
    Overtaken(Conflict),
    NotYet,
    Unread,
}

impl Hedges {
    /// Beside users' reads and changes at such rates.
    pub fn new(reads: f64, writes: f64) -> Self {
        let (reads, writes) = (Budget::new(reads * SHARE), Budget::new(writes * SHARE));
        Hedges { open: BTreeMap::new(), next: 0, reads, writes, refused: false }
    }

    /// Notes how the service answered any call.
    pub fn note(&mut self, r: &StateReply) {
        match r {
            StateReply::Refused => self.refused = true,
            StateReply::Unknown => {}
            _ => self.refused = false,
        }
    }

    /// Whether one is waited for.
    pub fn waits(&self) -> bool {
        !self.open.is_empty()
    }
}

impl Hedge {
    /// What it writes and how that key has to be before, if its outcome can be read there.
    fn told_by(&self) -> Option<(&str, &Value, u64)> {
        let (key, value) = self.txn.changes.iter().find_map(|c| match c {
            Change::Put { key, value, .. } => Some((key, value)),
            Change::Delete { .. } => None,
        })?;
        let condition = self.txn.conditions.iter().find(|c| c.key == *key)?;
        Some((key, value, condition.version))
    }

    fn found(&self, r: StateReply) -> Found {
        let Some((key, value, before)) = self.told_by() else { return Found::Unread };
        let overtaken = |revision| Found::Overtaken(Conflict { failed: vec![key.to_string()], revision });
        match r {
            StateReply::Item(item) if item.value == *value => Found::Stored(item.version),
            StateReply::Item(Item { version, .. }) if version != before => overtaken(version),
            StateReply::Item(_) => Found::NotYet,
            // (A job that is over has moved: a copy's conditions tell.)
            StateReply::Missing(_) if before == 0 => Found::NotYet,
            StateReply::Missing(revision) => overtaken(revision),
            _ => Found::Unread,
        }
    }
}

impl Core {
    /// Sends a transaction whose outcome users wait for. `purpose` gets one answer.
    pub(crate) fn commit_hedged(&mut self, purpose: Purpose, txn: Txn<Value>) {
        let n = self.hedges.next;
        self.hedges.next += 1;
        let hedge = Hedge { purpose, txn, copies: 0, open: 0, reading: false, at: self.now };
        self.hedges.open.insert(n, hedge);
        self.send_copy(n);
    }

    fn send_copy(&mut self, n: u64) {
        let now = self.now;
        let Some(h) = self.hedges.open.get_mut(&n) else { return };
        (h.copies, h.open, h.at) = (h.copies + 1, h.open + 1, now);
        let op = StateOp::Commit(h.txn.clone());
        self.state(Purpose::Hedged { n }, op);
    }

    fn end_hedge(&mut self, n: u64, r: StateReply) {
        if let Some(h) = self.hedges.open.remove(&n) {
            self.on_state(h.purpose, r);
        }
    }

    pub(crate) fn on_hedged(&mut self, n: u64, r: StateReply) {
        let Some(h) = self.hedges.open.get_mut(&n) else { return };
        h.open -= 1;
        // Of a copy, a conflict may come from an earlier one that was carried out. Whoever gets it
        // reads what is there.
        let told = matches!(r, StateReply::Committed(_) | StateReply::Conflict(_));
        let (only, last) = (h.copies == 1, h.open == 0 && !h.reading);
        if told || only && last {
            return self.end_hedge(n, r);
        }
        if matches!(r, StateReply::Limited) {
            self.too_many_changes();
        }
        if last {
            self.end_hedge(n, StateReply::Unknown);
        }
    }

    pub(crate) fn on_read_back(&mut self, n: u64, r: StateReply) {
        let now = self.now;
        let Some(h) = self.hedges.open.get_mut(&n) else { return };
        (h.reading, h.at) = (false, now);
        match h.found(r) {
            Found::Stored(version) => self.end_hedge(n, StateReply::Committed(version)),
            Found::Overtaken(conflict) => self.end_hedge(n, StateReply::Conflict(conflict)),
            Found::NotYet | Found::Unread if h.open == 0 => self.end_hedge(n, StateReply::Unknown),
            Found::NotYet => self.copy_again(n),
            Found::Unread => {}
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
        let Derived { state_timeout_s, overdue_s, .. } = self.d;
        let patience_s = self.round_trip.patience_s(overdue_s);
        // So slow that the answer comes no later than what is read back.
        if patience_s > state_timeout_s / 2.0 {
            return;
        }
        // Nothing was answered for long: one look at a time shows when that has changed.
        let doubt = self.state_bad_since.is_some_and(|since| self.now - since > state_timeout_s);
        let overdue = |h: &Hedge| h.open > 0 && !h.reading && self.now - h.at >= patience_s;
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
        self.state(Purpose::ReadBack { n }, StateOp::Get(key));
    }
}
