//! Replay lines, each of which describes a run: `script NUMBER:FAULT... seed:N without:CHECK`.

use super::error::InputError;
use super::script::{script, Script, SCRIPTS};
use crate::sim::{MessageFault, PlannedFault};
use controller::SafetyChecks;

/// Longest time that a fault in a line may have, in seconds.
const MAX_FAULT_S: f64 = 600.0;

/// Run of a script with faults injected at some of its messages.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplayLine {
    /// Name of the script.
    pub script: &'static str,
    /// Faults to inject.
    pub plan: Vec<PlannedFault>,
    /// Seed of all random draws.
    pub seed: u64,
    /// Name of the safety check that is switched off.
    pub without: Option<&'static str>,
}

impl ReplayLine {
    /// Returns the same line with one more fault.
    pub(super) fn with_fault(&self, message: u64, fault: MessageFault) -> Self {
        let mut line = self.clone();
        line.plan.push(PlannedFault { message, fault });
        line
    }
}

/// Safety check with its name in replay lines and on the command line.
struct NamedCheck {
    name: &'static str,
    switch_off: fn(&mut SafetyChecks),
}

const fn check_named(name: &'static str, switch_off: fn(&mut SafetyChecks)) -> NamedCheck {
    NamedCheck { name, switch_off }
}

const CHECKS: [NamedCheck; 16] = [
    check_named("write_ahead", |checks| checks.launch_after_commit = false),
    check_named("settled_only", |checks| checks.absence_needs_current_token = false),
    check_named("grace", |checks| checks.response_grace = false),
    check_named("lease_wait", |checks| checks.wait_for_lease_expiry = false),
    check_named("quota", |checks| checks.quota = false),
    check_named("versions", |checks| checks.version_checks = false),
    check_named("order", |checks| checks.heartbeat_order = false),
    check_named("relay_wait", |checks| checks.wait_for_lost_proxies = false),
    check_named("awaits", |checks| checks.dependency_order = false),
    check_named("lineage", |checks| checks.cancellation_lineage = false),
    check_named("ears", |checks| checks.one_way_partitions = false),
    check_named("beside", |checks| checks.work_conservation = false),
    check_named("asleep", |checks| checks.retain_silent_machines = false),
    check_named("bound", |checks| checks.zonal_scale_out = false),
    check_named("gateway.leave", |checks| checks.proxy.lease_expiry = false),
    check_named("gateway.token", |checks| checks.proxy.fencing = false),
];

/// Returns the names of all safety checks.
pub fn check_names() -> impl Iterator<Item = &'static str> {
    CHECKS.iter().map(|check| check.name)
}

/// Returns the listed name that equals `name`.
///
/// # Errors
/// If there is no safety check of that name.
pub fn find_check(name: &str) -> Result<&'static str, InputError> {
    let unknown = || InputError::UnknownCheck { name: name.into(), known: joined(check_names()) };
    check_names().find(|known| *known == name).ok_or_else(unknown)
}

/// Returns the script with the given name.
///
/// # Errors
/// If there is no script of that name.
pub fn find_script(name: &str) -> Result<&'static Script, InputError> {
    let names = SCRIPTS.iter().map(|script| script.name);
    script(name).ok_or_else(|| InputError::UnknownScript { name: name.into(), known: joined(names) })
}

/// Returns the listed word of a kind of fault that equals `name`.
///
/// # Errors
/// If there is no such kind of fault.
pub fn find_fault_word(name: &str) -> Result<&'static str, InputError> {
    let words = || UNTIMED_FAULTS.iter().map(|fault| fault.0).chain(TIMED_FAULTS.iter().map(|fault| fault.0));
    let known = words().find(|word| *word == name);
    known.ok_or_else(|| InputError::UnknownFault { name: name.into(), known: joined(words()) })
}

fn joined<'a>(names: impl Iterator<Item = &'a str>) -> String {
    names.collect::<Vec<_>>().join(", ")
}

/// Returns all safety checks switched on, except for the named one.
pub fn checks_without(name: Option<&str>) -> SafetyChecks {
    let mut checks = SafetyChecks::default();
    if let Some(check) = CHECKS.iter().find(|check| Some(check.name) == name) {
        (check.switch_off)(&mut checks);
    }
    checks
}

