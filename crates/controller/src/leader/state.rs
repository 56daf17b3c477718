//! Who leads: one key under a short lease. The revision of the write that
//! created the key is the token of that leadership.

use crate::agents::heartbeat_queue::{HeartbeatQueue, ReplyRoute};
use crate::agents::pending_kills::PendingKills;
use crate::autoscaling::fleet::Fleet;
use crate::election::campaign::ElectionAttempt;
use crate::election::leadership::Leadership;
use crate::election::lease_authority::LeaseAuthority;
use crate::leader::recovery::Recovery;
use crate::model::cluster::ClusterState;
use crate::model::job::Job;
use crate::model::machine::MachinePhase;
use crate::model::records::*;

use crate::scheduling::job_dependencies::JobDependencies;
use crate::scheduling::planning_state::PlanningState;
use crate::storage::archive::{over_record, Archive, TerminalJob};
use crate::storage::undecodable::UndecodableRecords;
use crate::storage::write_queue::WriteQueue;
use crate::{CallContext, Controller, Output, StoreReply, StoreRequest, Time};
use protocol::job::{JobSpec, JobStatus};
use protocol::peer::ForwardReply;
use protocol::state::{Compare, Event, Item, Mutation, Transaction};
use protocol::worker::TaskState;
use rand::Rng;
use sharding::HeartbeatForwarding;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tracing::{debug, info, warn};

/// Older jobs tell nothing of a machine's images any more.
const REMEMBERED_S: f64 = 3600.0;

/// A watch on a prefix, kept open.
#[derive(Debug, Default, Clone)]
pub struct WatchCursor {
    pub in_flight: bool,
    /// Revision up to which everything was seen; None: read the keys first.
    /// (0 is a revision too: a fresh store's. Taking it for "unknown" once hid
    /// the first leader from the others.)
    pub revision: Option<u64>,
    pub retry_at: Time,
}

pub enum Role {
    Follower,
    Leader(Box<LeaderState>),
}

/// Starts of one node that took over from one another within a moment, after which others
/// get their chance: a process that ends soon after each start would lead for ever.
const MOST_AGAIN: u32 = 3;

/// This node's earlier start, while the leader key still names it. One process runs under
/// a node's name at a time, so that start is over: there is no need to wait for its
/// lease (`docs/returns.md` has the argument).
#[derive(Debug, Default)]
pub struct PreviousIncarnation {
    leader_key: Option<(u64, LeaderRecord)>,
}

impl PreviousIncarnation {
    /// The leader key as it was seen last, by its version.
    fn observe_leader(&mut self, own: &str, leader: Option<&(LeaderRecord, u64)>) {
        self.leader_key = leader.filter(|(l, _)| l.node == own).map(|(l, token)| (*token, l.clone()));
    }

    /// The version of the key to be replaced, and the count that the claim tells;
    /// None: its lease is waited for. `lasting`: who led for longer starts anew.
    fn succession(&self, wall: f64, lasting: Time) -> Option<(u64, u32)> {
        let (token, record) = self.leader_key.as_ref()?;
        let again = if wall - record.elected_wall_s > lasting { 0 } else { record.quick_restarts + 1 };
        (again <= MOST_AGAIN).then_some((*token, again))
    }
}

/// Since when this leader has been entitled to act, by its own clock. While it is not
/// it may answer reports and stop tasks for its grace, but judges no machine, plans
/// nothing and asks nothing of the cloud: another may lead. (Replaced leaders that the
/// state service did not reach once listed the cloud beside their successors for a
/// minute, and gave up hundreds of machines in their own books.)
#[derive(Debug, Default)]
pub struct LeadershipTenure {
    since: Option<Time>,
    /// It has been entitled before.
    was_entitled: bool,
}

impl LeadershipTenure {
    /// Looks whether it is entitled `now`; a line when that has changed.
    fn update(&mut self, now: Time, entitled: bool, token: u64) {
        match (entitled, self.since) {
            (true, None) => {
                if self.was_entitled {
                    info!(token, "leadership lease confirmed again, scheduling resumed");
                }
                (self.since, self.was_entitled) = (Some(now), true);
            }
            (false, Some(_)) => {
                warn!(token, "leadership lease not confirmed, scheduling suspended");
                self.since = None;
            }
            _ => {}
        }
    }

    /// When it was entitled last, and so could give work to machines.
    pub fn entitled_since(&self) -> Time {
        self.since.unwrap_or(Time::MAX)
    }

