//! Numbers every message between parties, and has planned faults strike at some of them.
//!
//! Nothing here draws at random: a run without planned faults is the same whether it is recorded or
//! not, and one with faults is the same up to the first of them.

use super::message_label::{kind_of, label_of};
use super::*;

/// Which parties a message goes between; a turn of a controller's timer counts as one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageKind {
    /// A turn of a controller's timer.
    Timer,
    /// A request to the store.
    StoreRequest {
        /// Whether it may change something.
        writes: bool,
    },
    /// A reply of the store.
    StoreReply,
    /// A call to the cloud.
    CloudRequest,
    /// A reply of the cloud.
    CloudReply,
    /// Heartbeats that one controller forwards to another.
    ForwardRequest,
    /// The reply to these.
    ForwardReply,
    /// A worker's heartbeat.
    Heartbeat,
    /// The response to a heartbeat.
    HeartbeatResponse,
    /// Commands that go straight to a worker.
    DirectCommands,
    /// A worker's reply to these.
    DirectReply,
    /// A user's request.
    UserRequest,
    /// The response to it.
    UserResponse,
}

impl MessageKind {
    /// The word by which the explorer prints it.
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

/// What can happen at a message. Times are in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum MessageFault {
    /// It does not arrive.
    Lost,
    /// It arrives that much later; at a controller's timer: the controller pauses for that long.
    Delayed(f64),
    /// A copy of it arrives that much later.
    Duplicated(f64),
    /// Its sender ends just before, and is back after that time. A machine stays away.
    SenderEndsBefore(f64),
    /// Its sender ends just after, and is back after that time. A machine stays away.
    SenderEndsAfter(f64),
    /// Its receiver is cut off from there on, for that time.
    ReceiverPartitioned(f64),
    /// The store refuses its sender from there on, for that time.
    SenderRefused(f64),
    /// The machine that sends or receives it hangs from there on, for that time.
    MachineHangs(f64),
    /// Users cancel every job that goes on.
    JobsCancelled,
    /// Users ask for every job at every node, and repeat their submissions.
    JobsQueried,
}

/// A fault that strikes at a message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    /// The message's number in the run, from 1 on.
    pub message: u64,
    /// What happens there.
    pub fault: MessageFault,
}

/// A message that was recorded.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedMessage {
    /// Its number in the run, from 1 on.
    pub number: u64,
    /// When it was sent, in simulated seconds.
    pub at: f64,
    /// Between whom.
    pub kind: MessageKind,
    /// Its purpose, and the state of what it is about.
    pub label: String,
}

/// What is to happen at which message, and which messages were sent.
#[derive(Default)]
pub(super) struct Interception {
    plan: Vec<PlannedFault>,
    /// Messages so far.
    count: u64,
    /// Planned faults that came about.
    injected: usize,
    record: Option<Record>,
}

#[derive(Default)]
struct Record {
    messages: Vec<RecordedMessage>,
    /// Labels of calls, for those of their replies.
    calls: BTreeMap<CallKey, String>,
}

/// A message on its way, and when it arrives.
struct InTransit {
    at: f64,
    event: Event,
}

impl Simulation {
    /// Has faults strike at messages, and records the messages if `record` is set.
    pub fn intercept(&mut self, mut plan: Vec<PlannedFault>, record: bool) {
        plan.sort_by_key(|planned| planned.message);
        let record = record.then(Record::default);
        self.interception = Some(Interception { plan, record, ..Interception::default() });
    }

    /// The messages recorded so far.
    pub fn recorded_messages(&self) -> &[RecordedMessage] {
        let record = self.interception.as_ref().and_then(|interception| interception.record.as_ref());
        record.map_or(&[], |record| &record.messages)
    }

    /// How many of the planned faults came about.
    pub fn faults_injected(&self) -> usize {
        self.interception.as_ref().map_or(0, |interception| interception.injected)
    }

    /// Sends a message, `from` a node if that is known: the one place in which planned faults strike.
    pub(super) fn send(&mut self, at: f64, from: Option<usize>, event: Event) {
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

    /// What is left of a message after a fault.
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

    /// The place, among all machines, of the one that sends or receives a message.
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
        let own_label = label_of(self, event);
        let at = self.now;
        let interception = self.interception.as_mut();
        let Some(record) = interception.and_then(|interception| interception.record.as_mut()) else {
            return;
        };
        let label = if let Some(call) = call_made_by(event) {
            record.calls.insert(call, own_label.clone());
            own_label
        } else if let Some(call) = call_answered_by(event) {
            let request = record.calls.get(&call).map_or("", String::as_str);
            format!("{request} -> {own_label}")
        } else {
            own_label
        };
        record.messages.push(RecordedMessage { number, at, kind, label });
    }
}

/// A copy of a message that may come twice.
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

/// The call that a message makes.
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

/// The call that a message is the reply to.
fn call_answered_by(event: &Event) -> Option<CallKey> {
    let Event::ReplyArrives { node, incarnation, input } = event else { return None };
    let call = event::call_of_reply(input)?;
    Some(CallKey { node: *node, incarnation: *incarnation, call })
}
