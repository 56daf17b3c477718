//! Outcome of a day that was run on the bench.

mod shares;
mod table;

pub use table::{compare, table};

use crate::job_counts::{share, JobCounter};
use crate::site::ResourceLimits;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Served share below which a class or team counts as not served.
pub const MIN_SERVED_SHARE: f64 = 0.5;

/// Service quality of a class or team on a day, as shares of the submitted jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceQuality {
    /// Name of the class, or what is counted with the name of the team or class.
    pub name: String,
    /// Number of submitted jobs.
    #[serde(rename = "asked")]
    pub submitted: usize,
    /// Share that started.
    pub started: f64,
    /// Share that was done.
    pub done: f64,
    /// Share that was done in time; the same as `done` where deadlines are not counted.
    pub in_time: f64,
}

impl ServiceQuality {
    /// Returns the share that counts as served: the lower of done and done in time.
    pub fn served_share(&self) -> f64 {
        self.done.min(self.in_time)
    }
}

/// Names and seed that identify a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunId<'a> {
    /// Name of the site.
    pub site: &'a str,
    /// Name of the site's variant.
    pub variant: &'a str,
    /// Name of the day.
    pub day: &'a str,
    /// Seed of the run.
    pub seed: u64,
}

/// Peak resource usage of any controller, as shares of a controller's limits.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct Peaks {
    /// Peak memory usage.
    pub memory: f64,
    /// Peak number of open connections.
    pub connections: f64,
}

impl From<(f64, f64)> for Peaks {
    fn from((memory, connections): (f64, f64)) -> Self {
        Peaks { memory, connections }
    }
}

impl From<Peaks> for (f64, f64) {
    fn from(peaks: Peaks) -> Self {
        (peaks.memory, peaks.connections)
    }
}

/// Outcome of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Name of the site.
    pub site: String,
    /// Name of the site's variant.
    pub variant: String,
    /// Name of the day.
    pub day: String,
    /// Seed of the run.
    pub seed: u64,
    /// Score from the bench, if it printed one.
    #[serde(rename = "mark")]
    pub score: Option<f64>,
    /// Number of violations of the bench's rules.
    #[serde(rename = "rules_broken")]
    pub rule_violations: u64,
    /// Number of exits of controllers that no injected fault caused.
    #[serde(rename = "own_ends")]
    pub unexpected_exits: usize,
    /// Share of submissions and status queries that were never answered.
    #[serde(rename = "unanswered")]
    pub unanswered_share: f64,
    /// Service quality of each class and team.
    #[serde(rename = "shares")]
    pub service_quality: Vec<ServiceQuality>,
    /// Peak resource usage of the controllers.
    pub peaks: Peaks,
    /// Number of tasks that were killed because their lease expired.
    #[serde(rename = "killed")]
    pub killed_tasks: u64,
    /// Number of tasks that were lost for any reason.
    #[serde(rename = "lost")]
    pub lost_tasks: u64,
    /// Number of jobs that waited despite free capacity after the faults had ended.
    #[serde(default, rename = "neglected")]
    pub neglected_jobs: u64,
    /// Other counts of the bench, by its names; each should be 0.
    #[serde(default, rename = "slips")]
    pub other_violations: BTreeMap<String, u64>,
    /// Keys of the day's file that the bench does not know.
    #[serde(default, rename = "unread")]
    pub unknown_keys: Vec<String>,
}

/// Returns the number at `path` in a report, or 0 if there is none.
fn number(report: &Value, path: &[&str]) -> f64 {
    path.iter().try_fold(report, |value, key| value.get(key)).and_then(Value::as_f64).unwrap_or(0.0)
}

impl Outcome {
    /// Creates an outcome without a score from the bench's report, the jobs in the controllers'
    /// logs, and a controller's resource limits.
    pub fn new(run: RunId<'_>, report: &Value, logged_jobs: &JobCounter, limits: ResourceLimits) -> Self {
        Outcome {
            site: run.site.into(),
            variant: run.variant.into(),
            day: run.day.into(),
            seed: run.seed,
            score: None,
            rule_violations: number(report, &["rules_broken", "total"]) as u64,
            unexpected_exits: unexpected_exits(report),
            unanswered_share: unanswered_share(report),
            service_quality: shares::service_quality(report, logged_jobs),
            peaks: peaks(report, limits),
            killed_tasks: number(report, &["fleet", "tasks_killed_by_lease"]) as u64,
            lost_tasks: number(report, &["fleet", "tasks_lost"]) as u64,
            neglected_jobs: number(report, &["idle", "neglected"]) as u64,
            other_violations: other_violations(report),
            unknown_keys: report["unread"].as_array().into_iter().flatten().map(Value::to_string).collect(),
        }
    }

    /// Returns the names and the seed that identify the run.
    pub fn run_id(&self) -> RunId<'_> {
        RunId { site: &self.site, variant: &self.variant, day: &self.day, seed: self.seed }
    }

    /// Returns the class or team with the lowest served share; None if no jobs were submitted.
    pub fn least_served(&self) -> Option<&ServiceQuality> {
        let with_jobs = self.service_quality.iter().filter(|quality| quality.submitted > 0);
        with_jobs.min_by(|a, b| a.served_share().total_cmp(&b.served_share()))
    }

    /// Returns the lowest served share of any class or team, 1 if no jobs were submitted.
    pub fn min_served_share(&self) -> f64 {
        self.least_served().map_or(1.0, ServiceQuality::served_share)
    }

    /// Returns the score as it is printed.
    pub fn score_text(&self) -> String {
        self.score.map_or_else(|| "-".into(), |score| format!("{score:.2}"))
    }

    /// Whether the day was passed: no violations, no neglected jobs, no unexpected exits, no
    /// class or team below [`MIN_SERVED_SHARE`], and no key of the day unknown to the bench.
    pub fn is_passed(&self) -> bool {
        let violations =
            self.rule_violations + self.neglected_jobs + self.other_violations.values().sum::<u64>();
        violations == 0
            && self.unexpected_exits == 0
            && self.unknown_keys.is_empty()
            && self.min_served_share() >= MIN_SERVED_SHARE
    }
}

fn node_stats(report: &Value) -> &[Value] {
    report["node_stats"].as_array().map_or(&[][..], Vec::as_slice)
}

fn unexpected_exits(report: &Value) -> usize {
    let restarts =
        node_stats(report).iter().flat_map(|node| node["restarts"].as_array().into_iter().flatten());
    restarts.filter(|restart| restart["why"] != "fault").count()
}

fn unanswered_share(report: &Value) -> f64 {
    let users = |key| number(report, &["users", key]);
    let requests = users("asked") + users("submitted");
    let unanswered = users("asked_in_vain") + users("submitted") - users("accepted");
    share(unanswered, requests.max(1.0))
}

fn peaks(report: &Value, limits: ResourceLimits) -> Peaks {
    let max = |key| node_stats(report).iter().map(|node| number(node, &[key])).fold(0.0, f64::max);
    Peaks {
        memory: max("memory_peak_mb") / limits.memory_mb,
        connections: max("connections_peak") / limits.connections,
    }
}

fn other_violations(report: &Value) -> BTreeMap<String, u64> {
    let violations = report["idle"]["slips"].as_object().into_iter().flatten();
    let counts = violations.map(|(name, count)| (name.clone(), count.as_u64().unwrap_or(1)));
    counts.filter(|(_, count)| *count > 0).collect()
}