/// Word of a fault, and the constructor of the fault from its time.
type TimedFault = (&'static str, fn(f64) -> MessageFault);

/// Words of the faults that take a time.
const TIMED_FAULTS: [TimedFault; 7] = [
    ("late", MessageFault::Delayed),
    ("copied", MessageFault::Duplicated),
    ("ends-before", MessageFault::SenderEndsBefore),
    ("ends-after", MessageFault::SenderEndsAfter),
    ("cut", MessageFault::ReceiverPartitioned),
    ("refused", MessageFault::SenderRefused),
    ("hangs", MessageFault::MachineHangs),
];

/// Words of the faults that take no time.
const UNTIMED_FAULTS: [(&str, MessageFault); 3] = [
    ("lost", MessageFault::Lost),
    ("cancel", MessageFault::JobsCancelled),
    ("ask", MessageFault::JobsQueried),
];

/// Fault in the notation of replay lines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct FaultWord {
    /// Word of the kind of fault.
    pub(super) word: &'static str,
    /// Time of the fault, in seconds.
    pub(super) time_s: Option<f64>,
}

impl From<MessageFault> for FaultWord {
    fn from(fault: MessageFault) -> Self {
        let (word, time_s) = match fault {
            MessageFault::Lost => ("lost", None),
            MessageFault::JobsCancelled => ("cancel", None),
            MessageFault::JobsQueried => ("ask", None),
            MessageFault::Delayed(s) => ("late", Some(s)),
            MessageFault::Duplicated(s) => ("copied", Some(s)),
            MessageFault::SenderEndsBefore(s) => ("ends-before", Some(s)),
            MessageFault::SenderEndsAfter(s) => ("ends-after", Some(s)),
            MessageFault::ReceiverPartitioned(s) => ("cut", Some(s)),
            MessageFault::SenderRefused(s) => ("refused", Some(s)),
            MessageFault::MachineHangs(s) => ("hangs", Some(s)),
        };
        FaultWord { word, time_s }
    }
}

impl std::fmt::Display for FaultWord {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.word)?;
        self.time_s.map_or(Ok(()), |time_s| write!(f, ":{time_s}"))
    }
}

pub(super) fn parse_fault(text: &str) -> Result<MessageFault, InputError> {
    if let Some((_, fault)) = UNTIMED_FAULTS.iter().find(|fault| fault.0 == text) {
        return Ok(*fault);
    }
    let (word, time) = text.split_once(':').unwrap_or((text, ""));
    let known = find_fault_word(word)?;
    let Some((_, fault_of)) = TIMED_FAULTS.iter().find(|fault| fault.0 == known) else {
        return Err(InputError::UnexpectedTime { word: word.into(), text: text.into() });
    };
    match time.parse::<f64>() {
        Ok(time_s) if time_s > 0.0 && time_s <= MAX_FAULT_S => Ok(fault_of(time_s)),
        _ => Err(InputError::InvalidTime { word: word.into(), text: text.into() }),
    }
}

impl std::fmt::Display for ReplayLine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.script)?;
        for planned in &self.plan {
            write!(f, " {}:{}", planned.message, FaultWord::from(planned.fault))?;
        }
        write!(f, " seed:{}", self.seed)?;
        self.without.map_or(Ok(()), |check| write!(f, " without:{check}"))
    }
}

impl std::str::FromStr for ReplayLine {
    type Err = InputError;

    fn from_str(text: &str) -> Result<Self, InputError> {
        let mut words = text.split_whitespace();
        let name = words.next().ok_or(InputError::EmptyLine)?;
        let mut line =
            ReplayLine { script: find_script(name)?.name, plan: Vec::new(), seed: 1, without: None };
        for word in words {
            line.parse_part(word)?;
        }
        Ok(line)
    }
}

impl ReplayLine {
    fn parse_part(&mut self, text: &str) -> Result<(), InputError> {
        let Some((key, value)) = text.split_once(':') else {
            return Err(InputError::UnknownPart { text: text.into() });
        };
        match key {
            "seed" => {
                let invalid = |_| InputError::InvalidSeed { text: text.into() };
                self.seed = value.parse().map_err(invalid)?;
            }
            "without" => self.without = Some(find_check(value)?),
            number => {
                let number = number.parse::<u64>().ok().filter(|number| *number > 0);
                let invalid = || InputError::InvalidMessageNumber { text: text.into() };
                let message = number.ok_or_else(invalid)?;
                self.plan.push(PlannedFault { message, fault: parse_fault(value)? });
            }
        }
        Ok(())
    }
}
