//! Who was served: asked, started, done and in time, by class and team, from what
//! controllers log at `info` and from the journal's entries; and days of our own, made
//! for a deployment, played on the bench and compared.

mod chains;
mod day;
mod job_event;
mod journal;
mod outcome;
mod play;
mod served;
mod site;

pub use chains::{PipelineRow, PipelineStats, Stage};
pub use day::{DayError, DayFile, GeneratedDay};
pub use journal::{aims, Aim, JournalError};
pub use outcome::{compare, table, Outcome, Share, LEAST};
pub use play::{play_all, Run};
pub use served::{Group, Row, Served};
pub use site::{Site, SiteError, Variant};
