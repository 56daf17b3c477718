//! Recovery of a new leader, which reads the stored records page by page before it acts.

use crate::leader::state::LeaderState;
use crate::leader::terminal_jobs::terminal_job;
use crate::messages::Time;
use crate::model::job::Job;
use crate::model::records::{
    parse_page_key, ImagesRecord, JobRecord, PageRecord, TerminalRecord, Value, IMAGES_PREFIX, JOB_PREFIX,
    MARK_PREFIX, MIN_TASKS_PER_PAGE, PAGE_PREFIX, SPEC_CHUNK_PREFIX,
};
use crate::storage::archive::{terminal_record, TerminalJob};
use crate::storage::spec_chunks::ChunkReader;
use crate::storage::store_limits::StoreLimits;
use crate::{CallContext, Controller, StoreReply, StoreRequest};
use protocol::job::JobSpec;
use protocol::state::{Item, Page};
use std::collections::BTreeMap;
use tracing::info;

/// Age of a job, in seconds since its submission, from which its record no longer indicates which
/// images the machines hold.
const MAX_IMAGE_AGE_S: f64 = 3600.0;

/// Phases of recovery, one for each kind of stored record, in the order in which they are read.
///
/// Specification chunks are read before the jobs that refer to them; cancellation marks and pages
/// are read after the jobs that they belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryPhase {
    /// Images cached on the machines.
    CachedImages,
    /// Chunks of specifications that are too large for their job's record.
    SpecChunks,
    /// Records of live jobs.
    Jobs,
    /// Cancellation marks of jobs whose records are too large to be rewritten.
    CancellationMarks,
    /// Placements and completion bits of jobs with more than one page.
    Pages,
}

impl RecoveryPhase {
    /// Returns the prefix of the keys that are read in this phase.
    fn prefix(self) -> &'static str {
        match self {
            RecoveryPhase::CachedImages => IMAGES_PREFIX,
            RecoveryPhase::SpecChunks => SPEC_CHUNK_PREFIX,
            RecoveryPhase::Jobs => JOB_PREFIX,
            RecoveryPhase::CancellationMarks => MARK_PREFIX,
            RecoveryPhase::Pages => PAGE_PREFIX,
        }
    }

    /// Returns the phase after this one; None after the last.
    fn next(self) -> Option<Self> {
        match self {
            RecoveryPhase::CachedImages => Some(RecoveryPhase::SpecChunks),
            RecoveryPhase::SpecChunks => Some(RecoveryPhase::Jobs),
            RecoveryPhase::Jobs => Some(RecoveryPhase::CancellationMarks),
            RecoveryPhase::CancellationMarks => Some(RecoveryPhase::Pages),
            RecoveryPhase::Pages => None,
        }
    }
}

/// Progress of a new leader's read of the stored records.
pub struct Recovery {
    /// Whether all records have been read.
    pub finished: bool,
    /// Whether the read of a page awaits its reply.
    read_in_flight: bool,
    /// Current phase.
    phase: RecoveryPhase,
    /// Last key read in this phase.
    cursor: Option<String>,
    /// Earliest time of the next read.
    retry_at: Time,
    /// Revision of the first page, from which the watch starts.
    start_revision: Option<u64>,
    /// Specification chunks, which are read before the records that refer to them.
    spec_chunks: ChunkReader,
    /// Keys of pages whose jobs are not among the live jobs, by job id.
    orphaned_pages: BTreeMap<String, Vec<String>>,
}

impl Recovery {
    /// Creates the state of a recovery that starts at `now`.
    pub fn new(now: Time) -> Self {
        Recovery {
            finished: false,
            read_in_flight: false,
            phase: RecoveryPhase::CachedImages,
            cursor: None,
            retry_at: now,
            start_revision: None,
            spec_chunks: ChunkReader::default(),
            orphaned_pages: BTreeMap::new(),
        }
    }
}

/// Inputs to the processing of a record besides the leader's state.
struct RecoveryContext {
    now: Time,
    /// Time of day, in seconds.
    wall_time_s: f64,
    store_limits: StoreLimits,
    /// Time until which tasks of an undecodable job may run without being reported.
    unreported_until: Time,
    /// Time of day before which submissions are abandoned: their chunks are deleted if no record
    /// refers to them.
    chunks_abandoned_before: f64,
}

impl RecoveryContext {
    /// Returns the time of a job's submission by the monotonic clock.
    fn submitted_at(&self, record: &JobRecord) -> Time {
        self.now - (self.wall_time_s - record.submitted_wall_s).max(0.0)
    }
}

/// Arrival of a job without dependencies, timed by the monotonic clock.
struct JobArrival {
    spec: JobSpec,
    submitted_at: Time,
}

