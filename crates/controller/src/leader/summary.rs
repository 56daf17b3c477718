//! The periodic log line on all tasks and machines.

use crate::leader::state::Role;
use crate::model::cluster::ClusterState;
use crate::model::job::Placement;
use crate::model::machine::MachinePhase;
use crate::Controller;
use protocol::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// Placements by progress, and tasks without a placement.
#[derive(Debug, Default)]
struct TaskCounts {
    /// Jobs with tasks that wait for a placement.
    jobs: u32,
    /// Tasks that wait for a placement.
    waiting: u32,
    /// Placements that are not stored yet.
    unstored: u32,
    /// Stored placements that no heartbeat has shown yet.
    unseen: u32,
    /// Tasks whose image is being fetched.
    fetching: u32,
    /// Gang tasks that wait for the others of their gang.
    gathering: u32,
    /// Tasks that run.
    running: u32,
    /// Tasks that are being stopped.
    stopping: u32,
}

impl TaskCounts {
    fn of(cluster: &ClusterState) -> Self {
        let mut counts = TaskCounts::default();
        for job in cluster.jobs.values().filter(|job| !job.is_final()) {
            let open = job.spec.tasks.saturating_sub(job.done_count + job.placements.len() as u32);
            counts.waiting += open;
            counts.jobs += u32::from(open > 0);
            for placement in job.placements.values() {
                *counts.bucket_of(placement) += 1;
            }
        }
        counts
    }

    fn bucket_of(&mut self, placement: &Placement) -> &mut u32 {
        if placement.stopping.is_some() {
            return &mut self.stopping;
        }
        if !placement.committed {
            return &mut self.unstored;
        }
        match placement.observed_state {
            None => &mut self.unseen,
            Some(TaskState::Fetching) => &mut self.fetching,
            Some(TaskState::Waiting) => &mut self.gathering,
            Some(_) => &mut self.running,
        }
    }
}

/// Machines that are up and idle ones among them, by machine type and whether they are spot.
type PoolCounts<'a> = BTreeMap<(&'a str, bool), (u32, u32)>;

fn count_pools(cluster: &ClusterState) -> PoolCounts<'_> {
    let busy: BTreeSet<&str> = cluster
        .jobs
        .values()
        .flat_map(|job| job.placements.values())
        .map(|placement| placement.machine.as_str())
        .collect();
    let mut pools = PoolCounts::new();
    for machine in cluster.machines.values().filter(|machine| machine.phase == MachinePhase::Up) {
        let (up, idle) = pools.entry((&machine.machine_type, machine.spot)).or_default();
        *up += 1;
        *idle += u32::from(!busy.contains(machine.id.as_str()));
    }
    pools
}

fn count_machines(cluster: &ClusterState, phase: MachinePhase) -> usize {
    cluster.machines.values().filter(|machine| machine.phase == phase).count()
}

impl Controller {
    /// Logs the summary, once in the length of a worker's lease.
    pub(super) fn log_summary(&mut self) {
        let now = self.now;
        let interval_s = self.settings.params.workers.lease_s;
        let here = self.sharding.worker_count;
        let ceiling = self.worker_capacity();
        let Role::Leader(leader) = &mut self.role else { return };
        if now < leader.log_summary_at {
            return;
        }
        leader.log_summary_at = now + interval_s;
        let cluster = &leader.cluster;
        let TaskCounts { jobs, waiting, unstored, unseen, fetching, gathering, running, stopping } =
            TaskCounts::of(cluster);
        let up = count_machines(cluster, MachinePhase::Up);
        let booting = count_machines(cluster, MachinePhase::Booting);
        let pools = count_pools(cluster);
        info!(
            jobs,
            waiting,
            unstored,
            unseen,
            fetching,
            gathering,
            running,
            stopping,
            up,
            booting,
            ?pools,
            here,
            ceiling,
            "tasks"
        );
    }
}
