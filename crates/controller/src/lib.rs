//! The controller as a state machine: inputs in; what to send, write and
//! answer out. It has no clock and does no I/O; randomness is seeded in.

mod archive;
mod cancellation_lineage;
mod client_requests;
mod early_heartbeats;
mod effective_priority;
mod election;
mod fleet;
mod format_negotiation;
mod heartbeat_proxying;
mod heartbeats;
mod hedged_requests;
mod job;
mod job_dependencies;
mod leader;
mod lease_authority;
mod machine;
pub mod messages;
mod one_way_partition;
mod page_layout;
mod pending_kills;
pub mod records;
mod round_trip;
mod scheduling;
mod spec_chunks;
mod starvation;
mod status_queries;
mod store_limits;
mod undecodable;
mod work_conservation;
mod write_queue;
mod zonal_demand;

use leader::{LeaderState, Role};
pub use messages::*;
use protocol::cloud::MachineType;
use protocol::job::JobStatus;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use records::JobRecord;
use settings::{Operator, Settings, Timing};
pub use sharding::ProxySafetyChecks;
use sharding::{EventLoopLag, HeartbeatProxy, PeerLiveness, ShardBalancer};
use std::collections::{BTreeMap, VecDeque};

/// A rate that may be spent in bursts of one second's worth.
#[derive(Debug, Clone)]
pub(crate) struct RateLimiter {
    rate: f64,
    level: f64,
    at: Time,
}

impl RateLimiter {
    fn new(rate: f64) -> Self {
        RateLimiter { rate, level: rate.max(1.0), at: 0.0 }
    }
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }
    /// Another rate from now on.
    pub(crate) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
        self.level = self.level.min(rate.max(1.0));
    }
    /// The service refused: half the rate, but not less than `least`.
    pub(crate) fn slow_down(&mut self, now: Time, least: f64) {
        self.refill(now);
        self.rate = (self.rate / 2.0).max(least);
        self.level = self.level.min(self.rate);
    }
    /// It served: a little more, up to `most`.
    pub(crate) fn speed_up(&mut self, most: f64) {
        self.rate = (self.rate + most / 100.0).min(most);
    }
    fn refill(&mut self, now: Time) {
        self.level = (self.level + (now - self.at).max(0.0) * self.rate).min(self.rate.max(1.0));
        self.at = now;
    }
    pub(crate) fn left(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.level
    }
    pub(crate) fn take(&mut self, now: Time, n: f64) -> bool {
        self.refill(now);
        let enough = self.level >= n.min(self.rate.max(1.0));
        if enough {
            self.level -= n;
        }
        enough
    }
}

/// What a call was for, so that its reply finds its way.
#[derive(Debug, Clone)]
pub(crate) enum CallContext {
    LeaderLook,
    LeaderWatch,
    TypesLook,
    Grant,
    Claim {
        lease: u64,
    },
    ClaimLook {
        lease: u64,
    },
    Renew {
        token: u64,
        sent: Time,
    },
    Revoke,
    Load {
        token: u64,
        sent: Time,
    },
    JobWatch {
        token: u64,
        sent: Time,
    },
    Commit {
        token: u64,
        serial: u64,
    },
    Move {
        token: u64,
    },
    GateLook,
    FormatLook {
        token: u64,
    },
    FormatWrite {
        token: u64,
        format: u32,
    },
    /// An awaited job's record; `over`: where jobs lie that are over.
    Awaited {
        token: u64,
        id: String,
        over: bool,
    },
    ImagesWrite {
        token: u64,
    },
    ImagesRead {
        token: u64,
        part: usize,
    },
    Reread {
        token: u64,
        key: String,
    },
    Look,
    Compare,
    Poll {
        id: String,
        over: bool,
    },
    /// The mark beside a job's record, which is as it was read.
    PollMark {
        id: String,
        record: Box<JobRecord>,
        version: u64,
    },
    /// The parts of a record's specification, as far as they were read, at the leader
    /// (with its token) or for polls.
    Parts {
        token: Option<u64>,
        record: Box<JobRecord>,
        version: u64,
        pieces: Vec<String>,
    },
    CreateParts {
        id: String,
    },
    Create {
        id: String,
    },
    /// `over`: where jobs lie that are over.
    CancelRead {
        id: String,
        tries: u32,
        over: bool,
    },
    CancelWrite {
        id: String,
        tries: u32,
    },
    /// A copy of a transaction that users wait for, and what it writes.
    Hedged {
        n: u64,
    },
    ReadBack {
        n: u64,
    },
    TypesWrite,
    CloudTypes {
        token: u64,
    },
    CloudList {
        token: u64,
    },
    Rent {
        token: u64,
    },
    Delete {
        token: u64,
        machines: Vec<String>,
    },
    Direct {
        token: u64,
        machine: String,
        session: u64,
    },
    Relay,
}

