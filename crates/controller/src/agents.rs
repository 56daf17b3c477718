//! The leader's interaction with the agents on the workers: heartbeat ingestion and
//! reconciliation, responses with commands, failure detection, and kills.

pub(crate) mod early_heartbeats;
pub(crate) mod failure_attribution;
pub(crate) mod failure_detection;
pub(crate) mod failure_timeouts;
pub(crate) mod heartbeat_ingestion;
pub(crate) mod heartbeat_queue;
pub(crate) mod one_way_partition;
pub(crate) mod pending_kills;
pub(crate) mod reconciliation;
pub(crate) mod responses;
pub(crate) mod task_exits;
