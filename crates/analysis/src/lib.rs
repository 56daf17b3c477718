//! Service quality by class and team: jobs submitted, started, finished and in time, from
//! what controllers log at `info` and from the journal's entries; and days of troubles,
//! generated for a deployment, run on the bench and compared.

mod bench;
mod day;
mod error;
mod job_event;
mod journal;
mod outcome;
mod pipelines;
mod served;
mod site;

pub use bench::{run_all, BenchRun, RunSummary};
pub use day::{DayError, DayFile, GeneratedDay};
pub use error::{with_path, AnalysisError, FileError};
pub use journal::{slo_results, JournalError, SloResult};
pub use outcome::{compare, table, Outcome, Peaks, RunId, Share, MIN_SERVED_SHARE};
pub use pipelines::{PipelineRow, PipelineStats, Stage};
pub use served::{Group, Row, Served, MAX_START_WAIT_S};
pub use site::{Allowance, Site, SiteError, TimeSpan, Variant};
