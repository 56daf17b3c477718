//! Selection and order of the runs of a script.

use super::play::{applicable_faults, run_line};
use super::replay_line::{FaultWord, ReplayLine};
use super::{script, Options};
use crate::sim::{MessageFault, MessageKind, RecordedMessage};
use rand::{rngs::SmallRng, seq::SliceRandom, SeedableRng};
use rayon::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Planned run.
pub(super) struct PlannedRun {
    pub(super) line: ReplayLine,
    /// Label of the message at which the last fault is injected.
    pub(super) label: String,
    /// Number of earlier messages with the same label.
    occurrence: usize,
}

/// Runs with two faults.
pub(super) struct FaultPairs {
    pub(super) runs: Vec<PlannedRun>,
    /// Number of runs if second faults were planned at all messages and with all times.
    pub(super) possible_runs: usize,
    /// Number of first faults for which no second faults were planned because of the time limit.
    pub(super) skipped_first_faults: usize,
}

/// Plans the run without faults and the runs with one fault.
pub(super) fn single_faults(
    faultless: ReplayLine,
    messages: &[RecordedMessage],
    options: &Options,
) -> Vec<PlannedRun> {
    let single_fault_runs = runs_with_fault(&faultless, messages, |kind| selected_faults(kind, options));
    let label = "no fault".to_string();
    let mut plan = vec![PlannedRun { line: faultless, label, occurrence: 0 }];
    plan.extend(single_fault_runs);
    plan
}

/// Plans the runs with two faults, the second one within a lease after the first. Of the messages
/// with equal labels, only the first is used, for both faults.
pub(super) fn fault_pairs(
    faultless: &ReplayLine,
    messages: &[RecordedMessage],
    options: &Options,
    time_is_up: &(dyn Fn() -> bool + Sync),
) -> FaultPairs {
    let one_duration = |kind: &MessageKind| one_duration_per_kind(kind, options);
    let first_fault_runs = runs_with_fault(faultless, &first_with_each_label(messages), one_duration);
    let second_of = |first: &PlannedRun| (!time_is_up()).then(|| second_faults(first, options));
    let plans: Vec<Option<SecondFaults>> =
        thread_pool(options).install(|| first_fault_runs.par_iter().map(second_of).collect());
    let skipped_first_faults = plans.iter().filter(|second| second.is_none()).count();
    let possible_runs = plans.iter().flatten().map(|second| second.possible_runs).sum();
    let runs = plans.into_iter().flatten().flat_map(|second| second.runs).collect();
    FaultPairs { runs, possible_runs, skipped_first_faults }
}

/// Runs that add a second fault to the same first one.
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

/// Returns the runs that add one fault to `line`, at one of the given messages.
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

/// Returns the faults at a message of this kind that the options select.
fn selected_faults(kind: &MessageKind, options: &Options) -> Vec<MessageFault> {
    let mut faults = applicable_faults(kind);
    faults.retain(|fault| options.only.is_empty() || options.only.contains(&word_of(*fault)));
    faults
}

fn word_of(fault: MessageFault) -> &'static str {
    FaultWord::from(fault).word
}

/// Returns one fault of each selected kind: an ended sender restarts after the shortest time, all
/// other faults have their longest time.
fn one_duration_per_kind(kind: &MessageKind, options: &Options) -> Vec<MessageFault> {
    let mut faults: Vec<MessageFault> = Vec::new();
    for fault in selected_faults(kind, options) {
        let same_kind = |earlier: &&mut MessageFault| word_of(**earlier) == word_of(fault);
        match faults.iter_mut().find(same_kind) {
            Some(MessageFault::SenderEndsBefore(_) | MessageFault::SenderEndsAfter(_)) => {}
            Some(earlier) => *earlier = fault,
            None => faults.push(fault),
        }
    }
    faults
}

/// Returns the first message with each label.
fn first_with_each_label(messages: &[RecordedMessage]) -> Vec<RecordedMessage> {
    let mut seen = BTreeSet::new();
    messages.iter().filter(|message| seen.insert(&message.label)).cloned().collect()
}

/// Selects and orders one in `every` runs, and adds the number of the others to `omitted`. Runs with
/// faults at the first message with a label come before those at the second one and so on. Otherwise
/// the order is random, drawn from the seed. The runs that are omitted, or not reached within the
/// time limit, are therefore those most similar to the executed ones.
pub(super) fn select_runs(
    mut plan: Vec<PlannedRun>,
    options: &Options,
    omitted: &mut usize,
) -> Vec<PlannedRun> {
    // The run without faults stays first.
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
    builder.build().expect("starting the worker threads failed")
}
