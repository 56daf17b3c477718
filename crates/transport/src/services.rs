//! The state service, the cloud and the workers, as calls of the core.

use crate::client::{Client, ClientError, Response};
use controller::records::Value;
use controller::{CloudReply, CloudRequest, StoreReply, StoreRequest, WorkerReply};
use http_types::Method;
use protocol::state::*;
use protocol::worker::{DirectCommands, Heartbeat};
use std::net::SocketAddrV4;
use std::time::Duration;
use tracing::{debug, warn};

/// Percent-encodes what a query value may not hold.
fn query(text: &str) -> String {
    text.bytes()
        .map(|b| match b {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' | b'/' => {
                char::from(b).to_string()
            }
            _ => format!("%{b:02X}"),
        })
        .collect()
}

fn parsed<T: serde::de::DeserializeOwned>(body: &[u8], what: &str) -> Option<T> {
    match protocol::decode(body) {
        Ok(v) => Some(v),
        Err(e) => {
            warn!(what, error = %e, "malformed response");
            None
        }
    }
}

/// A value as it was sent, for what this version may not read as a whole.
struct Lenient(Value);

impl<'de> serde::Deserialize<'de> for Lenient {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let raw = rmpv::Value::deserialize(d)?;
        Ok(Lenient(rmpv::ext::from_value(raw).unwrap_or(Value::Undecodable)))
    }
}

/// What holds stored values. One that cannot be read leaves the others readable.
fn stored<T, L>(body: &[u8], what: &str, plain: impl Fn(L) -> T) -> Option<T>
where
    T: serde::de::DeserializeOwned,
    L: serde::de::DeserializeOwned,
{
    protocol::decode::<T>(body).ok().or_else(|| parsed::<L>(body, what).map(plain))
}

pub async fn state(client: &Client, addr: SocketAddrV4, op: StoreRequest, timeout: Duration) -> StoreReply {
    let is_commit = matches!(op, StoreRequest::Commit(_));
    let (method, target, body, timeout) = match &op {
        StoreRequest::Get(key) => (Method::Get, format!("/kv/{key}"), None, timeout),
        StoreRequest::List { prefix, after } => {
            let after = after.as_ref().map(|a| format!("&since={}", query(a))).unwrap_or_default();
            (Method::Get, format!("/kv?starts={}{after}&most=1000", query(prefix)), None, timeout * 2)
        }
        StoreRequest::Commit(txn) => {
            (Method::Post, "/commit".to_string(), Some(protocol::encode(txn)), timeout)
        }
        StoreRequest::Grant { ttl_ms } => {
            let body = protocol::encode(&GrantLease { ttl_ms: *ttl_ms });
            (Method::Post, "/grants".to_string(), Some(body), timeout)
        }
        StoreRequest::Renew(id) => (Method::Post, format!("/grants/{id}/renew"), None, timeout),
        StoreRequest::Revoke(id) => (Method::Delete, format!("/grants/{id}"), None, timeout),
        StoreRequest::Watch { prefix, after, wait_ms } => (
            Method::Get,
            format!("/follow?starts={}&since={after}&blockMs={wait_ms}", query(prefix)),
            None,
            // What a watch that waits has missed may be much; users wait for one that does not.
            if *wait_ms == 0 { timeout } else { timeout * 2 + Duration::from_millis(*wait_ms) },
        ),
    };
    let Response { status, body } = match client.call(addr, method, &target, body, timeout, true).await {
        Ok(r) => r,
        Err(ClientError::NotSent) => return StoreReply::Refused,
        Err(ClientError::Unknown) => return StoreReply::Unknown,
    };
    let reply = match (&op, status) {
        (StoreRequest::Get(_), 200) => {
            stored(&body, "key", |x: Item<Lenient>| x.map(|l| l.0)).map(StoreReply::Item)
        }
        (StoreRequest::Get(_), 404) => {
            parsed::<Missing>(&body, "missing key").map(|m| StoreReply::Missing(m.revision))
        }
        (StoreRequest::List { .. }, 200) => {
            stored(&body, "page", |x: Page<Lenient>| x.map(|l| l.0)).map(StoreReply::Page)
        }
        (StoreRequest::Commit(_), 200) => {
            parsed::<Committed>(&body, "commit").map(|c| StoreReply::Committed(c.revision))
        }
        (StoreRequest::Commit(_), 409) => parsed::<CasConflict>(&body, "conflict").map(StoreReply::Conflict),
        (StoreRequest::Commit(_), 400) => {
            let why =
                protocol::decode::<protocol::job::ErrorResponse>(&body).map(|r| r.error).unwrap_or_default();
            warn!(error = %why, "transaction refused");
            Some(if why == "no such lease" { StoreReply::Gone } else { StoreReply::Invalid })
        }
        (_, 429) => Some(StoreReply::Limited),
        (StoreRequest::Grant { .. }, 200) => {
            parsed::<Lease>(&body, "lease").map(|l| StoreReply::Granted(l.lease))
        }
        (StoreRequest::Renew(_) | StoreRequest::Revoke(_), 200 | 204) => Some(StoreReply::Done),
        (StoreRequest::Renew(_) | StoreRequest::Revoke(_), 404) => Some(StoreReply::Gone),
        (StoreRequest::Watch { .. }, 200) => {
            stored(&body, "events", |x: Events<Lenient>| x.map(|l| l.0)).map(StoreReply::Events)
        }
        (StoreRequest::Watch { .. }, 410) => Some(StoreReply::Gone),
        _ => {
            debug!(status, %target, "state service refused");
            Some(StoreReply::Refused)
        }
    };
    // An answer that cannot be read tells nothing about what was done.
    reply.unwrap_or(if is_commit { StoreReply::Unknown } else { StoreReply::Refused })
}

