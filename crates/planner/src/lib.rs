//! Cura's planner as a pure function: jobs that wait, machines as they are,
//! and out of them reservations, of which those starting now are launched.

pub mod starvation;
mod work_conservation;

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// What a task takes, or a machine has.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    pub cores: f64,
    pub accelerators: f64,
    pub memory_gb: f64,
}

const SLACK: f64 = 1e-6;

impl Resources {
    pub fn new(cores: f64, accelerators: f64, memory_gb: f64) -> Self {
        Resources { cores, accelerators, memory_gb }
    }
    pub fn fits(&self, need: &Resources) -> bool {
        need.cores <= self.cores + SLACK
            && need.accelerators <= self.accelerators + SLACK
            && need.memory_gb <= self.memory_gb + SLACK
    }
    pub fn subtract(&mut self, x: &Resources) {
        self.cores -= x.cores;
        self.accelerators -= x.accelerators;
        self.memory_gb -= x.memory_gb;
    }
    pub fn add(&mut self, x: &Resources) {
        self.cores += x.cores;
        self.accelerators += x.accelerators;
        self.memory_gb += x.memory_gb;
    }
    pub fn scaled(&self, n: f64) -> Resources {
        Resources::new(self.cores * n, self.accelerators * n, self.memory_gb * n)
    }
    /// How many such tasks fit side by side.
    pub fn instances_that_fit(&self, need: &Resources) -> u32 {
        let part = |have: f64, want: f64| if want > 0.0 { (have + SLACK) / want } else { f64::MAX };
        part(self.cores, need.cores)
            .min(part(self.accelerators, need.accelerators))
            .min(part(self.memory_gb, need.memory_gb))
            .clamp(0.0, 100_000.0) as u32
    }
}

/// A machine type, with the prices of both kinds.
#[derive(Debug, Clone)]
pub struct InstanceType {
    pub size: Resources,
    pub price: f64,
    pub spot_price: f64,
    pub fetch_gb_per_s: f64,
}

/// Work that a machine holds until `end`.
#[derive(Debug, Clone, Copy)]
pub struct RunningTask {
    pub ends_at: f64,
    /// It ends only when it is cancelled or stopped: nothing is reserved behind it.
    pub endless: bool,
    pub resources: Resources,
    pub priority: u8,
    pub team: usize,
    /// Its team's guarantee covers it.
    pub within_guarantee: bool,
    /// What stopping it would cost, if it may be stopped for more urgent work.
    pub preemption: Option<PreemptionCandidate>,
}

/// Running work that a more urgent job may have stopped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PreemptionCandidate {
    /// The caller's own number of it.
    pub owner: usize,
    /// Run time that would be lost.
    pub lost_work_s: f64,
    /// Time until its place is free.
    pub stop_s: f64,
}

#[derive(Debug, Clone)]
pub struct Machine {
    pub instance_type: usize,
    pub zone: usize,
    pub spot: bool,
    /// When it can take work: now, or when its boot is expected to end.
    pub ready_at: f64,
    pub free: Resources,
    pub running: Vec<RunningTask>,
    /// Images it is known to hold or to be fetching.
    pub images: Vec<u32>,
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
    pub priority: u8,
    pub shape: Shape,
    /// Unfinished tasks without a machine.
    pub pending_tasks: Vec<u32>,
    pub resources: Resources,
    /// Run time expected of a task.
    pub run_s: f64,
    /// The caller's own number of its image.
    pub image: u32,
    pub image_gb: f64,
    /// Allowed machine types, by index.
    pub instance_types: Vec<usize>,
    /// The only allowed zone.
    pub zone: Option<usize>,
    pub one_zone: bool,
    /// Most tasks per zone, and how many each zone has already.
    pub max_per_zone: Option<u32>,
    pub placed_per_zone: Vec<u32>,
    pub spot: bool,
    pub submitted_at: f64,
    /// When it has to be complete.
    pub deadline: f64,
    /// The latest end that still counts for something (the deadline itself
    /// where nothing later does).
    pub latest_useful_end: f64,
    pub team: usize,
    /// Whether its team's guarantee covers it.
    pub guaranteed: bool,
    /// Not before this time (back-off after failures).
    pub not_before: f64,
    /// It fails wherever it runs: it may use a place that is free now, and that
    /// is all; no reservation, nobody stopped and nothing rented for it.
    pub probing: bool,
    /// Nobody waits for it: it follows all else of its band.
    pub best_effort: bool,
    /// Only spot machines.
    pub spot_only: bool,
    /// It is under its floor: it goes before all others (see [`floor`]).
    pub starvation_relief: bool,
    /// Until then, in seconds of the plan's clock, its team's room is kept for it where the limit
    /// has none for it yet (see [`starvation::keeps_until`]).
    pub reserves_until: f64,
    /// The zone in which the last plan gathered machines for it.
    pub assembly_zone: Option<usize>,
    /// It has waited beside free places for too long (see [`room`]): it takes them whatever is
    /// reserved there for later.
    pub waits_beside_capacity: bool,
    /// Machines that it failed on.
    pub excluded_machines: Vec<usize>,
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
    pub instance_types: Vec<InstanceType>,
    pub zones: usize,
    pub machines: Vec<Machine>,
    pub jobs: Vec<Job>,
    pub teams: Vec<Team>,
    /// No reservation window reaches further than this.
    pub max_window_s: f64,
    /// A more urgent job waits that long rather than having work stopped.
    pub preemption_wait_s: f64,
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
    pub instance_type: usize,
    pub starts_at: f64,
    pub ends_at: f64,
    /// It fixed its type's window.
    pub sets_window: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnmetDemand {
    pub job: usize,
    pub tasks: u32,
    pub late_tasks: u32,
}

#[derive(Debug, Clone, Default)]
pub struct Plan {
    pub order: Vec<usize>,
    pub starts: Vec<Start>,
    pub reservations: Vec<Reservation>,
    /// Tasks, by job, that found no place now, and how many of these are
    /// expected after their deadline.
    pub unmet: Vec<UnmetDemand>,
    /// Tasks reserved for later that meet their deadline (of the job that is
    /// being planned).
    on_time: u32,
    /// Running work to be stopped for more urgent jobs.
    pub preemptions: Vec<usize>,
    /// Jobs that go on waiting although a place that may be theirs is free.
    pub waiting_beside_capacity: Vec<usize>,
    /// The overdue gang that has to be in one zone, and the zone in which its machines gather.
    pub gang_assembly: Option<(usize, usize)>,
    /// What the plan took: looks at a machine or at a job.
    pub steps: u64,
}

/// A configuration of a job on a type: machine price per task and second.
fn task_price(t: &InstanceType, job: &Job) -> Option<f64> {
    let side_by_side = t.size.instances_that_fit(&job.resources);
    if side_by_side == 0 {
        return None;
    }
    let price = if job.spot && t.spot_price > 0.0 { t.spot_price } else { t.price };
    Some(price / f64::from(side_by_side))
}

/// The job's allowed types, cheapest first; on ties, the one whose machines
/// hold more of it, which takes the fewest machines.
pub fn configurations(types: &[InstanceType], job: &Job) -> Vec<(usize, f64)> {
    let mut list: Vec<(usize, f64)> =
        job.instance_types.iter().filter_map(|&k| task_price(&types[k], job).map(|p| (k, p))).collect();
    list.sort_by(|a, b| {
        a.1.total_cmp(&b.1)
            .then_with(|| {
                types[b.0]
                    .size
                    .instances_that_fit(&job.resources)
                    .cmp(&types[a.0].size.instances_that_fit(&job.resources))
            })
            .then(a.0.cmp(&b.0))
    });
    list
}

/// Cost of running `first` and then, once it has ended, `second`, both on
/// their cheapest deadline-meeting configuration. A configuration that meets
/// the deadline only by more machines costs their fetches too; a job that
/// cannot meet it at all is bought elsewhere at twice its cost.
pub fn pair_cost(now: f64, types: &[InstanceType], first: &Job, second: &Job) -> f64 {
    let (cost_first, end) = CostCurve::of(types, first).at(now);
    let (cost_second, _) = CostCurve::of(types, second).at(end);
    cost_first + cost_second
}

/// What a job's run costs by when it starts, worked out once per plan: the
/// cheapest configuration still in time, so a step function of the start.
struct CostCurve {
    /// Latest start for which a configuration is the cheapest one in time,
    /// its cost and how long it takes; latest starts rise.
    steps: Vec<(f64, f64, f64)>,
    /// Cost and duration when none is in time any more.
    late: (f64, f64),
}

impl CostCurve {
    fn of(types: &[InstanceType], job: &Job) -> CostCurve {
        let tasks = job.pending_tasks.len() as f64;
        let mut steps: Vec<(f64, f64, f64)> = Vec::new();
        let mut late = (f64::MAX, 0.0);
        for (k, price) in configurations(types, job) {
            let t = &types[k];
            let fetch = if t.fetch_gb_per_s > 0.0 { job.image_gb / t.fetch_gb_per_s } else { 0.0 };
            let takes = fetch + job.run_s;
            let cost = (tasks * job.run_s + fetch) * price;
            let latest = job.deadline - takes;
            if steps.last().is_none_or(|s| latest > s.0) {
                steps.push((latest, cost, takes));
            }
            if 2.0 * cost < late.0 {
                late = (2.0 * cost, takes);
            }
        }
        if late.0 == f64::MAX {
            late = (0.0, 0.0);
        }
        CostCurve { steps, late }
    }

