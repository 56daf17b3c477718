//! Periodic step of everything that is not triggered by a message.

use super::*;

/// Interval between two periodic steps, in seconds.
pub(super) const STEP_INTERVAL_S: f64 = 0.1;

impl Simulation {
    pub(super) fn run_periodic_step(&mut self) {
        let now = self.now;
        if now >= self.faults.store_down_until {
            self.store.expire_leases(now);
        }
        self.answer_watches();
        self.cloud.record_listing(now);
        self.start_booted_workers();
        let ids: Vec<String> = self.workers.keys().cloned().collect();
        for id in ids {
            self.schedule(now, Event::WorkerTurn(id));
        }
        self.advance_tasks();
        self.check_rules();
        self.check_work_conservation();
        self.deliver_replayed_heartbeats();
        for controller in self.nodes.iter().filter_map(|node| node.controller.as_ref()) {
            self.quarantined.extend(controller.quarantined().map(String::from));
        }
        self.check_failure_detection();
        self.measure_leadership();
    }

    /// Starts a worker on each machine that has booted since the last step. Its first heartbeat
    /// goes to a randomly drawn node.
    fn start_booted_workers(&mut self) {
        let now = self.now;
        let is_new = |id: &String| !self.workers.contains_key(id);
        let booted = self.cloud.running(now).filter(|machine| is_new(&machine.id));
        for machine in booted.cloned().collect::<Vec<_>>() {
            let id = machine.id.clone();
            let node = self.rng.gen_range(0..self.nodes.len());
            self.workers.insert(id.clone(), Worker::new(machine, now, node));
            self.schedule(now, Event::WorkerTurn(id));
        }
    }

    /// Records machines that leaders consider usable long after they are gone, and machines that
    /// leaders declare dead although they are alive.
    fn check_failure_detection(&mut self) {
        let now = self.now;
        let lease_s = self.settings.params.workers.lease_s;
        let suspicion_s = Timing::from(&self.settings).failure_suspicion_s;
        for (n, node) in self.nodes.iter().enumerate() {
            let Some(controller) = &node.controller else { continue };
            // A replaced leader assigns no work, and a delayed heartbeat may still reach it.
            let replaced = self.is_replaced(n);
            let lost_long_ago =
                |id: &&str| !replaced && self.lost_at.get(*id).is_some_and(|at| now - at > suspicion_s);
            self.usable_after_loss
                .extend(controller.usable_machines().filter(lost_long_ago).map(String::from));
            let is_alive = |id: &str| {
                self.workers.get(id).is_some_and(|worker| {
                    now < worker.renewed_at + lease_s && now - worker.hung_until > suspicion_s
                })
            };
            // Each verdict is checked only once, when it is made: a hung machine may recover later.
            for id in controller.machines_declared_dead() {
                let fencing_token = controller.token().unwrap_or(0);
                let verdict = DeathVerdict { node: n, fencing_token, machine: id.to_string() };
                if self.death_verdicts.insert(verdict) && is_alive(id) {
                    self.wrongly_declared_dead.insert(id.to_string());
                }
            }
        }
    }

    /// Measures how long there is no leader, and how long a replaced leader continues to lead.
    fn measure_leadership(&mut self) {
        let now = self.now;
        if (0..self.nodes.len()).any(|node| self.is_replaced(node)) {
            let since = *self.dual_leadership_since.get_or_insert(now);
            self.metrics.max_dual_leadership_s = self.metrics.max_dual_leadership_s.max(now - since);
        } else {
            self.dual_leadership_since = None;
        }
        if self.controllers().any(Controller::is_leader) {
            self.last_leader_at = now;
        }
        let leaderless_s = now - self.last_leader_at;
        self.metrics.max_leaderless_s = self.metrics.max_leaderless_s.max(leaderless_s);
    }
}
