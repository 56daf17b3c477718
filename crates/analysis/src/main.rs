//! `anisecroft-report`: who was served, from controllers' logs and the journal, and days
//! of our own.

use anisecroft_analysis::*;
use clap::{Args, Parser, Subcommand};
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

#[derive(Args)]
struct Days {
    /// Site files.
    #[arg(required = true)]
    sites: Vec<PathBuf>,
    /// The bench's program; without it the files are made and nothing is played.
    #[arg(long)]
    bench: Option<PathBuf>,
    /// Where the days' files are.
    #[arg(long, default_value = "days")]
    days: PathBuf,
    /// Where files, reports and `table.json` go; days that stand there are not played again.
    #[arg(long)]
    out: PathBuf,
    /// Only days whose names begin with one of these.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Multiples of the sites' machines and jobs.
    #[arg(long, value_delimiter = ',', default_value = "1.0")]
    sizes: Vec<f64>,
    /// Seconds after which processes are started again; `own` is the site's figure.
    #[arg(long, value_delimiter = ',', default_value = "0.2")]
    back: Vec<String>,
    #[arg(long, value_delimiter = ',', default_value = "77")]
    seeds: Vec<u64>,
    /// Days at once.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Why, for the journal.
    #[arg(long, default_value = "Days of our own.")]
    why: String,
}

fn read(path: &Path) -> Result<Box<dyn BufRead>, String> {
    if path.as_os_str() == "-" {
        return Ok(Box::new(std::io::stdin().lock()));
    }
    let file = named(path, std::fs::File::open(path))?;
    Ok(Box::new(std::io::BufReader::new(file)))
}

/// Hands every line of `logs` to `take`.
fn lines(logs: &[PathBuf], mut take: impl FnMut(&str)) -> Result<(), String> {
    for path in logs {
        for line in read(path)?.split(b'\n') {
            take(&String::from_utf8_lossy(&named(path, line)?));
        }
    }
    Ok(())
}

fn pipelines(logs: &[PathBuf]) -> Result<bool, String> {
    let mut chains = PipelineStats::default();
    lines(logs, |line| chains.line(line))?;
    let rows = chains.rows();
    if rows.is_empty() {
        return Err("no job that waits for others; logs have to be of level info or debug".to_string());
    }
    rows.iter().for_each(|r| print!("{r}"));
    Ok(true)
}

