//! Capacity of the nodes to serve workers, which limits the number of machines in the fleet.

use crate::leader::state::Role;
use crate::model::machine::MachinePhase;
use crate::Controller;
use protocol::job::Health;
use std::collections::BTreeSet;
use tracing::info;

/// Maximum number of unused machine slots at which the capacity is logged as reached.
const CAPACITY_LOG_MARGIN: u32 = 50;

impl Controller {
    /// Returns the response to a health check: worker counts and capacities.
    pub(crate) fn health(&self) -> Health {
        let (own_member, others) = self.shard_members();
        let ceiling = match &self.role {
            Role::Leader(_) => self.worker_capacity(),
            Role::Follower => own_member.capacity + others.iter().map(|member| member.capacity).sum::<u32>(),
        };
        Health { workers: own_member.workers, capacity: own_member.capacity, ceiling }
    }

    /// Returns the number of workers that all nodes together can serve: this node, and the nodes
    /// that respond to heartbeats or did so within the last worker lease. 0 while this node
    /// doesn't lead.
    pub(crate) fn worker_capacity(&self) -> u32 {
        let Role::Leader(leader) = &self.role else { return 0 };
        let since = self.now - self.settings.params.workers.lease_s;
        let serving: BTreeSet<&str> = leader.forwarding.nodes_that_may_respond(since).collect();
        let views = serving.iter().filter_map(|node| self.peers.get(*node));
        self.timing.worker_capacity + views.map(|(view, _)| view.room).sum::<u32>()
    }

    /// Returns the number of machines by which the fleet may grow.
    pub(crate) fn machine_capacity_left(&mut self) -> u32 {
        let ceiling = self.worker_capacity();
        let Role::Leader(leader) = &mut self.role else { return 0 };
        let remaining =
            leader.cluster.machines.values().filter(|machine| machine.phase != MachinePhase::Terminating);
        let machines = remaining.count() as u32;
        let is_nearly_reached = machines + CAPACITY_LOG_MARGIN >= ceiling;
        if is_nearly_reached && ceiling != leader.fleet.logged_capacity {
            leader.fleet.logged_capacity = ceiling;
            info!(ceiling, machines, "worker capacity of the controllers reached");
        }
        ceiling.saturating_sub(machines)
    }
}
