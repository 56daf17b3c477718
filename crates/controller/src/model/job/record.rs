//! A job's main record: writes it and reconciles the job with the stored data.

use super::{Job, JobWrite};
use crate::messages::Time;
use crate::model::records::{
    json_text_bytes, mark_key, spec_stub, JobRecord, PageRecord, StoredPlacement, MAX_MACHINES_WITH_IMAGE,
};
use protocol::job::JobStatus;
use protocol::state::Compare;
use std::collections::BTreeSet;
use tracing::warn;

/// JSON overhead of a machine name in a list, in bytes.
const LIST_ITEM_OVERHEAD_BYTES: usize = 4;
/// Longest suspension of a job's writes, as a multiple of the one after its first refusal.
const MAX_SUSPENSION_UNITS: u32 = 2;

/// Mark that a cancellation stores beside a job's record if the record is too large to be rewritten.
#[derive(Debug, Clone, Default)]
pub struct CancellationMark {
    /// Whether a mark may exist, because the stored record may be or may have been too large.
    pub possible: bool,
    /// Version of the mark, if it is known to exist.
    pub version: Option<u64>,
}

impl CancellationMark {
    /// Returns the key of the mark if it is known to exist.
    pub fn existing_key(&self, id: &str) -> Option<String> {
        self.version.map(|_| mark_key(id))
    }

    /// Returns the condition under which the record of job `id` may be replaced: no mark other than
    /// the known one exists.
    pub fn compare(&self, id: &str) -> Option<Compare> {
        if !self.possible && self.version.is_none() {
            return None;
        }
        Some(Compare { key: mark_key(id), version: self.version.unwrap_or(0) })
    }
}

impl Job {
    /// Returns the keys of the job apart from its main record.
    pub fn keys_beside_record(&self) -> Vec<String> {
        let id = &self.spec.id;
        let mut keys = self.page_layout.keys(id);
        keys.extend(self.cancellation_mark.existing_key(id));
        keys.extend(self.spec_chunks.iter().flat_map(|chunks| chunks.keys(id)));
        keys
    }

    /// Cancels the job after a cancellation mark was found. Users may have seen the cancellation, so it
    /// overrides even a final status that this leader was about to store.
    pub fn on_cancellation_mark(&mut self, version: u64) {
        self.cancellation_mark.version = Some(version);
        if self.status != JobStatus::Cancelled {
            self.status = JobStatus::Cancelled;
            self.mark_main_dirty();
        }
    }

    /// Whether the current record may be too large to be rewritten under the next limits.
    pub(super) fn may_have_cancellation_mark(&self) -> bool {
        self.page_layout.exceeds_next_limit() || self.page_bytes(0) > self.page_layout.next_value_bytes()
    }

    /// Returns the record for a write, and notes whether it may be too large to be rewritten.
    pub fn record_to_write(&mut self) -> JobRecord {
        self.cancellation_mark.possible |= self.may_have_cancellation_mark();
        self.record()
    }

    /// Returns the record of the current state. Its status is final only if that of the job is.
    pub fn record(&self) -> JobRecord {
        JobRecord {
            spec: if self.spec_chunks.is_some() { spec_stub(&self.spec) } else { self.spec.clone() },
            spec_chunks: self.spec_chunks.clone(),
            submitted_wall_s: self.submitted_wall_s,
            status: self.reported_status(),
            done: self.done_count,
            running: self.running_task_count() as u32,
            attempt: self.attempt,
            per_page: self.page_layout.per_page,
            first_page: self.page_record(0),
            machines_with_image: self.machine_names_that_fit(),
            ready_wall_s: self.ready_wall_s,
            layout: self.page_layout.number,
        }
    }

    /// Returns the names of machines that have the job's image, as many as fit in the record.
    fn machine_names_that_fit(&self) -> Vec<String> {
        let mut bytes_left = self.page_layout.next_value_bytes().saturating_sub(self.page_bytes(0));
        let mut names = Vec::new();
        for name in self.machines_with_image.iter().take(MAX_MACHINES_WITH_IMAGE) {
            let size = json_text_bytes(name) + LIST_ITEM_OVERHEAD_BYTES;
            if size > bytes_left {
                break;
            }
            bytes_left -= size;
            names.push(name.clone());
        }
        names
    }

    /// Suspends the writes of the job after the store refused one of these pages: for `unit_s` after the first refusal
    /// and longer after further ones. Placements that were not stored are released, so that other jobs
    /// can use the machines meanwhile.
    pub fn suspend_writes(&mut self, pages: &BTreeSet<usize>, now: Time, unit_s: Time) {
        let refusals = self.persistence.record_refusal(pages);
        let suspended_until = now + unit_s * f64::from(refusals.min(MAX_SUSPENSION_UNITS));
        warn!(job = %self.spec.id, refusals, "state service refused the record of a job, its writes are suspended");
        self.persistence.write_suspended_until = suspended_until;
        self.not_before = self.not_before.max(suspended_until);
        self.release_uncommitted();
    }

    /// Records that `write` was applied at `revision`.
    pub fn on_stored(&mut self, write: &JobWrite, revision: u64) {
        self.page_layout.record_stored(&write.pages, revision);
        self.persistence.on_pages_stored(write);
        if !write.pages.contains(&0) {
            // Pages of a layout that is not in force yet do not commit placements.
            return;
        }
        // Versions never decrease: a reread may already have returned a later version, such as a
        // cancellation after this write.
        self.version = self.version.max(revision);
        self.cancellation_mark.version = None;
        let layout_activated = self.page_layout.activate();
        let uncommitted_pages = self.commit_placements(write, layout_activated);
        let completion_pending = self.is_complete() && !self.is_final();
        self.persistence.on_record_stored(write, uncommitted_pages, completion_pending);
    }

    /// Marks the placements that `write` stored as committed. Returns the pages with placements that
    /// are not committed yet.
    fn commit_placements(&mut self, write: &JobWrite, layout_activated: bool) -> BTreeSet<usize> {
        let mut uncommitted_pages = BTreeSet::new();
        for (task, placement) in &mut self.placements {
            let page = self.page_layout.page_of(*task);
            // When a new layout takes effect, all of its pages written before count as stored.
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

    /// Reconciles the job with its main record as read from the store: a stored final status
    /// overrides that of the job, stored placements are committed, and the record is written again if
    /// it differs.
    pub fn reconcile(&mut self, record: &JobRecord, version: u64) {
        if version <= self.version {
            return;
        }
        self.version = version;
        // Users may have seen a stored final status, so it overrides even one that this leader was
        // about to store.
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

    /// Commits the placements on pages that were written before the stored record named the new
    /// layout. Otherwise, if the reply to the write that named the layout is lost, placements on
    /// other pages would never be launched.
    fn commit_stored_pages(&mut self) {
        for (task, placement) in &mut self.placements {
            let stored = self.persistence.stored_page_mutation(self.page_layout.page_of(*task));
            placement.committed |= stored.is_some_and(|count| placement.created_at_mutation <= count);
        }
    }

    /// Reconciles the job with a page as read from the store.
    pub fn reconcile_page(&mut self, page: usize, record: &PageRecord) {
        let done_before = self.done_count;
        self.merge_done_bits(page, &record.done);
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
            placement.committed = stored.iter().any(|stored| {
                stored.task == *task
                    && stored.attempt == placement.attempt
                    && stored.machine == placement.machine
            });
        }
    }
}
