//! The lines of a controller's log that tell of a job.

/// What a line says happened to its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobEvent {
    Submitted,
    HasDependencies,
    Started,
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
    /// The event that `line` tells of, if it is about a job.
    pub(crate) fn of_line(line: &str) -> Option<JobEvent> {
        MESSAGES.iter().find(|(message, _)| line.contains(message)).map(|(_, event)| *event)
    }
}
