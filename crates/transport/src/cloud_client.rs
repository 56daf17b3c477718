//! Calls to the cloud from which machines are rented.

use crate::client::{Call, Client, ClientError, Response};
use crate::response_body::{decode_or_warn, error_text, percent_encode};
use controller::{CloudReply, CloudRequest};
use http_types::Method;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Error text of the cloud when it has no machines of the requested type.
const NO_CAPACITY_ERROR: &str = "no capacity";

/// Sends `request` to the cloud at `addr`. A failed call returns `Refused` if it certainly
/// had no effect, and `Unknown` otherwise.
pub(crate) async fn call(
    client: &Client,
    addr: SocketAddrV4,
    request: CloudRequest,
    timeout: Duration,
) -> CloudReply {
    let response = match client.call(http_call(addr, &request, timeout)).await {
        Ok(response) => response,
        Err(ClientError::NotSent) => return CloudReply::Refused,
        Err(ClientError::Unknown) => return CloudReply::Unknown,
    };
    decode_reply(&request, &response).unwrap_or(CloudReply::Unknown)
}

fn http_call(addr: SocketAddrV4, request: &CloudRequest, timeout: Duration) -> Call {
    let call = |method, target, body| Call { addr, method, target, body, timeout, reuse: true };
    match request {
        CloudRequest::Types => call(Method::Get, "/machine_types".to_string(), None),
        CloudRequest::List { after } => {
            let since =
                after.as_ref().map(|after| format!("since={}&", percent_encode(after))).unwrap_or_default();
            call(Method::Get, format!("/rentals?{since}most=500"), None)
        }
        CloudRequest::Rent(rental) => {
            call(Method::Post, "/rentals".to_string(), Some(protocol::encode(rental)))
        }
        CloudRequest::Delete(names) => {
            let body = protocol::encode(&protocol::cloud::Machines { machines: names.clone() });
            call(Method::Post, "/rentals/delete".to_string(), Some(body))
        }
    }
}

/// Converts a response into a reply; None if its body is malformed.
fn decode_reply(request: &CloudRequest, response: &Response) -> Option<CloudReply> {
    let body = &response.body;
    match (request, response.status) {
        (CloudRequest::Types, 200) => decode_or_warn(body, "machine types").map(CloudReply::Types),
        (CloudRequest::List { .. }, 200) => decode_or_warn(body, "machine list").map(CloudReply::List),
        (CloudRequest::Rent(_), 200) => decode_or_warn(body, "rental").map(CloudReply::Machines),
        (CloudRequest::Delete(_), 200) => Some(CloudReply::Done),
        (CloudRequest::Rent(_), 503) if error_text(body) == NO_CAPACITY_ERROR => Some(CloudReply::NoCapacity),
        (_, 400) => Some(CloudReply::Malformed),
        _ => Some(CloudReply::Refused),
    }
}
