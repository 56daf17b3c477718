//! The workers' API: heartbeats, and the commands in responses to them.

use serde::{Deserialize, Serialize};

/// State of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Its image is being fetched.
    Fetching,
    /// It waits for the other tasks of its gang.
    Waiting,
    /// It runs.
    Running,
    /// It was stopped and saves its progress.
    #[serde(rename = "flushing")]
    Saving,
    /// It has ended; heartbeats name it until a command says to forget it.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// It is complete.
    Done,
    /// It was stopped by a command or because the worker's lease expired.
    Stopped,
    /// Another task of its gang was lost.
    Peers,
    /// It gave up waiting for the other tasks of its gang.
    Alone,
    /// It failed.
    Error,
    /// The machine's resources did not suffice.
    NoRoom,
    /// Something that it needs is in use on the machine.
    #[serde(rename = "in_use")]
    Busy,
    /// The worker could not find out what to run.
    Unknown,
}

/// A task's name on the wire: `job/number`.
pub fn task_name(job: &str, number: u32) -> String {
    format!("{job}/{number}")
}

/// Splits a task's name into the job's id and the task's number.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}

/// A task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Its name (see [`task_name`]).
    #[serde(rename = "leg")]
    pub task: String,
    /// Its attempt; an attempt that is started again later has a larger number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it has ended, if it has.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_cause: Option<ExitCause>,
    /// Whether its progress was saved, if it has ended.
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

/// What a worker sends at every heartbeat interval and whenever a task's state changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Id of the machine.
    #[serde(rename = "stall")]
    pub machine: String,
    /// Where the worker takes direct commands.
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
    /// Epoch of the agent: it rises when the worker restarts and when its lease expires, which ends
    /// all of its tasks.
    #[serde(rename = "shift")]
    pub epoch: u64,
    /// Number of the heartbeat in its epoch; it rises.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "baton", default)]
    pub fencing_token: u64,
    /// Seconds until the cloud reclaims the machine, if it has announced that.
    #[serde(rename = "recallS", default, skip_serializing_if = "Option::is_none")]
    pub notice_s: Option<f64>,
    /// All tasks that the worker knows.
    #[serde(rename = "legs", default)]
    pub tasks: Vec<TaskStatus>,
}

/// What a command asks of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    /// Start the task.
    #[serde(rename = "launch")]
    Start,
    /// Stop the task.
    Stop,
    /// Leave the task, which has ended, out of further heartbeats.
    #[serde(rename = "clear")]
    Forget,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// What is asked.
    #[serde(rename = "verb")]
    pub kind: CommandKind,
    /// Name of the task.
    #[serde(rename = "leg")]
    pub task: String,
    /// The attempt that is meant.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Seconds that a task has to save its progress before it is killed; only for a stop.
    #[serde(rename = "leewayS", default, skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

/// Response to a heartbeat; it renews the worker's lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the leader; workers ignore lower ones than they have seen.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands to the worker.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Body of status 421: heartbeats go to another node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Address of that node; `None` if the worker is to choose one.
    #[serde(rename = "dispatcher", default, skip_serializing_if = "Option::is_none")]
    pub addr: Option<String>,
}

/// Body of commands that a controller sends to a worker directly.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the leader.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// The agent's epoch that is meant.
    #[serde(rename = "shift")]
    pub epoch: u64,
    /// Commands to the worker.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
