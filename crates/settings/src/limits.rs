//! Limits of the key-value store, of the cloud and of the node itself.

use serde::Deserialize;

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second that the store serves, from all nodes together.
    pub rps: f64,
    /// Mutations per second that the store commits, from all nodes together.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Maximum number of mutations in a transaction.
    pub txn_ops: usize,
    /// Limits that hold from some moment on that is not announced.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Coming limits of the key-value store. A limit that is not named stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    /// See [`StateLimits::rps`].
    #[serde(default)]
    pub rps: Option<f64>,
    /// See [`StateLimits::write_rps`].
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// See [`StateLimits::value_kb`].
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// See [`StateLimits::txn_ops`].
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Largest value, in KiB, that fits both the present and the coming limit.
    pub fn effective_value_kb(&self) -> f64 {
        let next = self.next.as_ref().and_then(|next| next.value_kb);
        next.map_or(self.value_kb, |value_kb| value_kb.min(self.value_kb))
    }

    /// Maximum number of mutations in a transaction that fits both the present and the coming limit.
    pub fn effective_transaction_ops(&self) -> usize {
        let next = self.next.as_ref().and_then(|next| next.txn_ops);
        next.map_or(self.txn_ops, |txn_ops| txn_ops.min(self.txn_ops))
    }

    /// Mutations per second that both the present and the coming limit allow.
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
    /// How old the list of machines may be, in seconds.
    pub list_lag_s: f64,
}

/// What the node itself may use.
#[derive(Debug, Clone, Deserialize)]
pub struct Resources {
    /// Part of a processor core.
    pub cpu_share: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Maximum number of open sockets.
    pub max_connections: usize,
}
