//! Between the leader's knowledge and the planner's: what waits and what
//! there is goes in; placements, stops and the fleet's targets come out.

use crate::fleet::Pool;
use crate::job::Job;
use crate::leader::Role;
use crate::machine::Life;
use crate::Core;
use plan::{Amounts, Busy, Problem};
use std::collections::BTreeMap;
use tracing::{debug, info};
use wire::job::{JobSpec, Priority, Shape};

/// What was learned of a class: how its run times compare to the estimates.
#[derive(Debug, Clone, Default)]
pub struct ClassStats {
    log_ratio: f64,
    samples: u32,
}

impl ClassStats {
    pub fn learn(&mut self, ratio: f64) {
        self.samples += 1;
        let weight = 1.0 / f64::from(self.samples.min(20) + 2);
        self.log_ratio += (ratio.clamp(0.1, 10.0).ln() - self.log_ratio) * weight;
    }
    pub fn ratio(&self) -> f64 {
        self.log_ratio.exp()
    }
}

pub(crate) fn needs(s: &JobSpec) -> Amounts {
    Amounts::new(s.cores, s.accelerators, s.memory_gb)
}

/// Most tasks of one job that one planning round looks at.
const MOST_TASKS: usize = 256;
/// Most jobs that one planning round looks at.
const MOST_JOBS: usize = 400;

impl Core {
    fn expected_run(&self, job: &Job, ratio: f64) -> f64 {
        let full = if job.spec.shape == Shape::Service { 3600.0 } else { job.spec.estimate_s * ratio };
        (full - job.progress_s).max(full * 0.1).max(1.0)
    }

    fn deadline(&self, job: &Job) -> f64 {
        let s = &job.spec;
        if let Some(d) = s.due_s {
            return job.submitted + d;
        }
        let within = |kind: &str| {
            self.settings
                .params
                .objectives
                .iter()
                .find(|o| o.kind == kind && o.class.as_deref() == Some(&s.class))
                .and_then(|o| o.within_s)
        };
        // Its class's aims stand in for a deadline: done by one aim, or
        // started by the other and then run.
        let done = within("finished");
        let started = within("wait").map(|w| w + s.estimate_s);
        match (done, started) {
            (Some(a), Some(b)) => job.submitted + a.min(b),
            (Some(a), None) | (None, Some(a)) => job.submitted + a,
            (None, None) => f64::MAX / 4.0,
        }
    }

