//! `anisecroft-report`: service quality from controllers' logs and the journal, and days of
//! troubles for the bench.

mod commands;

use clap::Parser;
use commands::Cli;
use std::process::ExitCode;

/// The exit code if a class or day falls below what was asked.
const NOT_HELD: u8 = 1;
/// The exit code if the program could not do its work.
const FAILED: u8 = 2;

fn main() -> ExitCode {
    match Cli::parse().run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(NOT_HELD),
        Err(error) => {
            eprintln!("anisecroft-report: {error}");
            ExitCode::from(FAILED)
        }
    }
}
