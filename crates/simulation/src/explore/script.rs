//! Scripts: short fixed runs with a few jobs, in which faults can be injected at each message.

use crate::{Fault, ScheduledFault, Setup, Submission};
use controller::SafetyChecks;
use protocol::cloud::MachineType;
use protocol::job::*;
use settings::{Settings, Workers};
use std::collections::BTreeSet;
use std::sync::LazyLock;

/// Fixed run.
#[derive(Debug, Clone, Copy)]
pub struct Script {
    /// Name in replay lines.
    pub name: &'static str,
    /// Description in one line.
    pub about: &'static str,
    /// Time by which all jobs should have ended, in simulated seconds. No fault is injected at later
    /// messages.
    pub until_s: f64,
    jobs: fn() -> Vec<Submission>,
    faults: fn() -> Vec<ScheduledFault>,
    /// Maximum number of machines.
    capacity: usize,
    /// Limit of accelerators for the first team, or 0 for none.
    limit: f64,
}

/// All scripts, in the order in which they are run.
pub const SCRIPTS: [Script; 12] = [
    Script {
        name: "arrays",
        about: "jobs are accepted, placed, launched and completed",
        until_s: 45.0,
        jobs: arrays,
        faults: no_faults,
        capacity: 3,
        limit: 0.0,
    },
    Script {
        name: "cancel",
        about: "running jobs are cancelled, and others take their capacity",
        until_s: 60.0,
        jobs: cancelled_jobs,
        faults: no_faults,
        capacity: 2,
        limit: 0.0,
    },
    Script {
        name: "gang",
        about: "a gang preempts jobs of lower priority",
        until_s: 70.0,
        jobs: urgent_gang,
        faults: no_faults,
        capacity: 2,
        limit: 0.0,
    },
    Script {
        name: "handover",
        about: "leadership moves from node to node while jobs run, end and are cancelled",
        until_s: 60.0,
        jobs: jobs_across_failovers,
        faults: crash_each_node,
        capacity: 2,
        limit: 0.0,
    },
    Script {
        name: "rent",
        about: "machines are rented, scaled in and rented again",
        until_s: 90.0,
        jobs: bursts,
        faults: no_faults,
        capacity: 3,
        limit: 0.0,
    },
    Script {
        name: "await",
        about: "jobs depend on others, one of which is cancelled",
        until_s: 60.0,
        jobs: dependent_jobs,
        faults: no_faults,
        capacity: 2,
        limit: 0.0,
    },
    Script {
        name: "limit",
        about: "a team at its limit, whose jobs are cancelled while others wait",
        until_s: 60.0,
        jobs: jobs_at_quota,
        faults: no_faults,
        capacity: 3,
        limit: 4.0,
    },
    Script {
        name: "service",
        about: "replicas run until they are cancelled, in one zone or spread",
        until_s: 60.0,
        jobs: services,
        faults: no_faults,
        capacity: 3,
        limit: 0.0,
    },
    Script {
        name: "steady",
        about:
            "small jobs start beside long ones while heartbeats rotate among the nodes and the cloud is down",
        until_s: 50.0,
        jobs: steady_jobs,
        faults: cloud_outage,
        capacity: 3,
        limit: 0.0,
    },
    Script {
        name: "leaderless",
        about: "nodes crash continually, and a job that others depend on is cancelled",
        until_s: 90.0,
        jobs: dependent_jobs,
        faults: continual_crashes,
        capacity: 2,
        limit: 0.0,
    },
    Script {
        name: "zone",
        about: "a zone that contains a heartbeat proxy is partitioned during a cloud outage",
        until_s: 80.0,
        jobs: long_jobs,
        faults: zone_partition,
        capacity: 4,
        limit: 8.0,
    },
    Script {
        name: "gap",
        about: "jobs are cancelled, followed by a store outage longer than cancel_s",
        until_s: 90.0,
        jobs: jobs_cancelled_before_outage,
        faults: store_outage,
        capacity: 3,
        limit: 0.0,
    },
];

