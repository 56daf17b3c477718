//! Page layout: the division of a job's tasks among stored values, and changes of it.
//!
//! A job's record contains the first page of tasks and the number of the layout in force. A new
//! layout is written under separate keys, in as many transactions as necessary, and takes effect with
//! the transaction that writes the record. Until then, also if the leader fails meanwhile, the old
//! layout stays in force. Thus a job of any size can be repaginated a few values at a time.

use crate::model::records::{page_key, JobRecord, JobValueSizes, MIN_TASKS_PER_PAGE};
use crate::storage::store_limits::StoreLimits;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Page of a layout other than the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ObsoletePage {
    layout: u32,
    page: usize,
}

impl ObsoletePage {
    fn key(&self, id: &str) -> String {
        page_key(id, self.page, self.layout)
    }
}

/// Division of a job's tasks among stored values.
#[derive(Debug, Clone)]
pub struct PageLayout {
    /// Number of the layout; the stored record contains the number of the layout in force.
    pub number: u32,
    /// Tasks per page.
    pub per_page: u32,
    /// Maximum JSON size of a value, in bytes.
    pub max_value_bytes: usize,
    /// Maximum JSON size of a value that also fits the next limits, in bytes.
    next_value_bytes: usize,
    /// Versions of the stored pages, except the first.
    versions: BTreeMap<usize, u64>,
    /// Whether the stored record still names an earlier layout.
    is_changing: bool,
    /// Pages of other layouts that are still stored.
    obsolete_pages: BTreeSet<ObsoletePage>,
}

impl PageLayout {
    /// Creates the layout named by a stored record whose values have these sizes. If an earlier software
    /// version created the layout, its values may fit only the current limits.
    pub fn stored(record: &JobRecord, sizes: JobValueSizes, limits: &StoreLimits) -> Self {
        let per_page = record.per_page.max(MIN_TASKS_PER_PAGE);
        let tasks = record.spec.tasks;
        let next_value_bytes = limits.value_bytes();
        let is_spec_too_large =
            !sizes.is_spec_chunked() && !sizes.leaves_room_for_first_page(tasks, next_value_bytes);
        let may_exceed_next =
            is_spec_too_large || per_page.min(tasks) > sizes.tasks_per_page(next_value_bytes);
        let max_value_bytes = if may_exceed_next {
            limits.current_value_bytes().max(next_value_bytes)
        } else {
            next_value_bytes
        };
        PageLayout {
            number: record.layout,
            per_page,
            max_value_bytes,
            next_value_bytes,
            versions: BTreeMap::new(),
            is_changing: false,
            obsolete_pages: BTreeSet::new(),
        }
    }

    /// Whether its values may exceed the next limits.
    pub fn exceeds_next_limit(&self) -> bool {
        self.max_value_bytes > self.next_value_bytes
    }

    /// Returns the maximum JSON size of a value under the next limits, in bytes.
    pub fn next_value_bytes(&self) -> usize {
        self.next_value_bytes
    }

    /// Requires from now on that values fit the next limits, if necessary by repagination.
    pub fn restrict_to_next_limits(&mut self) {
        self.max_value_bytes = self.next_value_bytes;
    }

    /// Allows values up to `current_value_bytes` although they exceed the next limits, because some
    /// nodes may be unable to read another layout.
    pub fn allow_current_limits(&mut self, current_value_bytes: usize) {
        self.max_value_bytes = self.max_value_bytes.max(current_value_bytes);
    }

    /// Returns the page that contains `task`.
    pub fn page_of(&self, task: u32) -> usize {
        (task / self.per_page) as usize
    }

    /// Returns the tasks of a page in a job of `tasks` tasks; empty for a page beyond the last.
    pub fn range(&self, page: usize, tasks: usize) -> Range<usize> {
        let per_page = self.per_page as usize;
        let start = (page * per_page).min(tasks);
        let end = ((page + 1) * per_page).min(tasks);
        start..end
    }

    /// Records that a page was read. Returns false if it belongs to another layout.
    pub fn accept_page(&mut self, page: usize, layout: u32, version: u64) -> bool {
        if layout != self.number {
            self.obsolete_pages.insert(ObsoletePage { layout, page });
            return false;
        }
        if page > 0 {
            self.versions.insert(page, version);
        }
        true
    }

    /// Starts a new layout with the current `per_page`.
    pub fn begin_layout(&mut self) {
        let layout = self.number;
        self.obsolete_pages.extend(self.versions.keys().map(|&page| ObsoletePage { layout, page }));
        let last_obsolete = self.obsolete_pages.last().map_or(0, |obsolete| obsolete.layout);
        self.number = self.number.max(last_obsolete) + 1;
        self.versions.clear();
        self.is_changing = true;
        self.max_value_bytes = self.next_value_bytes;
    }

    /// Whether the stored record does not name this layout yet.
    pub fn is_changing(&self) -> bool {
        self.is_changing
    }

    /// Records that the stored record names this layout. Returns whether it did not before.
    pub fn activate(&mut self) -> bool {
        std::mem::replace(&mut self.is_changing, false)
    }

    /// Records that a page is not stored.
    pub fn on_page_missing(&mut self, page: usize) {
        self.versions.remove(&page);
    }

    /// Returns the stored version of a page; 0 if the page is not stored.
    pub fn version(&self, page: usize) -> u64 {
        self.versions.get(&page).copied().unwrap_or(0)
    }

    /// Records that pages were written or read at `revision`. Versions never decrease.
    pub fn record_stored(&mut self, pages: &BTreeSet<usize>, revision: u64) {
        for &page in pages.iter().filter(|&&page| page > 0) {
            let version = self.versions.entry(page).or_insert(0);
            *version = (*version).max(revision);
        }
    }

    /// Returns the keys of all stored pages of any layout.
    pub fn keys(&self, id: &str) -> Vec<String> {
        let current = self.versions.keys().map(|&page| page_key(id, page, self.number));
        let obsolete = self.obsolete_pages.iter().map(|page| page.key(id));
        current.chain(obsolete).collect()
    }

    /// Takes the keys of pages of other layouts, which the caller deletes. Returns none while a new
    /// layout is not in force yet.
    pub fn take_obsolete_keys(&mut self, id: &str) -> Vec<String> {
        if self.is_changing {
            return Vec::new();
        }
        std::mem::take(&mut self.obsolete_pages).into_iter().map(|page| page.key(id)).collect()
    }
}
