//! Reports of workers: what they prove, and which commands they are answered.

use crate::agents::one_way_partition::HeartbeatTiming;
use crate::agents::pending_kills::MOST_COMMANDS;
use crate::leader::state::Role;
use crate::model::job::{Job, Placement};
use crate::model::machine::{Machine, MachinePhase};
use crate::proxy::heartbeat_proxying::{ReplyRoute, WorkerAdmission};
use crate::{CallContext, Controller, RequestId, StoreRequest, Time};
use protocol::job::Shape;
use protocol::worker::*;
use sharding::HeartbeatForwarding;
use tracing::{info, warn};

/// A report whose answer waits a moment for the commit that its launches need.
pub struct PendingHeartbeat {
    pub reply_route: ReplyRoute,
    pub until: Time,
    /// Its machine has nothing to do: the answer waits for a launch.
    pub idle: bool,
}

/// Most workers whose reports are counted. Beyond it those make room that were silent for that
/// many leases: no copy of their reports is that late.
const MOST_WORKERS: usize = 20_000;
const FORGOTTEN_LEASES: Time = 10.0;

impl Controller {
    pub(crate) fn on_heartbeat(&mut self, request_id: RequestId, body: &[u8]) {
        let report: Heartbeat = match protocol::decode(body) {
            Ok(r) => r,
            Err(e) => return self.respond_error(request_id, 400, &e.to_string()),
        };
        let now = self.now;
        // A copy that comes late, or a report that was held for long, is no hearing.
        let place = (report.epoch, report.sequence);
        if self.sharding.worker_contacts.len() >= MOST_WORKERS
            && !self.sharding.worker_contacts.contains_key(&report.machine)
        {
            // (Nobody ever left, and once so many had come no new worker was counted.)
            let since = now - self.settings.params.workers.lease_s * FORGOTTEN_LEASES;
            self.sharding.worker_contacts.retain(|_, (at, _)| *at > since);
        }
        let room = self.sharding.worker_contacts.len() < MOST_WORKERS;
        match self.sharding.worker_contacts.get_mut(&report.machine) {
            Some(last) if place > last.1 => {
                *last = (now, place);
                self.sharding.balancer.on_heartbeat(now, &report.machine);
            }
            Some(_) => {}
            None if room => {
                self.sharding.worker_contacts.insert(report.machine.clone(), (now, place));
                self.sharding.balancer.on_heartbeat(now, &report.machine);
            }
            None => {}
        }
        if self.is_leader() {
            self.on_leader_heartbeat(request_id, &report);
        } else {
            self.on_proxied_heartbeat(request_id, report);
        }
    }

