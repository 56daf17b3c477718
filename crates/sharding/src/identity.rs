//! Identities of the participants in the forwarding protocol.

/// Identity of one run of a proxy's process. A restarted node counts as another proxy.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyId {
    /// The node's name.
    pub node: String,
    /// Number that differs between two starts of the same node.
    pub incarnation: u64,
}

/// Identity of a leader and of its term.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaderIdentity {
    /// The node's name.
    pub node: String,
    /// The fencing token of the leader's term.
    pub fencing_token: u64,
}
