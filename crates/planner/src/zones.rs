//! Zones: which ones a job may choose, and how many of its tasks each may take.

use crate::problem::Job;

/// The zones to try one by one for a job; `None` stands for machines of any zone.
pub(crate) fn zone_choices(job: &Job, zones: usize) -> Vec<Option<usize>> {
    if job.one_zone {
        (0..zones).map(Some).collect()
    } else {
        vec![None]
    }
}

/// How many tasks of a job each zone has, and how many it may have.
#[derive(Clone)]
pub(crate) struct ZoneLoad {
    tasks: Vec<u32>,
    max: Option<u32>,
}

impl ZoneLoad {
    /// The load by the tasks that are placed already.
    pub(crate) fn of(job: &Job, zones: usize) -> Self {
        let mut tasks = job.placed_per_zone.clone();
        tasks.resize(zones, 0);
        ZoneLoad { tasks, max: job.max_per_zone }
    }

    /// Whether the zone may take no more tasks.
    pub(crate) fn is_full(&self, zone: usize) -> bool {
        self.max.is_some_and(|max| self.tasks[zone] >= max)
    }

    /// How many tasks the zone may still take.
    pub(crate) fn remaining(&self, zone: usize) -> usize {
        self.max.map_or(usize::MAX, |max| max.saturating_sub(self.tasks[zone]) as usize)
    }

    /// Counts tasks that are placed in the zone.
    pub(crate) fn add(&mut self, zone: usize, tasks: u32) {
        self.tasks[zone] += tasks;
    }

    /// The first zone that has any of the tasks.
    pub(crate) fn first_used(&self) -> Option<usize> {
        self.tasks.iter().position(|&tasks| tasks > 0)
    }
}
