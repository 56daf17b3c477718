//! Heartbeats of workers, and the delivery of commands to them.

use super::*;

/// Time for which a worker waits for the response to a heartbeat, in seconds. The protocol defines
/// this value.
const HEARTBEAT_TIMEOUT_S: f64 = 4.0;
/// Pause of a worker before it sends to the node it was redirected to, in seconds.
const REDIRECT_PAUSE_S: f64 = 0.2;
/// Pause of a worker before it tries the next node after a failure, in seconds.
const RETRY_PAUSE_S: f64 = 1.0;
/// Tolerance for rounding errors when times are compared, in seconds.
const TIME_TOLERANCE_S: f64 = 1e-9;

impl Simulation {
    /// Executes one step of a worker: checks its lease and sends a heartbeat if one is due.
    pub(super) fn worker_turn(&mut self, id: &str) {
        let now = self.now;
        let jitter = self.rng.gen_range(0.75..1.25);
        let interval_s = self.settings.params.workers.heartbeat_interval_s * jitter;
        let lease_s = self.settings.params.workers.lease_s;
        let rotate = now < self.faults.rotating_targets_until;
        let nodes = self.nodes.len();
        let Some(worker) = self.workers.get_mut(id) else { return };
        if now < worker.hung_until {
            let resumes_at = worker.hung_until;
            return self.schedule(resumes_at, Event::WorkerTurn(id.to_string()));
        }
        worker.expire_lease(now, lease_s);
        if worker.in_flight.is_some() || now + TIME_TOLERANCE_S < worker.next_heartbeat {
            return;
        }
        let heartbeat = worker.send_heartbeat(now);
        worker.next_heartbeat = now + interval_s;
        if rotate {
            worker.node = (worker.node + 1) % nodes;
        }
        let node = worker.node;
        let next = worker.next_heartbeat;
        let lost = now < worker.heartbeats_lost_until;
        self.metrics.heartbeats += 1;
        self.duplicate_heartbeat(id, &heartbeat);
        self.copy_for_failover(id, &heartbeat);
        if !lost {
            self.deliver_heartbeat(id, node, &heartbeat);
        }
        let timeout = Event::HeartbeatTimeout { machine: id.to_string(), sequence: heartbeat.sequence };
        self.schedule(now + HEARTBEAT_TIMEOUT_S, timeout);
        self.schedule(next, Event::WorkerTurn(id.to_string()));
    }

    fn deliver_heartbeat(&mut self, id: &str, node: usize, heartbeat: &Heartbeat) {
        let cut_until = self.worker_link_cut_until(id, node);
        if let Some(at) = self.arrival(cut_until) {
            let (machine, sequence) = (id.to_string(), heartbeat.sequence);
            let body = protocol::encode(heartbeat);
            self.send(at, None, Event::HeartbeatArrives { machine, sequence, node, body });
        }
    }

    /// Schedules the arrival of a copied heartbeat at a node. No worker is waiting for the response.
    pub(super) fn schedule_copy(&mut self, at: f64, machine: &str, node: usize, body: Vec<u8>) {
        let machine = machine.to_string();
        self.schedule(at, Event::HeartbeatArrives { machine, sequence: u64::MAX, node, body });
    }

    fn duplicate_heartbeat(&mut self, id: &str, heartbeat: &Heartbeat) {
        let fault = self.faults.duplicated_heartbeats;
        if !fault.is_active(self.now) || !self.rng.gen_bool(0.3) {
            return;
        }
        let at = self.now + self.rng.gen_range(1.0..fault.strength);
        let node = self.rng.gen_range(0..self.nodes.len());
        self.schedule_copy(at, id, node, protocol::encode(heartbeat));
    }

    pub(super) fn heartbeat_timeout(&mut self, id: &str, sequence: u64) {
        let nodes = self.nodes.len();
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.in_flight.is_some_and(|sent| sent.sequence == sequence) {
            worker.in_flight = None;
            worker.node = (worker.node + 1) % nodes;
            worker.next_heartbeat = self.now + RETRY_PAUSE_S;
        }
    }

