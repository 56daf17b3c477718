//! Message delays, message losses and partitions.

use super::*;

impl Simulation {
    /// Draws the delay of a message: 1 to 10 ms, and for 2 % of the messages up to 0.4 s more.
    pub(super) fn delay(&mut self) -> f64 {
        let usual_s = self.rng.gen_range(0.001..0.01);
        let extra_s = if self.rng.gen_bool(0.02) { self.rng.gen_range(0.0..0.4) } else { 0.0 };
        usual_s + extra_s
    }

    /// Returns the arrival time of a message over a link that is cut until `cut_until`. None if the
    /// message is lost.
    pub(super) fn arrival(&mut self, cut_until: f64) -> Option<f64> {
        let delay = self.delay();
        if self.now < cut_until {
            return Some(cut_until + delay);
        }
        let lost = self.rng.gen_bool(self.loss);
        (!lost).then_some(self.now + delay)
    }

    /// Draws the additional delay of a message to a worker.
    pub(super) fn worker_response_delay(&mut self) -> f64 {
        let fault = self.faults.slow_worker_responses;
        if fault.is_active(self.now) && self.rng.gen_bool(0.5) {
            return self.rng.gen_range(0.0..fault.strength);
        }
        0.0
    }

    /// Draws the additional delay of a message to or from the store.
    pub(super) fn store_delay(&mut self) -> f64 {
        let fault = self.faults.slow_store;
        if fault.is_active(self.now) {
            return self.rng.gen_range(0.0..fault.strength);
        }
        0.0
    }

    /// Returns whether a zone is partitioned from the others.
    fn is_cut_off(&self, zone: &str) -> bool {
        let partition = self.faults.zone_partition;
        self.now < partition.until && zone == partition.zone
    }

    /// Returns the end of the partition between two zones, or 0 if there is none.
    fn zones_cut_until(&self, one: &str, other: &str) -> f64 {
        let separated = self.is_cut_off(one) != self.is_cut_off(other);
        if separated {
            self.faults.zone_partition.until
        } else {
            0.0
        }
    }

    /// Returns the time until which the link between a worker and a node is cut.
    pub(super) fn worker_link_cut_until(&self, machine: &str, node: usize) -> f64 {
        let zone = self.workers.get(machine).map_or("", |worker| &worker.machine.zone);
        let process = &self.nodes[node];
        let partition = process.zone_workers_partition;
        let zone_workers_until = if partition.zone == zone { partition.until } else { 0.0 };
        let node_until = process.workers_partition_until.max(zone_workers_until);
        node_until.max(self.zones_cut_until(zone, &process.zone))
    }

    /// Returns the time until which the link between the worker at an address and a node is cut.
    /// There may no longer be a worker at that address.
    pub(super) fn address_link_cut_until(&self, address: &str, node: usize) -> f64 {
        let worker = self.worker_at(address);
        worker.map_or(self.nodes[node].workers_partition_until, |worker| {
            self.worker_link_cut_until(&worker.machine.id, node)
        })
    }

    /// Returns the time until which the link between a node and the store is cut.
    pub(super) fn store_link_cut_until(&self, node: usize) -> f64 {
        let process = &self.nodes[node];
        let zone_until = if self.is_cut_off(&process.zone) { self.faults.zone_partition.until } else { 0.0 };
        process.store_partition_until.max(zone_until)
    }

    /// Returns the time until which the link between two nodes is cut.
    pub(super) fn peer_link_cut_until(&self, one: usize, other: usize) -> f64 {
        let (one, other) = (&self.nodes[one], &self.nodes[other]);
        let peers_until = one.peer_partition_until.max(other.peer_partition_until);
        peers_until.max(self.zones_cut_until(&one.zone, &other.zone))
    }

    /// Returns the worker at an address.
    pub(super) fn worker_at(&self, address: &str) -> Option<&Worker> {
        self.workers.values().find(|worker| worker.machine.addr.as_deref() == Some(address))
    }

    /// Delivers each controller's view of the cluster to its peers, and schedules the next exchange
    /// after one renewal interval.
    pub(super) fn exchange_views(&mut self) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if from != to && self.peers_connected(from, to) {
                    self.send_view(from, to);
                }
            }
        }
        let interval_s = Timing::from(&self.settings).renewal_interval_s;
        self.schedule(self.now + interval_s, Event::ExchangeViews);
    }

    fn peers_connected(&self, from: usize, to: usize) -> bool {
        let running =
            |node: usize| self.nodes[node].controller.is_some() && self.now >= self.nodes[node].paused_until;
        let cut_until = self.peer_link_cut_until(from, to).max(self.faults.peer_connections_refused_until);
        self.now >= cut_until && running(from) && running(to)
    }

    fn send_view(&mut self, from: usize, to: usize) {
        let Some(mut view) = self.nodes[from].controller.as_ref().map(Controller::view_for_peers) else {
            return;
        };
        view.format = self.announced_format.map_or(view.format, |format| format.min(view.format));
        self.deliver_input(to, Input::PeerView(view));
    }
}
