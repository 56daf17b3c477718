//! The cluster as the leader knows it: jobs, machines, and which tasks are placed where.

use crate::messages::Time;
use crate::model::job::Job;
use crate::model::machine::{Machine, MachinePhase};
use crate::model::records::ImagesRecord;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Jobs, machines, and the index from a machine to the tasks placed on it.
#[derive(Default)]
pub struct ClusterState {
    /// Live jobs by id.
    pub jobs: BTreeMap<String, Job>,
    /// Machines by id.
    pub machines: BTreeMap<String, Machine>,
    /// Tasks placed on each machine. An entry may be outdated; `tasks_on` removes such entries.
    placements_by_machine: HashMap<String, BTreeSet<(String, u32)>>,
    /// Numbers by which the planner knows images.
    image_ids: HashMap<String, u32>,
    /// Images that machines fetched for earlier leaders' tasks, by machine: the image, when its
    /// job was submitted, and its size in GB.
    pub cached_images: HashMap<String, Vec<(u32, Time, f64)>>,
}

impl ClusterState {
    /// The tasks that are placed on `machine`.
    pub fn tasks_on(&mut self, machine: &str) -> Vec<(String, u32)> {
        let Some(set) = self.placements_by_machine.get_mut(machine) else { return Vec::new() };
        let jobs = &self.jobs;
        set.retain(|(id, task)| {
            jobs.get(id).and_then(|j| j.placements.get(task)).is_some_and(|p| p.machine == machine)
        });
        if set.is_empty() {
            self.placements_by_machine.remove(machine);
            return Vec::new();
        }
        set.iter().cloned().collect()
    }

    /// Adds a job as its record shows it.
    pub fn insert_job(&mut self, mut job: Job) {
        job.image_id = self.image_id(&job.spec.image);
        let id = job.spec.id.clone();
        self.jobs.insert(id.clone(), job);
        self.index_job(&id);
    }

    /// Adds all placements of a job to the index.
    pub fn index_job(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id) else { return };
        for (&task, p) in &job.placements {
            self.placements_by_machine.entry(p.machine.clone()).or_default().insert((id.to_string(), task));
        }
    }

    /// Places `task` of job `id` on `machine`.
    pub fn add_placement(&mut self, id: &str, task: u32, machine: &str, attempt: u64, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.add_placement(task, machine, attempt, now);
        if let Some(m) = self.machines.get_mut(machine) {
            m.reconciled_at = None;
        }
        self.placements_by_machine.entry(machine.to_string()).or_default().insert((id.to_string(), task));
    }

    /// The latest images of each machine that is up, `most` of each, with their sizes in GB; machines in
    /// order.
    pub fn images_held(&self, most: usize) -> Vec<(String, Vec<(String, f64)>)> {
        let mut names: Vec<&str> = vec![""; self.image_ids.len()];
        for (name, &n) in &self.image_ids {
            names[n as usize] = name;
        }
        let up = self.machines.values().filter(|m| m.phase == MachinePhase::Up);
        up.map(|m| {
            let images = m.latest_images(m.known_since, most);
            (m.id.clone(), images.map(|(n, gb)| (names[n as usize].to_string(), gb)).collect())
        })
        .collect()
    }

    /// Takes in what an earlier leader stored of the machines' images.
    pub fn learn_cached_images(&mut self, record: &ImagesRecord, now: Time) {
        let images: Vec<(u32, f64)> =
            record.images.iter().map(|(name, gb)| (self.image_id(name), *gb)).collect();
        for (machine, indices) in &record.machines {
            let cached = self.cached_images.entry(machine.clone()).or_default();
            for (age, index) in indices.iter().enumerate() {
                if let Some((image, gb)) = images.get(*index as usize) {
                    cached.push((*image, now - 1.0 - age as f64, *gb));
                }
            }
        }
    }

    /// The number by which the planner knows an image.
    pub fn image_id(&mut self, name: &str) -> u32 {
        if let Some(&n) = self.image_ids.get(name) {
            return n;
        }
        let n = self.image_ids.len() as u32;
        self.image_ids.insert(name.to_string(), n);
        n
    }
}
