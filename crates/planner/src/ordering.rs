//! Order in which jobs are planned.

use crate::cost::deferral_costs;
use crate::feasibility::{feasibilities, Feasibility};
use crate::problem::Problem;
use std::cmp::Ordering;

/// Returns the indices of all jobs in the order in which they are planned. Starvation relief comes
/// first, then the higher priority. Within a priority, probing jobs come last and best-effort jobs
/// just before them; the others are ordered by whether a guaranteed quota covers them, whether they
/// can still meet their deadline, the higher deferral cost (skipped if the priority is overloaded),
/// and the earlier deadline.
pub fn order(problem: &Problem) -> Vec<usize> {
    let jobs = &problem.jobs;
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by(|&a, &b| jobs[a].deadline.total_cmp(&jobs[b].deadline).then(a.cmp(&b)));
    let deferral_cost = deferral_costs(problem.now, &problem.instance_types, jobs);
    let feasibility = feasibilities(problem, &order);
    // If not all jobs of a priority can be in time, they are planned in deadline order, because their
    // feasibility was computed for that order.
    let mut overloaded = [false; 1 + u8::MAX as usize];
    for (job, feasibility) in jobs.iter().zip(&feasibility) {
        overloaded[job.priority as usize] |= *feasibility != Feasibility::InTime;
    }
    order.sort_by(|&a, &b| {
        let (left, right) = (&jobs[a], &jobs[b]);
        let by_deadline = left.deadline.total_cmp(&right.deadline);
        let by_load = if overloaded[left.priority as usize] {
            by_deadline
        } else {
            deferral_cost[b].partial_cmp(&deferral_cost[a]).unwrap_or(Ordering::Equal)
        };
        right
            .starvation_relief
            .cmp(&left.starvation_relief)
            .then(right.priority.cmp(&left.priority))
            .then(left.probing.cmp(&right.probing))
            .then(left.best_effort.cmp(&right.best_effort))
            .then(right.guaranteed.cmp(&left.guaranteed))
            .then(feasibility[a].cmp(&feasibility[b]))
            .then(by_load)
            .then(by_deadline)
            .then(a.cmp(&b))
    });
    order
}
