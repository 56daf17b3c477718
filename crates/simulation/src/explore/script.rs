//! Short fixed runs of a few jobs, in which each message is a point for trouble.

use crate::{Fault, Setup};
use controller::SafetyChecks;
use protocol::cloud::MachineType;
use protocol::job::*;
use settings::{Settings, Workers};
use std::collections::BTreeSet;
use std::sync::LazyLock;

/// A fixed run.
#[derive(Debug, Clone, Copy)]
pub struct Script {
    pub name: &'static str,
    pub about: &'static str,
    /// Messages from then on are no points: all jobs are over, or should be.
    pub until_s: f64,
    jobs: fn() -> Vec<Wish>,
    faults: fn() -> Vec<(f64, Fault)>,
    /// Machines, at most.
    capacity: usize,
    /// Accelerators that the first team may use.
    limit: f64,
}

/// When a job is submitted, what it is, and when its user cancels it.
type Wish = (f64, JobSpec, Option<f64>);

/// All scripts, in the order in which they are played.
pub const SCRIPTS: [Script; 12] = [
    Script {
        name: "arrays",
        about: "jobs are accepted, placed, launched and end",
        until_s: 45.0,
        jobs: arrays,
        faults: none,
        capacity: 3,
        limit: 0.0,
    },
    Script {
        name: "cancel",
        about: "running jobs are cancelled, others take their room",
        until_s: 60.0,
        jobs: cancelled,
        faults: none,
        capacity: 2,
        limit: 0.0,
    },
    Script {
        name: "gang",
        about: "a gang takes the machines of less urgent work",
        until_s: 70.0,
        jobs: gang,
        faults: none,
        capacity: 2,
        limit: 0.0,
    },
    Script {
        name: "handover",
        about: "the lead goes from node to node while jobs run, end and are cancelled",
        until_s: 60.0,
        jobs: handed_over,
        faults: all_end,
        capacity: 2,
        limit: 0.0,
    },
    Script {
        name: "rent",
        about: "machines are rented, given back and rented again",
        until_s: 90.0,
        jobs: bursts,
        faults: none,
        capacity: 3,
        limit: 0.0,
    },
    Script {
        name: "await",
        about: "jobs await others, one of which is cancelled",
        until_s: 60.0,
        jobs: awaiting,
        faults: none,
        capacity: 2,
        limit: 0.0,
    },
    Script {
        name: "limit",
        about: "a team at its limit, whose jobs are cancelled while others wait",
        until_s: 60.0,
        jobs: limited,
        faults: none,
        capacity: 3,
        limit: 4.0,
    },
    Script {
        name: "service",
        about: "replicas run until they are cancelled, in one zone or spread",
        until_s: 60.0,
        jobs: services,
        faults: none,
        capacity: 3,
        limit: 0.0,
    },
    Script {
        name: "steady",
        about:
            "small jobs come to machines with room, which report to a node after the other; the cloud is out",
        until_s: 50.0,
        jobs: steady,
        faults: cloud_out,
        capacity: 3,
        limit: 0.0,
    },
    Script {
        name: "leaderless",
        about: "one node or another ends all the time, while what others await is cancelled",
        until_s: 90.0,
        jobs: awaiting,
        faults: always_ending,
        capacity: 2,
        limit: 0.0,
    },
    Script {
        name: "zone",
        about: "a zone is cut off with a gateway inside, and the cloud is out",
        until_s: 80.0,
        jobs: long_work,
        faults: zone_cut,
        capacity: 4,
        limit: 8.0,
    },
    Script {
        name: "gap",
        about: "jobs are cancelled, and then the state service is out for longer than cancel_s",
        until_s: 90.0,
        jobs: cancelled_late,
        faults: outage,
        capacity: 3,
        limit: 0.0,
    },
];

/// The script of that name.
pub fn script(name: &str) -> Option<&'static Script> {
    SCRIPTS.iter().find(|s| s.name == name)
}

impl Script {
    /// The run, ready to be played by three controllers.
    pub fn setup(&self, seed: u64, guards: SafetyChecks) -> Setup {
        Setup {
            nodes: 3,
            settings: settings(self.limit),
            types: types(),
            capacity: self.capacity,
            jobs: (self.jobs)(),
            broken: BTreeSet::new(),
            faults: (self.faults)(),
            seed,
            loss: 0.0,
            relay_timeout_s: None,
            guards,
        }
    }
}

/// The documented example.
static EXAMPLE: LazyLock<Settings> = LazyLock::new(|| {
    Settings::parse(include_str!("../../../../docs/example.toml")).expect("the documented example is read")
});

/// The same with a limit for its first team only.
fn settings(limit: f64) -> Settings {
    let mut s = EXAMPLE.clone();
    for (n, t) in s.params.teams.iter_mut().enumerate() {
        (t.accelerators, t.accelerators_max) = (0.0, if n == 0 { limit } else { 0.0 });
    }
    s
}

/// How workers report and for how long their leases last, in every script.
pub fn workers() -> &'static Workers {
    &EXAMPLE.params.workers
}

fn types() -> Vec<MachineType> {
    vec![MachineType {
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
    }]
}

fn none() -> Vec<(f64, Fault)> {
    Vec::new()
}

