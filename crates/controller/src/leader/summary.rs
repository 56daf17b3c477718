//! Periodic log line that summarizes all tasks and machines.

use crate::leader::state::Role;
use crate::model::cluster::ClusterState;
use crate::model::job::Placement;
use crate::model::machine::MachinePhase;
use crate::Controller;
use protocol::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};
use tracing::info;

/// Number of placements by progress, and of tasks without a placement.
#[derive(Debug, Default)]
struct TaskCounts {
    /// Number of jobs with tasks that wait for a placement.
    jobs: u32,
    /// Number of tasks that wait for a placement.
    waiting: u32,
    /// Number of placements that are not stored yet.
    unstored: u32,
    /// Number of stored placements that no heartbeat has reported yet.
    unseen: u32,
    /// Number of tasks whose image is being fetched.
    fetching: u32,
    /// Number of gang tasks that wait for the other tasks of their gang.
    gathering: u32,
    /// Number of running tasks.
    running: u32,
    /// Number of tasks that are being stopped.
    stopping: u32,
}

impl TaskCounts {
    fn from_cluster(cluster: &ClusterState) -> Self {
        let mut counts = TaskCounts::default();
        for job in cluster.jobs.values().filter(|job| !job.is_final()) {
            let unplaced = job.spec.tasks.saturating_sub(job.done_count + job.placements.len() as u32);
            counts.waiting += unplaced;
            counts.jobs += u32::from(unplaced > 0);
            for placement in job.placements.values() {
                *counts.counter_for(placement) += 1;
            }
        }
        counts
    }

    fn counter_for(&mut self, placement: &Placement) -> &mut u32 {
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

/// Number of machines that are up and of idle ones among them, by machine type and whether they are
/// spot machines.
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
    /// Logs the summary once per worker lease duration.
    pub(super) fn log_summary(&mut self) {
        let now = self.now;
        let interval_s = self.settings.params.workers.lease_s;
        let worker_count = self.sharding.worker_count;
        let worker_capacity = self.worker_capacity();
        let Role::Leader(leader) = &mut self.role else { return };
        if now < leader.log_summary_at {
            return;
        }
        leader.log_summary_at = now + interval_s;
        let cluster = &leader.cluster;
        let TaskCounts { jobs, waiting, unstored, unseen, fetching, gathering, running, stopping } =
            TaskCounts::from_cluster(cluster);
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
            here = worker_count,
            ceiling = worker_capacity,
            "tasks"
        );
    }
}
