//! How a job's tasks are divided among stored values, and how that changes.
//!
//! A job's record holds its first page of tasks and says which layout counts. A new
//! layout is written under keys of its own, in as many transactions as it takes, and counts
//! from the one that writes the record; until then, and if the leader ends meanwhile,
//! the old one does. So a job of any size can be divided anew a few values at a time.

use crate::records::{page_key, tasks_per_page};
use crate::store_limits::StoreLimits;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

#[derive(Debug, Clone)]
pub struct PageLayout {
    /// Which one it is: the stored record names the one that counts.
    pub number: u32,
    /// Tasks of a page.
    pub per_page: u32,
    /// Bytes that a value may take.
    pub fit: usize,
    /// Bytes that a value may take which fits the coming limits too.
    tight: usize,
    /// Pages beyond the first that are stored, with their versions.
    versions: BTreeMap<usize, u64>,
    /// The stored record names an earlier one yet.
    changing: bool,
    /// Numbers and pages of others that are still stored.
    left: BTreeSet<(u32, usize)>,
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
            fit: if wide { limits.present_bytes().max(tight) } else { tight },
            tight,
            versions: BTreeMap::new(),
            changing: false,
            left: BTreeSet::new(),
        }
    }

    /// Whether its values may be larger than the coming limits allow.
    pub fn wide(&self) -> bool {
        self.fit > self.tight
    }

    /// Bytes that a value may take under the coming limits.
    pub fn tight(&self) -> usize {
        self.tight
    }

    /// From now on its values have to fit the coming limits, as it is or divided anew.
    pub fn narrow(&mut self) {
        self.fit = self.tight;
    }

    /// Its values are written as they are, though they do not fit the coming limits: versions
    /// that know no other layout may have to read them.
    pub fn widen(&mut self, present: usize) {
        self.fit = self.fit.max(present);
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
    pub fn take(&mut self, page: usize, number: u32, version: u64) -> bool {
        if number != self.number {
            self.left.insert((number, page));
            return false;
        }
        if page > 0 {
            self.versions.insert(page, version);
        }
        true
    }

    /// Another layout, with `per_page` as it is now.
    pub fn begin(&mut self) {
        self.left.extend(self.versions.keys().map(|&p| (self.number, p)));
        let last = self.left.last().map_or(0, |l| l.0);
        self.number = self.number.max(last) + 1;
        self.versions.clear();
        self.changing = true;
        self.fit = self.tight;
    }

    /// Whether the stored record does not name this layout yet.
    pub fn changing(&self) -> bool {
        self.changing
    }

    /// The stored record names it. True if it did not before.
    pub fn count_from_now(&mut self) -> bool {
        std::mem::replace(&mut self.changing, false)
    }

    /// The version that a page has to have to be replaced.
    pub fn version(&self, page: usize) -> u64 {
        self.versions.get(&page).copied().unwrap_or(0)
    }

    /// Pages were written or read at that revision: versions never go back.
    pub fn stored_at(&mut self, pages: &BTreeSet<usize>, revision: u64) {
        for &p in pages.iter().filter(|&&p| p > 0) {
            let v = self.versions.entry(p).or_insert(0);
            *v = (*v).max(revision);
        }
    }

    /// The keys of all pages that are stored, of whichever layout.
    pub fn keys(&self, id: &str) -> Vec<String> {
        let own = self.versions.keys().map(|&p| page_key(id, p, self.number));
        own.chain(self.left.iter().map(|&(n, p)| page_key(id, p, n))).collect()
    }

    /// Keys of layouts that count no more, which are then no longer known here.
    pub fn take_left(&mut self, id: &str) -> Vec<String> {
        if self.changing {
            return Vec::new();
        }
        std::mem::take(&mut self.left).into_iter().map(|(n, p)| page_key(id, p, n)).collect()
    }
}
