//! Jobs that found no capacity, remembered to spare similar jobs the search.

use crate::problem::{Job, Shape};
use crate::resources::Resources;

/// A job that found no capacity. Capacity only shrinks while a plan is made, so a job that asks
/// for as much or more finds none either: under a backlog most jobs are skipped without a look at
/// the machines.
pub(crate) struct KnownMisfit {
    shape: Shape,
    priority: u8,
    resources: Resources,
    tasks: usize,
    /// Time that its run takes where the fetch is slowest, in seconds: a job whose run alone takes as
    /// long is no easier to place.
    run_s: f64,
    instance_types: Vec<usize>,
    spot: bool,
    spot_only: bool,
    zone: Option<usize>,
    one_zone: bool,
}

impl KnownMisfit {
    /// `run_s` is the time that the job's run takes where the fetch is slowest, in seconds.
    pub(crate) fn of(job: &Job, run_s: f64) -> Self {
        KnownMisfit {
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

    /// The same job, as a misfit for jobs of any priority and run time.
    pub(crate) fn for_any_priority(job: &Job) -> Self {
        KnownMisfit { priority: u8::MAX, ..KnownMisfit::of(job, 0.0) }
    }

    /// Whether `job` asks for as much or more, and so finds no capacity either.
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
