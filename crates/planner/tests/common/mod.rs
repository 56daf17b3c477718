//! Small problems.

use anisecroft_planner::*;

/// Type 0: 4 slots at 4.0 (1.0 a slot); type 1: 2 slots at 6.0 (3.0 a slot).
pub fn types() -> Vec<InstanceType> {
    let t = |accelerators: f64, price: f64| InstanceType {
        size: Resources::new(100.0, accelerators, 100.0),
        price,
        spot_price: price / 4.0,
        fetch_gb_per_s: 1.0,
    };
    vec![t(4.0, 4.0), t(2.0, 6.0)]
}

pub fn machine(kind: usize, zone: usize) -> Machine {
    Machine {
        instance_type: kind,
        zone,
        spot: false,
        ready_at: 0.0,
        free: types()[kind].size,
        running: vec![],
        images: vec![1],
        slowness: 1.0,
    }
}

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

pub fn problem(machines: Vec<Machine>, jobs: Vec<Job>) -> Problem {
    Problem {
        now: 0.0,
        instance_types: types(),
        zones: 2,
        machines,
        jobs,
        teams: vec![Team::default()],
        max_window_s: 1000.0,
        preemption_wait_s: 5.0,
    }
}
