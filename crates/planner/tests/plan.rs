//! The paper's rules on small examples worked out by hand, and properties on
//! generated problems.

mod common;

use anisecroft_planner::*;
use common::*;
use proptest::prelude::*;

/// A runs 100 s with a deadline at 150, B 100 s with one at 1000; one task
/// each. A then B: 100 + 100, both in time: cost 200. B then A: A ends at 200,
/// late, and is bought at twice its cost: 100 + 200. So A's deferral costs 100
/// and B's minus 100.
#[test]
fn the_job_whose_deferral_costs_more_goes_first() {
    let a = job(Shape::Array, 1, 1.0, 100.0, 150.0);
    let b = job(Shape::Array, 1, 1.0, 100.0, 1000.0);
    let t = types();
    assert_eq!(pair_cost(0.0, &t, &a, &b), 200.0);
    assert_eq!(pair_cost(0.0, &t, &b, &a), 300.0);
    let p = problem(vec![machine(0, 0)], vec![b, a]);
    assert_eq!(order(&p), vec![1, 0]);
}

#[test]
fn urgency_goes_before_any_cost() {
    let urgent = Job { priority: 2, ..job(Shape::Array, 1, 1.0, 10.0, 1e6) };
    let pressing = job(Shape::Array, 4, 1.0, 100.0, 101.0);
    assert_eq!(order(&problem(vec![machine(0, 0)], vec![pressing, urgent])), vec![1, 0]);
}

/// Both types have room; the cheaper one (1.0 a slot against 3.0) wins, unless
/// only the dearer one is in time.
#[test]
fn a_gang_takes_the_cheapest_type_in_time() {
    let gang = job(Shape::Gang, 2, 1.0, 50.0, 100.0);
    let made = plan(&problem(vec![machine(1, 0), machine(0, 0)], vec![gang.clone()]));
    assert_eq!(made.starts.iter().map(|s| s.machine).collect::<Vec<_>>(), vec![1, 1]);
    let mut busy = machine(0, 0);
    busy.free = Resources::new(100.0, 0.0, 100.0);
    busy.running = vec![RunningTask {
        ends_at: 60.0,
        endless: false,
        resources: Resources::new(0.0, 4.0, 0.0),
        priority: 1,
        team: 0,
        within_guarantee: false,
        preemption: None,
    }];
    let made = plan(&problem(vec![machine(1, 0), busy], vec![gang]));
    assert_eq!(made.starts.iter().map(|s| s.machine).collect::<Vec<_>>(), vec![0, 0]);
}

/// One machine of 4 slots. The first gang takes all of it until 30 and fixes
/// the window at 30. The second could start at 30, inside; a third only at 50.
#[test]
fn the_window_keeps_later_jobs_out() {
    let gang = |run: f64, due: f64| Job { instance_types: vec![0], ..job(Shape::Gang, 4, 1.0, run, due) };
    let made =
        plan(&problem(vec![machine(0, 0)], vec![gang(30.0, 31.0), gang(20.0, 500.0), gang(10.0, 1000.0)]));
    let reserved: Vec<_> =
        made.reservations.iter().map(|r| (r.job, r.starts_at, r.ends_at, r.sets_window)).collect();
    assert_eq!(reserved[0], (0, 0.0, 30.0, true));
    assert!(reserved.iter().all(|r| r.1 <= 30.0), "{reserved:?}");
    assert_eq!(made.starts.len(), 4);
}