fn served(logs: &[PathBuf], least: f64) -> Result<bool, String> {
    let mut served = Served::default();
    lines(logs, |line| served.line(line))?;
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
        let text = named(path, std::fs::read_to_string(path))?;
        let mut found = named(path, aims(&text))?;
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

fn named<T, E: std::fmt::Display>(path: &Path, result: Result<T, E>) -> Result<T, String> {
    result.map_err(|e| format!("{}: {e}", path.display()))
}

/// The days' files, by name.
fn day_files(dir: &Path, only: &[String]) -> Result<Vec<(String, DayFile)>, String> {
    let mut files = Vec::new();
    for entry in named(dir, std::fs::read_dir(dir))? {
        let path = named(dir, entry)?.path();
        if path.extension().is_some_and(|e| e == "toml") {
            let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            let text = named(&path, std::fs::read_to_string(&path))?;
            files.push((name, named(&path, DayFile::parse(&text))?));
        }
    }
    files.sort_by(|a, b| a.0.cmp(&b.0));
    let begins = |day: &str| only.is_empty() || only.iter().any(|o| day.starts_with(o) || o.starts_with(day));
    files.retain(|(name, _)| begins(name));
    Ok(files)
}

impl Days {
    fn variants(&self) -> Result<Vec<Variant>, String> {
        let mut variants = Vec::new();
        for &size in &self.sizes {
            for back in &self.back {
                let back_s = match back.as_str() {
                    "own" => None,
                    s => Some(s.parse().map_err(|_| format!("--back {s}: say seconds, or own"))?),
                };
                variants.push(Variant { size, back_s });
            }
        }
        Ok(variants)
    }

    /// Writes every day's files; what is to be played.
    fn make(&self) -> Result<Vec<Run>, String> {
        let files = day_files(&self.days, &self.only)?;
        named(&self.out, std::fs::create_dir_all(&self.out))?;
        let mut runs = Vec::new();
        for path in &self.sites {
            let site = named(path, std::fs::read_to_string(path))?;
            let site = named(path, Site::parse(&site))?;
            // Examples of messages lie beside a site file.
            let beside = path.with_file_name("wire.json");
            if beside.exists() {
                let copy = self.out.join("wire.json");
                if !copy.exists() {
                    named(&copy, std::fs::copy(&beside, &copy))?;
                }
            }
            let site_name = named(path, site.name())?.to_string();
            for v in self.variants()? {
                let variant = site.variant(v);
                let allowance = named(path, variant.allowance())?;
                for (name, file) in &files {
                    for made in named(path, file.make(name, &variant))? {
                        if !self.only.is_empty() && !self.only.iter().any(|o| made.name.starts_with(o)) {
                            continue;
                        }
                        let stem = format!("{site_name}-{}-{}", v.name().replace(' ', "-"), made.name);
                        let (site_file, day_file) = (
                            self.out.join(format!("{stem}.site.toml")),
                            self.out.join(format!("{stem}.toml")),
                        );
                        named(&site_file, std::fs::write(&site_file, made.site.text()))?;
                        named(&day_file, std::fs::write(&day_file, &made.text))?;
                        runs.extend(self.seeds.iter().map(|&seed| Run {
                            site: site_name.clone(),
                            variant: v.name(),
                            day: made.name.clone(),
                            seed,
                            site_file: site_file.clone(),
                            day_file: day_file.clone(),
                            report: self.out.join(format!("{stem}-{seed}.json")),
                            allowance,
                        }));
                    }
                }
            }
        }
        // Every day once before any of them again.
        runs.sort_by_key(|r| self.seeds.iter().position(|s| *s == r.seed));
        if runs.is_empty() {
            return Err("no day of that name".into());
        }
        Ok(runs)
    }

    fn play(&self) -> Result<bool, String> {
        let runs = self.make()?;
        let Some(bench) = &self.bench else {
            runs.iter().for_each(|r| println!("{} {}", r.site_file.display(), r.day_file.display()));
            return Ok(true);
        };
        let path = self.out.join("table.json");
        let known = if path.exists() { outcomes(&path)? } else { Vec::new() };
        let all = runs.len();
        let new = |r: &Run| !known.iter().any(|o| o.is_of(&r.site, &r.variant, &r.day, r.seed));
        let runs: Vec<Run> = runs.into_iter().filter(new).collect();
        if runs.len() < all {
            eprintln!("{} of {all} are in {} already", all - runs.len(), path.display());
        }
        let keep = |outcomes: &[Outcome]| {
            let json = serde_json::to_string_pretty(outcomes).map_err(|e| e.to_string());
            let written = json.and_then(|j| named(&path, std::fs::write(&path, j)));
            written.unwrap_or_else(|why| eprintln!("anisecroft-report: {why}"));
        };
        let (outcomes, failed) = play_all(bench, &self.why, runs, self.jobs, known, keep);
        print!("{}", table(&outcomes));
        Ok(failed == 0 && outcomes.iter().all(Outcome::holds))
    }
}

fn outcomes(path: &Path) -> Result<Vec<Outcome>, String> {
    let text = named(path, std::fs::read_to_string(path))?;
    named(path, serde_json::from_str(&text))
}

fn main() -> ExitCode {
    let result = match Cli::parse().verb {
        Verb::Served { logs, least } => served(&logs, least),
        Verb::Pipelines { logs } => pipelines(&logs),
        Verb::Aims { entries, below } => least_aims(&entries, below),
        Verb::Days(days) => days.play(),
        Verb::Compare { before, after } => outcomes(&before).and_then(|b| {
            print!("{}", compare(&b, &outcomes(&after)?));
            Ok(true)
        }),
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
