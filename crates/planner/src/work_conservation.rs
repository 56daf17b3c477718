//! Work conservation: free capacity must not stay idle for long while a job that could use it waits.
//!
//! A job may be denied free capacity because its run would overlap with the reservation of a more
//! urgent job, because it failed on that machine, or because the machine is kept ready for usual
//! arrivals. The caller measures how long a job has been in
//! [`crate::Plan::waiting_beside_capacity`] and, once that is too long, sets
//! [`Job::waits_beside_capacity`], which gives the job the capacity.

use crate::placement::PlacementOption;
use crate::plan::Start;
use crate::planner::Planner;
use crate::problem::{Job, Shape};
use crate::unplaceable::UnplaceableJob;
use crate::zones::{zone_choices, ZoneLoad};

impl Planner<'_> {
    /// Starts tasks of a job on capacity that is free now, even if it is reserved for a later time.
    /// Returns the number of tasks started.
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

    /// Returns those of the `waiting` jobs that could start tasks on capacity that is free now.
    pub(crate) fn jobs_waiting_beside_capacity(&mut self, waiting: &[usize]) -> Vec<usize> {
        let problem = self.problem;
        let machines_with_room = self.machines_with_room();
        if machines_with_room.is_empty() {
            return Vec::new();
        }
        let mut beside_capacity = Vec::new();
        // Jobs that found no free capacity; jobs that need at least as much are skipped.
        let mut unplaceable_jobs: Vec<UnplaceableJob> = Vec::new();
        for &job_index in waiting {
            let job = &problem.jobs[job_index];
            self.plan.steps += 1;
            if self.tasks_within_quota(job) == 0
                || unplaceable_jobs.iter().any(|unplaceable| unplaceable.covers(job))
            {
                continue;
            }
            let bound_to_its_zone = job.one_zone && job.shape != Shape::Gang;
            if !self.free_machines_for(job, &machines_with_room, job.pending_tasks.len()).is_empty() {
                beside_capacity.push(job_index);
            } else if job.max_per_zone.is_none() && !bound_to_its_zone {
                unplaceable_jobs.push(UnplaceableJob::for_any_priority(job));
            }
        }
        beside_capacity
    }

    /// Returns the machines that are up and could run the smallest task now.
    fn machines_with_room(&self) -> Vec<usize> {
        let problem = self.problem;
        let smallest = &self.smallest_need.resources;
        (0..problem.machines.len())
            .filter(|&machine| problem.machines[machine].ready_at <= problem.now)
            .filter(|&machine| self.timelines[machine].free.fits(smallest))
            .collect()
    }

    /// Selects machines from `machines` that can start tasks of the job now, one entry for each task:
    /// for a gang all tasks or none, for other jobs as many as possible, up to `max_tasks`.
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

    /// Returns the options to start a task of the job now, best first. Machines on which it failed are
    /// included, because another attempt there is better than none.
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

    /// Fills the machines of the options in order, up to `max_tasks` tasks and the job's limit for
    /// each zone. Returns the machine of each task.
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
            if zone.is_some_and(|required| required != option_zone) {
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
