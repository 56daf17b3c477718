//! Site file of a deployment: access to the values that days need, and its variants.

use thiserror::Error;
use toml::{Table, Value};

/// Priorities, from the most to the least urgent.
const PRIORITIES: [&str; 6] = ["prod", "high", "normal", "standard", "low", "idle"];
/// Keys of a team's guaranteed and maximum resources.
const QUOTA_KEYS: [&str; 4] = ["gpus", "gpus_max", "cpus", "cpus_max"];

/// Reason why a site file cannot be used.
#[derive(Debug, Error)]
pub enum SiteError {
    /// The file is not TOML.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// A key is missing.
    #[error("no `{0}` in the site file")]
    MissingKey(&'static str),
}

/// Changes to a site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Variant {
    /// Factor for machines, jobs and teams' resources; controllers and the services that
    /// they use are unchanged.
    pub scale: f64,
    /// Seconds after which a process that ended is restarted; None for the site's delay.
    pub restart_delay_s: Option<f64>,
}

impl Variant {
    /// Returns the variant's name in file names and tables.
    pub fn name(&self) -> String {
        let delay = self.restart_delay_s.map_or_else(|| "own".to_string(), |seconds| seconds.to_string());
        format!("x{} back {delay}", self.scale)
    }
}

/// Resources that a controller may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResourceLimits {
    /// Memory in MB.
    pub memory_mb: f64,
    /// Number of open connections.
    pub connections: f64,
}

/// Part of a day whose jobs are counted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimeSpan {
    /// Start of the span, in seconds.
    pub begin_s: f64,
    /// End of the span, in seconds.
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

/// Multiplies an amount and rounds it. Does nothing if the table has no such key.
fn scale_amount(table: &mut Table, key: &str, factor: f64) {
    if let Some(amount) = table.get(key).and_then(number) {
        table.insert(key.into(), Value::Float((amount * factor).round()));
    }
}

/// Like [`scale_amount`], for integers.
fn scale_count(table: &mut Table, key: &str, factor: f64) {
    if let Some(count) = table.get(key).and_then(number) {
        table.insert(key.into(), Value::Integer((count * factor).round() as i64));
    }
}

