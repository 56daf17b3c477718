//! Systematic exploration of faults instead of random draws: each script is recorded without faults
//! and then run once for each message and each kind of fault that can occur there
//! (`docs/explore.md`).

mod error;
mod plan;
mod play;
mod replay_line;
mod script;

pub use error::InputError;
pub use play::{applicable_faults, reduce, run_line, Outcome, RunFailure};
pub use replay_line::{check_names, checks_without, find_check, find_fault_word, find_script, ReplayLine};
pub use script::{Script, SCRIPTS};

use crate::sim::{MessageFault, RecordedMessage};
use plan::PlannedRun;
use rayon::prelude::*;
use replay_line::FaultWord;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Number of runs per thread between two checks of the time limit and the failures so far.
const BATCH_RUNS: usize = 64;
/// Number of runs per thread between two such checks if the first failure ends the script.
const FIRST_FAILURE_BATCH_RUNS: usize = 8;

/// Maximum number of failures that are reduced and printed for each script and rule.
const MAX_SHOWN_FAILURES: usize = 3;

/// Options of an exploration.
#[derive(Debug, Clone)]
pub struct Options {
    /// Scripts to run.
    pub scripts: Vec<&'static Script>,
    /// Number of faults in one run: 1 or 2.
    pub depth: usize,
    /// Number of threads.
    pub jobs: usize,
    /// Seed of the scripts and of the order of runs.
    pub seed: u64,
    /// Safety check that is switched off.
    pub without: Option<&'static str>,
    /// Time limit for each script, after which no new run begins.
    pub time_limit: Option<Duration>,
    /// Divisor of the selection: one in `every` planned runs is executed.
    pub every: usize,
    /// Names of the kinds of fault to use. Empty for all.
    pub only: Vec<&'static str>,
    /// Whether the first failure ends a script.
    pub stop_at_first: bool,
}

/// Violation of a rule, with the line that replays it.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// Line that replays the run.
    pub line: ReplayLine,
    /// Number of the run, in the order of the plan and starting at 1.
    pub run_number: usize,
    /// Violated rule, time and details.
    pub cause: RunFailure,
    /// Label of the message at which the last fault was injected.
    pub label: String,
}

/// Result of exploring one script.
#[derive(Debug, Clone, Default)]
pub struct ScriptReport {
    /// Number of messages and timer ticks in the run without faults.
    pub injection_points: usize,
    /// Number of possible runs before any were omitted.
    pub possible_runs: usize,
    /// Number of runs omitted from the plan because they are equivalent to planned ones or not
    /// selected by `every`.
    pub omitted_runs: usize,
    /// Number of planned runs that were not executed, because of the time limit or because a failure
    /// ended the script.
    pub skipped_runs: usize,
    /// Number of first faults for which no second faults were planned because of the time limit.
    pub skipped_first_faults: usize,
    /// Number of executed runs.
    pub runs: usize,
    /// Number of runs in which the last fault was not injected.
    pub runs_without_last_fault: usize,
    /// Number of tasks that started after users were told of a cancellation, over all runs.
    pub late_starts: usize,
    /// Number of injection points by kind of message.
    pub points_by_kind: BTreeMap<String, usize>,
    /// Number of distinct message labels.
    pub distinct_labels: usize,
    /// Number of runs that broke a rule, by rule.
    pub failed_runs: BTreeMap<String, usize>,
    /// Some of these failures, reduced.
    pub failures: Vec<Failure>,
}

/// Progress of the exploration of a script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// This number of runs has been planned.
    Planned(usize),
    /// One more run has finished.
    RunFinished,
}

/// Callback for progress, called on any thread.
type OnProgress<'a> = &'a (dyn Fn(Progress) + Sync);

/// Explores one script.
pub fn explore(script: &'static Script, options: &Options, on_progress: OnProgress<'_>) -> ScriptReport {
    let started = Instant::now();
    let time_is_up = || options.time_limit.is_some_and(|limit| started.elapsed() >= limit);
    let faultless =
        ReplayLine { script: script.name, plan: Vec::new(), seed: options.seed, without: options.without };
    let messages = run_line(&faultless, true).messages;
    let mut report = ScriptReport { injection_points: messages.len(), ..ScriptReport::default() };
    for message in &messages {
        *report.points_by_kind.entry(message.kind.as_str().to_string()).or_default() += 1;
    }
    report.distinct_labels = messages.iter().map(|message| &message.label).collect::<BTreeSet<_>>().len();
    let plan = if options.depth == 1 {
        let plan = plan::single_faults(faultless, &messages, options);
        report.possible_runs = plan.len();
        plan
    } else {
        let pairs = plan::fault_pairs(&faultless, &messages, options, &time_is_up);
        report.possible_runs = pairs.possible_runs;
        report.omitted_runs = pairs.possible_runs - pairs.runs.len();
        report.skipped_first_faults = pairs.skipped_first_faults;
        pairs.runs
    };
    let selected = plan::select_runs(plan, options, &mut report.omitted_runs);
    run_all(&selected, options, &time_is_up, on_progress, &mut report);
    report
}