    /// How long it has been entitled without a gap.
    pub fn entitled_for_s(&self, now: Time) -> Time {
        self.since.map_or(0.0, |since| now - since)
    }
}

/// What the leader knows and is doing: each part owns its own state. Rebuilt from the stored
/// records and the workers' heartbeats at each failover.
pub struct LeaderState {
    /// The revision of the write that created the leader key.
    pub fencing_token: u64,
    /// The lease of the leader key and what it entitles to.
    pub leadership: Leadership,
    /// Reading the stored records after an election.
    pub recovery: Recovery,
    /// Jobs, machines and placements.
    pub cluster: ClusterState,
    /// The watch on the stored jobs.
    pub watch: WatchCursor,
    /// Records seen by the watch while a write of the same job was in flight.
    pub deferred_records: VecDeque<(String, Value, u64)>,
    /// Changed jobs on their way to the store.
    pub write_queue: WriteQueue,
    /// Jobs that wait for others.
    pub dependencies: JobDependencies,
    /// Heartbeats that wait for their responses.
    pub heartbeats: HeartbeatQueue,
    /// Tasks that are to be killed, until there is proof that they are gone.
    pub pending_kills: PendingKills,
    /// Results of the last plan and statistics of the job classes.
    pub planning: PlanningState,
    /// Machines at the cloud: the list, scale out and scale in.
    pub fleet: Fleet,
    /// The nodes that respond to heartbeats on a lease delegated by this leader.
    pub forwarding: HeartbeatForwarding,
    /// Terminal jobs on their way out of the live records.
    pub archive: Archive,
    /// Stored values that this version cannot decode.
    pub undecodable: UndecodableRecords,
    /// Last failure detection and fleet check.
    pub machines_checked_at: Time,
    /// When the next summary line is due.
    log_summary_at: Time,
}

impl LeaderState {
    /// The state of a leader that was elected `now` with that token and lease.
    pub fn new(fencing_token: u64, lease: u64, now: Time, authority: LeaseAuthority) -> Self {
        LeaderState {
            fencing_token,
            leadership: Leadership::new(lease, now, authority),
            recovery: Recovery::new(now),
            cluster: ClusterState::default(),
            watch: WatchCursor::default(),
            deferred_records: VecDeque::new(),
            write_queue: WriteQueue::new(now),
            dependencies: JobDependencies::default(),
            heartbeats: HeartbeatQueue::new(now),
            pending_kills: PendingKills::default(),
            planning: PlanningState::new(now),
            fleet: Fleet::default(),
            forwarding: HeartbeatForwarding::default(),
            archive: Archive::default(),
            undecodable: UndecodableRecords::default(),
            machines_checked_at: now - 1.0,
            log_summary_at: now,
        }
    }

    /// What an earlier leader knew of the machines' images.
    fn read_images(&mut self, key: &str, record: ImagesRecord, version: u64, now: Time) {
        self.cluster.learn_cached_images(&record, now);
        if let Some(Ok(part)) = key.strip_prefix(IMAGES_PREFIX).map(str::parse) {
            self.archive.read_images(part, record, version);
        }
    }

    /// Pages of terminal jobs are deleted with them, or by themselves if their job's record was
    /// archived already. (Such a job was once taken for done, and its dependents started.)
    fn assign_orphaned_pages(&mut self) {
        for (id, keys) in std::mem::take(&mut self.recovery.orphaned_pages) {
            match self.archive.waiting.get_mut(&id) {
                Some(terminal_job) => terminal_job.keys.extend(keys),
                None => self.archive.discard_keys(keys),
            }
        }
    }
}

impl Controller {
    /// Keeps the leader key in sight and claims it when it is gone.
    pub(crate) fn tick_election(&mut self) {
        let now = self.now;
        if self.machine_types.is_none() && now >= self.read_types_at {
            self.read_types_at = now + self.timing.renewal_interval_s;
            self.call_store(CallContext::TypesRead, StoreRequest::Get(TYPES_KEY.to_string()));
        }
        if !self.election.leader_watch.in_flight && now >= self.election.leader_watch.retry_at {
            self.election.leader_watch.in_flight = true;
            if let Some(after) = self.election.leader_watch.revision {
                let wait_ms = (self.timing.leader_lease_s * 1000.0) as u64;
                self.call_store(
                    CallContext::LeaderWatch,
                    StoreRequest::Watch { prefix: NODE_PREFIX.to_string(), after, wait_ms },
                );
            } else {
                self.call_store(CallContext::LeaderRead, StoreRequest::Get(LEADER_KEY.to_string()));
            }
        }
        if self.claimable_version().is_some()
            && !self.election.campaigning
            && !self.is_leader()
            && now >= self.election.campaign_at
        {
            self.election.campaigning = true;
            self.election.campaign_at = now;
            let ttl_ms = (self.timing.leader_lease_s * 1000.0) as u64;
            self.call_store(CallContext::Grant, StoreRequest::Grant { ttl_ms });
        }
    }

