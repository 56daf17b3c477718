//! Late copies of all messages that carry commands, or that make a controller send some, and the
//! starts that are carried out a second time.

use super::*;

/// Largest delay of half of the copies, in seconds. The others may take up to the fault's delay.
const SHORT_DELAY_S: f64 = 1.0;

/// Number of copies that were sent, by kind of message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CommandCopies {
    /// Responses to heartbeats.
    pub heartbeat_responses: u64,
    /// Commands sent directly to a worker.
    pub direct_commands: u64,
    /// Heartbeats forwarded to the leader.
    pub forward_requests: u64,
    /// The leader's replies to forwarded heartbeats.
    pub forward_replies: u64,
}

/// Start of an attempt that the same worker had started and removed before.
#[derive(Debug, Clone, PartialEq)]
pub struct RepeatedStart {
    /// Time of the second start, in simulated seconds.
    pub at: f64,
    /// Key of the task.
    pub task: TaskKey,
    /// Attempt number.
    pub attempt: u64,
    /// Machine on which it started.
    pub machine: String,
}

impl Simulation {
    /// Schedules a late copy of a message that arrives at `at`, if the fault is active.
    pub(super) fn copy_commands(&mut self, at: f64, event: &Event) {
        let fault = self.faults.duplicated_commands;
        if !fault.is_active(self.now) {
            return;
        }
        let Some(copy) = self.copy_of_commands(event) else { return };
        let max_delay_s = if self.rng.gen() { SHORT_DELAY_S } else { fault.strength };
        let arrives_at = at + self.rng.gen_range(0.0..max_delay_s);
        self.schedule(arrives_at, copy);
    }

    fn copy_of_commands(&mut self, event: &Event) -> Option<Event> {
        let copies = &mut self.command_copies;
        match event {
            Event::HeartbeatResponseArrives { machine, sequence, node, response } => {
                copies.heartbeat_responses += 1;
                Some(Event::HeartbeatResponseArrives {
                    machine: machine.clone(),
                    sequence: *sequence,
                    node: *node,
                    response: response.clone(),
                })
            }
            Event::DirectCommandsArrive { call, address, body } => {
                copies.direct_commands += 1;
                let (address, body) = (address.clone(), body.clone());
                Some(Event::DirectCommandsArrive { call: *call, address, body })
            }
            Event::ForwardRequestArrives { call, to, request } => {
                copies.forward_requests += 1;
                Some(Event::ForwardRequestArrives { call: *call, to: *to, request: request.clone() })
            }
            Event::ReplyArrives { node, incarnation, input: input @ Input::ForwardReply(_, Some(_)) } => {
                copies.forward_replies += 1;
                let (node, incarnation) = (*node, *incarnation);
                Some(Event::ReplyCopyArrives { node, incarnation, input: input.clone() })
            }
            _ => None,
        }
    }

    /// Delivers a copy of a reply to the process that made the call, whether or not the call is still
    /// open.
    pub(super) fn reply_copy_arrives(&mut self, node: usize, incarnation: u64, input: Input) {
        if self.is_running(node, incarnation) {
            self.deliver_input(node, input);
        }
    }

    /// Records the starts in `commands` that took effect although the worker had removed the same
    /// attempt before. A leader may start an attempt again if the same message removes it first.
    pub(super) fn record_repeated_starts(&mut self, id: &str, commands: &[Command], started: &[Command]) {
        let at = self.now;
        let Some(worker) = self.workers.get(id) else { return };
        for command in started {
            let is_intended = commands.iter().any(|other| {
                other.kind == CommandKind::Forget
                    && (&other.task, other.attempt) == (&command.task, command.attempt)
            });
            let Some((job, index)) = split_task(&command.task) else { continue };
            let task = TaskKey { job: job.to_string(), index };
            if !is_intended && worker.has_removed(&task, command.attempt) {
                let (attempt, machine) = (command.attempt, id.to_string());
                self.repeated_starts.push(RepeatedStart { at, task, attempt, machine });
            }
        }
    }
}
