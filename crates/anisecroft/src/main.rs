//! The daemon: reads settings, sets up logs, serves.

use clap::{Parser, Subcommand};
use settings::{Operator, Settings, Timing};
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
        /// Operators' own settings (protobuf text format)
        #[arg(long)]
        operator: Option<PathBuf>,
    },
    /// Check settings and print what is derived from them
    Check {
        /// Settings file of the platform (TOML)
        #[arg(long)]
        config: PathBuf,
        /// Operators' own settings (protobuf text format)
        #[arg(long)]
        operator: Option<PathBuf>,
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

fn load(config: &Path, operator: Option<&Path>) -> Option<(Settings, Operator)> {
    let told = |path: &Path, e: settings::SettingsError| {
        eprintln!("anisecroft: {}: {e}", path.display());
    };
    let s = Settings::load(config).map_err(|e| told(config, e)).ok()?;
    let own = match operator {
        Some(path) => Operator::load(path).map_err(|e| told(path, e)).ok()?,
        None => Operator::default(),
    };
    Some((s, own))
}

fn main() -> ExitCode {
    match Args::parse().command {
        Command::Check { config, operator } => match load(&config, operator.as_deref()) {
            Some((s, own)) => {
                println!("{s:#?}\n{own:#?}\n{:#?}", Timing::from(&s));
                ExitCode::SUCCESS
            }
            None => ExitCode::FAILURE,
        },
        Command::Serve { config, operator } => {
            logs();
            let Some((s, own)) = load(&config, operator.as_deref()) else { return ExitCode::FAILURE };
            match transport::run(s, own) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    eprintln!("anisecroft: cannot serve: {e}");
                    ExitCode::FAILURE
                }
            }
        }
    }
}
