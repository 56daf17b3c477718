//! A job as the leader holds it, kept in step with its stored record.

use crate::messages::Time;
use crate::model::page_layout::PageLayout;
use crate::model::records::*;
use crate::storage::store_limits::StoreLimits;
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
    pub created_at_mutation: u64,
    pub committed: bool,
    /// Made by an earlier leader, whose launch may or may not be on its way.
    pub inherited: bool,
    /// A launch went out in the answer to a report.
    pub launch_sent: bool,
    pub observed_state: Option<TaskState>,
    pub placed_at: Time,
    pub running_since: Option<Time>,
    /// Being stopped since then, with that grace.
    pub stopping: Option<(Time, f64)>,
    /// The stop was sent straight to the machine.
    pub kill_sent: bool,
}

/// A job whose tasks failed on that many machines may be at fault itself.
const JOB_AT_FAULT: usize = 2;

#[derive(Debug, Clone)]
pub struct Job {
    pub spec: JobSpec,
    pub submitted_wall_s: f64,
    /// Submission on this node's steady clock.
    pub submitted_at: Time,
    /// When it could first start: its submission, or the end of the last job that it awaits.
    pub ready_at: Time,
    /// Time of day of the latter, once it is known.
    pub ready_wall_s: Option<f64>,
    /// Where its specification is stored, if not in its record.
    pub spec_chunks: Option<SpecChunks>,
    /// What those that need it asked of it when it was last planned for.
    pub inherited_priority: Option<dependencies::InheritedPriority>,
    pub status: JobStatus,
    pub done_tasks: Vec<bool>,
    pub done_count: u32,
    pub attempt: u64,
    /// How its tasks are divided among stored values.
    pub page_layout: PageLayout,
    pub placements: BTreeMap<u32, Placement>,
    pub version: u64,
    /// Its stored record may be, or has been, too large to be written again as it is, so that
    /// whoever cancels it leaves a mark beside it.
    pub may_have_mark: bool,
    /// The version of that mark, once it is known.
    pub mark_version: Option<u64>,
    /// Counts changes; `stored` is the count that the stored record shows.
    pub mutation_count: u64,
    pub stored_mutation: u64,
    /// Pages that have changed, with the count of the last change.
    dirty_pages: BTreeMap<usize, u64>,
    /// The count that each stored page shows.
    stored_page_mutations: BTreeMap<usize, u64>,
    /// Its next write should not wait: it places tasks or completes the job.
    pub urgent_write: bool,
    /// Pages with placements that are not stored yet.
    pages_with_new_placements: BTreeSet<usize>,
    /// The last page beyond the first that was written.
    round_robin_page: usize,
    /// Since when something is not stored yet.
    pub dirty_since: Option<Time>,
    /// Count at which each task last lost its place or ended: the worker may
    /// forget the attempt once that much is stored.
    released_at_mutation: BTreeMap<u32, u64>,
    /// The number of its image with this leader.
    pub image_id: u32,
    /// Bytes that the specification takes in JSON, at most.
    spec_size: usize,
    pub not_before: Time,
    /// Its record is not written before then: the state service took it for invalid.
    pub write_suspended_until: Time,
    /// Machines that its tasks failed on, none of which is known to be faulty
    /// by itself, since one last succeeded.
    pub failed_on: BTreeSet<String>,
    /// Rounds of probing since it was suspected of a mistake of its own.
    pub probes: u32,
    /// A gang attempt that is being taken down.
    pub gang_aborting: bool,
    /// Progress kept, in seconds of run time (planning only).
    pub progress_s: f64,
    pub first_start: Option<Time>,
    pub machines_with_image: BTreeSet<String>,
}

impl Job {
    fn new(spec: JobSpec, at: f64, submitted: Time, layout: PageLayout) -> Self {
        let tasks = spec.tasks as usize;
        Job {
            spec_size: json_size(&spec),
            spec,
            submitted_wall_s: at,
            submitted_at: submitted,
            ready_at: submitted,
            ready_wall_s: None,
            spec_chunks: None,
            inherited_priority: None,
            status: JobStatus::Pending,
            done_tasks: vec![false; tasks],
            done_count: 0,
            attempt: 0,
            page_layout: layout,
            placements: BTreeMap::new(),
            version: 0,
            may_have_mark: false,
            mark_version: None,
            mutation_count: 0,
            stored_mutation: 0,
            dirty_pages: BTreeMap::new(),
            stored_page_mutations: BTreeMap::new(),
            urgent_write: false,
            pages_with_new_placements: BTreeSet::new(),
            round_robin_page: 0,
            dirty_since: None,
            released_at_mutation: BTreeMap::new(),
            image_id: 0,
            not_before: 0.0,
            write_suspended_until: 0.0,
            failed_on: BTreeSet::new(),
            probes: 0,
            gang_aborting: false,
            progress_s: 0.0,
            first_start: None,
            machines_with_image: BTreeSet::new(),
        }
    }

