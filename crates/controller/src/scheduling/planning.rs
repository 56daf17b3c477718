//! Between the leader's knowledge and the planner's: what waits and what
//! there is goes in; placements, stops and the fleet's targets come out.

use crate::autoscaling::fleet::MachinePool;
use crate::autoscaling::zonal_demand::{zones_of, AvailableCapacity, CapacityRequest, ZonalDemand};
use crate::leader::state::Role;
use crate::model::job::{Job, Placement};
use crate::model::machine::Machine;
use crate::model::records::StoredPlacement;
use crate::scheduling::effective_priority::EffectivePriority;
use crate::scheduling::starvation::{GangReservation, StarvationGuard};
use crate::Controller;
use planner::starvation::StarvationPolicy;
use planner::{PreemptionCandidate, Problem, Resources, RunningTask};
use protocol::cloud::MachineType;
use protocol::job::{JobSpec, Priority, Shape};
use protocol::worker::{split_task, TaskState, TaskStatus};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use tracing::{debug, info};

/// What was learned of a class: how its run times compare to the estimates.
#[derive(Debug, Clone, Default)]
pub struct ClassStats {
    log_ratio: f64,
    samples: u32,
    /// What was asked of its jobs by those that needed them.
    pub inherited_demand: crate::scheduling::effective_priority::InheritedDemand,
    /// Times of the last arrivals.
    arrivals: VecDeque<f64>,
    /// Where its jobs run cheapest: pool, machines per job (running means of
    /// the number and of its square), and the pool's boot time.
    pub typical_demand: Option<TypicalDemand>,
}

#[derive(Debug, Clone)]
pub struct TypicalDemand {
    pub pool: MachinePool,
    pub machines: f64,
    pub mean_square: f64,
    pub boot_s: f64,
}

/// Arrivals that the rate of a class is taken from.
const ARRIVALS: usize = 8;

impl ClassStats {
    pub fn record_run(&mut self, ratio: f64) {
        self.samples += 1;
        let weight = 1.0 / f64::from(self.samples.min(20) + 2);
        self.log_ratio += (ratio.clamp(0.1, 10.0).ln() - self.log_ratio) * weight;
    }
    pub fn record_arrival(&mut self, at: f64, pool: Option<(MachinePool, f64, f64)>) {
        self.arrivals.push_back(at);
        if self.arrivals.len() > ARRIVALS {
            self.arrivals.pop_front();
        }
        if let Some((pool, machines, boot_s)) = pool {
            let squared = machines * machines;
            let usual = self.typical_demand.get_or_insert(TypicalDemand {
                pool: pool.clone(),
                machines,
                mean_square: squared,
                boot_s,
            });
            usual.machines += (machines - usual.machines) / 4.0;
            usual.mean_square += (squared - usual.mean_square) / 8.0;
            (usual.pool, usual.boot_s) = (pool, boot_s);
        }
    }

    /// Jobs a second, lately. A silence well beyond the usual gap takes it
    /// down, so that no reserve outlives the demand.
    pub fn arrival_rate(&self, now: f64) -> f64 {
        let (Some(first), Some(last)) = (self.arrivals.front(), self.arrivals.back()) else { return 0.0 };
        let n = self.arrivals.len() as f64;
        let mean = n / (now - first).max(60.0);
        mean.min(1.5 / (now - last).max(1e-3))
    }

    pub fn run_time_ratio(&self) -> f64 {
        self.log_ratio.exp()
    }
}

pub(crate) fn needs(spec: &JobSpec) -> Resources {
    Resources::new(spec.cores, spec.accelerators, spec.memory_gb)
}

fn size_of(machine_type: &MachineType) -> Resources {
    Resources::new(machine_type.cores, machine_type.accelerators, machine_type.memory_gb)
}

/// What a second of such a task costs on a machine that is full of them.
fn task_price(machine_type: &MachineType, need: &Resources, spot: bool) -> Option<f64> {
    let side = size_of(machine_type).instances_that_fit(need);
    let price = if spot { machine_type.spot_price } else { machine_type.price };
    (side > 0 && price > 0.0).then(|| price / f64::from(side))
}

/// The same where it is cheapest.
fn lowest_price(types: &[MachineType], spec: &JobSpec) -> Option<f64> {
    let allowed = types.iter().filter(|t| spec.machine_types.as_ref().is_none_or(|l| l.contains(&t.name)));
    allowed.filter_map(|t| task_price(t, &needs(spec), spec.spot)).min_by(f64::total_cmp)
}

pub(crate) fn band(spec: &JobSpec) -> u8 {
    match spec.priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Production => 3,
    }
}

/// Standard deviations of the surplus of arrivals that a reserve covers.
const SURPLUS: f64 = 1.5;

/// From sending a stop until its place can be given anew, about.
const STOP_S: f64 = 1.5;

