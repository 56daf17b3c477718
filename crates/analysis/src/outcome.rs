//! What came of a day that was played, and tables of such outcomes.

use crate::served::{share, Group, Served};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;

/// How a class or team was served on a day, as parts of what was asked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    pub name: String,
    pub asked: usize,
    pub started: f64,
    pub done: f64,
    /// Done in time: the least of what the day's report and the controllers' logs say.
    pub in_time: f64,
}

/// One day that was played.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    pub site: String,
    pub variant: String,
    pub day: String,
    pub seed: u64,
    /// The bench's mark, if it gave one.
    pub mark: Option<f64>,
    pub rules_broken: u64,
    /// Ends of processes that no trouble had caused.
    pub own_ends: usize,
    /// Parts of submissions and of polls that were never answered.
    pub unanswered: f64,
    pub shares: Vec<Share>,
    /// Most of a controller's allowance that was used at a time: memory, connections.
    pub peaks: (f64, f64),
    /// Tasks that were killed by their lease, and tasks lost in all.
    pub killed: u64,
    pub lost: u64,
    /// Jobs that waited beside room once troubles were over.
    #[serde(default)]
    pub neglected: u64,
    /// What the bench counts besides the rules, by its own names: aim 0 of each.
    #[serde(default)]
    pub slips: BTreeMap<String, u64>,
    /// Keys of the day that the bench did not know.
    #[serde(default)]
    pub unread: Vec<String>,
}

/// Below that a class or team counts as not served.
pub const LEAST: f64 = 0.5;

fn number(v: &Value, path: &[&str]) -> f64 {
    path.iter().try_fold(v, |v, key| v.get(key)).and_then(Value::as_f64).unwrap_or(0.0)
}

impl Share {
    /// What counts: done and done in time, whichever is less.
    pub fn served(&self) -> f64 {
        self.done.min(self.in_time)
    }
}

impl Outcome {
    /// From the bench's report of a day, what the controllers logged meanwhile and the
    /// allowance of memory (MB) and connections.
    pub fn new(id: (&str, &str, &str, u64), report: &Value, logged: &Served, allowance: (f64, f64)) -> Self {
        let users = |key| number(report, &["users", key]);
        let asked = users("asked") + users("submitted");
        let vain = users("asked_in_vain") + users("submitted") - users("accepted");
        let nodes = report["node_stats"].as_array().map_or(&[][..], Vec::as_slice);
        let most = |key| nodes.iter().map(|n| number(n, &[key])).fold(0.0, f64::max);
        let restarts = nodes.iter().flat_map(|n| n["restarts"].as_array().into_iter().flatten());
        Outcome {
            site: id.0.into(),
            variant: id.1.into(),
            day: id.2.into(),
            seed: id.3,
            mark: None,
            rules_broken: number(report, &["rules_broken", "total"]) as u64,
            own_ends: restarts.filter(|r| r["why"] != "fault").count(),
            unanswered: share(vain, asked.max(1.0)),
            shares: shares(report, logged),
            peaks: (most("memory_peak_mb") / allowance.0, most("connections_peak") / allowance.1),
            killed: number(report, &["fleet", "tasks_killed_by_lease"]) as u64,
            lost: number(report, &["fleet", "tasks_lost"]) as u64,
            neglected: number(report, &["idle", "neglected"]) as u64,
            slips: slips(report),
            unread: report["unread"].as_array().into_iter().flatten().map(Value::to_string).collect(),
        }
    }

    /// Whether it is that day, played with that seed.
    pub fn is_of(&self, site: &str, variant: &str, day: &str, seed: u64) -> bool {
        (self.site.as_str(), self.variant.as_str(), self.day.as_str(), self.seed)
            == (site, variant, day, seed)
    }

    /// The class or team that was served least, by what was done and done in time.
    pub fn least(&self) -> Option<&Share> {
        let asked = self.shares.iter().filter(|s| s.asked > 0);
        asked.min_by(|a, b| a.served().total_cmp(&b.served()))
    }

    /// How far that one was served; 1 where nobody asked.
    pub fn least_served(&self) -> f64 {
        self.least().map_or(1.0, Share::served)
    }

    /// The mark as it is printed.
    pub fn mark_text(&self) -> String {
        self.mark.map_or_else(|| "-".into(), |m| format!("{m:.2}"))
    }

    /// No rule broken, nothing else counted against it, no end of its own, nobody below half and
    /// nothing left lying; and the bench has played all that the day says.
    pub fn holds(&self) -> bool {
        let counted = self.rules_broken + self.neglected + self.slips.values().sum::<u64>();
        counted == 0 && self.own_ends == 0 && self.unread.is_empty() && self.least_served() >= LEAST
    }
}

fn slips(report: &Value) -> BTreeMap<String, u64> {
    let counts = report["idle"]["slips"].as_object();
    let counts = counts.into_iter().flatten().map(|(name, n)| (name.clone(), n.as_u64().unwrap_or(1)));
    counts.filter(|(_, n)| *n > 0).collect()
}