/// Effects of a page of records outside of the leader's own state.
#[derive(Default)]
struct PageOutcome {
    /// Terminal jobs to archive.
    terminal_jobs: Vec<TerminalJob>,
    /// Terminal states of jobs that cannot be archived yet.
    terminal_states: Vec<(String, TerminalRecord)>,
    /// Jobs to count in the arrival statistics.
    arrivals: Vec<JobArrival>,
}

impl LeaderState {
    fn recover_records(
        &mut self,
        token: u64,
        sent_at: Time,
        page: Page<Value>,
        context: &RecoveryContext,
    ) -> PageOutcome {
        // The watch starts from the revision of the first page, so it shows all later changes.
        if self.recovery.start_revision.is_none() {
            self.recovery.start_revision = Some(page.revision);
            self.leadership.authority.record_read(sent_at);
        }
        let mut outcome = PageOutcome::default();
        for item in page.items {
            self.recover_item(item, context, &mut outcome);
        }
        if !page.more {
            self.recovery.cursor = None;
            match self.recovery.phase.next() {
                Some(phase) => self.recovery.phase = phase,
                None => self.finish_recovery(token, page.revision, context),
            }
        }
        outcome
    }

    fn recover_item(&mut self, item: Item<Value>, context: &RecoveryContext, outcome: &mut PageOutcome) {
        let Item { key, value, version } = item;
        self.recovery.cursor = Some(key.clone());
        match value {
            Value::SpecChunk(text) => self.recovery.spec_chunks.add(&key, text),
            Value::Undecodable => self.recover_undecodable(&key, context, outcome),
            Value::Job(record) => self.recover_job(&key, record, version, context, outcome),
            Value::Page(record) => self.recover_page(key, &record, version, context.now),
            Value::Terminal(record) => self.recover_cancellation_mark(key, record, version, outcome),
            Value::Images(record) => self.recover_cached_images(&key, record, version, context.now),
            Value::Leader(_) | Value::Types(_) | Value::Format(_) => {}
        }
    }

    fn recover_undecodable(&mut self, key: &str, context: &RecoveryContext, outcome: &mut PageOutcome) {
        let job = self.quarantine_undecodable(key, context.unreported_until);
        if let Some(job) = job.filter(Job::is_final) {
            let terminal = terminal_record(job.status, job.done_count, job.submitted_wall_s);
            outcome.terminal_states.push((job.spec.id, terminal));
        }
    }

    fn recover_job(
        &mut self,
        key: &str,
        mut record: Box<JobRecord>,
        version: u64,
        context: &RecoveryContext,
        outcome: &mut PageOutcome,
    ) {
        let spec_complete = self.recovery.spec_chunks.complete(&mut record);
        if !spec_complete && !record.status.is_final() {
            // Jobs submitted since the start of recovery appear in the watch, and their chunks are
            // read then.
            if self.recovery.start_revision.is_none_or(|start_revision| version <= start_revision) {
                self.undecodable.record(key);
            }
            return;
        }
        let submitted_at = context.submitted_at(&record);
        if context.now - submitted_at < MAX_IMAGE_AGE_S {
            self.recover_images_of_job(&record, submitted_at);
        }
        if is_settled(&record) {
            outcome.terminal_jobs.push(terminal_job(&record.spec.id, &record, version));
            return;
        }
        if record.dependencies().is_empty() {
            outcome.arrivals.push(JobArrival { spec: record.spec.clone(), submitted_at });
        }
        self.cluster.insert_job(Job::from_record(&record, version, submitted_at, &context.store_limits));
    }

    /// Records that the machines that ran a job's tasks hold its image.
    fn recover_images_of_job(&mut self, record: &JobRecord, submitted_at: Time) {
        let image = self.cluster.image_id(&record.spec.image);
        for machine in &record.machines_with_image {
            let images = self.cluster.cached_images.entry(machine.clone()).or_default();
            images.push((image, submitted_at, record.spec.image_gb));
        }
    }

