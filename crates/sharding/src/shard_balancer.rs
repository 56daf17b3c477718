//! Sharing the workers out among the nodes.

use crate::Time;
use std::collections::BTreeMap;

/// A node as far as workers are concerned.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardMember {
    pub node: String,
    /// Workers that report to it.
    pub workers: u32,
    /// Workers that it can take at most.
    pub capacity: u32,
    /// How much of its usual part it takes, from 0 to 1: less while it is late.
    pub weight: f64,
}

impl ShardMember {
    fn weighted_capacity(&self) -> f64 {
        f64::from(self.capacity) * self.weight.clamp(0.0, 1.0)
    }

    pub fn free_slots(&self) -> u32 {
        self.capacity.saturating_sub(self.workers)
    }
}

/// A node sends workers on only when it has that many times its part: moves
/// cost connections, and counts are seconds old.
const UNEVEN: f64 = 1.12;

/// Moves to a node that has no workers, until one has stayed: it may be one
/// that they do not reach.
const PROBES: u32 = 4;
/// Moves that are remembered before old ones are dropped. Half a lease has at most half of
/// this node's part of the workers.
const MOST_MOVES: usize = 12_000;

/// Hands out moves at a steady rate, so that no storm comes of them.
#[derive(Debug)]
pub struct ShardBalancer {
    lease_s: f64,
    budget: f64,
    refilled_at: Time,
    /// Workers sent on, where to and when.
    moves: BTreeMap<String, (String, Time)>,
    /// Nodes that workers came back from, until when they get none.
    avoid: BTreeMap<String, Time>,
    /// Moves to nodes without workers since they last had any, or since then.
    probes: BTreeMap<String, (u32, Time)>,
}

impl ShardBalancer {
    /// `lease_s`: the workers' lease.
    pub fn new(lease_s: f64) -> Self {
        ShardBalancer {
            lease_s,
            budget: 0.0,
            refilled_at: 0.0,
            moves: BTreeMap::new(),
            avoid: BTreeMap::new(),
            probes: BTreeMap::new(),
        }
    }

    /// The part of all workers that `own` should have.
    fn fair_share(own: &ShardMember, others: &[ShardMember]) -> f64 {
        let workers: u32 = own.workers + others.iter().map(|m| m.workers).sum::<u32>();
        let capacity =
            own.weighted_capacity() + others.iter().map(ShardMember::weighted_capacity).sum::<f64>();
        f64::from(workers) * own.weighted_capacity() / capacity.max(1e-9)
    }

    /// The node that had better take `machine`'s worker, which reports here, if
    /// any: at most this node's part of them in a lease, and only as far as it
    /// has clearly more than its part.
    pub fn pick_better_node(
        &mut self,
        now: Time,
        machine: &str,
        own: &ShardMember,
        others: &[ShardMember],
    ) -> Option<String> {
        let part = Self::fair_share(own, others);
        let rate = (part / self.lease_s).max(1.0);
        self.budget = (self.budget + (now - self.refilled_at).max(0.0) * rate).min(rate);
        self.refilled_at = now;
        if f64::from(own.workers) <= part * UNEVEN + 2.0 || self.budget < 1.0 {
            return None;
        }
        let best = self.least_loaded(now, others)?;
        if best.workers >= own.workers {
            return None;
        }
        let node = best.node.clone();
        let lease_s = self.lease_s;
        if best.workers == 0 {
            let (tried, since) = self.probes.entry(node.clone()).or_insert((0, now));
            if now - *since > lease_s {
                (*tried, *since) = (0, now);
            }
            if *tried >= PROBES {
                return None;
            }
            *tried += 1;
        } else {
            self.probes.remove(&node);
        }
        self.budget -= 1.0;
        if self.moves.len() >= MOST_MOVES {
            // Later than that no return counts. (All of them were once forgotten.)
            self.moves.retain(|_, (_, sent)| now - *sent < lease_s / 2.0);
        }
        self.moves.insert(machine.to_string(), (node.clone(), now));
        Some(node)
    }

    /// `machine`'s worker reports here. If it was sent on just now, it was not
    /// answered there. (A node that workers did not reach once drew them all,
    /// since it had none.)
    pub fn on_heartbeat(&mut self, now: Time, machine: &str) {
        if let Some((node, sent)) = self.moves.remove(machine) {
            if now - sent < self.lease_s / 2.0 {
                self.avoid.insert(node, now + self.lease_s);
            }
        }
    }

    /// Where a worker goes that finds no room here.
    pub fn least_loaded<'a>(&self, now: Time, others: &'a [ShardMember]) -> Option<&'a ShardMember> {
        let avoided = |m: &ShardMember| self.avoid.get(&m.node).is_some_and(|until| now < *until);
        let open = others.iter().filter(|m| m.free_slots() > 0 && !avoided(m));
        let lack = |m: &&ShardMember| m.weighted_capacity() - f64::from(m.workers);
        open.max_by(|a, b| lack(a).total_cmp(&lack(b)).then_with(|| b.node.cmp(&a.node)))
    }
}

/// A node's own weight, from how late it is.
#[derive(Debug)]
pub struct EventLoopLag {
    /// Mean lateness of its timers, in seconds.
    mean_lag_s: f64,
    weight: f64,
}

impl Default for EventLoopLag {
    fn default() -> Self {
        EventLoopLag { mean_lag_s: 0.0, weight: 1.0 }
    }
}

impl EventLoopLag {
    /// A timer fired that much late.
    pub fn record(&mut self, late: f64) {
        self.mean_lag_s += (late.clamp(0.0, 10.0) - self.mean_lag_s) / 16.0;
    }

    /// Adjusts the weight, once a view: down while timers are later than
    /// `most`, slowly up again. Returns it, from 0.1 to 1.
    pub fn update_weight(&mut self, most: f64) -> f64 {
        let step = if self.mean_lag_s > most { 0.9 } else { 1.03 };
        self.weight = (self.weight * step).clamp(0.1, 1.0);
        self.weight
    }

    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// The part of requests to turn away whose askers wait for `patience` seconds:
    /// none while timers are less than half of that late, three quarters once
    /// answers would come when nobody waits for them any more.
    pub fn shed_probability(&self, patience: f64) -> f64 {
        ((self.mean_lag_s * 2.0 / patience - 1.0) * 0.75).clamp(0.0, 0.75)
    }
}
