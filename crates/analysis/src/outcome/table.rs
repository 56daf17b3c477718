//! Printed tables of outcomes.

use super::{Outcome, ServiceQuality};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Formats outcomes as a table, sorted by site, variant, day and seed.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut sorted: Vec<&Outcome> = outcomes.iter().collect();
    sorted.sort_by_key(|outcome| (&outcome.site, &outcome.variant, &outcome.day, outcome.seed));
    let mut text = format!(
        "{:<28}{:<16}{:<18}{:>5}{:>6}{:>6}{:>6}{:>6}{:>6}{:>8}{:>7}{:>7}{:>7}{:>7}  least served (started, done, in time)\n",
        "site", "variant", "day", "seed", "mark", "rules", "left", "slips", "ends", "unansw.", "memory", "sockets", "killed", "lost"
    );
    for outcome in sorted {
        write_row(&mut text, outcome);
    }
    text
}

fn write_row(text: &mut String, outcome: &Outcome) {
    let Outcome { site, variant, day, seed, rule_violations, neglected_jobs, unexpected_exits, .. } = outcome;
    let Outcome { unanswered_share, peaks, killed_tasks, lost_tasks, .. } = outcome;
    let score = outcome.score_text();
    let other_violations: u64 = outcome.other_violations.values().sum();
    let _ = write!(text, "{site:<28}{variant:<16}{day:<18}{seed:>5}{score:>6}");
    let _ = write!(text, "{rule_violations:>6}{neglected_jobs:>6}{other_violations:>6}{unexpected_exits:>6}{unanswered_share:>8.3}");
    let _ = write!(text, "{:>7.2}{:>7.2}{killed_tasks:>7}{lost_tasks:>7}", peaks.memory, peaks.connections);
    let flag = if outcome.is_passed() { ' ' } else { '!' };
    match outcome.least_served() {
        Some(ServiceQuality { name, started, done, in_time, .. }) => {
            let _ = writeln!(text, " {flag}{name} {started:.3} {done:.3} {in_time:.3}");
        }
        None => text.push_str(" -\n"),
    }
}

/// Day over whose seeds outcomes are averaged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DayKey<'a> {
    site: &'a str,
    variant: &'a str,
    day: &'a str,
}

#[derive(Debug, Default)]
struct Sums {
    score: f64,
    min_served_share: f64,
    runs: usize,
}

impl Sums {
    fn mean_score(&self) -> f64 {
        self.score / self.runs as f64
    }

    fn mean_min_served_share(&self) -> f64 {
        self.min_served_share / self.runs as f64
    }
}

fn sums_by_day(outcomes: &[Outcome]) -> BTreeMap<DayKey<'_>, Sums> {
    let mut by_day: BTreeMap<DayKey<'_>, Sums> = BTreeMap::new();
    for outcome in outcomes {
        let key = DayKey { site: &outcome.site, variant: &outcome.variant, day: &outcome.day };
        let sums = by_day.entry(key).or_default();
        sums.score += outcome.score.unwrap_or(0.0);
        sums.min_served_share += outcome.min_served_share();
        sums.runs += 1;
    }
    by_day
}

/// Formats a table of the means by site, variant and day of two sets of outcomes, with the
/// change of the score. Days that are only in one of the sets are left out.
pub fn compare(before: &[Outcome], after: &[Outcome]) -> String {
    let old_days = sums_by_day(before);
    let new_days = sums_by_day(after);
    let mut text = format!(
        "{:<28}{:<16}{:<18}{:>6}{:>8}{:>8}{:>8}{:>14}\n",
        "site", "variant", "day", "runs", "mark", "after", "change", "least served"
    );
    for (key, old) in &old_days {
        let Some(new) = new_days.get(key) else { continue };
        let DayKey { site, variant, day } = key;
        let runs = format!("{}/{}", old.runs, new.runs);
        let old_score = old.mean_score();
        let new_score = new.mean_score();
        let _ = write!(text, "{site:<28}{variant:<16}{day:<18}{runs:>6}{old_score:>8.3}{new_score:>8.3}");
        let change = new_score - old_score;
        let old_share = old.mean_min_served_share();
        let new_share = new.mean_min_served_share();
        let _ = writeln!(text, "{change:>+8.3}{old_share:>8.3}{new_share:>6.2}");
    }
    text
}
