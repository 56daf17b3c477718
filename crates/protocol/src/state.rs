//! The key-value store's API: keys, compare-and-swap transactions, leases and watches. `V` is the
//! type of the values.

use serde::{Deserialize, Serialize};

/// A key and its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item<V> {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Its value.
    #[serde(rename = "v")]
    pub value: V,
    /// The key's version: it changes with every put.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl<V> Item<V> {
    /// The item with its value converted.
    pub fn map<W>(self, convert: impl FnOnce(V) -> W) -> Item<W> {
        Item { key: self.key, value: convert(self.value), version: self.version }
    }
}

/// Response to a read of a key that does not exist.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Missing {
    /// The store's revision at the time of the read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A page of the items in a range of keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page<V> {
    /// The items, by rising key.
    #[serde(rename = "rows")]
    pub items: Vec<Item<V>>,
    /// Whether another page follows.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
    /// The store's revision at the time of the read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

impl<V> Page<V> {
    /// The page with its values converted.
    pub fn map<W>(self, convert: impl Fn(V) -> W) -> Page<W> {
        let items = self.items.into_iter().map(|item| item.map(&convert)).collect();
        Page { items, more: self.more, revision: self.revision }
    }
}

/// A condition of a transaction: the key has this version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Compare {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// Its expected version; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Mutation<V> {
    /// Creates or replaces a value.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        #[serde(rename = "v")]
        value: V,
        /// The lease with which the key expires; `None` if it stays.
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
    },
}

/// A compare-and-swap transaction: all mutations are made if all conditions hold, else none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction<V> {
    /// The conditions.
    #[serde(rename = "when")]
    pub compares: Vec<Compare>,
    /// The mutations.
    #[serde(rename = "writes")]
    pub mutations: Vec<Mutation<V>>,
}

/// Largest transaction, in bytes of its encoded form.
pub const MAX_TRANSACTION_BYTES: usize = 64 * 1024;

/// Response to a transaction that was committed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Committed {
    /// The store's revision after it; the new version of the keys that it put.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// Response to a transaction of which some condition does not hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CasConflict {
    /// Keys whose versions differ from the expected ones.
    #[serde(default)]
    pub failed: Vec<String>,
    /// The store's revision at that time.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
}

/// A request for a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantLease {
    /// Time to live without renewal, in milliseconds.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Its id.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// A change of one key that a watch delivers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event<V> {
    /// A value was created or replaced.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        #[serde(rename = "v")]
        value: V,
        /// Its new version.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was deleted or has expired.
    Delete {
        /// The key.
        #[serde(rename = "delete")]
        key: String,
        /// The revision at which that happened.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// Changes that a watch delivers together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Events<V> {
    /// The revision up to which all changes have been delivered.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes in the order of their revisions.
    pub events: Vec<Event<V>>,
}

impl<V> Events<V> {
    /// The events with their values converted.
    pub fn map<W>(self, convert: impl Fn(V) -> W) -> Events<W> {
        let convert_event = |event| match event {
            Event::Put { key, value, version } => Event::Put { key, value: convert(value), version },
            Event::Delete { key, version } => Event::Delete { key, version },
        };
        Events { revision: self.revision, events: self.events.into_iter().map(convert_event).collect() }
    }
}
