//! Rules on task starts, and on all tasks that are on machines at a given time.

use super::*;
use protocol::cloud::ListedMachine;

/// Time without an answer, in seconds, after which an accepted job counts as forgotten. Time before
/// the end of all faults does not count. The operators set this value.
const MAX_UNANSWERED_S: f64 = 75.0;

/// Tolerance for rounding errors when sums of accelerators are compared.
pub(super) const ACCELERATOR_TOLERANCE: f64 = 1e-6;

impl Simulation {
    /// Checks the rules on a task start: the task runs on no other machine, its dependencies are done,
    /// and its job may use this machine.
    pub(super) fn check_start(&mut self, machine: &str, key: &TaskKey) {
        let now = self.now;
        let runs =
            |worker: &Worker| worker.tasks.get(key).is_some_and(super::super::worker::Task::on_machine);
        let mut others = self.workers.iter().filter(|(id, _)| *id != machine);
        let elsewhere = others.find(|(_, worker)| runs(worker)).map(|(id, _)| id.clone());
        if let Some(other) = elsewhere {
            self.history.violate(Rule::RanTwice, now, format!("{key:?} on {machine} and {other}"));
        }
        let dependencies = &self.history.specs[&key.job].dependencies;
        let missing = dependencies.iter().find(|job| !self.history.is_done(job)).cloned();
        if let Some(job) = missing {
            self.history.violate(Rule::TooEarly, now, format!("{key:?} started before {job} was done"));
        }
        if !self.may_run_on(machine, &key.job) {
            let zone = &self.workers[machine].machine.zone;
            let details = format!("{key:?} on {machine} in {zone}");
            self.history.violate(Rule::WrongPlace, now, details);
        }
    }

    /// Returns whether a task of a job may run on a machine, by the machine's type, zone and kind and
    /// the zones of the job's other tasks.
    fn may_run_on(&self, machine: &str, job: &str) -> bool {
        let spec = &self.history.specs[job];
        let listed = &self.workers[machine].machine;
        if !is_eligible(spec, listed) {
            return false;
        }
        let mut tasks_here = 0;
        let mut tasks_elsewhere = 0;
        for worker in self.workers.values() {
            let tasks = worker.tasks.iter().filter(|(key, task)| key.job == job && task.on_machine());
            let count = tasks.count() as u32;
            if worker.machine.zone == listed.zone {
                tasks_here += count;
            } else {
                tasks_elsewhere += count;
            }
        }
        let one_zone_kept = !spec.one_zone || tasks_elsewhere == 0;
        let spread_kept = !spec.spread || tasks_here <= spec.tasks.div_ceil(2);
        one_zone_kept && spread_kept
    }

    /// Checks the rules on all tasks that are currently on machines and on the responses to users.
    pub(super) fn check_rules(&mut self) {
        self.check_cancelled_tasks();
        self.check_unanswered();
        self.check_quota();
    }

    fn check_cancelled_tasks(&mut self) {
        let now = self.now;
        let cancel_s = self.settings.params.workers.cancel_s;
        let mut overdue = Vec::new();
        for worker in self.workers.values() {
            for (key, _) in worker.tasks.iter().filter(|(_, task)| task.on_machine()) {
                if self.history.cancelled_at.get(&key.job).is_some_and(|at| now - at > cancel_s) {
                    overdue.push(format!("{key:?} on {}", worker.machine.id));
                }
            }
        }
        for details in overdue {
            self.history.violate(Rule::RanCancelled, now, details);
        }
    }

    fn check_unanswered(&mut self) {
        let now = self.now;
        let is_unanswered = |job: &&String| {
            let answered_at = self.history.answered_at.get(*job).copied().unwrap_or(0.0);
            now - answered_at.max(self.faults_end) > MAX_UNANSWERED_S
        };
        let forgotten_jobs: Vec<String> =
            self.history.accepted.iter().filter(is_unanswered).cloned().collect();
        for job in forgotten_jobs {
            self.history.violate(Rule::Forgotten, now, format!("no request about {job} was answered"));
        }
    }

    fn check_quota(&mut self) {
        let used = self.accelerators_in_use();
        for team in &self.settings.params.teams {
            let in_use = used.get(&team.name).copied().unwrap_or(0.0);
            let limit = team.accelerators_max;
            if limit > 0.0 && in_use > limit + ACCELERATOR_TOLERANCE {
                self.history.violate(
                    Rule::Quota,
                    self.now,
                    format!("{} uses {in_use} accelerators", team.name),
                );
            }
        }
    }
}

/// Returns whether a job may use a machine, by the machine's type, zone and kind.
pub(super) fn is_eligible(spec: &JobSpec, machine: &ListedMachine) -> bool {
    spec.machine_types.as_ref().is_none_or(|types| types.contains(&machine.machine_type))
        && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
        && (spec.spot || !machine.spot)
}
