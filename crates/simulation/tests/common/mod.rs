//! Builders shared by the simulation tests: settings, jobs, faults and runs.

#![allow(dead_code)] // Each test file uses only some of these.

use anisecroft_simulation::{Fault, Rule, ScheduledFault, Setup, Simulation, Submission};
use controller::SafetyChecks;
use protocol::cloud::MachineType;
use protocol::job::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use settings::Settings;
use std::collections::BTreeSet;

/// The documented example settings with tight quotas, so that quota checks and placement are under
/// pressure.
pub fn settings() -> Settings {
    let mut settings = example_settings();
    for team in &mut settings.params.teams {
        team.accelerators = 4.0;
        team.accelerators_max = 8.0;
    }
    settings
}

/// One machine type, available in two zones.
pub fn machine_types() -> Vec<MachineType> {
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

/// A random job; its ID is derived from `n`.
pub fn random_job(rng: &mut SmallRng, n: usize) -> JobSpec {
    let shape = [Shape::Array, Shape::Array, Shape::Gang, Shape::Service][rng.gen_range(0..4usize)];
    let tasks = if shape == Shape::Array { rng.gen_range(1..6) } else { rng.gen_range(1..4) };
    JobSpec {
        id: format!("req-{:06}", n * 37 % 1000),
        class: "work".into(),
        team: ["dispatch", "clinics"][rng.gen_range(0..2usize)].into(),
        shape,
        priority: [Priority::Low, Priority::Normal, Priority::High][rng.gen_range(0..3usize)],
        tasks,
        cores: 4.0,
        accelerators: 1.0,
        memory_gb: 8.0,
        image: format!("img-{}", rng.gen_range(0..3)),
        image_gb: 2.0,
        machine_types: None,
        zone: rng.gen_bool(0.2).then(|| "a".into()),
        one_zone: rng.gen_bool(0.3),
        spread: rng.gen_bool(0.2),
        spot: rng.gen_bool(0.5),
        estimated_run_s: if shape == Shape::Service { 0.0 } else { rng.gen_range(5.0..30.0) },
        checkpoint_interval_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Forty random jobs, submitted within 150 s on up to six machines; services and a quarter of the
/// others are cancelled.
pub fn seeded_setup(seed: u64, faults: Vec<ScheduledFault>) -> Setup {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
    let jobs = (0..40)
        .map(|n| {
            let at = rng.gen_range(2.0..150.0);
            let spec = random_job(&mut rng, n);
            let cancel = if spec.shape == Shape::Service || rng.gen_bool(0.25) {
                Some(at + rng.gen_range(1.0..60.0))
            } else {
                None
            };
            // A job with more than one task cannot be both spread and in one zone.
            let spec = if spec.one_zone { JobSpec { spread: false, ..spec } } else { spec };
            let spec = if spec.zone.is_some() { JobSpec { spread: false, ..spec } } else { spec };
            Submission::new(at, spec).cancelled_at(cancel)
        })
        .collect();
    Setup {
        nodes: 3,
        settings: settings(),
        types: machine_types(),
        capacity: 6,
        jobs,
        failing_jobs: BTreeSet::new(),
        faults,
        seed,
        loss: 0.002,
        forward_timeout_s: None,
        checks: SafetyChecks::default(),
    }
}

/// The timing derived from `settings`.
pub fn timing() -> settings::Timing {
    settings::Timing::from(&settings())
}

/// An array of short tasks with small resource requests that may run anywhere.
pub fn plain_array(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "work".into(),
        team: "dispatch".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks,
        cores: 1.0,
        accelerators: 1.0,
        memory_gb: 1.0,
        image: "img-1".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimated_run_s: 10.0,
        checkpoint_interval_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// An array of long tasks that may run anywhere.
pub fn long_array() -> JobSpec {
    JobSpec {
        id: "req-1".into(),
        team: "fleet".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks: 4,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimated_run_s: 2000.0,
        ..random_job(&mut SmallRng::seed_from_u64(1), 0)
    }
}

/// Removes the guarantees and limits of all teams.
pub fn without_quotas(setup: &mut Setup) {
    for team in &mut setup.settings.params.teams {
        team.accelerators = 0.0;
        team.accelerators_max = 0.0;
    }
}

/// Generates the delays, in seconds, after which crashed processes restart: below 0.5 s for half of
/// the crashes, 0.5 s to 10 s for the others.
pub fn restart_delays(seed: u64) -> impl FnMut() -> f64 {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xba_c4);
    move || if rng.gen() { rng.gen_range(0.0..0.5) } else { rng.gen_range(0.5..10.0) }
}

/// Eight random faults with random restart delays.
pub fn seeded_faults(seed: u64) -> Vec<ScheduledFault> {
    faults_with(seed, restart_delays(seed))
}

/// Like `seeded_faults`, but processes restart after 8 s: the regression seeds were found with that
/// delay.
pub fn faults_with_late_restarts(seed: u64) -> Vec<ScheduledFault> {
    faults_with(seed, || 8.0)
}

fn faults_with(seed: u64, mut restart_delay_s: impl FnMut() -> f64) -> Vec<ScheduledFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xfa17);
    (0..8)
        .map(|_| {
            let at = rng.gen_range(5.0..160.0);
            let node = rng.gen_range(0..3);
            let duration_s: f64 = rng.gen_range(2.0..35.0);
            let machine = rng.gen_range(0..6);
            let fault = match rng.gen_range(0..10) {
                0 => Fault::ControllerCrash { node, duration_s: restart_delay_s() },
                1 => Fault::StoreOutage { duration_s: duration_s.min(25.0) },
                2 => Fault::StoreRefusesNode { node, duration_s },
                3 => Fault::NodePartition { node, store: rng.gen(), workers: rng.gen(), duration_s },
                4 => Fault::CloudOutage { duration_s },
                5 => Fault::ControllerPause { node, duration_s: duration_s * 2.0 },
                6 => Fault::QueryFlood { factor: 8.0, duration_s },
                7 => Fault::MachineHang { machine, duration_s },
                8 => Fault::MachineLost { machine },
                _ => Fault::FaultyMachine { machine },
            };
            ScheduledFault::new(at, fault)
        })
        .collect()
}

/// `seeded_faults`, plus a controller isolated with its workers, delayed duplicates of heartbeats,
/// and a machine that receives no responses.
pub fn one_way_faults(seed: u64) -> Vec<ScheduledFault> {
    let duration_s = [5.0, 40.0, 120.0][seed as usize % 3];
    let isolated = Fault::IsolatedWithWorkers { node: seed as usize % 3, duration_s: 30.0 };
    let mut faults = seeded_faults(seed);
    faults.push(ScheduledFault::new(30.0 + (seed % 11) as f64 * 7.0, isolated));
    faults.push(ScheduledFault::new(20.0, Fault::DuplicatedHeartbeats { max_delay_s: 60.0, duration_s }));
    faults.push(ScheduledFault::new(60.0, Fault::ResponsesLost { machine: seed as usize % 5, duration_s }));
    faults
}

/// `seeded_setup` with random dependencies between all jobs except services: chains, diamonds and
/// shared ancestors, also across teams.
pub fn dependent_jobs_setup(seed: u64, faults: Vec<ScheduledFault>) -> Setup {
    let mut setup = seeded_setup(seed, faults);
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x11a6);
    setup.jobs.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut earlier: Vec<String> = Vec::new();
    for Submission { spec, cancel_at: cancel, .. } in &mut setup.jobs {
        if spec.shape == Shape::Service {
            continue;
        }
        let count = rng.gen_range(0..4usize).min(earlier.len());
        let dependencies: BTreeSet<String> = (0..count)
            .map(|_| earlier[earlier.len() - 1 - rng.gen_range(0..earlier.len().min(6))].clone())
            .collect();
        spec.dependencies = dependencies.into_iter().collect();
        spec.estimated_run_s = spec.estimated_run_s.min(12.0);
        if rng.gen_bool(0.6) {
            *cancel = None;
        }
        earlier.push(spec.id.clone());
    }
    setup
}

