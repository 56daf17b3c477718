//! Pipelines of dependent jobs in the controllers' logs: how many were in time by their
//! last job, and where the time went.

use crate::job_event::{field, is_cancelled, is_in_time, number_field, JobEvent};
use crate::served::share;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

#[derive(Debug, Default)]
struct Job {
    class: String,
    dependencies: Vec<String>,
    /// From submission until all dependencies were done.
    blocked_s: f64,
    /// From then to its start.
    waited_s: f64,
    /// From its start to its end.
    ran_s: f64,
    /// From submission to its end.
    total_s: f64,
    done: bool,
    in_time: bool,
    cancelled: bool,
}

/// Collects jobs with dependencies, line by line.
#[derive(Debug, Default)]
pub struct PipelineStats {
    jobs: BTreeMap<String, Job>,
}

/// The jobs of one class in the pipelines that end with another. Times are means in
/// seconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Stage {
    /// The class of the stage's jobs.
    pub class: String,
    /// Jobs that were done.
    pub jobs: usize,
    /// From when a job's dependencies were done to its start.
    pub waited_s: f64,
    /// From its start to its end.
    pub ran_s: f64,
}

/// The pipelines that end with jobs of one class. Cancelled ones are left out.
#[derive(Debug, Clone, PartialEq)]
pub struct PipelineRow {
    /// The class of the last job.
    pub last: String,
    /// Pipelines that were submitted.
    pub asked: usize,
    /// Pipelines whose last job was done.
    pub done: usize,
    /// Pipelines whose last job was in time.
    pub in_time: usize,
    /// From the last job's submission to its end: mean, in seconds.
    pub took_s: f64,
    /// The pipelines' jobs by class.
    pub stages: Vec<Stage>,
}

impl PipelineStats {
    /// Takes in one line of a controller's log.
    pub fn line(&mut self, line: &str) {
        let Some(event) = JobEvent::of_line(line) else { return };
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
                job.blocked_s = seconds("free_s");
                job.ran_s = seconds("ran_s");
                job.total_s = seconds("took_s");
            }
        }
    }

    /// `id` and all jobs that it depends on, directly or not.
    fn pipeline_of<'a>(&'a self, id: &'a str) -> BTreeSet<&'a str> {
        let mut found = BTreeSet::new();
        let mut unvisited = vec![id];
        while let Some(id) = unvisited.pop() {
            if found.insert(id) {
                let dependencies = self.jobs.get(id).into_iter().flat_map(|job| &job.dependencies);
                unvisited.extend(dependencies.map(String::as_str));
            }
        }
        found
    }

    /// The last jobs of pipelines by class: those that have dependencies, and that no other
    /// job depends on.
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

    /// The pipelines by the class of their last job.
    pub fn rows(&self) -> Vec<PipelineRow> {
        self.last_jobs().into_iter().map(|(class, ids)| self.row(class, &ids)).collect()
    }

    fn row(&self, class: &str, last_jobs: &[&str]) -> PipelineRow {
        let done: Vec<&Job> =
            last_jobs.iter().filter_map(|id| self.jobs.get(*id)).filter(|job| job.done).collect();
        PipelineRow {
            last: class.to_string(),
            asked: last_jobs.len(),
            done: done.len(),
            in_time: done.iter().filter(|job| job.in_time).count(),
            took_s: mean(done.iter().map(|job| job.total_s)),
            stages: self.stages(last_jobs),
        }
    }

    fn stages(&self, last_jobs: &[&str]) -> Vec<Stage> {
        let ids: BTreeSet<&str> = last_jobs.iter().flat_map(|id| self.pipeline_of(id)).collect();
        let mut by_class: BTreeMap<&str, Vec<&Job>> = BTreeMap::new();
        for job in ids.iter().filter_map(|id| self.jobs.get(*id)).filter(|job| job.done) {
            by_class.entry(&job.class).or_default().push(job);
        }
        let stages = by_class.into_iter().map(|(class, jobs)| Stage {
            class: class.to_string(),
            jobs: jobs.len(),
            waited_s: mean(jobs.iter().map(|job| job.waited_s)),
            ran_s: mean(jobs.iter().map(|job| job.ran_s)),
        });
        stages.collect()
    }
}

/// The mean; 0 of nothing.
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
        let PipelineRow { last, asked, done, in_time, took_s, stages } = self;
        let in_time_share = share(*in_time as f64, *asked as f64);
        writeln!(
            f,
            "{last}: {asked} asked, {done} done, {in_time} in time ({in_time_share:.3}), {took_s:.1} s each"
        )?;
        for stage in stages {
            let Stage { class, jobs, waited_s, ran_s } = stage;
            writeln!(f, "  {class:<22}{jobs:>6} jobs  waited {waited_s:>6.1} s  ran {ran_s:>6.1} s")?;
        }
        Ok(())
    }
}
