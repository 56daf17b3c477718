//! Simulated key-value store with versions, compare-and-swap transactions, leases, watches and
//! limits.

use controller::records::{json_size, Value};
use controller::{StoreReply, StoreRequest};
use protocol::state::*;
use std::collections::BTreeMap;

/// Number of items in one page of a list. It is small so that paging is exercised.
const PAGE_ITEMS: usize = 7;

/// Ratio of the maximum number of compares in a transaction to that of mutations.
const COMPARES_PER_MUTATION: usize = 4;

/// Limits of the store.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of a value, in bytes.
    pub value_bytes: usize,
    /// Maximum number of mutations in a transaction.
    pub txn_ops: usize,
    /// Maximum number of mutations per second.
    pub write_rps: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { value_bytes: usize::MAX, txn_ops: usize::MAX, write_rps: f64::MAX }
    }
}

/// Write history of a key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WriteHistory {
    /// Time at which a matching value was first stored, in simulated seconds.
    pub first_match_at: Option<f64>,
    /// Total number of writes of the key.
    pub writes: usize,
}

#[derive(Clone)]
struct StoredItem {
    value: Value,
    version: u64,
    /// Lease with which the item is deleted.
    lease: Option<u64>,
}

struct Lease {
    expires_at: f64,
    ttl_s: f64,
}

/// Change of a key, as seen by watches.
struct LogEntry {
    revision: u64,
    key: String,
    event: Event<Value>,
}

/// Refusal of all writes of some keys.
#[derive(Debug, Clone)]
pub struct RefusedWrites {
    /// Prefix of the keys whose writes are refused.
    pub key_prefix: String,
    /// Whether the writes are rejected as invalid. Otherwise a conflict is reported for the key.
    pub is_invalid: bool,
}

/// Token bucket for mutations.
#[derive(Default)]
struct WriteBudget {
    available: f64,
    updated_at: f64,
}

/// Simulated key-value store.
#[derive(Default)]
pub struct Store {
    /// Revision of the latest change.
    pub revision: u64,
    /// Number of transactions rejected because of their size.
    pub rejected_for_size: u64,
    /// Number of transactions rejected because of the write rate.
    pub rejected_for_rate: u64,
    /// Called with the key and value of every write.
    pub inspect: Option<fn(&str, &Value)>,
    items: BTreeMap<String, StoredItem>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    log: Vec<LogEntry>,
    limits: Limits,
    budget: WriteBudget,
    /// Writes that are refused although they break no limit.
    refused_writes: Vec<RefusedWrites>,
    /// Time at which the mutations of each revision were made.
    written_at: BTreeMap<u64, f64>,
}

impl Store {
    /// Creates a store that initially contains `items`, all at revision 1.
    pub fn with_items(items: impl IntoIterator<Item = (String, Value)>) -> Self {
        let stored = |(key, value)| (key, StoredItem { value, version: 1, lease: None });
        Store { revision: 1, items: items.into_iter().map(stored).collect(), ..Store::default() }
    }

    /// Replaces the value of a key with one that cannot be decoded.
    pub fn make_undecodable(&mut self, key: &str) {
        let mutation = Mutation::Put { key: key.to_string(), value: Value::Undecodable, lease: None };
        self.commit(&Transaction { compares: Vec::new(), mutations: vec![mutation] });
    }

    /// Returns the number of keys that begin with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        self.items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// Returns the size, in bytes, of the largest value under `prefix`.
    pub fn largest_value_bytes(&self, prefix: &str) -> usize {
        let matching = self.items.iter().filter(|(key, _)| key.starts_with(prefix));
        matching.map(|(_, item)| json_size(&item.value)).max().unwrap_or(0)
    }

    /// Returns the stored format version, which all controllers can read.
    pub fn format(&self) -> Option<u32> {
        match self.items.get(controller::records::FORMAT_KEY).map(|item| &item.value) {
            Some(Value::Format(format)) => Some(*format),
            _ => None,
        }
    }

