//! Seeded simulation of a deployment: several controllers, a simulated store, cloud, workers and
//! users, and a network that loses, delays and holds back messages.
//!
//! All events go through one queue in simulated time, and all random numbers come from one
//! generator, so a run can be repeated exactly. `tests/digests.rs` compares every message of
//! recorded runs with a stored digest: the order of random draws and the order of events must not
//! change unintentionally.

mod calls;
mod command_copies;
mod digest;
mod event;
mod fault;
mod fault_injection;
mod heartbeat_replay;
mod inspection;
mod interception;
mod invariants;
mod message_label;
mod metrics;
mod network;
mod node;
mod queries;
mod setup;
mod store_access;
mod tasks;
mod users;
mod work_conservation;
mod workers;
mod world;

pub use command_copies::{CommandCopies, RepeatedStart};
pub use digest::Digest;
pub use fault::{Fault, ScheduledFault};
pub use interception::{MessageFault, MessageKind, PlannedFault, RecordedMessage};
pub use metrics::Metrics;
pub use queries::QueryCounts;
pub use setup::{Setup, Submission};
pub use store_access::UnansweredWrite;

use crate::cloud::Cloud;
use crate::rules::{History, Rule, Violation};
use crate::state::{Limits, Store};
use crate::worker::{Launch, TaskKey, TaskPhase, Worker};
use controller::*;
use event::{CallKey, Event, EventQueue};
use fault_injection::ActiveFaults;
use node::{Node, Requester, NODE_NAMES};
use prost::Message;
use protocol::job::*;
use protocol::worker::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use settings::{Operator, Peer, Settings, Timing};
use std::collections::{BTreeMap, BTreeSet};
use store_access::PendingWatch;
use users::User;

/// Deployment in simulated time.
pub struct Simulation {
    /// Simulated seconds since the start.
    pub now: f64,
    /// Statuses that users received, what actually happened, and the rule violations.
    pub history: History,
    /// Counters and durations of the run so far.
    pub metrics: Metrics,
    /// Machines deleted by a controller, in order of deletion.
    pub deleted: Vec<DeletedMachine>,
    /// Machines that a leader still considered usable long after they were lost or deleted.
    pub usable_after_loss: BTreeSet<String>,
    /// Machines that were declared dead although they had a valid lease and were not hung.
    pub wrongly_declared_dead: BTreeSet<String>,
    /// Machines that a controller quarantined as faulty.
    pub quarantined: BTreeSet<String>,
    /// Transactions that were applied although their sender received no response.
    pub unanswered_writes: Vec<UnansweredWrite>,
    /// Tasks that started after a user was told that their job is cancelled.
    pub late_starts: Vec<LateStart>,
    /// Attempts that a worker started again after it had removed them.
    pub repeated_starts: Vec<RepeatedStart>,
    /// Late copies of messages with commands.
    pub command_copies: CommandCopies,
    settings: Settings,
    checks: SafetyChecks,
    /// Share of all messages that is lost.
    loss: f64,
    forward_timeout_s: f64,
    rng: SmallRng,
    events: EventQueue,
    nodes: Vec<Node>,
    store: Store,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    users: BTreeMap<String, User>,
    /// Calls of controllers that are waiting for a reply.
    open_calls: BTreeSet<CallKey>,
    watches: Vec<PendingWatch>,
    /// Newest applied transaction of each node.
    last_applied_write: Vec<CallKey>,
    faults: ActiveFaults,
    /// Time at which all faults scheduled so far have ended.
    faults_end: f64,
    /// Jobs whose tasks fail on every machine.
    failing_jobs: BTreeSet<String>,
    /// Time at which each worker last accepted a response.
    responded_at: BTreeMap<String, f64>,
    /// Time at which each machine was lost or deleted.
    lost_at: BTreeMap<String, f64>,
    /// Death verdicts that have already been checked.
    death_verdicts: BTreeSet<DeathVerdict>,
    /// Start of the period in which a replaced leader still considers itself the leader.
    dual_leadership_since: Option<f64>,
    last_leader_at: f64,
    /// Newest format that nodes announce to each other, if it differs from their own.
    announced_format: Option<u32>,
    /// Response to a request that a test sent outside the users' regular sequence.
    test_response: Option<HttpResponse>,
    queries: queries::Queries,
    replayed_heartbeats: heartbeat_replay::ReplayedHeartbeats,
    waiting_jobs: work_conservation::WaitingJobs,
    /// Planned message faults and recorded messages. None if messages are not numbered.
    interception: Option<interception::Interception>,
    /// Digest of the inputs and outputs of all controllers. None if it is not recorded.
    digest: Option<Digest>,
}

