//! Cura's planner as a pure function: jobs that wait, machines as they are,
//! and out of them reservations, of which those starting now are launched.

use std::cmp::Ordering;

/// What a task takes, or a machine has.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Amounts {
    pub cores: f64,
    pub accelerators: f64,
    pub memory_gb: f64,
}

const SLACK: f64 = 1e-6;

impl Amounts {
    pub fn new(cores: f64, accelerators: f64, memory_gb: f64) -> Self {
        Amounts { cores, accelerators, memory_gb }
    }
    pub fn holds(&self, need: &Amounts) -> bool {
        need.cores <= self.cores + SLACK
            && need.accelerators <= self.accelerators + SLACK
            && need.memory_gb <= self.memory_gb + SLACK
    }
    pub fn take(&mut self, x: &Amounts) {
        self.cores -= x.cores;
        self.accelerators -= x.accelerators;
        self.memory_gb -= x.memory_gb;
    }
    pub fn give(&mut self, x: &Amounts) {
        self.cores += x.cores;
        self.accelerators += x.accelerators;
        self.memory_gb += x.memory_gb;
    }
    pub fn times(&self, n: f64) -> Amounts {
        Amounts::new(self.cores * n, self.accelerators * n, self.memory_gb * n)
    }
    /// How many such tasks fit side by side.
    pub fn count(&self, need: &Amounts) -> u32 {
        let part = |have: f64, want: f64| if want > 0.0 { (have + SLACK) / want } else { f64::MAX };
        part(self.cores, need.cores)
            .min(part(self.accelerators, need.accelerators))
            .min(part(self.memory_gb, need.memory_gb))
            .clamp(0.0, 100_000.0) as u32
    }
}

/// A machine type, with the prices of both kinds.
#[derive(Debug, Clone)]
pub struct Type {
    pub size: Amounts,
    pub price: f64,
    pub spot_price: f64,
    pub fetch_gb_per_s: f64,
}

/// Work that a machine holds until `end`.
#[derive(Debug, Clone, Copy)]
pub struct Busy {
    pub end: f64,
    pub takes: Amounts,
    pub band: u8,
    /// What stopping it would cost, if it may be stopped for more urgent work.
    pub victim: Option<Victim>,
}

/// Running work that a more urgent job may have stopped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Victim {
    /// The caller's own number of it.
    pub owner: usize,
    /// Run time that would be lost.
    pub lost_s: f64,
    /// Time until its place is free.
    pub stop_s: f64,
}

#[derive(Debug, Clone)]
pub struct Machine {
    pub kind: usize,
    pub zone: usize,
    pub spot: bool,
    /// When it can take work: now, or when its boot is expected to end.
    pub ready: f64,
    pub free: Amounts,
    pub busy: Vec<Busy>,
    /// Images it is known to hold or to be fetching.
    pub images: Vec<String>,
    /// Learned run time ratio of this machine, 1 when nothing is known.
    pub slowness: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    Array,
    Gang,
    Service,
}

#[derive(Debug, Clone)]
pub struct Job {
    /// Urgency; a larger band always goes first (a stated exception).
    pub band: u8,
    pub shape: Shape,
    /// Unfinished tasks without a machine.
    pub waiting: Vec<u32>,
    pub needs: Amounts,
    /// Run time expected of a task.
    pub run_s: f64,
    pub image: String,
    pub image_gb: f64,
    /// Allowed machine types, by index.
    pub kinds: Vec<usize>,
    /// The only allowed zone.
    pub zone: Option<usize>,
    pub one_zone: bool,
    /// Most tasks per zone, and how many each zone has already.
    pub zone_cap: Option<u32>,
    pub zone_load: Vec<u32>,
    pub spot: bool,
    pub submitted: f64,
    /// When it has to be complete.
    pub deadline: f64,
    /// The latest end that still counts for something (the deadline itself
    /// where nothing later does).
    pub last_chance: f64,
    pub team: usize,
    /// Whether its team's guarantee covers it.
    pub guaranteed: bool,
    /// Not before this time (back-off after failures).
    pub not_before: f64,
}

