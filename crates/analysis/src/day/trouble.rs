//! A day's troubles, made into the bench's faults with a site's names and amounts.

use super::DayError;
use crate::site::{Site, SiteError};
use toml::{Table, Value};

/// When a trouble happens, as parts of the day and multiples of the workers' lease.
struct Schedule {
    /// The first time, as a part of the counted time.
    at: f64,
    times: i64,
    /// Between two times.
    every_leases: f64,
}

/// Keys of a trouble that the site turns into names and amounts.
struct SiteKeys {
    schedule: Schedule,
    duration_leases: Option<f64>,
    nodes: Option<Value>,
    machine_part: Option<f64>,
    zone: Option<Value>,
    class: Option<Value>,
}

impl SiteKeys {
    /// Takes the keys out of `trouble`; what is left is the bench's.
    fn take(trouble: &mut Table) -> Result<Self, DayError> {
        let mut take = |key: &str| trouble.remove(key);
        let schedule = Schedule {
            at: take("at").and_then(|value| value.as_float()).ok_or(DayError::Needs("at"))?,
            times: take("times").and_then(|value| value.as_integer()).unwrap_or(1),
            every_leases: take("every_leases").and_then(|value| value.as_float()).unwrap_or(0.0),
        };
        Ok(SiteKeys {
            schedule,
            duration_leases: take("for_leases").and_then(|value| value.as_float()),
            nodes: take("nodes"),
            machine_part: take("machines").and_then(|value| value.as_float()),
            zone: take("zone"),
            class: take("class"),
        })
    }
}

/// The faults that `trouble` stands for, one for each of its times. `class` is what
/// `class = "each"` stands for.
pub(super) fn faults(trouble: &Table, site: &Site, class: Option<&str>) -> Result<Vec<Table>, DayError> {
    let mut fault = trouble.clone();
    let lease_s = site.lease_s()?;
    let keys = SiteKeys::take(&mut fault)?;
    if let Some(leases) = keys.duration_leases {
        fault.insert("for_s".into(), Value::Float(round_to_tenths(leases * lease_s)));
    }
    if let Some(part) = keys.machine_part {
        let machines = (site.machines() * part).round() as i64;
        fault.insert("count".into(), Value::Integer(machines));
    }
    if let Some(nodes) = keys.nodes {
        fault.insert("count".into(), Value::Integer(node_count(&nodes, site)?));
    }
    if let Some(zone) = keys.zone {
        fault.insert("zone".into(), pick_name("zone", &zone, &site.zones())?.into());
    }
    if let Some(asked) = keys.class {
        fault.insert("class".into(), class_name(&asked, site, class)?.into());
    }
    let times = fault_times(&keys.schedule, site, lease_s)?;
    Ok(times.into_iter().map(|at_s| fault_at(&fault, at_s)).collect())
}

fn fault_at(fault: &Table, at_s: f64) -> Table {
    let mut fault = fault.clone();
    fault.insert("at_s".into(), Value::Float(at_s));
    fault
}

fn fault_times(schedule: &Schedule, site: &Site, lease_s: f64) -> Result<Vec<f64>, DayError> {
    let span = site.counted_span()?;
    let first = span.begin_s + (span.end_s - span.begin_s) * schedule.at;
    let time = |index: i64| round_to_tenths(first + index as f64 * schedule.every_leases * lease_s);
    Ok((0..schedule.times).map(time).collect())
}

fn node_count(nodes: &Value, site: &Site) -> Result<i64, DayError> {
    let all = site.nodes()? as i64;
    match nodes.as_str() {
        Some("one") => Ok(1),
        Some("all but one") => Ok((all - 1).max(1)),
        Some("all") => Ok(all),
        _ => Err(DayError::Unknown {
            key: "nodes",
            value: nodes.to_string(),
            known: "say one, all but one or all",
        }),
    }
}

fn class_name(asked: &Value, site: &Site, class: Option<&str>) -> Result<String, DayError> {
    match (asked.as_str(), class) {
        (Some("each"), Some(class)) => Ok(class.to_string()),
        (Some("most urgent"), _) => Ok(site.most_urgent_class().ok_or(SiteError::Lacks("jobs"))?),
        _ => pick_name("class", asked, &site.classes()),
    }
}

/// A name by its index, or the last one; an index beyond the last begins anew.
fn pick_name(key: &'static str, index: &Value, names: &[String]) -> Result<String, DayError> {
    let last = names.len().checked_sub(1).ok_or(SiteError::Lacks(key))?;
    let index = match (index.as_integer(), index.as_str()) {
        (Some(number), _) if number >= 0 => number as usize % names.len(),
        (_, Some("last")) => last,
        _ => {
            let known = "say a number from 0 on, or last (classes: most urgent, or each with each_class)";
            return Err(DayError::Unknown { key, value: index.to_string(), known });
        }
    };
    Ok(names[index].clone())
}

fn round_to_tenths(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}
