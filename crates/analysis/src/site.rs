//! A deployment's site file: what a day needs to know of it, and its variants.

use thiserror::Error;
use toml::{Table, Value};

/// Priorities, the most urgent first.
const PRIORITIES: [&str; 6] = ["prod", "high", "normal", "standard", "low", "idle"];
/// Keys of a team's guarantees and limits.
const QUOTA_KEYS: [&str; 4] = ["gpus", "gpus_max", "cpus", "cpus_max"];

/// Why a site file cannot be used.
#[derive(Debug, Error)]
pub enum SiteError {
    /// The file is no TOML.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// A key is missing.
    #[error("no {0} in the site file")]
    Lacks(&'static str),
}

/// What a variant changes of a site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Variant {
    /// Machines, jobs and teams' amounts as a multiple of the site's; controllers and
    /// their services as they are.
    pub size: f64,
    /// Seconds after which a process that ended is restarted; None: the site's.
    pub back_s: Option<f64>,
}

impl Variant {
    /// A name for files and tables.
    pub fn name(&self) -> String {
        let back = self.back_s.map_or_else(|| "own".to_string(), |seconds| seconds.to_string());
        format!("x{} back {back}", self.size)
    }
}

/// What a controller may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Memory, in MB.
    pub memory_mb: f64,
    /// Open connections.
    pub connections: f64,
}

/// The part of a day that counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimeSpan {
    /// When counting begins, in seconds.
    pub begin_s: f64,
    /// When no more jobs come, in seconds.
    pub end_s: f64,
}

/// A site file.
#[derive(Debug, Clone)]
pub struct Site {
    table: Table,
}

fn number(value: &Value) -> Option<f64> {
    value.as_float().or_else(|| value.as_integer().map(|integer| integer as f64))
}

/// Multiplies an amount; a table without it stays as it is.
fn scale_amount(table: &mut Table, key: &str, factor: f64) {
    if let Some(amount) = table.get(key).and_then(number) {
        table.insert(key.into(), Value::Float((amount * factor).round()));
    }
}

/// As [`scale_amount`], for whole numbers.
fn scale_count(table: &mut Table, key: &str, factor: f64) {
    if let Some(count) = table.get(key).and_then(number) {
        table.insert(key.into(), Value::Integer((count * factor).round() as i64));
    }
}

/// As [`scale_amount`], without rounding.
fn scale_rate(table: &mut Table, key: &str, factor: f64) {
    if let Some(rate) = table.get(key).and_then(number) {
        table.insert(key.into(), Value::Float(rate * factor));
    }
}

fn is_array(jobs: &Table) -> bool {
    jobs.get("kind").and_then(Value::as_str) == Some("array")
}

impl Site {
    /// Parses a site file.
    ///
    /// # Errors
    ///
    /// If `text` is no TOML.
    pub fn parse(text: &str) -> Result<Self, SiteError> {
        Ok(Site { table: text.parse()? })
    }

    /// The file's text.
    pub fn text(&self) -> String {
        self.table.to_string()
    }

    fn number(&self, section: Option<&str>, key: &'static str) -> Result<f64, SiteError> {
        let table = match section {
            Some(section) => self.table.get(section).and_then(Value::as_table),
            None => Some(&self.table),
        };
        table.and_then(|table| table.get(key)).and_then(number).ok_or(SiteError::Lacks(key))
    }

    /// The tables of an array, empty if there is none.
    fn tables(&self, key: &str) -> impl Iterator<Item = &Table> {
        self.table.get(key).and_then(Value::as_array).into_iter().flatten().filter_map(Value::as_table)
    }

    fn names(&self, key: &str) -> Vec<String> {
        let names = self.tables(key).filter_map(|table| table.get("name")?.as_str());
        names.map(String::from).collect()
    }

    /// The site's name.
    ///
    /// # Errors
    ///
    /// If the file has none.
    pub fn name(&self) -> Result<&str, SiteError> {
        self.table.get("name").and_then(Value::as_str).ok_or(SiteError::Lacks("name"))
    }

    /// The part of a day that counts: from the end of the warm-up until no more jobs come.
    ///
    /// # Errors
    ///
    /// If the file lacks one of these.
    pub fn counted_span(&self) -> Result<TimeSpan, SiteError> {
        let begin_s = self.number(None, "warmup_s")?;
        let end_s = self.number(None, "duration_s")?;
        Ok(TimeSpan { begin_s, end_s })
    }

    /// The duration of the workers' leases, in seconds.
    ///
    /// # Errors
    ///
    /// If the file lacks it.
    pub fn lease_s(&self) -> Result<f64, SiteError> {
        self.number(Some("workers"), "lease_s")
    }

    /// The number of controllers.
    ///
    /// # Errors
    ///
    /// If the file lacks it.
    pub fn nodes(&self) -> Result<usize, SiteError> {
        Ok(self.number(Some("nodes"), "count")? as usize)
    }

