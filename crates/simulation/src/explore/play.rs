//! Executes the run of a replay line, checks its outcome, and reduces failing runs.

use super::replay_line::{checks_without, parse_fault, FaultWord, ReplayLine};
use super::script::{script, workers, Script};
use crate::rules::Violation;
use crate::sim::{MessageFault, MessageKind, RecordedMessage};
use crate::Simulation;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Time after the last fault within which all jobs have to end, in seconds. The limit is high enough
/// that a job waiting despite free capacity breaks the rule `LeftWaiting` first.
const MAX_COMPLETION_S: f64 = 110.0;

/// Time for which a run continues after all jobs have ended, in seconds. During this time, users
/// continue to query and stored jobs are archived.
const AFTER_END_S: f64 = 11.0;

/// Failure of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct RunFailure {
    /// Name of the violated rule, `Unfinished` or `Panicked`.
    pub rule: String,
    /// Time of the failure, in simulated seconds.
    pub at: f64,
    /// Description of the failure.
    pub details: String,
}

impl From<&Violation> for RunFailure {
    fn from(violation: &Violation) -> Self {
        let rule = format!("{:?}", violation.rule);
        RunFailure { rule, at: violation.at, details: violation.details.clone() }
    }
}

/// Outcome of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// First failure of the run.
    pub failure: Option<RunFailure>,
    /// Number of planned faults that were injected.
    pub faults_injected: usize,
    /// Number of tasks that started after users were told of their job's cancellation.
    pub late_starts: usize,
    /// End of the run, in simulated seconds.
    pub ended_at: f64,
    /// Messages before the end of the script, if they were recorded.
    pub messages: Vec<RecordedMessage>,
}

/// Executes the run of a line to its end. `record` selects whether its messages are recorded.
pub fn run_line(line: &ReplayLine, record: bool) -> Outcome {
    let result = catch_unwind(AssertUnwindSafe(|| run_script(line, record)));
    result.unwrap_or_else(|cause| {
        let text = cause.downcast_ref::<String>().cloned();
        let text = text.or_else(|| cause.downcast_ref::<&str>().map(std::string::ToString::to_string));
        let rule = "Panicked".to_string();
        let failure = Some(RunFailure { rule, at: 0.0, details: text.unwrap_or_default() });
        Outcome { failure, faults_injected: 0, late_starts: 0, ended_at: 0.0, messages: Vec::new() }
    })
}

fn run_script(line: &ReplayLine, record: bool) -> Outcome {
    let script = script(line.script).expect("a replay line names an existing script");
    let mut sim = Simulation::new(script.setup(line.seed, checks_without(line.without)));
    sim.intercept(line.plan.clone(), record);
    let failure = run_to_end(&mut sim, script, line.plan.len());
    let recorded = sim.recorded_messages().iter();
    let messages = recorded.filter(|message| message.at < script.until_s).cloned().collect();
    Outcome {
        failure,
        faults_injected: sim.faults_injected(),
        late_starts: sim.late_starts.len(),
        ended_at: sim.now,
        messages,
    }
}

/// Runs until a rule is broken, or until all jobs have ended after the last of the planned faults.
/// Jobs that take too long are reported as `Unfinished`.
fn run_to_end(sim: &mut Simulation, script: &Script, planned_faults: usize) -> Option<RunFailure> {
    let mut finished_at = f64::MAX;
    loop {
        sim.run(sim.now + 1.0);
        if let Some(violation) = sim.history.violations.first() {
            return Some(violation.into());
        }
        if sim.faults_injected() < planned_faults && sim.now < script.until_s {
            continue;
        }
        if sim.all_finished() {
            finished_at = finished_at.min(sim.now);
        }
        if sim.now >= sim.faults_end().max(finished_at) + AFTER_END_S {
            return None;
        }
        let deadline = sim.faults_end().max(script.until_s) + MAX_COMPLETION_S;
        if finished_at == f64::MAX && sim.now >= deadline {
            let details = sim.unfinished().join(" ");
            return Some(RunFailure { rule: "Unfinished".into(), at: sim.now, details });
        }
    }
}

/// Returns the durations of faults, in seconds: one heartbeat interval, more than a lease, and more
/// than `cancel_s`.
fn durations() -> [f64; 3] {
    let workers = workers();
    [workers.heartbeat_interval_s, workers.lease_s + 1.0, workers.cancel_s + 4.0]
}

/// Returns the times after which an ended process restarts, in seconds: almost immediately, and
/// after more than a lease.
fn restart_times() -> [f64; 2] {
    [0.2, durations()[1]]
}

