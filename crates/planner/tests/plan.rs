//! The rules of the Cura paper on small examples with results computed by hand, and properties on
//! generated problems.

mod common;

use anisecroft_planner::*;
use common::*;
use proptest::prelude::*;

/// Both jobs have one task of 100 s; A's deadline is at 150, B's at 1000. With A first both are in
/// time, and the cost is 100 + 100. With B first A ends late, at 200, and counts twice: 100 + 200. The
/// deferral cost is therefore 100 for A and -100 for B.
#[test]
fn the_job_whose_deferral_costs_more_goes_first() {
    let a = job(Shape::Array, 1, 1.0, 100.0, 150.0);
    let b = job(Shape::Array, 1, 1.0, 100.0, 1000.0);
    let types = types();
    assert_eq!(pair_cost(0.0, &types, &a, &b), 200.0);
    assert_eq!(pair_cost(0.0, &types, &b, &a), 300.0);
    let problem = problem(vec![machine(0, 0)], vec![b, a]);
    assert_eq!(order(&problem), vec![1, 0]);
}

#[test]
fn priority_goes_before_any_cost() {
    let high_priority = Job { priority: 2, ..job(Shape::Array, 1, 1.0, 10.0, 1e6) };
    let soon_due = job(Shape::Array, 4, 1.0, 100.0, 101.0);
    assert_eq!(order(&problem(vec![machine(0, 0)], vec![soon_due, high_priority])), vec![1, 0]);
}

/// Both types have capacity. The cheaper one (1.0 per accelerator instead of 3.0) is chosen unless
/// only the expensive one meets the deadline.
#[test]
fn a_gang_takes_the_cheapest_type_in_time() {
    let gang = job(Shape::Gang, 2, 1.0, 50.0, 100.0);
    let machines_used = |result: Plan| result.starts.iter().map(|start| start.machine).collect::<Vec<_>>();
    let result = plan(&problem(vec![machine(1, 0), machine(0, 0)], vec![gang.clone()]));
    assert_eq!(machines_used(result), vec![1, 1]);
    let mut busy = machine(0, 0);
    busy.free = Resources::new(100.0, 0.0, 100.0);
    busy.running = vec![running(60.0, Resources::new(0.0, 4.0, 0.0))];
    let result = plan(&problem(vec![machine(1, 0), busy], vec![gang]));
    assert_eq!(machines_used(result), vec![0, 0]);
}

/// On the only machine the first gang takes all 4 accelerators until 30, which sets the window to 30.
/// The second gang can start at 30, inside the window, the third only at 50.
#[test]
fn jobs_that_cannot_start_inside_the_window_get_no_reservation() {
    let gang = |run_s: f64, deadline: f64| Job {
        instance_types: vec![0],
        ..job(Shape::Gang, 4, 1.0, run_s, deadline)
    };
    let gangs = vec![gang(30.0, 31.0), gang(20.0, 500.0), gang(10.0, 1000.0)];
    let result = plan(&problem(vec![machine(0, 0)], gangs));
    let first = &result.reservations[0];
    assert_eq!((first.job, first.starts_at, first.ends_at, first.sets_window), (0, 0.0, 30.0, true));
    assert!(result.reservations.iter().all(|reservation| reservation.starts_at <= 30.0), "{result:?}");
    assert_eq!(result.starts.len(), 4);
}

