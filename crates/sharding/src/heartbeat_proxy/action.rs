//! What a proxy asks its caller to do, and the checks that tests may turn off.

use crate::RequestId;
use protocol::peer::ForwardRequest;
use protocol::worker::HeartbeatResponse;

/// An action that the caller has to carry out.
#[derive(Debug, PartialEq)]
pub enum ProxyAction {
    /// Answer the heartbeat with status 200.
    Respond(RequestId, HeartbeatResponse),
    /// Redirect the worker, to the named node if there is one.
    Redirect(RequestId, Option<String>),
    /// Answer with status 503 and this error text.
    Reject(RequestId, &'static str),
    /// Send the request to the named leader; the reply goes to
    /// [`HeartbeatProxy::on_reply`](crate::HeartbeatProxy::on_reply).
    Forward(String, ForwardRequest),
}

/// Safety checks that tests turn off to show that the simulation notices their absence.
#[derive(Debug, Clone, Copy)]
pub struct ProxySafetyChecks {
    /// Answer only while the delegated lease is valid.
    pub lease_expiry: bool,
    /// Commands go out only with the fencing token of the leader that gave them, and
    /// only in response to the heartbeat that they were given for.
    pub fencing: bool,
}

impl Default for ProxySafetyChecks {
    fn default() -> Self {
        ProxySafetyChecks { lease_expiry: true, fencing: true }
    }
}
