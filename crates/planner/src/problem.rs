//! The planner's input: machines, their running tasks, waiting jobs and team quotas.

use crate::resources::{Resources, RESOURCE_TOLERANCE};

/// A machine type and its prices.
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
    /// Seconds to fetch an image of `image_gb`.
    pub(crate) fn fetch_s(&self, image_gb: f64) -> f64 {
        if self.fetch_gb_per_s > 0.0 {
            image_gb / self.fetch_gb_per_s
        } else {
            0.0
        }
    }
}

/// A task that runs on a machine.
#[derive(Debug, Clone, Copy)]
pub struct RunningTask {
    /// Expected end.
    pub ends_at: f64,
    /// It ends only when it is cancelled or preempted: nothing is reserved behind it.
    pub endless: bool,
    /// Resources that it holds.
    pub resources: Resources,
    /// Priority of its job.
    pub priority: u8,
    /// Index of its team in [`Problem::teams`].
    pub team: usize,
    /// Its team's guaranteed quota covers it.
    pub within_guarantee: bool,
    /// What preempting it would cost; `None` if it must not be preempted.
    pub preemption: Option<PreemptionCandidate>,
}

/// A running task that a more urgent job may preempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PreemptionCandidate {
    /// The caller's own number of the task; preempted tasks are named by it.
    pub task_id: usize,
    /// Run time that would be lost, in seconds.
    pub lost_work_s: f64,
    /// Seconds until its resources are free.
    pub stop_s: f64,
}

/// A machine and what runs on it.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Index of its type in [`Problem::instance_types`].
    pub instance_type: usize,
    /// Its zone, below [`Problem::zones`].
    pub zone: usize,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
    /// When it can start tasks: now, or the expected end of its boot.
    pub ready_at: f64,
    /// Resources that no running task holds.
    pub free: Resources,
    /// Tasks that run on it.
    pub running: Vec<RunningTask>,
    /// Images that it holds or is fetching, by the caller's numbers.
    pub images: Vec<u32>,
    /// Learned ratio of run times on this machine to the usual ones; 1 when nothing is known.
    pub slowness: f64,
}

/// How the tasks of a job belong together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Independent tasks.
    Array,
    /// Tasks that start together or not at all.
    Gang,
    /// Independent tasks that run until they are cancelled.
    Service,
}

/// A job with tasks that wait.
#[derive(Debug, Clone)]
pub struct Job {
    /// A larger priority always goes first, except for starvation relief.
    pub priority: u8,
    /// How its tasks belong together.
    pub shape: Shape,
    /// Unfinished tasks without a machine.
    pub pending_tasks: Vec<u32>,
    /// What each task needs.
    pub resources: Resources,
    /// Expected run time of a task, in seconds.
    pub run_s: f64,
    /// The caller's own number of its image.
    pub image: u32,
    /// Size of its image in GB.
    pub image_gb: f64,
    /// Allowed machine types, as indices of [`Problem::instance_types`].
    pub instance_types: Vec<usize>,
    /// The only allowed zone, if there is one.
    pub zone: Option<usize>,
    /// All tasks have to run in the same zone.
    pub one_zone: bool,
    /// Maximum number of tasks in a zone.
    pub max_per_zone: Option<u32>,
    /// How many tasks run in each zone already; missing zones have none.
    pub placed_per_zone: Vec<u32>,
    /// Spot machines are allowed.
    pub spot: bool,
    /// When it was submitted.
    pub submitted_at: f64,
    /// When it has to be complete.
    pub deadline: f64,
    /// The latest end that is still of some use; the deadline itself where nothing later is.
    pub latest_useful_end: f64,
    /// Index of its team in [`Problem::teams`].
    pub team: usize,
    /// Its team's guaranteed quota covers it.
    pub guaranteed: bool,
    /// It must not start before this time (back-off after failures).
    pub not_before: f64,
    /// It has failed wherever it ran: it may use free capacity, but gets no reservation, preempts
    /// nothing and causes no scale-out.
    pub probing: bool,
    /// Nobody waits for it: it follows all other jobs of its priority.
    pub best_effort: bool,
    /// Only spot machines are allowed.
    pub spot_only: bool,
    /// Its class or team is starving: it goes before all others (see [`crate::starvation`]).
    pub starvation_relief: bool,
    /// Until then its team's quota and assembled machines are kept for it if they do not suffice
    /// yet (see [`crate::starvation::reservation_expiry`]).
    pub reserves_until: f64,
    /// The zone in which the last plan assembled machines for it.
    pub assembly_zone: Option<usize>,
    /// It has waited beside free capacity for too long: it takes that capacity whatever is
    /// reserved there for later.
    pub waits_beside_capacity: bool,
    /// Machines that it failed on.
    pub excluded_machines: Vec<usize>,
}

/// What a team may still add; `None` where it has no limit.
#[derive(Debug, Clone, Default)]
pub struct TeamQuota {
    /// Cores below the team's limit.
    pub cores_left: Option<f64>,
    /// Accelerators below the team's limit.
    pub accelerators_left: Option<f64>,
}

impl TeamQuota {
    /// Whether the quota admits `need` once `returning` has come back to it.
    pub(crate) fn admits(&self, need: &Resources, returning: &Resources) -> bool {
        let enough = |left: Option<f64>, returning: f64, need: f64| {
            left.is_none_or(|left| need <= left + returning + RESOURCE_TOLERANCE)
        };
        enough(self.cores_left, returning.cores, need.cores)
            && enough(self.accelerators_left, returning.accelerators, need.accelerators)
    }

    /// Charges `taken` to the quota.
    pub(crate) fn charge(&mut self, taken: &Resources) {
        if let Some(left) = &mut self.cores_left {
            *left -= taken.cores;
        }
        if let Some(left) = &mut self.accelerators_left {
            *left -= taken.accelerators;
        }
    }
}

/// Everything that a plan depends on.
#[derive(Debug, Clone)]
pub struct Problem {
    /// The present, on the clock of all other times.
    pub now: f64,
    /// All machine types.
    pub instance_types: Vec<InstanceType>,
    /// Number of zones.
    pub zones: usize,
    /// All machines, also those that boot.
    pub machines: Vec<Machine>,
    /// All jobs with pending tasks.
    pub jobs: Vec<Job>,
    /// All teams.
    pub teams: Vec<TeamQuota>,
    /// No reservation window reaches further than this, in seconds.
    pub max_window_s: f64,
    /// How long a more urgent job waits rather than preempt running work, in seconds.
    pub preemption_wait_s: f64,
}
