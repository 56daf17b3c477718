//! What goes into the core and what comes out of it.

use crate::model::records::Value;
use protocol::cloud::{MachineList, MachineTypes, Machines, RentRequest};
use protocol::peer::{ForwardReply, ForwardRequest, View};
use protocol::state::{CasConflict, Events, Item, Page, Transaction};
use protocol::worker::{DirectCommands, Heartbeat};

/// Seconds on the steady clock.
pub type Time = f64;
pub type CallId = u64;
pub type RequestId = u64;

#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    Submit(Vec<u8>),
    QueryStatus(String),
    Cancel(String),
    Heartbeat(Vec<u8>),
    HealthCheck,
}

#[derive(Debug, Clone, PartialEq)]
pub struct HttpResponse {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum StoreRequest {
    Get(String),
    List { prefix: String, after: Option<String> },
    Commit(Transaction<Value>),
    Grant { ttl_ms: u64 },
    Renew(u64),
    Revoke(u64),
    Watch { prefix: String, after: u64, wait_ms: u64 },
}

#[derive(Debug, Clone, PartialEq)]
pub enum StoreReply {
    Item(Item<Value>),
    Missing(u64),
    Page(Page<Value>),
    Committed(u64),
    Conflict(CasConflict),
    Granted(u64),
    Done,
    Events(Events<Value>),
    /// 404 for a lease, 410 for a watch, 400 "no such lease" for a commit.
    Gone,
    /// 400 for a commit for any other reason: a value or the transaction is too large,
    /// or it makes no sense. Certainly not executed.
    Invalid,
    /// 429: more than the service takes in a second. Certainly not executed.
    Limited,
    /// Certainly not executed: 503, no connection.
    Refused,
    /// Executed, not executed or yet to be executed.
    Unknown,
}

#[derive(Debug, Clone, PartialEq)]
pub enum CloudRequest {
    Types,
    List { after: Option<String> },
    Rent(RentRequest),
    Delete(Vec<String>),
}

#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    Types(MachineTypes),
    List(MachineList),
    Machines(Machines),
    NoCapacity,
    Done,
    Malformed,
    Refused,
    Unknown,
}

#[derive(Debug, Clone, PartialEq)]
pub enum WorkerReply {
    /// 200 or 409, with the worker's report.
    Heartbeat {
        executed: bool,
        report: Box<Heartbeat>,
    },
    Failed,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    Tick,
    Request(RequestId, Request),
    Store(CallId, StoreReply),
    Cloud(CallId, CloudReply),
    Worker(CallId, WorkerReply),
    /// What another controller sees.
    PeerView(View),
    /// Workers' reports that another controller passes on.
    ForwardRequest(RequestId, ForwardRequest),
    /// None: no reply came, or too late.
    ForwardReply(CallId, Option<ForwardReply>),
}

#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    Response(RequestId, HttpResponse),
    Store(CallId, StoreRequest),
    Cloud(CallId, CloudRequest),
    Worker(CallId, String, DirectCommands),
    /// Passes reports to the controller of that name.
    Forward(CallId, String, ForwardRequest),
    /// Answers another controller's relay.
    ForwardReply(RequestId, ForwardReply),
}
