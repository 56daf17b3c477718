//! Who leads: one key under a short lease. The revision of the write that
//! created the key is the token of that leadership.

use crate::archive::{over_record, TerminalJob};
use crate::election::ElectionAttempt;
use crate::fleet::Fleet;
use crate::heartbeat_proxying::ReplyRoute;
use crate::heartbeats::PendingHeartbeat;
use crate::job::Job;
use crate::lease_authority::LeaseAuthority;
use crate::machine::{Machine, MachinePhase};
use crate::records::*;
use crate::{CallContext, CallId, Controller, Output, StoreReply, StoreRequest, Time};
use protocol::job::{JobSpec, JobStatus};
use protocol::peer::ForwardReply;
use protocol::state::{Compare, Event, Item, Mutation, Transaction};
use protocol::worker::TaskState;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use tracing::{debug, info, warn};

/// Older jobs tell nothing of a machine's images any more.
const REMEMBERED_S: f64 = 3600.0;

/// A watch on a prefix, kept open.
#[derive(Debug, Default, Clone)]
pub struct WatchCursor {
    pub busy: bool,
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
    seen: Option<(u64, LeaderRecord)>,
}

impl PreviousIncarnation {
    /// The leader key as it was seen last, by its version.
    fn saw(&mut self, own: &str, leader: Option<&(LeaderRecord, u64)>) {
        self.seen = leader.filter(|(l, _)| l.node == own).map(|(l, token)| (*token, l.clone()));
    }

    /// The version of the key to be replaced, and the count that the claim tells;
    /// None: its lease is waited for. `lasting`: who led for longer starts anew.
    fn succeed(&self, wall: f64, lasting: Time) -> Option<(u64, u32)> {
        let (token, record) = self.seen.as_ref()?;
        let again = if wall - record.at > lasting { 0 } else { record.again + 1 };
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
    before: bool,
}

impl LeadershipTenure {
    /// Looks whether it is entitled `now`; a line when that has changed.
    fn look(&mut self, now: Time, entitled: bool, token: u64) {
        match (entitled, self.since) {
            (true, None) => {
                if self.before {
                    info!(token, "lease confirmed again, acting");
                }
                (self.since, self.before) = (Some(now), true);
            }
            (false, Some(_)) => {
                warn!(token, "lease not confirmed, no plans and no calls to the cloud until it is");
                self.since = None;
            }
            _ => {}
        }
    }

    /// When it was entitled last, and so could give work to machines.
    pub fn acts_since(&self) -> Time {
        self.since.unwrap_or(Time::MAX)
    }

