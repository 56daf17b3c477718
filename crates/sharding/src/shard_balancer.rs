//! Distribution of the workers over the controllers in proportion to their capacity.

mod event_loop_lag;

pub use event_loop_lag::EventLoopLag;

use crate::Time;
use std::collections::BTreeMap;

/// Multiple of its fair share above which a node redirects workers. Each move costs
/// connections, and the worker counts are seconds old.
const IMBALANCE_FACTOR: f64 = 1.12;
/// Number of workers above the fair share that is always tolerated.
const IMBALANCE_SLACK: f64 = 2.0;
/// Maximum number of workers redirected to a node that has none, until one has stayed. The
/// workers may be unable to reach that node.
const MAX_PROBES: u32 = 4;
/// Number of remembered moves from which old ones are dropped. In half a lease, a node moves
/// at most half of its fair share of the workers.
const MAX_MOVES: usize = 12_000;

/// Load and capacity of a node that serves heartbeats.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardMember {
    /// The node's name.
    pub node: String,
    /// Number of workers that the node serves.
    pub workers: u32,
    /// Maximum number of workers that the node can serve.
    pub capacity: u32,
    /// Fraction of its usual share that the node takes, from 0 to 1. It is lower while the
    /// node's event loop lags.
    pub weight: f64,
}

impl ShardMember {
    fn weighted_capacity(&self) -> f64 {
        f64::from(self.capacity) * self.weight.clamp(0.0, 1.0)
    }

    /// Returns the number of additional workers that the node can serve.
    pub fn free_slots(&self) -> u32 {
        self.capacity.saturating_sub(self.workers)
    }
}

/// Redirection of a worker to another node.
#[derive(Debug)]
struct WorkerMove {
    to: String,
    sent_at: Time,
}

/// Moves to a node without workers in a period of one lease.
#[derive(Debug)]
struct ProbePeriod {
    probes: u32,
    since: Time,
}

/// Balancer that decides which workers are redirected. Redirects them at a limited rate to avoid
/// reconnection storms.
#[derive(Debug)]
pub struct ShardBalancer {
    lease_s: f64,
    /// Number of moves that are allowed now.
    budget: f64,
    refilled_at: Time,
    /// The last move of each machine's worker.
    moves: BTreeMap<String, WorkerMove>,
    /// Nodes from which workers returned, with the time until which they get no workers.
    avoided_until: BTreeMap<String, Time>,
    /// Moves to nodes that had no workers when they were last considered.
    probes: BTreeMap<String, ProbePeriod>,
}

impl ShardBalancer {
    /// Creates a balancer without history. `lease_s` is the duration of the workers' leases.
    pub fn new(lease_s: f64) -> Self {
        ShardBalancer {
            lease_s,
            budget: 0.0,
            refilled_at: 0.0,
            moves: BTreeMap::new(),
            avoided_until: BTreeMap::new(),
            probes: BTreeMap::new(),
        }
    }

    /// Returns the number of workers that `own_member` should serve.
    fn fair_share(own_member: &ShardMember, others: &[ShardMember]) -> f64 {
        let workers: u32 = own_member.workers + others.iter().map(|member| member.workers).sum::<u32>();
        let capacity =
            own_member.weighted_capacity() + others.iter().map(ShardMember::weighted_capacity).sum::<f64>();
        f64::from(workers) * own_member.weighted_capacity() / capacity.max(1e-9)
    }

    /// Returns the node to which the worker of `machine` should be redirected, if any. Workers
    /// are redirected only while this node has clearly more than its fair share of them, and
    /// at a rate of at most one fair share per lease.
    pub fn pick_better_node(
        &mut self,
        now: Time,
        machine: &str,
        own_member: &ShardMember,
        others: &[ShardMember],
    ) -> Option<String> {
        let fair_share = Self::fair_share(own_member, others);
        self.refill_budget(now, fair_share);
        let is_overloaded = f64::from(own_member.workers) > fair_share * IMBALANCE_FACTOR + IMBALANCE_SLACK;
        if !is_overloaded || self.budget < 1.0 {
            return None;
        }
        let best = self.least_loaded(now, others)?;
        if best.workers >= own_member.workers {
            return None;
        }
        if best.workers > 0 {
            self.probes.remove(&best.node);
        } else if !self.take_probe(now, &best.node) {
            return None;
        }
        self.budget -= 1.0;
        self.record_move(now, machine, &best.node);
        Some(best.node.clone())
    }

    fn refill_budget(&mut self, now: Time, fair_share: f64) {
        let moves_per_s = (fair_share / self.lease_s).max(1.0);
        let elapsed_s = (now - self.refilled_at).max(0.0);
        self.budget = (self.budget + elapsed_s * moves_per_s).min(moves_per_s);
        self.refilled_at = now;
    }

    /// Returns whether another worker may be sent to `node`, which has none, and counts it if
    /// so.
    fn take_probe(&mut self, now: Time, node: &str) -> bool {
        let first_period = ProbePeriod { probes: 0, since: now };
        let period = self.probes.entry(node.to_string()).or_insert(first_period);
        if now - period.since > self.lease_s {
            *period = ProbePeriod { probes: 0, since: now };
        }
        if period.probes >= MAX_PROBES {
            return false;
        }
        period.probes += 1;
        true
    }

    fn record_move(&mut self, now: Time, machine: &str, node: &str) {
        if self.moves.len() >= MAX_MOVES {
            // Moves older than the return period no longer matter. Recent ones are kept: when all
            // moves were dropped, the returns of recently redirected workers went unnoticed.
            let return_period_s = self.return_period_s();
            self.moves.retain(|_, worker_move| now - worker_move.sent_at < return_period_s);
        }
        self.moves.insert(machine.to_string(), WorkerMove { to: node.to_string(), sent_at: now });
    }

    /// Returns the time within which the return of a redirected worker shows that the other
    /// node did not serve it, in seconds.
    fn return_period_s(&self) -> f64 {
        self.lease_s / 2.0
    }

    /// Records that the worker of `machine` sends heartbeats to this node. If it was redirected
    /// recently, the other node did not respond and gets no workers for a lease. Without this,
    /// a node that workers could not reach attracted all of them, because it had none.
    pub fn on_heartbeat(&mut self, now: Time, machine: &str) {
        let Some(worker_move) = self.moves.remove(machine) else { return };
        if now - worker_move.sent_at < self.return_period_s() {
            self.avoided_until.insert(worker_move.to, now + self.lease_s);
        }
    }

    /// Returns the node with the most free weighted capacity among those that have a free slot
    /// and are not avoided.
    pub fn least_loaded<'a>(&self, now: Time, others: &'a [ShardMember]) -> Option<&'a ShardMember> {
        let is_avoided =
            |member: &ShardMember| self.avoided_until.get(&member.node).is_some_and(|until| now < *until);
        let free_capacity = |member: &ShardMember| member.weighted_capacity() - f64::from(member.workers);
        others
            .iter()
            .filter(|member| member.free_slots() > 0 && !is_avoided(member))
            .max_by(|a, b| free_capacity(a).total_cmp(&free_capacity(b)).then_with(|| b.node.cmp(&a.node)))
    }
}
