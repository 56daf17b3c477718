//! The transactions that move terminal jobs and delete stale keys.

use super::{Archive, TerminalJob};
use crate::leader::state::Role;
use crate::messages::Time;
use crate::model::job::Job;
use crate::model::records::{job_key, terminal_job_key, Value};
use crate::storage::fencing::{is_fenced, leader_compare, LEADERSHIP_LOST};
use crate::storage::write_queue::LEADER_WRITE_SHARE;
use crate::{CallContext, Controller, RateLimiter, StoreReply, StoreRequest};
use protocol::state::{Compare, Mutation, Transaction};
use tracing::debug;

/// Part of the store's write rate that moves may use, beside those of jobs that
/// end just then; and only while the leader has half of its own rate to spare.
const ARCHIVE_WRITES: f64 = 0.125;
/// Mutations that move a record: a deletion and a put. Fewer than these are not worth a transaction.
const RECORD_MUTATIONS: usize = 2;
/// Retries of a failed move in a renewal interval of the lease.
const RETRIES_PER_RENEWAL_INTERVAL: f64 = 4.0;

/// Mutations that move a job to the terminal ones.
pub struct ArchiveMove {
    /// The conditions under which it moves.
    pub compares: Vec<Compare>,
    /// Deletions of its other keys, and the move of its record if there is room for it.
    pub mutations: Vec<Mutation<Value>>,
    /// Other keys that are left to a later transaction.
    remaining_keys: Vec<String>,
}

impl ArchiveMove {
    /// Moves a job in at most `max_mutations`; of one that takes more, deletes other keys first.
    fn new(job: &TerminalJob, max_mutations: usize) -> Self {
        let now_deleted = job.keys.len().min(max_mutations);
        let (deleted_keys, remaining_keys) = job.keys.split_at(now_deleted);
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

    /// Moves a live job that has just ended, whole.
    pub fn of_live_job(job: &Job) -> Self {
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

    /// The mutations that moves may use now.
    fn available_mutations(&mut self, now: Time, write_rps: f64) -> f64 {
        let budget = self.budget.get_or_insert_with(|| RateLimiter::new(write_rps * ARCHIVE_WRITES));
        budget.available_at(now)
    }

    fn spend(&mut self, now: Time, mutations: f64) {
        if let Some(budget) = &mut self.budget {
            budget.try_acquire(now, mutations);
        }
    }

    /// Takes stale keys, up to half of the mutations, and waiting jobs into a transaction, which is
    /// in flight from now on.
    fn begin_move(&mut self, fencing_token: u64, max_mutations: usize) -> Transaction<Value> {
        let mut txn = Transaction { compares: vec![leader_compare(fencing_token)], mutations: Vec::new() };
        let kept = self.stale_keys.len().saturating_sub(max_mutations / 2);
        // Without conditions: deleting twice does no harm.
        self.deleting = self.stale_keys.split_off(kept);
        txn.mutations.extend(self.deleting.iter().map(|key| Mutation::Delete { key: key.clone() }));
        self.in_flight = Some(self.take_jobs(&mut txn, max_mutations));
        txn
    }

    /// Adds waiting jobs to `txn`. Returns those that it moves whole; one with more keys than fit
    /// takes several transactions.
    fn take_jobs(&mut self, txn: &mut Transaction<Value>, max_mutations: usize) -> Vec<TerminalJob> {
        let mut moving = Vec::new();
        while let Some((id, mut job)) = self.waiting.pop_first() {
            let room = max_mutations - txn.mutations.len();
            let fits = job.keys.len() + RECORD_MUTATIONS <= room;
            if !fits && !txn.mutations.is_empty() {
                self.waiting.insert(id, job);
                break;
            }
            let archive_move = ArchiveMove::new(&job, room);
            txn.compares.extend(archive_move.compares);
            txn.mutations.extend(archive_move.mutations);
            if !fits {
                job.keys = archive_move.remaining_keys;
                self.waiting.insert(id, job);
                break;
            }
            moving.push(job);
            if txn.mutations.len() + RECORD_MUTATIONS > max_mutations {
                break;
            }
        }
        moving
    }

    fn wait_again(&mut self, jobs: impl Iterator<Item = TerminalJob>) {
        self.waiting.extend(jobs.map(|job| (job.id.clone(), job)));
    }
}

impl Controller {
    /// Sends the next moves, if any are due and the write rate has room.
    pub(super) fn tick_archive_moves(&mut self) {
        let now = self.now;
        let max_mutations = self.store_limits.mutations() as f64;
        let write_rps = self.store_limits.write_rps();
        let Role::Leader(leader) = &mut self.role else { return };
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
        leader.archive.spend(now, spent);
        leader_budget.try_acquire(now, spent);
        self.call_store(CallContext::ArchiveMove { token }, StoreRequest::Commit(txn));
    }

    /// The reply to a transaction that moves jobs.
    pub(crate) fn on_archive_move_reply(&mut self, token: u64, reply: StoreReply) {
        let retry_at = self.now + self.timing.renewal_interval_s / RETRIES_PER_RENEWAL_INTERVAL;
        let Some(leader) = self.leader_state(token) else { return };
        let archive = &mut leader.archive;
        let moving = archive.in_flight.take().unwrap_or_default();
        let deleting = std::mem::take(&mut archive.deleting);
        // (Chunks whose deletion got no reply once stayed until the next failover.)
        if !matches!(reply, StoreReply::Committed(_)) {
            archive.stale_keys.extend(deleting);
        }
        match reply {
            StoreReply::Committed(_) => debug!(jobs = moving.len(), "terminal jobs archived"),
            StoreReply::Conflict(conflict) if is_fenced(&conflict) => self.step_down(LEADERSHIP_LOST),
            // The failed ones were moved by an attempt whose reply was lost. If they were not,
            // the next leader sees that.
            StoreReply::Conflict(conflict) => {
                let unchanged = |job: &TerminalJob| !conflict.failed.contains(&job_key(&job.id));
                archive.wait_again(moving.into_iter().filter(unchanged));
            }
            // It may have been applied, or may be later: the versions show that the next time.
            _ => {
                archive.wait_again(moving.into_iter());
                archive.retry_at = retry_at;
            }
        }
    }
}
