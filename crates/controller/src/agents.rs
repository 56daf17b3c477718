//! The workers' side: heartbeats and what they prove, failure detection, kills.

pub(crate) mod early_heartbeats;
pub(crate) mod heartbeat_queue;
pub(crate) mod heartbeats;
pub(crate) mod one_way_partition;
pub(crate) mod pending_kills;
