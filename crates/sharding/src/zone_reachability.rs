//! Which zones are out of reach: most of their machines are silent at once while
//! others report. What is silent there is rather cut off than broken, and may be
//! back in seconds.

use crate::Time;
use std::collections::BTreeMap;

/// Machines of a zone below which nothing is said of it as a whole.
const FEWEST: usize = 4;

#[derive(Debug, Default, Clone, Copy)]
struct ZoneCount {
    up: usize,
    heard: usize,
}

/// Zones out of reach, from what the leader hears. A state machine without clock.
#[derive(Debug, Default)]
pub struct ZoneReachability {
    /// Zones that are dark, since when.
    unreachable: BTreeMap<String, Time>,
    /// Zones that were, with when they came back.
    recovered_at: BTreeMap<String, Time>,
}

impl ZoneReachability {
    /// Looks at all machines that are up: the zone of each, and whether it was
    /// heard lately. A zone gets dark when less than a third of its machines
    /// are heard and more than half of all others, and light again when half
    /// are heard. Returns whether anything changed.
    pub fn update<'a>(&mut self, now: Time, machines: impl Iterator<Item = (&'a str, bool)>) -> bool {
        let mut zones: BTreeMap<&str, ZoneCount> = BTreeMap::new();
        let mut all = ZoneCount::default();
        for (zone, heard) in machines.filter(|(zone, _)| !zone.is_empty()) {
            let count = zones.entry(zone).or_default();
            for c in [count, &mut all] {
                c.up += 1;
                c.heard += usize::from(heard);
            }
        }
        // Where no machine is left nobody can be heard: whether it is back only a new one tells.
        // (A zone whose machines had all been given back stayed dark, and nothing was ever
        // rented there again.)
        let before = self.unreachable.len();
        self.unreachable.retain(|zone, _| zones.contains_key(zone.as_str()));
        let mut changed = self.unreachable.len() < before;
        for (zone, c) in zones {
            let others = ZoneCount { up: all.up - c.up, heard: all.heard - c.heard };
            if self.unreachable.contains_key(zone) {
                if c.heard * 2 >= c.up {
                    self.unreachable.remove(zone);
                    self.recovered_at.insert(zone.to_string(), now);
                    changed = true;
                }
            } else if c.up >= FEWEST && c.heard * 3 < c.up && others.heard * 2 > others.up {
                self.unreachable.insert(zone.to_string(), now);
                changed = true;
            }
        }
        changed
    }

    /// Since when `zone` has been out of reach.
    pub fn unreachable_since(&self, zone: &str) -> Option<Time> {
        self.unreachable.get(zone).copied()
    }

    /// Whether `zone` came back less than `within` ago: half of its machines are heard by
    /// then, and the others are on their way. (They were once given up in that moment,
    /// a third of the zone.)
    pub fn recovered_within(&self, zone: &str, now: Time, within: Time) -> bool {
        self.recovered_at.get(zone).is_some_and(|at| now - at < within)
    }

    pub fn is_unreachable(&self, zone: &str) -> bool {
        self.unreachable.contains_key(zone)
    }

    /// Zones that are out of reach now.
    pub fn unreachable(&self) -> impl Iterator<Item = &str> {
        self.unreachable.keys().map(String::as_str)
    }
}
