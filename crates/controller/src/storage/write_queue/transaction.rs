//! Construction of a transaction from the writes of several jobs.

use super::due_jobs::DueJob;
use super::page_selection::select_pages;
use super::TransactionEntry;
use crate::messages::Time;
use crate::model::job::{Job, JobWrite};
use crate::model::records::{job_key, page_key, Value};
use crate::storage::archive::ArchiveMove;
use crate::storage::fencing::leader_compare;
use crate::storage::spec_chunks::{new_nonce, take_chunks};
use crate::storage::store_limits::TARGET_TRANSACTION_BYTES;
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
    /// Whether jobs may be laid out anew, which requires that every node reads the current format.
    pub may_change_layout: bool,
    /// Whether jobs may be archived, which requires that every node reads archived jobs.
    pub may_archive: bool,
    /// Time of day, in seconds.
    pub wall_time_s: Time,
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
    fencing_token: u64,
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
            fencing_token,
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
        let max_mutations = (available as usize).min(room);
        if has_reserve && self.can_archive(job, max_mutations) {
            self.add_archive_move(job);
            return ControlFlow::Continue(());
        }
        self.fit_values(job);
        if !job.unstored_spec_chunks().is_empty() {
            return self.add_spec_chunks(job, max_mutations);
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

    /// Starts a new layout of the job if a value would exceed the announced limits or, while some node
    /// may not be able to read the new layout, allows larger values.
    fn fit_values(&self, job: &mut Job) {
        if !job.is_new_layout_due() {
            return;
        }
        if self.conditions.may_change_layout {
            let nonce = new_nonce(self.conditions.wall_time_s, self.fencing_token as u32);
            job.begin_new_layout(nonce);
            let chunks = job.unstored_spec_chunks().len();
            debug!(job = %job.spec.id, per_page = job.page_layout.per_page, chunks, "new layout of a job");
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
            spec_chunk_keys: Vec::new(),
            archives: true,
            final_status: Some(job.status),
            marks_ready: true,
        });
    }

    /// Adds chunks of the job's specification. Without the condition on the record, a transaction that
    /// is applied late would leave chunks that no record refers to.
    fn add_spec_chunks(&mut self, job: &Job, max_mutations: usize) -> ControlFlow<()> {
        let mut pending = job.unstored_spec_chunks().to_vec();
        let bytes_left = TARGET_TRANSACTION_BYTES.saturating_sub(self.size_bytes);
        let chunks = take_chunks(&mut pending, max_mutations, bytes_left);
        if chunks.mutations.is_empty()
            || !self.budget.try_acquire(self.conditions.now, chunks.mutations.len() as f64)
        {
            return ControlFlow::Break(());
        }
        self.size_bytes += chunks.size_bytes;
        self.transaction.compares.push(Compare { key: job_key(&job.spec.id), version: job.version });
        let stored = |mutation: &Mutation<Value>| match mutation {
            Mutation::Put { key, .. } | Mutation::Delete { key } => key.clone(),
        };
        let spec_chunk_keys = chunks.mutations.iter().map(stored).collect();
        self.transaction.mutations.extend(chunks.mutations);
        self.entries.push(TransactionEntry {
            job_id: job.spec.id.clone(),
            write: JobWrite {
                mutation_count: job.persistence.mutation_count(),
                pages: BTreeSet::new(),
                covers_all: false,
            },
            spec_chunk_keys,
            archives: false,
            final_status: None,
            marks_ready: false,
        });
        ControlFlow::Continue(())
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
            spec_chunk_keys: Vec::new(),
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
