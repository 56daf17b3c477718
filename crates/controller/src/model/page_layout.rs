//! How a job's tasks are divided among stored values, and how that changes.
//!
//! A job's record holds its first page of tasks and says which layout counts. A new
//! layout is written under keys of its own, in as many transactions as it takes, and counts
//! from the one that writes the record; until then, and if the leader ends meanwhile,
//! the old one does. So a job of any size can be divided anew a few values at a time.

use crate::model::records::{page_key, tasks_per_page};
use crate::storage::store_limits::StoreLimits;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

#[derive(Debug, Clone)]
pub struct PageLayout {
    /// Which one it is: the stored record names the one that counts.
    pub number: u32,
    /// Tasks of a page.
    pub per_page: u32,
    /// Bytes that a value may take.
    pub max_value_bytes: usize,
    /// Bytes that a value may take which fits the coming limits too.
    next_value_bytes: usize,
    /// Pages beyond the first that are stored, with their versions.
    versions: BTreeMap<usize, u64>,
    /// The stored record names an earlier one yet.
    is_changing: bool,
    /// Numbers and pages of others that are still stored.
    obsolete_pages: BTreeSet<(u32, usize)>,
}

impl PageLayout {
    /// As a record of a job of `tasks` tasks shows it. One that an earlier version made may
    /// fill values of the present limits only.
    pub fn stored(per_page: u32, number: u32, tasks: u32, spec_size: usize, limits: &StoreLimits) -> Self {
        let (per_page, tight) = (per_page.max(4), limits.value_bytes());
        let wide = per_page.min(tasks) > tasks_per_page(tight, spec_size);
        PageLayout {
            number,
            per_page,
            max_value_bytes: if wide { limits.current_value_bytes().max(tight) } else { tight },
            next_value_bytes: tight,
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
    pub fn shrink(&mut self) {
        self.max_value_bytes = self.next_value_bytes;
    }

    /// Its values are written as they are, though they do not fit the coming limits: versions
    /// that know no other layout may have to read them.
    pub fn grow(&mut self, present: usize) {
        self.max_value_bytes = self.max_value_bytes.max(present);
    }

    pub fn page_of(&self, task: u32) -> usize {
        (task / self.per_page) as usize
    }

    /// The tasks of a page, of `tasks` in all.
    pub fn range(&self, page: usize, tasks: usize) -> Range<usize> {
        let per = self.per_page as usize;
        let end = ((page + 1) * per).min(tasks);
        (page * per).min(end)..end
    }

    /// A page was read. False if it is of another layout.
    pub fn accept_page(&mut self, page: usize, number: u32, version: u64) -> bool {
        if number != self.number {
            self.obsolete_pages.insert((number, page));
            return false;
        }
        if page > 0 {
            self.versions.insert(page, version);
        }
        true
    }

    /// Another layout, with `per_page` as it is now.
    pub fn begin_layout(&mut self) {
        self.obsolete_pages.extend(self.versions.keys().map(|&p| (self.number, p)));
        let last = self.obsolete_pages.last().map_or(0, |l| l.0);
        self.number = self.number.max(last) + 1;
        self.versions.clear();
        self.is_changing = true;
        self.max_value_bytes = self.next_value_bytes;
    }

    /// Whether the stored record does not name this layout yet.
    pub fn is_changing(&self) -> bool {
        self.is_changing
    }

    /// The stored record names it. True if it did not before.
    pub fn activate(&mut self) -> bool {
        std::mem::replace(&mut self.is_changing, false)
    }

    /// The version that a page has to have to be replaced.
    pub fn version(&self, page: usize) -> u64 {
        self.versions.get(&page).copied().unwrap_or(0)
    }

    /// Pages were written or read at that revision: versions never go back.
    pub fn record_stored(&mut self, pages: &BTreeSet<usize>, revision: u64) {
        for &p in pages.iter().filter(|&&p| p > 0) {
            let v = self.versions.entry(p).or_insert(0);
            *v = (*v).max(revision);
        }
    }

    /// The keys of all pages that are stored, of whichever layout.
    pub fn keys(&self, id: &str) -> Vec<String> {
        let own = self.versions.keys().map(|&p| page_key(id, p, self.number));
        own.chain(self.obsolete_pages.iter().map(|&(n, p)| page_key(id, p, n))).collect()
    }

    /// Keys of layouts that count no more, which are then no longer known here.
    pub fn take_obsolete_keys(&mut self, id: &str) -> Vec<String> {
        if self.is_changing {
            return Vec::new();
        }
        std::mem::take(&mut self.obsolete_pages).into_iter().map(|(n, p)| page_key(id, p, n)).collect()
    }
}
