//! Goes through what could go wrong instead of drawing it: each script is recorded
//! without trouble, and then played once for each message and each kind of trouble that can
//! strike there (`docs/explore.md`).

mod line;
mod play;
mod script;

pub use line::{find_script, guard, guard_names, guards, kind_of_trouble, Line};
pub use play::{play, smaller, troubles, Outcome};
pub use script::{Script, SCRIPTS};

use crate::sim::{Border, Crossing, Trouble};
use rand::{rngs::SmallRng, seq::SliceRandom, SeedableRng};
use rayon::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Runs a thread between two looks at the clock and at what failed; if the first failure ends it,
/// fewer.
const BATCH: usize = 64;
const FIRST_BATCH: usize = 8;

/// Failures that are made smaller and shown for each script and rule.
const SHOWN: usize = 3;

/// What is explored.
#[derive(Debug, Clone)]
pub struct Options {
    pub scripts: Vec<&'static Script>,
    /// Troubles in one run: 1 or 2.
    pub depth: usize,
    /// Threads.
    pub jobs: usize,
    pub seed: u64,
    /// A guard that is switched off.
    pub without: Option<&'static str>,
    /// No new run begins after that time.
    pub most: Option<Duration>,
    /// Of the runs, one in so many is played.
    pub every: usize,
    /// Words of the kinds of trouble; all if none is named.
    pub only: Vec<&'static str>,
    /// Stops at the first failure.
    pub first: bool,
}

/// A rule that broke, and the line that replays it.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    pub line: Line,
    /// How many runs it took, in the order of the plan.
    pub after: usize,
    pub rule: String,
    pub at: f64,
    pub what: String,
    /// The message that the last trouble struck at.
    pub label: String,
}

/// What came of one script.
#[derive(Debug, Clone, Default)]
pub struct Explored {
    /// Messages and timers of the run without trouble.
    pub points: usize,
    /// Runs that the plan had before it was thinned.
    pub possible: usize,
    /// Not planned, since runs alike are.
    pub thinned: usize,
    /// Planned, and not played: time was over, or a failure ended it.
    pub left: usize,
    /// First troubles whose second ones were not planned: time was over.
    pub firsts_left: usize,
    pub runs: usize,
    /// Runs whose last trouble did not come about.
    pub missed: usize,
    /// Tasks that began after a cancellation had been told, over all runs.
    pub late_starts: usize,
    /// Points by kind of message.
    pub kinds: BTreeMap<String, usize>,
    /// Different messages, by kind, purpose and state of the record.
    pub labels: usize,
    /// Runs that broke a rule, by rule.
    pub broken: BTreeMap<String, usize>,
    /// Some of them, made smaller.
    pub failures: Vec<Failure>,
}

/// One run that is planned, with the message that its last trouble strikes at.
struct Planned {
    line: Line,
    label: String,
    /// How many messages alike came before it.
    round: usize,
}

/// Explores one script; `tell` is called with the number of planned runs, then with 0 for each run.
pub fn explore(script: &'static Script, o: &Options, tell: &(dyn Fn(usize) + Sync)) -> Explored {
    let began = Instant::now();
    let over = || o.most.is_some_and(|most| began.elapsed() >= most);
    let quiet = Line { script: script.name, plan: Vec::new(), seed: o.seed, without: o.without };
    let record = play(&quiet, true);
    let mut out = Explored { points: record.crossings.len(), ..Explored::default() };
    for c in &record.crossings {
        *out.kinds.entry(kind(c)).or_default() += 1;
    }
    out.labels = record.crossings.iter().map(|c| &c.label).collect::<BTreeSet<_>>().len();
    let mut plan = vec![Planned { line: quiet.clone(), label: "no trouble".into(), round: 0 }];
    if o.depth == 1 {
        plan.extend(after(&quiet, &record.crossings, &|b| kinds_at(b, o)));
        out.possible = plan.len();
        play_all(thin(plan, o, &mut out), o, &over, tell, &mut out);
        return out;
    }
    // Of messages alike only the first is a point, for the first trouble and for the second.
    let firsts: Vec<Planned> = after(&quiet, &alike(&record.crossings), &|b| one_time(b, o)).collect();
    let (pairs, possible) = second(&firsts, o, &over, &mut out);
    out.possible = possible;
    out.thinned = possible - pairs.len();
    play_all(thin(pairs, o, &mut out), o, &over, tell, &mut out);
    out
}

/// The runs that have one trouble more than `line`, at one of these messages.
fn after<'a>(
    line: &'a Line,
    points: &'a [Crossing],
    kinds: &'a dyn Fn(&Border) -> Vec<Trouble>,
) -> impl Iterator<Item = Planned> + 'a {
    let mut alike: BTreeMap<&str, usize> = BTreeMap::new();
    points.iter().flat_map(move |c| {
        let count = alike.entry(&c.label).or_default();
        let round = *count;
        *count += 1;
        kinds(&c.border).into_iter().map(move |t| {
            let mut line = line.clone();
            line.plan.push((c.number, t));
            Planned { line, label: c.label.clone(), round }
        })
    })
}

/// Kinds of trouble that strike at such a message.
fn kinds_at(border: &Border, o: &Options) -> Vec<Trouble> {
    let mut all = troubles(border);
    all.retain(|t| o.only.is_empty() || o.only.contains(&line::word(*t).0));
    all
}

/// The same with one time of each kind: who ends is back at once, everything else lasts longest.
fn one_time(border: &Border, o: &Options) -> Vec<Trouble> {
    let mut kept: Vec<Trouble> = Vec::new();
    for t in kinds_at(border, o) {
        let same = |k: &&mut Trouble| line::word(**k).0 == line::word(t).0;
        match kept.iter_mut().find(same) {
            Some(Trouble::EndsBefore(_) | Trouble::EndsAfter(_)) => {}
            Some(earlier) => *earlier = t,
            None => kept.push(t),
        }
    }
    kept
}

