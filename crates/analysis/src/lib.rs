//! Reports on service quality, and days of faults for the bench.
//!
//! Service quality is counted by class and team (jobs submitted, started, finished and in
//! time) from the controllers' logs at level `info` and from entries of the journal. Days of
//! faults are generated for a deployment, run on the bench and compared.

mod bench;
mod day;
mod error;
mod job_counts;
mod job_event;
mod journal;
mod outcome;
mod pipelines;
mod site;

pub use bench::{run_all, BenchRun, RunSummary};
pub use day::{DayError, DayFile, GeneratedDay};
pub use error::{with_path, AnalysisError, FileError};
pub use job_counts::{Group, JobCounter, Row, MAX_START_WAIT_S};
pub use journal::{slo_results, JournalError, SloResult};
pub use outcome::{compare, table, Outcome, Peaks, RunId, ServiceQuality, MIN_SERVED_SHARE};
pub use pipelines::{ClassStats, PipelineRow, PipelineStats};
pub use site::{ResourceLimits, Site, SiteError, TimeSpan, Variant};
