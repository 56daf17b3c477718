//! State that planning keeps between plans.

use crate::messages::Time;
use crate::scheduling::class_stats::ClassStats;
use crate::scheduling::starvation::{GangReservation, StarvingGroups};
use crate::scheduling::work_conservation::WaitingBesideCapacity;
use std::collections::BTreeMap;

/// Times of the last and next plan, and results of earlier plans.
pub struct PlanningState {
    /// Whether something has changed since the last plan.
    pub needed: bool,
    /// Time of the last plan.
    pub planned_at: Time,
    /// Earliest time of the next plan, so that planning stays within its CPU share.
    pub next_plan_at: Time,
    /// Peak number of machines used at the same time by work other than best-effort work.
    pub peak_non_best_effort_machines: usize,
    /// Classes and teams that were starved at the last plan.
    pub starved_groups: StarvingGroups,
    /// The overdue gang for which machines are reserved.
    pub gang_reservation: GangReservation,
    /// Jobs that wait although there is free capacity, with the start of their wait.
    pub waiting_beside_capacity: WaitingBesideCapacity,
    /// Price of all machines divided by the lowest possible price of the running tasks.
    pub price_ratio: f64,
    /// Statistics of each job class.
    pub classes: BTreeMap<String, ClassStats>,
}

impl PlanningState {
    /// Creates the state before the first plan.
    pub fn new(now: Time) -> Self {
        PlanningState {
            needed: true,
            planned_at: now - 1.0,
            next_plan_at: now,
            peak_non_best_effort_machines: 0,
            starved_groups: StarvingGroups::default(),
            gang_reservation: GangReservation::default(),
            waiting_beside_capacity: WaitingBesideCapacity::default(),
            price_ratio: 1.0,
            classes: BTreeMap::new(),
        }
    }

    /// Requests a plan as soon as possible, instead of after the planning interval.
    pub fn request_plan(&mut self, now: Time) {
        self.needed = true;
        self.next_plan_at = self.next_plan_at.min(now);
    }
}