    /// Returns the number of writes of `key` and the time of the first one whose value matches.
    pub fn history(&self, key: &str, matches: impl Fn(&Value) -> bool) -> WriteHistory {
        let mut history = WriteHistory { first_match_at: None, writes: 0 };
        let mut matched = false;
        for entry in self.log.iter().filter(|entry| entry.key == key) {
            let Event::Put { value, .. } = &entry.event else { continue };
            history.writes += 1;
            if !matched && matches(value) {
                matched = true;
                history.first_match_at = self.written_at.get(&entry.revision).copied();
            }
        }
        history
    }

    /// Refuses all writes of the given keys from now on.
    pub fn refuse_writes(&mut self, refused: RefusedWrites) {
        self.refused_writes.push(refused);
    }

    /// Returns the refusal of a transaction that puts a key whose writes are refused.
    fn refusal_of(&self, transaction: &Transaction<Value>) -> Option<StoreReply> {
        let refused =
            |key: &String| self.refused_writes.iter().find(|refused| key.starts_with(&refused.key_prefix));
        transaction.mutations.iter().find_map(|mutation| {
            let Mutation::Put { key, .. } = mutation else { return None };
            let refusal = refused(key)?;
            let conflict = CasConflict { failed: vec![key.clone()], revision: self.revision };
            Some(if refusal.is_invalid { StoreReply::Invalid } else { StoreReply::Conflict(conflict) })
        })
    }