    /// Cost of a start at that time, and the run's end.
    fn at(&self, start: f64) -> (f64, f64) {
        let step = self.steps.iter().find(|s| start <= s.0);
        let (cost, takes) = step.map_or(self.late, |s| (s.1, s.2));
        (cost, start + takes)
    }
}

/// Every job's deferral: the sum, over all others, of `pair_cost(other, job) -
/// pair_cost(job, other)`. Costs are step functions of the start, so each sum
/// is taken over sorted ends and steps, in n log n instead of n squared; a
/// flood of jobs then needs no cut-off. A test compares it with the plain sum.
pub fn deferrals(now: f64, types: &[InstanceType], jobs: &[Job]) -> Vec<f64> {
    let costs: Vec<CostCurve> = jobs.iter().map(|j| CostCurve::of(types, j)).collect();
    let first: Vec<(f64, f64)> = costs.iter().map(|c| c.at(now)).collect();
    let mut ends: Vec<f64> = first.iter().map(|f| f.1).collect();
    ends.sort_by(f64::total_cmp);
    let total: f64 = first.iter().map(|f| f.0).sum();
    // The sum of all jobs' costs as one step function: what it begins with,
    // and by how much it has risen behind each latest start.
    let begin: f64 = costs.iter().map(|c| c.at(f64::MIN).0).sum();
    let mut rises: Vec<(f64, f64)> = Vec::new();
    for c in &costs {
        for (k, s) in c.steps.iter().enumerate() {
            let next = c.steps.get(k + 1).map_or(c.late.0, |n| n.1);
            rises.push((s.0, next - s.1));
        }
    }
    rises.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut sum = begin;
    for r in &mut rises {
        sum += r.1;
        r.1 = sum;
    }
    let n = jobs.len() as f64;
    (0..jobs.len())
        .map(|i| {
            let (own, own_end) = first[i];
            // This job behind each of all, itself included (taken off below).
            let (mut behind, mut before) = (0.0, 0);
            for s in &costs[i].steps {
                let upto = ends.partition_point(|e| *e <= s.0);
                behind += (upto - before) as f64 * s.1;
                before = upto;
            }
            behind += (ends.len() - before) as f64 * costs[i].late.0;
            // Each of all behind this job, itself included: the same term.
            let at = rises.partition_point(|r| r.0 < own_end);
            let ahead = if at == 0 { begin } else { rises[at - 1].1 };
            behind - ahead + total - n * own
        })
        .collect()
}

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
    let up: Vec<&Machine> = p.machines.iter().filter(|m| m.ready_at <= p.now + p.max_window_s).collect();
    // Running work holds the machines for a while yet.
    let held: f64 = up
        .iter()
        .map(|m| {
            let size = &p.instance_types[m.instance_type].size;
            m.running.iter().map(|b| (b.ends_at - p.now).max(0.0) * share(&b.resources, size)).sum::<f64>()
                + (m.ready_at - p.now).max(0.0)
        })
        .sum::<f64>()
        / (up.len().max(1) as f64);
    let mut rooms: Vec<(CapacityView, Vec<(Resources, f64)>)> = Vec::new();
    // Time that the job's waiting tasks take of all its machines together.
    let mut work = |i: usize| {
        let job = &p.jobs[i];
        let seen = CapacityView {
            priority: job.priority,
            instance_types: job.instance_types.clone(),
            spot: job.spot,
            zone: job.zone,
        };
        let at = rooms.iter().position(|r| r.0 == seen).unwrap_or_else(|| {
            let alike = room_of(p, &up, &seen);
            rooms.push((seen, alike));
            rooms.len() - 1
        });
        let slots: f64 =
            rooms[at].1.iter().map(|(room, n)| f64::from(room.instances_that_fit(&job.resources)) * n).sum();
        job.pending_tasks.len() as f64 * job.run_s / slots.max(0.5)
    };
    let mut bands: Vec<u8> = p.jobs.iter().map(|j| j.priority).collect();
    bands.sort_unstable();
    bands.dedup();
    for band in bands.into_iter().rev() {
        let mut left: Vec<usize> =
            by_deadline.iter().copied().filter(|&i| p.jobs[i].priority == band).collect();
        let mut ahead = held;
        for level in 0..2u8 {
            let due = |i: usize| if level == 0 { p.jobs[i].deadline } else { p.jobs[i].latest_useful_end };
            left.sort_by(|&a, &b| due(a).total_cmp(&due(b)).then(a.cmp(&b)));
            let (mut kept, mut dropped): (BinaryHeap<MachineLoad>, Vec<usize>) =
                (BinaryHeap::new(), Vec::new());
            let mut total = ahead;
            for i in left {
                let w = work(i);
                kept.push(MachineLoad(w, i));
                total += w;
                // Behind the queue, its own tasks take one run at least.
                while p.now + (total - w).max(0.0) / ATTAINED + w.max(p.jobs[i].run_s) > due(i) {
                    let Some(MachineLoad(w, gone)) = kept.pop() else { break };
                    total -= w;
                    dropped.push(gone);
                    if gone == i {
                        break;
                    }
                }
            }
            for &MachineLoad(_, i) in &kept {
                tier[i] = level;
            }
            ahead = total;
            left = dropped;
        }
    }
    tier
}

