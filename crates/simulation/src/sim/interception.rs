//! Numbers all messages between parties, and injects planned faults at some of them.
//!
//! Nothing here draws random numbers: a run without planned faults is the same whether it is
//! recorded or not, and a run with faults is the same up to the first one.

use super::message_label::{kind_of, label_of};
use super::*;

/// Kind of a message, by sender and receiver. A tick of a controller's timer counts as a message.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageKind {
    /// Tick of a controller's timer.
    Timer,
    /// Request to the store.
    StoreRequest {
        /// Whether it may change the store.
        writes: bool,
    },
    /// Reply of the store.
    StoreReply,
    /// Call to the cloud.
    CloudRequest,
    /// Reply of the cloud.
    CloudReply,
    /// Heartbeats that one controller forwards to another.
    ForwardRequest,
    /// Reply to forwarded heartbeats.
    ForwardReply,
    /// Heartbeat of a worker.
    Heartbeat,
    /// Response to a heartbeat.
    HeartbeatResponse,
    /// Commands sent directly to a worker.
    DirectCommands,
    /// Reply of a worker to direct commands.
    DirectReply,
    /// Request of a user.
    UserRequest,
    /// Response to a user's request.
    UserResponse,
}

impl MessageKind {
    /// Returns the name that the explorer prints.
    pub fn as_str(&self) -> &'static str {
        match self {
            MessageKind::Timer => "timer",
            MessageKind::StoreRequest { writes: true } => "state write",
            MessageKind::StoreRequest { writes: false } => "state read",
            MessageKind::StoreReply => "statereply",
            MessageKind::CloudRequest => "cloud",
            MessageKind::CloudReply => "cloudreply",
            MessageKind::ForwardRequest => "relay",
            MessageKind::ForwardReply => "relayreply",
            MessageKind::Heartbeat => "report",
            MessageKind::HeartbeatResponse => "reportanswer",
            MessageKind::DirectCommands => "direct",
            MessageKind::DirectReply => "directreply",
            MessageKind::UserRequest => "user",
            MessageKind::UserResponse => "useranswer",
        }
    }
}

/// Fault that can be injected at a message. Times are in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum MessageFault {
    /// The message is lost.
    Lost,
    /// The message arrives later by this time. At a timer, the controller is paused for this time.
    Delayed(f64),
    /// A copy of the message arrives later by this time.
    Duplicated(f64),
    /// The sender ends just before sending and restarts after this time. A machine does not return.
    SenderEndsBefore(f64),
    /// The sender ends just after sending and restarts after this time. A machine does not return.
    SenderEndsAfter(f64),
    /// The receiver is partitioned from that moment on, for this time.
    ReceiverPartitioned(f64),
    /// The store refuses the sender from that moment on, for this time.
    SenderRefused(f64),
    /// The machine that sends or receives the message hangs from that moment on, for this time.
    MachineHangs(f64),
    /// Users cancel every accepted job without a final status.
    JobsCancelled,
    /// Users query every job at every node and repeat their submissions.
    JobsQueried,
}

/// Fault that is injected at a message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// Number of the message in the run, starting at 1.
    pub message: u64,
    /// Fault that is injected there.
    pub fault: MessageFault,
}

/// Recorded message.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedMessage {
    /// Number of the message in the run, starting at 1.
    pub number: u64,
    /// Time of sending, in simulated seconds.
    pub at: f64,
    /// Kind of the message.
    pub kind: MessageKind,
    /// Purpose of the message and state of its subject.
    pub label: String,
}

/// Planned message faults, and the messages sent so far.
#[derive(Default)]
pub(super) struct Interception {
    plan: Vec<PlannedFault>,
    /// Number of messages so far.
    count: u64,
    /// Number of planned faults that were injected.
    injected: usize,
    record: Option<Record>,
}

#[derive(Default)]
struct Record {
    messages: Vec<RecordedMessage>,
    /// Labels of calls, used in the labels of their replies.
    calls: BTreeMap<CallKey, String>,
}

/// Message that has been sent, with its arrival time.
struct InTransit {
    at: f64,
    event: Event,
}