pub async fn cloud(client: &Client, addr: SocketAddrV4, op: CloudRequest, timeout: Duration) -> CloudReply {
    let (method, target, body) = match &op {
        CloudRequest::Types => (Method::Get, "/machine_types".to_string(), None),
        CloudRequest::List { after } => {
            let since = after.as_ref().map(|a| format!("since={}&", query(a))).unwrap_or_default();
            (Method::Get, format!("/rentals?{since}most=500"), None)
        }
        CloudRequest::Rent(r) => (Method::Post, "/rentals".to_string(), Some(protocol::encode(r))),
        CloudRequest::Delete(names) => {
            let body = protocol::encode(&protocol::cloud::Machines { machines: names.clone() });
            (Method::Post, "/rentals/delete".to_string(), Some(body))
        }
    };
    let Response { status, body } = match client.call(addr, method, &target, body, timeout, true).await {
        Ok(r) => r,
        Err(ClientError::NotSent) => return CloudReply::Refused,
        Err(ClientError::Unknown) => return CloudReply::Unknown,
    };
    let reply = match (&op, status) {
        (CloudRequest::Types, 200) => parsed(&body, "machine types").map(CloudReply::Types),
        (CloudRequest::List { .. }, 200) => parsed(&body, "machine list").map(CloudReply::List),
        (CloudRequest::Rent(_), 200) => parsed(&body, "rental").map(CloudReply::Machines),
        (CloudRequest::Delete(_), 200) => Some(CloudReply::Done),
        (CloudRequest::Rent(_), 503) => {
            let full = protocol::decode::<protocol::job::ErrorResponse>(&body)
                .is_ok_and(|r| r.error == "scale-out refused: no capacity");
            Some(if full { CloudReply::NoCapacity } else { CloudReply::Refused })
        }
        (_, 400) => Some(CloudReply::Malformed),
        _ => Some(CloudReply::Refused),
    };
    reply.unwrap_or(CloudReply::Unknown)
}

pub async fn worker(client: &Client, addr: &str, body: DirectCommands, timeout: Duration) -> WorkerReply {
    let Ok(addr) = addr.parse::<SocketAddrV4>() else { return WorkerReply::Failed };
    let sent = client.call(addr, Method::Post, "/do", Some(protocol::encode(&body)), timeout, false).await;
    match sent {
        Ok(r) if r.status == 200 || r.status == 409 => {
            match parsed::<Heartbeat>(&r.body, "worker's report") {
                Some(report) => {
                    WorkerReply::Heartbeat { executed: r.status == 200, report: Box::new(report) }
                }
                None => WorkerReply::Failed,
            }
        }
        _ => WorkerReply::Failed,
    }
}
