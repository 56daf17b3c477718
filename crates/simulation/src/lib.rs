//! Stand-ins for the key-value store, the cloud, workers and users, and a seeded simulation that
//! runs several controllers against them and checks the protocol's rules after every step.
//!
//! - [`sim`]: the simulation, its faults and its network
//! - [`state`], [`cloud`], [`worker`]: the stand-ins
//! - [`rules`]: the rules, judged on what really happens
//! - [`explore`]: plays short scripts with each kind of fault at each message

pub mod cloud;
pub mod explore;
pub mod rules;
pub mod sim;
pub mod state;
pub mod worker;

pub use rules::{Rule, Violation};
pub use sim::{
    Digest, Fault, MessageFault, MessageKind, PlannedFault, ScheduledFault, Setup, Simulation, Submission,
};
