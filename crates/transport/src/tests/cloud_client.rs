//! Tests of calls to the cloud.

use super::{body_headers, call_with_reply, msgpack_from_json, unused_addr, CannedReply, TIMEOUT};
use crate::client::Client;
use crate::cloud_client::call;
use controller::{CloudReply, CloudRequest};
use protocol::cloud::{ListedMachine, MachineList, MachineState, MachineType, MachineTypes};
use protocol::cloud::{Machines, RentRequest};

fn rent_request() -> CloudRequest {
    CloudRequest::Rent(RentRequest {
        request: "r-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    })
}

fn list_request() -> CloudRequest {
    CloudRequest::List { after: Some("vm-000230".into()) }
}

fn delete_request() -> CloudRequest {
    CloudRequest::Delete(vec!["vm-000231".into(), "vm-000232".into()])
}

fn all_requests() -> [CloudRequest; 4] {
    [CloudRequest::Types, list_request(), rent_request(), delete_request()]
}

fn reply_to(request: CloudRequest, reply: CannedReply) -> CloudReply {
    call_with_reply(Some(reply), async |client: &Client, addr| call(client, addr, request, TIMEOUT).await).1
}

/// Checks the request line, the headers and the body of the message sent for `request`.
fn assert_sent(request: CloudRequest, first_line: &str, body: Option<&str>) {
    let sent_message =
        call_with_reply(None, async |client: &Client, addr| call(client, addr, request, TIMEOUT).await).0;
    assert_eq!(sent_message.first_line, first_line);
    assert_eq!(sent_message.headers, if body.is_some() { body_headers() } else { Vec::new() });
    assert_eq!(sent_message.body, body.map(msgpack_from_json).unwrap_or_default());
}

#[test]
fn requests_have_the_protocols_bytes() {
    assert_sent(CloudRequest::Types, "GET /machine_types HTTP/1.1", None);
    assert_sent(CloudRequest::List { after: None }, "GET /rentals?most=500 HTTP/1.1", None);
    assert_sent(list_request(), "GET /rentals?since=vm-000230&most=500 HTTP/1.1", None);
    assert_sent(
        rent_request(),
        "POST /rentals HTTP/1.1",
        Some(r#"{"booking":"r-17","breed":"g8","yard":"a","loaners":true,"howMany":12}"#),
    );
    assert_sent(
        delete_request(),
        "POST /rentals/delete HTTP/1.1",
        Some(r#"{"stalls":["vm-000231","vm-000232"]}"#),
    );
}

#[test]
fn machine_types_are_read() {
    let body = r#"{"breeds":[{"sku":"g8","cores":96,"accelerators":8,"memGb":768,"localGb":200,
        "pullGbPerS":1.0,"price":12.0,"lowPrice":4.5,"bootS":45,"yards":["a","b"]}]}"#;
    let machine_type = MachineType {
        name: "g8".into(),
        cores: 96.0,
        accelerators: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.0,
        price: 12.0,
        spot_price: 4.5,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    };
    assert_eq!(
        reply_to(CloudRequest::Types, CannedReply::json(200, body)),
        CloudReply::Types(MachineTypes { types: vec![machine_type] })
    );
}

#[test]
fn machine_list_is_read() {
    let body = r#"{"stalls":[{"id":"vm-000231","endpoint":"10.1.0.232:9000","breed":"g8","yard":"a",
        "loaners":true,"status":"running","heldS":61.5},
        {"id":"vm-000232","endpoint":null,"breed":"g8","yard":"b","loaners":false,"status":"starting","heldS":1},
        {"id":"vm-000233","breed":"g8","yard":"b","loaners":false,"status":"failed","heldS":9}],"hasNext":true}"#;
    let machine = |id: &str, addr: Option<&str>, zone: &str, spot, state, age_s| ListedMachine {
        id: id.into(),
        addr: addr.map(String::from),
        machine_type: "g8".into(),
        zone: zone.into(),
        spot,
        state,
        age_s,
    };
    let machines = vec![
        machine("vm-000231", Some("10.1.0.232:9000"), "a", true, MachineState::Running, 61.5),
        machine("vm-000232", None, "b", false, MachineState::Booting, 1.0),
        machine("vm-000233", None, "b", false, MachineState::Failed, 9.0),
    ];
    assert_eq!(
        reply_to(list_request(), CannedReply::json(200, body)),
        CloudReply::List(MachineList { machines, more: true })
    );
}

#[test]
fn rented_machines_are_read() {
    assert_eq!(
        reply_to(rent_request(), CannedReply::json(200, r#"{"stalls":["vm-000231"]}"#)),
        CloudReply::Machines(Machines { machines: vec!["vm-000231".into()] })
    );
}

/// After `NoCapacity` the leader tries another pool; after `Refused` it retries the same one. A
/// change of the error text that distinguishes them once made the leader retry an exhausted pool
/// again and again.
#[test]
fn missing_capacity_differs_from_an_outage() {
    let no_capacity = CannedReply::json(503, r#"{"error":"no capacity"}"#);
    assert_eq!(reply_to(rent_request(), no_capacity.clone()), CloudReply::NoCapacity);
    assert_eq!(
        reply_to(rent_request(), CannedReply::json(503, r#"{"error":"trouble"}"#)),
        CloudReply::Refused
    );
    for request in [CloudRequest::Types, list_request(), delete_request()] {
        assert_eq!(reply_to(request, no_capacity.clone()), CloudReply::Refused);
    }
}

#[test]
fn deletion_is_done() {
    assert_eq!(reply_to(delete_request(), CannedReply::empty(200)), CloudReply::Done);
}

#[test]
fn outages_and_rate_limits_refuse_every_request() {
    for request in all_requests() {
        let outage = CannedReply::json(503, r#"{"error":"trouble"}"#);
        assert_eq!(reply_to(request.clone(), outage), CloudReply::Refused);
        assert_eq!(reply_to(request.clone(), CannedReply::empty(503)), CloudReply::Refused);
        assert_eq!(reply_to(request, CannedReply::empty(429)), CloudReply::Refused);
    }
}

#[test]
fn malformed_requests_are_reported_as_such() {
    for request in all_requests() {
        assert_eq!(reply_to(request, CannedReply::empty(400)), CloudReply::Malformed);
    }
}

#[test]
fn outcome_is_unknown_without_a_readable_reply() {
    for request in all_requests() {
        let (_, reply) =
            call_with_reply(None, async |client: &Client, addr| call(client, addr, request, TIMEOUT).await);
        assert_eq!(reply, CloudReply::Unknown);
    }
    for request in [CloudRequest::Types, list_request(), rent_request()] {
        assert_eq!(reply_to(request, CannedReply::json(200, r#"{"other":1}"#)), CloudReply::Unknown);
    }
}

#[test]
fn request_is_refused_if_nothing_listens() {
    let client = Client::default();
    let reply = async_io::block_on(call(&client, unused_addr(), rent_request(), TIMEOUT));
    assert_eq!(reply, CloudReply::Refused);
}
