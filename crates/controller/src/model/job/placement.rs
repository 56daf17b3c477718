//! Placement of a task on a machine.

use crate::messages::Time;
use protocol::worker::TaskState;

/// Placement of a task on a machine. From its creation until there is proof that the task is not on
/// the machine, it counts towards quotas and zones, and prevents a second copy of the task.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Attempt number.
    pub attempt: u64,
    /// Id of the machine.
    pub machine: String,
    /// Mutation count of the job when the placement was created. The placement is committed once a
    /// write with this or a later count is applied.
    pub created_at_mutation: u64,
    /// Whether it is stored; the task may be launched only then.
    pub committed: bool,
    /// Whether it was created by an earlier leader, whose launch may still be in flight.
    pub inherited: bool,
    /// Whether a launch was sent in a heartbeat response.
    pub launch_sent: bool,
    /// State of the task that the machine reported last.
    pub observed_state: Option<TaskState>,
    /// Time at which it was created, or read by this leader.
    pub placed_at: Time,
    /// Time at which the task was first seen running.
    pub running_since: Option<Time>,
    /// Time at which the task was asked to stop, and its grace period in seconds.
    pub stopping: Option<(Time, f64)>,
    /// Whether the kill was sent to the machine directly.
    pub kill_sent: bool,
}

impl Placement {
    /// Creates a placement that is not stored yet.
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

    /// Creates a placement that an earlier leader stored.
    pub fn inherited(attempt: u64, machine: &str, now: Time) -> Self {
        Placement {
            committed: true,
            inherited: true,
            launch_sent: true,
            ..Self::new(attempt, machine, 0, now)
        }
    }
}
