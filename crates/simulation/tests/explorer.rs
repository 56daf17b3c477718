//! The explorer: its runs repeat exactly, it finds what each safety check prevents, and bad input
//! is refused in one line.

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

/// Of all scripts one run in many; every run without fault, and messages of rare meaning, are
/// among them. All of it: `cargo run --release -p anisecroft-simulation --bin explore`.
#[test]
fn a_selection_of_all_scripts_breaks_no_rule() {
    for script in &SCRIPTS {
        let e = explore(script, &options(SELECTED), &|_| {});
        let lines: Vec<String> = e.failures.iter().map(|f| format!("{}: {}", f.cause.rule, f.line)).collect();
        assert!(lines.is_empty(), "{lines:#?}");
        assert!(
            e.injection_points > 400 && e.runs > 10,
            "{}: {} points, {} runs",
            script.name,
            e.injection_points,
            e.runs
        );
        assert_eq!(e.possible_runs, e.runs + e.omitted_runs, "{}", script.name);
        assert_eq!((e.skipped_runs, e.runs_without_last_fault), (0, 0), "{}", script.name);
    }
}

/// Of the runs of a script one in so many.
const SELECTED: usize = 800;

/// Without a safety check, the plan of a script reaches a run that breaks one of `rules`; with the
/// check the same run breaks none. One run in `every` is played, with one kind of fault if it is
/// named.
fn found(guard_name: &'static str, rules: &[&str], script: &str, only: &[&'static str], every: usize) {
    let o = Options { without: Some(guard_name), stop_at_first: true, only: only.to_vec(), ..options(every) };
    let e = explore(find_script(script).expect("it is there"), &o, &|_| {});
    let failure = e.failures.first().unwrap_or_else(|| panic!("{guard_name}: none in {} runs", e.runs));
    let without = line(&failure.line.to_string());
    assert!(rules.contains(&failure.cause.rule.as_str()), "{}: {without}", failure.cause.rule);
    assert_eq!(
        run_line(&without, false).failure.map(|failure| failure.rule).as_ref(),
        Some(&failure.cause.rule),
        "{without}"
    );
    let with = ReplayLine { without: None, ..without };
    assert_eq!(run_line(&with, false).failure, None, "{with}");
}

#[test]
fn disabled_safety_checks_are_found() {
    found("quota", &["Quota"], "limit", &[], 1000);
    found("awaits", &["TooEarly"], "await", &[], 1000);
    found("lineage", &["Orphaned", "WentBack"], "leaderless", &[], 1000);
    found("gateway.leave", &["RanCancelled", "RanTwice"], "zone", &["cut"], 50);
}

/// Each safety check of the controller has a name that switches it off, and only it.
#[test]
fn every_safety_check_has_a_name() {
    let on = |without| format!("{:?}", checks_without(without)).matches("true").count();
    assert_eq!(on(None), check_names().count());
    assert!(check_names().all(|name| on(Some(name)) == on(None) - 1));
}

/// The others take hundreds or thousands of runs: `cargo test --release -p anisecroft-simulation
/// --test explorer -- --ignored`.
#[test]
#[ignore = "a minute"]
fn other_disabled_safety_checks_are_found() {
    found("grace", &["RanCancelled"], "gap", &[], 30);
    found("write_ahead", &["RanTwice"], "steady", &[], 6);
    found("versions", &["WentBack"], "cancel", &[], 12);
    found("relay_wait", &["RanTwice"], "zone", &[], 12);
}

/// A fault that the failure does not need is left out, and the others get shorter.
#[test]
fn failures_are_reduced() {
    let large = line("await 30:late:2 40:ask 50:cancel seed:1 without:awaits");
    let rule = run_line(&large, false).failure.expect("it breaks a rule").rule;
    let small = reduce(&large, &rule);
    assert!(small.plan.is_empty(), "{small}");
    assert_eq!(run_line(&small, false).failure.map(|failure| failure.rule), Some(rule), "{small}");
}

/// Recording draws nothing at random: the run is the same with and without.
#[test]
fn recording_does_not_change_a_run() {
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
                sim.history.last_status,
            )
        };
        let quiet = run(None);
        assert_eq!(run(Some(true)), quiet, "{}", script.name);
        assert_eq!(run(Some(false)), quiet, "{}", script.name);
    }
}

/// Every kind of fault at every kind of message comes about, and all but a delay that nobody
/// notices change later messages.
#[test]
fn every_message_fault_takes_effect() {
    let quiet = line("cancel");
    let crossings = run_line(&quiet, true).messages;
    let borders: std::collections::BTreeSet<&MessageKind> = crossings.iter().map(|c| &c.kind).collect();
    assert_eq!(borders.len(), 14, "{borders:?}");
    for border in borders {
        // Late enough that machines are there, and others where one changes nothing: the answer to a
        // stop may be lost unnoticed, since the next heartbeat says the same.
        let alike: Vec<_> = crossings.iter().filter(|c| c.kind == *border).collect();
        let points = [2, 4, 1].map(|part| alike[(alike.len() / part).min(alike.len() - 1)].number);
        for fault in applicable_faults(border) {
            let mut changed = matches!(fault, MessageFault::JobsCancelled);
            for number in points {
                let one = ReplayLine { plan: vec![PlannedFault { message: number, fault }], ..quiet.clone() };
                let outcome = run_line(&one, true);
                assert_eq!((outcome.faults_injected, outcome.failure), (1, None), "{one}");
                let before = crossings.iter().take_while(|c| c.number <= number);
                assert!(before.eq(outcome.messages.iter().take_while(|c| c.number <= number)), "{one}");
                changed |= outcome.messages != crossings;
                if changed {
                    break;
                }
            }
            assert!(changed, "{border:?}: {fault:?} changes nothing");
        }
    }
}

/// Second faults come within a lease after the first, and what is thinned is counted.
#[test]
fn fault_pairs_are_counted() {
    let o = Options { depth: 2, only: vec!["copied"], ..options(500) };
    let e = explore(find_script("await").expect("it is there"), &o, &|_| {});
    assert_eq!(e.failures, []);
    assert!(e.possible_runs > 100, "{}", e.possible_runs);
    assert!(e.runs > 0 && e.possible_runs == e.runs + e.omitted_runs + e.skipped_runs, "{e:?}");
}

#[test]
fn replay_lines_round_trip() {
    let text = "cancel 12:lost 40:late:2.5 41:copied:24 50:ends-before:0.2 51:ends-after:20 60:cut:3 \
                61:refused:43 62:hangs:20 70:cancel 71:ask seed:9 without:gateway.token";
    assert_eq!(line(text).to_string(), text);
    assert_eq!(line("cancel").to_string(), "cancel seed:1");
}

/// What the command prints on a bad line or option, and its exit code.
#[test]
fn bad_input_is_reported_in_one_line() {
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
fn exit_code_reports_broken_rules() {
    for (text, code) in [("await", 0), ("await seed:1 without:awaits", 1)] {
        let out = Command::new(env!("CARGO_BIN_EXE_explore")).args(["--replay", text]).output();
        assert_eq!(out.expect("it runs").status.code(), Some(code), "{text}");
    }
}
