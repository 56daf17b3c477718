//! Priorities and deadlines that jobs inherit from those that depend on them, along the graph.

use crate::DependencyGraph;
use std::collections::HashMap;

/// A job by itself. Times are seconds on the caller's clock.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnPriority {
    /// Its priority; a larger one is more urgent.
    pub priority: u8,
    /// When it has to be complete; `f64::MAX`, or what the caller uses for never, if it need not.
    pub deadline: f64,
    /// The latest end that is still of some use.
    pub latest_useful_end: f64,
    /// Expected time from the end of its last dependency to its own end, in seconds.
    pub expected_duration_s: f64,
}

/// What the jobs that depend on a job demand of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InheritedPriority {
    /// The priority of the most urgent of them.
    pub priority: u8,
    /// The latest end with which all of them can still meet their deadlines.
    pub deadline: f64,
    /// The latest end with which all of them can still be of some use.
    pub latest_useful_end: f64,
}

impl InheritedPriority {
    /// What a job demands of its dependencies, given what others demand of it.
    fn for_dependencies(own: &OwnPriority, inherited: Option<InheritedPriority>) -> InheritedPriority {
        let own_demand = InheritedPriority {
            priority: own.priority,
            deadline: own.deadline,
            latest_useful_end: own.latest_useful_end,
        };
        let demand = inherited.map_or(own_demand, |inherited| own_demand.most_demanding(inherited));
        InheritedPriority {
            priority: demand.priority,
            deadline: demand.deadline - own.expected_duration_s,
            latest_useful_end: demand.latest_useful_end - own.expected_duration_s,
        }
    }

    /// The demand that meets both.
    fn most_demanding(self, other: InheritedPriority) -> InheritedPriority {
        InheritedPriority {
            priority: self.priority.max(other.priority),
            deadline: self.deadline.min(other.deadline),
            latest_useful_end: self.latest_useful_end.min(other.latest_useful_end),
        }
    }
}

/// A step of the traversal of the graph.
enum Visit<'a> {
    /// Visit the job's dependents first.
    Enter(&'a str),
    /// All of its dependents have been visited.
    Leave(&'a str),
}

/// What each visited job inherits; `None` if nothing, or while its dependents are being visited.
type Inherited<'a> = HashMap<&'a str, Option<InheritedPriority>>;

impl DependencyGraph {
    /// What every job that another one depends on inherits. `own` gives a waiting job's own
    /// figures; a job that it does not know demands nothing. The time is in proportion to the
    /// number of waiting jobs and their dependencies.
    pub fn inherited_priorities(
        &self,
        own: impl Fn(&str) -> Option<OwnPriority>,
    ) -> HashMap<&str, InheritedPriority> {
        let mut inherited: Inherited = HashMap::new();
        for root in self.dependencies() {
            // A list stands in for recursion: a chain may have thousands of jobs.
            let mut visits = vec![Visit::Enter(root)];
            while let Some(visit) = visits.pop() {
                match visit {
                    Visit::Leave(id) => {
                        let demand = self.demand_of_dependents(id, &inherited, &own);
                        inherited.insert(id, demand);
                    }
                    Visit::Enter(id) if inherited.contains_key(id) => {}
                    Visit::Enter(id) => {
                        // The entry made here would end the traversal of a cycle. There is none:
                        // clients can name accepted jobs only.
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

    /// What the dependents of a job, all visited, demand of it.
    fn demand_of_dependents(
        &self,
        id: &str,
        inherited: &Inherited,
        own: impl Fn(&str) -> Option<OwnPriority>,
    ) -> Option<InheritedPriority> {
        self.waiting_dependents(id)
            .filter_map(|dependent| {
                let demand_on_dependent = inherited.get(dependent).copied().flatten();
                let own_figures = own(dependent)?;
                Some(InheritedPriority::for_dependencies(&own_figures, demand_on_dependent))
            })
            .reduce(InheritedPriority::most_demanding)
    }
}
