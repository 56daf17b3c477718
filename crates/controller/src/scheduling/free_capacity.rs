//! Search for a machine that a job may use and that has room for one of its tasks now. If there
//! is one, a best-effort job that has waited too long may place one task regardless of the planner's
//! limits on best-effort work, so that they do not keep it waiting beside free capacity.

use crate::model::job::Job;
use crate::scheduling::machines::PlannerMachines;
use crate::scheduling::planner_input::PlanningContext;
use crate::scheduling::pricing::{allows_type, resources_per_task};
use protocol::job::JobSpec;

/// Maximum number of failed searches that are remembered in one plan. Searches for jobs that failed
/// on a machine are not remembered.
const MAX_REMEMBERED_FAILURES: usize = 16;

/// Search for free capacity that remembers the jobs for which it found none.
#[derive(Debug, Default)]
pub(super) struct FreeCapacitySearch<'a> {
    /// Jobs for which no machine has room.
    unplaceable: Vec<&'a JobSpec>,
    /// Upper bound of the number of machines examined.
    steps: u64,
}

impl<'a> FreeCapacitySearch<'a> {
    /// Returns an upper bound of the number of machines examined, which counts as planning steps.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Whether a machine has room for a task of the job. Returns false without a search if a search
    /// for a job with the same needs has failed, or if the maximum number of failures is remembered.
    pub fn has_room(&mut self, context: &PlanningContext, machines: &PlannerMachines, job: &'a Job) -> bool {
        let known_unplaceable = self.unplaceable.iter().any(|spec| have_same_needs(spec, &job.spec));
        if known_unplaceable || self.unplaceable.len() >= MAX_REMEMBERED_FAILURES {
            return false;
        }
        self.steps += machines.machines.len() as u64;
        let mut candidates = machines.machines.iter().zip(&machines.names);
        let has_room = candidates.any(|(machine, name)| {
            can_host_task(context, machine, &job.spec) && !job.failed_on.contains(name)
        });
        // If machines were skipped because this job failed on them, the result says nothing about
        // other jobs.
        if !has_room && job.failed_on.is_empty() {
            self.unplaceable.push(&job.spec);
        }
        has_room
    }
}

fn have_same_needs(a: &JobSpec, b: &JobSpec) -> bool {
    resources_per_task(a) == resources_per_task(b)
        && a.machine_types == b.machine_types
        && a.zone == b.zone
        && a.spot == b.spot
}

fn can_host_task(context: &PlanningContext, machine: &planner::Machine, spec: &JobSpec) -> bool {
    allows_type(spec, &context.types[machine.instance_type])
        && spec.zone.as_ref().is_none_or(|zone| *zone == context.zones[machine.zone])
        && (spec.spot || !machine.spot)
        && machine.ready_at <= context.now
        && machine.free.fits(&resources_per_task(spec))
}
