//! Pipelines in the controllers' lines: in time by their last job, and where the time went.

use crate::job_event::JobEvent;
use crate::served::{share, value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

#[derive(Debug, Default)]
struct Job {
    class: String,
    awaits: Vec<String>,
    /// Seconds until it could start, from then to its start, and from there to its end.
    free_s: f64,
    waited_s: f64,
    ran_s: f64,
    took_s: f64,
    done: bool,
    in_time: bool,
    withdrawn: bool,
}

/// Counts jobs that wait for others, line by line.
#[derive(Debug, Default)]
pub struct PipelineStats {
    jobs: BTreeMap<String, Job>,
}

/// A stage of the pipelines that end with one class. Times are means in seconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Stage {
    pub class: String,
    pub jobs: usize,
    /// From when it was free to its start, and from there to its end.
    pub waited_s: f64,
    pub ran_s: f64,
}

/// The pipelines that end with jobs of one class. What was withdrawn is left out.
#[derive(Debug, Clone, PartialEq)]
pub struct PipelineRow {
    pub last: String,
    pub asked: usize,
    pub done: usize,
    pub in_time: usize,
    /// From the last job's submission to its end, mean.
    pub took_s: f64,
    pub stages: Vec<Stage>,
}

impl PipelineStats {
    /// Takes in one line of a controller's log.
    pub fn line(&mut self, line: &str) {
        let Some(event) = JobEvent::of_line(line) else { return };
        let Some(id) = value(line, "job") else { return };
        let number = |key: &str| value(line, key).and_then(|v| v.parse().ok()).unwrap_or(0.0);
        let job = self.jobs.entry(id.to_string()).or_default();
        if let Some(class) = value(line, "class") {
            job.class = class.to_string();
        }
        match event {
            JobEvent::Submitted => {}
            JobEvent::HasDependencies => {
                job.awaits = value(line, "awaits").unwrap_or("").split(',').map(String::from).collect()
            }
            JobEvent::Started => job.waited_s = number("waited_s"),
            JobEvent::Finished => {
                job.withdrawn = value(line, "status") == Some("withdrawn");
                job.done |= !job.withdrawn;
                job.in_time |= !job.withdrawn && value(line, "late") == Some("false");
                (job.free_s, job.ran_s, job.took_s) = (number("free_s"), number("ran_s"), number("took_s"));
            }
        }
    }

    /// Every job before `id`, and itself.
    fn whole<'a>(&'a self, id: &'a str) -> BTreeSet<&'a str> {
        let (mut all, mut left) = (BTreeSet::new(), vec![id]);
        while let Some(id) = left.pop() {
            if all.insert(id) {
                left.extend(self.jobs.get(id).into_iter().flat_map(|j| &j.awaits).map(String::as_str));
            }
        }
        all
    }

    /// By the class of the last job, which is one that waits and that nobody waits for.
    pub fn rows(&self) -> Vec<PipelineRow> {
        let named: BTreeSet<&str> = self.jobs.values().flat_map(|j| &j.awaits).map(String::as_str).collect();
        let mut lasts: BTreeMap<&str, Vec<(&str, &Job)>> = BTreeMap::new();
        for (id, job) in &self.jobs {
            if !job.awaits.is_empty() && !named.contains(id.as_str()) && !job.withdrawn {
                lasts.entry(&job.class).or_default().push((id, job));
            }
        }
        let chain = |(last, jobs): (&str, Vec<(&str, &Job)>)| {
            let done: Vec<&Job> = jobs.iter().map(|j| j.1).filter(|j| j.done).collect();
            let ids: BTreeSet<&str> = jobs.iter().flat_map(|(id, _)| self.whole(id)).collect();
            let mut stages: BTreeMap<&str, Vec<&Job>> = BTreeMap::new();
            for job in ids.iter().filter_map(|id| self.jobs.get(*id)).filter(|j| j.done) {
                stages.entry(&job.class).or_default().push(job);
            }
            let stage = |(class, jobs): (&str, Vec<&Job>)| Stage {
                class: class.to_string(),
                jobs: jobs.len(),
                waited_s: mean(jobs.iter().map(|j| j.waited_s)),
                ran_s: mean(jobs.iter().map(|j| j.ran_s)),
            };
            PipelineRow {
                last: last.to_string(),
                asked: jobs.len(),
                done: done.len(),
                in_time: done.iter().filter(|j| j.in_time).count(),
                took_s: mean(done.iter().map(|j| j.took_s)),
                stages: stages.into_iter().map(stage).collect(),
            }
        };
        lasts.into_iter().map(chain).collect()
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, n) = values.fold((0.0, 0.0), |(s, n), v| (s + v, n + 1.0));
    if n > 0.0 {
        sum / n
    } else {
        0.0
    }
}

impl fmt::Display for PipelineRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PipelineRow { last, asked, done, in_time, took_s, stages } = self;
        let timely = share(*in_time as f64, *asked as f64);
        writeln!(
            f,
            "{last}: {asked} asked, {done} done, {in_time} in time ({timely:.3}), {took_s:.1} s each"
        )?;
        for s in stages {
            let Stage { class, jobs, waited_s, ran_s } = s;
            writeln!(f, "  {class:<22}{jobs:>6} jobs  waited {waited_s:>6.1} s  ran {ran_s:>6.1} s")?;
        }
        Ok(())
    }
}