/// An array of the first team without bounds.
fn array(n: u32, tasks: u32, estimate_s: f64) -> JobSpec {
    JobSpec {
        id: format!("req-{n}"),
        class: "work".into(),
        team: "dispatch".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks,
        cores: 4.0,
        accelerators: 1.0,
        memory_gb: 8.0,
        image: "img-0".into(),
        image_gb: 2.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimated_run_s: estimate_s,
        checkpoint_interval_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

fn of_other_team(spec: JobSpec) -> JobSpec {
    JobSpec { team: "clinics".into(), ..spec }
}

fn arrays() -> Vec<Wish> {
    vec![(2.0, array(1, 2, 6.0), None), (12.0, array(2, 1, 4.0), None), (20.0, array(3, 3, 7.0), None)]
}

fn cancelled() -> Vec<Wish> {
    vec![
        (2.0, array(1, 4, 400.0), Some(28.0)),
        (3.0, array(2, 4, 400.0), Some(34.0)),
        (24.0, array(3, 3, 6.0), None),
        (30.0, array(4, 1, 5.0), Some(30.3)),
    ]
}

fn gang() -> Vec<Wish> {
    let urgent =
        JobSpec { shape: Shape::Gang, accelerators: 4.0, priority: Priority::High, ..array(2, 2, 8.0) };
    vec![(2.0, JobSpec { priority: Priority::Low, ..array(1, 8, 25.0) }, None), (24.0, urgent, None)]
}

fn handed_over() -> Vec<Wish> {
    vec![
        (2.0, array(1, 2, 10.0), None),
        (3.0, array(2, 3, 400.0), Some(33.0)),
        (24.0, array(3, 2, 6.0), None),
        (26.0, array(4, 1, 400.0), Some(40.0)),
    ]
}

/// Each node ends once, so each leader does; the last is away for longer.
fn all_end() -> Vec<(f64, Fault)> {
    [(25.0, 0, 0.2), (32.0, 1, 0.2), (39.0, 2, 8.0)]
        .map(|(at, node, for_s)| (at, Fault::Crash { node, for_s }))
        .to_vec()
}

fn bursts() -> Vec<Wish> {
    vec![(2.0, array(1, 8, 4.0), None), (55.0, array(2, 8, 4.0), None)]
}

fn awaiting() -> Vec<Wish> {
    let after = |n, first: &str| JobSpec { dependencies: vec![first.into()], ..array(n, 1, 4.0) };
    vec![
        (2.0, array(1, 2, 5.0), None),
        (3.0, after(2, "req-1"), None),
        (4.0, after(3, "req-2"), None),
        (5.0, array(4, 1, 400.0), Some(35.0)),
        (6.0, after(5, "req-4"), None),
    ]
}

fn limited() -> Vec<Wish> {
    vec![
        (2.0, array(1, 4, 400.0), Some(28.0)),
        (20.0, array(2, 4, 6.0), None),
        (22.0, JobSpec { one_zone: true, ..array(3, 2, 6.0) }, None),
        (24.0, of_other_team(array(4, 4, 6.0)), None),
    ]
}

fn services() -> Vec<Wish> {
    let service = |n, tasks| JobSpec { shape: Shape::Service, ..array(n, tasks, 0.0) };
    vec![
        (2.0, JobSpec { spread: true, ..service(1, 4) }, Some(40.0)),
        (3.0, JobSpec { one_zone: true, ..service(2, 2) }, Some(44.0)),
        (25.0, array(3, 2, 6.0), None),
    ]
}

fn long_work() -> Vec<Wish> {
    vec![
        (2.0, array(1, 8, 28.0), None),
        (3.0, of_other_team(JobSpec { one_zone: true, ..array(2, 4, 20.0) }), None),
        (4.0, JobSpec { zone: Some("b".into()), accelerators: 2.0, ..array(4, 1, 400.0) }, Some(29.0)),
        (30.0, array(3, 4, 6.0), None),
    ]
}

/// Three machines half full, and a small job every three seconds.
fn steady() -> Vec<Wish> {
    let small = |n: u32| (21.0 + 3.0 * f64::from(n), array(n, 1, 5.0), None);
    let long = JobSpec { accelerators: 2.0, ..array(100, 4, 400.0) };
    let spread = JobSpec { accelerators: 2.0, ..array(101, 2, 400.0) };
    [(2.0, long, Some(44.0)), (2.5, spread, Some(44.0))].into_iter().chain((1..7).map(small)).collect()
}

fn cloud_out() -> Vec<(f64, Fault)> {
    vec![(18.0, Fault::Wander { for_s: 40.0 }), (20.0, Fault::CloudOutage { for_s: 60.0 })]
}

fn always_ending() -> Vec<(f64, Fault)> {
    let end = |i: usize| (30.0 + 1.2 * i as f64, Fault::Crash { node: i % 3, for_s: 2.0 });
    (0..45).map(end).collect()
}

fn zone_cut() -> Vec<(f64, Fault)> {
    vec![(25.0, Fault::CloudOutage { for_s: 60.0 }), (28.0, Fault::ZoneCut { zone: "b", for_s: 50.0 })]
}

fn cancelled_late() -> Vec<Wish> {
    vec![
        (2.0, array(1, 4, 400.0), Some(27.0)),
        (3.0, array(2, 4, 400.0), Some(28.0)),
        (4.0, array(3, 2, 400.0), Some(29.5)),
        (10.0, array(4, 2, 8.0), None),
    ]
}

/// Longer than `cancel_s`.
fn outage() -> Vec<(f64, Fault)> {
    vec![(30.0, Fault::StateOutage { for_s: 48.0 })]
}