/// Runs until `done` holds, a rule is violated or `max_s` seconds have passed. Returns whether `done`
/// held.
pub fn run_until(sim: &mut Simulation, max_s: f64, done: impl Fn(&Simulation) -> bool) -> bool {
    let end = sim.now + max_s;
    while sim.now < end && sim.history.violations.is_empty() {
        if done(sim) {
            return true;
        }
        sim.run(sim.now + 0.01);
    }
    false
}

/// Whether the run of some seed breaks one of `rules` before `end`.
pub fn some_seed_breaks(
    rules: &[Rule],
    mut seeds: std::ops::Range<u64>,
    end: f64,
    setup: impl Fn(u64) -> Setup,
) -> bool {
    seeds.any(|seed| {
        let mut sim = Simulation::new(setup(seed));
        sim.run(end).iter().any(|violation| rules.contains(&violation.rule))
    })
}

/// Calls `run` on `count` threads with the index of each, and returns the results in that order.
pub fn on_threads<T: Send>(count: usize, run: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let run = &run;
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..count).map(|index| scope.spawn(move || run(index))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a simulation thread panicked")).collect()
    })
}

/// The machine type of `machine_types`, available in zone `a` only.
pub fn single_zone_type() -> MachineType {
    MachineType { zones: vec!["a".into()], ..machine_types().remove(0) }
}

/// The documented example settings, unchanged.
pub fn example_settings() -> Settings {
    Settings::parse(include_str!("../../../../docs/example.toml")).unwrap()
}
