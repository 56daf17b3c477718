//! Stops that may not have reached their tasks yet. Each goes straight to its machine at once, and
//! with every answer to the machine's reports; straight again, with growing pauses, until
//! there is proof: the first call may be lost or refused, and a mute machine is told by
//! nothing else.

use crate::leader::state::Role;
use crate::{CallContext, Controller, Time, WorkerReply};
use protocol::worker::*;
use std::collections::{BTreeMap, BTreeSet};

/// Most commands in one call: a body is at most 64 KiB. What is left over comes again.
pub const MOST_COMMANDS: usize = 400;

/// When a machine is told again.
struct RetryBackoff {
    at: Time,
    pause: Time,
}

/// Which jobs and machines have something to be stopped.
#[derive(Default)]
pub struct PendingKills {
    /// Jobs with tasks that are to be stopped and may not know it yet.
    jobs: BTreeSet<String>,
    /// Machines with such tasks, which only the leader may answer.
    machines: BTreeSet<String>,
    /// Machines that are told again, unless there is proof by then.
    retries: BTreeMap<String, RetryBackoff>,
    /// Nothing of that is due before.
    next_retry_at: Time,
    /// Calls on their way.
    calls: usize,
}

impl PendingKills {
    /// Tasks of job `id` may be newly under a stop.
    pub fn add_job(&mut self, id: &str) {
        self.jobs.insert(id.to_string());
    }

    /// Machines with tasks that were newly put under a stop.
    pub fn take_machines(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.machines)
    }

    /// Machines that are to be told again now, `most` of them.
    fn take_due(&mut self, now: Time, most: usize) -> Vec<String> {
        if now < self.next_retry_at {
            return Vec::new();
        }
        let due: Vec<String> =
            self.retries.iter().filter(|(_, a)| now >= a.at).map(|(m, _)| m.clone()).take(most).collect();
        let left = self.retries.iter().filter(|(m, _)| !due.contains(m));
        self.next_retry_at = left.map(|(_, a)| a.at).fold(Time::MAX, Time::min);
        due
    }

    /// `machine` was told, or could not be: it is told again after `first`, then after
    /// twice as long each time, up to `longest`.
    fn schedule_retry(&mut self, machine: &str, now: Time, first: Time, longest: Time) {
        let before = self.retries.get(machine).map(|a| a.pause);
        let pause = before.map_or(first, |p| (p * 2.0).min(longest));
        self.retries.insert(machine.to_string(), RetryBackoff { at: now + pause, pause });
        self.next_retry_at = self.next_retry_at.min(now + pause);
    }

    /// Nothing is to be stopped on `machine` any more.
    fn remove(&mut self, machine: &str) {
        self.retries.remove(machine);
    }

    /// `machine` is told again at once, if there is something.
    pub fn retry_now(&mut self, machine: &str, now: Time) {
        if let Some(a) = self.retries.get_mut(machine) {
            (a.at, self.next_retry_at) = (now, now);
        }
    }
}

impl Controller {
    /// Tasks of job `id` may be newly under a stop: `send_stops` looks there.
    pub(crate) fn kill_now(&mut self, id: &str) {
        if let Role::Leader(leader) = &mut self.role {
            leader.pending_kills.add_job(id);
        }
    }

    /// Sends stops straight to the machines, each machine's in one call; the answers to
    /// reports repeat them. (One call a task, and all of a job's again for every task,
    /// once opened thousands of connections within seconds.)
    pub(crate) fn tick_pending_kills(&mut self) {
        let (now, d) = (self.now, self.timing);
        let longest = self.settings.params.workers.lease_s;
        let Role::Leader(leader) = &mut self.role else { return };
        let mut new: BTreeSet<String> = BTreeSet::new();
        for id in std::mem::take(&mut leader.pending_kills.jobs) {
            let Some(job) = leader.cluster.jobs.get_mut(&id) else { continue };
            for p in job.placements.values_mut().filter(|p| p.stopping.is_some()) {
                leader.pending_kills.machines.insert(p.machine.clone());
                // What was launched and not seen may be on its way there: it was once
                // told nothing before a report showed it.
                if !p.kill_sent && (p.observed_state.is_some() || p.launch_sent) {
                    p.kill_sent = true;
                    new.insert(p.machine.clone());
                }
            }
        }
        // Half of the calls are for what is new.
        let again = leader
            .pending_kills
            .take_due(now, (d.max_worker_calls / 2).saturating_sub(leader.pending_kills.calls));
        for machine in new.iter().chain(again.iter().filter(|m| !new.contains(*m))) {
            let first = new.contains(machine);
            self.send_kills(machine, first, (d.worker_failover_s, longest));
        }
    }

    /// Tells `machine` directly what is to be stopped there; `first`: something of it is new.
    fn send_kills(&mut self, machine: &str, first: bool, (pause, longest): (Time, Time)) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        let mut commands = Vec::new();
        for (id, task) in leader.cluster.tasks_on(machine) {
            let Some(p) = leader.cluster.jobs.get(&id).and_then(|j| j.placements.get(&task)) else {
                continue;
            };
            let Some((_, grace)) = p.stopping.filter(|_| p.observed_state.is_some() || p.launch_sent) else {
                continue;
            };
            let (task, grace_s) = (task_name(&id, task), Some(grace));
            commands.push(Command { kind: CommandKind::Stop, task, attempt: p.attempt, grace_s });
        }
        commands.truncate(MOST_COMMANDS);
        if commands.is_empty() {
            return leader.pending_kills.remove(machine);
        }
        leader.pending_kills.schedule_retry(machine, now, pause, longest);
        let Some(m) = leader.cluster.machines.get(machine) else { return };
        // Its worker may have reported here before this node led.
        let before = self.sharding.worker_contacts.get(machine).map_or(0, |(_, place)| place.0);
        let (addr, session) = (m.addr.clone(), m.newest_position.0.max(before));
        // A new leader hears most machines soon. One that it does not is asked: it refuses what
        // names no session of its own, and reports.
        if addr.is_empty() || session == 0 && first {
            return;
        }
        leader.pending_kills.calls += 1;
        let machine = machine.to_string();
        let body = DirectCommands { fencing_token: token, epoch: session, commands };
        self.call_worker(CallContext::WorkerCall { token, machine, session }, &addr, body);
    }

    /// The answer to a direct command that named `session`.
    pub(crate) fn on_worker_reply(&mut self, token: u64, machine: &str, session: u64, reply: WorkerReply) {
        let now = self.now;
        let Some(leader) = self.leader_state(token) else { return };
        leader.pending_kills.calls = leader.pending_kills.calls.saturating_sub(1);
        let WorkerReply::Heartbeat { executed, report } = reply else { return };
        if report.fencing_token > token {
            return self.observe_token(report.fencing_token, machine);
        }
        self.apply_heartbeat(&report, false, now);
        let Some(leader) = self.leader_state(token) else { return };
        let known = leader.cluster.machines.get(machine).map_or(session, |m| m.newest_position.0);
        if !executed && known != session {
            leader.pending_kills.retry_now(machine, now);
        }
    }

    /// Looks again at machines where something is to be stopped.
    pub(crate) fn mark_kills_leader_only(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        for machine in leader.pending_kills.take_machines() {
            self.update_leader_only(&machine);
        }
    }
}
