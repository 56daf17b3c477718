//! A token bucket whose rate follows what the store accepts.

use crate::messages::Time;

/// A token bucket that holds at most one second's worth of permits, and at least one permit.
#[derive(Debug, Clone)]
pub(crate) struct RateLimiter {
    /// Permits that are added per second.
    rate: f64,
    /// Permits that were left at `refilled_at`.
    available: f64,
    /// When permits were last added.
    refilled_at: Time,
}

impl RateLimiter {
    /// A full bucket with `rate` permits per second.
    pub(crate) fn new(rate: f64) -> Self {
        RateLimiter { rate, available: rate.max(1.0), refilled_at: 0.0 }
    }

    /// Permits per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate; permits beyond the new capacity are lost.
    pub(crate) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
        self.available = self.available.min(rate.max(1.0));
    }

    /// Halves the rate after a refusal, but not below `min_rate`.
    pub(crate) fn halve(&mut self, now: Time, min_rate: f64) {
        self.refill(now);
        self.rate = (self.rate / 2.0).max(min_rate);
        self.available = self.available.min(self.rate);
    }

    /// Raises the rate after a success by a hundredth of `max_rate`, up to `max_rate`.
    pub(crate) fn recover(&mut self, max_rate: f64) {
        self.rate = (self.rate + max_rate / 100.0).min(max_rate);
    }

    /// Permits available at `now`.
    pub(crate) fn available_at(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.available
    }

    /// Whether at least a quarter of a second's permits is left, and at least one. Optional work
    /// takes permits only then.
    pub(crate) fn has_reserve(&mut self, now: Time) -> bool {
        let reserve = (self.rate / 4.0).max(1.0);
        self.available_at(now) >= reserve
    }

    /// Takes `permits` if they are available. A request for more than the bucket holds
    /// succeeds when the bucket is full, and leaves a debt.
    pub(crate) fn try_acquire(&mut self, now: Time, permits: f64) -> bool {
        self.refill(now);
        let enough = self.available >= permits.min(self.rate.max(1.0));
        if enough {
            self.available -= permits;
        }
        enough
    }

    fn refill(&mut self, now: Time) {
        let added = (now - self.refilled_at).max(0.0) * self.rate;
        self.available = (self.available + added).min(self.rate.max(1.0));
        self.refilled_at = now;
    }
}
