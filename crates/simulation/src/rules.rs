//! The protocol's rules, judged on what really happens.

use protocol::job::{JobSpec, JobStatus};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    RanTwice,
    Quota,
    WrongPlace,
    RanCancelled,
    Forgotten,
    Invented,
    NotDone,
    WentBack,
    TooEarly,
    Orphaned,
    /// A job was accepted that can't run or lacks a field.
    Unfit,
    /// Troubles are over, and a job waits although a machine that fits has room and its team is
    /// under its limit.
    LeftWaiting,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    pub rule: Rule,
    pub at: f64,
    pub what: String,
}

/// What the users of a run know, and what is true.
#[derive(Default)]
pub struct Ledger {
    pub specs: BTreeMap<String, JobSpec>,
    pub submitted: BTreeSet<String>,
    pub accepted: BTreeSet<String>,
    pub told: BTreeMap<String, JobStatus>,
    /// When users were first told that a job is accepted, and when that it is over.
    pub accepted_at: BTreeMap<String, f64>,
    pub over_at: BTreeMap<String, (f64, JobStatus)>,
    /// When a question about it was last answered.
    pub answered: BTreeMap<String, f64>,
    /// When a user asked for it, and when it was told.
    pub cancel_asked: BTreeSet<String>,
    pub cancelled_at: BTreeMap<String, f64>,
    pub done: BTreeMap<String, BTreeSet<u32>>,
    pub broken: Vec<Violation>,
    /// Within that time after a cancellation was told, all that need the job are
    /// called cancelled.
    pub cancel_s: f64,
}

impl Ledger {
    pub fn break_rule(&mut self, rule: Rule, at: f64, what: String) {
        if self.broken.len() < 20 {
            self.broken.push(Violation { rule, at, what });
        }
    }

    /// A job and all that it awaits, directly or through others.
    pub fn before<'a>(&'a self, id: &'a str) -> BTreeSet<&'a str> {
        let (mut all, mut left) = (BTreeSet::new(), vec![id]);
        while let Some(id) = left.pop() {
            if all.insert(id) {
                left.extend(self.specs.get(id).into_iter().flat_map(|s| &s.dependencies).map(String::as_str));
            }
        }
        all
    }

    /// Whether all tasks of a job have completed.
    pub fn is_done(&self, id: &str) -> bool {
        let tasks = self.specs.get(id).map_or(usize::MAX, |s| s.tasks as usize);
        self.done.get(id).map_or(0, BTreeSet::len) >= tasks
    }

    /// A user was told `status` of `id` (None: 404), and had asked at `sent`.
    pub fn tell(&mut self, now: f64, sent: f64, id: &str, status: Option<JobStatus>) {
        let Some(status) = status else {
            if self.accepted_at.get(id).is_some_and(|at| *at <= sent) {
                self.break_rule(Rule::Forgotten, now, format!("{id} got 404"));
            }
            return;
        };
        if !self.submitted.contains(id) {
            return self.break_rule(Rule::Invented, now, id.to_string());
        }
        self.accepted.insert(id.to_string());
        self.accepted_at.entry(id.to_string()).or_insert(now);
        self.answered.insert(id.to_string(), now);
        if status == JobStatus::Done && !self.is_done(id) {
            self.break_rule(Rule::NotDone, now, id.to_string());
        }
        let before = self.before(id);
        let asked = before.iter().any(|id| self.cancel_asked.contains(*id));
        let told =
            before.iter().filter_map(|id| self.cancelled_at.get(*id)).copied().fold(f64::MAX, f64::min);
        if status == JobStatus::Cancelled && !asked {
            self.break_rule(Rule::WentBack, now, format!("{id} was not cancelled"));
        }
        if !status.is_final() && sent - told > self.cancel_s {
            self.break_rule(Rule::Orphaned, now, format!("{id} is called {status:?}, told at {told}"));
        }
        // What was asked before the end was told may be answered after it.
        if let Some((at, old)) = self.over_at.get(id).copied() {
            if old != status && (status.is_final() || at <= sent) {
                let what = format!("{id} from {old:?} at {at} to {status:?}, asked at {sent}");
                self.break_rule(Rule::WentBack, now, what);
            }
        }
        if status.is_final() {
            self.over_at.entry(id.to_string()).or_insert((now, status));
        }
        if status == JobStatus::Cancelled {
            self.cancelled_at.entry(id.to_string()).or_insert(now);
        }
        if status.is_final() || !self.over_at.contains_key(id) {
            self.told.insert(id.to_string(), status);
        }
    }
}
