//! Work conservation: capacity that is free now must not stay idle beside a job for long.
//!
//! Free capacity may be kept from a job: a reservation of a more urgent job would overlap with it,
//! the job failed on that machine, or the machine is kept ready for usual arrivals. The caller
//! counts how long a job has been in [`crate::Plan::waiting_beside_capacity`] and, once that is too
//! long, sets [`Job::waits_beside_capacity`], which gives it the capacity.

use crate::misfit::KnownMisfit;
use crate::placement::PlacementOption;
use crate::plan::Start;
use crate::planner::Planner;
use crate::problem::{Job, Shape};
use crate::zones::{zone_choices, ZoneLoad};

impl Planner<'_> {
    /// Gives a job the capacity that is free now, whatever is reserved there. Returns how many of
    /// its tasks start.
    pub(crate) fn start_on_free_capacity(&mut self, job_index: usize) -> usize {
        let problem = self.problem;
        let job = &problem.jobs[job_index];
        let max_tasks = self.tasks_within_quota(job);
        if max_tasks == 0 {
            return 0;
        }
        let all_machines: Vec<usize> = (0..problem.machines.len()).collect();
        let chosen = self.free_machines_for(job, &all_machines, max_tasks);
        for (&task, &machine) in job.pending_tasks.iter().zip(&chosen) {
            self.plan.starts.push(Start { job: job_index, task, machine });
            let run_s = self.fetch_s(job, machine) + job.run_s;
            let ends_at = problem.now + run_s * problem.machines[machine].slowness;
            self.occupy(job, machine, problem.now, ends_at);
        }
        if !chosen.is_empty() {
            self.drop_full_machines();
        }
        chosen.len()
    }

    /// Those of the `waiting` jobs that could start tasks on capacity that is free now.
    pub(crate) fn jobs_waiting_beside_capacity(&mut self, waiting: &[usize]) -> Vec<usize> {
        let problem = self.problem;
        let machines_with_room = self.machines_with_room();
        if machines_with_room.is_empty() {
            return Vec::new();
        }
        let mut beside_capacity = Vec::new();
        // A job that found nothing speaks for all that ask for as much.
        let mut misfits: Vec<KnownMisfit> = Vec::new();
        for &job_index in waiting {
            let job = &problem.jobs[job_index];
            self.plan.steps += 1;
            if self.tasks_within_quota(job) == 0 || misfits.iter().any(|misfit| misfit.covers(job)) {
                continue;
            }
            let bound_to_its_zone = job.one_zone && job.shape != Shape::Gang;
            if !self.free_machines_for(job, &machines_with_room, job.pending_tasks.len()).is_empty() {
                beside_capacity.push(job_index);
            } else if job.max_per_zone.is_none() && !bound_to_its_zone {
                misfits.push(KnownMisfit::for_any_priority(job));
            }
        }
        beside_capacity
    }

    /// Machines that are up and could run the smallest task now.
    fn machines_with_room(&self) -> Vec<usize> {
        let problem = self.problem;
        let smallest = &self.smallest_need.resources;
        (0..problem.machines.len())
            .filter(|&machine| problem.machines[machine].ready_at <= problem.now)
            .filter(|&machine| self.timelines[machine].free.fits(smallest))
            .collect()
    }

    /// Those of `machines` that can start the job's tasks now, one entry for each task: a gang's
    /// all or none, of others as many as possible, up to `max_tasks`.
    fn free_machines_for(&mut self, job: &Job, machines: &[usize], max_tasks: usize) -> Vec<usize> {
        let load = ZoneLoad::of(job, self.problem.zones);
        let zones = match load.first_used() {
            Some(zone) if job.one_zone => vec![Some(zone)],
            _ => zone_choices(job, self.problem.zones),
        };
        self.plan.steps += (machines.len() * zones.len()) as u64;
        let options = self.immediate_options(job, machines);
        let mut best = Vec::new();
        for zone in zones {
            let picked = self.pick_machines(job, &options, zone, load.clone(), max_tasks);
            if picked.len() > best.len() {
                best = picked;
            }
        }
        if job.shape == Shape::Gang && best.len() < job.pending_tasks.len() {
            best.clear();
        }
        best
    }

    /// Options to start a task of the job now, the best first. Machines that it failed on count:
    /// one more attempt there is better than none.
    fn immediate_options(&self, job: &Job, machines: &[usize]) -> Vec<PlacementOption> {
        let now = self.problem.now;
        let mut options: Vec<PlacementOption> = machines
            .iter()
            .filter(|&&machine| self.can_host(job, machine) && self.problem.machines[machine].ready_at <= now)
            .filter(|&&machine| self.timelines[machine].free.fits(&job.resources))
            .map(|&machine| PlacementOption { machine, starts_at: now, rank: self.rank(job, machine) })
            .collect();
        options.sort_unstable();
        options
    }

    /// Fills the machines of the options in order, up to `max_tasks` tasks and the limit of each
    /// zone.
    fn pick_machines(
        &self,
        job: &Job,
        options: &[PlacementOption],
        zone: Option<usize>,
        mut load: ZoneLoad,
        max_tasks: usize,
    ) -> Vec<usize> {
        let mut picked = Vec::new();
        for option in options {
            let option_zone = self.problem.machines[option.machine].zone;
            if zone.is_some_and(|only| only != option_zone) {
                continue;
            }
            let instances = self.timelines[option.machine].free.instances_that_fit(&job.resources) as usize;
            let tasks = instances.min(load.remaining(option_zone)).min(max_tasks - picked.len());
            load.add(option_zone, tasks as u32);
            picked.extend(std::iter::repeat_n(option.machine, tasks));
        }
        picked
    }
}
