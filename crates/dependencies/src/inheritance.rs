//! What a pipeline's last job asks of those before it: one deadline and one priority,
//! passed back along the graph.

use crate::DependencyGraph;
use std::collections::HashMap;

/// A job by itself. Times are in seconds on the caller's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnPriority {
    pub band: u8,
    /// When it has to be complete; `f64::MAX` or what the caller takes for never.
    pub deadline: f64,
    /// The latest end that still counts for something.
    pub last_chance: f64,
    /// From the end of the last job that it awaits to its own end, as expected.
    pub takes_s: f64,
}

/// What those that need a job ask of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InheritedPriority {
    /// The priority of the most urgent of them.
    pub band: u8,
    /// The latest end with which all of them can still be in time.
    pub deadline: f64,
    pub last_chance: f64,
}

impl InheritedPriority {
    /// What a job whose own figures are `own` asks of those before it, given what is asked of
    /// itself.
    fn before(own: &OwnPriority, asked: Option<&InheritedPriority>) -> InheritedPriority {
        let whole = asked.map_or(
            InheritedPriority { band: own.band, deadline: own.deadline, last_chance: own.last_chance },
            |p| InheritedPriority {
                band: own.band.max(p.band),
                deadline: own.deadline.min(p.deadline),
                last_chance: own.last_chance.min(p.last_chance),
            },
        );
        InheritedPriority {
            deadline: whole.deadline - own.takes_s,
            last_chance: whole.last_chance - own.takes_s,
            ..whole
        }
    }

    fn and(self, other: InheritedPriority) -> InheritedPriority {
        InheritedPriority {
            band: self.band.max(other.band),
            deadline: self.deadline.min(other.deadline),
            last_chance: self.last_chance.min(other.last_chance),
        }
    }
}

impl DependencyGraph {
    /// What is asked of every job that another one needs. `own` gives a waiting job's own
    /// figures; a job that it does not know asks for nothing. Takes time in proportion to
    /// the jobs that wait and what they name.
    pub fn passed(&self, own: impl Fn(&str) -> Option<OwnPriority>) -> HashMap<&str, InheritedPriority> {
        let mut found: HashMap<&str, Option<InheritedPriority>> = HashMap::new();
        for id in self.named_by.keys() {
            // Those that need it come first: a list stands in for recursion.
            let mut left: Vec<(&str, bool)> = vec![(id, false)];
            while let Some((id, ready)) = left.pop() {
                if ready {
                    let asks = self.needing(id).filter_map(|n| {
                        let asked = found.get(n).copied().flatten();
                        own(n).map(|o| InheritedPriority::before(&o, asked.as_ref()))
                    });
                    let asked = asks.reduce(InheritedPriority::and);
                    found.insert(id, asked);
                } else if !found.contains_key(id) {
                    // Marked before it is worked out: users name accepted jobs only, so there
                    // is no circle, and if there were one this would end all the same.
                    found.insert(id, None);
                    left.push((id, true));
                    left.extend(self.needing(id).filter(|n| !found.contains_key(n)).map(|n| (n, false)));
                }
            }
        }
        found.into_iter().filter_map(|(id, p)| Some((id, p?))).collect()
    }
}
