//! Limits of the store: the current ones and the announced ones from the settings, and which of the
//! two are in force, as far as refused writes have shown it.

use crate::{Controller, Time};
use protocol::state::MAX_TRANSACTION_BYTES;
use settings::StateLimits;
use tracing::info;

#[cfg(test)]
mod tests;

/// JSON bytes up to which a transaction is filled. An eighth of the store's limit is left free, since
/// sizes are estimates.
pub const TARGET_TRANSACTION_BYTES: usize = MAX_TRANSACTION_BYTES * 7 / 8;

/// Fraction of the full write rate by which each successful write raises the current rate.
const RATE_RECOVERY_PER_WRITE: f64 = 0.002;
/// Factor by which each refusal lowers the rate once it has reached the announced rate.
const RATE_BACKOFF: f64 = 0.9;
/// Fraction of a value's size limit that is left free: sizes are computed on this side, and the store
/// may write a number with one more digit.
const VALUE_SIZE_MARGIN: f64 = 1.0 / 32.0;
const BYTES_PER_KB: f64 = 1024.0;
/// Number of retries of a failed request to the store per lease renewal interval.
const RETRIES_PER_RENEWAL_INTERVAL: f64 = 4.0;

/// Limits that this node observes. Sizes fit both the current and the announced limits from the
/// start. The rate is the current limit until the store refuses it, so that the announced rate is not
/// applied earlier than necessary.
#[derive(Debug, Clone)]
pub struct StoreLimits {
    settings: StateLimits,
    /// Number of mutations per second that are assumed to be allowed at present.
    rate: f64,
    /// Whether a value or transaction that fits the current limits has been refused.
    next_limits_in_force: bool,
}

impl StoreLimits {
    /// Creates the limits from the settings.
    pub fn new(settings: &StateLimits) -> Self {
        StoreLimits { settings: settings.clone(), rate: settings.write_rps, next_limits_in_force: false }
    }

    /// Returns the maximum size of a value in JSON bytes. A value that exceeds a transaction could never
    /// be written.
    pub fn value_bytes(&self) -> usize {
        let value_bytes = self.settings.effective_value_kb() * BYTES_PER_KB * (1.0 - VALUE_SIZE_MARGIN);
        (value_bytes as usize).min(TARGET_TRANSACTION_BYTES)
    }

    /// Returns the maximum size, in JSON bytes, of a value that an earlier version may have written.
    pub fn current_value_bytes(&self) -> usize {
        ((self.settings.value_kb * BYTES_PER_KB) as usize).min(TARGET_TRANSACTION_BYTES)
    }

    /// Returns the maximum number of mutations in a transaction.
    pub fn mutations(&self) -> usize {
        self.settings.effective_transaction_ops()
    }

    /// Returns the maximum number of conditions in a transaction: four times the mutations.
    pub fn compares(&self) -> usize {
        self.mutations() * 4
    }

    /// Returns the number of mutations per second.
    pub fn write_rps(&self) -> f64 {
        self.rate
    }

    /// Whether the announced limits have been shown to be in force.
    pub fn next_limits_in_force(&self) -> bool {
        self.next_limits_in_force
    }

    /// Lowers the rate after the store refused a write for its rate: first to the announced rate, then
    /// step by step to half of that. Returns whether the rate has changed.
    pub fn on_rate_limited(&mut self) -> bool {
        let previous_rate = self.rate;
        let announced = self.settings.effective_write_rps();
        self.rate = if previous_rate > announced {
            announced
        } else {
            (previous_rate * RATE_BACKOFF).max(announced / 2.0)
        };
        self.rate < previous_rate
    }

    /// Records that the store refused a write for its size, so that the announced limits are in
    /// force. Returns whether this is the first time.
    pub fn on_size_refused(&mut self) -> bool {
        self.rate = self.rate.min(self.settings.effective_write_rps());
        !std::mem::replace(&mut self.next_limits_in_force, true)
    }

    /// Raises the rate slightly after a successful write.
    pub fn on_write_served(&mut self) {
        let full_rate = if self.next_limits_in_force {
            self.settings.effective_write_rps()
        } else {
            self.settings.write_rps
        };
        self.rate = (self.rate + full_rate * RATE_RECOVERY_PER_WRITE).min(full_rate);
    }
}

impl Controller {
    /// Returns the time at which the leader retries a request that fails now.
    pub(crate) fn store_retry_at(&self) -> Time {
        self.now + self.timing.renewal_interval_s / RETRIES_PER_RENEWAL_INTERVAL
    }

    /// Lowers the write rate after the store refused a write for its rate.
    pub(crate) fn on_rate_limited(&mut self) {
        if self.store_limits.on_rate_limited() {
            info!(
                changes_per_s = self.store_limits.write_rps(),
                "state service rate limit reached, write rate lowered"
            );
        }
    }

    /// Handles the refusal of a write that the current limits allow. It shows that the announced
    /// limits are in force, and so that every node has this version.
    pub(crate) fn on_size_refused(&mut self) {
        if self.store_limits.on_size_refused() {
            info!(bytes = self.store_limits.value_bytes(), "next state service limits are in force");
        }
        self.formats.confirm();
    }
}
