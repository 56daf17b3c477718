//! Room that is free now, and what may keep it from a job.

mod common;

use anisecroft_planner::*;
use common::*;

/// A machine with one accelerator of four free; the rest is held until `end`.
fn partly(end: f64, endless: bool) -> Machine {
    let takes = Resources::new(1.0, 3.0, 1.0);
    let mut m = machine(0, 0);
    m.free.subtract(&takes);
    m.running = vec![RunningTask {
        ends_at: end,
        endless,
        resources: takes,
        priority: 1,
        team: 0,
        within_guarantee: false,
        preemption: None,
    }];
    m
}

/// What needs a whole machine is reserved for 60 s on; a task that takes longer waits beside the
/// free accelerator, until it has done so for too long.
#[test]
fn a_place_is_not_kept_for_ever() {
    let whole = Job { priority: 2, ..job(Shape::Array, 1, 4.0, 50.0, 500.0) };
    let long = job(Shape::Array, 2, 1.0, 300.0, 1e6);
    let made = plan(&problem(vec![partly(60.0, false)], vec![whole.clone(), long.clone()]));
    assert_eq!((made.starts.len(), made.waiting_beside_capacity), (0, vec![1]));
    let tired = Job { waits_beside_capacity: true, ..long.clone() };
    let made = plan(&problem(vec![partly(60.0, false)], vec![whole.clone(), tired]));
    assert_eq!(made.starts, [Start { job: 1, task: 0, machine: 0 }]);
    assert_eq!(made.waiting_beside_capacity, Vec::<usize>::new());
    // Nor for a gang, which takes all of its places or none.
    let gang = Job { shape: Shape::Gang, waits_beside_capacity: true, ..long.clone() };
    let made = plan(&problem(vec![partly(60.0, false)], vec![whole.clone(), gang.clone()]));
    assert_eq!((made.starts.len(), made.waiting_beside_capacity.len()), (0, 0));
    // Types may be mixed then.
    let other = machine(1, 1);
    let gang = Job { pending_tasks: (0..3).collect(), ..gang };
    let made = plan(&problem(vec![partly(60.0, false), other], vec![whole, gang]));
    assert_eq!(made.starts.len(), 3);
    // A machine that it failed on is one more try then.
    let avoid = Job { excluded_machines: vec![0], ..long };
    assert_eq!(plan(&problem(vec![machine(0, 0)], vec![avoid.clone()])).waiting_beside_capacity, [0]);
    let tired = Job { waits_beside_capacity: true, ..avoid };
    assert_eq!(plan(&problem(vec![machine(0, 0)], vec![tired])).starts.len(), 2);
}

/// Tasks of one zone, or at most so many in each, keep to that.
#[test]
fn zones_count_for_free_places_too() {
    let tired = |n: u32| Job { waits_beside_capacity: true, ..job(Shape::Array, n, 2.0, 50.0, 500.0) };
    let machines = || vec![machine(0, 0), machine(0, 1), machine(0, 1)];
    let bound = Job { one_zone: true, ..tired(6) };
    let zones = |j: Job| {
        let made = plan(&problem(machines(), vec![j]));
        made.starts.iter().map(|s| machines()[s.machine].zone).collect::<Vec<_>>()
    };
    assert_eq!(zones(Job { placed_per_zone: vec![1, 0], ..bound.clone() }), [0, 0]);
    assert_eq!(zones(bound), [1, 1, 1, 1]);
    let spread = zones(Job { max_per_zone: Some(2), ..tired(4) });
    assert_eq!(spread.iter().filter(|z| **z == 0).count(), 2);
    assert_eq!(zones(Job { zone: Some(0), ..tired(6) }), [0, 0]);
}

/// Nothing is reserved behind a service: what waits needs a machine more.
#[test]
fn nothing_waits_for_a_service_to_end() {
    let whole = job(Shape::Array, 1, 4.0, 50.0, 1e9);
    let late = |m: Machine| plan(&problem(vec![m], vec![whole.clone()])).unmet[0].late_tasks;
    assert_eq!(late(partly(3600.0, false)), 0);
    assert_eq!(late(partly(3600.0, true)), 1);
}

/// A team's limit lets two tasks more run: no machine is missing for the others.
#[test]
fn what_a_limit_keeps_back_misses_no_machine() {
    let j = job(Shape::Array, 9, 4.0, 50.0, 10.0);
    let mut p = problem(vec![machine(0, 0)], vec![j.clone(), j.clone()]);
    p.teams[0].accelerators_left = Some(12.0);
    let made = plan(&p);
    assert_eq!((made.starts.len(), made.unmet.iter().map(|u| u.tasks).sum::<u32>()), (1, 2));
    let gang = Job { shape: Shape::Gang, pending_tasks: (0..4).collect(), ..j };
    p.jobs = vec![gang];
    assert_eq!(plan(&p).unmet, []);
}

/// What may use spot machines only and finds none speaks for nobody else.
#[test]
fn who_looks_at_spot_machines_only_bars_nobody() {
    let spare =
        Job { best_effort: true, spot: true, spot_only: true, ..job(Shape::Array, 1, 1.0, 50.0, 1e9) };
    let other = Job { spot: true, best_effort: true, ..job(Shape::Array, 1, 1.0, 50.0, 1e9) };
    let made = plan(&problem(vec![machine(0, 0)], vec![spare, other]));
    assert_eq!(made.starts, [Start { job: 1, task: 0, machine: 0 }]);
}
