//! What came of a day that was run on the bench.

mod shares;
mod table;

pub use table::{compare, table};

use crate::served::{share, Served};
use crate::site::Allowance;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Below that a class or team counts as not served.
pub const MIN_SERVED_SHARE: f64 = 0.5;

/// How a class or team was served on a day, as parts of the submitted jobs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The class, or what is counted and of which team or class.
    pub name: String,
    /// Jobs that were submitted.
    pub asked: usize,
    /// The part that started.
    pub started: f64,
    /// The part that was done.
    pub done: f64,
    /// The part that was done in time: the least of what the day's report and the
    /// controllers' logs say.
    pub in_time: f64,
}

impl Share {
    /// What counts: done or done in time, whichever is less.
    pub fn served(&self) -> f64 {
        self.done.min(self.in_time)
    }
}

/// Which run an outcome is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunId<'a> {
    /// The site's name.
    pub site: &'a str,
    /// The name of the site's variant.
    pub variant: &'a str,
    /// The day's name.
    pub day: &'a str,
    /// The seed that the day was run with.
    pub seed: u64,
}

/// The most that any controller used at a time, as parts of its allowance.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct Peaks {
    /// Memory.
    pub memory: f64,
    /// Open connections.
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

/// One day that was run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The site's name.
    pub site: String,
    /// The name of the site's variant.
    pub variant: String,
    /// The day's name.
    pub day: String,
    /// The seed that the day was run with.
    pub seed: u64,
    /// The bench's mark, if it gave one.
    pub mark: Option<f64>,
    /// Violations of the bench's rules.
    pub rules_broken: u64,
    /// Ends of controllers' processes that no trouble had caused.
    pub own_ends: usize,
    /// The part of submissions and status queries that were never answered.
    pub unanswered: f64,
    /// How each class and team was served.
    pub shares: Vec<Share>,
    /// The most that any controller used of its allowance.
    pub peaks: Peaks,
    /// Tasks that were killed since their lease expired.
    pub killed: u64,
    /// Tasks that were lost in all.
    pub lost: u64,
    /// Jobs that waited beside free capacity once troubles were over.
    #[serde(default)]
    pub neglected: u64,
    /// What the bench counts besides the rules, by its own names; each should be 0.
    #[serde(default)]
    pub slips: BTreeMap<String, u64>,
    /// Keys of the day that the bench did not know.
    #[serde(default)]
    pub unread: Vec<String>,
}

/// The number at `path` in a report; 0 if there is none.
fn number(report: &Value, path: &[&str]) -> f64 {
    path.iter().try_fold(report, |value, key| value.get(key)).and_then(Value::as_f64).unwrap_or(0.0)
}

impl Outcome {
    /// An outcome without a mark, from the bench's report of a day, what the controllers
    /// logged meanwhile, and a controller's allowance.
    pub fn new(run: RunId<'_>, report: &Value, logged: &Served, allowance: Allowance) -> Self {
        Outcome {
            site: run.site.into(),
            variant: run.variant.into(),
            day: run.day.into(),
            seed: run.seed,
            mark: None,
            rules_broken: number(report, &["rules_broken", "total"]) as u64,
            own_ends: own_ends(report),
            unanswered: unanswered(report),
            shares: shares::shares(report, logged),
            peaks: peaks(report, allowance),
            killed: number(report, &["fleet", "tasks_killed_by_lease"]) as u64,
            lost: number(report, &["fleet", "tasks_lost"]) as u64,
            neglected: number(report, &["idle", "neglected"]) as u64,
            slips: slips(report),
            unread: report["unread"].as_array().into_iter().flatten().map(Value::to_string).collect(),
        }
    }

    /// Which run it is of.
    pub fn run(&self) -> RunId<'_> {
        RunId { site: &self.site, variant: &self.variant, day: &self.day, seed: self.seed }
    }

    /// The class or team that was served least, by what was done and done in time.
    pub fn least(&self) -> Option<&Share> {
        let asked = self.shares.iter().filter(|share| share.asked > 0);
        asked.min_by(|a, b| a.served().total_cmp(&b.served()))
    }

    /// How far that one was served; 1 if no jobs were submitted.
    pub fn least_served(&self) -> f64 {
        self.least().map_or(1.0, Share::served)
    }

    /// The mark as it is printed.
    pub fn mark_text(&self) -> String {
        self.mark.map_or_else(|| "-".into(), |mark| format!("{mark:.2}"))
    }

    /// Whether the day is passed: no rule broken and nothing else counted against it, no
    /// process that ended by itself, nobody below [`MIN_SERVED_SHARE`], and all that the
    /// day says was run.
    pub fn holds(&self) -> bool {
        let violations = self.rules_broken + self.neglected + self.slips.values().sum::<u64>();
        violations == 0
            && self.own_ends == 0
            && self.unread.is_empty()
            && self.least_served() >= MIN_SERVED_SHARE
    }
}

fn node_stats(report: &Value) -> &[Value] {
    report["node_stats"].as_array().map_or(&[][..], Vec::as_slice)
}

fn own_ends(report: &Value) -> usize {
    let restarts =
        node_stats(report).iter().flat_map(|node| node["restarts"].as_array().into_iter().flatten());
    restarts.filter(|restart| restart["why"] != "fault").count()
}

fn unanswered(report: &Value) -> f64 {
    let users = |key| number(report, &["users", key]);
    let asked = users("asked") + users("submitted");
    let unanswered = users("asked_in_vain") + users("submitted") - users("accepted");
    share(unanswered, asked.max(1.0))
}

fn peaks(report: &Value, allowance: Allowance) -> Peaks {
    let max = |key| node_stats(report).iter().map(|node| number(node, &[key])).fold(0.0, f64::max);
    Peaks {
        memory: max("memory_peak_mb") / allowance.memory_mb,
        connections: max("connections_peak") / allowance.connections,
    }
}

fn slips(report: &Value) -> BTreeMap<String, u64> {
    let slips = report["idle"]["slips"].as_object().into_iter().flatten();
    let counts = slips.map(|(name, count)| (name.clone(), count.as_u64().unwrap_or(1)));
    counts.filter(|(_, count)| *count > 0).collect()
}
