//! `anisecroft-report`: service quality from controllers' logs and the journal, and days of
//! faults for the bench.

mod commands;

use clap::Parser;
use commands::Cli;
use std::process::ExitCode;

/// Exit code if a class, team or day falls below its minimum.
const BELOW_MINIMUM: u8 = 1;
/// Exit code if the command failed.
const FAILED: u8 = 2;

fn main() -> ExitCode {
    match Cli::parse().run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BELOW_MINIMUM),
        Err(error) => {
            eprintln!("anisecroft-report: {error}");
            ExitCode::from(FAILED)
        }
    }
}
