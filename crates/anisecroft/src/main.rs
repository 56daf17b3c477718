//! The daemon: reads settings, sets up logging and runs a controller.

use clap::{Parser, Subcommand};
use settings::{Operator, Settings, SettingsError, Timing};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

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
        /// Operator settings (protobuf text format)
        #[arg(long)]
        operator: Option<PathBuf>,
    },
    /// Check settings and print them with the timing derived from them
    Check {
        /// Settings file of the platform (TOML)
        #[arg(long)]
        config: PathBuf,
        /// Operator settings (protobuf text format)
        #[arg(long)]
        operator: Option<PathBuf>,
    },
}

/// Paths of the settings files.
struct SettingsFiles {
    platform: PathBuf,
    operator: Option<PathBuf>,
}

impl SettingsFiles {
    /// Loads the settings. Without an operator settings file, those settings have their
    /// defaults.
    fn load(&self) -> Result<(Settings, Operator), LoadError> {
        let settings =
            Settings::load(&self.platform).map_err(|source| LoadError::new(&self.platform, source))?;
        let operator = match &self.operator {
            Some(path) => Operator::load(path).map_err(|source| LoadError::new(path, source))?,
            None => Operator::default(),
        };
        Ok((settings, operator))
    }
}

/// Error in a settings file, with the path of the file.
#[derive(Debug, Error)]
#[error("{}: {source}", path.display())]
struct LoadError {
    path: PathBuf,
    source: SettingsError,
}

impl LoadError {
    fn new(path: &Path, source: SettingsError) -> Self {
        LoadError { path: path.to_path_buf(), source }
    }
}

/// Error that ends the program.
#[derive(Debug, Error)]
enum MainError {
    #[error(transparent)]
    Load(#[from] LoadError),
    #[error("cannot serve: {0}")]
    Serve(#[source] std::io::Error),
}

/// Sets up logging to standard error. The environment variable `LOG_LEVEL` selects the level:
/// `debug` or `error`; without it or with any other value, it is `info`.
fn init_logging() {
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

fn check(files: &SettingsFiles) -> Result<(), MainError> {
    let (settings, operator) = files.load()?;
    println!("{settings:#?}\n{operator:#?}\n{:#?}", Timing::from(&settings));
    Ok(())
}

fn serve(files: &SettingsFiles) -> Result<(), MainError> {
    init_logging();
    let (settings, operator) = files.load()?;
    transport::run(settings, operator).map_err(MainError::Serve)
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Check { config, operator } => check(&SettingsFiles { platform: config, operator }),
        Command::Serve { config, operator } => serve(&SettingsFiles { platform: config, operator }),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("anisecroft: {error}");
            ExitCode::FAILURE
        }
    }
}
