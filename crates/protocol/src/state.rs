//! Messages of the key-value store's API: keys, compare-and-swap transactions, leases and watches.
//! `V` is the type of the values.

use serde::{Deserialize, Serialize};

/// Key with its value and version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item<V> {
    /// Name of the key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value of the key.
    #[serde(rename = "v")]
    pub value: V,
    /// Version of the key, which changes with every put.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl<V> Item<V> {
    /// Returns the item with its value converted.
    pub fn map<W>(self, convert: impl FnOnce(V) -> W) -> Item<W> {
        Item { key: self.key, value: convert(self.value), version: self.version }
    }
}

/// Response to a read of a key that does not exist.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Missing {
    /// Revision of the store at the time of the read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// Page of the items in a range of keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page<V> {
    /// Items in ascending order of their keys.
    #[serde(rename = "rows")]
    pub items: Vec<Item<V>>,
    /// Whether another page follows.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
    /// Revision of the store at the time of the read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

impl<V> Page<V> {
    /// Returns the page with its values converted.
    pub fn map<W>(self, convert: impl Fn(V) -> W) -> Page<W> {
        let items = self.items.into_iter().map(|item| item.map(&convert)).collect();
        Page { items, more: self.more, revision: self.revision }
    }
}

/// Condition of a transaction: the key has the given version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Compare {
    /// Name of the key.
    #[serde(rename = "path")]
    pub key: String,
    /// Expected version of the key; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Change of one key in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Mutation<V> {
    /// Creates or replaces a value.
    Put {
        /// Name of the key.
        #[serde(rename = "write")]
        key: String,
        /// New value of the key.
        #[serde(rename = "v")]
        value: V,
        /// Lease with which the key expires; `None` if it does not expire.
        #[serde(rename = "permit", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Name of the key.
        #[serde(rename = "delete")]
        key: String,
    },
}

/// Compare-and-swap transaction: all mutations are applied if all conditions hold, else none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction<V> {
    /// Conditions that have to hold.
    #[serde(rename = "when")]
    pub compares: Vec<Compare>,
    /// Mutations to apply.
    #[serde(rename = "writes")]
    pub mutations: Vec<Mutation<V>>,
}

/// Maximum size of an encoded transaction, in bytes.
pub const MAX_TRANSACTION_BYTES: usize = 64 * 1024;

/// Response to a transaction that was committed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Committed {
    /// Revision of the store after the transaction. It is the new version of the keys that were put.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// Response to a transaction that was not committed because a condition does not hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CasConflict {
    /// Keys whose versions differ from the expected ones.
    #[serde(default)]
    pub failed: Vec<String>,
    /// Revision of the store at that time.
    #[serde(rename = "ledger", default)]
    pub revision: u64,
}

/// Request for a lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantLease {
    /// Time to live without renewal, in milliseconds.
    #[serde(rename = "ttlMs")]
    pub ttl_ms: u64,
}

/// Lease that the store has granted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the lease.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// Change of one key, delivered by a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event<V> {
    /// A value was created or replaced.
    Put {
        /// Name of the key.
        #[serde(rename = "write")]
        key: String,
        /// New value of the key.
        #[serde(rename = "v")]
        value: V,
        /// New version of the key.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was deleted or has expired.
    Delete {
        /// Name of the key.
        #[serde(rename = "delete")]
        key: String,
        /// Revision at which the key was deleted or expired.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// Changes that a watch delivers in one response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Events<V> {
    /// Revision up to which all changes have been delivered.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Changes in the order of their revisions.
    pub events: Vec<Event<V>>,
}

impl<V> Events<V> {
    /// Returns the events with their values converted.
    pub fn map<W>(self, convert: impl Fn(V) -> W) -> Events<W> {
        let convert_event = |event| match event {
            Event::Put { key, value, version } => Event::Put { key, value: convert(value), version },
            Event::Delete { key, version } => Event::Delete { key, version },
        };
        Events { revision: self.revision, events: self.events.into_iter().map(convert_event).collect() }
    }
}
