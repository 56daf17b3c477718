//! Parsing of log lines that report an event of a job.

/// Event of a job that a log line reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobEvent {
    /// The job was submitted.
    Submitted,
    /// The job depends on other jobs; logged after [`JobEvent::Submitted`].
    HasDependencies,
    /// The job started.
    Started,
    /// The job finished, failed or was cancelled.
    Finished,
}

/// Message of each event, in this version and in the versions up to 0.1.0.
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
    /// Returns the event that a log line reports; None if it does not report one.
    pub(crate) fn from_line(line: &str) -> Option<JobEvent> {
        MESSAGES.iter().find(|(message, _)| line.contains(message)).map(|(_, event)| *event)
    }
}

/// Returns the value of `key=value` in a log line, without quotes.
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

/// Returns the number in a field of a log line; None if there is none.
pub(crate) fn number_field(line: &str, key: &str) -> Option<f64> {
    field(line, key)?.parse().ok()
}

/// Whether a line about the end of a job reports that its user cancelled it.
pub(crate) fn is_cancelled(line: &str) -> bool {
    field(line, "status") == Some("withdrawn")
}

/// Whether a line about the end of a job reports that it finished in time.
pub(crate) fn is_in_time(line: &str) -> bool {
    field(line, "late") == Some("false")
}
