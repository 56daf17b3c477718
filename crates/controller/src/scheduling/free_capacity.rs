//! Search for a machine that a job may use and that has room for one of its tasks now. The planner's
//! limits on best-effort work must not keep a job waiting for long while there is such a machine.

use crate::model::job::Job;
use crate::scheduling::machines::PlannerMachines;
use crate::scheduling::planner_input::PlanningContext;
use crate::scheduling::pricing::{allows_type, resources_per_task};
use protocol::job::JobSpec;

/// Maximum number of kinds of jobs for which one plan searches without success.
const MAX_FAILED_SEARCHES: usize = 16;

/// Search for room that remembers the jobs for which no machine has room.
#[derive(Debug, Default)]
pub(super) struct FreeCapacitySearch<'a> {
    /// Jobs for which no machine has room.
    unplaceable: Vec<&'a JobSpec>,
    /// Number of machines examined.
    steps: u64,
}

impl<'a> FreeCapacitySearch<'a> {
    /// Returns the number of machines examined, which count as planning steps.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Whether a machine has room for a task of the job. Returns false without a search if a search
    /// for a job with the same needs has failed, or if too many searches have failed.
    pub fn has_room(&mut self, context: &PlanningContext, machines: &PlannerMachines, job: &'a Job) -> bool {
        let known_unplaceable = self.unplaceable.iter().any(|spec| have_same_needs(spec, &job.spec));
        if known_unplaceable || self.unplaceable.len() >= MAX_FAILED_SEARCHES {
            return false;
        }
        self.steps += machines.machines.len() as u64;
        let mut candidates = machines.machines.iter().zip(&machines.names);
        let has_room = candidates.any(|(machine, name)| {
            has_room_for(context, machine, &job.spec) && !job.failed_on.contains(name)
        });
        // Other jobs may use the machines that this one failed on.
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

fn has_room_for(context: &PlanningContext, machine: &planner::Machine, spec: &JobSpec) -> bool {
    allows_type(spec, &context.types[machine.instance_type])
        && spec.zone.as_ref().is_none_or(|zone| *zone == context.zones[machine.zone])
        && (spec.spot || !machine.spot)
        && machine.ready_at <= context.now
        && machine.free.fits(&resources_per_task(spec))
}
