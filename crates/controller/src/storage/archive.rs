//! What is over moves out of the way, so that a takeover reads live work only;
//! and what a new leader could no longer learn from it is kept in short.
//!
//! A job is under `j/` while it runs and under `jo/` once it is over; one
//! transaction moves it, so at every revision it is in exactly one place. It
//! never moves back and what is over is never deleted. A node that misses it under
//! `j/` and then under `jo/`, in this order, knows that it did not exist at the
//! first read.

use crate::leader::state::Role;
use crate::model::job::Job;
use crate::model::records::*;
use crate::{CallContext, Controller, RateLimiter, StoreReply, StoreRequest, Time};
use protocol::job::JobStatus;
use protocol::state::{Compare, Item, Mutation, Transaction};
use std::collections::BTreeMap;
use tracing::{debug, info};

/// A job that is over and still lies among those that run.
#[derive(Debug, Clone, PartialEq)]
pub struct TerminalJob {
    pub id: String,
    pub version: u64,
    pub record: TerminalRecord,
    /// Pages and whatever else of it is stored.
    pub keys: Vec<String>,
}

/// Jobs whose record has left those that run, with a revision as of which it was gone: what the
/// watch shows of them from before is over. No record comes back.
#[derive(Default)]
pub struct ArchivedJobs {
    archived_at: BTreeMap<String, u64>,
}

impl ArchivedJobs {
    pub fn record(&mut self, id: &str, revision: u64) {
        self.archived_at.insert(id.to_string(), revision);
    }

    /// Whether a record of job `id` in that version is over.
    pub fn covers(&self, id: &str, version: u64) -> bool {
        self.archived_at.get(id).is_some_and(|gone_at| version <= *gone_at)
    }

    /// The watch has shown all up to `revision`, and all of that was carried out.
    pub fn forget_until(&mut self, revision: u64) {
        self.archived_at.retain(|_, gone_at| *gone_at > revision);
    }
}

#[derive(Default)]
pub struct Archive {
    /// The format that every node reads, and the version of its key; None: not known yet.
    format: Option<(u32, u64)>,
    format_in_flight: bool,
    format_check_at: Time,
    /// What has yet to move, by id.
    pub waiting: BTreeMap<String, TerminalJob>,
    /// What stays as long as a live job's record names it: the next leader has to learn
    /// how it ended without a read for each.
    pub held_for_dependents: BTreeMap<String, TerminalJob>,
    pub archived: ArchivedJobs,
    /// Keys of layouts that count no more.
    stale_keys: Vec<String>,
    /// Those of them that are being deleted.
    deleting: Vec<String>,
    /// A transaction on its way, with what it moves.
    in_flight: Option<Vec<TerminalJob>>,
    retry_at: Time,
    budget: Option<RateLimiter>,
    /// Parts of the machines' images as last stored, and when to look again.
    images: BTreeMap<usize, (ImagesRecord, u64)>,
    images_at: Time,
    images_in_flight: Option<(usize, ImagesRecord)>,
}

/// Part of the state service's rate of changes that moving takes at most, beyond
/// what ends anyway; and only while the leader has half of its own to spare.
const MOVES: f64 = 0.125;
/// Images that are remembered of a machine, parts of them in all, and parts that are written
/// in a worker's lease.
const IMAGES_EACH: usize = 6;
const MOST_PARTS: usize = 1024;
const PARTS_A_LEASE: usize = 64;

impl Archive {
    /// Whether jobs that end may move at once.
    pub fn is_enabled(&self) -> bool {
        self.format.is_some_and(|(f, _)| f >= FORMAT_MOVES)
    }

    /// Whether every node is known to read what this version writes.
    pub fn supports_current_format(&self) -> bool {
        self.format.is_some_and(|(f, _)| f >= FORMAT)
    }

    /// Keys that nobody reads any more.
    pub fn discard_keys(&mut self, keys: Vec<String>) {
        self.stale_keys.extend(keys);
    }

    /// A live job's record names it.
    pub fn hold(&mut self, id: &str) {
        if let Some(f) = self.waiting.remove(id) {
            self.held_for_dependents.insert(f.id.clone(), f);
        }
    }

    /// Nobody's record names that job any more.
    pub fn release(&mut self, id: &str) {
        if let Some(f) = self.held_for_dependents.remove(id) {
            self.waiting.insert(f.id.clone(), f);
        }
    }

    /// How a job ended whose record still lies among those that run.
    pub fn terminal_status(&self, id: &str) -> Option<JobStatus> {
        self.held_for_dependents.get(id).or_else(|| self.waiting.get(id)).map(|f| f.record.status)
    }

