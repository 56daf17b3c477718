//! The simulation's newer rules can fail, and its newer troubles come about.

mod common;

use anisecroft_simulation::rules::Ledger;
use anisecroft_simulation::{Fault, Rule, Setup, Simulation};
use common::*;
use controller::SafetyChecks;
use protocol::job::*;

/// What users were told of one accepted job, by when they asked and were answered.
fn told(answers: &[(f64, f64, JobStatus)]) -> Vec<Rule> {
    let mut l = Ledger { cancel_s: 50.0, ..Ledger::default() };
    let spec = JobSpec { tasks: 1, ..long_array() };
    l.specs.insert("req-1".into(), spec);
    l.submitted.insert("req-1".into());
    l.cancel_asked.insert("req-1".into());
    for &(sent, now, status) in answers {
        l.tell(now, sent, "req-1", Some(status));
    }
    l.broken.iter().map(|b| b.rule).collect()
}

#[test]
fn older_counts_from_when_the_question_was_sent() {
    use JobStatus::{Cancelled, Done, Pending};
    assert_eq!(told(&[(1.0, 1.1, Pending), (2.0, 2.1, Cancelled), (2.05, 2.2, Pending)]), []);
    assert_eq!(told(&[(2.0, 2.1, Cancelled), (2.1, 2.2, Pending)]), [Rule::WentBack]);
    // One end is never another, whenever it was asked.
    assert_eq!(told(&[(2.0, 2.1, Cancelled), (2.0, 2.2, Done)]), [Rule::NotDone, Rule::WentBack]);
}

/// All troubles of users, reports and writes at once.
fn all_new(seed: u64, guards: SafetyChecks) -> Simulation {
    let for_s = 60.0;
    let faults = vec![
        (20.0, Fault::CloseLooks { for_s: 150.0 }),
        (20.0, Fault::OddRequests { for_s: 150.0 }),
        (20.0, Fault::CancelAtEnd { share: 0.3, for_s: 150.0 }),
        (30.0, Fault::FastBoots { for_s }),
        (40.0, Fault::LostAnswers { share: 0.2, for_s }),
        (50.0, Fault::CopiesForNext { after_s: 0.5, for_s }),
        (55.0, Fault::MuteZone { zone: "a", for_s: 20.0 }),
        (60.0, Fault::CancelNow { count: 6, hang_s: 15.0 }),
        (70.0, Fault::Crash { node: (seed % 3) as usize, for_s: 0.2 }),
        (75.0, Fault::Crash { node: ((seed + 1) % 3) as usize, for_s: 9.0 }),
    ];
    let mut sim = Simulation::new(Setup { guards, ..setup(seed, faults) });
    sim.run(500.0);
    sim
}

#[test]
fn the_newest_troubles_come_about_and_break_no_rule() {
    let sims: Vec<Simulation> = (0..6).map(|seed| all_new(seed, SafetyChecks::default())).collect();
    for (seed, sim) in sims.iter().enumerate() {
        assert_eq!(sim.ledger.broken, [], "seed {seed}");
        assert_eq!(sim.unfinished(), Vec::<String>::new(), "seed {seed}");
    }
    let looks: Vec<_> = sims.iter().map(Simulation::looks).collect();
    assert!(looks.iter().all(|l| l.close_answered > 100 && l.unfit_refused > 5), "{looks:?}");
    assert!(looks.iter().any(|l| l.cancelled_at_once > 0) && looks.iter().any(|l| l.cancelled_at_end > 0));
    assert!(sims.iter().all(|s| !s.lost_writes.is_empty()));
    assert!(sims.iter().any(|s| s.kept_delivered() > 0));
}

/// The controllers take a team to be at its limit that is not. (Its last machine has room for one
/// task more, since none is rented for work beyond a limit.)
#[test]
fn what_waits_beside_room_is_noticed() {
    let mut s = setup(3, vec![]);
    let spec = JobSpec { team: "clinics".into(), accelerators: 1.5, ..long_array() };
    s.jobs =
        (1..7).map(|n| (1.0, JobSpec { id: format!("req-{n}"), tasks: 1, ..spec.clone() }, None)).collect();
    let mut without = s.settings.clone();
    without.params.teams.iter_mut().for_each(|t| t.accelerators_max = 0.0);
    let run = |judged: bool| {
        let mut sim = Simulation::new(Setup { jobs: s.jobs.clone(), ..setup(3, vec![]) });
        if judged {
            sim.judge_by(without.clone());
        }
        sim.run(200.0);
        sim.ledger.broken.iter().map(|b| b.rule).collect::<Vec<_>>()
    };
    assert_eq!(run(false), []);
    assert_eq!(run(true), [Rule::LeftWaiting]);
}
