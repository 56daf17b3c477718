//! Responses to heartbeats: the time at which a response is sent and the commands that it carries.

use crate::agents::heartbeat_queue::{PendingHeartbeat, ReplyRoute};
use crate::agents::pending_kills::MAX_COMMANDS;
use crate::leader::state::{LeaderState, Role};
use crate::model::job::{Job, Placement};
use crate::model::machine::Machine;
use crate::{Controller, Time};
use protocol::peer::{MachineCommands, TaskCommand};
use protocol::worker::{
    split_task, task_name, Command, CommandKind, Heartbeat, HeartbeatResponse, TaskState, TaskStatus,
};

/// Number of checks of all pending heartbeats per planning interval.
const CHECKS_PER_PLANNING_INTERVAL: Time = 50.0;

/// Conditions under which the leader may launch tasks now.
#[derive(Clone, Copy)]
struct LaunchPolicy {
    /// Whether tasks may be launched, because the leadership lease is confirmed.
    may_launch: bool,
    /// Whether only stored placements may be launched.
    committed_only: bool,
}

impl Controller {
    /// Defers the response to an ingested heartbeat until there is a command for its machine or
    /// the hold time has passed.
    pub(crate) fn defer_response(&mut self, heartbeat: &Heartbeat, reply_route: ReplyRoute) {
        let now = self.now;
        let timing = self.timing;
        let Role::Leader(leader) = &mut self.role else { return };
        let machine = heartbeat.machine.clone();
        let has_exited = |status: &TaskStatus| status.state == TaskState::Exited;
        let idle = heartbeat.tasks.iter().all(has_exited)
            && leader.cluster.machines.get(&machine).is_some_and(Machine::accepts_work);
        let hold_s = if idle { timing.idle_heartbeat_hold_s } else { timing.busy_heartbeat_hold_s };
        let pending = PendingHeartbeat { reply_route, deadline: now + hold_s, idle };
        leader.heartbeats.to_check.insert(machine.clone());
        let superseded = leader.heartbeats.pending.insert(machine, pending);
        // The worker no longer waits for the response to the older heartbeat.
        if let Some(ReplyRoute::Direct(request_id)) = superseded.map(|older| older.reply_route) {
            self.respond_error(request_id, 503, "a newer report came");
        }
    }

    /// Responds to the pending heartbeats for which there are commands or whose deadline has
    /// passed.
    pub(crate) fn respond_to_pending_heartbeats(&mut self) {
        let now = self.now;
        let scan_interval_s = self.timing.planning_interval_s / CHECKS_PER_PLANNING_INTERVAL;
        let Role::Leader(leader) = &mut self.role else { return };
        let mut machines = std::mem::take(&mut leader.heartbeats.to_check);
        if now >= leader.heartbeats.check_all_at {
            leader.heartbeats.check_all_at = now + scan_interval_s;
            // Few heartbeats wait for a plan or a commit at the same time. Those of idle machines
            // wait only for their deadline, unless a task is placed there.
            let due = leader
                .heartbeats
                .pending
                .iter()
                .filter(|(_, pending)| !pending.idle || now >= pending.deadline);
            machines.extend(due.map(|(machine, _)| machine.clone()));
        }
        for machine in machines {
            self.update_leader_only(&machine);
            self.respond_if_ready(&machine);
        }
    }

    /// Responds to a machine's pending heartbeat, unless the response has a reason to wait longer.
    fn respond_if_ready(&mut self, machine: &str) {
        let now = self.now;
        let policy = self.launch_policy();
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(pending) = leader.heartbeats.pending.get(machine) else { return };
        let idle = pending.idle;
        if now < pending.deadline && leader.should_keep_pending(machine, idle, policy) {
            return;
        }
        let Some(pending) = leader.heartbeats.pending.remove(machine) else { return };
        let response = self.build_response(machine);
        self.respond_to_heartbeat(machine, pending, response);
    }

    /// Sends the response to a pending heartbeat on the route on which the heartbeat arrived.
    fn respond_to_heartbeat(
        &mut self,
        machine: &str,
        pending: PendingHeartbeat,
        response: HeartbeatResponse,
    ) {
        match pending.reply_route {
            ReplyRoute::Direct(request_id) => {
                self.respond(request_id, 200, protocol::encode(&response));
            }
            // At the deadline, the proxy responds to an idle machine by itself.
            ReplyRoute::Forwarded { .. } if pending.idle && response.commands.is_empty() => {}
            ReplyRoute::Forwarded { proxy, epoch, sequence } => {
                let Role::Leader(leader) = &mut self.role else { return };
                let commands = MachineCommands {
                    machine: machine.to_string(),
                    session: epoch,
                    seq: sequence,
                    orders: response.commands.iter().map(TaskCommand::from).collect(),
                };
                leader.forwarding.add_commands(&proxy, commands);
            }
        }
    }

