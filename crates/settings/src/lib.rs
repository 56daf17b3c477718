//! The settings file that the platform hands over, checked field by field.

mod operator;

pub use operator::Operator;
use serde::Deserialize;
use std::net::SocketAddrV4;

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("cannot read {0}: {1}")]
    Read(String, std::io::Error),
    #[error("{0}")]
    Syntax(String),
    #[error("{field}: {problem}")]
    Field { field: String, problem: String },
}

fn bad<T>(field: &str, problem: &str) -> Result<T, SettingsError> {
    Err(SettingsError::Field { field: field.to_string(), problem: problem.to_string() })
}

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    #[serde(rename = "label")]
    pub node: String,
    #[serde(rename = "location")]
    pub zone: String,
    #[serde(rename = "front")]
    pub client_addr: SocketAddrV4,
    #[serde(rename = "back")]
    pub peer_addr: SocketAddrV4,
    #[serde(rename = "seeds", default)]
    pub peers: Vec<Peer>,
    #[serde(rename = "external")]
    pub services: Services,
    pub params: Params,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    #[serde(rename = "label")]
    pub node: String,
    #[serde(rename = "location", default)]
    pub zone: String,
    #[serde(rename = "peer_addr")]
    pub addr: SocketAddrV4,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    pub cloud: SocketAddrV4,
    #[serde(rename = "state")]
    pub store: SocketAddrV4,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    #[serde(rename = "size")]
    pub nodes: u32,
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(rename = "clock_error_ms", default)]
    pub clock_error_ms: f64,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    #[serde(rename = "objectives")]
    pub slos: Vec<Slo>,
    pub workers: Workers,
    #[serde(rename = "state")]
    pub store: StateLimits,
    pub cloud: CloudLimits,
    pub resources: Resources,
}

