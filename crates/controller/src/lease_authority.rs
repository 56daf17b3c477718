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
    grace_s: Time,
    /// For how long after the older date anything else is done.
    ttl_s: Time,
    /// When the last renewal that was confirmed had been sent.
    confirmed: Time,
    /// As of when everything that was stored is known here and carried out; None: not yet.
    known: Option<Time>,
    /// The same of what has been read, some of which may wait to be carried out.
    read: Option<Time>,
}

impl LeaseAuthority {
    /// Of a leader whose lease was asked for at `claimed`.
    pub fn new(d: &Timing, claimed: Time) -> Self {
        // The service may end a lease as soon as its time is over.
        let ttl_s = d.leader_ttl_s * 0.99;
        LeaseAuthority { grace_s: d.grace_s, ttl_s, confirmed: claimed, known: None, read: None }
    }

    /// A renewal sent at `sent` was confirmed.
    pub fn renewed(&mut self, sent: Time) {
        self.confirmed = self.confirmed.max(sent);
    }

    /// A read sent at `sent` has shown all changes that there were.
    pub fn has_read(&mut self, sent: Time) {
        self.read = Some(self.read.map_or(sent, |r| r.max(sent)));
    }

    /// All that has been read is carried out.
    pub fn carried_out(&mut self) {
        self.known = self.read;
    }

    /// Until when workers' leases may be renewed, here or by a gateway.
    pub fn renews_until(&self) -> Time {
        self.known.map_or(Time::MIN, |k| k.min(self.confirmed) + self.grace_s)
    }

    /// Whether a worker's lease may be renewed `now`.
    pub fn renews(&self, now: Time) -> bool {
        now <= self.renews_until()
    }

    /// Whether plans, launches, writes and calls to the cloud may be made `now`.
    pub fn acts(&self, now: Time) -> bool {
        self.known.is_some_and(|k| now < k.min(self.confirmed) + self.ttl_s)
    }

    /// Whether nobody else can have taken over `now`, whatever is known.
    pub fn leads(&self, now: Time) -> bool {
        now < self.confirmed + self.ttl_s
    }
}
