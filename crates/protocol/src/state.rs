//! The state service: keys, transactions, leases and watches. `V` is the type
//! of the values a caller keeps there.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item<V> {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: V,
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl<V> Item<V> {
    /// The same with another value.
    pub fn map<W>(self, f: impl FnOnce(V) -> W) -> Item<W> {
        Item { key: self.key, value: f(self.value), version: self.version }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Missing {
    #[serde(rename = "ledger")]
    pub revision: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page<V> {
    #[serde(rename = "rows")]
    pub items: Vec<Item<V>>,
    #[serde(rename = "hasNext", default)]
    pub more: bool,
    #[serde(rename = "ledger")]
    pub revision: u64,
}

impl<V> Page<V> {
    /// The same with other values.
    pub fn map<W>(self, f: impl Fn(V) -> W) -> Page<W> {
        let items = self.items.into_iter().map(|i| i.map(&f)).collect();
        Page { items, more: self.more, revision: self.revision }
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Compare {
    #[serde(rename = "path")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Mutation<V> {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "v")]
        value: V,
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction<V> {
    #[serde(rename = "when")]
    pub compares: Vec<Compare>,
    #[serde(rename = "writes")]
    pub mutations: Vec<Mutation<V>>,
}

/// Largest transaction, in bytes of its JSON form.
pub const TXN_LIMIT: usize = 64 * 1024;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Committed {
    #[serde(rename = "ledger")]
    pub revision: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CasConflict {
    #[serde(default)]
    pub failed: Vec<String>,
    #[serde(rename = "ledger", default)]
    pub revision: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantLease {
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    #[serde(rename = "permit")]
    pub lease: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event<V> {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "v")]
        value: V,
        #[serde(rename = "stamp")]
        version: u64,
    },
    Delete {
        #[serde(rename = "delete")]
        key: String,
        #[serde(rename = "stamp")]
        version: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Events<V> {
    #[serde(rename = "ledger")]
    pub revision: u64,
    pub events: Vec<Event<V>>,
}

impl<V> Events<V> {
    /// The same with other values.
    pub fn map<W>(self, f: impl Fn(V) -> W) -> Events<W> {
        let event = |e| match e {
            Event::Put { key, value, version } => Event::Put { key, value: f(value), version },
            Event::Delete { key, version } => Event::Delete { key, version },
        };
        Events { revision: self.revision, events: self.events.into_iter().map(event).collect() }
    }
}
