//! Calls to the key-value store.

use crate::client::{Call, Client, ClientError, Response};
use crate::response_body::{decode_or_warn, error_text, percent_encode};
use controller::records::Value;
use controller::{StoreReply, StoreRequest};
use http_types::Method;
use protocol::state::{CasConflict, Committed, Events, GrantLease, Item, Lease, Missing, Page};
use std::net::SocketAddrV4;
use std::time::Duration;
use tracing::{debug, warn};

/// Stored value; becomes [`Value::Undecodable`] if this version cannot decode it.
struct LenientValue(Value);

impl<'de> serde::Deserialize<'de> for LenientValue {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let raw = rmpv::Value::deserialize(deserializer)?;
        Ok(LenientValue(rmpv::ext::from_value(raw).unwrap_or(Value::Undecodable)))
    }
}

/// Decodes a response with stored values; one that cannot be decoded does not affect the
/// others. The slower lenient decoding is tried only if the strict one fails.
fn decode_stored<T, L>(body: &[u8], expected: &str, unwrap_values: impl Fn(L) -> T) -> Option<T>
where
    T: serde::de::DeserializeOwned,
    L: serde::de::DeserializeOwned,
{
    protocol::decode::<T>(body).ok().or_else(|| decode_or_warn::<L>(body, expected).map(unwrap_values))
}

/// Sends `request` to the store at `addr`. `timeout` applies to a simple read; lists and
/// watches get more time. A failed call returns `Refused` if it certainly had no effect, and
/// `Unknown` otherwise.
pub(crate) async fn call(
    client: &Client,
    addr: SocketAddrV4,
    request: StoreRequest,
    timeout: Duration,
) -> StoreReply {
    let http_call = http_call(addr, &request, timeout);
    let target = http_call.target.clone();
    let response = match client.call(http_call).await {
        Ok(response) => response,
        Err(ClientError::NotSent) => return StoreReply::Refused,
        Err(ClientError::Unknown) => return StoreReply::Unknown,
    };
    // A malformed response does not tell whether a transaction was committed.
    decode_reply(&request, &target, &response).unwrap_or(match request {
        StoreRequest::Commit(_) => StoreReply::Unknown,
        _ => StoreReply::Refused,
    })
}

fn http_call(addr: SocketAddrV4, request: &StoreRequest, timeout: Duration) -> Call {
    let call = |method, target| Call { addr, method, target, body: None, timeout, reuse: true };
    match request {
        StoreRequest::Get(key) => call(Method::Get, format!("/kv/{key}")),
        StoreRequest::List { prefix, after } => {
            let since =
                after.as_ref().map(|after| format!("&since={}", percent_encode(after))).unwrap_or_default();
            let target = format!("/kv?starts={}{since}&most=1000", percent_encode(prefix));
            Call { timeout: timeout * 2, ..call(Method::Get, target) }
        }
        StoreRequest::Commit(transaction) => {
            let body = Some(protocol::encode(transaction));
            Call { body, ..call(Method::Post, "/commit".to_string()) }
        }
        StoreRequest::Grant { ttl_ms } => {
            let body = Some(protocol::encode(&GrantLease { ttl_ms: *ttl_ms }));
            Call { body, ..call(Method::Post, "/grants".to_string()) }
        }
        StoreRequest::Renew(id) => call(Method::Post, format!("/grants/{id}/renew")),
        StoreRequest::Revoke(id) => call(Method::Delete, format!("/grants/{id}")),
        StoreRequest::Watch { prefix, after, wait_ms } => {
            let target = format!("/follow?starts={}&since={after}&blockMs={wait_ms}", percent_encode(prefix));
            Call { timeout: watch_timeout(timeout, *wait_ms), ..call(Method::Get, target) }
        }
    }
}

/// Returns the timeout of a watch. One that waits for changes may return many of them, and
/// gets more time; clients wait for one that returns at once.
fn watch_timeout(timeout: Duration, wait_ms: u64) -> Duration {
    if wait_ms == 0 {
        return timeout;
    }
    timeout * 2 + Duration::from_millis(wait_ms)
}

/// Converts a response into a reply; None if its body is malformed.
fn decode_reply(request: &StoreRequest, target: &str, response: &Response) -> Option<StoreReply> {
    let status = response.status;
    let body = &response.body;
    match (request, status) {
        (StoreRequest::Get(_), 200) => {
            decode_stored(body, "key", |item: Item<LenientValue>| item.map(|value| value.0))
                .map(StoreReply::Item)
        }
        (StoreRequest::Get(_), 404) => decode_or_warn::<Missing>(body, "missing key")
            .map(|missing| StoreReply::Missing(missing.revision)),
        (StoreRequest::List { .. }, 200) => {
            decode_stored(body, "page", |page: Page<LenientValue>| page.map(|value| value.0))
                .map(StoreReply::Page)
        }
        (StoreRequest::Commit(_), 200) => decode_or_warn::<Committed>(body, "commit")
            .map(|committed| StoreReply::Committed(committed.revision)),
        (StoreRequest::Commit(_), 409) => {
            decode_or_warn::<CasConflict>(body, "conflict").map(StoreReply::Conflict)
        }
        (StoreRequest::Commit(_), 400) => Some(refused_commit(body)),
        (_, 429) => Some(StoreReply::Limited),
        (StoreRequest::Grant { .. }, 200) => {
            decode_or_warn::<Lease>(body, "lease").map(|lease| StoreReply::Granted(lease.lease))
        }
        (StoreRequest::Renew(_) | StoreRequest::Revoke(_), 200 | 204) => Some(StoreReply::Done),
        (StoreRequest::Renew(_) | StoreRequest::Revoke(_), 404) => Some(StoreReply::Gone),
        (StoreRequest::Watch { .. }, 200) => {
            decode_stored(body, "events", |events: Events<LenientValue>| events.map(|value| value.0))
                .map(StoreReply::Events)
        }
        (StoreRequest::Watch { .. }, 410) => Some(StoreReply::Gone),
        _ => {
            debug!(status, %target, "state service refused the request");
            Some(StoreReply::Refused)
        }
    }
}

fn refused_commit(body: &[u8]) -> StoreReply {
    let error = error_text(body);
    warn!(error = %error, "transaction refused");
    if error == "no such lease" {
        StoreReply::Gone
    } else {
        StoreReply::Invalid
    }
}
