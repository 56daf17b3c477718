//! Starvation prevention: a minimum share of the fleet for every class and team.
//!
//! Cura plans strictly by priority, so low-priority work may get no capacity for as long as a load
//! peak lasts. A group (a class or a team) is *starving* if one of its jobs has waited for a long time
//! while the group holds almost no capacity. The oldest work of a starving group is planned before
//! all other work, up to a small share of the fleet, and its running tasks are not preempted.

/// Tolerance for rounding errors when a share is divided into tasks, in tasks.
const TASK_COUNT_TOLERANCE: f64 = 1e-9;

/// Size of the guaranteed share, and the wait after which it applies.
#[derive(Debug, Clone, Copy)]
pub struct StarvationPolicy {
    /// Share of all machines that all starving groups get together, between 0 and 1.
    pub guaranteed_share: f64,
    /// Time since its submission after which a waiting job is overdue and its groups may be starving,
    /// in seconds.
    pub max_wait_s: f64,
    /// Maximum time for which capacity (its team's quota, machines that are assembled for it) is
    /// kept idle for an overdue job that cannot use it yet, in seconds. After that, other jobs may
    /// use it.
    pub reservation_s: f64,
}

/// Returns the time until which capacity may be kept for an overdue job, on the clock of
/// `submitted_at`.
pub fn reservation_expiry(policy: &StarvationPolicy, submitted_at: f64) -> f64 {
    submitted_at + policy.max_wait_s + policy.reservation_s
}

/// Pending work of a job.
#[derive(Debug, Clone, Copy)]
pub struct WaitingDemand {
    /// Class and team of the job, as indices into the list of held shares.
    pub groups: [usize; 2],
    /// Time of submission.
    pub submitted_at: f64,
    /// Number of its pending tasks.
    pub tasks: usize,
    /// Share of all machines that one task takes, between 0 and 1.
    pub share_per_task: f64,
    /// Whether its tasks can only start all together.
    pub indivisible: bool,
    /// Whether some of its tasks run or have run.
    pub has_started: bool,
}

/// Returns the indices of the demands that `include` accepts, in ascending order of submission time.
fn oldest_first(demands: &[WaitingDemand], include: impl Fn(&WaitingDemand) -> bool) -> Vec<usize> {
    let mut oldest_first: Vec<usize> = (0..demands.len()).collect();
    oldest_first.retain(|&index| include(&demands[index]));
    oldest_first
        .sort_by(|&a, &b| demands[a].submitted_at.total_cmp(&demands[b].submitted_at).then(a.cmp(&b)));
    oldest_first
}

/// Returns for each group whether it is starving, given the share of all machines that it holds.
pub fn starving_groups(
    now: f64,
    policy: &StarvationPolicy,
    held_shares: &[f64],
    demands: &[WaitingDemand],
) -> Vec<bool> {
    let mut starving = vec![false; held_shares.len()];
    for demand in demands.iter().filter(|demand| now - demand.submitted_at > policy.max_wait_s) {
        for group in demand.groups {
            starving[group] |= held_shares[group] < policy.guaranteed_share;
        }
    }
    starving
}

/// Returns for each demand the number of its tasks that are planned before all other work because its
/// group is starving: oldest demand first, until each group has its part of the guaranteed share.
pub fn guaranteed_tasks(
    policy: &StarvationPolicy,
    starving: &[bool],
    held_shares: &[f64],
    demands: &[WaitingDemand],
) -> Vec<usize> {
    let starving_count = starving.iter().filter(|starving| **starving).count().max(1) as f64;
    let group_share = policy.guaranteed_share / starving_count;
    let mut shares_left: Vec<f64> = held_shares.iter().map(|held| (group_share - held).max(0.0)).collect();
    let mut granted = vec![0; demands.len()];
    for index in oldest_first(demands, |_| true) {
        let demand = &demands[index];
        let Some(group) = demand.groups.into_iter().find(|&group| starving[group]) else { continue };
        let tasks = tasks_within_share(demand, shares_left[group]);
        shares_left[group] -= tasks as f64 * demand.share_per_task;
        granted[index] = tasks;
    }
    granted
}

/// Returns the number of the demand's tasks that fit into `share`; all or none if it is indivisible.
fn tasks_within_share(demand: &WaitingDemand, share: f64) -> usize {
    let tasks = if demand.share_per_task > 0.0 {
        (share / demand.share_per_task + TASK_COUNT_TOLERANCE) as usize
    } else {
        demand.tasks
    };
    if tasks < demand.tasks && demand.indivisible {
        return 0;
    }
    tasks.min(demand.tasks)
}

/// Returns for each demand the number of its tasks that are planned before all other work because
/// none of them has ever started, whether or not its class or team is starving: one task of each
/// overdue array, up to the guaranteed share, and all tasks of the oldest overdue gang, whatever its
/// size.
///
/// Without this rule a gang that needed a third of the machines never started while its class also
/// had small jobs: they took each machine that came free before the gang had enough of them.
pub fn overdue_tasks(now: f64, policy: &StarvationPolicy, demands: &[WaitingDemand]) -> Vec<usize> {
    let is_overdue =
        |demand: &WaitingDemand| !demand.has_started && now - demand.submitted_at > policy.max_wait_s;
    let mut granted = vec![0; demands.len()];
    let mut share_left = policy.guaranteed_share;
    let mut gang_chosen = false;
    for index in oldest_first(demands, is_overdue) {
        let demand = &demands[index];
        if demand.indivisible {
            if !gang_chosen {
                gang_chosen = true;
                granted[index] = demand.tasks;
            }
        } else if demand.share_per_task <= share_left {
            share_left -= demand.share_per_task;
            granted[index] = demand.tasks.min(1);
        }
    }
    granted
}
