//! Input of the planner: machines, their running tasks, waiting jobs and team quotas.

use crate::resources::{Resources, RESOURCE_TOLERANCE};

/// Machine type with its size and prices.
#[derive(Debug, Clone)]
pub struct InstanceType {
    /// Resources of an empty machine.
    pub size: Resources,
    /// Price of an on-demand machine, per second.
    pub price: f64,
    /// Price of a spot machine, per second; 0 if there is none of this type.
    pub spot_price: f64,
    /// Rate at which images are fetched, in GB/s; 0 if fetches take no time.
    pub fetch_gb_per_s: f64,
}

impl InstanceType {
    /// Returns the seconds that fetching an image of `image_gb` takes.
    pub(crate) fn fetch_s(&self, image_gb: f64) -> f64 {
        if self.fetch_gb_per_s > 0.0 {
            image_gb / self.fetch_gb_per_s
        } else {
            0.0
        }
    }
}

/// Task that runs on a machine.
#[derive(Debug, Clone, Copy)]
pub struct RunningTask {
    /// Expected end.
    pub ends_at: f64,
    /// Whether it ends only when it is cancelled or preempted. No reservation waits for its end.
    pub endless: bool,
    /// Resources that it uses.
    pub resources: Resources,
    /// Priority of its job.
    pub priority: u8,
    /// Index of its team in [`Problem::teams`].
    pub team: usize,
    /// Whether its team's guaranteed quota covers it.
    pub within_guarantee: bool,
    /// Cost of preempting it; `None` if it must not be preempted.
    pub preemption: Option<PreemptionCandidate>,
}

/// Running task that a more urgent job may preempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PreemptionCandidate {
    /// Id that the caller assigned to the task; it identifies preempted tasks in the plan.
    pub task_id: usize,
    /// Run time that would be lost, in seconds.
    pub lost_work_s: f64,
    /// Time that the task takes to stop and free its resources, in seconds.
    pub stop_s: f64,
}

/// Machine and the tasks that run on it.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Index of its type in [`Problem::instance_types`].
    pub instance_type: usize,
    /// Index of its zone, less than [`Problem::zones`].
    pub zone: usize,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
    /// Earliest time at which it can start tasks: now, or the expected end of its boot.
    pub ready_at: f64,
    /// Resources that no running task uses.
    pub free: Resources,
    /// Tasks that run on it.
    pub running: Vec<RunningTask>,
    /// Ids, assigned by the caller, of the images that it holds or is fetching.
    pub images: Vec<u32>,
    /// Learned ratio of run times on this machine to the usual ones; 1 if nothing is known.
    pub slowness: f64,
}

/// Relation between the tasks of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Independent tasks.
    Array,
    /// Tasks that start together or not at all.
    Gang,
    /// Independent tasks that run until they are cancelled.
    Service,
}

/// Job with pending tasks.
#[derive(Debug, Clone)]
pub struct Job {
    /// Priority; jobs with a larger one are planned first, except for starvation relief.
    pub priority: u8,
    /// Relation between its tasks.
    pub shape: Shape,
    /// Numbers of its unfinished tasks that have no machine.
    pub pending_tasks: Vec<u32>,
    /// Resources that each task needs.
    pub resources: Resources,
    /// Expected run time of a task, in seconds.
    pub run_s: f64,
    /// Id that the caller assigned to its image.
    pub image: u32,
    /// Size of its image in GB.
    pub image_gb: f64,
    /// Allowed machine types, as indices of [`Problem::instance_types`].
    pub instance_types: Vec<usize>,
    /// Zone in which it has to run; `None` allows all.
    pub zone: Option<usize>,
    /// Whether all tasks have to run in the same zone.
    pub one_zone: bool,
    /// Maximum number of tasks in a zone.
    pub max_per_zone: Option<u32>,
    /// Number of tasks that already run in each zone; zones beyond the end of the list have none.
    pub placed_per_zone: Vec<u32>,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// Time of submission.
    pub submitted_at: f64,
    /// Time by which it has to be complete.
    pub deadline: f64,
    /// Latest end at which its result is still of use; equal to the deadline if a late result is not.
    pub latest_useful_end: f64,
    /// Index of its team in [`Problem::teams`].
    pub team: usize,
    /// Whether its team's guaranteed quota covers it.
    pub guaranteed: bool,
    /// Earliest start (back-off after failures).
    pub not_before: f64,
    /// Whether it has failed wherever it ran. Such a job may use free capacity, but gets no
    /// reservation, preempts nothing and causes no scale-out.
    pub probing: bool,
    /// Whether nobody waits for it. Such a job is planned after the other jobs of its priority.
    pub best_effort: bool,
    /// Whether only spot machines are allowed.
    pub spot_only: bool,
    /// Whether it is planned before all others because its class or team is starving (see
    /// [`crate::starvation`]).
    pub starvation_relief: bool,
    /// Time until which its team's quota and assembled machines are reserved for it even if they do
    /// not suffice yet (see [`crate::starvation::reservation_expiry`]).
    pub reserves_until: f64,
    /// Zone in which the last plan assembled machines for it.
    pub assembly_zone: Option<usize>,
    /// Whether it has waited too long although capacity that it could use was free. Such a job takes
    /// that capacity even if it is reserved for a later time.
    pub waits_beside_capacity: bool,
    /// Indices of the machines on which it failed.
    pub excluded_machines: Vec<usize>,
}

/// Remaining quota of a team; `None` where it has no limit.
#[derive(Debug, Clone, Default)]
pub struct TeamQuota {
    /// Cores that the team may still use.
    pub cores_left: Option<f64>,
    /// Accelerators that the team may still use.
    pub accelerators_left: Option<f64>,
}

impl TeamQuota {
    /// Whether the quota admits `need` once `freed` has been returned to it.
    pub(crate) fn admits(&self, need: &Resources, freed: &Resources) -> bool {
        let suffices = |left: Option<f64>, freed: f64, need: f64| {
            left.is_none_or(|left| need <= left + freed + RESOURCE_TOLERANCE)
        };
        suffices(self.cores_left, freed.cores, need.cores)
            && suffices(self.accelerators_left, freed.accelerators, need.accelerators)
    }

    /// Charges `used` to the quota.
    pub(crate) fn charge(&mut self, used: &Resources) {
        if let Some(left) = &mut self.cores_left {
            *left -= used.cores;
        }
        if let Some(left) = &mut self.accelerators_left {
            *left -= used.accelerators;
        }
    }
}

/// Complete input of a plan.
#[derive(Debug, Clone)]
pub struct Problem {
    /// Current time, on the same clock as all other times.
    pub now: f64,
    /// All machine types.
    pub instance_types: Vec<InstanceType>,
    /// Number of zones.
    pub zones: usize,
    /// All machines, including those that are booting.
    pub machines: Vec<Machine>,
    /// All jobs with pending tasks.
    pub jobs: Vec<Job>,
    /// All teams.
    pub teams: Vec<TeamQuota>,
    /// Maximum length of a reservation window, in seconds.
    pub max_window_s: f64,
    /// Time that a more urgent job waits for capacity instead of preempting running work, in seconds.
    pub preemption_wait_s: f64,
}
