//! Which tasks of a job are done, pending or failing.

use super::Job;
use protocol::job::{JobStatus, Shape};

/// A job whose tasks failed on that many machines may be at fault itself.
const MIN_FAILED_MACHINES_TO_SUSPECT: usize = 2;

impl Job {
    /// Whether all of its tasks are done.
    pub fn is_complete(&self) -> bool {
        self.done_count as usize == self.done_tasks.len()
    }

    /// Whether the job itself is rather at fault than its machines: it failed on
    /// several, and on more than it runs on.
    pub fn is_suspected(&self) -> bool {
        if self.probes > 0 {
            return true;
        }
        self.failed_on.len() >= MIN_FAILED_MACHINES_TO_SUSPECT && self.running_tasks() < self.failed_on.len()
    }

    /// Number of tasks that run.
    pub(super) fn running_tasks(&self) -> usize {
        self.placements.values().filter(|placement| placement.running_since.is_some()).count()
    }

    /// Records that `task` is done.
    pub fn finish_task(&mut self, task: u32) {
        let Some(done) = self.done_tasks.get_mut(task as usize) else { return };
        if *done {
            return;
        }
        *done = true;
        self.done_count += 1;
        self.mark_task_dirty(task);
        self.persistence.record_release(task);
        if self.is_complete() {
            self.persistence.request_urgent_write();
        }
    }

    /// Whether `pending_tasks` is empty, mostly without making the list.
    pub fn has_no_pending_tasks(&self) -> bool {
        if self.is_final() || self.has_placed_gang() {
            return true;
        }
        let accounted = self.done_count as usize + self.placements.len() >= self.done_tasks.len();
        accounted && self.pending_tasks(1).is_empty()
    }

    /// The first `max_tasks` tasks that are neither done nor placed; of a gang only when nothing of
    /// its last attempt is left.
    pub fn pending_tasks(&self, max_tasks: usize) -> Vec<u32> {
        if self.is_final() || self.has_placed_gang() {
            return Vec::new();
        }
        (0..self.spec.tasks)
            .filter(|task| !self.done_tasks[*task as usize] && !self.placements.contains_key(task))
            .take(max_tasks)
            .collect()
    }

    fn has_placed_gang(&self) -> bool {
        self.spec.shape == Shape::Gang && !self.placements.is_empty()
    }

    /// The status as users see it.
    pub(super) fn reported_status(&self) -> JobStatus {
        if self.is_final() {
            self.status
        } else if self.placements.values().any(|placement| placement.observed_state.is_some()) {
            JobStatus::Running
        } else {
            JobStatus::Pending
        }
    }
}
