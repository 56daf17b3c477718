//! Command that generates days for sites and runs them on the bench.

use super::read_outcomes;
use anisecroft_analysis::{
    run_all, table, with_path, AnalysisError, BenchRun, DayFile, GeneratedDay, Outcome, ResourceLimits,
    RunSummary, Site, Variant,
};
use clap::Args;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub(super) struct Days {
    /// Site files.
    #[arg(required = true)]
    sites: Vec<PathBuf>,
    /// Program of the bench; without it, files are generated but nothing is run.
    #[arg(long)]
    bench: Option<PathBuf>,
    /// Directory of the day files.
    #[arg(long = "days", value_name = "DAYS", default_value = "days")]
    days_dir: PathBuf,
    /// Directory for generated files, reports and `table.json`; days with an outcome in that
    /// table are not run again.
    #[arg(long = "out", value_name = "OUT")]
    out_dir: PathBuf,
    /// Runs only days whose names begin with one of these.
    #[arg(long = "only", value_name = "ONLY", value_delimiter = ',')]
    name_prefixes: Vec<String>,
    /// Factors for the sites' machines and jobs.
    #[arg(long = "sizes", value_name = "SIZES", value_delimiter = ',', default_value = "1.0")]
    scales: Vec<f64>,
    /// Delays in seconds after which processes are restarted; `own` is the site's delay.
    #[arg(long = "back", value_name = "BACK", value_delimiter = ',', default_value = "0.2")]
    restart_delays: Vec<String>,
    /// Seeds with which each day is run.
    #[arg(long, value_delimiter = ',', default_value = "77")]
    seeds: Vec<u64>,
    /// Number of days to run in parallel.
    #[arg(long = "jobs", value_name = "JOBS", default_value_t = 4)]
    parallel_runs: usize,
    /// Reason for the runs, for the journal.
    #[arg(long = "why", value_name = "WHY", default_value = "Days of our own.")]
    reason: String,
}

/// A day file and its name.
struct NamedDayFile {
    name: String,
    file: DayFile,
}

/// A variant of a site for which days are generated.
struct SiteVariant<'a> {
    /// Path of the site file.
    path: &'a Path,
    site_name: &'a str,
    variant_name: String,
    site: Site,
    limits: ResourceLimits,
}

impl Days {
    /// Generates the days and runs those that have no outcome yet. Returns false if a day was
    /// not passed or a run failed.
    pub(super) fn run(&self) -> Result<bool, AnalysisError> {
        let runs = self.generate()?;
        let Some(bench) = &self.bench else {
            for run in &runs {
                println!("{} {}", run.site_file.display(), run.day_file.display());
            }
            return Ok(true);
        };
        let table_path = self.out_dir.join("table.json");
        let previous = if table_path.exists() { read_outcomes(&table_path)? } else { Vec::new() };
        let runs = new_runs(runs, &previous, &table_path);
        let save = |outcomes: &[Outcome]| {
            if let Err(error) = write_outcomes(&table_path, outcomes) {
                eprintln!("anisecroft-report: {error}");
            }
        };
        let RunSummary { outcomes, failed } =
            run_all(bench, &self.reason, runs, self.parallel_runs, previous, save);
        print!("{}", table(&outcomes));
        Ok(failed == 0 && outcomes.iter().all(Outcome::is_passed))
    }

    /// Writes the files of all days. Returns their runs, ordered by seed so that every day is
    /// run with the first seed before any is run with the second.
    fn generate(&self) -> Result<Vec<BenchRun>, AnalysisError> {
        let day_files = self.read_day_files()?;
        with_path(&self.out_dir, std::fs::create_dir_all(&self.out_dir))?;
        let mut runs = Vec::new();
        for path in &self.sites {
            self.generate_for_site(path, &day_files, &mut runs)?;
        }
        runs.sort_by_key(|run| self.seeds.iter().position(|seed| *seed == run.seed));
        if runs.is_empty() {
            return Err(AnalysisError::NoMatchingDay);
        }
        Ok(runs)
    }

    /// Reads the day files that may contain a selected day, sorted by name.
    fn read_day_files(&self) -> Result<Vec<NamedDayFile>, AnalysisError> {
        let mut files = Vec::new();
        for entry in with_path(&self.days_dir, std::fs::read_dir(&self.days_dir))? {
            let path = with_path(&self.days_dir, entry)?.path();
            if path.extension().is_none_or(|extension| extension != "toml") {
                continue;
            }
            let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            let text = with_path(&path, std::fs::read_to_string(&path))?;
            let file = with_path(&path, DayFile::parse(&text))?;
            files.push(NamedDayFile { name, file });
        }
        files.sort_by(|a, b| a.name.cmp(&b.name));
        files.retain(|file| self.may_contain_selected_day(&file.name));
        Ok(files)
    }