/// Executes the planned runs and adds their outcomes to the report.
fn run_all(
    plan: &[PlannedRun],
    options: &Options,
    time_is_up: &(dyn Fn() -> bool + Sync),
    on_progress: OnProgress<'_>,
    report: &mut ScriptReport,
) {
    on_progress(Progress::Planned(plan.len()));
    let pool = plan::thread_pool(options);
    let batch_runs = if options.stop_at_first { FIRST_FAILURE_BATCH_RUNS } else { BATCH_RUNS };
    for batch in plan.chunks(batch_runs * options.jobs) {
        if time_is_up() || (options.stop_at_first && !report.failed_runs.is_empty()) {
            break;
        }
        let run_one = |run: &PlannedRun| {
            let outcome = run_line(&run.line, false);
            on_progress(Progress::RunFinished);
            outcome
        };
        let outcomes: Vec<Outcome> = pool.install(|| batch.par_iter().map(run_one).collect());
        for (run, outcome) in batch.iter().zip(outcomes) {
            report.add(run, outcome);
        }
    }
    report.skipped_runs = plan.len() - report.runs;
    report.failures = pool.install(|| report.failures.par_iter().map(reduce_failure).collect());
}

impl ScriptReport {
    fn add(&mut self, run: &PlannedRun, outcome: Outcome) {
        self.runs += 1;
        self.runs_without_last_fault += usize::from(outcome.faults_injected < run.line.plan.len());
        self.late_starts += outcome.late_starts;
        let Some(cause) = outcome.failure else { return };
        *self.failed_runs.entry(cause.rule.clone()).or_default() += 1;
        let shown = self.failures.iter().filter(|failure| failure.cause.rule == cause.rule).count();
        if shown < MAX_SHOWN_FAILURES {
            let (line, label) = (run.line.clone(), run.label.clone());
            self.failures.push(Failure { line, run_number: self.runs, cause, label });
        }
    }
}

fn reduce_failure(failure: &Failure) -> Failure {
    let line = reduce(&failure.line, &failure.cause.rule);
    let mut cause = failure.cause.clone();
    if let Some(reduced) = run_line(&line, false).failure {
        cause.at = reduced.at;
        cause.details = reduced.details;
    }
    Failure { line, cause, ..failure.clone() }
}

/// Outcome of replaying a line, and its description.
pub struct Replay {
    /// Outcome of the run.
    pub outcome: Outcome,
    /// Description of the faults and of the end of the run, as lines of text.
    pub lines: Vec<String>,
}

/// Runs a replay line and describes the run.
pub fn replay(line: &ReplayLine) -> Replay {
    let outcome = run_line(line, true);
    let faults_of = |message: &RecordedMessage| -> Vec<MessageFault> {
        let planned = line.plan.iter().filter(|planned| planned.message == message.number);
        planned.map(|planned| planned.fault).collect()
    };
    let mut lines = Vec::new();
    for message in &outcome.messages {
        let faults = faults_of(message);
        if !faults.is_empty() {
            let (at, number, label) = (message.at, message.number, &message.label);
            let kind = message.kind.as_str();
            let faults = faults.into_iter().map(describe_fault).collect::<Vec<_>>().join(", ");
            lines.push(format!("{at:.3} s, message {number}: {label} ({kind}): [{faults}]"));
        }
    }
    lines.push(match &outcome.failure {
        Some(failure) => format!("{} at {:.3} s: {}", failure.rule, failure.at, failure.details),
        None => format!("no rule was broken until {:.1} s", outcome.ended_at),
    });
    Replay { outcome, lines }
}

/// Returns a fault as replays print it: the capitalised words of its kind, and its time.
fn describe_fault(fault: MessageFault) -> String {
    let FaultWord { word, time_s } = FaultWord::from(fault);
    let capitalised = word.split('-').map(|part| part[..1].to_uppercase() + &part[1..]);
    let time = time_s.map(|time_s| format!("({time_s:?})"));
    capitalised.collect::<String>() + &time.unwrap_or_default()
}
