//! Timeouts after which a silent machine counts as failed, and the observations from which they
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

    /// Returns the silence after which machines count as failed, in seconds, by zone. It is longer
    /// while this leader or the zone's workers can't reach some of the nodes, because workers may
    /// have to try one node after the other. With a fixed timeout, live machines were declared
    /// dead when two of three nodes were partitioned, and a quarter of the live machines when four
    /// of five nodes were unreachable for the workers only.
    pub(crate) fn failure_timeouts_s(&self) -> BTreeMap<String, Time> {
        let Role::Leader(leader) = &self.role else { return BTreeMap::new() };
        let now = self.now;
        let suspicion_s = self.timing.failure_suspicion_s;
        let view_gap_s = self.view_gap_s();
        let own_node = self.settings.node.as_str();
        let peers = self.settings.peers.iter().map(|peer| peer.node.as_str());
        let nodes: Vec<&str> = peers.chain([own_node]).collect();
        let is_reached_from_here =
            |node: &str| node == own_node || self.peer_liveness.is_live(now, view_gap_s, suspicion_s, node);
        let windows = ObservationWindows {
            max_gap_s: self.timing.max_heartbeat_gap_s,
            required_s: suspicion_s,
            relevance_s: self.full_failover_s(),
        };
        let mut machines_by_zone: BTreeMap<&str, usize> = BTreeMap::new();
        for machine in leader.cluster.machines.values() {
            if machine.phase == MachinePhase::Up {
                *machines_by_zone.entry(&machine.zone).or_default() += 1;
            }
        }
        let observations = &leader.forwarding.observations;
        let timeout = |(zone, machines): (&str, usize)| {
            let even_share = machines / nodes.len();
            let is_reached = |node: &&&str| {
                is_reached_from_here(node)
                    && observations.reached_continuously(now, node, zone, even_share, &windows)
            };
            let unreached = nodes.len() - nodes.iter().filter(is_reached).count();
            let attempts_s = self.timing.worker_failover_s * (unreached + 1) as f64;
            (zone.to_string(), suspicion_s.max(windows.max_gap_s + attempts_s))
        };
        machines_by_zone.into_iter().map(timeout).collect()
    }

    /// Returns the time within which a live worker finds a node that it can reach, in seconds.
    /// Allows for an attempt at each node and one more.
    pub(crate) fn full_failover_s(&self) -> Time {
        let nodes_to_try = (self.settings.peers.len() + 2) as f64;
        self.timing.max_heartbeat_gap_s + self.timing.worker_failover_s * nodes_to_try
    }

    /// Returns the maximum time that normally passes between two views from a peer, in seconds.
    pub(crate) fn view_gap_s(&self) -> Time {
        2.0 * self.timing.renewal_interval_s + self.timing.forward_timeout_s
    }
}