/// What stopping a running task would lose, and how long it would take; None
/// if it is not to be stopped for others. A gang of several tasks is left
/// alone: its orderly stop costs all of its machines.
fn victim(job: &Job, placement: &Placement, now: f64) -> Option<(f64, f64)> {
    let stoppable = placement.observed_state.is_some()
        && placement.stopping.is_none()
        && !job.is_final()
        && (job.spec.shape != Shape::Gang || job.spec.tasks == 1);
    if !stoppable {
        return None;
    }
    let ran = placement.running_since.map_or(0.0, |s| now - s);
    if job.spec.checkpoint_interval_s > 0.0 {
        Some((job.spec.save_s, job.spec.save_s + STOP_S))
    } else {
        Some((ran, STOP_S))
    }
}

/// Most tasks of one job that one planning round looks at; gangs are looked at whole.
const MOST_TASKS: usize = 256;
/// Most jobs that one planning round looks at.
const MOST_JOBS: usize = 1000;
/// Most sorts of jobs that nobody waits for of which one plan finds that no place is free for them.
const MOST_FRUITLESS: usize = 16;
/// Steps of planning that a whole core may be asked for in a second. A step takes
/// about a twelfth of a microsecond (measured), so planning stays within a sixth of the
/// share. A fifth of this figure let plans come every half second under a backlog.
const PLAN_STEPS: f64 = 2_000_000.0;

/// Part of the fleet that classes and teams get together which have waited long
/// and hold almost nothing: a twentieth, less than what urgent work loses to the
/// fetches of its images.
const FLOOR: f64 = 0.05;

/// What laying out a machine and a place for the plan costs, in its steps. (Not
/// counted, plans of a large fleet with little waiting took the whole share.)
const STEPS_A_MACHINE: u64 = 8;
const STEPS_A_PLACE: u64 = 3;

impl Controller {
    /// Whether a job that went first because it was overdue has only just begun: until it has run for a
    /// lease it is not stopped. (The one task that an array got after minutes was once stopped for more
    /// urgent work before it had its image, again and again.)
    fn is_late_starter(&self, job: &Job) -> bool {
        let (now, lease_s) = (self.now, self.settings.params.workers.lease_s);
        let first = job.spec.shape == Shape::Gang || job.placements.len() == 1;
        let begun = job.done_count > 0 || job.first_start.is_some_and(|at| now - at > lease_s);
        first && !begun && now - job.ready_at > self.timing.starvation_wait_s
    }

    pub(crate) fn expected_run(&self, job: &Job, ratio: f64) -> f64 {
        let full = if job.spec.shape == Shape::Service { 3600.0 } else { job.spec.estimated_run_s * ratio };
        (full - job.progress_s).max(full * 0.1).max(1.0)
    }

    /// Notes a job's arrival for its class's reserve.
    pub(crate) fn record_arrival(&mut self, spec: &JobSpec, at: f64) {
        // No machine is kept ready for what nobody waits for.
        if self.is_best_effort(spec) {
            return;
        }
        let need = needs(spec);
        let mut best: Option<(f64, MachinePool, f64, f64)> = None;
        for t in self.machine_types.iter().flatten() {
            let allowed = spec.machine_types.as_ref().is_none_or(|allowed| allowed.contains(&t.name));
            let side = size_of(t).instances_that_fit(&need);
            if !allowed || side == 0 {
                continue;
            }
            let n = f64::from(side);
            let price = if spec.spot { t.spot_price } else { t.price };
            let machines = f64::from(spec.tasks.min(1000)) / n;
            if best.as_ref().is_none_or(|b| price / n < b.0) {
                best = Some((price / n, (t.name.clone(), spec.spot), machines, t.boot_s));
            }
        }
        let Role::Leader(leader) = &mut self.role else { return };
        let stats = leader.planning.classes.entry(spec.class.clone()).or_default();
        stats.record_arrival(at, best.map(|(_, pool, machines, boot)| (pool, machines, boot)));
    }

