//! Terminal jobs (done or cancelled), which are removed once none of their tasks is left.

use crate::leader::state::Role;
use crate::messages::Time;
use crate::model::job::Job;
use crate::model::records::JobRecord;
use crate::storage::archive::{terminal_record, TerminalJob};
use crate::Controller;
use protocol::job::JobStatus;
use tracing::info;

/// Returns the archive entry of a job without placements whose record, stored in `version`, is
/// terminal.
pub(super) fn terminal_job(id: &str, record: &JobRecord, version: u64) -> TerminalJob {
    TerminalJob {
        id: id.to_string(),
        version,
        record: terminal_record(record.status, record.done, record.submitted_wall_s),
        keys: record.spec_chunks.iter().flat_map(|chunks| chunks.keys(id)).collect(),
    }
}

/// Stops all tasks without a grace period, since their checkpoints are not needed.
fn stop_immediately(job: &mut Job, now: Time) {
    for placement in job.placements.values_mut() {
        if placement.stopping.is_none_or(|(_, grace_s)| grace_s > 0.0) {
            placement.stopping = Some((now, 0.0));
            placement.kill_sent = false;
        }
    }
}

impl Controller {
    /// Settles the recovered jobs that are terminal but may still have placements.
    pub(super) fn settle_all_terminal(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let jobs = leader.cluster.jobs.iter();
        let terminal_ids: Vec<String> =
            jobs.filter(|(_, job)| job.is_final()).map(|(id, _)| id.clone()).collect();
        for id in terminal_ids {
            self.settle_terminal(&id);
        }
    }

    /// Stops the remaining tasks of a terminal job, or archives and removes the job if none is left.
    pub(crate) fn settle_terminal(&mut self, id: &str) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(job) = leader.cluster.jobs.get_mut(id) else { return };
        if !job.is_final() {
            return;
        }
        job.release_unlaunched();
        stop_immediately(job, now);
        if job.placements.is_empty() && job.is_stored() {
            let terminal_job = TerminalJob::from_job(job);
            self.remove_terminal(terminal_job);
        } else {
            self.schedule_kills(id);
        }
    }

    fn remove_terminal(&mut self, terminal_job: TerminalJob) {
        self.log_job_finished(&terminal_job.id);
        let Role::Leader(leader) = &mut self.role else { return };
        leader.cluster.jobs.remove(&terminal_job.id);
        let terminal = &terminal_job.record;
        self.terminal_states.insert(&terminal_job.id, terminal.status, terminal.done);
        self.archive_job(terminal_job);
    }

    /// Logs how long a job took, and whether it missed its service-level objective.
    pub(crate) fn log_job_finished(&self, id: &str) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(job) = leader.cluster.jobs.get(id) else { return };
        let spec = &job.spec;
        let status = if job.status == JobStatus::Done { "done" } else { "withdrawn" };
        let took_s = self.now - job.submitted_at;
        let late = self.now > self.due_by(job);
        let free_s = job.ready_at - job.submitted_at;
        let ran_s = job.first_start.map_or(0.0, |started_at| self.now - started_at);
        info!(
            job = %id, class = %spec.class, team = %spec.team, status, took_s, free_s, ran_s, late,
            "job finished"
        );
    }
}
