//! A node that serves workers' heartbeats on behalf of the leader.
//!
//! While its delegated lease is valid, the proxy responds by itself to heartbeats that
//! contain nothing new for the leader. It holds all others until the leader's commands
//! arrive with the reply to a forwarded batch. Without a lease it holds heartbeats for a
//! while and then redirects the workers to the leader.

mod action;
mod batch;
mod holds;
mod reply;
mod worker;

pub use action::{ProxyAction, ProxySafetyChecks};

use crate::{LeaderIdentity, RequestId, Time};
use batch::InFlightBatch;
use holds::HoldDeadline;
use protocol::worker::{Heartbeat, HeartbeatResponse};
use settings::Timing;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use worker::{HeartbeatPosition, ProxiedWorker};

/// Maximum number of workers that a proxy remembers. Workers are remembered for
/// `WORKER_RETENTION_PERIODS`.
const MAX_WORKERS: usize = 20_000;
/// Time after which an absent worker is forgotten, in periods of
/// [`Timing::heartbeat_validity_s`].
const WORKER_RETENTION_PERIODS: f64 = 4.0;

/// The lease under which this node may respond to heartbeats on behalf of the leader.
struct DelegatedLease {
    fencing_token: u64,
    expires_at: Time,
    /// Whether the leader has recovered its state and processes forwarded heartbeats.
    leader_ready: bool,
}

/// Proxy that serves heartbeats under a lease that the leader delegates.
pub struct HeartbeatProxy {
    /// Safety checks that are enabled. All of them are enabled outside of tests.
    pub checks: ProxySafetyChecks,
    node: String,
    incarnation: u64,
    timing: Timing,
    leader: Option<LeaderIdentity>,
    leader_since: Time,
    lease: Option<DelegatedLease>,
    workers: BTreeMap<String, ProxiedWorker>,
    /// Machines whose heartbeats have yet to be forwarded, oldest first.
    forward_queue: VecDeque<String>,
    /// Machines to which only the leader may respond; true if a task there has to be killed.
    leader_only: BTreeMap<String, bool>,
    hold_deadlines: BTreeSet<HoldDeadline>,
    in_flight: Option<InFlightBatch>,
    forward_sequence: u64,
    acknowledged_sequence: u64,
    earliest_forward_at: Time,
    /// Number of consecutive forwarded batches that failed.
    consecutive_failures: u32,
    last_sweep_at: Time,
    actions: Vec<ProxyAction>,
}

fn to_millis(time: Time) -> u64 {
    (time.max(0.0) * 1000.0) as u64
}

impl HeartbeatProxy {
    /// Creates a proxy without a leader or a lease. `incarnation` has to differ between
    /// two starts of the same node.
    pub fn new(node: &str, incarnation: u64, timing: Timing) -> Self {
        HeartbeatProxy {
            checks: ProxySafetyChecks::default(),
            node: node.to_string(),
            incarnation,
            timing,
            leader: None,
            leader_since: 0.0,
            lease: None,
            workers: BTreeMap::new(),
            forward_queue: VecDeque::new(),
            leader_only: BTreeMap::new(),
            hold_deadlines: BTreeSet::new(),
            in_flight: None,
            forward_sequence: 0,
            acknowledged_sequence: 0,
            earliest_forward_at: 0.0,
            consecutive_failures: 0,
            last_sweep_at: 0.0,
            actions: Vec::new(),
        }
    }

    /// Takes the actions that have become due since the last call.
    pub fn take_actions(&mut self) -> Vec<ProxyAction> {
        std::mem::take(&mut self.actions)
    }

    /// Whether a valid lease allows this node to respond to heartbeats now.
    pub fn may_respond(&self, now: Time) -> bool {
        self.valid_lease(now).is_some()
    }

    /// Returns the leader that was last set by [`HeartbeatProxy::set_leader`].
    pub fn leader(&self) -> Option<&LeaderIdentity> {
        self.leader.as_ref()
    }

    /// Whether a heartbeat is held or waits to be forwarded, which requires frequent ticks.
    pub fn has_pending(&self) -> bool {
        !self.hold_deadlines.is_empty() || !self.forward_queue.is_empty()
    }

    /// Returns the number of workers that this node has served after `since`.
    pub fn count_workers_since(&self, since: Time) -> u32 {
        self.workers.values().filter(|worker| worker.last_seen_at > since).count() as u32
    }

    /// Whether the worker of `machine` has sent heartbeats to this node.
    pub fn knows_worker(&self, machine: &str) -> bool {
        self.workers.contains_key(machine)
    }

    /// Sets the newest known leader, or None while there is none.
    pub fn set_leader(&mut self, now: Time, leader: Option<LeaderIdentity>) {
        if self.leader == leader {
            return;
        }
        self.leader = leader;
        self.leader_since = now;
        self.consecutive_failures = 0;
        self.earliest_forward_at = now;
    }

