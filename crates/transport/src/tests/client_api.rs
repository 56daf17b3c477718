//! Tests of the requests of users, workers and load balancers to a running controller: its
//! responses, with every error text that a request can cause.

use super::platform::Platform;
use super::{msgpack_from_json, HttpMessage};

const JOB: &str = r#"{"id":"req-000412","lane":"train","crew":"vision","shape":"group","urgency":"high",
    "legs":2,"cores":8.0,"accelerators":1.0,"memGb":64.0,"kit":"img-07","sizeGb":6.2,"breeds":["g8"],
    "yard":null,"together":true,"spread":false,"loaners":true,"etaS":240.0,"waypointS":30.0,
    "stashS":4.0,"dueS":900.0}"#;

const HEARTBEAT: &str = r#"{"stall":"vm-000231","endpoint":"127.0.0.1:9","breed":"g8","yard":"a",
    "loaners":true,"shift":1,"tally":1,"baton":0,"recallS":null,"legs":[]}"#;

/// Returns the example job with each `from` text replaced by its `to` text.
fn job(changes: &[(&str, &str)]) -> Vec<u8> {
    let mut text = JOB.to_string();
    for (from, to) in changes {
        assert!(text.contains(from), "the example has no {from}");
        text = text.replace(from, to);
    }
    msgpack_from_json(&text)
}

fn assert_response(response: &HttpMessage, status: &str, json: &str) {
    assert_eq!(response.first_line, format!("HTTP/1.1 {status}"));
    assert_eq!(response.body, msgpack_from_json(json), "{:?}", String::from_utf8_lossy(&response.body));
}