    pub(crate) fn tick_planning(&mut self) {
        let now = self.now;
        let tick = self.timing.planning_interval_s;
        let entitled = self.may_act();
        let Some(types) = self.machine_types.clone() else { return };
        let Role::Leader(leader) = &mut self.role else { return };
        let due = leader.planning.needed || now - leader.planning.planned_at >= tick;
        if !due || now < leader.planning.next_plan_at || !entitled || !leader.fleet.listed_once {
            return;
        }
        let zones = zones_of(&types);
        let Role::Leader(leader) = &self.role else { return };
        let ratio = |class: &str| leader.planning.classes.get(class).map_or(1.0, ClassStats::run_time_ratio);
        // Machines: what their places take, and until when.
        let mut names: Vec<String> = Vec::new();
        let mut machines: Vec<planner::Machine> = Vec::new();
        let mut index: HashMap<&str, usize> = HashMap::new();
        for m in leader.cluster.machines.values().filter(|m| m.accepts_work()) {
            let Some(kind) = types.iter().position(|t| t.name == m.machine_type) else { continue };
            let Some(zone) = zones.iter().position(|z| *z == m.zone) else { continue };
            if m.missed_heartbeats(now, &self.timing)
                || m.last_heard_at.is_none() && leader.fleet.zones.is_unreachable(&m.zone)
            {
                continue;
            }
            // What runs there takes nobody knows how much.
            let unread = |t: &TaskStatus| {
                t.state != TaskState::Exited
                    && split_task(&t.task).is_some_and(|(id, _)| leader.undecodable.contains_job(id))
            };
            if !leader.undecodable.is_empty() && m.tasks.iter().any(unread) {
                continue;
            }
            let t = &types[kind];
            let ready = match m.last_heard_at {
                Some(_) => now,
                None => (m.known_since + t.boot_s * 1.1).max(now + 2.0),
            };
            index.insert(&m.id, machines.len());
            names.push(m.id.clone());
            machines.push(planner::Machine {
                instance_type: kind,
                zone,
                spot: m.spot,
                ready_at: ready,
                free: size_of(t),
                running: Vec::new(),
                images: m.cached_images(t.cache_gb),
                slowness: m.slowness,
            });
        }
        let mut teams: Vec<planner::Team> = Vec::new();
        for t in &self.settings.params.teams {
            let cap = |x: f64| (x > 0.0).then_some(x);
            teams.push(planner::Team {
                cores_left: cap(t.cores_max),
                accelerators_left: cap(t.accelerators_max),
            });
        }
        let team_of = |name: &str| self.settings.params.teams.iter().position(|t| t.name == name);
        for (team, takes) in leader.undecodable_usage(now) {
            let Some(t) = team_of(team).filter(|_| self.checks.quota).map(|t| &mut teams[t]) else {
                continue;
            };
            t.cores_left = t.cores_left.map(|x| x - takes.cores);
            t.accelerators_left = t.accelerators_left.map(|x| x - takes.accelerators);
        }
        // Guarantees cover a team's unfinished jobs in the order they came.
        // What waits for others holds no part of them.
        let graph = &leader.dependencies.graph;
        let awaits = self.checks.dependency_order;
        let free = |(id, j): &(&String, &Job)| !(j.is_final() || awaits && graph.is_waiting(id));
        let mut by_age: Vec<(&String, &Job)> = leader.cluster.jobs.iter().filter(free).collect();
        by_age.sort_by(|a, b| a.1.ready_at.total_cmp(&b.1.ready_at).then(a.0.cmp(b.0)));
        let passed = self.inherited_priorities();
        let urgency = |id: &str, job: &Job| self.effective_priority(job, passed.get(id));
        let mut guaranteed: HashSet<&str> = HashSet::new();
        let mut covered: Vec<(f64, f64)> = vec![(0.0, 0.0); teams.len()];
        for (id, job) in &by_age {
            let s = &job.spec;
            let Some(team) = team_of(&s.team) else { continue };
            let open = f64::from(s.tasks - job.done_count);
            let t = &self.settings.params.teams[team];
            let c = (covered[team].0 + s.cores * open, covered[team].1 + s.accelerators * open);
            if (t.cores > 0.0 || t.accelerators > 0.0)
                && (t.cores == 0.0 || c.0 <= t.cores + 1e-6)
                && (t.accelerators == 0.0 || c.1 <= t.accelerators + 1e-6)
            {
                guaranteed.insert(id);
            }
            covered[team] = c;
        }
        let floor = StarvationPolicy {
            guaranteed_share: FLOOR,
            max_wait_s: self.timing.starvation_wait_s,
            reservation_s: self.timing.gang_reservation_s,
        };
        let mut floors =
            StarvationGuard::new(floor, machines.iter().map(|m| size_of(&types[m.instance_type])));
        let mut owners: Vec<(String, u32)> = Vec::new();
        let mut steps = STEPS_A_MACHINE * machines.len() as u64;
        // Machines by what is on them: work that somebody waits for, or not.
        let mut serious: HashSet<&str> = HashSet::new();
        let mut spare: HashSet<&str> = HashSet::new();
        for (id, job) in &leader.cluster.jobs {
            floors.add_usage(&job.spec, job.placements.len());
            let need = needs(&job.spec);
            let team = team_of(&job.spec.team);
            let run = self.expected_run(job, ratio(&job.spec.class));
            steps += STEPS_A_PLACE * job.placements.len() as u64 + 1;
            let is_guaranteed = guaranteed.contains(id.as_str());
            let urgent = urgency(id, job);
            let leftover = self.is_best_effort(&job.spec) && !is_guaranteed && !urgent.has_dependents;
            let spared = self.is_late_starter(job);
            for (task, p) in &job.placements {
                if leftover { &mut spare } else { &mut serious }.insert(&p.machine);
                if let Some(t) = team.filter(|_| self.checks.quota).map(|t| &mut teams[t]) {
                    if let Some(x) = &mut t.cores_left {
                        *x -= need.cores;
                    }
                    if let Some(x) = &mut t.accelerators_left {
                        *x -= need.accelerators;
                    }
                }
                if let Some(&m) = index.get(p.machine.as_str()) {
                    machines[m].free.subtract(&need);
                    let end = match (p.stopping, p.running_since) {
                        (Some((since, grace)), _) => since + grace + STOP_S,
                        (None, Some(s)) => (s + run).max(now + run * 0.1),
                        (None, None) => p.placed_at + run + 10.0,
                    };
                    let victim = victim(job, p, now).filter(|_| !spared).map(|(lost_s, stop_s)| {
                        owners.push((id.clone(), *task));
                        PreemptionCandidate { owner: owners.len() - 1, lost_work_s: lost_s, stop_s }
                    });
                    machines[m].running.push(RunningTask {
                        ends_at: end.max(now + 0.5),
                        endless: job.spec.shape == Shape::Service && p.stopping.is_none(),
                        resources: need,
                        priority: urgent.priority,
                        team: team.unwrap_or(usize::MAX),
                        within_guarantee: is_guaranteed,
                        preemption: victim,
                    });
                    if !machines[m].images.contains(&job.image_id) {
                        machines[m].images.push(job.image_id);
                    }
                }
            }
        }
        // What is kept ready for others is nothing for work that nobody waits for:
        // the emptiest machines of each pool, as many as its reserve.
        let mut kept: Vec<usize> = Vec::new();
        for ((name, spot), n) in &leader.fleet.reserve {
            let mut free: Vec<(f64, usize)> = machines
                .iter()
                .enumerate()
                .filter(|(i, m)| {
                    m.spot == *spot
                        && types[m.instance_type].name == *name
                        && !spare.contains(names[*i].as_str())
                })
                .map(|(i, m)| (m.free.accelerators + m.free.cores / 1e3, i))
                .filter(|f| f.0 > 0.0)
                .collect();
            free.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
            kept.extend(free.into_iter().take(*n as usize).map(|f| f.1));
        }
        let mut open_jobs: Vec<(EffectivePriority, usize, &String, &Job)> = Vec::new();
        let mut ids: Vec<String> = Vec::new();
        let mut jobs: Vec<planner::Job> = Vec::new();
        for (id, job) in by_age {
            let Some(team) = team_of(&job.spec.team) else { continue };
            if !job.has_no_pending_tasks() && !job.page_layout.is_changing() {
                open_jobs.push((urgency(id, job), team, id, job));
            }
        }
        // What nobody waits for takes half as many machines as other work has
        // had, unless there is no other work.
        let others = serious.len().max(leader.planning.peak_demanded_machines);
        let alone = serious.is_empty()
            && open_jobs.iter().all(|j| self.is_best_effort(&j.3.spec) && !j.0.has_dependents);
        let mut spare_left = if alone { usize::MAX } else { others.saturating_sub(spare.len()) };
        // Of a flood, the most urgent and then the oldest are looked at, first those whose team
        // is under its limit. (Taking the oldest alone once left urgent newcomers out.)
        let under_limit = |team: usize, s: &JobSpec| {
            let fits = |left: Option<f64>, need: f64| left.is_none_or(|x| need <= x + 1e-6);
            let t: &planner::Team = &teams[team];
            fits(t.cores_left, s.cores) && fits(t.accelerators_left, s.accelerators)
        };
        open_jobs.sort_by_key(|j| std::cmp::Reverse((under_limit(j.1, &j.3.spec), j.0.priority)));
        let free_for = |s: &JobSpec, m: &planner::Machine| {
            let kind =
                s.machine_types.as_ref().is_none_or(|allowed| allowed.contains(&types[m.instance_type].name));
            let there = s.zone.as_ref().is_none_or(|z| *z == zones[m.zone]) && (s.spot || !m.spot);
            kind && there && m.ready_at <= now && m.free.fits(&needs(s))
        };
        let alike = |a: &JobSpec, b: &JobSpec| {
            (needs(a), &a.machine_types, &a.zone, a.spot) == (needs(b), &b.machine_types, &b.zone, b.spot)
        };
        let mut fruitless: Vec<&JobSpec> = Vec::new();
        for (urgent, team, id, job) in open_jobs.into_iter().take(MOST_JOBS) {
            let s = &job.spec;
            let is_guaranteed = guaranteed.contains(id.as_str());
            let leftover = self.is_best_effort(s) && !is_guaranteed && !urgent.has_dependents;
            let suspect = job.is_suspected();
            // What nobody waits for gets one place that is free anyway in the end, if there is one.
            let left_over_long = leftover
                && self.checks.work_conservation
                && job.placements.is_empty()
                && now - job.ready_at > self.timing.max_idle_capacity_wait_s / 2.0
                && !fruitless.iter().any(|f| alike(f, s))
                && fruitless.len() < MOST_FRUITLESS
                && {
                    let sound = |at: usize| !job.failed_on.contains(&names[at]);
                    let free = machines.iter().enumerate().any(|(at, m)| free_for(s, m) && sound(at));
                    fruitless.extend(Some(s).filter(|_| !free && job.failed_on.is_empty()));
                    steps += machines.len() as u64;
                    free
                };
            let (leftover, probe) = (leftover && !left_over_long, suspect || left_over_long);
            let waiting = match (probe, s.shape) {
                (true, Shape::Array | Shape::Service) if !job.placements.is_empty() => continue,
                (true, Shape::Array | Shape::Service) => job.pending_tasks(1),
                // A gang is placed as a whole or not at all.
                (_, Shape::Gang) => job.pending_tasks(usize::MAX),
                _ => job.pending_tasks(MOST_TASKS),
            };
            let mut waiting = waiting;
            let mut kinds: Vec<usize> = (0..types.len())
                .filter(|&k| s.machine_types.as_ref().is_none_or(|allowed| allowed.contains(&types[k].name)))
                .collect();
            let mut spot_only = false;
            if leftover {
                // Without a deadline the cheapest configuration is Cura's choice;
                // others as far as they cost no more than work does on average.
                let task = |k: usize, spot: bool| task_price(&types[k], &needs(s), spot);
                let least =
                    lowest_price(&types, s).unwrap_or(0.0) * leader.planning.price_paid.max(1.0) + 1e-9;
                let spots = s.spot && types.iter().any(|t| t.spot_price > 0.0);
                let fit = |spot: bool| -> Vec<usize> {
                    kinds.iter().copied().filter(|&k| task(k, spot).is_some_and(|p| p <= least)).collect()
                };
                let ordinary = fit(false);
                spot_only = ordinary.is_empty() && spots;
                kinds = if spot_only { fit(true) } else { ordinary };
                let side = |k: usize| {
                    let t = &types[k];
                    size_of(t).instances_that_fit(&needs(s)) as usize
                };
                let side = kinds.iter().map(|&k| side(k)).max().unwrap_or(1).max(1);
                waiting.truncate(spare_left.saturating_mul(side));
                spare_left = spare_left.saturating_sub(waiting.len().div_ceil(side));
                if waiting.is_empty() {
                    continue;
                }
            }
            let mut zone_load = vec![0u32; zones.len()];
            let zoned = s.one_zone || s.spread;
            for p in job.placements.values().filter(|_| zoned) {
                let at = leader
                    .cluster
                    .machines
                    .get(&p.machine)
                    .and_then(|m| zones.iter().position(|z| *z == m.zone));
                if let Some(z) = at {
                    zone_load[z] += 1;
                }
            }
            // Its zones cannot be told while one of its machines is unknown.
            let unknown = zone_load.iter().sum::<u32>() < job.placements.len() as u32;
            if unknown && zoned {
                continue;
            }
            ids.push(id.clone());
            jobs.push(planner::Job {
                priority: urgent.priority,
                shape: match s.shape {
                    Shape::Array => planner::Shape::Array,
                    Shape::Gang => planner::Shape::Gang,
                    Shape::Service => planner::Shape::Service,
                },
                pending_tasks: waiting,
                resources: needs(s),
                run_s: self.expected_run(job, ratio(&s.class)),
                image: job.image_id,
                image_gb: s.image_gb,
                instance_types: kinds,
                zone: s.zone.as_ref().map(|z| zones.iter().position(|y| y == z).unwrap_or(usize::MAX)),
                one_zone: s.one_zone,
                max_per_zone: s.spread.then_some(s.tasks.div_ceil(2)),
                placed_per_zone: zone_load,
                spot: s.spot,
                submitted_at: job.ready_at,
                deadline: urgent.deadline,
                latest_useful_end: urgent.latest_useful_end,
                team,
                guaranteed: is_guaranteed,
                not_before: job.not_before,
                probing: probe,
                best_effort: leftover,
                starvation_relief: false,
                reserves_until: 0.0,
                assembly_zone: leader.planning.gang_reservation.zone_of(id),
                waits_beside_capacity: self.checks.work_conservation
                    && job.placements.is_empty()
                    && leader.planning.waiting_beside_capacity.has_waited(
                        id,
                        now,
                        self.timing.max_idle_capacity_wait_s,
                    ),
                spot_only,
                excluded_machines: job
                    .failed_on
                    .iter()
                    .filter(|_| !suspect)
                    .filter_map(|m| index.get(m.as_str()).copied())
                    .chain(kept.iter().copied().filter(|_| leftover))
                    .collect(),
            });
            // What nobody waits for has no floor, and what fails everywhere none either.
            if let Some(planned) = jobs.last().filter(|j| !j.best_effort && !j.probing) {
                let begun = !job.placements.is_empty() || job.first_start.is_some() || job.done_count > 0;
                floors.add_demand(jobs.len() - 1, s, planned, begun);
            }
        }
        let starving = floors.apply(now, &mut ids, &mut jobs);
        let spec = |owner: usize| leader.cluster.jobs.get(&owners[owner].0).map(|j| &j.spec);
        starving.protect_from_preemption(machines.iter_mut().flat_map(|m| &mut m.running), spec);
        // What is paid in proportion to what the running work would cost where it
        // is cheapest, over the last leases.
        let bill: f64 = leader
            .cluster
            .machines
            .values()
            .filter_map(|m| {
                let t = types.iter().find(|t| t.name == m.machine_type)?;
                Some(if m.spot { t.spot_price } else { t.price })
            })
            .sum();
        let worth: f64 = leader
            .cluster
            .jobs
            .values()
            .map(|j| {
                let running = j.placements.values().filter(|p| p.running_since.is_some()).count();
                running as f64 * lowest_price(&types, &j.spec).unwrap_or(0.0)
            })
            .sum();
        let weight = ((now - leader.planning.planned_at) / (self.settings.params.workers.lease_s * 3.0))
            .clamp(0.0, 1.0);
        let paid = if worth > 0.0 { (bill / worth).min(10.0) } else { leader.planning.price_paid };
        let price_paid = leader.planning.price_paid + (paid - leader.planning.price_paid) * weight;
        let problem = Problem {
            now,
            instance_types: types
                .iter()
                .map(|t| planner::InstanceType {
                    size: size_of(t),
                    price: t.price,
                    spot_price: t.spot_price,
                    fetch_gb_per_s: t.fetch_gb_per_s,
                })
                .collect(),
            zones: zones.len(),
            machines,
            jobs,
            teams,
            max_window_s: self.settings.params.workers.lease_s * 10.0,
            preemption_wait_s: if self.operator.preempt {
                self.settings.params.workers.heartbeat_interval_s
            } else {
                f64::MAX
            },
        };
        let made = planner::plan(&problem);
        let passed: Vec<(String, dependencies::InheritedPriority)> = passed.into_iter().collect();
        let effort = (made.steps + steps) as f64 / (PLAN_STEPS * self.settings.params.resources.cpu_share);
        if let Role::Leader(leader) = &mut self.role {
            leader.planning.gang_reservation =
                GangReservation(made.gang_assembly.map(|(i, zone)| (ids[i].clone(), zone)));
            leader
                .planning
                .waiting_beside_capacity
                .update(now, &made.waiting_beside_capacity.iter().map(|&i| ids[i].as_str()).collect());
            if leader.planning.starving_groups != starving {
                info!(?starving, "starving classes and teams changed");
                leader.planning.starving_groups = starving;
            }
            leader.planning.next_plan_at = now + effort.clamp(tick / 50.0, tick);
            leader.planning.peak_demanded_machines = others;
            for (id, p) in passed {
                if let Some(job) = leader.cluster.jobs.get_mut(&id) {
                    job.inherited_priority = Some(p);
                }
            }
            leader.planning.price_paid = price_paid;
        }
        self.apply_starts(&problem, &made, &names, &ids);
        self.apply_preemptions(&made.preemptions, &owners);
        self.set_desired_capacity(&problem, &made, &types);
    }

