//! The protocol's rules, judged on what really happens and on what users are told.

use protocol::job::{JobSpec, JobStatus};
use std::collections::{BTreeMap, BTreeSet};

/// The number of violations that are kept of a run.
const MAX_VIOLATIONS: usize = 20;

/// A rule of the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A task runs on two machines at once.
    RanTwice,
    /// A team uses more accelerators than its limit.
    Quota,
    /// A task begins where its job may not run.
    WrongPlace,
    /// A task is on a machine long after users were told that its job is cancelled.
    RanCancelled,
    /// An accepted job is unknown, refused or unanswered.
    Forgotten,
    /// A job is known that nobody submitted.
    Invented,
    /// A job is called done and is not.
    NotDone,
    /// A status is older than one that was told before, or contradicts it.
    WentBack,
    /// A task begins before a job that it depends on is done.
    TooEarly,
    /// A job is called alive long after one that it depends on was called cancelled.
    Orphaned,
    /// A job was accepted that can't run or lacks a field.
    Unfit,
    /// Faults are over, and a job waits although a machine that fits has room and its team is under
    /// its limit.
    LeftWaiting,
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, in simulated seconds.
    pub at: f64,
    /// What happened.
    pub details: String,
}

/// The end of a job as users were told of it first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FinishedJob {
    /// When, in simulated seconds.
    pub at: f64,
    /// How it ended.
    pub status: JobStatus,
}

/// What the users of a run know, and what is true. Times are in simulated seconds.
#[derive(Default)]
pub struct History {
    /// Jobs by id, submitted or not.
    pub specs: BTreeMap<String, JobSpec>,
    /// Jobs that were submitted.
    pub submitted: BTreeSet<String>,
    /// Jobs that users were told are accepted.
    pub accepted: BTreeSet<String>,
    /// The newest status that users were told.
    pub last_status: BTreeMap<String, JobStatus>,
    /// When users were first told that a job is accepted.
    pub accepted_at: BTreeMap<String, f64>,
    /// How each job ended.
    pub finished: BTreeMap<String, FinishedJob>,
    /// When a question about a job was last answered.
    pub answered_at: BTreeMap<String, f64>,
    /// Jobs whose cancellation a user asked for.
    pub cancel_requested: BTreeSet<String>,
    /// When users were first told that a job is cancelled.
    pub cancelled_at: BTreeMap<String, f64>,
    /// Tasks that really completed.
    pub completed: BTreeMap<String, BTreeSet<u32>>,
    /// The first rules that were broken.
    pub violations: Vec<Violation>,
    /// Within that time, in seconds, after users were told of a cancellation, all jobs that depend on
    /// the job are called cancelled.
    pub cancel_s: f64,
}

impl History {
    /// Records that a rule was broken.
    pub fn violate(&mut self, rule: Rule, at: f64, details: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(Violation { rule, at, details });
        }
    }

    /// A job and all that it depends on, directly or through others.
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

    /// Whether all tasks of a job have completed.
    pub fn is_done(&self, job: &str) -> bool {
        let tasks = self.specs.get(job).map_or(usize::MAX, |spec| spec.tasks as usize);
        self.completed.get(job).map_or(0, BTreeSet::len) >= tasks
    }

    /// Whether a task has completed.
    pub fn has_completed(&self, task: &crate::worker::TaskKey) -> bool {
        self.completed.get(&task.job).is_some_and(|completed| completed.contains(&task.index))
    }

    /// A user that had asked at `sent_at` was told a job's status at `now`; None: there is no such
    /// job.
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

    /// A job is cancelled only if a user asked for that, and soon after one that it depends on is.
    fn check_cancellation(&mut self, now: f64, sent_at: f64, job: &str, status: JobStatus) {
        let lineage = self.with_dependencies(job);
        let requested = lineage.iter().any(|job| self.cancel_requested.contains(*job));
        let told = lineage.iter().filter_map(|job| self.cancelled_at.get(*job)).copied();
        let told_at = told.fold(f64::MAX, f64::min);
        if status == JobStatus::Cancelled && !requested {
            self.violate(Rule::WentBack, now, format!("{job} was not cancelled"));
        }
        if !status.is_final() && sent_at - told_at > self.cancel_s {
            self.violate(Rule::Orphaned, now, format!("{job} is called {status:?}, told at {told_at}"));
        }
    }

    /// An end never changes. What was asked before the end was told may be answered after it.
    fn check_end(&mut self, now: f64, sent_at: f64, job: &str, status: JobStatus) {
        let Some(finished) = self.finished.get(job).copied() else { return };
        let FinishedJob { at, status: old } = finished;
        if old != status && (status.is_final() || at <= sent_at) {
            let details = format!("{job} from {old:?} at {at} to {status:?}, asked at {sent_at}");
            self.violate(Rule::WentBack, now, details);
        }
    }
}