    /// Builds the response to a heartbeat of `machine`, with the commands that are due now.
    pub(crate) fn build_response(&mut self, machine: &str) -> HeartbeatResponse {
        let policy = self.launch_policy();
        let Role::Leader(leader) = &mut self.role else {
            return HeartbeatResponse { fencing_token: 0, commands: Vec::new() };
        };
        let listed_tasks = leader.cluster.machines.get(machine).map_or(&[][..], |known| &known.tasks);
        let mut commands = Vec::new();
        for status in listed_tasks {
            let Some((job_id, task)) = split_task(&status.task) else { continue };
            let is_undecodable = leader.undecodable.contains_job(job_id);
            if is_undecodable && self.terminal_states.get(job_id).is_none() {
                continue;
            }
            let job = leader.cluster.jobs.get(job_id);
            commands.extend(command_for_listed_task(status, task, job, machine, policy.may_launch));
        }
        if policy.may_launch {
            for (job_id, task) in leader.cluster.tasks_on(machine) {
                // A client was shown a terminal state that the leader has yet to read from the
                // job's record.
                if self.terminal_states.get(&job_id).is_some() {
                    continue;
                }
                commands.extend(leader.launch_command(&job_id, task, policy));
            }
        }
        // A response is at most 64 KiB; the remaining commands are sent with the next one.
        commands.truncate(MAX_COMMANDS);
        HeartbeatResponse { fencing_token: leader.fencing_token, commands }
    }

    fn launch_policy(&self) -> LaunchPolicy {
        LaunchPolicy { may_launch: self.may_act(), committed_only: self.checks.launch_after_commit }
    }
}

impl LeaderState {
    /// Whether the response to a pending heartbeat has a reason to wait longer.
    fn should_keep_pending(&mut self, machine: &str, idle: bool, policy: LaunchPolicy) -> bool {
        let mut has_launch = false;
        for (job_id, task) in self.cluster.tasks_on(machine) {
            let Some(job) = self.cluster.jobs.get(&job_id) else { continue };
            let Some(placement) = job.placements.get(&task) else { continue };
            if !placement.committed && policy.committed_only {
                return true;
            }
            has_launch |= placement.observed_state.is_none() && !job.is_final() && policy.may_launch;
        }
        let Some(machine) = self.cluster.machines.get(machine) else { return false };
        let mut has_forget = false;
        for status in machine.tasks.iter().filter(|status| status.state == TaskState::Exited) {
            let job =
                split_task(&status.task).and_then(|(id, task)| Some((self.cluster.jobs.get(id)?, task)));
            match job {
                // The task's result is about to be stored, which frees the resources for another
                // task.
                Some((job, task)) if job.persistence.is_urgent() && !job.outcome_stored(task) => return true,
                Some((job, task)) => has_forget |= job.outcome_stored(task),
                None => has_forget = true,
            }
        }
        if idle {
            return !has_launch && !has_forget;
        }
        // The next plan may use resources that have just become free.
        self.planning.needed && machine.accepts_work()
    }

    /// Returns the command that launches a task on its machine, if the launch is due.
    fn launch_command(&mut self, job_id: &str, task: u32, policy: LaunchPolicy) -> Option<Command> {
        let job = self.cluster.jobs.get_mut(job_id).filter(|job| !job.is_final())?;
        let placement = job.placements.get_mut(&task)?;
        let is_due = (placement.committed || !policy.committed_only)
            && !placement.inherited
            && placement.observed_state.is_none()
            && placement.stopping.is_none();
        if !is_due {
            return None;
        }
        placement.launch_sent = true;
        Some(Command {
            kind: CommandKind::Start,
            task: task_name(job_id, task),
            attempt: placement.attempt,
            grace_s: None,
        })
    }
}

/// Returns the command for a task that the worker of `machine` lists, if one is needed.
fn command_for_listed_task(
    status: &TaskStatus,
    task: u32,
    job: Option<&Job>,
    machine: &str,
    may_launch: bool,
) -> Option<Command> {
    let command =
        |kind, grace_s| Command { kind, task: status.task.clone(), attempt: status.attempt, grace_s };
    let is_this_attempt =
        |placement: &&Placement| placement.machine == machine && placement.attempt == status.attempt;
    let placement = job.and_then(|job| job.placements.get(&task)).filter(is_this_attempt);
    match (status.state, placement) {
        // The worker may forget the task only once its result is stored and the stored record no
        // longer contains its placement.
        (TaskState::Exited, None) => {
            job.is_none_or(|job| job.outcome_stored(task)).then(|| command(CommandKind::Forget, None))
        }
        // The same attempt has to be started there again (see `restart_if_gang_assembling`).
        (TaskState::Exited, Some(placement)) => {
            let is_restart = may_launch
                && placement.committed
                && placement.observed_state.is_none()
                && placement.stopping.is_none();
            is_restart.then(|| command(CommandKind::Forget, None))
        }
        (_, None) => Some(command(CommandKind::Stop, Some(0.0))),
        (_, Some(placement)) => {
            let (_, grace_s) = placement.stopping?;
            Some(command(CommandKind::Stop, Some(grace_s)))
        }
    }
}
