//! A task's placement on a machine.

use crate::messages::Time;
use protocol::worker::TaskState;

/// A task's placement on a machine. It counts for quota, zones and the check that no task runs
/// twice, from its creation until proof that the task is not there.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The attempt number.
    pub attempt: u64,
    /// The machine's id.
    pub machine: String,
    /// The job's mutation count when it was created: it is committed once a
    /// write of that count or a later one is.
    pub created_at_mutation: u64,
    /// Whether it is stored: only then may the task be launched.
    pub committed: bool,
    /// Created by an earlier leader, whose launch may or may not be on its way.
    pub inherited: bool,
    /// A launch was sent in a heartbeat response.
    pub launch_sent: bool,
    /// The task's state as the machine last reported it.
    pub observed_state: Option<TaskState>,
    /// When it was created, or read by this leader.
    pub placed_at: Time,
    /// When the task was first seen running.
    pub running_since: Option<Time>,
    /// When the task was asked to stop, and its grace period in seconds.
    pub stopping: Option<(Time, f64)>,
    /// The kill was sent to the machine directly.
    pub kill_sent: bool,
}

impl Placement {
    /// A placement that is not stored yet.
    pub fn new(attempt: u64, machine: &str, created_at_mutation: u64, now: Time) -> Self {
        Placement {
            attempt,
            machine: machine.to_string(),
            created_at_mutation,
            committed: false,
            inherited: false,
            launch_sent: false,
            observed_state: None,
            placed_at: now,
            running_since: None,
            stopping: None,
            kill_sent: false,
        }
    }

    /// A placement that an earlier leader stored.
    pub fn inherited(attempt: u64, machine: &str, now: Time) -> Self {
        Placement {
            committed: true,
            inherited: true,
            launch_sent: true,
            ..Self::new(attempt, machine, 0, now)
        }
    }
}
