//! The journal's entries: each day's aims and how far they were kept.

use serde::Deserialize;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum JournalError {
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
    /// None: a day that was drawn anew.
    #[serde(default)]
    seed: Option<u64>,
    #[serde(default)]
    aims: Vec<(String, f64)>,
}

/// How far a class's aim was kept on a day.
#[derive(Debug, Clone, PartialEq)]
pub struct Aim {
    pub site: String,
    pub day: String,
    pub seed: Option<u64>,
    pub class: String,
    /// What was aimed at, as the entry words it.
    pub aim: String,
    pub share: f64,
}

/// Aims of classes in one entry, in its order. An entry is one JSON object, which
/// a seal may follow.
pub fn aims(text: &str) -> Result<Vec<Aim>, JournalError> {
    let entry = serde_json::Deserializer::from_str(text).into_iter::<Entry>().next();
    let Some(entry) = entry.transpose()? else { return Ok(Vec::new()) };
    let mut aims = Vec::new();
    for day in entry.days {
        for (words, _) in &day.aims {
            let Some((aim, rest)) = words.split_once(": ") else { continue };
            let mut parts = aim.split(' ');
            let kind = parts.next().unwrap_or_default();
            let (Some(class), Some(_)) = (parts.next(), parts.next()) else { continue };
            let share = rest.split(' ').next().and_then(|s| s.parse().ok());
            if let (true, Some(share)) = (["wait", "finished", "deadline"].contains(&kind), share) {
                aims.push(Aim {
                    site: entry.site.clone(),
                    day: day.name.clone(),
                    seed: day.seed,
                    class: class.to_string(),
                    aim: aim.to_string(),
                    share,
                });
            }
        }
    }
    Ok(aims)
}
