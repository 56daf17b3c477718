//! Parsing and validation of settings. An invalid settings file is reported in one line that names the
//! field.

use anisecroft_settings::{Settings, Timing};

const VALID_SETTINGS: &str = include_str!("../../../docs/example.toml");

#[test]
fn the_documented_example_is_accepted_and_unknown_fields_are_ignored() {
    let settings = Settings::parse(VALID_SETTINGS).unwrap();
    assert_eq!((settings.params.nodes, settings.peers.len()), (3, 2));
    let with_unknown_fields =
        VALID_SETTINGS.replace("[params.state]", "[params.new]\nx = 1\n[params.state]\nnew = 2");
    assert!(Settings::parse(&with_unknown_fields).is_ok());
}

#[test]
fn each_invalid_value_is_reported_in_one_line_with_its_field() {
    for (from, to, field) in [
        ("report_s = 3.0", "report_s = 0.0", "report_s"),
        ("lease_s = 19.0", "lease_s = -1.0", "lease_s"),
        ("cancel_s = 39.0", "cancel_s = 5.0", "cancel_s"),
        ("share = 0.82", "share = 1.5", "share"),
        ("name = \"clinics\"", "name = \"dispatch\"", "dispatch"),
        ("gpus = 48.0", "gpus = 999.0", "clinics"),
        ("write_rps = 60.0", "", "write_rps"),
        ("rps = 2.0", "rps = nan", "cloud.rps"),
        ("front = \"10.0.0.1:8080\"", "front = \"nowhere\"", "line"),
        ("label = \"chiefs-1\"", "label = \"chiefs-0\"", "seeds"),
        ("txn_ops = 48", "txn_ops = 48\n[params.state.next]\nvalue_kb = 0.0", "params.state.next.value_kb"),
        ("txn_ops = 48", "txn_ops = 48\n[params.state.next]\ntxn_ops = 1", "params.state.next.txn_ops"),
        ("txn_ops = 48", "txn_ops = 48\n[params.state.next]\nrps = \"many\"", "line"),
    ] {
        assert!(VALID_SETTINGS.contains(from), "{from}");
        let error = Settings::parse(&VALID_SETTINGS.replace(from, to)).expect_err(field).to_string();
        assert!(error.contains(field) && !error.contains('\n'), "{field}: {error}");
    }
}

/// Writes have to fit both the current limits and the future ones, which may apply at any moment.
#[test]
fn effective_limits_fit_the_current_and_the_future_limits() {
    let limits = |next: &str| {
        let text = VALID_SETTINGS.replace("txn_ops = 48", &format!("txn_ops = 48\n{next}"));
        let store = Settings::parse(&text).unwrap().params.store;
        (store.effective_value_kb(), store.effective_transaction_ops(), store.effective_write_rps())
    };
    assert_eq!(limits(""), (32.0, 48, 60.0));
    assert_eq!(limits("[params.state.next]\nvalue_kb = 2.0\nwrite_rps = 90.0"), (2.0, 48, 60.0));
    assert_eq!(
        limits("[params.state.next]\nvalue_kb = 64.0\ntxn_ops = 8\nwrite_rps = 42.0"),
        (32.0, 8, 42.0)
    );
}

#[test]
fn tasks_of_a_partitioned_leader_end_in_time_for_a_cancellation() {
    let settings = Settings::parse(VALID_SETTINGS).unwrap();
    let timing = Timing::from(&settings);
    let workers = &settings.params.workers;
    // Measured from the last confirmed renewal: the grace, a response in transit and the lease.
    assert!(timing.response_grace_s + workers.lease_s * 1.001 < workers.cancel_s);
    assert!(timing.leader_lease_s < workers.lease_s / 2.0);
    assert!(timing.response_grace_s > timing.leader_lease_s);
}

/// If `cancel_s` exceeds the lease by too little, a leader does not respond without interruption or
/// tasks end too late for a cancellation. The error contains the actual and the required time, and a
/// margin just above the required time is accepted.
#[test]
fn a_cancellation_needs_time_beyond_the_lease() {
    let parse_with = |cancel_s: f64| {
        let text = VALID_SETTINGS.replace("cancel_s = 39.0", &format!("cancel_s = {cancel_s:?}"));
        Settings::parse(&text).map(|_| ()).map_err(|error| error.to_string())
    };
    let error = parse_with(21.0).unwrap_err();
    let needed = "at least 4.5 are needed: raise it, or lower lease_s";
    assert_eq!(error, format!("params.workers.cancel_s: leaves 2.0 s beyond lease_s, {needed}"));
    assert!(parse_with(19.0 + 4.6).is_ok());
}

#[test]
fn operator_settings_have_defaults_and_ranges_and_errors_have_positions() {
    use anisecroft_settings::Operator;
    assert_eq!(Operator::parse("").unwrap(), Operator::default());
    let operator = Operator::parse("# comment\nreserve: 2\npreempt: false tick_s: 1.5").unwrap();
    assert_eq!((operator.reserve, operator.preempt, operator.tick_s), (2.0, false, Some(1.5)));
    for (text, expected) in [
        ("reserve: 99", "line 1, column 1: reserve"),
        ("preempt: true\nidle_hold: -1", "line 2, column 1: idle_hold"),
        ("preempt: true\nreserves: 1", "line 2"),
        ("reserve: \"much\"", "line 1"),
        ("reserve: nan", "reserve"),
    ] {
        let error = Operator::parse(text).expect_err(text).to_string();
        assert!(error.contains(expected) && !error.contains('\n'), "{text}: {error}");
    }
}
