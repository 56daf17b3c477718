//! State of the leader's lease and the periods derived from it.

use crate::agents::one_way_partition::LeaderResponsiveness;
use crate::election::lease_authority::LeaseAuthority;
use crate::election::tenure::LeadershipTenure;
use crate::messages::{CallId, Time};

/// Lease of the leader key, and how long this node has held it.
pub struct Leadership {
    /// Lease that the leader key is bound to.
    pub lease: u64,
    /// Time at which this node was elected.
    pub elected_at: Time,
    /// Deadlines until which this node may respond to heartbeats and may act.
    pub authority: LeaseAuthority,
    /// Current uninterrupted period in which this node may act.
    pub tenure: LeadershipTenure,
    /// Current uninterrupted period in which this node may respond to heartbeats.
    pub responsiveness: LeaderResponsiveness,
    /// Lease renewal that awaits its reply.
    pub renewal_in_flight: Option<CallId>,
    /// Time at which the next renewal is due.
    pub renew_at: Time,
}

impl Leadership {
    /// Creates the state of a node that was elected at `now` with `lease`.
    pub fn new(lease: u64, now: Time, authority: LeaseAuthority) -> Self {
        Leadership {
            lease,
            elected_at: now,
            authority,
            tenure: LeadershipTenure::default(),
            responsiveness: LeaderResponsiveness::default(),
            renewal_in_flight: None,
            renew_at: now,
        }
    }
}
