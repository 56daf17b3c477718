//! Jobs that depend on others, under all faults.

mod common;

use anisecroft_simulation::{Fault, Rule, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use controller::records::{job_key, terminal_job_key, Value};
use controller::SafetyChecks;
use protocol::job::*;
use settings::NextLimits;

#[test]
fn dependent_jobs_run_in_order_without_faults() {
    for seed in [1, 2] {
        let mut sim = Simulation::new(dependent_jobs_setup(seed, vec![]));
        assert_eq!(sim.run(600.0), []);
        assert_eq!(sim.unfinished(), Vec::<String>::new());
        assert!(sim.metrics.task_starts > 30, "{}", sim.metrics.task_starts);
    }
}

/// Under all faults, and with cancellations everywhere, no task starts too early, no job is called
/// pending long after its dependency was cancelled, and all jobs end.
#[test]
fn dependent_jobs_under_faults_break_no_rule() {
    for seed in 300..324 {
        let faults = seeded_faults(seed);
        let mut sim = Simulation::new(dependent_jobs_setup(seed, faults.clone()));
        assert_eq!(sim.run(900.0), [], "seed {seed}: {faults:?}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}: {faults:?}");
    }
}

/// Hundreds of days with all faults, huge arrays as dependencies, and the store's limits falling
/// in the middle.
#[test]
#[ignore = "minutes"]
fn dependent_jobs_over_hundreds_of_days_break_no_rule() {
    (2000..2400).for_each(a_day_of_everything);
}

/// 2012: a zone whose machines had all been scaled in while it was out of reach was never rented
/// in again.
#[test]
fn seeds_of_past_failures_pass() {
    [2012].into_iter().for_each(a_day_of_everything);
}

fn a_day_of_everything(seed: u64) {
    let mut faults = one_way_faults(seed);
    faults.push(ScheduledFault::new(20.0 + (seed % 13) as f64 * 8.0, Fault::StoreLimitsReduced));
    let mut setup = dependent_jobs_setup(seed, faults.clone());
    setup.settings.params.store.next =
        Some(NextLimits { value_kb: Some(2.0), txn_ops: Some(8), ..NextLimits::default() });
    for Submission { spec, .. } in setup.jobs.iter_mut().step_by(9).filter(|j| j.spec.shape == Shape::Array) {
        (spec.tasks, spec.cores, spec.accelerators, spec.memory_gb) = (300, 0.25, 0.0, 0.25);
    }
    let nodes = if seed % 2 == 0 { 3 } else { 5 };
    let mut sim = Simulation::new(Setup { nodes, capacity: 10, ..setup });
    assert_eq!(sim.run(900.0), [], "seed {seed}: {faults:?}");
    assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}: {faults:?}");
}

/// Whether some seed breaks one of `rules` under these checks and faults.
fn breaks(rules: &[Rule], checks: SafetyChecks, faults: impl Fn(u64) -> Vec<ScheduledFault>) -> bool {
    some_seed_breaks(rules, 300..400, 400.0, |seed| Setup {
        checks,
        ..dependent_jobs_setup(seed, faults(seed))
    })
}

#[test]
fn without_dependency_order_a_task_starts_too_early() {
    let checks = SafetyChecks { dependency_order: false, ..SafetyChecks::default() };
    assert!(breaks(&[Rule::TooEarly], checks, |_| vec![]));
}

/// While nobody leads for long, jobs that depend on a cancelled one are called cancelled all the
/// same: that needs no write of a leader.
#[test]
fn without_cancellation_lineage_a_job_stays_pending() {
    // The leader is cut off from the store again and again, as all of them are.
    let faults = |seed: u64| {
        let cut = |i: u64| {
            let node = ((seed + i) % 3) as usize;
            ScheduledFault::new(20.0 + 1.2 * i as f64, Fault::ControllerCrash { node, duration_s: 2.0 })
        };
        (0..150).map(cut).collect()
    };
    let checks = SafetyChecks { cancellation_lineage: false, ..SafetyChecks::default() };
    assert!(breaks(&[Rule::Orphaned], checks, faults));
    for seed in 300..306 {
        assert_eq!(Simulation::new(dependent_jobs_setup(seed, faults(seed))).run(400.0), [], "seed {seed}");
    }
}

/// On idle machines, the next job of a chain is placed right after the end of the one before,
/// without more writes than any job. (One seed once decided this, by two slow messages of seven;
/// the same share is asked of six seeds now.)
#[test]
fn dependent_job_is_placed_right_after_its_dependency() {
    let pauses: Vec<f64> = (5..11).flat_map(stage_pauses).collect();
    // Two ways to the store and one plan; a slow answer now and then.
    let prompt = pauses.iter().filter(|p| **p < 0.1).count();
    assert!(prompt * 7 >= pauses.len() * 6, "{pauses:?}");
    assert!(pauses.iter().all(|p| *p < 0.7), "{pauses:?}");
}

