//! The cloud's API: machine types, and renting, listing and deleting machines.

use serde::{Deserialize, Serialize};

/// A machine type on offer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: String,
    /// Processor cores.
    pub cores: f64,
    /// Accelerators (GPUs).
    pub accelerators: f64,
    /// Memory in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Local disk for images, in GB.
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB/s.
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine.
    pub price: f64,
    /// Price of a spot machine; 0 if there is none of this type.
    #[serde(rename = "lowPrice", default)]
    pub spot_price: f64,
    /// Usual boot time in seconds.
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    /// Zones that offer it.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// All machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// A request for machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Idempotency key: a repeated request with the same key rents nothing more.
    #[serde(rename = "booking")]
    pub request: String,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of the machines.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are asked for.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines, 1 to [`MAX_RENTED`].
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Maximum number of machines in a request.
pub const MAX_RENTED: u32 = 50;

/// Maximum number of machines in a deletion.
pub const MAX_DELETED: usize = 100;

/// Maximum number of machines on a page of the list.
pub const MAX_LISTED: usize = 500;

/// Ids of machines: rented, or to be deleted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machines {
    /// The ids.
    #[serde(rename = "stalls")]
    pub machines: Vec<String>,
}

/// State of a machine as the cloud sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// It is not up yet.
    #[serde(rename = "starting")]
    Booting,
    /// It is up.
    Running,
    /// It did not boot or has failed.
    Failed,
}

/// A machine on the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its id.
    pub id: String,
    /// Address of its worker, if it is known.
    #[serde(rename = "endpoint", default, skip_serializing_if = "Option::is_none")]
    pub addr: Option<String>,
    /// Name of its machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// Its state.
    #[serde(rename = "status")]
    pub state: MachineState,
    /// Seconds since it was rented.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines on this page.
    #[serde(rename = "stalls")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
}
