//! Writing a job's main record, and bringing the job into step with what is stored.

use super::{Job, JobWrite};
use crate::model::records::{
    mark_key, spec_stub, JobRecord, PageRecord, StoredPlacement, MAX_MACHINES_WITH_IMAGE,
};
use protocol::job::JobStatus;
use protocol::state::Compare;
use std::collections::BTreeSet;

/// Bytes in JSON of a machine's name in a list, beside the name itself.
const LIST_ITEM_OVERHEAD_BYTES: usize = 4;

/// The mark that a cancellation leaves beside a job's record if that is too large to be written
/// again.
#[derive(Debug, Clone, Default)]
pub struct CancellationMark {
    /// Whether there may be one: the stored record may be, or may have been, too large.
    pub possible: bool,
    /// Its version, if it is known to exist.
    pub version: Option<u64>,
}

impl CancellationMark {
    /// Its key, if it is known to exist.
    pub fn existing_key(&self, id: &str) -> Option<String> {
        self.version.map(|_| mark_key(id))
    }

    /// The condition under which the record of job `id` may be replaced: that there is no mark but
    /// the known one.
    pub fn compare(&self, id: &str) -> Option<Compare> {
        if !self.possible && self.version.is_none() {
            return None;
        }
        Some(Compare { key: mark_key(id), version: self.version.unwrap_or(0) })
    }
}

impl Job {
    /// The job's keys beside its main record.
    pub fn keys_beside_record(&self) -> Vec<String> {
        let id = &self.spec.id;
        let mut keys = self.page_layout.keys(id);
        keys.extend(self.cancellation_mark.existing_key(id));
        keys.extend(self.spec_chunks.iter().flat_map(|chunks| chunks.keys(id)));
        keys
    }

    /// A cancellation mark was found. A user has seen the cancellation, so it wins even over a
    /// final status that this leader was about to store.
    pub fn on_cancellation_mark(&mut self, version: u64) {
        self.cancellation_mark.version = Some(version);
        if self.status != JobStatus::Cancelled {
            self.status = JobStatus::Cancelled;
            self.mark_main_dirty();
        }
    }

    /// Whether its record as it is now may be too large to be written again.
    pub(super) fn may_have_cancellation_mark(&self) -> bool {
        self.page_layout.exceeds_next_limit() || self.page_bytes(0) > self.page_layout.next_value_bytes()
    }

    /// Its record, which is about to be written.
    pub fn record_to_write(&mut self) -> JobRecord {
        self.cancellation_mark.possible |= self.may_have_cancellation_mark();
        self.record()
    }

    /// The record as it should be stored. Its status is final only if the job's is.
    pub fn record(&self) -> JobRecord {
        JobRecord {
            spec: if self.spec_chunks.is_some() { spec_stub(&self.spec) } else { self.spec.clone() },
            spec_chunks: self.spec_chunks.clone(),
            submitted_wall_s: self.submitted_wall_s,
            status: self.reported_status(),
            done: self.done_count,
            running: self.running_tasks() as u32,
            attempt: self.attempt,
            per_page: self.page_layout.per_page,
            first_page: self.page_record(0),
            machines_with_image: self.machine_names_that_fit(),
            ready_wall_s: self.ready_wall_s,
            layout: self.page_layout.number,
        }
    }

    /// Names of machines that have the job's image, as far as the record has room for them.
    fn machine_names_that_fit(&self) -> Vec<String> {
        let mut bytes_left = self.page_layout.next_value_bytes().saturating_sub(self.page_bytes(0));
        let mut names = Vec::new();
        for name in self.machines_with_image.iter().take(MAX_MACHINES_WITH_IMAGE) {
            let size = name.len() + LIST_ITEM_OVERHEAD_BYTES;
            if size > bytes_left {
                break;
            }
            bytes_left -= size;
            names.push(name.clone());
        }
        names
    }

    /// `write` was applied at that revision.
    pub fn on_stored(&mut self, write: &JobWrite, revision: u64) {
        self.page_layout.record_stored(&write.pages, revision);
        self.persistence.on_pages_stored(write);
        if !write.pages.contains(&0) {
            // Pages of a layout that does not count yet prove nothing.
            return;
        }
        // A reread may have shown a later version already (a cancellation on
        // top of this write): versions never go back.
        self.version = self.version.max(revision);
        self.cancellation_mark.version = None;
        let layout_activated = self.page_layout.activate();
        let uncommitted_pages = self.commit_placements(write, layout_activated);
        let completion_pending = self.is_complete() && !self.is_final();
        self.persistence.on_record_stored(write, uncommitted_pages, completion_pending);
    }

    /// Marks the placements as committed that `write` stored. Returns the pages of those that are
    /// not.
    fn commit_placements(&mut self, write: &JobWrite, layout_activated: bool) -> BTreeSet<usize> {
        let mut uncommitted_pages = BTreeSet::new();
        for (task, placement) in &mut self.placements {
            let page = self.page_layout.page_of(*task);
            // With a new layout all counts that was written of it before.
            let stored = layout_activated || write.pages.contains(&page);
            if stored && placement.created_at_mutation <= write.mutation_count {
                placement.committed = true;
            }
            if !placement.committed {
                uncommitted_pages.insert(page);
            }
        }
        uncommitted_pages
    }

    /// Brings the job into step with its main record as read from the store:
    /// a final status there wins, a placement that is stored is committed,
    /// and whatever differs is written again.
    pub fn reconcile(&mut self, record: &JobRecord, version: u64) {
        if version <= self.version {
            return;
        }
        self.version = version;
        // A stored final status wins even over one that this leader was about
        // to store: a user may have seen it.
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

    /// The stored record names the new layout, so all counts that was written of it before. (Where
    /// the reply to the write that named it was lost, placements on other pages were once never
    /// launched.)
    fn commit_stored_pages(&mut self) {
        for (task, placement) in &mut self.placements {
            let stored = self.persistence.stored_page_mutation(self.page_layout.page_of(*task));
            placement.committed |= stored.is_some_and(|count| placement.created_at_mutation <= count);
        }
    }

    /// Brings the job into step with a page as read from the store.
    pub fn reconcile_page(&mut self, page: usize, record: &PageRecord) {
        let done_before = self.done_count;
        self.merge_done(page, &record.done);
        if !self.page_layout.is_changing() {
            self.commit_placements_in(page, &record.placements);
        }
        if done_before != self.done_count || page > 0 {
            self.persistence.mark_page_dirty(page);
        }
    }

    fn commit_placements_in(&mut self, page: usize, stored: &[StoredPlacement]) {
        for (task, placement) in &mut self.placements {
            if placement.committed || self.page_layout.page_of(*task) != page {
                continue;
            }
            placement.committed = stored
                .iter()
                .any(|s| s.task == *task && s.attempt == placement.attempt && s.machine == placement.machine);
        }
    }
}
