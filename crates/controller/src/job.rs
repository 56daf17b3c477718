//! A job as the leader holds it, kept in step with its stored record.

use crate::messages::Time;
use crate::page_layout::PageLayout;
use crate::records::*;
use crate::store_limits::StoreLimits;
use protocol::job::{JobSpec, JobStatus, Shape};
use protocol::state::Compare;
use protocol::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};

/// A task's place on a machine. It counts for quota, zones and "ran twice"
/// from the moment it exists until proof that the task is not there.
#[derive(Debug, Clone)]
pub struct Placement {
    pub attempt: u64,
    pub machine: String,
    /// The job's mutation count when it was made: it is committed once a
    /// write of that count or a later one is.
    pub born: u64,
    pub committed: bool,
    /// Made by an earlier leader, whose launch may or may not be on its way.
    pub inherited: bool,
    /// A launch went out in the answer to a report.
    pub sent: bool,
    pub seen: Option<TaskState>,
    pub placed_at: Time,
    pub running_since: Option<Time>,
    /// Being stopped since then, with that grace.
    pub stopping: Option<(Time, f64)>,
    /// The stop was sent straight to the machine.
    pub told: bool,
}

/// A job whose tasks failed on that many machines may be at fault itself.
const JOB_AT_FAULT: usize = 2;

#[derive(Debug, Clone)]
pub struct Job {
    pub spec: JobSpec,
    pub at: f64,
    /// Submission on this node's steady clock.
    pub submitted: Time,
    /// When it could first start: its submission, or the end of the last job that it awaits.
    pub since: Time,
    /// Time of day of the latter, once it is known.
    pub freed_at: Option<f64>,
    /// Where its specification is stored, if not in its record.
    pub parts: Option<SpecChunks>,
    /// What those that need it asked of it when it was last planned for.
    pub passed: Option<dependencies::InheritedPriority>,
    pub status: JobStatus,
    pub done: Vec<bool>,
    pub done_count: u32,
    pub attempt: u64,
    /// How its tasks are divided among stored values.
    pub layout: PageLayout,
    pub places: BTreeMap<u32, Placement>,
    pub version: u64,
    /// Its stored record may be, or has been, too large to be written again as it is, so that
    /// whoever cancels it leaves a mark beside it.
    pub marks: bool,
    /// The version of that mark, once it is known.
    pub mark: Option<u64>,
    /// Counts changes; `stored` is the count that the stored record shows.
    pub mutated: u64,
    pub stored: u64,
    /// Pages that have changed, with the count of the last change.
    dirty_pages: BTreeMap<usize, u64>,
    /// The count that each stored page shows.
    page_stored: BTreeMap<usize, u64>,
    /// Its next write should not wait: it places tasks or completes the job.
    pub pressing: bool,
    /// Pages with placements that are not stored yet.
    placing: BTreeSet<usize>,
    /// The last page beyond the first that was written.
    turn: usize,
    /// Since when something is not stored yet.
    pub dirty_since: Option<Time>,
    /// Count at which each task last lost its place or ended: the worker may
    /// forget the attempt once that much is stored.
    left_at: BTreeMap<u32, u64>,
    /// The number of its image with this leader.
    pub image: u32,
    /// Bytes that the specification takes in JSON, at most.
    spec_size: usize,
    pub not_before: Time,
    /// Its record is not written before then: the state service took it for invalid.
    pub aside_until: Time,
    /// Machines that its tasks failed on, none of which is known to be faulty
    /// by itself, since one last succeeded.
    pub failed_on: BTreeSet<String>,
    /// Rounds of probing since it was suspected of a mistake of its own.
    pub probes: u32,
    /// A gang attempt that is being taken down.
    pub aborting: bool,
    /// Progress kept, in seconds of run time (planning only).
    pub progress_s: f64,
    pub first_start: Option<Time>,
    pub ran_on: BTreeSet<String>,
}

