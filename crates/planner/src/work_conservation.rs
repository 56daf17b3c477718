//! Room that is free now. A place may be free and yet be kept from a job: what is reserved for
//! a more urgent one from later on must not be in its way, the job failed on that machine, or
//! the machine is kept ready for what usually comes. None of that may keep a job for long: the
//! caller counts how long it has been [`Plan::beside`], and lets it go first in the end.

use super::{Job, KnownMisfit, PlacementOption, Plan, Planner, Shape, Start, UnmetDemand, SLACK};

impl Planner<'_> {
    /// Machines with free places for `job`'s tasks, one for each: of a gang all or none, of others
    /// as many as there are, up to `most`.
    fn free_machines_for(&mut self, job: &Job, roomy: &[usize], most: usize) -> Vec<usize> {
        let mut load = job.placed_per_zone.clone();
        load.resize(self.problem.zones, 0);
        let held = load.iter().position(|&n| n > 0);
        let zones: Vec<Option<usize>> = match (job.one_zone, held) {
            (true, Some(zone)) => vec![Some(zone)],
            (true, None) => (0..self.problem.zones).map(Some).collect(),
            (false, _) => vec![None],
        };
        self.steps += (roomy.len() * zones.len()) as u64;
        let mut options: Vec<PlacementOption> = roomy
            .iter()
            .filter(|&&m| self.can_host(job, m) && self.problem.machines[m].ready_at <= self.problem.now)
            .filter(|&&m| self.timelines[m].free.fits(&job.resources))
            .map(|&machine| PlacementOption {
                machine,
                starts_at: self.problem.now,
                rank: self.rank(job, machine),
            })
            .collect();
        options.sort_unstable();
        let mut best = Vec::new();
        for zone in zones {
            let (mut load, mut picked) = (load.clone(), Vec::new());
            for o in &options {
                let z = self.problem.machines[o.machine].zone;
                if zone.is_some_and(|only| only != z) {
                    continue;
                }
                let room = self.timelines[o.machine].free.instances_that_fit(&job.resources) as usize;
                let cap = job.max_per_zone.map_or(usize::MAX, |c| c.saturating_sub(load[z]) as usize);
                let n = room.min(cap).min(most - picked.len());
                load[z] += n as u32;
                picked.extend(std::iter::repeat_n(o.machine, n));
            }
            if picked.len() > best.len() {
                best = picked;
            }
        }
        if job.shape == Shape::Gang && best.len() < job.pending_tasks.len() {
            best.clear();
        }
        best
    }

    /// How many of the job's waiting tasks its team may have now; a gang's only all together.
    fn tasks_within_quota(&self, job: &Job) -> usize {
        let n = job.pending_tasks.len();
        if job.shape == Shape::Gang {
            return if self.fits_team_quota(job, n as u32) { n } else { 0 };
        }
        let t = &self.teams[job.team];
        let part = |left: Option<f64>, need: f64| match left {
            Some(x) if need > 0.0 => ((x + SLACK) / need).max(0.0) as usize,
            _ => n,
        };
        n.min(part(t.cores_left, job.resources.cores))
            .min(part(t.accelerators_left, job.resources.accelerators))
    }

    /// Gives job `i` the places that are free now, whatever is reserved there. Returns how many
    /// of its tasks got one.
    pub(crate) fn start_on_free_capacity(&mut self, i: usize, plan: &mut Plan) -> usize {
        let p = self.problem;
        let job = &p.jobs[i];
        let most = self.tasks_within_quota(job);
        let all: Vec<usize> = (0..p.machines.len()).collect();
        let places = if most > 0 { self.free_machines_for(job, &all, most) } else { Vec::new() };
        for (&task, &machine) in job.pending_tasks.iter().zip(&places) {
            plan.starts.push(Start { job: i, task, machine });
            let run = self.fetch_s(job, machine) + job.run_s;
            self.occupy(job, machine, p.now, p.now + run * p.machines[machine].slowness);
        }
        if !places.is_empty() {
            self.drop_full_machines();
        }
        places.len()
    }

    /// Those of `open`, jobs that go on waiting, that do so beside a free place of theirs.
    pub(crate) fn jobs_waiting_beside_capacity(&mut self, open: &[usize]) -> Vec<usize> {
        let p = self.problem;
        let least = self.smallest_need.0;
        let roomy: Vec<usize> = (0..p.machines.len())
            .filter(|&m| p.machines[m].ready_at <= p.now && self.timelines[m].free.fits(&least))
            .collect();
        // What found nothing speaks for all that ask for as much.
        let (mut beside, mut fruitless): (Vec<usize>, Vec<KnownMisfit>) = Default::default();
        for &i in open.iter().filter(|_| !roomy.is_empty()) {
            let job = &p.jobs[i];
            self.steps += 1;
            if self.tasks_within_quota(job) == 0 || fruitless.iter().any(|b| b.covers(job)) {
                continue;
            }
            let alike = job.max_per_zone.is_none() && (!job.one_zone || job.shape == Shape::Gang);
            if !self.free_machines_for(job, &roomy, job.pending_tasks.len()).is_empty() {
                beside.push(i);
            } else if alike {
                fruitless.push(KnownMisfit { priority: u8::MAX, ..KnownMisfit::of(job, 0.0) });
            }
        }
        beside
    }

    /// Takes off `unmet` what the teams' limits let nobody run now: a machine more would be of no
    /// use to it. (A team at its limit of two machines once had sixty rented, again and again.)
    pub(crate) fn drop_demand_over_quota(&mut self, unmet: &mut Vec<UnmetDemand>) {
        let kept = self.teams.clone();
        // What is kept for a job comes free while its machines boot.
        for u in unmet.iter_mut().filter(|u| !self.reserved_machines.contains(&u.job)) {
            let job = &self.problem.jobs[u.job];
            u.tasks = u.tasks.min(self.tasks_within_quota(job) as u32);
            u.late_tasks = u.late_tasks.min(u.tasks);
            let t = &mut self.teams[job.team];
            let n = f64::from(u.tasks);
            t.cores_left = t.cores_left.map(|x| x - n * job.resources.cores);
            t.accelerators_left = t.accelerators_left.map(|x| x - n * job.resources.accelerators);
        }
        unmet.retain(|u| u.tasks > 0);
        self.teams = kept;
    }
}
