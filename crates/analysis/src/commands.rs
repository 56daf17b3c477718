//! Command line of `anisecroft-report`. Each command returns whether all results reach their
//! minimum.

mod days;
mod logs;

use anisecroft_analysis::{compare, with_path, AnalysisError, Outcome};
use clap::{Parser, Subcommand};
use days::Days;
use std::path::{Path, PathBuf};

#[derive(Parser)]
#[command(version, about = "Service quality by class and team, and days of faults for the bench")]
pub(crate) struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Jobs submitted, started, done and in time by class and team, from logs at level info.
    Served {
        /// Logs of one day; `-` is standard input.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// Fails if the served share of a class or team is below this.
        #[arg(long = "least", value_name = "LEAST", default_value_t = 0.5)]
        min_share: f64,
    },
    /// Pipelines by the class of their last job: done, in time, and the time spent in each
    /// stage; from logs at level info.
    Pipelines {
        /// Logs of one day; `-` is standard input.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Least met objective of each class on each day, from entries of the journal.
    Aims {
        #[arg(required = true)]
        entries: Vec<PathBuf>,
        /// Shows only objectives met by a share of jobs below this.
        #[arg(long = "below", value_name = "BELOW", default_value_t = 1.1)]
        max_share: f64,
    },
    /// Generates days of faults for sites, runs them on the bench and prints their outcomes.
    /// Fails if a day is not passed.
    Days(Days),
    /// Compares the means by day of two tables that `days` has written.
    Compare { before: PathBuf, after: PathBuf },
}

impl Cli {
    /// Runs the command.
    pub(crate) fn run(self) -> Result<bool, AnalysisError> {
        match self.command {
            Command::Served { logs, min_share } => logs::print_served(&logs, min_share),
            Command::Pipelines { logs } => logs::print_pipelines(&logs),
            Command::Aims { entries, max_share } => logs::print_least_met_objectives(&entries, max_share),
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
