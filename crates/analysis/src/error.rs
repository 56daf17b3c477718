//! Errors of reading logs and other files, and of running the bench.

use crate::{DayError, JournalError, SiteError};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use thiserror::Error;

/// Error in the contents of a file, or in reading or writing it.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file is not the expected JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The file is not a day file, or its day cannot be generated for the site.
    #[error(transparent)]
    Day(#[from] DayError),
    /// The file is not a usable site file.
    #[error(transparent)]
    Site(#[from] SiteError),
    /// The file is not an entry of the journal.
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// Error of an analysis or a run.
#[derive(Debug, Error)]
pub enum AnalysisError {
    /// A file cannot be used.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the error.
        source: Box<FileError>,
    },
    /// The logs have no job with dependencies.
    #[error("no job with dependencies in the logs; their level must be info or debug")]
    NoPipelines,
    /// The logs have no job.
    #[error("no jobs in the logs; their level must be info or debug")]
    NoJobs,
    /// A restart delay is neither a number nor `own`.
    #[error("--back {0}: expected a number of seconds, or `own`")]
    InvalidRestartDelay(String),
    /// There is no day to run.
    #[error("no matching day; check --days and --only")]
    NoMatchingDay,
    /// The outcomes cannot be encoded as JSON.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    /// The output of the bench cannot be redirected.
    #[error(transparent)]
    Redirect(io::Error),
    /// The bench ended without a report.
    #[error("no report from the bench ({status}); {} ends with: {last_line}", log.display())]
    NoReport {
        /// Exit status of the bench.
        status: ExitStatus,
        /// File with the output of the bench.
        log: PathBuf,
        /// Last line of the output.
        last_line: String,
        /// Error of reading the report.
        source: io::Error,
    },
}

/// Adds the path of the file to an error.
///
/// # Errors
///
/// Fails if `result` is an error.
pub fn with_path<T, E: Into<FileError>>(path: &Path, result: Result<T, E>) -> Result<T, AnalysisError> {
    result.map_err(|error| AnalysisError::File { path: path.to_path_buf(), source: Box::new(error.into()) })
}
