//! What this node knows of the leader key, and its own campaign.

use crate::election::campaign::ElectionAttempt;
use crate::election::previous_incarnation::PreviousIncarnation;
use crate::leader::state::WatchCursor;
use crate::messages::Time;

/// A node's part in the election, whether it leads or not.
#[derive(Default)]
pub(crate) struct ElectionState {
    /// The leader as last read: node name and fencing token.
    pub(crate) known_leader: Option<(String, u64)>,
    /// The leader key, while it names this node before its last restart.
    pub(crate) previous_incarnation: PreviousIncarnation,
    /// The watch of the leader key.
    pub(crate) leader_watch: WatchCursor,
    /// A lease for a campaign has been asked for, or the campaign is not decided.
    pub(crate) campaigning: bool,
    /// The compare-and-swap of the leader key that is in flight.
    pub(crate) attempt: Option<ElectionAttempt>,
    /// No campaign starts before then.
    pub(crate) campaign_at: Time,
    /// The highest fencing token that the store has shown.
    pub(crate) last_stored_token: u64,
    /// The highest fencing token that another node or a worker has shown.
    pub(crate) last_reported_token: u64,
}

impl ElectionState {
    /// The highest fencing token that this node has seen anywhere.
    pub(crate) fn newest_token(&self) -> u64 {
        let leader_token = self.known_leader.as_ref().map_or(0, |leader| leader.1);
        leader_token.max(self.last_stored_token).max(self.last_reported_token)
    }
}
