//! Reservations for arrays and services, whose tasks are placed one by one.

use crate::placement::PlacementOption;
use crate::plan::{Reservation, Start};
use crate::planner::Planner;
use crate::preemption::may_preempt;
use crate::problem::{Job, Problem};
use crate::zones::ZoneLoad;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Placement options of a job's next task, the best one on top.
type OptionHeap = BinaryHeap<Reverse<PlacementOption>>;

/// State of placing the tasks of an array or a service.
struct TaskSearch<'p> {
    job_index: usize,
    job: &'p Job,
    zone_load: ZoneLoad,
    /// Zone to which the job is bound.
    zone: Option<usize>,
    /// Remaining placement options. All tasks have the same requirements, and placing one changes only
    /// the options on its machine, so each machine is examined once for the job instead of once for
    /// each task.
    options: OptionHeap,
    /// Whether preemption is possible and has not been tried yet.
    may_preempt: bool,
    /// Latest start that is acceptable without preemption. A task that would start later preempts less
    /// urgent work.
    latest_acceptable_start: f64,
    /// Reservation from the first task's start to the last task's end.
    reservation: Option<Reservation>,
}

impl TaskSearch<'_> {
    /// Removes and returns the best option that satisfies the job's zone constraints.
    fn next_option(&mut self, problem: &Problem) -> Option<PlacementOption> {
        while let Some(Reverse(option)) = self.options.pop() {
            let zone = problem.machines[option.machine].zone;
            if self.zone.is_none_or(|required| required == zone) && !self.zone_load.is_full(zone) {
                return Some(option);
            }
        }
        None
    }

    /// Extends the job's reservation to include a task that runs from `starts_at` to `ends_at`.
    fn extend_reservation(&mut self, instance_type: usize, starts_at: f64, ends_at: f64) {
        let reservation = self.reservation.get_or_insert(Reservation {
            job: self.job_index,
            instance_type,
            starts_at,
            ends_at,
            sets_window: false,
        });
        reservation.starts_at = reservation.starts_at.min(starts_at);
        reservation.ends_at = reservation.ends_at.max(ends_at);
    }
}

impl<'a> Planner<'a> {
    /// Reserves capacity for the tasks of an array or a service, except for its first `started`
    /// pending tasks, which this plan already starts.
    pub(crate) fn reserve_tasks(&mut self, job_index: usize, started: usize) -> Option<Reservation> {
        let job = &self.problem.jobs[job_index];
        if !self.fits_team_quota(job, 1) {
            return None;
        }
        let mut search = self.task_search(job_index, started);
        let mut pending = &job.pending_tasks[started..];
        while let Some((&task, remaining)) = pending.split_first() {
            if !self.fits_team_quota(job, 1) {
                break;
            }
            let candidate = search.next_option(self.problem);
            let starts_soon_enough =
                candidate.is_some_and(|option| option.starts_at <= search.latest_acceptable_start);
            if search.may_preempt && !starts_soon_enough {
                let placed = self.try_preemption(&mut search, candidate, pending.len());
                pending = &pending[placed..];
                continue;
            }
            if search.reservation.is_none() {
                self.record_unplaceable_outside_windows(job, candidate);
            }
            let Some(option) = candidate.filter(|option| self.may_use(job, option)) else { break };
            self.place_task(&mut search, task, option);
            pending = remaining;
        }
        if search.reservation.is_some() {
            self.drop_full_machines();
        }
        search.reservation
    }