/// Which machines a job can have, as far as its room in time depends on it.
#[derive(PartialEq)]
struct CapacityView {
    priority: u8,
    instance_types: Vec<usize>,
    spot: bool,
    zone: Option<usize>,
}

/// Room that work of a band may count on, as sizes and how many machines have
/// each: most machines are alike, so a job need not look at every one.
fn room_of(p: &Problem, up: &[&Machine], seen: &CapacityView) -> Vec<(Resources, f64)> {
    let mut alike: Vec<(Resources, f64)> = Vec::new();
    for m in up {
        let out = !seen.instance_types.contains(&m.instance_type) || (m.spot && !seen.spot);
        if out || seen.zone.is_some_and(|z| z != m.zone) {
            continue;
        }
        let mut size = p.instance_types[m.instance_type].size;
        for b in m.running.iter().filter(|b| b.priority > seen.priority) {
            size.subtract(&b.resources);
        }
        match alike.iter_mut().find(|a| a.0 == size) {
            Some(a) => a.1 += 1.0,
            None => alike.push((size, 1.0)),
        }
    }
    alike
}

/// A job's work, the largest first.
struct MachineLoad(f64, usize);

impl PartialEq for MachineLoad {
    fn eq(&self, o: &Self) -> bool {
        self.cmp(o) == Ordering::Equal
    }
}
impl Eq for MachineLoad {}
impl PartialOrd for MachineLoad {
    fn partial_cmp(&self, o: &Self) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for MachineLoad {
    fn cmp(&self, o: &Self) -> Ordering {
        self.0.total_cmp(&o.0).then(self.1.cmp(&o.1))
    }
}

/// Part of a machine that `takes` holds.
fn share(takes: &Resources, size: &Resources) -> f64 {
    (takes.cores / size.cores.max(SLACK))
        .max(takes.accelerators / size.accelerators.max(SLACK))
        .max(takes.memory_gb / size.memory_gb.max(SLACK))
}

/// Jobs by falling priority. Urgency bands come first; inside a band, work
/// that a guarantee covers, then jobs that can still meet their deadline, then
/// the summed pairwise deferral cost, then the earlier deadline.
pub fn order(p: &Problem) -> Vec<usize> {
    let mut all: Vec<usize> = (0..p.jobs.len()).collect();
    all.sort_by(|&a, &b| p.jobs[a].deadline.total_cmp(&p.jobs[b].deadline).then(a.cmp(&b)));
    let cost = deferrals(p.now, &p.instance_types, &p.jobs);
    let tier = tiers(p, &all);
    // In a band that cannot do everything in time, those that can are served
    // in the order that this was judged by.
    let mut crowded = [false; 1 + u8::MAX as usize];
    for (job, tier) in p.jobs.iter().zip(&tier) {
        crowded[job.priority as usize] |= *tier > 0;
    }
    all.sort_by(|&a, &b| {
        let (x, y) = (&p.jobs[a], &p.jobs[b]);
        y.starvation_relief
            .cmp(&x.starvation_relief)
            .then(y.priority.cmp(&x.priority))
            .then(x.probing.cmp(&y.probing))
            .then(x.best_effort.cmp(&y.best_effort))
            .then(y.guaranteed.cmp(&x.guaranteed))
            .then(tier[a].cmp(&tier[b]))
            .then(if crowded[x.priority as usize] {
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
struct MachineTimeline {
    free: Resources,
    /// Ends of running work, soonest first.
    running: Vec<RunningTask>,
    /// Reserved for a job of higher priority from `start` on.
    reserved: Vec<(f64, Resources)>,
    /// What is left of the machine for good once running work has ended or was stopped.
    unreserved: Resources,
    /// The latest start of a reservation.
    last_end: f64,
}

impl MachineTimeline {
    /// Nothing that needs `least` or more and runs `run` or longer fits here
    /// any more, now or later.
    fn is_full(&self, now: f64, least: &Resources, run: f64) -> bool {
        !self.unreserved.fits(least) && (self.reserved.is_empty() || now + run > self.last_end)
    }

    /// Earliest time at which `need` fits, for a run of `run` seconds.
    fn earliest_start(&self, now: f64, ready: f64, need: &Resources, run: f64) -> Option<f64> {
        let mut at = now.max(ready);
        if self.is_full(at, need, run) {
            return None;
        }
        let mut free = self.free;
        let mut next = 0;
        loop {
            while next < self.running.len()
                && (self.running[next].ends_at <= at || self.running[next].endless)
            {
                if !self.running[next].endless {
                    free.add(&self.running[next].resources);
                }
                next += 1;
            }
            let mut left = free;
            for (start, takes) in &self.reserved {
                if at + run > *start {
                    left.subtract(takes);
                }
            }
            if left.fits(need) {
                return Some(at);
            }
            if next >= self.running.len() {
                return None;
            }
            at = self.running[next].ends_at;
        }
    }
}

/// What opening an emptier machine counts, per unused share of its processors
/// and accelerators: more than a usual fetch, less than another price.
const OPENING: f64 = 0.15;

/// Whether `b` may be stopped for `job`: what is less urgent, and for a team's
/// guarantee what another team runs beyond its own, unless that is more urgent.
/// (Allowed as well, but reports that stopped urgent rebooking kept it waiting.)
fn may_stop(job: &Job, b: &RunningTask) -> bool {
    b.priority < job.priority
        || job.guaranteed && !b.within_guarantee && b.team != job.team && b.priority == job.priority
}

/// Where one task could go.
#[derive(Clone, Copy)]
struct PlacementOption {
    machine: usize,
    starts_at: f64,
    rank: (f64, f64),
}

/// The better option is the smaller one: earlier, then by rank.
impl Ord for PlacementOption {
    fn cmp(&self, o: &Self) -> Ordering {
        self.starts_at
            .total_cmp(&o.starts_at)
            .then(self.rank.0.total_cmp(&o.rank.0))
            .then(self.rank.1.total_cmp(&o.rank.1))
            .then(self.machine.cmp(&o.machine))
    }
}
impl PartialOrd for PlacementOption {
    fn partial_cmp(&self, o: &Self) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}
impl PartialEq for PlacementOption {
    fn eq(&self, o: &Self) -> bool {
        self.cmp(o) == Ordering::Equal
    }
}
impl Eq for PlacementOption {}

/// A gang's best configuration so far; the smaller key is the better one.
struct GangChoice {
    key: (bool, bool, bool, f64, f64),
    instance_type: usize,
    machines: Vec<usize>,
    starts_at: f64,
    ends_at: f64,
}

/// A job that found no place. Places only become fewer while a plan is made,
/// so a job that asks for as much or more finds none either: under a backlog
/// most jobs are passed over without a look at the machines.
struct KnownMisfit {
    shape: Shape,
    priority: u8,
    resources: Resources,
    tasks: usize,
    /// At least what its run takes on any machine, fetch included.
    run_s: f64,
    instance_types: Vec<usize>,
    spot: bool,
    spot_only: bool,
    zone: Option<usize>,
    one_zone: bool,
}

impl KnownMisfit {
    /// `run_s`: at least what its run takes anywhere.
    fn of(job: &Job, run_s: f64) -> Self {
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

    fn covers(&self, job: &Job) -> bool {
        let gang = job.shape == Shape::Gang;
        gang == (self.shape == Shape::Gang)
            && job.priority <= self.priority
            && (!self.spot_only || job.spot_only)
            && job.resources.fits(&self.resources)
            && (!gang || job.pending_tasks.len() >= self.tasks)
            && job.run_s >= self.run_s
            && (self.spot || !job.spot)
            && self.zone.is_none_or(|z| job.zone == Some(z))
            && (!self.one_zone || job.one_zone)
            && job.instance_types.iter().all(|k| self.instance_types.contains(k))
    }
}

struct Planner<'a> {
    problem: &'a Problem,
    timelines: Vec<MachineTimeline>,
    teams: Vec<Team>,
    images: Vec<Vec<u32>>,
    /// Machines where some job may still find a place.
    open_machines: Vec<usize>,
    /// The least that any job needs and how long the shortest runs.
    smallest_need: (Resources, f64),
    misfits: Vec<KnownMisfit>,
    /// One of each sort of work that may be stopped.
    preemptible: Vec<RunningTask>,
    /// Jobs for which their teams' room is kept.
    reserved_machines: Vec<usize>,
    /// Looks at a machine for a job, as a measure of the effort.
    steps: u64,
}

/// More barriers than this are not kept; looking through them has to stay
/// cheaper than what they save.
const MOST_BARRIERS: usize = 24;

impl<'a> Planner<'a> {
    fn new(p: &'a Problem) -> Self {
        let slots = p
            .machines
            .iter()
            .map(|m| {
                let mut busy = m.running.clone();
                busy.sort_by(|a, b| a.ends_at.total_cmp(&b.ends_at));
                let mut rest = m.free;
                busy.iter().for_each(|b| rest.add(&b.resources));
                MachineTimeline {
                    free: m.free,
                    running: busy,
                    reserved: Vec::new(),
                    unreserved: rest,
                    last_end: 0.0,
                }
            })
            .collect();
        let mut least = (Resources::new(f64::MAX, f64::MAX, f64::MAX), f64::MAX);
        for j in &p.jobs {
            least.0.cores = least.0.cores.min(j.resources.cores);
            least.0.accelerators = least.0.accelerators.min(j.resources.accelerators);
            least.0.memory_gb = least.0.memory_gb.min(j.resources.memory_gb);
            least.1 = least.1.min(j.run_s);
        }
        let mut preys: Vec<RunningTask> = Vec::new();
        for b in p.machines.iter().flat_map(|m| &m.running).filter(|b| b.preemption.is_some()) {
            if !preys
                .iter()
                .any(|x| (x.priority, x.team, x.within_guarantee) == (b.priority, b.team, b.within_guarantee))
            {
                preys.push(*b);
            }
        }
        least.1 *= p.machines.iter().map(|m| m.slowness).fold(1.0, f64::min);
        Planner {
            problem: p,
            timelines: slots,
            teams: p.teams.clone(),
            images: p.machines.iter().map(|m| m.images.clone()).collect(),
            open_machines: (0..p.machines.len()).collect(),
            smallest_need: least,
            misfits: Vec::new(),
            preemptible: preys,
            reserved_machines: Vec::new(),
            steps: 0,
        }
    }

    /// Forgets the machines that nobody can get any more.
    fn drop_full_machines(&mut self) {
        let (now, slots, (least, run)) = (self.problem.now, &self.timelines, &self.smallest_need);
        self.open_machines.retain(|&m| !slots[m].is_full(now, least, *run));
    }

    fn record_misfit(&mut self, job: &Job) {
        // What one job avoids another may use.
        if !job.excluded_machines.is_empty() {
            return;
        }
        // An array bound to a zone looks into the one where it runs already.
        let bound = job.one_zone && job.shape != Shape::Gang;
        if self.misfits.len() < MOST_BARRIERS && job.max_per_zone.is_none() && !bound {
            let slowest = self.problem.instance_types.iter().map(|t| t.fetch_gb_per_s).filter(|r| *r > 0.0);
            let fetch = job.image_gb / slowest.fold(f64::MAX, f64::min);
            self.misfits.push(KnownMisfit::of(job, job.run_s + fetch));
        }
    }

    fn fetch_s(&self, job: &Job, m: usize) -> f64 {
        if self.images[m].contains(&job.image) {
            return 0.0;
        }
        let rate = self.problem.instance_types[self.problem.machines[m].instance_type].fetch_gb_per_s;
        if rate > 0.0 {
            job.image_gb / rate
        } else {
            0.0
        }
    }

    fn allowed(&self, job: &Job, m: usize) -> bool {
        self.can_host(job, m) && !job.excluded_machines.contains(&m)
    }

    /// Whether the job may run on machine `m` at all.
    fn can_host(&self, job: &Job, m: usize) -> bool {
        let machine = &self.problem.machines[m];
        job.instance_types.contains(&machine.instance_type)
            && (!machine.spot || job.spot)
            && (machine.spot || !job.spot_only)
            && job.zone.is_none_or(|z| z == machine.zone)
    }

    /// Earliest place of one task on machine `m`. Earlier ends come first,
    /// coarsely; then the cheaper machine; then the fuller one.
    fn option(&self, job: &Job, m: usize) -> Option<PlacementOption> {
        if !self.allowed(job, m) {
            return None;
        }
        let machine = &self.problem.machines[m];
        let run = (self.fetch_s(job, m) + job.run_s) * machine.slowness;
        let at = self.timelines[m].earliest_start(self.problem.now, machine.ready_at, &job.resources, run)?;
        Some(PlacementOption { machine: m, starts_at: at, rank: self.rank(job, m) })
    }

    /// How well a task fits machine `m`, the smaller the better.
    fn rank(&self, job: &Job, m: usize) -> (f64, f64) {
        let machine = &self.problem.machines[m];
        let fetch = self.fetch_s(job, m);
        let t = &self.problem.instance_types[machine.instance_type];
        let side = f64::from(t.size.instances_that_fit(&job.resources).max(1));
        let price = if machine.spot { t.spot_price } else { t.price };
        let mut left = self.timelines[m].free;
        left.subtract(&job.resources);
        // Dear machines are kept for those that need them: an ordinary one
        // ranks behind any spot machine for a job that may use either.
        let cost = price / side * (job.run_s * machine.slowness + fetch);
        let empty = left.cores / t.size.cores.max(SLACK) + left.accelerators / t.size.accelerators.max(SLACK);
        (cost * (1.0 + OPENING * empty), empty)
    }

    fn fits_team_quota(&self, job: &Job, tasks: u32) -> bool {
        let t = &self.teams[job.team];
        let need = job.resources.scaled(f64::from(tasks));
        t.cores_left.is_none_or(|x| need.cores <= x + SLACK)
            && t.accelerators_left.is_none_or(|x| need.accelerators <= x + SLACK)
    }

    /// Keeps what is left of its team's limit for a job that the limit has no room for yet, if enough
    /// of the team's work is expected to end in time. (What came free under a full limit once went to
    /// the team's small jobs, and its largest gang never began.)
    fn reserve_team_quota(&mut self, i: usize) -> bool {
        let job = &self.problem.jobs[i];
        let n = if job.shape == Shape::Gang { job.pending_tasks.len() as u32 } else { 1 };
        if self.problem.now >= job.reserves_until || self.fits_team_quota(job, n) {
            return false;
        }
        let ending = self.timelines.iter().flat_map(|s| &s.running);
        let ending = ending.filter(|b| b.team == job.team && !b.endless && b.ends_at <= job.reserves_until);
        let mut freed = Resources::new(0.0, 0.0, 0.0);
        ending.for_each(|b| freed.add(&b.resources));
        let need = job.resources.scaled(f64::from(n));
        let t = &mut self.teams[job.team];
        let enough =
            |left: Option<f64>, freed: f64, need: f64| left.is_none_or(|x| need <= x + freed + SLACK);
        let in_time = enough(t.cores_left, freed.cores, need.cores)
            && enough(t.accelerators_left, freed.accelerators, need.accelerators);
        if in_time {
            self.reserved_machines.push(i);
            t.cores_left = t.cores_left.map(|x| x - need.cores);
            t.accelerators_left = t.accelerators_left.map(|x| x - need.accelerators);
        }
        in_time
    }

    fn occupy(&mut self, job: &Job, m: usize, at: f64, end: f64) {
        if at <= self.problem.now {
            self.timelines[m].free.subtract(&job.resources);
            let busy = &mut self.timelines[m].running;
            let place = busy.partition_point(|b| b.ends_at <= end);
            let (takes, band, team, covered) = (job.resources, job.priority, job.team, job.guaranteed);
            let endless = job.shape == Shape::Service;
            busy.insert(
                place,
                RunningTask {
                    ends_at: end,
                    endless,
                    resources: takes,
                    priority: band,
                    team,
                    within_guarantee: covered,
                    preemption: None,
                },
            );
            if !self.images[m].contains(&job.image) {
                self.images[m].push(job.image);
            }
            let t = &mut self.teams[job.team];
            if let Some(x) = &mut t.cores_left {
                *x -= job.resources.cores;
            }
            if let Some(x) = &mut t.accelerators_left {
                *x -= job.resources.accelerators;
            }
        } else {
            let slot = &mut self.timelines[m];
            slot.reserved.push((at, job.resources));
            slot.unreserved.subtract(&job.resources);
            slot.last_end = slot.last_end.max(at);
        }
    }

    /// Options on every machine of `kind` and `zone`, in no order.
    fn options(&mut self, job: &Job, kind: Option<usize>, zone: Option<usize>) -> Vec<PlacementOption> {
        self.steps += self.open_machines.len() as u64;
        self.open_machines
            .iter()
            .filter(|&&m| kind.is_none_or(|k| self.problem.machines[m].instance_type == k))
            .filter(|&&m| zone.is_none_or(|z| self.problem.machines[m].zone == z))
            .filter_map(|&m| self.option(job, m))
            .collect()
    }

    /// Places for `n` gang tasks at once: on distinct capacity, in one zone
    /// if asked for, none over the zone cap. Returns machines and the start.
    fn gang_places(
        &mut self,
        job: &Job,
        n: usize,
        kind: Option<usize>,
        zone: Option<usize>,
    ) -> Option<(Vec<usize>, f64)> {
        let mut options = self.options(job, kind, zone);
        options.sort_unstable();
        let mut load = job.placed_per_zone.clone();
        load.resize(self.problem.zones, 0);
        let mut chosen = Vec::with_capacity(n);
        let mut start = self.problem.now;
        for o in &options {
            let machine = &self.problem.machines[o.machine];
            let room = self.timelines[o.machine].free.instances_that_fit(&job.resources).max(1);
            let room = if o.starts_at > self.problem.now { 1 } else { room };
            for _ in 0..room {
                if chosen.len() == n {
                    break;
                }
                if job.max_per_zone.is_some_and(|c| load[machine.zone] >= c) {
                    break;
                }
                load[machine.zone] += 1;
                chosen.push(o.machine);
                start = start.max(o.starts_at);
            }
        }
        (chosen.len() == n).then_some((chosen, start))
    }

    /// Plans one job. Returns its reservation, if it gets one, having
    /// occupied what it takes; starts of now are pushed to `plan`.
    fn reserve(&mut self, i: usize, windows: &[Option<f64>], plan: &mut Plan) -> Option<Reservation> {
        let job = &self.problem.jobs[i];
        if job.not_before > self.problem.now || job.pending_tasks.is_empty() {
            return None;
        }
        self.steps += 1;
        let taken = if job.waits_beside_capacity { self.start_on_free_capacity(i, plan) } else { 0 };
        if taken == job.pending_tasks.len() || self.misfits.iter().any(|b| b.covers(job)) {
            return None;
        }
        if self.reserve_team_quota(i) {
            return None;
        }
        match job.shape {
            Shape::Gang => self.reserve_gang(i, windows, plan),
            Shape::Array | Shape::Service => self.reserve_tasks(i, taken, windows, plan),
        }
    }

    /// Whether a start at `soonest` lies inside the window of any type that
    /// the job may use.
    fn window_is_reachable(&self, windows: &[Option<f64>], job: &Job, soonest: f64) -> bool {
        soonest < f64::MAX && job.instance_types.iter().any(|&k| self.is_inside_window(windows, k, soonest))
    }

    fn is_inside_window(&self, windows: &[Option<f64>], kind: usize, start: f64) -> bool {
        start <= self.problem.now || windows[kind].is_none_or(|w| start <= w)
    }

    fn reserve_gang(&mut self, i: usize, windows: &[Option<f64>], plan: &mut Plan) -> Option<Reservation> {
        let p = self.problem;
        let job = &p.jobs[i];
        let n = job.pending_tasks.len();
        if !self.fits_team_quota(job, n as u32) {
            return None;
        }
        let mut soonest = f64::MAX;
        // A configuration that meets the deadline beats one that does not; of
        // those that do, a start now beats a later one and then the cheapest
        // wins; if none does, the one that ends first.
        let mut best: Option<GangChoice> = None;
        for (kind, price) in configurations(&p.instance_types, job) {
            let zones: Vec<Option<usize>> =
                if job.one_zone { (0..self.problem.zones).map(Some).collect() } else { vec![None] };
            for zone in zones {
                let Some((machines, start)) = self.gang_places(job, n, Some(kind), zone) else { continue };
                soonest = soonest.min(start);
                let fetch = machines.iter().map(|&m| self.fetch_s(job, m)).fold(0.0, f64::max);
                let slow = machines.iter().map(|&m| self.problem.machines[m].slowness).fold(1.0, f64::max);
                let end = start + fetch + job.run_s * slow;
                let late = end > job.deadline;
                let ordinary = machines.iter().filter(|&&m| !self.problem.machines[m].spot).count();
                let t = &self.problem.instance_types[kind];
                let dearer = if job.spot && t.spot_price > 0.0 { t.price / t.spot_price } else { 1.0 };
                let share = ordinary as f64 / n as f64;
                let cost = price * (1.0 + share * (dearer - 1.0)) * (fetch + job.run_s * slow);
                // Machines gather in one zone, unless another has them all: where they were half
                // gathered others took them.
                let elsewhere = start > p.now && job.assembly_zone.is_some_and(|z| zone != Some(z));
                let key = if late {
                    (true, false, end, cost)
                } else {
                    (false, start > self.problem.now, cost, end)
                };
                let key = (elsewhere, key.0, key.1, key.2, key.3);
                if best.as_ref().is_none_or(|b| key.partial_cmp(&b.key) == Some(Ordering::Less)) {
                    best = Some(GangChoice {
                        key,
                        instance_type: kind,
                        machines,
                        starts_at: start,
                        ends_at: end,
                    });
                }
            }
        }
        let patience = self.problem.now + self.problem.preemption_wait_s;
        if !job.probing && best.as_ref().is_none_or(|b| b.starts_at > patience) {
            if let Some(r) = self.reserve_by_preemption(i, plan) {
                return Some(r);
            }
        }
        if soonest > patience && !self.window_is_reachable(windows, job, soonest) {
            self.record_misfit(job);
        }
        let GangChoice { instance_type: kind, machines, starts_at: start, ends_at: end, .. } = best?;
        if !self.is_inside_window(windows, kind, start) || job.probing && start > p.now {
            return None;
        }
        if let (true, true, Some(&m)) =
            (job.starvation_relief && job.one_zone, start > p.now, machines.first())
        {
            plan.gang_assembly = Some((i, p.machines[m].zone));
        }
        // What has gathered for an overdue gang stands ready: short work that was let in before the
        // last of its places came free ended later than it should, again and again.
        let ready = start > p.now && start <= job.reserves_until;
        let from = if ready { p.now + SLACK } else { start };
        for (slot, &m) in machines.iter().enumerate() {
            if start <= self.problem.now {
                plan.starts.push(Start { job: i, task: job.pending_tasks[slot], machine: m });
            }
            self.occupy(job, m, from, end);
        }
        self.drop_full_machines();
        Some(Reservation { job: i, instance_type: kind, starts_at: start, ends_at: end, sets_window: false })
    }

    /// Has less urgent work stopped where that costs least, and reserves the
    /// places that come free for gang `i` (an exception: Cura stops nothing).
    fn reserve_by_preemption(&mut self, i: usize, plan: &mut Plan) -> Option<Reservation> {
        let p = self.problem;
        let job = &p.jobs[i];
        let n = job.pending_tasks.len();
        let mut options: Vec<(f64, usize, f64, Vec<usize>)> = Vec::new();
        self.steps += self.open_machines.len() as u64;
        for &m in &self.open_machines {
            let machine = &p.machines[m];
            if !self.allowed(job, m) || machine.ready_at > p.now || !self.timelines[m].reserved.is_empty() {
                continue;
            }
            let mut victims: Vec<(usize, PreemptionCandidate, Resources)> = self.timelines[m]
                .running
                .iter()
                .enumerate()
                .filter_map(|(at, b)| b.preemption.filter(|_| may_stop(job, b)).map(|v| (at, v, b.resources)))
                .collect();
            victims.sort_by(|a, b| a.1.lost_work_s.total_cmp(&b.1.lost_work_s));
            let mut free = self.timelines[m].free;
            let (mut lost, mut stop, mut chosen) = (0.0, 0.0f64, Vec::new());
            for (at, v, takes) in victims {
                if free.fits(&job.resources) {
                    break;
                }
                free.add(&takes);
                // Lost work counts by the share of the machine that it held.
                lost +=
                    v.lost_work_s * share(&takes, &self.problem.instance_types[machine.instance_type].size);
                stop = stop.max(v.stop_s);
                chosen.push(at);
            }
            if free.fits(&job.resources) {
                // An image at hand is worth its fetch on the whole machine.
                options.push((lost + stop + 2.0 * self.fetch_s(job, m), m, stop, chosen));
            }
        }
        options.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let zones: Vec<Option<usize>> =
            if job.one_zone { (0..self.problem.zones).map(Some).collect() } else { vec![None] };
        let mut best: Option<(f64, Vec<usize>)> = None;
        for zone in zones {
            let mut load = job.placed_per_zone.clone();
            load.resize(self.problem.zones, 0);
            let (mut cost, mut picked) = (0.0, Vec::new());
            for (at, (c, m, ..)) in options.iter().enumerate() {
                let z = self.problem.machines[*m].zone;
                let full = job.max_per_zone.is_some_and(|cap| load[z] >= cap);
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
        let (mut start, mut end) = (self.problem.now, self.problem.now);
        let kind = picked.first().map_or(0, |&at| p.machines[options[at].1].instance_type);
        for at in picked {
            let (_, m, stop, chosen) = options[at].clone();
            let begin = self.problem.now + stop.max(SLACK);
            // Changed in place and sorted again afterwards: taking entries out
            // and putting them in front once moved the numbers of the others,
            // and the wrong work was stopped.
            for b in chosen {
                let taken = &mut self.timelines[m].running[b];
                if let Some(v) = taken.preemption.take() {
                    plan.preemptions.push(v.owner);
                }
                (taken.ends_at, taken.endless) = (begin, false);
            }
            self.timelines[m].running.sort_by(|a, b| a.ends_at.total_cmp(&b.ends_at));
            let fetch = self.fetch_s(job, m);
            start = start.max(begin);
            end = end.max(begin + fetch + job.run_s);
            self.occupy(job, m, begin, begin + fetch + job.run_s);
        }
        self.drop_full_machines();
        Some(Reservation { job: i, instance_type: kind, starts_at: start, ends_at: end, sets_window: false })
    }

    /// Of an array or a service; its first `taken` tasks have their places.
    fn reserve_tasks(
        &mut self,
        i: usize,
        taken: usize,
        windows: &[Option<f64>],
        plan: &mut Plan,
    ) -> Option<Reservation> {
        let p = self.problem;
        let job = &p.jobs[i];
        if !self.fits_team_quota(job, 1) {
            return None;
        }
        let mut load = job.placed_per_zone.clone();
        load.resize(p.zones, 0);
        plan.starts.iter().rev().take(taken).for_each(|s| load[p.machines[s.machine].zone] += 1);
        let mut zone = if job.one_zone {
            let held = load.iter().position(|&n| n > 0);
            held.or_else(|| self.best_zone(job))
        } else {
            None
        };
        let mut span: Option<Reservation> = None;
        // The tasks are alike and taking a place changes one machine's option
        // only, so the machines are looked at once, not once for every task.
        let mut heap: BinaryHeap<Reverse<PlacementOption>> =
            self.options(job, None, zone).into_iter().map(Reverse).collect();
        // Zones are kept by the plain search only.
        let mut stoppable = !job.probing && !job.best_effort && !job.one_zone && job.max_per_zone.is_none();
        stoppable &= self.preemptible.iter().any(|b| may_stop(job, b));
        // What is not guaranteed waits as long as it would still be in time.
        let mut until = p.now + p.preemption_wait_s;
        if !job.guaranteed {
            until = until.max(job.deadline - job.run_s);
        }
        let mut tasks = job.pending_tasks[taken..].iter();
        while let Some(&task) = tasks.as_slice().first() {
            if !self.fits_team_quota(job, 1) {
                break;
            }
            let found = loop {
                let Some(Reverse(o)) = heap.pop() else { break None };
                let z = p.machines[o.machine].zone;
                if zone.is_none_or(|only| only == z) && job.max_per_zone.is_none_or(|c| load[z] < c) {
                    break Some(o);
                }
            };
            if stoppable && found.is_none_or(|o| o.starts_at > until) {
                stoppable = false;
                let most = tasks.as_slice().len();
                if let Some((got, r)) = self.preempt_for_tasks(i, most, plan) {
                    tasks.nth(got - 1);
                    span.get_or_insert(r);
                    heap = self.options(job, None, zone).into_iter().map(Reverse).collect();
                } else {
                    heap.extend(found.map(Reverse));
                }
                continue;
            }
            if span.is_none() {
                let soonest = found.map_or(f64::MAX, |o| o.starts_at);
                if !self.window_is_reachable(windows, job, soonest) {
                    self.record_misfit(job);
                }
            }
            let Some(o) = found else { break };
            let machine = &p.machines[o.machine];
            if !self.is_inside_window(windows, machine.instance_type, o.starts_at)
                || job.probing && o.starts_at > p.now
            {
                break;
            }
            tasks.next();
            let end = o.starts_at + self.fetch_s(job, o.machine) + job.run_s * machine.slowness;
            if o.starts_at <= p.now {
                plan.starts.push(Start { job: i, task, machine: o.machine });
            }
            load[machine.zone] += 1;
            if job.one_zone {
                zone = Some(machine.zone);
            }
            let kind = machine.instance_type;
            self.occupy(job, o.machine, o.starts_at, end);
            self.steps += 1;
            heap.extend(self.option(job, o.machine).map(Reverse));
            let r = span.get_or_insert(Reservation {
                job: i,
                instance_type: kind,
                starts_at: o.starts_at,
                ends_at: end,
                sets_window: false,
            });
            r.starts_at = r.starts_at.min(o.starts_at);
            r.ends_at = r.ends_at.max(end);
            if o.starts_at > p.now && end <= job.deadline {
                plan.on_time += 1;
            }
        }
        if span.is_some() {
            self.drop_full_machines();
        }
        span
    }

    /// Has work stopped that `may_stop` allows, where it costs least for each of
    /// up to `left` tasks of array `i` that get its place.
    fn preempt_for_tasks(&mut self, i: usize, left: usize, plan: &mut Plan) -> Option<(usize, Reservation)> {
        let p = self.problem;
        let job = &p.jobs[i];
        self.steps += self.open_machines.len() as u64;
        // Cost for each task, machine, how many tasks, victims, until when.
        let mut options: Vec<(f64, usize, u32, Vec<usize>, f64)> = Vec::new();
        for &m in &self.open_machines {
            let machine = &p.machines[m];
            if !self.allowed(job, m) || machine.ready_at > p.now || !self.timelines[m].reserved.is_empty() {
                continue;
            }
            let size = &p.instance_types[machine.instance_type].size;
            let mut free = self.timelines[m].free;
            let (mut lost, mut stop, mut chosen) = (0.0, 0.0f64, Vec::new());
            for (at, b) in self.timelines[m].running.iter().enumerate() {
                let Some(v) = b.preemption.filter(|_| may_stop(job, b)) else { continue };
                if free.instances_that_fit(&job.resources) as usize >= left {
                    break;
                }
                free.add(&b.resources);
                lost += v.lost_work_s * share(&b.resources, size);
                stop = stop.max(v.stop_s);
                chosen.push(at);
            }
            let tasks = free.instances_that_fit(&job.resources);
            if tasks > 0 && !chosen.is_empty() {
                let each = (lost + stop + self.fetch_s(job, m)) / f64::from(tasks);
                options.push((each, m, tasks, chosen, stop));
            }
        }
        options.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let (mut got, mut span) = (0, None);
        for (_, m, tasks, chosen, stop) in options {
            if got == left || !self.fits_team_quota(job, 1) {
                break;
            }
            let begin = p.now + stop.max(SLACK);
            for at in chosen {
                let b = &mut self.timelines[m].running[at];
                if let Some(v) = b.preemption.take() {
                    plan.preemptions.push(v.owner);
                }
                (b.ends_at, b.endless) = (begin, false);
            }
            self.timelines[m].running.sort_by(|a, b| a.ends_at.total_cmp(&b.ends_at));
            let end = begin + self.fetch_s(job, m) + job.run_s;
            for _ in 0..(tasks as usize).min(left - got) {
                if self.fits_team_quota(job, 1) {
                    self.occupy(job, m, begin, end);
                    got += 1;
                    plan.on_time += u32::from(end <= job.deadline);
                }
            }
            let kind = p.machines[m].instance_type;
            span.get_or_insert(Reservation {
                job: i,
                instance_type: kind,
                starts_at: begin,
                ends_at: end,
                sets_window: false,
            });
        }
        Some((got, span?)).filter(|(got, _)| *got > 0)
    }

    /// The zone that can take most of an array bound to one zone now.
    fn best_zone(&self, job: &Job) -> Option<usize> {
        let mut room = vec![0u32; self.problem.zones];
        for &m in &self.open_machines {
            let machine = &self.problem.machines[m];
            if self.allowed(job, m) && machine.ready_at <= self.problem.now {
                room[machine.zone] += self.timelines[m].free.instances_that_fit(&job.resources);
            }
        }
        let best = (0..self.problem.zones).max_by_key(|&z| (room[z], usize::MAX - z))?;
        (room[best] > 0).then_some(best)
    }
}

/// Makes the plan: the top job is reserved first, its end (capped by the
/// bound) fixes its type's window, the others follow by falling priority if
/// they start inside their type's window.
pub fn plan(p: &Problem) -> Plan {
    let mut plan = Plan { order: order(p), ..Plan::default() };
    let mut planner = Planner::new(p);
    let mut windows: Vec<Option<f64>> = vec![None; p.instance_types.len()];
    let mut open: Vec<usize> = Vec::new();
    for i in plan.order.clone() {
        let before = plan.starts.len();
        plan.on_time = 0;
        if let Some(mut r) = planner.reserve(i, &windows, &mut plan) {
            // What is under its floor decides nothing for others.
            if windows[r.instance_type].is_none() && !p.jobs[i].starvation_relief {
                windows[r.instance_type] = Some(r.ends_at.min(p.now + p.max_window_s));
                r.sets_window = true;
            }
            if p.jobs[i].shape == Shape::Gang && r.ends_at <= p.jobs[i].deadline {
                plan.on_time = p.jobs[i].pending_tasks.len() as u32;
            }
            plan.reservations.push(r);
        }
        let started = (plan.starts.len() - before) as u32;
        let left = p.jobs[i].pending_tasks.len() as u32 - started;
        if left > 0 && p.jobs[i].not_before <= p.now {
            open.push(i);
        }
        if left > 0 && p.jobs[i].not_before <= p.now && !p.jobs[i].probing {
            plan.unmet.push(UnmetDemand {
                job: i,
                tasks: left,
                late_tasks: left.saturating_sub(plan.on_time),
            });
        }
    }
    plan.waiting_beside_capacity = planner.jobs_waiting_beside_capacity(&open);
    planner.drop_demand_over_quota(&mut plan.unmet);
    plan.steps = planner.steps + p.machines.len() as u64 + p.jobs.len() as u64;
    plan
}
