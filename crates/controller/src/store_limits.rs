//! What the state service takes: the limits that the settings name, those that they say
//! will hold some time, and which of the two a refusal has shown to be in force.

use crate::Controller;
use settings::StateLimits;
use tracing::info;

/// Sizes fit both limits from the start. The rate is the present one until a refusal
/// speaks against it: the coming one is not used before it has to be.
#[derive(Debug, Clone)]
pub struct StoreLimits {
    settings: StateLimits,
    /// Changes a second that are taken to be allowed now.
    rate: f64,
    /// A value or transaction was refused that fitted the present limits.
    fallen: bool,
}

/// Of the way back to the full rate, what each served write takes.
const RECOVERY: f64 = 0.002;

/// Of the limit of a value, what is left free: sizes are counted by ourselves, and the
/// service may write a number with another digit.
const SPARE: f64 = 1.0 / 32.0;

impl StoreLimits {
    pub fn new(settings: &StateLimits) -> Self {
        StoreLimits { settings: settings.clone(), rate: settings.write_rps, fallen: false }
    }

    /// Bytes that a value may take in JSON.
    pub fn value_bytes(&self) -> usize {
        (self.settings.fit_value_kb() * 1024.0 * (1.0 - SPARE)) as usize
    }

    /// Bytes that a value may have taken that an earlier version wrote.
    pub fn present_bytes(&self) -> usize {
        (self.settings.value_kb * 1024.0) as usize
    }

    /// Changes in a transaction.
    pub fn changes(&self) -> usize {
        self.settings.fit_txn_ops()
    }

    /// Conditions in a transaction, four times the changes.
    pub fn conditions(&self) -> usize {
        self.changes() * 4
    }

    /// Changes a second.
    pub fn write_rps(&self) -> f64 {
        self.rate
    }

    /// Whether the coming limits have shown to be in force.
    pub fn fallen(&self) -> bool {
        self.fallen
    }

    /// The service had too many changes: what the coming limit allows, and from there on
    /// down to half of it. True if that is less than before.
    pub fn too_many(&mut self) -> bool {
        let (before, next) = (self.rate, self.settings.fit_write_rps());
        self.rate = if self.rate > next { next } else { (self.rate * 0.9).max(next / 2.0) };
        self.rate < before
    }

    /// The service refused a write for its size. True the first time.
    pub fn too_large(&mut self) -> bool {
        self.rate = self.rate.min(self.settings.fit_write_rps());
        !std::mem::replace(&mut self.fallen, true)
    }

    /// A write was served.
    pub fn served(&mut self) {
        let most = if self.fallen { self.settings.fit_write_rps() } else { self.settings.write_rps };
        self.rate = (self.rate + most * RECOVERY).min(most);
    }
}

impl Controller {
    /// The service had more changes than it takes in a second.
    pub(crate) fn too_many_changes(&mut self) {
        if self.limits.too_many() {
            info!(
                changes_per_s = self.limits.write_rps(),
                "the state service takes fewer changes, slower from now on"
            );
        }
    }

    /// The service refused a write that the present limits allow: the coming ones hold, and
    /// so every node has this version.
    pub(crate) fn size_was_refused(&mut self) {
        if self.limits.too_large() {
            info!(bytes = self.limits.value_bytes(), "the coming limits of the state service hold");
        }
        self.versions.is_evident();
    }
}