    /// The version that the leader key has to have for a claim of this node, with the
    /// count of its starts; None: another leads, or nothing is known yet.
    fn claimable_version(&self) -> Option<(u64, u32)> {
        self.election.leader_watch.revision?;
        match &self.election.known_leader {
            None => Some((0, 0)),
            Some((node, _)) if *node == self.settings.node => {
                self.election.previous_incarnation.succession(self.time_of_day, self.timing.leader_lease_s)
            }
            Some(_) => None,
        }
    }

    pub(crate) fn reread_leader(&mut self, pause: f64) {
        self.election.leader_watch =
            WatchCursor { in_flight: false, revision: None, retry_at: self.now + pause };
    }

    pub(crate) fn on_leader_read(&mut self, reply: StoreReply) {
        self.election.leader_watch.in_flight = false;
        match reply {
            StoreReply::Item(Item { value: Value::Leader(l), version, .. }) => {
                self.election.leader_watch.revision = Some(version);
                self.observe_leader(Some((l, version)));
            }
            StoreReply::Missing(revision) => {
                self.election.leader_watch.revision = Some(revision);
                // Read before this node's claim was carried out, it says nothing of it.
                if self.token().is_none_or(|own| own < revision) {
                    self.observe_leader(None);
                }
            }
            _ => self.reread_leader(self.timing.renewal_interval_s / 2.0),
        }
    }

    fn observe_leader(&mut self, leader: Option<(LeaderRecord, u64)>) {
        if let Some((l, token)) = &leader {
            self.observe_own_campaign(l, *token);
        }
        self.election.previous_incarnation.observe_leader(&self.settings.node, leader.as_ref());
        let leader = leader.map(|(l, token)| (l.node, token));
        if let Role::Leader(l) = &self.role {
            let ours = matches!(&leader, Some((n, t)) if *t == l.fencing_token && *n == self.settings.node);
            let newer = match &leader {
                Some((_, t)) => *t > l.fencing_token,
                None => true,
            };
            if !ours && newer {
                self.step_down("another leader was seen, or none");
            }
        }
        self.election.known_leader = leader;
    }

    pub(crate) fn on_leader_watch(&mut self, reply: StoreReply) {
        self.election.leader_watch.in_flight = false;
        match reply {
            StoreReply::Events(e) => {
                for event in e.events {
                    match event {
                        Event::Put { key, value: Value::Leader(l), version } if key == LEADER_KEY => {
                            self.observe_leader(Some((l, version)));
                        }
                        Event::Put { value: Value::Types(t), .. } => self.machine_types = Some(t),
                        Event::Delete { key, version } if key == LEADER_KEY => {
                            let stale = matches!(&self.election.known_leader, Some((_, t)) if *t > version);
                            if !stale {
                                self.observe_leader(None);
                            }
                        }
                        _ => {}
                    }
                }
                self.election.leader_watch.revision =
                    self.election.leader_watch.revision.max(Some(e.revision));
            }
            _ => self.reread_leader(self.timing.renewal_interval_s / 4.0),
        }
    }

    pub(crate) fn on_types_read(&mut self, reply: StoreReply) {
        match reply {
            StoreReply::Item(Item { value: Value::Types(t), .. }) => self.machine_types = Some(t),
            StoreReply::Missing(_) => {
                let op = StoreRequest::List { prefix: CATALOGUE_PREFIX.to_string(), after: None };
                self.call_store(CallContext::TypesRead, op);
            }
            StoreReply::Page(page) if self.machine_types.is_none() => {
                let part = |i: Item<Value>| match i.value {
                    Value::SpecChunk(text) => Some(text),
                    _ => None,
                };
                let pieces: Vec<String> = page.items.into_iter().filter_map(part).collect();
                self.machine_types = read_catalogue(&pieces);
            }
            _ => {}
        }
    }