/// A call on its way.
pub(crate) struct PendingCall {
    sent: Time,
    purpose: CallContext,
}

/// Final states may be served from memory: they never change.
#[derive(Default)]
pub(crate) struct TerminalStateCache {
    map: BTreeMap<String, (JobStatus, u32)>,
    order: VecDeque<String>,
}

const MOST_FINALS: usize = 20_000;

impl TerminalStateCache {
    pub(crate) fn put(&mut self, id: &str, status: JobStatus, done: u32) {
        if !status.is_final() {
            return;
        }
        if self.map.insert(id.to_string(), (status, done)).is_none() {
            self.order.push_back(id.to_string());
            if self.order.len() > MOST_FINALS {
                if let Some(old) = self.order.pop_front() {
                    self.map.remove(&old);
                }
            }
        }
    }
    pub(crate) fn get(&self, id: &str) -> Option<(JobStatus, u32)> {
        self.map.get(id).copied()
    }
}

/// Safety guards, all on. Tests turn one off to show that the simulation
/// notices.
#[derive(Debug, Clone, Copy)]
pub struct SafetyChecks {
    /// Launch only what is committed.
    pub write_ahead: bool,
    /// Absence proves something only in a report that has this leader's token.
    pub settled_only: bool,
    /// Stop answering reports when the grace is over, counted from what is confirmed and from
    /// what is known.
    pub grace: bool,
    /// Wait for the lease of a silent machine before its work is placed anew.
    pub lease_wait: bool,
    /// Count placements against the team's limit.
    pub quota: bool,
    /// A cancellation replaces only the version that it read, and the leader
    /// only the version that it knows.
    pub versions: bool,
    /// Reports are taken in their workers' order, by whichever way they come.
    pub order: bool,
    /// Wait for what a lost gateway may have answered.
    pub relay_wait: bool,
    /// A job starts after what it awaits.
    pub awaits: bool,
    /// What is told of a job follows from those before it.
    pub lineage: bool,
    /// A machine that hears no answer gets no work.
    pub ears: bool,
    /// What has waited long beside free places takes them.
    pub beside: bool,
    /// Machines that are only not heard again yet, or that nobody answered for a while, are
    /// neither replaced nor given back.
    pub asleep: bool,
    /// Machines for work bound to zones are rented there.
    pub bound: bool,
    /// The gateway's own.
    pub gateway: ProxySafetyChecks,
}

impl Default for SafetyChecks {
    fn default() -> Self {
        SafetyChecks {
            write_ahead: true,
            settled_only: true,
            grace: true,
            lease_wait: true,
            quota: true,
            versions: true,
            order: true,
            relay_wait: true,
            awaits: true,
            lineage: true,
            ears: true,
            beside: true,
            asleep: true,
            bound: true,
            gateway: ProxySafetyChecks::default(),
        }
    }
}