/// Four tasks use the accelerators of the only machine; two of them would lose little work. A gang of
/// higher priority that needs two accelerators preempts exactly these two.
#[test]
fn the_least_costly_work_is_preempted() {
    let mut full = machine(0, 0);
    full.free = Resources::new(50.0, 0.0, 50.0);
    let lost_work = [40.0, 5.0, 60.0, 3.0].iter().enumerate();
    full.running = lost_work
        .map(|(task_id, &lost_work_s)| RunningTask {
            preemption: Some(PreemptionCandidate { task_id, lost_work_s, stop_s: 1.0 }),
            ..running(100.0 - lost_work_s, Resources::new(1.0, 1.0, 1.0))
        })
        .collect();
    let high_priority = Job { priority: 2, ..job(Shape::Gang, 1, 2.0, 30.0, 60.0) };
    let mut preempted = plan(&problem(vec![full.clone()], vec![high_priority])).preemptions;
    preempted.sort_unstable();
    assert_eq!(preempted, vec![1, 3]);
    // Work of the same priority is not preempted.
    let same_priority = job(Shape::Gang, 1, 2.0, 30.0, 60.0);
    assert!(plan(&problem(vec![full], vec![same_priority])).preemptions.is_empty());
}

/// Work that another team runs beyond its guarantee is preempted for guaranteed work of the same
/// priority. Without this rule low-priority arrays kept guaranteed work out of the whole fleet.
#[test]
fn a_guarantee_preempts_work_beyond_other_guarantees() {
    let task = |task_id: usize, team: usize, within_guarantee: bool| RunningTask {
        team,
        within_guarantee,
        preemption: Some(PreemptionCandidate { task_id, lost_work_s: 10.0, stop_s: 1.0 }),
        ..running(400.0, Resources::new(1.0, 1.0, 1.0))
    };
    let mut full = machine(0, 0);
    full.free = Resources::new(50.0, 0.0, 50.0);
    full.running = vec![task(0, 1, true), task(1, 1, false), task(2, 0, false), task(3, 1, false)];
    let mut problem = problem(vec![full], vec![job(Shape::Array, 3, 1.0, 30.0, 900.0)]);
    problem.teams.push(TeamQuota::default());
    assert!(plan(&problem).preemptions.is_empty());
    problem.jobs[0].guaranteed = true;
    let mut preempted = plan(&problem).preemptions;
    preempted.sort_unstable();
    assert_eq!(preempted, vec![1, 3]);
    // Work of higher priority is not preempted.
    problem.jobs[0].priority = 0;
    assert!(plan(&problem).preemptions.is_empty());
}

/// Returns a machine that a preemptible task of low priority uses until 60.
fn machine_with_low_priority_work() -> Machine {
    let mut full = machine(0, 0);
    full.free = Resources::new(50.0, 0.0, 50.0);
    full.running = vec![RunningTask {
        priority: 0,
        preemption: Some(PreemptionCandidate { task_id: 7, lost_work_s: 10.0, stop_s: 1.0 }),
        ..running(60.0, Resources::new(4.0, 4.0, 4.0))
    }];
    full
}

/// An array preempts less urgent work only if it would otherwise miss its deadline.
#[test]
fn an_array_preempts_only_to_meet_its_deadline() {
    let preempted = |deadline: f64| {
        let array = job(Shape::Array, 2, 1.0, 30.0, deadline);
        plan(&problem(vec![machine_with_low_priority_work()], vec![array])).preemptions
    };
    assert_eq!(preempted(200.0), Vec::<usize>::new());
    assert_eq!(preempted(80.0), vec![7]);
}

/// A probing job uses free capacity, but causes no reservation, preemption or unmet demand.
#[test]
fn a_probing_job_uses_free_capacity_only() {
    let probing = Job { probing: true, priority: 2, ..job(Shape::Array, 1, 1.0, 30.0, 60.0) };
    let result = plan(&problem(vec![machine(0, 0)], vec![probing.clone()]));
    assert_eq!(result.starts.len(), 1);
    for shape in [Shape::Array, Shape::Gang] {
        let job = Job { shape, ..probing.clone() };
        let result = plan(&problem(vec![machine_with_low_priority_work()], vec![job]));
        assert!(result.starts.is_empty() && result.preemptions.is_empty() && result.unmet.is_empty());
        assert!(result.reservations.is_empty());
    }
}

