//! Messages of the workers' API: heartbeats and commands to workers.

use serde::{Deserialize, Serialize};

/// State of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// The worker is fetching the task's image.
    Fetching,
    /// The task waits for the other tasks of its gang.
    Waiting,
    /// The task runs.
    Running,
    /// The task was stopped and saves its progress.
    #[serde(rename = "flushing")]
    Saving,
    /// The task has ended. Heartbeats include it until a command tells the worker to forget it.
    #[serde(rename = "ended")]
    Exited,
}

/// Reason for which a task has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The task is complete.
    Done,
    /// The task was stopped by a command or because the worker's lease expired.
    Stopped,
    /// Another task of the gang was lost.
    Peers,
    /// The task gave up waiting for the other tasks of its gang.
    Alone,
    /// The task failed.
    Error,
    /// The machine did not have enough resources.
    NoRoom,
    /// A resource that the task needs is in use on the machine.
    #[serde(rename = "in_use")]
    Busy,
    /// The worker could not find out what the task runs.
    Unknown,
}

/// Returns the name of a task on the wire: `job/number`.
pub fn task_name(job: &str, number: u32) -> String {
    format!("{job}/{number}")
}

/// Splits the name of a task into the job's id and the task's number.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}

/// Status of a task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Name of the task (see [`task_name`]).
    #[serde(rename = "leg")]
    pub task: String,
    /// Number of the attempt; later attempts have larger numbers.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Reason for which the task has ended, if it has.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_cause: Option<ExitCause>,
    /// Whether the progress of the task was saved, if it has ended.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

/// Message that a worker sends once per heartbeat interval and whenever the state of a task changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Id of the machine.
    #[serde(rename = "stall")]
    pub machine: String,
    /// Address at which the worker accepts direct commands.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Name of the machine's type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Epoch of the agent. It increases when the worker restarts and when its lease expires, which
    /// ends all of its tasks.
    #[serde(rename = "shift")]
    pub epoch: u64,
    /// Sequence number of the heartbeat in its epoch.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "baton", default)]
    pub fencing_token: u64,
    /// Seconds until the cloud reclaims the machine, if it has announced that.
    #[serde(rename = "recallS", default, skip_serializing_if = "Option::is_none")]
    pub notice_s: Option<f64>,
    /// All tasks that the worker knows.
    #[serde(rename = "legs", default)]
    pub tasks: Vec<TaskStatus>,
}

/// Kind of a command to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    /// Starts the task.
    #[serde(rename = "launch")]
    Start,
    /// Stops the task.
    Stop,
    /// Removes an ended task from further heartbeats.
    #[serde(rename = "clear")]
    Forget,
}

/// Command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Kind of the command.
    #[serde(rename = "verb")]
    pub kind: CommandKind,
    /// Name of the task.
    #[serde(rename = "leg")]
    pub task: String,
    /// Attempt to which the command applies.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Time that the task has to save its progress before it is killed, in seconds; only for a stop.
    #[serde(rename = "leewayS", default, skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

/// Response to a heartbeat; it renews the worker's lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the leader. Workers ignore responses with a lower token than they have seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands to the worker.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of a response with status 421: the worker has to send its heartbeats to another node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Address of that node; `None` if the worker should choose one itself.
    #[serde(rename = "dispatcher", default, skip_serializing_if = "Option::is_none")]
    pub addr: Option<String>,
}

/// Body of commands that a controller sends to a worker directly.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the leader.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Epoch of the agent to which the commands apply.
    #[serde(rename = "shift")]
    pub epoch: u64,
    /// Commands to the worker.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
