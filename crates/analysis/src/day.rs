//! Days of our own: troubles only, which a site file gives names and amounts.

use crate::site::{Site, SiteError};
use serde::Deserialize;
use thiserror::Error;
use toml::{Table, Value};

#[derive(Debug, Error)]
pub enum DayError {
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    #[error(transparent)]
    Site(#[from] SiteError),
    #[error("a trouble needs `{0}`")]
    Needs(&'static str),
    #[error("{key}: {value} is not known, {known}")]
    Unknown { key: &'static str, value: String, known: &'static str },
}

/// Some of a day's troubles.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct DayVariation {
    name: String,
    #[serde(default)]
    trouble: Vec<Table>,
}

/// A day as its file has it (`docs/days.md`).
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DayFile {
    pub about: String,
    #[serde(default)]
    trouble: Vec<Table>,
    /// More days: this one with more troubles each.
    #[serde(default)]
    with: Vec<DayVariation>,
    /// A day for every class, which `class = "each"` stands for.
    #[serde(default)]
    each_class: bool,
    /// A day for every team, which gets `team_factor` times its usual part.
    #[serde(default)]
    each_team: bool,
    #[serde(default = "one")]
    team_factor: f64,
    /// Part of every class's jobs that their users cancel; None: as the site has it.
    cancelled: Option<f64>,
    /// Teams' guarantees and limits as a multiple of the site's.
    limits: Option<f64>,
    /// Seconds in which a machine boots.
    boot_s: Option<f64>,
    /// Arrays have one task and come so many a second in all; other classes as before.
    single_tasks_per_s: Option<f64>,
}

fn one() -> f64 {
    1.0
}

fn above_0(key: &'static str, value: Option<f64>) -> Result<Option<f64>, DayError> {
    match value {
        Some(x) if !(x > 0.0 && x.is_finite()) => {
            Err(DayError::Unknown { key, value: x.to_string(), known: "say a number above 0" })
        }
        _ => Ok(value),
    }
}

/// A day of a site: its name, the site it is played on and the file's text.
#[derive(Debug)]
pub struct GeneratedDay {
    pub name: String,
    pub site: Site,
    pub text: String,
}

impl DayFile {
    pub fn parse(text: &str) -> Result<Self, DayError> {
        Ok(toml::from_str(text)?)
    }

    /// The site as the day has it.
    fn site(&self, site: &Site) -> Result<Site, DayError> {
        let mut site = site.clone();
        if let Some(x) = above_0("limits", self.limits)? {
            site.scale_limits(x);
        }
        if let Some(x) = above_0("boot_s", self.boot_s)? {
            site.boot_within(x);
        }
        if let Some(x) = above_0("single_tasks_per_s", self.single_tasks_per_s)? {
            site.single_tasks(x);
        }
        Ok(site)
    }

