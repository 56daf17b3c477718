//! Calls to the store, the cloud, workers and other controllers that wait for a reply.

use crate::client_api::hedged_requests::HedgedRequestId;
use crate::client_api::record_location::RecordLocation;
use crate::controller::Controller;
use crate::messages::{CallId, CloudRequest, Output, StoreRequest, Time};
use crate::model::records::JobRecord;
use protocol::worker::DirectCommands;
use std::collections::BTreeMap;

/// What a call was made for, so that its reply can be routed. A `token` is the fencing token of
/// the leadership that made the call; replies for an earlier leadership are dropped.
#[derive(Debug, Clone)]
pub(crate) enum CallContext {
    /// Read of the leader key.
    LeaderRead,
    /// Watch of the leader key.
    LeaderWatch,
    /// Read of the stored machine types.
    TypesRead,
    /// Grant of a lease for a campaign.
    Grant,
    /// Compare-and-swap of the leader key.
    Campaign {
        /// The lease that the key is to be bound to.
        lease: u64,
    },
    /// Read of the leader key after a campaign without an answer.
    CampaignRead {
        /// The lease of that campaign.
        lease: u64,
    },
    /// Renewal of the leader's lease.
    Renew {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// When the renewal was sent.
        sent: Time,
    },
    /// Revocation of a lease; nothing depends on its reply.
    Revoke,
    /// One page of the stored records, read after an election.
    RecoveryPage {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// When the read was sent.
        sent: Time,
    },
    /// The leader's watch of the job records.
    JobWatch {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// When the watch was sent.
        sent: Time,
    },
    /// A transaction of the leader's write queue.
    Commit {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// The transaction's number in the queue.
        serial: u64,
    },
    /// Move of a terminal job's record to the archive.
    ArchiveMove {
        /// Fencing token of the leadership that made the call.
        token: u64,
    },
    /// Read of the format gate by any node.
    FormatGateRead,
    /// Read of the format gate by the leader.
    FormatRead {
        /// Fencing token of the leadership that made the call.
        token: u64,
    },
    /// Write of the format gate.
    FormatWrite {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// The format that is written.
        format: u32,
    },
    /// The record of a dependency.
    DependencyRead {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// The dependency's id.
        id: String,
        /// Whether the archive is read, where the records of terminal jobs are.
        in_archive: bool,
    },
    /// Write of the image locations.
    ImagesWrite {
        /// Fencing token of the leadership that made the call.
        token: u64,
    },
    /// Read of the image locations.
    ImagesRead {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// The number of the page.
        part: usize,
    },
    /// Read of a record whose write had an unknown outcome.
    ReadBackRecord {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// The record's key.
        key: String,
    },
    /// Watch that brings the cache of job statuses up to date.
    FreshnessRead,
    /// Comparison that tells which of the queried jobs exist.
    CacheComparison,
    /// The record of a job whose status was queried.
    JobRead {
        /// The job's id.
        id: String,
        /// Where the record is read.
        location: RecordLocation,
    },
    /// Comparison of a job's record and of its cancellation mark with what was read.
    CancellationMarkCompare {
        /// The job's id.
        id: String,
        /// The record as it was read.
        record: Box<JobRecord>,
        /// The record's version.
        version: u64,
    },
    /// The next chunk of a record's specification.
    SpecChunks {
        /// The leader's fencing token; none for status queries, which any node answers.
        token: Option<u64>,
        /// The record that names the chunks.
        record: Box<JobRecord>,
        /// The record's version.
        version: u64,
        /// The chunks that have been read.
        pieces: Vec<String>,
    },
    /// Write of chunks of a submitted specification.
    CreateChunks {
        /// The submitted job's id.
        id: String,
    },
    /// Write of a submitted job's record.
    Create {
        /// The job's id.
        id: String,
    },
    /// Read of the record of a job that is to be cancelled.
    CancelRead {
        /// The job's id.
        id: String,
        /// Attempts before this one.
        tries: u32,
        /// Where the record is read.
        location: RecordLocation,
    },
    /// Write of a cancellation.
    CancelWrite {
        /// The job's id.
        id: String,
        /// Attempts before this one.
        tries: u32,
    },
    /// A copy of a hedged transaction.
    Hedged {
        /// The hedged transaction.
        id: HedgedRequestId,
    },
    /// Read that tells whether a hedged transaction was executed.
    HedgedReadBack {
        /// The hedged transaction.
        id: HedgedRequestId,
    },
    /// Write of the machine types; nothing depends on its reply.
    TypesWrite,
    /// The cloud's machine types.
    CloudTypes {
        /// Fencing token of the leadership that made the call.
        token: u64,
    },
    /// The cloud's list of machines.
    CloudList {
        /// Fencing token of the leadership that made the call.
        token: u64,
    },
    /// Request for more machines.
    ScaleOut {
        /// Fencing token of the leadership that made the call.
        token: u64,
    },
    /// Deletion of machines.
    Delete {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// The ids of the machines.
        machines: Vec<String>,
    },
    /// Commands that were sent to a worker directly.
    WorkerCall {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// The worker's machine.
        machine: String,
        /// The agent epoch that the commands are meant for.
        session: u64,
    },
    /// Heartbeats that were forwarded to another controller.
    Forward,
}

/// A call that has not been answered.
pub(crate) struct PendingCall {
    /// When it was sent.
    pub(crate) sent_at: Time,
    /// What it was made for.
    pub(crate) context: CallContext,
}

/// All calls that have not been answered.
pub(crate) struct PendingCalls {
    /// The id of the next call.
    next_id: CallId,
    /// Calls by id.
    pending: BTreeMap<CallId, PendingCall>,
}

impl Default for PendingCalls {
    fn default() -> Self {
        PendingCalls { next_id: 1, pending: BTreeMap::new() }
    }
}

impl PendingCalls {
    /// Records a call that is sent `now`, and returns its id.
    pub(crate) fn register(&mut self, now: Time, context: CallContext) -> CallId {
        let id = self.next_id;
        self.next_id += 1;
        self.pending.insert(id, PendingCall { sent_at: now, context });
        id
    }

    /// Takes out the call that a reply belongs to; none if it was already answered.
    pub(crate) fn complete(&mut self, id: CallId) -> Option<PendingCall> {
        self.pending.remove(&id)
    }
}

impl Controller {
    /// Records a call that the caller sends itself.
    pub(crate) fn register_call(&mut self, context: CallContext) -> CallId {
        self.calls.register(self.now, context)
    }

    /// Sends a request to the store.
    pub(crate) fn call_store(&mut self, context: CallContext, request: StoreRequest) -> CallId {
        let id = self.register_call(context);
        self.outputs.push(Output::Store(id, request));
        id
    }

    /// Sends a request to the cloud.
    pub(crate) fn call_cloud(&mut self, context: CallContext, request: CloudRequest) -> CallId {
        let id = self.register_call(context);
        self.outputs.push(Output::Cloud(id, request));
        id
    }

    /// Sends commands to the worker at `address` without waiting for its next heartbeat.
    pub(crate) fn call_worker(&mut self, context: CallContext, address: &str, commands: DirectCommands) {
        let id = self.register_call(context);
        self.outputs.push(Output::Worker(id, address.to_string(), commands));
    }
}
