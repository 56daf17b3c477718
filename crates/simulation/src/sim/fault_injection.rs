//! Injection of faults, and the state of the active ones.

use super::*;

/// End times of the active faults, in simulated seconds.
#[derive(Default)]
pub(super) struct ActiveFaults {
    pub(super) store_down_until: f64,
    pub(super) cloud_down_until: f64,
    pub(super) reordered_lists_until: f64,
    pub(super) peer_connections_refused_until: f64,
    pub(super) fast_boots_until: f64,
    pub(super) rotating_targets_until: f64,
    pub(super) zone_partition: ZoneOutage,
    pub(super) query_flood: Disturbance,
    pub(super) duplicated_heartbeats: Disturbance,
    pub(super) duplicated_commands: Disturbance,
    pub(super) delayed_writes: Disturbance,
    pub(super) lost_write_responses: Disturbance,
    pub(super) slow_store: Disturbance,
    pub(super) slow_worker_responses: Disturbance,
}

/// Partition of a zone until a given time.
#[derive(Clone, Copy, Default)]
pub(super) struct ZoneOutage {
    pub(super) until: f64,
    pub(super) zone: &'static str,
}

/// Disturbance until a given time. Its strength is a share, a factor or a longest delay.
#[derive(Clone, Copy, Default)]
pub(super) struct Disturbance {
    pub(super) until: f64,
    pub(super) strength: f64,
}

impl Disturbance {
    pub(super) fn is_active(&self, now: f64) -> bool {
        now < self.until
    }
}

impl Simulation {
    /// Starts a fault now.
    pub fn inject(&mut self, fault: Fault) {
        self.faults_end = self.faults_end.max(self.now + fault.effect_duration_s());
        self.begin_fault(fault);
    }

    /// Starts a fault in `delay_s` seconds.
    pub fn inject_after(&mut self, delay_s: f64, fault: Fault) {
        self.schedule_fault(self.now + delay_s, fault);
    }

    pub(super) fn schedule_fault(&mut self, at: f64, fault: Fault) {
        self.faults_end = self.faults_end.max(at + fault.effect_duration_s());
        self.schedule(at, Event::FaultBegins(fault));
    }

    pub(super) fn begin_fault(&mut self, fault: Fault) {
        match fault {
            Fault::ControllerCrash { .. }
            | Fault::LeaderCrash { .. }
            | Fault::ControllerPause { .. }
            | Fault::StoreRefusesNode { .. }
            | Fault::NodePartition { .. }
            | Fault::ZoneWorkersPartition { .. }
            | Fault::PeerPartition { .. }
            | Fault::IsolatedWithWorkers { .. } => self.begin_controller_fault(fault),
            Fault::MachineLost { .. }
            | Fault::MachineHang { .. }
            | Fault::WorkerRestart { .. }
            | Fault::FaultyMachine { .. }
            | Fault::SlowImageFetch { .. }
            | Fault::ResponsesLost { .. }
            | Fault::ResponsesLostInZone { .. }
            | Fault::HeartbeatsLost { .. }
            | Fault::HeartbeatsLostInZone { .. } => self.begin_machine_fault(fault),
            Fault::CancelRunningJobs { .. }
            | Fault::CancelAtCompletion { .. }
            | Fault::InvalidRequests { .. }
            | Fault::ConcurrentQueries { .. }
            | Fault::QueryFlood { .. } => self.begin_user_fault(fault),
            _ => self.begin_shared_fault(fault),
        }
    }