    /// What a controller may use.
    ///
    /// # Errors
    ///
    /// If the file lacks it.
    pub fn allowance(&self) -> Result<Allowance, SiteError> {
        let memory_mb = self.number(Some("nodes"), "memory_mb")?;
        let connections = self.number(Some("nodes"), "max_connections")?;
        Ok(Allowance { memory_mb, connections })
    }

    /// The zones that have capacity, each once, in the file's order.
    pub fn zones(&self) -> Vec<String> {
        let mut zones: Vec<String> = Vec::new();
        for zone in self.tables("capacity").filter_map(|table| table.get("zone")?.as_str()) {
            if !zones.iter().any(|known| known == zone) {
                zones.push(zone.to_string());
            }
        }
        zones
    }

    /// The classes of jobs, in the file's order.
    pub fn classes(&self) -> Vec<String> {
        self.names("jobs")
    }

    /// The class of the most urgent priority, the first of several.
    pub fn most_urgent_class(&self) -> Option<String> {
        let rank = |jobs: &&Table| {
            let priority = jobs.get("priority").and_then(Value::as_str).unwrap_or_default();
            PRIORITIES.iter().position(|known| *known == priority).unwrap_or(PRIORITIES.len())
        };
        self.tables("jobs").min_by_key(rank)?.get("name")?.as_str().map(String::from)
    }

    /// The teams, in the file's order.
    pub fn teams(&self) -> Vec<String> {
        self.names("teams")
    }

    /// The most machines that there may be, of all types.
    pub fn machines(&self) -> f64 {
        let count = |table: &Table, key| table.get(key).and_then(number).unwrap_or(0.0);
        self.tables("capacity").map(|table| count(table, "count") + count(table, "spot")).sum()
    }

    fn change_each(&mut self, key: &str, change: impl Fn(&mut Table)) {
        let tables = self.table.get_mut(key).and_then(Value::as_array_mut);
        tables.into_iter().flatten().filter_map(Value::as_table_mut).for_each(change);
    }

    /// The site with the changes of `variant`.
    pub fn variant(&self, variant: Variant) -> Site {
        let mut site = self.clone();
        let factor = variant.size;
        // `spot` is a count in `capacity` and a flag in `machines`, which stays.
        for section in ["capacity", "machines"] {
            site.change_each(section, |table| {
                scale_count(table, "count", factor);
                scale_count(table, "spot", factor);
            });
        }
        site.scale_limits(factor);
        site.change_each("jobs", |jobs| {
            scale_count(jobs, "initial", factor);
            if let Some(arrivals) = jobs.get_mut("arrivals").and_then(Value::as_table_mut) {
                scale_rate(arrivals, "rate", factor);
            }
        });
        if let Some(back_s) = variant.back_s {
            site.set_restart_delay(back_s);
        }
        site
    }

    fn set_restart_delay(&mut self, delay_s: f64) {
        if let Some(nodes) = self.table.get_mut("nodes").and_then(Value::as_table_mut) {
            nodes.insert("restart_delay_s".into(), Value::Float(delay_s));
        }
    }

    /// Multiplies teams' guarantees and limits.
    pub fn scale_limits(&mut self, factor: f64) {
        self.change_each("teams", |team| {
            for key in QUOTA_KEYS {
                scale_amount(team, key, factor);
            }
        });
    }

    /// Makes machines of all types boot in about `boot_s` seconds.
    pub fn set_boot_time(&mut self, boot_s: f64) {
        self.change_each("machine_types", |machine_type| {
            machine_type.insert("boot_s".into(), Value::Float(boot_s));
        });
    }

    /// Makes arrays have one task each, and come at `tasks_per_s` in all.
    pub fn make_arrays_single_tasks(&mut self, tasks_per_s: f64) {
        let arrays = self.tables("jobs").filter(|jobs| is_array(jobs)).count().max(1);
        self.change_each("jobs", |jobs| {
            if !is_array(jobs) {
                return;
            }
            let quantiles = ["median", "p95", "max"];
            let one_task: Table =
                quantiles.map(|key| (key.to_string(), Value::Float(1.0))).into_iter().collect();
            jobs.insert("tasks".into(), Value::Table(one_task));
            if let Some(arrivals) = jobs.get_mut("arrivals").and_then(Value::as_table_mut) {
                arrivals.insert("rate".into(), Value::Float(tasks_per_s / arrays as f64));
            }
        });
    }

    /// The site with `factor` times the usual part of the jobs for one team.
    pub fn with_more_jobs_of(&self, team_name: &str, factor: f64) -> Site {
        let mut site = self.clone();
        site.change_each("teams", |team| {
            if team.get("name").and_then(Value::as_str) == Some(team_name) {
                let weight = team.get("weight").and_then(number).unwrap_or(1.0);
                team.insert("weight".into(), Value::Float(weight * factor));
            }
        });
        site
    }
}