impl Job {
    fn new(spec: JobSpec, at: f64, submitted: Time, layout: PageLayout) -> Self {
        let tasks = spec.tasks as usize;
        Job {
            spec_size: json_size(&spec),
            spec,
            at,
            submitted,
            since: submitted,
            freed_at: None,
            parts: None,
            passed: None,
            status: JobStatus::Pending,
            done: vec![false; tasks],
            done_count: 0,
            attempt: 0,
            layout,
            places: BTreeMap::new(),
            version: 0,
            marks: false,
            mark: None,
            mutated: 0,
            stored: 0,
            dirty_pages: BTreeMap::new(),
            page_stored: BTreeMap::new(),
            pressing: false,
            placing: BTreeSet::new(),
            turn: 0,
            dirty_since: None,
            left_at: BTreeMap::new(),
            image: 0,
            not_before: 0.0,
            aside_until: 0.0,
            failed_on: BTreeSet::new(),
            probes: 0,
            aborting: false,
            progress_s: 0.0,
            first_start: None,
            ran_on: BTreeSet::new(),
        }
    }

    /// A job as its record shows it.
    pub fn load(record: &JobRecord, version: u64, submitted: Time, limits: &StoreLimits) -> Self {
        let spec_size = match record.parts {
            Some(_) => json_size(&stub(&record.spec)) + PARTS_BYTES,
            None => json_size(&record.spec),
        };
        let layout = PageLayout::stored(record.per_page, record.layout, record.spec.tasks, spec_size, limits);
        let mut job = Job::new(record.spec.clone(), record.at, submitted, layout);
        job.spec_size = spec_size;
        job.parts = record.parts.clone();
        job.version = version;
        job.status = record.status;
        job.attempt = record.attempt;
        job.ran_on = record.ran_on.iter().cloned().collect();
        job.freed_at = record.freed_at;
        job.since = submitted + record.freed_at.map_or(0.0, |at| (at - record.at).max(0.0));
        job.load_page(0, record.layout, &record.page, 0, submitted);
        job.marks = job.may_be_marked();
        job
    }

    /// Takes over a page of an earlier leader's. False if it is none of the job's layout:
    /// left over from before or after a change of it.
    pub fn load_page(
        &mut self,
        page: usize,
        layout: u32,
        record: &PageRecord,
        version: u64,
        now: Time,
    ) -> bool {
        if !self.layout.take(page, layout, version) {
            return false;
        }
        self.merge_done(page, &record.done);
        for p in &record.places {
            self.places.insert(
                p.task,
                Placement {
                    attempt: p.attempt,
                    machine: p.machine.clone(),
                    born: 0,
                    committed: true,
                    inherited: true,
                    sent: true,
                    seen: None,
                    placed_at: now,
                    running_since: None,
                    stopping: None,
                    told: false,
                },
            );
            self.attempt = self.attempt.max(p.attempt);
        }
        true
    }

    fn range(&self, page: usize) -> std::ops::Range<usize> {
        self.layout.range(page, self.done.len())
    }

    fn merge_done(&mut self, page: usize, text: &str) {
        let range = self.range(page);
        merge_bits(&mut self.done[range], text);
        self.done_count = self.done.iter().filter(|&&d| d).count() as u32;
    }

    pub fn page_of(&self, task: u32) -> usize {
        self.layout.page_of(task)
    }

    /// Notes a change of `task`'s state that has to be stored.
    pub fn touch(&mut self, task: u32) {
        self.touch_page(self.page_of(task));
    }

    pub fn touch_main(&mut self) {
        self.touch_page(0);
    }

    fn touch_page(&mut self, page: usize) {
        self.mutated += 1;
        self.dirty_pages.insert(page, self.mutated);
    }

    /// Whether page `page` has changed since it was stored.
    pub fn is_dirty(&self, page: usize) -> bool {
        self.dirty_pages.contains_key(&page)
    }

    /// Whether `pages` hold all that has changed.
    pub fn covers(&self, pages: &BTreeSet<usize>) -> bool {
        self.dirty_pages.keys().all(|p| pages.contains(p))
    }

    /// The last job that it awaited is done.
    pub fn freed(&mut self, now: Time, wall: f64) {
        if self.freed_at.is_none() {
            (self.since, self.freed_at) = (now, Some(wall));
            self.touch_main();
        }
    }

    /// A job that it awaits, or that one of those awaits, was cancelled.
    pub fn withdraw(&mut self) {
        if !self.is_final() {
            self.status = JobStatus::Cancelled;
            self.touch_main();
        }
    }

