//! Tests of direct commands to workers.

use super::{call_with_reply, msgpack_from_json, unused_addr, CannedReply, TIMEOUT};
use crate::client::Client;
use crate::worker_client::call;
use controller::WorkerReply;
use protocol::worker::{Command, CommandKind, DirectCommands, ExitCause, Heartbeat, TaskState, TaskStatus};

fn commands() -> DirectCommands {
    let command = |kind, task: &str, attempt, grace_s| Command { kind, task: task.into(), attempt, grace_s };
    DirectCommands {
        fencing_token: 41,
        epoch: 1,
        commands: vec![
            command(CommandKind::Start, "req-000412/4", 2, None),
            command(CommandKind::Stop, "req-000377/1", 1, Some(10.0)),
            command(CommandKind::Forget, "req-000398/0", 1, None),
        ],
    }
}

const REPORT: &str = r#"{"stall":"vm-000231","endpoint":"10.1.0.232:9000","breed":"g8","yard":"a",
    "loaners":true,"shift":1,"tally":88,"baton":41,"recallS":null,
    "legs":[{"leg":"req-000412/3","try":2,"status":"running"},
            {"leg":"req-000398/0","try":1,"status":"ended","cause":"stopped","kept":true}]}"#;

fn report() -> Heartbeat {
    let status = |task: &str, attempt, state, exit_cause, checkpointed| TaskStatus {
        task: task.into(),
        attempt,
        state,
        exit_cause,
        checkpointed,
    };
    Heartbeat {
        machine: "vm-000231".into(),
        addr: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        epoch: 1,
        sequence: 88,
        fencing_token: 41,
        notice_s: None,
        tasks: vec![
            status("req-000412/3", 2, TaskState::Running, None, None),
            status("req-000398/0", 1, TaskState::Exited, Some(ExitCause::Stopped), Some(true)),
        ],
    }
}

fn reply_to(reply: Option<CannedReply>) -> WorkerReply {
    let call_worker = async |client: &Client, addr: std::net::SocketAddrV4| {
        call(client, &addr.to_string(), commands(), TIMEOUT).await
    };
    call_with_reply(reply, call_worker).1
}

#[test]
fn commands_have_the_protocols_bytes() {
    let call_worker = async |client: &Client, addr: std::net::SocketAddrV4| {
        call(client, &addr.to_string(), commands(), TIMEOUT).await
    };
    let (request, _) = call_with_reply(None, call_worker);
    assert_eq!(request.first_line, "POST /do HTTP/1.1");
    assert_eq!(request.headers, ["connection: close", "content-type: application/msgpack"]);
    let body = r#"{"baton":41,"shift":1,"orders":[
        {"verb":"launch","leg":"req-000412/4","try":2},
        {"verb":"stop","leg":"req-000377/1","try":1,"leewayS":10.0},
        {"verb":"clear","leg":"req-000398/0","try":1}]}"#;
    assert_eq!(request.body, msgpack_from_json(body));
}

#[test]
fn report_says_whether_commands_were_executed() {
    for (status, executed) in [(200, true), (409, false)] {
        assert_eq!(
            reply_to(Some(CannedReply::json(status, REPORT))),
            WorkerReply::Heartbeat { executed, report: Box::new(report()) }
        );
    }
}

#[test]
fn any_other_reply_is_a_failure() {
    for reply in [
        Some(CannedReply::json(400, REPORT)),
        Some(CannedReply::json(503, REPORT)),
        Some(CannedReply::json(200, r#"{"other":1}"#)),
        None,
    ] {
        assert_eq!(reply_to(reply), WorkerReply::Failed);
    }
}

#[test]
fn call_fails_without_a_worker_or_an_address() {
    let client = Client::default();
    for addr in [unused_addr().to_string(), "nowhere".to_string()] {
        let reply = async_io::block_on(call(&client, &addr, commands(), TIMEOUT));
        assert_eq!(reply, WorkerReply::Failed);
    }
}
