//! Stored values that this version cannot decode, because a later version wrote them or because they
//! are damaged. Each is logged once and left unchanged; its content is never assumed to be absent.

use crate::leader::state::LeaderState;
use crate::messages::Time;
use crate::model::job::Job;
use crate::model::records::{job_id_of_key, parse_page_key};
use planner::Resources;
use protocol::worker::{split_task, TaskState};
use std::collections::BTreeMap;
use tracing::warn;

/// Possible quota usage of an undecodable job whose main record could be decoded.
struct UndecodableJob {
    team: String,
    resources_per_task: Resources,
    /// Number of tasks that are not done.
    open_tasks: u32,
    /// Time by which each launched task of the job has been reported by a machine or has ended.
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

/// Jobs with a stored value that cannot be decoded. Their tasks are not placed, their records are not
/// written, and a machine that runs their tasks takes no other work. Running tasks are not stopped
/// unless the job has ended.
#[derive(Default)]
pub struct UndecodableRecords {
    jobs: BTreeMap<String, Option<UndecodableJob>>,
}

impl UndecodableRecords {
    /// Records that the value of `key` cannot be decoded. Returns the id of the job that it belongs to,
    /// if any.
    pub fn record(&mut self, key: &str) -> Option<String> {
        let id = job_id_of_key(key).or_else(|| parse_page_key(key).map(|(id, ..)| id));
        warn!(key, "stored value cannot be decoded, left unchanged");
        let id = id?.to_string();
        self.jobs.entry(id.clone()).or_insert(None);
        Some(id)
    }

    /// Whether some value of job `id` cannot be decoded.
    pub fn contains_job(&self, id: &str) -> bool {
        !self.jobs.is_empty() && self.jobs.contains_key(id)
    }

    /// Whether there are no undecodable jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}

impl LeaderState {
    /// Records that the value of `key` cannot be decoded. Removes its job from the live jobs and
    /// returns the job if it was known.
    pub fn quarantine_undecodable(&mut self, key: &str, unreported_until: Time) -> Option<Job> {
        let id = self.undecodable.record(key)?;
        let job = self.cluster.jobs.remove(&id)?;
        let undecodable = UndecodableJob::new(&job, unreported_until);
        self.undecodable.jobs.insert(id, Some(undecodable));
        Some(job)
    }

    /// Returns the resources used by undecodable jobs, by team. All open tasks count until every
    /// running task must have been reported; from then on, only reported tasks count. Without this
    /// usage, quotas would be exceeded.
    pub fn undecodable_usage(&self, now: Time) -> Vec<(&str, Resources)> {
        let jobs = self.undecodable.jobs.iter().filter_map(|(id, job)| Some((id, job.as_ref()?)));
        jobs.map(|(id, job)| {
            let tasks =
                if now < job.unreported_until { job.open_tasks } else { self.reported_live_tasks(id) };
            (job.team.as_str(), job.usage(tasks))
        })
        .collect()
    }

    /// Returns the number of tasks of job `id` that machines report as not exited.
    fn reported_live_tasks(&self, id: &str) -> u32 {
        let reported = self.cluster.machines.values().flat_map(|machine| &machine.tasks);
        let live = reported.filter(|task| task.state != TaskState::Exited);
        live.filter(|task| split_task(&task.task).is_some_and(|(job_id, _)| job_id == id)).count() as u32
    }
}
