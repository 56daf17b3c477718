//! Leader role: state, recovery from the stored records, the watch on jobs, and periodic work.

mod record_watch;
pub(crate) mod recovery;
pub(crate) mod state;
mod step_down;
mod summary;
mod terminal_jobs;
mod tick;
