//! Dependencies between the jobs that a leader knows, as a directed acyclic graph.
//!
//! A job with dependencies starts after all of them are done, and is cancelled as soon as one of
//! them is cancelled. Both are derived from outcomes that are stored and never change: an outcome is
//! recorded in the graph only after it is stored, never while a leader is about to store it. The
//! graph holds live jobs and their dependencies but no history, and uses neither clock nor I/O.
//! `docs/dependencies.md` explains why this is correct.

mod graph;
mod inheritance;

pub use graph::{DependencyGraph, GraphEffects, JobOutcome};
pub use inheritance::{InheritedPriority, OwnPriority};
