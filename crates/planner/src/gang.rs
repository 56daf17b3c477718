//! Reservations of gangs: all tasks start together, on one machine type.

use crate::cost::{configurations, Configuration};
use crate::plan::{Reservation, Start};
use crate::planner::{Planner, MIN_DELAY_S};
use crate::problem::Job;
use crate::zones::{zone_choices, ZoneLoad};

/// Machines for all tasks of a gang.
struct GangPlacement {
    /// One entry for each task.
    machines: Vec<usize>,
    starts_at: f64,
}

/// How good a gang's placement is; the smaller the better, field by field.
#[derive(PartialEq, PartialOrd)]
struct GangRank {
    /// It leaves the zone in which machines are being assembled.
    leaves_assembly_zone: bool,
    /// It misses the deadline.
    late: bool,
    /// It meets the deadline, but does not start now.
    delayed: bool,
    /// The end if it is late, else the cost.
    main_criterion: f64,
    /// The cost if it is late, else the end.
    tie_breaker: f64,
}

/// A gang on one machine type in one zone.
struct GangChoice {
    rank: GangRank,
    instance_type: usize,
    machines: Vec<usize>,
    starts_at: f64,
    ends_at: f64,
}

/// The result of the search over types and zones.
struct GangSearch {
    best: Option<GangChoice>,
    /// The soonest start of any choice; `f64::MAX` if there is none.
    soonest: f64,
}

impl Planner<'_> {
    /// Reserves capacity for a whole gang, by preemption if that is much sooner.
    pub(crate) fn reserve_gang(&mut self, job_index: usize) -> Option<Reservation> {
        let problem = self.problem;
        let job = &problem.jobs[job_index];
        if !self.fits_team_quota(job, job.pending_tasks.len() as u32) {
            return None;
        }
        let GangSearch { best, soonest } = self.search_gang_choices(job);
        let patient_until = problem.now + problem.preemption_wait_s;
        let is_patient = best.as_ref().is_some_and(|choice| choice.starts_at <= patient_until);
        if !job.probing && !is_patient {
            if let Some(reservation) = self.reserve_by_preemption(job_index) {
                return Some(reservation);
            }
        }
        if soonest > patient_until && !self.window_is_reachable(job, soonest) {
            self.record_misfit(job);
        }
        let choice = best?;
        let delayed = choice.starts_at > problem.now;
        if !self.is_inside_window(choice.instance_type, choice.starts_at) || job.probing && delayed {
            return None;
        }
        Some(self.take_gang_choice(job_index, &choice))
    }

    /// Tries every type and zone. A configuration that meets the deadline beats one that does not;
    /// of those that do, a start now beats a later one, then the cheapest wins; if none does, the
    /// one that ends first.
    fn search_gang_choices(&mut self, job: &Job) -> GangSearch {
        let mut search = GangSearch { best: None, soonest: f64::MAX };
        for configuration in configurations(&self.problem.instance_types, job) {
            for zone in zone_choices(job, self.problem.zones) {
                let Some(placement) = self.place_gang(job, configuration.instance_type, zone) else {
                    continue;
                };
                search.soonest = search.soonest.min(placement.starts_at);
                let choice = self.assess_gang_placement(job, &configuration, zone, placement);
                if search.best.as_ref().is_none_or(|best| choice.rank < best.rank) {
                    search.best = Some(choice);
                }
            }
        }
        search
    }

    /// Finds machines of one type for all tasks at once: on distinct capacity, in `zone` if that is
    /// given, and within the limit of each zone.
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
        // Machines are assembled in one zone unless another has them all. (Where they were half
        // assembled, others took them.)
        let leaves_assembly_zone = delayed && job.assembly_zone.is_some_and(|known| zone != Some(known));
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

    /// Price per second of a task's part of the machines, where some may be on-demand machines
    /// although the job may use spot ones.
    fn gang_price(&self, job: &Job, configuration: &Configuration, machines: &[usize]) -> f64 {
        let instance_type = &self.problem.instance_types[configuration.instance_type];
        let has_spot_price = job.spot && instance_type.spot_price > 0.0;
        let on_demand_ratio =
            if has_spot_price { instance_type.price / instance_type.spot_price } else { 1.0 };
        let on_demand = machines.iter().filter(|&&machine| !self.problem.machines[machine].spot).count();
        let on_demand_share = on_demand as f64 / machines.len() as f64;
        configuration.task_price * (1.0 + on_demand_share * (on_demand_ratio - 1.0))
    }

    /// Starts or reserves the choice.
    fn take_gang_choice(&mut self, job_index: usize, choice: &GangChoice) -> Reservation {
        let problem = self.problem;
        let job = &problem.jobs[job_index];
        let delayed = choice.starts_at > problem.now;
        if job.starvation_relief && job.one_zone && delayed {
            let first_machine = choice.machines.first();
            let zone = first_machine.map(|&machine| problem.machines[machine].zone);
            self.plan.gang_assembly = zone.map(|zone| (job_index, zone)).or(self.plan.gang_assembly);
        }
        // Machines that are free already stay idle for an overdue gang: short work that was let in
        // before the last machine came free ended later than expected, again and again.
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
