//! Validation of the platform's settings: ranges of single settings and conditions between settings.

use crate::error::SettingsError;
use crate::platform::{Params, Peer, Settings, Slo, Team};
use crate::timing::{Timing, CLOCK_DRIFT_FACTOR, GRACE_SHARE, MAX_EXPIRY_DELAY_S};

/// Upper bound of rates, durations, sizes and shares.
const MAX_NUMBER: f64 = 1e7;

/// Smallest accepted value of the limit of mutations in a transaction.
const MIN_TRANSACTION_OPS: usize = 2;

/// Smallest accepted number of sockets.
const MIN_CONNECTIONS: usize = 16;

type CheckResult = Result<(), SettingsError>;

/// Checks all settings and reports the first problem.
pub(crate) fn check(settings: &Settings) -> CheckResult {
    let params = &settings.params;
    require(!settings.node.is_empty(), "label", "empty")?;
    check_peers(&settings.node, &settings.peers)?;
    require(params.nodes > 0, "params.size", "must be at least 1")?;
    check_numbers(params)?;
    check_worker_intervals(settings)?;
    check_store_limits(params)?;
    let has_sockets = params.resources.max_connections >= MIN_CONNECTIONS;
    require(has_sockets, "params.resources.max_connections", "must be at least 16")?;
    check_teams(&params.teams)?;
    check_slos(&params.slos)
}

fn require(condition: bool, field: &str, problem: &str) -> CheckResult {
    if condition {
        return Ok(());
    }
    Err(SettingsError::Field { position: None, field: field.to_string(), problem: problem.to_string() })
}

fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}

fn is_positive_and_bounded(number: f64) -> bool {
    is_positive(number) && number <= MAX_NUMBER
}

