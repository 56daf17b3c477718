//! The store's limits: those that the settings give for now, those that they announce,
//! and which of the two a refusal has shown to be in force.

use crate::Controller;
use protocol::state::MAX_TRANSACTION_BYTES;
use settings::StateLimits;
use tracing::info;

/// Bytes in JSON that a transaction is filled up to. An eighth of the store's limit is left free, since
/// sizes are estimates.
pub const TARGET_TRANSACTION_BYTES: usize = MAX_TRANSACTION_BYTES * 7 / 8;

/// Part of the full write rate by which each write that is served raises the current one.
const RATE_RECOVERY_PER_WRITE: f64 = 0.002;
/// Factor by which the rate drops with each refusal, once it is at the announced one.
const RATE_BACKOFF: f64 = 0.9;
/// Part of a value's size limit that is left free: sizes are our own count, and the
/// store may write a number with another digit.
const VALUE_SIZE_MARGIN: f64 = 1.0 / 32.0;
const BYTES_PER_KB: f64 = 1024.0;

/// The limits that this node keeps to. Sizes fit both the current and the announced limits from the
/// start. The rate is the current one until the store refuses it: the announced one is not used
/// before it has to be.
#[derive(Debug, Clone)]
pub struct StoreLimits {
    settings: StateLimits,
    /// Mutations per second that are taken to be allowed now.
    rate: f64,
    /// A value or transaction was refused that fits the current limits.
    next_limits_in_force: bool,
}

impl StoreLimits {
    /// The limits by the settings.
    pub fn new(settings: &StateLimits) -> Self {
        StoreLimits { settings: settings.clone(), rate: settings.write_rps, next_limits_in_force: false }
    }

    /// Bytes that a value may take in JSON.
    pub fn value_bytes(&self) -> usize {
        (self.settings.effective_value_kb() * BYTES_PER_KB * (1.0 - VALUE_SIZE_MARGIN)) as usize
    }

    /// Bytes that a value may take in JSON that an earlier version wrote.
    pub fn current_value_bytes(&self) -> usize {
        (self.settings.value_kb * BYTES_PER_KB) as usize
    }

    /// Mutations that a transaction may have.
    pub fn mutations(&self) -> usize {
        self.settings.effective_transaction_ops()
    }

    /// Conditions that a transaction may have: four times the mutations.
    pub fn compares(&self) -> usize {
        self.mutations() * 4
    }

    /// Mutations per second.
    pub fn write_rps(&self) -> f64 {
        self.rate
    }

    /// Whether the announced limits have been shown to be in force.
    pub fn next_limits_in_force(&self) -> bool {
        self.next_limits_in_force
    }

    /// The store refused a write for the rate: lowers it to the announced one, and from there step by
    /// step to half of that. True if it is lower than before.
    pub fn on_rate_limited(&mut self) -> bool {
        let before = self.rate;
        let announced = self.settings.effective_write_rps();
        self.rate = if before > announced { announced } else { (before * RATE_BACKOFF).max(announced / 2.0) };
        self.rate < before
    }

    /// The store refused a write for its size, so the announced limits are in force. True the first
    /// time.
    pub fn on_size_refused(&mut self) -> bool {
        self.rate = self.rate.min(self.settings.effective_write_rps());
        !std::mem::replace(&mut self.next_limits_in_force, true)
    }

    /// The store served a write: raises the rate a little.
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
    /// The store refused a write for the rate.
    pub(crate) fn on_rate_limited(&mut self) {
        if self.store_limits.on_rate_limited() {
            info!(
                changes_per_s = self.store_limits.write_rps(),
                "state service rate limit reached, write rate lowered"
            );
        }
    }

    /// The store refused a write that the current limits allow: the announced ones are in force, and
    /// so every node has this version.
    pub(crate) fn on_size_refused(&mut self) {
        if self.store_limits.on_size_refused() {
            info!(bytes = self.store_limits.value_bytes(), "next state service limits are in force");
        }
        self.formats.confirm();
    }
}
