//! One of each kind of stored record and of each message between controllers, with every field
//! set, in the bytes of `stored/`: today's code reads each and writes the same bytes again, and
//! what it builds from the values below is these bytes. So old data reads in new code and the reverse.
//!
//! The bytes are never to be changed; a new kind or field gets a new file, written by
//! `RECORD_STORED=1 cargo test -p anisecroft-simulation --test stored`, which leaves files that there are.

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

/// The bytes of a file, which are those of `today`.
fn recorded(name: &str, today: &[u8]) -> Vec<u8> {
    let file = path(name);
    if std::env::var_os("RECORD_STORED").is_some() && !file.exists() {
        std::fs::write(&file, today).expect("the file can be written");
    }
    let bytes = std::fs::read(&file).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(bytes, today, "{name} is written otherwise");
    bytes
}

/// A stored value, or a part of one.
fn stored<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let bytes = recorded(name, &protocol::encode(value));
    let read: T = protocol::decode(&bytes).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(&read, value, "{name} is read otherwise");
    assert_eq!(protocol::encode(&read), bytes, "{name} is not the same when written again");
}

/// A message between controllers.
fn said<T: Message + Default + PartialEq>(name: &str, message: &T) {
    let bytes = recorded(name, &message.encode_to_vec());
    let read = T::decode(&bytes[..]).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(&read, message, "{name} is read otherwise");
    assert_eq!(read.encode_to_vec(), bytes, "{name} is not the same when written again");
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

/// Every kind of value, and each word that a job's record may hold.
#[test]
fn stored_records_keep_their_bytes() {
    let leader = LeaderRecord { node: "n-1".into(), elected_wall_s: 1.7e9, quick_restarts: 2, lease: 77 };
    stored("leader.msgpack", &Value::Leader(leader));
    stored("types.msgpack", &Value::Types(vec![machine_type()]));
    stored("job.msgpack", &job(spec(Shape::Array, Priority::Normal), JobStatus::Running));
    stored("job_gang.msgpack", &job(spec(Shape::Gang, Priority::High), JobStatus::Pending));
    stored("job_service.msgpack", &job(spec(Shape::Service, Priority::Production), JobStatus::Cancelled));
    stored("job_idle.msgpack", &job(spec(Shape::Array, Priority::Low), JobStatus::Done));
    stored("page.msgpack", &Value::Page(page()));
    for (name, status) in
        [("over.msgpack", JobStatus::Done), ("over_cancelled.msgpack", JobStatus::Cancelled)]
    {
        stored(name, &Value::Terminal(TerminalRecord { status, done: 40, submitted_wall_s: 1.7e9 }));
    }
    let images = ImagesRecord {
        images: vec![("img-7".into(), 6.2), ("img-8".into(), 1.0)],
        machines: vec![("vm-000001".into(), vec![0, 1])],
    };
    stored("images.msgpack", &Value::Images(images));
    stored("format.msgpack", &Value::Format(3));
    stored("part.msgpack", &Value::SpecChunk("{\"id\":\"req-412\"".into()));
}

#[test]
fn chunks_of_split_values_keep_their_bytes() {
    let types = [machine_type(), MachineType { name: "small".into(), ..machine_type() }];
    let pieces = catalogue_chunks(&types, 500);
    assert!(pieces.len() > 1);
    let values: std::collections::BTreeMap<String, Value> = pieces.into_iter().collect();
    stored("catalogue.msgpack", &values);
    let Value::Job(record) = job(spec(Shape::Array, Priority::Normal), JobStatus::Running) else {
        panic!("it is a job's record");
    };
    let (stub, parts) = record.split_spec("5eed".into(), 400);
    assert!(parts.len() > 1);
    stored("split_job.msgpack", &Value::Job(Box::new(stub)));
    stored("split_parts.msgpack", &parts.into_iter().collect::<std::collections::BTreeMap<_, _>>());
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
    assert_eq!(recorded("keys.txt", keys.join("\n").as_bytes()), keys.join("\n").as_bytes());
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
    let running = phases.into_iter().enumerate().map(|(n, p)| task(n, p, Cause::Done));
    running.chain(causes.into_iter().enumerate().map(|(n, c)| task(5 + n, Phase::Exited, c))).collect()
}

fn content() -> HeartbeatContent {
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

fn entry() -> ForwardedHeartbeat {
    ForwardedHeartbeat {
        machine: "vm-000001".into(),
        session: 2,
        seq: 88,
        same_as: 87,
        held: true,
        content: Some(content()),
        age_ms: 120,
    }
}

fn orders() -> MachineCommands {
    let order = |(n, op): (usize, Op)| TaskCommand {
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
        orders: ops.into_iter().enumerate().map(order).collect(),
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
    said("view.protobuf", &view);
    said("task.protobuf", &tasks()[0]);
    said("content.protobuf", &content());
    said("entry.protobuf", &entry());
    let request = ForwardRequest {
        node: "n-1".into(),
        incarnation: 5,
        number: 9,
        acked: 8,
        token: 41,
        complete: true,
        entries: vec![entry()],
    };
    said("relay_request.protobuf", &request);
    said("order.protobuf", &orders().orders[1]);
    said("orders.protobuf", &orders());
    let attend = LeaderOnly { machine: "vm-000002".into(), stops: true };
    said("attend.protobuf", &attend);
    let reply = ForwardReply {
        token: 41,
        leave_ms: 1500,
        ready: true,
        afresh: true,
        attend: vec![attend],
        attend_no_more: vec!["vm-000003".into()],
        unknown: vec!["vm-000004".into()],
        orders: vec![orders()],
    };
    said("relay_reply.protobuf", &reply);
}

/// Nothing lies there that no test reads.
#[test]
fn every_fixture_is_read() {
    let source = include_str!("stored.rs");
    let files = std::fs::read_dir(path("")).expect("the folder is there");
    for file in files {
        let name = file.expect("it can be listed").file_name().into_string().expect("names are text");
        assert!(source.contains(&format!("\"{name}\"")), "{name}");
    }
}
