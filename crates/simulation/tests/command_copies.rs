//! Late copies of messages with commands start no task a second time.
//!
//! Tasks are moved, preempted and cancelled while every response to a heartbeat, every direct call,
//! every batch of forwarded heartbeats and every reply to one is copied, and controllers and workers
//! are back within a second. Copies arrive within a second or up to three leases later.

mod common;

use anisecroft_simulation::{CommandCopies, Fault, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use protocol::job::*;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use rayon::prelude::*;

/// Number of seeds of the test that runs in CI.
const SEEDS: u64 = 48;
/// Number of seeds of the long test, which is started by hand.
const LONG_RUN_SEEDS: u64 = 4000;
/// End of the period in which messages are copied, in seconds.
const COPIED_UNTIL_S: f64 = 260.0;

/// Ends of controllers and workers that are back within a second, and causes for tasks to move.
fn quick_returns(rng: &mut SmallRng) -> Vec<ScheduledFault> {
    let fault = |_| {
        let at = rng.gen_range(8.0..220.0);
        let duration_s = rng.gen_range(0.02..1.0);
        let (node, machine) = (rng.gen_range(0..3), rng.gen_range(0..6));
        let fault = match rng.gen_range(0..12) {
            0..=2 => Fault::LeaderCrash { duration_s },
            3 => Fault::ControllerCrash { node, duration_s },
            4 => Fault::ControllerPause { node, duration_s: duration_s * 6.0 },
            5 | 6 => Fault::WorkerRestart { machine, duration_s },
            7 => Fault::MachineHang { machine, duration_s: duration_s * 8.0 },
            8 => Fault::ResponsesLost { machine, duration_s: duration_s * 40.0 },
            9 => Fault::NodePartition { node, store: false, workers: true, duration_s: duration_s * 10.0 },
            10 => Fault::CancelRunningJobs { count: 3, hang_s: duration_s },
            _ => Fault::MachineLost { machine },
        };
        ScheduledFault::new(at, fault)
    };
    (0..24).map(fault).collect()
}

/// Short and long jobs of both priorities, a third of them cancelled, so that tasks end, are cleared,
/// preempted, moved and withdrawn while copies of their starts are on the way.
fn setup(seed: u64) -> Setup {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0xc091);
    let mut faults = quick_returns(&mut rng);
    let lease_s = settings().params.workers.lease_s;
    let copies = Fault::DuplicatedCommands { max_delay_s: 3.0 * lease_s, duration_s: COPIED_UNTIL_S };
    faults.push(ScheduledFault::new(1.0, copies));
    let heartbeats = Fault::DuplicatedHeartbeats { max_delay_s: 2.0 * lease_s, duration_s: COPIED_UNTIL_S };
    faults.push(ScheduledFault::new(1.0, heartbeats));
    let job = |n: usize| {
        let spec = random_job(&mut rng, n);
        let estimated_run_s = match spec.shape {
            Shape::Service => 0.0,
            _ => [rng.gen_range(0.5..4.0), rng.gen_range(10.0..60.0)][n % 2],
        };
        let spec = JobSpec { zone: None, one_zone: false, spread: false, estimated_run_s, ..spec };
        let at = rng.gen_range(2.0..200.0);
        let is_cancelled = spec.shape == Shape::Service || rng.gen_bool(0.33);
        let cancel_at = is_cancelled.then(|| at + rng.gen_range(0.5..40.0));
        Submission::new(at, spec).cancelled_at(cancel_at)
    };
    let jobs = (0..60).map(job).collect();
    Setup { jobs, ..seeded_setup(seed, faults) }
}

fn assert_no_start_is_repeated(seed: u64) -> CommandCopies {
    let mut sim = Simulation::new(setup(seed));
    assert_eq!(sim.run(700.0), [], "seed {seed}");
    assert_eq!(sim.repeated_starts, [], "seed {seed}");
    assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
    sim.command_copies
}

/// Guards against a copy of a start that reaches a machine after the task was cleared there: the task
/// would run on two machines, or run although it was cancelled.
#[test]
fn late_copies_of_commands_start_no_task_again() {
    let copies: Vec<CommandCopies> = (0..SEEDS).into_par_iter().map(assert_no_start_is_repeated).collect();
    for count in [
        |copies: &CommandCopies| copies.heartbeat_responses,
        |copies: &CommandCopies| copies.direct_commands,
        |copies: &CommandCopies| copies.forward_requests,
        |copies: &CommandCopies| copies.forward_replies,
    ] {
        assert!(copies.iter().all(|copies| count(copies) > 0), "{copies:?}");
    }
}

/// The same with many more seeds.
#[test]
#[ignore = "takes minutes"]
fn late_copies_of_commands_start_no_task_again_on_many_seeds() {
    (SEEDS..LONG_RUN_SEEDS).into_par_iter().for_each(|seed| {
        assert_no_start_is_repeated(seed);
    });
}
