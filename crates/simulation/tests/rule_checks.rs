//! The simulation detects violations of its rules, and its faults of users, heartbeats and writes
//! occur.

mod common;

use anisecroft_simulation::rules::History;
use anisecroft_simulation::{Fault, Rule, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use controller::SafetyChecks;
use protocol::job::*;

/// The rules that are broken if these responses report the status of one job. Each has the time at which
/// the query was sent, the time of the response and the status.
fn broken_rules(responses: &[(f64, f64, JobStatus)]) -> Vec<Rule> {
    let mut history = History { cancel_s: 50.0, ..History::default() };
    let spec = JobSpec { tasks: 1, ..long_array() };
    history.specs.insert("req-1".into(), spec);
    history.submitted.insert("req-1".into());
    history.cancel_requested.insert("req-1".into());
    for &(sent_at, now, status) in responses {
        history.record_status(now, sent_at, "req-1", Some(status));
    }
    history.violations.iter().map(|v| v.rule).collect()
}

#[test]
fn staleness_counts_from_when_the_query_was_sent() {
    use JobStatus::{Cancelled, Done, Pending};
    assert_eq!(broken_rules(&[(1.0, 1.1, Pending), (2.0, 2.1, Cancelled), (2.05, 2.2, Pending)]), []);
    assert_eq!(broken_rules(&[(2.0, 2.1, Cancelled), (2.1, 2.2, Pending)]), [Rule::WentBack]);
    // A terminal status must never contradict another one, regardless of when the query was sent.
    assert_eq!(broken_rules(&[(2.0, 2.1, Cancelled), (2.0, 2.2, Done)]), [Rule::NotDone, Rule::WentBack]);
}

/// A run with overlapping faults of users, heartbeats and writes.
fn run_with_faults(seed: u64, checks: SafetyChecks) -> Simulation {
    let duration_s = 60.0;
    let faults = vec![
        ScheduledFault::new(20.0, Fault::ConcurrentQueries { duration_s: 150.0 }),
        ScheduledFault::new(20.0, Fault::InvalidRequests { duration_s: 150.0 }),
        ScheduledFault::new(20.0, Fault::CancelAtCompletion { share: 0.3, duration_s: 150.0 }),
        ScheduledFault::new(30.0, Fault::FastBoots { duration_s }),
        ScheduledFault::new(40.0, Fault::LostWriteResponses { share: 0.2, duration_s }),
        ScheduledFault::new(50.0, Fault::HeartbeatsReplayedAfterFailover { delay_s: 0.5, duration_s }),
        ScheduledFault::new(55.0, Fault::HeartbeatsLostInZone { zone: "a", duration_s: 20.0 }),
        ScheduledFault::new(60.0, Fault::CancelRunningJobs { count: 6, hang_s: 15.0 }),
        ScheduledFault::new(70.0, Fault::ControllerCrash { node: (seed % 3) as usize, duration_s: 0.2 }),
        ScheduledFault::new(
            75.0,
            Fault::ControllerCrash { node: ((seed + 1) % 3) as usize, duration_s: 9.0 },
        ),
    ];
    let mut sim = Simulation::new(Setup { checks, ..seeded_setup(seed, faults) });
    sim.run(500.0);
    sim
}

#[test]
fn user_heartbeat_and_write_faults_occur_and_break_no_rule() {
    let sims: Vec<Simulation> = (0..6).map(|seed| run_with_faults(seed, SafetyChecks::default())).collect();
    for (seed, sim) in sims.iter().enumerate() {
        assert_eq!(sim.history.violations, [], "seed {seed}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
    }
    let counts: Vec<_> = sims.iter().map(Simulation::query_counts).collect();
    assert!(counts.iter().all(|c| c.concurrent_answered > 100 && c.invalid_refused > 5), "{counts:?}");
    assert!(
        counts.iter().any(|c| c.cancelled_at_acceptance > 0)
            && counts.iter().any(|c| c.cancelled_at_completion > 0)
    );
    assert!(sims.iter().all(|s| !s.unanswered_writes.is_empty()));
    assert!(sims.iter().any(|s| s.replayed_heartbeats() > 0));
}

/// The rules are checked against settings without limits, while the controllers enforce the limit of a
/// team. Its jobs then wait although its last machine has capacity for another task; machines beyond the
/// limit are not rented.
#[test]
fn waiting_despite_capacity_is_detected() {
    let mut setup = seeded_setup(3, vec![]);
    let spec = JobSpec { team: "clinics".into(), accelerators: 1.5, ..long_array() };
    setup.jobs = (1..7)
        .map(|n| Submission::new(1.0, JobSpec { id: format!("req-{n}"), tasks: 1, ..spec.clone() }))
        .collect();
    let mut without_limits = setup.settings.clone();
    without_limits.params.teams.iter_mut().for_each(|t| t.accelerators_max = 0.0);
    let run = |check_without_limits: bool| {
        let mut sim = Simulation::new(Setup { jobs: setup.jobs.clone(), ..seeded_setup(3, vec![]) });
        if check_without_limits {
            sim.check_against(without_limits.clone());
        }
        sim.run(200.0);
        sim.history.violations.iter().map(|v| v.rule).collect::<Vec<_>>()
    };
    assert_eq!(run(false), []);
    assert_eq!(run(true), [Rule::LeftWaiting]);
}
