//! Who leads, on which lease, and what that lease entitles to.

pub(crate) mod campaign;
pub(crate) mod leadership;
pub(crate) mod lease_authority;
pub(crate) mod state;