/// What a team may still add, or None where it has no limit.
#[derive(Debug, Clone, Default)]
pub struct Team {
    pub cores_left: Option<f64>,
    pub accelerators_left: Option<f64>,
}

#[derive(Debug, Clone)]
pub struct Problem {
    pub now: f64,
    pub types: Vec<Type>,
    pub zones: usize,
    pub machines: Vec<Machine>,
    pub jobs: Vec<Job>,
    pub teams: Vec<Team>,
    /// No reservation window reaches further than this.
    pub bound_s: f64,
    /// A more urgent job waits that long rather than having work stopped.
    pub patience_s: f64,
}

/// One task that starts now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Start {
    pub job: usize,
    pub task: u32,
    pub machine: usize,
}

/// A job's tentative place in the future.
#[derive(Debug, Clone, PartialEq)]
pub struct Reservation {
    pub job: usize,
    pub kind: usize,
    pub start: f64,
    pub end: f64,
    /// It fixed its type's window.
    pub decides: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unmet {
    pub job: usize,
    pub tasks: u32,
    pub late: u32,
}

#[derive(Debug, Clone, Default)]
pub struct Plan {
    pub order: Vec<usize>,
    pub starts: Vec<Start>,
    pub reservations: Vec<Reservation>,
    /// Tasks, by job, that found no place now, and how many of these are
    /// expected after their deadline.
    pub unmet: Vec<Unmet>,
    /// Tasks reserved for later that meet their deadline (of the job that is
    /// being planned).
    timely: u32,
    /// Running work to be stopped for more urgent jobs.
    pub stops: Vec<usize>,
}

/// A configuration of a job on a type: machine price per task and second.
fn task_price(t: &Type, job: &Job) -> Option<f64> {
    let side_by_side = t.size.count(&job.needs);
    if side_by_side == 0 {
        return None;
    }
    let price = if job.spot && t.spot_price > 0.0 { t.spot_price } else { t.price };
    Some(price / f64::from(side_by_side))
}

/// The job's allowed types, cheapest first; on ties, the one whose machines
/// hold more of it, which takes the fewest machines.
pub fn configurations(types: &[Type], job: &Job) -> Vec<(usize, f64)> {
    let mut list: Vec<(usize, f64)> =
        job.kinds.iter().filter_map(|&k| task_price(&types[k], job).map(|p| (k, p))).collect();
    list.sort_by(|a, b| {
        a.1.total_cmp(&b.1)
            .then_with(|| types[b.0].size.count(&job.needs).cmp(&types[a.0].size.count(&job.needs)))
            .then(a.0.cmp(&b.0))
    });
    list
}

/// Cost of running `first` and then, once it has ended, `second`, both on
/// their cheapest deadline-meeting configuration. A configuration that meets
/// the deadline only by more machines costs their fetches too; a job that
/// cannot meet it at all is bought elsewhere at twice its cost.
pub fn pair_cost(now: f64, types: &[Type], first: &Job, second: &Job) -> f64 {
    let (cost_first, end) = run_cost(now, types, first);
    let (cost_second, _) = run_cost(end, types, second);
    cost_first + cost_second
}

/// Cheapest cost of starting `job` at `start`, and when it ends.
fn run_cost(start: f64, types: &[Type], job: &Job) -> (f64, f64) {
    let tasks = job.waiting.len() as f64;
    let mut fallback = (f64::MAX, start);
    for (k, price) in configurations(types, job) {
        let t = &types[k];
        let fetch = if t.fetch_gb_per_s > 0.0 { job.image_gb / t.fetch_gb_per_s } else { 0.0 };
        let end = start + fetch + job.run_s;
        let cost = (tasks * job.run_s + fetch) * price;
        if end <= job.deadline {
            return (cost, end);
        }
        if 2.0 * cost < fallback.0 {
            fallback = (2.0 * cost, end);
        }
    }
    if fallback.0 == f64::MAX {
        (0.0, start)
    } else {
        fallback
    }
}

/// Sum over all others of what deferring `job` behind them costs.
fn deferral(types: &[Type], ends: &[(f64, f64)], jobs: &[Job], among: &[usize], i: usize) -> f64 {
    let (own, own_end) = ends[i];
    among
        .iter()
        .filter(|&&j| j != i)
        .map(|&j| {
            let (other, other_end) = ends[j];
            // pair_cost(j, i) - pair_cost(i, j), with both first runs known
            let behind = run_cost(other_end, types, &jobs[i]).0 + other;
            let ahead = run_cost(own_end, types, &jobs[j]).0 + own;
            behind - ahead
        })
        .sum()
}

/// More jobs than this are compared pairwise with the most pressing ones only,
/// so that a flood cannot eat the processor.
const PAIRWISE: usize = 64;

/// Part of its machines that a band really gets: some time goes into fetches,
/// reports and stops.
const ATTAINED: f64 = 0.9;

/// How well a job can still do: 0 it meets its deadline, 1 its last chance,
/// 2 neither. Judged with the queue ahead of it, not alone: when the work of a
/// band exceeds what its machines can do in time, earliest-deadline order would
/// make nearly every job a little late. The rule of Moore and Hodgson gives up
/// the fewest: in deadline order, whenever one would be late, the largest so
/// far goes.
fn tiers(p: &Problem, by_deadline: &[usize]) -> Vec<u8> {
    let mut tier = vec![2u8; p.jobs.len()];
    let up: Vec<&Machine> = p.machines.iter().filter(|m| m.ready <= p.now + p.bound_s).collect();
    // Running work holds the machines for a while yet.
    let held: f64 = up
        .iter()
        .map(|m| {
            let size = &p.types[m.kind].size;
            m.busy.iter().map(|b| (b.end - p.now).max(0.0) * share(&b.takes, size)).sum::<f64>()
                + (m.ready - p.now).max(0.0)
        })
        .sum::<f64>()
        / (up.len().max(1) as f64);
    // Time that the job's waiting tasks take of all its machines together.
    let work = |i: usize| {
        let job = &p.jobs[i];
        let slots: f64 = up
            .iter()
            .filter(|m| {
                job.kinds.contains(&m.kind) && (!m.spot || job.spot) && job.zone.is_none_or(|z| z == m.zone)
            })
            .map(|m| {
                let mut size = p.types[m.kind].size;
                for b in m.busy.iter().filter(|b| b.band > job.band) {
                    size.take(&b.takes);
                }
                f64::from(size.count(&job.needs))
            })
            .sum();
        job.waiting.len() as f64 * job.run_s / slots.max(0.5)
    };
    let mut bands: Vec<u8> = p.jobs.iter().map(|j| j.band).collect();
    bands.sort_unstable();
    bands.dedup();
    for band in bands.into_iter().rev() {
        let mut left: Vec<usize> = by_deadline.iter().copied().filter(|&i| p.jobs[i].band == band).collect();
        let mut ahead = held;
        for level in 0..2u8 {
            let due = |i: usize| if level == 0 { p.jobs[i].deadline } else { p.jobs[i].last_chance };
            left.sort_by(|&a, &b| due(a).total_cmp(&due(b)).then(a.cmp(&b)));
            let (mut kept, mut dropped): (Vec<(f64, usize)>, Vec<usize>) = (Vec::new(), Vec::new());
            let mut total = ahead;
            for i in left {
                let w = work(i);
                kept.push((w, i));
                total += w;
                // Behind the queue, its own tasks take one run at least.
                while p.now + (total - w).max(0.0) / ATTAINED + w.max(p.jobs[i].run_s) > due(i) {
                    let Some(at) = (0..kept.len())
                        .max_by(|&a, &b| kept[a].0.total_cmp(&kept[b].0).then(kept[a].1.cmp(&kept[b].1)))
                    else {
                        break;
                    };
                    let (w, gone) = kept.swap_remove(at);
                    total -= w;
                    dropped.push(gone);
                    if gone == i {
                        break;
                    }
                }
            }
            for &(_, i) in &kept {
                tier[i] = level;
            }
            ahead = total;
            left = dropped;
        }
    }
    tier
}

/// Part of a machine that `takes` holds.
fn share(takes: &Amounts, size: &Amounts) -> f64 {
    (takes.cores / size.cores.max(SLACK))
        .max(takes.accelerators / size.accelerators.max(SLACK))
        .max(takes.memory_gb / size.memory_gb.max(SLACK))
}

/// Jobs by falling priority. Urgency bands come first; inside a band, work
/// that a guarantee covers, then jobs that can still meet their deadline, then
/// the summed pairwise deferral cost, then the earlier deadline.
pub fn order(p: &Problem) -> Vec<usize> {
    let ends: Vec<(f64, f64)> = p.jobs.iter().map(|j| run_cost(p.now, &p.types, j)).collect();
    let mut all: Vec<usize> = (0..p.jobs.len()).collect();
    all.sort_by(|&a, &b| p.jobs[a].deadline.total_cmp(&p.jobs[b].deadline).then(a.cmp(&b)));
    let among: Vec<usize> = all.iter().copied().take(PAIRWISE).collect();
    let cost: Vec<f64> = (0..p.jobs.len()).map(|i| deferral(&p.types, &ends, &p.jobs, &among, i)).collect();
    let tier = tiers(p, &all);
    // In a band that cannot do everything in time, those that can are served
    // in the order that this was judged by.
    let crowded = |band: u8| (0..p.jobs.len()).any(|i| p.jobs[i].band == band && tier[i] > 0);
    let crowded: Vec<bool> = (0..=u8::MAX).map(crowded).collect();
    all.sort_by(|&a, &b| {
        let (x, y) = (&p.jobs[a], &p.jobs[b]);
        y.band
            .cmp(&x.band)
            .then(y.guaranteed.cmp(&x.guaranteed))
            .then(tier[a].cmp(&tier[b]))
            .then(if crowded[x.band as usize] {
                x.deadline.total_cmp(&y.deadline)
            } else {
                cost[b].partial_cmp(&cost[a]).unwrap_or(Ordering::Equal)
            })
            .then(x.deadline.total_cmp(&y.deadline))
            .then(a.cmp(&b))
    });
    all
}

/// A machine's future while the plan is being made.
struct Slot {
    free: Amounts,
    /// Ends of running work, soonest first.
    busy: Vec<Busy>,
    /// Reserved for a job of higher priority from `start` on.
    reserved: Vec<(f64, Amounts)>,
}

impl Slot {
    /// Earliest time at which `need` fits, for a run of `run` seconds.
    fn earliest(&self, now: f64, ready: f64, need: &Amounts, run: f64) -> Option<f64> {
        let mut free = self.free;
        let mut at = now.max(ready);
        let mut next = 0;
        loop {
            while next < self.busy.len() && self.busy[next].end <= at {
                free.give(&self.busy[next].takes);
                next += 1;
            }
            let mut left = free;
            for (start, takes) in &self.reserved {
                if at + run > *start {
                    left.take(takes);
                }
            }
            if left.holds(need) {
                return Some(at);
            }
            if next >= self.busy.len() {
                return None;
            }
            at = self.busy[next].end;
        }
    }
}

/// What opening an emptier machine counts, per unused share of its processors
/// and accelerators: more than a usual fetch, less than another price.
const OPENING: f64 = 0.15;

/// Where one task could go.
#[derive(Clone, Copy)]
struct Option1 {
    machine: usize,
    at: f64,
    rank: (f64, f64),
}

/// A gang's best configuration so far; the smaller key is the better one.
struct GangChoice {
    key: (bool, bool, f64, f64),
    kind: usize,
    machines: Vec<usize>,
    start: f64,
    end: f64,
}

struct Planner<'a> {
    p: &'a Problem,
    slots: Vec<Slot>,
    teams: Vec<Team>,
    images: Vec<Vec<String>>,
}

