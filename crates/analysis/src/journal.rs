//! Entries of the journal: the share of jobs that met each service-level objective.

use serde::Deserialize;
use thiserror::Error;

/// Kinds of objectives that apply to a class.
const CLASS_OBJECTIVES: [&str; 3] = ["wait", "finished", "deadline"];

/// Error of parsing an entry.
#[derive(Debug, Error)]
pub enum JournalError {
    /// The text is not JSON, or lacks a key that every entry has.
    #[error("not an entry of the journal: {0}")]
    Malformed(#[from] serde_json::Error),
}

#[derive(Deserialize)]
struct Entry {
    site: String,
    #[serde(default)]
    days: Vec<Day>,
}

#[derive(Deserialize)]
struct Day {
    name: String,
    /// None for a randomly generated day.
    #[serde(default)]
    seed: Option<u64>,
    /// Text and score of each objective.
    #[serde(default, rename = "aims")]
    objectives: Vec<(String, f64)>,
}

/// Share of a class's jobs that met a service-level objective on a day.
#[derive(Debug, Clone, PartialEq)]
pub struct SloResult {
    /// Name of the site.
    pub site: String,
    /// Name of the day.
    pub day: String,
    /// Seed of the day; None for a randomly generated day.
    pub seed: Option<u64>,
    /// Class of the jobs.
    pub class: String,
    /// Text of the objective in the entry.
    pub objective: String,
    /// Share of the jobs that met the objective, from 0 to 1.
    pub share: f64,
}

/// Returns the results of the classes' objectives in an entry, in the order of the entry. An
/// entry is one JSON object; a seal may follow it.
///
/// # Errors
///
/// Fails if `text` does not begin with such an object.
pub fn slo_results(text: &str) -> Result<Vec<SloResult>, JournalError> {
    let entry = serde_json::Deserializer::from_str(text).into_iter::<Entry>().next();
    let Some(entry) = entry.transpose()? else { return Ok(Vec::new()) };
    let results = entry
        .days
        .iter()
        .flat_map(|day| day.objectives.iter().filter_map(|(text, _)| slo_result(&entry.site, day, text)));
    Ok(results.collect())
}

/// Parses `KIND CLASS BOUND...: SHARE ...`. Returns None for objectives that do not apply to
/// a class.
fn slo_result(site: &str, day: &Day, text: &str) -> Option<SloResult> {
    let (objective, rest) = text.split_once(": ")?;
    let mut parts = objective.split(' ');
    let kind = parts.next().unwrap_or_default();
    let class = parts.next()?;
    let _bound = parts.next()?;
    let share = rest.split(' ').next()?.parse().ok()?;
    CLASS_OBJECTIVES.contains(&kind).then(|| SloResult {
        site: site.to_string(),
        day: day.name.clone(),
        seed: day.seed,
        class: class.to_string(),
        objective: objective.to_string(),
        share,
    })
}
