//! Events, and the queue that orders them by time and then by when they were scheduled.

use super::Fault;
use controller::{CallId, CloudRequest, HttpResponse, Input, Request, StoreRequest};
use protocol::peer::ForwardRequest;
use protocol::worker::DirectCommands;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// One call of one run of a controller. Later calls of a node are greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallKey {
    pub(super) node: usize,
    /// Which start of the node's process it is of.
    pub(super) incarnation: u64,
    pub(super) call: CallId,
}

/// What happens at a moment.
pub(super) enum Event {
    ControllerTick {
        node: usize,
        incarnation: u64,
    },
    /// A process that ended is started again.
    ControllerRestart(usize),
    StoreRequestArrives(CallKey, StoreRequest),
    /// A transaction whose sender gets no answer.
    UnansweredWriteArrives(CallKey, StoreRequest),
    /// An outage of the store ends: all leases have their full time again.
    StoreRecovers,
    CloudRequestArrives(CallKey, CloudRequest),
    DirectCommandsArrive {
        call: CallKey,
        address: String,
        body: DirectCommands,
    },
    ForwardRequestArrives {
        call: CallKey,
        to: usize,
        request: ForwardRequest,
    },
    ExchangeViews,
    ReplyArrives {
        node: usize,
        incarnation: u64,
        input: Input,
    },
    /// A call got no reply in time; the input says so.
    CallTimeout(CallKey, Input),
    WorkerTurn(String),
    HeartbeatArrives {
        machine: String,
        sequence: u64,
        node: usize,
        body: Vec<u8>,
    },
    HeartbeatResponseArrives {
        machine: String,
        sequence: u64,
        node: usize,
        response: HttpResponse,
    },
    HeartbeatTimeout {
        machine: String,
        sequence: u64,
    },
    /// The user of this job acts.
    UserTurn(String),
    UserRequestArrives {
        job: String,
        number: u64,
        node: usize,
        request: Request,
    },
    UserResponseArrives {
        job: String,
        number: u64,
        response: HttpResponse,
    },
    UserRequestTimeout {
        job: String,
        number: u64,
    },
    FaultBegins(Fault),
    PeriodicStep,
}

impl Event {
    /// The node that has to be running for the event to happen now.
    pub(super) fn receiver(&self) -> Option<usize> {
        match self {
            Event::ControllerTick { node, .. }
            | Event::ReplyArrives { node, .. }
            | Event::HeartbeatArrives { node, .. }
            | Event::UserRequestArrives { node, .. }
            | Event::ForwardRequestArrives { to: node, .. } => Some(*node),
            Event::CallTimeout(call, _) => Some(call.node),
            _ => None,
        }
    }
}

/// The call that an input is the reply to.
pub(super) fn call_of_reply(input: &Input) -> Option<CallId> {
    match input {
        Input::Store(call, _)
        | Input::Cloud(call, _)
        | Input::Worker(call, _)
        | Input::ForwardReply(call, _) => Some(*call),
        _ => None,
    }
}

/// The events to come.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Events scheduled so far, which orders those of one moment.
    count: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: f64, event: Event) {
        self.count += 1;
        self.heap.push(Reverse(ScheduledEvent { at, order: self.count, event }));
    }

    /// The next event and its time.
    pub(super) fn pop(&mut self) -> Option<(f64, Event)> {
        self.heap.pop().map(|Reverse(next)| (next.at, next.event))
    }
}

struct ScheduledEvent {
    at: f64,
    order: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
    }
}
