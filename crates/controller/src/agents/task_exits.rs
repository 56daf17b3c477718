//! Task exits: the effect of each exit cause on the job, and the release of tasks that ended
//! without a result.

use crate::leader::state::{LeaderState, Role};
use crate::model::job::{Job, Placement};
use crate::model::machine::Machine;
use crate::{Controller, Time};
use protocol::job::Shape;
use protocol::worker::{ExitCause, TaskStatus};
use tracing::warn;

/// Fraction of a run that counts as saved by a checkpoint on request, because the work done while
/// the checkpoint is written may be lost.
const CHECKPOINTED_FRACTION: f64 = 0.9;
/// Grace period for a checkpoint, as a multiple of the time that the job's specification states.
const CHECKPOINT_GRACE_FACTOR: f64 = 1.25;
/// Launch attempts per heartbeat interval while machines refuse a job's tasks.
const LAUNCHES_PER_HEARTBEAT: f64 = 3.0;
/// Minimum run time that is recorded in the statistics of a job class, in seconds.
const MIN_RECORDED_RUN_S: f64 = 0.1;

/// A task that exited according to its machine's worker.
pub(crate) struct TaskExit {
    /// The job's id.
    pub job: String,
    /// The task's number within the job.
    pub task: u32,
    /// Its last status, with the cause.
    pub status: TaskStatus,
}

impl Controller {
    /// Applies the exit of a task that is placed on `machine`.
    pub(crate) fn on_task_exit(&mut self, machine: &str, exit: &TaskExit) {
        let now = self.now;
        let heartbeat_interval_s = self.settings.params.workers.heartbeat_interval_s;
        let cause = exit.status.exit_cause;
        if cause == Some(ExitCause::Alone) && self.restart_if_gang_assembling(&exit.job, exit.task) {
            return;
        }
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(job) = leader.cluster.jobs.get_mut(&exit.job) else { return };
        let Some(placement) = job.placements.get(&exit.task) else { return };
        let run_s = placement.running_since.map(|since| now - since);
        match cause {
            Some(ExitCause::Done) => leader.complete_task(machine, exit, run_s),
            Some(ExitCause::Stopped) => {
                if let Some(run_s) = run_s.filter(|_| exit.status.checkpointed == Some(true)) {
                    job.progress_s += run_s.max(0.0) * CHECKPOINTED_FRACTION;
                }
                release_lost_task(job, exit.task, now);
            }
            Some(ExitCause::Error) => {
                warn!(job = %exit.job, task = exit.task, machine, "task failed");
                release_lost_task(job, exit.task, now);
                self.attribute_failure(&exit.job, machine);
            }
            Some(ExitCause::NoRoom | ExitCause::Busy | ExitCause::Unknown) => {
                job.not_before = now + heartbeat_interval_s / LAUNCHES_PER_HEARTBEAT;
                release_lost_task(job, exit.task, now);
            }
            Some(ExitCause::Peers | ExitCause::Alone) | None => {
                add_checkpointed_progress(job, run_s);
                release_lost_task(job, exit.task, now);
            }
        }
    }

    /// Marks `task`, which stopped waiting for the other members of its gang, to be started again
    /// on the same machine with the same attempt if the gang is still being assembled: all members
    /// are alive, none has run yet, and the assembly has not taken too long. Returns whether the
    /// task was marked. Without such restarts, gangs whose image took longer to fetch than
    /// `gang_wait_s` never started: the members that had the image stopped waiting, which ended
    /// the attempt and every fetch.
    fn restart_if_gang_assembling(&mut self, job_id: &str, task: u32) -> bool {
        let now = self.now;
        let timing = self.timing;
        let Role::Leader(leader) = &mut self.role else { return false };
        let machines = &leader.cluster.machines;
        let Some(job) = leader.cluster.jobs.get_mut(job_id) else { return false };
        let is_complete = job.placements.len() == job.spec.tasks as usize;
        if !is_complete || job.gang_aborting || job.is_final() {
            return false;
        }
        let is_usable =
            |machine: &Machine| machine.accepts_work() && machine.has_recent_heartbeats(now, &timing);
        let is_assembling = |placement: &Placement| {
            placement.stopping.is_none()
                && placement.running_since.is_none()
                && now - placement.placed_at < timing.gang_assembly_s
                && machines.get(&placement.machine).is_some_and(is_usable)
        };
        if !job.placements.values().all(is_assembling) {
            return false;
        }
        if let Some(placement) = job.placements.get_mut(&task) {
            // No response with a launch is on its way: the heartbeat is newer than all of them,
            // and the worker has seen this leader's token.
            placement.observed_state = None;
            placement.inherited = false;
        }
        true
    }

