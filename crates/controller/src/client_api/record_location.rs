//! Where the record of a job is stored.

use crate::model::records::{job_key, terminal_job_key};

/// A job's record is in one of two places at every revision of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordLocation {
    /// Among the records that the leader reads after an election.
    Live,
    /// In the archive, to which the leader moves the records of terminal jobs.
    Archive,
}

impl RecordLocation {
    /// The key of job `id` there.
    pub(crate) fn key(self, id: &str) -> String {
        match self {
            RecordLocation::Live => job_key(id),
            RecordLocation::Archive => terminal_job_key(id),
        }
    }
}