impl<'a> Planner<'a> {
    fn new(p: &'a Problem) -> Self {
        let slots = p
            .machines
            .iter()
            .map(|m| {
                let mut busy = m.busy.clone();
                busy.sort_by(|a, b| a.end.total_cmp(&b.end));
                Slot { free: m.free, busy, reserved: Vec::new() }
            })
            .collect();
        Planner {
            p,
            slots,
            teams: p.teams.clone(),
            images: p.machines.iter().map(|m| m.images.clone()).collect(),
        }
    }

    fn fetch_s(&self, job: &Job, m: usize) -> f64 {
        if self.images[m].contains(&job.image) {
            return 0.0;
        }
        let rate = self.p.types[self.p.machines[m].kind].fetch_gb_per_s;
        if rate > 0.0 {
            job.image_gb / rate
        } else {
            0.0
        }
    }

    fn allowed(&self, job: &Job, m: usize) -> bool {
        let machine = &self.p.machines[m];
        job.kinds.contains(&machine.kind)
            && (!machine.spot || job.spot)
            && job.zone.is_none_or(|z| z == machine.zone)
    }

    /// Earliest place of one task on machine `m`. Earlier ends come first,
    /// coarsely; then the cheaper machine; then the fuller one.
    fn option(&self, job: &Job, m: usize) -> Option<Option1> {
        if !self.allowed(job, m) {
            return None;
        }
        let machine = &self.p.machines[m];
        let fetch = self.fetch_s(job, m);
        let run = (fetch + job.run_s) * machine.slowness;
        let at = self.slots[m].earliest(self.p.now, machine.ready, &job.needs, run)?;
        let t = &self.p.types[machine.kind];
        let side = f64::from(t.size.count(&job.needs).max(1));
        let price = if machine.spot { t.spot_price } else { t.price };
        let mut left = self.slots[m].free;
        left.take(&job.needs);
        // Dear machines are kept for those that need them: an ordinary one
        // ranks behind any spot machine for a job that may use either.
        let cost = price / side * (job.run_s * machine.slowness + fetch);
        let empty = left.cores / t.size.cores.max(SLACK) + left.accelerators / t.size.accelerators.max(SLACK);
        Some(Option1 { machine: m, at, rank: (cost * (1.0 + OPENING * empty), empty) })
    }