    /// Resets the proxy and returns all held heartbeats. Called when this node has become
    /// the leader.
    pub fn take_held_heartbeats(&mut self) -> Vec<(RequestId, Heartbeat)> {
        self.lease = None;
        self.leader = None;
        self.in_flight = None;
        self.hold_deadlines.clear();
        self.forward_queue.clear();
        self.leader_only.clear();
        let workers = std::mem::take(&mut self.workers);
        workers.into_values().filter_map(|worker| Some((worker.held?.request, worker.heartbeat))).collect()
    }

    /// Whether the worker may be redirected to another node: the leader has received the
    /// content of `heartbeat` and has no commands for the worker.
    pub fn may_redirect(&self, now: Time, heartbeat: &Heartbeat) -> bool {
        let Some(worker) = self.workers.get(&heartbeat.machine) else { return false };
        let Some(lease) = self.valid_lease(now) else { return false };
        worker.is_known_to_leader(lease.fencing_token)
            && !worker::has_exited_task(heartbeat)
            && worker::is_same_content(&worker.heartbeat, heartbeat)
            && !self.leader_only.contains_key(&heartbeat.machine)
    }

    /// Records that the worker of `machine` was redirected to another node. Heartbeats to
    /// which this node has responded are still forwarded.
    pub fn on_worker_redirected(&mut self, now: Time, machine: &str) {
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.last_seen_at = worker.last_seen_at.min(now - self.timing.heartbeat_validity_s);
            worker.forwarded = None;
        }
    }

    /// Handles a worker's heartbeat. `request` waits for the response.
    pub fn on_heartbeat(&mut self, now: Time, request: RequestId, heartbeat: Heartbeat) {
        let machine = heartbeat.machine.clone();
        if self.workers.len() >= MAX_WORKERS && !self.workers.contains_key(&machine) {
            return self.actions.push(ProxyAction::Reject(request, "too many workers"));
        }
        let position = HeartbeatPosition::of(&heartbeat);
        let worker = self
            .workers
            .entry(machine.clone())
            .or_insert_with(|| ProxiedWorker::new(now, position, heartbeat.clone()));
        if position <= worker.position {
            // The worker no longer waits for the response to this heartbeat.
            return self.actions.push(ProxyAction::Reject(request, "a newer report came"));
        }
        let superseded = worker.held.take();
        worker.record_heartbeat(now, position, heartbeat, self.timing.heartbeat_validity_s);
        if let Some(superseded) = superseded {
            self.hold_deadlines
                .remove(&HoldDeadline { at_ms: superseded.deadline_ms, machine: machine.clone() });
            self.actions.push(ProxyAction::Reject(superseded.request, "a newer report came"));
        }
        self.enqueue(&machine);
        self.respond_or_hold(now, request, machine);
    }

    fn respond_or_hold(&mut self, now: Time, request: RequestId, machine: String) {
        let Some(lease) = self.valid_lease(now) else {
            return self.hold_without_lease(now, request, machine);
        };
        let worker = &self.workers[&machine];
        if !lease.leader_ready || !self.needs_leader(worker, lease) {
            let fencing_token = lease.fencing_token;
            return self.respond_without_commands(request, fencing_token);
        }
        // The leader responds to busy machines after half of this time at the latest.
        let hold_s = if worker.is_idle() {
            self.timing.idle_heartbeat_hold_s
        } else {
            self.timing.busy_heartbeat_hold_s * 2.0
        };
        self.hold(machine, request, now, now + hold_s);
    }

    /// Whether the leader has to see the heartbeat before the response is sent. This is
    /// the case unless the machine is busy and the leader already has the same content.
    fn needs_leader(&self, worker: &ProxiedWorker, lease: &DelegatedLease) -> bool {
        !worker.is_known_to_leader(lease.fencing_token)
            || worker.heartbeat.tasks.is_empty()
            || worker::has_exited_task(&worker.heartbeat)
            || self.leader_only.contains_key(&worker.heartbeat.machine)
    }

    fn respond_without_commands(&mut self, request: RequestId, fencing_token: u64) {
        let response = HeartbeatResponse { fencing_token, commands: Vec::new() };
        self.actions.push(ProxyAction::Respond(request, response));
    }

    fn valid_lease(&self, now: Time) -> Option<&DelegatedLease> {
        self.lease.as_ref().filter(|lease| now < lease.expires_at || !self.checks.lease_expiry)
    }

    /// Returns the name of the leader's node, unless it is this node.
    fn leader_node(&self) -> Option<String> {
        let leader = self.leader.as_ref()?;
        (leader.node != self.node).then(|| leader.node.clone())
    }

    /// Expires held heartbeats, forwards a batch if one is due, and forgets workers that
    /// have been absent for long.
    pub fn tick(&mut self, now: Time) {
        self.expire_holds(now);
        self.forward_batch(now);
        self.forget_absent_workers(now);
    }

    fn forget_absent_workers(&mut self, now: Time) {
        if now - self.last_sweep_at <= self.timing.heartbeat_validity_s {
            return;
        }
        self.last_sweep_at = now;
        let since = now - WORKER_RETENTION_PERIODS * self.timing.heartbeat_validity_s;
        self.workers
            .retain(|_, worker| worker.last_seen_at > since || worker.held.is_some() || worker.queued);
    }
}
