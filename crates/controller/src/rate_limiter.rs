//! Token bucket whose rate adapts to what the store accepts.

use crate::messages::Time;

/// Token bucket with a capacity of one second's permits, and of at least one permit.
#[derive(Debug, Clone)]
pub(crate) struct RateLimiter {
    /// Number of permits added per second.
    rate: f64,
    /// Number of permits available at `refilled_at`; negative while the bucket is in debt.
    available: f64,
    /// Time of the last refill.
    refilled_at: Time,
}

impl RateLimiter {
    /// Creates a full bucket with `rate` permits per second.
    pub(crate) fn new(rate: f64) -> Self {
        RateLimiter { rate, available: rate.max(1.0), refilled_at: 0.0 }
    }

    /// Returns the number of permits added per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate. Permits beyond the new capacity are discarded.
    pub(crate) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
        self.available = self.available.min(rate.max(1.0));
    }

    /// Halves the rate after a refusal, to no less than `min_rate`.
    pub(crate) fn halve(&mut self, now: Time, min_rate: f64) {
        self.refill(now);
        self.rate = (self.rate / 2.0).max(min_rate);
        self.available = self.available.min(self.rate);
    }

    /// Raises the rate after a success by one hundredth of `max_rate`, to no more than `max_rate`.
    pub(crate) fn recover(&mut self, max_rate: f64) {
        self.rate = (self.rate + max_rate / 100.0).min(max_rate);
    }

    /// Returns the number of permits available at `now`.
    pub(crate) fn available_at(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.available
    }

    /// Whether at least a quarter of a second's permits are available, and at least one. Optional work
    /// takes permits only in that case.
    pub(crate) fn has_reserve(&mut self, now: Time) -> bool {
        let reserve = (self.rate / 4.0).max(1.0);
        self.available_at(now) >= reserve
    }

    /// Takes `permits` if they are available. A request for more permits than the capacity succeeds if
    /// the bucket is full, and leaves a debt.
    pub(crate) fn try_acquire(&mut self, now: Time, permits: f64) -> bool {
        self.refill(now);
        let is_available = self.available >= permits.min(self.rate.max(1.0));
        if is_available {
            self.available -= permits;
        }
        is_available
    }

    fn refill(&mut self, now: Time) {
        let added = (now - self.refilled_at).max(0.0) * self.rate;
        self.available = (self.available + added).min(self.rate.max(1.0));
        self.refilled_at = now;
    }
}
