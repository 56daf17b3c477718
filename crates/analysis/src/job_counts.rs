//! Counts of the jobs in the controllers' logs by class and team.

use crate::job_event::{field, is_cancelled, is_in_time, number_field, JobEvent};
use std::collections::BTreeMap;
use std::fmt;

/// Time within which the largest jobs of a class have to start; set by the operators.
pub const MAX_START_WAIT_S: f64 = 240.0;
/// Share of a class's jobs that counts as its largest; jobs as large as the smallest of them
/// count as well.
const LARGEST_SHARE: f64 = 0.1;

/// State of a job. Several controllers may log the same event, and a new leader may log it
/// again after a failover.
#[derive(Debug, Default)]
struct Job {
    class: String,
    team: String,
    started: bool,
    done: bool,
    in_time: bool,
    cancelled: bool,
    tasks: u32,
    /// Time until the job started, from the first such line: a later leader measures from
    /// another point in time.
    waited_s: Option<f64>,
}

impl Job {
    fn started_too_late(&self) -> bool {
        self.waited_s.is_some_and(|waited_s| waited_s > MAX_START_WAIT_S)
    }
}

/// Criterion by which jobs are counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Group {
    /// All jobs of a class.
    Class,
    /// All jobs of a team.
    Team,
    /// The largest tenth of a class by number of tasks: at least one job, and all others of
    /// the same size. Only jobs that started within [`MAX_START_WAIT_S`] count as started.
    Largest,
}

/// Job counts of a class or team. Jobs that their users cancelled are left out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Criterion of the group.
    pub group: Group,
    /// Name of the class or team.
    pub name: String,
    /// Number of submitted jobs.
    pub submitted: usize,
    /// Number of jobs that started.
    pub started: usize,
    /// Number of jobs that were done.
    pub done: usize,
    /// Number of jobs that were done in time.
    pub in_time: usize,
}

impl Row {
    /// Column titles for the printed rows.
    pub const HEAD: &'static str =
        "        name                    asked  started   done  in time  served  timely";

    fn empty(group: Group, name: &str) -> Self {
        Row { group, name: name.to_string(), submitted: 0, started: 0, done: 0, in_time: 0 }
    }

    fn add(&mut self, job: &Job) {
        let started_late = self.group == Group::Largest && job.started_too_late();
        self.submitted += 1;
        self.started += usize::from(job.started && !started_late);
        self.done += usize::from(job.done);
        self.in_time += usize::from(job.in_time);
    }

    /// Returns the share of the submitted jobs that were done; of the largest jobs, the share
    /// that also started in time. It is 1 if no jobs were submitted.
    pub fn served_share(&self) -> f64 {
        let done = if self.group == Group::Largest { self.done.min(self.started) } else { self.done };
        share(done as f64, self.submitted as f64)
    }

    /// Returns the share of the submitted jobs that were done in time, 1 if no jobs were
    /// submitted.
    pub fn in_time_share(&self) -> f64 {
        share(self.in_time as f64, self.submitted as f64)
    }
}

/// Returns `part` as a share of `whole`, 1 if `whole` is 0.
pub(crate) fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        1.0
    }
}

/// Counts jobs from log lines; lines that do not report an event of a job are skipped.
#[derive(Debug, Default)]
pub struct JobCounter {
    jobs: BTreeMap<String, Job>,
}

impl JobCounter {
    /// Records the event that a line of a controller's log reports, if any.
    pub fn record_line(&mut self, line: &str) {
        let Some(event) = JobEvent::from_line(line) else { return };
        if event == JobEvent::HasDependencies {
            return;
        }
        let Some(id) = field(line, "job") else { return };
        let job = self.jobs.entry(id.to_string()).or_default();
        if let Some(class) = field(line, "class") {
            job.class = class.to_string();
        }
        if let Some(team) = field(line, "team") {
            job.team = team.to_string();
        }
        match event {
            JobEvent::HasDependencies => {}
            JobEvent::Submitted => job.tasks = number_field(line, "tasks").unwrap_or(0.0) as u32,
            JobEvent::Started => {
                job.started = true;
                job.waited_s = job.waited_s.or(number_field(line, "waited_s"));
            }
            JobEvent::Finished if is_cancelled(line) => job.cancelled = true,
            JobEvent::Finished => {
                job.started = true;
                job.done = true;
                job.in_time |= is_in_time(line);
            }
        }
    }

    fn counted_jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values().filter(|job| !job.cancelled)
    }

    /// Returns, for each class, the number of tasks from which on a job is one of its largest.
    fn min_tasks_of_largest(&self) -> BTreeMap<&str, u32> {
        let mut sizes: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for job in self.counted_jobs() {
            sizes.entry(&job.class).or_default().push(job.tasks);
        }
        sizes.into_iter().map(|(class, sizes)| (class, smallest_of_largest(sizes))).collect()
    }

    /// Returns the counts of all groups: classes, then teams, then largest jobs.
    pub fn rows(&self) -> Vec<Row> {
        let min_tasks = self.min_tasks_of_largest();
        let mut rows: BTreeMap<(Group, &str), Row> = BTreeMap::new();
        for job in self.counted_jobs() {
            let is_largest = job.tasks >= min_tasks.get(job.class.as_str()).copied().unwrap_or(u32::MAX);
            let mut groups = vec![(Group::Class, job.class.as_str()), (Group::Team, job.team.as_str())];
            if is_largest {
                groups.push((Group::Largest, &job.class));
            }
            for (group, name) in groups {
                rows.entry((group, name)).or_insert_with(|| Row::empty(group, name)).add(job);
            }
        }
        rows.into_values().collect()
    }
}

/// Returns the smallest size among the largest [`LARGEST_SHARE`] of `sizes`.
fn smallest_of_largest(mut sizes: Vec<u32>) -> u32 {
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    let count = (sizes.len() as f64 * LARGEST_SHARE).ceil() as usize;
    sizes.get(count.saturating_sub(1)).copied().unwrap_or(0)
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let group = match self.group {
            Group::Class => "class",
            Group::Team => "team",
            Group::Largest => "largest",
        };
        let Row { name, submitted, started, done, in_time, .. } = self;
        write!(f, "{group:<8}{name:<22}{submitted:>7}{started:>9}{done:>7}{in_time:>9}")?;
        write!(f, "{:>8.3}{:>8.3}", self.served_share(), self.in_time_share())
    }
}
