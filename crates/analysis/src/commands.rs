//! The command line and its commands. Each returns whether what it looked at is good enough.

mod days;
mod logs;

use anisecroft_analysis::{compare, with_path, AnalysisError, Outcome};
use clap::{Parser, Subcommand};
use days::Days;
use std::path::{Path, PathBuf};

#[derive(Parser)]
#[command(version, about = "Who was served: by class and team.")]
pub(crate) struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Jobs asked for, started, done and in time, from logs at level info.
    Served {
        /// Logs of one day; `-` is standard input.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// Fails if a class or team was served less than that.
        #[arg(long = "least", value_name = "LEAST", default_value_t = 0.5)]
        min_share: f64,
    },
    /// Pipelines by the class of their last job: done, in time, and where the time went;
    /// from logs at level info.
    Pipelines {
        /// Logs of one day; `-` is standard input.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Each day's least kept aim of every class, from entries of the journal.
    Aims {
        #[arg(required = true)]
        entries: Vec<PathBuf>,
        /// Shows only what is below that.
        #[arg(long, default_value_t = 1.1)]
        below: f64,
    },
    /// Makes days of our own for deployments, plays them on the bench and tells what
    /// came of them. Fails if a day does not hold.
    Days(Days),
    /// Means by day of two tables that `days` has written.
    Compare { before: PathBuf, after: PathBuf },
}

impl Cli {
    /// Runs the command.
    pub(crate) fn run(self) -> Result<bool, AnalysisError> {
        match self.command {
            Command::Served { logs, min_share } => logs::print_served(&logs, min_share),
            Command::Pipelines { logs } => logs::print_pipelines(&logs),
            Command::Aims { entries, below } => logs::print_least_met_objectives(&entries, below),
            Command::Days(days) => days.run(),
            Command::Compare { before, after } => print_comparison(&before, &after),
        }
    }
}

fn print_comparison(before: &Path, after: &Path) -> Result<bool, AnalysisError> {
    let before = read_outcomes(before)?;
    let after = read_outcomes(after)?;
    print!("{}", compare(&before, &after));
    Ok(true)
}

fn read_outcomes(path: &Path) -> Result<Vec<Outcome>, AnalysisError> {
    let text = with_path(path, std::fs::read_to_string(path))?;
    with_path(path, serde_json::from_str(&text))
}
