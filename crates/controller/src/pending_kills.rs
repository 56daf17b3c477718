//! Stops that may not have reached their tasks yet. Each goes straight to its machine at once, and
//! with every answer to the machine's reports; straight again, with growing pauses, until
//! there is proof: the first call may be lost or refused, and a mute machine is told by
//! nothing else.

use crate::leader::Role;
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
    again: BTreeMap<String, RetryBackoff>,
    /// Nothing of that is due before.
    next: Time,
    /// Calls on their way.
    calls: usize,
}

impl PendingKills {
    /// Tasks of job `id` may be newly under a stop.
    pub fn look_at(&mut self, id: &str) {
        self.jobs.insert(id.to_string());
    }

    /// Machines with tasks that were newly put under a stop.
    pub fn take_machines(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.machines)
    }

    /// Machines that are to be told again now, `most` of them.
    fn due(&mut self, now: Time, most: usize) -> Vec<String> {
        if now < self.next {
            return Vec::new();
        }
        let due: Vec<String> =
            self.again.iter().filter(|(_, a)| now >= a.at).map(|(m, _)| m.clone()).take(most).collect();
        let left = self.again.iter().filter(|(m, _)| !due.contains(m));
        self.next = left.map(|(_, a)| a.at).fold(Time::MAX, Time::min);
        due
    }

    /// `machine` was told, or could not be: it is told again after `first`, then after
    /// twice as long each time, up to `longest`.
    fn told(&mut self, machine: &str, now: Time, first: Time, longest: Time) {
        let before = self.again.get(machine).map(|a| a.pause);
        let pause = before.map_or(first, |p| (p * 2.0).min(longest));
        self.again.insert(machine.to_string(), RetryBackoff { at: now + pause, pause });
        self.next = self.next.min(now + pause);
    }

    /// Nothing is to be stopped on `machine` any more.
    fn done(&mut self, machine: &str) {
        self.again.remove(machine);
    }

    /// `machine` is told again at once, if there is something.
    pub fn hurry(&mut self, machine: &str, now: Time) {
        if let Some(a) = self.again.get_mut(machine) {
            (a.at, self.next) = (now, now);
        }
    }
}

impl Controller {
    /// Tasks of job `id` may be newly under a stop: `send_stops` looks there.
    pub(crate) fn stop_now(&mut self, id: &str) {
        if let Role::Leader(l) = &mut self.role {
            l.stops.look_at(id);
        }
    }

    /// Sends stops straight to the machines, each machine's in one call; the answers to
    /// reports repeat them. (One call a task, and all of a job's again for every task,
    /// once opened thousands of connections within seconds.)
    pub(crate) fn send_stops(&mut self) {
        let (now, d) = (self.now, self.d);
        let longest = self.settings.params.workers.lease_s;
        let Role::Leader(l) = &mut self.role else { return };
        let mut new: BTreeSet<String> = BTreeSet::new();
        for id in std::mem::take(&mut l.stops.jobs) {
            let Some(job) = l.jobs.get_mut(&id) else { continue };
            for p in job.places.values_mut().filter(|p| p.stopping.is_some()) {
                l.stops.machines.insert(p.machine.clone());
                // What was launched and not seen may be on its way there: it was once
                // told nothing before a report showed it.
                if !p.told && (p.seen.is_some() || p.sent) {
                    p.told = true;
                    new.insert(p.machine.clone());
                }
            }
        }
        // Half of the calls are for what is new.
        let again = l.stops.due(now, (d.worker_calls / 2).saturating_sub(l.stops.calls));
        for machine in new.iter().chain(again.iter().filter(|m| !new.contains(*m))) {
            let first = new.contains(machine);
            self.stop_on(machine, first, (d.tour_s, longest));
        }
    }

    /// Tells `machine` directly what is to be stopped there; `first`: something of it is new.
    fn stop_on(&mut self, machine: &str, first: bool, (pause, longest): (Time, Time)) {
        let now = self.now;
        let Role::Leader(l) = &mut self.role else { return };
        let token = l.token;
        let mut commands = Vec::new();
        for (id, task) in l.tasks_on(machine) {
            let Some(p) = l.jobs.get(&id).and_then(|j| j.places.get(&task)) else { continue };
            let Some((_, grace)) = p.stopping.filter(|_| p.seen.is_some() || p.sent) else { continue };
            let (task, grace_s) = (task_name(&id, task), Some(grace));
            commands.push(Command { op: CommandKind::Stop, task, attempt: p.attempt, grace_s });
        }
        commands.truncate(MOST_COMMANDS);
        if commands.is_empty() {
            return l.stops.done(machine);
        }
        l.stops.told(machine, now, pause, longest);
        let Some(m) = l.machines.get(machine) else { return };
        // Its worker may have reported here before this node led.
        let before = self.workers_heard.get(machine).map_or(0, |(_, place)| place.0);
        let (addr, session) = (m.addr.clone(), m.newest.0.max(before));
        // A new leader hears most machines soon. One that it does not is asked: it refuses what
        // names no session of its own, and reports.
        if addr.is_empty() || session == 0 && first {
            return;
        }
        l.stops.calls += 1;
        let machine = machine.to_string();
        let body = DirectCommands { token, session, commands };
        self.direct(CallContext::Direct { token, machine, session }, &addr, body);
    }

    /// The answer to a direct command that named `session`.
    pub(crate) fn on_direct(&mut self, token: u64, machine: &str, session: u64, r: WorkerReply) {
        let now = self.now;
        let Some(l) = self.lead(token) else { return };
        l.stops.calls = l.stops.calls.saturating_sub(1);
        let WorkerReply::Report { executed, report } = r else { return };
        if report.token > token {
            return self.heard_of(report.token, machine);
        }
        self.take_report(&report, false, now);
        let Some(l) = self.lead(token) else { return };
        let known = l.machines.get(machine).map_or(session, |m| m.newest.0);
        if !executed && known != session {
            l.stops.hurry(machine, now);
        }
    }

    /// Looks again at machines where something is to be stopped.
    pub(crate) fn attend_to_stops(&mut self) {
        let Role::Leader(l) = &mut self.role else { return };
        for machine in l.stops.take_machines() {
            self.attend_to(&machine);
        }
    }
}
