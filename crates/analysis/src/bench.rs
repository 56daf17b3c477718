//! Runs of days on the bench, several in parallel.

use crate::error::{with_path, AnalysisError};
use crate::job_counts::JobCounter;
use crate::outcome::{Outcome, RunId};
use crate::site::ResourceLimits;
use std::collections::VecDeque;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::time::Instant;

/// A run of a day on the bench.
#[derive(Debug, Clone)]
pub struct BenchRun {
    /// Name of the site.
    pub site: String,
    /// Name of the site's variant.
    pub variant: String,
    /// Name of the day.
    pub day: String,
    /// Seed of the run.
    pub seed: u64,
    /// Path of the site file.
    pub site_file: PathBuf,
    /// Path of the bench's file of the day.
    pub day_file: PathBuf,
    /// Path for the bench's report. The log of its output is written next to it.
    pub report: PathBuf,
    /// Resources that a controller may use.
    pub limits: ResourceLimits,
}

impl BenchRun {
    /// Returns the names and the seed that identify the run.
    pub fn id(&self) -> RunId<'_> {
        RunId { site: &self.site, variant: &self.variant, day: &self.day, seed: self.seed }
    }
}

/// Results of a series of runs.
#[derive(Debug, Default)]
pub struct RunSummary {
    /// Outcomes, starting with those of earlier series.
    pub outcomes: Vec<Outcome>,
    /// Number of runs that failed to produce an outcome.
    pub failed: usize,
}

/// Runs a day and reads its outcome.
fn run_day(bench: &Path, reason: &str, run: &BenchRun) -> Result<Outcome, AnalysisError> {
    let log = run.report.with_extension("log");
    let status = execute(bench, reason, run, &log)?;
    let output = read_output(&log, &run.day)?;
    let text = std::fs::read_to_string(&run.report).map_err(|source| AnalysisError::NoReport {
        status,
        log: log.clone(),
        last_line: output.last_line,
        source,
    })?;
    let report = with_path(&run.report, serde_json::from_str(&text))?;
    let outcome = Outcome::new(run.id(), &report, &output.logged_jobs, run.limits);
    let outcome = Outcome { score: output.score, ..outcome };
    // The log is kept only to analyse a day that was not passed.
    if outcome.is_passed() {
        let _ = std::fs::remove_file(&log);
    }
    Ok(outcome)
}

/// Runs the bench with its output redirected to `log`, and waits until it ends.
fn execute(bench: &Path, reason: &str, run: &BenchRun, log: &Path) -> Result<ExitStatus, AnalysisError> {
    let stdout = with_path(log, File::create(log))?;
    let stderr = stdout.try_clone().map_err(AnalysisError::Redirect)?;
    let mut command = Command::new(bench);
    command.arg("run").arg(&run.site_file).arg(&run.day_file);
    command.args(["--seed", &run.seed.to_string(), "--log", "info", "--why", reason, "--report"]);
    command.arg(&run.report).stdin(Stdio::null()).stdout(stdout).stderr(stderr);
    with_path(bench, command.status())
}

/// Parsed output of the bench and the controllers.
#[derive(Default)]
struct BenchOutput {
    logged_jobs: JobCounter,
    score: Option<f64>,
    last_line: String,
}

fn read_output(log: &Path, day: &str) -> Result<BenchOutput, AnalysisError> {
    let file = with_path(log, File::open(log))?;
    let mut output = BenchOutput::default();
    for line in BufReader::new(file).split(b'\n') {
        let line = with_path(log, line)?;
        let line = String::from_utf8_lossy(&line);
        output.logged_jobs.record_line(&line);
        output.score = parse_score(&line, day).or(output.score);
        if !line.trim().is_empty() {
            output.last_line = line.into_owned();
        }
    }
    Ok(output)
}

/// Parses the score in the bench's line about the day: `DAY MACHINES SCORE ...`.
fn parse_score(line: &str, day: &str) -> Option<f64> {
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
    /// Number of outcomes of earlier series.
    previous_outcomes: usize,
}

impl Progress {
    /// Records the result of a run and prints it with an estimate of the remaining time.
    fn record(&mut self, run: &BenchRun, result: Result<Outcome, AnalysisError>) {
        let finished = self.summary.outcomes.len() - self.previous_outcomes + self.summary.failed + 1;
        let elapsed_s = self.started_at.elapsed().as_secs_f64();
        let remaining_min = elapsed_s / finished as f64 * (self.total - finished) as f64 / 60.0;
        let RunId { site, variant, day, seed } = run.id();
        let prefix = format!("{finished}/{} {site} {variant} {day} {seed}", self.total);
        match result {
            Ok(outcome) => {
                let score = outcome.score_text();
                let verdict = if outcome.is_passed() { "" } else { ", not passed" };
                eprintln!("{prefix}: {score}{verdict}; about {remaining_min:.0} min left");
                self.summary.outcomes.push(outcome);
            }
            Err(error) => {
                eprintln!("{prefix}: run failed: {error}");
                self.summary.failed += 1;
            }
        }
    }
}

/// Runs all of `runs`, `parallel_runs` at a time, and prints the progress. After each run with
/// an outcome, `save` is called with all outcomes, so that none is lost if the program is
/// interrupted. Runs that failed are printed and counted.
pub fn run_all(
    bench: &Path,
    reason: &str,
    runs: Vec<BenchRun>,
    parallel_runs: usize,
    previous: Vec<Outcome>,
    save: impl Fn(&[Outcome]) + Sync,
) -> RunSummary {
    let progress = Mutex::new(Progress {
        total: runs.len(),
        started_at: Instant::now(),
        previous_outcomes: previous.len(),
        summary: RunSummary { outcomes: previous, failed: 0 },
    });
    let queue = Mutex::new(VecDeque::from(runs));
    let next = || queue.lock().ok()?.pop_front();
    let worker = || {
        while let Some(run) = next() {
            let result = run_day(bench, reason, &run);
            let has_outcome = result.is_ok();
            let Ok(mut progress) = progress.lock() else { return };
            progress.record(&run, result);
            if has_outcome {
                save(&progress.summary.outcomes);
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..parallel_runs.max(1) {
            scope.spawn(worker);
        }
    });
    progress.into_inner().map(|progress| progress.summary).unwrap_or_default()
}
