//! The leader's state of the cluster: jobs, machines, and the tasks placed on each machine.

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
    /// Tasks placed on each machine. Entries may be outdated; `tasks_on` removes such entries.
    placements_by_machine: HashMap<String, BTreeSet<(String, u32)>>,
    /// Numbers by which the planner identifies images, by image name.
    image_ids: HashMap<String, u32>,
    /// Images that machines fetched for tasks of earlier leaders, by machine: the number of the image,
    /// an estimate of when it was last needed, and its size in GB.
    pub cached_images: HashMap<String, Vec<(u32, Time, f64)>>,
}

/// Images that a machine holds.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineImages {
    /// Id of the machine.
    pub id: String,
    /// Names and sizes in GB, most recently needed first.
    pub images: Vec<(String, f64)>,
}

impl ClusterState {
    /// Returns the tasks that are placed on `machine`, as sorted pairs of job id and task index.
    pub fn tasks_on(&mut self, machine: &str) -> Vec<(String, u32)> {
        let Some(tasks) = self.placements_by_machine.get_mut(machine) else { return Vec::new() };
        let jobs = &self.jobs;
        tasks.retain(|(id, task)| {
            let placement = jobs.get(id).and_then(|job| job.placements.get(task));
            placement.is_some_and(|placement| placement.machine == machine)
        });
        if tasks.is_empty() {
            self.placements_by_machine.remove(machine);
            return Vec::new();
        }
        tasks.iter().cloned().collect()
    }

    /// Adds a job that was read from its record.
    pub fn insert_job(&mut self, mut job: Job) {
        job.image_id = self.image_id(&job.spec.image);
        let id = job.spec.id.clone();
        self.jobs.insert(id.clone(), job);
        self.index_job(&id);
    }

    /// Adds all placements of a job to the index.
    pub fn index_job(&mut self, id: &str) {
        let Some(job) = self.jobs.get(id) else { return };
        for (&task, placement) in &job.placements {
            let tasks = self.placements_by_machine.entry(placement.machine.clone()).or_default();
            tasks.insert((id.to_string(), task));
        }
    }

    /// Places `task` of job `id` on `machine`.
    pub fn add_placement(&mut self, id: &str, task: u32, machine: &str, attempt: u64, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.add_placement(task, machine, attempt, now);
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.reconciled_at = None;
        }
        self.placements_by_machine.entry(machine.to_string()).or_default().insert((id.to_string(), task));
    }

    /// Returns the most recently needed images of each machine that is up, at most `max_images` per
    /// machine, sorted by machine id.
    pub fn images_held(&self, max_images: usize) -> Vec<MachineImages> {
        let names = self.image_names();
        let up = self.machines.values().filter(|machine| machine.phase == MachinePhase::Up);
        up.map(|machine| {
            let images = machine.latest_images(machine.created_at, max_images);
            MachineImages {
                id: machine.id.clone(),
                images: images.map(|(image, size_gb)| (names[image as usize].to_string(), size_gb)).collect(),
            }
        })
        .collect()
    }

    /// Returns the names of all images, by image number.
    fn image_names(&self) -> Vec<&str> {
        let mut names = vec![""; self.image_ids.len()];
        for (name, &image) in &self.image_ids {
            names[image as usize] = name;
        }
        names
    }

    /// Adds the machines' images that an earlier leader stored.
    pub fn load_cached_images(&mut self, record: &ImagesRecord, now: Time) {
        let images: Vec<(u32, f64)> =
            record.images.iter().map(|(name, size_gb)| (self.image_id(name), *size_gb)).collect();
        for (machine, indices) in &record.machines {
            let cached = self.cached_images.entry(machine.clone()).or_default();
            for (age_rank, index) in indices.iter().enumerate() {
                if let Some((image, size_gb)) = images.get(*index as usize) {
                    cached.push((*image, now - 1.0 - age_rank as f64, *size_gb));
                }
            }
        }
    }

    /// Returns the number of an image; a new image gets the next free number.
    pub fn image_id(&mut self, name: &str) -> u32 {
        if let Some(&image) = self.image_ids.get(name) {
            return image;
        }
        let image = self.image_ids.len() as u32;
        self.image_ids.insert(name.to_string(), image);
        image
    }
}