pub struct Controller {
    guards: SafetyChecks,
    pub(crate) settings: Settings,
    pub(crate) d: Timing,
    pub(crate) rng: SmallRng,
    pub(crate) now: Time,
    /// Time of day, in seconds.
    pub(crate) wall: f64,
    next_call: CallId,
    pub(crate) calls: BTreeMap<CallId, PendingCall>,
    pub(crate) out: Vec<Output>,
    pub(crate) role: Role,
    /// Leader as last read: node name and token.
    pub(crate) known_leader: Option<(String, u64)>,
    pub(crate) predecessor: leader::PreviousIncarnation,
    pub(crate) leader_watch: leader::WatchCursor,
    pub(crate) claiming: bool,
    /// What is on its way.
    pub(crate) claim: Option<election::ElectionAttempt>,
    pub(crate) claim_at: Time,
    pub(crate) types: Option<Vec<MachineType>>,
    pub(crate) types_look_at: Time,
    pub(crate) finals: TerminalStateCache,
    pub(crate) users: client_requests::ClientRequests,
    pub(crate) polls: status_queries::StatusQueries,
    pub(crate) reads: RateLimiter,
    pub(crate) writes: RateLimiter,
    /// How long the state service takes, and users' transactions on their way to it.
    pub(crate) round_trip: round_trip::RoundTripEstimator,
    pub(crate) hedges: hedged_requests::HedgedRequests,
    /// What the state service takes, and which version every node has.
    pub(crate) limits: store_limits::StoreLimits,
    pub(crate) versions: format_negotiation::FormatNegotiation,
    /// Records whose parts could not be read, with when that was tried.
    pub(crate) parts_again: Vec<(Time, Box<JobRecord>, u64)>,
    /// Renewals and transactions confirmed by the service, for the logs.
    pub(crate) state_ok_at: Time,
    /// Since when the state service has refused or not answered every call.
    pub(crate) state_bad_since: Option<Time>,
    /// When each worker last reported here, whatever it was answered, and its session and
    /// number then.
    pub(crate) workers_heard: BTreeMap<String, (Time, (u64, u64))>,
    /// The other controllers' views, with when they came.
    pub(crate) peers: BTreeMap<String, (protocol::peer::View, Time)>,
    pub(crate) presence: PeerLiveness,
    pub(crate) operator: Operator,
    pub(crate) gateway: HeartbeatProxy,
    pub(crate) spread: ShardBalancer,
    pub(crate) lateness: EventLoopLag,
    /// Whether this node answered reports on a leave when last looked.
    pub(crate) served: bool,
    /// Workers that stay here, as last counted.
    pub(crate) workers_here: u32,
    /// Those that have come since.
    pub(crate) newcomers: u32,
    pub(crate) counted_at: Time,
    /// The highest token that the state service has shown.
    pub(crate) last_token: u64,
    /// The highest token that another node or a worker has shown.
    pub(crate) heard_token: u64,
}

impl Controller {
    pub fn new(settings: Settings, operator: Operator, seed: u64) -> Self {
        let mut d = Timing::from(&settings);
        d.tick_s = operator.tick_s.unwrap_or(d.tick_s);
        let nodes = f64::from(settings.params.nodes.max(1));
        let reads = settings.params.state.rps * 0.8 / nodes;
        let writes = settings.params.state.write_rps * client_requests::MOST_WRITES;
        let mut rng = SmallRng::seed_from_u64(seed);
        Controller {
            guards: SafetyChecks::default(),
            gateway: HeartbeatProxy::new(&settings.node, rng.gen(), d),
            spread: ShardBalancer::new(settings.params.workers.lease_s),
            lateness: EventLoopLag::default(),
            served: false,
            workers_here: 0,
            newcomers: 0,
            counted_at: 0.0,
            last_token: 0,
            heard_token: 0,
            rng,
            now: 0.0,
            wall: 0.0,
            next_call: 1,
            calls: BTreeMap::new(),
            out: Vec::new(),
            role: Role::Follower,
            known_leader: None,
            predecessor: leader::PreviousIncarnation::default(),
            leader_watch: leader::WatchCursor::default(),
            claiming: false,
            claim: None,
            claim_at: 0.0,
            types: None,
            types_look_at: 0.0,
            finals: TerminalStateCache::default(),
            users: client_requests::ClientRequests::default(),
            polls: status_queries::StatusQueries::default(),
            // Users' reads and writes at one node may take their share of
            // four fifths; the rest is for renewals, watches and the leader.
            reads: RateLimiter::new(reads),
            writes: RateLimiter::new(writes),
            round_trip: round_trip::RoundTripEstimator::default(),
            hedges: hedged_requests::HedgedRequests::new(reads, writes),
            limits: store_limits::StoreLimits::new(&settings.params.state),
            versions: format_negotiation::FormatNegotiation::default(),
            parts_again: Vec::new(),
            state_ok_at: 0.0,
            state_bad_since: None,
            workers_heard: BTreeMap::new(),
            peers: BTreeMap::new(),
            presence: PeerLiveness::default(),
            operator,
            settings,
            d,
        }
    }

