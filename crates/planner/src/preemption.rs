//! Preemption: less urgent work is stopped where that costs least. (An exception to Cura, which
//! stops nothing.)

use crate::plan::Reservation;
use crate::planner::{Planner, MIN_DELAY_S};
use crate::problem::{Job, PreemptionCandidate, RunningTask};
use crate::resources::Resources;
use crate::zones::{zone_choices, ZoneLoad};

/// Preemption for a gang counts a fetch this many times: an image that is there already is worth
/// its fetch on the whole machine.
const GANG_FETCH_WEIGHT: f64 = 2.0;

/// Whether `task` may be preempted for `job`: any less urgent work, and for a team's guaranteed
/// quota what another team runs beyond its own, unless that is more urgent. (Without that
/// exception the guaranteed jobs of one team once kept stopping the urgent jobs of another.)
pub(crate) fn may_preempt(job: &Job, task: &RunningTask) -> bool {
    let is_less_urgent = task.priority < job.priority;
    let claims_guarantee =
        job.guaranteed && !task.within_guarantee && task.team != job.team && task.priority == job.priority;
    is_less_urgent || claims_guarantee
}

/// A running task that may be preempted.
struct Victim {
    /// Its position in the machine's timeline.
    position: usize,
    candidate: PreemptionCandidate,
    resources: Resources,
}

/// Tasks to preempt on one machine, and what that frees and costs.
struct PreemptionSet {
    /// Resources that are free once all are stopped.
    free: Resources,
    /// Lost run time in seconds, each task's weighted by its share of the machine.
    lost_work_s: f64,
    /// Seconds until the last one has stopped.
    stop_s: f64,
    /// Positions in the machine's timeline.
    positions: Vec<usize>,
}

impl PreemptionSet {
    fn new(free: Resources) -> Self {
        PreemptionSet { free, lost_work_s: 0.0, stop_s: 0.0, positions: Vec::new() }
    }

    fn add(&mut self, victim: &Victim, machine_size: &Resources) {
        self.free.add(&victim.resources);
        self.lost_work_s += victim.candidate.lost_work_s * victim.resources.dominant_share_of(machine_size);
        self.stop_s = self.stop_s.max(victim.candidate.stop_s);
        self.positions.push(victim.position);
    }
}

/// Tasks that one machine could run after a preemption.
struct PreemptionOption {
    /// Cost for each task, in seconds.
    cost_per_task: f64,
    machine: usize,
    /// How many tasks it could run.
    tasks: usize,
    /// Seconds until the preempted work has stopped.
    stop_s: f64,
    /// What to preempt: positions in the machine's timeline.
    positions: Vec<usize>,
}

/// Tasks of an array that got capacity by preemption.
pub(crate) struct PreemptedTasks {
    /// How many there are; at least one.
    pub(crate) tasks: usize,
    /// The run of the first ones.
    pub(crate) reservation: Reservation,
}

/// Sorts the options, the cheapest first.
fn sort_by_cost(options: &mut [PreemptionOption]) {
    options.sort_by(|a, b| a.cost_per_task.total_cmp(&b.cost_per_task).then(a.machine.cmp(&b.machine)));
}

