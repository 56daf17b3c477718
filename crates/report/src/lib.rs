//! Who was served: asked, started, done and in time, by class and team, from what
//! controllers log at `info` and from the journal's entries.

mod journal;
mod served;

pub use journal::{aims, Aim, JournalError};
pub use served::{Group, Row, Served};
