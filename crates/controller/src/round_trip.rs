//! How long the state service takes to answer, and from when on an answer is overdue.

use crate::messages::Time;

/// Smoothed mean and mean deviation of answer times, as TCP estimates its round trips (RFC 6298).
/// What is never answered counts nothing: it says nothing of how long an answer takes.
#[derive(Debug, Default)]
pub struct RoundTripEstimator {
    mean: Option<Time>,
    deviation: Time,
}

impl RoundTripEstimator {
    /// A call was answered after `took` seconds.
    pub fn note(&mut self, took: Time) {
        match self.mean {
            None => (self.mean, self.deviation) = (Some(took), took / 2.0),
            Some(mean) => {
                self.deviation += ((mean - took).abs() - self.deviation) / 4.0;
                self.mean = Some(mean + (took - mean) / 8.0);
            }
        }
    }

    /// For how long an answer is waited for before it counts as overdue, `least` at least.
    pub fn patience_s(&self, least: Time) -> Time {
        self.mean.map_or(least, |mean| (mean + 4.0 * self.deviation).max(least))
    }
}
