//! What a leader may still do, and until when. Every part of the leader asks here.
//!
//! Two dates decide (`docs/safety.md` has the inequality).
//! *Exclusivity*: no other node can have been elected, counted from the sending of the last
//! confirmed renewal. *Knowledge*: every change stored before that date has been read and applied,
//! counted from the sending of the last read that showed all of them. A renewal proves nothing
//! about what others have written: after an outage it may succeed while the watch still waits,
//! and a new leader renews before it has read the records.

use crate::messages::Time;
use settings::Timing;

/// The part of the lease that is relied on: the store may end a lease as soon as its time is over.
const LEASE_SAFETY_FACTOR: f64 = 0.99;

/// The dates up to which the leader's lease and knowledge are confirmed, by its own clock.
#[derive(Debug, Clone)]
pub struct LeaseAuthority {
    /// How long after the older date heartbeats may be responded to, in seconds.
    response_grace_s: Time,
    /// How long after the older date the leader may act, in seconds.
    leader_lease_s: Time,
    /// When the last confirmed renewal was sent.
    renewal_confirmed_at: Time,
    /// As of when all stored changes have been read and applied; None: recovery has not finished.
    state_applied_at: Option<Time>,
    /// As of when all stored changes have been read; some may not be applied yet.
    state_read_at: Option<Time>,
}

impl LeaseAuthority {
    /// The authority of a leader whose lease was requested at `requested_at`.
    pub fn new(timing: &Timing, requested_at: Time) -> Self {
        LeaseAuthority {
            response_grace_s: timing.response_grace_s,
            leader_lease_s: timing.leader_lease_s * LEASE_SAFETY_FACTOR,
            renewal_confirmed_at: requested_at,
            state_applied_at: None,
            state_read_at: None,
        }
    }

    /// Records that a renewal sent at `sent` was confirmed.
    pub fn record_renewal(&mut self, sent: Time) {
        self.renewal_confirmed_at = self.renewal_confirmed_at.max(sent);
    }

    /// Records that a read sent at `sent` showed all changes up to then.
    pub fn record_read(&mut self, sent: Time) {
        self.state_read_at = Some(self.state_read_at.map_or(sent, |read_at| read_at.max(sent)));
    }

    /// Records that everything read so far has been applied.
    pub fn record_applied(&mut self) {
        self.state_applied_at = self.state_read_at;
    }

    /// Until when heartbeats may be responded to, which renews workers' leases, here or by a proxy;
    /// `Time::MIN` before recovery has finished.
    pub fn may_respond_until(&self) -> Time {
        self.state_applied_at
            .map_or(Time::MIN, |applied_at| applied_at.min(self.renewal_confirmed_at) + self.response_grace_s)
    }

    /// Whether heartbeats may be responded to `now`.
    pub fn may_respond(&self, now: Time) -> bool {
        now <= self.may_respond_until()
    }

    /// Whether the leader may schedule, launch, write and call the cloud `now`.
    pub fn may_act(&self, now: Time) -> bool {
        self.state_applied_at
            .is_some_and(|applied_at| now < applied_at.min(self.renewal_confirmed_at) + self.leader_lease_s)
    }

    /// Whether no other node can have been elected `now`, however old the known state is.
    pub fn is_exclusive(&self, now: Time) -> bool {
        now < self.renewal_confirmed_at + self.leader_lease_s
    }
}
