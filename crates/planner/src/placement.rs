//! Placement options of single tasks: machine, start and rank.

use crate::planner::Planner;
use crate::problem::Job;
use crate::resources::RESOURCE_TOLERANCE;
use std::cmp::Ordering;

/// Relative cost added per unused share of a machine's cores and accelerators, so that fuller
/// machines are preferred. It is larger than the cost of a usual image fetch and smaller than the
/// price difference to another machine type.
const EMPTY_MACHINE_PENALTY: f64 = 0.15;

/// Rank of a task's placement on a machine; smaller is better.
#[derive(Clone, Copy)]
pub(crate) struct PlacementRank {
    /// Cost of the run, with the penalty for emptier machines.
    weighted_cost: f64,
    /// Unused share of the machine's cores plus unused share of its accelerators.
    unused_share: f64,
}

/// Machine that could run a task, with the earliest start there. Options are ordered by start, then
/// by rank; smaller is better.
#[derive(Clone, Copy)]
pub(crate) struct PlacementOption {
    /// Index of the machine.
    pub(crate) machine: usize,
    /// Earliest start of the task on the machine.
    pub(crate) starts_at: f64,
    /// Rank of the task's placement on the machine.
    pub(crate) rank: PlacementRank,
}

impl Ord for PlacementOption {
    fn cmp(&self, other: &Self) -> Ordering {
        self.starts_at
            .total_cmp(&other.starts_at)
            .then(self.rank.weighted_cost.total_cmp(&other.rank.weighted_cost))
            .then(self.rank.unused_share.total_cmp(&other.rank.unused_share))
            .then(self.machine.cmp(&other.machine))
    }
}

impl PartialOrd for PlacementOption {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for PlacementOption {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for PlacementOption {}

impl Planner<'_> {
    /// Whether the job's type, spot and zone constraints admit `machine`.
    pub(crate) fn can_host(&self, job: &Job, machine: usize) -> bool {
        let machine = &self.problem.machines[machine];
        job.instance_types.contains(&machine.instance_type)
            && (!machine.spot || job.spot)
            && (machine.spot || !job.spot_only)
            && job.zone.is_none_or(|zone| zone == machine.zone)
    }

    /// Whether the job may run on `machine`: its constraints admit the machine and it has not failed
    /// there.
    pub(crate) fn is_allowed(&self, job: &Job, machine: usize) -> bool {
        self.can_host(job, machine) && !job.excluded_machines.contains(&machine)
    }

    /// Returns the seconds that `machine` needs to fetch the job's image; 0 if it holds the image.
    pub(crate) fn fetch_s(&self, job: &Job, machine: usize) -> f64 {
        if self.images[machine].contains(&job.image) {
            return 0.0;
        }
        let instance_type = self.problem.machines[machine].instance_type;
        self.problem.instance_types[instance_type].fetch_s(job.image_gb)
    }

    /// Ranks the placement of one task of the job on `machine`.
    pub(crate) fn rank(&self, job: &Job, machine: usize) -> PlacementRank {
        let fetch_s = self.fetch_s(job, machine);
        let mut remaining = self.timelines[machine].free;
        remaining.subtract(&job.resources);
        let machine = &self.problem.machines[machine];
        let instance_type = &self.problem.instance_types[machine.instance_type];
        let size = &instance_type.size;
        let instances = f64::from(size.instances_that_fit(&job.resources).max(1));
        // Ranking by actual price keeps expensive machines free for jobs that need them: a job that
        // may use spot machines prefers them to on-demand machines of the same type.
        let price = if machine.spot { instance_type.spot_price } else { instance_type.price };
        let cost = price / instances * (job.run_s * machine.slowness + fetch_s);
        let unused_share = remaining.cores / size.cores.max(RESOURCE_TOLERANCE)
            + remaining.accelerators / size.accelerators.max(RESOURCE_TOLERANCE);
        PlacementRank { weighted_cost: cost * (1.0 + EMPTY_MACHINE_PENALTY * unused_share), unused_share }
    }

    /// Returns the earliest placement of one task on `machine`, if there is one.
    pub(crate) fn placement_option(&self, job: &Job, machine: usize) -> Option<PlacementOption> {
        if !self.is_allowed(job, machine) {
            return None;
        }
        let candidate = &self.problem.machines[machine];
        let run_s = (self.fetch_s(job, machine) + job.run_s) * candidate.slowness;
        let not_before = self.problem.now.max(candidate.ready_at);
        let starts_at = self.timelines[machine].earliest_start(not_before, &job.resources, run_s)?;
        Some(PlacementOption { machine, starts_at, rank: self.rank(job, machine) })
    }

    /// Returns the placement options on all open machines, restricted to one type and one zone if
    /// these are given, in no particular order.
    pub(crate) fn placement_options(
        &mut self,
        job: &Job,
        instance_type: Option<usize>,
        zone: Option<usize>,
    ) -> Vec<PlacementOption> {
        self.plan.steps += self.open_machines.len() as u64;
        let machines = &self.problem.machines;
        self.open_machines
            .iter()
            .filter(|&&machine| {
                instance_type.is_none_or(|required| machines[machine].instance_type == required)
            })
            .filter(|&&machine| zone.is_none_or(|required| machines[machine].zone == required))
            .filter_map(|&machine| self.placement_option(job, machine))
            .collect()
    }
}