/// From the end of each job of a chain until the next one's placement is stored, in seconds.
fn stage_pauses(seed: u64) -> Vec<f64> {
    let mut setup = seeded_setup(seed, vec![]);
    without_quotas(&mut setup);
    let stage = |n: usize| JobSpec {
        id: format!("req-{}", 700 + n),
        tasks: 2,
        estimated_run_s: 5.0,
        dependencies: if n == 0 { vec![] } else { vec![format!("req-{}", 699 + n)] },
        ..long_array()
    };
    let jobs = (0..8).map(|n| Submission::new(2.0 + n as f64 * 0.1, stage(n))).collect();
    let mut sim = Simulation::new(Setup { jobs, capacity: 2, loss: 0.0, ..setup });
    assert_eq!(sim.run(300.0), []);
    assert_eq!(sim.unfinished(), Vec::<String>::new());
    let mut pauses = Vec::new();
    for n in 1..8 {
        let (before, own) = (format!("req-{}", 699 + n), format!("req-{}", 700 + n));
        let done = |v: &Value| matches!(v, Value::Job(j) if j.status == JobStatus::Done);
        let over = |v: &Value| matches!(v, Value::Terminal(_));
        let placed = |v: &Value| matches!(v, Value::Job(j) if !j.first_page.placements.is_empty());
        let in_place = sim.store().history(&job_key(&before), done).first_match_at;
        let ended =
            in_place.or(sim.store().history(&terminal_job_key(&before), over).first_match_at).unwrap();
        let history = sim.store().history(&job_key(&own), placed);
        pauses.push(history.first_match_at.unwrap() - ended);
        assert!(history.writes <= 7, "{own} was written {} times", history.writes);
    }
    pauses
}

/// Far more jobs depend on a cancelled one than fit a transaction: all are called cancelled at
/// once by every controller, and the store is not blocked by them.
#[test]
fn wide_cancellation_cascade_is_reported_at_once() {
    let mut setup = seeded_setup(6, vec![]);
    without_quotas(&mut setup);
    let wide = |n: usize| JobSpec {
        id: format!("req-{}", 2000 + n),
        tasks: 1,
        dependencies: vec![if n < 100 { "req-1".into() } else { format!("req-{}", 1900 + n) }],
        ..long_array()
    };
    let first = JobSpec { id: "req-1".into(), tasks: 1, ..long_array() };
    let mut jobs = vec![Submission::new(1.0, first).cancelled_at(40.0)];
    jobs.extend((0..400).map(|n| Submission::new(2.0 + n as f64 * 0.05, wide(n))));
    // Something urgent goes on beside it.
    let beside = JobSpec { id: "req-2".into(), tasks: 1, estimated_run_s: 5.0, ..long_array() };
    jobs.push(Submission::new(41.0, beside));
    let mut sim = Simulation::new(Setup { jobs, capacity: 3, loss: 0.0, ..setup });
    assert_eq!(sim.run(52.0), []);
    let open = sim.unfinished();
    assert!(open.len() <= 2, "{} not told", open.len());
    assert_eq!(sim.run(400.0), []);
    assert_eq!(sim.store().count("j/"), 0);
    let placed = |v: &Value| matches!(v, Value::Job(j) if !j.first_page.placements.is_empty());
    assert!(sim.store().history("j/req-2", placed).first_match_at.unwrap() < 46.0);
}

/// Submissions with invalid dependencies get their final response at once; a known job gets its
/// status.
#[test]
fn invalid_dependencies_are_refused() {
    let mut setup = seeded_setup(7, vec![]);
    without_quotas(&mut setup);
    let array = |id: &str, awaits: &[&str]| JobSpec {
        id: id.into(),
        tasks: 1,
        estimated_run_s: 5.0,
        dependencies: awaits.iter().map(std::string::ToString::to_string).collect(),
        ..long_array()
    };
    let service = JobSpec { shape: Shape::Service, ..array("req-2", &[]) };
    setup.jobs =
        vec![Submission::new(1.0, array("req-1", &[])), Submission::new(1.0, service).cancelled_at(150.0)];
    let mut sim = Simulation::new(Setup { capacity: 2, loss: 0.0, ..setup });
    assert_eq!(sim.run(40.0), []);
    for (awaits, status, word) in [
        (&["req-9"][..], 422, "never accepted"),
        (&["req-1", "req-9"], 422, "never accepted"),
        (&["req-2"], 422, "service"),
        (&["req-5"], 422, "itself"),
        (&["nonsense"], 400, "awaits"),
        (&["req-1", "req-1"], 201, "pending"),
    ] {
        let answer = sim.submit(0, array("req-5", awaits));
        let text = String::from_utf8_lossy(&answer.body).to_string();
        assert_eq!(answer.status, status, "{awaits:?}: {text}");
        assert!(text.contains(word), "{awaits:?}: {text}");
    }
    // It is known now, whatever it names.
    for awaits in [&["req-9"][..], &["req-2"], &["req-5"], &["nonsense"], &["req-1"]] {
        let answer = sim.submit(1, array("req-5", awaits));
        let text = String::from_utf8_lossy(&answer.body).to_string();
        assert_eq!(answer.status, 200, "{awaits:?}: {text}");
    }
}
