//! Location of a job's record in the store.

use crate::model::records::{job_key, terminal_job_key};

/// Location of a job's record. At every revision of the store the record is in exactly one of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordLocation {
    /// Among the records that the leader reads after an election.
    Live,
    /// In the archive, to which the leader moves the records of terminal jobs.
    Archive,
}

impl RecordLocation {
    /// Returns the key of job `id` at this location.
    pub(crate) fn key(self, id: &str) -> String {
        match self {
            RecordLocation::Live => job_key(id),
            RecordLocation::Archive => terminal_job_key(id),
        }
    }
}
