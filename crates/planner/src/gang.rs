//! Reservations for gangs, whose tasks all start together on one machine type.

use crate::cost::{configurations, Configuration};
use crate::plan::{Reservation, Start};
use crate::planner::{Planner, MIN_DELAY_S};
use crate::problem::Job;
use crate::zones::{zone_choices, ZoneLoad};

/// Machines for all tasks of a gang, and its start.
struct GangPlacement {
    /// Index of the machine of each task.
    machines: Vec<usize>,
    starts_at: f64,
}

/// Rank of a gang's placement, compared field by field; smaller is better.
#[derive(PartialEq, PartialOrd)]
struct GangRank {
    /// Whether it leaves the zone in which machines are being assembled for the gang.
    leaves_assembly_zone: bool,
    /// Whether it misses the deadline.
    late: bool,
    /// Whether it meets the deadline, but does not start now.
    delayed: bool,
    /// End time if the placement is late, else its cost.
    main_criterion: f64,
    /// Cost if the placement is late, else its end time.
    tie_breaker: f64,
}

/// Ranked placement of a gang on one machine type.
struct GangChoice {
    rank: GangRank,
    instance_type: usize,
    machines: Vec<usize>,
    starts_at: f64,
    ends_at: f64,
}

/// Result of the search over types and zones.
struct GangSearch {
    best: Option<GangChoice>,
    /// Earliest start of all choices; `f64::MAX` if there is none.
    earliest_start: f64,
}

