//! Statistics of a job class: run times, arrivals, and the machines that its jobs usually need.

use crate::autoscaling::fleet::MachinePool;
use crate::leader::state::Role;
use crate::scheduling::effective_priority::InheritedDemand;
use crate::scheduling::pricing::{allows_type, machine_price, machine_resources, resources_per_task};
use crate::Controller;
use protocol::cloud::MachineType;
use protocol::job::JobSpec;
use std::collections::VecDeque;

/// Number of arrivals from which the arrival rate of a class is computed.
const MAX_ARRIVALS: usize = 8;

/// Number of recorded runs after which the weight of a new run time stays constant.
const MAX_RUN_SAMPLES: u32 = 20;

/// Range to which ratios of run times to estimates are clamped.
const RUN_TIME_RATIOS: std::ops::RangeInclusive<f64> = 0.1..=10.0;

/// Minimum length of the period over which the arrival rate is averaged.
const MIN_ARRIVAL_WINDOW_S: f64 = 60.0;

/// Maximum number of tasks of one job that count as demand.
const MAX_DEMAND_TASKS: u32 = 1000;

/// Statistics of a job class.
#[derive(Debug, Clone, Default)]
pub struct ClassStats {
    /// Mean logarithm of the ratio of run times to estimates.
    mean_log_ratio: f64,
    /// Number of runs recorded.
    run_samples: u32,
    /// Priorities and deadlines that its jobs inherited from dependent jobs.
    pub inherited_demand: InheritedDemand,
    /// Times of the most recent arrivals, in seconds.
    arrivals: VecDeque<f64>,
    /// Machines that one of its jobs usually needs.
    pub typical_demand: Option<TypicalDemand>,
}

/// Machines that a job of a class usually needs in the pool where it runs cheapest.
#[derive(Debug, Clone)]
pub struct TypicalDemand {
    /// Cheapest pool of the most recent job.
    pub pool: MachinePool,
    /// Running mean of the number of machines per job.
    pub machines: f64,
    /// Running mean of the squared number of machines per job.
    pub mean_square: f64,
    /// Boot time in that pool, in seconds.
    pub boot_s: f64,
}

/// Machines that one job needs in the pool where it runs cheapest.
pub(super) struct JobDemand {
    pool: MachinePool,
    machines: f64,
    boot_s: f64,
}

impl TypicalDemand {
    fn new(demand: &JobDemand) -> Self {
        TypicalDemand {
            pool: demand.pool.clone(),
            machines: demand.machines,
            mean_square: demand.machines * demand.machines,
            boot_s: demand.boot_s,
        }
    }

    fn record(&mut self, demand: JobDemand) {
        let squared = demand.machines * demand.machines;
        self.machines += (demand.machines - self.machines) / 4.0;
        self.mean_square += (squared - self.mean_square) / 8.0;
        self.pool = demand.pool;
        self.boot_s = demand.boot_s;
    }
}

impl ClassStats {
    /// Records a run that took `ratio` times its estimate.
    pub fn record_run(&mut self, ratio: f64) {
        self.run_samples += 1;
        let weight = 1.0 / f64::from(self.run_samples.min(MAX_RUN_SAMPLES) + 2);
        let ratio = ratio.clamp(*RUN_TIME_RATIOS.start(), *RUN_TIME_RATIOS.end());
        self.mean_log_ratio += (ratio.ln() - self.mean_log_ratio) * weight;
    }

    /// Records the arrival of a job at `at`. `demand` is None if the job fits on no machine.
    pub(super) fn record_arrival(&mut self, at: f64, demand: Option<JobDemand>) {
        self.arrivals.push_back(at);
        if self.arrivals.len() > MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
        let Some(demand) = demand else { return };
        self.typical_demand.get_or_insert_with(|| TypicalDemand::new(&demand)).record(demand);
    }

    /// Returns the recent arrival rate in jobs per second. The rate falls when no job has arrived for
    /// much longer than the usual interval, so that reserves disappear once demand has ended.
    pub fn arrival_rate(&self, now: f64) -> f64 {
        let (Some(first), Some(last)) = (self.arrivals.front(), self.arrivals.back()) else { return 0.0 };
        let arrivals = self.arrivals.len() as f64;
        let mean = arrivals / (now - first).max(MIN_ARRIVAL_WINDOW_S);
        mean.min(1.5 / (now - last).max(1e-3))
    }

    /// Returns the expected run time as a multiple of the estimate.
    pub fn run_time_ratio(&self) -> f64 {
        self.mean_log_ratio.exp()
    }
}

/// Returns the machines that a job needs in the pool where it runs cheapest, or None if it fits in
/// no pool.
fn cheapest_demand(types: &[MachineType], spec: &JobSpec) -> Option<JobDemand> {
    let resources = resources_per_task(spec);
    let mut cheapest: Option<(f64, JobDemand)> = None;
    for machine_type in types {
        let tasks_per_machine = machine_resources(machine_type).instances_that_fit(&resources);
        if !allows_type(spec, machine_type) || tasks_per_machine == 0 {
            continue;
        }
        let tasks_per_machine = f64::from(tasks_per_machine);
        let task_price = machine_price(machine_type, spec.spot) / tasks_per_machine;
        if cheapest.as_ref().is_none_or(|(lowest, _)| task_price < *lowest) {
            let demand = JobDemand {
                pool: MachinePool::new(&machine_type.name, spec.spot),
                machines: f64::from(spec.tasks.min(MAX_DEMAND_TASKS)) / tasks_per_machine,
                boot_s: machine_type.boot_s,
            };
            cheapest = Some((task_price, demand));
        }
    }
    cheapest.map(|(_, demand)| demand)
}

impl Controller {
    /// Records the arrival of a job at `at` for the reserve of its class. Best-effort jobs are not
    /// recorded, because no reserve is kept for them.
    pub(crate) fn record_arrival(&mut self, spec: &JobSpec, at: f64) {
        if self.is_best_effort(spec) {
            return;
        }
        let demand = cheapest_demand(self.machine_types.as_deref().unwrap_or_default(), spec);
        let Role::Leader(leader) = &mut self.role else { return };
        let stats = leader.planning.classes.entry(spec.class.clone()).or_default();
        stats.record_arrival(at, demand);
    }
}
