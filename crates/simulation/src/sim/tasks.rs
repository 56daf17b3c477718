//! Progress of tasks and gangs between messages.

use super::*;

/// Job and attempt number: the attempt of a gang, or of a task of another kind of job.
type Attempt = (String, u64);

/// Task that completes successfully.
struct FinishedTask {
    task: TaskKey,
    attempt: u64,
}

/// Task whose image has been fetched.
struct ArrivedTask {
    task: TaskKey,
    machine: String,
}

/// Phase changes of tasks in one step.
#[derive(Default)]
struct TaskProgress {
    arrived: Vec<ArrivedTask>,
    finished: Vec<FinishedTask>,
}

/// Numbers of an attempt's tasks that wait for the others, and that run on machines that do not hang.
#[derive(Default)]
struct AttemptMembers {
    waiting: u32,
    running: u32,
}

/// Changes of attempts in one step.
#[derive(Default)]
struct AttemptChanges {
    /// Attempts that begin to run, with their run time in seconds.
    beginning: BTreeMap<Attempt, f64>,
    /// Attempts of gangs that have lost a task.
    broken: BTreeSet<Attempt>,
}

impl Simulation {
    pub(super) fn advance_tasks(&mut self) {
        let progress = self.advance_phases();
        for arrived in progress.arrived {
            self.task_arrives(arrived);
        }
        for finished in progress.finished {
            self.task_finishes(&finished);
        }
        self.advance_attempts();
    }

    fn advance_phases(&mut self) -> TaskProgress {
        let now = self.now;
        let lease_s = self.settings.params.workers.lease_s;
        let gang_wait_s = self.settings.params.workers.gang_wait_s;
        let mut progress = TaskProgress::default();
        for (machine, worker) in &mut self.workers {
            // A lease also expires on a hung machine.
            if worker.expire_lease(now, lease_s) || now < worker.hung_until {
                continue;
            }
            let mut changed = false;
            for (key, task) in &mut worker.tasks {
                let next = match &task.phase {
                    TaskPhase::Fetching { until } if now >= *until => {
                        progress.arrived.push(ArrivedTask { task: key.clone(), machine: machine.clone() });
                        let fails = worker.faulty || self.failing_jobs.contains(&key.job);
                        if self.history.has_completed(key) {
                            TaskPhase::Exited(ExitCause::Done)
                        } else if fails {
                            self.metrics.task_failures += 1;
                            TaskPhase::Exited(ExitCause::Error)
                        } else {
                            TaskPhase::Waiting { since: now }
                        }
                    }
                    TaskPhase::Waiting { since } if now - since > gang_wait_s => {
                        TaskPhase::Exited(ExitCause::Alone)
                    }
                    TaskPhase::Running { until } if now >= *until => {
                        progress.finished.push(FinishedTask { task: key.clone(), attempt: task.attempt });
                        TaskPhase::Exited(ExitCause::Done)
                    }
                    TaskPhase::Orphaned { until } if now >= *until => TaskPhase::Exited(ExitCause::Peers),
                    _ => continue,
                };
                task.phase = next;
                changed = true;
            }
            if changed {
                worker.expedite_heartbeat(now);
            }
        }
        progress
    }

    fn task_arrives(&mut self, arrived: ArrivedTask) {
        let ArrivedTask { task, machine } = arrived;
        if let Some(worker) = self.workers.get_mut(&machine) {
            worker.fetched_images.insert(task.job.clone());
        }
        self.metrics.task_starts += 1;
        self.check_start(&machine, &task);
        if self.history.cancelled_at.contains_key(&task.job) {
            self.late_starts.push(LateStart { at: self.now, task, machine });
        }
    }

    /// Records a completed task. The tasks of a gang complete together, those of other jobs one by
    /// one.
    fn task_finishes(&mut self, finished: &FinishedTask) {
        let job = &finished.task.job;
        let spec = &self.history.specs[job];
        let is_gang = spec.shape == Shape::Gang;
        let tasks = spec.tasks;
        let completed = self.history.completed.entry(job.clone()).or_default();
        if !is_gang {
            let is_new = completed.insert(finished.task.index);
            if is_new && self.history.is_done(job) {
                self.cancel_at_completion(job);
            }
            return;
        }
        let before = completed.len();
        completed.extend(0..tasks);
        if completed.len() > before {
            self.cancel_at_completion(job);
        }
        self.end_gang(job, finished.attempt);
    }

    fn end_gang(&mut self, job: &str, attempt: u64) {
        for worker in self.workers.values_mut() {
            for (key, task) in &mut worker.tasks {
                let runs = matches!(task.phase, TaskPhase::Running { .. });
                if key.job == job && task.attempt == attempt && runs {
                    task.phase = TaskPhase::Exited(ExitCause::Done);
                }
            }
        }
    }

    /// Starts waiting tasks whose gang is complete, and marks the tasks of broken gangs as orphaned.
    fn advance_attempts(&mut self) {
        let changes = self.attempt_changes();
        if changes.beginning.is_empty() && changes.broken.is_empty() {
            return;
        }
        let now = self.now;
        let peer_s = self.settings.params.workers.gang_peer_s;
        for worker in self.workers.values_mut() {
            let mut changed = false;
            for (key, task) in &mut worker.tasks {
                let attempt = (key.job.clone(), task.attempt);
                match (&task.phase, changes.beginning.get(&attempt)) {
                    (TaskPhase::Waiting { .. }, Some(run_s)) => {
                        task.phase = TaskPhase::Running { until: now + run_s };
                        changed = true;
                    }
                    (TaskPhase::Running { .. }, _) if changes.broken.contains(&attempt) => {
                        task.phase = TaskPhase::Orphaned { until: now + peer_s };
                    }
                    _ => {}
                }
            }
            if changed {
                worker.expedite_heartbeat(now);
            }
        }
    }

    fn attempt_changes(&mut self) -> AttemptChanges {
        let mut changes = AttemptChanges::default();
        for ((job, attempt), members) in attempt_members(&self.workers, self.now) {
            let spec = &self.history.specs[job];
            let is_gang = spec.shape == Shape::Gang;
            let drawn_s = spec.estimated_run_s * self.rng.gen_range(0.5..1.6);
            // A service never ends on its own.
            let run_s = if spec.shape == Shape::Service { f64::MAX / 4.0 } else { drawn_s };
            if members.waiting > 0 && (!is_gang || members.waiting == spec.tasks) {
                changes.beginning.insert((job.to_string(), attempt), run_s);
            }
            if is_gang && members.running > 0 && members.running < spec.tasks {
                changes.broken.insert((job.to_string(), attempt));
            }
        }
        changes
    }
}

fn attempt_members(workers: &BTreeMap<String, Worker>, now: f64) -> BTreeMap<(&str, u64), AttemptMembers> {
    let mut attempts: BTreeMap<(&str, u64), AttemptMembers> = BTreeMap::new();
    for worker in workers.values() {
        for (key, task) in &worker.tasks {
            let members = attempts.entry((&key.job, task.attempt)).or_default();
            match task.phase {
                TaskPhase::Waiting { .. } => members.waiting += 1,
                TaskPhase::Running { .. } if now >= worker.hung_until => members.running += 1,
                _ => {}
            }
        }
    }
    attempts
}