    fn team_allows(&self, job: &Job, tasks: u32) -> bool {
        let t = &self.teams[job.team];
        let need = job.needs.times(f64::from(tasks));
        t.cores_left.is_none_or(|x| need.cores <= x + SLACK)
            && t.accelerators_left.is_none_or(|x| need.accelerators <= x + SLACK)
    }

    fn occupy(&mut self, job: &Job, m: usize, at: f64, end: f64) {
        if at <= self.p.now {
            self.slots[m].free.take(&job.needs);
            let busy = &mut self.slots[m].busy;
            let place = busy.partition_point(|b| b.end <= end);
            busy.insert(place, Busy { end, takes: job.needs, band: job.band, victim: None });
            if !self.images[m].contains(&job.image) {
                self.images[m].push(job.image.clone());
            }
            let t = &mut self.teams[job.team];
            if let Some(x) = &mut t.cores_left {
                *x -= job.needs.cores;
            }
            if let Some(x) = &mut t.accelerators_left {
                *x -= job.needs.accelerators;
            }
        } else {
            self.slots[m].reserved.push((at, job.needs));
        }
    }

    /// Options for every machine, best first. `start` decides before cost
    /// only for starts later than now.
    fn options(&self, job: &Job, kind: Option<usize>, zone: Option<usize>) -> Vec<Option1> {
        let mut list: Vec<Option1> = (0..self.p.machines.len())
            .filter(|&m| kind.is_none_or(|k| self.p.machines[m].kind == k))
            .filter(|&m| zone.is_none_or(|z| self.p.machines[m].zone == z))
            .filter_map(|m| self.option(job, m))
            .collect();
        list.sort_by(|a, b| {
            a.at.total_cmp(&b.at)
                .then(a.rank.0.total_cmp(&b.rank.0))
                .then(a.rank.1.total_cmp(&b.rank.1))
                .then(a.machine.cmp(&b.machine))
        });
        list
    }