    /// A report that came straight to the leader.
    pub(crate) fn on_leader_heartbeat(&mut self, request_id: RequestId, heartbeat: &Heartbeat) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let token = leader.fencing_token;
        if heartbeat.fencing_token > token {
            self.observe_token(heartbeat.fencing_token, &heartbeat.machine);
            return self.respond_error(request_id, 503, "a newer leader exists");
        }
        if !leader.recovery.finished && self.checks.response_grace {
            let older =
                leader.heartbeats.early.insert(request_id, heartbeat, now + self.timing.recovery_hold_s);
            if let Some(older) = older {
                self.respond_error(older, 503, "a newer report came");
            }
            return;
        }
        // Past the grace a cancellation may have been told that this node
        // cannot see: the workers' leases have to run out in time for it.
        if !leader.leadership.authority.may_respond(now) && self.checks.response_grace {
            return self.respond_error(request_id, 503, "state service not reached");
        }
        let known = leader.cluster.machines.get(&heartbeat.machine).is_some_and(|m| m.reports_here);
        match self.admit_worker(known) {
            WorkerAdmission::Accept => {}
            WorkerAdmission::Redirect(node) => return self.redirect(request_id, Some(node)),
            WorkerAdmission::Reject => {
                return self.respond_error(request_id, 503, "no room for more workers")
            }
        }
        let Some(leader) = self.leader_state(token) else { return };
        if !leader.recovery.finished {
            let answer = HeartbeatResponse { fencing_token: token, commands: Vec::new() };
            return self.respond(request_id, 200, protocol::encode(&answer));
        }
        if !self.ingest_heartbeat(heartbeat, None, now) {
            // Late, or overtaken by a copy of it or by the answer to a direct command. Its worker
            // may wait yet, and the answer renews its lease: it says what there is to tell.
            // (A copy that came first once took the stops with it, with every report.)
            let answer = self.commands_for(&heartbeat.machine);
            return self.respond(request_id, 200, protocol::encode(&answer));
        }
        if let Some(node) = self.pick_better_node(heartbeat) {
            return self.redirect(request_id, Some(node));
        }
        self.defer_response(heartbeat, ReplyRoute::Direct(request_id));
    }

    /// The records are read: what came before is answered.
    pub(crate) fn process_early_heartbeats(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        for (request, report) in leader.heartbeats.early.take_all() {
            self.on_leader_heartbeat(request, &report);
        }
    }

    /// Reports whose workers wait no longer for the records to be read.
    pub(crate) fn expire_early_heartbeats(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        for request in leader.heartbeats.early.take_expired(self.now) {
            self.respond_error(request, 503, "records are being read");
        }
    }

    /// Takes in a report that came here or to another node at `came`; false if it
    /// is not newer than the last, or speaks of a machine that is gone.
    pub(crate) fn ingest_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        via: Option<sharding::ProxyId>,
        came: Time,
    ) -> bool {
        let (now, silent_s, order) = (self.now, self.timing.failure_suspicion_s, self.checks.heartbeat_order);
        let Role::Leader(leader) = &mut self.role else { return false };
        let id = &heartbeat.machine;
        // Gateways that come back pass on all that they knew: what was given
        // back meanwhile once took work again until it fell silent.
        let gone = leader.fleet.has_tombstone(id)
            || !leader.cluster.machines.contains_key(id) && now - came > silent_s;
        if gone {
            return false;
        }
        let m = leader.cluster.machines.entry(id.clone()).or_insert_with(|| {
            info!(machine = %heartbeat.machine, "heartbeat from a machine not in the list yet");
            let mut m = Machine::new(
                &heartbeat.machine,
                &heartbeat.machine_type,
                &heartbeat.zone,
                heartbeat.spot,
                came,
            );
            m.unconfirmed_since = Some(came);
            m
        });
        // Whoever has taken an answer of this leader's is there. (Two copies that came one after
        // the other once passed for a worker that goes on.)
        m.unconfirmed_since.take_if(|_| heartbeat.fencing_token == leader.fencing_token);
        if m.last_heard_at.is_none() {
            info!(machine = %id, kind = %heartbeat.machine_type, zone = %heartbeat.zone, spot = heartbeat.spot,
                  took_s = now - m.known_since, "machine up");
            leader.planning.needed = true;
            for (image, at, gb) in leader.cluster.cached_images.remove(id).unwrap_or_default() {
                m.record_image(image, at, gb);
            }
        }
        // Its lease runs from when it sent the report, which was earlier. (A copy of one
        // that was taken before says nothing of a later answer.)
        m.record_heartbeat((heartbeat.epoch, heartbeat.sequence), came, order);
        if !self.apply_heartbeat(heartbeat, true, came) {
            return false;
        }
        self.record_observation(via.as_ref(), &heartbeat.zone, came);
        if let Role::Leader(leader) = &mut self.role {
            if let Some(m) = leader.cluster.machines.get_mut(id) {
                m.record_unsolicited_heartbeat(came);
                m.reports_here = via.is_none();
                m.proxy = via;
            }
        }
        true
    }

    /// Keeps a report that was taken in until there is something to tell.
    pub(crate) fn defer_response(&mut self, heartbeat: &Heartbeat, way: ReplyRoute) {
        let (now, hold, idle_hold) =
            (self.now, self.timing.busy_heartbeat_hold_s, self.timing.idle_heartbeat_hold_s);
        let Role::Leader(leader) = &mut self.role else { return };
        let id = heartbeat.machine.clone();
        let idle = heartbeat.tasks.iter().all(|t| t.state == TaskState::Exited)
            && leader.cluster.machines.get(&id).is_some_and(Machine::accepts_work);
        let until = now + if idle { idle_hold } else { hold };
        leader.heartbeats.to_check.insert(id.clone());
        let older = leader.heartbeats.pending.insert(id, PendingHeartbeat { reply_route: way, until, idle });
        // Its worker has given that one up.
        if let Some(PendingHeartbeat { reply_route: ReplyRoute::Direct(request), .. }) = older {
            self.respond_error(request, 503, "a newer report came");
        }
    }

    /// Draws what a report proves; false if it is not newer than the last.
    /// `beat` is false for the answer to a direct command: that one may have
    /// been made while the answer to a report, with a launch in it, was still
    /// on its way, so what it lacks may yet start. `came`: when a node got it.
    pub(crate) fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, beat: bool, came: Time) -> bool {
        let (now, d) = (self.now, self.timing);
        let Role::Leader(leader) = &mut self.role else { return false };
        let token = leader.fencing_token;
        let Some(m) = leader.cluster.machines.get_mut(&heartbeat.machine) else { return false };
        let noticed = m.spot_reclaim_at.is_some();
        let mut leaving = None;
        if self.checks.heartbeat_order && (heartbeat.epoch, heartbeat.sequence) <= m.newest_position {
            return false;
        }
        let before = m.newest_position.0;
        // One gap of reports, and a try of another node in between.
        let voice = if self.checks.retain_silent_machines {
            leader.leadership.responsiveness.since(now)
        } else {
            0.0
        };
        let pace = HeartbeatTiming {
            max_gap_s: d.max_heartbeat_gap_s + d.worker_failover_s,
            lease_expiry_s: d.lease_expiry_s,
            responding_since: voice,
        };
        let unheard =
            beat && m.reachability.record(before, heartbeat.epoch, m.last_heartbeat_at, came, &pace);
        if unheard {
            warn!(machine = %heartbeat.machine, "machine does not receive responses, cordoned");
            leader.planning.needed = true;
        }
        // Its tasks ended with the session before, and what was launched in answers to that
        // one's reports is never carried out.
        let anew = beat && self.checks.one_way_partitions && before > 0 && heartbeat.epoch > before;
        if before == 0 {
            // What is to be stopped there could not be told for want of its session.
            leader.pending_kills.retry_now(&heartbeat.machine, now);
        }
        m.apply_heartbeat(heartbeat, now);
        if beat {
            m.record_contact(came);
        }
        if m.spot_reclaim_at.is_some() && !noticed {
            info!(machine = %heartbeat.machine, notice_s = heartbeat.notice_s, "spot reclaim notice");
            leader.planning.needed = true;
            leaving = heartbeat.notice_s;
        }
        // Only a worker that has seen this leader's token is past every
        // earlier leader's commands: absence proves nothing before.
        let settled = beat && (heartbeat.fencing_token == token || !self.checks.absence_needs_current_token);
        let mut touched: Vec<String> = Vec::new();
        let mut exits: Vec<(String, u32, TaskStatus)> = Vec::new();
        for t in &heartbeat.tasks {
            let Some((job_id, number)) = split_task(&t.task) else { continue };
            let Some(job) = leader.cluster.jobs.get_mut(job_id) else { continue };
            let mine = job
                .placements
                .get_mut(&number)
                .filter(|p| p.machine == heartbeat.machine && p.attempt == t.attempt);
            match mine {
                Some(p) => {
                    if t.state == TaskState::Exited {
                        // It may have been started again since, by an answer of an earlier
                        // leader's to this very report, or by one that is on its way.
                        if t.exit_cause == Some(ExitCause::Alone) && !settled {
                            continue;
                        }
                        exits.push((job_id.to_string(), number, t.clone()));
                    } else {
                        let first = p.observed_state.is_none();
                        p.observed_state = Some(t.state);
                        p.inherited = false;
                        if t.state == TaskState::Running && p.running_since.is_none() {
                            p.running_since = Some(now);
                            job.machines_with_image.insert(heartbeat.machine.clone());
                            if job.first_start.replace(job.first_start.unwrap_or(now)).is_none() {
                                info!(job = %job_id, waited_s = now - job.ready_at, "job started");
                            }
                        }
                        if first
                            && job.placements.values().filter(|p| p.observed_state.is_some()).count() == 1
                        {
                            job.mark_main_dirty();
                        }
                    }
                }
                // The result of an attempt that was given up still counts.
                None if t.state == TaskState::Exited
                    && t.exit_cause == Some(ExitCause::Done)
                    && job.done_tasks.get(number as usize) == Some(&false) =>
                {
                    job.finish_task(number);
                    leader.planning.needed = true;
                }
                None => {}
            }
        }
        for (id, task) in leader.cluster.tasks_on(&heartbeat.machine) {
            let Some(job) = leader.cluster.jobs.get_mut(&id) else { continue };
            let Some(p) = job.placements.get(&task) else { continue };
            let launched = p.observed_state.is_some() || p.inherited || p.stopping.is_some() && p.launch_sent;
            let proof = settled && launched || anew && !p.inherited && (p.launch_sent || unheard);
            if proof && !Self::heartbeat_lists(heartbeat, &id, task, p) {
                if p.observed_state.is_some() {
                    info!(job = %id, task, machine = %heartbeat.machine, "task lost");
                }
                lose(job, task, now);
                touched.push(id);
            }
        }
        if !touched.is_empty() || !exits.is_empty() {
            leader.planning.needed = true;
        }
        for (id, task, t) in exits {
            self.on_task_exit(&heartbeat.machine, &id, task, &t);
            touched.push(id);
        }
        for id in touched {
            self.settle_terminal(&id);
            self.kill_now(&id);
        }
        if let Some(notice_s) = leaving {
            self.checkpoint_gangs_before_reclaim(&heartbeat.machine, notice_s);
        }
        if let Role::Leader(leader) = &mut self.role {
            if let Some(m) = leader.cluster.machines.get_mut(&heartbeat.machine) {
                if !heartbeat.tasks.is_empty() {
                    m.idle_since = now;
                }
            }
        }
        true
    }

    /// The cloud takes `machine` away: gangs that can save do so, all of their
    /// tasks at once, if there is time. Other work goes on as long as it can.
    fn checkpoint_gangs_before_reclaim(&mut self, machine: &str, notice_s: f64) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let mut stopped = Vec::new();
        for (id, task) in leader.cluster.tasks_on(machine) {
            let Some(job) = leader.cluster.jobs.get_mut(&id) else { continue };
            let grace = job.spec.save_s * 1.25;
            let here = job.placements.get(&task).is_some_and(|p| p.running_since.is_some());
            let can =
                job.spec.checkpoint_interval_s > 0.0 && job.spec.shape == Shape::Gang && !job.is_final();
            if !here || !can || grace > notice_s || job.placements.values().any(|p| p.stopping.is_some()) {
                continue;
            }
            for p in job.placements.values_mut() {
                p.stopping = Some((now, grace));
            }
            stopped.push(id);
        }
        for id in stopped {
            self.kill_now(&id);
        }
    }

    fn heartbeat_lists(heartbeat: &Heartbeat, job: &str, task: u32, place: &Placement) -> bool {
        heartbeat.tasks.iter().any(|t| t.attempt == place.attempt && split_task(&t.task) == Some((job, task)))
    }

    fn on_task_exit(&mut self, machine: &str, id: &str, task: u32, status: &TaskStatus) {
        let now = self.now;
        let report_s = self.settings.params.workers.heartbeat_interval_s;
        if status.exit_cause == Some(ExitCause::Alone) && self.gang_still_assembling(id, task) {
            return;
        }
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(job) = leader.cluster.jobs.get_mut(id) else { return };
        let Some(place) = job.placements.get(&task).cloned() else { return };
        let gang = job.spec.shape == Shape::Gang;
        match status.exit_cause {
            Some(ExitCause::Done) => {
                if let Some(since) = place.running_since {
                    let stats = leader.planning.classes.entry(job.spec.class.clone()).or_default();
                    if job.progress_s == 0.0 && job.spec.estimated_run_s > 0.0 {
                        stats.record_run((now - since).max(0.1) / job.spec.estimated_run_s);
                    }
                }
                job.release_placement(task);
                job.probes = 0;
                let blamed = std::mem::take(&mut job.failed_on);
                // A gang completes together.
                let all = if gang { 0..job.spec.tasks } else { task..task + 1 };
                for n in all {
                    job.finish_task(n);
                }
                if let Some(m) = leader.cluster.machines.get_mut(machine) {
                    m.failed_jobs.clear();
                    m.suspected_since = None;
                }
                // It is sound, so the machines it failed on were not.
                for name in blamed {
                    if let Some(m) =
                        leader.cluster.machines.get_mut(&name).filter(|m| m.failed_jobs.contains(id))
                    {
                        m.quarantine();
                    }
                }
            }
            Some(ExitCause::Stopped) => {
                if status.checkpointed == Some(true) {
                    if let Some(since) = place.running_since {
                        job.progress_s += (now - since).max(0.0) * 0.9;
                    }
                }
                lose(job, task, now);
            }
            Some(ExitCause::Error) => {
                warn!(job = %id, task, machine, "task failed");
                lose(job, task, now);
                self.attribute_failure(id, machine);
            }
            Some(ExitCause::NoRoom | ExitCause::Busy | ExitCause::Unknown) => {
                job.not_before = now + report_s / 3.0;
                lose(job, task, now);
            }
            Some(ExitCause::Peers | ExitCause::Alone) | None => {
                if let Some(since) = place.running_since.filter(|_| job.spec.checkpoint_interval_s > 0.0) {
                    let ran = now - since;
                    job.progress_s +=
                        (ran / job.spec.checkpoint_interval_s).floor() * job.spec.checkpoint_interval_s;
                }
                lose(job, task, now);
            }
        }
    }

    /// `task` gave up waiting for the others of its gang, which are all alive and have not
    /// run: it is started again where it is, with the same attempt, and the gang goes
    /// on gathering. (An image that takes longer than `gang_wait_s` kept gangs from
    /// ever starting: those that had it gave up, the attempt ended, and with it
    /// every fetch, seventeen times within a day.) False once that has taken too long.
    fn gang_still_assembling(&mut self, id: &str, task: u32) -> bool {
        let (now, d) = (self.now, self.timing);
        let Role::Leader(leader) = &mut self.role else { return false };
        let machines = &leader.cluster.machines;
        let Some(job) = leader.cluster.jobs.get_mut(id) else { return false };
        let whole = job.placements.len() == job.spec.tasks as usize && !job.gang_aborting && !job.is_final();
        let gathers = |p: &Placement| {
            let there = |m: &Machine| m.accepts_work() && m.is_heard(now, &d);
            let fresh =
                p.stopping.is_none() && p.running_since.is_none() && now - p.placed_at < d.gang_assembly_s;
            fresh && machines.get(&p.machine).is_some_and(there)
        };
        if !whole || !job.placements.values().all(gathers) {
            return false;
        }
        if let Some(p) = job.placements.get_mut(&task) {
            // No answer with a launch is under way: the report is newer than any, and
            // made with this leader's token.
            (p.observed_state, p.inherited) = (None, false);
        }
        true
    }

    /// Whose fault is it? Different jobs failing on a machine speak against the
    /// machine, a job failing on different machines against the job, and what
    /// succeeded before or elsewhere counts. (Quarantine at the first failure cost
    /// up to three sound machines for every job submitted with a mistake.)
    fn attribute_failure(&mut self, id: &str, machine: &str) {
        let now = self.now;
        let w = &self.settings.params.workers;
        let (report_s, longest) = (w.heartbeat_interval_s, w.lease_s * 2.0);
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(job) = leader.cluster.jobs.get_mut(id) else { return };
        let sound = job.done_count > 0;
        if !job.is_suspected() {
            match leader.cluster.machines.get_mut(machine) {
                Some(m) if m.quarantined => {}
                // Several tasks of one job on one machine are one failure.
                Some(m) if sound => m.quarantine(),
                Some(m) => {
                    m.failed_jobs.insert(id.to_string());
                    job.failed_on.insert(machine.to_string());
                    // Broken jobs come together at times: those that fail
                    // elsewhere as well meanwhile count no more.
                    if m.failed_jobs.len() > 1 {
                        m.suspected_since = Some(now);
                    }
                }
                None => {}
            }
        }
        if !job.is_suspected() {
            return;
        }
        // Its failures say nothing of the machines. One task probes now and
        // then, with growing pauses up to two leases, until one succeeds.
        if now >= job.not_before {
            if job.probes == 0 {
                warn!(job = %id, machines = job.failed_on.len(), "job suspected: it fails on several machines");
            }
            job.probes += 1;
            job.not_before = now + (report_s * f64::from(1u32 << job.probes.min(16))).min(longest);
        }
        for name in &job.failed_on {
            if let Some(m) = leader.cluster.machines.get_mut(name) {
                m.failed_jobs.remove(id);
            }
        }
    }

    /// Answers held reports that have something to tell, or whose time is over.
    pub(crate) fn respond_to_pending_heartbeats(&mut self) {
        let now = self.now;
        let scan_s = self.timing.planning_interval_s / 50.0;
        let Role::Leader(leader) = &mut self.role else { return };
        let mut names = std::mem::take(&mut leader.heartbeats.to_check);
        if now >= leader.heartbeats.check_all_at {
            leader.heartbeats.check_all_at = now + scan_s;
            // Few wait for a plan or a commit at a time; the idle ones wait
            // for their time only, unless something was placed there.
            names.extend(
                leader
                    .heartbeats
                    .pending
                    .iter()
                    .filter(|(_, h)| !h.idle || now >= h.until)
                    .map(|(m, _)| m.clone()),
            );
        }
        for machine in names {
            self.update_leader_only(&machine);
            let Role::Leader(leader) = &mut self.role else { return };
            let Some(h) = leader.heartbeats.pending.get(&machine) else { continue };
            let (over, idle) = (now >= h.until, h.idle);
            if !over && self.should_keep_pending(&machine, idle) {
                continue;
            }
            let Role::Leader(leader) = &mut self.role else { return };
            let Some(h) = leader.heartbeats.pending.remove(&machine) else { continue };
            let answer = self.commands_for(&machine);
            self.respond_to_heartbeat(&machine, h, answer);
        }
    }

    /// Whether a held report has reason to wait on.
    fn should_keep_pending(&mut self, machine: &str, idle: bool) -> bool {
        let entitled = self.may_act();
        let write_ahead = self.checks.launch_after_commit;
        let Role::Leader(leader) = &mut self.role else { return false };
        let mut launch = false;
        for (id, task) in leader.cluster.tasks_on(machine) {
            let Some(job) = leader.cluster.jobs.get(&id) else { continue };
            let Some(p) = job.placements.get(&task) else { continue };
            if !p.committed && write_ahead {
                return true;
            }
            launch |= p.observed_state.is_none() && !job.is_final() && entitled;
        }
        let Some(m) = leader.cluster.machines.get(machine) else { return false };
        let mut forget = false;
        for t in m.tasks.iter().filter(|t| t.state == TaskState::Exited) {
            let job = split_task(&t.task).and_then(|(id, n)| Some((leader.cluster.jobs.get(id)?, n)));
            match job {
                // Its end is about to be stored, and its place is then free
                // for another attempt.
                Some((j, n)) if j.persistence.is_urgent() && !j.outcome_stored(n) => return true,
                Some((j, n)) => forget |= j.outcome_stored(n),
                None => forget = true,
            }
        }
        // A place that has just come free may be given anew by the next plan.
        let planning = leader.planning.needed && m.accepts_work();
        if idle {
            !(launch || forget)
        } else {
            planning
        }
    }

    fn commands_for(&mut self, machine: &str) -> HeartbeatResponse {
        let entitled = self.may_act();
        let write_ahead = self.checks.launch_after_commit;
        let Role::Leader(leader) = &mut self.role else {
            return HeartbeatResponse { fencing_token: 0, commands: Vec::new() };
        };
        let mut commands = Vec::new();
        let tasks = leader.cluster.machines.get(machine).map(|m| m.tasks.clone()).unwrap_or_default();
        for t in &tasks {
            let Some((id, number)) = split_task(&t.task) else { continue };
            if leader.undecodable.contains_job(id) && self.terminal_states.get(id).is_none() {
                continue;
            }
            let job = leader.cluster.jobs.get(id);
            let place = job
                .and_then(|j| j.placements.get(&number))
                .filter(|p| p.machine == machine && p.attempt == t.attempt);
            let command =
                |op, grace_s| Command { kind: op, task: t.task.clone(), attempt: t.attempt, grace_s };
            match (t.state, place) {
                // Cleared only once its outcome is stored and its placement
                // gone from the record.
                (TaskState::Exited, None) if job.is_none_or(|j| j.outcome_stored(number)) => {
                    commands.push(command(CommandKind::Forget, None));
                }
                // It starts anew there: `waits_on`.
                (TaskState::Exited, Some(p))
                    if entitled && p.committed && p.observed_state.is_none() && p.stopping.is_none() =>
                {
                    commands.push(command(CommandKind::Forget, None));
                }
                (TaskState::Exited, _) => {}
                (_, None) => commands.push(command(CommandKind::Stop, Some(0.0))),
                (_, Some(p)) => {
                    if let Some((_, grace)) = p.stopping {
                        commands.push(command(CommandKind::Stop, Some(grace)));
                    }
                }
            }
        }
        if entitled {
            for (id, task) in leader.cluster.tasks_on(machine) {
                let Some(job) = leader.cluster.jobs.get_mut(&id).filter(|j| !j.is_final()) else { continue };
                // Its end was told here, and the leader has yet to read it.
                if self.terminal_states.get(&id).is_some() {
                    continue;
                }
                let Some(p) = job.placements.get_mut(&task) else { continue };
                let due = (p.committed || !write_ahead)
                    && !p.inherited
                    && p.observed_state.is_none()
                    && p.stopping.is_none();
                if due {
                    p.launch_sent = true;
                    let (op, task, grace_s) = (CommandKind::Start, task_name(&id, task), None);
                    commands.push(Command { kind: op, task, attempt: p.attempt, grace_s });
                }
            }
        }
        // An answer is at most 64 KiB; what is left over goes with the next.
        commands.truncate(MOST_COMMANDS);
        HeartbeatResponse { fencing_token: leader.fencing_token, commands }
    }

    /// Answers of earlier leaders, and those on their leave, have come or never will by then.
    fn previous_lease_expiry(&self) -> Time {
        let old_answers =
            (self.timing.response_grace_s - self.timing.leader_lease_s).max(self.timing.delegated_lease_s);
        self.now + old_answers + self.timing.worker_timeout_s
    }

    /// Whatever is on a machine by now has been reported by then, or its lease has ended.
    pub(crate) fn unreported_work_expiry(&self) -> Time {
        self.previous_lease_expiry() + self.timing.lease_expiry_s + self.timing.worker_timeout_s
    }

    /// Machines that stored placements name, unheard by this leader: their
    /// leases may have been renewed until the end of the old leader's grace, or of the
    /// leave that an earlier start of this node gave just before it ended.
    pub(crate) fn register_machines_of_placements(&mut self) {
        let old_end = self.previous_lease_expiry();
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        if !leader.recovery.finished {
            return;
        }
        for id in leader.cluster.jobs.keys().cloned().collect::<Vec<_>>() {
            leader.cluster.index_job(&id);
        }
        for p in leader.cluster.jobs.values().flat_map(|j| j.placements.values()) {
            let m = leader.cluster.machines.entry(p.machine.clone()).or_insert_with(|| {
                let mut m = Machine::new(&p.machine, "", "", false, now);
                m.phase = MachinePhase::Up;
                m
            });
            m.last_possible_response_at = old_end;
        }
    }

    /// Whether the workers would be served better by another leader: nobody
    /// has reported here for long, or a peer hears more than twice as many.
    pub(crate) fn step_down_if_unreachable(&mut self) {
        let now = self.now;
        let heard_s = self.timing.heartbeat_validity_s;
        let Role::Leader(leader) = &self.role else { return };
        let known = leader.cluster.machines.values().filter(|m| m.phase == MachinePhase::Up).count();
        let settled = now - leader.leadership.elected_at > heard_s + self.timing.worker_timeout_s;
        if known == 0 || !settled || !leader.leadership.authority.is_exclusive(now) {
            return;
        }
        let here = leader
            .cluster
            .machines
            .values()
            .filter(|m| m.last_heartbeat_at.is_some_and(|t| now - t < heard_s))
            .count();
        let there = self
            .peers
            .values()
            .filter(|(v, at)| now - at < heard_s && v.state_reached)
            .map(|(v, _)| v.workers_heard as usize)
            .max()
            .unwrap_or(0);
        // With nobody heard anywhere it is rather the machines. (Leaders once
        // gave up in turn over one machine that was gone, each before it had
        // waited for that machine's lease.)
        let better = there > here * 2 + 1;
        let asked = self.peers.values().any(|(v, at)| now - at < heard_s && v.state_reached);
        if !(better || here == 0 && !(asked && there == 0)) {
            return;
        }
        let lease = leader.leadership.lease;
        self.call_store(CallContext::Revoke, StoreRequest::Revoke(lease));
        self.step_down("workers do not reach this node");
        // The others get the first chance.
        self.election.campaign_at = now + 3.0 * self.timing.leader_lease_s;
    }

    /// Releases what certainly ended with its machine's lease, and looks
    /// after silent machines.
    pub(crate) fn tick_failure_detection(&mut self) {
        let now = self.now;
        let over = if self.checks.wait_for_lease_expiry {
            self.timing.lease_expiry_s + self.timing.worker_timeout_s
        } else {
            0.0
        };
        let (silent_s, patience_s) = (self.timing.failure_suspicion_s, self.failure_timeouts_s());
        let alone = !self.checks.wait_for_lost_proxies;
        let surely_over = |relays: &HeartbeatForwarding, answered: Time| {
            if alone {
                return now > answered + over;
            }
            relays.lease_surely_expired(answered, over, now)
        };
        let Role::Leader(leader) = &mut self.role else { return };
        for m in leader.cluster.machines.values_mut() {
            if m.suspected_since.is_some_and(|at| now - at > silent_s) {
                m.suspected_since = None;
                if m.failed_jobs.len() > 1 {
                    m.quarantine();
                }
                leader.planning.needed = true;
            }
        }
        leader.forwarding.forget_expired(now, over);
        self.update_zone_reachability();
        // Every worker has tried all nodes by then, and reported to one that hears it.
        let (dark_hold_s, back_s) = (self.timing.unreachable_zone_retention_s, self.full_failover_s());
        let Role::Leader(leader) = &mut self.role else { return };
        let reach = &leader.fleet.zones;
        // What is cut off with its zone may be back in seconds.
        let held = |m: &Machine| {
            reach.unreachable_since(&m.zone).is_some_and(|since| now - since < dark_hold_s)
                || reach.recovered_within(&m.zone, now, back_s)
        };
        let up = |m: &&Machine| m.phase == MachinePhase::Up && !reach.is_unreachable(&m.zone);
        // A new leader learns only now of silences: in its first moments it once gave
        // a zone's machines up by the age of their last reports, before it could
        // see that the whole zone was silent.
        let patience = |m: &Machine| patience_s.get(&m.zone).copied().unwrap_or(silent_s);
        let silent = leader
            .cluster
            .machines
            .values()
            .filter(|m| m.silence_s(now).min(leader.leadership.tenure.entitled_for_s(now)) > patience(m));
        let (dark, silent): (Vec<&Machine>, Vec<&Machine>) = silent.partition(|m| held(m));
        let ended = dark
            .iter()
            .filter(|m| surely_over(&leader.forwarding, m.last_possible_response_at))
            .map(|m| m.id.clone());
        let ended: Vec<String> = ended.collect();
        let silent: Vec<String> = silent.iter().map(|m| m.id.clone()).collect();
        // When many fall silent at once it is rather the network: their
        // tasks go on, and only their leases' end is waited for. Judged on all
        // that missed a report, not on those silent for long: these come one
        // by one, and a cut leader once gave up its whole fleet that way.
        let fresh = |m: &&Machine| m.last_heard_at.is_some_and(|h| now - h < silent_s / 2.0);
        let fresh = leader.cluster.machines.values().filter(up).filter(fresh).count();
        let up = leader.cluster.machines.values().filter(up).filter(|m| m.last_heard_at.is_some()).count();
        let many = up > 2 && fresh * 3 < up * 2;
        let mut leave = Vec::new();
        for id in &silent {
            let Some(m) = leader.cluster.machines.get_mut(id) else { continue };
            let lease_over = surely_over(&leader.forwarding, m.last_possible_response_at);
            if lease_over || (!many && m.last_heard_at.is_some()) {
                warn!(machine = %id, lease_over, "machine declared dead");
                m.phase = MachinePhase::Terminating;
                m.given_up = true;
                leader.planning.needed = true;
                leave.push((id.clone(), lease_over));
            }
        }
        let lost = leave.into_iter().filter(|(_, lease_over)| *lease_over).map(|(id, _)| id);
        for id in ended.into_iter().chain(lost) {
            self.remove_machine_work(&id, false);
        }
        // A machine given up earlier whose lease has ended since.
        let Role::Leader(leader) = &mut self.role else { return };
        let ended: Vec<String> = leader
            .cluster
            .machines
            .values()
            .filter(|m| {
                m.phase == MachinePhase::Terminating
                    && surely_over(&leader.forwarding, m.last_possible_response_at)
            })
            .filter(|m| m.last_heard_at.is_none_or(|h| now - h > over))
            .map(|m| m.id.clone())
            .collect();
        for id in ended {
            self.remove_machine_work(&id, false);
        }
    }

    /// Which zones are out of reach.
    fn update_zone_reachability(&mut self) {
        let (now, d) = (self.now, self.timing);
        let Role::Leader(leader) = &mut self.role else { return };
        // At first a leader has not heard all nodes yet, and after an outage of the
        // state service the workers may have been sent on in vain.
        if leader.leadership.tenure.entitled_for_s(now) < d.worker_failover_s {
            return;
        }
        let machines = leader.cluster.machines.values().filter(|m| m.phase == MachinePhase::Up);
        let heard = machines.map(|m| (m.zone.as_str(), m.is_heard(now, &d)));
        if leader.fleet.zones.update(now, heard) {
            let dark: Vec<&str> = leader.fleet.zones.unreachable().collect();
            warn!(?dark, "unreachable zones changed");
            leader.planning.needed = true;
        }
    }

    /// Every task of `machine` is surely gone.
    pub(crate) fn remove_machine_work(&mut self, machine: &str, remove: bool) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let mut touched = Vec::new();
        for (id, task) in leader.cluster.tasks_on(machine) {
            if let Some(job) = leader.cluster.jobs.get_mut(&id) {
                lose(job, task, now);
                touched.push(id);
            }
        }
        if remove {
            leader.cluster.machines.remove(machine);
            leader.forwarding.set_leader_only(machine, None);
        }
        if !touched.is_empty() {
            leader.planning.needed = true;
        }
        for id in touched {
            self.settle_terminal(&id);
            self.kill_now(&id);
        }
    }
}

/// Releases a task's place without a result. A gang's attempt ends with it.
pub(crate) fn lose(job: &mut Job, task: u32, now: Time) {
    job.release_placement(task);
    if job.spec.shape == Shape::Gang && !job.placements.is_empty() && !job.is_final() {
        job.gang_aborting = true;
        for p in job.placements.values_mut() {
            if p.stopping.is_none() {
                p.stopping = Some((now, 0.0));
            }
        }
        // Members never launched need no proof.
        let unlaunched: Vec<u32> = job
            .placements
            .iter()
            .filter(|(_, p)| !p.launch_sent && p.observed_state.is_none())
            .map(|(&t, _)| t)
            .collect();
        for t in unlaunched {
            job.release_placement(t);
        }
    }
}
