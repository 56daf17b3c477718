//! Messages of the cloud's API, which offers machine types and rents, lists and deletes machines.

use serde::{Deserialize, Serialize};

/// Machine type offered by the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Name of the type.
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
    /// Zones in which the type is offered.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// Response with all machine types.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    /// Machine types offered by the cloud.
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

/// Request to rent machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    /// Idempotency key: a repeated request with the same key rents no further machines.
    #[serde(rename = "booking")]
    pub request: String,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of the machines.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are requested.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines, 1 to [`MAX_RENTED`].
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Maximum number of machines in a request to rent machines.
pub const MAX_RENTED: u32 = 50;

/// Maximum number of machines in a request to delete machines.
pub const MAX_DELETED: usize = 100;

/// Maximum number of machines on a page of the list.
pub const MAX_LISTED: usize = 500;

/// Ids of the machines that were rented, or that a request deletes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machines {
    /// Ids of the machines.
    #[serde(rename = "stalls")]
    pub machines: Vec<String>,
}

/// State of a machine as reported by the cloud.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// The machine is not up yet.
    #[serde(rename = "starting")]
    Booting,
    /// The machine is up.
    Running,
    /// The machine did not boot or has failed.
    Failed,
}

/// Entry of the cloud's list of machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Id of the machine.
    pub id: String,
    /// Address of its worker, if it is known.
    #[serde(rename = "endpoint", default, skip_serializing_if = "Option::is_none")]
    pub addr: Option<String>,
    /// Name of its machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// State of the machine.
    #[serde(rename = "status")]
    pub state: MachineState,
    /// Seconds since it was rented.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// Page of the cloud's list of machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    /// Machines on this page.
    #[serde(rename = "stalls")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(rename = "hasNext", default)]
    pub more: bool,
}
