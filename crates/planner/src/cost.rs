//! Cost of running a job, and the cost of deferring it until after the other jobs.

use crate::problem::{InstanceType, Job};

/// A job that cannot meet its deadline is priced at this multiple of its cheapest cost, as if the work
/// were bought elsewhere.
const LATE_COST_FACTOR: f64 = 2.0;

/// Choice of a machine type for a job.
pub(crate) struct Configuration {
    /// Index of the machine type.
    pub(crate) instance_type: usize,
    /// Price per second of the share of a machine that one task uses.
    pub(crate) task_price: f64,
}

/// Returns the price per second of the share of a machine that one task uses; `None` if no task
/// fits on a machine of this type.
fn task_price(instance_type: &InstanceType, job: &Job) -> Option<f64> {
    let instances = instance_type.size.instances_that_fit(&job.resources);
    if instances == 0 {
        return None;
    }
    let uses_spot = job.spot && instance_type.spot_price > 0.0;
    let price = if uses_spot { instance_type.spot_price } else { instance_type.price };
    Some(price / f64::from(instances))
}

/// Returns the job's allowed types, cheapest first. On ties the type that holds more of the job's
/// tasks comes first, because it takes fewer machines.
pub(crate) fn configurations(types: &[InstanceType], job: &Job) -> Vec<Configuration> {
    let instances = |instance_type: usize| types[instance_type].size.instances_that_fit(&job.resources);
    let configuration = |&instance_type: &usize| {
        let task_price = task_price(&types[instance_type], job)?;
        Some(Configuration { instance_type, task_price })
    };
    let mut sorted: Vec<Configuration> = job.instance_types.iter().filter_map(configuration).collect();
    sorted.sort_by(|a, b| {
        a.task_price
            .total_cmp(&b.task_price)
            .then_with(|| instances(b.instance_type).cmp(&instances(a.instance_type)))
            .then(a.instance_type.cmp(&b.instance_type))
    });
    sorted
}

/// Returns the cost of running `first` and, once it has ended, `second`, each on its cheapest
/// configuration that meets the deadline. The cost of a run includes one image fetch. A job that
/// cannot meet its deadline on any configuration costs twice its cheapest run.
pub fn pair_cost(now: f64, types: &[InstanceType], first: &Job, second: &Job) -> f64 {
    let first_run = CostCurve::of(types, first).run_from(now);
    let second_run = CostCurve::of(types, second).run_from(first_run.ends_at);
    first_run.cost + second_run.cost
}

/// Cost and duration of a job's run.
#[derive(Clone, Copy)]
struct RunCost {
    cost: f64,
    duration_s: f64,
}

/// Run of the cheapest configuration that meets the deadline, and the latest start for which it does.
struct CostStep {
    latest_start: f64,
    run: RunCost,
}

/// Cost and end of a run that begins at a given time.
struct RunEstimate {
    cost: f64,
    ends_at: f64,
}

/// Cost of a job as a step function of its start, computed once per plan.
struct CostCurve {
    /// Steps in ascending order of their latest start.
    steps: Vec<CostStep>,
    /// Run after the last step, when no configuration meets the deadline any more.
    late: RunCost,
}

impl CostCurve {
    fn of(types: &[InstanceType], job: &Job) -> CostCurve {
        let tasks = job.pending_tasks.len() as f64;
        let mut steps: Vec<CostStep> = Vec::new();
        let mut late = RunCost { cost: f64::MAX, duration_s: 0.0 };
        for configuration in configurations(types, job) {
            let fetch_s = types[configuration.instance_type].fetch_s(job.image_gb);
            let duration_s = fetch_s + job.run_s;
            let cost = (tasks * job.run_s + fetch_s) * configuration.task_price;
            let latest_start = job.deadline - duration_s;
            if steps.last().is_none_or(|last| latest_start > last.latest_start) {
                steps.push(CostStep { latest_start, run: RunCost { cost, duration_s } });
            }
            let late_cost = LATE_COST_FACTOR * cost;
            if late_cost < late.cost {
                late = RunCost { cost: late_cost, duration_s };
            }
        }
        if late.cost == f64::MAX {
            late = RunCost { cost: 0.0, duration_s: 0.0 };
        }
        CostCurve { steps, late }
    }