    fn task_search(&mut self, job_index: usize, started: usize) -> TaskSearch<'a> {
        let problem = self.problem;
        let job = &problem.jobs[job_index];
        let mut zone_load = ZoneLoad::of(job, problem.zones);
        for start in self.plan.starts.iter().rev().take(started) {
            zone_load.add(problem.machines[start.machine].zone, 1);
        }
        let zone = if job.one_zone { zone_load.first_used().or_else(|| self.best_zone(job)) } else { None };
        // Preemption for arrays ignores zone constraints, so it is not used for jobs that have them.
        let has_zone_rules = job.one_zone || job.max_per_zone.is_some();
        let may_preempt = !job.probing
            && !job.best_effort
            && !has_zone_rules
            && self.preemptible.iter().any(|task| may_preempt(job, task));
        // Work that is not covered by a guarantee waits as long as it can still meet its deadline.
        let mut latest_acceptable_start = problem.now + problem.preemption_wait_s;
        if !job.guaranteed {
            latest_acceptable_start = latest_acceptable_start.max(job.deadline - job.run_s);
        }
        TaskSearch {
            job_index,
            job,
            zone_load,
            zone,
            options: self.option_heap(job, zone),
            may_preempt,
            latest_acceptable_start,
            reservation: None,
        }
    }

    fn option_heap(&mut self, job: &Job, zone: Option<usize>) -> OptionHeap {
        self.placement_options(job, None, zone).into_iter().map(Reverse).collect()
    }

    /// Preempts less urgent work for up to `pending` tasks. Returns the number of tasks placed.
    fn try_preemption(
        &mut self,
        search: &mut TaskSearch,
        candidate: Option<PlacementOption>,
        pending: usize,
    ) -> usize {
        search.may_preempt = false;
        let Some(preempted) = self.preempt_for_tasks(search.job_index, pending) else {
            search.options.extend(candidate.map(Reverse));
            return 0;
        };
        search.reservation.get_or_insert(preempted.reservation);
        search.options = self.option_heap(search.job, search.zone);
        preempted.tasks
    }

    /// Records the job as unplaceable if its first task cannot start inside a window.
    fn record_unplaceable_outside_windows(&mut self, job: &Job, candidate: Option<PlacementOption>) {
        let earliest_start = candidate.map_or(f64::MAX, |option| option.starts_at);
        if !self.window_is_reachable(job, earliest_start) {
            self.record_unplaceable(job);
        }
    }

    /// Whether the job may use the option: its start lies inside the window and, for a probing job,
    /// is not delayed.
    fn may_use(&self, job: &Job, option: &PlacementOption) -> bool {
        let instance_type = self.problem.machines[option.machine].instance_type;
        let delayed = option.starts_at > self.problem.now;
        self.is_inside_window(instance_type, option.starts_at) && !(job.probing && delayed)
    }

    /// Starts a task if the option starts now, else reserves capacity for it.
    fn place_task(&mut self, search: &mut TaskSearch, task: u32, option: PlacementOption) {
        let job = search.job;
        let machine = &self.problem.machines[option.machine];
        let ends_at = option.starts_at + self.fetch_s(job, option.machine) + job.run_s * machine.slowness;
        let delayed = option.starts_at > self.problem.now;
        if !delayed {
            self.plan.starts.push(Start { job: search.job_index, task, machine: option.machine });
        }
        search.zone_load.add(machine.zone, 1);
        if job.one_zone {
            search.zone = Some(machine.zone);
        }
        self.occupy(job, option.machine, option.starts_at, ends_at);
        self.plan.steps += 1;
        search.options.extend(self.placement_option(job, option.machine).map(Reverse));
        search.extend_reservation(machine.instance_type, option.starts_at, ends_at);
        if delayed && ends_at <= job.deadline {
            self.on_time_tasks += 1;
        }
    }

    /// Returns the zone that can start the most tasks of a job bound to one zone; `None` if no zone
    /// can start any.
    fn best_zone(&self, job: &Job) -> Option<usize> {
        let mut instances = vec![0u32; self.problem.zones];
        for &machine in &self.open_machines {
            let candidate = &self.problem.machines[machine];
            if self.is_allowed(job, machine) && candidate.ready_at <= self.problem.now {
                let free = &self.timelines[machine].free;
                instances[candidate.zone] += free.instances_that_fit(&job.resources);
            }
        }
        let best = (0..self.problem.zones).max_by_key(|&zone| (instances[zone], Reverse(zone)))?;
        (instances[best] > 0).then_some(best)
    }
}
