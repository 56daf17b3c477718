//! Building a transaction of several jobs' writes.

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

/// Bytes in JSON of a job's move to the terminal ones, and of each further deletion.
const ARCHIVE_MOVE_BYTES: usize = 400;
const DELETION_BYTES: usize = 100;
/// Mutations of a job's move beside the deletions of its other keys.
const ARCHIVE_MOVE_MUTATIONS: usize = 2;

/// What holds for the writes of one tick.
#[derive(Debug, Clone)]
pub struct WriteConditions {
    /// Time on this node's steady clock.
    pub now: Time,
    /// Mutations that a transaction may have.
    pub max_mutations: usize,
    /// Mutations per second that the leader may use.
    pub rate: f64,
    /// Seconds that a write waits for which nobody waits.
    pub lazy_delay_s: Time,
    /// Bytes of a value that the store takes today.
    pub current_value_bytes: usize,
    /// Every node reads the current format, so pages may be divided anew.
    pub may_repaginate: bool,
    /// Every node reads terminal jobs under their own prefix.
    pub may_archive: bool,
    /// Only one job per transaction.
    pub isolate_jobs: bool,
}

impl WriteConditions {
    /// Mutations that are left to urgent writes.
    pub fn reserve(&self) -> f64 {
        self.rate / 2.0
    }
}

/// A transaction in the making, within the limits of its size and of the write rate.
pub struct TransactionBuilder<'a> {
    conditions: &'a WriteConditions,
    budget: &'a mut RateLimiter,
    graph: &'a DependencyGraph,
    transaction: Transaction<Value>,
    entries: Vec<TransactionEntry>,
    size_bytes: usize,
}

impl<'a> TransactionBuilder<'a> {
    /// An empty transaction of the leader with that token.
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

    /// The transaction and its entries; None if it is empty.
    pub fn finish(self) -> Option<(Transaction<Value>, Vec<TransactionEntry>)> {
        (!self.entries.is_empty()).then_some((self.transaction, self.entries))
    }

    /// Adds what is due of `job` and fits. Breaks if there is no room for further jobs.
    pub fn add(&mut self, due: &DueJob, job: &mut Job) -> ControlFlow<()> {
        let conditions = self.conditions;
        let available = self.budget.available_at(conditions.now);
        let has_reserve = available >= conditions.reserve();
        let room = conditions.max_mutations - self.transaction.mutations.len();
        let is_isolated = conditions.isolate_jobs && !self.entries.is_empty();
        if room == 0 || due.is_lazy && !has_reserve || is_isolated {
            return ControlFlow::Break(());
        }
        self.fit_pages(job);
        let max_mutations = (available as usize).min(room);
        if has_reserve && self.can_archive(job, max_mutations) {
            self.add_archive_move(job);
            return ControlFlow::Continue(());
        }
        let is_ripe = job
            .persistence
            .dirty_since
            .is_some_and(|since| conditions.now >= since + conditions.lazy_delay_s);
        let all = job.is_complete() || is_ripe && has_reserve;
        let Some(selection) = select_pages(job, all, max_mutations, self.size_bytes) else {
            return ControlFlow::Continue(());
        };
        if !self.budget.try_acquire(conditions.now, selection.pages.len() as f64) {
            return ControlFlow::Break(());
        }
        self.size_bytes += selection.size_bytes;
        self.add_pages(job, selection.pages);
        ControlFlow::Continue(())
    }

    /// Divides the job's tasks anew if a value would not fit the coming limits; or, while some node
    /// may not read that, allows for larger values.
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

    /// Whether the job has ended and may move to the terminal ones at once. Otherwise its end is
    /// stored where it is, which takes one mutation, and it moves later; as does one that a
    /// live job depends on.
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
        let archive_move = ArchiveMove::of_live_job(job);
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

    /// The main record takes the place of a cancellation mark.
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
