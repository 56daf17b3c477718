//! Admission of workers and their distribution over the nodes.

use crate::leader::state::Role;
use crate::{Controller, RequestId};
use protocol::worker::{Heartbeat, TaskState};
use sharding::ShardMember;

/// Scale of the weights that nodes exchange, which are integers in thousandths.
const WEIGHT_SCALE: f64 = 1000.0;

/// Decision on whether a node serves a worker.
enum WorkerAdmission {
    /// The node serves the worker.
    Accept,
    /// The node is full, and the named node has free capacity.
    Redirect(String),
    /// No node has free capacity.
    Reject,
}

impl Controller {
    /// Returns whether this node serves a worker. If not, redirects or refuses the worker's
    /// request.
    pub(crate) fn admit_or_refuse(&mut self, request_id: RequestId, is_known: bool) -> bool {
        match self.admit_worker(is_known) {
            WorkerAdmission::Accept => return true,
            WorkerAdmission::Redirect(node) => self.redirect(request_id, Some(node)),
            WorkerAdmission::Reject => {
                self.respond_error(request_id, 503, "no room for more workers");
            }
        }
        false
    }

    /// Decides where a worker is served. Known workers stay. If no node has free capacity, this
    /// node serves new workers above its own capacity, up to `max_workers`, which leaves the
    /// connections that are reserved for clients.
    fn admit_worker(&mut self, is_known: bool) -> WorkerAdmission {
        if is_known {
            return WorkerAdmission::Accept;
        }
        if self.sharding.worker_count >= self.timing.worker_capacity {
            let (_, others) = self.shard_members();
            if let Some(member) = self.sharding.balancer.least_loaded(self.now, &others) {
                return WorkerAdmission::Redirect(member.node.clone());
            }
        }
        if self.sharding.worker_count + self.sharding.new_workers >= self.timing.max_workers {
            return WorkerAdmission::Reject;
        }
        self.sharding.new_workers += 1;
        WorkerAdmission::Accept
    }

    /// Returns the node that should serve the sender of a heartbeat instead of this leader, if
    /// there is one and the leader has no command for the worker. The worker then no longer counts
    /// as served by this node.
    pub(crate) fn pick_better_node(&mut self, heartbeat: &Heartbeat) -> Option<String> {
        let machine = &heartbeat.machine;
        let has_exited = heartbeat.tasks.iter().any(|status| status.state == TaskState::Exited);
        if has_exited || heartbeat.notice_s.is_some() {
            return None;
        }
        let (own_member, others) = self.shard_members();
        let node = self.sharding.balancer.pick_better_node(self.now, machine, &own_member, &others)?;
        self.update_leader_only(machine);
        let Role::Leader(leader) = &mut self.role else { return None };
        if leader.forwarding.is_leader_only(machine) {
            return None;
        }
        if let Some(machine) = leader.cluster.machines.get_mut(machine) {
            machine.reports_here = false;
        }
        self.sharding.worker_count = self.sharding.worker_count.saturating_sub(1);
        Some(node)
    }

    /// Returns this node and the other nodes that respond to heartbeats, with their worker counts.
    pub(crate) fn shard_members(&self) -> (ShardMember, Vec<ShardMember>) {
        let max_age_s = self.max_view_gap_s();
        let others = self
            .peers
            .values()
            .filter(|(view, received_at)| view.serves && self.now - received_at < max_age_s)
            .map(|(view, _)| ShardMember {
                node: view.node.clone(),
                workers: view.workers,
                capacity: view.room,
                weight: f64::from(view.weight) / WEIGHT_SCALE,
            });
        let own_member = ShardMember {
            node: self.settings.node.clone(),
            workers: self.sharding.worker_count,
            capacity: self.timing.worker_capacity,
            weight: self.sharding.event_loop_lag.weight(),
        };
        (own_member, others.collect())
    }

    /// Counts the workers that this node serves.
    pub(crate) fn count_workers(&mut self) {
        let since = self.now - self.timing.heartbeat_validity_s;
        self.sharding.new_workers = 0;
        self.sharding.worker_count = match &self.role {
            Role::Leader(leader) => {
                let served = leader.cluster.machines.values().filter(|machine| {
                    machine.reports_here && machine.last_heartbeat_at.is_some_and(|at| at > since)
                });
                served.count() as u32
            }
            Role::Follower => self.sharding.proxy.count_workers_since(since),
        };
    }
}
