//! Detection of unreachable zones: most machines of the zone are silent at the same time
//! while machines elsewhere send heartbeats. Such machines are more likely partitioned than
//! failed, and may be reachable again within seconds.

use crate::Time;
use std::collections::BTreeMap;

/// Minimum number of machines for a zone to be judged as a whole.
const MIN_MACHINES: usize = 4;

/// Numbers of machines that are up, and of those among them that were heard from recently.
#[derive(Debug, Default, Clone, Copy)]
struct ZoneCount {
    up: usize,
    heard: usize,
}

impl ZoneCount {
    fn add(&mut self, heard: bool) {
        self.up += 1;
        self.heard += usize::from(heard);
    }

    fn without(self, zone: ZoneCount) -> ZoneCount {
        ZoneCount { up: self.up - zone.up, heard: self.heard - zone.heard }
    }

    /// Whether the zone has become unreachable: less than a third of its machines are heard,
    /// but more than half of all `others`.
    fn is_partitioned(self, others: ZoneCount) -> bool {
        self.up >= MIN_MACHINES && self.heard * 3 < self.up && others.heard * 2 > others.up
    }

    /// Whether an unreachable zone has recovered: at least half of its machines are heard.
    fn has_recovered(self) -> bool {
        self.heard * 2 >= self.up
    }
}

/// Unreachable zones from the leader's point of view. A state machine without a clock.
#[derive(Debug, Default)]
pub struct ZoneReachability {
    /// Unreachable zones, with the time since which they have been unreachable.
    unreachable: BTreeMap<String, Time>,
    /// Zones that were unreachable, with the time of their last recovery.
    recovered_at: BTreeMap<String, Time>,
}

impl ZoneReachability {
    /// Updates the unreachable zones from the zone of each machine that is up and whether the
    /// machine was heard from recently. Returns whether the set of unreachable zones changed.
    pub fn update<'a>(&mut self, now: Time, machines: impl Iterator<Item = (&'a str, bool)>) -> bool {
        let mut zones: BTreeMap<&str, ZoneCount> = BTreeMap::new();
        let mut all = ZoneCount::default();
        for (zone, heard) in machines.filter(|(zone, _)| !zone.is_empty()) {
            zones.entry(zone).or_default().add(heard);
            all.add(heard);
        }
        let mut changed = self.forget_empty_zones(&zones);
        for (zone, count) in zones {
            if self.unreachable.contains_key(zone) {
                if count.has_recovered() {
                    self.unreachable.remove(zone);
                    self.recovered_at.insert(zone.to_string(), now);
                    changed = true;
                }
            } else if count.is_partitioned(all.without(count)) {
                self.unreachable.insert(zone.to_string(), now);
                changed = true;
            }
        }
        changed
    }

    /// Forgets unreachable zones without machines and returns whether there were any. Only a
    /// new machine can show that such a zone is reachable again, because no other is left
    /// there. Without this, a zone whose machines were all scaled in stayed unreachable forever.
    fn forget_empty_zones(&mut self, zones: &BTreeMap<&str, ZoneCount>) -> bool {
        let count_before = self.unreachable.len();
        self.unreachable.retain(|zone, _| zones.contains_key(zone.as_str()));
        self.unreachable.len() < count_before
    }

    /// Returns the time since which `zone` has been unreachable, if it is.
    pub fn unreachable_since(&self, zone: &str) -> Option<Time> {
        self.unreachable.get(zone).copied()
    }

    /// Whether `zone` recovered less than `within_s` ago. A zone counts as recovered once half
    /// of its machines are heard, while the others are about to reconnect. Without a waiting
    /// time, a third of a zone was declared dead at that moment.
    pub fn recovered_within(&self, zone: &str, now: Time, within_s: f64) -> bool {
        self.recovered_at.get(zone).is_some_and(|at| now - at < within_s)
    }

    /// Whether `zone` is unreachable now.
    pub fn is_unreachable(&self, zone: &str) -> bool {
        self.unreachable.contains_key(zone)
    }

    /// Returns the zones that are unreachable now.
    pub fn unreachable(&self) -> impl Iterator<Item = &str> {
        self.unreachable.keys().map(String::as_str)
    }
}
