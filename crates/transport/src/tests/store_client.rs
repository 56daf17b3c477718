//! Tests of calls to the key-value store.

use super::{body_headers, call_with_reply, msgpack_from_json, unused_addr, CannedReply, TIMEOUT};
use crate::client::Client;
use crate::store_client::call;
use controller::records::Value;
use controller::{StoreReply, StoreRequest};
use protocol::state::{CasConflict, Compare, Event, Events, Item, Mutation, Page, Transaction};

fn get() -> StoreRequest {
    StoreRequest::Get("a/b".into())
}

fn list() -> StoreRequest {
    StoreRequest::List { prefix: "c/".into(), after: Some("c/7".into()) }
}

fn grant() -> StoreRequest {
    StoreRequest::Grant { ttl_ms: 5000 }
}

fn watch() -> StoreRequest {
    StoreRequest::Watch { prefix: "c/".into(), after: 431, wait_ms: 10_000 }
}

fn commit() -> StoreRequest {
    StoreRequest::Commit(Transaction {
        compares: vec![Compare { key: "a/b".into(), version: 0 }],
        mutations: vec![
            Mutation::Put { key: "a/b".into(), value: Value::Format(2), lease: Some(7) },
            Mutation::Put { key: "a/c".into(), value: Value::Format(3), lease: None },
            Mutation::Delete { key: "c/d".into() },
        ],
    })
}

fn all_requests() -> [StoreRequest; 7] {
    [get(), list(), commit(), grant(), StoreRequest::Renew(7), StoreRequest::Revoke(7), watch()]
}

fn store_reply(request: StoreRequest, response: CannedReply) -> StoreReply {
    call_with_reply(Some(response), async |client: &Client, addr| call(client, addr, request, TIMEOUT).await)
        .1
}

/// Checks the request line, the headers and the body of the message sent for `request`.
fn assert_sent(request: StoreRequest, first_line: &str, body: Option<&str>) {
    let sent_message =
        call_with_reply(None, async |client: &Client, addr| call(client, addr, request, TIMEOUT).await).0;
    assert_eq!(sent_message.first_line, first_line);
    assert_eq!(sent_message.headers, if body.is_some() { body_headers() } else { Vec::new() });
    assert_eq!(sent_message.body, body.map(msgpack_from_json).unwrap_or_default());
}