/// Four tasks run on the only machine's slots, two of them with little done.
/// An urgent gang that needs two slots has just these stopped.
#[test]
fn the_least_costly_work_is_stopped() {
    let mut m = machine(0, 0);
    m.free = Resources::new(50.0, 0.0, 50.0);
    let takes = Resources::new(1.0, 1.0, 1.0);
    m.running = [40.0, 5.0, 60.0, 3.0]
        .iter()
        .enumerate()
        .map(|(owner, &lost_s)| RunningTask {
            ends_at: 100.0 - lost_s,
            endless: false,
            resources: takes,
            priority: 1,
            team: 0,
            within_guarantee: false,
            preemption: Some(PreemptionCandidate { owner, lost_work_s: lost_s, stop_s: 1.0 }),
        })
        .collect();
    let urgent = Job { priority: 2, ..job(Shape::Gang, 1, 2.0, 30.0, 60.0) };
    let mut stops = plan(&problem(vec![m.clone()], vec![urgent])).preemptions;
    stops.sort_unstable();
    assert_eq!(stops, vec![1, 3]);
    // Work of its own band is left alone.
    let equal = job(Shape::Gang, 1, 2.0, 30.0, 60.0);
    assert!(plan(&problem(vec![m], vec![equal])).preemptions.is_empty());
}

/// Work that another team runs beyond its guarantee gives way to guaranteed work
/// of the same urgency; idle arrays once held whole fleets against it.
#[test]
fn a_guarantee_has_uncovered_work_stopped() {
    let mut m = machine(0, 0);
    m.free = Resources::new(50.0, 0.0, 50.0);
    let held = |owner: usize, team: usize, covered: bool| RunningTask {
        ends_at: 400.0,
        endless: false,
        resources: Resources::new(1.0, 1.0, 1.0),
        priority: 1,
        team,
        within_guarantee: covered,
        preemption: Some(PreemptionCandidate { owner, lost_work_s: 10.0, stop_s: 1.0 }),
    };
    m.running = vec![held(0, 1, true), held(1, 1, false), held(2, 0, false), held(3, 1, false)];
    let mut p = problem(vec![m], vec![job(Shape::Array, 3, 1.0, 30.0, 900.0)]);
    p.teams.push(Team::default());
    assert!(plan(&p).preemptions.is_empty());
    p.jobs[0].guaranteed = true;
    let mut stops = plan(&p).preemptions;
    stops.sort_unstable();
    assert_eq!(stops, vec![1, 3]);
    // But not what is more urgent.
    p.jobs[0].priority = 0;
    assert!(plan(&p).preemptions.is_empty());
}

/// An array has less urgent work stopped only if it would be late otherwise.
#[test]
fn an_array_waits_as_long_as_it_can() {
    let mut m = machine(0, 0);
    m.free = Resources::new(50.0, 0.0, 50.0);
    let victim = Some(PreemptionCandidate { owner: 7, lost_work_s: 10.0, stop_s: 1.0 });
    let takes = Resources::new(4.0, 4.0, 4.0);
    m.running = vec![RunningTask {
        ends_at: 60.0,
        endless: false,
        resources: takes,
        priority: 0,
        team: 0,
        within_guarantee: false,
        preemption: victim,
    }];
    let due =
        |due: f64| plan(&problem(vec![m.clone()], vec![job(Shape::Array, 2, 1.0, 30.0, due)])).preemptions;
    assert_eq!(due(200.0), Vec::<usize>::new());
    assert_eq!(due(80.0), vec![7]);
}

/// A suspected job takes a place that is free, and nothing else for its sake.
#[test]
fn a_probe_asks_for_nothing() {
    let probe = Job { probing: true, priority: 2, ..job(Shape::Array, 1, 1.0, 30.0, 60.0) };
    let made = plan(&problem(vec![machine(0, 0)], vec![probe.clone()]));
    assert_eq!(made.starts.len(), 1);
    let mut m = machine(0, 0);
    m.free = Resources::new(50.0, 0.0, 50.0);
    let victim = Some(PreemptionCandidate { owner: 7, lost_work_s: 10.0, stop_s: 1.0 });
    let takes = Resources::new(4.0, 4.0, 4.0);
    m.running = vec![RunningTask {
        ends_at: 60.0,
        endless: false,
        resources: takes,
        priority: 0,
        team: 0,
        within_guarantee: false,
        preemption: victim,
    }];
    for shape in [Shape::Array, Shape::Gang] {
        let made = plan(&problem(vec![m.clone()], vec![Job { shape, ..probe.clone() }]));
        assert!(made.starts.is_empty() && made.preemptions.is_empty() && made.unmet.is_empty());
        assert!(made.reservations.is_empty());
    }
}

