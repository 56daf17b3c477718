//! Days of troubles without names and amounts, which come from a site file.

mod trouble;

use crate::site::{Site, SiteError};
use serde::Deserialize;
use thiserror::Error;
use toml::{Table, Value};

/// Why a day cannot be made.
#[derive(Debug, Error)]
pub enum DayError {
    /// The file is not the TOML of a day.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// The site lacks something that the day needs.
    #[error(transparent)]
    Site(#[from] SiteError),
    /// A trouble lacks a key.
    #[error("a trouble needs `{0}`")]
    Needs(&'static str),
    /// A key has a value that is not allowed.
    #[error("{key}: {value} is not known, {known}")]
    Unknown {
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// What is allowed.
        known: &'static str,
    },
}

/// More troubles for a day.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct DayVariation {
    name: String,
    #[serde(default, rename = "trouble")]
    troubles: Vec<Table>,
}

/// A day as its file has it (`docs/days.md`).
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DayFile {
    /// What the day is for.
    pub about: String,
    #[serde(default, rename = "trouble")]
    troubles: Vec<Table>,
    /// More days: this one with more troubles each.
    #[serde(default, rename = "with")]
    variations: Vec<DayVariation>,
    /// A day for every class, which `class = "each"` stands for.
    #[serde(default)]
    each_class: bool,
    /// A day for every team, which gets `team_factor` times its usual part.
    #[serde(default)]
    each_team: bool,
    #[serde(default = "default_team_factor")]
    team_factor: f64,
    /// Part of every class's jobs that their users cancel; None: as the site has it.
    cancelled: Option<f64>,
    /// Teams' guarantees and limits as a multiple of the site's.
    limits: Option<f64>,
    /// Seconds in which a machine boots.
    boot_s: Option<f64>,
    /// Arrays have one task each and come at this rate in all; other classes as before.
    single_tasks_per_s: Option<f64>,
}

fn default_team_factor() -> f64 {
    1.0
}

/// A day of a site.
#[derive(Debug)]
pub struct GeneratedDay {
    /// The day's name.
    pub name: String,
    /// The site on which it is run.
    pub site: Site,
    /// The bench's own file of the day.
    pub text: String,
}

fn require_positive(key: &'static str, value: Option<f64>) -> Result<Option<f64>, DayError> {
    match value {
        Some(number) if !(number > 0.0 && number.is_finite()) => {
            Err(DayError::Unknown { key, value: number.to_string(), known: "say a number above 0" })
        }
        _ => Ok(value),
    }
}

impl DayFile {
    /// Parses a day's file.
    ///
    /// # Errors
    ///
    /// If `text` is not the TOML of a day.
    pub fn parse(text: &str) -> Result<Self, DayError> {
        Ok(toml::from_str(text)?)
    }

    /// The site as the day changes it.
    fn changed_site(&self, site: &Site) -> Result<Site, DayError> {
        let mut site = site.clone();
        if let Some(factor) = require_positive("limits", self.limits)? {
            site.scale_limits(factor);
        }
        if let Some(boot_s) = require_positive("boot_s", self.boot_s)? {
            site.set_boot_time(boot_s);
        }
        if let Some(tasks_per_s) = require_positive("single_tasks_per_s", self.single_tasks_per_s)? {
            site.make_arrays_single_tasks(tasks_per_s);
        }
        Ok(site)
    }

    fn check_cancelled(&self) -> Result<(), DayError> {
        match self.cancelled {
            Some(part) if !(0.0..=1.0).contains(&part) => Err(DayError::Unknown {
                key: "cancelled",
                value: part.to_string(),
                known: "say a part from 0.0 to 1.0",
            }),
            _ => Ok(()),
        }
    }

    /// All days that the file stands for on `site`. Two sites of which one has twice the
    /// machines, zones or time get the same day.
    ///
    /// # Errors
    ///
    /// If a value is not allowed, or the site lacks what the day needs.
    pub fn make(&self, name: &str, site: &Site) -> Result<Vec<GeneratedDay>, DayError> {
        self.check_cancelled()?;
        let site = self.changed_site(site)?;
        let mut days = self.make_variation(name, &self.troubles.iter().collect::<Vec<_>>(), &site)?;
        for variation in &self.variations {
            let name = if variation.name.is_empty() {
                name.to_string()
            } else {
                format!("{name}-{}", variation.name)
            };
            let troubles: Vec<&Table> = self.troubles.iter().chain(&variation.troubles).collect();
            days.extend(self.make_variation(&name, &troubles, &site)?);
        }
        Ok(days)
    }

    /// One day, or one for each class or team.
    fn make_variation(
        &self,
        name: &str,
        troubles: &[&Table],
        site: &Site,
    ) -> Result<Vec<GeneratedDay>, DayError> {
        let make_day = |name: String, site: Site, class: Option<&str>| {
            let text = bench_file(&name, troubles, &site, class, self.cancelled)?;
            Ok(GeneratedDay { name, site, text })
        };
        if self.each_class {
            let classes = site.classes();
            let days = classes
                .iter()
                .enumerate()
                .map(|(index, class)| make_day(format!("{name}-{index}"), site.clone(), Some(class)));
            return days.collect();
        }
        if self.each_team {
            let teams = site.teams();
            // A single team has nobody whose work it could crowd out.
            if teams.len() <= 1 {
                return Ok(Vec::new());
            }
            let days = teams.iter().enumerate().map(|(index, team)| {
                let site = site.with_more_jobs_of(team, self.team_factor);
                make_day(format!("{name}-{index}"), site, None)
            });
            return days.collect();
        }
        Ok(vec![make_day(name.to_string(), site.clone(), None)?])
    }
}

/// The bench's own file of a day.
fn bench_file(
    name: &str,
    troubles: &[&Table],
    site: &Site,
    class: Option<&str>,
    cancelled: Option<f64>,
) -> Result<String, DayError> {
    let mut faults = Vec::new();
    for trouble in troubles {
        faults.extend(trouble::faults(trouble, site, class)?.into_iter().map(Value::Table));
    }
    let mut day = Table::new();
    day.insert("name".into(), name.into());
    day.insert("slot".into(), "scale".into());
    day.insert("light".into(), false.into());
    day.insert("seed".into(), Value::Integer(1));
    day.insert("faults".into(), Value::Array(faults));
    if let Some(part) = cancelled {
        let classes = site.classes();
        let jobs = classes.iter().map(|class| cancelled_jobs(class, part)).collect();
        day.insert("jobs".into(), Value::Array(jobs));
    }
    Ok(day.to_string())
}

fn cancelled_jobs(class: &str, part: f64) -> Value {
    let mut jobs = Table::new();
    jobs.insert("name".into(), class.into());
    jobs.insert("cancelled".into(), part.into());
    Value::Table(jobs)
}
