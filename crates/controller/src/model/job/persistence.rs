//! Persistence state of a job: its stored and its unsaved changes.
//!
//! Each change of a job is a mutation and makes a page dirty. Page 0 is part of the main record; each
//! of the others is a separate value. A write contains some of the pages as of a mutation count.

use crate::messages::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Pages of a job in a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobWrite {
    /// Mutation count of the job that the pages reflect.
    pub mutation_count: u64,
    /// Page numbers; 0 is the main record.
    pub pages: BTreeSet<usize>,
    /// Whether the pages include everything that had changed.
    pub covers_all: bool,
}

/// Stored and unsaved changes of a job.
#[derive(Debug, Clone, Default)]
pub struct PersistenceState {
    /// Number of changes so far.
    mutation_count: u64,
    /// Mutation count up to which all changes are stored.
    stored_mutation: u64,
    /// Dirty pages, with the mutation count of their last change.
    dirty_pages: BTreeMap<usize, u64>,
    /// Mutation count that each stored page reflects.
    stored_page_mutations: BTreeMap<usize, u64>,
    /// Pages with placements that are not stored yet.
    pages_with_new_placements: BTreeSet<usize>,
    /// Page that was written last; the pages after it are written next.
    round_robin_page: usize,
    /// Mutation count at which each task last lost its placement or ended.
    released_at_mutation: BTreeMap<u32, u64>,
    /// Whether the next write should not be delayed, because it stores placements or completes the
    /// job.
    urgent_write: bool,
    /// Time since which there have been unsaved changes.
    pub dirty_since: Option<Time>,
    /// Earliest time of the next write, after the store refused a write of this job alone.
    pub write_suspended_until: Time,
    /// Whether the job is written in a transaction of its own, because the store refused a transaction
    /// that included it.
    pub write_alone: bool,
    /// Number of refused writes since the refused pages were last stored.
    refusals: u32,
    /// Pages of refused writes that were not stored since.
    refused_pages: BTreeSet<usize>,
}

impl PersistenceState {
    /// Returns the number of changes so far.
    pub fn mutation_count(&self) -> u64 {
        self.mutation_count
    }

    /// Whether all changes are stored.
    pub fn is_stored(&self) -> bool {
        self.mutation_count == self.stored_mutation
    }

    /// Whether the next write should not be delayed.
    pub fn is_urgent(&self) -> bool {
        self.urgent_write
    }

    /// Whether a refused write may be followed at once by a smaller one, which is the case once per
    /// stored record. Counts as a refusal.
    pub fn take_immediate_retry(&mut self, pages: &BTreeSet<usize>) -> bool {
        self.record_refusal(pages) == 1
    }

    /// Records that the store refused a write of these pages of the job. Returns the number of refusals
    /// since the refused pages were last stored.
    pub fn record_refusal(&mut self, pages: &BTreeSet<usize>) -> u32 {
        self.refused_pages.extend(pages);
        self.refusals = self.refusals.saturating_add(1);
        self.refusals
    }

    /// Requests that the next write is not delayed.
    pub fn request_urgent_write(&mut self) {
        self.urgent_write = true;
    }

    /// Whether `page` has changed since it was stored.
    pub fn is_page_dirty(&self, page: usize) -> bool {
        self.dirty_pages.contains_key(&page)
    }

