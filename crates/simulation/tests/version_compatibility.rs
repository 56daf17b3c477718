//! The version in production and this one on each other's data. What production wrote is in
//! `production/` (made by `scripts/fixtures`); what it can read is frozen below.

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

/// Production's forms of what is stored, as they were: never to be changed.
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

    /// What production's keys of pages look like; another is passed over.
    pub fn page_of_key(key: &str) -> Option<(&str, usize)> {
        let (id, number) = key.strip_prefix("t/")?.rsplit_once('/')?;
        Some((id, number.parse().ok()?))
    }
}

/// Everything that production stored is read, field by field.
#[test]
fn production_records_are_read() {
    let page: Page<Value> = protocol::decode(include_bytes!("production/page.msgpack")).unwrap();
    assert_eq!(page.items.len(), 9);
    let mut kinds = Vec::new();
    for item in &page.items {
        match &item.value {
            Value::Leader(l) => assert_eq!((&l.node[..], l.quick_restarts), ("n-1", 1)),
            Value::Types(t) => assert_eq!((t[0].cores, t[0].zones.len()), (16.0, 2)),
            Value::Format(f) => assert_eq!(*f, ARCHIVE_FORMAT),
            Value::Images(i) => assert_eq!(i.machines, [("vm-000001".to_string(), vec![0])]),
            Value::Terminal(o) => assert_eq!((o.status, o.done), (JobStatus::Done, 40)),
            Value::Page(p) => assert_eq!((p.placements.len(), p.placements[0].attempt), (38, 3)),
            Value::Job(j) => {
                assert_eq!(job_key(&j.spec.id), item.key);
                assert_eq!(
                    (j.per_page, j.first_page.placements.len(), j.machines_with_image.len()),
                    (252, 38, 40)
                );
                assert_eq!((j.spec.deadline_s, j.layout, j.dependencies().len()), (Some(900.0), 0, 0));
                assert_eq!((j.ready_wall_s, &j.spec_chunks), (None, &None));
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
fn production_messages_are_understood() {
    let view = protocol::peer::View::decode(&include_bytes!("production/view.protobuf")[..]).unwrap();
    assert_eq!((&view.node[..], view.token, view.format, view.room), ("n-1", 41, 2, 100));
    let relay =
        protocol::peer::ForwardRequest::decode(&include_bytes!("production/relay.protobuf")[..]).unwrap();
    assert_eq!((relay.token, relay.entries.len(), relay.entries[0].age_ms), (41, 1, 120));
    let report = relay
        .entries
        .into_iter()
        .next()
        .and_then(protocol::peer::ForwardedHeartbeat::into_heartbeat)
        .unwrap();
    assert_eq!((report.tasks.len(), &report.tasks[0].task[..]), (1, "req-1/3"));
    let reply =
        protocol::peer::ForwardReply::decode(&include_bytes!("production/reply.protobuf")[..]).unwrap();
    assert_eq!(reply.token, 41);
}

/// Days on which some controller still runs production's version: with the coming limits known,
/// with failovers and every fault. Production can read all that is written, and writes it back
/// byte for byte.
#[test]
fn writes_before_the_format_gate_are_readable_by_production() {
    fn look(key: &str, value: &Value) {
        let bytes = protocol::encode(value);
        let read = protocol::decode::<frozen::Value>(&bytes).unwrap_or_else(|e| panic!("{key}: {e}"));
        assert_eq!(protocol::encode(&read), bytes, "{key} loses something");
        let known = ["a/", "j/", "jo/", "i/", "f/format"].iter().any(|p| key.starts_with(p));
        assert!(known || frozen::page_of_key(key).is_some(), "{key}");
        let format = matches!(value, Value::Format(f) if *f > ARCHIVE_FORMAT);
        assert!(!format, "the gate is open while a node has the version before");
    }
    for seed in 0..10 {
        let mut setup = seeded_setup(seed, if seed % 2 == 0 { seeded_faults(seed) } else { vec![] });
        without_quotas(&mut setup);
        let state = &mut setup.settings.params.store;
        state.next = Some(NextLimits { value_kb: Some(2.0), txn_ops: Some(8), ..NextLimits::default() });
        for Submission { spec, .. } in
            setup.jobs.iter_mut().step_by(5).filter(|j| j.spec.shape == Shape::Array)
        {
            (spec.tasks, spec.cores, spec.accelerators, spec.memory_gb) = (200, 0.25, 0.0, 0.25);
        }
        let mut sim = Simulation::new(Setup { capacity: 12, ..setup });
        sim.inspect_writes(look);
        sim.announce_format(ARCHIVE_FORMAT);
        assert_eq!(sim.run(500.0), [], "seed {seed}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
        assert!(sim.store().count(TERMINAL_JOB_PREFIX) > 0, "production's own gate is open");
    }
}

/// Once all controllers have announced this version, the new formats are used, and what production
/// left is converted.
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
    // A node that says less afterwards has not lost what it has.
    sim.announce_format(ARCHIVE_FORMAT);
    assert_eq!(sim.run(90.0), []);
    assert_eq!(sim.store().format(), Some(FORMAT));
}
