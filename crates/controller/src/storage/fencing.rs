//! Fencing of the leader's writes, which succeed only while the leader key is unchanged.

use crate::model::records::LEADER_KEY;
use protocol::state::{CasConflict, Compare};

/// Reason for stepping down after a fenced write.
pub const LEADERSHIP_LOST: &str = "leader key is held by another node";

/// Returns the condition that the leader with this token still leads.
pub fn leader_compare(fencing_token: u64) -> Compare {
    Compare { key: LEADER_KEY.to_string(), version: fencing_token }
}

/// Whether a write failed because another node leads.
pub fn is_fenced(conflict: &CasConflict) -> bool {
    conflict.failed.iter().any(|key| key == LEADER_KEY)
}
