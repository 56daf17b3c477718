//! Direct commands to workers, which do not wait for the next heartbeat.

use crate::client::{Call, Client};
use crate::response_body::decode_or_warn;
use controller::WorkerReply;
use http_types::Method;
use protocol::worker::{DirectCommands, Heartbeat};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Status of commands that were executed.
const EXECUTED: u16 = 200;
/// Status of commands that the worker refused; its heartbeat says why.
const REFUSED: u16 = 409;

/// Sends `commands` to the worker at `addr`, which answers with a heartbeat.
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
    if response.status != EXECUTED && response.status != REFUSED {
        return WorkerReply::Failed;
    }
    match decode_or_warn::<Heartbeat>(&response.body, "worker's report") {
        Some(report) => {
            WorkerReply::Heartbeat { executed: response.status == EXECUTED, report: Box::new(report) }
        }
        None => WorkerReply::Failed,
    }
}
