//! Estimate of the store's response time, and the timeout that follows from it.

use crate::messages::Time;

/// Weight of a new sample in the mean, as in RFC 6298.
const MEAN_GAIN_DIVISOR: f64 = 8.0;
/// Weight of a new sample in the mean deviation, as in RFC 6298.
const DEVIATION_GAIN_DIVISOR: f64 = 4.0;
/// Mean deviations above the mean after which an answer is overdue, as in RFC 6298.
const TIMEOUT_DEVIATIONS: f64 = 4.0;

/// Smoothed mean and mean deviation of response times, as TCP estimates its round-trip time
/// (RFC 6298). Calls without a reply are not counted: they do not tell how long a reply takes.
#[derive(Debug, Default)]
pub struct RoundTripEstimator {
    /// None before the first sample.
    mean_s: Option<Time>,
    /// Smoothed mean deviation.
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

    /// Seconds after which a reply is overdue, but not less than `min_s`.
    pub fn timeout_s(&self, min_s: Time) -> Time {
        self.mean_s.map_or(min_s, |mean_s| (mean_s + TIMEOUT_DEVIATIONS * self.deviation_s).max(min_s))
    }
}
