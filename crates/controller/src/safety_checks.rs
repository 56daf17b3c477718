//! Switches for the checks that uphold the safety and liveness invariants.

use sharding::ProxySafetyChecks;

/// Switches of the checks. All checks are on in production. A test turns one off to show that the
/// simulation detects the violation.
#[derive(Debug, Clone, Copy)]
pub struct SafetyChecks {
    /// A task is launched only after its placement is committed to the store.
    pub launch_after_commit: bool,
    /// A task that is missing from a heartbeat counts as lost only if the heartbeat carries this
    /// leader's fencing token.
    pub absence_needs_current_token: bool,
    /// Heartbeats are answered only within the response grace period, counted from the last confirmed
    /// lease renewal or the last complete read of the store, whichever is older.
    pub response_grace: bool,
    /// The tasks of a silent machine are replaced only after the worker's lease has expired.
    pub wait_for_lease_expiry: bool,
    /// The placements of a team never exceed its quota.
    pub quota: bool,
    /// A cancellation replaces only the record version that it has read, and the leader overwrites only
    /// the version that it knows.
    pub version_checks: bool,
    /// Heartbeats of one worker are applied in the order in which it sent them, whether they arrive
    /// directly or through a proxy.
    pub heartbeat_order: bool,
    /// After a proxy is lost, the leader waits for as long as the proxy may have renewed workers'
    /// leases.
    pub wait_for_lost_proxies: bool,
    /// A job starts only after its dependencies are done.
    pub dependency_order: bool,
    /// A status query reports a job as cancelled if one of its dependencies is cancelled.
    pub cancellation_lineage: bool,
    /// A machine that does not receive responses is given no work.
    pub one_way_partitions: bool,
    /// Pending work does not wait for long while idle capacity fits it.
    pub work_conservation: bool,
    /// Machines that are silent only because of a failover, or because no controller answered their
    /// zone, are neither replaced nor scaled in.
    pub retain_silent_machines: bool,
    /// Capacity for work that is restricted to certain zones is scaled out in those zones.
    pub zonal_scale_out: bool,
    /// Checks of the heartbeat proxy.
    pub proxy: ProxySafetyChecks,
}

impl Default for SafetyChecks {
    fn default() -> Self {
        SafetyChecks {
            launch_after_commit: true,
            absence_needs_current_token: true,
            response_grace: true,
            wait_for_lease_expiry: true,
            quota: true,
            version_checks: true,
            heartbeat_order: true,
            wait_for_lost_proxies: true,
            dependency_order: true,
            cancellation_lineage: true,
            one_way_partitions: true,
            work_conservation: true,
            retain_silent_machines: true,
            zonal_scale_out: true,
            proxy: ProxySafetyChecks::default(),
        }
    }
}
