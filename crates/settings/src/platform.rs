//! The settings file that the platform hands over (TOML). Unknown fields are ignored.

use crate::error::{read_file, Position, SettingsError};
use crate::limits::{CloudLimits, Resources, StateLimits};
use crate::validation;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::Path;

/// The whole file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this node.
    #[serde(rename = "label")]
    pub node: String,
    /// Zone of this node.
    #[serde(rename = "location")]
    pub zone: String,
    /// Where clients and workers connect.
    #[serde(rename = "front")]
    pub client_addr: SocketAddrV4,
    /// Where the other controllers connect.
    #[serde(rename = "back")]
    pub peer_addr: SocketAddrV4,
    /// The other controllers.
    #[serde(rename = "seeds", default)]
    pub peers: Vec<Peer>,
    /// Services that the node depends on.
    #[serde(rename = "external")]
    pub services: Services,
    /// What is the same for all nodes.
    pub params: Params,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name.
    #[serde(rename = "label")]
    pub node: String,
    /// Its zone; empty if it is not known.
    #[serde(rename = "location", default)]
    pub zone: String,
    /// Where it listens for controllers.
    #[serde(rename = "peer_addr")]
    pub addr: SocketAddrV4,
}

/// Services that the node depends on.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// The cloud's API.
    pub cloud: SocketAddrV4,
    /// The key-value store.
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
    /// How far the clocks of two parties may differ, in milliseconds.
    #[serde(rename = "clock_error_ms", default)]
    pub clock_error_ms: f64,
    /// Teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    #[serde(rename = "objectives")]
    pub slos: Vec<Slo>,
    /// The workers' intervals.
    pub workers: Workers,
    /// Limits of the key-value store.
    #[serde(rename = "state")]
    pub store: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// What the node itself may use.
    pub resources: Resources,
}

/// A team's guaranteed quota and its limit; 0 stands for none of either.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Its name.
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

/// A service-level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Slo {
    /// What it is about: `wait` (until a job starts), `finished` (until a job is done), `deadline` (jobs
    /// with a deadline) or `guarantee` (wait of what a guaranteed quota covers).
    pub kind: String,
    /// The class of jobs that it applies to; `None` for all.
    #[serde(default)]
    pub class: Option<String>,
    /// The duration that should not be exceeded, in seconds.
    #[serde(default)]
    #[serde(rename = "within_s")]
    pub threshold_s: Option<f64>,
    /// The share of cases that should meet it, between 0 and 1.
    #[serde(default)]
    #[serde(rename = "share")]
    pub target_share: Option<f64>,
    /// Up to this multiple of its deadline a job still counts.
    #[serde(default)]
    #[serde(rename = "times")]
    pub deadline_factor: Option<f64>,
}

/// Intervals of the workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// A worker without a response for this long stops all tasks.
    pub lease_s: f64,
    /// How long a task of a gang waits for the others before it gives up.
    pub gang_wait_s: f64,
    /// How long a running task of a gang goes on without another one.
    pub gang_peer_s: f64,
    /// Within this time after a cancellation nothing of the job runs any more.
    pub cancel_s: f64,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// If the file cannot be read, or for the reasons of [`Settings::parse`].
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&read_file(path)?)
    }

    /// Parses and checks the text of a file.
    ///
    /// # Errors
    /// If it is not TOML, a field is missing or of the wrong type, or a value is out of range.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| {
            // The error's own text spans several lines, because it shows the place. A refused start
            // has to be one line, so only the line number and the cause are kept.
            let line = error.span().map(|span| text[..span.start.min(text.len())].lines().count().max(1));
            let position = line.map(|line| Position { line, column: None });
            SettingsError::syntax(position, &error.message())
        })?;
        validation::check(&settings)?;
        Ok(settings)
    }
}
