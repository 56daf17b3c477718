//! Tables of outcomes.

use super::{Outcome, Share};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Outcomes as a table, in the order of sites, variants and days.
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
    let Outcome { site, variant, day, seed, rules_broken, neglected, own_ends, .. } = outcome;
    let Outcome { unanswered, peaks, killed, lost, .. } = outcome;
    let mark = outcome.mark_text();
    let slips: u64 = outcome.slips.values().sum();
    let _ = write!(text, "{site:<28}{variant:<16}{day:<18}{seed:>5}{mark:>6}");
    let _ = write!(text, "{rules_broken:>6}{neglected:>6}{slips:>6}{own_ends:>6}{unanswered:>8.3}");
    let _ = write!(text, "{:>7.2}{:>7.2}{killed:>7}{lost:>7}", peaks.memory, peaks.connections);
    let flag = if outcome.holds() { ' ' } else { '!' };
    match outcome.least() {
        Some(Share { name, started, done, in_time, .. }) => {
            let _ = writeln!(text, " {flag}{name} {started:.3} {done:.3} {in_time:.3}");
        }
        None => text.push_str(" -\n"),
    }
}

/// What outcomes are averaged over: all seeds of a day.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DayKey<'a> {
    site: &'a str,
    variant: &'a str,
    day: &'a str,
}

#[derive(Debug, Default)]
struct Sums {
    mark: f64,
    least_served: f64,
    runs: usize,
}

impl Sums {
    fn mean_mark(&self) -> f64 {
        self.mark / self.runs as f64
    }

    fn mean_least_served(&self) -> f64 {
        self.least_served / self.runs as f64
    }
}

fn sums_by_day(outcomes: &[Outcome]) -> BTreeMap<DayKey<'_>, Sums> {
    let mut by_day: BTreeMap<DayKey<'_>, Sums> = BTreeMap::new();
    for outcome in outcomes {
        let key = DayKey { site: &outcome.site, variant: &outcome.variant, day: &outcome.day };
        let sums = by_day.entry(key).or_default();
        sums.mark += outcome.mark.unwrap_or(0.0);
        sums.least_served += outcome.least_served();
        sums.runs += 1;
    }
    by_day
}

/// Means by site, variant and day of two sets of outcomes, with their difference. Days that
/// are in one of them only are left out.
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
        let old_mark = old.mean_mark();
        let new_mark = new.mean_mark();
        let _ = write!(text, "{site:<28}{variant:<16}{day:<18}{runs:>6}{old_mark:>8.3}{new_mark:>8.3}");
        let change = new_mark - old_mark;
        let old_least = old.mean_least_served();
        let new_least = new.mean_least_served();
        let _ = writeln!(text, "{change:>+8.3}{old_least:>8.3}{new_least:>6.2}");
    }
    text
}
