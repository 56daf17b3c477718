//! Jobs whose specification is about as large as a stored value. Every accepted job is stored, placed
//! and run, for any value limit, and a record that can't be written holds up no other job.

mod common;

use anisecroft_simulation::{Fault, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use controller::records::{json_size, ARCHIVE_FORMAT, FORMAT};
use protocol::job::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use rayon::prelude::*;
use settings::NextLimits;

const BYTES_PER_KB: f64 = 1024.0;
/// Length of a machine type's name that pads a specification, in bytes.
const TYPE_NAME_BYTES: usize = 120;
/// Bytes of punctuation around a name in a list.
const NAME_OVERHEAD_BYTES: usize = 4;
/// Range below the limit that is swept, in bytes: more than everything else in a job's record.
const SWEPT_BYTES: usize = 900;
/// Difference between the sizes of two consecutive jobs, in bytes.
const SIZE_STEP_BYTES: usize = 9;
/// Largest number of bytes by which a specification is padded with a longer name of its image.
const MAX_IMAGE_PADDING_BYTES: usize = 90;
/// Length of a job id, in bytes.
const ID_BYTES: usize = 24;
/// Time between the submissions of two awaited jobs, in seconds.
const AWAITED_JOB_INTERVAL_S: f64 = 0.06;
/// All shapes of jobs.
const SHAPES: [Shape; 3] = [Shape::Array, Shape::Gang, Shape::Service];

/// Limits of the store, in KiB per value.
#[derive(Debug, Clone, Copy)]
struct ValueLimits {
    current_kb: f64,
    announced_kb: Option<f64>,
}

const LIMITS: [ValueLimits; 4] = [
    ValueLimits { current_kb: 2.0, announced_kb: None },
    ValueLimits { current_kb: 7.0, announced_kb: None },
    ValueLimits { current_kb: 32.0, announced_kb: Some(2.0) },
    ValueLimits { current_kb: 8.0, announced_kb: Some(3.0) },
];
/// Limits that only long lists of dependencies reach.
const LARGE_LIMITS: ValueLimits = ValueLimits { current_kb: 32.0, announced_kb: None };

impl ValueLimits {
    /// Returns the sizes of specifications to try: from well below the smaller limit to above it.
    fn spec_sizes(self) -> impl Iterator<Item = usize> {
        let smaller_kb = self.announced_kb.unwrap_or(self.current_kb).min(self.current_kb);
        let limit = (smaller_kb * BYTES_PER_KB) as usize;
        let largest_rejected = limit - limit / 32;
        (largest_rejected - SWEPT_BYTES..limit + SIZE_STEP_BYTES).step_by(SIZE_STEP_BYTES)
    }

    fn apply(self, setup: &mut Setup) {
        let store = &mut setup.settings.params.store;
        (store.value_kb, store.txn_ops) = (self.current_kb, 24);
        store.next = self.announced_kb.map(|value_kb| NextLimits {
            value_kb: Some(value_kb),
            txn_ops: Some(16),
            ..NextLimits::default()
        });
    }
}

fn small_job(number: u64, shape: Shape, tasks: u32) -> JobSpec {
    let estimated_run_s = if shape == Shape::Service { 0.0 } else { 4.0 };
    let spec = plain_array(&format!("req-{number:020}"), tasks);
    JobSpec { shape, accelerators: 0.0, estimated_run_s, ..spec }
}

/// Lengthens the list of machine types until the specification takes about `size` bytes.
fn with_machine_types(mut spec: JobSpec, size: usize) -> JobSpec {
    spec.machine_types = Some(vec!["big".to_string()]);
    while json_size(&spec) < size {
        let missing = size - json_size(&spec);
        let length = missing.saturating_sub(NAME_OVERHEAD_BYTES).clamp(1, TYPE_NAME_BYTES);
        spec.machine_types.get_or_insert_default().push("x".repeat(length));
    }
    spec
}

/// Lengthens the list of dependencies, and then the image's name, until the specification takes
/// about `size` bytes.
fn with_dependencies(mut spec: JobSpec, size: usize, ids: &[String]) -> JobSpec {
    let mut ids = ids.iter();
    while json_size(&spec) + MAX_IMAGE_PADDING_BYTES < size {
        spec.dependencies.push(ids.next().expect("enough jobs to depend on").clone());
    }
    spec.image = "i".repeat(spec.image.len() + size.saturating_sub(json_size(&spec)));
    spec
}

/// A job of every size, in turn of every shape and with one to nine tasks. A quarter of the jobs, and
/// all services, are cancelled.
fn sized_jobs(
    limits: ValueLimits,
    seed: u64,
    at: f64,
    resize: impl Fn(JobSpec, usize) -> JobSpec,
) -> Vec<Submission> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x512e);
    let sizes = limits.spec_sizes().enumerate();
    let job = |(n, size): (usize, usize)| {
        let shape = SHAPES[(n + seed as usize) % SHAPES.len()];
        let spec = resize(small_job(1000 + n as u64, shape, rng.gen_range(1..10)), size);
        let is_cancelled = shape == Shape::Service || rng.gen_bool(0.25);
        let submitted_at = at + n as f64 * 0.1;
        let cancel_at = is_cancelled.then(|| submitted_at + rng.gen_range(1.0..180.0));
        Submission::new(submitted_at, spec).cancelled_at(cancel_at)
    };
    sizes.map(job).collect()
}