/// Returns the script with the given name.
pub fn script(name: &str) -> Option<&'static Script> {
    SCRIPTS.iter().find(|s| s.name == name)
}

impl Script {
    /// Returns the configuration of the run, with three controllers.
    pub fn setup(&self, seed: u64, checks: SafetyChecks) -> Setup {
        Setup {
            nodes: 3,
            settings: settings(self.limit),
            types: types(),
            capacity: self.capacity,
            jobs: (self.jobs)(),
            failing_jobs: BTreeSet::new(),
            faults: (self.faults)(),
            seed,
            loss: 0.0,
            forward_timeout_s: None,
            checks,
        }
    }
}

/// Example settings from the documentation.
static EXAMPLE: LazyLock<Settings> = LazyLock::new(|| {
    Settings::parse(include_str!("../../../../docs/example.toml"))
        .expect("the documented example settings are valid")
});

/// Returns the example settings with an accelerator limit for the first team only, or for no team if
/// `limit` is 0.
fn settings(limit: f64) -> Settings {
    let mut settings = EXAMPLE.clone();
    for (n, team) in settings.params.teams.iter_mut().enumerate() {
        team.accelerators = 0.0;
        team.accelerators_max = if n == 0 { limit } else { 0.0 };
    }
    settings
}

/// Returns the settings of the workers, such as heartbeat interval and lease, in every script.
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

fn no_faults() -> Vec<ScheduledFault> {
    Vec::new()
}