    /// A job as its record shows it.
    pub fn from_record(record: &JobRecord, version: u64, submitted: Time, limits: &StoreLimits) -> Self {
        let spec_size = match record.spec_chunks {
            Some(_) => json_size(&stub(&record.spec)) + PARTS_BYTES,
            None => json_size(&record.spec),
        };
        let layout = PageLayout::stored(record.per_page, record.layout, record.spec.tasks, spec_size, limits);
        let mut job = Job::new(record.spec.clone(), record.submitted_wall_s, submitted, layout);
        job.spec_size = spec_size;
        job.spec_chunks = record.spec_chunks.clone();
        job.version = version;
        job.status = record.status;
        job.attempt = record.attempt;
        job.machines_with_image = record.machines_with_image.iter().cloned().collect();
        job.ready_wall_s = record.ready_wall_s;
        job.ready_at =
            submitted + record.ready_wall_s.map_or(0.0, |at| (at - record.submitted_wall_s).max(0.0));
        job.load_page(0, record.layout, &record.first_page, 0, submitted);
        job.may_have_mark = job.may_have_cancellation_mark();
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
        if !self.page_layout.accept_page(page, layout, version) {
            return false;
        }
        self.merge_done(page, &record.done);
        for p in &record.placements {
            self.placements.insert(
                p.task,
                Placement {
                    attempt: p.attempt,
                    machine: p.machine.clone(),
                    created_at_mutation: 0,
                    committed: true,
                    inherited: true,
                    launch_sent: true,
                    observed_state: None,
                    placed_at: now,
                    running_since: None,
                    stopping: None,
                    kill_sent: false,
                },
            );
            self.attempt = self.attempt.max(p.attempt);
        }
        true
    }

    fn range(&self, page: usize) -> std::ops::Range<usize> {
        self.page_layout.range(page, self.done_tasks.len())
    }

    fn merge_done(&mut self, page: usize, text: &str) {
        let range = self.range(page);
        merge_bits(&mut self.done_tasks[range], text);
        self.done_count = self.done_tasks.iter().filter(|&&d| d).count() as u32;
    }

    pub fn page_of(&self, task: u32) -> usize {
        self.page_layout.page_of(task)
    }

    /// Notes a change of `task`'s state that has to be stored.
    pub fn mark_task_dirty(&mut self, task: u32) {
        self.mark_page_dirty(self.page_of(task));
    }

    pub fn mark_main_dirty(&mut self) {
        self.mark_page_dirty(0);
    }

    fn mark_page_dirty(&mut self, page: usize) {
        self.mutation_count += 1;
        self.dirty_pages.insert(page, self.mutation_count);
    }

    /// Whether page `page` has changed since it was stored.
    pub fn is_dirty(&self, page: usize) -> bool {
        self.dirty_pages.contains_key(&page)
    }

    /// Whether `pages` hold all that has changed.
    pub fn pages_cover_changes(&self, pages: &BTreeSet<usize>) -> bool {
        self.dirty_pages.keys().all(|p| pages.contains(p))
    }

    /// The last job that it awaited is done.
    pub fn on_dependencies_done(&mut self, now: Time, wall: f64) {
        if self.ready_wall_s.is_none() {
            (self.ready_at, self.ready_wall_s) = (now, Some(wall));
            self.mark_main_dirty();
        }
    }

    /// A job that it awaits, or that one of those awaits, was cancelled.
    pub fn cancel(&mut self) {
        if !self.is_final() {
            self.status = JobStatus::Cancelled;
            self.mark_main_dirty();
        }
    }

