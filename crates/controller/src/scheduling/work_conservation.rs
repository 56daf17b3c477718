//! Work that is left lying: jobs that wait although a machine that may take them has room. A
//! place may be kept from them with reason (for a gang that gathers, for what usually comes), but
//! no reason holds for long.

use crate::messages::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Jobs that wait beside free places, with since when they have without a break.
#[derive(Debug, Default)]
pub struct WaitingBesideCapacity {
    since: BTreeMap<String, Time>,
}

impl WaitingBesideCapacity {
    /// A plan has found that just these do so.
    pub fn update(&mut self, now: Time, ids: &BTreeSet<&str>) {
        self.since.retain(|id, _| ids.contains(id.as_str()));
        for id in ids.iter().filter(|id| !self.since.contains_key(**id)).collect::<Vec<_>>() {
            self.since.insert((*id).to_string(), now);
        }
    }

    /// Whether job `id` has done so for longer than `patience`.
    pub fn has_waited(&self, id: &str, now: Time, patience: Time) -> bool {
        self.since.get(id).is_some_and(|since| now - since > patience)
    }
}
