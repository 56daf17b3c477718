//! How each class and team was served, from the bench's report and the controllers' logs.

use super::{number, Share};
use crate::served::{share, Group, Row, Served};
use serde_json::Value;

/// What the bench counts itself, with how it is called here: who started in time at all.
const STARTED_IN_TIME: [(&str, &str); 3] =
    [("teams", "began team"), ("largest", "began largest"), ("longest", "began longest")];

/// Classes by the report, what the bench counts besides, and teams and largest jobs by the
/// logs.
pub(super) fn shares(report: &Value, logged: &Served) -> Vec<Share> {
    let mut shares = Vec::new();
    for (class, counts) in report["classes"].as_object().into_iter().flatten() {
        shares.push(class_share(report, class, counts));
    }
    for (key, what) in STARTED_IN_TIME {
        for (name, counts) in report[key].as_object().into_iter().flatten() {
            shares.push(started_share(format!("{what} {name}"), counts));
        }
    }
    shares.extend(logged.rows().iter().filter_map(logged_share));
    shares
}

/// A class's share; in time is the least of its objectives on finished jobs.
fn class_share(report: &Value, class: &str, counts: &Value) -> Share {
    let asked = number(counts, &["jobs"]) - number(counts, &["cancelled"]);
    let done = share(number(counts, &["done"]), asked);
    let targets = report["targets"].as_array().into_iter().flatten();
    let in_time = targets
        .filter(|target| target["class"] == class)
        .filter(|target| target["kind"] == "deadline" || target["kind"] == "finished")
        .map(|target| number(target, &["value"]))
        .fold(done, f64::min);
    Share {
        name: class.to_string(),
        asked: asked as usize,
        started: share(number(counts, &["started"]), number(counts, &["jobs"])),
        done,
        in_time,
    }
}

fn started_share(name: String, counts: &Value) -> Share {
    let asked = number(counts, &["jobs"]);
    let started = share(number(counts, &["started"]), asked);
    Share { name, asked: asked as usize, started, done: started, in_time: started }
}

/// The share of a team or of a class's largest jobs; classes are counted by the report.
fn logged_share(row: &Row) -> Option<Share> {
    let (what, in_time) = match row.group {
        Group::Class => return None,
        Group::Team => ("team", row.timely()),
        // Whether they were in time is in the class's share: they have to start.
        Group::Largest => ("largest", row.served()),
    };
    Some(Share {
        name: format!("{what} {}", row.name),
        asked: row.asked,
        started: share(row.started as f64, row.asked as f64),
        done: row.served(),
        in_time,
    })
}
