//! Planning: builds the planner's input when a plan is due, runs the planner and applies the plan.

use crate::leader::state::Role;
use crate::scheduling::planner_input::{PlannerInput, PlanningContext};
use crate::Controller;

/// Planning steps per second and core of the controller's CPU share. A step takes about 1/12
/// microsecond, so planning uses at most a sixth of the share. With a fifth of this value, plans
/// were half a second apart when many jobs waited.
const MAX_STEPS_PER_CORE_SECOND: f64 = 2_000_000.0;

/// Minimum time between plans, as a fraction of the planning interval.
const MIN_INTERVAL_FRACTION: f64 = 1.0 / 50.0;

impl Controller {
    /// Makes a plan and applies it, if one is due.
    pub(crate) fn tick_planning(&mut self) {
        if !self.is_plan_due() {
            return;
        }
        let Some(mut input) = self.planner_input() else { return };
        let plan = planner::plan(&input.problem);
        let next_plan_in_s = self.planning_pause_s(plan.steps + input.steps);
        self.record_plan(&mut input, &plan, next_plan_in_s);
        self.apply_starts(&input, &plan);
        self.apply_preemptions(&plan.preemptions, &input.preemptible_tasks);
        self.set_desired_capacity(&input.problem, &plan);
    }

    /// Whether this node may make a plan and either something has changed or the planning interval
    /// has passed.
    fn is_plan_due(&self) -> bool {
        let now = self.now;
        let Role::Leader(leader) = &self.role else { return false };
        let planning = &leader.planning;
        let wanted = planning.needed || now - planning.planned_at >= self.timing.planning_interval_s;
        wanted && now >= planning.next_plan_at && self.may_act() && leader.fleet.listing.completed_once
    }

    fn planner_input(&self) -> Option<PlannerInput> {
        let types = self.machine_types.as_deref()?;
        let Role::Leader(leader) = &self.role else { return None };
        Some(PlannerInput::build(PlanningContext::new(self, leader, types)))
    }

    /// Returns the pause after a plan that took `steps` steps, so that planning stays within its CPU
    /// share.
    fn planning_pause_s(&self, steps: u64) -> f64 {
        let interval_s = self.timing.planning_interval_s;
        let cores = self.settings.params.resources.cpu_share;
        let pause_s = steps as f64 / (MAX_STEPS_PER_CORE_SECOND * cores);
        pause_s.clamp(interval_s * MIN_INTERVAL_FRACTION, interval_s)
    }
}