/// Three jobs of 150, 40 and 50 s with a deadline at 210, on a machine that runs one at a time. Not
/// all of them can be in time, so the largest is planned last.
#[test]
fn an_overloaded_priority_plans_the_largest_job_last() {
    let job_of = |run_s: f64| Job { instance_types: vec![1], ..job(Shape::Array, 1, 2.0, run_s, 210.0) };
    let jobs = vec![job_of(150.0), job_of(40.0), job_of(50.0)];
    assert_eq!(order(&problem(vec![machine(1, 0)], jobs))[2], 0);
}

/// On a full fleet with a backlog, each job that gets a reservation examines the open machines once,
/// whatever the number of its tasks, and each further job examines none. Examining the machines again
/// for each task made large arrays expensive.
#[test]
fn planning_effort_hardly_grows_with_the_backlog_and_the_size_of_arrays() {
    let steps = |jobs: usize, tasks: u32| {
        let machines = (0..100)
            .map(|index| {
                let mut full = machine(0, index % 2);
                full.free = Resources::new(96.0, 0.0, 96.0);
                full.running = vec![running(50.0 + index as f64 / 100.0, Resources::new(4.0, 4.0, 4.0))];
                full
            })
            .collect();
        let jobs = (0..jobs).map(|index| job(Shape::Array, tasks, 1.0, 60.0, 100.0 + index as f64)).collect();
        plan(&problem(machines, jobs)).steps
    };
    let usual = steps(100, 20);
    assert!(usual < 100 * 20, "{usual}");
    let more_jobs = steps(800, 20);
    assert!(more_jobs < usual + 700 * 4, "{usual} steps, {more_jobs} with eight times the jobs");
    let more_tasks = steps(100, 200);
    assert!(more_tasks < usual * 2, "{usual} steps, {more_tasks} with ten times the tasks");
}

/// The overdue gang of a limited team needs quota for four accelerators: two are left now, two come
/// free before the reservation expires. Until then the team's small jobs wait, other teams' do not.
#[test]
fn quota_is_reserved_for_an_overdue_gang() {
    let jobs_started = |reserves_until: f64, running_ends_at: f64| {
        let gang = Job { starvation_relief: true, reserves_until, ..job(Shape::Gang, 4, 1.0, 50.0, 100.0) };
        let small_job = job(Shape::Array, 2, 1.0, 50.0, 100.0);
        let other_teams_job = Job { team: 1, ..job(Shape::Array, 1, 1.0, 50.0, 100.0) };
        let half_used = Machine {
            free: Resources::new(100.0, 2.0, 100.0),
            running: vec![running(running_ends_at, Resources::new(0.0, 2.0, 0.0))],
            ..machine(0, 0)
        };
        let machines = vec![half_used, machine(0, 0), machine(0, 0)];
        let limited = TeamQuota { cores_left: None, accelerators_left: Some(2.0) };
        let problem = Problem {
            teams: vec![limited, TeamQuota::default()],
            ..problem(machines, vec![gang, small_job, other_teams_job])
        };
        let mut started: Vec<usize> = plan(&problem).starts.iter().map(|start| start.job).collect();
        started.sort_unstable();
        started
    };
    assert_eq!(jobs_started(60.0, 40.0), [2], "the quota is reserved");
    assert_eq!(jobs_started(0.0, 40.0), [1, 1, 2], "the reservation has expired");
    assert_eq!(jobs_started(60.0, 80.0), [1, 1, 2], "too little of the team's work ends in time");
}

