//! Preemption of less urgent work where that costs least. This extends Cura, which never preempts.

use crate::plan::Reservation;
use crate::planner::{Planner, MIN_DELAY_S};
use crate::problem::{Job, PreemptionCandidate, RunningTask};
use crate::resources::Resources;
use crate::zones::{zone_choices, ZoneLoad};

/// Weight of the image fetch in the cost of a preemption for a gang: a machine that already holds the
/// image saves the fetch time on the whole machine.
const GANG_FETCH_WEIGHT: f64 = 2.0;

/// Whether `task` may be preempted for `job`. A job may preempt any work of lower priority. A job
/// covered by its team's guaranteed quota may also preempt work of its own priority that another team
/// runs beyond its guarantee. More urgent work is exempt: otherwise the guaranteed jobs of one team
/// kept preempting the urgent jobs of another.
pub(crate) fn may_preempt(job: &Job, task: &RunningTask) -> bool {
    let is_less_urgent = task.priority < job.priority;
    let claims_guarantee =
        job.guaranteed && !task.within_guarantee && task.team != job.team && task.priority == job.priority;
    is_less_urgent || claims_guarantee
}

/// Running task that may be preempted.
struct Victim {
    /// Position of the task in the machine's timeline.
    position: usize,
    candidate: PreemptionCandidate,
    resources: Resources,
}

/// Tasks to preempt on one machine, with the resources that this frees and its cost.
struct PreemptionSet {
    /// Free resources of the machine once all tasks of the set have stopped.
    free: Resources,
    /// Lost run time in seconds, weighted by each task's share of the machine.
    lost_work_s: f64,
    /// Seconds until the last task has stopped.
    stop_s: f64,
    /// Positions of the tasks in the machine's timeline.
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

/// Possible preemption on one machine, and the tasks that the machine could run after it.
struct PreemptionOption {
    /// Cost per task that could run, in seconds.
    cost_per_task: f64,
    machine: usize,
    /// Number of tasks that the machine could run.
    tasks: usize,
    /// Seconds until the preempted work has stopped.
    stop_s: f64,
    /// Positions of the tasks to preempt in the machine's timeline.
    positions: Vec<usize>,
}

/// Result of a preemption for an array.
pub(crate) struct PreemptedTasks {
    /// Number of the array's tasks that got capacity; at least one.
    pub(crate) tasks: usize,
    /// Expected run of the tasks on the first machine.
    pub(crate) reservation: Reservation,
}

/// Sorts the options by cost, cheapest first.
fn sort_by_cost(options: &mut [PreemptionOption]) {
    options.sort_by(|a, b| a.cost_per_task.total_cmp(&b.cost_per_task).then(a.machine.cmp(&b.machine)));
}

impl Planner<'_> {
    /// Preempts less urgent work for a gang and reserves the capacity that this frees.
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

    /// Preempts work for up to `max_tasks` tasks of an array, on the machines with the lowest cost per
    /// task. Only work that [`may_preempt`] allows is preempted.
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

    /// Whether a job may preempt work on `machine` at all. On a machine with a reservation, capacity
    /// that becomes free belongs to the job that reserved it.
    fn may_preempt_on(&self, job: &Job, machine: usize) -> bool {
        self.is_allowed(job, machine)
            && self.problem.machines[machine].ready_at <= self.problem.now
            && !self.timelines[machine].has_reservations()
    }

    /// Returns the tasks that the job may preempt on `machine`, in ascending order of their end.
    fn victims<'s>(&'s self, job: &'s Job, machine: usize) -> impl Iterator<Item = Victim> + 's {
        let running = self.timelines[machine].running.iter().enumerate();
        running.filter_map(move |(position, task)| {
            let candidate = task.preemption.filter(|_| may_preempt(job, task))?;
            Some(Victim { position, candidate, resources: task.resources })
        })
    }

    /// Selects the tasks to preempt on `machine` for one task of a gang, least lost work first.
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

    /// Selects the tasks to preempt on `machine` for up to `max_tasks` tasks of an array, earliest
    /// end first.
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

    /// Returns the cheapest set of options, one for each of the gang's tasks, that satisfies the
    /// job's zone constraints.
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
                let is_admitted =
                    zone.is_none_or(|required| required == option_zone) && !load.is_full(option_zone);
                if picked.len() < tasks && is_admitted {
                    load.add(option_zone, 1);
                    cost += option.cost_per_task;
                    picked.push(option);
                }
            }
            if picked.len() == tasks && best.as_ref().is_none_or(|(lowest_cost, _)| cost < *lowest_cost) {
                best = Some((cost, picked));
            }
        }
        best.map(|(_, picked)| picked)
    }

    /// Preempts the tasks of the option. Returns the time at which their resources are free.
    fn preempt(&mut self, option: &PreemptionOption) -> f64 {
        let free_at = self.problem.now + option.stop_s.max(MIN_DELAY_S);
        let task_ids = self.timelines[option.machine].preempt(&option.positions, free_at);
        self.plan.preemptions.extend(task_ids);
        free_at
    }
}
