//! Lines of a controller's log that report an event of a job.

/// What a line says happened to its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobEvent {
    /// The job was submitted.
    Submitted,
    /// The job depends on others; follows [`JobEvent::Submitted`].
    HasDependencies,
    /// The job started.
    Started,
    /// The job finished, failed or was cancelled.
    Finished,
}

/// Each event's message as this version logs it, and as the versions up to 0.1.0 did.
const MESSAGES: [(&str, JobEvent); 7] = [
    ("job submitted", JobEvent::Submitted),
    ("job accepted", JobEvent::Submitted),
    ("job has dependencies", JobEvent::HasDependencies),
    ("job awaits others", JobEvent::HasDependencies),
    ("job started", JobEvent::Started),
    ("job finished", JobEvent::Finished),
    ("job over", JobEvent::Finished),
];

impl JobEvent {
    /// The event that `line` reports, if it is about a job.
    pub(crate) fn of_line(line: &str) -> Option<JobEvent> {
        MESSAGES.iter().find(|(message, _)| line.contains(message)).map(|(_, event)| *event)
    }
}

/// The value of `key=value` in a log line, without its quotes.
pub(crate) fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let (start, _) = line.match_indices(key).find(|(start, _)| {
        let before = line[..*start].chars().next_back();
        before.is_none_or(char::is_whitespace) && line[start + key.len()..].starts_with('=')
    })?;
    let value = &line[start + key.len() + 1..];
    match value.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => value.split_whitespace().next(),
    }
}

/// The number in a log line's field, if it has one.
pub(crate) fn number_field(line: &str, key: &str) -> Option<f64> {
    field(line, key)?.parse().ok()
}

/// Whether a line on the end of a job says that its user cancelled it.
pub(crate) fn is_cancelled(line: &str) -> bool {
    field(line, "status") == Some("withdrawn")
}

/// Whether a line on the end of a job says that it was in time.
pub(crate) fn is_in_time(line: &str) -> bool {
    field(line, "late") == Some("false")
}