    pub(crate) fn on_lease_granted(&mut self, reply: StoreReply) {
        let StoreReply::Granted(lease) = reply else {
            self.election.campaigning = false;
            self.election.campaign_at = self.now + self.timing.renewal_interval_s / 2.0;
            return;
        };
        // Somebody else may have claimed meanwhile: 0 fails then, as it should.
        let (version, again) = self.claimable_version().unwrap_or_default();
        let record = LeaderRecord {
            node: self.settings.node.clone(),
            elected_wall_s: self.time_of_day,
            quick_restarts: again,
            lease,
        };
        self.election.attempt = Some(ElectionAttempt { lease, requested_at: self.election.campaign_at });
        let txn = Transaction {
            compares: vec![Compare { key: LEADER_KEY.to_string(), version }],
            mutations: vec![Mutation::Put {
                key: LEADER_KEY.to_string(),
                value: Value::Leader(record),
                lease: Some(lease),
            }],
        };
        self.call_store(CallContext::Campaign { lease }, StoreRequest::Commit(txn));
    }

    /// Another node or a worker has seen that token: who leads with a lower one has
    /// been replaced.
    pub(crate) fn observe_token(&mut self, token: u64, by: &str) {
        self.election.last_reported_token = self.election.last_reported_token.max(token);
        if matches!(&self.role, Role::Leader(leader) if leader.fencing_token < token) {
            info!(newer = token, by, "newer leader observed");
            self.step_down("newer leader observed");
        }
    }

    pub(crate) fn step_down(&mut self, why: &str) {
        if let Role::Leader(mut leader) = std::mem::replace(&mut self.role, Role::Follower) {
            warn!(token = leader.fencing_token, why, "leadership lost");
            self.sharding.worker_count = 0;
            for request in leader.forwarding.take_waiting_requests() {
                self.outputs.push(Output::ForwardReply(request, ForwardReply::default()));
            }
            for (request, _) in leader.heartbeats.early.take_all() {
                self.respond_error(request, 503, "no longer leading");
            }
            for h in leader.heartbeats.pending.into_values() {
                if let ReplyRoute::Direct(request) = h.reply_route {
                    self.respond_error(request, 503, "no longer leading");
                }
            }
            self.election.known_leader = None;
            if !self.election.leader_watch.in_flight {
                self.reread_leader(0.0);
            }
            // Not all at once with the others.
            let jitter: f64 = self.rng.gen_range(0.5..1.0);
            self.election.campaign_at = self.now + self.timing.renewal_interval_s * jitter;
        }
    }

    pub(crate) fn on_lease_renewed(&mut self, token: u64, sent: Time, reply: StoreReply) {
        let (now, renew_s) = (self.now, self.timing.renewal_interval_s);
        let Some(leader) = self.leader_state(token) else { return };
        leader.leadership.renewal_in_flight = None;
        match reply {
            StoreReply::Done => {
                leader.leadership.authority.record_renewal(sent);
                leader.leadership.renew_at = sent + renew_s;
                if !leader.leadership.authority.may_act(now) {
                    // It is served again: what it missed is read at once.
                    leader.watch.retry_at = leader.watch.retry_at.min(now);
                }
            }
            StoreReply::Gone => self.step_down("lease ended"),
            _ => leader.leadership.renew_at = now + renew_s / 4.0,
        }
    }

    /// Whether the lease may still be trusted for commands, and what is known for new enough.
    pub(crate) fn may_act(&self) -> bool {
        match &self.role {
            Role::Leader(leader) => leader.leadership.authority.may_act(self.now),
            Role::Follower => false,
        }
    }

