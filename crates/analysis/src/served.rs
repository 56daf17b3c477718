//! The controllers' lines on jobs, counted.

use crate::job_event::JobEvent;
use std::collections::BTreeMap;
use std::fmt;

/// What is known of a job. Several controllers may say the same of it, and say it
/// again after a takeover.
#[derive(Debug, Default)]
struct Job {
    class: String,
    team: String,
    started: bool,
    done: bool,
    in_time: bool,
    cancelled: bool,
    tasks: u32,
    /// Seconds until it began, the least that was said.
    waited_s: Option<f64>,
}

/// The largest jobs of a class have to begin within that time (the operators' figure).
pub const BEGIN_S: f64 = 240.0;
/// Part of a class's jobs that counts as its largest, with all of the same size.
const LARGEST: f64 = 0.1;

/// By what jobs are counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Group {
    Class,
    Team,
    /// The largest tenth of a class by tasks, at least one job; as started counts what
    /// began within [`BEGIN_S`].
    Largest,
}

/// One class or team. Jobs that their users cancelled are left out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    pub group: Group,
    pub name: String,
    pub asked: usize,
    pub started: usize,
    pub done: usize,
    pub in_time: usize,
}

impl Row {
    /// The part of what was asked for that was done, of the largest also begun in time; 1
    /// where nothing was asked.
    pub fn served(&self) -> f64 {
        let done = if self.group == Group::Largest { self.done.min(self.started) } else { self.done };
        share(done as f64, self.asked as f64)
    }

    /// The part that was done in time.
    pub fn timely(&self) -> f64 {
        share(self.in_time as f64, self.asked as f64)
    }
}

/// A part of what was asked for; 1 where nothing was.
pub(crate) fn share(part: f64, of: f64) -> f64 {
    if of > 0.0 {
        part / of
    } else {
        1.0
    }
}

/// Counts jobs line by line; lines that say nothing of a job are passed over.
#[derive(Debug, Default)]
pub struct Served {
    jobs: BTreeMap<String, Job>,
}

/// The value of `key=value` in a line, without its quotes.
pub(crate) fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let at = line.match_indices(key).find(|(at, _)| {
        let before = line[..*at].chars().next_back();
        before.is_none_or(char::is_whitespace) && line[at + key.len()..].starts_with('=')
    });
    let rest = &line[at?.0 + key.len() + 1..];
    match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => rest.split_whitespace().next(),
    }
}

impl Served {
    /// Takes in one line of a controller's log.
    pub fn line(&mut self, line: &str) {
        let Some(event) = JobEvent::of_line(line) else { return };
        if event == JobEvent::HasDependencies {
            return;
        }
        let Some(id) = value(line, "job") else { return };
        let job = self.jobs.entry(id.to_string()).or_default();
        for (field, key) in [(&mut job.class, "class"), (&mut job.team, "team")] {
            if let Some(v) = value(line, key) {
                *field = v.to_string();
            }
        }
        let number = |key: &str| value(line, key).and_then(|v| v.parse::<f64>().ok());
        match event {
            JobEvent::HasDependencies => {}
            JobEvent::Submitted => job.tasks = number("tasks").unwrap_or(0.0) as u32,
            JobEvent::Started => {
                job.started = true;
                // A later leader counts from another start: the first word holds.
                job.waited_s = job.waited_s.or(number("waited_s"));
            }
            JobEvent::Finished if value(line, "status") == Some("withdrawn") => job.cancelled = true,
            JobEvent::Finished => {
                (job.started, job.done) = (true, true);
                job.in_time |= value(line, "late") == Some("false");
            }
        }
    }

    /// Every class and team, classes first.
    pub fn rows(&self) -> Vec<Row> {
        let mut rows: BTreeMap<(Group, &str), Row> = BTreeMap::new();
        let counted = || self.jobs.values().filter(|j| !j.cancelled);
        let mut sizes: BTreeMap<&str, Vec<u32>> = BTreeMap::new();
        for job in counted() {
            sizes.entry(&job.class).or_default().push(job.tasks);
        }
        let least = |sizes: &mut Vec<u32>| {
            sizes.sort_unstable_by(|a, b| b.cmp(a));
            let last = (sizes.len() as f64 * LARGEST).ceil() as usize;
            sizes.get(last.saturating_sub(1)).copied().unwrap_or(0)
        };
        let least: BTreeMap<&str, u32> = sizes.iter_mut().map(|(c, s)| (*c, least(s))).collect();
        for job in counted() {
            let large = job.tasks >= least.get(job.class.as_str()).copied().unwrap_or(u32::MAX);
            let groups = [(Group::Class, &job.class), (Group::Team, &job.team)];
            for (group, name) in groups.into_iter().chain(large.then_some((Group::Largest, &job.class))) {
                let row = rows.entry((group, name)).or_insert_with(|| Row {
                    group,
                    name: name.clone(),
                    asked: 0,
                    started: 0,
                    done: 0,
                    in_time: 0,
                });
                row.asked += 1;
                let late = group == Group::Largest && job.waited_s.is_some_and(|w| w > BEGIN_S);
                row.started += usize::from(job.started && !late);
                row.done += usize::from(job.done);
                row.in_time += usize::from(job.in_time);
            }
        }
        rows.into_values().collect()
    }
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

impl Row {
    /// Names of what [`Row`] prints.
    pub const HEAD: &'static str =
        "        name                    asked  started   done  in time  served  timely";
}