/// Three jobs of 150, 40 and 50 s, all due at 210, on a machine that runs one
/// at a time: not all fit, so the largest is given up and goes last.
#[test]
fn a_crowded_band_gives_up_the_largest() {
    let one = |run: f64| Job { instance_types: vec![1], ..job(Shape::Array, 1, 2.0, run, 210.0) };
    let jobs = vec![one(150.0), one(40.0), one(50.0)];
    assert_eq!(order(&problem(vec![machine(1, 0)], jobs))[2], 0);
}

/// A full fleet under a backlog: each job that gets a reservation looks at the
/// machines that are still open once, whatever the number of its tasks, and a
/// job beyond that looks at none. Machines were once looked at for each task.
#[test]
fn a_longer_backlog_and_larger_arrays_cost_next_to_nothing() {
    let steps = |jobs: usize, tasks: u32| {
        let machines = (0..100)
            .map(|i| {
                let mut m = machine(0, i % 2);
                m.free = Resources::new(96.0, 0.0, 96.0);
                let takes = Resources::new(4.0, 4.0, 4.0);
                m.running = vec![RunningTask {
                    ends_at: 50.0 + i as f64 / 100.0,
                    endless: false,
                    resources: takes,
                    priority: 1,
                    team: 0,
                    within_guarantee: false,
                    preemption: None,
                }];
                m
            })
            .collect();
        let jobs = (0..jobs).map(|i| job(Shape::Array, tasks, 1.0, 60.0, 100.0 + i as f64)).collect();
        plan(&problem(machines, jobs)).steps
    };
    let usual = steps(100, 20);
    assert!(usual < 100 * 20, "{usual}");
    let (longer, larger) = (steps(800, 20), steps(100, 200));
    assert!(longer < usual + 700 * 4, "{usual} steps, {longer} with eight times the jobs");
    assert!(larger < usual * 2, "{usual} steps, {larger} with ten times the tasks");
}

/// A team at its limit whose overdue gang needs room for four: two come free now, two within the time
/// for which they are kept. Its small jobs wait meanwhile, another team's do not.
#[test]
fn room_under_a_limit_is_kept_for_an_overdue_gang() {
    let gang = |keeps_until: f64| Job {
        starvation_relief: true,
        reserves_until: keeps_until,
        ..job(Shape::Gang, 4, 1.0, 50.0, 100.0)
    };
    let other = Job { team: 1, ..job(Shape::Array, 1, 1.0, 50.0, 100.0) };
    let starts = |keeps_until: f64, ends: f64| {
        let takes = Resources::new(0.0, 2.0, 0.0);
        let busy = RunningTask {
            ends_at: ends,
            endless: false,
            resources: takes,
            priority: 1,
            team: 0,
            within_guarantee: false,
            preemption: None,
        };
        let running =
            Machine { free: Resources::new(100.0, 2.0, 100.0), running: vec![busy], ..machine(0, 0) };
        let small = job(Shape::Array, 2, 1.0, 50.0, 100.0);
        let machines = vec![running, machine(0, 0), machine(0, 0)];
        let limited = Team { cores_left: None, accelerators_left: Some(2.0) };
        let teams = vec![limited, Team::default()];
        let p = Problem { teams, ..problem(machines, vec![gang(keeps_until), small, other.clone()]) };
        let mut jobs: Vec<usize> = plan(&p).starts.iter().map(|s| s.job).collect();
        jobs.sort_unstable();
        jobs
    };
    assert_eq!(starts(60.0, 40.0), [2], "kept");
    assert_eq!(starts(0.0, 40.0), [1, 1, 2], "its time is over");
    assert_eq!(starts(60.0, 80.0), [1, 1, 2], "too little of the team's work ends in time");
}