    /// Turns safety guards off, for tests.
    pub fn set_guards(&mut self, guards: SafetyChecks) {
        self.guards = guards;
        self.gateway.guards = guards.gateway;
    }

    /// Feeds one input in; the returned outputs are to be carried out.
    pub fn handle(&mut self, now: Time, wall: f64, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        self.wall = wall;
        match input {
            Input::Tick => {}
            Input::Request(id, r) => self.on_request(id, r),
            Input::State(call, reply) => {
                if let Some(c) = self.calls.remove(&call) {
                    self.note_answer(&c, &reply);
                    self.on_state(c.purpose, reply);
                }
            }
            Input::Cloud(call, reply) => {
                if let Some(c) = self.calls.remove(&call) {
                    self.on_cloud(c.purpose, reply);
                }
            }
            Input::Peer(view) => {
                if self.settings.peers.iter().any(|p| p.node == view.node) {
                    let gap = self.view_gap_s();
                    self.presence.heard(self.now, &view.node, gap);
                    self.versions.heard(&view.node, view.format);
                    self.heard_of(view.token.max(view.newest), &view.node);
                    self.peers.insert(view.node.clone(), (view, self.now));
                }
            }
            Input::RelayRequest(id, r) => self.on_relay_request(id, r),
            Input::RelayReply(call, reply) => {
                if self.calls.remove(&call).is_some() {
                    self.on_relay_reply(reply);
                }
            }
            Input::Worker(call, reply) => {
                let purpose = self.calls.remove(&call).map(|c| c.purpose);
                if let Some(CallContext::Direct { token, machine, session }) = purpose {
                    self.on_direct(token, &machine, session, reply);
                }
            }
        }
        self.on_time();
        std::mem::take(&mut self.out)
    }

    /// The state service answered a call, or did not.
    fn note_answer(&mut self, c: &PendingCall, r: &StoreReply) {
        self.hedges.note(r);
        if matches!(r, StoreReply::Refused | StoreReply::Unknown) {
            self.state_bad_since.get_or_insert(self.now);
            return;
        }
        (self.state_ok_at, self.state_bad_since) = (self.now, None);
        // Watches wait for changes.
        if !matches!(r, StoreReply::Events(_)) {
            self.round_trip.note(self.now - c.sent);
        }
    }

    /// A timer of this node fired `late` seconds after it was due.
    pub fn note_lateness(&mut self, late: f64) {
        self.lateness.note(late);
    }

    /// What this node tells the others.
    pub fn view_for_peers(&self) -> protocol::peer::View {
        let since = self.now - self.d.heard_s;
        let serves = match &self.role {
            Role::Leader(l) => l.authority.renews(self.now),
            Role::Follower => self.gateway.serves(self.now),
        };
        protocol::peer::View {
            node: self.settings.node.clone(),
            token: if let Role::Leader(l) = &self.role { l.token } else { 0 },
            state_reached: self.state_bad_since.is_none()
                && self.now - self.state_ok_at < self.d.leader_ttl_s,
            workers_heard: self.workers_heard.values().filter(|w| w.0 > since).count() as u32,
            workers: self.workers_here,
            format: records::FORMAT,
            newest: self.newest_token(),
            room: self.d.worker_room,
            serves,
            weight: (self.lateness.weight() * 1000.0) as u32,
        }
    }

    /// The highest token that this node has seen anywhere.
    fn newest_token(&self) -> u64 {
        let led = self.known_leader.as_ref().map_or(0, |l| l.1);
        led.max(self.last_token).max(self.heard_token)
    }

    /// Whether this node alone misses the state service, so that users are
    /// better off with the others: a peer has reached it since. In an outage
    /// all stay, or users would be kept away for longer than it lasts.
    fn users_better_elsewhere(&self) -> bool {
        let Some(since) = self.state_bad_since else { return false };
        let judged = since + self.d.renew_s;
        // Nor does any other node reach this one: it is cut off, with its workers at most.
        let alone = !self.peers.is_empty() && self.peers.values().all(|(_, at)| *at < since);
        if alone && self.now > since + self.d.leader_ttl_s {
            return true;
        }
        self.now > judged && self.peers.values().any(|(v, at)| v.state_reached && *at > judged)
    }