/// An overdue gang needs two whole machines: one is free, the other in 30 s. A job that would end
/// before then does not get the free machine while it is kept for the gang, and the gang stays in the
/// zone in which its machines are assembled.
#[test]
fn machines_assembled_for_an_overdue_gang_stay_idle() {
    let full_until = |ends_at: f64, zone: usize| Machine {
        free: Resources::new(100.0, 0.0, 100.0),
        running: vec![running(ends_at, Resources::new(0.0, 4.0, 0.0))],
        ..machine(0, zone)
    };
    let gang = Job { starvation_relief: true, one_zone: true, ..job(Shape::Gang, 2, 4.0, 50.0, 1000.0) };
    let short_job = job(Shape::Array, 1, 1.0, 10.0, 1000.0);
    let plan_with = |gang: Job| {
        let machines = vec![machine(0, 0), full_until(30.0, 0), full_until(20.0, 1), full_until(25.0, 1)];
        plan(&problem(machines, vec![gang, short_job.clone()]))
    };
    let kept = plan_with(Job { reserves_until: 60.0, assembly_zone: Some(0), ..gang.clone() });
    assert_eq!((kept.starts, kept.gang_assembly), (vec![], Some((0, 0))));
    let expired = plan_with(Job { reserves_until: 0.0, assembly_zone: Some(0), ..gang.clone() });
    assert_eq!(expired.starts, [Start { job: 1, task: 0, machine: 0 }]);
    let without_zone = plan_with(Job { assembly_zone: None, ..gang });
    assert_eq!(without_zone.gang_assembly, Some((0, 1)), "the zone with the earlier start");
}

/// Checks that a plan overcommits neither machines nor the first team's quota, and that it starts only
/// pending tasks, each once, on machines that their jobs may use.
fn assert_starts_are_allowed(
    problem: &Problem,
    result: &Plan,
    accelerator_limit: f64,
) -> Result<(), TestCaseError> {
    let mut free: Vec<f64> = problem.machines.iter().map(|machine| machine.free.accelerators).collect();
    let mut total = 0.0;
    for start in &result.starts {
        let job = &problem.jobs[start.job];
        free[start.machine] -= job.resources.accelerators;
        total += job.resources.accelerators;
        prop_assert!(free[start.machine] > -1e-6);
        prop_assert!(job.spot || !problem.machines[start.machine].spot);
        prop_assert!(job.pending_tasks.contains(&start.task));
    }
    prop_assert!(total <= accelerator_limit + 1e-6);
    let mut tasks: Vec<_> = result.starts.iter().map(|start| (start.job, start.task)).collect();
    tasks.sort_unstable();
    tasks.dedup();
    prop_assert_eq!(tasks.len(), result.starts.len());
    Ok(())
}