    /// What has to hold of a mark of cancellation for its record to be replaced.
    pub fn mark_condition(&self) -> Option<Compare> {
        let key = || mark_key(&self.spec.id);
        (self.marks || self.mark.is_some()).then(|| Compare { key: key(), version: self.mark.unwrap_or(0) })
    }

    /// Keys of its own beside its record.
    pub fn other_keys(&self) -> Vec<String> {
        let id = &self.spec.id;
        let mark = self.mark.map(|_| mark_key(id));
        let parts = self.parts.iter().flat_map(|p| p.keys(id));
        self.layout.keys(id).into_iter().chain(mark).chain(parts).collect()
    }

    /// A mark of its cancellation was found. Somebody was told of it, so it wins even over an
    /// end that this leader was about to store.
    pub fn marked(&mut self, version: u64) {
        self.mark = Some(version);
        if self.status != JobStatus::Cancelled {
            self.status = JobStatus::Cancelled;
            self.touch_main();
        }
    }

    /// Its record, about to be written as it is now.
    pub fn record_to_write(&mut self) -> JobRecord {
        self.marks |= self.may_be_marked();
        self.record()
    }

    /// Whether its record as it is now may be too large to be written again.
    fn may_be_marked(&self) -> bool {
        self.layout.wide() || self.page_size(0) > self.layout.tight()
    }

    /// Whether some value of it does not fit the coming limits as it is divided now.
    pub fn needs_layout(&self) -> bool {
        let pages = self.places.keys().map(|&t| self.page_of(t)).chain(self.dirty_pages.keys().copied());
        let pages: BTreeSet<usize> = pages.chain([0]).collect();
        pages.into_iter().any(|p| self.page_size(p) > self.layout.tight())
    }

    /// Divides its tasks anew, so that each value fits. The stored record shows the old
    /// layout until it is written itself, which is after all other pages.
    pub fn divide_anew(&mut self) {
        let mut per_page = tasks_per_page(self.layout.tight(), self.spec_size).min(self.layout.per_page);
        loop {
            self.layout.per_page = per_page;
            if per_page <= 4 || !self.needs_layout() {
                break;
            }
            per_page = (per_page / 2).max(4) / 4 * 4;
        }
        self.layout.begin();
        self.page_stored.clear();
        self.placing.clear();
        self.turn = 0;
        self.dirty_pages.clear();
        let per = self.layout.per_page as usize;
        let ended = self.done.iter().enumerate().filter(|d| *d.1).map(|(t, _)| t / per);
        let placed = self.places.keys().map(|&t| t as usize / per);
        let pages: BTreeSet<usize> = ended.chain(placed).chain([0]).collect();
        self.mutated += 1;
        self.dirty_pages = pages.into_iter().map(|p| (p, self.mutated)).collect();
        self.pressing |= self.places.values().any(|p| !p.committed);
    }

    pub fn clean(&self) -> bool {
        self.mutated == self.stored
    }

    pub fn is_final(&self) -> bool {
        self.status.is_final()
    }

    /// Whether it was rather submitted with a mistake than unlucky: it failed on
    /// several machines, and on more than it runs on.
    pub fn suspect(&self) -> bool {
        self.probes > 0
            || self.failed_on.len() >= JOB_AT_FAULT
                && self.places.values().filter(|p| p.running_since.is_some()).count() < self.failed_on.len()
    }

    pub fn complete(&self) -> bool {
        self.done_count as usize == self.done.len()
    }

    /// Whether it is over and nothing of it is left on any machine.
    pub fn over(&self) -> bool {
        self.places.is_empty() && (self.complete() || self.is_final())
    }

    pub fn finish_task(&mut self, task: u32) {
        if let Some(d) = self.done.get_mut(task as usize) {
            if !*d {
                *d = true;
                self.done_count += 1;
                self.touch(task);
                self.left_at.insert(task, self.mutated);
                self.pressing |= self.complete();
            }
        }
    }

    /// Whether all that is known of `task` is stored, so that its worker may
    /// forget an exited attempt. Asking for the whole job to be stored instead
    /// kept the exited tasks of busy arrays in the reports.
    pub fn outcome_stored(&self, task: u32) -> bool {
        let page = self.page_stored.get(&self.page_of(task)).copied().unwrap_or(0);
        self.left_at.get(&task).is_none_or(|&count| count <= self.stored.max(page))
    }

