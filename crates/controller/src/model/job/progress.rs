//! Progress of a job: its done, pending and failing tasks.

use super::Job;
use protocol::job::{JobStatus, Shape};

/// Number of machines with failures of a job's tasks from which the job itself is suspected.
const MIN_FAILED_MACHINES_TO_SUSPECT: usize = 2;

impl Job {
    /// Whether all of its tasks are done.
    pub fn is_complete(&self) -> bool {
        self.done_count as usize == self.done_tasks.len()
    }

    /// Whether the job itself, rather than its machines, is suspected to be faulty: it is being probed,
    /// or it failed on several machines and on more machines than it has running tasks.
    pub fn is_suspected(&self) -> bool {
        if self.probes > 0 {
            return true;
        }
        self.failed_on.len() >= MIN_FAILED_MACHINES_TO_SUSPECT
            && self.running_task_count() < self.failed_on.len()
    }

    /// Returns the number of running tasks.
    pub(super) fn running_task_count(&self) -> usize {
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

    /// Whether `pending_tasks` is empty; in most cases without searching for such tasks.
    pub fn has_no_pending_tasks(&self) -> bool {
        if self.is_final() || self.has_placed_gang() {
            return true;
        }
        let all_done_or_placed = self.done_count as usize + self.placements.len() >= self.done_tasks.len();
        all_done_or_placed && self.pending_tasks(1).is_empty()
    }

    /// Returns the first `max_tasks` tasks that are neither done nor placed. A gang has none until all
    /// placements of its last attempt are released.
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

    /// Returns the status that is shown to users.
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
