//! Bounded cache of the terminal states of jobs.

use protocol::job::JobStatus;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of cached jobs; beyond that the oldest entry is evicted.
const MAX_CACHED_STATES: usize = 20_000;

/// Terminal states by job. A terminal state never changes, so it may be served from memory.
#[derive(Default)]
pub(crate) struct TerminalStateCache {
    /// Terminal status and number of completed tasks, by job id.
    states: BTreeMap<String, (JobStatus, u32)>,
    /// Job ids in the order of insertion, the oldest first.
    insertion_order: VecDeque<String>,
}

impl TerminalStateCache {
    /// Caches the state of job `id` if `status` is terminal; `done` counts its completed tasks.
    pub(crate) fn insert(&mut self, id: &str, status: JobStatus, done: u32) {
        if !status.is_final() {
            return;
        }
        if self.states.insert(id.to_string(), (status, done)).is_some() {
            return;
        }
        self.insertion_order.push_back(id.to_string());
        if self.insertion_order.len() > MAX_CACHED_STATES {
            self.evict_oldest();
        }
    }

    /// Returns the terminal status and the number of completed tasks of job `id`, if they are cached.
    pub(crate) fn get(&self, id: &str) -> Option<(JobStatus, u32)> {
        self.states.get(id).copied()
    }

    fn evict_oldest(&mut self) {
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.states.remove(&oldest);
        }
    }
}
