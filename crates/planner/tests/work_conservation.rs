//! Use of capacity that is free now, and the conditions that may keep a job from using it.

mod common;

use anisecroft_planner::*;
use common::*;

/// Returns a machine with one of four accelerators free; a task that ends at `ends_at` uses the
/// others.
fn partly_used_machine(ends_at: f64, endless: bool) -> Machine {
    let held = Resources::new(1.0, 3.0, 1.0);
    let mut machine = machine(0, 0);
    machine.free.subtract(&held);
    machine.running = vec![RunningTask { endless, ..running(ends_at, held) }];
    machine
}

/// A job that needs the whole machine has a reservation in 60 s. Tasks that take longer do not get the
/// free accelerator until their job has waited too long.
#[test]
fn a_reservation_does_not_keep_capacity_idle_forever() {
    let whole_machine = Job { priority: 2, ..job(Shape::Array, 1, 4.0, 50.0, 500.0) };
    let long_job = job(Shape::Array, 2, 1.0, 300.0, 1e6);
    let plan_with =
        |machines: Vec<Machine>, job: Job| plan(&problem(machines, vec![whole_machine.clone(), job]));

    let waiting = plan_with(vec![partly_used_machine(60.0, false)], long_job.clone());
    assert_eq!((waiting.starts.len(), waiting.waiting_beside_capacity), (0, vec![1]));

    let overdue_job = Job { waits_beside_capacity: true, ..long_job.clone() };
    let started = plan_with(vec![partly_used_machine(60.0, false)], overdue_job);
    assert_eq!(started.starts, [Start { job: 1, task: 0, machine: 0 }]);
    assert_eq!(started.waiting_beside_capacity, Vec::<usize>::new());

    // A gang starts all of its tasks or none.
    let gang = Job { shape: Shape::Gang, waits_beside_capacity: true, ..long_job.clone() };
    let without_room = plan_with(vec![partly_used_machine(60.0, false)], gang.clone());
    assert_eq!((without_room.starts.len(), without_room.waiting_beside_capacity.len()), (0, 0));

    // A gang that has waited too long may use free capacity of several machine types.
    let gang = Job { pending_tasks: (0..3).collect(), ..gang };
    let on_two_types = plan_with(vec![partly_used_machine(60.0, false), machine(1, 1)], gang);
    assert_eq!(on_two_types.starts.len(), 3);
}

/// A machine on which a job failed is not used again until the job has waited too long for capacity.
#[test]
fn an_excluded_machine_is_used_again_after_a_long_wait() {
    let excluding = Job { excluded_machines: vec![0], ..job(Shape::Array, 2, 1.0, 300.0, 1e6) };
    let waiting = plan(&problem(vec![machine(0, 0)], vec![excluding.clone()]));
    assert_eq!(waiting.waiting_beside_capacity, [0]);
    let overdue = Job { waits_beside_capacity: true, ..excluding };
    assert_eq!(plan(&problem(vec![machine(0, 0)], vec![overdue])).starts.len(), 2);
}

/// Zone constraints also apply to jobs that take free capacity.
#[test]
fn free_capacity_is_used_within_the_zone_constraints() {
    let overdue_job =
        |tasks: u32| Job { waits_beside_capacity: true, ..job(Shape::Array, tasks, 2.0, 50.0, 500.0) };
    let machines = || vec![machine(0, 0), machine(0, 1), machine(0, 1)];
    let zones_used = |job: Job| {
        let result = plan(&problem(machines(), vec![job]));
        result.starts.iter().map(|start| machines()[start.machine].zone).collect::<Vec<_>>()
    };
    let in_one_zone = Job { one_zone: true, ..overdue_job(6) };
    assert_eq!(zones_used(Job { placed_per_zone: vec![1, 0], ..in_one_zone.clone() }), [0, 0]);
    assert_eq!(zones_used(in_one_zone), [1, 1, 1, 1]);
    let spread = zones_used(Job { max_per_zone: Some(2), ..overdue_job(4) });
    assert_eq!(spread.iter().filter(|zone| **zone == 0).count(), 2);
    assert_eq!(zones_used(Job { zone: Some(0), ..overdue_job(6) }), [0, 0]);
}

/// No reservation waits for the end of a service: a job that needs its machine needs another one.
#[test]
fn no_reservation_waits_for_the_end_of_a_service() {
    let whole_machine = job(Shape::Array, 1, 4.0, 50.0, 1e9);
    let late_tasks =
        |machine: Machine| plan(&problem(vec![machine], vec![whole_machine.clone()])).unmet[0].late_tasks;
    assert_eq!(late_tasks(partly_used_machine(3600.0, false)), 0);
    assert_eq!(late_tasks(partly_used_machine(3600.0, true)), 1);
}

/// The team's limit admits only two more tasks beyond the one that starts, so only these count as
/// unmet demand.
#[test]
fn work_beyond_a_team_limit_is_not_unmet_demand() {
    let array = job(Shape::Array, 9, 4.0, 50.0, 10.0);
    let mut problem = problem(vec![machine(0, 0)], vec![array.clone(), array.clone()]);
    problem.teams[0].accelerators_left = Some(12.0);
    let result = plan(&problem);
    let unmet_tasks: u32 = result.unmet.iter().map(|demand| demand.tasks).sum();
    assert_eq!((result.starts.len(), unmet_tasks), (1, 2));
    let gang = Job { shape: Shape::Gang, pending_tasks: (0..4).collect(), ..array };
    problem.jobs = vec![gang];
    assert_eq!(plan(&problem).unmet, []);
}

/// A job that may use only spot machines and finds none does not cause the search to be skipped for
/// other jobs.
#[test]
fn an_unplaceable_spot_only_job_does_not_cover_other_jobs() {
    let spot_allowed = Job { spot: true, best_effort: true, ..job(Shape::Array, 1, 1.0, 50.0, 1e9) };
    let spot_only = Job { spot_only: true, ..spot_allowed.clone() };
    let result = plan(&problem(vec![machine(0, 0)], vec![spot_only, spot_allowed]));
    assert_eq!(result.starts, [Start { job: 1, task: 0, machine: 0 }]);
}
