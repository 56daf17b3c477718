//! Runs the planner when a plan is due: builds its input, plans, and carries the plan out.

use crate::leader::state::Role;
use crate::scheduling::planner_input::{PlannerInput, PlanningContext};
use crate::Controller;

/// Steps of planning that one core may be asked for in a second. A step takes about a twelfth of
/// a microsecond (measured), so planning stays within a sixth of the controller's share. (At a
/// fifth of this figure, plans came every half second only when many jobs waited.)
const MAX_STEPS_PER_CORE_SECOND: f64 = 2_000_000.0;

/// Plans are at least that part of the planning interval apart.
const MIN_INTERVAL_PART: f64 = 1.0 / 50.0;

impl Controller {
    /// Plans and carries the plan out, if a plan is due.
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

    /// Whether this node may plan, and something has changed or the planning interval is over.
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

    /// How long to wait after a plan of so many steps, so that planning keeps to its share of the
    /// processor.
    fn planning_pause_s(&self, steps: u64) -> f64 {
        let interval_s = self.timing.planning_interval_s;
        let cores = self.settings.params.resources.cpu_share;
        let pause_s = steps as f64 / (MAX_STEPS_PER_CORE_SECOND * cores);
        pause_s.clamp(interval_s * MIN_INTERVAL_PART, interval_s)
    }
}
