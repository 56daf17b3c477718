//! The explorer: what it plays repeats exactly, it finds what the checks keep, and bad input is
//! refused in one line.

use anisecroft_simulation::explore::*;
use anisecroft_simulation::{MessageFault, MessageKind, PlannedFault, Simulation};
use std::process::Command;

fn options(every: usize) -> Options {
    Options {
        scripts: SCRIPTS.iter().collect(),
        depth: 1,
        jobs: 2,
        seed: 1,
        without: None,
        time_limit: None,
        every,
        only: Vec::new(),
        stop_at_first: false,
    }
}

fn line(text: &str) -> ReplayLine {
    text.parse().expect("the line is one that a run printed")
}

/// Of all scripts one run in many; every run without trouble, and messages of rare meaning, are
/// among them. All of it: `cargo run --release -p anisecroft-simulation --bin explore`.
#[test]
fn a_selection_of_all_scripts_breaks_no_rule() {
    for script in &SCRIPTS {
        let e = explore(script, &options(SELECTED), &|_| {});
        let lines: Vec<String> = e.failures.iter().map(|f| format!("{}: {}", f.cause.rule, f.line)).collect();
        assert!(lines.is_empty(), "{lines:#?}");
        assert!(e.points > 400 && e.runs > 10, "{}: {} points, {} runs", script.name, e.points, e.runs);
        assert_eq!(e.possible, e.runs + e.thinned, "{}", script.name);
        assert_eq!((e.left, e.missed), (0, 0), "{}", script.name);
    }
}

/// Of the runs of a script one in so many.
const SELECTED: usize = 800;

/// Without a guard the plan of a script comes to a run that breaks one of `rules`, and with it the
/// same run does not. Of the plan one run in `every` may be played, with one kind of trouble if it is named.
fn found(guard_name: &'static str, rules: &[&str], script: &str, only: &[&'static str], every: usize) {
    let o = Options { without: Some(guard_name), stop_at_first: true, only: only.to_vec(), ..options(every) };
    let e = explore(find_script(script).expect("it is there"), &o, &|_| {});
    let failure = e.failures.first().unwrap_or_else(|| panic!("{guard_name}: none in {} runs", e.runs));
    let without = line(&failure.line.to_string());
    assert!(rules.contains(&failure.cause.rule.as_str()), "{}: {without}", failure.cause.rule);
    assert_eq!(
        play(&without, false).failure.map(|failure| failure.rule).as_ref(),
        Some(&failure.cause.rule),
        "{without}"
    );
    let with = ReplayLine { without: None, ..without };
    assert_eq!(play(&with, false).failure, None, "{with}");
}

#[test]
fn what_a_guard_keeps_is_found() {
    found("quota", &["Quota"], "limit", &[], 1000);
    found("awaits", &["TooEarly"], "await", &[], 1000);
    found("lineage", &["Orphaned", "WentBack"], "leaderless", &[], 1000);
    found("gateway.leave", &["RanCancelled", "RanTwice"], "zone", &["cut"], 50);
}

/// Each guard of the core has a name here that switches it off, and only it.
#[test]
fn every_guard_has_a_name() {
    let on = |without| format!("{:?}", checks_without(without)).matches("true").count();
    assert_eq!(on(None), check_names().count());
    assert!(check_names().all(|name| on(Some(name)) == on(None) - 1));
}

/// The others take hundreds or thousands of runs: `cargo test --release -p anisecroft-simulation --test explore --
/// --ignored`.
#[test]
#[ignore = "a minute"]
fn what_other_guards_keep_is_found() {
    found("grace", &["RanCancelled"], "gap", &[], 30);
    found("write_ahead", &["RanTwice"], "steady", &[], 6);
    found("versions", &["WentBack"], "cancel", &[], 12);
    found("relay_wait", &["RanTwice"], "zone", &[], 12);
}

/// A trouble that the failure doesn't need is left out, and the others last less long.
#[test]
fn a_failure_is_made_smaller() {
    let large = line("await 30:late:2 40:ask 50:cancel seed:1 without:awaits");
    let rule = play(&large, false).failure.expect("it breaks a rule").rule;
    let small = reduce(&large, &rule);
    assert!(small.plan.is_empty(), "{small}");
    assert_eq!(play(&small, false).failure.map(|failure| failure.rule), Some(rule), "{small}");
}

/// Nothing is drawn for the record: the run is the same with and without.
#[test]
fn a_record_changes_nothing() {
    for script in SCRIPTS.iter().step_by(3) {
        let run = |recorded: Option<bool>| {
            let mut sim = Simulation::new(script.setup(5, checks_without(None)));
            if let Some(record) = recorded {
                sim.intercept(Vec::new(), record);
            }
            sim.run(50.0);
            (
                sim.metrics.task_starts,
                sim.metrics.mutations,
                sim.metrics.heartbeats,
                sim.metrics.forward_bytes,
                sim.store().revision,
                sim.ledger.last_status,
            )
        };
        let quiet = run(None);
        assert_eq!(run(Some(true)), quiet, "{}", script.name);
        assert_eq!(run(Some(false)), quiet, "{}", script.name);
    }
}