    /// Returns the pages that have changed since they were stored.
    pub fn dirty_pages(&self) -> impl Iterator<Item = usize> + '_ {
        self.dirty_pages.keys().copied()
    }

    /// Whether `pages` include all dirty pages.
    pub fn is_covered_by(&self, pages: &BTreeSet<usize>) -> bool {
        self.dirty_pages().all(|page| pages.contains(&page))
    }

    /// Records a change on `page`.
    pub fn mark_page_dirty(&mut self, page: usize) {
        self.mutation_count += 1;
        self.dirty_pages.insert(page, self.mutation_count);
    }

    /// Records that a placement was added on `page`.
    pub fn on_new_placement(&mut self, page: usize) {
        self.urgent_write = true;
        self.pages_with_new_placements.insert(page);
    }

    /// Records that `task` has just ended or lost its placement.
    pub fn record_release(&mut self, task: u32) {
        self.released_at_mutation.insert(task, self.mutation_count);
    }

    /// Whether the last end or release of `task`, which is on `page`, is stored.
    pub fn outcome_stored(&self, task: u32, page: usize) -> bool {
        let stored = self.stored_mutation.max(self.stored_page_mutation(page).unwrap_or(0));
        self.released_at_mutation.get(&task).is_none_or(|&count| count <= stored)
    }

    /// Returns the mutation count that the stored `page` reflects, if this leader wrote it.
    pub fn stored_page_mutation(&self, page: usize) -> Option<u64> {
        self.stored_page_mutations.get(&page).copied()
    }

    /// Returns the dirty pages other than page 0, in the order in which they should be stored: first
    /// those with new placements, because launches wait for them, then, if `all`, the others in round
    /// robin order. If pages were written in the order of their numbers, task ends on the first pages of
    /// a huge array would delay the placements on its last pages by minutes.
    pub fn pages_due(&self, all: bool) -> Vec<usize> {
        let is_due = |page: &usize| *page > 0 && self.is_page_dirty(*page);
        let mut due: Vec<usize> = self.pages_with_new_placements.iter().copied().filter(is_due).collect();
        if all {
            let (before, after): (Vec<usize>, Vec<usize>) = self
                .dirty_pages()
                .filter(|page| *page > 0 && !self.pages_with_new_placements.contains(page))
                .partition(|page| *page <= self.round_robin_page);
            due.extend(after);
            due.extend(before);
        }
        due
    }

    /// Forgets the refusals once all refused pages have been stored. Otherwise a record that can be
    /// written would hide pages that can't.
    fn clear_refusals(&mut self, stored_pages: &BTreeSet<usize>) {
        self.refused_pages.retain(|page| !stored_pages.contains(page));
        if self.refused_pages.is_empty() && !stored_pages.is_empty() {
            self.write_alone = false;
            self.refusals = 0;
        }
    }

    /// Resets the state for a new page layout, of which `pages` have to be stored.
    pub fn restart_with(&mut self, pages: &BTreeSet<usize>) {
        self.stored_page_mutations.clear();
        // The numbers of the old layout's pages mean nothing in the new one.
        if !std::mem::take(&mut self.refused_pages).is_empty() {
            self.refused_pages.insert(0);
        }
        self.pages_with_new_placements.clear();
        self.round_robin_page = 0;
        self.mutation_count += 1;
        self.dirty_pages = pages.iter().map(|&page| (page, self.mutation_count)).collect();
    }

    /// Records that the pages of `write` were stored.
    pub fn on_pages_stored(&mut self, write: &JobWrite) {
        self.round_robin_page = write.pages.last().copied().unwrap_or(0);
        self.clear_refusals(&write.pages);
        for &page in &write.pages {
            let stored = self.stored_page_mutations.entry(page).or_insert(0);
            *stored = (*stored).max(write.mutation_count);
        }
        self.dirty_pages
            .retain(|page, changed_at| !write.pages.contains(page) || *changed_at > write.mutation_count);
    }

    /// Records that `write`, which included the main record, was applied. `uncommitted_pages` are the
    /// pages with placements that are still not stored, and `completion_pending` is whether all tasks
    /// are done but the stored record does not say so yet.
    pub fn on_record_stored(
        &mut self,
        write: &JobWrite,
        uncommitted_pages: BTreeSet<usize>,
        completion_pending: bool,
    ) {
        self.pages_with_new_placements = uncommitted_pages;
        if write.covers_all {
            self.stored_mutation = self.stored_mutation.max(write.mutation_count);
        }
        if self.dirty_pages.is_empty() {
            self.stored_mutation = self.mutation_count;
        }
        self.urgent_write = !self.pages_with_new_placements.is_empty() || completion_pending;
        // Pages of this write that are still dirty changed after it was prepared.
        if self.is_covered_by(&write.pages) {
            self.dirty_since = None;
        }
    }
}
