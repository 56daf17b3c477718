//! Settings file provided by the platform (TOML). Unknown fields are ignored.

use crate::error::{read_file, Position, SettingsError};
use crate::limits::{CloudLimits, Resources, StateLimits};
use crate::validation;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::Path;

/// Contents of the settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this node.
    #[serde(rename = "label")]
    pub node: String,
    /// Zone of this node.
    #[serde(rename = "location")]
    pub zone: String,
    /// Address to which clients and workers connect.
    #[serde(rename = "front")]
    pub client_addr: SocketAddrV4,
    /// Address to which the other controllers connect.
    #[serde(rename = "back")]
    pub peer_addr: SocketAddrV4,
    /// Other controllers.
    #[serde(rename = "seeds", default)]
    pub peers: Vec<Peer>,
    /// Services that the node depends on.
    #[serde(rename = "external")]
    pub services: Services,
    /// Settings that are the same for all nodes.
    pub params: Params,
}

/// Name, zone and address of another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name of the controller's node.
    #[serde(rename = "label")]
    pub node: String,
    /// Zone of the node; empty if it is not known.
    #[serde(rename = "location", default)]
    pub zone: String,
    /// Address on which the node listens for other controllers.
    #[serde(rename = "peer_addr")]
    pub addr: SocketAddrV4,
}

/// Addresses of the services that the node depends on.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// Address of the cloud's API.
    pub cloud: SocketAddrV4,
    /// Address of the key-value store.
    #[serde(rename = "state")]
    pub store: SocketAddrV4,
}

/// Settings that are the same for all nodes.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// Number of controllers.
    #[serde(rename = "size")]
    pub nodes: u32,
    /// Names of all zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Maximum difference between the clocks of two parties, in milliseconds.
    #[serde(rename = "clock_error_ms", default)]
    pub clock_error_ms: f64,
    /// Teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    #[serde(rename = "objectives")]
    pub slos: Vec<Slo>,
    /// Intervals of the workers.
    pub workers: Workers,
    /// Limits of the key-value store.
    #[serde(rename = "state")]
    pub store: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Resources that the node itself may use.
    pub resources: Resources,
}

/// Guaranteed quota and limit of a team. A quota of 0 guarantees nothing; a limit of 0 stands for no
/// limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed cores.
    #[serde(rename = "cpus", default)]
    pub cores: f64,
    /// Maximum number of cores.
    #[serde(rename = "cpus_max", default)]
    pub cores_max: f64,
    /// Guaranteed accelerators.
    #[serde(rename = "gpus", default)]
    pub accelerators: f64,
    /// Maximum number of accelerators.
    #[serde(rename = "gpus_max", default)]
    pub accelerators_max: f64,
}

/// Service-level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Slo {
    /// Quantity that it limits: `wait` (time until a job starts), `finished` (time until a job is
    /// done), `deadline` (jobs with a deadline) or `guarantee` (wait of work that a guaranteed quota
    /// covers).
    pub kind: String,
    /// Class of jobs that it applies to; `None` for all.
    #[serde(default)]
    pub class: Option<String>,
    /// Duration that should not be exceeded, in seconds.
    #[serde(default)]
    #[serde(rename = "within_s")]
    pub threshold_s: Option<f64>,
    /// Share of cases that should meet the objective, between 0 and 1.
    #[serde(default)]
    #[serde(rename = "share")]
    pub target_share: Option<f64>,
    /// Multiple of its deadline up to which a job counts as meeting the objective.
    #[serde(default)]
    #[serde(rename = "times")]
    pub deadline_factor: Option<f64>,
}

/// Intervals of the workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Time without a response after which a worker stops all its tasks.
    pub lease_s: f64,
    /// Time for which a task of a gang waits for the others before it gives up.
    pub gang_wait_s: f64,
    /// Time for which a running task of a gang continues after another one was lost.
    pub gang_peer_s: f64,
    /// Time after a cancellation within which all tasks of the job have to end.
    pub cancel_s: f64,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// If the file cannot be read, or for the reasons listed at [`Settings::parse`].
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read_file(path)?)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// If the text is not TOML, a field is missing or has the wrong type, or a value is out of range.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| {
            // The text of a TOML error spans several lines, because it quotes the input. The error has
            // to be a single line, so only the line number and the cause are kept.
            let line = error.span().map(|span| text[..span.start.min(text.len())].lines().count().max(1));
            let position = line.map(|line| Position { line, column: None });
            SettingsError::syntax(position, &error.message())
        })?;
        validation::check(&settings)?;
        Ok(settings)
    }
}
