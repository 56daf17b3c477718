//! Construction of a transaction from the writes of several jobs.

use super::due_jobs::DueJob;
use super::page_selection::select_pages;
use super::TransactionEntry;
use crate::messages::Time;
use crate::model::job::{Job, JobWrite};
use crate::model::records::{job_key, page_key, Value};
use crate::storage::archive::ArchiveMove;
use crate::storage::fencing::leader_compare;
use crate::RateLimiter;
use dependencies::DependencyGraph;
use protocol::job::JobStatus;
use protocol::state::{Compare, Mutation, Transaction};
use std::collections::BTreeSet;
use std::ops::ControlFlow;
use tracing::debug;

/// JSON bytes of a job's move to the archive, besides the deletions of its other keys.
const ARCHIVE_MOVE_BYTES: usize = 400;
/// JSON bytes of each deletion of another key.
const DELETION_BYTES: usize = 100;
/// Number of mutations of a job's move, besides the deletions of its other keys.
const ARCHIVE_MOVE_MUTATIONS: usize = 2;

/// Conditions for the writes of one tick.
#[derive(Debug, Clone)]
pub struct WriteConditions {
    /// Time on this node's monotonic clock.
    pub now: Time,
    /// Maximum number of mutations in a transaction.
    pub max_mutations: usize,
    /// Number of mutations per second that the leader may use.
    pub rate: f64,
    /// Delay of a write that is not urgent, in seconds.
    pub lazy_delay_s: Time,
    /// Maximum size in bytes of a value under the current limits.
    pub current_value_bytes: usize,
    /// Whether jobs may be repaginated, which requires that every node reads the current format.
    pub may_repaginate: bool,
    /// Whether jobs may be archived, which requires that every node reads archived jobs.
    pub may_archive: bool,
}

impl WriteConditions {
    /// Returns the number of mutations reserved for urgent writes.
    pub fn urgent_reserve(&self) -> f64 {
        self.rate / 2.0
    }
}

/// Builder of a transaction within the limits of size and write rate.
pub struct TransactionBuilder<'a> {
    conditions: &'a WriteConditions,
    budget: &'a mut RateLimiter,
    graph: &'a DependencyGraph,
    transaction: Transaction<Value>,
    entries: Vec<TransactionEntry>,
    size_bytes: usize,
}

impl<'a> TransactionBuilder<'a> {
    /// Creates the builder of an empty transaction of the leader with this token.
    pub fn new(
        conditions: &'a WriteConditions,
        budget: &'a mut RateLimiter,
        graph: &'a DependencyGraph,
        fencing_token: u64,
    ) -> Self {
        TransactionBuilder {
            conditions,
            budget,
            graph,
            transaction: Transaction { compares: vec![leader_compare(fencing_token)], mutations: Vec::new() },
            entries: Vec::new(),
            size_bytes: 0,
        }
    }

    /// Returns the transaction and its entries; None if it is empty.
    pub fn finish(self) -> Option<(Transaction<Value>, Vec<TransactionEntry>)> {
        (!self.entries.is_empty()).then_some((self.transaction, self.entries))
    }

