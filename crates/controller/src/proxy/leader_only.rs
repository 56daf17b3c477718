//! Machines with upcoming commands, to whose heartbeats only the leader may respond.

use crate::leader::state::{LeaderState, Role};
use crate::model::job::Placement;
use crate::Controller;
use protocol::worker::{split_task, TaskState, TaskStatus};

/// Reason why only the leader may respond to a machine. Later variants take precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum LeaderOnlyReason {
    /// A task has to be launched.
    Launch,
    /// A task has to be killed. A proxy must not even renew the worker's lease at the deadline.
    Kill,
}

impl LeaderOnlyReason {
    /// Returns the reason that follows from a placement, if any.
    fn of_placement(placement: &Placement) -> Option<Self> {
        if placement.stopping.is_some() {
            return Some(LeaderOnlyReason::Kill);
        }
        let is_unobserved = placement.observed_state.is_none() && !placement.inherited;
        is_unobserved.then_some(LeaderOnlyReason::Launch)
    }
}

impl Controller {
    /// Updates whether only the leader may respond to `machine` because there are commands for it,
    /// and whether the machine's state is reconciled with the placements.
    pub(crate) fn update_leader_only(&mut self, machine: &str) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let tasks = leader.cluster.tasks_on(machine);
        let reason = leader.leader_only_reason(machine, &tasks);
        let has_kill = reason.map(|reason| reason == LeaderOnlyReason::Kill);
        leader.forwarding.set_leader_only(machine, has_kill);
        let token = leader.fencing_token;
        if let Some(machine) = leader.cluster.machines.get_mut(machine) {
            let is_reconciled =
                reason.is_none() && machine.content_token == token && machine.tasks.len() == tasks.len();
            machine.reconciled_at = is_reconciled.then_some(now);
        }
    }
}

impl LeaderState {
    /// Returns the reason why only the leader may respond to `machine`, on which `tasks` are
    /// placed, if there is one.
    fn leader_only_reason(&self, machine: &str, tasks: &[(String, u32)]) -> Option<LeaderOnlyReason> {
        if self.has_unplaced_task(machine) {
            return Some(LeaderOnlyReason::Kill);
        }
        let placements = tasks.iter().filter_map(|(job, task)| self.placement(job, *task));
        placements.filter_map(LeaderOnlyReason::of_placement).max()
    }

    /// Whether a live task on `machine` is not placed there, so that it has to be killed.
    fn has_unplaced_task(&self, machine: &str) -> bool {
        let Some(known_machine) = self.cluster.machines.get(machine) else { return false };
        let is_unplaced = |status: &TaskStatus| {
            let Some((job, task)) = split_task(&status.task) else { return false };
            let placement = self.placement(job, task);
            !placement
                .is_some_and(|placement| placement.machine == machine && placement.attempt == status.attempt)
        };
        let mut live_tasks = known_machine.tasks.iter().filter(|status| status.state != TaskState::Exited);
        live_tasks.any(is_unplaced)
    }

    fn placement(&self, job: &str, task: u32) -> Option<&Placement> {
        self.cluster.jobs.get(job)?.placements.get(&task)
    }
}
