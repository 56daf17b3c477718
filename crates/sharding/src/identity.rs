//! Names of the parties of the forwarding protocol.

/// One run of a proxy's process: a restarted node is another proxy.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyId {
    /// The node's name.
    pub node: String,
    /// Differs between two starts of the same node.
    pub incarnation: u64,
}

/// A leader and the term in which it leads.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaderIdentity {
    /// The node's name.
    pub node: String,
    /// The fencing token of its term.
    pub fencing_token: u64,
}
