//! Limits of the key-value store, the cloud and the node itself.

use serde::Deserialize;

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second that the store serves for all nodes together.
    pub rps: f64,
    /// Mutations per second that the store commits for all nodes together.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of mutations in a transaction.
    pub txn_ops: usize,
    /// Limits that will apply from a time that is not announced.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Future limits of the key-value store. A limit that is absent does not change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    /// Future value of [`StateLimits::rps`].
    #[serde(default)]
    pub rps: Option<f64>,
    /// Future value of [`StateLimits::write_rps`].
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Future value of [`StateLimits::value_kb`].
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Future value of [`StateLimits::txn_ops`].
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Returns the maximum size of a value, in KiB, that both the current and the future limit allow.
    pub fn effective_value_kb(&self) -> f64 {
        let next = self.next.as_ref().and_then(|next| next.value_kb);
        next.map_or(self.value_kb, |value_kb| value_kb.min(self.value_kb))
    }

    /// Returns the maximum number of mutations in a transaction that both the current and the future
    /// limit allow.
    pub fn effective_transaction_ops(&self) -> usize {
        let next = self.next.as_ref().and_then(|next| next.txn_ops);
        next.map_or(self.txn_ops, |txn_ops| txn_ops.min(self.txn_ops))
    }

    /// Returns the mutations per second that both the current and the future limit allow.
    pub fn effective_write_rps(&self) -> f64 {
        let next = self.next.as_ref().and_then(|next| next.write_rps);
        next.map_or(self.write_rps, |write_rps| write_rps.min(self.write_rps))
    }
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// Maximum age of the list of machines that the cloud returns, in seconds.
    pub list_lag_s: f64,
}

/// Resources that the node itself may use.
#[derive(Debug, Clone, Deserialize)]
pub struct Resources {
    /// Processor time, as a share of one core.
    pub cpu_share: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Maximum number of open sockets.
    pub max_connections: usize,
}
