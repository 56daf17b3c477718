//! The leader's lease and what it entitles to.

use crate::agents::one_way_partition::LeaderResponsiveness;
use crate::election::lease_authority::LeaseAuthority;
use crate::election::tenure::LeadershipTenure;
use crate::messages::{CallId, Time};

/// The lease of the leader key, and since when this node has held it.
pub struct Leadership {
    /// The lease that the leader key is bound to.
    pub lease: u64,
    /// When this node was elected.
    pub elected_at: Time,
    /// Until when this node may respond to heartbeats, and until when it may act.
    pub authority: LeaseAuthority,
    /// Since when this node has been entitled to act without a gap.
    pub tenure: LeadershipTenure,
    /// Since when heartbeats have been responded to without a gap.
    pub responsiveness: LeaderResponsiveness,
    /// The renewal that has not been answered yet.
    pub renewal_in_flight: Option<CallId>,
    /// When the next renewal is due.
    pub renew_at: Time,
}

impl Leadership {
    /// The state of a node that was elected `now` with `lease`.
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
