//! Entries of the journal: how far each day's service-level objectives were met.

use serde::Deserialize;
use thiserror::Error;

/// Kinds of objectives that are about a class.
const CLASS_OBJECTIVES: [&str; 3] = ["wait", "finished", "deadline"];

/// Why a text is no entry.
#[derive(Debug, Error)]
pub enum JournalError {
    /// It is no JSON, or lacks what every entry has.
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
    /// None: a day that was drawn at random.
    #[serde(default)]
    seed: Option<u64>,
    /// Each objective in words, with its score.
    #[serde(default, rename = "aims")]
    objectives: Vec<(String, f64)>,
}

/// How far a class's service-level objective was met on a day.
#[derive(Debug, Clone, PartialEq)]
pub struct SloResult {
    /// The site's name.
    pub site: String,
    /// The day's name.
    pub day: String,
    /// The day's seed; None: a day that was drawn at random.
    pub seed: Option<u64>,
    /// The class of jobs.
    pub class: String,
    /// The objective, as the entry words it.
    pub objective: String,
    /// The share of the jobs that met it, from 0 to 1.
    pub share: f64,
}

/// The results of classes in one entry, in its order. An entry is one JSON object, which a
/// seal may follow.
///
/// # Errors
///
/// If `text` does not begin with such an object.
pub fn slo_results(text: &str) -> Result<Vec<SloResult>, JournalError> {
    let entry = serde_json::Deserializer::from_str(text).into_iter::<Entry>().next();
    let Some(entry) = entry.transpose()? else { return Ok(Vec::new()) };
    let results = entry
        .days
        .iter()
        .flat_map(|day| day.objectives.iter().filter_map(|(words, _)| slo_result(&entry.site, day, words)));
    Ok(results.collect())
}

/// Parses `KIND CLASS BOUND...: SHARE ...`; None for other objectives.
fn slo_result(site: &str, day: &Day, words: &str) -> Option<SloResult> {
    let (objective, rest) = words.split_once(": ")?;
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