    /// What has to hold of a mark of cancellation for its record to be replaced.
    pub fn mark_compare(&self) -> Option<Compare> {
        let key = || mark_key(&self.spec.id);
        (self.may_have_mark || self.mark_version.is_some())
            .then(|| Compare { key: key(), version: self.mark_version.unwrap_or(0) })
    }

    /// Keys of its own beside its record.
    pub fn keys_beside_record(&self) -> Vec<String> {
        let id = &self.spec.id;
        let mark = self.mark_version.map(|_| mark_key(id));
        let parts = self.spec_chunks.iter().flat_map(|p| p.keys(id));
        self.page_layout.keys(id).into_iter().chain(mark).chain(parts).collect()
    }

    /// A mark of its cancellation was found. Somebody was told of it, so it wins even over an
    /// end that this leader was about to store.
    pub fn on_cancellation_mark(&mut self, version: u64) {
        self.mark_version = Some(version);
        if self.status != JobStatus::Cancelled {
            self.status = JobStatus::Cancelled;
            self.mark_main_dirty();
        }
    }

    /// Its record, about to be written as it is now.
    pub fn record_to_write(&mut self) -> JobRecord {
        self.may_have_mark |= self.may_have_cancellation_mark();
        self.record()
    }

    /// Whether its record as it is now may be too large to be written again.
    fn may_have_cancellation_mark(&self) -> bool {
        self.page_layout.exceeds_next_limit() || self.page_bytes(0) > self.page_layout.next_value_bytes()
    }

    /// Whether some value of it does not fit the coming limits as it is divided now.
    pub fn needs_repagination(&self) -> bool {
        let pages = self.placements.keys().map(|&t| self.page_of(t)).chain(self.dirty_pages.keys().copied());
        let pages: BTreeSet<usize> = pages.chain([0]).collect();
        pages.into_iter().any(|p| self.page_bytes(p) > self.page_layout.next_value_bytes())
    }

    /// Divides its tasks anew, so that each value fits. The stored record shows the old
    /// layout until it is written itself, which is after all other pages.
    pub fn repaginate(&mut self) {
        let mut per_page = tasks_per_page(self.page_layout.next_value_bytes(), self.spec_size)
            .min(self.page_layout.per_page);
        loop {
            self.page_layout.per_page = per_page;
            if per_page <= 4 || !self.needs_repagination() {
                break;
            }
            per_page = (per_page / 2).max(4) / 4 * 4;
        }
        self.page_layout.begin_layout();
        self.stored_page_mutations.clear();
        self.pages_with_new_placements.clear();
        self.round_robin_page = 0;
        self.dirty_pages.clear();
        let per = self.page_layout.per_page as usize;
        let ended = self.done_tasks.iter().enumerate().filter(|d| *d.1).map(|(t, _)| t / per);
        let placed = self.placements.keys().map(|&t| t as usize / per);
        let pages: BTreeSet<usize> = ended.chain(placed).chain([0]).collect();
        self.mutation_count += 1;
        self.dirty_pages = pages.into_iter().map(|p| (p, self.mutation_count)).collect();
        self.urgent_write |= self.placements.values().any(|p| !p.committed);
    }

    pub fn is_stored(&self) -> bool {
        self.mutation_count == self.stored_mutation
    }

    pub fn is_final(&self) -> bool {
        self.status.is_final()
    }

    /// Whether it was rather submitted with a mistake than unlucky: it failed on
    /// several machines, and on more than it runs on.
    pub fn is_suspected(&self) -> bool {
        self.probes > 0
            || self.failed_on.len() >= JOB_AT_FAULT
                && self.placements.values().filter(|p| p.running_since.is_some()).count()
                    < self.failed_on.len()
    }

    pub fn is_complete(&self) -> bool {
        self.done_count as usize == self.done_tasks.len()
    }

    /// Whether it is over and nothing of it is left on any machine.
    pub fn is_over(&self) -> bool {
        self.placements.is_empty() && (self.is_complete() || self.is_final())
    }

    pub fn finish_task(&mut self, task: u32) {
        if let Some(d) = self.done_tasks.get_mut(task as usize) {
            if !*d {
                *d = true;
                self.done_count += 1;
                self.mark_task_dirty(task);
                self.released_at_mutation.insert(task, self.mutation_count);
                self.urgent_write |= self.is_complete();
            }
        }
    }

