//! Converts the tasks that a plan could not place into the machines that each pool needs.

use crate::autoscaling::fleet::{Fleet, MachinePool, ZonalMachineType, ZonalPool};
use crate::autoscaling::zonal_demand::{CapacityRequest, PoolOption, ZonalDemand};
use crate::messages::Time;
use planner::{Plan, Problem, UnmetDemand};
use protocol::cloud::MachineType;
use std::collections::BTreeMap;

/// Machines that unplaced tasks need.
#[derive(Debug, Default)]
pub(super) struct PoolDemand {
    /// Machines needed in addition to those with work, by pool.
    pub needed: BTreeMap<MachinePool, f64>,
    /// Machines to add in a specific zone.
    pub wanted_in_zone: BTreeMap<ZonalPool, u32>,
    /// Machines in `wanted_in_zone` that are not counted in `needed`, by pool.
    pub additional: BTreeMap<MachinePool, u32>,
    /// Machines that are kept for gangs whose other machines are still missing.
    pub assembling: BTreeMap<ZonalMachineType, u32>,
}

/// Accumulator of the machines that unplaced tasks need.
pub(super) struct DemandCollector<'a> {
    now: Time,
    problem: &'a Problem,
    types: &'a [MachineType],
    fleet: &'a Fleet,
    /// Whether machines are requested in the zones to which the work is bound.
    zonal_scale_out: bool,
    zonal: ZonalDemand<'a>,
    /// Machines that each pool is expected to be still able to provide.
    obtainable: BTreeMap<MachinePool, f64>,
    needed: BTreeMap<MachinePool, f64>,
}

impl<'a> DemandCollector<'a> {
    /// Creates a collector without demand.
    pub fn new(
        now: Time,
        problem: &'a Problem,
        types: &'a [MachineType],
        fleet: &'a Fleet,
        zonal_scale_out: bool,
        zonal: ZonalDemand<'a>,
    ) -> Self {
        DemandCollector {
            now,
            problem,
            types,
            fleet,
            zonal_scale_out,
            zonal,
            obtainable: BTreeMap::new(),
            needed: BTreeMap::new(),
        }
    }

    /// Adds the demand that `plan` could not meet.
    pub fn add_unmet(&mut self, plan: &Plan) {
        for unmet in &plan.unmet {
            let is_assembling = plan.gang_assembly.is_some_and(|(job, _)| job == unmet.job);
            let tasks = self.tasks_to_provide_for(unmet, is_assembling);
            if tasks > 0 {
                self.add_job(&self.problem.jobs[unmet.job], f64::from(tasks));
            }
        }
    }

    /// Returns the number of unmet tasks that need additional machines. Tasks that will be in time
    /// where they are planned need none, unless their team's guarantee requires that they start now or
    /// they belong to an overdue gang for which machines are being assembled.
    fn tasks_to_provide_for(&self, unmet: &UnmetDemand, is_assembling: bool) -> u32 {
        if self.problem.jobs[unmet.job].guaranteed || is_assembling {
            unmet.tasks
        } else {
            unmet.late_tasks
        }
    }

    fn add_job(&mut self, job: &planner::Job, tasks: f64) {
        let pools = self.pool_options(job);
        let request = CapacityRequest { job, tasks, pools: &pools };
        if self.zonal_scale_out && self.zonal.add_demand(&request) {
            return;
        }
        let mut tasks_left = tasks;
        // Idle machines may be those that the job failed on, which are of no use to it.
        if job.one_zone && job.zone.is_none() && job.excluded_machines.is_empty() {
            tasks_left = self.zonal.assemble_gang(&request).unwrap_or(tasks_left);
        } else if self.zonal_scale_out && job.shape == planner::Shape::Gang {
            self.zonal.keep_idle(&request);
        }
        self.add_cheapest(pools, tasks_left);
    }

    /// Returns the pools in which `job` may run, cheapest first.
    fn pool_options(&mut self, job: &planner::Job) -> Vec<PoolOption> {
        let mut options = Vec::new();
        for &index in &job.instance_types {
            let instance_type = &self.problem.instance_types[index];
            let tasks_per_machine = instance_type.size.instances_that_fit(&job.resources);
            if tasks_per_machine == 0 {
                continue;
            }
            let tasks_per_machine = f64::from(tasks_per_machine);
            let machine_type = &self.types[index];
            for spot in [true, false] {
                if spot && !job.spot || !spot && job.spot_only {
                    continue;
                }
                let price = if spot { instance_type.spot_price } else { instance_type.price };
                let pool = MachinePool::new(&machine_type.name, spot);
                self.obtainable
                    .entry(pool.clone())
                    .or_insert_with(|| self.fleet.available_machines(self.now, machine_type, spot));
                options.push(PoolOption {
                    price_per_task: price / tasks_per_machine,
                    pool,
                    tasks_per_machine,
                });
            }
        }
        options.sort_by(|a, b| a.price_per_task.total_cmp(&b.price_per_task));
        options
    }

    /// Distributes the remaining tasks to `pools` in order, up to the number of machines that each is
    /// expected to provide.
    fn add_cheapest(&mut self, pools: Vec<PoolOption>, mut tasks_left: f64) {
        for PoolOption { pool, tasks_per_machine, .. } in pools {
            let Some(obtainable) = self.obtainable.get_mut(&pool) else { continue };
            let machines = (tasks_left / tasks_per_machine).min(*obtainable).max(0.0);
            *obtainable -= machines;
            tasks_left -= machines * tasks_per_machine;
            if machines > 0.0 {
                *self.needed.entry(pool).or_insert(0.0) += machines;
            }
        }
    }

    /// Returns the machines that the collected demand needs.
    pub fn finish(self) -> PoolDemand {
        let requirements = self.zonal.into_requirements();
        let mut needed = self.needed;
        for (pool, machines) in requirements.booting {
            *needed.entry(pool).or_insert(0.0) += machines;
        }
        PoolDemand {
            needed,
            wanted_in_zone: requirements.wanted_in_zone,
            additional: requirements.additional,
            assembling: requirements.assembling,
        }
    }
}