/// Like [`scale_amount`], without rounding.
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
    /// Fails if `text` is not TOML.
    pub fn parse(text: &str) -> Result<Self, SiteError> {
        Ok(Site { table: text.parse()? })
    }

    /// Returns the site file as TOML.
    pub fn text(&self) -> String {
        self.table.to_string()
    }

    fn number(&self, section: Option<&str>, key: &'static str) -> Result<f64, SiteError> {
        let table = match section {
            Some(section) => self.table.get(section).and_then(Value::as_table),
            None => Some(&self.table),
        };
        table.and_then(|table| table.get(key)).and_then(number).ok_or(SiteError::MissingKey(key))
    }

    /// Returns the tables of an array of tables; none if the array does not exist.
    fn tables(&self, key: &str) -> impl Iterator<Item = &Table> {
        self.table.get(key).and_then(Value::as_array).into_iter().flatten().filter_map(Value::as_table)
    }

    fn names(&self, key: &str) -> Vec<String> {
        let names = self.tables(key).filter_map(|table| table.get("name")?.as_str());
        names.map(String::from).collect()
    }

    /// Returns the name of the site.
    ///
    /// # Errors
    ///
    /// Fails if the file has no name.
    pub fn name(&self) -> Result<&str, SiteError> {
        self.table.get("name").and_then(Value::as_str).ok_or(SiteError::MissingKey("name"))
    }

    /// Returns the counted part of a day: from the end of the warm-up until no more jobs are
    /// submitted.
    ///
    /// # Errors
    ///
    /// Fails if the file lacks one of these times.
    pub fn counted_span(&self) -> Result<TimeSpan, SiteError> {
        let begin_s = self.number(None, "warmup_s")?;
        let end_s = self.number(None, "duration_s")?;
        Ok(TimeSpan { begin_s, end_s })
    }

    /// Returns the duration of the workers' leases, in seconds.
    ///
    /// # Errors
    ///
    /// Fails if the file lacks it.
    pub fn lease_s(&self) -> Result<f64, SiteError> {
        self.number(Some("workers"), "lease_s")
    }

    /// Returns the number of controllers.
    ///
    /// # Errors
    ///
    /// Fails if the file lacks it.
    pub fn node_count(&self) -> Result<usize, SiteError> {
        Ok(self.number(Some("nodes"), "count")? as usize)
    }

    /// Returns the resources that a controller may use.
    ///
    /// # Errors
    ///
    /// Fails if the file lacks one of the limits.
    pub fn resource_limits(&self) -> Result<ResourceLimits, SiteError> {
        let memory_mb = self.number(Some("nodes"), "memory_mb")?;
        let connections = self.number(Some("nodes"), "max_connections")?;
        Ok(ResourceLimits { memory_mb, connections })
    }

    /// Returns the zones that have capacity, each once, in the order of the file.
    pub fn zones(&self) -> Vec<String> {
        let mut zones: Vec<String> = Vec::new();
        for zone in self.tables("capacity").filter_map(|table| table.get("zone")?.as_str()) {
            if !zones.iter().any(|known| known == zone) {
                zones.push(zone.to_string());
            }
        }
        zones
    }

    /// Returns the classes of jobs, in the order of the file.
    pub fn classes(&self) -> Vec<String> {
        self.names("jobs")
    }

    /// Returns the class with the most urgent priority, the first one if there are several.
    pub fn most_urgent_class(&self) -> Option<String> {
        let rank = |jobs: &&Table| {
            let priority = jobs.get("priority").and_then(Value::as_str).unwrap_or_default();
            PRIORITIES.iter().position(|known| *known == priority).unwrap_or(PRIORITIES.len())
        };
        self.tables("jobs").min_by_key(rank)?.get("name")?.as_str().map(String::from)
    }

    /// Returns the teams, in the order of the file.
    pub fn teams(&self) -> Vec<String> {
        self.names("teams")
    }

    /// Returns the maximum number of machines of all types together.
    pub fn max_machines(&self) -> f64 {
        let count = |table: &Table, key| table.get(key).and_then(number).unwrap_or(0.0);
        self.tables("capacity").map(|table| count(table, "count") + count(table, "spot")).sum()
    }

    fn change_each(&mut self, key: &str, change: impl Fn(&mut Table)) {
        let tables = self.table.get_mut(key).and_then(Value::as_array_mut);
        tables.into_iter().flatten().filter_map(Value::as_table_mut).for_each(change);
    }

    /// Returns the site with the changes of `variant`.
    pub fn variant(&self, variant: Variant) -> Site {
        let mut site = self.clone();
        let factor = variant.scale;
        // `spot` is a count in `capacity`, but a flag in `machines`, where it is unchanged.
        for section in ["capacity", "machines"] {
            site.change_each(section, |table| {
                scale_count(table, "count", factor);
                scale_count(table, "spot", factor);
            });
        }
        site.scale_quotas(factor);
        site.change_each("jobs", |jobs| {
            scale_count(jobs, "initial", factor);
            if let Some(arrivals) = jobs.get_mut("arrivals").and_then(Value::as_table_mut) {
                scale_rate(arrivals, "rate", factor);
            }
        });
        if let Some(delay_s) = variant.restart_delay_s {
            site.set_restart_delay(delay_s);
        }
        site
    }

    fn set_restart_delay(&mut self, delay_s: f64) {
        if let Some(nodes) = self.table.get_mut("nodes").and_then(Value::as_table_mut) {
            nodes.insert("restart_delay_s".into(), Value::Float(delay_s));
        }
    }

    /// Multiplies the teams' guaranteed and maximum resources.
    pub fn scale_quotas(&mut self, factor: f64) {
        self.change_each("teams", |team| {
            for key in QUOTA_KEYS {
                scale_amount(team, key, factor);
            }
        });
    }

    /// Sets the boot time of all machine types to `boot_s` seconds.
    pub fn set_boot_time(&mut self, boot_s: f64) {
        self.change_each("machine_types", |machine_type| {
            machine_type.insert("boot_s".into(), Value::Float(boot_s));
        });
    }

    /// Reduces arrays to one task each, and sets their total arrival rate to `tasks_per_s`.
    pub fn set_single_task_arrays(&mut self, tasks_per_s: f64) {
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

    /// Returns the site with the job weight of one team multiplied by `factor`.
    pub fn with_scaled_team_weight(&self, team_name: &str, factor: f64) -> Site {
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
