//! Pages of a job's tasks: loading, sizes and repagination.

use super::{Job, Placement};
use crate::messages::Time;
use crate::model::records::{
    halved_page, merge_bits, pack_bits, PageRecord, StoredPlacement, MIN_TASKS_PER_PAGE,
};
use protocol::job::Shape;
use std::collections::BTreeSet;
use std::ops::Range;

/// Returns an upper bound of the JSON size of a stored placement, in bytes.
fn placement_size(task: u32, placement: &Placement) -> usize {
    StoredPlacement::size(task, placement.attempt, &placement.machine)
}

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
        self.page_bytes_with(page, self.placement_bytes(page))
    }

    fn page_bytes_with(&self, page: usize, placement_bytes: usize) -> usize {
        self.value_sizes.page_bytes(page, self.task_range(page).len(), placement_bytes)
    }

    /// Whether a placement of `added` bytes may be created on a page whose placements take
    /// `placement_bytes`. The first placement of a page always may: if its page does not fit, the write
    /// that stores it lays the job out anew. Otherwise the task would wait forever. Placements of gangs
    /// always may, because a gang must not be placed partially.
    pub fn accepts_placement(&self, page: usize, placement_bytes: usize, added: usize) -> bool {
        self.spec.shape == Shape::Gang
            || placement_bytes == 0
            || self.page_bytes_with(page, placement_bytes + added) <= self.page_layout.max_value_bytes
    }

    /// Returns the number of bytes that a page's placements take.
    pub fn placement_bytes(&self, page: usize) -> usize {
        self.placements_on_page(page).map(|(task, placement)| placement_size(task, placement)).sum()
    }

    /// Whether a value exceeds the next limits, and a new layout, which has not begun yet, would make it
    /// smaller.
    pub fn is_new_layout_due(&self) -> bool {
        let can_shrink =
            self.page_layout.per_page > MIN_TASKS_PER_PAGE || !self.value_sizes.is_spec_chunked();
        can_shrink && !self.page_layout.is_changing() && self.exceeds_next_limit()
    }

    /// Whether a value exceeds the next limits in the current layout.
    pub fn exceeds_next_limit(&self) -> bool {
        let placed = self.placements.keys().map(|&task| self.page_of(task));
        let pages: BTreeSet<usize> = placed.chain(self.persistence.dirty_pages()).chain([0]).collect();
        pages.into_iter().any(|page| self.page_bytes(page) > self.page_layout.next_value_bytes())
    }

    /// Starts a new layout in which each value fits the next limits: the tasks are divided into smaller
    /// pages and, if the record would have no room for them beside the specification, this is split
    /// into chunks named by `nonce`. The stored record names the old layout until it is written itself,
    /// after all other pages and all chunks.
    pub fn begin_new_layout(&mut self, nonce: String) {
        if !self.value_sizes.leaves_room_for_first_page(self.spec.tasks, self.page_layout.next_value_bytes())
            || self.page_bytes_at_smallest_layout() > self.page_layout.next_value_bytes()
        {
            self.split_spec(nonce);
        }
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
        let fitting = self.value_sizes.tasks_per_page(self.page_layout.next_value_bytes());
        self.page_layout.per_page = self.page_layout.per_page.min(fitting);
        while self.page_layout.per_page > MIN_TASKS_PER_PAGE && self.exceeds_next_limit() {
            self.page_layout.per_page = halved_page(self.page_layout.per_page);
        }
    }

    /// Returns an upper bound of the size of the main record in the layout with the smallest pages.
    fn page_bytes_at_smallest_layout(&self) -> usize {
        let first_page_tasks = self.done_tasks.len().min(MIN_TASKS_PER_PAGE as usize);
        let placements = self.placements.range(..first_page_tasks as u32);
        let placement_bytes =
            placements.map(|(&task, placement)| placement_size(task, placement)).sum::<usize>();
        self.value_sizes.page_bytes(0, first_page_tasks, placement_bytes)
    }

    /// Returns the first page and all pages with tasks that are done or placed.
    fn pages_in_use(&self) -> BTreeSet<usize> {
        let done = self.done_tasks.iter().enumerate().filter(|(_, &done)| done);
        let done_pages = done.map(|(task, _)| self.page_of(task as u32));
        let placed_pages = self.placements.keys().map(|&task| self.page_of(task));
        done_pages.chain(placed_pages).chain([0]).collect()
    }
}
