//! Whether a machine that a job may use has room for one of its tasks now. The planner's limits on
//! best-effort work must not make such a job wait beside it for long.

use crate::model::job::Job;
use crate::scheduling::machines::PlannerMachines;
use crate::scheduling::planner_input::PlanningContext;
use crate::scheduling::pricing::{allows_type, resources_per_task};
use protocol::job::JobSpec;

/// Sorts of jobs that one plan looks for room for in vain.
const MAX_FRUITLESS_SEARCHES: usize = 16;

/// Searches for room, and remembers for which jobs there is none.
#[derive(Debug, Default)]
pub(super) struct FreeCapacitySearch<'a> {
    /// Jobs for which no machine has room.
    fruitless: Vec<&'a JobSpec>,
    /// Machines that were looked at.
    steps: u64,
}

impl<'a> FreeCapacitySearch<'a> {
    /// Machines that were looked at, as steps of planning.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Whether a machine has room for a task of the job. False without a search for jobs like one
    /// that was searched for in vain, and after too many such searches.
    pub fn has_room(&mut self, context: &PlanningContext, machines: &PlannerMachines, job: &'a Job) -> bool {
        let known_fruitless = self.fruitless.iter().any(|spec| have_same_needs(spec, &job.spec));
        if known_fruitless || self.fruitless.len() >= MAX_FRUITLESS_SEARCHES {
            return false;
        }
        self.steps += machines.machines.len() as u64;
        let mut candidates = machines.machines.iter().zip(&machines.names);
        let found = candidates.any(|(machine, name)| {
            has_room_for(context, machine, &job.spec) && !job.failed_on.contains(name)
        });
        // Other jobs may use the machines that this one failed on.
        if !found && job.failed_on.is_empty() {
            self.fruitless.push(&job.spec);
        }
        found
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