    /// What an earlier leader stored of the machines' images.
    pub fn read_images(&mut self, part: usize, record: ImagesRecord, version: u64) {
        self.images.insert(part, (record, version));
    }
}

/// The changes that move `f`; its other keys go first if there are more than `most`.
fn moves(terminal_job: &TerminalJob, most: usize) -> (Vec<Compare>, Vec<Mutation<Value>>, Vec<String>) {
    let mut changes: Vec<Mutation<Value>> =
        terminal_job.keys.iter().take(most).map(|key| Mutation::Delete { key: key.clone() }).collect();
    let left: Vec<String> = terminal_job.keys.iter().skip(most).cloned().collect();
    let mut conditions = Vec::new();
    if changes.len() + 2 <= most {
        let (key, over) = (job_key(&terminal_job.id), over_key(&terminal_job.id));
        conditions.push(Compare { key: key.clone(), version: terminal_job.version });
        changes.push(Mutation::Delete { key });
        changes.push(Mutation::Put {
            key: over,
            value: Value::Terminal(terminal_job.record.clone()),
            lease: None,
        });
    }
    (conditions, changes, left)
}

/// A part's worth of machines and what they hold, in JSON at most about
/// `room` bytes each.
fn parts(held: &[(String, Vec<(String, f64)>)], room: usize) -> Vec<ImagesRecord> {
    let mut parts: Vec<ImagesRecord> = Vec::new();
    let mut size = usize::MAX;
    for (machine, images) in held {
        let most = machine.len() + 8 + images.iter().map(|(n, _)| n.len() + 24).sum::<usize>();
        if size.saturating_add(most) > room {
            parts.push(ImagesRecord::default());
            size = 0;
        }
        let Some(part) = parts.last_mut() else { continue };
        let mut places = Vec::new();
        for (name, gb) in images {
            let at = part.images.iter().position(|(n, _)| n == name).unwrap_or_else(|| {
                size += name.len() + 16;
                part.images.push((name.clone(), *gb));
                part.images.len() - 1
            });
            places.push(at as u32);
        }
        size += machine.len() + 8 + places.len() * 4;
        part.machines.push((machine.clone(), places));
    }
    parts
}

impl Controller {
    /// Moves what is over and stores what machines hold, as far as there is time.
    pub(crate) fn tick_archive(&mut self) {
        if !self.may_act() {
            return;
        }
        self.agree_on_format();
        self.tick_archive_moves();
        self.store_images();
    }

    /// A new format is used once every node has said that it reads it, or what was asked
    /// of the service shows that it does; that is stored, and holds from then on.
    fn agree_on_format(&mut self) {
        let (now, renew_s) = (self.now, self.timing.renewal_interval_s);
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        if leader.archive.format_in_flight
            || leader.archive.supports_current_format()
            || now < leader.archive.format_check_at
        {
            return;
        }
        leader.archive.format_check_at = now + renew_s;
        let reads = self.formats.common_format(&self.settings.peers);
        match leader.archive.format {
            None => {
                leader.archive.format_in_flight = true;
                self.call_store(CallContext::FormatRead { token }, StoreRequest::Get(FORMAT_KEY.to_string()));
            }
            Some((format, version)) if reads > format => {
                leader.archive.format_in_flight = true;
                let leads = Compare { key: LEADER_KEY.to_string(), version: token };
                let new = Compare { key: FORMAT_KEY.to_string(), version };
                let value = Value::Format(reads);
                let put = Mutation::Put { key: FORMAT_KEY.to_string(), value, lease: None };
                let txn = Transaction { compares: vec![leads, new], mutations: vec![put] };
                self.call_store(CallContext::FormatWrite { token, format: reads }, StoreRequest::Commit(txn));
            }
            Some(_) => {}
        }
    }

    pub(crate) fn on_format_read(&mut self, token: u64, reply: StoreReply) {
        let Some(leader) = self.leader_state(token) else { return };
        leader.archive.format_in_flight = false;
        match reply {
            StoreReply::Item(Item { value: Value::Format(f), version, .. }) => {
                leader.archive.format = Some((f, version));
                if f >= FORMAT {
                    self.formats.confirm();
                }
            }
            StoreReply::Missing(_) => leader.archive.format = Some((0, 0)),
            _ => {}
        }
    }

    /// Looks whether the gate is open, until it is known that every node has this version.
    pub(crate) fn tick_format_gate(&mut self) {
        if !self.uses_current_format() && self.formats.gate.begin(self.now, self.timing.renewal_interval_s) {
            self.call_store(CallContext::FormatGateRead, StoreRequest::Get(FORMAT_KEY.to_string()));
        }
    }

