//! Goes through what could go wrong instead of drawing it: each script is recorded without faults,
//! and then played once for each message and each kind of fault that can strike there
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

/// Runs a thread plays before the time and the failures so far are looked at.
const BATCH_RUNS: usize = 64;
/// The same if the first failure ends the script.
const FIRST_FAILURE_BATCH_RUNS: usize = 8;

/// Failures that are reduced and shown for each script and rule.
const MAX_SHOWN_FAILURES: usize = 3;

/// What is explored.
#[derive(Debug, Clone)]
pub struct Options {
    /// The scripts to play.
    pub scripts: Vec<&'static Script>,
    /// Faults in one run: 1 or 2.
    pub depth: usize,
    /// The number of threads.
    pub jobs: usize,
    /// Seed of the scripts and of the order of runs.
    pub seed: u64,
    /// A safety check that is switched off.
    pub without: Option<&'static str>,
    /// No new run of a script begins after that time.
    pub time_limit: Option<Duration>,
    /// Of the runs, one in so many is played.
    pub every: usize,
    /// Words of the kinds of fault; all if none is named.
    pub only: Vec<&'static str>,
    /// Whether the first failure ends a script.
    pub stop_at_first: bool,
}

/// A rule that broke, and the line that replays it.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// The line that replays it.
    pub line: ReplayLine,
    /// How many runs it took, in the order of the plan.
    pub run_number: usize,
    /// The rule that broke, when, and how.
    pub cause: RunFailure,
    /// The message that the last fault struck at.
    pub label: String,
}

/// What came of one script.
#[derive(Debug, Clone, Default)]
pub struct ScriptReport {
    /// Messages and timers of the run without faults.
    pub injection_points: usize,
    /// Runs that the plan had before it was thinned.
    pub possible_runs: usize,
    /// Runs that are not planned, since runs alike are.
    pub omitted_runs: usize,
    /// Planned runs that were not played: time was over, or a failure ended the script.
    pub skipped_runs: usize,
    /// First faults whose second ones were not planned: time was over.
    pub skipped_first_faults: usize,
    /// Runs played.
    pub runs: usize,
    /// Runs whose last fault did not come about.
    pub runs_without_last_fault: usize,
    /// Tasks that started after users were told of a cancellation, over all runs.
    pub late_starts: usize,
    /// Points by kind of message.
    pub points_by_kind: BTreeMap<String, usize>,
    /// Different messages, by kind, purpose and state of the record.
    pub distinct_labels: usize,
    /// Runs that broke a rule, by rule.
    pub failed_runs: BTreeMap<String, usize>,
    /// Some of them, reduced.
    pub failures: Vec<Failure>,
}

/// How far a script's exploration is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// So many runs are planned.
    Planned(usize),
    /// One more run has been played.
    RunFinished,
}

/// Who is told of the progress, on any thread.
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

/// Plays what is planned and sums up what came of it.
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
    report.failures = pool.install(|| report.failures.par_iter().map(reduced).collect());
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

fn reduced(failure: &Failure) -> Failure {
    let line = reduce(&failure.line, &failure.cause.rule);
    let mut cause = failure.cause.clone();
    if let Some(reduced) = run_line(&line, false).failure {
        cause.at = reduced.at;
        cause.details = reduced.details;
    }
    Failure { line, cause, ..failure.clone() }
}

/// A line's run, and what a person reads of it.
pub struct Replay {
    /// What came of it.
    pub outcome: Outcome,
    /// The faults and how it ended.
    pub lines: Vec<String>,
}

/// Plays a line and describes its run.
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
            let faults = faults.into_iter().map(printed).collect::<Vec<_>>().join(", ");
            lines.push(format!("{at:.3} s, message {number}: {label} ({kind}): [{faults}]"));
        }
    }
    lines.push(match &outcome.failure {
        Some(failure) => format!("{} at {:.3} s: {}", failure.rule, failure.at, failure.details),
        None => format!("no rule broke until {:.1} s", outcome.ended_at),
    });
    Replay { outcome, lines }
}

/// A fault as replays print it: the words of its kind, capitalised, and its time.
fn printed(fault: MessageFault) -> String {
    let FaultWord { word, time_s } = FaultWord::from(fault);
    let capitalised = word.split('-').map(|part| part[..1].to_uppercase() + &part[1..]);
    let time = time_s.map(|time_s| format!("({time_s:?})"));
    capitalised.collect::<String>() + &time.unwrap_or_default()
}
