//! `explore`: goes through scripts with each kind of trouble at each message.

use anisecroft_simulation::explore::*;
use clap::Parser;
use indicatif::{ProgressBar, ProgressStyle};
use std::process::ExitCode;
use std::time::{Duration, Instant};

#[derive(Parser)]
#[command(about = "Plays short scripts with each kind of trouble at each message.")]
struct Cli {
    /// Troubles in one run: 1 or 2.
    #[arg(long, default_value_t = 1)]
    depth: usize,
    /// Threads.
    #[arg(long, default_value_t = 8)]
    jobs: usize,
    /// Scripts by name; all if none is named.
    #[arg(long, value_delimiter = ',')]
    script: Vec<String>,
    /// For each script no new run begins after so many seconds.
    #[arg(long)]
    most_s: Option<f64>,
    /// Of the runs one in so many is played.
    #[arg(long, default_value_t = 1)]
    every: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Switches a guard off, to see what is found then.
    #[arg(long)]
    without: Option<String>,
    /// Kinds of trouble by their words; all if none is named.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Ends a script at its first failure.
    #[arg(long)]
    first: bool,
    /// Plays one line that a run printed.
    #[arg(long)]
    replay: Option<String>,
}

/// Bad input, in one line.
fn bad(problem: &str) -> ExitCode {
    eprintln!("explore: {problem}");
    ExitCode::from(2)
}

impl Cli {
    fn options(&self) -> Result<Options, String> {
        let mut scripts = Vec::new();
        for name in &self.script {
            scripts.push(find_script(name)?);
        }
        if scripts.is_empty() {
            scripts = SCRIPTS.iter().collect();
        }
        if !(1..=2).contains(&self.depth) {
            return Err(format!("depth {} is not known; use --depth 1 or --depth 2", self.depth));
        }
        if self.jobs == 0 || self.jobs > 256 {
            return Err(format!("{} threads are not possible; use --jobs 1 to 256", self.jobs));
        }
        if self.every == 0 {
            return Err("one in 0 runs is none; use --every 1 for all".into());
        }
        let most = match self.most_s.map(Duration::try_from_secs_f64) {
            Some(Ok(most)) if !most.is_zero() => Some(most),
            None => None,
            Some(_) => return Err("--most-s needs a number of seconds above 0, like --most-s 60".into()),
        };
        let only = self.only.iter().map(|k| kind_of_trouble(k)).collect::<Result<_, _>>()?;
        let without = self.without.as_deref().map(guard).transpose()?;
        let (depth, jobs, seed, every, first) = (self.depth, self.jobs, self.seed, self.every, self.first);
        Ok(Options { scripts, depth, jobs, seed, without, most, every, only, first })
    }
}

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(e) if e.use_stderr() => {
            let text = e.to_string();
            let line = text.lines().next().unwrap_or_default().trim_start_matches("error: ");
            return bad(&format!("{line}; see --help"));
        }
        Err(e) => {
            print!("{e}");
            return ExitCode::SUCCESS;
        }
    };
    // A core that panics is a failure that is reported; the text comes with it.
    std::panic::set_hook(Box::new(|_| {}));
    if let Some(text) = &cli.replay {
        return match text.parse::<Line>() {
            Ok(line) => played(&line),
            Err(problem) => bad(&problem),
        };
    }
    match cli.options() {
        Ok(options) => explored(&options),
        Err(problem) => bad(&problem),
    }
}

fn played(line: &Line) -> ExitCode {
    let (outcome, told) = replay(line);
    told.iter().for_each(|t| println!("{t}"));
    if outcome.struck < line.plan.len() {
        println!("{} of {} troubles came about", outcome.struck, line.plan.len());
    }
    ExitCode::from(u8::from(outcome.broken.is_some()))
}

fn explored(options: &Options) -> ExitCode {
    let mut broken = 0;
    let began = Instant::now();
    let (mut points, mut runs) = (0, 0);
    for script in &options.scripts {
        let bar = ProgressBar::new(0);
        let style = "{prefix:9} {bar:30} {pos}/{len} runs, {per_sec}, {eta} left";
        if let Ok(style) = ProgressStyle::with_template(style) {
            bar.set_style(style);
        }
        bar.set_prefix(script.name);
        let tell = |planned: usize| match planned {
            0 => bar.inc(1),
            n => bar.set_length(n as u64),
        };
        let from = Instant::now();
        let e = explore(script, options, &tell);
        bar.finish_and_clear();
        show(script, &e, from.elapsed().as_secs_f64());
        broken += e.broken.values().sum::<usize>();
        points += e.points;
        runs += e.runs;
    }
    let took = began.elapsed().as_secs_f64();
    println!(
        "{points} points, {runs} runs in {took:.0} s, {:.0} a second; {broken} broke a rule",
        runs as f64 / took
    );
    ExitCode::from(u8::from(broken > 0))
}

fn show(script: &Script, e: &Explored, took: f64) {
    println!(
        "{}: {} points of {} kinds in meaning, {} runs possible, {} thinned, {} played in {took:.0} s ({:.0} a second), {} not played",
        script.name, e.points, e.labels, e.possible, e.thinned, e.runs, e.runs as f64 / took.max(1e-9), e.left
    );
    let kinds: Vec<String> = e.kinds.iter().map(|(kind, n)| format!("{kind} {n}")).collect();
    println!("  messages: {}", kinds.join(", "));
    println!(
        "  troubles that did not come about: {}; starts after a told cancellation: {}",
        e.missed, e.late_starts
    );
    if e.firsts_left > 0 {
        println!(
            "  first troubles whose second ones were not planned, since time was over: {}",
            e.firsts_left
        );
    }
    for (rule, n) in &e.broken {
        println!("  broken: {rule} in {n} runs");
    }
    for f in &e.failures {
        println!("  run {}: {} at {:.1} s: {} (at: {})", f.after, f.rule, f.at, f.what, f.label);
        println!("    explore --replay {:?}", f.line.to_string());
    }
}
