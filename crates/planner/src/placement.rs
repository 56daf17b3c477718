//! Where and when a single task could run, and how well it fits there.

use crate::planner::Planner;
use crate::problem::Job;
use crate::resources::RESOURCE_TOLERANCE;
use std::cmp::Ordering;

/// Extra cost of an emptier machine, per unused share of its cores and accelerators: more than a
/// usual fetch, less than the price step to another machine type.
const EMPTY_MACHINE_PENALTY: f64 = 0.15;

/// How well a task fits a machine; the smaller the better.
#[derive(Clone, Copy)]
pub(crate) struct PlacementRank {
    /// Cost of the run, with the penalty for emptier machines.
    weighted_cost: f64,
    /// Shares of the machine that stay unused: cores plus accelerators.
    unused_share: f64,
}

/// A machine that could run a task, and from when on. The smaller option is the better one:
/// earlier, then by rank.
#[derive(Clone, Copy)]
pub(crate) struct PlacementOption {
    /// Index of the machine.
    pub(crate) machine: usize,
    /// When the task could start there.
    pub(crate) starts_at: f64,
    /// How well the task fits there.
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

    /// Whether the job may run on `machine`, which must not be one that it failed on.
    pub(crate) fn is_allowed(&self, job: &Job, machine: usize) -> bool {
        self.can_host(job, machine) && !job.excluded_machines.contains(&machine)
    }

    /// Seconds until the job's image would be on `machine`.
    pub(crate) fn fetch_s(&self, job: &Job, machine: usize) -> f64 {
        if self.images[machine].contains(&job.image) {
            return 0.0;
        }
        let instance_type = self.problem.machines[machine].instance_type;
        self.problem.instance_types[instance_type].fetch_s(job.image_gb)
    }

    /// How well a task of the job fits `machine`.
    pub(crate) fn rank(&self, job: &Job, machine: usize) -> PlacementRank {
        let fetch_s = self.fetch_s(job, machine);
        let mut left = self.timelines[machine].free;
        left.subtract(&job.resources);
        let machine = &self.problem.machines[machine];
        let instance_type = &self.problem.instance_types[machine.instance_type];
        let size = &instance_type.size;
        let instances = f64::from(size.instances_that_fit(&job.resources).max(1));
        // Expensive machines are kept for jobs that need them: an on-demand machine ranks behind any
        // spot machine for a job that may use either.
        let price = if machine.spot { instance_type.spot_price } else { instance_type.price };
        let cost = price / instances * (job.run_s * machine.slowness + fetch_s);
        let unused_share = left.cores / size.cores.max(RESOURCE_TOLERANCE)
            + left.accelerators / size.accelerators.max(RESOURCE_TOLERANCE);
        PlacementRank { weighted_cost: cost * (1.0 + EMPTY_MACHINE_PENALTY * unused_share), unused_share }
    }

    /// The earliest placement of one task on `machine`, if there is any.
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

    /// The options on all open machines, of one type and zone where these are given, in no order.
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
            .filter(|&&machine| instance_type.is_none_or(|only| machines[machine].instance_type == only))
            .filter(|&&machine| zone.is_none_or(|only| machines[machine].zone == only))
            .filter_map(|&machine| self.placement_option(job, machine))
            .collect()
    }
}
