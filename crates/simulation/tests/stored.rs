//! Compatibility of stored records and of messages between controllers. `stored/` contains the
//! encoding of one record of each kind and of one message of each kind, with every field set. The
//! current code must encode the values below to exactly these bytes, decode the bytes to the same
//! values, and encode these again without a difference. Old and new versions can then read each
//! other's data.
//!
//! The files must never change. A new kind or field gets a new file, which
//! `RECORD_STORED=1 cargo test -p anisecroft-simulation --test stored` writes; existing files are
//! kept.

use controller::records::*;
use prost::Message;
use protocol::cloud::MachineType;
use protocol::job::*;
use protocol::peer::*;
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;
use std::path::{Path, PathBuf};

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored").join(name)
}

/// Reads a fixture and checks that its bytes are `current`; with `RECORD_STORED`, writes the file
/// first if it does not exist.
fn read_fixture(name: &str, current: &[u8]) -> Vec<u8> {
    let file = path(name);
    if std::env::var_os("RECORD_STORED").is_some() && !file.exists() {
        std::fs::write(&file, current).expect("cannot write the fixture");
    }
    let bytes = std::fs::read(&file).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(bytes, current, "{name}: the encoding has changed");
    bytes
}

/// Checks a stored value, or a part of one, against its fixture.
fn check_record<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let bytes = read_fixture(name, &protocol::encode(value));
    let decoded: T = protocol::decode(&bytes).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(&decoded, value, "{name}: decoded to another value");
    assert_eq!(protocol::encode(&decoded), bytes, "{name}: encoded differently after decoding");
}

/// Checks a message between controllers against its fixture.
fn check_message<T: Message + Default + PartialEq>(name: &str, message: &T) {
    let bytes = read_fixture(name, &message.encode_to_vec());
    let decoded = T::decode(&bytes[..]).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(&decoded, message, "{name}: decoded to another value");
    assert_eq!(decoded.encode_to_vec(), bytes, "{name}: encoded differently after decoding");
}

