//! How long a leader has been entitled to act without a gap.

use crate::messages::Time;
use tracing::{info, warn};

/// Since when this leader has been entitled to act, by its own clock.
///
/// While it is not entitled, another node may lead: it may respond to heartbeats and kill tasks
/// within the response grace, but must not judge machines, schedule, or call the cloud. (Replaced
/// leaders without a connection to the store once listed the cloud beside their successors for a
/// minute, and dropped hundreds of machines from their state.)
#[derive(Debug, Default)]
pub struct LeadershipTenure {
    /// Start of the present uninterrupted period; None while not entitled.
    since: Option<Time>,
    /// Whether there was an earlier period.
    was_entitled: bool,
}

impl LeadershipTenure {
    /// Records whether the leader is entitled to act `now`, and logs a change.
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

    /// Start of the present period; `Time::MAX` while not entitled.
    pub fn entitled_since(&self) -> Time {
        self.since.unwrap_or(Time::MAX)
    }

    /// Seconds since the start of the present period; 0 while not entitled.
    pub fn entitled_for_s(&self, now: Time) -> Time {
        self.since.map_or(0.0, |since| now - since)
    }
}
