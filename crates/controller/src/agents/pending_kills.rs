//! Kills that may not have reached their tasks yet. Each kill is sent to its machine in a direct
//! call and with every response to the machine's heartbeats. The direct call is repeated with
//! growing pauses until there is proof that the tasks have ended: a call may be lost or refused,
//! and a machine whose heartbeats don't arrive gets no responses.

use crate::agents::reconciliation::HeartbeatOrigin;
use crate::leader::state::{LeaderState, Role};
use crate::{CallContext, Controller, Time, WorkerReply};
use protocol::worker::{task_name, Command, CommandKind, DirectCommands};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of commands in one message, whose body is at most 64 KiB. The remaining commands
/// are sent with the next message.
pub const MAX_COMMANDS: usize = 400;

/// Pauses between direct calls to a machine, as long as there is no proof that its tasks ended.
#[derive(Debug, Clone, Copy)]
struct RetryPauses {
    /// Pause after the first call, in seconds. It doubles after each call.
    first_s: Time,
    /// Maximum pause, in seconds.
    max_s: Time,
}

/// Schedule of the next call to a machine.
struct Retry {
    at: Time,
    pause_s: Time,
}

/// Jobs and machines with tasks to be killed, and the schedule of direct calls.
#[derive(Default)]
pub struct PendingKills {
    /// Jobs with tasks that were newly marked to be killed.
    jobs: BTreeSet<String>,
    /// Machines with such tasks, to which only the leader may respond.
    machines: BTreeSet<String>,
    /// Machines that are called again unless their tasks are proven to have ended by then.
    retries: BTreeMap<String, Retry>,
    /// A lower bound of all retry times, so that most ticks need no scan.
    next_retry_at: Time,
    /// Number of direct calls in flight.
    calls_in_flight: usize,
}

impl PendingKills {
    /// Adds a job whose tasks may be newly marked to be killed.
    pub fn add_job(&mut self, job_id: &str) {
        self.jobs.insert(job_id.to_string());
    }

    /// Removes and returns machines with tasks that were newly marked to be killed.
    pub fn take_machines(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.machines)
    }

    /// Returns the machines that are due for another call, at most `limit`.
    fn take_due(&mut self, now: Time, limit: usize) -> Vec<String> {
        if now < self.next_retry_at {
            return Vec::new();
        }
        let due: Vec<String> = self
            .retries
            .iter()
            .filter(|(_, retry)| now >= retry.at)
            .map(|(machine, _)| machine.clone())
            .take(limit)
            .collect();
        let remaining = self.retries.iter().filter(|(machine, _)| !due.contains(machine));
        self.next_retry_at = remaining.map(|(_, retry)| retry.at).fold(Time::MAX, Time::min);
        due
    }

    /// Schedules the next call to a machine that is called now or can't be called yet.
    fn schedule_retry(&mut self, machine: &str, now: Time, pauses: RetryPauses) {
        let previous = self.retries.get(machine);
        let pause_s = previous.map_or(pauses.first_s, |retry| (retry.pause_s * 2.0).min(pauses.max_s));
        let retry = Retry { at: now + pause_s, pause_s };
        self.next_retry_at = self.next_retry_at.min(retry.at);
        self.retries.insert(machine.to_string(), retry);
    }

    /// Removes `machine`, on which there is no longer anything to kill.
    fn remove(&mut self, machine: &str) {
        self.retries.remove(machine);
    }

    /// Makes the next call to `machine` due immediately, if kills are pending there.
    pub fn retry_now(&mut self, machine: &str, now: Time) {
        if let Some(retry) = self.retries.get_mut(machine) {
            retry.at = now;
            self.next_retry_at = now;
        }
    }
}

impl Controller {
    /// Schedules the kills of a job whose tasks may be newly marked to be killed. The next tick
    /// sends them.
    pub(crate) fn schedule_kills(&mut self, job_id: &str) {
        if let Role::Leader(leader) = &mut self.role {
            leader.pending_kills.add_job(job_id);
        }
    }

    /// Sends the kills directly to the machines, with one call per machine. One call per task,
    /// with all kills of the job repeated for every task, opened thousands of connections within
    /// seconds.
    pub(crate) fn tick_pending_kills(&mut self) {
        let now = self.now;
        // The other half of the calls is reserved for new kills.
        let max_retry_calls = self.timing.max_worker_calls / 2;
        let Role::Leader(leader) = &mut self.role else { return };
        let with_new_kills = leader.take_machines_with_new_kills();
        let kills = &mut leader.pending_kills;
        let due_retries = kills.take_due(now, max_retry_calls.saturating_sub(kills.calls_in_flight));
        for machine in &with_new_kills {
            self.send_kills(machine, true);
        }
        for machine in due_retries.iter().filter(|machine| !with_new_kills.contains(*machine)) {
            self.send_kills(machine, false);
        }
    }