    /// Returns the run that begins at `start`.
    fn run_from(&self, start: f64) -> RunEstimate {
        let step = self.steps.iter().find(|step| start <= step.latest_start);
        let run = step.map_or(self.late, |step| step.run);
        RunEstimate { cost: run.cost, ends_at: start + run.duration_s }
    }

    /// Returns the sum of this job's costs over all `starts`, which are in ascending order.
    fn total_over_starts(&self, starts: &[f64]) -> f64 {
        let mut total = 0.0;
        let mut counted_starts = 0;
        for step in &self.steps {
            let in_time = starts.partition_point(|start| *start <= step.latest_start);
            total += (in_time - counted_starts) as f64 * step.run.cost;
            counted_starts = in_time;
        }
        total + (starts.len() - counted_starts) as f64 * self.late.cost
    }
}

/// Sum of all jobs' costs for starts after `latest_start`.
struct SummedStep {
    latest_start: f64,
    cost: f64,
}

/// Sum of all jobs' cost curves: a step function of a common start.
struct SummedCost {
    /// Cost before the first step.
    initial: f64,
    /// Steps in ascending order of their latest start.
    steps: Vec<SummedStep>,
}

impl SummedCost {
    fn of(curves: &[CostCurve]) -> SummedCost {
        let initial: f64 = curves.iter().map(|curve| curve.run_from(f64::MIN).cost).sum();
        let mut steps: Vec<SummedStep> = Vec::new();
        for curve in curves {
            for (index, step) in curve.steps.iter().enumerate() {
                let next_cost = curve.steps.get(index + 1).map_or(curve.late.cost, |next| next.run.cost);
                steps.push(SummedStep { latest_start: step.latest_start, cost: next_cost - step.run.cost });
            }
        }
        steps.sort_by(|a, b| a.latest_start.total_cmp(&b.latest_start));
        let mut sum = initial;
        for step in &mut steps {
            sum += step.cost;
            step.cost = sum;
        }
        SummedCost { initial, steps }
    }

    /// Returns the sum of all jobs' costs when all begin at `start`.
    fn cost_at(&self, start: f64) -> f64 {
        let passed = self.steps.partition_point(|step| step.latest_start < start);
        if passed == 0 {
            self.initial
        } else {
            self.steps[passed - 1].cost
        }
    }
}

/// Returns every job's deferral cost: the sum, over all others, of
/// `pair_cost(other, job) - pair_cost(job, other)`.
///
/// Costs are step functions of the start, so the sums are computed from sorted ends and steps in
/// O(n log n) instead of O(n²). The number of jobs therefore needs no cut-off. A test compares the
/// result with the sum over all pairs.
pub fn deferral_costs(now: f64, types: &[InstanceType], jobs: &[Job]) -> Vec<f64> {
    let curves: Vec<CostCurve> = jobs.iter().map(|job| CostCurve::of(types, job)).collect();
    let runs: Vec<RunEstimate> = curves.iter().map(|curve| curve.run_from(now)).collect();
    let mut sorted_ends: Vec<f64> = runs.iter().map(|run| run.ends_at).collect();
    sorted_ends.sort_by(f64::total_cmp);
    let total_cost: f64 = runs.iter().map(|run| run.cost).sum();
    let summed_cost = SummedCost::of(&curves);
    let job_count = jobs.len() as f64;
    curves
        .iter()
        .zip(&runs)
        .map(|(curve, run)| {
            // Both sums include the job paired with itself; the two terms are equal and cancel out.
            let cost_after_others = curve.total_over_starts(&sorted_ends);
            let others_cost_after = summed_cost.cost_at(run.ends_at);
            cost_after_others - others_cost_after + total_cost - job_count * run.cost
        })
        .collect()
}
