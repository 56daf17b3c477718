//! Transactions that archive terminal jobs and delete stale keys.

use super::{Archive, MovesInFlight, PartialMove, RefusedMove, TerminalJob};
use crate::leader::state::Role;
use crate::messages::Time;
use crate::model::job::Job;
use crate::model::records::{job_key, terminal_job_key, Value};
use crate::storage::fencing::{is_fenced, leader_compare, LEADERSHIP_LOST};
use crate::storage::write_queue::LEADER_WRITE_SHARE;
use crate::{CallContext, Controller, RateLimiter, StoreReply, StoreRequest};
use protocol::state::{Compare, Mutation, Transaction};
use tracing::{debug, warn};

/// Fraction of the store's write rate available to archive moves, not counting jobs that are
/// archived by the write that ends them. Moves are made only while the leader has more than half of
/// its own rate available.
const ARCHIVE_WRITE_SHARE: f64 = 0.125;
/// Number of mutations that move a record: a deletion and a put. No transaction is sent
/// while fewer are allowed.
const RECORD_MUTATIONS: usize = 2;

/// Conditions and mutations that archive a job, or delete some of its keys.
pub struct ArchiveMove {
    /// Conditions of the move.
    pub compares: Vec<Compare>,
    /// Deletions of the job's other keys, and the move of its record if it fits.
    pub mutations: Vec<Mutation<Value>>,
    /// Other keys left for a later transaction.
    remaining_keys: Vec<String>,
}

impl ArchiveMove {
    /// Creates the move of a job in at most `max_mutations` mutations. If it needs more, the job's
    /// other keys are deleted first.
    fn new(job: &TerminalJob, max_mutations: usize) -> Self {
        let deleted_count = job.keys.len().min(max_mutations);
        let (deleted_keys, remaining_keys) = job.keys.split_at(deleted_count);
        let mut mutations: Vec<Mutation<Value>> =
            deleted_keys.iter().map(|key| Mutation::Delete { key: key.clone() }).collect();
        let mut compares = Vec::new();
        if mutations.len() + RECORD_MUTATIONS <= max_mutations {
            let key = job_key(&job.id);
            compares.push(Compare { key: key.clone(), version: job.version });
            mutations.push(Mutation::Delete { key });
            let value = Value::Terminal(job.record.clone());
            mutations.push(Mutation::Put { key: terminal_job_key(&job.id), value, lease: None });
        }
        ArchiveMove { compares, mutations, remaining_keys: remaining_keys.to_vec() }
    }

    /// Creates the complete move of a live job that has just ended.
    pub fn for_live_job(job: &Job) -> Self {
        let mut archive_move = ArchiveMove::new(&TerminalJob::from_job(job), usize::MAX);
        archive_move.compares.extend(job.cancellation_mark.compare(&job.spec.id));
        archive_move
    }
}

impl Archive {
    fn is_move_due(&self, now: Time) -> bool {
        let is_idle = self.waiting.is_empty() && self.stale_keys.is_empty();
        self.is_enabled() && self.in_flight.is_none() && !is_idle && now >= self.retry_at
    }

    /// Returns the number of mutations that archive moves may use at `now`.
    fn available_mutations(&mut self, now: Time, write_rps: f64) -> f64 {
        let budget = self.budget.get_or_insert_with(|| RateLimiter::new(write_rps * ARCHIVE_WRITE_SHARE));
        budget.available_at(now)
    }

    fn consume_budget(&mut self, now: Time, mutations: f64) {
        if let Some(budget) = &mut self.budget {
            budget.try_acquire(now, mutations);
        }
    }

    /// Returns a transaction that deletes stale keys, with up to half of the mutations, and moves
    /// waiting jobs. Records it as in flight.
    fn begin_move(&mut self, fencing_token: u64, max_mutations: usize) -> Transaction<Value> {
        let mut txn = Transaction { compares: vec![leader_compare(fencing_token)], mutations: Vec::new() };
        if self.moves_to_isolate > 0 {
            self.begin_single_move(&mut txn, max_mutations);
            return txn;
        }
        let remaining = self.stale_keys.len().saturating_sub(max_mutations / 2);
        // The deletions need no conditions, since they are idempotent.
        self.deleting = self.stale_keys.split_off(remaining);
        txn.mutations.extend(self.deleting.iter().map(|key| Mutation::Delete { key: key.clone() }));
        self.in_flight = Some(self.add_waiting_jobs(&mut txn, max_mutations));
        txn
    }

    /// Adds the deletion of one stale key or the move of one job to `txn`. Records it as in flight.
    fn begin_single_move(&mut self, txn: &mut Transaction<Value>, max_mutations: usize) {
        self.moves_to_isolate -= 1;
        self.deleting = self.stale_keys.pop().into_iter().collect();
        txn.mutations.extend(self.deleting.iter().map(|key| Mutation::Delete { key: key.clone() }));
        let mut moves = MovesInFlight::default();
        if self.deleting.is_empty() {
            if let Some((_, job)) = self.waiting.pop_first() {
                add_move(txn, job, max_mutations, &mut moves);
            }
        }
        self.in_flight = Some(moves);
    }

    /// Handles a transaction that the store rejected as invalid. Its parts are then tried one at a
    /// time. A part that is rejected by itself is set aside, so that it holds up no other.
    fn on_move_invalid(&mut self, moves: MovesInFlight, deleting: Vec<String>, retry_at: Time) {
        let jobs = moves.into_jobs();
        if jobs.len() + deleting.len() > 1 {
            self.moves_to_isolate = jobs.len() + deleting.len();
            self.requeue(jobs);
            self.stale_keys.extend(deleting);
            return;
        }
        warn!(?jobs, keys = ?deleting, "state service refused a move to the archive");
        self.refused.extend(jobs.into_iter().map(|job| RefusedMove { job, retry_at }));
    }

