//! How a job's tasks are divided among stored values, and how that changes.
//!
//! A job's record holds its first page of tasks and names the layout that counts. A new
//! layout is written under keys of its own, in as many transactions as it takes, and counts
//! from the one that writes the record. Until then, and if the leader fails meanwhile,
//! the old one counts. So a job of any size can be divided anew a few values at a time.

use crate::model::records::{page_key, tasks_per_page, MIN_TASKS_PER_PAGE};
use crate::storage::store_limits::StoreLimits;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// A page of a layout other than the current one.
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

/// How a job's tasks are divided among stored values.
#[derive(Debug, Clone)]
pub struct PageLayout {
    /// The layout's number: the stored record names the one that counts.
    pub number: u32,
    /// Tasks per page.
    pub per_page: u32,
    /// Bytes that a value may take in JSON.
    pub max_value_bytes: usize,
    /// Bytes that a value may take so that it fits the coming limits too.
    next_value_bytes: usize,
    /// Versions of the pages beyond the first that are stored.
    versions: BTreeMap<usize, u64>,
    /// The stored record names an earlier layout still.
    is_changing: bool,
    /// Pages of other layouts that are still stored.
    obsolete_pages: BTreeSet<ObsoletePage>,
}

impl PageLayout {
    /// The layout that the record of a job with `tasks` tasks names. If an earlier version made it,
    /// its values may fit only the current limits.
    pub fn stored(per_page: u32, number: u32, tasks: u32, spec_size: usize, limits: &StoreLimits) -> Self {
        let per_page = per_page.max(MIN_TASKS_PER_PAGE);
        let next_value_bytes = limits.value_bytes();
        let may_exceed_next = per_page.min(tasks) > tasks_per_page(next_value_bytes, spec_size);
        let max_value_bytes = if may_exceed_next {
            limits.current_value_bytes().max(next_value_bytes)
        } else {
            next_value_bytes
        };
        PageLayout {
            number,
            per_page,
            max_value_bytes,
            next_value_bytes,
            versions: BTreeMap::new(),
            is_changing: false,
            obsolete_pages: BTreeSet::new(),
        }
    }

    /// Whether its values may be larger than the coming limits allow.
    pub fn exceeds_next_limit(&self) -> bool {
        self.max_value_bytes > self.next_value_bytes
    }

    /// Bytes that a value may take under the coming limits.
    pub fn next_value_bytes(&self) -> usize {
        self.next_value_bytes
    }

    /// From now on its values have to fit the coming limits, as it is or divided anew.
    pub fn restrict_to_next_limits(&mut self) {
        self.max_value_bytes = self.next_value_bytes;
    }

    /// Its values are written as they are, though they do not fit the coming limits: nodes that read
    /// no other layout may have to read them.
    pub fn allow_current_limits(&mut self, current_value_bytes: usize) {
        self.max_value_bytes = self.max_value_bytes.max(current_value_bytes);
    }

    /// The page that `task` is on.
    pub fn page_of(&self, task: u32) -> usize {
        (task / self.per_page) as usize
    }

    /// The tasks of a page, of `tasks` in all; empty for a page beyond the last.
    pub fn range(&self, page: usize, tasks: usize) -> Range<usize> {
        let per_page = self.per_page as usize;
        let start = (page * per_page).min(tasks);
        let end = ((page + 1) * per_page).min(tasks);
        start..end
    }

    /// A page was read. False if it is of another layout.
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

    /// Begins a new layout with the current `per_page`.
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

    /// The stored record names this layout. True if it did not before.
    pub fn activate(&mut self) -> bool {
        std::mem::replace(&mut self.is_changing, false)
    }

    /// The stored version of a page; 0 if it is not stored.
    pub fn version(&self, page: usize) -> u64 {
        self.versions.get(&page).copied().unwrap_or(0)
    }

    /// Pages were written or read at that revision. Versions never go back.
    pub fn record_stored(&mut self, pages: &BTreeSet<usize>, revision: u64) {
        for &page in pages.iter().filter(|&&page| page > 0) {
            let version = self.versions.entry(page).or_insert(0);
            *version = (*version).max(revision);
        }
    }

    /// The keys of all pages that are stored, of any layout.
    pub fn keys(&self, id: &str) -> Vec<String> {
        let current = self.versions.keys().map(|&page| page_key(id, page, self.number));
        let obsolete = self.obsolete_pages.iter().map(|page| page.key(id));
        current.chain(obsolete).collect()
    }

    /// Takes the keys of pages of other layouts, to be deleted; none while the new layout does not
    /// count yet.
    pub fn take_obsolete_keys(&mut self, id: &str) -> Vec<String> {
        if self.is_changing {
            return Vec::new();
        }
        std::mem::take(&mut self.obsolete_pages).into_iter().map(|page| page.key(id)).collect()
    }
}
