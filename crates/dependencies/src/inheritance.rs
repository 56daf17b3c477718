//! Priorities and deadlines that jobs inherit along the graph from the jobs that depend on them.

use crate::DependencyGraph;
use std::collections::HashMap;

/// Priority and deadlines of a job without regard to other jobs. Times are seconds on the caller's
/// clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnPriority {
    /// Priority; a higher value is more urgent.
    pub priority: u8,
    /// Time by which the job has to be complete. A job without a deadline has `f64::MAX`, or another
    /// value that the caller uses for never.
    pub deadline: f64,
    /// Latest time at which the completion of the job is still useful.
    pub latest_useful_end: f64,
    /// Expected time from the end of the job's last dependency to its own end, in seconds.
    pub expected_duration_s: f64,
}

/// Demands on a job by the jobs that depend on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InheritedPriority {
    /// Highest priority among the jobs that depend on it.
    pub priority: u8,
    /// Latest end of the job with which all of them can still meet their deadlines.
    pub deadline: f64,
    /// Latest end of the job with which all of them can still be useful.
    pub latest_useful_end: f64,
}

impl InheritedPriority {
    /// Returns the demand of a job on its dependencies, given the demand of its own dependents on it.
    fn for_dependencies(
        own_priority: &OwnPriority,
        inherited: Option<InheritedPriority>,
    ) -> InheritedPriority {
        let own_demand = InheritedPriority {
            priority: own_priority.priority,
            deadline: own_priority.deadline,
            latest_useful_end: own_priority.latest_useful_end,
        };
        let demand = inherited.map_or(own_demand, |inherited| own_demand.combine(inherited));
        InheritedPriority {
            priority: demand.priority,
            deadline: demand.deadline - own_priority.expected_duration_s,
            latest_useful_end: demand.latest_useful_end - own_priority.expected_duration_s,
        }
    }

    /// Returns the weakest demand that satisfies both.
    fn combine(self, other: InheritedPriority) -> InheritedPriority {
        InheritedPriority {
            priority: self.priority.max(other.priority),
            deadline: self.deadline.min(other.deadline),
            latest_useful_end: self.latest_useful_end.min(other.latest_useful_end),
        }
    }
}

/// Step of the traversal of the graph.
enum Visit<'a> {
    /// Visit the job's dependents first.
    Enter(&'a str),
    /// All of its dependents have been visited.
    Leave(&'a str),
}

/// Demands that each visited job inherits; `None` if there are none, or while its dependents are being
/// visited.
type Inherited<'a> = HashMap<&'a str, Option<InheritedPriority>>;

impl DependencyGraph {
    /// Returns the demand that each job with dependents inherits. `own_priority` returns the priority
    /// of a waiting job by itself; a job for which it returns `None` demands nothing. Takes time
    /// proportional to the number of waiting jobs and their dependencies.
    pub fn inherited_priorities(
        &self,
        own_priority: impl Fn(&str) -> Option<OwnPriority>,
    ) -> HashMap<&str, InheritedPriority> {
        let mut inherited: Inherited = HashMap::new();
        for root in self.dependencies() {
            // Uses a work list instead of recursion, because a chain may have thousands of jobs.
            let mut visits = vec![Visit::Enter(root)];
            while let Some(visit) = visits.pop() {
                match visit {
                    Visit::Leave(id) => {
                        let demand = self.demand_of_dependents(id, &inherited, &own_priority);
                        inherited.insert(id, demand);
                    }
                    Visit::Enter(id) if inherited.contains_key(id) => {}
                    Visit::Enter(id) => {
                        // This entry would also end the traversal of a cycle. Cycles cannot occur,
                        // because a job can name only jobs that were accepted before it.
                        inherited.insert(id, None);
                        visits.push(Visit::Leave(id));
                        let dependents = self.waiting_dependents(id);
                        visits.extend(dependents.filter(|id| !inherited.contains_key(id)).map(Visit::Enter));
                    }
                }
            }
        }
        inherited.into_iter().filter_map(|(id, demand)| Some((id, demand?))).collect()
    }

    /// Returns the demand of a job's dependents on it. All dependents must have been visited.
    fn demand_of_dependents(
        &self,
        id: &str,
        inherited: &Inherited,
        own_priority: impl Fn(&str) -> Option<OwnPriority>,
    ) -> Option<InheritedPriority> {
        self.waiting_dependents(id)
            .filter_map(|dependent| {
                let demand_on_dependent = inherited.get(dependent).copied().flatten();
                let priority = own_priority(dependent)?;
                Some(InheritedPriority::for_dependencies(&priority, demand_on_dependent))
            })
            .reduce(InheritedPriority::combine)
    }
}
