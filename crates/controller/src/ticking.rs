//! Periodic work: the order of the components within a tick, and the interval between ticks.

use crate::controller::Controller;
use crate::leader::state::Role;

/// Maximum seconds between ticks of a leader while heartbeats wait for the end of their batch.
const PENDING_HEARTBEAT_TICK_S: f64 = 0.02;
/// Maximum seconds between ticks of a leader.
const LEADER_TICK_S: f64 = 0.1;
/// Maximum seconds between ticks of a follower.
const FOLLOWER_TICK_S: f64 = 0.2;
/// A timer may be late by the heartbeat interval divided by this number before workers are affected.
const TOLERATED_LAG_DIVISOR: f64 = 12.0;

impl Controller {
    /// Returns the seconds until the next `Input::Tick` is due if no other input arrives before.
    pub fn wake_interval_s(&self) -> f64 {
        let interval_s = self.role_wake_interval_s();
        // An overdue reply has to be detected soon after it is overdue.
        if self.hedged_requests.has_in_flight() {
            interval_s.min(self.timing.hedge_after_s / 3.0)
        } else {
            interval_s
        }
    }

    fn role_wake_interval_s(&self) -> f64 {
        let forward_interval_s = self.timing.forward_interval_s;
        match &self.role {
            Role::Leader(leader) if leader.heartbeats.pending.values().any(|heartbeat| !heartbeat.idle) => {
                PENDING_HEARTBEAT_TICK_S
            }
            Role::Leader(leader) if leader.forwarding.has_open_request() => {
                forward_interval_s.min(LEADER_TICK_S)
            }
            Role::Leader(_) => LEADER_TICK_S,
            Role::Follower if self.sharding.proxy.has_pending() => forward_interval_s.min(FOLLOWER_TICK_S),
            Role::Follower => FOLLOWER_TICK_S,
        }
    }

    /// Runs the periodic work of each component, after every input.
    pub(crate) fn tick(&mut self) {
        self.tick_election();
        self.tick_format_gate();
        self.tick_client_requests();
        self.tick_hedged_requests();
        self.tick_status_queries();
        self.tick_spec_chunks();
        self.tick_sharding();
        self.tick_proxy();
        self.tick_leader();
    }

    fn tick_sharding(&mut self) {
        if self.now - self.sharding.counted_at < self.timing.renewal_interval_s {
            return;
        }
        self.sharding.counted_at = self.now;
        self.count_workers();
        let tolerated_lag_s = self.settings.params.workers.heartbeat_interval_s / TOLERATED_LAG_DIVISOR;
        self.sharding.event_loop_lag.update_weight(tolerated_lag_s);
    }
}
