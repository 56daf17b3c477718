//! The daemon: reads settings, sets up logs, serves.

use clap::{Parser, Subcommand};
use settings::{Derived, Settings};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "anisecroft", version, about = "Cluster scheduler for rented machines")]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller
    Serve {
        /// Settings file of the platform (TOML)
        #[arg(long)]
        config: PathBuf,
    },
    /// Check settings and print what is derived from them
    Check {
        /// Settings file of the platform (TOML)
        #[arg(long)]
        config: PathBuf,
    },
}

fn logs() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("error") => tracing::Level::ERROR,
        _ => tracing::Level::INFO,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .init();
}

fn load(path: &Path) -> Option<Settings> {
    match Settings::load(path) {
        Ok(s) => Some(s),
        Err(e) => {
            eprintln!("anisecroft: {}: {e}", path.display());
            None
        }
    }
}

fn main() -> ExitCode {
    match Args::parse().command {
        Command::Check { config } => match load(&config) {
            Some(s) => {
                println!("{s:#?}\n{:#?}", Derived::from(&s));
                ExitCode::SUCCESS
            }
            None => ExitCode::FAILURE,
        },
        Command::Serve { config } => {
            logs();
            let Some(s) = load(&config) else { return ExitCode::FAILURE };
            match net::run(s) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    eprintln!("anisecroft: cannot serve: {e}");
                    ExitCode::FAILURE
                }
            }
        }
    }
}
