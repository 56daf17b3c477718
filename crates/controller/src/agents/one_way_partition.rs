//! Detection of one-way partitions: the heartbeats of a machine arrive, but it receives none of
//! the responses. Its lease is never renewed, so no task lasts longer than one lease and nothing
//! launched there ever starts. No single heartbeat shows this; a worker that begins a new epoch
//! in the middle of uninterrupted heartbeats does.

use crate::messages::Time;

#[cfg(test)]
mod tests;

/// Leases missed in a row after which a machine is replaced: about as long as machines in an
/// unreachable zone are kept.
const MAX_MISSED_LEASES: u32 = 3;

/// The times by which reachability is judged.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatTiming {
    /// The longest gap between heartbeats that counts as uninterrupted contact, in seconds. It
    /// covers a worker's attempt at another node.
    pub max_gap_s: Time,
    /// The age of a response at which the lease that it renewed has certainly expired, in seconds.
    pub lease_expiry_s: Time,
    /// Since when this leader has responded to heartbeats without a break.
    pub responding_since: Time,
}

/// The arrival of a heartbeat, compared with the one before it.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatArrival {
    /// The worker's epoch before; 0 if it is not known.
    pub previous_epoch: u64,
    /// The worker's epoch now.
    pub epoch: u64,
    /// When the heartbeat before it arrived, if one did.
    pub previous_at: Option<Time>,
    /// When it arrived.
    pub at: Time,
}

/// What the epochs of a machine's worker show about whether it receives responses. A worker
/// whose lease expires although its heartbeats arrived and were responded to received none of
/// the responses; one whose epoch outlasts a lease received at least one.
#[derive(Debug, Clone, Default)]
pub struct InboundReachability {
    /// When the first heartbeat of the current epoch arrived.
    epoch_since: Time,
    /// Since when heartbeats have arrived without a gap.
    contact_since: Time,
    /// Leases in a row that expired during uninterrupted contact.
    missed_leases: u32,
}

impl InboundReachability {
    /// Records the arrival of a heartbeat; true if it shows that another lease was missed.
    pub fn record(&mut self, arrival: &HeartbeatArrival, timing: &HeartbeatTiming) -> bool {
        let HeartbeatTiming { max_gap_s, lease_expiry_s, responding_since } = *timing;
        let missed_before = self.missed_leases;
        if arrival.previous_at.is_none_or(|previous| arrival.at - previous > max_gap_s) {
            self.contact_since = arrival.at;
        }
        if arrival.epoch > arrival.previous_epoch {
            // After a silence it was the way of the heartbeats that was cut. They may have been
            // held up, and several epochs arrive at once.
            let contact_s = arrival.at - self.contact_since.max(responding_since);
            let missed_lease = arrival.previous_epoch > 0 && contact_s > lease_expiry_s;
            self.missed_leases = if missed_lease { self.missed_leases + 1 } else { 0 };
            self.epoch_since = arrival.at;
        } else if arrival.at - self.epoch_since > lease_expiry_s + max_gap_s {
            self.missed_leases = 0;
        }
        self.missed_leases > missed_before
    }

    /// Whether the machine seems to receive nothing: it gets no work.
    pub fn receives_nothing(&self) -> bool {
        self.missed_leases > 0
    }

    /// Whether it has received nothing for so long that it is to be replaced.
    pub fn is_lost(&self) -> bool {
        self.missed_leases >= MAX_MISSED_LEASES
    }
}

/// Since when this leader has responded to heartbeats without a break. While it may not respond,
/// the leases of all workers expire, which says nothing about the machines. (After a store outage
/// longer than three leases it once scaled in the whole fleet as unreachable.)
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaderResponsiveness(Option<Time>);

impl LeaderResponsiveness {
    /// Records whether heartbeats are responded to `now`.
    pub fn update(&mut self, now: Time, responds: bool) {
        self.0 = if responds { self.0.or(Some(now)) } else { None };
    }

    /// When it began to respond; `now` if it doesn't.
    pub fn since(&self, now: Time) -> Time {
        self.0.unwrap_or(now)
    }
}