    /// Changed pages beyond the first in the order in which they should be
    /// stored: new placements, which launches wait for, and if `all` then the
    /// rest, each in its turn. (By number alone, the ends in a huge array's first
    /// pages kept the placements in its last ones waiting for minutes.)
    pub fn pages_due(&self, all: bool) -> Vec<usize> {
        let beyond = |p: &&usize| **p > 0 && self.is_dirty(**p);
        let mut due: Vec<usize> = self.placing.iter().filter(beyond).copied().collect();
        if all {
            let (before, after): (Vec<usize>, Vec<usize>) = self
                .dirty_pages
                .keys()
                .filter(|&&p| p > 0 && !self.placing.contains(&p))
                .partition(|&&p| p <= self.turn);
            due.extend(after.into_iter().chain(before));
        }
        due
    }

    /// Bytes that a page's record takes in JSON, at most; the first one's without machines
    /// that it ran on.
    pub fn page_size(&self, page: usize) -> usize {
        let main = if page == 0 { self.spec_size + RECORD_BYTES } else { 60 };
        self.places_size(page) + self.range(page).len().div_ceil(4) + main
    }

    /// Bytes that a page's placements may take.
    pub fn room_on(&self, page: usize) -> usize {
        let fixed = self.page_size(page) - self.places_size(page);
        self.layout.fit.saturating_sub(fixed)
    }

    /// Bytes that a page's placements take.
    pub fn places_size(&self, page: usize) -> usize {
        let range = self.range(page);
        let (from, to) = (range.start as u32, range.end as u32);
        let places = self.places.range(from..to.max(from));
        places.map(|(&t, p)| StoredPlacement::size(t, p.attempt, &p.machine)).sum()
    }

    /// Names of machines that it ran on, as far as the record has room for them.
    fn ran_on_names(&self) -> Vec<String> {
        let mut left = self.layout.tight().saturating_sub(self.page_size(0));
        let fits = |m: &&String| {
            let size = m.len() + 4;
            let fits = size <= left;
            left -= if fits { size } else { 0 };
            fits
        };
        self.ran_on.iter().take(MOST_RAN_ON).take_while(fits).cloned().collect()
    }

    pub fn add_place(&mut self, task: u32, machine: &str, attempt: u64, now: Time) {
        self.attempt = self.attempt.max(attempt);
        self.touch(task);
        self.pressing = true;
        self.placing.insert(self.page_of(task));
        self.places.insert(
            task,
            Placement {
                attempt,
                machine: machine.to_string(),
                born: self.mutated,
                committed: false,
                inherited: false,
                sent: false,
                seen: None,
                placed_at: now,
                running_since: None,
                stopping: None,
                told: false,
            },
        );
    }

    /// Removes a place. The caller has proof that the task is not on the
    /// machine and will not start there.
    pub fn release(&mut self, task: u32) {
        if self.places.remove(&task).is_some() {
            self.touch(task);
            self.left_at.insert(task, self.mutated);
        }
        if self.places.is_empty() {
            self.aborting = false;
        }
    }

    /// Whether no unfinished task is without a place, told without a list.
    pub fn nothing_waits(&self) -> bool {
        let gang = self.spec.shape == Shape::Gang && !self.places.is_empty();
        let accounted = self.done_count as usize + self.places.len() >= self.done.len();
        self.is_final() || gang || accounted && self.waiting(1).is_empty()
    }

    /// Unfinished tasks without a place; a gang's only when nothing of its
    /// last attempt is left.
    pub fn waiting(&self, most: usize) -> Vec<u32> {
        if self.is_final() || (self.spec.shape == Shape::Gang && !self.places.is_empty()) {
            return Vec::new();
        }
        (0..self.spec.tasks)
            .filter(|t| !self.done[*t as usize] && !self.places.contains_key(t))
            .take(most)
            .collect()
    }

    fn shown_status(&self) -> JobStatus {
        if self.is_final() {
            self.status
        } else if self.places.values().any(|p| p.seen.is_some()) {
            JobStatus::Running
        } else {
            JobStatus::Pending
        }
    }

