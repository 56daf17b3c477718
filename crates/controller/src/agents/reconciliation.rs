//! Reconciliation of the leader's placements with a heartbeat: which tasks run, which have exited,
//! and which have provably ended because the heartbeat doesn't list them.

use crate::agents::one_way_partition::{HeartbeatArrival, HeartbeatTiming};
use crate::agents::task_exits::{release_lost_task, TaskExit};
use crate::leader::state::{LeaderState, Role};
use crate::model::job::{Job, Placement};
use crate::model::machine::Machine;
use crate::{Controller, Time};
use protocol::worker::{split_task, ExitCause, Heartbeat, TaskState, TaskStatus};
use tracing::{info, warn};

#[cfg(test)]
mod tests;

/// Occasion on which a worker sent its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeartbeatOrigin {
    /// The worker sent a heartbeat on its own.
    Worker,
    /// The worker replied to direct commands. The response to a heartbeat, with a launch in it,
    /// may still be on its way, so a task that is not listed may yet start.
    CommandReply,
}

/// Properties of a heartbeat that determine what it proves about tasks that it doesn't list.
#[derive(Debug, Clone, Copy)]
struct AbsenceEvidence {
    /// Whether the worker has seen this leader's token, so that no earlier leader's command can
    /// still reach it, and no response from this leader is on its way.
    is_current: bool,
    /// Whether the worker began a new epoch. Its tasks ended with the previous epoch, and launches
    /// in responses to that epoch's heartbeats are never carried out.
    is_new_epoch: bool,
    /// Whether the machine was found to receive no responses, so that launches never reached it.
    receives_nothing: bool,
}

/// Result of applying a heartbeat to the state of its machine.
struct MachineUpdate {
    evidence: AbsenceEvidence,
    /// The time that is left, in seconds, if this is the first heartbeat with a notice that the
    /// cloud reclaims the spot machine.
    reclaim_notice_s: Option<f64>,
}

/// Meaning of a task status in a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListedTask {
    /// The task is alive and placed on the machine.
    Alive,
    /// The task has exited.
    Exited,
    /// An earlier attempt, which is no longer placed, completed its work. The work still counts.
    CompletedByFormerAttempt,
    /// The status says nothing about the current placement.
    Ignored,
}

/// Classifies a task that a heartbeat lists. `placement` is the placement of that attempt on the
/// machine, if there is one; `is_current` is as in `AbsenceEvidence`.
fn classify_listed_task(placement: Option<&Placement>, status: &TaskStatus, is_current: bool) -> ListedTask {
    let has_exited = status.state == TaskState::Exited;
    match (placement, status.exit_cause) {
        (Some(_), _) if !has_exited => ListedTask::Alive,
        // A response to a heartbeat with the same status, from an earlier leader or still on its
        // way, may have started the task again.
        (Some(_), Some(ExitCause::Alone)) if !is_current => ListedTask::Ignored,
        (Some(_), _) => ListedTask::Exited,
        (None, Some(ExitCause::Done)) if has_exited => ListedTask::CompletedByFormerAttempt,
        (None, _) => ListedTask::Ignored,
    }
}

/// Whether a heartbeat that doesn't list the task of `placement` proves that it has ended.
fn absence_proves_loss(placement: &Placement, evidence: &AbsenceEvidence) -> bool {
    let was_running = placement.observed_state.is_some() || placement.inherited;
    let was_launched = was_running || placement.stopping.is_some() && placement.launch_sent;
    if evidence.is_current && was_launched {
        return true;
    }
    let is_own_placement = !placement.inherited;
    let cannot_start = placement.launch_sent || evidence.receives_nothing;
    evidence.is_new_epoch && is_own_placement && cannot_start
}

