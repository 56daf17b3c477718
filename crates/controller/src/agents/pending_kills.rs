//! Kills that may not have reached their tasks yet. Each goes straight to its machine at once, and
//! with every response to the machine's heartbeats. The direct call is repeated with growing
//! pauses until there is proof that the tasks are gone: the first call may be lost or refused, and
//! a machine whose heartbeats don't arrive gets no responses.

use crate::agents::reconciliation::HeartbeatOrigin;
use crate::leader::state::{LeaderState, Role};
use crate::{CallContext, Controller, Time, WorkerReply};
use protocol::worker::{task_name, Command, CommandKind, DirectCommands};
use std::collections::{BTreeMap, BTreeSet};

/// Commands in one message, whose body is at most 64 KiB. What is left over goes with the next.
pub const MAX_COMMANDS: usize = 400;

/// The pauses between direct calls to a machine that gave no proof.
#[derive(Debug, Clone, Copy)]
struct RetryPauses {
    /// After the first call, in seconds. The pause doubles after each call.
    first_s: Time,
    /// The longest pause, in seconds.
    max_s: Time,
}

/// When a machine is called again.
struct Retry {
    at: Time,
    pause_s: Time,
}

/// Which jobs and machines have tasks to be killed.
#[derive(Default)]
pub struct PendingKills {
    /// Jobs with tasks that were newly marked to be killed.
    jobs: BTreeSet<String>,
    /// Machines with such tasks, to which only the leader may respond.
    machines: BTreeSet<String>,
    /// Machines that are called again unless there is proof by then.
    retries: BTreeMap<String, Retry>,
    /// A lower bound of all retry times, so that most ticks need no scan.
    next_retry_at: Time,
    /// Direct calls in flight.
    calls: usize,
}

impl PendingKills {
    /// Tasks of a job may be newly marked to be killed.
    pub fn add_job(&mut self, job_id: &str) {
        self.jobs.insert(job_id.to_string());
    }

    /// Removes and returns machines with tasks that were newly marked to be killed.
    pub fn take_machines(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.machines)
    }

    /// Machines that are to be called again now, at most `limit`.
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
        let left = self.retries.iter().filter(|(machine, _)| !due.contains(machine));
        self.next_retry_at = left.map(|(_, retry)| retry.at).fold(Time::MAX, Time::min);
        due
    }

    /// Schedules the next call to a machine that was called now, or could not be.
    fn schedule_retry(&mut self, machine: &str, now: Time, pauses: RetryPauses) {
        let previous = self.retries.get(machine);
        let pause_s = previous.map_or(pauses.first_s, |retry| (retry.pause_s * 2.0).min(pauses.max_s));
        let retry = Retry { at: now + pause_s, pause_s };
        self.next_retry_at = self.next_retry_at.min(retry.at);
        self.retries.insert(machine.to_string(), retry);
    }

    /// Nothing is to be killed on `machine` any more.
    fn remove(&mut self, machine: &str) {
        self.retries.remove(machine);
    }

    /// Calls `machine` again at once, if there is something to be killed.
    pub fn retry_now(&mut self, machine: &str, now: Time) {
        if let Some(retry) = self.retries.get_mut(machine) {
            retry.at = now;
            self.next_retry_at = now;
        }
    }
}

impl Controller {
    /// Tasks of a job may be newly marked to be killed: the next tick sends the kills.
    pub(crate) fn schedule_kills(&mut self, job_id: &str) {
        if let Role::Leader(leader) = &mut self.role {
            leader.pending_kills.add_job(job_id);
        }
    }

    /// Sends kills straight to the machines, each machine's in one call. (One call for each task,
    /// and all of a job's again for every task, once opened thousands of connections within
    /// seconds.)
    pub(crate) fn tick_pending_kills(&mut self) {
        let now = self.now;
        // The other half of the calls is for new kills.
        let max_retry_calls = self.timing.max_worker_calls / 2;
        let Role::Leader(leader) = &mut self.role else { return };
        let new = leader.take_machines_with_new_kills();
        let kills = &mut leader.pending_kills;
        let retries = kills.take_due(now, max_retry_calls.saturating_sub(kills.calls));
        for machine in &new {
            self.send_kills(machine, true);
        }
        for machine in retries.iter().filter(|machine| !new.contains(*machine)) {
            self.send_kills(machine, false);
        }
    }

    /// Calls `machine` with all kills that are pending there; `has_new`: some were never sent.
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
        let Some(called) = leader.cluster.machines.get(machine) else { return };
        // Its worker may have sent heartbeats here before this node became the leader.
        let contact_epoch = self.sharding.worker_contacts.get(machine).map_or(0, |(_, position)| position.0);
        let addr = called.addr.clone();
        let epoch = called.newest_position.0.max(contact_epoch);
        // A new leader hears from most machines soon. One that it doesn't hear from is called all
        // the same: the worker refuses commands for another epoch, and replies with its state.
        if addr.is_empty() || epoch == 0 && has_new {
            return;
        }
        leader.pending_kills.calls += 1;
        let context = CallContext::WorkerCall { token, machine: machine.to_string(), session: epoch };
        let body = DirectCommands { fencing_token: token, epoch, commands };
        self.call_worker(context, &addr, body);
    }

    /// A worker replied to direct commands that were meant for its `epoch`.
    pub(crate) fn on_worker_reply(&mut self, token: u64, machine: &str, epoch: u64, reply: WorkerReply) {
        let now = self.now;
        let Some(leader) = self.leader_state(token) else { return };
        leader.pending_kills.calls = leader.pending_kills.calls.saturating_sub(1);
        let WorkerReply::Heartbeat { executed, report } = reply else { return };
        if report.fencing_token > token {
            return self.observe_token(report.fencing_token, machine);
        }
        self.apply_heartbeat(&report, HeartbeatOrigin::CommandReply, now);
        let Some(leader) = self.leader_state(token) else { return };
        let known = leader.cluster.machines.get(machine);
        let known_epoch = known.map_or(epoch, |known| known.newest_position.0);
        if !executed && known_epoch != epoch {
            leader.pending_kills.retry_now(machine, now);
        }
    }

    /// Makes sure that only the leader responds to machines with new kills.
    pub(crate) fn mark_kills_leader_only(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        for machine in leader.pending_kills.take_machines() {
            self.update_leader_only(&machine);
        }
    }
}

impl LeaderState {
    /// Machines with tasks that are to be killed and to which no kill was sent yet.
    fn take_machines_with_new_kills(&mut self) -> BTreeSet<String> {
        let mut new = BTreeSet::new();
        for job_id in std::mem::take(&mut self.pending_kills.jobs) {
            let Some(job) = self.cluster.jobs.get_mut(&job_id) else { continue };
            for placement in job.placements.values_mut() {
                if placement.stopping.is_none() {
                    continue;
                }
                self.pending_kills.machines.insert(placement.machine.clone());
                // A launch that no heartbeat has shown yet may be on its way to the machine.
                // (Such tasks were once not killed before a heartbeat listed them.)
                let may_exist = placement.observed_state.is_some() || placement.launch_sent;
                if may_exist && !placement.kill_sent {
                    placement.kill_sent = true;
                    new.insert(placement.machine.clone());
                }
            }
        }
        new
    }

    /// The commands that kill what is to be killed on `machine`.
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