    /// How long it has been entitled without a gap.
    pub fn held_s(&self, now: Time) -> Time {
        self.since.map_or(0.0, |since| now - since)
    }
}

/// What the leader knows. Rebuilt from records and reports at each takeover.
pub struct LeaderState {
    pub token: u64,
    pub lease: u64,
    pub since: Time,
    pub authority: LeaseAuthority,
    pub standing: LeadershipTenure,
    pub voice: crate::one_way_partition::LeaderResponsiveness,
    pub renewing: Option<CallId>,
    pub next_renew: Time,
    pub loaded: bool,
    pub loading: bool,
    pub load_prefix: &'static str,
    pub load_after: Option<String>,
    pub load_retry: Time,
    pub load_revision: Option<u64>,
    pub jobs: BTreeMap<String, Job>,
    pub machines: BTreeMap<String, Machine>,
    pub watch: WatchCursor,
    /// Records seen by the watch while a write of the same job was in flight.
    pub deferred: VecDeque<(String, Value, u64)>,
    pub writes: crate::write_queue::WriteQueue,
    /// Jobs that wait for others.
    pub pipelines: crate::job_dependencies::JobDependencies,
    /// Reports that wait for their answer, by machine.
    pub held: BTreeMap<String, PendingHeartbeat>,
    /// Reports that came before the records were read.
    pub early: crate::early_heartbeats::HeartbeatsBeforeRecovery,
    /// Machines whose held report may have become ready.
    pub recheck: BTreeSet<String>,
    pub held_scan: Time,
    /// Which tasks were placed on a machine. An entry may be outdated; looking
    /// there is what removes it (`tasks_on`).
    on: HashMap<String, BTreeSet<(String, u32)>>,
    /// What is to be stopped and may not know it yet.
    pub stops: crate::pending_kills::PendingKills,
    /// When the next line on tasks and machines is due.
    summary_at: Time,
    /// Last look after machines, fleet and cloud.
    pub swept_at: Time,
    pub plan_dirty: bool,
    pub planned_at: Time,
    /// No plan before then: the last one took its share of the processor.
    pub plan_after: Time,
    image_ids: HashMap<String, u32>,
    /// Most machines that work which somebody waits for has had at a time.
    pub others_most: usize,
    /// Classes and teams under their floors at the last plan.
    pub starving: crate::starvation::StarvingGroups,
    /// Whose machines gather.
    pub gathers: crate::starvation::GangReservation,
    /// Jobs that wait beside free places.
    pub beside: crate::work_conservation::WaitingBesideCapacity,
    /// What is paid, as a multiple of what the work would cost where it is cheapest.
    pub price_paid: f64,
    pub fleet: Fleet,
    pub classes: BTreeMap<String, crate::scheduling::ClassStats>,
    pub booking: u64,
    /// Images that machines got by earlier leaders' work, by machine: image,
    /// when the job was submitted, size.
    pub cached: HashMap<String, Vec<(u32, Time, f64)>>,
    pub types_at: Option<Time>,
    /// The nodes that answer reports on this leader's leave.
    pub relays: sharding::HeartbeatForwarding,
    pub archive: crate::archive::Archive,
    /// Parts of specifications, while records are read.
    pub parts: crate::spec_chunks::ChunkReader,
    /// What cannot be read.
    pub unread: crate::undecodable::UndecodableRecords,
    /// Pages read whose jobs are not among those that run.
    strays: BTreeMap<String, Vec<String>>,
    /// The ceiling on machines when it was last told.
    pub ceiling_told: u32,
}

impl LeaderState {
    pub fn new(token: u64, lease: u64, now: Time, authority: LeaseAuthority) -> Self {
        LeaderState {
            token,
            lease,
            since: now,
            authority,
            standing: LeadershipTenure::default(),
            voice: crate::one_way_partition::LeaderResponsiveness::default(),
            renewing: None,
            next_renew: now,
            loaded: false,
            loading: false,
            load_prefix: IMAGES_PREFIX,
            load_after: None,
            load_retry: now,
            load_revision: None,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            watch: WatchCursor::default(),
            deferred: VecDeque::new(),
            writes: crate::write_queue::WriteQueue::new(now),
            pipelines: crate::job_dependencies::JobDependencies::default(),
            held: BTreeMap::new(),
            early: crate::early_heartbeats::HeartbeatsBeforeRecovery::default(),
            recheck: BTreeSet::new(),
            held_scan: now,
            on: HashMap::new(),
            stops: crate::pending_kills::PendingKills::default(),
            summary_at: now,
            swept_at: now - 1.0,
            plan_dirty: true,
            planned_at: now - 1.0,
            plan_after: now,
            image_ids: HashMap::new(),
            others_most: 0,
            starving: crate::starvation::StarvingGroups::default(),
            gathers: crate::starvation::GangReservation::default(),
            beside: crate::work_conservation::WaitingBesideCapacity::default(),
            price_paid: 1.0,
            fleet: Fleet::default(),
            classes: BTreeMap::new(),
            booking: 0,
            cached: HashMap::new(),
            types_at: None,
            relays: sharding::HeartbeatForwarding::default(),
            archive: crate::archive::Archive::default(),
            parts: crate::spec_chunks::ChunkReader::default(),
            unread: crate::undecodable::UndecodableRecords::default(),
            strays: BTreeMap::new(),
            ceiling_told: 0,
        }
    }

    /// The tasks that have a place on `machine`.
    pub fn tasks_on(&mut self, machine: &str) -> Vec<(String, u32)> {
        let Some(set) = self.on.get_mut(machine) else { return Vec::new() };
        let jobs = &self.jobs;
        set.retain(|(id, task)| {
            jobs.get(id).and_then(|j| j.places.get(task)).is_some_and(|p| p.machine == machine)
        });
        if set.is_empty() {
            self.on.remove(machine);
            return Vec::new();
        }
        set.iter().cloned().collect()
    }

    /// Takes in a job as its record shows it.
    fn adopt_job(&mut self, mut job: Job) {
        job.image = self.image_id(&job.spec.image);
        let id = job.spec.id.clone();
        self.jobs.insert(id.clone(), job);
        self.index_job(&id);
    }

    /// Notes where all tasks of a job are.
    pub fn index_job(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id) else { return };
        for (&task, p) in &job.places {
            self.on.entry(p.machine.clone()).or_default().insert((id.to_string(), task));
        }
    }