    /// Places for `n` gang tasks at once: on distinct capacity, in one zone
    /// if asked for, none over the zone cap. Returns machines and the start.
    fn gang_places(
        &self,
        job: &Job,
        n: usize,
        kind: Option<usize>,
        zone: Option<usize>,
    ) -> Option<(Vec<usize>, f64)> {
        let options = self.options(job, kind, zone);
        let mut load = job.zone_load.clone();
        load.resize(self.p.zones, 0);
        let mut chosen = Vec::with_capacity(n);
        let mut start = self.p.now;
        for o in &options {
            let machine = &self.p.machines[o.machine];
            let room = self.slots[o.machine].free.count(&job.needs).max(1);
            let room = if o.at > self.p.now { 1 } else { room };
            for _ in 0..room {
                if chosen.len() == n {
                    break;
                }
                if job.zone_cap.is_some_and(|c| load[machine.zone] >= c) {
                    break;
                }
                load[machine.zone] += 1;
                chosen.push(o.machine);
                start = start.max(o.at);
            }
        }
        (chosen.len() == n).then_some((chosen, start))
    }

    /// Plans one job. Returns its reservation, if it gets one, having
    /// occupied what it takes; starts of now are pushed to `plan`.
    fn reserve(&mut self, i: usize, windows: &[Option<f64>], plan: &mut Plan) -> Option<Reservation> {
        let job = &self.p.jobs[i];
        if job.not_before > self.p.now || job.waiting.is_empty() {
            return None;
        }
        match job.shape {
            Shape::Gang => self.reserve_gang(i, windows, plan),
            Shape::Array | Shape::Service => self.reserve_tasks(i, windows, plan),
        }
    }

