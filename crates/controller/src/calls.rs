//! Calls to the store, the cloud, workers and other controllers that wait for a reply.

use crate::client_api::hedged_requests::HedgedRequestId;
use crate::client_api::record_location::RecordLocation;
use crate::controller::Controller;
use crate::messages::{CallId, CloudRequest, Output, StoreRequest, Time};
use crate::model::records::JobRecord;
use protocol::worker::DirectCommands;
use std::collections::BTreeMap;

/// Purpose of a call, by which its reply is routed. A `token` is the fencing token of the leadership
/// that made the call; replies for an earlier leadership are dropped.
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
        /// Id of the lease to which the key will be bound.
        lease: u64,
    },
    /// Read of the leader key after a campaign without a reply.
    CampaignRead {
        /// Id of the lease of that campaign.
        lease: u64,
    },
    /// Renewal of the leader's lease.
    Renew {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// Time at which the renewal was sent.
        sent: Time,
    },
    /// Revocation of a lease; nothing depends on its reply.
    Revoke,
    /// Read of one page of the stored records after an election.
    RecoveryPage {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// Time at which the read was sent.
        sent: Time,
    },
    /// The leader's watch of the job records.
    JobWatch {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// Time at which the watch was sent.
        sent: Time,
    },
    /// A transaction of the leader's write queue.
    Commit {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// Serial number of the transaction in the queue.
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
        /// Format that is written.
        format: u32,
    },
    /// Read of a dependency's record by the leader.
    DependencyRead {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// Id of the dependency.
        id: String,
        /// Whether the archive is read, which holds the records of terminal jobs.
        in_archive: bool,
    },
    /// Write of the image locations.
    ImagesWrite {
        /// Fencing token of the leadership that made the call.
        token: u64,
    },
    /// Read of one part of the image locations.
    ImagesRead {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// Number of the part.
        part: usize,
    },
    /// Read-back of a record whose write had an unknown outcome.
    ReadBackRecord {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// Key of the record.
        key: String,
    },
    /// Watch that updates the cache of job statuses.
    StatusCacheWatch,
    /// Transaction without writes that tells which of the queried jobs exist.
    ExistenceCheck,
    /// Read of the record of a job whose status was queried.
    JobRead {
        /// Id of the job.
        id: String,
        /// Location at which the record is read.
        location: RecordLocation,
    },
    /// Transaction without writes that checks whether a job's record is unchanged since it was read and
    /// has no cancellation mark.
    CancellationMarkCompare {
        /// Id of the job.
        id: String,
        /// Record that was read.
        record: Box<JobRecord>,
        /// Version of the record.
        version: u64,
    },
    /// Read of the next page of chunks of a record's specification.
    SpecChunks {
        /// Fencing token of the leader; none for status queries, which any node answers.
        token: Option<u64>,
        /// Record that refers to the chunks.
        record: Box<JobRecord>,
        /// Version of the record.
        version: u64,
        /// Texts of the chunks that have been read so far.
        pieces: Vec<String>,
    },
    /// Write of chunks of a submitted specification.
    CreateChunks {
        /// Id of the submitted job.
        id: String,
    },
    /// Write of a submitted job's record.
    Create {
        /// Id of the submitted job.
        id: String,
    },
    /// Read of a job's record that precedes its cancellation.
    CancelRead {
        /// Id of the job.
        id: String,
        /// Number of earlier attempts.
        tries: u32,
        /// Location at which the record is read.
        location: RecordLocation,
    },
    /// Write of a cancellation.
    CancelWrite {
        /// Id of the job.
        id: String,
        /// Number of earlier attempts.
        tries: u32,
    },
    /// Copy of a hedged transaction.
    Hedged {
        /// Id of the hedged transaction.
        id: HedgedRequestId,
    },
    /// Read that tells whether a hedged transaction was executed.
    HedgedReadBack {
        /// Id of the hedged transaction.
        id: HedgedRequestId,
    },
    /// Write of the machine types; nothing depends on its reply.
    TypesWrite,
    /// Read of the cloud's machine types.
    CloudTypes {
        /// Fencing token of the leadership that made the call.
        token: u64,
    },
    /// Read of one page of the cloud's list of machines.
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
        /// Ids of the machines.
        machines: Vec<String>,
    },
    /// Commands sent directly to a worker.
    WorkerCall {
        /// Fencing token of the leadership that made the call.
        token: u64,
        /// Id of the worker's machine.
        machine: String,
        /// Agent epoch for which the commands are meant.
        session: u64,
    },
    /// Heartbeats forwarded to another controller.
    Forward,
}

/// Call that has not been answered.
pub(crate) struct PendingCall {
    /// Time at which the call was sent.
    pub(crate) sent_at: Time,
    /// Purpose of the call.
    pub(crate) context: CallContext,
}

/// All calls that have not been answered.
pub(crate) struct PendingCalls {
    /// Id of the next call.
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
    /// Records a call that is sent at `now`, and returns its id.
    pub(crate) fn register(&mut self, now: Time, context: CallContext) -> CallId {
        let id = self.next_id;
        self.next_id += 1;
        self.pending.insert(id, PendingCall { sent_at: now, context });
        id
    }

    /// Removes and returns the call to which a reply belongs; none if it was already answered.
    pub(crate) fn complete(&mut self, id: CallId) -> Option<PendingCall> {
        self.pending.remove(&id)
    }
}

impl Controller {
    /// Records a call that is sent by the caller of this function.
    pub(crate) fn register_call(&mut self, context: CallContext) -> CallId {
        self.calls.register(self.now, context)
    }

    /// Sends a request to the store and returns the id of the call.
    pub(crate) fn call_store(&mut self, context: CallContext, request: StoreRequest) -> CallId {
        let id = self.register_call(context);
        self.outputs.push(Output::Store(id, request));
        id
    }

    /// Sends a request to the cloud and returns the id of the call.
    pub(crate) fn call_cloud(&mut self, context: CallContext, request: CloudRequest) -> CallId {
        let id = self.register_call(context);
        self.outputs.push(Output::Cloud(id, request));
        id
    }

    /// Sends commands directly to the worker at `address`, without waiting for its next heartbeat.
    pub(crate) fn call_worker(&mut self, context: CallContext, address: &str, commands: DirectCommands) {
        let id = self.register_call(context);
        self.outputs.push(Output::Worker(id, address.to_string(), commands));
    }
}
