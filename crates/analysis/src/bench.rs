//! Runs days on the bench, several at once.

use crate::error::{with_path, AnalysisError};
use crate::outcome::{Outcome, RunId};
use crate::served::Served;
use crate::site::Allowance;
use std::collections::VecDeque;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::time::Instant;

/// One day to be run.
#[derive(Debug, Clone)]
pub struct BenchRun {
    /// The site's name.
    pub site: String,
    /// The name of the site's variant.
    pub variant: String,
    /// The day's name.
    pub day: String,
    /// The seed to run it with.
    pub seed: u64,
    /// The site's file.
    pub site_file: PathBuf,
    /// The day's file.
    pub day_file: PathBuf,
    /// Where the bench's report goes; its output goes beside it.
    pub report: PathBuf,
    /// What a controller may use.
    pub allowance: Allowance,
}

impl BenchRun {
    /// The names of its parts.
    pub fn id(&self) -> RunId<'_> {
        RunId { site: &self.site, variant: &self.variant, day: &self.day, seed: self.seed }
    }
}

/// What came of a series of runs.
#[derive(Debug, Default)]
pub struct RunSummary {
    /// The outcomes, those that were known before first.
    pub outcomes: Vec<Outcome>,
    /// Days that could not be run.
    pub failed: usize,
}

/// Runs a day.
fn run_day(bench: &Path, why: &str, run: &BenchRun) -> Result<Outcome, AnalysisError> {
    let log = run.report.with_extension("log");
    let status = execute(bench, why, run, &log)?;
    let output = read_output(&log, &run.day)?;
    let text = std::fs::read_to_string(&run.report).map_err(|source| AnalysisError::NoReport {
        status,
        log: log.clone(),
        last_line: output.last_line,
        source,
    })?;
    let report = with_path(&run.report, serde_json::from_str(&text))?;
    let outcome = Outcome::new(run.id(), &report, &output.logged, run.allowance);
    let outcome = Outcome { mark: output.mark, ..outcome };
    // The controllers' logs are kept only where they are needed.
    if outcome.holds() {
        let _ = std::fs::remove_file(&log);
    }
    Ok(outcome)
}

/// Starts the bench and waits for its end; its output goes to `log`.
fn execute(bench: &Path, why: &str, run: &BenchRun, log: &Path) -> Result<ExitStatus, AnalysisError> {
    let stdout = with_path(log, File::create(log))?;
    let stderr = stdout.try_clone().map_err(AnalysisError::Redirect)?;
    let mut command = Command::new(bench);
    command.arg("run").arg(&run.site_file).arg(&run.day_file);
    command.args(["--seed", &run.seed.to_string(), "--log", "info", "--why", why, "--report"]);
    command.arg(&run.report).stdin(Stdio::null()).stdout(stdout).stderr(stderr);
    with_path(bench, command.status())
}

/// What the bench and the controllers wrote.
#[derive(Default)]
struct BenchOutput {
    logged: Served,
    mark: Option<f64>,
    last_line: String,
}

fn read_output(log: &Path, day: &str) -> Result<BenchOutput, AnalysisError> {
    let file = with_path(log, File::open(log))?;
    let mut output = BenchOutput::default();
    for line in BufReader::new(file).split(b'\n') {
        let line = with_path(log, line)?;
        let line = String::from_utf8_lossy(&line);
        output.logged.line(&line);
        output.mark = mark_of_line(&line, day).or(output.mark);
        if !line.trim().is_empty() {
            output.last_line = line.into_owned();
        }
    }
    Ok(output)
}

/// The mark in the bench's line on the day: `DAY MACHINES MARK ...`.
fn mark_of_line(line: &str, day: &str) -> Option<f64> {
    let mut words = line.split_whitespace();
    let name = words.next()?;
    let machines = words.next()?;
    if name != day || machines.parse::<u64>().is_err() {
        return None;
    }
    words.next()?.parse().ok()
}

/// Progress of a series of runs.
struct Progress {
    total: usize,
    started_at: Instant,
    summary: RunSummary,
    /// Outcomes that were known before.
    known: usize,
}

impl Progress {
    /// Takes in how a run ended, and prints it with an estimate of the time that is left.
    fn record(&mut self, run: &BenchRun, result: Result<Outcome, AnalysisError>) {
        let finished = self.summary.outcomes.len() - self.known + self.summary.failed + 1;
        let elapsed_s = self.started_at.elapsed().as_secs_f64();
        let left_min = elapsed_s / finished as f64 * (self.total - finished) as f64 / 60.0;
        let RunId { site, variant, day, seed } = run.id();
        let prefix = format!("{finished}/{} {site} {variant} {day} {seed}", self.total);
        match result {
            Ok(outcome) => {
                let mark = outcome.mark_text();
                let held = if outcome.holds() { "" } else { ", does not hold" };
                eprintln!("{prefix}: {mark}{held}; about {left_min:.0} min left");
                self.summary.outcomes.push(outcome);
            }
            Err(error) => {
                eprintln!("{prefix}: not played: {error}");
                self.summary.failed += 1;
            }
        }
    }
}

/// Runs all of `runs`, `jobs` at a time, and prints the progress. After each day that was
/// run, `save` gets all outcomes, so that nothing is lost when the program is interrupted.
/// A day that could not be run is printed and counted.
pub fn run_all(
    bench: &Path,
    why: &str,
    runs: Vec<BenchRun>,
    jobs: usize,
    known: Vec<Outcome>,
    save: impl Fn(&[Outcome]) + Sync,
) -> RunSummary {
    let progress = Mutex::new(Progress {
        total: runs.len(),
        started_at: Instant::now(),
        known: known.len(),
        summary: RunSummary { outcomes: known, failed: 0 },
    });
    let waiting = Mutex::new(VecDeque::from(runs));
    let next = || waiting.lock().ok()?.pop_front();
    let work = || {
        while let Some(run) = next() {
            let result = run_day(bench, why, &run);
            let has_outcome = result.is_ok();
            let Ok(mut progress) = progress.lock() else { return };
            progress.record(&run, result);
            if has_outcome {
                save(&progress.summary.outcomes);
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(work);
        }
    });
    progress.into_inner().map(|progress| progress.summary).unwrap_or_default()
}