    fn inside(&self, windows: &[Option<f64>], kind: usize, start: f64) -> bool {
        start <= self.p.now || windows[kind].is_none_or(|w| start <= w)
    }

    fn reserve_gang(&mut self, i: usize, windows: &[Option<f64>], plan: &mut Plan) -> Option<Reservation> {
        let job = self.p.jobs[i].clone();
        let n = job.waiting.len();
        if !self.team_allows(&job, n as u32) {
            return None;
        }
        // A configuration that meets the deadline beats one that does not; of
        // those that do, a start now beats a later one and then the cheapest
        // wins; if none does, the one that ends first.
        let mut best: Option<GangChoice> = None;
        for (kind, price) in configurations(&self.p.types, &job) {
            let zones: Vec<Option<usize>> =
                if job.one_zone { (0..self.p.zones).map(Some).collect() } else { vec![None] };
            for zone in zones {
                let Some((machines, start)) = self.gang_places(&job, n, Some(kind), zone) else { continue };
                let fetch = machines.iter().map(|&m| self.fetch_s(&job, m)).fold(0.0, f64::max);
                let slow = machines.iter().map(|&m| self.p.machines[m].slowness).fold(1.0, f64::max);
                let end = start + fetch + job.run_s * slow;
                let late = end > job.deadline;
                let ordinary = machines.iter().filter(|&&m| !self.p.machines[m].spot).count();
                let t = &self.p.types[kind];
                let dearer = if job.spot && t.spot_price > 0.0 { t.price / t.spot_price } else { 1.0 };
                let share = ordinary as f64 / n as f64;
                let cost = price * (1.0 + share * (dearer - 1.0)) * (fetch + job.run_s * slow);
                let key =
                    if late { (true, false, end, cost) } else { (false, start > self.p.now, cost, end) };
                if best.as_ref().is_none_or(|b| key.partial_cmp(&b.key) == Some(Ordering::Less)) {
                    best = Some(GangChoice { key, kind, machines, start, end });
                }
            }
        }
        let patience = self.p.now + self.p.patience_s;
        if best.as_ref().is_none_or(|b| b.start > patience) {
            if let Some(r) = self.reserve_by_stopping(i, plan) {
                return Some(r);
            }
        }
        let GangChoice { kind, machines, start, end, .. } = best?;
        if !self.inside(windows, kind, start) {
            return None;
        }
        for (slot, &m) in machines.iter().enumerate() {
            if start <= self.p.now {
                plan.starts.push(Start { job: i, task: job.waiting[slot], machine: m });
            }
            self.occupy(&job, m, start, end);
        }
        Some(Reservation { job: i, kind, start, end, decides: false })
    }