    /// Queues the refused moves that are due again.
    fn requeue_refused(&mut self, now: Time) {
        let (due, later) =
            std::mem::take(&mut self.refused).into_iter().partition(|refused| now >= refused.retry_at);
        self.refused = later;
        let due: Vec<RefusedMove> = due;
        self.requeue(due.into_iter().map(|refused| refused.job));
    }

    /// Adds waiting jobs to `txn`; a job with more keys than fit takes several transactions.
    fn add_waiting_jobs(&mut self, txn: &mut Transaction<Value>, max_mutations: usize) -> MovesInFlight {
        let mut moves = MovesInFlight::default();
        while let Some((id, job)) = self.waiting.pop_first() {
            let fits = job.keys.len() + RECORD_MUTATIONS <= max_mutations - txn.mutations.len();
            if !fits && !txn.mutations.is_empty() {
                self.waiting.insert(id, job);
                break;
            }
            add_move(txn, job, max_mutations, &mut moves);
            if !fits || txn.mutations.len() + RECORD_MUTATIONS > max_mutations {
                break;
            }
        }
        moves
    }

    fn requeue(&mut self, jobs: impl IntoIterator<Item = TerminalJob>) {
        self.waiting.extend(jobs.into_iter().map(|job| (job.id.clone(), job)));
    }
}

/// Adds the move of a job to `txn`, as far as it fits.
fn add_move(txn: &mut Transaction<Value>, job: TerminalJob, max_mutations: usize, moves: &mut MovesInFlight) {
    let room = max_mutations - txn.mutations.len();
    let ArchiveMove { compares, mutations, remaining_keys } = ArchiveMove::new(&job, room);
    txn.compares.extend(compares);
    txn.mutations.extend(mutations);
    if job.keys.len() + RECORD_MUTATIONS <= room {
        moves.complete.push(job);
    } else {
        moves.partial = Some(PartialMove { job, remaining_keys });
    }
}

impl Controller {
    /// Sends the next archive moves if they are due and the write rate allows it.
    pub(super) fn tick_archive_moves(&mut self) {
        let now = self.now;
        let max_mutations = self.store_limits.mutations() as f64;
        let write_rps = self.store_limits.write_rps();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.archive.requeue_refused(now);
        if !leader.archive.is_move_due(now) {
            return;
        }
        let token = leader.fencing_token;
        let leader_rate = write_rps * LEADER_WRITE_SHARE;
        let leader_budget = leader.fleet.write_budget(leader_rate);
        let spare = leader_budget.available_at(now) - leader_rate / 2.0;
        let available = leader.archive.available_mutations(now, write_rps);
        let allowed = available.min(spare).min(max_mutations) as usize;
        if allowed < RECORD_MUTATIONS {
            return;
        }
        let txn = leader.archive.begin_move(token, allowed);
        let spent = txn.mutations.len() as f64;
        leader.archive.consume_budget(now, spent);
        leader_budget.try_acquire(now, spent);
        self.call_store(CallContext::ArchiveMove { token }, StoreRequest::Commit(txn));
    }

    /// Handles the reply to a transaction that archives jobs.
    pub(crate) fn on_archive_move_reply(&mut self, token: u64, reply: StoreReply) {
        let retry_at = self.store_retry_at();
        let refused_retry_at = self.now + self.settings.params.workers.lease_s;
        let Some(leader) = self.leader_state(token) else { return };
        let archive = &mut leader.archive;
        let moves = archive.in_flight.take().unwrap_or_default();
        let deleting = std::mem::take(&mut archive.deleting);
        if matches!(reply, StoreReply::Invalid) {
            return archive.on_move_invalid(moves, deleting, refused_retry_at);
        }
        // Deletions without a confirmed outcome are repeated. Otherwise the keys, such as spec chunks,
        // would remain until the next failover.
        if !matches!(reply, StoreReply::Committed(_)) {
            archive.stale_keys.extend(deleting);
        }
        match reply {
            StoreReply::Committed(_) => {
                debug!(jobs = moves.complete.len(), "terminal jobs archived");
                let partial = moves.partial;
                archive.requeue(
                    partial.map(|PartialMove { job, remaining_keys }| TerminalJob {
                        keys: remaining_keys,
                        ..job
                    }),
                );
            }
            StoreReply::Conflict(conflict) if is_fenced(&conflict) => self.step_down(LEADERSHIP_LOST),
            // Jobs whose condition failed were moved by an earlier attempt whose reply was lost. If
            // they were not, the next leader reads and archives them.
            StoreReply::Conflict(conflict) => {
                let unchanged = |job: &TerminalJob| !conflict.failed.contains(&job_key(&job.id));
                let (unchanged_jobs, moved): (Vec<TerminalJob>, Vec<TerminalJob>) =
                    moves.into_jobs().into_iter().partition(unchanged);
                archive.requeue(unchanged_jobs);
                if moved.is_empty() {
                    archive.retry_at = retry_at;
                }
            }
            // The transaction may have been applied, or may still be. The version conditions of
            // the next transaction reveal it.
            _ => {
                archive.requeue(moves.into_jobs());
                archive.retry_at = retry_at;
            }
        }
    }
}
