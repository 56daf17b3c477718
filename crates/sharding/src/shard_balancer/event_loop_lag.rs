//! How late a node's timers fire, and what follows for its share of the work.

/// Larger delays of a single timer count as this.
const MAX_LAG_SAMPLE_S: f64 = 10.0;
/// Weight of the past in the moving average: a sample counts for one part in so many.
const AVERAGING_SAMPLES: f64 = 16.0;
/// Factor by which the weight falls while the event loop lags.
const WEIGHT_DECREASE: f64 = 0.9;
/// Factor by which the weight recovers.
const WEIGHT_INCREASE: f64 = 1.03;
/// The weight never falls below this.
const MIN_WEIGHT: f64 = 0.1;
/// The part of requests that is shed at most.
const MAX_SHED_PROBABILITY: f64 = 0.75;

/// A node's own weight, from the lag of its event loop.
#[derive(Debug)]
pub struct EventLoopLag {
    /// Moving average of the lag of its timers.
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

    /// Adjusts the weight, once a renewal interval: quickly down while the lag is above
    /// `max_lag_s`, slowly up again. Returns it, from 0.1 to 1.
    pub fn update_weight(&mut self, max_lag_s: f64) -> f64 {
        let factor = if self.mean_lag_s > max_lag_s { WEIGHT_DECREASE } else { WEIGHT_INCREASE };
        self.weight = (self.weight * factor).clamp(MIN_WEIGHT, 1.0);
        self.weight
    }

    /// The weight as updated last, from 0.1 to 1.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// The part of requests to shed whose clients wait for `client_timeout_s` seconds: none
    /// while the lag is below half of that, three quarters once responses would come after
    /// the clients have gone.
    pub fn shed_probability(&self, client_timeout_s: f64) -> f64 {
        ((self.mean_lag_s * 2.0 / client_timeout_s - 1.0) * MAX_SHED_PROBABILITY)
            .clamp(0.0, MAX_SHED_PROBABILITY)
    }
}