    /// Gives `task` of job `id` its place on `machine`.
    pub fn add_place(&mut self, id: &str, task: u32, machine: &str, attempt: u64, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.add_place(task, machine, attempt, now);
        if let Some(m) = self.machines.get_mut(machine) {
            m.calm_at = None;
        }
        self.on.entry(machine.to_string()).or_default().insert((id.to_string(), task));
    }

    /// What the machines hold, by name, machines in order.
    pub fn images_held(&self, most: usize) -> Vec<(String, Vec<(String, f64)>)> {
        let mut names: Vec<&str> = vec![""; self.image_ids.len()];
        for (name, &n) in &self.image_ids {
            names[n as usize] = name;
        }
        let up = self.machines.values().filter(|m| m.life == MachinePhase::Up);
        up.map(|m| {
            let images = m.latest_images(m.since, most);
            (m.id.clone(), images.map(|(n, gb)| (names[n as usize].to_string(), gb)).collect())
        })
        .collect()
    }

    /// What an earlier leader knew of the machines' images.
    fn read_images(&mut self, key: &str, record: ImagesRecord, version: u64, now: Time) {
        let numbers: Vec<(u32, f64)> = record.images.iter().map(|(n, gb)| (self.image_id(n), *gb)).collect();
        for (machine, places) in &record.machines {
            let held = self.cached.entry(machine.clone()).or_default();
            for (age, place) in places.iter().enumerate() {
                if let Some((image, gb)) = numbers.get(*place as usize) {
                    held.push((*image, now - 1.0 - age as f64, *gb));
                }
            }
        }
        if let Some(Ok(part)) = key.strip_prefix(IMAGES_PREFIX).map(str::parse) {
            self.archive.read_images(part, record, version);
        }
    }

    /// Pages of jobs that are over go with them, or by themselves if their job's
    /// record has moved. (Such a job was once held for done, whatever it was, and what
    /// awaited it was let go.)
    fn claim_strays(&mut self) {
        for (id, keys) in std::mem::take(&mut self.strays) {
            match self.archive.waiting.get_mut(&id) {
                Some(f) => f.keys.extend(keys),
                None => self.archive.discard(keys),
            }
        }
    }

    /// An image's number, by which the planner knows it.
    pub fn image_id(&mut self, name: &str) -> u32 {
        if let Some(&n) = self.image_ids.get(name) {
            return n;
        }
        let n = self.image_ids.len() as u32;
        self.image_ids.insert(name.to_string(), n);
        n
    }
}

impl Controller {
    /// Keeps the leader key in sight and claims it when it is gone.
    pub(crate) fn follow_leader(&mut self) {
        let now = self.now;
        if self.types.is_none() && now >= self.types_look_at {
            self.types_look_at = now + self.d.renew_s;
            self.state(CallContext::TypesLook, StoreRequest::Get(TYPES_KEY.to_string()));
        }
        if !self.leader_watch.busy && now >= self.leader_watch.retry_at {
            self.leader_watch.busy = true;
            if let Some(after) = self.leader_watch.revision {
                let wait_ms = (self.d.leader_ttl_s * 1000.0) as u64;
                self.state(
                    CallContext::LeaderWatch,
                    StoreRequest::Watch { prefix: NODE_PREFIX.to_string(), after, wait_ms },
                );
            } else {
                self.state(CallContext::LeaderLook, StoreRequest::Get(LEADER_KEY.to_string()));
            }
        }
        if self.claimable().is_some() && !self.claiming && !self.is_leader() && now >= self.claim_at {
            self.claiming = true;
            self.claim_at = now;
            let ttl_ms = (self.d.leader_ttl_s * 1000.0) as u64;
            self.state(CallContext::Grant, StoreRequest::Grant { ttl_ms });
        }
    }

    /// The version that the leader key has to have for a claim of this node, with the
    /// count of its starts; None: another leads, or nothing is known yet.
    fn claimable(&self) -> Option<(u64, u32)> {
        self.leader_watch.revision?;
        match &self.known_leader {
            None => Some((0, 0)),
            Some((node, _)) if *node == self.settings.node => {
                self.predecessor.succeed(self.wall, self.d.leader_ttl_s)
            }
            Some(_) => None,
        }
    }

    pub(crate) fn look_again(&mut self, pause: f64) {
        self.leader_watch = WatchCursor { busy: false, revision: None, retry_at: self.now + pause };
    }

