//! What a pipeline's last job asks of those before it: one deadline and one priority,
//! passed back along the graph.

use crate::DependencyGraph;
use std::collections::HashMap;

/// A job by itself. Times are in seconds on the caller's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnPriority {
    pub priority: u8,
    /// When it has to be complete; `f64::MAX` or what the caller takes for never.
    pub deadline: f64,
    /// The latest end that still counts for something.
    pub latest_useful_end: f64,
    /// From the end of the last job that it awaits to its own end, as expected.
    pub expected_duration_s: f64,
}

/// What those that need a job ask of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InheritedPriority {
    /// The priority of the most urgent of them.
    pub priority: u8,
    /// The latest end with which all of them can still be in time.
    pub deadline: f64,
    pub latest_useful_end: f64,
}

impl InheritedPriority {
    /// What a job whose own figures are `own` asks of those before it, given what is asked of
    /// itself.
    fn for_dependency(own: &OwnPriority, asked: Option<&InheritedPriority>) -> InheritedPriority {
        let whole = asked.map_or(
            InheritedPriority {
                priority: own.priority,
                deadline: own.deadline,
                latest_useful_end: own.latest_useful_end,
            },
            |p| InheritedPriority {
                priority: own.priority.max(p.priority),
                deadline: own.deadline.min(p.deadline),
                latest_useful_end: own.latest_useful_end.min(p.latest_useful_end),
            },
        );
        InheritedPriority {
            deadline: whole.deadline - own.expected_duration_s,
            latest_useful_end: whole.latest_useful_end - own.expected_duration_s,
            ..whole
        }
    }

    fn most_demanding(self, other: InheritedPriority) -> InheritedPriority {
        InheritedPriority {
            priority: self.priority.max(other.priority),
            deadline: self.deadline.min(other.deadline),
            latest_useful_end: self.latest_useful_end.min(other.latest_useful_end),
        }
    }
}

impl DependencyGraph {
    /// What is asked of every job that another one needs. `own` gives a waiting job's own
    /// figures; a job that it does not know asks for nothing. Takes time in proportion to
    /// the jobs that wait and what they name.
    pub fn inherited_priorities(
        &self,
        own: impl Fn(&str) -> Option<OwnPriority>,
    ) -> HashMap<&str, InheritedPriority> {
        let mut found: HashMap<&str, Option<InheritedPriority>> = HashMap::new();
        for id in self.dependents.keys() {
            // Those that need it come first: a list stands in for recursion.
            let mut left: Vec<(&str, bool)> = vec![(id, false)];
            while let Some((id, ready)) = left.pop() {
                if ready {
                    let asks = self.dependents_of(id).filter_map(|n| {
                        let asked = found.get(n).copied().flatten();
                        own(n).map(|o| InheritedPriority::for_dependency(&o, asked.as_ref()))
                    });
                    let asked = asks.reduce(InheritedPriority::most_demanding);
                    found.insert(id, asked);
                } else if !found.contains_key(id) {
                    // Marked before it is worked out: users name accepted jobs only, so there
                    // is no circle, and if there were one this would end all the same.
                    found.insert(id, None);
                    left.push((id, true));
                    left.extend(
                        self.dependents_of(id).filter(|n| !found.contains_key(n)).map(|n| (n, false)),
                    );
                }
            }
        }
        found.into_iter().filter_map(|(id, p)| Some((id, p?))).collect()
    }
}
