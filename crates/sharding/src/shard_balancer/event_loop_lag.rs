//! Lag of a node's timers, and the node's resulting share of the workers.

/// Maximum lag that counts for a single timer, in seconds.
const MAX_LAG_SAMPLE_S: f64 = 10.0;
/// Divisor of the moving average: each sample contributes one part in this many.
const AVERAGING_SAMPLES: f64 = 16.0;
/// Factor of each weight update while the event loop lags.
const WEIGHT_DECREASE: f64 = 0.9;
/// Factor of each weight update while the event loop does not lag.
const WEIGHT_INCREASE: f64 = 1.03;
/// Minimum weight of a node.
const MIN_WEIGHT: f64 = 0.1;
/// Maximum fraction of requests that is shed.
const MAX_SHED_PROBABILITY: f64 = 0.75;

/// A node's event loop lag and the weight that results from it.
#[derive(Debug)]
pub struct EventLoopLag {
    /// Moving average of the timer lag, in seconds.
    mean_lag_s: f64,
    weight: f64,
}

impl Default for EventLoopLag {
    fn default() -> Self {
        EventLoopLag { mean_lag_s: 0.0, weight: 1.0 }
    }
}

impl EventLoopLag {
    /// Records that a timer fired `lag_s` seconds late.
    pub fn record(&mut self, lag_s: f64) {
        self.mean_lag_s += (lag_s.clamp(0.0, MAX_LAG_SAMPLE_S) - self.mean_lag_s) / AVERAGING_SAMPLES;
    }

    /// Adjusts the weight and returns it, from 0.1 to 1. The weight decreases quickly while the
    /// lag is above `max_lag_s`, and increases slowly otherwise. Called once per renewal
    /// interval.
    pub fn update_weight(&mut self, max_lag_s: f64) -> f64 {
        let factor = if self.mean_lag_s > max_lag_s { WEIGHT_DECREASE } else { WEIGHT_INCREASE };
        self.weight = (self.weight * factor).clamp(MIN_WEIGHT, 1.0);
        self.weight
    }

    /// Returns the weight as of the last update, from 0.1 to 1.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the fraction of requests to shed if clients wait for `client_timeout_s` seconds:
    /// none while the lag is below half of that, and three quarters once responses would
    /// arrive after the clients have stopped waiting.
    pub fn shed_probability(&self, client_timeout_s: f64) -> f64 {
        ((self.mean_lag_s * 2.0 / client_timeout_s - 1.0) * MAX_SHED_PROBABILITY)
            .clamp(0.0, MAX_SHED_PROBABILITY)
    }
}
