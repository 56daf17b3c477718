//! Events, and the queue that orders them by time and then by the order of scheduling.

use super::Fault;
use controller::{CallId, CloudRequest, HttpResponse, Input, Request, StoreRequest};
use protocol::peer::ForwardRequest;
use protocol::worker::DirectCommands;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Key of one call of one incarnation of a controller. Later calls of a node compare greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallKey {
    pub(super) node: usize,
    /// Number of the process start on that node.
    pub(super) incarnation: u64,
    pub(super) call: CallId,
}

/// Event in simulated time.
pub(super) enum Event {
    ControllerTick {
        node: usize,
        incarnation: u64,
    },
    /// Restart of a controller process that ended.
    ControllerRestart(usize),
    StoreRequestArrives(CallKey, StoreRequest),
    /// Arrival of a transaction whose sender receives no response.
    UnansweredWriteArrives(CallKey, StoreRequest),
    /// End of a store outage: all leases are renewed for their full duration.
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
    /// Peers exchange their views of the cluster.
    ExchangeViews,
    ReplyArrives {
        node: usize,
        incarnation: u64,
        input: Input,
    },
    /// Late copy of a reply that arrives although its call may have ended.
    ReplyCopyArrives {
        node: usize,
        incarnation: u64,
        input: Input,
    },
    /// Timeout of a call. The input reports it to the controller.
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
    /// Next step of the user of this job.
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
    /// Returns the node that handles the event. While that node is paused, the event is postponed.
    pub(super) fn receiver(&self) -> Option<usize> {
        match self {
            Event::ControllerTick { node, .. }
            | Event::ReplyArrives { node, .. }
            | Event::ReplyCopyArrives { node, .. }
            | Event::HeartbeatArrives { node, .. }
            | Event::UserRequestArrives { node, .. }
            | Event::ForwardRequestArrives { to: node, .. } => Some(*node),
            Event::CallTimeout(call, _) => Some(call.node),
            _ => None,
        }
    }
}

/// Returns the call that an input replies to.
pub(super) fn call_of_reply(input: &Input) -> Option<CallId> {
    match input {
        Input::Store(call, _)
        | Input::Cloud(call, _)
        | Input::Worker(call, _)
        | Input::ForwardReply(call, _) => Some(*call),
        _ => None,
    }
}

/// Queue of scheduled events.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Number of events scheduled so far. It orders events with the same time.
    count: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: f64, event: Event) {
        self.count += 1;
        self.heap.push(Reverse(ScheduledEvent { at, order: self.count, event }));
    }

    /// Removes the next event and returns it with its time.
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