    pub(crate) fn tick_leader(&mut self) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        if leader.leadership.renewal_in_flight.is_none() && now >= leader.leadership.renew_at {
            let lease = leader.leadership.lease;
            let id = self.call_store(CallContext::Renew { token, sent: now }, StoreRequest::Renew(lease));
            if let Some(leader) = self.leader_state(token) {
                leader.leadership.renewal_in_flight = Some(id);
            }
        }
        self.tick_recovery(token);
        self.expire_early_heartbeats();
        let Some(leader) = self.leader_state(token) else { return };
        if leader.recovery.finished {
            if !leader.watch.in_flight && now >= leader.watch.retry_at {
                leader.watch.in_flight = true;
                let after = leader.watch.revision.unwrap_or(0);
                // As often as the lease is renewed: what is known counts from a watch's sending.
                let wait_ms = (self.timing.renewal_interval_s * 1000.0) as u64;
                self.call_store(
                    CallContext::JobWatch { token, sent: now },
                    StoreRequest::Watch { prefix: JOBS_WATCHED.to_string(), after, wait_ms },
                );
            }
            let created = std::mem::take(&mut self.client_requests.created);
            for (id, record, version) in created {
                self.observe_record(&job_key(&id), Value::Job(Box::new(record)), version);
            }
            // What looks at every machine need not be done at every message.
            let sweep_s = self.timing.planning_interval_s / 5.0;
            let entitled = self.may_act();
            if let Some(leader) = self.leader_state(token) {
                leader.leadership.tenure.update(now, entitled, token);
                let answers = leader.leadership.authority.may_respond(now);
                leader.leadership.responsiveness.update(now, answers);
            }
            let due = entitled
                && matches!(&self.role, Role::Leader(leader) if now - leader.machines_checked_at >= sweep_s);
            if due {
                if let Role::Leader(leader) = &mut self.role {
                    leader.machines_checked_at = now;
                }
                self.tick_failure_detection();
                self.step_down_if_unreachable();
                self.log_summary();
            }
            self.tick_planning();
            if due {
                self.tick_fleet();
            }
            self.tick_write_queue();
            self.tick_archive();
            self.tick_dependencies();
            self.respond_to_pending_heartbeats();
            self.tick_pending_kills();
            self.mark_kills_leader_only();
        }
        self.tick_forwarding();
    }

    /// Now and then a line on where all work and machines stand.
    fn log_summary(&mut self) {
        let now = self.now;
        let every = self.settings.params.workers.lease_s;
        let (here, ceiling) = (self.sharding.worker_count, self.worker_capacity());
        let Role::Leader(leader) = &mut self.role else { return };
        if now < leader.log_summary_at {
            return;
        }
        leader.log_summary_at = now + every;
        let (mut unstored, mut unseen, mut fetching, mut gathering, mut running, mut stopping) =
            (0, 0, 0, 0, 0, 0);
        let (mut waiting, mut jobs) = (0, 0);
        for job in leader.cluster.jobs.values().filter(|j| !j.is_final()) {
            let open = job.spec.tasks.saturating_sub(job.done_count + job.placements.len() as u32);
            waiting += open;
            jobs += u32::from(open > 0);
            for p in job.placements.values() {
                let count = match (p.stopping, p.committed, p.observed_state) {
                    (Some(_), ..) => &mut stopping,
                    (_, false, _) => &mut unstored,
                    (_, _, None) => &mut unseen,
                    (_, _, Some(TaskState::Fetching)) => &mut fetching,
                    (_, _, Some(TaskState::Waiting)) => &mut gathering,
                    _ => &mut running,
                };
                *count += 1;
            }
        }
        let up = leader.cluster.machines.values().filter(|m| m.phase == MachinePhase::Up).count();
        let booting = leader.cluster.machines.values().filter(|m| m.phase == MachinePhase::Booting).count();
        let placed: BTreeSet<&str> = leader
            .cluster
            .jobs
            .values()
            .flat_map(|j| j.placements.values())
            .map(|p| p.machine.as_str())
            .collect();
        // Machines of each pool that are up, and how many of them are idle.
        let mut pools: BTreeMap<(&str, bool), (u32, u32)> = BTreeMap::new();
        for m in leader.cluster.machines.values().filter(|m| m.phase == MachinePhase::Up) {
            let n = pools.entry((&m.machine_type, m.spot)).or_insert((0, 0));
            n.0 += 1;
            n.1 += u32::from(!placed.contains(m.id.as_str()));
        }
        info!(
            jobs,
            waiting,
            unstored,
            unseen,
            fetching,
            gathering,
            running,
            stopping,
            up,
            booting,
            ?pools,
            here,
            ceiling,
            "tasks"
        );
    }

    fn tick_recovery(&mut self, token: u64) {
        let now = self.now;
        let Some(leader) = self.leader_state(token) else { return };
        if leader.recovery.finished || leader.recovery.read_in_flight || now < leader.recovery.retry_at {
            return;
        }
        leader.recovery.read_in_flight = true;
        let op = StoreRequest::List {
            prefix: leader.recovery.prefix.to_string(),
            after: leader.recovery.cursor.clone(),
        };
        self.call_store(CallContext::RecoveryPage { token, sent: now }, op);
    }

    pub(crate) fn on_recovery_page(&mut self, token: u64, sent: Time, reply: StoreReply) {
        let (now, wall) = (self.now, self.time_of_day);
        let renew_s = self.timing.renewal_interval_s;
        let limits = self.store_limits.clone();
        let abandon_s = self.timing.abandoned_submission_s;
        let unseen_until = self.unreported_work_expiry();
        let mut finals = Vec::new();
        let mut marked = Vec::new();
        let mut arrived = Vec::new();
        let Some(leader) = self.leader_state(token) else { return };
        leader.recovery.read_in_flight = false;
        let StoreReply::Page(page) = reply else {
            leader.recovery.retry_at = now + renew_s / 4.0;
            return;
        };
        // The watch starts from the first page's revision: whatever changed
        // after it is seen again.
        if leader.recovery.revision.is_none() {
            leader.recovery.revision = Some(page.revision);
            leader.leadership.authority.record_read(sent);
        }
        for item in page.items {
            leader.recovery.cursor = Some(item.key.clone());
            match item.value {
                Value::SpecChunk(text) => leader.recovery.spec_chunks.add(&item.key, text),
                Value::Undecodable => {
                    let job = leader.quarantine_undecodable(&item.key, unseen_until);
                    if let Some(job) = job.filter(Job::is_final) {
                        let over = over_record(job.status, job.done_count, job.submitted_wall_s);
                        marked.push((job.spec.id, over));
                    }
                }
                Value::Job(mut record) => {
                    let id = record.spec.id.clone();
                    let ended = record.status.is_final();
                    if !leader.recovery.spec_chunks.complete(&mut record) && !ended {
                        // What was submitted since reading began the watch shows with its parts.
                        if leader.recovery.revision.is_none_or(|began| item.version <= began) {
                            leader.undecodable.record(&item.key);
                        }
                        continue;
                    }
                    let since = now - (wall - record.submitted_wall_s).max(0.0);
                    if now - since < REMEMBERED_S {
                        let image = leader.cluster.image_id(&record.spec.image);
                        for m in &record.machines_with_image {
                            let had = (image, since, record.spec.image_gb);
                            leader.cluster.cached_images.entry(m.clone()).or_default().push(had);
                        }
                    }
                    // Where there are more pages, these may have placements.
                    let one_page = record.spec.tasks <= record.per_page.max(4);
                    if record.status.is_final() && record.first_page.placements.is_empty() && one_page {
                        let over = over_record(record.status, record.done, record.submitted_wall_s);
                        let keys = record.spec_chunks.iter().flat_map(|p| p.keys(&id)).collect();
                        finals.push(TerminalJob { id, version: item.version, record: over, keys });
                    } else {
                        let submitted = now - (wall - record.submitted_wall_s).max(0.0);
                        if record.dependencies().is_empty() {
                            arrived.push((record.spec.clone(), submitted));
                        }
                        leader.cluster.insert_job(Job::from_record(
                            &record,
                            item.version,
                            submitted,
                            &limits,
                        ));
                    }
                }
                Value::Page(record) => {
                    if leader.undecodable.contains_job(page_of_key(&item.key).map_or("", |p| p.0)) {
                        continue;
                    }
                    let Some((id, n, layout)) = page_of_key(&item.key) else { continue };
                    match leader.cluster.jobs.get_mut(id) {
                        Some(job) => {
                            job.load_page(n, layout, &record, item.version, now);
                        }
                        None => {
                            leader.recovery.orphaned_pages.entry(id.to_string()).or_default().push(item.key)
                        }
                    }
                }
                Value::Terminal(over) => {
                    let Some(id) = item.key.strip_prefix(MARK_PREFIX) else { continue };
                    match leader.cluster.jobs.get_mut(id) {
                        Some(job) => {
                            job.on_cancellation_mark(item.version);
                            marked.push((id.to_string(), over));
                        }
                        None => leader.archive.discard_keys(vec![item.key]),
                    }
                }
                Value::Images(record) => leader.read_images(&item.key, record, item.version, now),
                _ => {}
            }
        }
        if !page.more {
            leader.recovery.cursor = None;
            if leader.recovery.prefix == IMAGES_PREFIX {
                leader.recovery.prefix = PARTS_PREFIX;
            } else if leader.recovery.prefix == PARTS_PREFIX {
                leader.recovery.prefix = JOB_PREFIX;
            } else if leader.recovery.prefix == JOB_PREFIX {
                leader.recovery.prefix = MARK_PREFIX;
            } else if leader.recovery.prefix == MARK_PREFIX {
                leader.recovery.prefix = PAGE_PREFIX;
            } else {
                leader.recovery.finished = true;
                leader.leadership.authority.record_applied();
                leader.assign_orphaned_pages();
                let abandoned =
                    std::mem::take(&mut leader.recovery.spec_chunks).abandoned_keys(wall - abandon_s);
                leader.archive.discard_keys(abandoned);
                leader.watch.revision = Some(leader.recovery.revision.unwrap_or(page.revision));
                let placed: usize = leader.cluster.jobs.values().map(|j| j.placements.len()).sum();
                info!(token, jobs = leader.cluster.jobs.len(), placed, "recovery finished");
            }
        }
        for (id, over) in marked {
            self.terminal_states.insert(&id, over.status, over.done);
        }
        for f in finals {
            self.terminal_states.insert(&f.id, f.record.status, f.record.done);
            self.archive_job(f);
        }
        if self.leader_state(token).is_some_and(|leader| leader.recovery.finished) {
            self.settle_all_terminal();
            self.build_graph();
        }
        arrived.sort_by(|a: &(JobSpec, Time), b| a.1.total_cmp(&b.1));
        for (spec, at) in arrived {
            self.record_arrival(&spec, at);
        }
        self.register_machines_of_placements();
        if self.leader_state(token).is_some_and(|leader| leader.recovery.finished) {
            self.process_early_heartbeats();
        }
    }

    pub(crate) fn on_job_watch(&mut self, token: u64, sent: Time, reply: StoreReply) {
        let now = self.now;
        let retry = self.timing.renewal_interval_s / 4.0;
        let Some(leader) = self.leader_state(token) else { return };
        leader.watch.in_flight = false;
        match reply {
            StoreReply::Events(e) => {
                let before = leader.watch.revision.unwrap_or(u64::MAX);
                leader.watch.revision = leader.watch.revision.max(Some(e.revision));
                self.record_events(&e);
                self.status_queries.extend_freshness(before, e.revision, now);
                self.observe_own_write(token, &e.events);
                for event in e.events {
                    if let Event::Put { key, value, version } = event {
                        self.observe_record(&key, value, version);
                    }
                }
                if let Some(leader) = self.leader_state(token) {
                    leader.leadership.authority.record_read(sent);
                }
                self.record_applied();
            }
            // Too old: everything is read again by leading anew.
            StoreReply::Gone => self.step_down("watch fell behind"),
            _ => leader.watch.retry_at = now + retry,
        }
    }

    /// A stored record, newer than what is known or not.
    pub(crate) fn observe_record(&mut self, key: &str, value: Value, version: u64) {
        if let (Some(id), Value::Terminal(over)) = (key.strip_prefix(MARK_PREFIX), &value) {
            return self.observe_cancellation_mark(id, over.status, version);
        }
        let Some(id) = key.strip_prefix(JOB_PREFIX) else { return };
        let Value::Job(record) = value else { return };
        let was_over = self.terminal_states.get(id).is_some();
        if record.status.is_final() {
            self.terminal_states.insert(id, record.status, record.done);
        }
        let Role::Leader(leader) = &mut self.role else { return };
        // (Where the answer to its move was lost, a job's earlier record was once taken for a live
        // job's, and its tasks were placed.)
        if leader.archive.archived.covers(id, version) {
            return;
        }
        if record.status.is_final() && leader.undecodable.contains_job(id) {
            return self.record_outcome(id, record.status);
        }
        if leader.write_queue.unsettled(id) {
            let cancelled = record.status == JobStatus::Cancelled;
            leader.deferred_records.push_back((key.to_string(), Value::Job(record), version));
            if let Some(job) = leader.cluster.jobs.get_mut(id).filter(|_| cancelled) {
                // Whatever becomes of that write, its tasks are of no use. (They once went on
                // until the outcome was known.)
                job.cancel();
                self.settle_terminal(id);
            }
            return;
        }
        // Its own job's specification is known here, another's lies in parts.
        let known =
            leader.cluster.jobs.contains_key(id) || record.status.is_final() || !record.spec.class.is_empty();
        if record.spec_chunks.is_some() && !known {
            let token = leader.fencing_token;
            return self.read_spec_chunks(Some(token), *record, version);
        }
        let status = record.status;
        self.apply_record(id, &record, version, was_over);
        self.record_outcome(id, status);
    }

    /// The record of job `id` as stored in `version`; `was_over`: it had ended before.
    fn apply_record(&mut self, id: &str, record: &JobRecord, version: u64, was_over: bool) {
        let (now, wall) = (self.now, self.time_of_day);
        let Role::Leader(leader) = &mut self.role else { return };
        match leader.cluster.jobs.get_mut(id) {
            Some(job) => {
                if version > job.version {
                    debug!(id, version, "record changed by another node");
                    job.reconcile(record, version);
                    leader.planning.needed = true;
                    self.settle_terminal(id);
                }
            }
            None => {
                // A late event of a job that this leader has settled and
                // forgotten shows placements that are long gone. Taking them
                // for an earlier leader's once held a team's quota for good.
                if record.status.is_final() && record.first_page.placements.is_empty() {
                    let over = over_record(record.status, record.done, record.submitted_wall_s);
                    let keys = record.spec_chunks.iter().flat_map(|p| p.keys(id)).collect();
                    return self.archive_job(TerminalJob { id: id.to_string(), version, record: over, keys });
                }
                if was_over {
                    return;
                }
                let submitted = now - (wall - record.submitted_wall_s).max(0.0);
                leader.cluster.insert_job(Job::from_record(record, version, submitted, &self.store_limits));
                leader.planning.needed = true;
                if record.dependencies().is_empty() {
                    self.record_arrival(&record.spec, submitted);
                } else {
                    // Who asks for that has seen the upgrade's end.
                    self.formats.confirm();
                    self.enter_graph(id);
                }
            }
        }
    }

    /// Another node has left a mark that job `id` is cancelled, whose record is too large to
    /// be written again.
    pub(crate) fn observe_cancellation_mark(&mut self, id: &str, status: JobStatus, version: u64) {
        self.terminal_states.insert(id, status, 0);
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(job) = leader.cluster.jobs.get_mut(id) else { return };
        job.on_cancellation_mark(version);
        leader.planning.needed = true;
        self.record_outcome(id, status);
        self.settle_terminal(id);
    }

    pub(crate) fn replay_deferred_records(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        for (key, value, version) in std::mem::take(&mut leader.deferred_records) {
            self.observe_record(&key, value, version);
        }
        self.record_applied();
    }

    /// What the watch showed is carried out, unless some of it waits for a write's outcome.
    fn record_applied(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.recovery.finished && leader.deferred_records.is_empty() {
            leader.leadership.authority.record_applied();
            leader.archive.archived.forget_until(leader.watch.revision.unwrap_or(0));
        }
    }

    /// A cancellation went through at this node: the leader need not wait for
    /// its watch, but it takes the record as stored.
    pub(crate) fn on_local_cancellation(&mut self, id: &str) {
        let Role::Leader(leader) = &mut self.role else { return };
        if leader.cluster.jobs.contains_key(id) {
            let token = leader.fencing_token;
            leader.write_queue.rereads_in_flight += 1;
            let key = job_key(id);
            self.call_store(CallContext::ReadBackRecord { token, key: key.clone() }, StoreRequest::Get(key));
        }
    }

    /// Jobs that were read as over, with pages of their own.
    fn settle_all_terminal(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let over: Vec<String> =
            leader.cluster.jobs.iter().filter(|(_, j)| j.is_final()).map(|(id, _)| id.clone()).collect();
        for id in over {
            self.settle_terminal(&id);
        }
    }

    /// A line on a job that is over: how long it took, and whether that was late.
    pub(crate) fn log_job_finished(&self, id: &str) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(job) = leader.cluster.jobs.get(id) else { return };
        let s = &job.spec;
        let status = if job.status == JobStatus::Done { "done" } else { "withdrawn" };
        let (took_s, late) = (self.now - job.submitted_at, self.now > self.due_by(job));
        let free_s = job.ready_at - job.submitted_at;
        let ran_s = job.first_start.map_or(0.0, |at| self.now - at);
        info!(job = %id, class = %s.class, team = %s.team, status, took_s, free_s, ran_s, late, "job finished");
    }

    /// Drops what a final job still plans; forgets it once nothing is left.
    pub(crate) fn settle_terminal(&mut self, id: &str) {
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(job) = leader.cluster.jobs.get_mut(id) else { return };
        if !job.is_final() {
            return;
        }
        let unlaunched: Vec<u32> = job
            .placements
            .iter()
            .filter(|(_, p)| !p.launch_sent && p.observed_state.is_none())
            .map(|(&t, _)| t)
            .collect();
        for t in unlaunched {
            job.release_placement(t);
        }
        let now = self.now;
        for p in job.placements.values_mut() {
            // Nobody has any use for what would be saved.
            if p.stopping.is_none_or(|(_, grace)| grace > 0.0) {
                (p.stopping, p.kill_sent) = (Some((now, 0.0)), false);
            }
        }
        if job.placements.is_empty() && job.is_stored() {
            let f = TerminalJob::from_job(job);
            self.log_job_finished(id);
            let Role::Leader(leader) = &mut self.role else { return };
            leader.cluster.jobs.remove(id);
            self.terminal_states.insert(id, f.record.status, f.record.done);
            self.archive_job(f);
        } else {
            self.kill_now(id);
        }
    }
}