impl Controller {
    /// Applies a worker's state, which reached a node at `received_at`. Returns false if the state
    /// is not newer than the last one.
    pub(crate) fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        origin: HeartbeatOrigin,
        received_at: Time,
    ) -> bool {
        let now = self.now;
        let Some(update) = self.update_machine(heartbeat, origin, received_at) else { return false };
        let Role::Leader(leader) = &mut self.role else { return false };
        let exits = leader.reconcile_listed_tasks(heartbeat, update.evidence.is_current, now);
        let mut changed_jobs = leader.release_absent_tasks(heartbeat, &update.evidence, now);
        if !changed_jobs.is_empty() || !exits.is_empty() {
            leader.planning.needed = true;
        }
        for exit in exits {
            self.on_task_exit(&heartbeat.machine, &exit);
            changed_jobs.push(exit.job);
        }
        for job in changed_jobs {
            self.settle_terminal(&job);
            self.schedule_kills(&job);
        }
        if let Some(notice_s) = update.reclaim_notice_s {
            self.checkpoint_gangs_before_reclaim(&heartbeat.machine, notice_s);
        }
        if heartbeat.tasks.is_empty() {
            return true;
        }
        let Role::Leader(leader) = &mut self.role else { return true };
        if let Some(machine) = leader.cluster.machines.get_mut(&heartbeat.machine) {
            machine.idle_since = now;
        }
        true
    }

    /// Applies a heartbeat to the state of its machine. Returns None if the heartbeat is not newer
    /// than the last one.
    fn update_machine(
        &mut self,
        heartbeat: &Heartbeat,
        origin: HeartbeatOrigin,
        received_at: Time,
    ) -> Option<MachineUpdate> {
        let now = self.now;
        let checks = self.checks;
        let heartbeat_timing = self.heartbeat_timing();
        let Role::Leader(leader) = &mut self.role else { return None };
        let machine = leader.cluster.machines.get_mut(&heartbeat.machine)?;
        let position = (heartbeat.epoch, heartbeat.sequence);
        if checks.heartbeat_order && position <= machine.newest_position {
            return None;
        }
        let is_heartbeat = origin == HeartbeatOrigin::Worker;
        let had_notice = machine.spot_reclaim_at.is_some();
        let arrival = arrival_of(heartbeat, machine, received_at);
        let previous_epoch = arrival.previous_epoch;
        let receives_nothing = is_heartbeat && machine.reachability.record(&arrival, &heartbeat_timing);
        if receives_nothing {
            warn!(machine = %heartbeat.machine, "machine does not receive responses, cordoned");
            leader.planning.needed = true;
        }
        if previous_epoch == 0 {
            // New kills may not have been sent while the epoch was unknown.
            leader.pending_kills.retry_now(&heartbeat.machine, now);
        }
        machine.apply_heartbeat(heartbeat, now);
        if is_heartbeat {
            machine.record_contact(received_at);
        }
        let is_first_notice = machine.spot_reclaim_at.is_some() && !had_notice;
        if is_first_notice {
            info!(machine = %heartbeat.machine, notice_s = heartbeat.notice_s, "spot reclaim notice");
            leader.planning.needed = true;
        }
        let has_current_token =
            heartbeat.fencing_token == leader.fencing_token || !checks.absence_needs_current_token;
        let began_new_epoch = previous_epoch > 0 && heartbeat.epoch > previous_epoch;
        let evidence = AbsenceEvidence {
            is_current: is_heartbeat && has_current_token,
            is_new_epoch: is_heartbeat && checks.one_way_partitions && began_new_epoch,
            receives_nothing,
        };
        let reclaim_notice_s = heartbeat.notice_s.filter(|_| is_first_notice);
        Some(MachineUpdate { evidence, reclaim_notice_s })
    }

    /// Returns the limits by which the reachability of machines is judged now.
    fn heartbeat_timing(&self) -> HeartbeatTiming {
        let responding_since = match &self.role {
            Role::Leader(leader) if self.checks.retain_silent_machines => {
                leader.leadership.responsiveness.since(self.now)
            }
            _ => 0.0,
        };
        HeartbeatTiming {
            max_gap_s: self.timing.max_heartbeat_gap_s + self.timing.worker_failover_s,
            lease_expiry_s: self.timing.lease_expiry_s,
            responding_since,
        }
    }
}

