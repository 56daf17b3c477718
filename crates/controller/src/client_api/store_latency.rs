//! Estimate of the store's response time, and the timeout derived from it.

use crate::messages::Time;

/// Reciprocal of a new sample's weight in the mean, as in RFC 6298.
const MEAN_GAIN_DIVISOR: f64 = 8.0;
/// Reciprocal of a new sample's weight in the mean deviation, as in RFC 6298.
const DEVIATION_GAIN_DIVISOR: f64 = 4.0;
/// Number of mean deviations above the mean after which a reply is overdue, as in RFC 6298.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// Smoothed mean and mean deviation of response times, estimated like TCP's round-trip time
/// (RFC 6298). Calls without a reply are not counted, because they have no response time.
#[derive(Debug, Default)]
pub struct RoundTripEstimator {
    /// Smoothed mean, in seconds; none before the first sample.
    mean_s: Option<Time>,
    /// Smoothed mean deviation, in seconds.
    deviation_s: Time,
}

impl RoundTripEstimator {
    /// Adds the response time of one call, in seconds.
    pub fn record(&mut self, response_time_s: Time) {
        let Some(mean_s) = self.mean_s else {
            self.mean_s = Some(response_time_s);
            self.deviation_s = response_time_s / 2.0;
            return;
        };
        let error_s = response_time_s - mean_s;
        self.deviation_s += (error_s.abs() - self.deviation_s) / DEVIATION_GAIN_DIVISOR;
        self.mean_s = Some(mean_s + error_s / MEAN_GAIN_DIVISOR);
    }

    /// Returns the seconds after which a reply is overdue, at least `min_s`.
    pub fn timeout_s(&self, min_s: Time) -> Time {
        self.mean_s.map_or(min_s, |mean_s| (mean_s + TIMEOUT_DEVIATIONS * self.deviation_s).max(min_s))
    }
}
