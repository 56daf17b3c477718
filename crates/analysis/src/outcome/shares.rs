//! Service quality of each class and team, from the bench's report and the controllers' logs.

use super::{number, ServiceQuality};
use crate::job_counts::{share, Group, JobCounter, Row};
use serde_json::Value;

/// Keys of the report under which the bench counts jobs that started in time, each with the
/// prefix of the names of the resulting entries. The names are stored with the outcomes, so the
/// prefixes must not change.
const STARTED_IN_TIME: [(&str, &str); 3] =
    [("teams", "began team"), ("largest", "began largest"), ("longest", "began longest")];

/// Returns the service quality of classes, teams and groups of jobs. From the report: the quality
/// of each class, and the share of each group's jobs that started in time. From the logs: teams
/// and largest jobs.
pub(super) fn service_quality(report: &Value, logged_jobs: &JobCounter) -> Vec<ServiceQuality> {
    let mut quality = Vec::new();
    for (class, counts) in report["classes"].as_object().into_iter().flatten() {
        quality.push(class_quality(report, class, counts));
    }
    for (key, prefix) in STARTED_IN_TIME {
        for (name, counts) in report[key].as_object().into_iter().flatten() {
            quality.push(start_quality(format!("{prefix} {name}"), counts));
        }
    }
    quality.extend(logged_jobs.rows().iter().filter_map(logged_quality));
    quality
}

/// Returns the quality of a class. The in-time share is the minimum of the done share and the
/// values of the class's `deadline` and `finished` targets.
fn class_quality(report: &Value, class: &str, counts: &Value) -> ServiceQuality {
    let not_cancelled = number(counts, &["jobs"]) - number(counts, &["cancelled"]);
    let done = share(number(counts, &["done"]), not_cancelled);
    let targets = report["targets"].as_array().into_iter().flatten();
    let in_time = targets
        .filter(|target| target["class"] == class)
        .filter(|target| target["kind"] == "deadline" || target["kind"] == "finished")
        .map(|target| number(target, &["value"]))
        .fold(done, f64::min);
    ServiceQuality {
        name: class.to_string(),
        submitted: not_cancelled as usize,
        // Unlike the done share, this is a share of all jobs, including cancelled ones.
        started: share(number(counts, &["started"]), number(counts, &["jobs"])),
        done,
        in_time,
    }
}

fn start_quality(name: String, counts: &Value) -> ServiceQuality {
    let submitted = number(counts, &["jobs"]);
    let started = share(number(counts, &["started"]), submitted);
    ServiceQuality { name, submitted: submitted as usize, started, done: started, in_time: started }
}

/// Returns the quality of a team or of the largest jobs of a class; None for a class, which is
/// counted from the report.
fn logged_quality(row: &Row) -> Option<ServiceQuality> {
    let (label, in_time) = match row.group {
        Group::Class => return None,
        Group::Team => ("team", row.in_time_share()),
        // The largest jobs have to start in time; whether they finished in time is part of
        // the quality of the class.
        Group::Largest => ("largest", row.served_share()),
    };
    Some(ServiceQuality {
        name: format!("{label} {}", row.name),
        submitted: row.submitted,
        started: share(row.started as f64, row.submitted as f64),
        done: row.served_share(),
        in_time,
    })
}