impl LeaderState {
    /// Updates the placements of the tasks that a heartbeat lists, and returns the tasks that
    /// exited.
    fn reconcile_listed_tasks(
        &mut self,
        heartbeat: &Heartbeat,
        is_current: bool,
        now: Time,
    ) -> Vec<TaskExit> {
        let mut exits = Vec::new();
        for status in &heartbeat.tasks {
            let Some((job_id, task)) = split_task(&status.task) else { continue };
            let Some(job) = self.cluster.jobs.get_mut(job_id) else { continue };
            let placement = job.placements.get(&task).filter(|placement| {
                placement.machine == heartbeat.machine && placement.attempt == status.attempt
            });
            match classify_listed_task(placement, status, is_current) {
                ListedTask::Alive => {
                    record_live_task(job, task, &heartbeat.machine, status.state, now);
                }
                ListedTask::Exited => {
                    exits.push(TaskExit { job: job_id.to_string(), task, status: status.clone() });
                }
                ListedTask::CompletedByFormerAttempt => {
                    if job.done_tasks.get(task as usize) == Some(&false) {
                        job.finish_task(task);
                        self.planning.needed = true;
                    }
                }
                ListedTask::Ignored => {}
            }
        }
        exits
    }

    /// Releases the tasks that have ended according to a heartbeat, and returns their jobs.
    fn release_absent_tasks(
        &mut self,
        heartbeat: &Heartbeat,
        evidence: &AbsenceEvidence,
        now: Time,
    ) -> Vec<String> {
        let mut changed_jobs = Vec::new();
        for (job_id, task) in self.cluster.tasks_on(&heartbeat.machine) {
            let Some(job) = self.cluster.jobs.get_mut(&job_id) else { continue };
            let Some(placement) = job.placements.get(&task) else { continue };
            if !absence_proves_loss(placement, evidence)
                || lists_attempt(heartbeat, &job_id, task, placement.attempt)
            {
                continue;
            }
            if placement.observed_state.is_some() {
                info!(job = %job_id, task, machine = %heartbeat.machine, "task lost");
            }
            release_lost_task(job, task, now);
            changed_jobs.push(job_id);
        }
        changed_jobs
    }
}

/// Returns the arrival of a heartbeat, with the previous one taken from `machine`.
fn arrival_of(heartbeat: &Heartbeat, machine: &Machine, received_at: Time) -> HeartbeatArrival {
    HeartbeatArrival {
        previous_epoch: machine.newest_position.0,
        epoch: heartbeat.epoch,
        previous_at: machine.last_heartbeat_at,
        at: received_at,
    }
}

/// Whether a heartbeat lists the given attempt of a task.
fn lists_attempt(heartbeat: &Heartbeat, job: &str, task: u32, attempt: u64) -> bool {
    heartbeat
        .tasks
        .iter()
        .any(|status| status.attempt == attempt && split_task(&status.task) == Some((job, task)))
}

/// Records that a placed task is alive on its machine.
fn record_live_task(job: &mut Job, task: u32, machine: &str, state: TaskState, now: Time) {
    let Some(placement) = job.placements.get_mut(&task) else { return };
    let is_first_observation = placement.observed_state.is_none();
    placement.observed_state = Some(state);
    placement.inherited = false;
    if state == TaskState::Running && placement.running_since.is_none() {
        placement.running_since = Some(now);
        job.machines_with_image.insert(machine.to_string());
        if job.first_start.is_none() {
            job.first_start = Some(now);
            info!(job = %job.spec.id, waited_s = now - job.ready_at, "job started");
        }
    }
    if !is_first_observation {
        return;
    }
    let observed = job.placements.values().filter(|placement| placement.observed_state.is_some());
    if observed.count() == 1 {
        job.mark_main_dirty();
    }
}
