//! A run as one line that replays it: `script NUMBER:TROUBLE... seed:N without:GUARD`.

use super::script::{script, Script, SCRIPTS};
use crate::sim::Trouble;
use controller::SafetyChecks;

/// One run: a script, and which trouble strikes at which of its messages.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    pub script: &'static str,
    pub plan: Vec<(u64, Trouble)>,
    pub seed: u64,
    /// A guard that is switched off.
    pub without: Option<&'static str>,
}

/// A name, with what switches the guard off.
type Guard = (&'static str, fn(&mut SafetyChecks));

/// Names of the guards.
const GUARDS: [Guard; 16] = [
    ("write_ahead", |g| g.launch_after_commit = false),
    ("settled_only", |g| g.absence_needs_current_token = false),
    ("grace", |g| g.response_grace = false),
    ("lease_wait", |g| g.wait_for_lease_expiry = false),
    ("quota", |g| g.quota = false),
    ("versions", |g| g.version_checks = false),
    ("order", |g| g.heartbeat_order = false),
    ("relay_wait", |g| g.wait_for_lost_proxies = false),
    ("awaits", |g| g.dependency_order = false),
    ("lineage", |g| g.cancellation_lineage = false),
    ("ears", |g| g.one_way_partitions = false),
    ("beside", |g| g.work_conservation = false),
    ("asleep", |g| g.retain_silent_machines = false),
    ("bound", |g| g.zonal_scale_out = false),
    ("gateway.leave", |g| g.proxy.lease_expiry = false),
    ("gateway.token", |g| g.proxy.fencing = false),
];

/// Names of all guards.
pub fn guard_names() -> impl Iterator<Item = &'static str> {
    GUARDS.iter().map(|g| g.0)
}

/// The guard's name as it is listed, or what to do.
pub fn guard(name: &str) -> Result<&'static str, String> {
    let known = guard_names().find(|g| *g == name);
    known.ok_or_else(|| format!("unknown guard {name:?}; name one of {}", names(guard_names())))
}

/// The script of that name, or what to do.
pub fn find_script(name: &str) -> Result<&'static Script, String> {
    let all = names(SCRIPTS.iter().map(|s| s.name));
    script(name).ok_or_else(|| format!("unknown script {name:?}; name one of {all}"))
}

fn names<'a>(all: impl Iterator<Item = &'a str>) -> String {
    all.collect::<Vec<_>>().join(", ")
}

/// The word of a kind of trouble as it is listed, or what to do.
pub fn kind_of_trouble(name: &str) -> Result<&'static str, String> {
    let all = || UNTIMED.iter().map(|u| u.0).chain(TIMED.iter().map(|t| t.0));
    let known = all().find(|w| *w == name);
    known.ok_or_else(|| format!("unknown kind of trouble {name:?}; use one of {}", names(all())))
}

/// All guards on, but for the named one.
pub fn guards(without: Option<&str>) -> SafetyChecks {
    let mut guards = SafetyChecks::default();
    if let Some((_, off)) = GUARDS.iter().find(|g| Some(g.0) == without) {
        off(&mut guards);
    }
    guards
}

/// A word, with the trouble of such a time.
type Timed = (&'static str, fn(f64) -> Trouble);

/// Words of troubles that take a time.
const TIMED: [Timed; 7] = [
    ("late", Trouble::Late),
    ("copied", Trouble::Copied),
    ("ends-before", Trouble::EndsBefore),
    ("ends-after", Trouble::EndsAfter),
    ("cut", Trouble::Cut),
    ("refused", Trouble::Refused),
    ("hangs", Trouble::Hangs),
];

const UNTIMED: [(&str, Trouble); 3] =
    [("lost", Trouble::Lost), ("cancel", Trouble::Cancel), ("ask", Trouble::Ask)];

/// A trouble's word, and its time.
pub fn word(trouble: Trouble) -> (&'static str, Option<f64>) {
    match trouble {
        Trouble::Lost => ("lost", None),
        Trouble::Cancel => ("cancel", None),
        Trouble::Ask => ("ask", None),
        Trouble::Late(s) => ("late", Some(s)),
        Trouble::Copied(s) => ("copied", Some(s)),
        Trouble::EndsBefore(s) => ("ends-before", Some(s)),
        Trouble::EndsAfter(s) => ("ends-after", Some(s)),
        Trouble::Cut(s) => ("cut", Some(s)),
        Trouble::Refused(s) => ("refused", Some(s)),
        Trouble::Hangs(s) => ("hangs", Some(s)),
    }
}

pub(super) fn trouble(text: &str) -> Result<Trouble, String> {
    if let Some((_, t)) = UNTIMED.iter().find(|u| u.0 == text) {
        return Ok(*t);
    }
    let (word, time) = text.split_once(':').unwrap_or((text, ""));
    let known = kind_of_trouble(word)?;
    let Some((_, make)) = TIMED.iter().find(|t| t.0 == known) else {
        return Err(format!("{word} takes no time, so {text:?} has to be {word}"));
    };
    match time.parse::<f64>() {
        Ok(s) if s > 0.0 && s <= 600.0 => Ok(make(s)),
        _ => Err(format!("{text:?} needs seconds from 0 to 600, like {word}:6")),
    }
}

impl std::fmt::Display for Line {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.script)?;
        for (number, trouble) in &self.plan {
            let (word, time) = word(*trouble);
            write!(f, " {number}:{word}")?;
            if let Some(s) = time {
                write!(f, ":{s}")?;
            }
        }
        write!(f, " seed:{}", self.seed)?;
        self.without.map_or(Ok(()), |g| write!(f, " without:{g}"))
    }
}

impl std::str::FromStr for Line {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut words = text.split_whitespace();
        let name = words.next().ok_or("an empty line; pass one that a run printed")?;
        let mut line = Line { script: find_script(name)?.name, plan: Vec::new(), seed: 1, without: None };
        for w in words {
            match w.split_once(':') {
                Some(("seed", n)) => {
                    line.seed = n.parse().map_err(|_| format!("{w:?} needs a whole number, like seed:1"))?;
                }
                Some(("without", g)) => line.without = Some(guard(g)?),
                Some((number, kind)) => {
                    let number = number.parse::<u64>().ok().filter(|n| *n > 0);
                    let number =
                        number.ok_or_else(|| format!("{w:?} needs a message's number, like 12:lost"))?;
                    line.plan.push((number, trouble(kind)?));
                }
                None => {
                    return Err(format!("{w:?} is no part of a line; write NUMBER:TROUBLE, like 12:lost"))
                }
            }
        }
        Ok(line)
    }
}
