//! Inputs and outputs of the controller's state machine.

use crate::model::records::Value;
use protocol::cloud::{MachineList, MachineTypes, Machines, RentRequest};
use protocol::peer::{ForwardReply, ForwardRequest, View};
use protocol::state::{CasConflict, Events, Item, Page, Transaction};
use protocol::worker::{DirectCommands, Heartbeat};

/// Time on the monotonic clock, in seconds.
pub type Time = f64;
/// Id of a call of the controller. A reply carries the id of its call.
pub type CallId = u64;
/// Id of a request to the controller. A response carries the id of its request.
pub type RequestId = u64;

/// HTTP request to this node.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// Submission of a job, with the undecoded body.
    Submit(Vec<u8>),
    /// Query of the status of the job with this id.
    QueryStatus(String),
    /// Cancellation of the job with this id.
    Cancel(String),
    /// A worker's heartbeat, with the undecoded body.
    Heartbeat(Vec<u8>),
    /// A load balancer's health check.
    HealthCheck,
}

/// Response to a [`Request`].
#[derive(Debug, Clone, PartialEq)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Encoded body.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header in seconds; none if the header is not sent.
    pub retry_after_s: Option<u32>,
}

/// Request to the key-value store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    /// Reads one key.
    Get(String),
    /// Reads one page of the keys with a prefix.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Last key of the previous page; none for the first page.
        after: Option<String>,
    },
    /// Executes a compare-and-swap transaction.
    Commit(Transaction<Value>),
    /// Grants a lease.
    Grant {
        /// Time to live, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews the lease with this id.
    Renew(u64),
    /// Revokes the lease with this id and deletes the keys bound to it.
    Revoke(u64),
    /// Waits for changes of the keys with a prefix.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Revision after which changes are returned.
        after: u64,
        /// Maximum time to wait for a change, in milliseconds; 0 returns at once.
        wait_ms: u64,
    },
}

/// Reply of the store to a [`StoreRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    /// The key that was read.
    Item(Item<Value>),
    /// The key does not exist as of this revision.
    Missing(u64),
    /// The page that was read.
    Page(Page<Value>),
    /// The transaction was executed at this revision.
    Committed(u64),
    /// A compare of the transaction failed, so it was not executed.
    Conflict(CasConflict),
    /// A lease with this id was granted.
    Granted(u64),
    /// The lease was renewed or revoked.
    Done,
    /// The changes returned by a watch.
    Events(Events<Value>),
    /// The lease or the watched revision no longer exists: 404 for a lease, 410 for a watch,
    /// 400 "no such lease" for a transaction.
    Gone,
    /// Certainly not executed: 400 for a transaction for any other reason, such as a value or a
    /// transaction that is too large, or malformed.
    Invalid,
    /// Certainly not executed: 429, the store's rate limit.
    Limited,
    /// Certainly not executed: 503, or no connection.
    Refused,
    /// No reply: the request was executed, was not executed, or may still be executed.
    Unknown,
}

/// Request to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    /// Reads the machine types.
    Types,
    /// Reads one page of the machines.
    List {
        /// Last machine of the previous page; none for the first page.
        after: Option<String>,
    },
    /// Starts machines.
    Rent(RentRequest),
    /// Deletes the machines with these ids.
    Delete(Vec<String>),
}

/// Reply of the cloud to a [`CloudRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// The machine types.
    Types(MachineTypes),
    /// One page of the machines.
    List(MachineList),
    /// The machines that were started.
    Machines(Machines),
    /// The cloud has no machines of the requested type in the requested zone now.
    NoCapacity,
    /// The machines were deleted.
    Done,
    /// The cloud rejected the request as malformed.
    Malformed,
    /// Certainly not executed.
    Refused,
    /// No reply: the request was executed, was not executed, or may still be executed.
    Unknown,
}

/// Reply of a worker to commands that were sent to it directly.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerReply {
    /// 200 or 409, with the worker's state.
    Heartbeat {
        /// Whether the commands were executed (200).
        executed: bool,
        /// State of the worker after it has handled the commands.
        report: Box<Heartbeat>,
    },
    /// No reply, or any other status.
    Failed,
}

/// Event for the controller.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Passage of time, due after `Controller::wake_interval_s` without another input.
    Tick,
    /// A request, which is answered by exactly one [`Output::Response`].
    Request(RequestId, Request),
    /// The store's reply to a call.
    Store(CallId, StoreReply),
    /// The cloud's reply to a call.
    Cloud(CallId, CloudReply),
    /// A worker's reply to a call.
    Worker(CallId, WorkerReply),
    /// A peer's view of the cluster.
    PeerView(View),
    /// Heartbeats forwarded to this node by a proxy.
    ForwardRequest(RequestId, ForwardRequest),
    /// The leader's reply to forwarded heartbeats; none if it did not arrive in time.
    ForwardReply(CallId, Option<ForwardReply>),
}

/// Action that the controller's driver has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Answers a request.
    Response(RequestId, HttpResponse),
    /// Calls the store.
    Store(CallId, StoreRequest),
    /// Calls the cloud.
    Cloud(CallId, CloudRequest),
    /// Sends commands to the worker at this address.
    Worker(CallId, String, DirectCommands),
    /// Forwards heartbeats to the controller with this name.
    Forward(CallId, String, ForwardRequest),
    /// Answers heartbeats forwarded by another controller.
    ForwardReply(RequestId, ForwardReply),
}