    pub(crate) fn plan_on_time(&mut self) {
        let now = self.now;
        let tick = self.d.tick_s;
        let entitled = self.entitled();
        let Some(types) = self.types.clone() else { return };
        let Role::Leader(l) = &self.role else { return };
        let due = (l.plan_dirty && now - l.planned_at >= 0.03) || now - l.planned_at >= tick;
        if !due || !entitled || !l.fleet.listed_once {
            return;
        }
        let mut zones: Vec<String> = Vec::new();
        for z in types.iter().flat_map(|t| &t.zones) {
            if !zones.contains(z) {
                zones.push(z.clone());
            }
        }
        let ratio = |class: &str| l.classes.get(class).map_or(1.0, ClassStats::ratio);
        // Machines: what their places take, and until when.
        let mut names: Vec<String> = Vec::new();
        let mut machines: Vec<plan::Machine> = Vec::new();
        let mut index: BTreeMap<&str, usize> = BTreeMap::new();
        for m in l.machines.values().filter(|m| m.takes_work()) {
            let Some(kind) = types.iter().position(|t| t.name == m.machine_type) else { continue };
            let Some(zone) = zones.iter().position(|z| *z == m.zone) else { continue };
            let silent = m.life == Life::Up && now - m.heard.unwrap_or(m.since) > self.d.silent_s / 2.0;
            if silent {
                continue;
            }
            let t = &types[kind];
            let ready = match m.life {
                Life::Up => now,
                _ => (m.since + t.boot_s * 1.1).max(now + 2.0),
            };
            index.insert(&m.id, machines.len());
            names.push(m.id.clone());
            machines.push(plan::Machine {
                kind,
                zone,
                spot: m.spot,
                ready,
                free: Amounts::new(t.cores, t.accelerators, t.memory_gb),
                busy: Vec::new(),
                images: m.images.keys().cloned().collect(),
                slowness: m.slowness,
            });
        }
        let mut teams: Vec<plan::Team> = Vec::new();
        for t in &self.settings.params.teams {
            let cap = |x: f64| (x > 0.0).then_some(x);
            teams.push(plan::Team {
                cores_left: cap(t.cores_max),
                accelerators_left: cap(t.accelerators_max),
            });
        }
        let team_of = |name: &str| self.settings.params.teams.iter().position(|t| t.name == name);
        for job in l.jobs.values() {
            let need = needs(&job.spec);
            let team = team_of(&job.spec.team);
            for p in job.places.values() {
                if let Some(t) = team.map(|t| &mut teams[t]) {
                    if let Some(x) = &mut t.cores_left {
                        *x -= need.cores;
                    }
                    if let Some(x) = &mut t.accelerators_left {
                        *x -= need.accelerators;
                    }
                }
                if let Some(&m) = index.get(p.machine.as_str()) {
                    machines[m].free.take(&need);
                    let run = self.expected_run(job, ratio(&job.spec.class));
                    let end = match p.running_since {
                        Some(s) => (s + run).max(now + run * 0.1),
                        None => p.placed_at + run + 10.0,
                    };
                    machines[m].busy.push(Busy { end: end.max(now + 1.0), takes: need });
                    if !machines[m].images.contains(&job.spec.image) {
                        machines[m].images.push(job.spec.image.clone());
                    }
                }
            }
        }
        // Guarantees cover a team's unfinished jobs in the order they came.
        let mut by_age: Vec<(&String, &Job)> = l.jobs.iter().filter(|(_, j)| !j.is_final()).collect();
        by_age.sort_by(|a, b| a.1.submitted.total_cmp(&b.1.submitted).then(a.0.cmp(b.0)));
        let mut covered: Vec<(f64, f64)> = vec![(0.0, 0.0); teams.len()];
        let mut ids: Vec<String> = Vec::new();
        let mut jobs: Vec<plan::Job> = Vec::new();
        for (id, job) in by_age {
            let s = &job.spec;
            let Some(team) = team_of(&s.team) else { continue };
            let open = f64::from(s.tasks - job.done_count);
            let t = &self.settings.params.teams[team];
            let c = (covered[team].0 + s.cores * open, covered[team].1 + s.accelerators * open);
            let guaranteed = (t.cores > 0.0 || t.accelerators > 0.0)
                && (t.cores == 0.0 || c.0 <= t.cores + 1e-6)
                && (t.accelerators == 0.0 || c.1 <= t.accelerators + 1e-6);
            covered[team] = c;
            let waiting = job.waiting(MOST_TASKS);
            if waiting.is_empty() || jobs.len() >= MOST_JOBS {
                continue;
            }
            let mut zone_load = vec![0u32; zones.len()];
            for p in job.places.values() {
                let at = l.machines.get(&p.machine).and_then(|m| zones.iter().position(|z| *z == m.zone));
                if let Some(z) = at {
                    zone_load[z] += 1;
                }
            }
            // Its zones cannot be told while one of its machines is unknown.
            let unknown = zone_load.iter().sum::<u32>() < job.places.len() as u32;
            if unknown && (s.one_zone || s.spread) {
                continue;
            }
            ids.push(id.clone());
            jobs.push(plan::Job {
                band: match s.priority {
                    Priority::Low => 0,
                    Priority::Normal => 1,
                    Priority::High => 2,
                    Priority::Production => 3,
                },
                shape: match s.shape {
                    Shape::Array => plan::Shape::Array,
                    Shape::Gang => plan::Shape::Gang,
                    Shape::Service => plan::Shape::Service,
                },
                waiting,
                needs: needs(s),
                run_s: self.expected_run(job, ratio(&s.class)),
                image: s.image.clone(),
                image_gb: s.image_gb,
                kinds: (0..types.len())
                    .filter(|&k| s.types.as_ref().is_none_or(|l| l.contains(&types[k].name)))
                    .collect(),
                zone: s.zone.as_ref().map(|z| zones.iter().position(|y| y == z).unwrap_or(usize::MAX)),
                one_zone: s.one_zone,
                zone_cap: s.spread.then_some(s.tasks.div_ceil(2)),
                zone_load,
                spot: s.spot,
                submitted: job.submitted,
                deadline: self.deadline(job),
                team,
                guaranteed,
                not_before: job.not_before,
            });
        }
        let problem = Problem {
            now,
            types: types
                .iter()
                .map(|t| plan::Type {
                    size: Amounts::new(t.cores, t.accelerators, t.memory_gb),
                    price: t.price,
                    spot_price: t.spot_price,
                    fetch_gb_per_s: t.fetch_gb_per_s,
                })
                .collect(),
            zones: zones.len(),
            machines,
            jobs,
            teams,
            bound_s: self.settings.params.workers.lease_s * 10.0,
        };
        let made = plan::plan(&problem);
        self.carry_out(&problem, &made, &names, &ids);
        self.set_targets(&problem, &made, &types);
    }

