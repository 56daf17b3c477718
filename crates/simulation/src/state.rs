//! The state service.

use controller::records::{json_size, Value};
use controller::{StoreReply, StoreRequest};
use protocol::state::*;
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Store {
    pub revision: u64,
    items: BTreeMap<String, (Value, u64, Option<u64>)>,
    leases: BTreeMap<u64, (f64, f64)>,
    next_lease: u64,
    log: Vec<(u64, Event<Value>, String)>,
    limits: Limits,
    /// Changes that may be made now, as of then.
    room: (f64, f64),
    /// Commits refused for their size, for their number, and all changes asked for.
    pub invalid: u64,
    pub limited: u64,
    /// Looks at every value that is written, with its key.
    pub inspect: Option<fn(&str, &Value)>,
    /// When the changes of each revision were made.
    times: BTreeMap<u64, f64>,
}

/// What the service takes.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub value_bytes: usize,
    pub txn_ops: usize,
    pub write_rps: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { value_bytes: usize::MAX, txn_ops: usize::MAX, write_rps: f64::MAX }
    }
}

impl Store {
    /// A store that holds `items` from long ago.
    pub fn holding(items: impl IntoIterator<Item = (String, Value)>) -> Self {
        let items = items.into_iter().map(|(key, value)| (key, (value, 1, None))).collect();
        Store { revision: 1, items, ..Store::default() }
    }

    /// What `key` holds is from now on what nobody can read.
    pub fn damage(&mut self, key: &str) {
        let change = Mutation::Put { key: key.to_string(), value: Value::Undecodable, lease: None };
        self.commit(&Transaction { compares: Vec::new(), mutations: vec![change] });
    }

