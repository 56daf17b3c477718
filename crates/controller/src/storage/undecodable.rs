//! Stored values that this version cannot read: a later one's, or damaged. They are told of
//! once and left alone; what may stand in them is never taken for absent.

use crate::leader::state::LeaderState;
use crate::messages::Time;
use crate::model::job::Job;
use crate::model::records::{id_of, page_of_key};
use planner::Resources;
use protocol::worker::{split_task, TaskState};
use std::collections::BTreeMap;
use tracing::warn;

/// What such a job may take of its team's limit, if its own record could be read.
struct UndecodableJob {
    team: String,
    resources_per_task: Resources,
    /// Tasks that have not ended.
    open_tasks: u32,
    /// By then whatever was launched of it is reported by its machine, or has ended.
    unreported_until: Time,
}

/// Jobs of which some stored value cannot be read: nothing is placed or written of theirs, and
/// a machine that has tasks of theirs takes no other work. Nothing is stopped either, unless
/// they are over.
#[derive(Default)]
pub struct UndecodableRecords {
    jobs: BTreeMap<String, Option<UndecodableJob>>,
}

impl UndecodableRecords {
    /// The value of `key` cannot be read. Returns the job that it is of, if it is one's.
    pub fn record(&mut self, key: &str) -> Option<String> {
        let id = id_of(key).or_else(|| page_of_key(key).map(|p| p.0));
        warn!(key, "stored value cannot be decoded, left unchanged");
        let id = id?.to_string();
        self.jobs.entry(id.clone()).or_insert(None);
        Some(id)
    }

    pub fn contains_job(&self, job: &str) -> bool {
        !self.jobs.is_empty() && self.jobs.contains_key(job)
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }
}

impl LeaderState {
    /// The value of `key` cannot be read. Returns its job, as far as that was known.
    pub fn quarantine_undecodable(&mut self, key: &str, unseen_until: Time) -> Option<Job> {
        let id = self.undecodable.record(key)?;
        let job = self.cluster.jobs.remove(&id)?;
        let s = &job.spec;
        let claim = UndecodableJob {
            team: s.team.clone(),
            resources_per_task: Resources::new(s.cores, s.accelerators, s.memory_gb),
            open_tasks: s.tasks - job.done_count,
            unreported_until: unseen_until,
        };
        self.undecodable.jobs.insert(id, Some(claim));
        Some(job)
    }

    /// What the teams' tasks take that no record tells of: all that may run, and once all of it
    /// has been heard what machines report. (It was once not counted, and limits were
    /// overshot.)
    pub fn undecodable_usage(&self, now: Time) -> Vec<(&str, Resources)> {
        let live = |id: &str| {
            let tasks = self.cluster.machines.values().flat_map(|m| &m.tasks);
            let live = tasks.filter(|t| t.state != TaskState::Exited);
            live.filter(|t| split_task(&t.task).is_some_and(|(of, _)| of == id)).count() as u32
        };
        let claims = self.undecodable.jobs.iter().filter_map(|(id, c)| Some((id, c.as_ref()?)));
        claims
            .map(|(id, c)| {
                let tasks = f64::from(if now < c.unreported_until { c.open_tasks } else { live(id) });
                let Resources { cores, accelerators, memory_gb } = c.resources_per_task;
                (c.team.as_str(), Resources::new(cores * tasks, accelerators * tasks, memory_gb * tasks))
            })
            .collect()
    }
}
