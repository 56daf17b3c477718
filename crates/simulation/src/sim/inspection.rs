//! What a test can ask a simulation, and change in it.

use super::*;

impl Simulation {
    /// Whether the leader has read all records.
    pub fn has_recovered(&self) -> bool {
        let controller = self.leader().and_then(|node| self.nodes[node].controller.as_ref());
        controller.is_some_and(Controller::has_recovered)
    }

    /// Live workers that no leader would give work to or is scaling in.
    pub fn unknown_workers(&self) -> Vec<&str> {
        let known: BTreeSet<&str> = self
            .controllers()
            .flat_map(|controller| {
                controller.usable_machines().chain(controller.machines_not_accepting_work())
            })
            .collect();
        let is_live = |worker: &Worker| self.now >= worker.hung_until && !worker.faulty;
        let live = self.workers.iter().filter(|(_, worker)| is_live(worker));
        live.map(|(id, _)| id.as_str()).filter(|id| !known.contains(id)).collect()
    }

    /// The number of workers that accepted a response within the last `within_s` seconds.
    pub fn workers_answered(&self, within_s: f64) -> usize {
        self.responded_at.values().filter(|at| self.now - **at < within_s).count()
    }

    /// The number of machines rented so far, gone ones included.
    pub fn rented(&self) -> u32 {
        self.cloud.rented()
    }

    /// The same in one zone.
    pub fn rented_in(&self, zone: &str) -> usize {
        self.cloud.rented_in(zone)
    }

    /// The number of machines that there are.
    pub fn machine_count(&self) -> usize {
        self.cloud.machines.len()
    }

    /// How many workers send their heartbeats to each node.
    pub fn workers_by_node(&self) -> Vec<usize> {
        let count = |node: usize| self.workers.values().filter(|worker| worker.node == node).count();
        (0..self.nodes.len()).map(count).collect()
    }

    /// Accelerators that each team's tasks take just now.
    pub fn accelerators_in_use(&self) -> BTreeMap<String, f64> {
        let mut used = BTreeMap::new();
        for (key, task) in self.workers.values().flat_map(|worker| &worker.tasks) {
            if task.on_machine() {
                let spec = &self.ledger.specs[&key.job];
                *used.entry(spec.team.clone()).or_insert(0.0) += spec.accelerators;
            }
        }
        used
    }

    /// When all faults that are known of are over, in simulated seconds.
    pub fn faults_end(&self) -> f64 {
        self.faults_end
    }

    /// The key-value store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Has `inspect` see every value that is stored from now on, with its key.
    pub fn inspect_writes(&mut self, inspect: fn(&str, &controller::records::Value)) {
        self.store.inspect = Some(inspect);
    }

    /// From now on the run is judged by these settings, whatever the controllers were given.
    pub fn judge_by(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Controllers announce no newer format than that: some still run an earlier version.
    pub fn announce_format(&mut self, format: u32) {
        self.announced_format = Some(format);
    }

    /// From now on the cloud serves no more calls a second than the settings name.
    pub fn limit_cloud(&mut self) {
        self.cloud.limit_rate(self.settings.params.cloud.rps, self.now);
    }

    /// The number of calls that the cloud refused for that.
    pub fn refused_by_cloud(&self) -> u64 {
        self.cloud.refused
    }

    /// Whether users were told of every submitted job that it is over.
    pub fn all_finished(&self) -> bool {
        self.users.keys().all(|job| self.ledger.finished.contains_key(job))
    }

    /// Accepted jobs that should be over by now and are not.
    pub fn unfinished(&self) -> Vec<String> {
        let ends = |job: &String| self.ledger.specs[job].shape != Shape::Service;
        let is_over = |job: &String| self.ledger.last_status.get(job).is_some_and(|status| status.is_final());
        let accepted = self.ledger.accepted.iter();
        accepted.filter(|job| ends(job) && !is_over(job)).cloned().collect()
    }
}