    /// How many keys begin with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        self.items.keys().filter(|k| k.starts_with(prefix)).count()
    }

    /// Ends leases whose time is over. True if a key went with one.
    pub fn expire(&mut self, now: f64) -> bool {
        let over: Vec<u64> = self.leases.iter().filter(|(_, l)| l.0 <= now).map(|(&id, _)| id).collect();
        let before = self.revision;
        for id in over {
            self.end_lease(id);
        }
        self.revision != before
    }

    /// After an outage every lease has its full time again.
    pub fn refresh(&mut self, now: f64) {
        for l in self.leases.values_mut() {
            l.0 = now + l.1;
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.2 == Some(id)).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.items.remove(&key);
            let event = Event::Delete { key: key.clone(), version: self.revision };
            self.log.push((self.revision, event, key));
        }
    }

    /// Executes a request; None for a watch that has to wait.
    pub fn execute(&mut self, now: f64, op: &StoreRequest) -> Option<StoreReply> {
        Some(match op {
            StoreRequest::Get(key) => match self.items.get(key) {
                Some((value, version, _)) => {
                    StoreReply::Item(Item { key: key.clone(), value: value.clone(), version: *version })
                }
                None => StoreReply::Missing(self.revision),
            },
            StoreRequest::List { prefix, after } => {
                let items: Vec<Item<Value>> = self
                    .items
                    .range(after.clone().unwrap_or_else(|| prefix.clone())..)
                    .take_while(|(k, _)| k.starts_with(prefix.as_str()))
                    .filter(|(k, _)| after.as_ref().is_none_or(|a| *k > a))
                    .take(8)
                    .map(|(k, i)| Item { key: k.clone(), value: i.0.clone(), version: i.1 })
                    .collect();
                // Small pages, so that paging is exercised.
                let more = items.len() > 7;
                StoreReply::Page(Page {
                    items: items.into_iter().take(7).collect(),
                    more,
                    revision: self.revision,
                })
            }
            StoreRequest::Grant { ttl_ms } => {
                self.next_lease += 1;
                let ttl = *ttl_ms as f64 / 1000.0;
                self.leases.insert(self.next_lease, (now + ttl, ttl));
                StoreReply::Granted(self.next_lease)
            }
            StoreRequest::Renew(id) => match self.leases.get_mut(id) {
                Some(l) => {
                    l.0 = now + l.1;
                    StoreReply::Done
                }
                None => StoreReply::Gone,
            },
            StoreRequest::Revoke(id) => {
                self.end_lease(*id);
                StoreReply::Done
            }
            StoreRequest::Commit(txn) => self.limited_commit(now, txn),
            StoreRequest::Watch { prefix, after, wait_ms } => {
                let events: Vec<Event<Value>> = self
                    .log
                    .iter()
                    .filter(|(r, _, k)| r > after && k.starts_with(prefix.as_str()))
                    .map(|(_, e, _)| e.clone())
                    .collect();
                if events.is_empty() && *wait_ms > 0 {
                    return None;
                }
                StoreReply::Events(Events { revision: self.revision, events })
            }
        })
    }

    pub fn quiet(&self) -> StoreReply {
        StoreReply::Events(Events { revision: self.revision, events: Vec::new() })
    }

    /// Other limits from now on. What is stored stays.
    pub fn limit(&mut self, limits: Limits) {
        self.limits = limits;
        self.room.0 = self.room.0.min(limits.write_rps);
    }

    /// The format that is noted as read by all.
    pub fn format(&self) -> Option<u32> {
        match self.items.get(controller::records::FORMAT_KEY) {
            Some((Value::Format(f), ..)) => Some(*f),
            _ => None,
        }
    }

    /// Bytes of the largest value under `prefix`.
    pub fn largest(&self, prefix: &str) -> usize {
        let held = self.items.iter().filter(|(k, _)| k.starts_with(prefix));
        held.map(|(_, i)| json_size(&i.0)).max().unwrap_or(0)
    }

    fn limited_commit(&mut self, now: f64, txn: &Transaction<Value>) -> StoreReply {
        let l = self.limits;
        let value_fits = |c: &Mutation<Value>| match c {
            Mutation::Put { value, .. } => l.value_bytes == usize::MAX || json_size(value) <= l.value_bytes,
            Mutation::Delete { .. } => true,
        };
        let fits = txn.mutations.len() <= l.txn_ops
            && txn.compares.len() <= l.txn_ops.saturating_mul(4)
            && txn.mutations.iter().all(value_fits);
        if !fits || protocol::encode(txn).len() > MAX_TRANSACTION_BYTES {
            self.invalid += 1;
            return StoreReply::Invalid;
        }
        let (room, at) = self.room;
        let room = (room + (now - at) * l.write_rps).min(l.write_rps);
        self.room = (room, now);
        if l.write_rps < f64::MAX && room < txn.mutations.len() as f64 {
            self.limited += 1;
            return StoreReply::Limited;
        }
        self.room.0 -= txn.mutations.len() as f64;
        let reply = self.commit(txn);
        self.times.insert(self.revision, now);
        reply
    }

    /// When a value under `key` was first stored that is such, and how often the key was
    /// written in all.
    pub fn first(&self, key: &str, such: impl Fn(&Value) -> bool) -> (Option<f64>, usize) {
        let puts = self.log.iter().filter(|(_, _, k)| k == key).filter_map(|(r, e, _)| match e {
            Event::Put { value, .. } => Some((r, value)),
            Event::Delete { .. } => None,
        });
        let puts: Vec<_> = puts.collect();
        let first = puts.iter().find(|(_, v)| such(v)).and_then(|(r, _)| self.times.get(r));
        (first.copied(), puts.len())
    }

    fn commit(&mut self, txn: &Transaction<Value>) -> StoreReply {
        for c in &txn.mutations {
            if let Mutation::Put { lease: Some(id), .. } = c {
                if !self.leases.contains_key(id) {
                    return StoreReply::Gone;
                }
            }
        }
        let failed: Vec<String> = txn
            .compares
            .iter()
            .filter(|c| self.items.get(&c.key).map_or(0, |i| i.1) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return StoreReply::Conflict(CasConflict { failed, revision: self.revision });
        }
        self.revision += 1;
        let revision = self.revision;
        for c in &txn.mutations {
            let (key, event) = match c {
                Mutation::Put { key, value, lease } => {
                    if let Some(inspect) = self.inspect {
                        inspect(key, value);
                    }
                    self.items.insert(key.clone(), (value.clone(), revision, *lease));
                    (key, Event::Put { key: key.clone(), value: value.clone(), version: revision })
                }
                Mutation::Delete { key } => {
                    self.items.remove(key);
                    (key, Event::Delete { key: key.clone(), version: revision })
                }
            };
            self.log.push((revision, event, key.clone()));
        }
        StoreReply::Committed(revision)
    }
}
