//! Leader election: who leads, on which lease, and what that lease entitles to.
//!
//! There is one leader key in the store, bound to a short lease. The revision of the write that
//! created the key is the fencing token of that leadership.

pub(crate) mod campaign;
pub(crate) mod leader_watch;
pub(crate) mod leadership;
pub(crate) mod lease_authority;
pub(crate) mod lease_renewal;
pub(crate) mod machine_types;
pub(crate) mod previous_incarnation;
pub(crate) mod state;
pub(crate) mod tenure;
