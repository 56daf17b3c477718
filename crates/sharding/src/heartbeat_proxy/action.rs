//! Actions that a proxy requests from its caller, and safety checks that tests may disable.

use crate::RequestId;
use protocol::peer::ForwardRequest;
use protocol::worker::HeartbeatResponse;

/// An action that the caller has to carry out.
#[derive(Debug, PartialEq)]
pub enum ProxyAction {
    /// Respond to the heartbeat with status 200.
    Respond(RequestId, HeartbeatResponse),
    /// Redirect the worker, to the named node if there is one.
    Redirect(RequestId, Option<String>),
    /// Respond with status 503 and this error text.
    Reject(RequestId, &'static str),
    /// Send the request to the named leader; the reply goes to
    /// [`HeartbeatProxy::on_reply`](crate::HeartbeatProxy::on_reply).
    Forward(String, ForwardRequest),
}

/// Safety checks that tests disable to show that the simulation detects the consequences.
#[derive(Debug, Clone, Copy)]
pub struct ProxySafetyChecks {
    /// Whether the proxy responds only while the delegated lease is valid.
    pub lease_expiry: bool,
    /// Whether commands are sent only with the fencing token of the leader that issued
    /// them, and only in response to the heartbeat for which they were issued.
    pub fencing: bool,
}

impl Default for ProxySafetyChecks {
    fn default() -> Self {
        ProxySafetyChecks { lease_expiry: true, fencing: true }
    }
}
