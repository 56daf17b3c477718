//! Fault templates (`trouble` tables) of a day file, expanded into faults of the bench with
//! the names and amounts of a site.

use super::DayError;
use crate::site::{Site, SiteError};
use toml::{Table, Value};

/// Times of a fault, relative to the counted part of the day and to the workers' lease.
struct Schedule {
    /// First time, as a share of the counted part of the day.
    start_share: f64,
    repetitions: i64,
    /// Interval between repetitions, as a multiple of the lease.
    interval_leases: f64,
}

/// Keys of a fault template whose values depend on the site.
struct SiteDependentKeys {
    schedule: Schedule,
    duration_leases: Option<f64>,
    nodes: Option<Value>,
    machine_share: Option<f64>,
    zone: Option<Value>,
    class: Option<Value>,
}

impl SiteDependentKeys {
    /// Removes the keys from `template`; the remaining keys are passed to the bench unchanged.
    fn take(template: &mut Table) -> Result<Self, DayError> {
        let mut take = |key: &str| template.remove(key);
        let schedule = Schedule {
            start_share: take("at").and_then(|value| value.as_float()).ok_or(DayError::MissingKey("at"))?,
            repetitions: take("times").and_then(|value| value.as_integer()).unwrap_or(1),
            interval_leases: take("every_leases").and_then(|value| value.as_float()).unwrap_or(0.0),
        };
        Ok(SiteDependentKeys {
            schedule,
            duration_leases: take("for_leases").and_then(|value| value.as_float()),
            nodes: take("nodes"),
            machine_share: take("machines").and_then(|value| value.as_float()),
            zone: take("zone"),
            class: take("class"),
        })
    }
}

/// Expands a template into faults, one for each repetition. `class` is the class to which
/// `class = "each"` refers.
pub(super) fn faults(template: &Table, site: &Site, class: Option<&str>) -> Result<Vec<Table>, DayError> {
    let mut fault = template.clone();
    let lease_s = site.lease_s()?;
    let keys = SiteDependentKeys::take(&mut fault)?;
    if let Some(leases) = keys.duration_leases {
        fault.insert("for_s".into(), Value::Float(round_to_tenths(leases * lease_s)));
    }
    if let Some(share) = keys.machine_share {
        let machines = (site.max_machines() * share).round() as i64;
        fault.insert("count".into(), Value::Integer(machines));
    }
    if let Some(nodes) = keys.nodes {
        fault.insert("count".into(), Value::Integer(node_count(&nodes, site)?));
    }
    if let Some(zone) = keys.zone {
        fault.insert("zone".into(), pick_name("zone", &zone, &site.zones())?.into());
    }
    if let Some(requested) = keys.class {
        fault.insert("class".into(), class_name(&requested, site, class)?.into());
    }
    let start_times = fault_times(&keys.schedule, site, lease_s)?;
    Ok(start_times.into_iter().map(|at_s| fault_at(&fault, at_s)).collect())
}

fn fault_at(fault: &Table, at_s: f64) -> Table {
    let mut fault = fault.clone();
    fault.insert("at_s".into(), Value::Float(at_s));
    fault
}

fn fault_times(schedule: &Schedule, site: &Site, lease_s: f64) -> Result<Vec<f64>, DayError> {
    let span = site.counted_span()?;
    let first = span.begin_s + (span.end_s - span.begin_s) * schedule.start_share;
    let time = |index: i64| round_to_tenths(first + index as f64 * schedule.interval_leases * lease_s);
    Ok((0..schedule.repetitions).map(time).collect())
}

fn node_count(nodes: &Value, site: &Site) -> Result<i64, DayError> {
    let total = site.node_count()? as i64;
    match nodes.as_str() {
        Some("one") => Ok(1),
        Some("all but one") => Ok((total - 1).max(1)),
        Some("all") => Ok(total),
        _ => Err(DayError::InvalidValue {
            key: "nodes",
            value: nodes.to_string(),
            expected: "one, all but one or all",
        }),
    }
}

fn class_name(requested: &Value, site: &Site, class: Option<&str>) -> Result<String, DayError> {
    match (requested.as_str(), class) {
        (Some("each"), Some(class)) => Ok(class.to_string()),
        (Some("most urgent"), _) => Ok(site.most_urgent_class().ok_or(SiteError::MissingKey("jobs"))?),
        _ => pick_name("class", requested, &site.classes()),
    }
}

/// Returns the name at an index, which wraps around at the end of `names`, or the last name.
fn pick_name(key: &'static str, index: &Value, names: &[String]) -> Result<String, DayError> {
    let last = names.len().checked_sub(1).ok_or(SiteError::MissingKey(key))?;
    let index = match (index.as_integer(), index.as_str()) {
        (Some(number), _) if number >= 0 => number as usize % names.len(),
        (_, Some("last")) => last,
        _ => {
            let expected = "a number from 0 on, or last (classes: also most urgent, or each with each_class)";
            return Err(DayError::InvalidValue { key, value: index.to_string(), expected });
        }
    };
    Ok(names[index].clone())
}

fn round_to_tenths(seconds: f64) -> f64 {
    (seconds * 10.0).round() / 10.0
}
