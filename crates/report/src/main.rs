//! `anisecroft-report`: who was served, from controllers' logs and the journal.

use anisecroft_report::{aims, Row, Served};
use clap::{Parser, Subcommand};
use std::io::BufRead;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "Who was served: by class and team.")]
struct Cli {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Jobs asked for, started, done and in time, from logs at level info.
    Served {
        /// Logs of one day; `-` is standard input.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
        /// Fails if a class or team was served less than that.
        #[arg(long, default_value_t = 0.5)]
        least: f64,
    },
    /// Each day's least kept aim of every class, from entries of the journal.
    Aims {
        #[arg(required = true)]
        entries: Vec<PathBuf>,
        /// Shows only what is below that.
        #[arg(long, default_value_t = 1.1)]
        below: f64,
    },
}

fn read(path: &Path) -> Result<Box<dyn BufRead>, String> {
    if path.as_os_str() == "-" {
        return Ok(Box::new(std::io::stdin().lock()));
    }
    let file = std::fs::File::open(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Box::new(std::io::BufReader::new(file)))
}

fn served(logs: &[PathBuf], least: f64) -> Result<bool, String> {
    let mut served = Served::default();
    for path in logs {
        for line in read(path)?.split(b'\n') {
            let line = line.map_err(|e| format!("{}: {e}", path.display()))?;
            served.line(&String::from_utf8_lossy(&line));
        }
    }
    let rows = served.rows();
    if rows.is_empty() {
        return Err("no line on any job; logs have to be of level info or debug".to_string());
    }
    println!("{}", Row::HEAD);
    rows.iter().for_each(|r| println!("{r}"));
    let low = rows.iter().min_by(|a, b| a.served().total_cmp(&b.served()));
    if let Some(r) = low {
        println!("least served: {} {:.3}", r.name, r.served());
    }
    Ok(rows.iter().all(|r| r.served() >= least))
}

fn least_aims(entries: &[PathBuf], below: f64) -> Result<bool, String> {
    for path in entries {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut found = aims(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        found.sort_by(|a, b| a.share.total_cmp(&b.share));
        let mut told: Vec<(String, Option<u64>, String)> = Vec::new();
        for a in found.into_iter().filter(|a| a.share < below) {
            let key = (a.day.clone(), a.seed, a.class.clone());
            if !told.contains(&key) {
                let seed = a.seed.map_or_else(|| "drawn".to_string(), |s| s.to_string());
                println!("{:<30}{:<12}{seed:>14}  {:<36}{:.3}", a.site, a.day, a.aim, a.share);
                told.push(key);
            }
        }
    }
    Ok(true)
}

fn main() -> ExitCode {
    let result = match Cli::parse().verb {
        Verb::Served { logs, least } => served(&logs, least),
        Verb::Aims { entries, below } => least_aims(&entries, below),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(why) => {
            eprintln!("anisecroft-report: {why}");
            ExitCode::from(2)
        }
    }
}
