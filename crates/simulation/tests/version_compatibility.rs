//! Compatibility with the version in production, in both directions. Data that production wrote is
//! in `production/` (made by `scripts/fixtures`); what production can read is defined by the frozen
//! types below.

mod common;

use anisecroft_simulation::{Setup, Simulation, Submission};
use common::*;
use controller::records::*;
use prost::Message;
use protocol::cloud::MachineType;
use protocol::job::{JobSpec, JobStatus, Priority, Shape};
use protocol::state::{Events, Page};
use serde::{Deserialize, Serialize};
use settings::NextLimits;

/// The stored types as the production version defines them. They must never change.
mod frozen {
    use super::*;

    #[derive(Serialize, Deserialize)]
    pub enum Value {
        Leader(LeaderRecord),
        Types(Vec<MachineType>),
        Job(Box<JobRecord>),
        Page(PageRecord),
        Over(TerminalRecord),
        Images(ImagesRecord),
        Format(u32),
    }

    #[derive(Serialize, Deserialize)]
    pub struct JobRecord {
        spec: Spec,
        at: f64,
        status: JobStatus,
        done: u32,
        running: u32,
        attempt: u64,
        per_page: u32,
        page: PageRecord,
        #[serde(default)]
        ran_on: Vec<String>,
    }

    #[derive(Serialize, Deserialize)]
    pub struct Spec {
        id: String,
        lane: String,
        crew: String,
        shape: Shape,
        urgency: Priority,
        legs: u32,
        cores: f64,
        accelerators: f64,
        #[serde(rename = "memGb")]
        memory_gb: f64,
        kit: String,
        #[serde(rename = "sizeGb")]
        image_gb: f64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        breeds: Option<Vec<String>>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        yard: Option<String>,
        together: bool,
        spread: bool,
        loaners: bool,
        #[serde(rename = "etaS")]
        estimate_s: f64,
        #[serde(rename = "waypointS")]
        checkpoint_s: f64,
        #[serde(rename = "stashS")]
        save_s: f64,
        #[serde(rename = "dueS", default, skip_serializing_if = "Option::is_none")]
        due_s: Option<f64>,
    }

    /// Parses a page key as production does; production ignores keys for which this is `None`.
    pub fn page_of_key(key: &str) -> Option<(&str, usize)> {
        let (id, number) = key.strip_prefix("t/")?.rsplit_once('/')?;
        Some((id, number.parse().ok()?))
    }
}

/// Every kind of record that production stored is decoded with the right values.
#[test]
fn production_records_are_read() {
    let page: Page<Value> = protocol::decode(include_bytes!("production/page.msgpack")).unwrap();
    assert_eq!(page.items.len(), 9);
    let mut kinds = Vec::new();
    for item in &page.items {
        match &item.value {
            Value::Leader(leader) => {
                assert_eq!((&leader.node[..], leader.quick_restarts), ("n-1", 1));
            }
            Value::Types(types) => assert_eq!((types[0].cores, types[0].zones.len()), (16.0, 2)),
            Value::Format(format) => assert_eq!(*format, ARCHIVE_FORMAT),
            Value::Images(images) => {
                assert_eq!(images.machines, [("vm-000001".to_string(), vec![0])]);
            }
            Value::Terminal(terminal) => {
                assert_eq!((terminal.status, terminal.done), (JobStatus::Done, 40));
            }
            Value::Page(page) => {
                assert_eq!((page.placements.len(), page.placements[0].attempt), (38, 3));
            }
            Value::Job(job) => {
                assert_eq!(job_key(&job.spec.id), item.key);
                assert_eq!(
                    (job.per_page, job.first_page.placements.len(), job.machines_with_image.len()),
                    (252, 38, 40)
                );
                assert_eq!((job.spec.deadline_s, job.layout, job.dependencies().len()), (Some(900.0), 0, 0));
                assert_eq!((job.ready_wall_s, &job.spec_chunks), (None, &None));
            }
            other => panic!("{other:?}"),
        }
        kinds.push(std::mem::discriminant(&item.value));
    }
    kinds.dedup();
    assert_eq!(kinds.len(), 7);
    let events: Events<Value> = protocol::decode(include_bytes!("production/events.msgpack")).unwrap();
    assert_eq!(events.events.len(), 9);
    let spec: JobSpec = protocol::decode(include_bytes!("production/submission.msgpack")).unwrap();
    assert!(spec.check().is_ok() && spec.dependencies.is_empty());
}