/// Returns all faults that can be injected at a message of this kind.
pub fn applicable_faults(kind: &MessageKind) -> Vec<MessageFault> {
    use MessageFault::*;
    let mut faults = delivery_faults(kind);
    let cut: fn(f64) -> MessageFault =
        if *kind == MessageKind::Timer { Delayed } else { ReceiverPartitioned };
    if !matches!(kind, MessageKind::UserResponse | MessageKind::CloudReply) {
        faults.extend(durations().map(cut));
    }
    if matches!(kind, MessageKind::StoreRequest { .. }) {
        faults.extend(durations().map(SenderRefused));
    }
    if concerns_machine(kind) {
        faults.extend(durations().map(MachineHangs));
    }
    if matches!(kind, MessageKind::Heartbeat) {
        faults.push(SenderEndsAfter(durations()[1]));
    }
    if is_sent_by_controller(kind) {
        faults.extend(restart_times().map(SenderEndsBefore));
        if *kind != MessageKind::Timer {
            faults.extend(restart_times().map(SenderEndsAfter));
        }
    }
    faults.extend([JobsCancelled, JobsQueried]);
    faults
}

/// Returns the losses, delays and duplicates that can be injected at a message of this kind.
fn delivery_faults(kind: &MessageKind) -> Vec<MessageFault> {
    use MessageFault::*;
    let longer_than_lease = durations()[1] + 5.0;
    match kind {
        MessageKind::Timer => vec![],
        MessageKind::StoreRequest { writes: true } => {
            vec![Lost, Delayed(2.0), Delayed(6.0), Delayed(12.0)]
        }
        MessageKind::StoreRequest { writes: false } | MessageKind::StoreReply => vec![Lost, Delayed(1.2)],
        MessageKind::CloudRequest => vec![Lost, Delayed(6.0)],
        MessageKind::CloudReply => vec![Lost, Delayed(4.0)],
        MessageKind::ForwardRequest | MessageKind::DirectCommands => {
            vec![Lost, Delayed(1.0), Delayed(8.0)]
        }
        MessageKind::ForwardReply | MessageKind::DirectReply => vec![Lost, Delayed(1.0)],
        MessageKind::Heartbeat => {
            vec![Lost, Delayed(3.0), Duplicated(2.0), Duplicated(longer_than_lease)]
        }
        MessageKind::HeartbeatResponse => vec![Lost, Delayed(3.0)],
        MessageKind::UserRequest => {
            vec![Lost, Delayed(3.0), Duplicated(0.5), Duplicated(longer_than_lease)]
        }
        MessageKind::UserResponse => vec![Lost, Delayed(3.0)],
    }
}

fn concerns_machine(kind: &MessageKind) -> bool {
    matches!(kind, MessageKind::Heartbeat | MessageKind::HeartbeatResponse | MessageKind::DirectCommands)
}

fn is_sent_by_controller(kind: &MessageKind) -> bool {
    !matches!(
        kind,
        MessageKind::StoreReply
            | MessageKind::CloudReply
            | MessageKind::DirectReply
            | MessageKind::Heartbeat
            | MessageKind::UserRequest
    )
}

/// Reduces a failing run: returns a line that breaks the same rule with fewer and shorter faults.
pub fn reduce(line: &ReplayLine, rule: &str) -> ReplayLine {
    let mut best = line.clone();
    let fails = |line: &ReplayLine| run_line(line, false).failure.is_some_and(|failure| failure.rule == rule);
    // A fault that could not be left out before may become unnecessary once another one is removed.
    while let Some(fewer) = without_one(&best).find(fails) {
        best = fewer;
    }
    for n in 0..best.plan.len() {
        let with_shorter = |fault| {
            let mut line = best.clone();
            line.plan[n].fault = fault;
            line
        };
        let mut candidates = shorter(best.plan[n].fault).into_iter().map(with_shorter);
        let candidate = candidates.find(fails);
        if let Some(shorter) = candidate {
            best = shorter;
        }
    }
    best
}

/// Returns the variants of a line that lack one of its faults.
fn without_one(line: &ReplayLine) -> impl Iterator<Item = ReplayLine> {
    let line = line.clone();
    (0..line.plan.len()).rev().map(move |n| {
        let mut fewer = line.clone();
        fewer.plan.remove(n);
        fewer
    })
}

/// Returns the same fault with shorter times, the shortest first.
fn shorter(fault: MessageFault) -> Vec<MessageFault> {
    let FaultWord { word, time_s: Some(time_s) } = FaultWord::from(fault) else { return Vec::new() };
    let times = [0.2, 1.0, 2.0, 3.0, 6.0, 12.0, 20.0, 30.0].into_iter();
    let shorter = times.filter(|shorter| *shorter < time_s);
    shorter.filter_map(|time_s| parse_fault(&format!("{word}:{time_s}")).ok()).collect()
}
