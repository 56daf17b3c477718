//! Simulated key-value store, cloud, workers and users, and a seeded simulation that runs several
//! controllers against them and checks the rules of the protocol after every step.
//!
//! - [`sim`]: the simulation, its faults and its network
//! - [`state`], [`cloud`], [`worker`]: the simulated store, cloud and workers
//! - [`rules`]: the rules, checked against the actual state and the responses to users
//! - [`explore`]: runs short scripts with each kind of fault at each message

pub mod cloud;
pub mod explore;
pub mod rules;
pub mod sim;
pub mod state;
pub mod worker;

pub use rules::{Rule, Violation};
pub use sim::{
    CommandCopies, Digest, Fault, MessageFault, MessageKind, PlannedFault, RepeatedStart, ScheduledFault,
    Setup, Simulation, Submission,
};
