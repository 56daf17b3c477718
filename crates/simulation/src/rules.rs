//! Rules of the protocol, checked against the actual state and the responses to users.

use protocol::job::{JobSpec, JobStatus};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of violations recorded in a run.
const MAX_VIOLATIONS: usize = 20;

/// Rule of the protocol, described by its violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A task runs on two machines at once.
    RanTwice,
    /// A team uses more accelerators than its limit.
    Quota,
    /// A task starts on a machine that its job may not use.
    WrongPlace,
    /// A task is still on a machine long after users were told that its job is cancelled.
    RanCancelled,
    /// An accepted job is unknown, refused or unanswered.
    Forgotten,
    /// A status is reported for a job that was never submitted.
    Invented,
    /// A job is reported as done although not all of its tasks have completed.
    NotDone,
    /// A reported status contradicts an earlier final status, or a job that nobody cancelled is
    /// reported as cancelled.
    WentBack,
    /// A task starts before a job that it depends on is done.
    TooEarly,
    /// A job has no final status long after it or one of its dependencies was reported as cancelled.
    Orphaned,
    /// A job was accepted although it cannot run or lacks a required field.
    Unfit,
    /// All faults have ended, and a job waits although an eligible machine has free capacity and its
    /// team is below its limit.
    LeftWaiting,
}

/// Violation of a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Rule that was broken.
    pub rule: Rule,
    /// Time of the violation, in simulated seconds.
    pub at: f64,
    /// Description of the violation.
    pub details: String,
}

/// First final status of a job that was reported to a user.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishedJob {
    /// Time of the report, in simulated seconds.
    pub at: f64,
    /// Final status.
    pub status: JobStatus,
}

/// History of a run: statuses that users received, and what actually happened. Times are in
/// simulated seconds.
#[derive(Default)]
pub struct History {
    /// Specifications of all jobs by id, whether submitted yet or not.
    pub specs: BTreeMap<String, JobSpec>,
    /// Jobs that were submitted.
    pub submitted: BTreeSet<String>,
    /// Jobs that users were told are accepted.
    pub accepted: BTreeSet<String>,
    /// Newest status that users received of each job.
    pub last_status: BTreeMap<String, JobStatus>,
    /// Time at which users were first told that each job is accepted.
    pub accepted_at: BTreeMap<String, f64>,
    /// First final status of each job that was reported to a user.
    pub finished: BTreeMap<String, FinishedJob>,
    /// Time at which a request about each job was last answered with a status.
    pub answered_at: BTreeMap<String, f64>,
    /// Jobs whose cancellation a user requested.
    pub cancel_requested: BTreeSet<String>,
    /// Time at which users were first told that each job is cancelled.
    pub cancelled_at: BTreeMap<String, f64>,
    /// Indices of the tasks that actually completed, by job.
    pub completed: BTreeMap<String, BTreeSet<u32>>,
    /// First violations of the run.
    pub violations: Vec<Violation>,
    /// Time, in seconds, after the first report of a cancellation within which all dependent jobs have
    /// to be reported as cancelled.
    pub cancel_s: f64,
}

impl History {
    /// Records a violation of a rule.
    pub fn violate(&mut self, rule: Rule, at: f64, details: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation { rule, at, details });
        }
    }

    /// Returns a job and all its direct and indirect dependencies.
    pub fn with_dependencies<'a>(&'a self, job: &'a str) -> BTreeSet<&'a str> {
        let mut all = BTreeSet::new();
        let mut pending = vec![job];
        while let Some(job) = pending.pop() {
            if all.insert(job) {
                let dependencies = self.specs.get(job).into_iter().flat_map(|spec| &spec.dependencies);
                pending.extend(dependencies.map(String::as_str));
            }
        }
        all
    }

    /// Returns whether all tasks of a job have completed.
    pub fn is_done(&self, job: &str) -> bool {
        let tasks = self.specs.get(job).map_or(usize::MAX, |spec| spec.tasks as usize);
        self.completed.get(job).map_or(0, BTreeSet::len) >= tasks
    }

    /// Returns whether a task has completed.
    pub fn has_completed(&self, task: &crate::worker::TaskKey) -> bool {
        self.completed.get(&task.job).is_some_and(|completed| completed.contains(&task.index))
    }

    /// Records a response that a user received at `now` to a request sent at `sent_at`: the status of
    /// a job, or None if the job is unknown to the node. Checks the response against the rules.
    pub fn record_status(&mut self, now: f64, sent_at: f64, job: &str, status: Option<JobStatus>) {
        let Some(status) = status else { return self.record_unknown(now, sent_at, job) };
        if !self.submitted.contains(job) {
            return self.violate(Rule::Invented, now, job.to_string());
        }
        self.accepted.insert(job.to_string());
        self.accepted_at.entry(job.to_string()).or_insert(now);
        self.answered_at.insert(job.to_string(), now);
        if status == JobStatus::Done && !self.is_done(job) {
            self.violate(Rule::NotDone, now, job.to_string());
        }
        self.check_cancellation(now, sent_at, job, status);
        self.check_end(now, sent_at, job, status);
        if status.is_final() {
            self.finished.entry(job.to_string()).or_insert(FinishedJob { at: now, status });
        }
        if status == JobStatus::Cancelled {
            self.cancelled_at.entry(job.to_string()).or_insert(now);
        }
        if status.is_final() || !self.finished.contains_key(job) {
            self.last_status.insert(job.to_string(), status);
        }
    }

    fn record_unknown(&mut self, now: f64, sent_at: f64, job: &str) {
        if self.accepted_at.get(job).is_some_and(|at| *at <= sent_at) {
            self.violate(Rule::Forgotten, now, format!("{job} got 404"));
        }
    }

    /// Checks that a job is reported as cancelled only if its cancellation or that of a dependency was
    /// requested, and that it has a final status soon after a dependency was reported as cancelled.
    fn check_cancellation(&mut self, now: f64, sent_at: f64, job: &str, status: JobStatus) {
        let lineage = self.with_dependencies(job);
        let requested = lineage.iter().any(|job| self.cancel_requested.contains(*job));
        let report_times = lineage.iter().filter_map(|job| self.cancelled_at.get(*job)).copied();
        let reported_at = report_times.fold(f64::MAX, f64::min);
        if status == JobStatus::Cancelled && !requested {
            self.violate(Rule::WentBack, now, format!("{job} is reported as cancelled without a request"));
        }
        if !status.is_final() && sent_at - reported_at > self.cancel_s {
            self.violate(
                Rule::Orphaned,
                now,
                format!("{job} is {status:?} although cancellation was reported at {reported_at}"),
            );
        }
    }

    /// Checks that a final status never changes. Requests sent before the final status was reported
    /// may still be answered with an earlier status.
    fn check_end(&mut self, now: f64, sent_at: f64, job: &str, status: JobStatus) {
        let Some(finished) = self.finished.get(job).copied() else { return };
        let FinishedJob { at, status: previous } = finished;
        if previous != status && (status.is_final() || at <= sent_at) {
            let details = format!("{job} went from {previous:?} at {at} to {status:?}, queried at {sent_at}");
            self.violate(Rule::WentBack, now, details);
        }
    }
}
