//! What planning remembers from one plan to the next.

use crate::messages::Time;
use crate::scheduling::class_stats::ClassStats;
use crate::scheduling::starvation::{GangReservation, StarvedGroups};
use crate::scheduling::work_conservation::WaitingBesideCapacity;
use std::collections::BTreeMap;

/// When to plan, and what the last plans found.
pub struct PlanningState {
    /// Something has changed since the last plan.
    pub needed: bool,
    /// When the last plan was made.
    pub planned_at: Time,
    /// No plan before then: the last one took its share of the processor.
    pub next_plan_at: Time,
    /// The largest number of machines that work with a deadline or objective has had at a time.
    pub peak_demanded_machines: usize,
    /// Classes and teams that were starving at the last plan.
    pub starved_groups: StarvedGroups,
    /// The overdue gang for which machines are reserved.
    pub gang_reservation: GangReservation,
    /// Jobs that wait beside free capacity, since when.
    pub waiting_beside_capacity: WaitingBesideCapacity,
    /// What is paid, as a multiple of what the work would cost where it is cheapest.
    pub price_paid: f64,
    /// What was learned of each job class.
    pub classes: BTreeMap<String, ClassStats>,
}

impl PlanningState {
    /// Nothing is planned yet.
    pub fn new(now: Time) -> Self {
        PlanningState {
            needed: true,
            planned_at: now - 1.0,
            next_plan_at: now,
            peak_demanded_machines: 0,
            starved_groups: StarvedGroups::default(),
            gang_reservation: GangReservation::default(),
            waiting_beside_capacity: WaitingBesideCapacity::default(),
            price_paid: 1.0,
            classes: BTreeMap::new(),
        }
    }

    /// Plans as soon as possible, not with the next planning interval.
    pub fn request_plan(&mut self, now: Time) {
        self.needed = true;
        self.next_plan_at = self.next_plan_at.min(now);
    }
}