    /// Adds the due writes of `job` that fit. Returns `Break` if there is no room for further jobs.
    pub fn add(&mut self, due: &DueJob, job: &mut Job) -> ControlFlow<()> {
        if job.persistence.write_alone && !self.entries.is_empty() {
            return ControlFlow::Continue(());
        }
        self.add_with_others(due, job)?;
        if job.persistence.write_alone && !self.entries.is_empty() {
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    fn add_with_others(&mut self, due: &DueJob, job: &mut Job) -> ControlFlow<()> {
        let conditions = self.conditions;
        let available = self.budget.available_at(conditions.now);
        let has_reserve = available >= conditions.urgent_reserve();
        let room = conditions.max_mutations - self.transaction.mutations.len();
        if room == 0 || due.is_lazy && !has_reserve {
            return ControlFlow::Break(());
        }
        self.fit_pages(job);
        let max_mutations = (available as usize).min(room);
        if has_reserve && self.can_archive(job, max_mutations) {
            self.add_archive_move(job);
            return ControlFlow::Continue(());
        }
        let is_delay_over = job
            .persistence
            .dirty_since
            .is_some_and(|since| conditions.now >= since + conditions.lazy_delay_s);
        let all_pages = job.is_complete() || is_delay_over && has_reserve;
        let Some(selection) = select_pages(job, all_pages, max_mutations, self.size_bytes) else {
            return ControlFlow::Continue(());
        };
        if !self.budget.try_acquire(conditions.now, selection.pages.len() as f64) {
            return ControlFlow::Break(());
        }
        self.size_bytes += selection.size_bytes;
        self.add_pages(job, selection.pages);
        ControlFlow::Continue(())
    }

    /// Repaginates the job if a value would exceed the announced limits or, while some node may not
    /// be able to read the new layout, allows larger values.
    fn fit_pages(&self, job: &mut Job) {
        if job.has_fully_ended() || job.page_layout.is_changing() || !job.needs_repagination() {
            return;
        }
        if self.conditions.may_repaginate {
            debug!(job = %job.spec.id, per_page = job.page_layout.per_page, "job repaginated");
            job.repaginate();
        } else {
            job.page_layout.allow_current_limits(self.conditions.current_value_bytes);
        }
    }

    /// Whether the job has ended and can be archived by this write. Otherwise its end is stored in
    /// its live record, which takes one mutation, and it is archived later. The same goes for a job
    /// that a live job depends on.
    fn can_archive(&self, job: &Job, max_mutations: usize) -> bool {
        self.conditions.may_archive
            && job.has_fully_ended()
            && !self.graph.has_dependents(&job.spec.id)
            && job.keys_beside_record().len() + ARCHIVE_MOVE_MUTATIONS <= max_mutations
    }

    fn add_archive_move(&mut self, job: &mut Job) {
        if !job.is_final() {
            job.status = JobStatus::Done;
        }
        let archive_move = ArchiveMove::for_live_job(job);
        let mutation_count = archive_move.mutations.len();
        self.budget.try_acquire(self.conditions.now, mutation_count as f64);
        self.size_bytes += ARCHIVE_MOVE_BYTES + DELETION_BYTES * (mutation_count - ARCHIVE_MOVE_MUTATIONS);
        self.transaction.compares.extend(archive_move.compares);
        self.transaction.mutations.extend(archive_move.mutations);
        self.entries.push(TransactionEntry {
            job_id: job.spec.id.clone(),
            write: JobWrite {
                mutation_count: job.persistence.mutation_count(),
                pages: BTreeSet::from([0]),
                covers_all: true,
            },
            archives: true,
            final_status: Some(job.status),
            marks_ready: true,
        });
    }

    fn add_pages(&mut self, job: &mut Job, pages: BTreeSet<usize>) {
        let covers_all = job.persistence.is_covered_by(&pages);
        let with_record = pages.contains(&0);
        if job.is_complete() && !job.is_final() && covers_all && with_record {
            job.status = JobStatus::Done;
        }
        if with_record {
            self.replace_cancellation_mark(job);
        }
        for &page in &pages {
            self.put_page(job, page);
        }
        self.entries.push(TransactionEntry {
            job_id: job.spec.id.clone(),
            write: JobWrite { mutation_count: job.persistence.mutation_count(), pages, covers_all },
            archives: false,
            final_status: Some(job.status).filter(|status| with_record && status.is_final()),
            marks_ready: with_record && job.ready_wall_s.is_some(),
        });
    }

    /// Deletes the cancellation mark that the main record replaces.
    fn replace_cancellation_mark(&mut self, job: &Job) {
        let id = &job.spec.id;
        self.transaction.compares.extend(job.cancellation_mark.compare(id));
        if let Some(key) = job.cancellation_mark.existing_key(id) {
            self.transaction.mutations.push(Mutation::Delete { key });
        }
    }

    fn put_page(&mut self, job: &mut Job, page: usize) {
        let id = &job.spec.id;
        let (key, version) = match page {
            0 => (job_key(id), job.version),
            _ => (page_key(id, page, job.page_layout.number), job.page_layout.version(page)),
        };
        let value = match page {
            0 => Value::Job(Box::new(job.record_to_write())),
            _ => Value::Page(job.page_record(page)),
        };
        self.transaction.compares.push(Compare { key: key.clone(), version });
        self.transaction.mutations.push(Mutation::Put { key, value, lease: None });
    }
}
