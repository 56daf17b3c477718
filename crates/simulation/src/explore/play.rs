//! Plays one line, judges it, and makes what fails smaller.

use super::line::{guards, word, Line};
use super::script::{script, workers, Script};
use crate::sim::{Border, Crossing, Trouble};
use crate::Simulation;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// How long after the last trouble everything has to be over: what waits beside room breaks its
/// rule before that.
const PATIENCE_S: f64 = 110.0;

/// Users ask on that long after the end, and what is stored is put away.
const AFTER_S: f64 = 11.0;

/// What came of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// The first rule that broke, when, and how.
    pub broken: Option<(String, f64, String)>,
    /// How many of its troubles came about.
    pub struck: usize,
    /// Tasks that began after their job's cancellation had been told.
    pub late_starts: usize,
    pub ended_s: f64,
    /// What crossed a border before the script's end, if that was asked for.
    pub crossings: Vec<Crossing>,
}

/// Plays a line to its end.
pub fn play(line: &Line, record: bool) -> Outcome {
    let played = catch_unwind(AssertUnwindSafe(|| play_on(line, record)));
    played.unwrap_or_else(|cause| {
        let text = cause.downcast_ref::<String>().cloned();
        let text = text.or_else(|| cause.downcast_ref::<&str>().map(|s| s.to_string())).unwrap_or_default();
        let broken = Some(("Panicked".to_string(), 0.0, text));
        Outcome { broken, struck: 0, late_starts: 0, ended_s: 0.0, crossings: Vec::new() }
    })
}

fn play_on(line: &Line, record: bool) -> Outcome {
    let s = script(line.script).expect("a line names a script that there is");
    let mut sim = Simulation::new(s.setup(line.seed, guards(line.without)));
    sim.interfere(line.plan.clone(), record);
    let broken = run_out(&mut sim, s, line.plan.len());
    let crossings = sim.crossings().iter().filter(|c| c.at < s.until_s).cloned().collect();
    Outcome { broken, struck: sim.struck(), late_starts: sim.late_starts.len(), ended_s: sim.now, crossings }
}

/// Runs until all is over after the last of so many troubles, or a rule is broken.
fn run_out(sim: &mut Simulation, script: &Script, troubles: usize) -> Option<(String, f64, String)> {
    let mut over_at = f64::MAX;
    loop {
        sim.run(sim.now + 1.0);
        if let Some(b) = sim.ledger.broken.first() {
            return Some((format!("{:?}", b.rule), b.at, b.what.clone()));
        }
        if sim.struck() < troubles && sim.now < script.until_s {
            continue;
        }
        if sim.all_over() {
            over_at = over_at.min(sim.now);
        }
        if sim.now >= sim.quiet_from().max(over_at) + AFTER_S {
            return None;
        }
        if over_at == f64::MAX && sim.now >= sim.quiet_from().max(script.until_s) + PATIENCE_S {
            return Some(("Unfinished".into(), sim.now, sim.unfinished().join(" ")));
        }
    }
}

/// Times of "a short while, a lease, longer than `cancel_s`".
fn spells() -> [f64; 3] {
    let w = workers();
    [w.heartbeat_interval_s, w.lease_s + 1.0, w.cancel_s + 4.0]
}

/// When who ended is back: at once, or after a lease.
fn returns() -> [f64; 2] {
    [0.2, spells()[1]]
}

/// Every kind of trouble that can strike at such a message.
pub fn troubles(border: &Border) -> Vec<Trouble> {
    use Trouble::*;
    let lease = spells()[1];
    let mut all = match border {
        Border::Timer => vec![],
        Border::State { writes: true } => vec![Lost, Late(2.0), Late(6.0), Late(12.0)],
        Border::State { writes: false } | Border::StateReply => vec![Lost, Late(1.2)],
        Border::Cloud => vec![Lost, Late(6.0)],
        Border::CloudReply => vec![Lost, Late(4.0)],
        Border::Relay | Border::Direct => vec![Lost, Late(1.0), Late(8.0)],
        Border::RelayReply | Border::DirectReply => vec![Lost, Late(1.0)],
        Border::Report => vec![Lost, Late(3.0), Copied(2.0), Copied(lease + 5.0)],
        Border::ReportAnswer => vec![Lost, Late(3.0)],
        Border::User => vec![Lost, Late(3.0), Copied(0.5), Copied(lease + 5.0)],
        Border::UserAnswer => vec![Lost, Late(3.0)],
    };
    let cut: fn(f64) -> Trouble = if *border == Border::Timer { Late } else { Cut };
    if !matches!(border, Border::UserAnswer | Border::CloudReply) {
        all.extend(spells().map(cut));
    }
    if matches!(border, Border::State { .. }) {
        all.extend(spells().map(Refused));
    }
    if matches!(border, Border::Report | Border::ReportAnswer | Border::Direct) {
        all.extend(spells().map(Hangs));
    }
    if matches!(border, Border::Report) {
        all.push(EndsAfter(lease));
    }
    if sent_by_node(border) {
        all.extend(returns().map(EndsBefore));
        if *border != Border::Timer {
            all.extend(returns().map(EndsAfter));
        }
    }
    all.extend([Cancel, Ask]);
    all
}

fn sent_by_node(border: &Border) -> bool {
    use Border::*;
    !matches!(border, StateReply | CloudReply | DirectReply | Report | User)
}

/// The same failure with fewer and shorter troubles.
pub fn smaller(line: &Line, rule: &str) -> Line {
    let mut best = line.clone();
    let fails = |l: &Line| play(l, false).broken.is_some_and(|b| b.0 == rule);
    // What could not be left out may be once another one is.
    while let Some(less) = one_less(&best).find(fails) {
        best = less;
    }
    for n in 0..best.plan.len() {
        for trouble in shorter(best.plan[n].1) {
            let mut less = best.clone();
            less.plan[n].1 = trouble;
            if fails(&less) {
                best = less;
                break;
            }
        }
    }
    best
}

/// The same line without one of its troubles.
fn one_less(line: &Line) -> impl Iterator<Item = Line> {
    let line = line.clone();
    (0..line.plan.len()).rev().map(move |n| {
        let mut less = line.clone();
        less.plan.remove(n);
        less
    })
}

/// The same trouble for shorter times, the shortest first.
fn shorter(trouble: Trouble) -> Vec<Trouble> {
    let (name, Some(time)) = word(trouble) else { return Vec::new() };
    let less = [0.2, 1.0, 2.0, 3.0, 6.0, 12.0, 20.0, 30.0].into_iter().filter(|s| *s < time);
    let text = less.map(|s| format!("{name}:{s}"));
    text.filter_map(|t| super::line::trouble(&t).ok()).collect()
}