    /// When `Tick` is due next if nothing else happens.
    pub fn wake_s(&self) -> f64 {
        let usual = self.usual_wake_s();
        // What is overdue is noticed soon after it is.
        if self.hedges.waits() {
            usual.min(self.d.overdue_s / 3.0)
        } else {
            usual
        }
    }

    fn usual_wake_s(&self) -> f64 {
        match &self.role {
            Role::Leader(l) if l.held.values().any(|h| !h.idle) => 0.02,
            Role::Leader(l) if l.relays.open() => self.d.relay_s.min(0.1),
            Role::Leader(_) => 0.1,
            Role::Follower if self.gateway.waits() => self.d.relay_s.min(0.2),
            Role::Follower => 0.2,
        }
    }

    fn machines(&self) -> impl Iterator<Item = &machine::Machine> {
        let lead = match &self.role {
            Role::Leader(l) => Some(l),
            Role::Follower => None,
        };
        lead.into_iter().flat_map(|l| l.machines.values())
    }

    /// Machines that this leader takes for faulty.
    pub fn quarantined(&self) -> impl Iterator<Item = &str> {
        self.machines().filter(|m| m.sick).map(|m| m.id.as_str())
    }

    /// Machines that this leader would give work to now, their workers heard.
    pub fn usable_machines(&self) -> impl Iterator<Item = &str> {
        let up = |m: &&machine::Machine| m.takes_work() && m.heard_lately(self.now, &self.d);
        self.machines().filter(up).map(|m| m.id.as_str())
    }

    /// Machines that this leader gives back or takes for faulty.
    pub fn leaving(&self) -> impl Iterator<Item = &str> {
        self.machines().filter(|m| !m.takes_work()).map(|m| m.id.as_str())
    }

    /// Machines that this leader has given up as silent and that may be there yet;
    /// whether it may still act upon that or not.
    pub fn given_up(&self) -> impl Iterator<Item = &str> {
        self.machines().filter(|m| m.given_up).map(|m| m.id.as_str())
    }

    /// Placements that this leader knows of.
    pub fn places(&self) -> usize {
        match &self.role {
            Role::Leader(l) => l.jobs.values().map(|j| j.places.len()).sum(),
            Role::Follower => 0,
        }
    }

    /// Tasks of live jobs that this leader knows to have ended.
    pub fn tasks_done(&self) -> usize {
        match &self.role {
            Role::Leader(l) => l.jobs.values().map(|j| j.done_count as usize).sum(),
            Role::Follower => 0,
        }
    }

    /// Jobs that wait for others, as far as this leader knows.
    pub fn jobs_waiting(&self) -> usize {
        match &self.role {
            Role::Leader(l) => l.pipelines.graph.waiting(),
            Role::Follower => 0,
        }
    }

    /// Whether it leads and has read all records.
    pub fn has_loaded(&self) -> bool {
        matches!(&self.role, Role::Leader(l) if l.loaded)
    }

