//! Builders for small planning problems.

use anisecroft_planner::*;

/// Returns two machine types. Type 0 has 4 accelerators at a price of 4.0 (1.0 each), type 1 has 2 at
/// 6.0 (3.0 each).
pub fn types() -> Vec<InstanceType> {
    let instance_type = |accelerators: f64, price: f64| InstanceType {
        size: Resources::new(100.0, accelerators, 100.0),
        price,
        spot_price: price / 4.0,
        fetch_gb_per_s: 1.0,
    };
    vec![instance_type(4.0, 4.0), instance_type(2.0, 6.0)]
}

/// Returns a running task of team 0 that must not be preempted.
pub fn running(ends_at: f64, resources: Resources) -> RunningTask {
    RunningTask {
        ends_at,
        endless: false,
        resources,
        priority: 1,
        team: 0,
        within_guarantee: false,
        preemption: None,
    }
}

/// Returns an empty on-demand machine that holds image 1.
pub fn machine(instance_type: usize, zone: usize) -> Machine {
    Machine {
        instance_type,
        zone,
        spot: false,
        ready_at: 0.0,
        free: types()[instance_type].size,
        running: vec![],
        images: vec![1],
        slowness: 1.0,
    }
}

/// Returns a job of team 0 that may use both types and runs image 1.
pub fn job(shape: Shape, tasks: u32, accelerators: f64, run_s: f64, deadline: f64) -> Job {
    Job {
        priority: 1,
        shape,
        pending_tasks: (0..tasks).collect(),
        resources: Resources::new(1.0, accelerators, 1.0),
        run_s,
        image: 1,
        image_gb: 0.0,
        instance_types: vec![0, 1],
        zone: None,
        one_zone: false,
        max_per_zone: None,
        placed_per_zone: vec![],
        spot: false,
        submitted_at: 0.0,
        deadline,
        latest_useful_end: deadline,
        team: 0,
        guaranteed: false,
        not_before: 0.0,
        probing: false,
        best_effort: false,
        starvation_relief: false,
        reserves_until: 0.0,
        assembly_zone: None,
        waits_beside_capacity: false,
        spot_only: false,
        excluded_machines: Vec::new(),
    }
}

/// Returns a problem at time 0 with two zones and one team without limits.
pub fn problem(machines: Vec<Machine>, jobs: Vec<Job>) -> Problem {
    Problem {
        now: 0.0,
        instance_types: types(),
        zones: 2,
        machines,
        jobs,
        teams: vec![TeamQuota::default()],
        max_window_s: 1000.0,
        preemption_wait_s: 5.0,
    }
}