    pub(crate) fn on_leader_look(&mut self, r: StoreReply) {
        self.leader_watch.busy = false;
        match r {
            StoreReply::Item(Item { value: Value::Leader(l), version, .. }) => {
                self.leader_watch.revision = Some(version);
                self.saw_leader(Some((l, version)));
            }
            StoreReply::Missing(revision) => {
                self.leader_watch.revision = Some(revision);
                // Read before this node's claim was carried out, it says nothing of it.
                if self.token().is_none_or(|own| own < revision) {
                    self.saw_leader(None);
                }
            }
            _ => self.look_again(self.d.renew_s / 2.0),
        }
    }

    fn saw_leader(&mut self, leader: Option<(LeaderRecord, u64)>) {
        if let Some((l, token)) = &leader {
            self.see_own_claim(l, *token);
        }
        self.predecessor.saw(&self.settings.node, leader.as_ref());
        let leader = leader.map(|(l, token)| (l.node, token));
        if let Role::Leader(l) = &self.role {
            let ours = matches!(&leader, Some((n, t)) if *t == l.token && *n == self.settings.node);
            let newer = match &leader {
                Some((_, t)) => *t > l.token,
                None => true,
            };
            if !ours && newer {
                self.step_down("another leader was seen, or none");
            }
        }
        self.known_leader = leader;
    }

    pub(crate) fn on_leader_watch(&mut self, r: StoreReply) {
        self.leader_watch.busy = false;
        match r {
            StoreReply::Events(e) => {
                for event in e.events {
                    match event {
                        Event::Put { key, value: Value::Leader(l), version } if key == LEADER_KEY => {
                            self.saw_leader(Some((l, version)));
                        }
                        Event::Put { value: Value::Types(t), .. } => self.types = Some(t),
                        Event::Delete { key, version } if key == LEADER_KEY => {
                            let stale = matches!(&self.known_leader, Some((_, t)) if *t > version);
                            if !stale {
                                self.saw_leader(None);
                            }
                        }
                        _ => {}
                    }
                }
                self.leader_watch.revision = self.leader_watch.revision.max(Some(e.revision));
            }
            _ => self.look_again(self.d.renew_s / 4.0),
        }
    }

    pub(crate) fn on_types_look(&mut self, r: StoreReply) {
        match r {
            StoreReply::Item(Item { value: Value::Types(t), .. }) => self.types = Some(t),
            StoreReply::Missing(_) => {
                let op = StoreRequest::List { prefix: CATALOGUE_PREFIX.to_string(), after: None };
                self.state(CallContext::TypesLook, op);
            }
            StoreReply::Page(page) if self.types.is_none() => {
                let part = |i: Item<Value>| match i.value {
                    Value::Part(text) => Some(text),
                    _ => None,
                };
                let pieces: Vec<String> = page.items.into_iter().filter_map(part).collect();
                self.types = read_catalogue(&pieces);
            }
            _ => {}
        }
    }

    pub(crate) fn on_grant(&mut self, r: StoreReply) {
        let StoreReply::Granted(lease) = r else {
            self.claiming = false;
            self.claim_at = self.now + self.d.renew_s / 2.0;
            return;
        };
        // Somebody else may have claimed meanwhile: 0 fails then, as it should.
        let (version, again) = self.claimable().unwrap_or_default();
        let record = LeaderRecord { node: self.settings.node.clone(), at: self.wall, again, lease };
        self.claim = Some(ElectionAttempt { lease, asked: self.claim_at });
        let txn = Transaction {
            conditions: vec![Compare { key: LEADER_KEY.to_string(), version }],
            changes: vec![Mutation::Put {
                key: LEADER_KEY.to_string(),
                value: Value::Leader(record),
                lease: Some(lease),
            }],
        };
        self.state(CallContext::Claim { lease }, StoreRequest::Commit(txn));
    }

    /// Another node or a worker has seen that token: who leads with a lower one has
    /// been replaced.
    pub(crate) fn heard_of(&mut self, token: u64, by: &str) {
        self.heard_token = self.heard_token.max(token);
        if matches!(&self.role, Role::Leader(l) if l.token < token) {
            info!(newer = token, by, "another leader was heard of");
            self.step_down("another leader was heard of");
        }
    }

    pub(crate) fn step_down(&mut self, why: &str) {
        if let Role::Leader(mut l) = std::mem::replace(&mut self.role, Role::Follower) {
            warn!(token = l.token, why, "no longer leading");
            self.workers_here = 0;
            for request in l.relays.waiting() {
                self.out.push(Output::RelayReply(request, ForwardReply::default()));
            }
            for (request, _) in l.early.take() {
                self.refuse(request, 503, "no longer leading");
            }
            for h in l.held.into_values() {
                if let ReplyRoute::Direct(request) = h.way {
                    self.refuse(request, 503, "no longer leading");
                }
            }
            self.known_leader = None;
            if !self.leader_watch.busy {
                self.look_again(0.0);
            }
            // Not all at once with the others.
            let jitter: f64 = self.rng.gen_range(0.5..1.0);
            self.claim_at = self.now + self.d.renew_s * jitter;
        }
    }

