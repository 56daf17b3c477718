//! Reports and commands between the workers' format and the controllers' own.

use crate::peer::{
    Cause, ForwardedHeartbeat, HeartbeatContent, MachineCommands, Op, Phase, Task, TaskCommand,
};
use crate::worker::{Command, CommandKind, ExitCause, Heartbeat, HeartbeatResponse, TaskState, TaskStatus};

impl From<TaskState> for Phase {
    fn from(s: TaskState) -> Self {
        match s {
            TaskState::Fetching => Phase::Fetching,
            TaskState::Waiting => Phase::Waiting,
            TaskState::Running => Phase::Running,
            TaskState::Saving => Phase::Saving,
            TaskState::Exited => Phase::Exited,
        }
    }
}

fn state(p: Phase) -> Option<TaskState> {
    Some(match p {
        Phase::Unknown => return None,
        Phase::Fetching => TaskState::Fetching,
        Phase::Waiting => TaskState::Waiting,
        Phase::Running => TaskState::Running,
        Phase::Saving => TaskState::Saving,
        Phase::Exited => TaskState::Exited,
    })
}

impl From<ExitCause> for Cause {
    fn from(c: ExitCause) -> Self {
        match c {
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

fn cause(c: Cause) -> Option<ExitCause> {
    Some(match c {
        Cause::None => return None,
        Cause::Done => ExitCause::Done,
        Cause::Stopped => ExitCause::Stopped,
        Cause::Peers => ExitCause::Peers,
        Cause::Alone => ExitCause::Alone,
        Cause::Error => ExitCause::Error,
        Cause::NoRoom => ExitCause::NoRoom,
        Cause::Busy => ExitCause::Busy,
        Cause::TaskUnknown => ExitCause::Unknown,
    })
}

impl From<&Heartbeat> for HeartbeatContent {
    fn from(r: &Heartbeat) -> Self {
        let tasks = r.tasks.iter().map(|t| Task {
            task: t.task.clone(),
            attempt: t.attempt,
            phase: Phase::from(t.state).into(),
            cause: t.exit_cause.map_or(Cause::None, Cause::from).into(),
            saved: t.checkpointed,
        });
        HeartbeatContent {
            addr: r.addr.clone(),
            machine_type: r.machine_type.clone(),
            zone: r.zone.clone(),
            spot: r.spot,
            token: r.fencing_token,
            notice_s: r.notice_s,
            tasks: tasks.collect(),
        }
    }
}

impl ForwardedHeartbeat {
    /// The report that an entry with content passes on. None without content,
    /// or with a phase that a later version has added.
    pub fn report(self) -> Option<Heartbeat> {
        let c = self.content?;
        let tasks = c.tasks.into_iter().map(|t| {
            let (phase, exit) = (t.phase(), t.cause());
            Some(TaskStatus {
                task: t.task,
                attempt: t.attempt,
                state: state(phase)?,
                exit_cause: cause(exit),
                checkpointed: t.saved,
            })
        });
        Some(Heartbeat {
            machine: self.machine,
            addr: c.addr,
            machine_type: c.machine_type,
            zone: c.zone,
            spot: c.spot,
            epoch: self.session,
            sequence: self.seq,
            fencing_token: c.token,
            notice_s: c.notice_s,
            tasks: tasks.collect::<Option<_>>()?,
        })
    }
}

impl From<&Command> for TaskCommand {
    fn from(c: &Command) -> Self {
        let op = match c.kind {
            CommandKind::Start => Op::Start,
            CommandKind::Stop => Op::Stop,
            CommandKind::Forget => Op::Forget,
        };
        TaskCommand { op: op.into(), task: c.task.clone(), attempt: c.attempt, grace_s: c.grace_s }
    }
}

impl MachineCommands {
    /// The answer to the worker. Commands that this version does not know are
    /// left out; the leader repeats what is still due.
    pub fn answer(self, token: u64) -> HeartbeatResponse {
        let commands = self.orders.into_iter().filter_map(|o| {
            let op = match o.op() {
                Op::Unknown => return None,
                Op::Start => CommandKind::Start,
                Op::Stop => CommandKind::Stop,
                Op::Forget => CommandKind::Forget,
            };
            Some(Command { kind: op, task: o.task, attempt: o.attempt, grace_s: o.grace_s })
        });
        HeartbeatResponse { fencing_token: token, commands: commands.collect() }
    }
}
