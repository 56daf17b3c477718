//! Playing days on the bench, several at once.

use crate::outcome::Outcome;
use crate::served::Served;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Mutex;
use std::time::Instant;

/// One day to be played.
#[derive(Debug, Clone)]
pub struct Run {
    pub site: String,
    pub variant: String,
    pub day: String,
    pub seed: u64,
    pub site_file: PathBuf,
    pub day_file: PathBuf,
    /// Where the bench's report goes; its output goes beside it.
    pub report: PathBuf,
    /// A controller's allowance of memory (MB) and connections.
    pub allowance: (f64, f64),
}

/// Plays `run`; the error says what the bench said last.
fn play(bench: &Path, why: &str, run: &Run) -> Result<Outcome, String> {
    let log = run.report.with_extension("log");
    let out = std::fs::File::create(&log).map_err(|e| format!("{}: {e}", log.display()))?;
    let errors = out.try_clone().map_err(|e| e.to_string())?;
    let mut command = Command::new(bench);
    command.arg("run").arg(&run.site_file).arg(&run.day_file);
    command.args(["--seed", &run.seed.to_string(), "--log", "info", "--why", why, "--report"]);
    command.arg(&run.report).stdin(Stdio::null()).stdout(out).stderr(errors);
    let status = command.status().map_err(|e| format!("{}: {e}", bench.display()))?;
    let (logged, mark, last) = read(&log, &run.day)?;
    let text =
        std::fs::read_to_string(&run.report).map_err(|_| format!("{status}, {}: {last}", log.display()))?;
    let report = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", run.report.display()))?;
    let id = (run.site.as_str(), run.variant.as_str(), run.day.as_str(), run.seed);
    let outcome = Outcome { mark, ..Outcome::new(id, &report, &logged, run.allowance) };
    // What the controllers wrote is kept where it is needed only.
    if outcome.holds() {
        let _ = std::fs::remove_file(&log);
    }
    Ok(outcome)
}

/// What the controllers logged, the bench's mark, and its last line.
fn read(log: &Path, day: &str) -> Result<(Served, Option<f64>, String), String> {
    let file = std::fs::File::open(log).map_err(|e| format!("{}: {e}", log.display()))?;
    let (mut logged, mut mark, mut last) = (Served::default(), None, String::new());
    for line in BufReader::new(file).split(b'\n') {
        let line = line.map_err(|e| format!("{}: {e}", log.display()))?;
        let line = String::from_utf8_lossy(&line);
        logged.line(&line);
        // "NAME  MACHINES  MARK  ...", after a heading.
        let mut words = line.split_whitespace();
        if words.next() == Some(day) && words.next().is_some_and(|w| w.parse::<u64>().is_ok()) {
            mark = words.next().and_then(|w| w.parse().ok()).or(mark);
        }
        if !line.trim().is_empty() {
            last = line.into_owned();
        }
    }
    Ok((logged, mark, last))
}

/// Plays all `runs`, `at_once` of them at a time, and tells how far it is; `keep` gets all
/// outcomes after each day, so that nothing is lost when it is ended. A day that
/// could not be played is told and left out.
pub fn play_all(
    bench: &Path,
    why: &str,
    runs: Vec<Run>,
    at_once: usize,
    known: Vec<Outcome>,
    keep: impl Fn(&[Outcome]) + Sync,
) -> (Vec<Outcome>, usize) {
    let (all, begun) = (runs.len(), Instant::now());
    let waiting = Mutex::new(VecDeque::from(runs));
    let before = known.len();
    let done = Mutex::new((known, 0));
    let next = || waiting.lock().ok()?.pop_front();
    std::thread::scope(|s| {
        for _ in 0..at_once.max(1) {
            s.spawn(|| {
                while let Some(run) = next() {
                    let played = play(bench, why, &run);
                    let Ok(mut done) = done.lock() else { return };
                    let n = done.0.len() - before + done.1 + 1;
                    let spent = begun.elapsed().as_secs_f64();
                    let left = spent / n as f64 * (all - n) as f64 / 60.0;
                    let what = format!("{} {} {} {}", run.site, run.variant, run.day, run.seed);
                    match played {
                        Ok(o) => {
                            let mark = o.mark_text();
                            let held = if o.holds() { "" } else { ", does not hold" };
                            eprintln!("{n}/{all} {what}: {mark}{held}; about {left:.0} min left");
                            done.0.push(o);
                            keep(&done.0);
                        }
                        Err(why) => {
                            eprintln!("{n}/{all} {what}: not played: {why}");
                            done.1 += 1;
                        }
                    }
                }
            });
        }
    });
    done.into_inner().unwrap_or_default()
}