    pub(crate) fn on_renew(&mut self, token: u64, sent: Time, r: StoreReply) {
        let (now, renew_s) = (self.now, self.d.renew_s);
        let Some(l) = self.lead(token) else { return };
        l.renewing = None;
        match r {
            StoreReply::Done => {
                l.authority.renewed(sent);
                l.next_renew = sent + renew_s;
                if !l.authority.acts(now) {
                    // It is served again: what it missed is read at once.
                    l.watch.retry_at = l.watch.retry_at.min(now);
                }
            }
            StoreReply::Gone => self.step_down("lease ended"),
            _ => l.next_renew = now + renew_s / 4.0,
        }
    }

    /// Whether the lease may still be trusted for commands, and what is known for new enough.
    pub(crate) fn entitled(&self) -> bool {
        match &self.role {
            Role::Leader(l) => l.authority.acts(self.now),
            Role::Follower => false,
        }
    }

    pub(crate) fn lead_on_time(&mut self) {
        let now = self.now;
        let Role::Leader(l) = &mut self.role else { return };
        let token = l.token;
        if l.renewing.is_none() && now >= l.next_renew {
            let lease = l.lease;
            let id = self.state(CallContext::Renew { token, sent: now }, StoreRequest::Renew(lease));
            if let Some(l) = self.lead(token) {
                l.renewing = Some(id);
            }
        }
        self.load_on_time(token);
        self.send_early_on();
        let Some(l) = self.lead(token) else { return };
        if l.loaded {
            if !l.watch.busy && now >= l.watch.retry_at {
                l.watch.busy = true;
                let after = l.watch.revision.unwrap_or(0);
                // As often as the lease is renewed: what is known counts from a watch's sending.
                let wait_ms = (self.d.renew_s * 1000.0) as u64;
                self.state(
                    CallContext::JobWatch { token, sent: now },
                    StoreRequest::Watch { prefix: JOBS_WATCHED.to_string(), after, wait_ms },
                );
            }
            let created = std::mem::take(&mut self.users.created);
            for (id, record, version) in created {
                self.saw_record(&job_key(&id), Value::Job(Box::new(record)), version);
            }
            // What looks at every machine need not be done at every message.
            let sweep_s = self.d.tick_s / 5.0;
            let entitled = self.entitled();
            if let Some(l) = self.lead(token) {
                l.standing.look(now, entitled, token);
                let answers = l.authority.renews(now);
                l.voice.look(now, answers);
            }
            let due = entitled && matches!(&self.role, Role::Leader(l) if now - l.swept_at >= sweep_s);
            if due {
                if let Role::Leader(l) = &mut self.role {
                    l.swept_at = now;
                }
                self.machines_on_time();
                self.resign_if_unheard();
                self.summarise();
            }
            self.plan_on_time();
            if due {
                self.fleet_on_time();
            }
            self.commit_on_time();
            self.archive_on_time();
            self.pipelines_on_time();
            self.release_held();
            self.send_stops();
            self.attend_to_stops();
        }
        self.relays_on_time();
    }

