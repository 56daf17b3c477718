//! Which zones are unreachable: most of their machines are silent at once while others
//! send heartbeats. Such machines are more likely cut off than broken, and may be back in
//! seconds.

use crate::Time;
use std::collections::BTreeMap;

/// Machines that a zone needs before it is judged as a whole.
const MIN_MACHINES: usize = 4;

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

    /// Whether the zone is cut off: less than a third of its machines are heard, but more
    /// than half of all `others`.
    fn is_cut_off(self, others: ZoneCount) -> bool {
        self.up >= MIN_MACHINES && self.heard * 3 < self.up && others.heard * 2 > others.up
    }

    /// Whether a zone that was cut off is back: half of its machines are heard.
    fn is_back(self) -> bool {
        self.heard * 2 >= self.up
    }
}

/// The unreachable zones, as the leader sees them. A state machine without clock.
#[derive(Debug, Default)]
pub struct ZoneReachability {
    /// Unreachable zones, with since when.
    unreachable: BTreeMap<String, Time>,
    /// Zones that were unreachable, with when they came back.
    recovered_at: BTreeMap<String, Time>,
}

impl ZoneReachability {
    /// Takes in the zone of each machine that is up, and whether it was heard from lately.
    /// Returns whether the set of unreachable zones changed.
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
                if count.is_back() {
                    self.unreachable.remove(zone);
                    self.recovered_at.insert(zone.to_string(), now);
                    changed = true;
                }
            } else if count.is_cut_off(all.without(count)) {
                self.unreachable.insert(zone.to_string(), now);
                changed = true;
            }
        }
        changed
    }

    /// Forgets unreachable zones without machines; returns whether there were any. Nobody
    /// is left there who could be heard, so only a new machine can show that it is back.
    /// (A zone that was scaled in to nothing once stayed unreachable for good.)
    fn forget_empty_zones(&mut self, zones: &BTreeMap<&str, ZoneCount>) -> bool {
        let before = self.unreachable.len();
        self.unreachable.retain(|zone, _| zones.contains_key(zone.as_str()));
        self.unreachable.len() < before
    }

    /// Since when `zone` has been unreachable.
    pub fn unreachable_since(&self, zone: &str) -> Option<Time> {
        self.unreachable.get(zone).copied()
    }

    /// Whether `zone` came back less than `within_s` ago. Only half of its machines need
    /// to be heard by then; the others are about to reconnect. (A third of a zone was once
    /// declared dead in that moment.)
    pub fn recovered_within(&self, zone: &str, now: Time, within_s: f64) -> bool {
        self.recovered_at.get(zone).is_some_and(|at| now - at < within_s)
    }

    /// Whether `zone` is unreachable now.
    pub fn is_unreachable(&self, zone: &str) -> bool {
        self.unreachable.contains_key(zone)
    }

    /// The zones that are unreachable now.
    pub fn unreachable(&self) -> impl Iterator<Item = &str> {
        self.unreachable.keys().map(String::as_str)
    }
}
