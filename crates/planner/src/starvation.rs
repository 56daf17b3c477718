//! Starvation guard: a minimum share for every class and team.
//!
//! Cura serves by priority, and what is always outranked may get nothing for as long as a rush
//! lasts. A group (a class or a team) that has waited long and holds almost nothing is *starving*:
//! up to a small share of the fleet its oldest work goes before all other work, and what it runs
//! is not preempted.

/// Rounding errors up to this number of tasks do not count when a share is divided into tasks.
const TASK_COUNT_TOLERANCE: f64 = 1e-9;

/// How large the guaranteed share is, and after which wait it applies.
#[derive(Debug, Clone, Copy)]
pub struct StarvationPolicy {
    /// Share of all machines that all starving groups get together, between 0 and 1.
    pub guaranteed_share: f64,
    /// How long a job of the group has to have waited since it was submitted, in seconds.
    pub max_wait_s: f64,
    /// For how long capacity may be kept for an overdue job that cannot use it yet (its team's
    /// quota, machines that are assembled for it), in seconds. Others wait beside it no longer.
    pub reservation_s: f64,
}

/// Until when capacity may be kept for an overdue job, on the clock of `submitted_at`.
pub fn reservation_expiry(policy: &StarvationPolicy, submitted_at: f64) -> f64 {
    submitted_at + policy.max_wait_s + policy.reservation_s
}

/// Pending work of a job.
#[derive(Debug, Clone, Copy)]
pub struct WaitingDemand {
    /// Its class and its team, as indices of the shares that groups hold.
    pub groups: [usize; 2],
    /// When it was submitted.
    pub submitted_at: f64,
    /// Number of its pending tasks.
    pub tasks: usize,
    /// Share of all machines that one task takes, between 0 and 1.
    pub share_per_task: f64,
    /// All of its tasks start together or none does.
    pub indivisible: bool,
    /// Some of its tasks run or have run.
    pub has_started: bool,
}

/// Indices of the demands that `include` accepts, by rising time of submission.
fn oldest_first(demands: &[WaitingDemand], include: impl Fn(&WaitingDemand) -> bool) -> Vec<usize> {
    let mut oldest_first: Vec<usize> = (0..demands.len()).collect();
    oldest_first.retain(|&index| include(&demands[index]));
    oldest_first
        .sort_by(|&a, &b| demands[a].submitted_at.total_cmp(&demands[b].submitted_at).then(a.cmp(&b)));
    oldest_first
}

/// For each group whether it is starving, given the share of all machines that it holds.
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

/// For each demand how many of its tasks go before all other work because its group is starving:
/// the oldest first, until each group has its part of the guaranteed share.
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

/// How many of the demand's tasks fit into `share`; all or none if it is indivisible.
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

/// For each demand how many of its tasks go before all other work because nothing of it has ever
/// started, however its class and team fare: of overdue arrays one task each, up to the guaranteed
/// share; of overdue gangs only the oldest, whatever its size.
///
/// (A gang of a third of the machines never began beside small work of its own class: each machine
/// that came free was taken before the last one did.)
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