    fn apply_starts(&mut self, problem: &Problem, made: &planner::Plan, names: &[String], ids: &[String]) {
        let now = self.now;
        let too_early = !self.checks.dependency_order;
        let Role::Leader(leader) = &mut self.role else { return };
        leader.planning.needed = false;
        leader.planning.planned_at = now;
        if !made.starts.is_empty() {
            debug!(starts = made.starts.len(), reserved = made.reservations.len(), "plan applied");
        }
        let mut gangs: BTreeMap<usize, u64> = BTreeMap::new();
        let mut filled: HashMap<(usize, usize), usize> = HashMap::new();
        for s in &made.starts {
            // The one place where placements are made: none before all that the job awaits
            // is stored as done.
            if leader.dependencies.graph.is_waiting(&ids[s.job]) && !too_early {
                continue;
            }
            let Some(job) = leader.cluster.jobs.get(&ids[s.job]) else { continue };
            let attempt = if job.spec.shape == Shape::Gang {
                *gangs.entry(s.job).or_insert(job.attempt + 1)
            } else {
                job.attempt + 1
            };
            // A page holds what fits into one stored value; the rest waits.
            let page = job.page_of(s.task);
            let fill = filled.entry((s.job, page)).or_insert_with(|| job.placement_bytes(page));
            let more = StoredPlacement::size(s.task, attempt, &names[s.machine]);
            if *fill + more > job.placement_bytes_left(page) && job.spec.shape != Shape::Gang {
                continue;
            }
            *fill += more;
            leader.cluster.add_placement(&ids[s.job], s.task, &names[s.machine], attempt, now);
            leader.heartbeats.to_check.insert(names[s.machine].clone());
            leader.write_queue.write_now = true;
            if let Some(m) = leader.cluster.machines.get_mut(&names[s.machine]) {
                m.record_image(problem.jobs[s.job].image, now, problem.jobs[s.job].image_gb);
                m.idle_since = now;
            }
        }
    }

