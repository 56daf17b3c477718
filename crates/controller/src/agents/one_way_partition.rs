//! Detection of one-way partitions: the heartbeats of a machine arrive, but it receives none of
//! the responses. Its lease is never renewed, so no task runs longer than one lease and no
//! launched task ever starts. No single heartbeat shows this, but a worker that begins a new epoch
//! during uninterrupted heartbeats does.

use crate::messages::Time;

#[cfg(test)]
mod tests;

/// Number of consecutive missed leases after which a machine is replaced. This many leases
/// last about as long as the machines of an unreachable zone are kept.
const MAX_MISSED_LEASES: u32 = 3;

/// Time limits and leader state by which reachability is judged.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatTiming {
    /// Maximum gap between heartbeats that counts as uninterrupted contact, in seconds. It
    /// allows for a worker's attempt to reach another node.
    pub max_gap_s: Time,
    /// Age of a response at which the lease that it renewed has certainly expired, in seconds.
    pub lease_expiry_s: Time,
    /// Time since which this leader has responded to heartbeats without interruption.
    pub responding_since: Time,
}

/// Arrival of a heartbeat, together with that of its predecessor.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatArrival {
    /// Epoch of the previous heartbeat, or 0 if it is unknown.
    pub previous_epoch: u64,
    /// Epoch of this heartbeat.
    pub epoch: u64,
    /// Arrival time of the previous heartbeat, if there was one.
    pub previous_at: Option<Time>,
    /// Arrival time of this heartbeat.
    pub at: Time,
}

/// Evidence from the epochs of a machine's worker on whether responses reach it. A worker whose
/// lease expires although its heartbeats arrived and got responses received none of these; a
/// worker whose epoch outlasts a lease received at least one.
#[derive(Debug, Clone, Default)]
pub struct InboundReachability {
    /// Arrival time of the first heartbeat of the current epoch.
    epoch_since: Time,
    /// Time since which heartbeats have arrived without a gap.
    contact_since: Time,
    /// Number of consecutive leases that expired during uninterrupted contact.
    missed_leases: u32,
}

impl InboundReachability {
    /// Records the arrival of a heartbeat. Returns whether it shows that another lease was missed.
    pub fn record(&mut self, arrival: &HeartbeatArrival, timing: &HeartbeatTiming) -> bool {
        let HeartbeatTiming { max_gap_s, lease_expiry_s, responding_since } = *timing;
        let missed_before = self.missed_leases;
        if arrival.previous_at.is_none_or(|previous| arrival.at - previous > max_gap_s) {
            self.contact_since = arrival.at;
        }
        if arrival.epoch > arrival.previous_epoch {
            // After a silence, the path from the worker was interrupted, not the one to it.
            // Heartbeats may have been delayed, and those of several epochs arrive at once.
            let contact_s = arrival.at - self.contact_since.max(responding_since);
            let missed_lease = arrival.previous_epoch > 0 && contact_s > lease_expiry_s;
            self.missed_leases = if missed_lease { self.missed_leases + 1 } else { 0 };
            self.epoch_since = arrival.at;
        } else if arrival.at - self.epoch_since > lease_expiry_s + max_gap_s {
            self.missed_leases = 0;
        }
        self.missed_leases > missed_before
    }

    /// Whether the machine seems to receive no responses, so that it gets no work.
    pub fn receives_nothing(&self) -> bool {
        self.missed_leases > 0
    }

    /// Whether the machine has received no responses for so long that it has to be replaced.
    pub fn is_lost(&self) -> bool {
        self.missed_leases >= MAX_MISSED_LEASES
    }
}

/// Time since which this leader has responded to heartbeats without interruption, if it does.
/// While the leader may not respond, the leases of all workers expire, which says nothing about
/// the machines. Without this, a leader scaled in the whole fleet as unreachable after a store
/// outage of more than three leases.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeaderResponsiveness(Option<Time>);

impl LeaderResponsiveness {
    /// Records whether the leader responds to heartbeats at `now`.
    pub fn update(&mut self, now: Time, responds: bool) {
        self.0 = if responds { self.0.or(Some(now)) } else { None };
    }

    /// Returns the time since which the leader has responded, or `now` if it doesn't respond.
    pub fn since(&self, now: Time) -> Time {
        self.0.unwrap_or(now)
    }
}