fn spec(shape: Shape, priority: Priority) -> JobSpec {
    JobSpec {
        id: "req-412".into(),
        class: "refit".into(),
        team: "dispatch".into(),
        shape,
        priority,
        tasks: 40,
        cores: 2.5,
        accelerators: 1.5,
        memory_gb: 9.6,
        image: "img-7".into(),
        image_gb: 6.2,
        machine_types: Some(vec!["big".into(), "small".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: true,
        spot: true,
        estimated_run_s: 240.0,
        checkpoint_interval_s: 30.0,
        save_s: 4.0,
        deadline_s: Some(900.0),
        dependencies: vec!["req-410".into(), "req-411".into()],
    }
}

fn page() -> PageRecord {
    let place =
        |task| StoredPlacement { task, attempt: 3 + u64::from(task), machine: format!("vm-{task:06}") };
    PageRecord { done: "3f".into(), placements: (8..24).map(place).collect() }
}

fn job(spec: JobSpec, status: JobStatus) -> Value {
    Value::Job(Box::new(JobRecord {
        spec,
        submitted_wall_s: 1.7e9,
        status,
        done: 6,
        running: 16,
        attempt: 27,
        per_page: 252,
        first_page: page(),
        machines_with_image: (0..24).map(|n| format!("vm-{n:06}")).collect(),
        ready_wall_s: Some(1.7e9 + 2.5),
        spec_chunks: Some(SpecChunks { nonce: "5eed".into(), count: 2 }),
        layout: 1,
    }))
}

fn machine_type() -> MachineType {
    MachineType {
        name: "big".into(),
        cores: 16.0,
        accelerators: 4.0,
        memory_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.25,
        price: 4.0,
        spot_price: 1.5,
        boot_s: 10.0,
        zones: vec!["a".into(), "b".into()],
    }
}

/// Every kind of value, and every shape, priority and status that a job record can have.
#[test]
fn stored_records_keep_their_bytes() {
    let leader = LeaderRecord { node: "n-1".into(), elected_wall_s: 1.7e9, quick_restarts: 2, lease: 77 };
    check_record("leader.msgpack", &Value::Leader(leader));
    check_record("types.msgpack", &Value::Types(vec![machine_type()]));
    check_record("job.msgpack", &job(spec(Shape::Array, Priority::Normal), JobStatus::Running));
    check_record("job_gang.msgpack", &job(spec(Shape::Gang, Priority::High), JobStatus::Pending));
    check_record(
        "job_service.msgpack",
        &job(spec(Shape::Service, Priority::Production), JobStatus::Cancelled),
    );
    check_record("job_idle.msgpack", &job(spec(Shape::Array, Priority::Low), JobStatus::Done));
    check_record("page.msgpack", &Value::Page(page()));
    for (name, status) in
        [("over.msgpack", JobStatus::Done), ("over_cancelled.msgpack", JobStatus::Cancelled)]
    {
        check_record(name, &Value::Terminal(TerminalRecord { status, done: 40, submitted_wall_s: 1.7e9 }));
    }
    let images = ImagesRecord {
        images: vec![("img-7".into(), 6.2), ("img-8".into(), 1.0)],
        machines: vec![("vm-000001".into(), vec![0, 1])],
    };
    check_record("images.msgpack", &Value::Images(images));
    check_record("format.msgpack", &Value::Format(3));
    check_record("part.msgpack", &Value::SpecChunk("{\"id\":\"req-412\"".into()));
}

#[test]
fn chunks_of_split_values_keep_their_bytes() {
    let types = [machine_type(), MachineType { name: "small".into(), ..machine_type() }];
    let chunks = catalogue_chunks(&types, 500);
    assert!(chunks.len() > 1);
    let values: std::collections::BTreeMap<String, Value> = chunks.into_iter().collect();
    check_record("catalogue.msgpack", &values);
    let Value::Job(record) = job(spec(Shape::Array, Priority::Normal), JobStatus::Running) else {
        panic!("not a job record");
    };
    let (stub, spec_chunks) = record.split_spec("5eed".into(), 400);
    assert!(spec_chunks.len() > 1);
    check_record("split_job.msgpack", &Value::Job(Box::new(stub)));
    check_record(
        "split_parts.msgpack",
        &spec_chunks.into_iter().collect::<std::collections::BTreeMap<_, _>>(),
    );
}

#[test]
fn keys_of_stored_records_keep_their_names() {
    let keys = [
        LEADER_KEY.to_string(),
        TYPES_KEY.into(),
        NODE_PREFIX.into(),
        JOB_PREFIX.into(),
        PAGE_PREFIX.into(),
        TERMINAL_JOB_PREFIX.into(),
        JOB_WATCH_PREFIX.into(),
        SPEC_CHUNK_PREFIX.into(),
        CATALOGUE_PREFIX.into(),
        IMAGES_PREFIX.into(),
        FORMAT_KEY.into(),
        MARK_PREFIX.into(),
        job_key("req-1"),
        terminal_job_key("req-1"),
        page_key("req-1", 2, 0),
        page_key("req-1", 2, 3),
        mark_key("req-1"),
        images_key(4),
    ];
    assert_eq!(read_fixture("keys.txt", keys.join("\n").as_bytes()), keys.join("\n").as_bytes());
}

fn tasks() -> Vec<Task> {
    let phases = [Phase::Fetching, Phase::Waiting, Phase::Running, Phase::Saving, Phase::Exited];
    let causes = [
        Cause::Done,
        Cause::Stopped,
        Cause::Peers,
        Cause::Alone,
        Cause::Error,
        Cause::NoRoom,
        Cause::Busy,
        Cause::TaskUnknown,
    ];
    let task = |n: usize, phase: Phase, cause: Cause| Task {
        task: format!("req-1/{n}"),
        attempt: 3 + n as u64,
        phase: phase.into(),
        cause: cause.into(),
        saved: Some(n % 2 == 0),
    };
    let in_each_phase = phases.into_iter().enumerate().map(|(n, p)| task(n, p, Cause::Done));
    in_each_phase.chain(causes.into_iter().enumerate().map(|(n, c)| task(5 + n, Phase::Exited, c))).collect()
}

fn heartbeat_content() -> HeartbeatContent {
    HeartbeatContent {
        addr: "10.1.0.1:9000".into(),
        machine_type: "big".into(),
        zone: "a".into(),
        spot: true,
        token: 41,
        notice_s: Some(25.5),
        tasks: tasks(),
    }
}

fn forwarded_heartbeat() -> ForwardedHeartbeat {
    ForwardedHeartbeat {
        machine: "vm-000001".into(),
        session: 2,
        seq: 88,
        same_as: 87,
        held: true,
        content: Some(heartbeat_content()),
        age_ms: 120,
    }
}

fn machine_commands() -> MachineCommands {
    let command = |(n, op): (usize, Op)| TaskCommand {
        op: op.into(),
        task: format!("req-1/{n}"),
        attempt: 3 + n as u64,
        grace_s: Some(5.0),
    };
    let ops = [Op::Start, Op::Stop, Op::Forget];
    MachineCommands {
        machine: "vm-000001".into(),
        session: 2,
        seq: 88,
        orders: ops.into_iter().enumerate().map(command).collect(),
    }
}

#[test]
fn messages_between_controllers_keep_their_bytes() {
    let view = View {
        node: "n-1".into(),
        token: 41,
        state_reached: true,
        workers_heard: 7,
        workers: 8,
        format: 3,
        newest: 42,
        room: 100,
        serves: true,
        weight: 900,
    };
    check_message("view.protobuf", &view);
    check_message("task.protobuf", &tasks()[0]);
    check_message("content.protobuf", &heartbeat_content());
    check_message("entry.protobuf", &forwarded_heartbeat());
    let request = ForwardRequest {
        node: "n-1".into(),
        incarnation: 5,
        number: 9,
        acked: 8,
        token: 41,
        complete: true,
        entries: vec![forwarded_heartbeat()],
    };
    check_message("relay_request.protobuf", &request);
    check_message("order.protobuf", &machine_commands().orders[1]);
    check_message("orders.protobuf", &machine_commands());
    let leader_only = LeaderOnly { machine: "vm-000002".into(), stops: true };
    check_message("attend.protobuf", &leader_only);
    let reply = ForwardReply {
        token: 41,
        leave_ms: 1500,
        ready: true,
        afresh: true,
        attend: vec![leader_only],
        attend_no_more: vec!["vm-000003".into()],
        unknown: vec!["vm-000004".into()],
        orders: vec![machine_commands()],
    };
    check_message("relay_reply.protobuf", &reply);
}

/// No file in `stored/` is without a test that reads it.
#[test]
fn every_fixture_is_read() {
    let source = include_str!("stored.rs");
    let files = std::fs::read_dir(path("")).expect("cannot read the fixture folder");
    for file in files {
        let name =
            file.expect("cannot list the folder").file_name().into_string().expect("name not in UTF-8");
        assert!(source.contains(&format!("\"{name}\"")), "{name} is not read by any test");
    }
}
