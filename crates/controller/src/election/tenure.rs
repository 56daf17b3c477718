//! Uninterrupted period in which a leader may act.

use crate::messages::Time;
use tracing::{info, warn};

/// Current uninterrupted period in which the leader has been entitled to act, by its own clock.
///
/// While not entitled, a leader may still respond to heartbeats and kill tasks within the response
/// grace period. Since another node may lead by then, it must not detect machine failures, schedule,
/// or call the cloud: replaced leaders without a connection to the store listed the cloud's machines
/// for a minute alongside their successors, and dropped hundreds of machines from their state.
#[derive(Debug, Default)]
pub struct LeadershipTenure {
    /// Start of the current period; None while not entitled.
    since: Option<Time>,
    /// Whether the leader has been entitled at any time so far.
    was_entitled: bool,
}

impl LeadershipTenure {
    /// Records whether the leader is entitled to act at `now`, and logs changes.
    pub fn update(&mut self, now: Time, entitled: bool, token: u64) {
        match (entitled, self.since) {
            (true, None) => {
                if self.was_entitled {
                    info!(token, "leadership lease confirmed again, scheduling resumed");
                }
                self.since = Some(now);
                self.was_entitled = true;
            }
            (false, Some(_)) => {
                warn!(token, "leadership lease not confirmed, scheduling suspended");
                self.since = None;
            }
            _ => {}
        }
    }

    /// Returns the start of the current period; `Time::MAX` while not entitled.
    pub fn entitled_since(&self) -> Time {
        self.since.unwrap_or(Time::MAX)
    }

    /// Returns the seconds since the start of the current period; 0 while not entitled.
    pub fn entitled_for_s(&self, now: Time) -> Time {
        self.since.map_or(0.0, |since| now - since)
    }
}