/// A team's guarantee and limit. 0 means none of either.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(rename = "cpus", default)]
    pub cores: f64,
    #[serde(rename = "cpus_max", default)]
    pub cores_max: f64,
    #[serde(rename = "gpus", default)]
    pub accelerators: f64,
    #[serde(rename = "gpus_max", default)]
    pub accelerators_max: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Slo {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    #[serde(rename = "within_s")]
    pub threshold_s: Option<f64>,
    #[serde(default)]
    #[serde(rename = "share")]
    pub target_share: Option<f64>,
    #[serde(default)]
    #[serde(rename = "times")]
    pub deadline_factor: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// What holds from some moment on, which nobody announces.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits that the state service will have; what is not named stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// KiB of a value that fits both the present and the coming limit.
    pub fn effective_value_kb(&self) -> f64 {
        let next = self.next.as_ref().and_then(|n| n.value_kb);
        next.map_or(self.value_kb, |kb| kb.min(self.value_kb))
    }

    /// Changes of a transaction that fits both the present and the coming limit.
    pub fn effective_transaction_ops(&self) -> usize {
        let next = self.next.as_ref().and_then(|n| n.txn_ops);
        next.map_or(self.txn_ops, |ops| ops.min(self.txn_ops))
    }

    /// Changes a second that both the present and the coming limit allow.
    pub fn effective_write_rps(&self) -> f64 {
        let next = self.next.as_ref().and_then(|n| n.write_rps);
        next.map_or(self.write_rps, |rate| rate.min(self.write_rps))
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Resources {
    pub cpu_share: f64,
    pub memory_mb: f64,
    pub max_connections: usize,
}

impl Settings {
    pub fn load(path: &std::path::Path) -> Result<Self, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| SettingsError::Read(path.display().to_string(), e))?;
        Self::parse(&text)
    }

    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        // toml's message spans several lines (it draws the place); a refused
        // start has to be one line, so only its place and cause are kept.
        let parsed: Settings = toml::from_str(text).map_err(|e| {
            let line = e.span().map(|s| text[..s.start.min(text.len())].lines().count().max(1));
            let cause = e.message().replace('\n', " ");
            SettingsError::Syntax(match line {
                Some(n) => format!("line {n}: {cause}"),
                None => cause,
            })
        })?;
        parsed.check()?;
        Ok(parsed)
    }

    fn check(&self) -> Result<(), SettingsError> {
        if self.node.is_empty() {
            return bad("label", "empty");
        }
        for (i, p) in self.peers.iter().enumerate() {
            if p.node.is_empty() || p.node == self.node {
                return bad("seeds.label", "empty or this node's own");
            }
            if self.peers[..i].iter().any(|q| q.node == p.node) {
                return bad("seeds.label", "named twice");
            }
        }
        let p = &self.params;
        if p.nodes == 0 {
            return bad("params.size", "must be at least 1");
        }
        for (field, x) in [
            ("params.workers.report_s", p.workers.heartbeat_interval_s),
            ("params.workers.lease_s", p.workers.lease_s),
            ("params.workers.gang_wait_s", p.workers.gang_wait_s),
            ("params.workers.gang_peer_s", p.workers.gang_peer_s),
            ("params.workers.cancel_s", p.workers.cancel_s),
            ("params.state.rps", p.store.rps),
            ("params.state.write_rps", p.store.write_rps),
            ("params.state.value_kb", p.store.value_kb),
            ("params.cloud.rps", p.cloud.rps),
            ("params.resources.cpu_share", p.resources.cpu_share),
            ("params.resources.memory_mb", p.resources.memory_mb),
        ] {
            if !x.is_finite() || x <= 0.0 || x > 1e7 {
                return bad(field, "must be a positive number");
            }
        }
        for (field, x) in
            [("params.clock_error_ms", p.clock_error_ms), ("params.cloud.list_lag_s", p.cloud.list_lag_s)]
        {
            if !x.is_finite() || !(0.0..1e7).contains(&x) {
                return bad(field, "must not be negative");
            }
        }
        if p.workers.cancel_s <= p.workers.lease_s {
            return bad("params.workers.cancel_s", "must exceed lease_s");
        }
        if p.workers.lease_s <= p.workers.heartbeat_interval_s {
            return bad("params.workers.lease_s", "must exceed report_s");
        }
        self.check_room()?;
        if p.store.txn_ops < 2 {
            return bad("params.state.txn_ops", "must be at least 2");
        }
        self.check_next()?;
        if p.resources.max_connections < 16 {
            return bad("params.resources.max_connections", "must be at least 16");
        }
        for (i, t) in p.teams.iter().enumerate() {
            let field = format!("params.teams.{}", t.name);
            if t.name.is_empty() {
                return bad("params.teams.name", "empty");
            }
            if p.teams[..i].iter().any(|u| u.name == t.name) {
                return bad(&field, "named twice");
            }
            for (x, max) in [(t.cores, t.cores_max), (t.accelerators, t.accelerators_max)] {
                if !x.is_finite() || !max.is_finite() || x < 0.0 || max < 0.0 {
                    return bad(&field, "amounts must not be negative");
                }
                if max > 0.0 && x > max {
                    return bad(&field, "guarantee above the limit");
                }
            }
        }
        for o in &p.slos {
            if o.target_share.is_some_and(|s| !(0.0..=1.0).contains(&s)) {
                return bad("params.objectives.share", "must lie between 0 and 1");
            }
            for (field, x) in [("within_s", o.threshold_s), ("times", o.deadline_factor)] {
                if x.is_some_and(|x| !x.is_finite() || x <= 0.0) {
                    return bad(&format!("params.objectives.{field}"), "must be positive");
                }
            }
        }
        Ok(())
    }

    /// Whether a cut leader's workers can lose their leases in time for a cancellation, and are
    /// answered in between (`docs/safety.md`).
    fn check_room(&self) -> Result<(), SettingsError> {
        let (w, d) = (&self.params.workers, Timing::from(self));
        let clocks = w.cancel_s - (d.response_grace_s + w.lease_s) * DRIFT - EXPIRY_S;
        let dates = d.response_grace_s - 2.0 * d.renewal_interval_s - d.store_timeout_s;
        if clocks >= 0.0 && dates >= 0.0 {
            return Ok(());
        }
        let least = (2.0 * d.renewal_interval_s + d.store_timeout_s) / GRACE;
        let least = least.max(((w.lease_s * (DRIFT - 1.0) + EXPIRY_S) / (1.0 - GRACE * DRIFT)).ceil());
        let has = w.cancel_s - w.lease_s;
        bad(
            "params.workers.cancel_s",
            &format!("leaves {has:.1} s beyond lease_s, at least {least:.1} are needed: raise it, or lower lease_s"),
        )
    }

    /// The state service's coming limits, where they are named.
    fn check_next(&self) -> Result<(), SettingsError> {
        let Some(next) = &self.params.store.next else { return Ok(()) };
        for (field, x) in [("rps", next.rps), ("write_rps", next.write_rps), ("value_kb", next.value_kb)] {
            if x.is_some_and(|x| !x.is_finite() || x <= 0.0 || x > 1e7) {
                return bad(&format!("params.state.next.{field}"), "must be a positive number");
            }
        }
        if next.txn_ops.is_some_and(|n| n < 2) {
            return bad("params.state.next.txn_ops", "must be at least 2");
        }
        Ok(())
    }
}