/// Checks that a plan splits no gang and satisfies the jobs' zone constraints.
fn assert_zones_are_kept(problem: &Problem, result: &Plan) -> Result<(), TestCaseError> {
    for (index, job) in problem.jobs.iter().enumerate() {
        let starts = result.starts.iter().filter(|start| start.job == index);
        let zones: Vec<usize> = starts.map(|start| problem.machines[start.machine].zone).collect();
        prop_assert!(job.shape != Shape::Gang || zones.is_empty() || zones.len() == job.pending_tasks.len());
        prop_assert!(!job.one_zone || zones.windows(2).all(|pair| pair[0] == pair[1]));
        let max_per_zone = job.max_per_zone.unwrap_or(u32::MAX) as usize;
        let tasks_in = |zone: usize| zones.iter().filter(|&&used| used == zone).count();
        prop_assert!((0..problem.zones).all(|zone| tasks_in(zone) <= max_per_zone));
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    /// No plan overcommits a machine or a team's quota, splits a gang, or violates a job's zone and
    /// spot constraints.
    #[test]
    fn plans_satisfy_all_constraints(
        machines in proptest::collection::vec((0usize..2, 0usize..2, any::<bool>(), 0.0f64..4.0), 1..8),
        jobs in proptest::collection::vec((0usize..3, 1u32..7, 1u32..4, 1.0f64..200.0, 1.0f64..500.0, any::<bool>(), any::<bool>(), 0u8..3), 1..12),
        limit in 1.0f64..20.0,
    ) {
        let machines: Vec<Machine> = machines.into_iter().map(|(instance_type, zone, spot, used)| {
            let mut machine = Machine { spot, ..machine(instance_type, zone) };
            let held = Resources::new(0.0, used.min(machine.free.accelerators), 0.0);
            machine.free.subtract(&held);
            machine.running.push(RunningTask { priority: 0, ..running(50.0, held) });
            machine
        }).collect();
        let jobs: Vec<Job> = jobs.into_iter().map(|(shape, tasks, accelerators, run_s, deadline, one_zone, spot, priority)| Job {
            one_zone,
            spot,
            priority,
            max_per_zone: (!one_zone).then(|| tasks.div_ceil(2)),
            ..job([Shape::Array, Shape::Gang, Shape::Service][shape], tasks, f64::from(accelerators), run_s, deadline)
        }).collect();
        let mut problem = problem(machines, jobs);
        problem.teams[0].accelerators_left = Some(limit);
        let result = plan(&problem);
        assert_starts_are_allowed(&problem, &result, limit)?;
        assert_zones_are_kept(&problem, &result)?;
    }

    /// The sums over sorted steps equal the direct sums of pairwise costs.
    #[test]
    fn deferral_costs_equal_the_direct_sums(
        jobs in proptest::collection::vec((1u32..9, 1u32..4, 1.0f64..200.0, 1.0f64..500.0, any::<bool>()), 1..90),
        now in 0.0f64..100.0,
    ) {
        let jobs: Vec<Job> = jobs.into_iter().map(|(tasks, accelerators, run_s, deadline, spot)| Job {
            spot,
            image_gb: run_s / 10.0,
            ..job(Shape::Array, tasks, f64::from(accelerators), run_s, deadline)
        }).collect();
        let types = types();
        let result = deferral_costs(now, &types, &jobs);
        for (index, job) in jobs.iter().enumerate() {
            let others = jobs.iter().enumerate().filter(|(other, _)| *other != index);
            let direct_sum: f64 = others
                .map(|(_, other)| pair_cost(now, &types, other, job) - pair_cost(now, &types, job, other))
                .sum();
            let tolerance = 1e-9 * (1.0 + direct_sum.abs()) * jobs.len() as f64 + 1e-6;
            prop_assert!((result[index] - direct_sum).abs() <= tolerance, "{} and {direct_sum}", result[index]);
        }
    }

    /// Examining the machines once for an array gives the same result as examining all of them for
    /// each task: every task gets the cheapest remaining capacity.
    #[test]
    fn each_task_of_an_array_gets_the_best_remaining_capacity(
        machines in proptest::collection::vec((0usize..2, 0u32..5, any::<bool>(), any::<bool>()), 1..12),
        tasks in 1u32..30,
    ) {
        let machines: Vec<Machine> = machines.into_iter().map(|(instance_type, free_accelerators, spot, has_image)| {
            let mut machine = Machine { spot, ..machine(instance_type, 0) };
            let held = (machine.free.accelerators - f64::from(free_accelerators)).max(0.0);
            let held = Resources::new(0.0, held, 0.0);
            machine.free.subtract(&held);
            machine.running.push(running(1e5, held));
            if !has_image {
                machine.images.clear();
            }
            machine
        }).collect();
        let array = Job { spot: true, image_gb: 5.0, ..job(Shape::Array, tasks, 1.0, 20.0, 1e4) };
        let all_at_once = plan(&problem(machines.clone(), vec![array.clone()]));
        // Plan one task at a time, each on the capacity that the earlier ones left.
        let mut machines_left = machines;
        let mut one_by_one = Vec::new();
        for task in 0..tasks {
            let single = Job { pending_tasks: vec![task], ..array.clone() };
            let result = plan(&problem(machines_left.clone(), vec![single]));
            let Some(&start) = result.starts.first() else { break };
            let machine = &mut machines_left[start.machine];
            machine.free.subtract(&array.resources);
            machine.running.push(running(1e4, array.resources));
            if !machine.images.contains(&1) {
                machine.images.push(1);
            }
            one_by_one.push((start.task, start.machine));
        }
        let starts: Vec<(u32, usize)> =
            all_at_once.starts.iter().map(|start| (start.task, start.machine)).collect();
        prop_assert_eq!(starts, one_by_one);
    }
}
