//! Commands that read controllers' logs or entries of the journal.

use anisecroft_analysis::{slo_results, with_path, AnalysisError, JobCounter, PipelineStats, Row, SloResult};
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

fn open(path: &Path) -> Result<Box<dyn BufRead>, AnalysisError> {
    if path.as_os_str() == "-" {
        return Ok(Box::new(std::io::stdin().lock()));
    }
    let file = with_path(path, File::open(path))?;
    Ok(Box::new(BufReader::new(file)))
}

/// Calls `read_line` with every line of `logs`.
fn for_each_line(logs: &[PathBuf], mut read_line: impl FnMut(&str)) -> Result<(), AnalysisError> {
    for path in logs {
        for line in open(path)?.split(b'\n') {
            read_line(&String::from_utf8_lossy(&with_path(path, line)?));
        }
    }
    Ok(())
}

/// Prints the pipelines by the class of their last job.
pub(super) fn print_pipelines(logs: &[PathBuf]) -> Result<bool, AnalysisError> {
    let mut pipelines = PipelineStats::default();
    for_each_line(logs, |line| pipelines.record_line(line))?;
    let rows = pipelines.rows();
    if rows.is_empty() {
        return Err(AnalysisError::NoPipelines);
    }
    for row in &rows {
        print!("{row}");
    }
    Ok(true)
}

/// Prints how classes and teams were served. Returns false if the served share of one is
/// below `min_share`.
pub(super) fn print_served(logs: &[PathBuf], min_share: f64) -> Result<bool, AnalysisError> {
    let mut jobs = JobCounter::default();
    for_each_line(logs, |line| jobs.record_line(line))?;
    let rows = jobs.rows();
    let Some(least_served) = rows.iter().min_by(|a, b| a.served_share().total_cmp(&b.served_share())) else {
        return Err(AnalysisError::NoJobs);
    };
    println!("{}", Row::HEAD);
    for row in &rows {
        println!("{row}");
    }
    println!("least served: {} {:.3}", least_served.name, least_served.served_share());
    Ok(rows.iter().all(|row| row.served_share() >= min_share))
}

/// Prints the least met objective of each class on each day, unless the share of jobs that
/// met it is `max_share` or more.
pub(super) fn print_least_met_objectives(entries: &[PathBuf], max_share: f64) -> Result<bool, AnalysisError> {
    for path in entries {
        let text = with_path(path, std::fs::read_to_string(path))?;
        let mut results = with_path(path, slo_results(&text))?;
        results.sort_by(|a, b| a.share.total_cmp(&b.share));
        let mut printed = BTreeSet::new();
        for result in results.iter().filter(|result| result.share < max_share) {
            if printed.insert((&result.day, result.seed, &result.class)) {
                print_objective(result);
            }
        }
    }
    Ok(true)
}

fn print_objective(result: &SloResult) {
    let SloResult { site, day, objective, share, .. } = result;
    let seed = result.seed.map_or_else(|| "drawn".to_string(), |seed| seed.to_string());
    println!("{site:<30}{day:<12}{seed:>14}  {objective:<36}{share:.3}");
}