    /// All days that it stands for on `site`. Two sites of which one has twice the
    /// machines, zones or time get the same day.
    pub fn make(&self, name: &str, site: &Site) -> Result<Vec<GeneratedDay>, DayError> {
        if let Some(part) = self.cancelled.filter(|c| !(0.0..=1.0).contains(c)) {
            let known = "say a part from 0.0 to 1.0";
            return Err(DayError::Unknown { key: "cancelled", value: part.to_string(), known });
        }
        let site = &self.site(site)?;
        let plain = DayVariation { name: String::new(), trouble: Vec::new() };
        let mut made = Vec::new();
        for with in std::iter::once(&plain).chain(&self.with) {
            let name = if with.name.is_empty() { name.to_string() } else { format!("{name}-{}", with.name) };
            let troubles: Vec<&Table> = self.trouble.iter().chain(&with.trouble).collect();
            let mut add = |suffix: String, site: Site, class: Option<&str>| -> Result<(), DayError> {
                let text = written(&format!("{name}{suffix}"), &troubles, &site, class, self.cancelled)?;
                made.push(GeneratedDay { name: format!("{name}{suffix}"), site, text });
                Ok(())
            };
            if self.each_class {
                for (n, class) in site.classes().iter().enumerate() {
                    add(format!("-{n}"), site.clone(), Some(class))?;
                }
            } else if self.each_team {
                // With a single team there is nobody to flood.
                for (n, team) in site.teams().iter().enumerate().filter(|_| site.teams().len() > 1) {
                    add(format!("-{n}"), site.with_more_of(team, self.team_factor), None)?;
                }
            } else {
                add(String::new(), site.clone(), None)?;
            }
        }
        Ok(made)
    }
}

/// The bench's own file of a day.
fn written(
    name: &str,
    troubles: &[&Table],
    site: &Site,
    class: Option<&str>,
    cancelled: Option<f64>,
) -> Result<String, DayError> {
    let mut faults = Vec::new();
    for t in troubles {
        faults.extend(faults_of(t, site, class)?.into_iter().map(Value::Table));
    }
    let mut day = Table::new();
    day.insert("name".into(), name.into());
    day.insert("slot".into(), "scale".into());
    day.insert("light".into(), false.into());
    day.insert("seed".into(), Value::Integer(1));
    day.insert("faults".into(), Value::Array(faults));
    if let Some(part) = cancelled {
        let of = |class: &String| {
            let name = ("name".to_string(), Value::from(class.as_str()));
            Value::Table([name, ("cancelled".to_string(), part.into())].into_iter().collect())
        };
        day.insert("jobs".into(), Value::Array(site.classes().iter().map(of).collect()));
    }
    Ok(day.to_string())
}

/// A trouble at its times, with the site's names and amounts.
fn faults_of(trouble: &Table, site: &Site, class: Option<&str>) -> Result<Vec<Table>, DayError> {
    let mut fault = trouble.clone();
    let lease_s = site.lease_s()?;
    let mut take = |key: &'static str| fault.remove(key);
    let at = take("at").and_then(|v| v.as_float()).ok_or(DayError::Needs("at"))?;
    let times = take("times").and_then(|v| v.as_integer()).unwrap_or(1);
    let every = take("every_leases").and_then(|v| v.as_float()).unwrap_or(0.0);
    let length = take("for_leases").and_then(|v| v.as_float());
    let (nodes, machines) = (take("nodes"), take("machines").and_then(|v| v.as_float()));
    let (zone, asked) = (take("zone"), take("class"));
    if let Some(leases) = length {
        fault.insert("for_s".into(), Value::Float(tenths(leases * lease_s)));
    }
    if let Some(part) = machines {
        fault.insert("count".into(), Value::Integer((site.machines() * part).round() as i64));
    }
    if let Some(v) = nodes {
        let all = site.nodes()? as i64;
        let count = match v.as_str() {
            Some("one") => 1,
            Some("all but one") => (all - 1).max(1),
            Some("all") => all,
            _ => {
                let known = "say one, all but one or all";
                return Err(DayError::Unknown { key: "nodes", value: v.to_string(), known });
            }
        };
        fault.insert("count".into(), Value::Integer(count));
    }
    if let Some(v) = zone {
        fault.insert("zone".into(), nth("zone", &v, &site.zones())?.into());
    }
    if let Some(v) = asked {
        let name = match (v.as_str(), class) {
            (Some("each"), Some(class)) => class.to_string(),
            (Some("most urgent"), _) => site.most_urgent().ok_or(SiteError::Lacks("jobs"))?,
            _ => nth("class", &v, &site.classes())?,
        };
        fault.insert("class".into(), name.into());
    }
    let (begin, end) = site.span()?;
    let first = begin + (end - begin) * at;
    let at_s = |n: i64| Value::Float(tenths(first + n as f64 * every * lease_s));
    Ok((0..times)
        .map(|n| {
            let mut one = fault.clone();
            one.insert("at_s".into(), at_s(n));
            one
        })
        .collect())
}

fn tenths(s: f64) -> f64 {
    (s * 10.0).round() / 10.0
}

/// A name by its number, from 0 on; a number beyond the last begins anew.
fn nth(key: &'static str, v: &Value, names: &[String]) -> Result<String, DayError> {
    let last = names.len().checked_sub(1).ok_or(SiteError::Lacks(key))?;
    let n = match (v.as_integer(), v.as_str()) {
        (Some(n), _) if n >= 0 => n as usize % names.len(),
        (_, Some("last")) => last,
        _ => {
            let known = "say a number from 0 on, or last (classes: most urgent, or each with each_class)";
            return Err(DayError::Unknown { key, value: v.to_string(), known });
        }
    };
    Ok(names[n].clone())
}
