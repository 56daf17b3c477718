//! A floor under every class and team. Cura serves by priority, and what is always
//! outranked may get nothing for as long as the rush lasts. A group (a class or a
//! team) that has waited long and holds almost nothing is *under its floor*: up to
//! a small part of the fleet its oldest work goes before all other, and what it
//! runs is not stopped for others.

/// How small a part, and how long a wait.
#[derive(Debug, Clone, Copy)]
pub struct StarvationPolicy {
    /// Part of all machines that all groups under their floors get together.
    pub guaranteed_share: f64,
    /// How long a job of the group has to have waited since it was submitted.
    pub max_wait_s: f64,
    /// For how long an overdue job may keep room to itself that it can't use yet: its team's under a
    /// limit, machines that gather for it. Others wait for that long at most beside it.
    pub reservation_s: f64,
}

/// Until when room may be kept for an overdue job, on the clock of `submitted`.
pub fn keeps_until(floor: &StarvationPolicy, submitted: f64) -> f64 {
    submitted + floor.max_wait_s + floor.reservation_s
}

/// Work of a job that waits.
#[derive(Debug, Clone, Copy)]
pub struct WaitingDemand {
    /// Its class and its team, as indices of `held`.
    pub groups: [usize; 2],
    pub submitted_at: f64,
    /// Its tasks that wait, and the part of all machines that one takes.
    pub tasks: usize,
    pub share_per_task: f64,
    /// All of its tasks go first or none.
    pub indivisible: bool,
    /// Some of it has a place, or had one.
    pub has_started: bool,
}

/// Groups that are under their floors, given the part of all machines that each
/// holds.
pub fn under(now: f64, floor: &StarvationPolicy, held: &[f64], claims: &[WaitingDemand]) -> Vec<bool> {
    let mut starving = vec![false; held.len()];
    for c in claims.iter().filter(|c| now - c.submitted_at > floor.max_wait_s) {
        for g in c.groups {
            starving[g] |= held[g] < floor.guaranteed_share;
        }
    }
    starving
}

/// How many tasks of each claim go before all other work: the oldest first, until
/// each group has its part of the floor.
pub fn grants(
    floor: &StarvationPolicy,
    starving: &[bool],
    held: &[f64],
    claims: &[WaitingDemand],
) -> Vec<usize> {
    let parts = starving.iter().filter(|s| **s).count().max(1) as f64;
    let mut left: Vec<f64> = held.iter().map(|h| (floor.guaranteed_share / parts - h).max(0.0)).collect();
    let mut granted = vec![0; claims.len()];
    let mut by_age: Vec<usize> = (0..claims.len()).collect();
    by_age.sort_by(|&a, &b| claims[a].submitted_at.total_cmp(&claims[b].submitted_at).then(a.cmp(&b)));
    for i in by_age {
        let c = &claims[i];
        let Some(g) = c.groups.into_iter().find(|&g| starving[g]) else { continue };
        let most =
            if c.share_per_task > 0.0 { (left[g] / c.share_per_task + 1e-9) as usize } else { c.tasks };
        let n = if most >= c.tasks || !c.indivisible { most.min(c.tasks) } else { 0 };
        left[g] -= n as f64 * c.share_per_task;
        granted[i] = n;
    }
    granted
}

/// How many tasks of each claim go before all other work since nothing of it has ever begun,
/// however its class and team fare: of arrays that have waited long one task each, up to a floor;
/// of what needs all of its places at once the oldest, whatever its size, one at a time.
/// (A gang of a third of the machines never began beside small work of its own class:
/// each machine that came free was taken before the last one did.)
pub fn overdue(now: f64, floor: &StarvationPolicy, claims: &[WaitingDemand]) -> Vec<usize> {
    let mut granted = vec![0; claims.len()];
    let mut by_age: Vec<usize> = (0..claims.len()).collect();
    by_age.retain(|&i| !claims[i].has_started && now - claims[i].submitted_at > floor.max_wait_s);
    by_age.sort_by(|&a, &b| claims[a].submitted_at.total_cmp(&claims[b].submitted_at).then(a.cmp(&b)));
    let (mut left, mut gathers) = (floor.guaranteed_share, false);
    for i in by_age {
        let c = &claims[i];
        if c.indivisible && !std::mem::replace(&mut gathers, true) {
            granted[i] = c.tasks;
        } else if !c.indivisible && c.share_per_task <= left {
            left -= c.share_per_task;
            granted[i] = 1.min(c.tasks);
        }
    }
    granted
}
