//! Day files: days of faults that are independent of a site, and are generated for one. Names
//! and amounts come from the site file.

mod fault_templates;

use crate::site::{Site, SiteError};
use serde::Deserialize;
use thiserror::Error;
use toml::{Table, Value};

/// Reason why a day cannot be generated.
#[derive(Debug, Error)]
pub enum DayError {
    /// The file is not TOML, or is not a day file.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// The site lacks a value that the day needs.
    #[error(transparent)]
    Site(#[from] SiteError),
    /// A fault template lacks a key.
    #[error("missing key `{0}` in a `trouble` table")]
    MissingKey(&'static str),
    /// A key has an invalid value.
    #[error("invalid {key} {value}: expected {expected}")]
    InvalidValue {
        /// The key.
        key: &'static str,
        /// The invalid value.
        value: String,
        /// Description of the valid values.
        expected: &'static str,
    },
}

/// Variation of a day with additional faults.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct DayVariation {
    name: String,
    #[serde(default, rename = "trouble")]
    fault_templates: Vec<Table>,
}

/// Contents of a day file (`docs/days.md`).
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DayFile {
    /// Purpose of the day.
    pub about: String,
    #[serde(default, rename = "trouble")]
    fault_templates: Vec<Table>,
    /// Further days, each with additional faults.
    #[serde(default, rename = "with")]
    variations: Vec<DayVariation>,
    /// Whether to generate one day for every class; `class = "each"` in a fault template stands
    /// for the class of the day.
    #[serde(default)]
    each_class: bool,
    /// Whether to generate one day for every team, whose job weight is multiplied by
    /// `team_factor`.
    #[serde(default)]
    each_team: bool,
    #[serde(default = "default_team_factor")]
    team_factor: f64,
    /// Share of every class's jobs that their users cancel; None for the site's shares.
    #[serde(rename = "cancelled")]
    cancelled_share: Option<f64>,
    /// Factor for the teams' guaranteed and maximum resources.
    #[serde(rename = "limits")]
    quota_factor: Option<f64>,
    /// Boot time of all machine types, in seconds.
    boot_s: Option<f64>,
    /// Total arrival rate of arrays, which have one task each; other classes are unchanged.
    /// None to leave arrays unchanged.
    single_tasks_per_s: Option<f64>,
}

fn default_team_factor() -> f64 {
    1.0
}

/// A day generated for a site.
#[derive(Debug)]
pub struct GeneratedDay {
    /// Name of the day.
    pub name: String,
    /// Site on which the day is run.
    pub site: Site,
    /// Text of the day's file for the bench.
    pub bench_file: String,
}

fn require_positive(key: &'static str, value: Option<f64>) -> Result<Option<f64>, DayError> {
    match value {
        Some(number) if !(number > 0.0 && number.is_finite()) => {
            Err(DayError::InvalidValue { key, value: number.to_string(), expected: "a number above 0" })
        }
        _ => Ok(value),
    }
}

impl DayFile {
    /// Parses a day file.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not the TOML of a day file.
    pub fn parse(text: &str) -> Result<Self, DayError> {
        Ok(toml::from_str(text)?)
    }

    /// Returns the site with the changes of the day.
    fn changed_site(&self, site: &Site) -> Result<Site, DayError> {
        let mut site = site.clone();
        if let Some(factor) = require_positive("limits", self.quota_factor)? {
            site.scale_quotas(factor);
        }
        if let Some(boot_s) = require_positive("boot_s", self.boot_s)? {
            site.set_boot_time(boot_s);
        }
        if let Some(tasks_per_s) = require_positive("single_tasks_per_s", self.single_tasks_per_s)? {
            site.set_single_task_arrays(tasks_per_s);
        }
        Ok(site)
    }

    fn check_cancelled_share(&self) -> Result<(), DayError> {
        match self.cancelled_share {
            Some(share) if !(0.0..=1.0).contains(&share) => Err(DayError::InvalidValue {
                key: "cancelled",
                value: share.to_string(),
                expected: "a number from 0.0 to 1.0",
            }),
            _ => Ok(()),
        }
    }

    /// Generates all days of the file for `site`. Amounts and times are relative to the site, so
    /// two sites of which one has twice the machines, zones or time get the same days.
    ///
    /// # Errors
    ///
    /// Fails if a value is invalid, or the site lacks a value that the day needs.
    pub fn generate(&self, name: &str, site: &Site) -> Result<Vec<GeneratedDay>, DayError> {
        self.check_cancelled_share()?;
        let site = self.changed_site(site)?;
        let mut days =
            self.generate_variation(name, &self.fault_templates.iter().collect::<Vec<_>>(), &site)?;
        for variation in &self.variations {
            let name = if variation.name.is_empty() {
                name.to_string()
            } else {
                format!("{name}-{}", variation.name)
            };
            let fault_templates: Vec<&Table> =
                self.fault_templates.iter().chain(&variation.fault_templates).collect();
            days.extend(self.generate_variation(&name, &fault_templates, &site)?);
        }
        Ok(days)
    }

    /// Generates one day, or one for each class or team.
    fn generate_variation(
        &self,
        name: &str,
        fault_templates: &[&Table],
        site: &Site,
    ) -> Result<Vec<GeneratedDay>, DayError> {
        let generate_day = |name: String, site: Site, class: Option<&str>| {
            let bench_file = bench_file(&name, fault_templates, &site, class, self.cancelled_share)?;
            Ok(GeneratedDay { name, site, bench_file })
        };
        if self.each_class {
            let classes = site.classes();
            let days = classes
                .iter()
                .enumerate()
                .map(|(index, class)| generate_day(format!("{name}-{index}"), site.clone(), Some(class)));
            return days.collect();
        }
        if self.each_team {
            let teams = site.teams();
            // A single team has no other teams whose jobs it could displace.
            if teams.len() <= 1 {
                return Ok(Vec::new());
            }
            let days = teams.iter().enumerate().map(|(index, team)| {
                let site = site.with_scaled_team_weight(team, self.team_factor);
                generate_day(format!("{name}-{index}"), site, None)
            });
            return days.collect();
        }
        Ok(vec![generate_day(name.to_string(), site.clone(), None)?])
    }
}

/// Returns the text of the file that describes a day to the bench.
fn bench_file(
    name: &str,
    fault_templates: &[&Table],
    site: &Site,
    class: Option<&str>,
    cancelled_share: Option<f64>,
) -> Result<String, DayError> {
    let mut faults = Vec::new();
    for template in fault_templates {
        faults.extend(fault_templates::faults(template, site, class)?.into_iter().map(Value::Table));
    }
    let mut day = Table::new();
    day.insert("name".into(), name.into());
    day.insert("slot".into(), "scale".into());
    day.insert("light".into(), false.into());
    day.insert("seed".into(), Value::Integer(1));
    day.insert("faults".into(), Value::Array(faults));
    if let Some(share) = cancelled_share {
        let classes = site.classes();
        let jobs = classes.iter().map(|class| cancelled_jobs(class, share)).collect();
        day.insert("jobs".into(), Value::Array(jobs));
    }
    Ok(day.to_string())
}

fn cancelled_jobs(class: &str, share: f64) -> Value {
    let mut jobs = Table::new();
    jobs.insert("name".into(), class.into());
    jobs.insert("cancelled".into(), share.into());
    Value::Table(jobs)
}
