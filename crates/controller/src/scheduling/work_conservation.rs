//! Work conservation: jobs that wait although a machine that they may use has room. There may be a
//! reason (machines are reserved for a gang, or for jobs that usually arrive), but no reason holds
//! for long.

use crate::messages::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Jobs that wait beside free capacity.
#[derive(Debug, Default)]
pub struct WaitingBesideCapacity {
    /// Since when each has, without a break.
    since: BTreeMap<String, Time>,
}

impl WaitingBesideCapacity {
    /// A plan has found that just the jobs `ids` do.
    pub fn update(&mut self, now: Time, ids: &BTreeSet<&str>) {
        self.since.retain(|id, _| ids.contains(id.as_str()));
        for id in ids {
            if !self.since.contains_key(*id) {
                self.since.insert((*id).to_string(), now);
            }
        }
    }

    /// Whether job `id` has for longer than `max_wait_s`.
    pub fn has_waited(&self, id: &str, now: Time, max_wait_s: Time) -> bool {
        self.since.get(id).is_some_and(|since| now - since > max_wait_s)
    }
}