    pub(super) fn heartbeat_response_arrives(
        &mut self,
        id: &str,
        sequence: u64,
        node: usize,
        response: &HttpResponse,
    ) {
        let now = self.now;
        let lease_s = self.settings.params.workers.lease_s;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if now < worker.responses_lost_until {
            return;
        }
        if now < worker.hung_until {
            let (machine, response) = (id.to_string(), response.clone());
            let event = Event::HeartbeatResponseArrives { machine, sequence, node, response };
            let resumes_at = worker.hung_until;
            return self.schedule(resumes_at, event);
        }
        let Some(sent) = worker.in_flight.filter(|sent| sent.sequence == sequence) else { return };
        worker.in_flight = None;
        worker.expire_lease(now, lease_s);
        if sent.epoch != worker.epoch {
            return;
        }
        match response.status {
            200 => {
                let Ok(accepted) = protocol::decode::<HeartbeatResponse>(&response.body) else { return };
                if accepted.fencing_token < worker.fencing_token {
                    return;
                }
                worker.observe_token(accepted.fencing_token, now, lease_s);
                worker.renewed_at = worker.renewed_at.max(sent.sent_at);
                self.responded_at.insert(id.to_string(), now);
                self.execute_commands(id, &accepted.commands);
            }
            421 => self.redirect_worker(id, node, &response.body),
            _ => self.try_next_node(id),
        }
        let at = self.workers[id].next_heartbeat;
        self.schedule(at, Event::WorkerTurn(id.to_string()));
    }

    /// Handles a redirect of a worker to another node.
    fn redirect_worker(&mut self, id: &str, node: usize, body: &[u8]) {
        let target = protocol::decode::<Redirect>(body).ok().and_then(|redirect| redirect.addr);
        let target_node = target.and_then(|name| NODE_NAMES.iter().position(|known| *known == name));
        let Some(to) = target_node.filter(|&to| to != node) else { return self.try_next_node(id) };
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.next_heartbeat = now + REDIRECT_PAUSE_S;
            worker.node = to;
        }
    }

    fn try_next_node(&mut self, id: &str) {
        let (now, nodes) = (self.now, self.nodes.len());
        if let Some(worker) = self.workers.get_mut(id) {
            worker.next_heartbeat = now + RETRY_PAUSE_S;
            worker.node = (worker.node + 1) % nodes;
        }
    }

    fn execute_commands(&mut self, id: &str, commands: &[Command]) {
        let now = self.now;
        let mut started = Vec::new();
        for command in commands {
            let job = split_task(&command.task).map(|(job, _)| job);
            let launch = job.and_then(|job| self.draw_launch(job));
            if let Some(worker) = self.workers.get_mut(id) {
                let first_fetch_s = worker.first_fetch_of(job.unwrap_or(""));
                let launch = launch.map(|usual| Launch { fetch_s: first_fetch_s.unwrap_or(usual.fetch_s) });
                if worker.execute(now, command, launch) && command.kind == CommandKind::Start {
                    started.push(command.clone());
                }
            }
        }
        self.record_repeated_starts(id, commands, &started);
        if let Some(at) = self.workers.get(id).map(|worker| worker.next_heartbeat) {
            self.schedule(at, Event::WorkerTurn(id.to_string()));
        }
    }

    /// Draws the launch parameters for a task of a job. None if the job was never submitted.
    fn draw_launch(&mut self, job: &str) -> Option<Launch> {
        let submitted = self.history.submitted.contains(job);
        submitted.then(|| Launch { fetch_s: self.rng.gen_range(0.5..4.0) })
    }

    pub(super) fn direct_commands_arrive(&mut self, call: CallKey, address: &str, body: &DirectCommands) {
        let now = self.now;
        let lease_s = self.settings.params.workers.lease_s;
        let Some(id) = self.worker_at(address).map(|worker| worker.machine.id.clone()) else { return };
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if now < worker.responses_lost_until {
            return;
        }
        if now < worker.hung_until {
            let (address, body) = (address.to_string(), body.clone());
            let resumes_at = worker.hung_until;
            return self.schedule(resumes_at, Event::DirectCommandsArrive { call, address, body });
        }
        worker.expire_lease(now, lease_s);
        let executed = body.fencing_token >= worker.fencing_token && body.epoch == worker.epoch;
        worker.observe_token(body.fencing_token, now, lease_s);
        if executed {
            self.execute_commands(&id, &body.commands);
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let report = Box::new(worker.next_heartbeat_body());
        let cut_until = self.worker_link_cut_until(&id, call.node);
        let reply = WorkerReply::Heartbeat { executed, report };
        self.reply(call, Input::Worker(call.call, reply), cut_until, None);
    }
}