/// Of messages that are alike by kind, purpose and state of the record, the first.
fn alike(points: &[Crossing]) -> Vec<Crossing> {
    let mut seen = BTreeSet::new();
    points.iter().filter(|c| seen.insert(&c.label)).cloned().collect()
}

/// The runs with a second trouble within a lease after the first, of messages alike the first
/// one only; and how many there would be with all messages and times after these first ones.
fn second(
    firsts: &[Planned],
    o: &Options,
    over: &(dyn Fn() -> bool + Sync),
    out: &mut Explored,
) -> (Vec<Planned>, usize) {
    let window = script::workers().lease_s;
    let pairs = |first: &Planned| {
        if over() {
            return None;
        }
        let number = first.line.plan[0].0;
        let record = play(&first.line, true).crossings;
        let from = record.iter().find(|c| c.number == number).map_or(0.0, |c| c.at);
        let later = |c: &&Crossing| c.number > number && c.at <= from + window;
        let later: Vec<Crossing> = record.iter().filter(later).cloned().collect();
        let possible: usize = later.iter().map(|c| kinds_at(&c.border, o).len()).sum();
        let planned: Vec<Planned> = after(&first.line, &alike(&later), &|b| one_time(b, o)).collect();
        Some((planned, possible))
    };
    let all: Vec<Option<(Vec<Planned>, usize)>> = pool(o).install(|| firsts.par_iter().map(pairs).collect());
    out.firsts_left = all.iter().filter(|a| a.is_none()).count();
    let possible = all.iter().flatten().map(|a| a.1).sum();
    (all.into_iter().flatten().flat_map(|a| a.0).collect(), possible)
}

fn pool(o: &Options) -> rayon::ThreadPool {
    rayon::ThreadPoolBuilder::new().num_threads(o.jobs).build().expect("threads can be started")
}

/// One in `every`, the first of messages alike before the second and so on, and otherwise in an
/// order drawn from the seed: what is left out when time is over is most alike to what was played.
fn thin(mut plan: Vec<Planned>, o: &Options, out: &mut Explored) -> Vec<Planned> {
    // The run without trouble stays the first.
    let rest = plan.len().min(1);
    plan[rest..].shuffle(&mut SmallRng::seed_from_u64(o.seed));
    plan[rest..].sort_by_key(|p| p.round);
    let planned = plan.len().div_ceil(o.every);
    out.thinned += plan.len() - planned;
    plan.truncate(planned);
    plan
}

/// Plays what is planned and sums up what came of it.
fn play_all(
    plan: Vec<Planned>,
    o: &Options,
    over: &(dyn Fn() -> bool + Sync),
    tell: &(dyn Fn(usize) + Sync),
    out: &mut Explored,
) {
    tell(plan.len());
    let pool = pool(o);
    let each = if o.first { FIRST_BATCH } else { BATCH };
    for batch in plan.chunks(each * o.jobs) {
        if over() || (o.first && !out.broken.is_empty()) {
            break;
        }
        let one = |p: &Planned| {
            let outcome = play(&p.line, false);
            tell(0);
            outcome
        };
        let outcomes: Vec<Outcome> = pool.install(|| batch.par_iter().map(one).collect());
        for (planned, outcome) in batch.iter().zip(outcomes) {
            out.runs += 1;
            sum_up(planned, outcome, out);
        }
    }
    out.left = plan.len() - out.runs;
    out.failures = pool.install(|| out.failures.par_iter().map(made_smaller).collect());
}

fn sum_up(planned: &Planned, outcome: Outcome, out: &mut Explored) {
    out.missed += usize::from(outcome.struck < planned.line.plan.len());
    out.late_starts += outcome.late_starts;
    let Some((rule, at, what)) = outcome.broken else { return };
    *out.broken.entry(rule.clone()).or_default() += 1;
    let shown = out.failures.iter().filter(|f| f.rule == rule).count();
    if shown < SHOWN {
        let (line, label) = (planned.line.clone(), planned.label.clone());
        out.failures.push(Failure { line, after: out.runs, rule, at, what, label });
    }
}

fn made_smaller(failure: &Failure) -> Failure {
    let line = smaller(&failure.line, &failure.rule);
    let (at, what) = match play(&line, false).broken {
        Some((_, at, what)) => (at, what),
        None => (failure.at, failure.what.clone()),
    };
    Failure { line, at, what, ..failure.clone() }
}

/// The kind of a message, without what it is about.
fn kind(c: &Crossing) -> String {
    let text = format!("{:?}", c.border);
    text.replace(" { writes: true }", " write").replace(" { writes: false }", " read").to_lowercase()
}

/// What a line's run came to, in lines that a person reads.
pub fn replay(line: &Line) -> (Outcome, Vec<String>) {
    let outcome = play(line, true);
    let struck = |c: &&Crossing| line.plan.iter().any(|p| p.0 == c.number);
    let mut told: Vec<String> = outcome
        .crossings
        .iter()
        .filter(struck)
        .map(|c| {
            let troubles: Vec<Trouble> = line.plan.iter().filter(|p| p.0 == c.number).map(|p| p.1).collect();
            format!("{:.3} s, message {}: {} ({}): {troubles:?}", c.at, c.number, c.label, kind(c))
        })
        .collect();
    told.push(match &outcome.broken {
        Some((rule, at, what)) => format!("{rule} at {at:.3} s: {what}"),
        None => format!("no rule broke until {:.1} s", outcome.ended_s),
    });
    (outcome, told)
}