#[test]
fn requests_have_the_protocols_bytes() {
    assert_sent(get(), "GET /kv/a/b HTTP/1.1", None);
    assert_sent(
        StoreRequest::List { prefix: "c/".into(), after: None },
        "GET /kv?starts=c/&most=1000 HTTP/1.1",
        None,
    );
    assert_sent(list(), "GET /kv?starts=c/&since=c/7&most=1000 HTTP/1.1", None);
    assert_sent(
        commit(),
        "POST /commit HTTP/1.1",
        Some(
            r#"{"when":[{"path":"a/b","stamp":0}],
                "writes":[{"write":"a/b","v":{"Format":2},"permit":7},
                          {"write":"a/c","v":{"Format":3}},{"delete":"c/d"}]}"#,
        ),
    );
    assert_sent(grant(), "POST /grants HTTP/1.1", Some(r#"{"ttlMs":5000}"#));
    assert_sent(StoreRequest::Renew(7), "POST /grants/7/renew HTTP/1.1", None);
    assert_sent(StoreRequest::Revoke(7), "DELETE /grants/7 HTTP/1.1", None);
    assert_sent(watch(), "GET /follow?starts=c/&since=431&blockMs=10000 HTTP/1.1", None);
}

#[test]
fn key_is_read() {
    let item = |value, version| Item { key: "a/b".into(), value, version };
    let body = r#"{"path":"a/b","v":{"Format":2},"stamp":412,"permit":7}"#;
    assert_eq!(
        store_reply(get(), CannedReply::json(200, body)),
        StoreReply::Item(item(Value::Format(2), 412))
    );
    let undecodable = r#"{"path":"a/b","v":{"Later":1},"stamp":412}"#;
    assert_eq!(
        store_reply(get(), CannedReply::json(200, undecodable)),
        StoreReply::Item(item(Value::Undecodable, 412))
    );
    assert_eq!(store_reply(get(), CannedReply::json(404, r#"{"ledger":431}"#)), StoreReply::Missing(431));
}

#[test]
fn page_is_read() {
    let body = r#"{"rows":[{"path":"c/8","v":{"Format":2},"stamp":9}],"hasNext":true,"ledger":431}"#;
    let items = vec![Item { key: "c/8".into(), value: Value::Format(2), version: 9 }];
    assert_eq!(
        store_reply(list(), CannedReply::json(200, body)),
        StoreReply::Page(Page { items, more: true, revision: 431 })
    );
}

#[test]
fn transaction_is_committed_or_conflicts() {
    assert_eq!(
        store_reply(commit(), CannedReply::json(200, r#"{"ledger":432}"#)),
        StoreReply::Committed(432)
    );
    assert_eq!(
        store_reply(commit(), CannedReply::json(409, r#"{"failed":["a/b"],"ledger":431}"#)),
        StoreReply::Conflict(CasConflict { failed: vec!["a/b".into()], revision: 431 })
    );
}

/// After its lease has expired, a candidate for leadership needs a new one; a transaction that is
/// invalid for any other reason is never accepted.
#[test]
fn expired_lease_differs_from_an_invalid_transaction() {
    let expired = CannedReply::json(400, r#"{"error":"no such lease"}"#);
    assert_eq!(store_reply(commit(), expired.clone()), StoreReply::Gone);
    assert_eq!(
        store_reply(commit(), CannedReply::json(400, r#"{"error":"value too large"}"#)),
        StoreReply::Invalid
    );
    assert_eq!(store_reply(commit(), CannedReply::empty(400)), StoreReply::Invalid);
    // Only for a transaction does status 400 report an expired lease or an invalid request; for any
    // other request it is a refusal.
    assert_eq!(store_reply(get(), expired), StoreReply::Refused);
}

#[test]
fn lease_is_granted_renewed_and_revoked() {
    assert_eq!(store_reply(grant(), CannedReply::json(200, r#"{"permit":7}"#)), StoreReply::Granted(7));
    for request in [StoreRequest::Renew(7), StoreRequest::Revoke(7)] {
        assert_eq!(store_reply(request.clone(), CannedReply::empty(200)), StoreReply::Done);
        assert_eq!(store_reply(request.clone(), CannedReply::empty(204)), StoreReply::Done);
        assert_eq!(store_reply(request, CannedReply::empty(404)), StoreReply::Gone);
    }
}

#[test]
fn watch_delivers_changes() {
    let body = r#"{"ledger":433,"events":[{"write":"c/9","v":{"Format":2},"stamp":433},
        {"delete":"c/d","stamp":432}]}"#;
    let events = vec![
        Event::Put { key: "c/9".into(), value: Value::Format(2), version: 433 },
        Event::Delete { key: "c/d".into(), version: 432 },
    ];
    assert_eq!(
        store_reply(watch(), CannedReply::json(200, body)),
        StoreReply::Events(Events { revision: 433, events })
    );
    assert_eq!(store_reply(watch(), CannedReply::empty(410)), StoreReply::Gone);
}

#[test]
fn outages_and_rate_limits_are_reported_for_every_request() {
    for request in all_requests() {
        assert_eq!(store_reply(request.clone(), CannedReply::empty(503)), StoreReply::Refused);
        assert_eq!(store_reply(request, CannedReply::empty(429)), StoreReply::Limited);
    }
}

#[test]
fn outcome_is_unknown_without_a_reply() {
    for request in all_requests() {
        let (_, reply) =
            call_with_reply(None, async |client: &Client, addr| call(client, addr, request, TIMEOUT).await);
        assert_eq!(reply, StoreReply::Unknown);
    }
}

/// A transaction may have been committed despite a malformed response; other requests are
/// reported as refused, since the caller can safely repeat them.
#[test]
fn malformed_response_leaves_only_a_transaction_unknown() {
    let malformed = CannedReply::json(200, r#"{"other":1}"#);
    assert_eq!(store_reply(commit(), malformed.clone()), StoreReply::Unknown);
    for request in [get(), list(), grant(), watch()] {
        assert_eq!(store_reply(request, malformed.clone()), StoreReply::Refused);
    }
}

#[test]
fn request_is_refused_if_nothing_listens() {
    let client = Client::default();
    let reply = async_io::block_on(call(&client, unused_addr(), commit(), TIMEOUT));
    assert_eq!(reply, StoreReply::Refused);
}
