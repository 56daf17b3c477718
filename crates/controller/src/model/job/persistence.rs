//! What of a job is stored, and what has yet to be.
//!
//! Every change of a job counts as a mutation and makes a page dirty: page 0 is part of the main
//! record, the others are values of their own. A write holds some pages as of some mutation.

use crate::messages::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Pages of a job as a transaction stores them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobWrite {
    /// The job's mutation count as of which the pages are.
    pub mutation_count: u64,
    /// The pages; 0 stands for the main record.
    pub pages: BTreeSet<usize>,
    /// Whether they were all that had changed.
    pub covers_all: bool,
}

/// Which changes of a job are stored.
#[derive(Debug, Clone, Default)]
pub struct PersistenceState {
    /// Number of changes so far.
    mutation_count: u64,
    /// The mutation count up to which everything is stored.
    stored_mutation: u64,
    /// Pages that have changed, with the count of the last change.
    dirty_pages: BTreeMap<usize, u64>,
    /// The mutation count that each stored page shows.
    stored_page_mutations: BTreeMap<usize, u64>,
    /// Pages with placements that are not stored yet.
    pages_with_new_placements: BTreeSet<usize>,
    /// The last page that was written: the next ones have their turn first.
    round_robin_page: usize,
    /// Mutation count at which each task last lost its placement or ended.
    released_at_mutation: BTreeMap<u32, u64>,
    /// The next write should not wait: it stores placements or completes the job.
    urgent_write: bool,
    /// Since when something is not stored.
    pub dirty_since: Option<Time>,
    /// Nothing is written before then: the store refused the record as invalid.
    pub write_suspended_until: Time,
}

impl PersistenceState {
    /// Number of changes so far.
    pub fn mutation_count(&self) -> u64 {
        self.mutation_count
    }

    /// Whether everything is stored.
    pub fn is_stored(&self) -> bool {
        self.mutation_count == self.stored_mutation
    }

    /// Whether the next write should not wait.
    pub fn is_urgent(&self) -> bool {
        self.urgent_write
    }

    /// The next write should not wait.
    pub fn request_urgent_write(&mut self) {
        self.urgent_write = true;
    }

    /// Whether `page` has changed since it was stored.
    pub fn is_page_dirty(&self, page: usize) -> bool {
        self.dirty_pages.contains_key(&page)
    }

    /// The pages that have changed since they were stored.
    pub fn dirty_pages(&self) -> impl Iterator<Item = usize> + '_ {
        self.dirty_pages.keys().copied()
    }

    /// Whether `pages` contain all that has changed.
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

    /// The mutation count that `page` shows as stored, if this leader wrote it.
    pub fn stored_page_mutation(&self, page: usize) -> Option<u64> {
        self.stored_page_mutations.get(&page).copied()
    }

    /// Changed pages beyond the first, in the order in which they should be
    /// stored: those with new placements, which launches wait for, and if `all` then the
    /// rest in turn. (By number alone, ends on a huge array's first
    /// pages kept the placements on its last ones waiting for minutes.)
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

    /// A new page layout has begun: nothing of it is stored, and `pages` have to be.
    pub fn restart_with(&mut self, pages: &BTreeSet<usize>) {
        self.stored_page_mutations.clear();
        self.pages_with_new_placements.clear();
        self.round_robin_page = 0;
        self.mutation_count += 1;
        self.dirty_pages = pages.iter().map(|&page| (page, self.mutation_count)).collect();
    }

    /// `write` was applied.
    pub fn on_pages_stored(&mut self, write: &JobWrite) {
        self.round_robin_page = write.pages.last().copied().unwrap_or(0);
        for &page in &write.pages {
            let stored = self.stored_page_mutations.entry(page).or_insert(0);
            *stored = (*stored).max(write.mutation_count);
        }
        self.dirty_pages
            .retain(|page, changed_at| !write.pages.contains(page) || *changed_at > write.mutation_count);
    }

    /// `write`, which held the main record, was applied; `uncommitted_pages` are those with
    /// placements that are not stored still, and `completion_pending` is whether all tasks are done
    /// and the record does not say so yet.
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
        // What is dirty on these pages still has only just changed.
        if self.is_covered_by(&write.pages) {
            self.dirty_since = None;
        }
    }
}