    /// Has less urgent work stopped where that costs least, and reserves the
    /// places that come free for gang `i` (an exception: Cura stops nothing).
    fn reserve_by_stopping(&mut self, i: usize, plan: &mut Plan) -> Option<Reservation> {
        let job = self.p.jobs[i].clone();
        let n = job.waiting.len();
        let mut options: Vec<(f64, usize, f64, Vec<usize>)> = Vec::new();
        for m in 0..self.p.machines.len() {
            let machine = &self.p.machines[m];
            if !self.allowed(&job, m) || machine.ready > self.p.now || !self.slots[m].reserved.is_empty() {
                continue;
            }
            let mut victims: Vec<(usize, Victim, Amounts)> = self.slots[m]
                .busy
                .iter()
                .enumerate()
                .filter_map(|(at, b)| b.victim.filter(|_| b.band < job.band).map(|v| (at, v, b.takes)))
                .collect();
            victims.sort_by(|a, b| a.1.lost_s.total_cmp(&b.1.lost_s));
            let mut free = self.slots[m].free;
            let (mut lost, mut stop, mut chosen) = (0.0, 0.0f64, Vec::new());
            for (at, v, takes) in victims {
                if free.holds(&job.needs) {
                    break;
                }
                free.give(&takes);
                // Lost work counts by the share of the machine that it held.
                lost += v.lost_s * share(&takes, &self.p.types[machine.kind].size);
                stop = stop.max(v.stop_s);
                chosen.push(at);
            }
            if free.holds(&job.needs) {
                // An image at hand is worth its fetch on the whole machine.
                options.push((lost + stop + 2.0 * self.fetch_s(&job, m), m, stop, chosen));
            }
        }
        options.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let zones: Vec<Option<usize>> =
            if job.one_zone { (0..self.p.zones).map(Some).collect() } else { vec![None] };
        let mut best: Option<(f64, Vec<usize>)> = None;
        for zone in zones {
            let mut load = job.zone_load.clone();
            load.resize(self.p.zones, 0);
            let (mut cost, mut picked) = (0.0, Vec::new());
            for (at, (c, m, ..)) in options.iter().enumerate() {
                let z = self.p.machines[*m].zone;
                let full = job.zone_cap.is_some_and(|cap| load[z] >= cap);
                if picked.len() < n && !full && zone.is_none_or(|only| only == z) {
                    load[z] += 1;
                    cost += c;
                    picked.push(at);
                }
            }
            if picked.len() == n && best.as_ref().is_none_or(|b| cost < b.0) {
                best = Some((cost, picked));
            }
        }
        let (_, picked) = best?;
        if !self.team_allows(&job, n as u32) {
            return None;
        }
        let (mut start, mut end) = (self.p.now, self.p.now);
        for at in picked {
            let (_, m, stop, chosen) = options[at].clone();
            let begin = self.p.now + stop.max(SLACK);
            // Changed in place and sorted again afterwards: taking entries out
            // and putting them in front once moved the numbers of the others,
            // and the wrong work was stopped.
            for b in chosen {
                let taken = &mut self.slots[m].busy[b];
                if let Some(v) = taken.victim.take() {
                    plan.stops.push(v.owner);
                }
                taken.end = begin;
            }
            self.slots[m].busy.sort_by(|a, b| a.end.total_cmp(&b.end));
            let fetch = self.fetch_s(&job, m);
            start = start.max(begin);
            end = end.max(begin + fetch + job.run_s);
            self.occupy(&job, m, begin, begin + fetch + job.run_s);
        }
        let kind = self.p.machines[options[0].1].kind;
        Some(Reservation { job: i, kind, start, end, decides: false })
    }

