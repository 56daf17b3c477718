//! Read-only access to the controller's state, for the simulation's checks and for metrics.

use crate::controller::Controller;
use crate::leader::state::{LeaderState, Role};
use crate::model::machine::Machine;

impl Controller {
    /// Whether this node leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the fencing token with which this node leads; none if it does not lead.
    pub fn token(&self) -> Option<u64> {
        self.inspected_leader().map(|leader| leader.fencing_token)
    }

    /// Whether this node leads and has read all stored records.
    pub fn has_recovered(&self) -> bool {
        self.inspected_leader().is_some_and(|leader| leader.recovery.finished)
    }

    /// Returns the ids of the machines that this leader has quarantined.
    pub fn quarantined(&self) -> impl Iterator<Item = &str> {
        self.machines().filter(|machine| machine.quarantined).map(|machine| machine.id.as_str())
    }

    /// Returns the ids of the machines that accept work and whose workers send heartbeats.
    pub fn usable_machines(&self) -> impl Iterator<Item = &str> {
        let usable = |machine: &&Machine| {
            machine.accepts_work() && machine.has_recent_heartbeats(self.now, &self.timing)
        };
        self.machines().filter(usable).map(|machine| machine.id.as_str())
    }

    /// Returns the ids of the machines that do not accept work, for example because they are scaled in,
    /// quarantined or suspected.
    pub fn machines_not_accepting_work(&self) -> impl Iterator<Item = &str> {
        self.machines().filter(|machine| !machine.accepts_work()).map(|machine| machine.id.as_str())
    }

    /// Returns the ids of the machines that this leader has declared dead and that may still run,
    /// whether or not its lease still entitles it to act on that.
    pub fn machines_declared_dead(&self) -> impl Iterator<Item = &str> {
        self.machines().filter(|machine| machine.declared_dead).map(|machine| machine.id.as_str())
    }

    /// Returns the seconds since the assumed creation of a machine, if this leader knows it.
    pub fn machine_age_s(&self, id: &str) -> Option<f64> {
        let machine = self.machines().find(|machine| machine.id == id)?;
        Some(self.now - machine.created_at)
    }

    /// Returns the number of placements that this leader knows of.
    pub fn placement_count(&self) -> usize {
        let Some(leader) = self.inspected_leader() else { return 0 };
        leader.cluster.jobs.values().map(|job| job.placements.len()).sum()
    }

    /// Returns the number of completed tasks of the jobs that are not terminal, as known to this leader.
    pub fn completed_task_count(&self) -> usize {
        let Some(leader) = self.inspected_leader() else { return 0 };
        leader.cluster.jobs.values().map(|job| job.done_count as usize).sum()
    }

    /// Returns the number of jobs that wait for dependencies, as known to this leader.
    pub fn waiting_job_count(&self) -> usize {
        self.inspected_leader().map_or(0, |leader| leader.dependencies.graph.waiting_count())
    }

    fn inspected_leader(&self) -> Option<&LeaderState> {
        match &self.role {
            Role::Leader(leader) => Some(leader),
            Role::Follower => None,
        }
    }

    fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.inspected_leader().into_iter().flat_map(|leader| leader.cluster.machines.values())
    }
}
