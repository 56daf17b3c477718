//! How long the state service takes to answer, and from when on an answer is overdue.

use crate::messages::Time;

/// Smoothed mean and mean deviation of answer times, as TCP estimates its round trips (RFC 6298).
/// What is never answered counts nothing: it says nothing of how long an answer takes.
#[derive(Debug, Default)]
pub struct RoundTripEstimator {
    mean_s: Option<Time>,
    deviation_s: Time,
}

impl RoundTripEstimator {
    /// A call was answered after `took` seconds.
    pub fn record(&mut self, took: Time) {
        match self.mean_s {
            None => (self.mean_s, self.deviation_s) = (Some(took), took / 2.0),
            Some(mean) => {
                self.deviation_s += ((mean - took).abs() - self.deviation_s) / 4.0;
                self.mean_s = Some(mean + (took - mean) / 8.0);
            }
        }
    }

    /// For how long an answer is waited for before it counts as overdue, `least` at least.
    pub fn timeout_s(&self, least: Time) -> Time {
        self.mean_s.map_or(least, |mean| (mean + 4.0 * self.deviation_s).max(least))
    }
}
