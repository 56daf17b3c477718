//! Service quality of each class and team, from the bench's report and the controllers' logs.

use super::{number, Share};
use crate::job_counts::{share, Group, JobCounter, Row};
use serde_json::Value;

/// Keys of the report under which the bench counts jobs that started in time, with their
/// label in names of shares.
const STARTED_IN_TIME: [(&str, &str); 3] =
    [("teams", "began team"), ("largest", "began largest"), ("longest", "began longest")];

/// Returns the shares of classes and of jobs that started in time from the report, and the
/// shares of teams and largest jobs from the logs.
pub(super) fn shares(report: &Value, logged_jobs: &JobCounter) -> Vec<Share> {
    let mut shares = Vec::new();
    for (class, counts) in report["classes"].as_object().into_iter().flatten() {
        shares.push(class_share(report, class, counts));
    }
    for (key, label) in STARTED_IN_TIME {
        for (name, counts) in report[key].as_object().into_iter().flatten() {
            shares.push(started_share(format!("{label} {name}"), counts));
        }
    }
    shares.extend(logged_jobs.rows().iter().filter_map(logged_share));
    shares
}

/// Returns the share of a class. Its in-time share is the lowest value of its objectives for
/// finished jobs, and at most its done share.
fn class_share(report: &Value, class: &str, counts: &Value) -> Share {
    let submitted = number(counts, &["jobs"]) - number(counts, &["cancelled"]);
    let done = share(number(counts, &["done"]), submitted);
    let targets = report["targets"].as_array().into_iter().flatten();
    let in_time = targets
        .filter(|target| target["class"] == class)
        .filter(|target| target["kind"] == "deadline" || target["kind"] == "finished")
        .map(|target| number(target, &["value"]))
        .fold(done, f64::min);
    Share {
        name: class.to_string(),
        submitted: submitted as usize,
        started: share(number(counts, &["started"]), number(counts, &["jobs"])),
        done,
        in_time,
    }
}

fn started_share(name: String, counts: &Value) -> Share {
    let submitted = number(counts, &["jobs"]);
    let started = share(number(counts, &["started"]), submitted);
    Share { name, submitted: submitted as usize, started, done: started, in_time: started }
}

/// Returns the share of a team or of the largest jobs of a class; None for a class, which is
/// counted from the report.
fn logged_share(row: &Row) -> Option<Share> {
    let (label, in_time) = match row.group {
        Group::Class => return None,
        Group::Team => ("team", row.in_time_share()),
        // The largest jobs have to start in time; whether they finished in time is part of
        // the share of the class.
        Group::Largest => ("largest", row.served_share()),
    };
    Some(Share {
        name: format!("{label} {}", row.name),
        submitted: row.submitted,
        started: share(row.started as f64, row.submitted as f64),
        done: row.served_share(),
        in_time,
    })
}