/// An overdue gang needs two whole machines; one is free, the other for 30 s more. What would end before
/// that does not get the free one while it is kept; and the gang stays in the zone in which it gathers.
#[test]
fn what_gathers_for_an_overdue_gang_stands_ready() {
    let busy = |end: f64, zone: usize| {
        let takes = Resources::new(0.0, 4.0, 0.0);
        let b = RunningTask {
            ends_at: end,
            endless: false,
            resources: takes,
            priority: 1,
            team: 0,
            within_guarantee: false,
            preemption: None,
        };
        Machine { free: Resources::new(100.0, 0.0, 100.0), running: vec![b], ..machine(0, zone) }
    };
    let gang = Job { starvation_relief: true, one_zone: true, ..job(Shape::Gang, 2, 4.0, 50.0, 1000.0) };
    let short = job(Shape::Array, 1, 1.0, 10.0, 1000.0);
    let made = |gang: Job| {
        let machines = vec![machine(0, 0), busy(30.0, 0), busy(20.0, 1), busy(25.0, 1)];
        plan(&problem(machines, vec![gang, short.clone()]))
    };
    let kept = Job { reserves_until: 60.0, assembly_zone: Some(0), ..gang.clone() };
    assert_eq!((made(kept.clone()).starts, made(kept).gang_assembly), (vec![], Some((0, 0))));
    let later = Job { reserves_until: 0.0, assembly_zone: Some(0), ..gang.clone() };
    assert_eq!(made(later).starts, [Start { job: 1, task: 0, machine: 0 }]);
    assert_eq!(made(Job { assembly_zone: None, ..gang }).gang_assembly, Some((0, 1)), "the sooner zone");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    /// No plan overcommits a machine or a team, splits a gang, or breaks a
    /// job's zones and kinds.
    #[test]
    fn plans_are_sound(
        machines in proptest::collection::vec((0usize..2, 0usize..2, any::<bool>(), 0.0f64..4.0), 1..8),
        jobs in proptest::collection::vec((0usize..3, 1u32..7, 1u32..4, 1.0f64..200.0, 1.0f64..500.0, any::<bool>(), any::<bool>(), 0u8..3), 1..12),
        limit in 1.0f64..20.0,
    ) {
        let machines: Vec<Machine> = machines.into_iter().map(|(kind, zone, spot, used)| {
            let mut m = Machine { spot, ..machine(kind, zone) };
            let takes = Resources::new(0.0, used.min(m.free.accelerators), 0.0);
            m.free.subtract(&takes);
            m.running.push(RunningTask { ends_at: 50.0, endless: false, resources: takes, priority: 0, team: 0, within_guarantee: false, preemption: None });
            m
        }).collect();
        let jobs: Vec<Job> = jobs.into_iter().map(|(shape, tasks, acc, run, due, one_zone, spot, band)| Job {
            one_zone, spot, priority: band,
            max_per_zone: (!one_zone).then(|| tasks.div_ceil(2)),
            ..job([Shape::Array, Shape::Gang, Shape::Service][shape], tasks, f64::from(acc), run, due)
        }).collect();
        let mut p = problem(machines, jobs);
        p.teams[0].accelerators_left = Some(limit);
        let made = plan(&p);
        let mut free: Vec<f64> = p.machines.iter().map(|m| m.free.accelerators).collect();
        let mut total = 0.0;
        for s in &made.starts {
            let j = &p.jobs[s.job];
            free[s.machine] -= j.resources.accelerators;
            total += j.resources.accelerators;
            prop_assert!(free[s.machine] > -1e-6);
            prop_assert!(j.spot || !p.machines[s.machine].spot);
            prop_assert!(j.pending_tasks.contains(&s.task));
        }
        prop_assert!(total <= limit + 1e-6);
        for (i, j) in p.jobs.iter().enumerate() {
            let zones: Vec<usize> = made.starts.iter().filter(|s| s.job == i).map(|s| p.machines[s.machine].zone).collect();
            prop_assert!(j.shape != Shape::Gang || zones.is_empty() || zones.len() == j.pending_tasks.len());
            prop_assert!(!j.one_zone || zones.windows(2).all(|w| w[0] == w[1]));
            let cap = j.max_per_zone.unwrap_or(u32::MAX) as usize;
            prop_assert!((0..2).all(|z| zones.iter().filter(|&&y| y == z).count() <= cap));
        }
        let mut tasks: Vec<_> = made.starts.iter().map(|s| (s.job, s.task)).collect();
        tasks.sort_unstable();
        tasks.dedup();
        prop_assert_eq!(tasks.len(), made.starts.len());
    }

    /// The sums over sorted steps are the plain sums of pairwise costs.
    #[test]
    fn deferrals_are_the_plain_sums(
        jobs in proptest::collection::vec((1u32..9, 1u32..4, 1.0f64..200.0, 1.0f64..500.0, any::<bool>()), 1..90),
        now in 0.0f64..100.0,
    ) {
        let jobs: Vec<Job> = jobs.into_iter().map(|(tasks, acc, run, due, spot)| Job {
            spot, image_gb: run / 10.0, ..job(Shape::Array, tasks, f64::from(acc), run, due)
        }).collect();
        let t = types();
        let made = deferrals(now, &t, &jobs);
        for (i, a) in jobs.iter().enumerate() {
            let plain: f64 = jobs.iter().enumerate().filter(|(j, _)| *j != i)
                .map(|(_, b)| pair_cost(now, &t, b, a) - pair_cost(now, &t, a, b)).sum();
            prop_assert!((made[i] - plain).abs() <= 1e-9 * (1.0 + plain.abs()) * jobs.len() as f64 + 1e-6, "{} and {plain}", made[i]);
        }
    }

    /// Looking at an array's machines once gives what looking at all of them
    /// for every task gave: the cheapest place left, task by task.
    #[test]
    fn an_array_takes_the_best_place_left_each_time(
        free in proptest::collection::vec((0usize..2, 0u32..5, any::<bool>(), any::<bool>()), 1..12),
        tasks in 1u32..30,
    ) {
        let machines: Vec<Machine> = free.iter().map(|&(kind, room, spot, image)| {
            let mut m = Machine { spot, ..machine(kind, 0) };
            let used = Resources::new(0.0, (m.free.accelerators - f64::from(room)).max(0.0), 0.0);
            m.free.subtract(&used);
            m.running.push(RunningTask { ends_at: 1e5, endless: false, resources: used, priority: 1, team: 0, within_guarantee: false, preemption: None });
            if !image { m.images.clear(); }
            m
        }).collect();
        let j = Job { spot: true, image_gb: 5.0, ..job(Shape::Array, tasks, 1.0, 20.0, 1e4) };
        let all = plan(&problem(machines.clone(), vec![j.clone()]));
        // One task at a time, each seeing what the last one left.
        let (mut left, mut one_by_one) = (machines, Vec::new());
        for task in 0..tasks {
            let p = problem(left.clone(), vec![Job { pending_tasks: vec![task], ..j.clone() }]);
            let Some(&s) = plan(&p).starts.first() else { break };
            left[s.machine].free.subtract(&j.resources);
            left[s.machine].running.push(RunningTask { ends_at: 1e4, endless: false, resources: j.resources, priority: 1, team: 0, within_guarantee: false, preemption: None });
            if !left[s.machine].images.contains(&1) { left[s.machine].images.push(1); }
            one_by_one.push((s.task, s.machine));
        }
        prop_assert_eq!(all.starts.iter().map(|s| (s.task, s.machine)).collect::<Vec<_>>(), one_by_one);
    }
}