    /// Starts a fault of one controller or its links.
    fn begin_controller_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::ControllerCrash { node, duration_s } => {
                self.nodes[node].stop();
                self.schedule(now + duration_s, Event::ControllerRestart(node));
            }
            Fault::LeaderCrash { duration_s } => {
                if let Some(node) = self.leader() {
                    self.inject(Fault::ControllerCrash { node, duration_s });
                }
            }
            Fault::ControllerPause { node, duration_s } => self.nodes[node].paused_until = now + duration_s,
            Fault::StoreRefusesNode { node, duration_s } => {
                self.nodes[node].store_refuses_until = now + duration_s;
            }
            Fault::NodePartition { node, store, workers, duration_s } => {
                if store {
                    self.nodes[node].store_partition_until = now + duration_s;
                }
                if workers {
                    self.nodes[node].workers_partition_until = now + duration_s;
                }
            }
            Fault::ZoneWorkersPartition { node, zone, duration_s } => {
                self.nodes[node].zone_workers_partition = ZoneOutage { until: now + duration_s, zone };
            }
            Fault::PeerPartition { node, duration_s } => {
                self.nodes[node].peer_partition_until = now + duration_s;
            }
            Fault::IsolatedWithWorkers { node, duration_s } => {
                self.nodes[node].store_partition_until = now + duration_s;
                self.nodes[node].peer_partition_until = now + duration_s;
            }
            _ => unreachable!("not a controller fault: {fault:?}"),
        }
    }

    /// Starts a fault of machines or their links.
    fn begin_machine_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::MachineLost { machine } => {
                if let Some(id) = self.machine_at(machine) {
                    self.cloud.remove(&id);
                    self.drop_deleted_machines();
                }
            }
            Fault::MachineHang { machine, duration_s } => {
                self.change_worker(machine, |worker| worker.hung_until = now + duration_s);
            }
            Fault::WorkerRestart { machine, duration_s } => {
                self.change_worker(machine, |worker| worker.restart(now, now + duration_s));
            }
            Fault::FaultyMachine { machine } => self.change_worker(machine, |worker| worker.faulty = true),
            Fault::SlowImageFetch { machine, fetch_s } => {
                self.change_worker(machine, |worker| worker.first_fetch_s = Some(fetch_s));
            }
            Fault::ResponsesLost { machine, duration_s } => {
                self.change_worker(machine, |worker| worker.responses_lost_until = now + duration_s);
            }
            Fault::ResponsesLostInZone { zone, duration_s } => {
                self.third_of_zone(zone).for_each(|worker| worker.responses_lost_until = now + duration_s);
            }
            Fault::HeartbeatsLost { machine, duration_s } => {
                self.change_worker(machine, |worker| worker.heartbeats_lost_until = now + duration_s);
            }
            Fault::HeartbeatsLostInZone { zone, duration_s } => {
                self.third_of_zone(zone).for_each(|worker| worker.heartbeats_lost_until = now + duration_s);
            }
            _ => unreachable!("not a machine fault: {fault:?}"),
        }
    }

    /// Starts a fault in the behaviour of users.
    fn begin_user_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::CancelRunningJobs { count, hang_s } => self.cancel_running_jobs(count, hang_s),
            Fault::CancelAtCompletion { share, duration_s } => {
                self.queries.cancel_at_completion = Disturbance { until: now + duration_s, strength: share };
            }
            Fault::InvalidRequests { duration_s } => self.queries.invalid_until = now + duration_s,
            Fault::ConcurrentQueries { duration_s } => self.queries.concurrent_until = now + duration_s,
            Fault::QueryFlood { factor, duration_s } => {
                self.faults.query_flood = Disturbance { until: now + duration_s, strength: factor };
            }
            _ => unreachable!("not a user fault: {fault:?}"),
        }
    }

    /// Starts a fault of the store, the cloud or the network as a whole.
    fn begin_shared_fault(&mut self, fault: Fault) {
        let now = self.now;
        let disturbance = |duration_s: f64, strength: f64| Disturbance { until: now + duration_s, strength };
        let faults = &mut self.faults;
        match fault {
            Fault::StoreOutage { duration_s } => {
                faults.store_down_until = now + duration_s;
                // All leases are renewed just before the store serves requests again.
                self.schedule(now + duration_s - 1e-6, Event::StoreRecovers);
            }
            Fault::SlowStore { max_delay_s, duration_s } => {
                faults.slow_store = disturbance(duration_s, max_delay_s);
            }
            Fault::DelayedWrites { share, duration_s } => {
                faults.delayed_writes = disturbance(duration_s, share);
            }
            Fault::LostWriteResponses { share, duration_s } => {
                faults.lost_write_responses = disturbance(duration_s, share);
            }
            Fault::DuplicatedCommands { max_delay_s, duration_s } => {
                faults.duplicated_commands = disturbance(duration_s, max_delay_s);
            }
            Fault::StoreLimitsReduced => self.reduce_store_limits(),
            Fault::PeerConnectionsRefused { duration_s } => {
                faults.peer_connections_refused_until = now + duration_s;
            }
            Fault::ZonePartition { zone, duration_s } => {
                faults.zone_partition = ZoneOutage { until: now + duration_s, zone };
            }
            Fault::CloudOutage { duration_s } => faults.cloud_down_until = now + duration_s,
            Fault::ReorderedMachineLists { duration_s } => {
                faults.reordered_lists_until = now + duration_s;
            }
            Fault::FastBoots { duration_s } => faults.fast_boots_until = now + duration_s,
            Fault::SlowWorkerResponses { max_delay_s, duration_s } => {
                faults.slow_worker_responses = disturbance(duration_s, max_delay_s);
            }
            Fault::DuplicatedHeartbeats { max_delay_s, duration_s } => {
                faults.duplicated_heartbeats = disturbance(duration_s, max_delay_s);
            }
            Fault::HeartbeatsReplayedAfterFailover { delay_s, duration_s } => {
                self.copy_heartbeats_for_failover(delay_s, duration_s);
            }
            Fault::RotatingHeartbeatTargets { duration_s } => {
                faults.rotating_targets_until = now + duration_s;
            }
            _ => unreachable!("not a shared fault: {fault:?}"),
        }
    }

    /// Returns the id of the machine at an index, modulo the number of machines.
    fn machine_at(&self, index: usize) -> Option<String> {
        let count = self.workers.len().max(1);
        self.workers.keys().nth(index % count).cloned()
    }

    fn change_worker(&mut self, index: usize, change: impl FnOnce(&mut Worker)) {
        let machine = self.machine_at(index);
        if let Some(worker) = machine.and_then(|id| self.workers.get_mut(&id)) {
            change(worker);
        }
    }

    /// Returns every third worker of a zone.
    fn third_of_zone(&mut self, zone: &'static str) -> impl Iterator<Item = &mut Worker> {
        let in_zone = self.workers.values_mut().filter(move |worker| worker.machine.zone == zone);
        in_zone.step_by(3)
    }

    fn reduce_store_limits(&mut self) {
        let store = &self.settings.params.store;
        self.store.set_limits(Limits {
            value_bytes: (store.effective_value_kb() * 1024.0) as usize,
            txn_ops: store.effective_transaction_ops(),
            write_rps: store.effective_write_rps(),
        });
    }
}