    /// Whether all that is known of `task` is stored, so that its worker may
    /// forget an exited attempt. Asking for the whole job to be stored instead
    /// kept the exited tasks of busy arrays in the reports.
    pub fn outcome_stored(&self, task: u32) -> bool {
        let page = self.stored_page_mutations.get(&self.page_of(task)).copied().unwrap_or(0);
        self.released_at_mutation.get(&task).is_none_or(|&count| count <= self.stored_mutation.max(page))
    }

    /// Changed pages beyond the first in the order in which they should be
    /// stored: new placements, which launches wait for, and if `all` then the
    /// rest, each in its turn. (By number alone, the ends in a huge array's first
    /// pages kept the placements in its last ones waiting for minutes.)
    pub fn pages_due(&self, all: bool) -> Vec<usize> {
        let beyond = |p: &&usize| **p > 0 && self.is_dirty(**p);
        let mut due: Vec<usize> = self.pages_with_new_placements.iter().filter(beyond).copied().collect();
        if all {
            let (before, after): (Vec<usize>, Vec<usize>) = self
                .dirty_pages
                .keys()
                .filter(|&&p| p > 0 && !self.pages_with_new_placements.contains(&p))
                .partition(|&&p| p <= self.round_robin_page);
            due.extend(after.into_iter().chain(before));
        }
        due
    }

    /// Bytes that a page's record takes in JSON, at most; the first one's without machines
    /// that it ran on.
    pub fn page_bytes(&self, page: usize) -> usize {
        let main = if page == 0 { self.spec_size + RECORD_BYTES } else { 60 };
        self.placement_bytes(page) + self.range(page).len().div_ceil(4) + main
    }

    /// Bytes that a page's placements may take.
    pub fn placement_bytes_left(&self, page: usize) -> usize {
        let fixed = self.page_bytes(page) - self.placement_bytes(page);
        self.page_layout.max_value_bytes.saturating_sub(fixed)
    }

    /// Bytes that a page's placements take.
    pub fn placement_bytes(&self, page: usize) -> usize {
        let range = self.range(page);
        let (from, to) = (range.start as u32, range.end as u32);
        let places = self.placements.range(from..to.max(from));
        places.map(|(&t, p)| StoredPlacement::size(t, p.attempt, &p.machine)).sum()
    }

    /// Names of machines that it ran on, as far as the record has room for them.
    fn ran_on_names(&self) -> Vec<String> {
        let mut left = self.page_layout.next_value_bytes().saturating_sub(self.page_bytes(0));
        let fits = |m: &&String| {
            let size = m.len() + 4;
            let fits = size <= left;
            left -= if fits { size } else { 0 };
            fits
        };
        self.machines_with_image.iter().take(MOST_RAN_ON).take_while(fits).cloned().collect()
    }

    pub fn add_placement(&mut self, task: u32, machine: &str, attempt: u64, now: Time) {
        self.attempt = self.attempt.max(attempt);
        self.mark_task_dirty(task);
        self.urgent_write = true;
        self.pages_with_new_placements.insert(self.page_of(task));
        self.placements.insert(
            task,
            Placement {
                attempt,
                machine: machine.to_string(),
                created_at_mutation: self.mutation_count,
                committed: false,
                inherited: false,
                launch_sent: false,
                observed_state: None,
                placed_at: now,
                running_since: None,
                stopping: None,
                kill_sent: false,
            },
        );
    }

    /// Removes a place. The caller has proof that the task is not on the
    /// machine and will not start there.
    pub fn release_placement(&mut self, task: u32) {
        if self.placements.remove(&task).is_some() {
            self.mark_task_dirty(task);
            self.released_at_mutation.insert(task, self.mutation_count);
        }
        if self.placements.is_empty() {
            self.gang_aborting = false;
        }
    }

    /// Whether no unfinished task is without a place, told without a list.
    pub fn has_no_pending_tasks(&self) -> bool {
        let gang = self.spec.shape == Shape::Gang && !self.placements.is_empty();
        let accounted = self.done_count as usize + self.placements.len() >= self.done_tasks.len();
        self.is_final() || gang || accounted && self.pending_tasks(1).is_empty()
    }