    /// Now and then a line on where all work and machines stand.
    fn summarise(&mut self) {
        let now = self.now;
        let every = self.settings.params.workers.lease_s;
        let (here, ceiling) = (self.workers_here, self.ceiling());
        let Role::Leader(l) = &mut self.role else { return };
        if now < l.summary_at {
            return;
        }
        l.summary_at = now + every;
        let (mut unstored, mut unseen, mut fetching, mut gathering, mut running, mut stopping) =
            (0, 0, 0, 0, 0, 0);
        let (mut waiting, mut jobs) = (0, 0);
        for job in l.jobs.values().filter(|j| !j.is_final()) {
            let open = job.spec.tasks.saturating_sub(job.done_count + job.places.len() as u32);
            waiting += open;
            jobs += u32::from(open > 0);
            for p in job.places.values() {
                let count = match (p.stopping, p.committed, p.seen) {
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
        let up = l.machines.values().filter(|m| m.life == MachinePhase::Up).count();
        let booting = l.machines.values().filter(|m| m.life == MachinePhase::Booting).count();
        let placed: BTreeSet<&str> =
            l.jobs.values().flat_map(|j| j.places.values()).map(|p| p.machine.as_str()).collect();
        // Machines of each pool that are up, and how many of them are idle.
        let mut pools: BTreeMap<(&str, bool), (u32, u32)> = BTreeMap::new();
        for m in l.machines.values().filter(|m| m.life == MachinePhase::Up) {
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

    fn load_on_time(&mut self, token: u64) {
        let now = self.now;
        let Some(l) = self.lead(token) else { return };
        if l.loaded || l.loading || now < l.load_retry {
            return;
        }
        l.loading = true;
        let op = StoreRequest::List { prefix: l.load_prefix.to_string(), after: l.load_after.clone() };
        self.state(CallContext::Load { token, sent: now }, op);
    }

    pub(crate) fn on_load(&mut self, token: u64, sent: Time, r: StoreReply) {
        let (now, wall) = (self.now, self.wall);
        let renew_s = self.d.renew_s;
        let limits = self.limits.clone();
        let abandon_s = self.d.abandon_s;
        let unseen_until = self.unseen_until();
        let mut finals = Vec::new();
        let mut marked = Vec::new();
        let mut arrived = Vec::new();
        let Some(l) = self.lead(token) else { return };
        l.loading = false;
        let StoreReply::Page(page) = r else {
            l.load_retry = now + renew_s / 4.0;
            return;
        };
        // The watch starts from the first page's revision: whatever changed
        // after it is seen again.
        if l.load_revision.is_none() {
            l.load_revision = Some(page.revision);
            l.authority.has_read(sent);
        }
        for item in page.items {
            l.load_after = Some(item.key.clone());
            match item.value {
                Value::Part(text) => l.parts.take(&item.key, text),
                Value::Unread => {
                    let job = l.set_aside(&item.key, unseen_until);
                    if let Some(job) = job.filter(Job::is_final) {
                        let over = over_record(job.status, job.done_count, job.at);
                        marked.push((job.spec.id, over));
                    }
                }
                Value::Job(mut record) => {
                    let id = record.spec.id.clone();
                    let ended = record.status.is_final();
                    if !l.parts.complete(&mut record) && !ended {
                        // What was submitted since reading began the watch shows with its parts.
                        if l.load_revision.is_none_or(|began| item.version <= began) {
                            l.unread.note(&item.key);
                        }
                        continue;
                    }
                    let since = now - (wall - record.at).max(0.0);
                    if now - since < REMEMBERED_S {
                        let image = l.image_id(&record.spec.image);
                        for m in &record.ran_on {
                            let had = (image, since, record.spec.image_gb);
                            l.cached.entry(m.clone()).or_default().push(had);
                        }
                    }
                    // Where there are more pages, these may have placements.
                    let one_page = record.spec.tasks <= record.per_page.max(4);
                    if record.status.is_final() && record.page.places.is_empty() && one_page {
                        let over = over_record(record.status, record.done, record.at);
                        let keys = record.parts.iter().flat_map(|p| p.keys(&id)).collect();
                        finals.push(TerminalJob { id, version: item.version, over, keys });
                    } else {
                        let submitted = now - (wall - record.at).max(0.0);
                        if record.awaits().is_empty() {
                            arrived.push((record.spec.clone(), submitted));
                        }
                        l.adopt_job(Job::load(&record, item.version, submitted, &limits));
                    }
                }
                Value::Page(record) => {
                    if l.unread.has(page_of_key(&item.key).map_or("", |p| p.0)) {
                        continue;
                    }
                    let Some((id, n, layout)) = page_of_key(&item.key) else { continue };
                    match l.jobs.get_mut(id) {
                        Some(job) => {
                            job.load_page(n, layout, &record, item.version, now);
                        }
                        None => l.strays.entry(id.to_string()).or_default().push(item.key),
                    }
                }
                Value::Over(over) => {
                    let Some(id) = item.key.strip_prefix(MARK_PREFIX) else { continue };
                    match l.jobs.get_mut(id) {
                        Some(job) => {
                            job.marked(item.version);
                            marked.push((id.to_string(), over));
                        }
                        None => l.archive.discard(vec![item.key]),
                    }
                }
                Value::Images(record) => l.read_images(&item.key, record, item.version, now),
                _ => {}
            }
        }
        if !page.more {
            l.load_after = None;
            if l.load_prefix == IMAGES_PREFIX {
                l.load_prefix = PARTS_PREFIX;
            } else if l.load_prefix == PARTS_PREFIX {
                l.load_prefix = JOB_PREFIX;
            } else if l.load_prefix == JOB_PREFIX {
                l.load_prefix = MARK_PREFIX;
            } else if l.load_prefix == MARK_PREFIX {
                l.load_prefix = PAGE_PREFIX;
            } else {
                l.loaded = true;
                l.authority.carried_out();
                l.claim_strays();
                let abandoned = std::mem::take(&mut l.parts).abandoned(wall - abandon_s);
                l.archive.discard(abandoned);
                l.watch.revision = Some(l.load_revision.unwrap_or(page.revision));
                let placed: usize = l.jobs.values().map(|j| j.places.len()).sum();
                info!(token, jobs = l.jobs.len(), placed, "records read");
            }
        }
        for (id, over) in marked {
            self.finals.put(&id, over.status, over.done);
        }
        for f in finals {
            self.finals.put(&f.id, f.over.status, f.over.done);
            self.finished(f);
        }
        if self.lead(token).is_some_and(|l| l.loaded) {
            self.settle_finals();
            self.build_graph();
        }
        arrived.sort_by(|a: &(JobSpec, Time), b| a.1.total_cmp(&b.1));
        for (spec, at) in arrived {
            self.note_arrival(&spec, at);
        }
        self.adopt_placed_machines();
        if self.lead(token).is_some_and(|l| l.loaded) {
            self.take_early();
        }
    }

    pub(crate) fn on_job_watch(&mut self, token: u64, sent: Time, r: StoreReply) {
        let now = self.now;
        let retry = self.d.renew_s / 4.0;
        let Some(l) = self.lead(token) else { return };
        l.watch.busy = false;
        match r {
            StoreReply::Events(e) => {
                let before = l.watch.revision.unwrap_or(u64::MAX);
                l.watch.revision = l.watch.revision.max(Some(e.revision));
                self.note_events(&e);
                self.polls.extend(before, e.revision, now);
                self.see_own_write(token, &e.events);
                for event in e.events {
                    if let Event::Put { key, value, version } = event {
                        self.saw_record(&key, value, version);
                    }
                }
                if let Some(l) = self.lead(token) {
                    l.authority.has_read(sent);
                }
                self.note_carried_out();
            }
            // Too old: everything is read again by leading anew.
            StoreReply::Gone => self.step_down("watch fell behind"),
            _ => l.watch.retry_at = now + retry,
        }
    }

    /// A stored record, newer than what is known or not.
    pub(crate) fn saw_record(&mut self, key: &str, value: Value, version: u64) {
        if let (Some(id), Value::Over(over)) = (key.strip_prefix(MARK_PREFIX), &value) {
            return self.mark_seen(id, over.status, version);
        }
        let Some(id) = key.strip_prefix(JOB_PREFIX) else { return };
        let Value::Job(record) = value else { return };
        let was_over = self.finals.get(id).is_some();
        if record.status.is_final() {
            self.finals.put(id, record.status, record.done);
        }
        let Role::Leader(l) = &mut self.role else { return };
        // (Where the answer to its move was lost, a job's earlier record was once taken for a live
        // job's, and its tasks were placed.)
        if l.archive.departed.covers(id, version) {
            return;
        }
        if record.status.is_final() && l.unread.has(id) {
            return self.is_over(id, record.status);
        }
        if l.writes.unsettled(id) {
            let cancelled = record.status == JobStatus::Cancelled;
            l.deferred.push_back((key.to_string(), Value::Job(record), version));
            if let Some(job) = l.jobs.get_mut(id).filter(|_| cancelled) {
                // Whatever becomes of that write, its tasks are of no use. (They once went on
                // until the outcome was known.)
                job.withdraw();
                self.settle_final(id);
            }
            return;
        }
        // Its own job's specification is known here, another's lies in parts.
        let known = l.jobs.contains_key(id) || record.status.is_final() || !record.spec.class.is_empty();
        if record.parts.is_some() && !known {
            let token = l.token;
            return self.read_parts(Some(token), *record, version);
        }
        let status = record.status;
        self.take_record(id, &record, version, was_over);
        self.is_over(id, status);
    }

    /// The record of job `id` as stored in `version`; `was_over`: it had ended before.
    fn take_record(&mut self, id: &str, record: &JobRecord, version: u64, was_over: bool) {
        let (now, wall) = (self.now, self.wall);
        let Role::Leader(l) = &mut self.role else { return };
        match l.jobs.get_mut(id) {
            Some(job) => {
                if version > job.version {
                    debug!(id, version, "record changed by another node");
                    job.reconcile(record, version);
                    l.plan_dirty = true;
                    self.settle_final(id);
                }
            }
            None => {
                // A late event of a job that this leader has settled and
                // forgotten shows placements that are long gone. Taking them
                // for an earlier leader's once held a team's quota for good.
                if record.status.is_final() && record.page.places.is_empty() {
                    let over = over_record(record.status, record.done, record.at);
                    let keys = record.parts.iter().flat_map(|p| p.keys(id)).collect();
                    return self.finished(TerminalJob { id: id.to_string(), version, over, keys });
                }
                if was_over {
                    return;
                }
                let submitted = now - (wall - record.at).max(0.0);
                l.adopt_job(Job::load(record, version, submitted, &self.limits));
                l.plan_dirty = true;
                if record.awaits().is_empty() {
                    self.note_arrival(&record.spec, submitted);
                } else {
                    // Who asks for that has seen the upgrade's end.
                    self.versions.is_evident();
                    self.enter_graph(id);
                }
            }
        }
    }

    /// Another node has left a mark that job `id` is cancelled, whose record is too large to
    /// be written again.
    pub(crate) fn mark_seen(&mut self, id: &str, status: JobStatus, version: u64) {
        self.finals.put(id, status, 0);
        let Role::Leader(l) = &mut self.role else { return };
        let Some(job) = l.jobs.get_mut(id) else { return };
        job.marked(version);
        l.plan_dirty = true;
        self.is_over(id, status);
        self.settle_final(id);
    }

    pub(crate) fn replay_deferred(&mut self) {
        let Role::Leader(l) = &mut self.role else { return };
        for (key, value, version) in std::mem::take(&mut l.deferred) {
            self.saw_record(&key, value, version);
        }
        self.note_carried_out();
    }

    /// What the watch showed is carried out, unless some of it waits for a write's outcome.
    fn note_carried_out(&mut self) {
        let Role::Leader(l) = &mut self.role else { return };
        if l.loaded && l.deferred.is_empty() {
            l.authority.carried_out();
            l.archive.departed.passed(l.watch.revision.unwrap_or(0));
        }
    }

    /// A cancellation went through at this node: the leader need not wait for
    /// its watch, but it takes the record as stored.
    pub(crate) fn cancelled_here(&mut self, id: &str) {
        let Role::Leader(l) = &mut self.role else { return };
        if l.jobs.contains_key(id) {
            let token = l.token;
            l.writes.rereads += 1;
            let key = job_key(id);
            self.state(CallContext::Reread { token, key: key.clone() }, StoreRequest::Get(key));
        }
    }

    /// Jobs that were read as over, with pages of their own.
    fn settle_finals(&mut self) {
        let Role::Leader(l) = &self.role else { return };
        let over: Vec<String> =
            l.jobs.iter().filter(|(_, j)| j.is_final()).map(|(id, _)| id.clone()).collect();
        for id in over {
            self.settle_final(&id);
        }
    }

    /// A line on a job that is over: how long it took, and whether that was late.
    pub(crate) fn tell_over(&self, id: &str) {
        let Role::Leader(l) = &self.role else { return };
        let Some(job) = l.jobs.get(id) else { return };
        let s = &job.spec;
        let status = if job.status == JobStatus::Done { "done" } else { "withdrawn" };
        let (took_s, late) = (self.now - job.submitted, self.now > self.wanted_by(job));
        let free_s = job.since - job.submitted;
        let ran_s = job.first_start.map_or(0.0, |at| self.now - at);
        info!(job = %id, class = %s.class, team = %s.team, status, took_s, free_s, ran_s, late, "job over");
    }

    /// Drops what a final job still plans; forgets it once nothing is left.
    pub(crate) fn settle_final(&mut self, id: &str) {
        let Role::Leader(l) = &mut self.role else { return };
        let Some(job) = l.jobs.get_mut(id) else { return };
        if !job.is_final() {
            return;
        }
        let unlaunched: Vec<u32> =
            job.places.iter().filter(|(_, p)| !p.sent && p.seen.is_none()).map(|(&t, _)| t).collect();
        for t in unlaunched {
            job.release(t);
        }
        let now = self.now;
        for p in job.places.values_mut() {
            // Nobody has any use for what would be saved.
            if p.stopping.is_none_or(|(_, grace)| grace > 0.0) {
                (p.stopping, p.told) = (Some((now, 0.0)), false);
            }
        }
        if job.places.is_empty() && job.clean() {
            let f = TerminalJob::of(job);
            self.tell_over(id);
            let Role::Leader(l) = &mut self.role else { return };
            l.jobs.remove(id);
            self.finals.put(id, f.over.status, f.over.done);
            self.finished(f);
        } else {
            self.stop_now(id);
        }
    }
}
