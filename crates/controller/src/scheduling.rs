//! Scheduling: decides which tasks start on which machines and which tasks are preempted.
//!
//! `planning` runs the planner when a plan is due. `planner_input` converts the cluster state into
//! the planner's problem, and `apply_plan` applies the plan. Each of the other modules implements
//! one concern: priorities, dependencies, quotas, starvation, best-effort work, prices.

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
