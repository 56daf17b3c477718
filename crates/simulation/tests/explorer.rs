//! The explorer: its runs are reproducible, it finds a failure for each disabled safety check, and
//! it reports bad input in one line.

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
    text.parse().expect("not a valid replay line")
}

/// Samples the runs of all scripts; the sample contains every run without faults and the messages
/// of rare kinds. All runs: `cargo run --release -p anisecroft-simulation --bin explore`.
#[test]
fn sampled_runs_of_all_scripts_break_no_rule() {
    for script in &SCRIPTS {
        let report = explore(script, &options(SAMPLING_INTERVAL), &|_| {});
        let failures: Vec<String> =
            report.failures.iter().map(|f| format!("{}: {}", f.cause.rule, f.line)).collect();
        assert!(failures.is_empty(), "{failures:#?}");
        assert!(
            report.injection_points > 400 && report.runs > 10,
            "{}: {} injection points, {} runs",
            script.name,
            report.injection_points,
            report.runs
        );
        assert_eq!(report.possible_runs, report.runs + report.omitted_runs, "{}", script.name);
        assert_eq!((report.skipped_runs, report.runs_without_last_fault), (0, 0), "{}", script.name);
    }
}

/// One in this many runs of a script is sampled.
const SAMPLING_INTERVAL: usize = 800;