    /// Stops the gangs on `machine`, which the cloud is about to reclaim, if they can save a
    /// checkpoint within the notice; all tasks of a gang stop together. Other tasks keep running
    /// as long as they can.
    pub(crate) fn checkpoint_gangs_before_reclaim(&mut self, machine: &str, notice_s: f64) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let mut stopped_jobs = Vec::new();
        for (job_id, task) in leader.cluster.tasks_on(machine) {
            let Some(job) = leader.cluster.jobs.get_mut(&job_id) else { continue };
            let grace_s = job.spec.save_s * CHECKPOINT_GRACE_FACTOR;
            if grace_s > notice_s || !can_checkpoint_gang(job, task) {
                continue;
            }
            for placement in job.placements.values_mut() {
                placement.stopping = Some((now, grace_s));
            }
            stopped_jobs.push(job_id);
        }
        for job_id in stopped_jobs {
            self.schedule_kills(&job_id);
        }
    }

    /// Releases all tasks on `machine`, which have certainly ended. `remove`: the machine itself no
    /// longer exists and is removed.
    pub(crate) fn remove_machine_work(&mut self, machine: &str, remove: bool) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let mut changed_jobs = Vec::new();
        for (job_id, task) in leader.cluster.tasks_on(machine) {
            if let Some(job) = leader.cluster.jobs.get_mut(&job_id) {
                release_lost_task(job, task, now);
                changed_jobs.push(job_id);
            }
        }
        if remove {
            leader.cluster.machines.remove(machine);
            leader.forwarding.set_leader_only(machine, None);
        }
        if !changed_jobs.is_empty() {
            leader.planning.needed = true;
        }
        for job_id in changed_jobs {
            self.settle_terminal(&job_id);
            self.schedule_kills(&job_id);
        }
    }
}

impl LeaderState {
    /// Records that a task on `machine` completed its work. `run_s` is its run time in seconds, or
    /// None if its start was not observed.
    fn complete_task(&mut self, machine: &str, exit: &TaskExit, run_s: Option<Time>) {
        let Some(job) = self.cluster.jobs.get_mut(&exit.job) else { return };
        if let Some(run_s) = run_s {
            let class = self.planning.classes.entry(job.spec.class.clone()).or_default();
            if job.progress_s == 0.0 && job.spec.estimated_run_s > 0.0 {
                class.record_run(run_s.max(MIN_RECORDED_RUN_S) / job.spec.estimated_run_s);
            }
        }
        job.release_placement(exit.task);
        job.probes = 0;
        // A gang completes as a whole.
        let completed = match job.spec.shape {
            Shape::Gang => 0..job.spec.tasks,
            _ => exit.task..exit.task + 1,
        };
        for task in completed {
            job.finish_task(task);
        }
        let failed_on = std::mem::take(&mut job.failed_on);
        if let Some(machine) = self.cluster.machines.get_mut(machine) {
            machine.failed_jobs.clear();
            machine.suspected_since = None;
        }
        // The job works, so the machines on which it failed are at fault.
        for name in failed_on {
            let Some(machine) = self.cluster.machines.get_mut(&name) else { continue };
            if machine.failed_jobs.contains(&exit.job) {
                machine.quarantine();
            }
        }
    }
}

/// Adds the work that a run saved at its periodic checkpoints to the job's progress.
fn add_checkpointed_progress(job: &mut Job, run_s: Option<Time>) {
    let interval_s = job.spec.checkpoint_interval_s;
    let Some(run_s) = run_s.filter(|_| interval_s > 0.0) else { return };
    job.progress_s += (run_s / interval_s).floor() * interval_s;
}

/// Whether `task` belongs to a gang that is running, can save a checkpoint, and is not being
/// stopped.
fn can_checkpoint_gang(job: &Job, task: u32) -> bool {
    let saves_checkpoints = job.spec.checkpoint_interval_s > 0.0;
    if !saves_checkpoints || job.spec.shape != Shape::Gang || job.is_final() {
        return false;
    }
    let is_running = job.placements.get(&task).is_some_and(|placement| placement.running_since.is_some());
    is_running && job.placements.values().all(|placement| placement.stopping.is_none())
}

/// Releases the placement of a task that ended without a result. If the task belongs to a gang,
/// the gang's attempt ends with it.
pub(crate) fn release_lost_task(job: &mut Job, task: u32, now: Time) {
    job.release_placement(task);
    if job.spec.shape != Shape::Gang || job.placements.is_empty() || job.is_final() {
        return;
    }
    job.gang_aborting = true;
    for placement in job.placements.values_mut() {
        if placement.stopping.is_none() {
            placement.stopping = Some((now, 0.0));
        }
    }
    // Members that were never launched are released without proof that they ended.
    job.release_unlaunched();
}
