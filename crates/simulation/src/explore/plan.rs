//! Which runs of a script are played, and in which order.

use super::play::{applicable_faults, run_line};
use super::replay_line::{FaultWord, ReplayLine};
use super::{script, Options};
use crate::sim::{MessageFault, MessageKind, RecordedMessage};
use rand::{rngs::SmallRng, seq::SliceRandom, SeedableRng};
use rayon::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// One run that is planned.
pub(super) struct PlannedRun {
    pub(super) line: ReplayLine,
    /// The message that its last fault strikes at.
    pub(super) label: String,
    /// How many messages alike came before that one.
    occurrence: usize,
}

/// The runs with two faults.
pub(super) struct FaultPairs {
    pub(super) runs: Vec<PlannedRun>,
    /// How many runs there would be with all messages and times after the same first faults.
    pub(super) possible_runs: usize,
    /// First faults whose second ones were not planned: time was over.
    pub(super) skipped_first_faults: usize,
}

/// The run without faults, and those with one.
pub(super) fn single_faults(
    faultless: ReplayLine,
    messages: &[RecordedMessage],
    options: &Options,
) -> Vec<PlannedRun> {
    let single_fault_runs = runs_with_fault(&faultless, messages, |kind| selected_faults(kind, options));
    let label = "no trouble".to_string();
    let mut plan = vec![PlannedRun { line: faultless, label, occurrence: 0 }];
    plan.extend(single_fault_runs);
    plan
}

/// The runs with a second fault within a lease after the first. Of messages alike only the first
/// is a point, for both faults.
pub(super) fn fault_pairs(
    faultless: &ReplayLine,
    messages: &[RecordedMessage],
    options: &Options,
    time_is_up: &(dyn Fn() -> bool + Sync),
) -> FaultPairs {
    let one_duration = |kind: &MessageKind| one_duration_per_kind(kind, options);
    let first_fault_runs = runs_with_fault(faultless, &first_with_each_label(messages), one_duration);
    let second_of = |first: &PlannedRun| (!time_is_up()).then(|| second_faults(first, options));
    let all: Vec<Option<SecondFaults>> =
        thread_pool(options).install(|| first_fault_runs.par_iter().map(second_of).collect());
    let skipped_first_faults = all.iter().filter(|second| second.is_none()).count();
    let possible_runs = all.iter().flatten().map(|second| second.possible_runs).sum();
    let runs = all.into_iter().flatten().flat_map(|second| second.runs).collect();
    FaultPairs { runs, possible_runs, skipped_first_faults }
}

/// The runs with one first fault and a second one.
struct SecondFaults {
    runs: Vec<PlannedRun>,
    possible_runs: usize,
}

fn second_faults(first: &PlannedRun, options: &Options) -> SecondFaults {
    let window_s = script::workers().lease_s;
    let number = first.line.plan[0].message;
    let messages = run_line(&first.line, true).messages;
    let faulted_at =
        messages.iter().find(|message| message.number == number).map_or(0.0, |message| message.at);
    let is_later =
        |message: &&RecordedMessage| message.number > number && message.at <= faulted_at + window_s;
    let later: Vec<RecordedMessage> = messages.iter().filter(is_later).cloned().collect();
    let possible_runs = later.iter().map(|message| selected_faults(&message.kind, options).len()).sum();
    let one_duration = |kind: &MessageKind| one_duration_per_kind(kind, options);
    SecondFaults {
        runs: runs_with_fault(&first.line, &first_with_each_label(&later), one_duration),
        possible_runs,
    }
}

/// The runs that have one fault more than `line`, at one of these messages.
fn runs_with_fault(
    line: &ReplayLine,
    messages: &[RecordedMessage],
    faults_of: impl Fn(&MessageKind) -> Vec<MessageFault>,
) -> Vec<PlannedRun> {
    let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
    let mut runs = Vec::new();
    for message in messages {
        let count = seen.entry(&message.label).or_default();
        let occurrence = *count;
        *count += 1;
        for fault in faults_of(&message.kind) {
            let line = line.with_fault(message.number, fault);
            runs.push(PlannedRun { line, label: message.label.clone(), occurrence });
        }
    }
    runs
}

/// Kinds of fault that are played at such a message.
fn selected_faults(kind: &MessageKind, options: &Options) -> Vec<MessageFault> {
    let mut faults = applicable_faults(kind);
    faults.retain(|fault| options.only.is_empty() || options.only.contains(&word_of(*fault)));
    faults
}

fn word_of(fault: MessageFault) -> &'static str {
    FaultWord::from(fault).word
}

/// The same with one time of each kind: who ends is back at once, everything else lasts longest.
fn one_duration_per_kind(kind: &MessageKind, options: &Options) -> Vec<MessageFault> {
    let mut kept: Vec<MessageFault> = Vec::new();
    for fault in selected_faults(kind, options) {
        let same_kind = |earlier: &&mut MessageFault| word_of(**earlier) == word_of(fault);
        match kept.iter_mut().find(same_kind) {
            Some(MessageFault::SenderEndsBefore(_) | MessageFault::SenderEndsAfter(_)) => {}
            Some(earlier) => *earlier = fault,
            None => kept.push(fault),
        }
    }
    kept
}

/// Of messages that are alike by kind, purpose and state of the record, the first.
fn first_with_each_label(messages: &[RecordedMessage]) -> Vec<RecordedMessage> {
    let mut seen = BTreeSet::new();
    messages.iter().filter(|message| seen.insert(&message.label)).cloned().collect()
}

/// One run in `every`. The first of messages alike comes before the second and so on, and otherwise
/// the order is drawn from the seed: what is left out when time is over is most alike to what was
/// played. Adds what is left out to `omitted`.
pub(super) fn select_runs(
    mut plan: Vec<PlannedRun>,
    options: &Options,
    omitted: &mut usize,
) -> Vec<PlannedRun> {
    // The run without faults stays the first.
    let rest = plan.len().min(1);
    plan[rest..].shuffle(&mut SmallRng::seed_from_u64(options.seed));
    plan[rest..].sort_by_key(|run| run.occurrence);
    let selected = plan.len().div_ceil(options.every);
    *omitted += plan.len() - selected;
    plan.truncate(selected);
    plan
}

pub(super) fn thread_pool(options: &Options) -> rayon::ThreadPool {
    let builder = rayon::ThreadPoolBuilder::new().num_threads(options.jobs);
    builder.build().expect("threads can be started")
}
