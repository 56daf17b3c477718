//! Jobs in the controllers' logs, counted by class and team.

use crate::job_event::{field, is_cancelled, is_in_time, number_field, JobEvent};
use std::collections::BTreeMap;
use std::fmt;

/// The largest jobs of a class have to start within that time (the operators' figure).
pub const MAX_START_WAIT_S: f64 = 240.0;
/// The part of a class's jobs that counts as its largest, with all of the same size.
const LARGEST_PART: f64 = 0.1;

/// What is known of a job. Several controllers may log the same event, also again after a
/// failover.
#[derive(Debug, Default)]
struct Job {
    class: String,
    team: String,
    started: bool,
    done: bool,
    in_time: bool,
    cancelled: bool,
    tasks: u32,
    /// Time until it started, as logged first: a later leader counts from another start.
    waited_s: Option<f64>,
}

impl Job {
    fn took_too_long_to_start(&self) -> bool {
        self.waited_s.is_some_and(|waited_s| waited_s > MAX_START_WAIT_S)
    }
}

/// By what jobs are counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Group {
    /// All jobs of a class.
    Class,
    /// All jobs of a team.
    Team,
    /// The largest tenth of a class by tasks, at least one job; only those that started
    /// within [`MAX_START_WAIT_S`] count as started.
    Largest,
}

/// One class or team. Jobs that their users cancelled are left out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// What `name` is.
    pub group: Group,
    /// The class or team.
    pub name: String,
    /// Jobs that were submitted.
    pub asked: usize,
    /// Jobs that started.
    pub started: usize,
    /// Jobs that were done.
    pub done: usize,
    /// Jobs that were done in time.
    pub in_time: usize,
}

impl Row {
    /// Column titles of what [`Row`] prints.
    pub const HEAD: &'static str =
        "        name                    asked  started   done  in time  served  timely";

    fn empty(group: Group, name: &str) -> Self {
        Row { group, name: name.to_string(), asked: 0, started: 0, done: 0, in_time: 0 }
    }

    fn add(&mut self, job: &Job) {
        let is_late_start = self.group == Group::Largest && job.took_too_long_to_start();
        self.asked += 1;
        self.started += usize::from(job.started && !is_late_start);
        self.done += usize::from(job.done);
        self.in_time += usize::from(job.in_time);
    }

    /// The part of the submitted jobs that was done, of the largest also started in time; 1
    /// if nothing was submitted.
    pub fn served(&self) -> f64 {
        let done = if self.group == Group::Largest { self.done.min(self.started) } else { self.done };
        share(done as f64, self.asked as f64)
    }

    /// The part of the submitted jobs that was done in time; 1 if nothing was submitted.
    pub fn timely(&self) -> f64 {
        share(self.in_time as f64, self.asked as f64)
    }
}

/// `part` of `whole`; 1 of nothing.
pub(crate) fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        1.0
    }
}

/// Counts jobs line by line; lines that are not about a job are skipped.
#[derive(Debug, Default)]
pub struct Served {
    jobs: BTreeMap<String, Job>,
}

impl Served {
    /// Takes in one line of a controller's log.
    pub fn line(&mut self, line: &str) {
        let Some(event) = JobEvent::of_line(line) else { return };
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

    /// The number of tasks from which on a job is one of its class's largest.
    fn min_tasks_of_largest(&self) -> BTreeMap<&str, u32> {
        let mut sizes: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for job in self.counted_jobs() {
            sizes.entry(&job.class).or_default().push(job.tasks);
        }
        sizes.into_iter().map(|(class, sizes)| (class, smallest_of_largest(sizes))).collect()
    }

    /// Every class and team, classes first.
    pub fn rows(&self) -> Vec<Row> {
        let min_tasks = self.min_tasks_of_largest();
        let mut rows: BTreeMap<(Group, &str), Row> = BTreeMap::new();
        for job in self.counted_jobs() {
            let is_large = job.tasks >= min_tasks.get(job.class.as_str()).copied().unwrap_or(u32::MAX);
            let mut groups = vec![(Group::Class, job.class.as_str()), (Group::Team, job.team.as_str())];
            if is_large {
                groups.push((Group::Largest, &job.class));
            }
            for (group, name) in groups {
                rows.entry((group, name)).or_insert_with(|| Row::empty(group, name)).add(job);
            }
        }
        rows.into_values().collect()
    }
}

/// The size of the smallest job in the largest part of `sizes`.
fn smallest_of_largest(mut sizes: Vec<u32>) -> u32 {
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    let count = (sizes.len() as f64 * LARGEST_PART).ceil() as usize;
    sizes.get(count.saturating_sub(1)).copied().unwrap_or(0)
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let group = match self.group {
            Group::Class => "class",
            Group::Team => "team",
            Group::Largest => "largest",
        };
        let Row { name, asked, started, done, in_time, .. } = self;
        write!(f, "{group:<8}{name:<22}{asked:>7}{started:>9}{done:>7}{in_time:>9}")?;
        write!(f, "{:>8.3}{:>8.3}", self.served(), self.timely())
    }
}