/// Classes by the report, with the least of their aims at being done, and teams by
/// the logs.
fn shares(report: &Value, logged: &Served) -> Vec<Share> {
    let targets = report["targets"].as_array().map_or(&[][..], Vec::as_slice);
    let mut shares = Vec::new();
    for (class, c) in report["classes"].as_object().into_iter().flatten() {
        let asked = number(c, &["jobs"]) - number(c, &["cancelled"]);
        let mine = targets.iter().filter(|t| t["class"] == class.as_str());
        let aims = mine.filter(|t| t["kind"] == "deadline" || t["kind"] == "finished");
        let done = share(number(c, &["done"]), asked);
        shares.push(Share {
            name: class.clone(),
            asked: asked as usize,
            started: share(number(c, &["started"]), number(c, &["jobs"])),
            done,
            in_time: aims.map(|t| number(t, &["value"])).fold(done, f64::min),
        });
    }
    // What the bench counts itself: who began in time at all.
    for (key, what) in [("teams", "began team"), ("largest", "began largest"), ("longest", "began longest")] {
        for (name, c) in report[key].as_object().into_iter().flatten() {
            let asked = number(c, &["jobs"]);
            let started = share(number(c, &["started"]), asked);
            let name = format!("{what} {name}");
            shares.push(Share { name, asked: asked as usize, started, done: started, in_time: started });
        }
    }
    for row in logged.rows() {
        let asked = row.asked as f64;
        let (what, in_time) = match row.group {
            Group::Class => continue,
            Group::Team => ("team", row.timely()),
            // Whether they were in time is the class's affair: they have to begin.
            Group::Largest => ("largest", row.served()),
        };
        shares.push(Share {
            name: format!("{what} {}", row.name),
            asked: row.asked,
            started: share(row.started as f64, asked),
            done: row.served(),
            in_time,
        });
    }
    shares
}

/// Outcomes as a table, in the order of sites, variants and days.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut rows: Vec<&Outcome> = outcomes.iter().collect();
    rows.sort_by_key(|o| (&o.site, &o.variant, &o.day, o.seed));
    let mut text = format!(
        "{:<28}{:<16}{:<18}{:>5}{:>6}{:>6}{:>6}{:>6}{:>6}{:>8}{:>7}{:>7}{:>7}{:>7}  least served (started, done, in time)\n",
        "site", "variant", "day", "seed", "mark", "rules", "left", "slips", "ends", "unansw.", "memory", "sockets", "killed", "lost"
    );
    for o in rows {
        let mark = o.mark_text();
        let _ = write!(text, "{:<28}{:<16}{:<18}{:>5}{mark:>6}", o.site, o.variant, o.day, o.seed);
        let slips: u64 = o.slips.values().sum();
        let _ = write!(text, "{:>6}{:>6}{slips:>6}{:>6}", o.rules_broken, o.neglected, o.own_ends);
        let _ = write!(text, "{:>8.3}", o.unanswered);
        let _ = write!(text, "{:>7.2}{:>7.2}{:>7}{:>7}", o.peaks.0, o.peaks.1, o.killed, o.lost);
        let flag = if o.holds() { ' ' } else { '!' };
        match o.least() {
            Some(s) => {
                let Share { name, started, done, in_time, .. } = s;
                let _ = writeln!(text, " {flag}{name} {started:.3} {done:.3} {in_time:.3}");
            }
            None => text.push_str(" -\n"),
        }
    }
    text
}

/// Means by site, variant and day of two tables, with their difference.
pub fn compare(before: &[Outcome], after: &[Outcome]) -> String {
    type Key<'a> = (&'a str, &'a str, &'a str);
    fn means(outcomes: &[Outcome]) -> BTreeMap<Key<'_>, (f64, f64, usize)> {
        let mut sums: BTreeMap<Key<'_>, (f64, f64, usize)> = BTreeMap::new();
        for o in outcomes {
            let sum = sums.entry((&o.site, &o.variant, &o.day)).or_default();
            *sum = (sum.0 + o.mark.unwrap_or(0.0), sum.1 + o.least_served(), sum.2 + 1);
        }
        sums.into_iter().map(|(k, (m, l, n))| (k, (m / n as f64, l / n as f64, n))).collect()
    }
    let (old, new) = (means(before), means(after));
    let mut text = format!(
        "{:<28}{:<16}{:<18}{:>6}{:>8}{:>8}{:>8}{:>14}\n",
        "site", "variant", "day", "runs", "mark", "after", "change", "least served"
    );
    for (key, (mark, least, runs)) in &old {
        let Some((mark2, least2, runs2)) = new.get(key) else { continue };
        let (site, variant, day) = key;
        let runs = format!("{runs}/{runs2}");
        let _ = write!(text, "{site:<28}{variant:<16}{day:<18}{runs:>6}{mark:>8.3}{mark2:>8.3}");
        let _ = writeln!(text, "{:>+8.3}{least:>8.3}{least2:>6.2}", mark2 - mark);
    }
    text
}