/// Every kind of trouble at every border comes about, and all but a wait that nobody
/// notices change what crosses afterwards.
#[test]
fn every_trouble_strikes() {
    let quiet = line("cancel");
    let crossings = play(&quiet, true).messages;
    let borders: std::collections::BTreeSet<&MessageKind> = crossings.iter().map(|c| &c.kind).collect();
    assert_eq!(borders.len(), 14, "{borders:?}");
    for border in borders {
        // Late enough that machines are there, and others where one changes nothing: the answer to a
        // stop may be lost unnoticed, since the next report says the same.
        let alike: Vec<_> = crossings.iter().filter(|c| c.kind == *border).collect();
        let points = [2, 4, 1].map(|part| alike[(alike.len() / part).min(alike.len() - 1)].number);
        for trouble in faults_at(border) {
            let mut changed = matches!(trouble, MessageFault::JobsCancelled);
            for number in points {
                let one = ReplayLine {
                    plan: vec![PlannedFault { message: number, fault: trouble }],
                    ..quiet.clone()
                };
                let outcome = play(&one, true);
                assert_eq!((outcome.faults_injected, outcome.failure), (1, None), "{one}");
                let before = crossings.iter().take_while(|c| c.number <= number);
                assert!(before.eq(outcome.messages.iter().take_while(|c| c.number <= number)), "{one}");
                changed |= outcome.messages != crossings;
                if changed {
                    break;
                }
            }
            assert!(changed, "{border:?}: {trouble:?} changes nothing");
        }
    }
}

/// Second troubles come within a lease after the first, and what is thinned is counted.
#[test]
fn pairs_are_counted() {
    let o = Options { depth: 2, only: vec!["copied"], ..options(500) };
    let e = explore(find_script("await").expect("it is there"), &o, &|_| {});
    assert_eq!(e.failures, []);
    assert!(e.possible > 100, "{}", e.possible);
    assert!(e.runs > 0 && e.possible == e.runs + e.thinned + e.left, "{e:?}");
}

#[test]
fn lines_are_read_as_they_are_written() {
    let text = "cancel 12:lost 40:late:2.5 41:copied:24 50:ends-before:0.2 51:ends-after:20 60:cut:3 \
                61:refused:43 62:hangs:20 70:cancel 71:ask seed:9 without:gateway.token";
    assert_eq!(line(text).to_string(), text);
    assert_eq!(line("cancel").to_string(), "cancel seed:1");
}

/// What the command says on the wrong line or option, and its exit code.
#[test]
fn bad_input_gets_one_line() {
    for (args, word) in [
        (&["--replay", "nothing 1:lost"][..], "arrays"),
        (&["--replay", "cancel 1:gone"], "ends-before"),
        (&["--replay", "cancel 0:lost"], "number"),
        (&["--replay", "cancel lost"], "NUMBER:TROUBLE"),
        (&["--replay", "cancel 3:late"], "late:6"),
        (&["--replay", "cancel 3:late:-1"], "late:6"),
        (&["--replay", "cancel 3:late:nan"], "late:6"),
        (&["--replay", "cancel 3:lost:6"], "lost"),
        (&["--replay", "cancel 3:lost seed:x"], "seed:1"),
        (&["--replay", "cancel 3:lost without:all"], "quota"),
        (&["--replay", ""], "line"),
        (&["--script", "arrays,nothing"], "arrays"),
        (&["--depth", "3"], "--depth 1"),
        (&["--depth", "two"], "--help"),
        (&["--jobs", "0"], "--jobs 1"),
        (&["--most-s", "0"], "--most-s 60"),
        (&["--most-s", "-5"], "--"),
        (&["--every", "0"], "--every 1"),
        (&["--without", "quotas"], "quota"),
        (&["--only", "lost,gone"], "ends-before"),
        (&["--nothing"], "--help"),
    ] {
        let out = Command::new(env!("CARGO_BIN_EXE_explore")).args(args).output().expect("it runs");
        let said = String::from_utf8_lossy(&out.stderr).to_string();
        assert_eq!(out.status.code(), Some(2), "{args:?}: {said}");
        assert_eq!((said.lines().count(), out.stdout.len()), (1, 0), "{args:?}: {said}");
        assert!(said.starts_with("explore: ") && said.contains(word), "{args:?}: {said}");
    }
}

/// The exit code tells whether a rule broke.
#[test]
fn the_exit_code_tells() {
    for (text, code) in [("await", 0), ("await seed:1 without:awaits", 1)] {
        let out = Command::new(env!("CARGO_BIN_EXE_explore")).args(["--replay", text]).output();
        assert_eq!(out.expect("it runs").status.code(), Some(code), "{text}");
    }
}