/// Returns an array job of the first team that may run on any machine type and in any zone.
fn array(number: u32, tasks: u32, estimate_s: f64) -> JobSpec {
    JobSpec {
        id: format!("req-{number}"),
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

fn for_other_team(spec: JobSpec) -> JobSpec {
    JobSpec { team: "clinics".into(), ..spec }
}

fn arrays() -> Vec<Submission> {
    vec![
        Submission::new(2.0, array(1, 2, 6.0)),
        Submission::new(12.0, array(2, 1, 4.0)),
        Submission::new(20.0, array(3, 3, 7.0)),
    ]
}

fn cancelled_jobs() -> Vec<Submission> {
    vec![
        Submission::new(2.0, array(1, 4, 400.0)).cancelled_at(28.0),
        Submission::new(3.0, array(2, 4, 400.0)).cancelled_at(34.0),
        Submission::new(24.0, array(3, 3, 6.0)),
        Submission::new(30.0, array(4, 1, 5.0)).cancelled_at(30.3),
    ]
}

fn urgent_gang() -> Vec<Submission> {
    let urgent =
        JobSpec { shape: Shape::Gang, accelerators: 4.0, priority: Priority::High, ..array(2, 2, 8.0) };
    vec![
        Submission::new(2.0, JobSpec { priority: Priority::Low, ..array(1, 8, 25.0) }),
        Submission::new(24.0, urgent),
    ]
}

fn jobs_across_failovers() -> Vec<Submission> {
    vec![
        Submission::new(2.0, array(1, 2, 10.0)),
        Submission::new(3.0, array(2, 3, 400.0)).cancelled_at(33.0),
        Submission::new(24.0, array(3, 2, 6.0)),
        Submission::new(26.0, array(4, 1, 400.0)).cancelled_at(40.0),
    ]
}

/// Crashes each node once, and thereby each leader. The last one is down for longer.
fn crash_each_node() -> Vec<ScheduledFault> {
    [(25.0, 0, 0.2), (32.0, 1, 0.2), (39.0, 2, 8.0)]
        .map(|(at, node, duration_s)| ScheduledFault::new(at, Fault::ControllerCrash { node, duration_s }))
        .to_vec()
}

fn bursts() -> Vec<Submission> {
    vec![Submission::new(2.0, array(1, 8, 4.0)), Submission::new(55.0, array(2, 8, 4.0))]
}

fn dependent_jobs() -> Vec<Submission> {
    let after = |n, first: &str| JobSpec { dependencies: vec![first.into()], ..array(n, 1, 4.0) };
    vec![
        Submission::new(2.0, array(1, 2, 5.0)),
        Submission::new(3.0, after(2, "req-1")),
        Submission::new(4.0, after(3, "req-2")),
        Submission::new(5.0, array(4, 1, 400.0)).cancelled_at(35.0),
        Submission::new(6.0, after(5, "req-4")),
    ]
}

fn jobs_at_quota() -> Vec<Submission> {
    vec![
        Submission::new(2.0, array(1, 4, 400.0)).cancelled_at(28.0),
        Submission::new(20.0, array(2, 4, 6.0)),
        Submission::new(22.0, JobSpec { one_zone: true, ..array(3, 2, 6.0) }),
        Submission::new(24.0, for_other_team(array(4, 4, 6.0))),
    ]
}

fn services() -> Vec<Submission> {
    let service = |n, tasks| JobSpec { shape: Shape::Service, ..array(n, tasks, 0.0) };
    vec![
        Submission::new(2.0, JobSpec { spread: true, ..service(1, 4) }).cancelled_at(40.0),
        Submission::new(3.0, JobSpec { one_zone: true, ..service(2, 2) }).cancelled_at(44.0),
        Submission::new(25.0, array(3, 2, 6.0)),
    ]
}

fn long_jobs() -> Vec<Submission> {
    vec![
        Submission::new(2.0, array(1, 8, 28.0)),
        Submission::new(3.0, for_other_team(JobSpec { one_zone: true, ..array(2, 4, 20.0) })),
        Submission::new(4.0, JobSpec { zone: Some("b".into()), accelerators: 2.0, ..array(4, 1, 400.0) })
            .cancelled_at(29.0),
        Submission::new(30.0, array(3, 4, 6.0)),
    ]
}

/// Returns jobs that half fill three machines, and a small job every three seconds.
fn steady_jobs() -> Vec<Submission> {
    let small = |n: u32| Submission::new(21.0 + 3.0 * f64::from(n), array(n, 1, 5.0));
    let long = JobSpec { accelerators: 2.0, ..array(100, 4, 400.0) };
    let spread = JobSpec { accelerators: 2.0, ..array(101, 2, 400.0) };
    [Submission::new(2.0, long).cancelled_at(44.0), Submission::new(2.5, spread).cancelled_at(44.0)]
        .into_iter()
        .chain((1..7).map(small))
        .collect()
}

fn cloud_outage() -> Vec<ScheduledFault> {
    vec![
        ScheduledFault::new(18.0, Fault::RotatingHeartbeatTargets { duration_s: 40.0 }),
        ScheduledFault::new(20.0, Fault::CloudOutage { duration_s: 60.0 }),
    ]
}

fn continual_crashes() -> Vec<ScheduledFault> {
    let end = |i: usize| {
        ScheduledFault::new(30.0 + 1.2 * i as f64, Fault::ControllerCrash { node: i % 3, duration_s: 2.0 })
    };
    (0..45).map(end).collect()
}

fn zone_partition() -> Vec<ScheduledFault> {
    vec![
        ScheduledFault::new(25.0, Fault::CloudOutage { duration_s: 60.0 }),
        ScheduledFault::new(28.0, Fault::ZonePartition { zone: "b", duration_s: 50.0 }),
    ]
}

fn jobs_cancelled_before_outage() -> Vec<Submission> {
    vec![
        Submission::new(2.0, array(1, 4, 400.0)).cancelled_at(27.0),
        Submission::new(3.0, array(2, 4, 400.0)).cancelled_at(28.0),
        Submission::new(4.0, array(3, 2, 400.0)).cancelled_at(29.5),
        Submission::new(10.0, array(4, 2, 8.0)),
    ]
}

/// Returns a store outage that lasts longer than `cancel_s`.
fn store_outage() -> Vec<ScheduledFault> {
    vec![ScheduledFault::new(30.0, Fault::StoreOutage { duration_s: 48.0 })]
}
