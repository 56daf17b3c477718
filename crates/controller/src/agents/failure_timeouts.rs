//! Timeouts after which a silent machine may be declared dead, and the observations from which they
//! are derived.

use crate::leader::state::Role;
use crate::model::machine::MachinePhase;
use crate::{Controller, Time};
use sharding::{ObservationWindows, ProxyId};
use std::collections::BTreeMap;

impl Controller {
    /// Records that a heartbeat from `zone` was received at `received_at`, by the proxy `via` or,
    /// if that is None, by this node.
    pub(crate) fn record_observation(&mut self, via: Option<&ProxyId>, zone: &str, received_at: Time) {
        let max_gap_s = self.timing.max_heartbeat_gap_s;
        let Role::Leader(leader) = &mut self.role else { return };
        let node = via.map_or(&self.settings.node, |proxy| &proxy.node);
        leader.forwarding.observations.record(received_at, node, zone, max_gap_s);
    }

    /// Returns the silence after which machines may be declared dead, in seconds, by zone. It is
    /// longer while this leader or the zone's workers can't reach some of the nodes, because workers
    /// may have to try one node after the other. A fixed timeout would declare live machines dead
    /// while two of three nodes are partitioned, and a quarter of the live machines while four of
    /// five nodes are unreachable for the workers only.
    pub(crate) fn failure_timeouts_s(&self) -> BTreeMap<String, Time> {
        let Role::Leader(leader) = &self.role else { return BTreeMap::new() };
        let now = self.now;
        let suspicion_s = self.timing.failure_suspicion_s;
        let max_view_gap_s = self.max_view_gap_s();
        let own_node = self.settings.node.as_str();
        let peers = self.settings.peers.iter().map(|peer| peer.node.as_str());
        let nodes: Vec<&str> = peers.chain([own_node]).collect();
        let is_reached_from_here = |node: &str| {
            node == own_node || self.peer_liveness.is_live(now, max_view_gap_s, suspicion_s, node)
        };
        let windows = ObservationWindows {
            max_gap_s: self.timing.max_heartbeat_gap_s,
            required_s: suspicion_s,
            relevance_s: self.full_failover_s(),
        };
        let mut machine_counts: BTreeMap<&str, usize> = BTreeMap::new();
        for machine in leader.cluster.machines.values() {
            if machine.phase == MachinePhase::Up {
                *machine_counts.entry(&machine.zone).or_default() += 1;
            }
        }
        let observations = &leader.forwarding.observations;
        let timeout = |(zone, machine_count): (&str, usize)| {
            let expected_workers_per_node = machine_count / nodes.len();
            let is_reached = |node: &&&str| {
                is_reached_from_here(node)
                    && observations.reached_continuously(now, node, zone, expected_workers_per_node, &windows)
            };
            let unreached = nodes.len() - nodes.iter().filter(is_reached).count();
            let attempts_s = self.timing.worker_failover_s * (unreached + 1) as f64;
            (zone.to_string(), suspicion_s.max(windows.max_gap_s + attempts_s))
        };
        machine_counts.into_iter().map(timeout).collect()
    }

    /// Returns the time within which a live worker finds a node that it can reach, in seconds.
    /// Allows for an attempt at each node and one more.
    pub(crate) fn full_failover_s(&self) -> Time {
        let attempts = (self.settings.peers.len() + 2) as f64;
        self.timing.max_heartbeat_gap_s + self.timing.worker_failover_s * attempts
    }

    /// Returns the longest usual time between two `View` messages of a peer, in seconds.
    pub(crate) fn max_view_gap_s(&self) -> Time {
        2.0 * self.timing.renewal_interval_s + self.timing.forward_timeout_s
    }
}
