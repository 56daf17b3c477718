//! Queries and settings of a simulation for tests.

use super::*;

impl Simulation {
    /// Returns whether the leader has read all records.
    pub fn has_recovered(&self) -> bool {
        let controller = self.leader().and_then(|node| self.nodes[node].controller.as_ref());
        controller.is_some_and(Controller::has_recovered)
    }

    /// Returns the live workers that no controller knows, neither as usable nor as not accepting work.
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

    /// Returns the number of workers that accepted a response within the last `within_s` seconds.
    pub fn recently_answered_workers(&self, within_s: f64) -> usize {
        self.responded_at.values().filter(|at| self.now - **at < within_s).count()
    }

    /// Returns the number of machines rented so far, including those that no longer exist.
    pub fn rented_count(&self) -> u32 {
        self.cloud.rented_count()
    }

    /// Returns the number of machines rented so far in one zone.
    pub fn rented_count_in(&self, zone: &str) -> usize {
        self.cloud.rented_count_in(zone)
    }

    /// Returns the number of machine lists that hid an existing machine that the list before showed.
    pub fn reordered_list_count(&self) -> u64 {
        self.cloud.reordered_lists
    }

    /// Returns the number of machines that currently exist.
    pub fn machine_count(&self) -> usize {
        self.cloud.machines.len()
    }

    /// Returns the number of workers that send their heartbeats to each node, by node.
    pub fn workers_by_node(&self) -> Vec<usize> {
        let count = |node: usize| self.workers.values().filter(|worker| worker.node == node).count();
        (0..self.nodes.len()).map(count).collect()
    }

    /// Returns the accelerators currently used by the tasks of each team.
    pub fn accelerators_in_use(&self) -> BTreeMap<String, f64> {
        let mut used = BTreeMap::new();
        for (key, task) in self.workers.values().flat_map(|worker| &worker.tasks) {
            if task.on_machine() {
                let spec = &self.history.specs[&key.job];
                *used.entry(spec.team.clone()).or_insert(0.0) += spec.accelerators;
            }
        }
        used
    }

    /// Returns the time at which all faults scheduled so far have ended, in simulated seconds.
    pub fn faults_end(&self) -> f64 {
        self.faults_end
    }

    /// Returns the key-value store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the key-value store, to change its behaviour.
    pub fn store_mut(&mut self) -> &mut Store {
        &mut self.store
    }

    /// Calls `inspect` with the key and value of every write from now on.
    pub fn inspect_writes(&mut self, inspect: fn(&str, &controller::records::Value)) {
        self.store.inspect = Some(inspect);
    }

    /// Checks the rules against these settings from now on. Running controllers keep their settings.
    pub fn check_against(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Makes controllers announce no format newer than `format` to each other, as if some of them
    /// still ran an earlier version.
    pub fn announce_format(&mut self, format: u32) {
        self.announced_format = Some(format);
    }

    /// Limits the cloud to the call rate in the settings from now on.
    pub fn limit_cloud_rate(&mut self) {
        self.cloud.limit_rate(self.settings.params.cloud.rps, self.now);
    }

    /// Returns the number of calls that the cloud refused because of the rate limit.
    pub fn refused_cloud_calls(&self) -> u64 {
        self.cloud.refused
    }

    /// Returns whether users have received a final status for every job.
    pub fn all_finished(&self) -> bool {
        self.users.keys().all(|job| self.history.finished.contains_key(job))
    }

    /// Returns the accepted jobs, other than services, without a final status.
    pub fn unfinished(&self) -> Vec<String> {
        let ends_by_itself = |job: &String| self.history.specs[job].shape != Shape::Service;
        let is_finished =
            |job: &String| self.history.last_status.get(job).is_some_and(|status| status.is_final());
        let accepted = self.history.accepted.iter();
        accepted.filter(|job| ends_by_itself(job) && !is_finished(job)).cloned().collect()
    }
}