    pub(crate) fn on_format_gate_read(&mut self, reply: StoreReply) {
        self.formats.gate.end(matches!(reply, StoreReply::Item(_) | StoreReply::Missing(_)));
        if matches!(reply, StoreReply::Item(Item { value: Value::Format(f), .. }) if f >= FORMAT) {
            self.formats.confirm();
        }
    }

    pub(crate) fn on_format_write(&mut self, token: u64, format: u32, reply: StoreReply) {
        let Some(leader) = self.leader_state(token) else { return };
        leader.archive.format_in_flight = false;
        if let StoreReply::Committed(revision) = reply {
            info!(format, "record format activated: all nodes can read it");
            leader.archive.format = Some((format, revision));
        } else {
            leader.archive.format = None;
        }
    }

    /// `job` is over, its record stored under `j/` in that version.
    pub(crate) fn archive_job(&mut self, terminal_job: TerminalJob) {
        if let Role::Leader(leader) = &mut self.role {
            let place = if leader.dependencies.graph.has_dependents(&terminal_job.id) {
                &mut leader.archive.held_for_dependents
            } else {
                &mut leader.archive.waiting
            };
            place.entry(terminal_job.id.clone()).or_insert(terminal_job);
        }
    }

    /// Its record has left those that run: it is over, and nothing is left of it.
    pub(crate) fn on_job_archived(&mut self, id: &str, revision: u64) {
        self.log_job_finished(id);
        let Role::Leader(leader) = &mut self.role else { return };
        leader.archive.archived.record(id, revision);
        if let Some(job) = leader.cluster.jobs.remove(id) {
            self.terminal_states.insert(id, job.status, job.done_count);
        }
    }

    fn tick_archive_moves(&mut self) {
        let now = self.now;
        let most = self.store_limits.mutations();
        let all = self.store_limits.write_rps();
        let Role::Leader(leader) = &mut self.role else { return };
        let (token, rate) = (leader.fencing_token, all * crate::storage::write_queue::LEADER_WRITES);
        let archive = &mut leader.archive;
        let nothing = archive.waiting.is_empty() && archive.stale_keys.is_empty();
        if !archive.is_enabled() || archive.in_flight.is_some() || nothing || now < archive.retry_at {
            return;
        }
        let own = archive.budget.get_or_insert_with(|| RateLimiter::new(all * MOVES));
        let shared = leader.fleet.write_budget(rate);
        let allowed =
            own.available_at(now).min(shared.available_at(now) - rate / 2.0).min(most as f64) as usize;
        if allowed < 2 {
            return;
        }
        let leads = Compare { key: LEADER_KEY.to_string(), version: token };
        let mut txn = Transaction { compares: vec![leads], mutations: Vec::new() };
        let mut moving = Vec::new();
        // Deleting twice does no harm.
        archive.deleting = archive.stale_keys.split_off(archive.stale_keys.len().saturating_sub(allowed / 2));
        txn.mutations.extend(archive.deleting.iter().map(|key| Mutation::Delete { key: key.clone() }));
        while let Some((id, mut f)) = archive.waiting.pop_first() {
            let room = allowed - txn.mutations.len();
            // A job with more pages than that takes several transactions.
            let whole = f.keys.len() + 2 <= room;
            if !whole && !txn.mutations.is_empty() {
                archive.waiting.insert(id, f);
                break;
            }
            let (conditions, changes, left) = moves(&f, room);
            txn.compares.extend(conditions);
            txn.mutations.extend(changes);
            if !whole {
                f.keys = left;
                archive.waiting.insert(id, f);
                break;
            }
            moving.push(f);
            if txn.mutations.len() + 2 > allowed {
                break;
            }
        }
        let n = txn.mutations.len() as f64;
        own.try_acquire(now, n);
        shared.try_acquire(now, n);
        archive.in_flight = Some(moving);
        self.call_store(CallContext::ArchiveMove { token }, StoreRequest::Commit(txn));
    }

    pub(crate) fn on_archive_moved(&mut self, token: u64, reply: StoreReply) {
        let now = self.now;
        let retry = self.timing.renewal_interval_s / 4.0;
        let Some(leader) = self.leader_state(token) else { return };
        let moving = leader.archive.in_flight.take().unwrap_or_default();
        let deleting = std::mem::take(&mut leader.archive.deleting);
        // (Parts whose deletion got no answer once lay there until the next takeover.)
        if !matches!(reply, StoreReply::Committed(_)) {
            leader.archive.stale_keys.extend(deleting);
        }
        match reply {
            StoreReply::Committed(_) => debug!(jobs = moving.len(), "terminal jobs archived"),
            StoreReply::Conflict(c) if c.failed.iter().any(|k| k == LEADER_KEY) => {
                self.step_down("leader key is held by another node");
            }
            // Moved by an attempt whose reply was lost. What else may have become
            // of it the next takeover sees.
            StoreReply::Conflict(c) => {
                let again = moving.into_iter().filter(|f| !c.failed.contains(&job_key(&f.id)));
                leader.archive.waiting.extend(again.map(|f| (f.id.clone(), f)));
            }
            // Perhaps applied, perhaps later: the versions tell the next time.
            _ => {
                leader.archive.waiting.extend(moving.into_iter().map(|f| (f.id.clone(), f)));
                leader.archive.retry_at = now + retry;
            }
        }
    }

