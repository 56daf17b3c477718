//! A deployment's site file: what a day needs to know of it, and its variants.

use thiserror::Error;
use toml::{Table, Value};

#[derive(Debug, Error)]
pub enum SiteError {
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    #[error("no {0} in the site file")]
    Lacks(&'static str),
}

/// What a variant changes of a site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Variant {
    /// Machines, jobs and teams' amounts as a multiple of the site's; controllers and
    /// their services as they are.
    pub size: f64,
    /// Seconds after which a process that ended is started again; None: the site's.
    pub back_s: Option<f64>,
}

impl Variant {
    /// A name for files and tables.
    pub fn name(&self) -> String {
        let back = self.back_s.map_or_else(|| "own".to_string(), |s| s.to_string());
        format!("x{} back {back}", self.size)
    }
}

#[derive(Debug, Clone)]
pub struct Site {
    table: Table,
}

fn number(v: &Value) -> Option<f64> {
    v.as_float().or_else(|| v.as_integer().map(|i| i as f64))
}

impl Site {
    pub fn parse(text: &str) -> Result<Self, SiteError> {
        Ok(Site { table: text.parse()? })
    }

    pub fn text(&self) -> String {
        self.table.to_string()
    }

    fn number(&self, section: Option<&str>, key: &'static str) -> Result<f64, SiteError> {
        let table = match section {
            Some(s) => self.table.get(s).and_then(Value::as_table),
            None => Some(&self.table),
        };
        table.and_then(|t| t.get(key)).and_then(number).ok_or(SiteError::Lacks(key))
    }

    /// The tables of an array of them, empty if there is none.
    fn tables(&self, key: &str) -> impl Iterator<Item = &Table> {
        self.table.get(key).and_then(Value::as_array).into_iter().flatten().filter_map(Value::as_table)
    }

    fn names(&self, key: &str) -> Vec<String> {
        let names = self.tables(key).filter_map(|t| t.get("name")?.as_str());
        names.map(String::from).collect()
    }

    pub fn name(&self) -> Result<&str, SiteError> {
        self.table.get("name").and_then(Value::as_str).ok_or(SiteError::Lacks("name"))
    }

    /// When what the days count begins, and when no more jobs come, in seconds.
    pub fn span(&self) -> Result<(f64, f64), SiteError> {
        Ok((self.number(None, "warmup_s")?, self.number(None, "duration_s")?))
    }

    pub fn lease_s(&self) -> Result<f64, SiteError> {
        self.number(Some("workers"), "lease_s")
    }

    pub fn nodes(&self) -> Result<usize, SiteError> {
        Ok(self.number(Some("nodes"), "count")? as usize)
    }

    /// A controller's allowance of memory in MB and of connections.
    pub fn allowance(&self) -> Result<(f64, f64), SiteError> {
        Ok((self.number(Some("nodes"), "memory_mb")?, self.number(Some("nodes"), "max_connections")?))
    }

    pub fn zones(&self) -> Vec<String> {
        let mut zones: Vec<String> = Vec::new();
        for z in self.tables("capacity").filter_map(|t| t.get("zone")?.as_str()) {
            if !zones.iter().any(|known| known == z) {
                zones.push(z.to_string());
            }
        }
        zones
    }

    pub fn classes(&self) -> Vec<String> {
        self.names("jobs")
    }

    /// The class of the most urgent priority, the first of several.
    pub fn most_urgent(&self) -> Option<String> {
        let order = ["prod", "high", "normal", "standard", "low", "idle"];
        let rank = |t: &&Table| {
            let p = t.get("priority").and_then(Value::as_str).unwrap_or_default();
            order.iter().position(|o| *o == p).unwrap_or(order.len())
        };
        self.tables("jobs").min_by_key(rank)?.get("name")?.as_str().map(String::from)
    }

    pub fn teams(&self) -> Vec<String> {
        self.names("teams")
    }

    /// Machines that there may be, of all kinds.
    pub fn machines(&self) -> f64 {
        let of = |t: &Table, key| t.get(key).and_then(number).unwrap_or(0.0);
        self.tables("capacity").map(|t| of(t, "count") + of(t, "spot")).sum()
    }

    fn each(&mut self, key: &str, change: impl Fn(&mut Table)) {
        let all = self.table.get_mut(key).and_then(Value::as_array_mut);
        all.into_iter().flatten().filter_map(Value::as_table_mut).for_each(change);
    }

    /// The site with what `v` changes.
    pub fn variant(&self, v: Variant) -> Site {
        let mut site = self.clone();
        let scale = |t: &mut Table, key: &str, whole: bool| {
            if let Some(x) = t.get(key).and_then(number) {
                let more = x * v.size;
                t.insert(key.into(), Value::Float(if whole { more.round() } else { more }));
            }
        };
        let count = |t: &mut Table, key: &str| {
            if let Some(x) = t.get(key).and_then(number) {
                t.insert(key.into(), Value::Integer((x * v.size).round() as i64));
            }
        };
        // `spot` is an amount in one of them and a mark in the other, which stays.
        for key in ["capacity", "machines"] {
            site.each(key, |t| ["count", "spot"].iter().for_each(|k| count(t, k)));
        }
        site.each("teams", |t| {
            ["gpus", "gpus_max", "cpus", "cpus_max"].iter().for_each(|k| scale(t, k, true))
        });
        site.each("jobs", |t| {
            count(t, "initial");
            if let Some(arrivals) = t.get_mut("arrivals").and_then(Value::as_table_mut) {
                scale(arrivals, "rate", false);
            }
        });
        if let (Some(s), Some(nodes)) = (v.back_s, site.table.get_mut("nodes").and_then(Value::as_table_mut))
        {
            nodes.insert("restart_delay_s".into(), Value::Float(s));
        }
        site
    }

    /// Teams' guarantees and limits become `factor` times as large.
    pub fn scale_limits(&mut self, factor: f64) {
        self.each("teams", |t| {
            for key in ["gpus", "gpus_max", "cpus", "cpus_max"] {
                if let Some(x) = t.get(key).and_then(number) {
                    t.insert(key.into(), Value::Float((x * factor).round()));
                }
            }
        });
    }

    /// Machines of all types boot in about `boot_s` seconds.
    pub fn boot_within(&mut self, boot_s: f64) {
        self.each("machine_types", |t| {
            t.insert("boot_s".into(), Value::Float(boot_s));
        });
    }

    /// Arrays have one task each, and come `per_s` a second in all.
    pub fn single_tasks(&mut self, per_s: f64) {
        let is_array = |t: &Table| t.get("kind").and_then(Value::as_str) == Some("array");
        let arrays = self.tables("jobs").filter(|t| is_array(t)).count().max(1);
        self.each("jobs", |t| {
            if !is_array(t) {
                return;
            }
            let one: Table =
                ["median", "p95", "max"].map(|k| (k.to_string(), Value::Float(1.0))).into_iter().collect();
            t.insert("tasks".into(), Value::Table(one));
            if let Some(arrivals) = t.get_mut("arrivals").and_then(Value::as_table_mut) {
                arrivals.insert("rate".into(), Value::Float(per_s / arrays as f64));
            }
        });
    }

    /// The site with `factor` times the usual part of the jobs for one team.
    pub fn with_more_of(&self, team: &str, factor: f64) -> Site {
        let mut site = self.clone();
        site.each("teams", |t| {
            if t.get("name").and_then(Value::as_str) == Some(team) {
                let weight = t.get("weight").and_then(number).unwrap_or(1.0);
                t.insert("weight".into(), Value::Float(weight * factor));
            }
        });
        site
    }
}
