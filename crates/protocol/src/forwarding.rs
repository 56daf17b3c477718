//! Conversions of heartbeats and commands between the workers' format and the format between
//! controllers.

use crate::peer::{
    Cause, ForwardedHeartbeat, HeartbeatContent, MachineCommands, Op, Phase, Task, TaskCommand,
};
use crate::worker::{Command, CommandKind, ExitCause, Heartbeat, HeartbeatResponse, TaskState, TaskStatus};

impl From<TaskState> for Phase {
    fn from(state: TaskState) -> Self {
        match state {
            TaskState::Fetching => Phase::Fetching,
            TaskState::Waiting => Phase::Waiting,
            TaskState::Running => Phase::Running,
            TaskState::Saving => Phase::Saving,
            TaskState::Exited => Phase::Exited,
        }
    }
}

/// Converts a phase to a task state; `None` for a phase that this version does not know.
fn task_state(phase: Phase) -> Option<TaskState> {
    match phase {
        Phase::Unknown => None,
        Phase::Fetching => Some(TaskState::Fetching),
        Phase::Waiting => Some(TaskState::Waiting),
        Phase::Running => Some(TaskState::Running),
        Phase::Saving => Some(TaskState::Saving),
        Phase::Exited => Some(TaskState::Exited),
    }
}

impl From<ExitCause> for Cause {
    fn from(cause: ExitCause) -> Self {
        match cause {
            ExitCause::Done => Cause::Done,
            ExitCause::Stopped => Cause::Stopped,
            ExitCause::Peers => Cause::Peers,
            ExitCause::Alone => Cause::Alone,
            ExitCause::Error => Cause::Error,
            ExitCause::NoRoom => Cause::NoRoom,
            ExitCause::Busy => Cause::Busy,
            ExitCause::Unknown => Cause::TaskUnknown,
        }
    }
}

/// Converts a cause to an exit cause; `None` for no cause or one that this version does not know.
fn exit_cause(cause: Cause) -> Option<ExitCause> {
    match cause {
        Cause::None => None,
        Cause::Done => Some(ExitCause::Done),
        Cause::Stopped => Some(ExitCause::Stopped),
        Cause::Peers => Some(ExitCause::Peers),
        Cause::Alone => Some(ExitCause::Alone),
        Cause::Error => Some(ExitCause::Error),
        Cause::NoRoom => Some(ExitCause::NoRoom),
        Cause::Busy => Some(ExitCause::Busy),
        Cause::TaskUnknown => Some(ExitCause::Unknown),
    }
}

impl From<&TaskStatus> for Task {
    fn from(status: &TaskStatus) -> Self {
        Task {
            task: status.task.clone(),
            attempt: status.attempt,
            phase: Phase::from(status.state).into(),
            cause: status.exit_cause.map_or(Cause::None, Cause::from).into(),
            saved: status.checkpointed,
        }
    }
}

impl Task {
    /// Converts the task to the workers' format; `None` for a phase that this version does not know.
    fn into_status(self) -> Option<TaskStatus> {
        let state = task_state(self.phase())?;
        let exit_cause = exit_cause(self.cause());
        Some(TaskStatus {
            task: self.task,
            attempt: self.attempt,
            state,
            exit_cause,
            checkpointed: self.saved,
        })
    }
}

impl From<&Heartbeat> for HeartbeatContent {
    fn from(heartbeat: &Heartbeat) -> Self {
        HeartbeatContent {
            addr: heartbeat.addr.clone(),
            machine_type: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            token: heartbeat.fencing_token,
            notice_s: heartbeat.notice_s,
            tasks: heartbeat.tasks.iter().map(Task::from).collect(),
        }
    }
}

impl ForwardedHeartbeat {
    /// Converts an entry with content to the workers' format. `None` without content, or if the phase
    /// of one of its tasks is unknown because a later version added it.
    pub fn into_heartbeat(self) -> Option<Heartbeat> {
        let content = self.content?;
        let tasks = content.tasks.into_iter().map(Task::into_status);
        Some(Heartbeat {
            machine: self.machine,
            addr: content.addr,
            machine_type: content.machine_type,
            zone: content.zone,
            spot: content.spot,
            epoch: self.session,
            sequence: self.seq,
            fencing_token: content.token,
            notice_s: content.notice_s,
            tasks: tasks.collect::<Option<_>>()?,
        })
    }
}

impl From<&Command> for TaskCommand {
    fn from(command: &Command) -> Self {
        let op = match command.kind {
            CommandKind::Start => Op::Start,
            CommandKind::Stop => Op::Stop,
            CommandKind::Forget => Op::Forget,
        };
        TaskCommand {
            op: op.into(),
            task: command.task.clone(),
            attempt: command.attempt,
            grace_s: command.grace_s,
        }
    }
}

impl TaskCommand {
    /// Converts the command to the workers' format; `None` for one that this version does not know.
    fn into_command(self) -> Option<Command> {
        let kind = match self.op() {
            Op::Unknown => return None,
            Op::Start => CommandKind::Start,
            Op::Stop => CommandKind::Stop,
            Op::Forget => CommandKind::Forget,
        };
        Some(Command { kind, task: self.task, attempt: self.attempt, grace_s: self.grace_s })
    }
}

impl MachineCommands {
    /// Converts the commands to the response to the worker. Commands that this version does not know
    /// are omitted; the leader repeats commands that were not carried out.
    pub fn into_response(self, fencing_token: u64) -> HeartbeatResponse {
        let commands = self.orders.into_iter().filter_map(TaskCommand::into_command).collect();
        HeartbeatResponse { fencing_token, commands }
    }
}
