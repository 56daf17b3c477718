//! Pages of a job's tasks: loading, sizes and repagination.

use super::{Job, Placement};
use crate::messages::Time;
use crate::model::records::{
    halved_page, merge_bits, pack_bits, tasks_per_page, PageRecord, StoredPlacement, MIN_TASKS_PER_PAGE,
    RECORD_OVERHEAD_BYTES,
};
use std::collections::BTreeSet;
use std::ops::Range;

/// JSON size of a page's value without its placements and completion bits, in bytes.
const PAGE_OVERHEAD_BYTES: usize = 60;
/// Number of tasks whose completion bits take one byte.
const TASKS_PER_BYTE: usize = 4;

impl Job {
    /// Loads a page that an earlier leader stored. Returns false if the page belongs to another layout:
    /// an older one, or a newer one that never took effect.
    pub fn load_page(
        &mut self,
        page: usize,
        layout: u32,
        record: &PageRecord,
        version: u64,
        now: Time,
    ) -> bool {
        if !self.page_layout.accept_page(page, layout, version) {
            return false;
        }
        self.merge_done_bits(page, &record.done);
        for stored in &record.placements {
            let placement = Placement::inherited(stored.attempt, &stored.machine, now);
            self.placements.insert(stored.task, placement);
            self.attempt = self.attempt.max(stored.attempt);
        }
        true
    }

    /// Returns the page that contains `task`.
    pub fn page_of(&self, task: u32) -> usize {
        self.page_layout.page_of(task)
    }

    fn task_range(&self, page: usize) -> Range<usize> {
        self.page_layout.range(page, self.done_tasks.len())
    }

    fn placements_on_page(&self, page: usize) -> impl Iterator<Item = (u32, &Placement)> {
        let range = self.task_range(page);
        let first = range.start as u32;
        let end = range.end as u32;
        self.placements.range(first..end.max(first)).map(|(&task, placement)| (task, placement))
    }

    pub(super) fn merge_done_bits(&mut self, page: usize, bits: &str) {
        let range = self.task_range(page);
        merge_bits(&mut self.done_tasks[range], bits);
        self.done_count = self.done_tasks.iter().filter(|&&done| done).count() as u32;
    }

    /// Returns the record of a page in its current state.
    pub fn page_record(&self, page: usize) -> PageRecord {
        let stored = |(task, placement): (u32, &Placement)| StoredPlacement {
            task,
            attempt: placement.attempt,
            machine: placement.machine.clone(),
        };
        PageRecord {
            done: pack_bits(&self.done_tasks[self.task_range(page)]),
            placements: self.placements_on_page(page).map(stored).collect(),
        }
    }

    /// Returns an upper bound of the JSON size of a page's value, in bytes. For the first page, this is
    /// the main record without the list of machines that have the job's image.
    pub fn page_bytes(&self, page: usize) -> usize {
        let fixed_bytes =
            if page == 0 { self.spec_size + RECORD_OVERHEAD_BYTES } else { PAGE_OVERHEAD_BYTES };
        self.placement_bytes(page) + self.task_range(page).len().div_ceil(TASKS_PER_BYTE) + fixed_bytes
    }

    /// Returns the maximum number of bytes that a page's placements may take.
    pub fn placement_bytes_left(&self, page: usize) -> usize {
        let fixed_bytes = self.page_bytes(page) - self.placement_bytes(page);
        self.page_layout.max_value_bytes.saturating_sub(fixed_bytes)
    }

    /// Returns the number of bytes that a page's placements take.
    pub fn placement_bytes(&self, page: usize) -> usize {
        self.placements_on_page(page)
            .map(|(task, placement)| StoredPlacement::size(task, placement.attempt, &placement.machine))
            .sum()
    }

    /// Whether a value exceeds the next limits with the current number of tasks per page.
    pub fn needs_repagination(&self) -> bool {
        let placed = self.placements.keys().map(|&task| self.page_of(task));
        let pages: BTreeSet<usize> = placed.chain(self.persistence.dirty_pages()).chain([0]).collect();
        pages.into_iter().any(|page| self.page_bytes(page) > self.page_layout.next_value_bytes())
    }

    /// Divides the tasks into smaller pages so that each value fits the next limits. The stored record
    /// names the old layout until it is written itself, after all other pages.
    pub fn repaginate(&mut self) {
        self.shrink_pages();
        self.page_layout.begin_layout();
        let pages = self.pages_in_use();
        self.persistence.restart_with(&pages);
        if self.placements.values().any(|placement| !placement.committed) {
            self.persistence.request_urgent_write();
        }
    }

    /// Lowers the number of tasks per page until each value fits.
    fn shrink_pages(&mut self) {
        let fitting = tasks_per_page(self.page_layout.next_value_bytes(), self.spec_size);
        self.page_layout.per_page = self.page_layout.per_page.min(fitting);
        while self.page_layout.per_page > MIN_TASKS_PER_PAGE && self.needs_repagination() {
            self.page_layout.per_page = halved_page(self.page_layout.per_page);
        }
    }

    /// Returns the first page and all pages with tasks that are done or placed.
    fn pages_in_use(&self) -> BTreeSet<usize> {
        let done = self.done_tasks.iter().enumerate().filter(|(_, &done)| done);
        let done_pages = done.map(|(task, _)| self.page_of(task as u32));
        let placed_pages = self.placements.keys().map(|&task| self.page_of(task));
        done_pages.chain(placed_pages).chain([0]).collect()
    }
}
