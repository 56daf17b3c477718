//! Errors of reading logs and files and of running the bench.

use crate::{DayError, JournalError, SiteError};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use thiserror::Error;

/// What is wrong with a file.
#[derive(Debug, Error)]
pub enum FileError {
    /// It cannot be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It is not the JSON that was expected.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// It is not a day, or its day does not fit the site.
    #[error(transparent)]
    Day(#[from] DayError),
    /// It is not a site file.
    #[error(transparent)]
    Site(#[from] SiteError),
    /// It is not an entry of the journal.
    #[error(transparent)]
    Journal(#[from] JournalError),
}

/// Why an analysis or a run failed.
#[derive(Debug, Error)]
pub enum AnalysisError {
    /// Something is wrong with a file.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: Box<FileError>,
    },
    /// The logs have no job with dependencies.
    #[error("no job that waits for others; logs have to be of level info or debug")]
    NoPipelines,
    /// The logs have no job.
    #[error("no line on any job; logs have to be of level info or debug")]
    NoJobs,
    /// A restart delay is neither a number nor `own`.
    #[error("--back {0}: say seconds, or own")]
    InvalidRestartDelay(String),
    /// No day has a name that was asked for.
    #[error("no day of that name")]
    NoSuchDay,
    /// The outcomes cannot be encoded.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    /// The bench's output cannot be redirected.
    #[error(transparent)]
    Redirect(io::Error),
    /// The bench ended without a report.
    #[error("{status}, {}: {last_line}", log.display())]
    NoReport {
        /// How it ended.
        status: ExitStatus,
        /// Its output.
        log: PathBuf,
        /// The last line of its output.
        last_line: String,
        /// Why the report cannot be read.
        source: io::Error,
    },
}

/// Adds the file's path to an error.
///
/// # Errors
///
/// If `result` is one.
pub fn with_path<T, E: Into<FileError>>(path: &Path, result: Result<T, E>) -> Result<T, AnalysisError> {
    result.map_err(|error| AnalysisError::File { path: path.to_path_buf(), source: Box::new(error.into()) })
}