    /// Once a worker's lease the parts of the machines' images that differ from
    /// what is stored, one at a time.
    fn store_images(&mut self) {
        let now = self.now;
        let every = self.settings.params.workers.lease_s;
        let room = self.store_limits.value_bytes() * 3 / 4;
        let all = self.store_limits.write_rps();
        let Role::Leader(leader) = &mut self.role else { return };
        let (token, rate) = (leader.fencing_token, all * crate::storage::write_queue::LEADER_WRITES);
        let shared = leader.fleet.write_budget(rate);
        if !leader.archive.is_enabled()
            || leader.archive.images_in_flight.is_some()
            || now < leader.archive.images_at
        {
            return;
        }
        if shared.available_at(now) < rate / 2.0 {
            return;
        }
        let held = leader.cluster.images_held(IMAGES_EACH);
        let parts = parts(&held, room);
        let stored = &leader.archive.images;
        let differs = |(n, p): &(usize, ImagesRecord)| stored.get(n).map(|s| &s.0) != Some(p);
        let Some((n, part)) = parts.into_iter().enumerate().take(MOST_PARTS).find(differs) else {
            leader.archive.images_at = now + every;
            return;
        };
        leader.fleet.write_budget(rate).try_acquire(now, 1.0);
        let version = leader.archive.images.get(&n).map_or(0, |s| s.1);
        leader.archive.images_in_flight = Some((n, part.clone()));
        // Spread over the time until the next look.
        leader.archive.images_at = now + every / PARTS_A_LEASE as f64;
        let key = images_key(n);
        let leads = Compare { key: LEADER_KEY.to_string(), version: token };
        let conditions = vec![leads, Compare { key: key.clone(), version }];
        let put = Mutation::Put { key, value: Value::Images(part), lease: None };
        self.call_store(
            CallContext::ImagesWrite { token },
            StoreRequest::Commit(Transaction { compares: conditions, mutations: vec![put] }),
        );
    }

    pub(crate) fn on_images_write(&mut self, token: u64, reply: StoreReply) {
        let now = self.now;
        let every = self.settings.params.workers.lease_s;
        let Some(leader) = self.leader_state(token) else { return };
        let Some((n, part)) = leader.archive.images_in_flight.take() else { return };
        match reply {
            StoreReply::Committed(revision) => {
                leader.archive.images.insert(n, (part, revision));
            }
            StoreReply::Conflict(c) if c.failed.iter().any(|k| k == LEADER_KEY) => {
                self.step_down("leader key is held by another node");
            }
            // An earlier one may have been carried out without an answer. (The version known
            // here then failed for ever, and no other part had its turn.)
            StoreReply::Conflict(_) | StoreReply::Unknown => {
                leader.archive.images_at = now + every;
                let purpose = CallContext::ImagesRead { token, part: n };
                self.call_store(purpose, StoreRequest::Get(images_key(n)));
            }
            // It only helps the next leader.
            _ => leader.archive.images_at = now + every,
        }
    }

    /// A part of the machines' images as it is stored.
    pub(crate) fn on_images_read(&mut self, token: u64, part: usize, reply: StoreReply) {
        let Some(leader) = self.leader_state(token) else { return };
        if let StoreReply::Item(Item { value: Value::Images(record), version, .. }) = reply {
            leader.archive.read_images(part, record, version);
        }
    }
}

/// The changes that move a job which has just ended.
pub fn moved(job: &Job) -> (Vec<Compare>, Vec<Mutation<Value>>) {
    let (mut conditions, changes, _) = moves(&TerminalJob::from_job(job), usize::MAX);
    conditions.extend(job.mark_compare());
    (conditions, changes)
}

impl TerminalJob {
    pub fn from_job(job: &Job) -> Self {
        TerminalJob {
            id: job.spec.id.clone(),
            version: job.version,
            record: over_record(job.status, job.done_count, job.submitted_wall_s),
            keys: job.keys_beside_record(),
        }
    }
}

/// What is left of a job that is over.
pub fn over_record(status: JobStatus, done: u32, at: f64) -> TerminalRecord {
    TerminalRecord { status, done, submitted_wall_s: at }
}
