//! Scheduling: which task starts on which machine, and which is preempted.
//!
//! `planning` runs the planner when it is due. `planner_input` turns the cluster's state into the
//! planner's problem, `apply_plan` carries the plan out. The other modules each hold one rule:
//! priorities, dependencies, quotas, starvation, best-effort work, prices.

mod apply_plan;
mod best_effort;
pub(crate) mod class_stats;
pub(crate) mod effective_priority;
mod free_capacity;
pub(crate) mod job_dependencies;
mod machines;
mod pending_jobs;
mod planner_input;
pub(crate) mod planning;
pub(crate) mod planning_state;
mod pricing;
mod running_tasks;
pub(crate) mod starvation;
mod teams;
pub(crate) mod work_conservation;
