//! What the state service takes: the limits that the settings name, those that they say
//! will hold some time, and which of the two a refusal has shown to be in force.

use crate::Controller;
use protocol::state::MAX_TRANSACTION_BYTES;
use settings::StateLimits;
use tracing::info;

/// Bytes in JSON that a transaction is filled up to. An eighth of the store's limit is left free, since
/// sizes are estimates.
pub const TARGET_TRANSACTION_BYTES: usize = MAX_TRANSACTION_BYTES * 7 / 8;

/// Sizes fit both limits from the start. The rate is the present one until a refusal
/// speaks against it: the coming one is not used before it has to be.
#[derive(Debug, Clone)]
pub struct StoreLimits {
    settings: StateLimits,
    /// Changes a second that are taken to be allowed now.
    rate: f64,
    /// A value or transaction was refused that fitted the present limits.
    next_limits_in_force: bool,
}

/// Of the way back to the full rate, what each served write takes.
const RECOVERY: f64 = 0.002;

/// Of the limit of a value, what is left free: sizes are counted by ourselves, and the
/// service may write a number with another digit.
const SPARE: f64 = 1.0 / 32.0;

impl StoreLimits {
    pub fn new(settings: &StateLimits) -> Self {
        StoreLimits { settings: settings.clone(), rate: settings.write_rps, next_limits_in_force: false }
    }

    /// Bytes that a value may take in JSON.
    pub fn value_bytes(&self) -> usize {
        (self.settings.effective_value_kb() * 1024.0 * (1.0 - SPARE)) as usize
    }

    /// Bytes that a value may have taken that an earlier version wrote.
    pub fn current_value_bytes(&self) -> usize {
        (self.settings.value_kb * 1024.0) as usize
    }

    /// Changes in a transaction.
    pub fn mutations(&self) -> usize {
        self.settings.effective_transaction_ops()
    }

    /// Conditions in a transaction, four times the changes.
    pub fn compares(&self) -> usize {
        self.mutations() * 4
    }

    /// Changes a second.
    pub fn write_rps(&self) -> f64 {
        self.rate
    }

    /// Whether the coming limits have shown to be in force.
    pub fn next_limits_in_force(&self) -> bool {
        self.next_limits_in_force
    }

    /// The service had too many changes: what the coming limit allows, and from there on
    /// down to half of it. True if that is less than before.
    pub fn on_rate_limited(&mut self) -> bool {
        let (before, next) = (self.rate, self.settings.effective_write_rps());
        self.rate = if self.rate > next { next } else { (self.rate * 0.9).max(next / 2.0) };
        self.rate < before
    }

    /// The service refused a write for its size. True the first time.
    pub fn on_size_refused(&mut self) -> bool {
        self.rate = self.rate.min(self.settings.effective_write_rps());
        !std::mem::replace(&mut self.next_limits_in_force, true)
    }

    /// A write was served.
    pub fn on_write_served(&mut self) {
        let most = if self.next_limits_in_force {
            self.settings.effective_write_rps()
        } else {
            self.settings.write_rps
        };
        self.rate = (self.rate + most * RECOVERY).min(most);
    }
}

impl Controller {
    /// The service had more changes than it takes in a second.
    pub(crate) fn on_rate_limited(&mut self) {
        if self.store_limits.on_rate_limited() {
            info!(
                changes_per_s = self.store_limits.write_rps(),
                "state service rate limit reached, write rate lowered"
            );
        }
    }

    /// The service refused a write that the present limits allow: the coming ones hold, and
    /// so every node has this version.
    pub(crate) fn on_size_refused(&mut self) {
        if self.store_limits.on_size_refused() {
            info!(bytes = self.store_limits.value_bytes(), "next state service limits are in force");
        }
        self.formats.confirm();
    }
}