#[test]
fn production_messages_are_decoded() {
    let view = protocol::peer::View::decode(&include_bytes!("production/view.protobuf")[..]).unwrap();
    assert_eq!((&view.node[..], view.token, view.format, view.room), ("n-1", 41, 2, 100));
    let request =
        protocol::peer::ForwardRequest::decode(&include_bytes!("production/relay.protobuf")[..]).unwrap();
    assert_eq!((request.token, request.entries.len(), request.entries[0].age_ms), (41, 1, 120));
    let heartbeat = request
        .entries
        .into_iter()
        .next()
        .and_then(protocol::peer::ForwardedHeartbeat::into_heartbeat)
        .unwrap();
    assert_eq!((heartbeat.tasks.len(), &heartbeat.tasks[0].task[..]), (1, "req-1/3"));
    let reply =
        protocol::peer::ForwardReply::decode(&include_bytes!("production/reply.protobuf")[..]).unwrap();
    assert_eq!(reply.token, 41);
}

/// While some controller runs production's version, production can decode every write and
/// encode it again to the same bytes, also with announced store limits and under seeded faults.
#[test]
fn writes_before_the_format_gate_are_readable_by_production() {
    fn check_write(key: &str, value: &Value) {
        let bytes = protocol::encode(value);
        let decoded = protocol::decode::<frozen::Value>(&bytes).unwrap_or_else(|e| panic!("{key}: {e}"));
        assert_eq!(protocol::encode(&decoded), bytes, "{key}: production loses data of this record");
        let known_prefix = ["a/", "j/", "jo/", "i/", "f/format"].iter().any(|p| key.starts_with(p));
        assert!(known_prefix || frozen::page_of_key(key).is_some(), "{key}: unknown to production");
        let newer_format = matches!(value, Value::Format(f) if *f > ARCHIVE_FORMAT);
        assert!(!newer_format, "format gate opened although a node runs production's version");
    }
    for seed in 0..10 {
        let mut setup = seeded_setup(seed, if seed % 2 == 0 { seeded_faults(seed) } else { vec![] });
        without_quotas(&mut setup);
        let store = &mut setup.settings.params.store;
        store.next = Some(NextLimits { value_kb: Some(2.0), txn_ops: Some(8), ..NextLimits::default() });
        for Submission { spec, .. } in
            setup.jobs.iter_mut().step_by(5).filter(|j| j.spec.shape == Shape::Array)
        {
            (spec.tasks, spec.cores, spec.accelerators, spec.memory_gb) = (200, 0.25, 0.0, 0.25);
        }
        let mut sim = Simulation::new(Setup { capacity: 12, ..setup });
        sim.inspect_writes(check_write);
        sim.announce_format(ARCHIVE_FORMAT);
        assert_eq!(sim.run(500.0), [], "seed {seed}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
        assert!(
            sim.store().count(TERMINAL_JOB_PREFIX) > 0,
            "nothing archived although production has the archive format"
        );
    }
}

/// The stored format advances once all controllers announce the new one, and does not go back when
/// a controller announces an older one later.
#[test]
fn format_gate_opens_when_all_controllers_announce_it() {
    let mut setup = seeded_setup(3, vec![]);
    without_quotas(&mut setup);
    setup.settings.params.store.next = Some(NextLimits { value_kb: Some(2.0), ..NextLimits::default() });
    let array = JobSpec { tasks: 900, cores: 0.25, accelerators: 0.0, memory_gb: 0.25, ..long_array() };
    let mut sim = Simulation::new(Setup { jobs: vec![Submission::new(1.0, array)], capacity: 12, ..setup });
    sim.announce_format(ARCHIVE_FORMAT);
    assert_eq!(sim.run(60.0), []);
    assert_eq!(sim.store().format(), Some(ARCHIVE_FORMAT));
    sim.announce_format(FORMAT);
    assert_eq!(sim.run(70.0), []);
    assert_eq!(sim.store().format(), Some(FORMAT));
    // Announcing an older format later does not lower the stored format.
    sim.announce_format(ARCHIVE_FORMAT);
    assert_eq!(sim.run(90.0), []);
    assert_eq!(sim.store().format(), Some(FORMAT));
}