    /// Unfinished tasks without a place; a gang's only when nothing of its
    /// last attempt is left.
    pub fn pending_tasks(&self, most: usize) -> Vec<u32> {
        if self.is_final() || (self.spec.shape == Shape::Gang && !self.placements.is_empty()) {
            return Vec::new();
        }
        (0..self.spec.tasks)
            .filter(|t| !self.done_tasks[*t as usize] && !self.placements.contains_key(t))
            .take(most)
            .collect()
    }

    fn reported_status(&self) -> JobStatus {
        if self.is_final() {
            self.status
        } else if self.placements.values().any(|p| p.observed_state.is_some()) {
            JobStatus::Running
        } else {
            JobStatus::Pending
        }
    }

    pub fn page_record(&self, page: usize) -> PageRecord {
        let range = self.range(page);
        let (from, to) = (range.start as u32, range.end as u32);
        PageRecord {
            done: pack_bits(&self.done_tasks[range]),
            placements: self
                .placements
                .range(from..to.max(from))
                .map(|(&task, p)| StoredPlacement { task, attempt: p.attempt, machine: p.machine.clone() })
                .collect(),
        }
    }

    /// The record as it should be stored. `status` is final only once every
    /// task's bit is set.
    pub fn record(&self) -> JobRecord {
        JobRecord {
            spec: if self.spec_chunks.is_some() { stub(&self.spec) } else { self.spec.clone() },
            spec_chunks: self.spec_chunks.clone(),
            submitted_wall_s: self.submitted_wall_s,
            status: self.reported_status(),
            done: self.done_count,
            running: self.placements.values().filter(|p| p.running_since.is_some()).count() as u32,
            attempt: self.attempt,
            per_page: self.page_layout.per_page,
            first_page: self.page_record(0),
            machines_with_image: self.ran_on_names(),
            ready_wall_s: self.ready_wall_s,
            layout: self.page_layout.number,
        }
    }

    /// A write of mutation count `count`, holding `pages`, was applied;
    /// `whole` if these were all that had changed.
    pub fn on_stored(&mut self, count: u64, pages: &BTreeSet<usize>, whole: bool, revision: u64) {
        self.page_layout.record_stored(pages, revision);
        self.round_robin_page = pages.last().copied().unwrap_or(0);
        for &p in pages {
            let stored = self.stored_page_mutations.entry(p).or_insert(0);
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
        self.mark_version = None;
        let switched = self.page_layout.activate();
        self.pages_with_new_placements.clear();
        for (task, place) in self.placements.iter_mut() {
            let page = self.page_layout.page_of(*task);
            // A new layout counts with all that was written of it before.
            if place.created_at_mutation <= count && (switched || pages.contains(&page)) {
                place.committed = true;
            }
            if !place.committed {
                self.pages_with_new_placements.insert(page);
            }
        }
        if whole {
            self.stored_mutation = self.stored_mutation.max(count);
        }
        if self.dirty_pages.is_empty() {
            self.stored_mutation = self.mutation_count;
        }
        self.urgent_write =
            !self.pages_with_new_placements.is_empty() || self.is_complete() && !self.is_final();
        // What is left to store of these pages alone came just now.
        if self.pages_cover_changes(pages) {
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
        if record.layout == self.page_layout.number {
            if self.page_layout.activate() {
                self.commit_stored_pages();
            }
            self.reconcile_page(0, &record.first_page);
        }
        if self.record() != *record {
            self.mark_main_dirty();
        }
    }

    /// Its layout counts, and with it what was written of it before. (Where the answer to the
    /// write that named it was lost, placements on other pages stayed unlaunched.)
    fn commit_stored_pages(&mut self) {
        for (task, place) in self.placements.iter_mut() {
            let stored = self.stored_page_mutations.get(&self.page_layout.page_of(*task));
            place.committed |= stored.is_some_and(|&count| place.created_at_mutation <= count);
        }
    }

    pub fn reconcile_page(&mut self, page: usize, record: &PageRecord) {
        let before = self.done_count;
        self.merge_done(page, &record.done);
        let counts = !self.page_layout.is_changing();
        for (task, place) in self.placements.iter_mut() {
            if counts && self.page_layout.page_of(*task) == page && !place.committed {
                place.committed = record
                    .placements
                    .iter()
                    .any(|s| s.task == *task && s.attempt == place.attempt && s.machine == place.machine);
            }
        }
        if before != self.done_count || page > 0 {
            self.mark_page_dirty(page);
        }
    }
}