impl Simulation {
    /// Sets the faults to inject at messages, and records all messages if `record` is set.
    pub fn intercept(&mut self, mut plan: Vec<PlannedFault>, record: bool) {
        plan.sort_by_key(|planned| planned.message);
        let record = record.then(Record::default);
        self.interception = Some(Interception { plan, record, ..Interception::default() });
    }

    /// Returns the messages recorded so far.
    pub fn recorded_messages(&self) -> &[RecordedMessage] {
        let record = self.interception.as_ref().and_then(|interception| interception.record.as_ref());
        record.map_or(&[], |record| &record.messages)
    }

    /// Returns the number of planned faults that were injected.
    pub fn faults_injected(&self) -> usize {
        self.interception.as_ref().map_or(0, |interception| interception.injected)
    }

    /// Sends a message. `from` is the sending node, if the sender is a node. All planned message
    /// faults are injected here.
    pub(super) fn send(&mut self, at: f64, from: Option<usize>, event: Event) {
        self.copy_commands(at, &event);
        let Some(interception) = &mut self.interception else { return self.schedule(at, event) };
        interception.count += 1;
        let number = interception.count;
        let planned = interception.plan.iter().filter(|planned| planned.message == number);
        let due: Vec<MessageFault> = planned.map(|planned| planned.fault).collect();
        if interception.record.is_some() {
            self.record_message(number, &event);
        }
        let mut message = Some(InTransit { at, event });
        for fault in due {
            let Some(sent) = message else { return };
            message = self.apply_message_fault(fault, sent, from);
        }
        if let Some(InTransit { at, event }) = message {
            self.schedule(at, event);
        }
    }

    /// Injects a fault at a message and returns the message, changed by the fault. None if the message
    /// is lost or was never sent.
    fn apply_message_fault(
        &mut self,
        fault: MessageFault,
        sent: InTransit,
        from: Option<usize>,
    ) -> Option<InTransit> {
        if let Some(interception) = &mut self.interception {
            interception.injected += 1;
        }
        let InTransit { at, event } = &sent;
        match fault {
            MessageFault::Lost => return None,
            MessageFault::Delayed(by_s) => return Some(self.delay_message(sent, by_s)),
            MessageFault::Duplicated(by_s) => {
                self.faults_end = self.faults_end.max(at + by_s);
                if let Some(copy) = copy_of(event) {
                    self.schedule(at + by_s, copy);
                }
            }
            MessageFault::SenderEndsBefore(duration_s) => {
                self.end_sender(from, event, duration_s);
                return None;
            }
            MessageFault::SenderEndsAfter(duration_s) => self.end_sender(from, event, duration_s),
            MessageFault::ReceiverPartitioned(duration_s) => self.cut_receiver(from, event, duration_s),
            MessageFault::SenderRefused(duration_s) => {
                if let Some(node) = from {
                    self.inject(Fault::StoreRefusesNode { node, duration_s });
                }
            }
            MessageFault::MachineHangs(duration_s) => {
                if let Some(machine) = self.machine_of(event) {
                    self.inject(Fault::MachineHang { machine, duration_s });
                }
            }
            MessageFault::JobsCancelled => self.cancel_all(),
            MessageFault::JobsQueried => self.query_all_jobs(),
        }
        Some(sent)
    }

    fn delay_message(&mut self, sent: InTransit, by_s: f64) -> InTransit {
        let InTransit { at, event } = sent;
        if let Event::ControllerTick { node, .. } = event {
            self.inject(Fault::ControllerPause { node, duration_s: by_s });
            return InTransit { at, event };
        }
        self.faults_end = self.faults_end.max(at + by_s);
        InTransit { at: at + by_s, event }
    }

    fn end_sender(&mut self, from: Option<usize>, event: &Event, duration_s: f64) {
        if let Some(node) = from {
            self.inject(Fault::ControllerCrash { node, duration_s });
        } else if let Some(machine) = self.machine_of(event) {
            self.inject(Fault::MachineLost { machine });
        }
    }

