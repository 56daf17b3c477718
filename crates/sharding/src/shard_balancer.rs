//! Spreads the workers over the controllers by what each can serve.

mod event_loop_lag;

pub use event_loop_lag::EventLoopLag;

use crate::Time;
use std::collections::BTreeMap;

/// A node redirects workers only when it has that many times its fair share: each move
/// costs connections, and the counts are seconds old.
const IMBALANCE_FACTOR: f64 = 1.12;
/// Workers above the fair share that are tolerated in any case.
const IMBALANCE_SLACK: f64 = 2.0;
/// Workers sent to a node that has none, until one has stayed: the workers may be unable
/// to reach it.
const MAX_PROBES: u32 = 4;
/// Moves that are remembered before old ones are dropped. In half a lease a node moves at
/// most half of its fair share of the workers.
const MAX_MOVES: usize = 12_000;

/// A node as a server of heartbeats.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardMember {
    /// The node's name.
    pub node: String,
    /// Workers that it serves.
    pub workers: u32,
    /// Workers that it can serve at most.
    pub capacity: u32,
    /// The part of its usual share that it takes, from 0 to 1: less while its event loop
    /// lags.
    pub weight: f64,
}

impl ShardMember {
    fn weighted_capacity(&self) -> f64 {
        f64::from(self.capacity) * self.weight.clamp(0.0, 1.0)
    }

    /// Workers that it can serve besides those that it has.
    pub fn free_slots(&self) -> u32 {
        self.capacity.saturating_sub(self.workers)
    }
}

/// A worker that was redirected.
#[derive(Debug)]
struct Move {
    to: String,
    sent_at: Time,
}

/// Moves to a node without workers, in a period of one lease.
#[derive(Debug)]
struct ProbePeriod {
    probes: u32,
    since: Time,
}

/// Decides which workers are redirected, at a steady rate to avoid storms of
/// reconnections.
#[derive(Debug)]
pub struct ShardBalancer {
    lease_s: f64,
    /// Moves that are allowed now.
    budget: f64,
    refilled_at: Time,
    moves: BTreeMap<String, Move>,
    /// Nodes that workers came back from, with until when they get none.
    avoided_until: BTreeMap<String, Time>,
    /// Moves to nodes that had no workers when they were last considered.
    probes: BTreeMap<String, ProbePeriod>,
}

impl ShardBalancer {
    /// A balancer without history; `lease_s` is the duration of the workers' leases.
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

    /// The number of workers that `own` should serve.
    fn fair_share(own: &ShardMember, others: &[ShardMember]) -> f64 {
        let workers: u32 = own.workers + others.iter().map(|member| member.workers).sum::<u32>();
        let capacity =
            own.weighted_capacity() + others.iter().map(ShardMember::weighted_capacity).sum::<f64>();
        f64::from(workers) * own.weighted_capacity() / capacity.max(1e-9)
    }

    /// The node to which `machine`'s worker should be redirected, if any: only while this
    /// node has clearly more than its fair share, and at most one share in a lease.
    pub fn pick_better_node(
        &mut self,
        now: Time,
        machine: &str,
        own: &ShardMember,
        others: &[ShardMember],
    ) -> Option<String> {
        let fair_share = Self::fair_share(own, others);
        self.refill_budget(now, fair_share);
        let is_overloaded = f64::from(own.workers) > fair_share * IMBALANCE_FACTOR + IMBALANCE_SLACK;
        if !is_overloaded || self.budget < 1.0 {
            return None;
        }
        let best = self.least_loaded(now, others)?;
        if best.workers >= own.workers {
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

    /// Whether one more worker may be sent to `node`, which has none. Counts it if so.
    fn take_probe(&mut self, now: Time, node: &str) -> bool {
        let first = ProbePeriod { probes: 0, since: now };
        let period = self.probes.entry(node.to_string()).or_insert(first);
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
            // Later returns do not count. (Dropping all moves once lost the recent ones.)
            let return_period_s = self.return_period_s();
            self.moves.retain(|_, entry| now - entry.sent_at < return_period_s);
        }
        self.moves.insert(machine.to_string(), Move { to: node.to_string(), sent_at: now });
    }

    /// A worker that is back within this time was not served where it was sent.
    fn return_period_s(&self) -> f64 {
        self.lease_s / 2.0
    }

    /// Records that `machine`'s worker sends heartbeats here. If it was redirected a moment
    /// ago, the other node did not answer and gets no workers for a lease. (A node that
    /// workers did not reach once attracted them all, since it had none.)
    pub fn on_heartbeat(&mut self, now: Time, machine: &str) {
        let Some(entry) = self.moves.remove(machine) else { return };
        if now - entry.sent_at < self.return_period_s() {
            self.avoided_until.insert(entry.to, now + self.lease_s);
        }
    }

    /// The node with the most free weighted capacity, for a worker that finds no free
    /// slot here.
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
