//! From what waits and what there is to placements and preemptions.

pub(crate) mod effective_priority;
pub(crate) mod job_dependencies;
pub(crate) mod planning;
pub(crate) mod planning_state;
pub(crate) mod starvation;
pub(crate) mod work_conservation;
