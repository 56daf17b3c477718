//! Dependencies between the jobs that a leader knows: a directed acyclic graph.
//!
//! A job with dependencies starts after all of them are done, and is cancelled as soon as one of
//! them is cancelled. Both follow from facts that are stored for good: the graph learns such facts
//! only, never what a leader is about to store. It holds live jobs and their dependencies, no
//! history, and has neither clock nor I/O. `docs/dependencies.md` has the argument.

mod graph;
mod inheritance;

pub use graph::{DependencyGraph, GraphEffects, JobOutcome};
pub use inheritance::{InheritedPriority, OwnPriority};
