//! The leader's state, its recovery from the stored records, and its periodic work.

pub(crate) mod recovery;
pub(crate) mod state;
