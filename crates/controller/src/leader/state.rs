//! The role of a node, and the state of a leader.

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

/// A watch on a prefix of the store that is opened again whenever it returns.
#[derive(Debug, Default, Clone)]
pub struct WatchCursor {
    /// A call is on its way.
    pub in_flight: bool,
    /// Revision up to which all changes were seen; None: the keys must be read first.
    /// (0 is the revision of a new store. Taking it for "unknown" once hid the first leader
    /// from the other nodes.)
    pub revision: Option<u64>,
    /// No call is made before then.
    pub retry_at: Time,
}

/// What a node is for the cluster.
pub enum Role {
    /// Another node leads, or none.
    Follower,
    /// This node leads, as far as it knows.
    Leader(Box<LeaderState>),
}

/// What the leader knows and is doing: each part owns its own state. Rebuilt from the stored
/// records and the workers' heartbeats at each failover.
pub struct LeaderState {
    /// The revision of the write that created the leader key.
    pub fencing_token: u64,
    /// The lease of the leader key and what it entitles to.
    pub leadership: Leadership,
    /// Reading the stored records after an election.
    pub recovery: Recovery,
    /// Jobs, machines and placements.
    pub cluster: ClusterState,
    /// The watch on the stored jobs.
    pub watch: WatchCursor,
    /// Records that wait for the outcome of this leader's own write of the same job.
    pub deferred_records: Vec<DeferredRecord>,
    /// Changed jobs on their way to the store.
    pub write_queue: WriteQueue,
    /// Jobs that wait for others.
    pub dependencies: JobDependencies,
    /// Heartbeats that wait for their responses.
    pub heartbeats: HeartbeatQueue,
    /// Tasks that are to be killed, until there is proof that they are gone.
    pub pending_kills: PendingKills,
    /// Results of the last plan and statistics of the job classes.
    pub planning: PlanningState,
    /// Machines at the cloud: the list, scale out and scale in.
    pub fleet: Fleet,
    /// The nodes that respond to heartbeats on a lease delegated by this leader.
    pub forwarding: HeartbeatForwarding,
    /// Terminal jobs on their way out of the live records.
    pub archive: Archive,
    /// Stored values that this version cannot decode.
    pub undecodable: UndecodableRecords,
    /// Last failure detection and fleet check.
    pub machines_checked_at: Time,
    /// When the next summary line is due.
    pub log_summary_at: Time,
}

impl LeaderState {
    /// The state of a leader that was elected `now` with that token and lease.
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
            machines_checked_at: now - 1.0,
            log_summary_at: now,
        }
    }
}
