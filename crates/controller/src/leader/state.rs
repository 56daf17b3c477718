//! Role of a node, and state of a leader.

use crate::agents::heartbeat_queue::HeartbeatQueue;
use crate::agents::pending_kills::PendingKills;
use crate::autoscaling::fleet::Fleet;
use crate::election::leadership::Leadership;
use crate::election::lease_authority::LeaseAuthority;
use crate::leader::record_watch::DeferredRecord;
use crate::leader::recovery::Recovery;
use crate::model::cluster::ClusterState;
use crate::scheduling::job_dependencies::JobDependencies;
use crate::scheduling::planning_state::PlanningState;
use crate::storage::archive::Archive;
use crate::storage::undecodable::UndecodableRecords;
use crate::storage::write_queue::WriteQueue;
use crate::Time;
use sharding::HeartbeatForwarding;

/// Cursor of a watch on a prefix of the store, which is reopened whenever it returns.
#[derive(Debug, Default, Clone)]
pub struct WatchCursor {
    /// Whether a call is in flight.
    pub in_flight: bool,
    /// Revision up to which all changes have been seen; None if the keys must be read first. 0 is
    /// the revision of a new store and must not stand for "unknown", or the other nodes would not
    /// see the first leader.
    pub revision: Option<u64>,
    /// Earliest time of the next call.
    pub retry_at: Time,
}

/// Role of a node in the cluster.
pub enum Role {
    /// Another node leads, or there is no leader.
    Follower,
    /// This node leads, as far as it knows.
    Leader(Box<LeaderState>),
}

/// State of a leader, rebuilt from the stored records and the workers' heartbeats at each failover.
/// Each field belongs to one part of the leader.
pub struct LeaderState {
    /// Fencing token: the revision of the write that created the leader key.
    pub fencing_token: u64,
    /// Lease of the leader key, and the periods derived from it.
    pub leadership: Leadership,
    /// Progress of reading the stored records after the election.
    pub recovery: Recovery,
    /// Jobs, machines and placements.
    pub cluster: ClusterState,
    /// Watch on the stored jobs.
    pub watch: WatchCursor,
    /// Records deferred until the outcome of this leader's own write of the same job is known.
    pub deferred_records: Vec<DeferredRecord>,
    /// Queue of changed jobs to be written to the store.
    pub write_queue: WriteQueue,
    /// Dependencies between jobs.
    pub dependencies: JobDependencies,
    /// Heartbeats that await a response.
    pub heartbeats: HeartbeatQueue,
    /// Tasks to be killed, kept until there is proof that they have ended.
    pub pending_kills: PendingKills,
    /// Results of the last plan and statistics of the job classes.
    pub planning: PlanningState,
    /// Cloud machines: the machine list, scale-out and scale-in.
    pub fleet: Fleet,
    /// Nodes that respond to heartbeats under a lease delegated by this leader.
    pub forwarding: HeartbeatForwarding,
    /// Terminal jobs to be moved out of the live records.
    pub archive: Archive,
    /// Stored values that this version cannot decode.
    pub undecodable: UndecodableRecords,
    /// Time of the last sweep over all machines.
    pub last_machine_sweep_at: Time,
    /// Time at which the next summary is logged.
    pub log_summary_at: Time,
}

impl LeaderState {
    /// Creates the state of a leader that was elected at `now` with this fencing token and lease.
    pub fn new(fencing_token: u64, lease: u64, now: Time, authority: LeaseAuthority) -> Self {
        LeaderState {
            fencing_token,
            leadership: Leadership::new(lease, now, authority),
            recovery: Recovery::new(now),
            cluster: ClusterState::default(),
            watch: WatchCursor::default(),
            deferred_records: Vec::new(),
            write_queue: WriteQueue::new(now),
            dependencies: JobDependencies::default(),
            heartbeats: HeartbeatQueue::new(now),
            pending_kills: PendingKills::default(),
            planning: PlanningState::new(now),
            fleet: Fleet::default(),
            forwarding: HeartbeatForwarding::default(),
            archive: Archive::default(),
            undecodable: UndecodableRecords::default(),
            last_machine_sweep_at: now - 1.0,
            log_summary_at: now,
        }
    }
}
