//! Writes one of everything that the version in production stores and says. Built against that
//! version by `scripts/fixtures`, not against this one.

use engine::record::*;
use prost::Message;
use std::path::Path;
use wire::cloud::MachineType;
use wire::job::*;
use wire::peer::*;
use wire::state::{Event, Events, Item, Page};
use wire::worker::{Report, TaskReport, TaskState};

fn spec(id: &str, shape: Shape, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "refit".into(),
        team: "dispatch".into(),
        shape,
        priority: Priority::Normal,
        tasks,
        cores: 2.5,
        accelerators: 1.0,
        memory_gb: 9.6,
        image: "img-7".into(),
        image_gb: 6.2,
        types: Some(vec!["big".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: false,
        spot: true,
        estimate_s: 240.0,
        checkpoint_s: 30.0,
        save_s: 4.0,
        due_s: Some(900.0),
    }
}

fn record(id: &str, shape: Shape, status: JobStatus) -> JobRecord {
    let place = |task| StoredPlacement { task, attempt: 3, machine: format!("vm-{task:06}") };
    JobRecord {
        spec: spec(id, shape, 40),
        at: 1.7e9,
        status,
        done: 2,
        running: 3,
        attempt: 3,
        per_page: 252,
        page: PageRecord { done: "3".into(), places: (2..40).map(place).collect() },
        ran_on: (0..40).map(|n| format!("vm-{n:06}")).collect(),
    }
}

fn main() {
    let out = std::env::args().nth(1).expect("a folder");
    let write = |name: &str, bytes: Vec<u8>| {
        std::fs::write(Path::new(&out).join(name), bytes).expect("the folder can be written");
    };
    let big = MachineType {
        name: "big".into(),
        cores: 16.0,
        accelerators: 4.0,
        memory_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 4.0,
        spot_price: 1.5,
        boot_s: 10.0,
        zones: vec!["a".into(), "b".into()],
    };
    let job = |id: &str, shape, status| (job_key(id), Value::Job(Box::new(record(id, shape, status))));
    let values = vec![
        (LEADER_KEY.to_string(), Value::Leader(LeaderRecord { node: "n-1".into(), at: 1.7e9, again: 1 })),
        (TYPES_KEY.to_string(), Value::Types(vec![big])),
        (FORMAT_KEY.to_string(), Value::Format(FORMAT)),
        (
            images_key(0),
            Value::Images(ImagesRecord {
                images: vec![("img-7".into(), 6.2)],
                machines: vec![("vm-000001".into(), vec![0])],
            }),
        ),
        job("req-1", Shape::Array, JobStatus::Running),
        job("req-2", Shape::Gang, JobStatus::Pending),
        job("req-3", Shape::Service, JobStatus::Cancelled),
        (over_key("req-4"), Value::Over(OverRecord { status: JobStatus::Done, done: 40, at: 1.7e9 })),
        (page_key("req-1", 1), Value::Page(record("req-1", Shape::Array, JobStatus::Running).page)),
    ];
    let items = values.iter().map(|(key, value)| Item { key: key.clone(), value: value.clone(), version: 9 });
    write("page.msgpack", wire::encode(&Page { items: items.collect(), more: false, revision: 10 }));
    let events = values.into_iter().map(|(key, value)| Event::Put { key, value, version: 9 });
    write("events.msgpack", wire::encode(&Events { revision: 10, events: events.collect() }));
    write("submission.msgpack", wire::encode(&spec("req-5", Shape::Array, 40)));
    let view = View {
        node: "n-1".into(),
        token: 41,
        state_reached: true,
        workers_heard: 7,
        workers: 8,
        format: FORMAT,
        newest: 41,
        room: 100,
        serves: true,
        weight: 900,
    };
    write("view.protobuf", view.encode_to_vec());
    let report = Report {
        machine: "vm-000001".into(),
        addr: "10.1.0.1:9000".into(),
        machine_type: "big".into(),
        zone: "a".into(),
        spot: true,
        session: 2,
        seq: 88,
        token: 41,
        notice_s: None,
        tasks: vec![TaskReport {
            task: "req-1/3".into(),
            attempt: 3,
            state: TaskState::Running,
            cause: None,
            saved: None,
        }],
    };
    let entry = Entry {
        machine: report.machine.clone(),
        session: 2,
        seq: 88,
        content: Some(Content::from(&report)),
        held: true,
        age_ms: 120,
        ..Entry::default()
    };
    let request = RelayRequest { node: "n-1".into(), incarnation: 5, token: 41, entries: vec![entry], ..RelayRequest::default() };
    write("relay.protobuf", request.encode_to_vec());
    write("reply.protobuf", RelayReply { token: 41, ..RelayReply::default() }.encode_to_vec());
    println!("format {FORMAT}");
}
