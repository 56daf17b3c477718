//! The controller as a state machine: inputs in; what to send, write and
//! answer out. It has no clock and does no I/O; randomness is seeded in.

mod agents;
mod autoscaling;
mod client_api;
mod election;
mod leader;
pub mod messages;
mod model;
mod proxy;
mod scheduling;
mod storage;

use leader::state::{LeaderState, Role};
pub use messages::*;
pub use model::records;
use model::records::JobRecord;
use protocol::cloud::MachineType;
use protocol::job::JobStatus;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use settings::{Operator, Settings, Timing};
pub use sharding::ProxySafetyChecks;
use sharding::{EventLoopLag, HeartbeatProxy, PeerLiveness, ShardBalancer};
use std::collections::{BTreeMap, VecDeque};

/// A rate that may be spent in bursts of one second's worth.
#[derive(Debug, Clone)]
pub(crate) struct RateLimiter {
    rate: f64,
    available: f64,
    refilled_at: Time,
}

impl RateLimiter {
    fn new(rate: f64) -> Self {
        RateLimiter { rate, available: rate.max(1.0), refilled_at: 0.0 }
    }
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }
    /// Another rate from now on.
    pub(crate) fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
        self.available = self.available.min(rate.max(1.0));
    }
    /// The service refused: half the rate, but not less than `least`.
    pub(crate) fn halve(&mut self, now: Time, least: f64) {
        self.refill(now);
        self.rate = (self.rate / 2.0).max(least);
        self.available = self.available.min(self.rate);
    }
    /// It served: a little more, up to `most`.
    pub(crate) fn recover(&mut self, most: f64) {
        self.rate = (self.rate + most / 100.0).min(most);
    }
    fn refill(&mut self, now: Time) {
        self.available =
            (self.available + (now - self.refilled_at).max(0.0) * self.rate).min(self.rate.max(1.0));
        self.refilled_at = now;
    }
    pub(crate) fn available_at(&mut self, now: Time) -> f64 {
        self.refill(now);
        self.available
    }
    pub(crate) fn try_acquire(&mut self, now: Time, n: f64) -> bool {
        self.refill(now);
        let enough = self.available >= n.min(self.rate.max(1.0));
        if enough {
            self.available -= n;
        }
        enough
    }
}