/// Checks that without the named safety check, exploring `script` finds a run that breaks one of
/// `rules`, and that the same run with the check breaks none. Explores one run in `every`, with
/// only the kinds of fault in `only` unless that is empty.
fn assert_failure_found(
    check_name: &'static str,
    rules: &[&str],
    script: &str,
    only: &[&'static str],
    every: usize,
) {
    let options =
        Options { without: Some(check_name), stop_at_first: true, only: only.to_vec(), ..options(every) };
    let report = explore(find_script(script).expect("unknown script"), &options, &|_| {});
    let failure =
        report.failures.first().unwrap_or_else(|| panic!("{check_name}: no failure in {} runs", report.runs));
    let without_check = line(&failure.line.to_string());
    assert!(rules.contains(&failure.cause.rule.as_str()), "{}: {without_check}", failure.cause.rule);
    assert_eq!(
        run_line(&without_check, false).failure.map(|failure| failure.rule).as_ref(),
        Some(&failure.cause.rule),
        "{without_check}"
    );
    let with_check = ReplayLine { without: None, ..without_check };
    assert_eq!(run_line(&with_check, false).failure, None, "{with_check}");
}

#[test]
fn disabled_safety_checks_are_found() {
    assert_failure_found("quota", &["Quota"], "limit", &[], 1000);
    assert_failure_found("awaits", &["TooEarly"], "await", &[], 1000);
    assert_failure_found("lineage", &["Orphaned", "WentBack"], "leaderless", &[], 1000);
    assert_failure_found("gateway.leave", &["RanCancelled", "RanTwice"], "zone", &["cut"], 50);
}

/// Each safety check of the controller has a name that disables this check and no other.
#[test]
fn every_safety_check_has_a_name() {
    let enabled_count = |without| format!("{:?}", checks_without(without)).matches("true").count();
    assert_eq!(enabled_count(None), check_names().count());
    assert!(check_names().all(|name| enabled_count(Some(name)) == enabled_count(None) - 1));
}

/// Safety checks whose failures take hundreds or thousands of runs to find: `cargo test --release
/// -p anisecroft-simulation --test explorer -- --ignored`.
#[test]
#[ignore = "a minute"]
fn other_disabled_safety_checks_are_found() {
    assert_failure_found("grace", &["RanCancelled"], "gap", &[], 30);
    assert_failure_found("write_ahead", &["RanTwice"], "steady", &[], 6);
    assert_failure_found("versions", &["WentBack"], "cancel", &[], 12);
    assert_failure_found("relay_wait", &["RanTwice"], "zone", &[], 12);
}

/// Reduction removes faults that the failure does not depend on.
#[test]
fn failures_are_reduced() {
    let full = line("await 30:late:2 40:ask 50:cancel seed:1 without:awaits");
    let rule = run_line(&full, false).failure.expect("no rule broke").rule;
    let reduced = reduce(&full, &rule);
    assert!(reduced.plan.is_empty(), "{reduced}");
    assert_eq!(run_line(&reduced, false).failure.map(|failure| failure.rule), Some(rule), "{reduced}");
}

/// Recording makes no random draws, so a run is the same with and without it.
#[test]
fn recording_does_not_change_a_run() {
    for script in SCRIPTS.iter().step_by(3) {
        let run = |intercepted: Option<bool>| {
            let mut sim = Simulation::new(script.setup(5, checks_without(None)));
            if let Some(record) = intercepted {
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
        let not_intercepted = run(None);
        assert_eq!(run(Some(true)), not_intercepted, "{}", script.name);
        assert_eq!(run(Some(false)), not_intercepted, "{}", script.name);
    }
}

/// Every kind of fault can be injected at every kind of message that it applies to, and all kinds
/// but the cancellation of jobs change later messages.
#[test]
fn every_message_fault_takes_effect() {
    let without_faults = line("cancel");
    let messages = run_line(&without_faults, true).messages;
    let kinds: std::collections::BTreeSet<&MessageKind> = messages.iter().map(|m| &m.kind).collect();
    assert_eq!(kinds.len(), 14, "{kinds:?}");
    for kind in kinds {
        // Tries the message in the middle first, when machines are running, then others, because a
        // fault at a single message may change nothing: if the reply to a stop is lost, the next
        // heartbeat has the same content.
        let same_kind: Vec<_> = messages.iter().filter(|m| m.kind == *kind).collect();
        let points =
            [2, 4, 1].map(|divisor| same_kind[(same_kind.len() / divisor).min(same_kind.len() - 1)].number);
        for fault in applicable_faults(kind) {
            let mut changed = matches!(fault, MessageFault::JobsCancelled);
            for number in points {
                let with_fault = ReplayLine {
                    plan: vec![PlannedFault { message: number, fault }],
                    ..without_faults.clone()
                };
                let outcome = run_line(&with_fault, true);
                assert_eq!((outcome.faults_injected, outcome.failure), (1, None), "{with_fault}");
                let before = messages.iter().take_while(|m| m.number <= number);
                assert!(
                    before.eq(outcome.messages.iter().take_while(|m| m.number <= number)),
                    "{with_fault}"
                );
                changed |= outcome.messages != messages;
                if changed {
                    break;
                }
            }
            assert!(changed, "{kind:?}: {fault:?} changes no later message");
        }
    }
}

/// Runs with two faults, the second within a lease after the first: each possible run is counted as
/// run, omitted or skipped.
#[test]
fn fault_pairs_are_counted() {
    let options = Options { depth: 2, only: vec!["copied"], ..options(500) };
    let report = explore(find_script("await").expect("unknown script"), &options, &|_| {});
    assert_eq!(report.failures, []);
    assert!(report.possible_runs > 100, "{}", report.possible_runs);
    assert!(
        report.runs > 0 && report.possible_runs == report.runs + report.omitted_runs + report.skipped_runs,
        "{report:?}"
    );
}

#[test]
fn replay_lines_round_trip() {
    let text = "cancel 12:lost 40:late:2.5 41:copied:24 50:ends-before:0.2 51:ends-after:20 60:cut:3 \
                61:refused:43 62:hangs:20 70:cancel 71:ask seed:9 without:gateway.token";
    assert_eq!(line(text).to_string(), text);
    assert_eq!(line("cancel").to_string(), "cancel seed:1");
}

/// For an invalid replay line or option the command prints one line with a hint to what is valid,
/// and exits with code 2.
#[test]
fn bad_input_is_reported_in_one_line() {
    for (args, hint) in [
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
        let out =
            Command::new(env!("CARGO_BIN_EXE_explore")).args(args).output().expect("cannot run explore");
        let stderr = String::from_utf8_lossy(&out.stderr).to_string();
        assert_eq!(out.status.code(), Some(2), "{args:?}: {stderr}");
        assert_eq!((stderr.lines().count(), out.stdout.len()), (1, 0), "{args:?}: {stderr}");
        assert!(stderr.starts_with("explore: ") && stderr.contains(hint), "{args:?}: {stderr}");
    }
}

/// The exit code is 1 if a rule broke.
#[test]
fn exit_code_reports_broken_rules() {
    for (text, code) in [("await", 0), ("await seed:1 without:awaits", 1)] {
        let out = Command::new(env!("CARGO_BIN_EXE_explore")).args(["--replay", text]).output();
        assert_eq!(out.expect("cannot run explore").status.code(), Some(code), "{text}");
    }
}