fn is_non_negative(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

fn check_peers(own_node: &str, peers: &[Peer]) -> CheckResult {
    for (index, peer) in peers.iter().enumerate() {
        let names_other_node = !peer.node.is_empty() && peer.node != own_node;
        require(names_other_node, "seeds.label", "empty or this node's own")?;
        let is_repeated = peers[..index].iter().any(|earlier| earlier.node == peer.node);
        require(!is_repeated, "seeds.label", "named twice")?;
    }
    Ok(())
}

fn check_numbers(params: &Params) -> CheckResult {
    for (field, number) in [
        ("params.workers.report_s", params.workers.heartbeat_interval_s),
        ("params.workers.lease_s", params.workers.lease_s),
        ("params.workers.gang_wait_s", params.workers.gang_wait_s),
        ("params.workers.gang_peer_s", params.workers.gang_peer_s),
        ("params.workers.cancel_s", params.workers.cancel_s),
        ("params.state.rps", params.store.rps),
        ("params.state.write_rps", params.store.write_rps),
        ("params.state.value_kb", params.store.value_kb),
        ("params.cloud.rps", params.cloud.rps),
        ("params.resources.cpu_share", params.resources.cpu_share),
        ("params.resources.memory_mb", params.resources.memory_mb),
    ] {
        require(is_positive_and_bounded(number), field, "must be a positive number")?;
    }
    for (field, number) in [
        ("params.clock_error_ms", params.clock_error_ms),
        ("params.cloud.list_lag_s", params.cloud.list_lag_s),
    ] {
        require((0.0..MAX_NUMBER).contains(&number), field, "must not be negative")?;
    }
    Ok(())
}

fn check_worker_intervals(settings: &Settings) -> CheckResult {
    let workers = &settings.params.workers;
    let cancel_exceeds_lease = workers.cancel_s > workers.lease_s;
    require(cancel_exceeds_lease, "params.workers.cancel_s", "must exceed lease_s")?;
    let lease_exceeds_heartbeat = workers.lease_s > workers.heartbeat_interval_s;
    require(lease_exceeds_heartbeat, "params.workers.lease_s", "must exceed report_s")?;
    check_cancellation_time(settings)
}

/// Checks that the workers of a partitioned leader lose their leases in time for a cancellation, and
/// that a leader that is not partitioned responds without interruption (`docs/safety.md`).
fn check_cancellation_time(settings: &Settings) -> CheckResult {
    let workers = &settings.params.workers;
    let timing = Timing::from(settings);
    let grace_and_lease_s = (timing.response_grace_s + workers.lease_s) * CLOCK_DRIFT_FACTOR;
    let cancellation_slack_s = workers.cancel_s - grace_and_lease_s - MAX_EXPIRY_DELAY_S;
    let renewal_slack_s = timing.response_grace_s - 2.0 * timing.renewal_interval_s - timing.store_timeout_s;
    if cancellation_slack_s >= 0.0 && renewal_slack_s >= 0.0 {
        return Ok(());
    }
    let needed_for_renewals_s = (2.0 * timing.renewal_interval_s + timing.store_timeout_s) / GRACE_SHARE;
    let lost_to_clocks_s = workers.lease_s * (CLOCK_DRIFT_FACTOR - 1.0) + MAX_EXPIRY_DELAY_S;
    let needed_for_cancellations_s = (lost_to_clocks_s / (1.0 - GRACE_SHARE * CLOCK_DRIFT_FACTOR)).ceil();
    let needed_s = needed_for_renewals_s.max(needed_for_cancellations_s);
    let actual_s = workers.cancel_s - workers.lease_s;
    let problem = format!(
        "leaves {actual_s:.1} s beyond lease_s, at least {needed_s:.1} are needed: \
         raise it, or lower lease_s"
    );
    require(false, "params.workers.cancel_s", &problem)
}

fn check_store_limits(params: &Params) -> CheckResult {
    let store = &params.store;
    let is_large_enough = store.txn_ops >= MIN_TRANSACTION_OPS;
    require(is_large_enough, "params.state.txn_ops", "must be at least 2")?;
    let Some(next) = &store.next else { return Ok(()) };
    for (name, limit) in [("rps", next.rps), ("write_rps", next.write_rps), ("value_kb", next.value_kb)] {
        let field = format!("params.state.next.{name}");
        require(limit.is_none_or(is_positive_and_bounded), &field, "must be a positive number")?;
    }
    let is_large_enough = next.txn_ops.is_none_or(|txn_ops| txn_ops >= MIN_TRANSACTION_OPS);
    require(is_large_enough, "params.state.next.txn_ops", "must be at least 2")
}

fn check_teams(teams: &[Team]) -> CheckResult {
    for (index, team) in teams.iter().enumerate() {
        let field = format!("params.teams.{}", team.name);
        require(!team.name.is_empty(), "params.teams.name", "empty")?;
        let is_repeated = teams[..index].iter().any(|earlier| earlier.name == team.name);
        require(!is_repeated, &field, "named twice")?;
        check_quota(&field, team.cores, team.cores_max)?;
        check_quota(&field, team.accelerators, team.accelerators_max)?;
    }
    Ok(())
}

/// Checks a guaranteed quota against the limit, where a limit of 0 stands for no limit.
fn check_quota(field: &str, guaranteed: f64, limit: f64) -> CheckResult {
    require(is_non_negative(guaranteed) && is_non_negative(limit), field, "amounts must not be negative")?;
    require(limit <= 0.0 || guaranteed <= limit, field, "guarantee above the limit")
}

fn check_slos(slos: &[Slo]) -> CheckResult {
    for slo in slos {
        let is_share = slo.target_share.is_none_or(|share| (0.0..=1.0).contains(&share));
        require(is_share, "params.objectives.share", "must lie between 0 and 1")?;
        for (name, number) in [("within_s", slo.threshold_s), ("times", slo.deadline_factor)] {
            let field = format!("params.objectives.{name}");
            require(number.is_none_or(is_positive), &field, "must be positive")?;
        }
    }
    Ok(())
}
