//! Reports of workers and the commands they take.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    Fetching,
    Waiting,
    Running,
    #[serde(rename = "flushing")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    Done,
    Stopped,
    Peers,
    Alone,
    Error,
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
    Unknown,
}

/// `job/number` as it stands on the wire.
pub fn task_name(job: &str, number: u32) -> String {
    format!("{job}/{number}")
}

/// Splits `job/number`.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, number) = name.rsplit_once('/')?;
    Some((job, number.parse().ok()?))
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "leg")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_cause: Option<ExitCause>,
    #[serde(rename = "kept", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "stall")]
    pub machine: String,
    #[serde(rename = "endpoint")]
    pub addr: String,
    #[serde(rename = "breed")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub epoch: u64,
    #[serde(rename = "tally")]
    pub sequence: u64,
    #[serde(rename = "baton", default)]
    pub fencing_token: u64,
    #[serde(rename = "recallS", default, skip_serializing_if = "Option::is_none")]
    pub notice_s: Option<f64>,
    #[serde(rename = "legs", default)]
    pub tasks: Vec<TaskStatus>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CommandKind {
    #[serde(rename = "launch")]
    Start,
    Stop,
    #[serde(rename = "clear")]
    Forget,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    #[serde(rename = "verb")]
    pub kind: CommandKind,
    #[serde(rename = "leg")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "leewayS", default, skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

/// Response to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// 421: report to that node instead.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "dispatcher", default, skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Body of a direct command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(rename = "shift")]
    pub epoch: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