/// Figures that the program derives from the settings, each as a ratio to a
/// figure of the settings. This is the one place where they are explained.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Leadership lease. A fifth of the workers' lease: a crashed leader is
    /// replaced, and every worker answered again, well inside their lease.
    pub leader_lease_s: f64,
    /// Renewals go out four times per lease, so that three may be lost.
    pub renewal_interval_s: f64,
    /// How long a leader goes on answering reports after sending its last confirmed
    /// renewal, and after sending the last read that showed all that is stored: three
    /// quarters of what `cancel_s` leaves beyond the workers' lease, so a cut leader's
    /// tasks end in time for a cancellation that it cannot see.
    pub response_grace_s: f64,
    /// The workers wait this long for an answer (fixed by the protocol).
    pub worker_timeout_s: f64,
    /// A report waits that long for the plan and the commit that its launches
    /// need: three eighths of the worker's patience, and a gateway twice that. (At
    /// a quarter, places that had come free missed plans of a large fleet and
    /// stood empty until the next report.)
    pub busy_heartbeat_hold_s: f64,
    /// A report waits that long for a new leader to read the records: as long as its
    /// worker does, less the way back.
    pub recovery_hold_s: f64,
    /// An idle machine's report waits that long for a launch: well inside the
    /// worker's patience, and no longer than it would wait before its next
    /// report anyway.
    pub idle_heartbeat_hold_s: f64,
    /// How long after asking for it a node may answer reports on the leader's
    /// leave: a quarter of what `cancel_s` leaves beyond the workers' lease (the
    /// grace takes the other three), and no more than a third of that lease,
    /// which is waited for when the node is lost.
    pub delegated_lease_s: f64,
    /// The leader keeps a relay's reply that long for something to say: ten
    /// replies a second at the longest usual spacing of reports.
    pub forward_interval_s: f64,
    /// A relay unanswered for longer has failed: with a quarter of the leave left
    /// that its reply could give. (A busy leader plans for a second at times.)
    pub forward_timeout_s: f64,
    /// Workers that a node takes at most: seven tenths of its sockets. Of the
    /// rest half is for users, a third for what the node itself opens and for
    /// other controllers, and a sixth for direct calls to workers.
    pub worker_capacity: u32,
    /// Workers that a node takes where no other has room: the rest of the front's
    /// sockets, seven in a hundred of all, is always the users'.
    pub max_workers: u32,
    /// Connections of users and workers together that a node accepts.
    pub max_front_connections: usize,
    /// Direct calls to workers at a time.
    pub max_worker_calls: usize,
    /// From its last answer on, a worker's lease is over for certain.
    pub lease_expiry_s: f64,
    /// A worker that gets no answer tries the next node after that time: its patience
    /// and the protocol's second.
    pub worker_failover_s: f64,
    /// Silence after which a machine is looked at: three reports missed.
    pub failure_suspicion_s: f64,
    /// An attempt of a gang is kept together that long from its launch on, with its tasks
    /// that gave up waiting started again: four waits, in which the largest image
    /// comes to the slowest machine.
    pub gang_assembly_s: f64,
    /// Machines of a zone that is out of reach are kept that long: three leases. The
    /// first shows that nothing runs there any more; two more cost about what
    /// the same machines would cost that are rented anew and have to boot.
    pub unreachable_zone_retention_s: f64,
    /// A class or team whose jobs have waited that long with next to nothing running
    /// is under its floor: three leases, by when what a cut or a crash held up
    /// has been placed anew.
    pub starvation_wait_s: f64,
    /// A job that has waited that long beside a free place takes it, whatever keeps it from there:
    /// half of what the operators allow. The rest is for the plan, the commit and the way.
    pub max_idle_capacity_wait_s: f64,
    /// For how long an overdue job may keep room to itself that it can't use yet: three quarters of what
    /// the operators let work lie beside room.
    pub gang_reservation_s: f64,
    /// A leader that acts again rents nothing yet for what machines would take which were there
    /// before and have not reported since: one report at the longest spacing, and the way.
    pub reappearance_wait_s: f64,
    /// What a submission has stored and nothing names is given up for lost after that time:
    /// ten times as long as users repeat one (fixed by the protocol).
    pub abandoned_submission_s: f64,
    /// A worker heard within this time can reach the node: two reports at
    /// their longest spacing, and half of one for the way.
    pub heartbeat_validity_s: f64,
    /// Longest usual time between two reports of a worker, and half of one for the way.
    pub max_heartbeat_gap_s: f64,
    /// Planner's own tick (the design's starting value).
    pub planning_interval_s: f64,
    /// Timeout of a call to the state service.
    pub store_timeout_s: f64,
    /// What users wait for is not taken for overdue before: a tenth of that time-out, many
    /// times as long as an answer usually takes.
    pub hedge_after_s: f64,
    /// Timeout of a call to the cloud.
    pub cloud_timeout_s: f64,
}

