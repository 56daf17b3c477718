//! Deadlines until which a leader may act or respond to heartbeats. All parts of the leader rely on
//! these checks.
//!
//! Two times determine the deadlines (`docs/safety.md` has the inequality). *Exclusivity*: no other
//! node can have been elected, counted from the sending of the last confirmed renewal. *Knowledge*:
//! every change stored before that time has been read and applied, counted from the sending of the
//! last read that showed all of them. A renewal says nothing about the writes of other nodes: after
//! an outage it may succeed while the watch is still waiting, and a new leader renews its lease
//! before it has read the records.

use crate::messages::Time;
use settings::Timing;

/// Fraction of the lease that the leader relies on; the store may end a lease as soon as it expires.
const LEASE_SAFETY_FACTOR: f64 = 0.99;

/// Times up to which the leader's lease and knowledge are confirmed, by its own clock.
#[derive(Debug, Clone)]
pub struct LeaseAuthority {
    /// Time for which the leader may respond to heartbeats, in seconds from the older confirmed time.
    response_grace_s: Time,
    /// Time for which the leader may act, in seconds from the older confirmed time.
    leader_lease_s: Time,
    /// Sending time of the last confirmed renewal.
    renewal_confirmed_at: Time,
    /// Time up to which all stored changes have been read and applied; None before recovery has
    /// finished.
    state_applied_at: Option<Time>,
    /// Time up to which all stored changes have been read; some may not be applied yet.
    state_read_at: Option<Time>,
}

impl LeaseAuthority {
    /// Creates the authority of a leader whose lease was requested at `requested_at`.
    pub fn new(timing: &Timing, requested_at: Time) -> Self {
        LeaseAuthority {
            response_grace_s: timing.response_grace_s,
            leader_lease_s: timing.leader_lease_s * LEASE_SAFETY_FACTOR,
            renewal_confirmed_at: requested_at,
            state_applied_at: None,
            state_read_at: None,
        }
    }

    /// Records that a renewal sent at `sent_at` was confirmed.
    pub fn record_renewal(&mut self, sent_at: Time) {
        self.renewal_confirmed_at = self.renewal_confirmed_at.max(sent_at);
    }

    /// Records that a read sent at `sent_at` showed all changes up to that time.
    pub fn record_read(&mut self, sent_at: Time) {
        self.state_read_at = Some(self.state_read_at.map_or(sent_at, |read_at| read_at.max(sent_at)));
    }

    /// Records that everything read so far has been applied.
    pub fn record_applied(&mut self) {
        self.state_applied_at = self.state_read_at;
    }

    /// Returns the time until which this node or a proxy may respond to heartbeats, which renews the
    /// workers' leases; `Time::MIN` before recovery has finished.
    pub fn may_respond_until(&self) -> Time {
        self.state_applied_at
            .map_or(Time::MIN, |applied_at| applied_at.min(self.renewal_confirmed_at) + self.response_grace_s)
    }

    /// Whether the leader may respond to heartbeats at `now`.
    pub fn may_respond(&self, now: Time) -> bool {
        now <= self.may_respond_until()
    }

    /// Whether the leader may schedule, launch, write and call the cloud at `now`.
    pub fn may_act(&self, now: Time) -> bool {
        self.state_applied_at
            .is_some_and(|applied_at| now < applied_at.min(self.renewal_confirmed_at) + self.leader_lease_s)
    }

    /// Whether it is certain that no other node has been elected by `now`, regardless of the age of
    /// the known state.
    pub fn is_exclusive(&self, now: Time) -> bool {
        now < self.renewal_confirmed_at + self.leader_lease_s
    }
}