    /// Sets the limits. Values already stored are kept even if they exceed them.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.budget.available = self.budget.available.min(limits.write_rps);
    }

    /// Ends all expired leases. Returns whether a key was deleted with one of them.
    pub fn expire_leases(&mut self, now: f64) -> bool {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<u64> = expired.map(|(&id, _)| id).collect();
        let revision_before = self.revision;
        for id in expired {
            self.end_lease(id);
        }
        self.revision != revision_before
    }

    /// Renews all leases for their full duration, as after an outage.
    pub fn renew_all_leases(&mut self, now: f64) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl_s;
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self.items.iter().filter(|(_, item)| item.lease == Some(id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }

    /// Executes a request. Returns None if it is a watch that has to wait.
    pub fn execute(&mut self, now: f64, request: &StoreRequest) -> Option<StoreReply> {
        Some(match request {
            StoreRequest::Get(key) => self.get(key),
            StoreRequest::List { prefix, after } => self.list(prefix, after.as_deref()),
            StoreRequest::Grant { ttl_ms } => self.grant(now, *ttl_ms as f64 / 1000.0),
            StoreRequest::Renew(id) => self.renew(now, *id),
            StoreRequest::Revoke(id) => {
                self.end_lease(*id);
                StoreReply::Done
            }
            StoreRequest::Commit(transaction) => self.limited_commit(now, transaction),
            StoreRequest::Watch { prefix, after, wait_ms } => {
                let events = self.events_after(prefix, *after);
                if events.is_empty() && *wait_ms > 0 {
                    return None;
                }
                StoreReply::Events(Events { revision: self.revision, events })
            }
        })
    }

    /// Returns the reply to a watch without events.
    pub fn no_events(&self) -> StoreReply {
        StoreReply::Events(Events { revision: self.revision, events: Vec::new() })
    }

    fn get(&self, key: &str) -> StoreReply {
        match self.items.get(key) {
            Some(item) => StoreReply::Item(listed(key, item)),
            None => StoreReply::Missing(self.revision),
        }
    }

    fn list(&self, prefix: &str, after: Option<&str>) -> StoreReply {
        let from = after.unwrap_or(prefix);
        let mut items: Vec<Item<Value>> = self
            .items
            .range(from.to_string()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
            .take(PAGE_ITEMS + 1)
            .map(|(key, item)| listed(key, item))
            .collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        StoreReply::Page(Page { items, more, revision: self.revision })
    }

    fn events_after(&self, prefix: &str, revision: u64) -> Vec<Event<Value>> {
        let newer = self.log.iter().filter(|entry| entry.revision > revision);
        let matching = newer.filter(|entry| entry.key.starts_with(prefix));
        matching.map(|entry| entry.event.clone()).collect()
    }

    fn grant(&mut self, now: f64, ttl_s: f64) -> StoreReply {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { expires_at: now + ttl_s, ttl_s });
        StoreReply::Granted(self.last_lease)
    }

    fn renew(&mut self, now: f64, id: u64) -> StoreReply {
        let Some(lease) = self.leases.get_mut(&id) else { return StoreReply::Gone };
        lease.expires_at = now + lease.ttl_s;
        StoreReply::Done
    }

    fn limited_commit(&mut self, now: f64, transaction: &Transaction<Value>) -> StoreReply {
        if !self.fits_limits(transaction) {
            self.rejected_for_size += 1;
            return StoreReply::Invalid;
        }
        if let Some(refusal) = self.refusal_of(transaction) {
            return refusal;
        }
        let count = transaction.mutations.len() as f64;
        let rate = self.limits.write_rps;
        let refilled = self.budget.available + (now - self.budget.updated_at) * rate;
        self.budget = WriteBudget { available: refilled.min(rate), updated_at: now };
        if rate < f64::MAX && self.budget.available < count {
            self.rejected_for_rate += 1;
            return StoreReply::Limited;
        }
        self.budget.available -= count;
        let reply = self.commit(transaction);
        self.written_at.insert(self.revision, now);
        reply
    }

    fn fits_limits(&self, transaction: &Transaction<Value>) -> bool {
        let limits = self.limits;
        let value_fits = |mutation: &Mutation<Value>| match mutation {
            Mutation::Put { value, .. } => {
                limits.value_bytes == usize::MAX || json_size(value) <= limits.value_bytes
            }
            Mutation::Delete { .. } => true,
        };
        transaction.mutations.len() <= limits.txn_ops
            && transaction.compares.len() <= limits.txn_ops.saturating_mul(COMPARES_PER_MUTATION)
            && transaction.mutations.iter().all(value_fits)
            && transaction_bytes(transaction) <= MAX_TRANSACTION_BYTES
    }

    fn commit(&mut self, transaction: &Transaction<Value>) -> StoreReply {
        let lease_missing = |mutation: &Mutation<Value>| match mutation {
            Mutation::Put { lease: Some(id), .. } => !self.leases.contains_key(id),
            _ => false,
        };
        if transaction.mutations.iter().any(lease_missing) {
            return StoreReply::Gone;
        }
        let version_of = |key: &String| self.items.get(key).map_or(0, |item| item.version);
        let conflicts =
            transaction.compares.iter().filter(|compare| version_of(&compare.key) != compare.version);
        let failed: Vec<String> = conflicts.map(|compare| compare.key.clone()).collect();
        if !failed.is_empty() {
            return StoreReply::Conflict(CasConflict { failed, revision: self.revision });
        }
        self.revision += 1;
        for mutation in &transaction.mutations {
            match mutation {
                Mutation::Put { key, value, lease } => self.put(key, value, *lease),
                Mutation::Delete { key } => self.delete(key),
            }
        }
        StoreReply::Committed(self.revision)
    }

    /// Writes a value at the current revision.
    fn put(&mut self, key: &str, value: &Value, lease: Option<u64>) {
        if let Some(inspect) = self.inspect {
            inspect(key, value);
        }
        let item = StoredItem { value: value.clone(), version: self.revision, lease };
        self.items.insert(key.to_string(), item);
        let event = Event::Put { key: key.to_string(), value: value.clone(), version: self.revision };
        self.log_event(key, event);
    }

    /// Deletes a key at the current revision.
    fn delete(&mut self, key: &str) {
        self.items.remove(key);
        let event = Event::Delete { key: key.to_string(), version: self.revision };
        self.log_event(key, event);
    }

    fn log_event(&mut self, key: &str, event: Event<Value>) {
        self.log.push(LogEntry { revision: self.revision, key: key.to_string(), event });
    }
}

/// Returns the JSON size of a transaction's values, with their keys.
fn transaction_bytes(transaction: &Transaction<Value>) -> usize {
    let mutation_bytes = |mutation: &Mutation<Value>| match mutation {
        Mutation::Put { key, value, .. } => key.len() + json_size(value),
        Mutation::Delete { key } => key.len(),
    };
    transaction.mutations.iter().map(mutation_bytes).sum()
}

fn listed(key: &str, item: &StoredItem) -> Item<Value> {
    Item { key: key.to_string(), value: item.value.clone(), version: item.version }
}