/// How long a worker waits for an answer (fixed by the protocol).
const WORKER_TIMEOUT_S: f64 = 4.0;

/// How long an answer of the state service is waited for: users wait for 2 s (fixed by the
/// protocol).
const STATE_TIMEOUT_S: f64 = 1.5;

/// A lease may end that much late (fixed by the protocol).
const EXPIRY_S: f64 = 0.1;

/// Part of what `cancel_s` leaves beyond the workers' lease that is the grace.
const GRACE: f64 = 0.75;

/// How long a submission is repeated (fixed by the protocol).
const SUBMIT_S: f64 = 60.0;

/// How long work may be left lying beside room that fits (the operators' figure).
const LYING_S: f64 = 90.0;

/// How much faster one clock may run than another: 0.05% each, with room.
pub const DRIFT: f64 = 1.002;

impl Timing {
    pub fn from(s: &Settings) -> Self {
        let w = &s.params.workers;
        let leave_s = ((w.cancel_s - w.lease_s) / 4.0).min(w.lease_s / 3.0);
        Timing {
            leader_lease_s: (w.lease_s / 5.0).clamp(0.5, 60.0),
            renewal_interval_s: (w.lease_s / 20.0).clamp(0.1, 15.0),
            response_grace_s: (w.cancel_s - w.lease_s) * GRACE,
            worker_timeout_s: WORKER_TIMEOUT_S,
            busy_heartbeat_hold_s: WORKER_TIMEOUT_S * 0.375,
            recovery_hold_s: WORKER_TIMEOUT_S * 0.85,
            idle_heartbeat_hold_s: (w.heartbeat_interval_s * 0.9).min(WORKER_TIMEOUT_S * 0.75),
            delegated_lease_s: leave_s,
            forward_interval_s: (w.heartbeat_interval_s / 60.0).clamp(0.02, 0.5),
            forward_timeout_s: leave_s * 0.75,
            worker_capacity: (s.params.resources.max_connections as f64 * 0.7) as u32,
            max_workers: (s.params.resources.max_connections as f64 * 0.78) as u32,
            max_front_connections: (s.params.resources.max_connections as f64 * 0.85) as usize,
            max_worker_calls: (s.params.resources.max_connections / 20).max(2),
            lease_expiry_s: w.lease_s * DRIFT + 0.5,
            worker_failover_s: WORKER_TIMEOUT_S + 1.0,
            failure_suspicion_s: w.heartbeat_interval_s * 3.5,
            gang_assembly_s: w.gang_wait_s * 4.0,
            unreachable_zone_retention_s: w.lease_s * 3.0,
            starvation_wait_s: w.lease_s * 3.0,
            max_idle_capacity_wait_s: LYING_S * 0.5,
            gang_reservation_s: LYING_S * 0.75,
            reappearance_wait_s: w.heartbeat_interval_s * 1.75,
            abandoned_submission_s: SUBMIT_S * 10.0,
            heartbeat_validity_s: w.heartbeat_interval_s * 3.0,
            max_heartbeat_gap_s: w.heartbeat_interval_s * 1.75,
            planning_interval_s: w.heartbeat_interval_s / 3.0,
            store_timeout_s: STATE_TIMEOUT_S,
            hedge_after_s: STATE_TIMEOUT_S / 10.0,
            cloud_timeout_s: 5.0,
        }
    }
}