    fn reserve_tasks(&mut self, i: usize, windows: &[Option<f64>], plan: &mut Plan) -> Option<Reservation> {
        let job = self.p.jobs[i].clone();
        let mut load = job.zone_load.clone();
        load.resize(self.p.zones, 0);
        let mut zone = if job.one_zone {
            let held = load.iter().position(|&n| n > 0);
            held.or_else(|| self.best_zone(&job))
        } else {
            None
        };
        let mut span: Option<Reservation> = None;
        for &task in &job.waiting {
            if !self.team_allows(&job, 1) {
                break;
            }
            let found = self
                .options(&job, None, zone)
                .into_iter()
                .find(|o| job.zone_cap.is_none_or(|c| load[self.p.machines[o.machine].zone] < c));
            let Some(o) = found else { break };
            let machine = &self.p.machines[o.machine];
            if !self.inside(windows, machine.kind, o.at) {
                break;
            }
            let end = o.at + self.fetch_s(&job, o.machine) + job.run_s * machine.slowness;
            if o.at <= self.p.now {
                plan.starts.push(Start { job: i, task, machine: o.machine });
            }
            load[machine.zone] += 1;
            if job.one_zone {
                zone = Some(machine.zone);
            }
            let kind = machine.kind;
            self.occupy(&job, o.machine, o.at, end);
            let r = span.get_or_insert(Reservation { job: i, kind, start: o.at, end, decides: false });
            r.start = r.start.min(o.at);
            r.end = r.end.max(end);
            if o.at > self.p.now && end <= job.deadline {
                plan.timely += 1;
            }
        }
        span
    }

    /// The zone that can take most of an array bound to one zone now.
    fn best_zone(&self, job: &Job) -> Option<usize> {
        let mut room = vec![0u32; self.p.zones];
        for (m, machine) in self.p.machines.iter().enumerate() {
            if self.allowed(job, m) && machine.ready <= self.p.now {
                room[machine.zone] += self.slots[m].free.count(&job.needs);
            }
        }
        let best = (0..self.p.zones).max_by_key(|&z| (room[z], usize::MAX - z))?;
        (room[best] > 0).then_some(best)
    }
}

/// Makes the plan: the top job is reserved first, its end (capped by the
/// bound) fixes its type's window, the others follow by falling priority if
/// they start inside their type's window.
pub fn plan(p: &Problem) -> Plan {
    let mut plan = Plan { order: order(p), ..Plan::default() };
    let mut planner = Planner::new(p);
    let mut windows: Vec<Option<f64>> = vec![None; p.types.len()];
    for i in plan.order.clone() {
        let before = plan.starts.len();
        plan.timely = 0;
        if let Some(mut r) = planner.reserve(i, &windows, &mut plan) {
            if windows[r.kind].is_none() {
                windows[r.kind] = Some(r.end.min(p.now + p.bound_s));
                r.decides = true;
            }
            if p.jobs[i].shape == Shape::Gang && r.end <= p.jobs[i].deadline {
                plan.timely = p.jobs[i].waiting.len() as u32;
            }
            plan.reservations.push(r);
        }
        let started = (plan.starts.len() - before) as u32;
        let left = p.jobs[i].waiting.len() as u32 - started;
        if left > 0 && p.jobs[i].not_before <= p.now {
            plan.unmet.push(Unmet { job: i, tasks: left, late: left.saturating_sub(plan.timely) });
        }
    }
    plan
}
