//! Selection and order of the jobs to be written.

use crate::messages::Time;
use crate::model::job::Job;
use crate::scheduling::effective_priority::priority_level;
use std::cmp::Ordering;
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// Job to be written.
#[derive(Debug, Clone, PartialEq)]
pub struct DueJob {
    /// Job id.
    pub id: String,
    /// Whether the write is not urgent, and leaves half of the budget for urgent writes.
    pub is_lazy: bool,
    /// Rank by priority, most urgent first; 0 for lazy writes.
    rank: u8,
    /// Time at which the job became ready, for urgent writes, or dirty, for lazy writes.
    since: Time,
}

/// Returns the jobs to be written, most urgent first. Placements and completed jobs are due
/// immediately. Other task ends and counts wait for `lazy_delay_s`, so that many changes of a job
/// share one write. Ordering by job id instead would let a backlog starve jobs that sort late.
pub fn due_jobs(jobs: &mut BTreeMap<String, Job>, now: Time, lazy_delay_s: Time) -> Vec<DueJob> {
    let mut due = Vec::new();
    for (id, job) in jobs {
        if job.is_stored() {
            continue;
        }
        let dirty_since = *job.persistence.dirty_since.get_or_insert(now);
        if now >= job.persistence.write_suspended_until {
            due.extend(due_job(id, job, dirty_since, now, lazy_delay_s));
        }
    }
    due.sort_by(DueJob::compare);
    due
}

/// Moves the first of the jobs that `is_chosen` to the front.
pub fn move_to_front(due: &mut [DueJob], is_chosen: impl Fn(&DueJob) -> bool) {
    if let Some(position) = due.iter().position(is_chosen) {
        due[..=position].rotate_right(1);
    }
}

fn due_job(id: &str, job: &Job, dirty_since: Time, now: Time, lazy_delay_s: Time) -> Option<DueJob> {
    if needs_urgent_write(job) {
        let rank = u8::MAX - priority_level(&job.spec);
        return Some(DueJob { id: id.to_string(), is_lazy: false, rank, since: job.ready_at });
    }
    if now >= dirty_since + lazy_delay_s {
        return Some(DueJob { id: id.to_string(), is_lazy: true, rank: 0, since: dirty_since });
    }
    None
}

/// Whether the write must not be delayed. The end of a job that was cancelled along with its
/// dependency may be delayed: until it is stored, it follows from the dependency's record.
fn needs_urgent_write(job: &Job) -> bool {
    let follows_from_dependency = job.is_final() && job.placements.is_empty() && !job.is_complete();
    job.persistence.is_urgent() || job.is_final() && !follows_from_dependency
}

impl DueJob {
    fn compare(&self, other: &Self) -> Ordering {
        self.is_lazy
            .cmp(&other.is_lazy)
            .then(self.rank.cmp(&other.rank))
            .then(self.since.total_cmp(&other.since))
            .then_with(|| self.id.cmp(&other.id))
    }
}