    /// Whether days of a file may be selected: their names begin with the name of the file.
    fn may_contain_selected_day(&self, file: &str) -> bool {
        let matches = |prefix: &String| file.starts_with(prefix) || prefix.starts_with(file);
        self.name_prefixes.is_empty() || self.name_prefixes.iter().any(matches)
    }

    fn is_selected(&self, day: &str) -> bool {
        self.name_prefixes.is_empty() || self.name_prefixes.iter().any(|prefix| day.starts_with(prefix))
    }

    fn generate_for_site(
        &self,
        path: &Path,
        day_files: &[NamedDayFile],
        runs: &mut Vec<BenchRun>,
    ) -> Result<(), AnalysisError> {
        let text = with_path(path, std::fs::read_to_string(path))?;
        let site = with_path(path, Site::parse(&text))?;
        self.copy_message_examples(path)?;
        let site_name = with_path(path, site.name())?;
        for variant in self.variants()? {
            let variant_site = site.variant(variant);
            let variant = SiteVariant {
                path,
                site_name,
                variant_name: variant.name(),
                limits: with_path(path, variant_site.resource_limits())?,
                site: variant_site,
            };
            for day_file in day_files {
                self.generate_days(&variant, day_file, runs)?;
            }
        }
        Ok(())
    }

    /// Copies the examples of messages that lie next to a site file, which the bench reads.
    fn copy_message_examples(&self, site_path: &Path) -> Result<(), AnalysisError> {
        let source = site_path.with_file_name("wire.json");
        let copy = self.out_dir.join("wire.json");
        if source.exists() && !copy.exists() {
            with_path(&copy, std::fs::copy(&source, &copy))?;
        }
        Ok(())
    }

    fn variants(&self) -> Result<Vec<Variant>, AnalysisError> {
        let mut variants = Vec::new();
        for &scale in &self.scales {
            for delay in &self.restart_delays {
                variants.push(Variant { scale, restart_delay_s: parse_restart_delay(delay)? });
            }
        }
        Ok(variants)
    }

    fn generate_days(
        &self,
        variant: &SiteVariant<'_>,
        day_file: &NamedDayFile,
        runs: &mut Vec<BenchRun>,
    ) -> Result<(), AnalysisError> {
        let days = with_path(variant.path, day_file.file.generate(&day_file.name, &variant.site))?;
        for day in days.iter().filter(|day| self.is_selected(&day.name)) {
            runs.extend(self.write_day(variant, day)?);
        }
        Ok(())
    }

    /// Writes the files of a day. Returns one run for each seed.
    fn write_day(
        &self,
        variant: &SiteVariant<'_>,
        day: &GeneratedDay,
    ) -> Result<Vec<BenchRun>, AnalysisError> {
        let stem = format!("{}-{}-{}", variant.site_name, variant.variant_name.replace(' ', "-"), day.name);
        let site_file = self.out_dir.join(format!("{stem}.site.toml"));
        let day_file = self.out_dir.join(format!("{stem}.toml"));
        with_path(&site_file, std::fs::write(&site_file, day.site.text()))?;
        with_path(&day_file, std::fs::write(&day_file, &day.bench_file))?;
        let run = |seed| BenchRun {
            site: variant.site_name.to_string(),
            variant: variant.variant_name.clone(),
            day: day.name.clone(),
            seed,
            site_file: site_file.clone(),
            day_file: day_file.clone(),
            report: self.out_dir.join(format!("{stem}-{seed}.json")),
            limits: variant.limits,
        };
        Ok(self.seeds.iter().copied().map(run).collect())
    }
}

/// Parses a number of seconds or `own`, for which None stands for the site's delay.
fn parse_restart_delay(text: &str) -> Result<Option<f64>, AnalysisError> {
    if text == "own" {
        return Ok(None);
    }
    text.parse().map(Some).map_err(|_| AnalysisError::InvalidRestartDelay(text.to_string()))
}

/// Returns the runs that have no outcome yet.
fn new_runs(runs: Vec<BenchRun>, previous: &[Outcome], table_path: &Path) -> Vec<BenchRun> {
    let total = runs.len();
    let is_new = |run: &BenchRun| !previous.iter().any(|outcome| outcome.run_id() == run.id());
    let runs: Vec<BenchRun> = runs.into_iter().filter(is_new).collect();
    if runs.len() < total {
        eprintln!("{} of {total} runs are already in {}", total - runs.len(), table_path.display());
    }
    runs
}

fn write_outcomes(path: &Path, outcomes: &[Outcome]) -> Result<(), AnalysisError> {
    let json = serde_json::to_string_pretty(outcomes)?;
    with_path(path, std::fs::write(path, json))
}
