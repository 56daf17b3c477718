//! The command that generates days for sites and runs them on the bench.

use super::read_outcomes;
use anisecroft_analysis::{
    run_all, table, with_path, Allowance, AnalysisError, BenchRun, DayFile, GeneratedDay, Outcome,
    RunSummary, Site, Variant,
};
use clap::Args;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub(super) struct Days {
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

/// A day's file and its name.
struct NamedDayFile {
    name: String,
    file: DayFile,
}

/// A variant of a site, for which days are generated.
struct SiteVariant<'a> {
    /// The site's file.
    path: &'a Path,
    site_name: &'a str,
    variant_name: String,
    site: Site,
    allowance: Allowance,
}

impl Days {
    /// Generates the days and runs those that have no outcome yet. False if one does not
    /// hold or could not be run.
    pub(super) fn run(&self) -> Result<bool, AnalysisError> {
        let runs = self.generate()?;
        let Some(bench) = &self.bench else {
            for run in &runs {
                println!("{} {}", run.site_file.display(), run.day_file.display());
            }
            return Ok(true);
        };
        let table_path = self.out.join("table.json");
        let known = if table_path.exists() { read_outcomes(&table_path)? } else { Vec::new() };
        let runs = new_runs(runs, &known, &table_path);
        let save = |outcomes: &[Outcome]| {
            if let Err(error) = write_outcomes(&table_path, outcomes) {
                eprintln!("anisecroft-report: {error}");
            }
        };
        let RunSummary { outcomes, failed } = run_all(bench, &self.why, runs, self.jobs, known, save);
        print!("{}", table(&outcomes));
        Ok(failed == 0 && outcomes.iter().all(Outcome::holds))
    }

    /// Writes every day's files. Returns the runs of them, every day once before any of
    /// them again.
    fn generate(&self) -> Result<Vec<BenchRun>, AnalysisError> {
        let day_files = self.read_day_files()?;
        with_path(&self.out, std::fs::create_dir_all(&self.out))?;
        let mut runs = Vec::new();
        for path in &self.sites {
            self.generate_for_site(path, &day_files, &mut runs)?;
        }
        runs.sort_by_key(|run| self.seeds.iter().position(|seed| *seed == run.seed));
        if runs.is_empty() {
            return Err(AnalysisError::NoSuchDay);
        }
        Ok(runs)
    }

    /// The days' files that may have a day that was asked for, by name.
    fn read_day_files(&self) -> Result<Vec<NamedDayFile>, AnalysisError> {
        let mut files = Vec::new();
        for entry in with_path(&self.days, std::fs::read_dir(&self.days))? {
            let path = with_path(&self.days, entry)?.path();
            if path.extension().is_none_or(|extension| extension != "toml") {
                continue;
            }
            let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            let text = with_path(&path, std::fs::read_to_string(&path))?;
            let file = with_path(&path, DayFile::parse(&text))?;
            files.push(NamedDayFile { name, file });
        }
        files.sort_by(|a, b| a.name.cmp(&b.name));
        files.retain(|file| self.may_have_wanted_day(&file.name));
        Ok(files)
    }

    /// Whether days of that file may be wanted: their names begin with the file's.
    fn may_have_wanted_day(&self, file: &str) -> bool {
        let matches = |wanted: &String| file.starts_with(wanted) || wanted.starts_with(file);
        self.only.is_empty() || self.only.iter().any(matches)
    }

    fn is_wanted(&self, day: &str) -> bool {
        self.only.is_empty() || self.only.iter().any(|wanted| day.starts_with(wanted))
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
                allowance: with_path(path, variant_site.allowance())?,
                site: variant_site,
            };
            for day_file in day_files {
                self.generate_days(&variant, day_file, runs)?;
            }
        }
        Ok(())
    }

    /// Examples of messages, which the bench reads, lie beside a site file.
    fn copy_message_examples(&self, site_path: &Path) -> Result<(), AnalysisError> {
        let source = site_path.with_file_name("wire.json");
        let copy = self.out.join("wire.json");
        if source.exists() && !copy.exists() {
            with_path(&copy, std::fs::copy(&source, &copy))?;
        }
        Ok(())
    }

    fn variants(&self) -> Result<Vec<Variant>, AnalysisError> {
        let mut variants = Vec::new();
        for &size in &self.sizes {
            for back in &self.back {
                variants.push(Variant { size, back_s: parse_restart_delay(back)? });
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
        let days = with_path(variant.path, day_file.file.make(&day_file.name, &variant.site))?;
        for day in days.iter().filter(|day| self.is_wanted(&day.name)) {
            runs.extend(self.write_day(variant, day)?);
        }
        Ok(())
    }

    /// Writes a day's files. Returns a run for each seed.
    fn write_day(
        &self,
        variant: &SiteVariant<'_>,
        day: &GeneratedDay,
    ) -> Result<Vec<BenchRun>, AnalysisError> {
        let stem = format!("{}-{}-{}", variant.site_name, variant.variant_name.replace(' ', "-"), day.name);
        let site_file = self.out.join(format!("{stem}.site.toml"));
        let day_file = self.out.join(format!("{stem}.toml"));
        with_path(&site_file, std::fs::write(&site_file, day.site.text()))?;
        with_path(&day_file, std::fs::write(&day_file, &day.text))?;
        let run = |seed| BenchRun {
            site: variant.site_name.to_string(),
            variant: variant.variant_name.clone(),
            day: day.name.clone(),
            seed,
            site_file: site_file.clone(),
            day_file: day_file.clone(),
            report: self.out.join(format!("{stem}-{seed}.json")),
            allowance: variant.allowance,
        };
        Ok(self.seeds.iter().copied().map(run).collect())
    }
}

/// `own` (None: the site's delay) or seconds.
fn parse_restart_delay(text: &str) -> Result<Option<f64>, AnalysisError> {
    if text == "own" {
        return Ok(None);
    }
    text.parse().map(Some).map_err(|_| AnalysisError::InvalidRestartDelay(text.to_string()))
}

/// The runs that have no outcome yet.
fn new_runs(runs: Vec<BenchRun>, known: &[Outcome], table_path: &Path) -> Vec<BenchRun> {
    let total = runs.len();
    let is_new = |run: &BenchRun| !known.iter().any(|outcome| outcome.run() == run.id());
    let runs: Vec<BenchRun> = runs.into_iter().filter(is_new).collect();
    if runs.len() < total {
        eprintln!("{} of {total} are in {} already", total - runs.len(), table_path.display());
    }
    runs
}

fn write_outcomes(path: &Path, outcomes: &[Outcome]) -> Result<(), AnalysisError> {
    let json = serde_json::to_string_pretty(outcomes)?;
    with_path(path, std::fs::write(path, json))
}