    fn cut_receiver(&mut self, from: Option<usize>, event: &Event, duration_s: f64) {
        let fault = match event {
            Event::StoreRequestArrives(..) | Event::UnansweredWriteArrives(..) => {
                Some(Fault::StoreOutage { duration_s })
            }
            Event::CloudRequestArrives(..) => Some(Fault::CloudOutage { duration_s }),
            Event::ReplyArrives { node, input: Input::Store(..), .. } => {
                Some(Fault::IsolatedWithWorkers { node: *node, duration_s })
            }
            Event::ReplyArrives { node, input: Input::ForwardReply(..), .. }
            | Event::ForwardRequestArrives { to: node, .. } => {
                Some(Fault::PeerPartition { node: *node, duration_s })
            }
            Event::HeartbeatArrives { node, .. }
            | Event::ReplyArrives { node, input: Input::Worker(..), .. } => {
                Some(Fault::NodePartition { node: *node, store: false, workers: true, duration_s })
            }
            Event::UserRequestArrives { node, .. } => {
                Some(Fault::ControllerPause { node: *node, duration_s })
            }
            Event::HeartbeatResponseArrives { .. } | Event::DirectCommandsArrive { .. } => {
                let machine = self.machine_of(event);
                machine.map(|machine| Fault::ResponsesLost { machine, duration_s })
            }
            _ => from.map(|node| Fault::ControllerPause { node, duration_s }),
        };
        if let Some(fault) = fault {
            self.inject(fault);
        }
    }

    /// Returns the index of the machine that sends or receives a message.
    fn machine_of(&self, event: &Event) -> Option<usize> {
        let id = match event {
            Event::HeartbeatArrives { machine, .. } | Event::HeartbeatResponseArrives { machine, .. } => {
                machine
            }
            Event::DirectCommandsArrive { address, .. } => &self.worker_at(address)?.machine.id,
            Event::ReplyArrives {
                input: Input::Worker(_, WorkerReply::Heartbeat { report, .. }), ..
            } => &report.machine,
            _ => return None,
        };
        self.workers.keys().position(|key| key == id)
    }

    fn record_message(&mut self, number: u64, event: &Event) {
        let Some(kind) = kind_of(event) else { return };
        let message_label = label_of(self, event);
        let at = self.now;
        let interception = self.interception.as_mut();
        let Some(record) = interception.and_then(|interception| interception.record.as_mut()) else {
            return;
        };
        let label = if let Some(call) = call_made_by(event) {
            record.calls.insert(call, message_label.clone());
            message_label
        } else if let Some(call) = call_answered_by(event) {
            let request = record.calls.get(&call).map_or("", String::as_str);
            format!("{request} -> {message_label}")
        } else {
            message_label
        };
        record.messages.push(RecordedMessage { number, at, kind, label });
    }
}

/// Returns a copy of a message. None if messages of this kind cannot arrive twice.
fn copy_of(event: &Event) -> Option<Event> {
    match event {
        Event::HeartbeatArrives { machine, node, body, .. } => Some(Event::HeartbeatArrives {
            machine: machine.clone(),
            sequence: u64::MAX,
            node: *node,
            body: body.clone(),
        }),
        Event::UserRequestArrives { job, number, node, request } => Some(Event::UserRequestArrives {
            job: job.clone(),
            number: *number,
            node: *node,
            request: request.clone(),
        }),
        _ => None,
    }
}

/// Returns the call that a message makes.
fn call_made_by(event: &Event) -> Option<CallKey> {
    match event {
        Event::StoreRequestArrives(call, _)
        | Event::UnansweredWriteArrives(call, _)
        | Event::CloudRequestArrives(call, _)
        | Event::DirectCommandsArrive { call, .. }
        | Event::ForwardRequestArrives { call, .. } => Some(*call),
        _ => None,
    }
}

/// Returns the call that a message replies to.
fn call_answered_by(event: &Event) -> Option<CallKey> {
    let Event::ReplyArrives { node, incarnation, input } = event else { return None };
    let call = event::call_of_reply(input)?;
    Some(CallKey { node: *node, incarnation: *incarnation, call })
}
