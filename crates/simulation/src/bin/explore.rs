//! Command `explore`: runs short scripts with each kind of fault at each message.

use anisecroft_simulation::explore::*;
use clap::Parser;
use indicatif::{ProgressBar, ProgressStyle};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Exit code for invalid input.
const INVALID_INPUT: u8 = 2;

/// Maximum number of threads.
const MAX_THREADS: usize = 256;

#[derive(Parser)]
#[command(about = "Runs short scripts with each kind of fault at each message.")]
struct Cli {
    /// Number of faults in one run: 1 or 2.
    #[arg(long, default_value_t = 1)]
    depth: usize,
    /// Number of threads.
    #[arg(long, default_value_t = 8)]
    jobs: usize,
    /// Names of the scripts to run; all by default.
    #[arg(long, value_delimiter = ',')]
    script: Vec<String>,
    /// Time limit for each script in seconds, after which no new run begins.
    #[arg(long)]
    most_s: Option<f64>,
    /// Executes only one in this number of planned runs.
    #[arg(long, default_value_t = 1)]
    every: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Switches a safety check off, to see which rules break without it.
    #[arg(long)]
    without: Option<String>,
    /// Kinds of fault to use, by their words in replay lines; all by default.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Ends each script at its first failure.
    #[arg(long)]
    first: bool,
    /// Replays one line that a run printed.
    #[arg(long)]
    replay: Option<String>,
}

/// Reports invalid input in one line.
fn invalid_input(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("explore: {error}");
    ExitCode::from(INVALID_INPUT)
}

impl Cli {
    fn options(&self) -> Result<Options, InputError> {
        let named = self.script.iter().map(|name| find_script(name)).collect::<Result<Vec<_>, _>>()?;
        let scripts = if named.is_empty() { SCRIPTS.iter().collect() } else { named };
        if !(1..=2).contains(&self.depth) {
            return Err(InputError::InvalidDepth { depth: self.depth });
        }
        if !(1..=MAX_THREADS).contains(&self.jobs) {
            return Err(InputError::InvalidThreads { jobs: self.jobs });
        }
        if self.every == 0 {
            return Err(InputError::InvalidFraction);
        }
        Ok(Options {
            scripts,
            depth: self.depth,
            jobs: self.jobs,
            seed: self.seed,
            time_limit: self.time_limit()?,
            every: self.every,
            only: self.only.iter().map(|word| find_fault_word(word)).collect::<Result<_, _>>()?,
            without: self.without.as_deref().map(find_check).transpose()?,
            stop_at_first: self.first,
        })
    }

    fn time_limit(&self) -> Result<Option<Duration>, InputError> {
        match self.most_s.map(Duration::try_from_secs_f64) {
            Some(Ok(limit)) if !limit.is_zero() => Ok(Some(limit)),
            Some(_) => Err(InputError::InvalidTimeLimit),
            None => Ok(None),
        }
    }
}

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) if error.use_stderr() => {
            let text = error.to_string();
            let line = text.lines().next().unwrap_or_default().trim_start_matches("error: ");
            return invalid_input(format_args!("{line}; see --help"));
        }
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    // A panicking controller is reported as a failure, together with the panic message.
    std::panic::set_hook(Box::new(|_| {}));
    if let Some(text) = &cli.replay {
        return match text.parse::<ReplayLine>() {
            Ok(line) => replay_one(&line),
            Err(error) => invalid_input(error),
        };
    }
    match cli.options() {
        Ok(options) => explore_all(&options),
        Err(error) => invalid_input(error),
    }
}

fn replay_one(line: &ReplayLine) -> ExitCode {
    let Replay { outcome, lines } = replay(line);
    lines.iter().for_each(|text| println!("{text}"));
    if outcome.faults_injected < line.plan.len() {
        println!("{} of {} faults were injected", outcome.faults_injected, line.plan.len());
    }
    ExitCode::from(u8::from(outcome.failure.is_some()))
}

fn explore_all(options: &Options) -> ExitCode {
    let started = Instant::now();
    let mut failed = 0;
    let mut points = 0;
    let mut runs = 0;
    for script in &options.scripts {
        let bar = progress_bar(script.name);
        let on_progress = |progress: Progress| match progress {
            Progress::Planned(runs) => bar.set_length(runs as u64),
            Progress::RunFinished => bar.inc(1),
        };
        let script_started = Instant::now();
        let report = explore(script, options, &on_progress);
        bar.finish_and_clear();
        print_script(script, &report, script_started.elapsed().as_secs_f64());
        failed += report.failed_runs.values().sum::<usize>();
        points += report.injection_points;
        runs += report.runs;
    }
    let took_s = started.elapsed().as_secs_f64();
    println!(
        "{points} points, {runs} runs in {took_s:.0} s, {:.0} per second; {failed} broke a rule",
        runs as f64 / took_s
    );
    ExitCode::from(u8::from(failed > 0))
}

fn progress_bar(name: &'static str) -> ProgressBar {
    let bar = ProgressBar::new(0);
    let style = "{prefix:9} {bar:30} {pos}/{len} runs, {per_sec}, {eta} left";
    if let Ok(style) = ProgressStyle::with_template(style) {
        bar.set_style(style);
    }
    bar.set_prefix(name);
    bar
}

fn print_script(script: &Script, report: &ScriptReport, took_s: f64) {
    println!(
        "{}: {} points with {} distinct labels, {} runs possible, {} omitted, {} executed in {took_s:.0} s ({:.0} per second), {} skipped",
        script.name,
        report.injection_points,
        report.distinct_labels,
        report.possible_runs,
        report.omitted_runs,
        report.runs,
        report.runs as f64 / took_s.max(1e-9),
        report.skipped_runs
    );
    let kinds: Vec<String> =
        report.points_by_kind.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
    println!("  messages: {}", kinds.join(", "));
    println!(
        "  runs without their last fault: {}; task starts after a reported cancellation: {}",
        report.runs_without_last_fault, report.late_starts
    );
    if report.skipped_first_faults > 0 {
        println!(
            "  first faults without planned second faults because of the time limit: {}",
            report.skipped_first_faults
        );
    }
    for (rule, runs) in &report.failed_runs {
        println!("  broken: {rule} in {runs} runs");
    }
    for failure in &report.failures {
        let cause = &failure.cause;
        println!(
            "  run {}: {} at {:.1} s: {} (fault at: {})",
            failure.run_number, cause.rule, cause.at, cause.details, failure.label
        );
        println!("    explore --replay {:?}", failure.line.to_string());
    }
}
