//! Zone constraints: the zones that a job may choose, and the number of its tasks in each zone.

use crate::problem::Job;

/// Returns the zones to try one by one for a job; `None` stands for machines of any zone.
pub(crate) fn zone_choices(job: &Job, zones: usize) -> Vec<Option<usize>> {
    if job.one_zone {
        (0..zones).map(Some).collect()
    } else {
        vec![None]
    }
}

/// Number of tasks of a job in each zone, and the maximum for a zone.
#[derive(Clone)]
pub(crate) struct ZoneLoad {
    tasks: Vec<u32>,
    max: Option<u32>,
}

impl ZoneLoad {
    /// Counts the tasks of the job that are already placed.
    pub(crate) fn of(job: &Job, zones: usize) -> Self {
        let mut tasks = job.placed_per_zone.clone();
        tasks.resize(zones, 0);
        ZoneLoad { tasks, max: job.max_per_zone }
    }

    /// Whether the zone has reached the maximum number of tasks.
    pub(crate) fn is_full(&self, zone: usize) -> bool {
        self.max.is_some_and(|max| self.tasks[zone] >= max)
    }

    /// Returns the number of tasks that may still be placed in the zone.
    pub(crate) fn remaining(&self, zone: usize) -> usize {
        self.max.map_or(usize::MAX, |max| max.saturating_sub(self.tasks[zone]) as usize)
    }

    /// Adds tasks that are placed in the zone.
    pub(crate) fn add(&mut self, zone: usize, tasks: u32) {
        self.tasks[zone] += tasks;
    }

    /// Returns the first zone that has any of the tasks.
    pub(crate) fn first_used(&self) -> Option<usize> {
        self.tasks.iter().position(|&tasks| tasks > 0)
    }
}