    fn recover_page(&mut self, key: String, record: &PageRecord, version: u64, now: Time) {
        let Some((id, number, layout)) = parse_page_key(&key) else { return };
        if self.undecodable.contains_job(id) {
            return;
        }
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            let id = id.to_string();
            self.recovery.orphaned_pages.entry(id).or_default().push(key);
            return;
        };
        job.load_page(number, layout, record, version, now);
    }

    fn recover_cancellation_mark(
        &mut self,
        key: String,
        terminal: TerminalRecord,
        version: u64,
        outcome: &mut PageOutcome,
    ) {
        let Some(id) = key.strip_prefix(MARK_PREFIX) else { return };
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            self.archive.discard_keys(vec![key]);
            return;
        };
        job.on_cancellation_mark(version);
        outcome.terminal_states.push((id.to_string(), terminal));
    }

    /// Restores an earlier leader's knowledge of the images cached on the machines.
    fn recover_cached_images(&mut self, key: &str, record: ImagesRecord, version: u64, now: Time) {
        self.cluster.load_cached_images(&record, now);
        if let Some(Ok(part)) = key.strip_prefix(IMAGES_PREFIX).map(str::parse) {
            self.archive.record_stored_images(part, record, version);
        }
    }

    fn finish_recovery(&mut self, token: u64, last_revision: u64, context: &RecoveryContext) {
        self.recovery.finished = true;
        self.leadership.authority.record_applied();
        self.assign_orphaned_pages();
        let chunks = std::mem::take(&mut self.recovery.spec_chunks);
        self.archive.discard_keys(chunks.abandoned_keys(context.chunks_abandoned_before));
        self.watch.revision = Some(self.recovery.start_revision.unwrap_or(last_revision));
        let placed: usize = self.cluster.jobs.values().map(|job| job.placements.len()).sum();
        info!(token, jobs = self.cluster.jobs.len(), placed, "recovery finished");
    }

    /// Schedules the deletion of pages whose jobs are not live: together with their terminal job, or
    /// separately if that job's record has already been archived. A job of which only pages are left
    /// must not be treated as done, or its dependents would start.
    fn assign_orphaned_pages(&mut self) {
        for (id, keys) in std::mem::take(&mut self.recovery.orphaned_pages) {
            match self.archive.waiting.get_mut(&id) {
                Some(terminal_job) => terminal_job.keys.extend(keys),
                None => self.archive.discard_keys(keys),
            }
        }
    }
}

/// Whether a job is terminal and certainly has no placements, neither in its record nor on other pages.
fn is_settled(record: &JobRecord) -> bool {
    let one_page = record.spec.tasks <= record.per_page.max(MIN_TASKS_PER_PAGE);
    record.status.is_final() && record.first_page.placements.is_empty() && one_page
}

impl Controller {
    /// Reads the next page of records if one is due.
    pub(super) fn tick_recovery(&mut self, token: u64) {
        let now = self.now;
        let Some(leader) = self.leader_state(token) else { return };
        let recovery = &mut leader.recovery;
        if recovery.finished || recovery.read_in_flight || now < recovery.retry_at {
            return;
        }
        recovery.read_in_flight = true;
        let request = StoreRequest::List {
            prefix: recovery.phase.prefix().to_string(),
            after: recovery.cursor.clone(),
        };
        self.call_store(CallContext::RecoveryPage { token, sent: now }, request);
    }

    /// Handles the reply to a read of records that was sent at `sent_at`.
    pub(crate) fn on_recovery_page(&mut self, token: u64, sent_at: Time, reply: StoreReply) {
        let context = self.recovery_context();
        let retry_at = self.store_retry_at();
        let Some(leader) = self.leader_state(token) else { return };
        leader.recovery.read_in_flight = false;
        let StoreReply::Page(page) = reply else {
            leader.recovery.retry_at = retry_at;
            return;
        };
        let outcome = leader.recover_records(token, sent_at, page, &context);
        self.apply_page_outcome(token, outcome);
    }

    fn recovery_context(&self) -> RecoveryContext {
        RecoveryContext {
            now: self.now,
            wall_time_s: self.wall_time_s,
            store_limits: self.store_limits.clone(),
            unreported_until: self.unreported_work_expiry(),
            chunks_abandoned_before: self.wall_time_s - self.timing.abandoned_submission_s,
        }
    }

    fn apply_page_outcome(&mut self, token: u64, outcome: PageOutcome) {
        let PageOutcome { terminal_jobs, terminal_states, mut arrivals } = outcome;
        for (id, terminal) in terminal_states {
            self.terminal_states.insert(&id, terminal.status, terminal.done);
        }
        for terminal_job in terminal_jobs {
            let terminal = &terminal_job.record;
            self.terminal_states.insert(&terminal_job.id, terminal.status, terminal.done);
            self.archive_job(terminal_job);
        }
        if self.is_recovered_leader(token) {
            self.settle_all_terminal();
            self.build_graph();
        }
        arrivals.sort_by(|a, b| a.submitted_at.total_cmp(&b.submitted_at));
        for arrival in arrivals {
            self.record_arrival(&arrival.spec, arrival.submitted_at);
        }
        self.register_machines_of_placements();
        if self.is_recovered_leader(token) {
            self.process_early_heartbeats();
        }
    }

    fn is_recovered_leader(&mut self, token: u64) -> bool {
        self.leader_state(token).is_some_and(|leader| leader.recovery.finished)
    }
}
