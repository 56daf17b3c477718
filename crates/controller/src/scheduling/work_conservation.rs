//! Work conservation: tracks jobs that wait although a machine that they may use has room. Machines
//! may be reserved for a gang or for expected arrivals, but only for a limited time.

use crate::messages::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Jobs that wait although there is free capacity for them.
#[derive(Debug, Default)]
pub struct WaitingBesideCapacity {
    /// Start of the uninterrupted wait of each job.
    since: BTreeMap<String, Time>,
}

impl WaitingBesideCapacity {
    /// Updates the waits after a plan that found that exactly the jobs `ids` wait.
    pub fn update(&mut self, now: Time, ids: &BTreeSet<&str>) {
        self.since.retain(|id, _| ids.contains(id.as_str()));
        for id in ids {
            if !self.since.contains_key(*id) {
                self.since.insert((*id).to_string(), now);
            }
        }
    }

    /// Whether job `id` has waited beside free capacity for longer than `max_wait_s`.
    pub fn has_waited(&self, id: &str, now: Time, max_wait_s: Time) -> bool {
        self.since.get(id).is_some_and(|since| now - since > max_wait_s)
    }
}