    fn apply_preemptions(&mut self, stops: &[usize], owners: &[(String, u32)]) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let mut told: BTreeMap<&String, u32> = BTreeMap::new();
        for (id, task) in stops.iter().filter_map(|&s| owners.get(s)) {
            let Some(job) = leader.cluster.jobs.get_mut(id) else { continue };
            let grace = if job.spec.checkpoint_interval_s > 0.0 { job.spec.save_s * 1.25 } else { 0.0 };
            let Some(p) = job.placements.get_mut(task) else { continue };
            p.stopping = Some((now, grace));
            *told.entry(id).or_insert(0) += 1;
            leader.pending_kills.add_job(id);
        }
        for (job, tasks) in told {
            info!(%job, tasks, "tasks preempted");
        }
    }

    /// How many machines each pool should have: what is used and waited for,
    /// and a reserve for what usually comes.
    fn set_desired_capacity(
        &mut self,
        problem: &Problem,
        made: &planner::Plan,
        types: &[protocol::cloud::MachineType],
    ) {
        let now = self.now;
        let (reserve_share, d, guards) = (self.operator.reserve, self.timing, self.checks);
        let Role::Leader(leader) = &mut self.role else { return };
        let mut rooms: BTreeMap<MachinePool, f64> = BTreeMap::new();
        // Machines without work, booting ones included, by type and zone.
        let placed: HashSet<&str> = leader
            .cluster
            .jobs
            .values()
            .flat_map(|j| j.placements.values())
            .map(|problem| problem.machine.as_str())
            .collect();
        let (mut at_hand, mut idle) = (AvailableCapacity::default(), AvailableCapacity::default());
        // What is out of reach is not there.
        let reach = &leader.fleet.zones;
        let there = |m: &&Machine| m.accepts_work() && !reach.is_unreachable(&m.zone);
        for m in leader.cluster.machines.values().filter(there).filter(|m| !placed.contains(m.id.as_str())) {
            at_hand.add(&m.machine_type, &m.zone, m.spot, 1);
            idle.add(&m.machine_type, &m.zone, m.spot, u32::from(m.last_heard_at.is_some()));
        }
        let zones = zones_of(types);
        let mut bound = ZonalDemand {
            now,
            types,
            zones: &zones,
            fleet: &leader.fleet,
            available: at_hand,
            idle,
            wanted_in_zone: BTreeMap::new(),
            assembling: BTreeMap::new(),
            need: BTreeMap::new(),
            additional: BTreeMap::new(),
        };
        let mut need: BTreeMap<MachinePool, f64> = BTreeMap::new();
        for u in &made.unmet {
            // Work that will be in time where it is planned needs no machine
            // more, unless its guarantee asks for a start now.
            let i = u.job;
            // What gathers for an overdue gang is kept, and what it lacks is rented.
            let gathers = made.gang_assembly.is_some_and(|(job, _)| job == i);
            let tasks = if problem.jobs[i].guaranteed || gathers { u.tasks } else { u.late_tasks };
            if tasks == 0 {
                continue;
            }
            let job = &problem.jobs[i];
            let mut pools: Vec<(f64, MachinePool, f64)> = Vec::new();
            for &k in &job.instance_types {
                let side = problem.instance_types[k].size.instances_that_fit(&job.resources);
                if side == 0 {
                    continue;
                }
                let n = f64::from(side);
                for spot in [true, false] {
                    if spot && !job.spot || !spot && job.spot_only {
                        continue;
                    }
                    let price = if spot {
                        problem.instance_types[k].spot_price
                    } else {
                        problem.instance_types[k].price
                    };
                    let pool = (types[k].name.clone(), spot);
                    rooms
                        .entry(pool.clone())
                        .or_insert_with(|| leader.fleet.available_machines(now, &types[k], spot));
                    pools.push((price / n, pool, n));
                }
            }
            pools.sort_by(|a, b| a.0.total_cmp(&b.0));
            let mut left = f64::from(tasks);
            let ask = CapacityRequest { job, tasks: left, pools: &pools };
            if guards.zonal_scale_out && bound.add_demand(&ask) {
                continue;
            }
            // (What it failed on may stand idle there, and is no machine of its own.)
            if job.one_zone && job.zone.is_none() && job.excluded_machines.is_empty() {
                left = bound.assemble_gang(&ask).unwrap_or(left);
            } else if guards.zonal_scale_out && job.shape == planner::Shape::Gang {
                bound.keep_idle(&ask);
            }
            // The cheapest first, and what it has not got from the next.
            for (_, pool, n) in pools {
                let Some(room) = rooms.get_mut(&pool) else { continue };
                let machines = (left / n).min(*room).max(0.0);
                *room -= machines;
                left -= machines * n;
                if machines > 0.0 {
                    *need.entry(pool).or_insert(0.0) += machines;
                }
            }
        }
        let ZonalDemand {
            wanted_in_zone: zoned, assembling: gathering, need: bound, additional: more, ..
        } = bound;
        for (pool, n) in bound {
            *need.entry(pool).or_insert(0.0) += n;
        }
        // A leader that acts again has not heard yet what was there before.
        let back = leader.leadership.tenure.entitled_for_s(now) < d.reappearance_wait_s;
        let mut used: BTreeMap<MachinePool, f64> = BTreeMap::new();
        // Machines that will take work without being rented: they boot, or are not heard again yet.
        let mut booting: BTreeMap<MachinePool, u32> = BTreeMap::new();
        let mut have: BTreeMap<MachinePool, u32> = BTreeMap::new();
        for m in leader.cluster.machines.values().filter(there) {
            let pool = (m.machine_type.clone(), m.spot);
            *have.entry(pool.clone()).or_insert(0) += 1;
            let unsure =
                guards.retain_silent_machines && m.last_heard_at.is_some() && m.missed_heartbeats(now, &d);
            let coming = m.last_heard_at.is_none() && !m.missed_heartbeats(now, &d)
                || unsure && (back || m.silence_s(now) < d.failure_suspicion_s);
            if coming && !placed.contains(m.id.as_str()) {
                *booting.entry(pool).or_insert(0) += 1;
            } else if placed.contains(m.id.as_str()) {
                *used.entry(pool).or_insert(0.0) += 1.0;
            }
        }
        // What usually comes while a machine boots, by pool: its mean and, as
        // jobs come and end like throws of dice, the variance of how many
        // machines' worth come less how many end.
        let mut usual: BTreeMap<MachinePool, (f64, f64)> = BTreeMap::new();
        for class in leader.planning.classes.values() {
            if let Some(u) = &class.typical_demand {
                let jobs = class.arrival_rate(now) * u.boot_s;
                let sums = usual.entry(u.pool.clone()).or_insert((0.0, 0.0));
                sums.0 += jobs * u.machines;
                sums.1 += 2.0 * jobs * u.mean_square;
            }
        }
        // Work that ends gives its machines to what comes, so with many jobs
        // only the surplus of a bad moment needs a reserve.
        let surplus =
            |pool: &MachinePool| usual.get(pool).map_or(0.0, |u| SURPLUS * u.1.sqrt() * reserve_share);
        let reserve = |pool: &MachinePool| {
            let mean = usual.get(pool).map_or(0.0, |u| u.0 * reserve_share);
            mean.min(surplus(pool))
        };
        let mut ample: BTreeMap<MachinePool, u32> = BTreeMap::new();
        let mut wanted: BTreeMap<MachinePool, u32> = BTreeMap::new();
        let mut target: BTreeMap<MachinePool, u32> = BTreeMap::new();
        for t in types {
            for spot in [true, false] {
                let pool = (t.name.clone(), spot);
                let n = need.get(&pool).copied().unwrap_or(0.0).ceil();
                let u = used.get(&pool).copied().unwrap_or(0.0);
                let r = reserve(&pool).round();
                let keep = u + n + r;
                let there = f64::from(have.get(&pool).copied().unwrap_or(0));
                target.insert(pool.clone(), keep as u32);
                ample.insert(pool.clone(), (u + n + surplus(&pool)).ceil() as u32);
                let coming = f64::from(booting.get(&pool).copied().unwrap_or(0));
                let missing = (keep - there).max(n - coming);
                if missing > 0.0 {
                    wanted.insert(pool, missing as u32);
                }
            }
        }
        let mut in_zones: BTreeMap<&MachinePool, u32> = BTreeMap::new();
        for ((pool, _), n) in &zoned {
            *in_zones.entry(pool).or_insert(0) += n;
        }
        for (pool, n) in in_zones.into_iter().filter(|(_, n)| *n > 0) {
            let w = wanted.entry(pool.clone()).or_insert(0);
            let more = more.get(pool).copied().unwrap_or(0);
            *w = (*w).max(n - more) + more;
        }
        leader.fleet.wanted_in_zone = zoned;
        leader.fleet.assembling_gang_machines = gathering;
        if wanted != leader.fleet.wanted && !wanted.is_empty() {
            info!(?wanted, waiting = made.unmet.len(), "scale-out requested");
        }
        leader.fleet.reserve = types
            .iter()
            .flat_map(|t| [true, false].map(|spot| (t.name.clone(), spot)))
            .map(|pool| (pool.clone(), reserve(&pool).round() as u32))
            .collect();
        leader.fleet.wanted = wanted;
        leader.fleet.desired_capacity = target;
        leader.fleet.generous_capacity = ample;
    }
}