/// What a call was for, so that its reply finds its way.
#[derive(Debug, Clone)]
pub(crate) enum CallContext {
    LeaderRead,
    LeaderWatch,
    TypesRead,
    Grant,
    Campaign {
        lease: u64,
    },
    CampaignRead {
        lease: u64,
    },
    Renew {
        token: u64,
        sent: Time,
    },
    Revoke,
    RecoveryPage {
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
    ArchiveMove {
        token: u64,
    },
    FormatGateRead,
    FormatRead {
        token: u64,
    },
    FormatWrite {
        token: u64,
        format: u32,
    },
    /// An awaited job's record; `over`: where jobs lie that are over.
    DependencyRead {
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
    ReadBackRecord {
        token: u64,
        key: String,
    },
    FreshnessRead,
    CacheComparison,
    JobRead {
        id: String,
        over: bool,
    },
    /// The mark beside a job's record, which is as it was read.
    CancellationMarkCompare {
        id: String,
        record: Box<JobRecord>,
        version: u64,
    },
    /// The parts of a record's specification, as far as they were read, at the leader
    /// (with its token) or for polls.
    SpecChunks {
        token: Option<u64>,
        record: Box<JobRecord>,
        version: u64,
        pieces: Vec<String>,
    },
    CreateChunks {
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
    HedgedReadBack {
        n: u64,
    },
    TypesWrite,
    CloudTypes {
        token: u64,
    },
    CloudList {
        token: u64,
    },
    ScaleOut {
        token: u64,
    },
    Delete {
        token: u64,
        machines: Vec<String>,
    },
    WorkerCall {
        token: u64,
        machine: String,
        session: u64,
    },
    Forward,
}

/// A call on its way.
pub(crate) struct PendingCall {
    sent_at: Time,
    context: CallContext,
}

/// Final states may be served from memory: they never change.
#[derive(Default)]
pub(crate) struct TerminalStateCache {
    states: BTreeMap<String, (JobStatus, u32)>,
    insertion_order: VecDeque<String>,
}

const MOST_FINALS: usize = 20_000;

impl TerminalStateCache {
    pub(crate) fn insert(&mut self, id: &str, status: JobStatus, done: u32) {
        if !status.is_final() {
            return;
        }
        if self.states.insert(id.to_string(), (status, done)).is_none() {
            self.insertion_order.push_back(id.to_string());
            if self.insertion_order.len() > MOST_FINALS {
                if let Some(old) = self.insertion_order.pop_front() {
                    self.states.remove(&old);
                }
            }
        }
    }
    pub(crate) fn get(&self, id: &str) -> Option<(JobStatus, u32)> {
        self.states.get(id).copied()
    }
}

/// Safety guards, all on. Tests turn one off to show that the simulation
/// notices.
#[derive(Debug, Clone, Copy)]
pub struct SafetyChecks {
    /// Launch only what is committed.
    pub launch_after_commit: bool,
    /// Absence proves something only in a report that has this leader's token.
    pub absence_needs_current_token: bool,
    /// Stop answering reports when the grace is over, counted from what is confirmed and from
    /// what is known.
    pub response_grace: bool,
    /// Wait for the lease of a silent machine before its work is placed anew.
    pub wait_for_lease_expiry: bool,
    /// Count placements against the team's limit.
    pub quota: bool,
    /// A cancellation replaces only the version that it read, and the leader
    /// only the version that it knows.
    pub version_checks: bool,
    /// Reports are taken in their workers' order, by whichever way they come.
    pub heartbeat_order: bool,
    /// Wait for what a lost gateway may have answered.
    pub wait_for_lost_proxies: bool,
    /// A job starts after what it awaits.
    pub dependency_order: bool,
    /// What is told of a job follows from those before it.
    pub cancellation_lineage: bool,
    /// A machine that hears no answer gets no work.
    pub one_way_partitions: bool,
    /// What has waited long beside free places takes them.
    pub work_conservation: bool,
    /// Machines that are only not heard again yet, or that nobody answered for a while, are
    /// neither replaced nor given back.
    pub retain_silent_machines: bool,
    /// Machines for work bound to zones are rented there.
    pub zonal_scale_out: bool,
    /// The gateway's own.
    pub proxy: ProxySafetyChecks,
}

impl Default for SafetyChecks {
    fn default() -> Self {
        SafetyChecks {
            launch_after_commit: true,
            absence_needs_current_token: true,
            response_grace: true,
            wait_for_lease_expiry: true,
            quota: true,
            version_checks: true,
            heartbeat_order: true,
            wait_for_lost_proxies: true,
            dependency_order: true,
            cancellation_lineage: true,
            one_way_partitions: true,
            work_conservation: true,
            retain_silent_machines: true,
            zonal_scale_out: true,
            proxy: ProxySafetyChecks::default(),
        }
    }
}

pub struct Controller {
    checks: SafetyChecks,
    pub(crate) settings: Settings,
    pub(crate) timing: Timing,
    pub(crate) rng: SmallRng,
    pub(crate) now: Time,
    /// Time of day, in seconds.
    pub(crate) time_of_day: f64,
    next_call: CallId,
    pub(crate) calls: BTreeMap<CallId, PendingCall>,
    pub(crate) outputs: Vec<Output>,
    pub(crate) role: Role,
    /// Leader as last read: node name and token.
    pub(crate) known_leader: Option<(String, u64)>,
    pub(crate) previous_incarnation: leader::state::PreviousIncarnation,
    pub(crate) leader_watch: leader::state::WatchCursor,
    pub(crate) campaigning: bool,
    /// What is on its way.
    pub(crate) election_attempt: Option<election::campaign::ElectionAttempt>,
    pub(crate) campaign_at: Time,
    pub(crate) machine_types: Option<Vec<MachineType>>,
    pub(crate) read_types_at: Time,
    pub(crate) terminal_states: TerminalStateCache,
    pub(crate) client_requests: client_api::client_requests::ClientRequests,
    pub(crate) status_queries: client_api::status_queries::StatusQueries,
    pub(crate) client_reads: RateLimiter,
    pub(crate) client_writes: RateLimiter,
    /// How long the state service takes, and users' transactions on their way to it.
    pub(crate) store_latency: client_api::store_latency::RoundTripEstimator,
    pub(crate) hedged_requests: client_api::hedged_requests::HedgedRequests,
    /// What the state service takes, and which version every node has.
    pub(crate) store_limits: storage::store_limits::StoreLimits,
    pub(crate) formats: storage::format_negotiation::FormatNegotiation,
    /// Records whose parts could not be read, with when that was tried.
    pub(crate) spec_chunk_retries: Vec<(Time, Box<JobRecord>, u64)>,
    /// Renewals and transactions confirmed by the service, for the logs.
    pub(crate) store_reached_at: Time,
    /// Since when the state service has refused or not answered every call.
    pub(crate) store_failing_since: Option<Time>,
    /// When each worker last reported here, whatever it was answered, and its session and
    /// number then.
    pub(crate) worker_contacts: BTreeMap<String, (Time, (u64, u64))>,
    /// The other controllers' views, with when they came.
    pub(crate) peers: BTreeMap<String, (protocol::peer::View, Time)>,
    pub(crate) peer_liveness: PeerLiveness,
    pub(crate) operator: Operator,
    pub(crate) proxy: HeartbeatProxy,
    pub(crate) balancer: ShardBalancer,
    pub(crate) event_loop_lag: EventLoopLag,
    /// Whether this node answered reports on a leave when last looked.
    pub(crate) was_proxying: bool,
    /// Workers that stay here, as last counted.
    pub(crate) worker_count: u32,
    /// Those that have come since.
    pub(crate) new_workers: u32,
    pub(crate) counted_at: Time,
    /// The highest token that the state service has shown.
    pub(crate) last_stored_token: u64,
    /// The highest token that another node or a worker has shown.
    pub(crate) last_reported_token: u64,
}

impl Controller {
    pub fn new(settings: Settings, operator: Operator, seed: u64) -> Self {
        let mut d = Timing::from(&settings);
        d.planning_interval_s = operator.tick_s.unwrap_or(d.planning_interval_s);
        let nodes = f64::from(settings.params.nodes.max(1));
        let reads = settings.params.store.rps * 0.8 / nodes;
        let writes = settings.params.store.write_rps * client_api::client_requests::MOST_WRITES;
        let mut rng = SmallRng::seed_from_u64(seed);
        Controller {
            checks: SafetyChecks::default(),
            proxy: HeartbeatProxy::new(&settings.node, rng.gen(), d),
            balancer: ShardBalancer::new(settings.params.workers.lease_s),
            event_loop_lag: EventLoopLag::default(),
            was_proxying: false,
            worker_count: 0,
            new_workers: 0,
            counted_at: 0.0,
            last_stored_token: 0,
            last_reported_token: 0,
            rng,
            now: 0.0,
            time_of_day: 0.0,
            next_call: 1,
            calls: BTreeMap::new(),
            outputs: Vec::new(),
            role: Role::Follower,
            known_leader: None,
            previous_incarnation: leader::state::PreviousIncarnation::default(),
            leader_watch: leader::state::WatchCursor::default(),
            campaigning: false,
            election_attempt: None,
            campaign_at: 0.0,
            machine_types: None,
            read_types_at: 0.0,
            terminal_states: TerminalStateCache::default(),
            client_requests: client_api::client_requests::ClientRequests::default(),
            status_queries: client_api::status_queries::StatusQueries::default(),
            // Users' reads and writes at one node may take their share of
            // four fifths; the rest is for renewals, watches and the leader.
            client_reads: RateLimiter::new(reads),
            client_writes: RateLimiter::new(writes),
            store_latency: client_api::store_latency::RoundTripEstimator::default(),
            hedged_requests: client_api::hedged_requests::HedgedRequests::new(reads, writes),
            store_limits: storage::store_limits::StoreLimits::new(&settings.params.store),
            formats: storage::format_negotiation::FormatNegotiation::default(),
            spec_chunk_retries: Vec::new(),
            store_reached_at: 0.0,
            store_failing_since: None,
            worker_contacts: BTreeMap::new(),
            peers: BTreeMap::new(),
            peer_liveness: PeerLiveness::default(),
            operator,
            settings,
            timing: d,
        }
    }

    /// Turns safety guards off, for tests.
    pub fn set_safety_checks(&mut self, guards: SafetyChecks) {
        self.checks = guards;
        self.proxy.checks = guards.proxy;
    }

    /// Feeds one input in; the returned outputs are to be carried out.
    pub fn handle(&mut self, now: Time, wall: f64, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        self.time_of_day = wall;
        match input {
            Input::Tick => {}
            Input::Request(id, r) => self.on_request(id, r),
            Input::Store(call, reply) => {
                if let Some(c) = self.calls.remove(&call) {
                    self.record_store_reply(&c, &reply);
                    self.on_store_reply(c.context, reply);
                }
            }
            Input::Cloud(call, reply) => {
                if let Some(c) = self.calls.remove(&call) {
                    self.on_cloud_reply(c.context, reply);
                }
            }
            Input::PeerView(view) => {
                if self.settings.peers.iter().any(|p| p.node == view.node) {
                    let gap = self.view_gap_s();
                    self.peer_liveness.record_contact(self.now, &view.node, gap);
                    self.formats.record(&view.node, view.format);
                    self.observe_token(view.token.max(view.newest), &view.node);
                    self.peers.insert(view.node.clone(), (view, self.now));
                }
            }
            Input::ForwardRequest(id, r) => self.on_forward_request(id, r),
            Input::ForwardReply(call, reply) => {
                if self.calls.remove(&call).is_some() {
                    self.on_forward_reply(reply);
                }
            }
            Input::Worker(call, reply) => {
                let purpose = self.calls.remove(&call).map(|c| c.context);
                if let Some(CallContext::WorkerCall { token, machine, session }) = purpose {
                    self.on_worker_reply(token, &machine, session, reply);
                }
            }
        }
        self.tick();
        std::mem::take(&mut self.outputs)
    }

    /// The state service answered a call, or did not.
    fn record_store_reply(&mut self, call: &PendingCall, reply: &StoreReply) {
        self.hedged_requests.record_reply(reply);
        if matches!(reply, StoreReply::Refused | StoreReply::Unknown) {
            self.store_failing_since.get_or_insert(self.now);
            return;
        }
        (self.store_reached_at, self.store_failing_since) = (self.now, None);
        // Watches wait for changes.
        if !matches!(reply, StoreReply::Events(_)) {
            self.store_latency.record(self.now - call.sent_at);
        }
    }

    /// A timer of this node fired `late` seconds after it was due.
    pub fn record_event_loop_lag(&mut self, late: f64) {
        self.event_loop_lag.record(late);
    }

    /// What this node tells the others.
    pub fn view_for_peers(&self) -> protocol::peer::View {
        let since = self.now - self.timing.heartbeat_validity_s;
        let serves = match &self.role {
            Role::Leader(leader) => leader.leadership.authority.may_respond(self.now),
            Role::Follower => self.proxy.may_respond(self.now),
        };
        protocol::peer::View {
            node: self.settings.node.clone(),
            token: if let Role::Leader(leader) = &self.role { leader.fencing_token } else { 0 },
            state_reached: self.store_failing_since.is_none()
                && self.now - self.store_reached_at < self.timing.leader_lease_s,
            workers_heard: self.worker_contacts.values().filter(|w| w.0 > since).count() as u32,
            workers: self.worker_count,
            format: model::records::FORMAT,
            newest: self.newest_token(),
            room: self.timing.worker_capacity,
            serves,
            weight: (self.event_loop_lag.weight() * 1000.0) as u32,
        }
    }

    /// The highest token that this node has seen anywhere.
    fn newest_token(&self) -> u64 {
        let led = self.known_leader.as_ref().map_or(0, |l| l.1);
        led.max(self.last_stored_token).max(self.last_reported_token)
    }

    /// Whether this node alone misses the state service, so that users are
    /// better off with the others: a peer has reached it since. In an outage
    /// all stay, or users would be kept away for longer than it lasts.
    fn should_fail_health_check(&self) -> bool {
        let Some(since) = self.store_failing_since else { return false };
        let judged = since + self.timing.renewal_interval_s;
        // Nor does any other node reach this one: it is cut off, with its workers at most.
        let alone = !self.peers.is_empty() && self.peers.values().all(|(_, at)| *at < since);
        if alone && self.now > since + self.timing.leader_lease_s {
            return true;
        }
        self.now > judged && self.peers.values().any(|(v, at)| v.state_reached && *at > judged)
    }

    /// When `Tick` is due next if nothing else happens.
    pub fn wake_interval_s(&self) -> f64 {
        let usual = self.default_wake_interval_s();
        // What is overdue is noticed soon after it is.
        if self.hedged_requests.has_open() {
            usual.min(self.timing.hedge_after_s / 3.0)
        } else {
            usual
        }
    }

    fn default_wake_interval_s(&self) -> f64 {
        match &self.role {
            Role::Leader(leader) if leader.heartbeats.pending.values().any(|h| !h.idle) => 0.02,
            Role::Leader(leader) if leader.forwarding.has_open_request() => {
                self.timing.forward_interval_s.min(0.1)
            }
            Role::Leader(_) => 0.1,
            Role::Follower if self.proxy.has_pending() => self.timing.forward_interval_s.min(0.2),
            Role::Follower => 0.2,
        }
    }

    fn machines(&self) -> impl Iterator<Item = &model::machine::Machine> {
        let lead = match &self.role {
            Role::Leader(leader) => Some(leader),
            Role::Follower => None,
        };
        lead.into_iter().flat_map(|leader| leader.cluster.machines.values())
    }

    /// Machines that this leader takes for faulty.
    pub fn quarantined(&self) -> impl Iterator<Item = &str> {
        self.machines().filter(|m| m.quarantined).map(|m| m.id.as_str())
    }

    /// Machines that this leader would give work to now, their workers heard.
    pub fn usable_machines(&self) -> impl Iterator<Item = &str> {
        let up = |m: &&model::machine::Machine| m.accepts_work() && m.is_heard(self.now, &self.timing);
        self.machines().filter(up).map(|m| m.id.as_str())
    }

    /// Machines that this leader gives back or takes for faulty.
    pub fn machines_leaving(&self) -> impl Iterator<Item = &str> {
        self.machines().filter(|m| !m.accepts_work()).map(|m| m.id.as_str())
    }

    /// Machines that this leader has given up as silent and that may be there yet;
    /// whether it may still act upon that or not.
    pub fn machines_given_up(&self) -> impl Iterator<Item = &str> {
        self.machines().filter(|m| m.given_up).map(|m| m.id.as_str())
    }

    /// Placements that this leader knows of.
    pub fn placement_count(&self) -> usize {
        match &self.role {
            Role::Leader(leader) => leader.cluster.jobs.values().map(|j| j.placements.len()).sum(),
            Role::Follower => 0,
        }
    }

    /// Tasks of live jobs that this leader knows to have ended.
    pub fn completed_task_count(&self) -> usize {
        match &self.role {
            Role::Leader(leader) => leader.cluster.jobs.values().map(|j| j.done_count as usize).sum(),
            Role::Follower => 0,
        }
    }

    /// Jobs that wait for others, as far as this leader knows.
    pub fn waiting_job_count(&self) -> usize {
        match &self.role {
            Role::Leader(leader) => leader.dependencies.graph.waiting_count(),
            Role::Follower => 0,
        }
    }

    /// Whether it leads and has read all records.
    pub fn has_recovered(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if leader.recovery.finished)
    }

    /// The token with which it leads.
    pub fn token(&self) -> Option<u64> {
        match &self.role {
            Role::Leader(leader) => Some(leader.fencing_token),
            Role::Follower => None,
        }
    }

    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    pub(crate) fn register_call(&mut self, context: CallContext) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(id, PendingCall { sent_at: self.now, context });
        id
    }

    pub(crate) fn call_store(&mut self, context: CallContext, request: StoreRequest) -> CallId {
        let id = self.register_call(context);
        self.outputs.push(Output::Store(id, request));
        id
    }

    pub(crate) fn call_cloud(&mut self, context: CallContext, request: CloudRequest) -> CallId {
        let id = self.register_call(context);
        self.outputs.push(Output::Cloud(id, request));
        id
    }

    pub(crate) fn call_worker(
        &mut self,
        context: CallContext,
        addr: &str,
        body: protocol::worker::DirectCommands,
    ) {
        let id = self.register_call(context);
        self.outputs.push(Output::Worker(id, addr.to_string(), body));
    }

    pub(crate) fn respond(&mut self, id: RequestId, status: u16, body: Vec<u8>) {
        self.outputs.push(Output::Response(id, HttpResponse { status, body, retry_after_s: None }));
    }

    pub(crate) fn respond_error(&mut self, id: RequestId, status: u16, why: &str) {
        let body = protocol::encode(&protocol::job::ErrorResponse { error: why.to_string() });
        // Users wait a second at least anyway; nothing is won by asking more.
        let retry_after_s = (status == 503).then_some(1);
        self.outputs.push(Output::Response(id, HttpResponse { status, body, retry_after_s }));
    }

    fn on_request(&mut self, id: RequestId, request: Request) {
        match request {
            Request::Submit(body) => self.on_submit(id, &body),
            Request::QueryStatus(job) => self.on_status_query(id, &job),
            Request::Cancel(job) => self.on_cancel(id, &job),
            Request::Heartbeat(body) => self.on_heartbeat(id, &body),
            Request::HealthCheck => {
                if self.should_fail_health_check() {
                    self.respond_error(id, 503, "state service not reached from here");
                } else if self.machine_types.is_some() {
                    self.respond(id, 200, protocol::encode(&self.health()));
                } else {
                    self.respond_error(id, 503, "machine types not known yet");
                }
            }
        }
    }

    fn on_store_reply(&mut self, context: CallContext, reply: StoreReply) {
        match context {
            CallContext::LeaderRead => self.on_leader_read(reply),
            CallContext::LeaderWatch => self.on_leader_watch(reply),
            CallContext::TypesRead => self.on_types_read(reply),
            CallContext::Grant => self.on_lease_granted(reply),
            CallContext::Campaign { lease } => self.on_campaign_reply(lease, reply),
            CallContext::CampaignRead { lease } => self.on_campaign_read(lease, reply),
            CallContext::Renew { token, sent } => self.on_lease_renewed(token, sent, reply),
            CallContext::Revoke | CallContext::TypesWrite => {}
            CallContext::RecoveryPage { token, sent } => self.on_recovery_page(token, sent, reply),
            CallContext::JobWatch { token, sent } => self.on_job_watch(token, sent, reply),
            CallContext::Commit { token, serial } => self.on_committed(token, serial, reply),
            CallContext::ArchiveMove { token } => self.on_archive_moved(token, reply),
            CallContext::FormatGateRead => self.on_format_gate_read(reply),
            CallContext::FormatRead { token } => self.on_format_read(token, reply),
            CallContext::FormatWrite { token, format } => self.on_format_write(token, format, reply),
            CallContext::DependencyRead { token, id, over } => {
                self.on_dependency_read(token, &id, over, reply)
            }
            CallContext::ImagesWrite { token } => self.on_images_write(token, reply),
            CallContext::ImagesRead { token, part } => self.on_images_read(token, part, reply),
            CallContext::ReadBackRecord { token, key } => self.on_read_back_record(token, &key, reply),
            CallContext::FreshnessRead => self.on_freshness_read(reply),
            CallContext::CacheComparison => self.on_comparison(reply),
            CallContext::JobRead { id, over } => self.on_job_read(&id, over, reply),
            CallContext::CancellationMarkCompare { id, record, version } => {
                self.on_cancellation_mark_compared(&id, &record, version, reply)
            }
            CallContext::SpecChunks { token, record, version, pieces } => {
                self.on_spec_chunks(token, record, version, pieces, reply);
            }
            CallContext::CreateChunks { id } => self.on_chunks_stored(&id, reply),
            CallContext::Create { id } => self.on_job_created(&id, reply),
            CallContext::CancelRead { id, tries, over } => self.on_cancel_read(&id, tries, over, reply),
            CallContext::CancelWrite { id, tries } => self.on_cancel_write(&id, tries, reply),
            CallContext::Hedged { n } => self.on_hedged_reply(n, reply),
            CallContext::HedgedReadBack { n } => self.on_hedged_read_back(n, reply),
            _ => {}
        }
    }

    fn tick(&mut self) {
        self.tick_election();
        self.tick_format_gate();
        self.tick_client_requests();
        self.tick_hedged_requests();
        self.tick_status_queries();
        self.tick_spec_chunks();
        if self.now - self.counted_at >= self.timing.renewal_interval_s {
            self.counted_at = self.now;
            self.count_workers();
            // A twelfth of a report's interval late is late for workers, too.
            self.event_loop_lag.update_weight(self.settings.params.workers.heartbeat_interval_s / 12.0);
        }
        self.tick_proxy();
        self.tick_leader();
    }

    pub(crate) fn leader_state(&mut self, token: u64) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(leader) if leader.fencing_token == token => Some(leader),
            _ => None,
        }
    }
}