impl Planner<'_> {
    /// Preempts less urgent work for a gang and reserves what comes free.
    pub(crate) fn reserve_by_preemption(&mut self, job_index: usize) -> Option<Reservation> {
        let problem = self.problem;
        let job = &problem.jobs[job_index];
        self.plan.steps += self.open_machines.len() as u64;
        let candidates = self.open_machines.iter();
        let mut options: Vec<PreemptionOption> =
            candidates.filter_map(|&machine| self.gang_preemption_option(job, machine)).collect();
        sort_by_cost(&mut options);
        let picked = self.cheapest_gang_preemption(job, &options)?;
        let first_machine = picked.first().map(|option| option.machine);
        let mut reservation = Reservation {
            job: job_index,
            instance_type: first_machine.map_or(0, |machine| problem.machines[machine].instance_type),
            starts_at: problem.now,
            ends_at: problem.now,
            sets_window: false,
        };
        for option in picked {
            let starts_at = self.preempt(option);
            let ends_at = starts_at + self.fetch_s(job, option.machine) + job.run_s;
            self.occupy(job, option.machine, starts_at, ends_at);
            reservation.starts_at = reservation.starts_at.max(starts_at);
            reservation.ends_at = reservation.ends_at.max(ends_at);
        }
        self.drop_full_machines();
        Some(reservation)
    }

    /// Preempts work that `may_preempt` allows, where it costs least for each task, for up to
    /// `max_tasks` tasks of an array.
    pub(crate) fn preempt_for_tasks(&mut self, job_index: usize, max_tasks: usize) -> Option<PreemptedTasks> {
        let problem = self.problem;
        let job = &problem.jobs[job_index];
        self.plan.steps += self.open_machines.len() as u64;
        let candidates = self.open_machines.iter();
        let mut options: Vec<PreemptionOption> =
            candidates.filter_map(|&machine| self.array_preemption_option(job, machine, max_tasks)).collect();
        sort_by_cost(&mut options);
        let mut tasks = 0;
        let mut reservation = None;
        for option in &options {
            if tasks == max_tasks || !self.fits_team_quota(job, 1) {
                break;
            }
            let starts_at = self.preempt(option);
            let ends_at = starts_at + self.fetch_s(job, option.machine) + job.run_s;
            for _ in 0..option.tasks.min(max_tasks - tasks) {
                if self.fits_team_quota(job, 1) {
                    self.occupy(job, option.machine, starts_at, ends_at);
                    tasks += 1;
                    self.on_time_tasks += u32::from(ends_at <= job.deadline);
                }
            }
            reservation.get_or_insert(Reservation {
                job: job_index,
                instance_type: problem.machines[option.machine].instance_type,
                starts_at,
                ends_at,
                sets_window: false,
            });
        }
        let reservation = reservation?;
        (tasks > 0).then_some(PreemptedTasks { tasks, reservation })
    }

    /// Whether a job may preempt work on `machine` at all. Capacity behind a reservation belongs to
    /// the job that reserved it.
    fn may_preempt_on(&self, job: &Job, machine: usize) -> bool {
        self.is_allowed(job, machine)
            && self.problem.machines[machine].ready_at <= self.problem.now
            && !self.timelines[machine].has_reservations()
    }

    /// What the job may preempt on `machine`, the soonest end first.
    fn victims<'s>(&'s self, job: &'s Job, machine: usize) -> impl Iterator<Item = Victim> + 's {
        let running = self.timelines[machine].running.iter().enumerate();
        running.filter_map(move |(position, task)| {
            let candidate = task.preemption.filter(|_| may_preempt(job, task))?;
            Some(Victim { position, candidate, resources: task.resources })
        })
    }

    /// What to preempt on `machine` for one task of a gang, the least lost work first.
    fn gang_preemption_option(&self, job: &Job, machine: usize) -> Option<PreemptionOption> {
        if !self.may_preempt_on(job, machine) {
            return None;
        }
        let mut victims: Vec<Victim> = self.victims(job, machine).collect();
        victims.sort_by(|a, b| a.candidate.lost_work_s.total_cmp(&b.candidate.lost_work_s));
        let size = &self.problem.instance_types[self.problem.machines[machine].instance_type].size;
        let mut set = PreemptionSet::new(self.timelines[machine].free);
        for victim in &victims {
            if set.free.fits(&job.resources) {
                break;
            }
            set.add(victim, size);
        }
        if !set.free.fits(&job.resources) {
            return None;
        }
        let cost = set.lost_work_s + set.stop_s + GANG_FETCH_WEIGHT * self.fetch_s(job, machine);
        Some(PreemptionOption {
            cost_per_task: cost,
            machine,
            tasks: 1,
            stop_s: set.stop_s,
            positions: set.positions,
        })
    }

    /// What to preempt on `machine` for up to `max_tasks` tasks of an array, the soonest end first.
    fn array_preemption_option(
        &self,
        job: &Job,
        machine: usize,
        max_tasks: usize,
    ) -> Option<PreemptionOption> {
        if !self.may_preempt_on(job, machine) {
            return None;
        }
        let size = &self.problem.instance_types[self.problem.machines[machine].instance_type].size;
        let mut set = PreemptionSet::new(self.timelines[machine].free);
        for victim in self.victims(job, machine) {
            if set.free.instances_that_fit(&job.resources) as usize >= max_tasks {
                break;
            }
            set.add(&victim, size);
        }
        let tasks = set.free.instances_that_fit(&job.resources);
        if tasks == 0 || set.positions.is_empty() {
            return None;
        }
        let cost = set.lost_work_s + set.stop_s + self.fetch_s(job, machine);
        Some(PreemptionOption {
            cost_per_task: cost / f64::from(tasks),
            machine,
            tasks: tasks as usize,
            stop_s: set.stop_s,
            positions: set.positions,
        })
    }

    /// One option for each of the gang's tasks: the cheapest set that the job's zones admit.
    fn cheapest_gang_preemption<'o>(
        &self,
        job: &Job,
        options: &'o [PreemptionOption],
    ) -> Option<Vec<&'o PreemptionOption>> {
        let tasks = job.pending_tasks.len();
        let mut best: Option<(f64, Vec<&PreemptionOption>)> = None;
        for zone in zone_choices(job, self.problem.zones) {
            let mut load = ZoneLoad::of(job, self.problem.zones);
            let mut cost = 0.0;
            let mut picked = Vec::new();
            for option in options {
                let option_zone = self.problem.machines[option.machine].zone;
                let admitted = zone.is_none_or(|only| only == option_zone) && !load.is_full(option_zone);
                if picked.len() < tasks && admitted {
                    load.add(option_zone, 1);
                    cost += option.cost_per_task;
                    picked.push(option);
                }
            }
            if picked.len() == tasks && best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, picked));
            }
        }
        best.map(|(_, picked)| picked)
    }

    /// Preempts what the option names. Returns when its resources are free.
    fn preempt(&mut self, option: &PreemptionOption) -> f64 {
        let free_at = self.problem.now + option.stop_s.max(MIN_DELAY_S);
        let task_ids = self.timelines[option.machine].preempt(&option.positions, free_at);
        self.plan.preemptions.extend(task_ids);
        free_at
    }
}
