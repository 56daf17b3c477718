//! Jobs that found no capacity, recorded so that the search is skipped for similar jobs.

use crate::problem::{Job, Shape};
use crate::resources::Resources;

/// Requirements of a job that found no capacity. Capacity only shrinks while a plan is made, so a job
/// that needs at least as much finds none either. Under a backlog most jobs are skipped this way
/// without examining any machine.
pub(crate) struct UnplaceableJob {
    shape: Shape,
    priority: u8,
    resources: Resources,
    tasks: usize,
    /// Run time including the slowest image fetch, in seconds. A job whose run alone takes at least
    /// this long is no easier to place.
    run_s: f64,
    instance_types: Vec<usize>,
    spot: bool,
    spot_only: bool,
    zone: Option<usize>,
    one_zone: bool,
}

impl UnplaceableJob {
    /// Records the requirements of `job`. `run_s` is its run time including the slowest image fetch,
    /// in seconds.
    pub(crate) fn of(job: &Job, run_s: f64) -> Self {
        UnplaceableJob {
            shape: job.shape,
            priority: job.priority,
            resources: job.resources,
            tasks: job.pending_tasks.len(),
            run_s,
            instance_types: job.instance_types.clone(),
            spot: job.spot,
            spot_only: job.spot_only,
            zone: job.zone,
            one_zone: job.one_zone,
        }
    }

    /// Records the requirements of `job` such that they cover jobs of any priority and run time.
    pub(crate) fn for_any_priority(job: &Job) -> Self {
        UnplaceableJob { priority: u8::MAX, ..UnplaceableJob::of(job, 0.0) }
    }

    /// Whether `job` needs at least as much as this one and therefore finds no capacity either.
    pub(crate) fn covers(&self, job: &Job) -> bool {
        let gang = job.shape == Shape::Gang;
        gang == (self.shape == Shape::Gang)
            && job.priority <= self.priority
            && (!self.spot_only || job.spot_only)
            && job.resources.fits(&self.resources)
            && (!gang || job.pending_tasks.len() >= self.tasks)
            && job.run_s >= self.run_s
            && (self.spot || !job.spot)
            && self.zone.is_none_or(|zone| job.zone == Some(zone))
            && (!self.one_zone || job.one_zone)
            && job.instance_types.iter().all(|allowed| self.instance_types.contains(allowed))
    }
}