/// Three crashes of the leader, one of all controllers, and restarts within a second.
fn leader_changes(seed: u64) -> Vec<ScheduledFault> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x1ead);
    let mut faults: Vec<ScheduledFault> = (0..3)
        .map(|_| {
            let crash = Fault::LeaderCrash { duration_s: rng.gen_range(0.1..4.0) };
            ScheduledFault::new(rng.gen_range(12.0..60.0), crash)
        })
        .collect();
    let at = rng.gen_range(20.0..50.0);
    faults
        .extend((0..3).map(|node| ScheduledFault::new(at, Fault::ControllerCrash { node, duration_s: 0.8 })));
    faults
}

fn setup_with(limits: ValueLimits, seed: u64, jobs: Vec<Submission>) -> Setup {
    let mut setup = seeded_setup(seed, leader_changes(seed));
    without_quotas(&mut setup);
    limits.apply(&mut setup);
    Setup { jobs, capacity: 12, ..setup }
}

fn assert_all_served(sim: &mut Simulation, context: &str) {
    assert_eq!(sim.run(600.0), [], "{context}");
    assert_eq!(sim.unfinished(), Vec::<String>::new(), "{context}");
    let accepted = sim.history.accepted.len();
    let submitted = sim.history.specs.len();
    assert!(accepted * 10 >= submitted * 9, "{context}: {accepted} of {submitted} jobs accepted");
    let refused = sim.store().rejected_for_size;
    assert!(refused < 60, "{context}: {refused} writes refused");
}

/// Guards against review/6: a job was accepted by one estimate of its record's size and never placed
/// by another. Swept here: long lists of machine types.
#[test]
fn jobs_with_long_machine_types_run_at_every_size_around_the_value_limit() {
    (0..LIMITS.len() as u64 * 3).into_par_iter().for_each(|seed| {
        let limits = LIMITS[seed as usize % LIMITS.len()];
        let mut setup = setup_with(limits, seed, sized_jobs(limits, seed, 5.0, with_machine_types));
        if limits.announced_kb.is_some() {
            setup.faults.push(ScheduledFault::new(2.0 + seed as f64 * 3.0, Fault::StoreLimitsReduced));
        }
        assert_all_served(&mut Simulation::new(setup), &format!("seed {seed}, {limits:?}"));
    });
}

/// Guards against review/6, with long lists of awaited jobs.
#[test]
fn jobs_with_many_dependencies_run_at_every_size_around_the_value_limit() {
    let runs = (0..12).map(|seed| (seed, LIMITS[seed as usize % LIMITS.len()])).chain([(12, LARGE_LIMITS)]);
    let runs: Vec<(u64, ValueLimits)> = runs.collect();
    runs.into_par_iter().for_each(|(seed, limits)| {
        let largest_spec = limits.spec_sizes().last().unwrap_or_default();
        let awaited_count = largest_spec as u64 / (ID_BYTES + NAME_OVERHEAD_BYTES) as u64;
        let all_accepted_at = 10.0 + awaited_count as f64 * AWAITED_JOB_INTERVAL_S;
        // Dependencies that are done are removed from a submission, so they run until all are submitted.
        let awaited_job = |n| JobSpec {
            cores: 0.1,
            memory_gb: 0.1,
            estimated_run_s: all_accepted_at + 30.0,
            ..small_job(n, Shape::Array, 1)
        };
        let awaited: Vec<JobSpec> = (0..awaited_count).map(awaited_job).collect();
        let ids: Vec<String> = awaited.iter().map(|spec| spec.id.clone()).collect();
        let resize = |spec: JobSpec, size| with_dependencies(spec, size, &ids);
        let mut jobs = sized_jobs(limits, seed, all_accepted_at, resize);
        let awaited = awaited.into_iter().enumerate();
        jobs.extend(awaited.map(|(n, spec)| Submission::new(1.0 + n as f64 * AWAITED_JOB_INTERVAL_S, spec)));
        let mut setup = setup_with(limits, seed, jobs);
        if limits.announced_kb.is_some() {
            setup.faults.push(ScheduledFault::new(10.0 + seed as f64 * 4.0, Fault::StoreLimitsReduced));
        }
        assert_all_served(&mut Simulation::new(setup), &format!("seed {seed}, {limits:?}"));
    });
}

/// Guards against review/4: a record that was stored whole while a controller of the version in
/// production ran could not be written again under lower limits, and the leader repeated that write
/// for ever. Here the controllers are upgraded one by one, and the limits fall afterwards.
#[test]
fn jobs_stored_whole_before_an_upgrade_run_under_lower_limits() {
    (0..12).into_par_iter().for_each(|seed| {
        let limits = [LIMITS[2], LIMITS[3], ValueLimits { current_kb: 7.0, announced_kb: Some(2.0) }]
            [seed as usize % 3];
        let jobs = sized_jobs(limits, seed, 3.0, |spec, size| {
            with_machine_types(spec, size * [1, 1, 2][seed as usize % 3])
        });
        let mut setup = setup_with(limits, seed, jobs);
        let upgraded_at = 16.0 + (seed % 4) as f64 * 6.0;
        setup.faults.extend((0..3).map(|node| {
            let at = upgraded_at - 4.0 + node as f64 * 1.5;
            ScheduledFault::new(at, Fault::ControllerCrash { node, duration_s: 1.0 })
        }));
        setup.faults.push(ScheduledFault::new(upgraded_at + seed as f64 * 0.7, Fault::StoreLimitsReduced));
        let capacity = [4, 12][seed as usize % 2];
        let mut sim = Simulation::new(Setup { capacity, ..setup });
        sim.announce_format(ARCHIVE_FORMAT);
        assert_eq!(sim.run(upgraded_at), [], "seed {seed}, {limits:?}");
        sim.announce_format(FORMAT);
        assert_all_served(&mut sim, &format!("seed {seed}, {limits:?}"));
    });
}
