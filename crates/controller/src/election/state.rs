//! Election state of a node: its view of the leader key and its own campaign.

use crate::election::campaign::ElectionAttempt;
use crate::election::previous_incarnation::PreviousIncarnation;
use crate::leader::state::WatchCursor;
use crate::messages::Time;

/// Election state of a node, in either role.
#[derive(Default)]
pub(crate) struct ElectionState {
    /// Leader as last read: node name and fencing token.
    pub(crate) known_leader: Option<(String, u64)>,
    /// Leader key, while it names an incarnation of this node from before its last restart.
    pub(crate) previous_incarnation: PreviousIncarnation,
    /// Watch on the leader key.
    pub(crate) leader_watch: WatchCursor,
    /// Whether a campaign is in progress, from the lease request to the outcome.
    pub(crate) campaigning: bool,
    /// Claim to the leader key (a compare-and-swap) whose outcome is not known yet.
    pub(crate) attempt: Option<ElectionAttempt>,
    /// Earliest time of the next campaign; start time of the one in progress.
    pub(crate) campaign_at: Time,
    /// Highest fencing token seen in the store.
    pub(crate) last_stored_token: u64,
    /// Highest fencing token reported by another node or a worker.
    pub(crate) last_reported_token: u64,
}

impl ElectionState {
    /// Returns the highest fencing token seen by this node from any source.
    pub(crate) fn newest_token(&self) -> u64 {
        let leader_token = self.known_leader.as_ref().map_or(0, |leader| leader.1);
        leader_token.max(self.last_stored_token).max(self.last_reported_token)
    }
}
