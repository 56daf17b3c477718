//! The simulation's rules can fail, and its faults of users, heartbeats and writes come about.

mod common;

use anisecroft_simulation::rules::History;
use anisecroft_simulation::{Fault, Rule, ScheduledFault, Setup, Simulation, Submission};
use common::*;
use controller::SafetyChecks;
use protocol::job::*;

/// The rules that break when users are told these statuses of one accepted job.
fn told(answers: &[(f64, f64, JobStatus)]) -> Vec<Rule> {
    let mut l = History { cancel_s: 50.0, ..History::default() };
    let spec = JobSpec { tasks: 1, ..long_array() };
    l.specs.insert("req-1".into(), spec);
    l.submitted.insert("req-1".into());
    l.cancel_requested.insert("req-1".into());
    for &(sent, now, status) in answers {
        l.record_status(now, sent, "req-1", Some(status));
    }
    l.violations.iter().map(|b| b.rule).collect()
}

#[test]
fn staleness_counts_from_when_the_query_was_sent() {
    use JobStatus::{Cancelled, Done, Pending};
    assert_eq!(told(&[(1.0, 1.1, Pending), (2.0, 2.1, Cancelled), (2.05, 2.2, Pending)]), []);
    assert_eq!(told(&[(2.0, 2.1, Cancelled), (2.1, 2.2, Pending)]), [Rule::WentBack]);
    // One end is never another, whenever it was asked.
    assert_eq!(told(&[(2.0, 2.1, Cancelled), (2.0, 2.2, Done)]), [Rule::NotDone, Rule::WentBack]);
}

/// All faults of users, heartbeats and writes at once.
fn all_new(seed: u64, checks: SafetyChecks) -> Simulation {
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
    let sims: Vec<Simulation> = (0..6).map(|seed| all_new(seed, SafetyChecks::default())).collect();
    for (seed, sim) in sims.iter().enumerate() {
        assert_eq!(sim.history.violations, [], "seed {seed}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
    }
    let looks: Vec<_> = sims.iter().map(Simulation::query_counts).collect();
    assert!(looks.iter().all(|l| l.concurrent_answered > 100 && l.invalid_refused > 5), "{looks:?}");
    assert!(
        looks.iter().any(|l| l.cancelled_at_acceptance > 0)
            && looks.iter().any(|l| l.cancelled_at_completion > 0)
    );
    assert!(sims.iter().all(|s| !s.unanswered_writes.is_empty()));
    assert!(sims.iter().any(|s| s.replayed_heartbeats() > 0));
}

/// The controllers take a team to be at its limit that is not. (Its last machine has room for one
/// task more, since none is rented beyond a limit.)
#[test]
fn waiting_beside_capacity_is_detected() {
    let mut s = seeded_setup(3, vec![]);
    let spec = JobSpec { team: "clinics".into(), accelerators: 1.5, ..long_array() };
    s.jobs = (1..7)
        .map(|n| Submission::new(1.0, JobSpec { id: format!("req-{n}"), tasks: 1, ..spec.clone() }))
        .collect();
    let mut without = s.settings.clone();
    without.params.teams.iter_mut().for_each(|t| t.accelerators_max = 0.0);
    let run = |judged: bool| {
        let mut sim = Simulation::new(Setup { jobs: s.jobs.clone(), ..seeded_setup(3, vec![]) });
        if judged {
            sim.check_against(without.clone());
        }
        sim.run(200.0);
        sim.history.violations.iter().map(|b| b.rule).collect::<Vec<_>>()
    };
    assert_eq!(run(false), []);
    assert_eq!(run(true), [Rule::LeftWaiting]);
}