/// Machine deleted by a controller.
#[derive(Debug, Clone, PartialEq)]
pub struct DeletedMachine {
    /// Time at which the cloud deleted it.
    pub at: f64,
    /// Id of the machine.
    pub machine: String,
}

/// Task that started after a user was told that its job is cancelled.
#[derive(Debug, Clone, PartialEq)]
pub struct LateStart {
    /// Start time.
    pub at: f64,
    /// Key of the task.
    pub task: TaskKey,
    /// Machine on which it started.
    pub machine: String,
}

/// Decision of one leader that a machine is dead.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct DeathVerdict {
    node: usize,
    fencing_token: u64,
    machine: String,
}

impl Simulation {
    /// Runs until `end` or until a rule is broken, and returns the violations so far.
    pub fn run(&mut self, end: f64) -> &[Violation] {
        while let Some((at, event)) = self.events.pop() {
            if at > end {
                self.schedule(at, event);
                self.now = end;
                break;
            }
            self.now = at;
            self.handle(event);
            if !self.history.violations.is_empty() {
                break;
            }
        }
        &self.history.violations
    }

    /// Schedules `event` for `at`, or for now if `at` is in the past.
    fn schedule(&mut self, at: f64, event: Event) {
        self.events.push(at.max(self.now), event);
    }

    fn handle(&mut self, event: Event) {
        if let Some(resumes_at) = event.receiver().and_then(|node| self.paused_until(node)) {
            return self.schedule(resumes_at, event);
        }
        match event {
            Event::ControllerTick { node, incarnation } => self.tick_controller(node, incarnation),
            Event::ControllerRestart(node) => self.start_controller(node),
            Event::StoreRequestArrives(call, request) => self.serve_store_request(call, request),
            Event::UnansweredWriteArrives(call, request) => self.apply_unanswered_write(call, &request),
            Event::StoreRecovers => self.store.renew_all_leases(self.now),
            Event::CloudRequestArrives(call, request) => self.serve_cloud_request(call, &request),
            Event::DirectCommandsArrive { call, address, body } => {
                self.direct_commands_arrive(call, &address, &body);
            }
            Event::ForwardRequestArrives { call, to, request } => {
                if self.nodes[to].controller.is_some() {
                    let id = self.register_request(to, Requester::Node(call));
                    self.deliver_input(to, Input::ForwardRequest(id, request));
                }
            }
            Event::ExchangeViews => self.exchange_views(),
            Event::ReplyArrives { node, incarnation, input } => {
                let call = event::call_of_reply(&input).unwrap_or(0);
                self.finish_call(CallKey { node, incarnation, call }, input);
            }
            Event::ReplyCopyArrives { node, incarnation, input } => {
                self.reply_copy_arrives(node, incarnation, input);
            }
            Event::CallTimeout(call, outcome) => self.finish_call(call, outcome),
            Event::WorkerTurn(machine) => self.worker_turn(&machine),
            Event::HeartbeatArrives { machine, sequence, node, body } => {
                self.request(node, Requester::Worker { machine, sequence }, Request::Heartbeat(body));
            }
            Event::HeartbeatResponseArrives { machine, sequence, node, response } => {
                self.heartbeat_response_arrives(&machine, sequence, node, &response);
            }
            Event::HeartbeatTimeout { machine, sequence } => self.heartbeat_timeout(&machine, sequence),
            Event::UserTurn(job) => self.user_turn(&job),
            Event::UserRequestArrives { job, number, node, request } => {
                self.request(node, Requester::User { job, number }, request);
            }
            Event::UserResponseArrives { job, number, response } => {
                self.user_response_arrives(&job, number, &response);
            }
            Event::UserRequestTimeout { job, number } => self.user_request_timeout(&job, number),
            Event::FaultBegins(fault) => self.begin_fault(fault),
            Event::PeriodicStep => {
                self.run_periodic_step();
                self.schedule(self.now + world::STEP_INTERVAL_S, Event::PeriodicStep);
            }
        }
    }
}