    /// Calls `machine` with all kills that are pending there. `has_new`: some of them were never
    /// sent.
    fn send_kills(&mut self, machine: &str, has_new: bool) {
        let now = self.now;
        let pauses = RetryPauses {
            first_s: self.timing.worker_failover_s,
            max_s: self.settings.params.workers.lease_s,
        };
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        let commands = leader.kill_commands(machine);
        if commands.is_empty() {
            return leader.pending_kills.remove(machine);
        }
        leader.pending_kills.schedule_retry(machine, now, pauses);
        let Some(recipient) = leader.cluster.machines.get(machine) else { return };
        // The machine's worker may have sent heartbeats here before this node became the leader.
        let contact_epoch = self.sharding.worker_contacts.get(machine).map_or(0, |(_, position)| position.0);
        let addr = recipient.addr.clone();
        let epoch = recipient.newest_position.0.max(contact_epoch);
        // A new leader soon hears from most machines, so new kills wait until the epoch is known.
        // Retries are sent even if it is unknown: the worker refuses commands for another epoch,
        // but replies with its state.
        if addr.is_empty() || epoch == 0 && has_new {
            return;
        }
        leader.pending_kills.calls_in_flight += 1;
        let context = CallContext::WorkerCall { token, machine: machine.to_string(), session: epoch };
        let body = DirectCommands { fencing_token: token, epoch, commands };
        self.call_worker(context, &addr, body);
    }

    /// Handles a worker's reply to direct commands that were meant for its `epoch`.
    pub(crate) fn on_worker_reply(&mut self, token: u64, machine: &str, epoch: u64, reply: WorkerReply) {
        let now = self.now;
        let Some(leader) = self.leader_state(token) else { return };
        leader.pending_kills.calls_in_flight = leader.pending_kills.calls_in_flight.saturating_sub(1);
        let WorkerReply::Heartbeat { executed, report } = reply else { return };
        if report.fencing_token > token {
            return self.observe_token(report.fencing_token, machine);
        }
        self.apply_heartbeat(&report, HeartbeatOrigin::CommandReply, now);
        let Some(leader) = self.leader_state(token) else { return };
        let known_machine = leader.cluster.machines.get(machine);
        let known_epoch = known_machine.map_or(epoch, |known| known.newest_position.0);
        if !executed && known_epoch != epoch {
            leader.pending_kills.retry_now(machine, now);
        }
    }

    /// Ensures that only the leader responds to machines with new kills.
    pub(crate) fn mark_kills_leader_only(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        for machine in leader.pending_kills.take_machines() {
            self.update_leader_only(&machine);
        }
    }
}

impl LeaderState {
    /// Returns the machines with tasks to be killed for which no kill was sent yet, and marks these
    /// kills as sent.
    fn take_machines_with_new_kills(&mut self) -> BTreeSet<String> {
        let mut with_new_kills = BTreeSet::new();
        for job_id in std::mem::take(&mut self.pending_kills.jobs) {
            let Some(job) = self.cluster.jobs.get_mut(&job_id) else { continue };
            for placement in job.placements.values_mut() {
                if placement.stopping.is_none() {
                    continue;
                }
                self.pending_kills.machines.insert(placement.machine.clone());
                // A task that no heartbeat has listed yet may still exist, because its launch may
                // be on its way to the machine. Without this rule, such a task was not killed
                // until a heartbeat listed it.
                let may_exist = placement.observed_state.is_some() || placement.launch_sent;
                if may_exist && !placement.kill_sent {
                    placement.kill_sent = true;
                    with_new_kills.insert(placement.machine.clone());
                }
            }
        }
        with_new_kills
    }

    /// Returns the commands that kill the tasks to be killed on `machine`.
    fn kill_commands(&mut self, machine: &str) -> Vec<Command> {
        let mut commands = Vec::new();
        for (job_id, task) in self.cluster.tasks_on(machine) {
            let Some(job) = self.cluster.jobs.get(&job_id) else { continue };
            let Some(placement) = job.placements.get(&task) else { continue };
            let Some((_, grace_s)) = placement.stopping else { continue };
            if placement.observed_state.is_none() && !placement.launch_sent {
                continue;
            }
            commands.push(Command {
                kind: CommandKind::Stop,
                task: task_name(&job_id, task),
                attempt: placement.attempt,
                grace_s: Some(grace_s),
            });
        }
        commands.truncate(MAX_COMMANDS);
        commands
    }
}
