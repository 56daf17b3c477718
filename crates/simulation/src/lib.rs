//! Stand-ins for the state service, the cloud, workers and users, and a seeded
//! simulation that runs several cores against them, checking the protocol's
//! rules after every step.

pub mod cloud;
pub mod explore;
pub mod rules;
pub mod sim;
pub mod state;
pub mod worker;

pub use rules::{Rule, Violation};
pub use sim::{Border, Digest, Fault, Setup, Simulation, Trouble};