    fn carry_out(&mut self, p: &Problem, made: &plan::Plan, names: &[String], ids: &[String]) {
        let now = self.now;
        let Role::Leader(l) = &mut self.role else { return };
        l.plan_dirty = false;
        l.planned_at = now;
        if !made.starts.is_empty() {
            debug!(starts = made.starts.len(), reserved = made.reservations.len(), "planned");
        }
        let mut gangs: BTreeMap<usize, u64> = BTreeMap::new();
        for s in &made.starts {
            let Some(job) = l.jobs.get_mut(&ids[s.job]) else { continue };
            let attempt = if job.spec.shape == Shape::Gang {
                *gangs.entry(s.job).or_insert(job.attempt + 1)
            } else {
                job.attempt + 1
            };
            job.add_place(s.task, &names[s.machine], attempt, now);
            if let Some(m) = l.machines.get_mut(&names[s.machine]) {
                m.images.insert(p.jobs[s.job].image.clone(), now);
                m.idle_since = now;
            }
        }
    }

    /// How many machines each pool should have: what is used and waited for,
    /// and a reserve for what usually comes.
    fn set_targets(&mut self, p: &Problem, made: &plan::Plan, types: &[wire::cloud::MachineType]) {
        let now = self.now;
        let Role::Leader(l) = &mut self.role else { return };
        let mut need: BTreeMap<Pool, f64> = BTreeMap::new();
        for &(i, tasks) in &made.unmet {
            let job = &p.jobs[i];
            let mut pools: Vec<(f64, Pool, f64)> = Vec::new();
            for &k in &job.kinds {
                let side = p.types[k].size.count(&job.needs);
                if side == 0 {
                    continue;
                }
                let n = f64::from(side);
                for spot in [true, false] {
                    if spot && !job.spot {
                        continue;
                    }
                    let price = if spot { p.types[k].spot_price } else { p.types[k].price };
                    if l.fleet.available(now, &types[k], spot) {
                        pools.push((price / n, (types[k].name.clone(), spot), n));
                    }
                }
            }
            pools.sort_by(|a, b| a.0.total_cmp(&b.0));
            if let Some((_, pool, n)) = pools.into_iter().next() {
                *need.entry(pool).or_insert(0.0) += f64::from(tasks) / n;
            }
        }
        let mut used: BTreeMap<Pool, f64> = BTreeMap::new();
        let mut booting: BTreeMap<Pool, u32> = BTreeMap::new();
        let mut have: BTreeMap<Pool, u32> = BTreeMap::new();
        let placed: std::collections::BTreeSet<&str> =
            l.jobs.values().flat_map(|j| j.places.values()).map(|p| p.machine.as_str()).collect();
        for m in l.machines.values().filter(|m| m.takes_work()) {
            let pool = (m.machine_type.clone(), m.spot);
            *have.entry(pool.clone()).or_insert(0) += 1;
            if m.life == Life::Booting {
                *booting.entry(pool).or_insert(0) += 1;
            } else if placed.contains(m.id.as_str()) {
                *used.entry(pool).or_insert(0.0) += 1.0;
            }
        }
        let step = (now - l.fleet.usage_at).clamp(0.0, 10.0);
        l.fleet.usage_at = now;
        let weight = step / 90.0;
        let mut wanted: BTreeMap<Pool, u32> = BTreeMap::new();
        let mut target: BTreeMap<Pool, u32> = BTreeMap::new();
        for t in types {
            for spot in [true, false] {
                let pool = (t.name.clone(), spot);
                let n = need.get(&pool).copied().unwrap_or(0.0).ceil();
                let u = used.get(&pool).copied().unwrap_or(0.0);
                let level = l.fleet.usage.entry(pool.clone()).or_insert(0.0);
                let current = u + n;
                // Quick to grow, slow to forget.
                let w = if current > *level { (weight * 3.0).min(1.0) } else { weight };
                *level += (current - *level) * w;
                let keep = current.max((*level + level.sqrt()).ceil());
                let there = f64::from(have.get(&pool).copied().unwrap_or(0));
                target.insert(pool.clone(), keep as u32);
                let missing = (keep - there).max(n - f64::from(booting.get(&pool).copied().unwrap_or(0)));
                if missing > 0.0 && (spot || t.price > 0.0) {
                    wanted.insert(pool, missing as u32);
                }
            }
        }
        if wanted != l.fleet.wanted && !wanted.is_empty() {
            info!(?wanted, waiting = made.unmet.len(), "fleet wanted");
        }
        l.fleet.wanted = wanted;
        l.fleet.target = target;
    }
}
