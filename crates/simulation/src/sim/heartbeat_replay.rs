//! Copies of heartbeats that reach every controller after the next leader has started.

use super::*;

/// Copies of heartbeats that are delivered after the next leader has started.
#[derive(Default)]
pub(super) struct ReplayedHeartbeats {
    /// End of the period in which heartbeats are copied.
    until: f64,
    /// Delay of the copies after the start of the next leader, in seconds.
    delay_s: f64,
    /// Fencing token of the leader at the time when copying began.
    token: Option<u64>,
    /// Time at which the copies are delivered. None while no new leader has started.
    due: Option<f64>,
    copies: Vec<HeartbeatCopy>,
    delivered: u64,
}

struct HeartbeatCopy {
    machine: String,
    body: Vec<u8>,
}

impl Simulation {
    /// Returns the number of copies sent to nodes after a new leader had started.
    pub fn replayed_heartbeats(&self) -> u64 {
        self.replayed_heartbeats.delivered
    }

    pub(super) fn copy_heartbeats_for_failover(&mut self, delay_s: f64, duration_s: f64) {
        self.replayed_heartbeats = ReplayedHeartbeats {
            until: self.now + duration_s,
            delay_s,
            token: self.newest_token(),
            due: None,
            copies: Vec::new(),
            delivered: self.replayed_heartbeats.delivered,
        };
    }

    pub(super) fn copy_for_failover(&mut self, machine: &str, heartbeat: &Heartbeat) {
        let replay = &self.replayed_heartbeats;
        if self.now < replay.until && replay.due.is_none() && self.rng.gen_bool(0.3) {
            let copy = HeartbeatCopy { machine: machine.to_string(), body: protocol::encode(heartbeat) };
            self.replayed_heartbeats.copies.push(copy);
        }
    }

    pub(super) fn deliver_replayed_heartbeats(&mut self) {
        if self.replayed_heartbeats.copies.is_empty() {
            return;
        }
        let newest = self.newest_token();
        let replay = &mut self.replayed_heartbeats;
        let failed_over = newest.is_some() && newest > replay.token;
        if failed_over && replay.due.is_none() {
            replay.due = Some(self.now + replay.delay_s);
        }
        if replay.due.is_none_or(|due| self.now < due) {
            return;
        }
        for copy in std::mem::take(&mut replay.copies) {
            for node in 0..self.nodes.len() {
                let at = self.now + self.delay();
                self.replayed_heartbeats.delivered += 1;
                self.schedule_copy(at, &copy.machine, node, copy.body.clone());
            }
        }
    }
}
