//! Direct commands to workers, sent without waiting for the next heartbeat.

use crate::client::{Call, Client};
use crate::response_body::decode_or_warn;
use controller::WorkerReply;
use http_types::Method;
use protocol::worker::{DirectCommands, Heartbeat};
use std::net::SocketAddrV4;
use std::time::Duration;

/// HTTP status if the commands were executed.
const EXECUTED_STATUS: u16 = 200;
/// HTTP status if the worker refused the commands; its heartbeat tells why.
const REFUSED_STATUS: u16 = 409;

/// Sends `commands` to the worker at `addr`, which responds with a heartbeat.
pub(crate) async fn call(
    client: &Client,
    addr: &str,
    commands: DirectCommands,
    timeout: Duration,
) -> WorkerReply {
    let Ok(addr) = addr.parse::<SocketAddrV4>() else { return WorkerReply::Failed };
    let call = Call {
        addr,
        method: Method::Post,
        target: "/do".to_string(),
        body: Some(protocol::encode(&commands)),
        timeout,
        reuse: false,
    };
    let Ok(response) = client.call(call).await else { return WorkerReply::Failed };
    if response.status != EXECUTED_STATUS && response.status != REFUSED_STATUS {
        return WorkerReply::Failed;
    }
    match decode_or_warn::<Heartbeat>(&response.body, "worker's report") {
        Some(report) => {
            WorkerReply::Heartbeat { executed: response.status == EXECUTED_STATUS, report: Box::new(report) }
        }
        None => WorkerReply::Failed,
    }
}
