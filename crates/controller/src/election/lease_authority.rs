//! What a leader may still do, and until when: the one place that is asked.
//!
//! Two facts with a date each carry it (`docs/safety.md` has the inequality).
//! *Entitlement*: nobody can have taken over, from the sending of the last confirmed
//! renewal on. *Knowledge*: every change that was stored before that date has been read and
//! carried out, from the sending of the last read that showed all of them. A renewal says
//! nothing of what others have written: after a refusal or an outage it may
//! succeed while the watch still waits, and a new leader renews before it has read.

use crate::messages::Time;
use settings::Timing;

/// A leader's two dates, by its own clock.
#[derive(Debug, Clone)]
pub struct LeaseAuthority {
    /// For how long after the older date workers' leases are renewed.
    response_grace_s: Time,
    /// For how long after the older date anything else is done.
    leader_lease_s: Time,
    /// When the last renewal that was confirmed had been sent.
    renewal_confirmed_at: Time,
    /// As of when everything that was stored is known here and carried out; None: not yet.
    state_known_at: Option<Time>,
    /// The same of what has been read, some of which may wait to be carried out.
    state_read_at: Option<Time>,
}

impl LeaseAuthority {
    /// Of a leader whose lease was asked for at `claimed`.
    pub fn new(timing: &Timing, claimed: Time) -> Self {
        // The service may end a lease as soon as its time is over.
        let ttl_s = timing.leader_lease_s * 0.99;
        LeaseAuthority {
            response_grace_s: timing.response_grace_s,
            leader_lease_s: ttl_s,
            renewal_confirmed_at: claimed,
            state_known_at: None,
            state_read_at: None,
        }
    }

    /// A renewal sent at `sent` was confirmed.
    pub fn record_renewal(&mut self, sent: Time) {
        self.renewal_confirmed_at = self.renewal_confirmed_at.max(sent);
    }

    /// A read sent at `sent` has shown all changes that there were.
    pub fn record_read(&mut self, sent: Time) {
        self.state_read_at = Some(self.state_read_at.map_or(sent, |r| r.max(sent)));
    }

    /// All that has been read is carried out.
    pub fn record_applied(&mut self) {
        self.state_known_at = self.state_read_at;
    }

    /// Until when workers' leases may be renewed, here or by a gateway.
    pub fn may_respond_until(&self) -> Time {
        self.state_known_at.map_or(Time::MIN, |k| k.min(self.renewal_confirmed_at) + self.response_grace_s)
    }

    /// Whether a worker's lease may be renewed `now`.
    pub fn may_respond(&self, now: Time) -> bool {
        now <= self.may_respond_until()
    }

    /// Whether plans, launches, writes and calls to the cloud may be made `now`.
    pub fn may_act(&self, now: Time) -> bool {
        self.state_known_at.is_some_and(|k| now < k.min(self.renewal_confirmed_at) + self.leader_lease_s)
    }

    /// Whether nobody else can have taken over `now`, whatever is known.
    pub fn is_exclusive(&self, now: Time) -> bool {
        now < self.renewal_confirmed_at + self.leader_lease_s
    }
}
