//! Leader election: the leader key, its lease, and the actions that the lease permits.
//!
//! The store holds one leader key, bound to a short lease. The revision of the write that created
//! the key is the fencing token of that leadership.

pub(crate) mod campaign;
pub(crate) mod leader_watch;
pub(crate) mod leadership;
pub(crate) mod lease_authority;
pub(crate) mod lease_renewal;
pub(crate) mod machine_types;
pub(crate) mod previous_incarnation;
pub(crate) mod state;
pub(crate) mod tenure;
