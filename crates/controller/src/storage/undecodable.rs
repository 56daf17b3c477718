//! Stored values that this version cannot read: written by a later version, or damaged. Each is
//! logged once and left unchanged; what it may hold is never taken for absent.

use crate::leader::state::LeaderState;
use crate::messages::Time;
use crate::model::job::Job;
use crate::model::records::{id_of, parse_page_key};
use planner::Resources;
use protocol::worker::{split_task, TaskState};
use std::collections::BTreeMap;
use tracing::warn;

/// What an undecodable job may take of its team's quota, if its own record could be read.
struct UndecodableJob {
    team: String,
    resources_per_task: Resources,
    /// Number of tasks that are not done.
    open_tasks: u32,
    /// By then a machine has reported each of its tasks that was launched, or the task has ended.
    unreported_until: Time,
}

impl UndecodableJob {
    fn new(job: &Job, unreported_until: Time) -> Self {
        let spec = &job.spec;
        UndecodableJob {
            team: spec.team.clone(),
            resources_per_task: Resources::new(spec.cores, spec.accelerators, spec.memory_gb),
            open_tasks: spec.tasks - job.done_count,
            unreported_until,
        }
    }

    fn usage(&self, tasks: u32) -> Resources {
        let tasks = f64::from(tasks);
        let Resources { cores, accelerators, memory_gb } = self.resources_per_task;
        Resources::new(cores * tasks, accelerators * tasks, memory_gb * tasks)
    }
}

/// Jobs of which some stored value cannot be read. Nothing of theirs is placed or written, and
/// a machine that runs their tasks takes no other work. Their tasks are not stopped either, unless
/// the job has ended.
#[derive(Default)]
pub struct UndecodableRecords {
    jobs: BTreeMap<String, Option<UndecodableJob>>,
}

impl UndecodableRecords {
    /// The value of `key` cannot be read. Returns the id of the job that it belongs to, if any.
    pub fn record(&mut self, key: &str) -> Option<String> {
        let id = id_of(key).or_else(|| parse_page_key(key).map(|(id, ..)| id));
        warn!(key, "stored value cannot be decoded, left unchanged");
        let id = id?.to_string();
        self.jobs.entry(id.clone()).or_insert(None);
        Some(id)
    }

    /// Whether some value of the job with that id cannot be read.
    pub fn contains_job(&self, id: &str) -> bool {
        !self.jobs.is_empty() && self.jobs.contains_key(id)
    }

    /// Whether all values could be read.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}

impl LeaderState {
    /// The value of `key` cannot be read. Removes its job from the live ones and returns it, as far
    /// as it was known.
    pub fn quarantine_undecodable(&mut self, key: &str, unreported_until: Time) -> Option<Job> {
        let id = self.undecodable.record(key)?;
        let job = self.cluster.jobs.remove(&id)?;
        let undecodable = UndecodableJob::new(&job, unreported_until);
        self.undecodable.jobs.insert(id, Some(undecodable));
        Some(job)
    }

    /// What undecodable jobs use, by team: all their open tasks, and once all that run must have been
    /// reported, only those that machines report. (Without this count quotas were once
    /// exceeded.)
    pub fn undecodable_usage(&self, now: Time) -> Vec<(&str, Resources)> {
        let jobs = self.undecodable.jobs.iter().filter_map(|(id, job)| Some((id, job.as_ref()?)));
        jobs.map(|(id, job)| {
            let tasks =
                if now < job.unreported_until { job.open_tasks } else { self.reported_live_tasks(id) };
            (job.team.as_str(), job.usage(tasks))
        })
        .collect()
    }

    /// Number of tasks of job `id` that machines report and that have not exited.
    fn reported_live_tasks(&self, id: &str) -> u32 {
        let reported = self.cluster.machines.values().flat_map(|machine| &machine.tasks);
        let live = reported.filter(|task| task.state != TaskState::Exited);
        live.filter(|task| split_task(&task.task).is_some_and(|(job_id, _)| job_id == id)).count() as u32
    }
}