    /// The token with which it leads.
    pub fn token(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(l) => Some(l.token),
            Role::Follower => None,
        }
    }

    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    pub(crate) fn call_id(&mut self, purpose: CallContext) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, PendingCall { sent: self.now, purpose });
        id
    }

    pub(crate) fn state(&mut self, purpose: CallContext, op: StoreRequest) -> CallId {
        let id = self.call_id(purpose);
        self.out.push(Output::State(id, op));
        id
    }

    pub(crate) fn cloud(&mut self, purpose: CallContext, op: CloudRequest) -> CallId {
        let id = self.call_id(purpose);
        self.out.push(Output::Cloud(id, op));
        id
    }

    pub(crate) fn direct(
        &mut self,
        purpose: CallContext,
        addr: &str,
        body: protocol::worker::DirectCommands,
    ) {
        let id = self.call_id(purpose);
        self.out.push(Output::Worker(id, addr.to_string(), body));
    }

    pub(crate) fn answer(&mut self, id: RequestId, status: u16, body: Vec<u8>) {
        self.out.push(Output::Answer(id, HttpResponse { status, body, retry_after_s: None }));
    }

    pub(crate) fn refuse(&mut self, id: RequestId, status: u16, why: &str) {
        let body = protocol::encode(&protocol::job::ErrorResponse { error: why.to_string() });
        // Users wait a second at least anyway; nothing is won by asking more.
        let retry_after_s = (status == 503).then_some(1);
        self.out.push(Output::Answer(id, HttpResponse { status, body, retry_after_s }));
    }

    fn on_request(&mut self, id: RequestId, r: Request) {
        match r {
            Request::Submit(body) => self.on_submit(id, &body),
            Request::Poll(job) => self.on_poll(id, &job),
            Request::Cancel(job) => self.on_cancel(id, &job),
            Request::Report(body) => self.on_report(id, &body),
            Request::Up => {
                if self.users_better_elsewhere() {
                    self.refuse(id, 503, "state service not reached from here");
                } else if self.types.is_some() {
                    self.answer(id, 200, protocol::encode(&self.health()));
                } else {
                    self.refuse(id, 503, "machine types not known yet");
                }
            }
        }
    }

    fn on_state(&mut self, p: CallContext, r: StoreReply) {
        match p {
            CallContext::LeaderLook => self.on_leader_look(r),
            CallContext::LeaderWatch => self.on_leader_watch(r),
            CallContext::TypesLook => self.on_types_look(r),
            CallContext::Grant => self.on_grant(r),
            CallContext::Claim { lease } => self.on_claim(lease, r),
            CallContext::ClaimLook { lease } => self.on_claim_look(lease, r),
            CallContext::Renew { token, sent } => self.on_renew(token, sent, r),
            CallContext::Revoke | CallContext::TypesWrite => {}
            CallContext::Load { token, sent } => self.on_load(token, sent, r),
            CallContext::JobWatch { token, sent } => self.on_job_watch(token, sent, r),
            CallContext::Commit { token, serial } => self.on_commit(token, serial, r),
            CallContext::Move { token } => self.on_move(token, r),
            CallContext::GateLook => self.on_gate_look(r),
            CallContext::FormatLook { token } => self.on_format_look(token, r),
            CallContext::FormatWrite { token, format } => self.on_format_write(token, format, r),
            CallContext::Awaited { token, id, over } => self.on_awaited(token, &id, over, r),
            CallContext::ImagesWrite { token } => self.on_images_write(token, r),
            CallContext::ImagesRead { token, part } => self.on_images_read(token, part, r),
            CallContext::Reread { token, key } => self.on_reread(token, &key, r),
            CallContext::Look => self.on_look(r),
            CallContext::Compare => self.on_compare(r),
            CallContext::Poll { id, over } => self.on_poll_read(&id, over, r),
            CallContext::PollMark { id, record, version } => self.on_poll_mark(&id, &record, version, r),
            CallContext::Parts { token, record, version, pieces } => {
                self.on_parts(token, record, version, pieces, r);
            }
            CallContext::CreateParts { id } => self.on_create_parts(&id, r),
            CallContext::Create { id } => self.on_create(&id, r),
            CallContext::CancelRead { id, tries, over } => self.on_cancel_read(&id, tries, over, r),
            CallContext::CancelWrite { id, tries } => self.on_cancel_write(&id, tries, r),
            CallContext::Hedged { n } => self.on_hedged(n, r),
            CallContext::ReadBack { n } => self.on_read_back(n, r),
            _ => {}
        }
    }

    fn on_time(&mut self) {
        self.follow_leader();
        self.look_at_gate();
        self.users_on_time();
        self.hedges_on_time();
        self.polls_on_time();
        self.parts_on_time();
        if self.now - self.counted_at >= self.d.renew_s {
            self.counted_at = self.now;
            self.count_workers();
            // A twelfth of a report's interval late is late for workers, too.
            self.lateness.adjust(self.settings.params.workers.report_s / 12.0);
        }
        self.gateway_on_time();
        self.lead_on_time();
    }

    pub(crate) fn lead(&mut self, token: u64) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(l) if l.token == token => Some(l),
            _ => None,
        }
    }
}