impl Planner<'_> {
    /// Reserves capacity for a whole gang. Preempts less urgent work if the gang would otherwise
    /// wait longer than [`crate::Problem::preemption_wait_s`].
    pub(crate) fn reserve_gang(&mut self, job_index: usize) -> Option<Reservation> {
        let problem = self.problem;
        let job = &problem.jobs[job_index];
        if !self.fits_team_quota(job, job.pending_tasks.len() as u32) {
            return None;
        }
        let GangSearch { best, earliest_start } = self.search_gang_choices(job);
        let latest_acceptable_start = problem.now + problem.preemption_wait_s;
        let starts_soon_enough =
            best.as_ref().is_some_and(|choice| choice.starts_at <= latest_acceptable_start);
        if !job.probing && !starts_soon_enough {
            if let Some(reservation) = self.reserve_by_preemption(job_index) {
                return Some(reservation);
            }
        }
        if earliest_start > latest_acceptable_start && !self.window_is_reachable(job, earliest_start) {
            self.record_unplaceable(job);
        }
        let choice = best?;
        let delayed = choice.starts_at > problem.now;
        if !self.is_inside_window(choice.instance_type, choice.starts_at) || job.probing && delayed {
            return None;
        }
        Some(self.apply_gang_choice(job_index, &choice))
    }

    /// Tries every type and zone. Placements that meet the deadline come first; among those, one that
    /// starts now is preferred to a later one, then the cheapest. If none meets the deadline, the one
    /// that ends first is chosen.
    fn search_gang_choices(&mut self, job: &Job) -> GangSearch {
        let mut search = GangSearch { best: None, earliest_start: f64::MAX };
        for configuration in configurations(&self.problem.instance_types, job) {
            for zone in zone_choices(job, self.problem.zones) {
                let Some(placement) = self.place_gang(job, configuration.instance_type, zone) else {
                    continue;
                };
                search.earliest_start = search.earliest_start.min(placement.starts_at);
                let choice = self.assess_gang_placement(job, &configuration, zone, placement);
                if search.best.as_ref().is_none_or(|best| choice.rank < best.rank) {
                    search.best = Some(choice);
                }
            }
        }
        search
    }

    /// Finds machines of one type for all tasks of a gang, in `zone` if it is given, without using
    /// any capacity twice and within the job's limit for each zone.
    fn place_gang(&mut self, job: &Job, instance_type: usize, zone: Option<usize>) -> Option<GangPlacement> {
        let tasks = job.pending_tasks.len();
        let now = self.problem.now;
        let mut options = self.placement_options(job, Some(instance_type), zone);
        options.sort_unstable();
        let mut load = ZoneLoad::of(job, self.problem.zones);
        let mut machines = Vec::with_capacity(tasks);
        let mut starts_at = now;
        for option in &options {
            let option_zone = self.problem.machines[option.machine].zone;
            let instances = self.timelines[option.machine].free.instances_that_fit(&job.resources).max(1);
            let usable_instances = if option.starts_at > now { 1 } else { instances };
            for _ in 0..usable_instances {
                if machines.len() == tasks || load.is_full(option_zone) {
                    break;
                }
                load.add(option_zone, 1);
                machines.push(option.machine);
                starts_at = starts_at.max(option.starts_at);
            }
        }
        (machines.len() == tasks).then_some(GangPlacement { machines, starts_at })
    }

    fn assess_gang_placement(
        &self,
        job: &Job,
        configuration: &Configuration,
        zone: Option<usize>,
        placement: GangPlacement,
    ) -> GangChoice {
        let GangPlacement { machines, starts_at } = placement;
        let fetch_s = machines.iter().map(|&machine| self.fetch_s(job, machine)).fold(0.0, f64::max);
        let slownesses = machines.iter().map(|&machine| self.problem.machines[machine].slowness);
        let run_s = job.run_s * slownesses.fold(1.0, f64::max);
        let ends_at = starts_at + fetch_s + run_s;
        let cost = self.gang_price(job, configuration, &machines) * (fetch_s + run_s);
        let delayed = starts_at > self.problem.now;
        // Machines are assembled in the same zone until the gang can start there or in another zone
        // that has enough free machines. When the zone changed between plans, other jobs took the
        // machines assembled so far.
        let leaves_assembly_zone =
            delayed && job.assembly_zone.is_some_and(|assembly_zone| zone != Some(assembly_zone));
        let late = ends_at > job.deadline;
        let rank = GangRank {
            leaves_assembly_zone,
            late,
            delayed: !late && delayed,
            main_criterion: if late { ends_at } else { cost },
            tie_breaker: if late { cost } else { ends_at },
        };
        GangChoice { rank, instance_type: configuration.instance_type, machines, starts_at, ends_at }
    }

    /// Returns the mean price per second of the share of a machine that one task uses. Some of the
    /// machines may be on-demand machines although the job may use spot machines.
    fn gang_price(&self, job: &Job, configuration: &Configuration, machines: &[usize]) -> f64 {
        let instance_type = &self.problem.instance_types[configuration.instance_type];
        let has_spot_price = job.spot && instance_type.spot_price > 0.0;
        let on_demand_ratio =
            if has_spot_price { instance_type.price / instance_type.spot_price } else { 1.0 };
        let on_demand = machines.iter().filter(|&&machine| !self.problem.machines[machine].spot).count();
        let on_demand_share = on_demand as f64 / machines.len() as f64;
        configuration.task_price * (1.0 + on_demand_share * (on_demand_ratio - 1.0))
    }

    /// Starts the gang's tasks if the choice starts now, else reserves the machines.
    fn apply_gang_choice(&mut self, job_index: usize, choice: &GangChoice) -> Reservation {
        let problem = self.problem;
        let job = &problem.jobs[job_index];
        let delayed = choice.starts_at > problem.now;
        if job.starvation_relief && job.one_zone && delayed {
            let first_machine = choice.machines.first();
            let zone = first_machine.map(|&machine| problem.machines[machine].zone);
            self.plan.gang_assembly = zone.map(|zone| (job_index, zone)).or(self.plan.gang_assembly);
        }
        // Machines that are already free stay idle for an overdue gang: short tasks that were started
        // there until the last machine came free repeatedly ended later than expected.
        let stays_idle = delayed && choice.starts_at <= job.reserves_until;
        let occupied_from = if stays_idle { problem.now + MIN_DELAY_S } else { choice.starts_at };
        for (&task, &machine) in job.pending_tasks.iter().zip(&choice.machines) {
            if !delayed {
                self.plan.starts.push(Start { job: job_index, task, machine });
            }
            self.occupy(job, machine, occupied_from, choice.ends_at);
        }
        self.drop_full_machines();
        Reservation {
            job: job_index,
            instance_type: choice.instance_type,
            starts_at: choice.starts_at,
            ends_at: choice.ends_at,
            sets_window: false,
        }
    }
}
