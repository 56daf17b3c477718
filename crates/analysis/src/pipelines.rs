//! Pipelines of dependent jobs in the controllers' logs: how many were done and in time,
//! judged by their last job, and how long the jobs of each class waited and ran.

use crate::job_counts::share;
use crate::job_event::{field, is_cancelled, is_in_time, number_field, JobEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

#[derive(Debug, Default)]
struct Job {
    class: String,
    dependencies: Vec<String>,
    /// Time from submission until all dependencies were done.
    blocked_s: f64,
    /// Time from then until the start.
    waited_s: f64,
    /// Time from start to end.
    ran_s: f64,
    /// Time from submission to end.
    total_s: f64,
    done: bool,
    in_time: bool,
    cancelled: bool,
}

/// Jobs and their dependencies, collected from log lines.
#[derive(Debug, Default)]
pub struct PipelineStats {
    jobs: BTreeMap<String, Job>,
}

/// Done jobs of one class, over all pipelines of a [`PipelineRow`]. Times are means in seconds.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassStats {
    /// Class of the jobs.
    pub class: String,
    /// Number of jobs that were done.
    pub done: usize,
    /// Time from when a job's dependencies were done until its start.
    pub waited_s: f64,
    /// Time from start to end.
    pub ran_s: f64,
}

/// The pipelines whose last job is of one class. Pipelines whose last job was cancelled are
/// left out.
#[derive(Debug, Clone, PartialEq)]
pub struct PipelineRow {
    /// Class of the last job.
    pub last_class: String,
    /// Number of submitted pipelines.
    pub submitted: usize,
    /// Number of pipelines whose last job was done.
    pub done: usize,
    /// Number of pipelines whose last job was done in time.
    pub in_time: usize,
    /// Mean time from the submission to the end of the last job, over the pipelines that were
    /// done, in seconds.
    pub took_s: f64,
    /// Jobs of the pipelines by class.
    pub class_stats: Vec<ClassStats>,
}

impl PipelineStats {
    /// Records the event that a line of a controller's log reports, if any.
    pub fn record_line(&mut self, line: &str) {
        let Some(event) = JobEvent::from_line(line) else { return };
        let Some(id) = field(line, "job") else { return };
        let seconds = |key: &str| number_field(line, key).unwrap_or(0.0);
        let job = self.jobs.entry(id.to_string()).or_default();
        if let Some(class) = field(line, "class") {
            job.class = class.to_string();
        }
        match event {
            JobEvent::Submitted => {}
            JobEvent::HasDependencies => {
                let dependencies = field(line, "awaits").unwrap_or("");
                job.dependencies = dependencies.split(',').map(String::from).collect();
            }
            JobEvent::Started => job.waited_s = seconds("waited_s"),
            JobEvent::Finished => {
                job.cancelled = is_cancelled(line);
                job.done |= !job.cancelled;
                job.in_time |= !job.cancelled && is_in_time(line);
                // `free_s`: time until the job was free of dependencies.
                job.blocked_s = seconds("free_s");
                job.ran_s = seconds("ran_s");
                job.total_s = seconds("took_s");
            }
        }
    }

    /// Returns `id` and all its direct and indirect dependencies.
    fn pipeline_of<'a>(&'a self, id: &'a str) -> BTreeSet<&'a str> {
        let mut visited = BTreeSet::new();
        let mut unvisited = vec![id];
        while let Some(id) = unvisited.pop() {
            if visited.insert(id) {
                let dependencies = self.jobs.get(id).into_iter().flat_map(|job| &job.dependencies);
                unvisited.extend(dependencies.map(String::as_str));
            }
        }
        visited
    }

    /// Returns the last jobs of pipelines by class: the jobs that have dependencies and on
    /// which no other job depends.
    fn last_jobs(&self) -> BTreeMap<&str, Vec<&str>> {
        let dependencies: BTreeSet<&str> =
            self.jobs.values().flat_map(|job| &job.dependencies).map(String::as_str).collect();
        let mut by_class: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (id, job) in &self.jobs {
            if !job.dependencies.is_empty() && !dependencies.contains(id.as_str()) && !job.cancelled {
                by_class.entry(&job.class).or_default().push(id);
            }
        }
        by_class
    }

    /// Returns the pipelines by the class of their last job.
    pub fn rows(&self) -> Vec<PipelineRow> {
        self.last_jobs().into_iter().map(|(class, ids)| self.row(class, &ids)).collect()
    }

    fn row(&self, class: &str, last_jobs: &[&str]) -> PipelineRow {
        let done: Vec<&Job> =
            last_jobs.iter().filter_map(|id| self.jobs.get(*id)).filter(|job| job.done).collect();
        PipelineRow {
            last_class: class.to_string(),
            submitted: last_jobs.len(),
            done: done.len(),
            in_time: done.iter().filter(|job| job.in_time).count(),
            took_s: mean(done.iter().map(|job| job.total_s)),
            class_stats: self.class_stats(last_jobs),
        }
    }

    fn class_stats(&self, last_jobs: &[&str]) -> Vec<ClassStats> {
        let ids: BTreeSet<&str> = last_jobs.iter().flat_map(|id| self.pipeline_of(id)).collect();
        let mut by_class: BTreeMap<&str, Vec<&Job>> = BTreeMap::new();
        for job in ids.iter().filter_map(|id| self.jobs.get(*id)).filter(|job| job.done) {
            by_class.entry(&job.class).or_default().push(job);
        }
        let class_stats = by_class.into_iter().map(|(class, jobs)| ClassStats {
            class: class.to_string(),
            done: jobs.len(),
            waited_s: mean(jobs.iter().map(|job| job.waited_s)),
            ran_s: mean(jobs.iter().map(|job| job.ran_s)),
        });
        class_stats.collect()
    }
}

/// Returns the mean, or 0 if there are no values.
fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 {
        sum / count
    } else {
        0.0
    }
}

impl fmt::Display for PipelineRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PipelineRow { last_class, submitted, done, in_time, took_s, class_stats } = self;
        let in_time_share = share(*in_time as f64, *submitted as f64);
        writeln!(
            f,
            "{last_class}: {submitted} asked, {done} done, {in_time} in time ({in_time_share:.3}), {took_s:.1} s each"
        )?;
        for stats in class_stats {
            let ClassStats { class, done, waited_s, ran_s } = stats;
            writeln!(f, "  {class:<22}{done:>6} jobs  waited {waited_s:>6.1} s  ran {ran_s:>6.1} s")?;
        }
        Ok(())
    }
}