    pub fn page_record(&self, page: usize) -> PageRecord {
        let range = self.range(page);
        let (from, to) = (range.start as u32, range.end as u32);
        PageRecord {
            done: pack_bits(&self.done[range]),
            places: self
                .places
                .range(from..to.max(from))
                .map(|(&task, p)| StoredPlacement { task, attempt: p.attempt, machine: p.machine.clone() })
                .collect(),
        }
    }

    /// The record as it should be stored. `status` is final only once every
    /// task's bit is set.
    pub fn record(&self) -> JobRecord {
        JobRecord {
            spec: if self.parts.is_some() { stub(&self.spec) } else { self.spec.clone() },
            parts: self.parts.clone(),
            at: self.at,
            status: self.shown_status(),
            done: self.done_count,
            running: self.places.values().filter(|p| p.running_since.is_some()).count() as u32,
            attempt: self.attempt,
            per_page: self.layout.per_page,
            page: self.page_record(0),
            ran_on: self.ran_on_names(),
            freed_at: self.freed_at,
            layout: self.layout.number,
        }
    }

    /// A write of mutation count `count`, holding `pages`, was applied;
    /// `whole` if these were all that had changed.
    pub fn applied(&mut self, count: u64, pages: &BTreeSet<usize>, whole: bool, revision: u64) {
        self.layout.stored_at(pages, revision);
        self.turn = pages.last().copied().unwrap_or(0);
        for &p in pages {
            let stored = self.page_stored.entry(p).or_insert(0);
            *stored = (*stored).max(count);
        }
        self.dirty_pages.retain(|p, at| !(pages.contains(p) && *at <= count));
        if !pages.contains(&0) {
            // Pages of a layout that does not count yet prove nothing.
            return;
        }
        // A reread may have shown a later version already (a cancellation on
        // top of this write): versions never go back.
        self.version = self.version.max(revision);
        self.mark = None;
        let switched = self.layout.count_from_now();
        self.placing.clear();
        for (task, place) in self.places.iter_mut() {
            let page = self.layout.page_of(*task);
            // A new layout counts with all that was written of it before.
            if place.born <= count && (switched || pages.contains(&page)) {
                place.committed = true;
            }
            if !place.committed {
                self.placing.insert(page);
            }
        }
        if whole {
            self.stored = self.stored.max(count);
        }
        if self.dirty_pages.is_empty() {
            self.stored = self.mutated;
        }
        self.pressing = !self.placing.is_empty() || self.complete() && !self.is_final();
        // What is left to store of these pages alone came just now.
        if self.covers(pages) {
            self.dirty_since = None;
        }
    }

    /// Brings the job into step with its main record as read from the store:
    /// a final status there wins, a placement is committed if it stands there,
    /// and whatever differs is written again.
    pub fn reconcile(&mut self, record: &JobRecord, version: u64) {
        if version <= self.version {
            return;
        }
        self.version = version;
        // A stored final status wins even over one that this leader was about
        // to store: somebody may have been told of it.
        if record.status.is_final() {
            self.status = record.status;
        }
        self.attempt = self.attempt.max(record.attempt);
        if record.layout == self.layout.number {
            if self.layout.count_from_now() {
                self.commit_stored_pages();
            }
            self.reconcile_page(0, &record.page);
        }
        if self.record() != *record {
            self.touch_main();
        }
    }

    /// Its layout counts, and with it what was written of it before. (Where the answer to the
    /// write that named it was lost, placements on other pages stayed unlaunched.)
    fn commit_stored_pages(&mut self) {
        for (task, place) in self.places.iter_mut() {
            let stored = self.page_stored.get(&self.layout.page_of(*task));
            place.committed |= stored.is_some_and(|&count| place.born <= count);
        }
    }

    pub fn reconcile_page(&mut self, page: usize, record: &PageRecord) {
        let before = self.done_count;
        self.merge_done(page, &record.done);
        let counts = !self.layout.changing();
        for (task, place) in self.places.iter_mut() {
            if counts && self.layout.page_of(*task) == page && !place.committed {
                place.committed = record
                    .places
                    .iter()
                    .any(|s| s.task == *task && s.attempt == place.attempt && s.machine == place.machine);
            }
        }
        if before != self.done_count || page > 0 {
            self.touch_page(page);
        }
    }
}