fn assert_error(response: &HttpMessage, status: &str, error: &str) {
    assert_response(response, status, &format!(r#"{{"error":"{error}"}}"#));
    let expected: &[&str] = match status {
        "503 Service Unavailable" => &["content-type: application/msgpack", "retry-after: 1"],
        _ => &["content-type: application/msgpack"],
    };
    assert_eq!(response.headers, expected);
}

#[test]
fn node_without_machine_types_is_not_healthy_and_accepts_nothing() {
    let platform = Platform::start();
    let unhealthy = platform.wait_for_status("GET", "/up", &[], "HTTP/1.1 503 Service Unavailable");
    assert_error(&unhealthy, "503 Service Unavailable", "machine types not known yet");
    let refused = platform.request("POST", "/api/jobs", &job(&[]));
    assert_error(&refused, "503 Service Unavailable", "machine types not known yet");
    platform.set_cloud_outage(false);
    let healthy = platform.wait_for_status("GET", "/up", &[], "HTTP/1.1 200 OK");
    let health: protocol::job::Health = protocol::decode(&healthy.body).expect("a health report");
    assert_eq!(health.workers, 0);
    assert!(health.capacity > 0 && health.ceiling >= health.capacity);
}

#[test]
fn job_is_accepted_queried_cancelled_and_stays_cancelled() {
    let platform = Platform::start_healthy();
    let accepted = platform.request("POST", "/api/jobs", &job(&[]));
    assert_response(&accepted, "201 Created", r#"{"id":"req-000412","status":"pending"}"#);
    assert_eq!(accepted.headers, ["content-type: application/msgpack"]);
    let pending = r#"{"id":"req-000412","status":"pending","done":0,"running":0}"#;
    assert_response(&platform.request("POST", "/api/jobs", &job(&[])), "200 OK", pending);
    assert_response(&platform.request("GET", "/api/jobs/req-000412", &[]), "200 OK", pending);
    // A repeated submission of a known job is never refused.
    let invalid = job(&[(r#""legs":2"#, r#""legs":0"#)]);
    assert_response(&platform.request("POST", "/api/jobs", &invalid), "200 OK", pending);
    let unknown_team = job(&[("vision", "nobody")]);
    assert_response(&platform.request("POST", "/api/jobs", &unknown_team), "200 OK", pending);
    for _ in 0..2 {
        let cancelled = platform.request("POST", "/api/jobs/req-000412/cancel", &[]);
        assert_response(&cancelled, "200 OK", r#"{"id":"req-000412","status":"withdrawn"}"#);
    }
    let withdrawn = r#"{"id":"req-000412","status":"withdrawn","done":0,"running":0}"#;
    assert_response(&platform.request("GET", "/api/jobs/req-000412", &[]), "200 OK", withdrawn);
    assert_response(&platform.request("POST", "/api/jobs", &job(&[])), "200 OK", withdrawn);
}

#[test]
fn unknown_jobs_get_404() {
    let platform = Platform::start_healthy();
    for (method, path) in [
        ("GET", "/api/jobs/req-7"),
        ("GET", "/api/jobs/job-7"),
        ("POST", "/api/jobs/req-7/cancel"),
        ("POST", "/api/jobs/job-7/cancel"),
    ] {
        assert_error(&platform.request(method, path, &[]), "404 Not Found", "no such job");
    }
}

#[test]
fn malformed_submissions_get_400_with_the_first_problem() {
    let platform = Platform::start_healthy();
    let assert_refused = |body: &[u8], error: &str| {
        assert_error(&platform.request("POST", "/api/jobs", body), "400 Bad Request", error);
    };
    assert_refused(&[0x01], "not a MessagePack map");
    assert_refused(&[], "not a MessagePack map");
    assert_refused(&[job(&[]), vec![0x01]].concat(), "bytes after the map");
    assert_refused(&vec![0x80; 64 * 1024 + 1], "body over 64 KiB");
    for field in ["lane", "crew", "legs", "cores", "accelerators", "memGb", "kit", "sizeGb", "together"] {
        assert_refused(
            &job(&[(&format!(r#""{field}""#), r#""other""#)]),
            &format!("missing field `{field}`"),
        );
    }
    for field in ["spread", "loaners", "etaS", "waypointS", "stashS", "shape", "urgency"] {
        assert_refused(
            &job(&[(&format!(r#""{field}""#), r#""other""#)]),
            &format!("missing field `{field}`"),
        );
    }
    assert_refused(&job(&[("req-000412", "job-000412")]), "invalid id");
    assert_refused(&job(&[(r#""legs":2"#, r#""legs":0"#)]), "invalid legs");
    assert_refused(&job(&[(r#""legs":2"#, r#""legs":100001"#)]), "invalid legs");
    assert_refused(&job(&[(r#""cores":8.0"#, r#""cores":-8.0"#)]), "invalid cores");
    assert_refused(&job(&[(r#""accelerators":1.0"#, r#""accelerators":-1.0"#)]), "invalid accelerators");
    assert_refused(&job(&[(r#""memGb":64.0"#, r#""memGb":1e9"#)]), "invalid memGb");
    assert_refused(&job(&[(r#""sizeGb":6.2"#, r#""sizeGb":-6.2"#)]), "invalid sizeGb");
    assert_refused(&job(&[(r#""etaS":240.0"#, r#""etaS":-240.0"#)]), "invalid etaS");
    assert_refused(&job(&[(r#""waypointS":30.0"#, r#""waypointS":-30.0"#)]), "invalid waypointS");
    assert_refused(&job(&[(r#""stashS":4.0"#, r#""stashS":-4.0"#)]), "invalid stashS");
    assert_refused(&job(&[(r#""dueS":900.0"#, r#""dueS":-900.0"#)]), "invalid dueS");
    assert_refused(&job(&[(r#""lane":"train""#, r#""lane":"""#)]), "invalid lane");
    assert_refused(&job(&[(r#""crew":"vision""#, r#""crew":"""#)]), "invalid crew");
    assert_refused(&job(&[(r#""kit":"img-07""#, r#""kit":"""#)]), "invalid kit");
    assert_refused(&job(&[(r#""yard":null"#, r#""yard":"""#)]), "invalid breeds or yard");
    assert_refused(&job(&[(r#""dueS":900.0"#, r#""dueS":900.0,"awaits":["job-1"]"#)]), "invalid awaits");
}

#[test]
fn jobs_that_can_never_run_get_422() {
    let platform = Platform::start_healthy();
    let service = job(&[("req-000412", "req-1"), ("group", "standing"), (r#""legs":2"#, r#""legs":1"#)]);
    assert_eq!(platform.request("POST", "/api/jobs", &service).first_line, "HTTP/1.1 201 Created");
    let assert_refused = |changes: &[(&str, &str)], error: &str| {
        let response = platform.request("POST", "/api/jobs", &job(changes));
        assert_error(&response, "422 Unprocessable Entity", error);
    };
    let due = r#""dueS":900.0"#;
    assert_refused(&[("vision", "nobody")], "unknown team");
    assert_refused(&[(r#""cores":8.0"#, r#""cores":97.0"#)], "a task fits no allowed machine type");
    assert_refused(&[(r#"["g8"]"#, r#"["s1"]"#)], "a task fits no allowed machine type");
    assert_refused(&[(r#""yard":null"#, r#""yard":"c""#)], "a task fits no allowed machine type");
    assert_refused(
        &[(r#""spread":false"#, r#""spread":true"#)],
        "a gang that is to be spread is bound to one zone",
    );
    assert_refused(&[(r#""legs":2"#, r#""legs":33"#)], "more than the team's limit");
    assert_refused(
        &[(due, r#""dueS":900.0,"awaits":["req-1"]"#)],
        "it awaits a service, which is never done",
    );
    assert_refused(&[(due, r#""dueS":900.0,"awaits":["req-2"]"#)], "it awaits a job that was never accepted");
    assert_refused(&[(due, r#""dueS":900.0,"awaits":["req-000412"]"#)], "a job cannot await itself");
}

#[test]
fn job_that_awaits_a_cancelled_one_is_accepted_as_cancelled() {
    let platform = Platform::start_healthy();
    let first = job(&[("req-000412", "req-1")]);
    assert_eq!(platform.request("POST", "/api/jobs", &first).first_line, "HTTP/1.1 201 Created");
    platform.request("POST", "/api/jobs/req-1/cancel", &[]);
    let dependent = job(&[(r#""dueS":900.0"#, r#""dueS":900.0,"awaits":["req-1"]"#)]);
    let accepted = platform.request("POST", "/api/jobs", &dependent);
    assert_response(&accepted, "201 Created", r#"{"id":"req-000412","status":"withdrawn"}"#);
}

#[test]
fn leader_answers_heartbeats_with_its_token() {
    let platform = Platform::start_healthy();
    let accepted =
        platform.wait_for_status("POST", "/agent/beat", &msgpack_from_json(HEARTBEAT), "HTTP/1.1 200 OK");
    let response: protocol::worker::HeartbeatResponse =
        protocol::decode(&accepted.body).expect("a response to the heartbeat");
    assert!(response.fencing_token > 0);
    assert_response(&accepted, "200 OK", &format!(r#"{{"baton":{},"orders":[]}}"#, response.fencing_token));
    assert_eq!(accepted.headers, ["content-type: application/msgpack"]);
}

/// The closed connection makes the worker try another node.
#[test]
fn malformed_heartbeat_gets_400_and_the_connection_closes() {
    let platform = Platform::start_healthy();
    let refused = platform.request("POST", "/agent/beat", &[0x01]);
    assert_response(&refused, "400 Bad Request", r#"{"error":"not a MessagePack map"}"#);
    assert_eq!(refused.headers, ["connection: close", "content-type: application/msgpack"]);
}

#[test]
fn paths_and_methods_outside_the_protocol_are_refused() {
    let platform = Platform::start_healthy();
    for (method, path, status) in [
        ("GET", "/", "404 Not Found"),
        ("GET", "/api", "404 Not Found"),
        ("POST", "/up", "405 Method Not Allowed"),
        ("GET", "/api/jobs", "405 Method Not Allowed"),
        ("GET", "/agent/beat", "405 Method Not Allowed"),
        ("POST", "/api/jobs/req-1", "405 Method Not Allowed"),
        ("GET", "/api/jobs/req-1/cancel", "405 Method Not Allowed"),
    ] {
        let response = platform.request(method, path, &[]);
        assert_eq!(response.first_line, format!("HTTP/1.1 {status}"), "{method} {path}");
        assert!(response.body.is_empty());
    }
}

/// Users retry requests that get a 503; any other status would be wrong while the store has an
/// outage.
#[test]
fn clients_are_asked_to_retry_during_a_store_outage() {
    let platform = Platform::start_healthy();
    platform.set_store_outage(true);
    let submitted = platform.request("POST", "/api/jobs", &job(&[]));
    assert_error(&submitted, "503 Service Unavailable", "state service not reached");
    let cancelled = platform.request("POST", "/api/jobs/req-000412/cancel", &[]);
    assert_error(&cancelled, "503 Service Unavailable", "state service not reached");
    let queried = platform.request("GET", "/api/jobs/req-000412", &[]);
    assert_eq!(queried.first_line, "HTTP/1.1 503 Service Unavailable");
    platform.set_store_outage(false);
    let accepted = platform.wait_for_status("POST", "/api/jobs", &job(&[]), "HTTP/1.1 201 Created");
    assert_response(&accepted, "201 Created", r#"{"id":"req-000412","status":"pending"}"#);
}
