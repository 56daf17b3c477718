//! The cloud's machine types and rentals.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "sku")]
    pub name: String,
    pub cores: f64,
    pub accelerators: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    #[serde(rename = "localGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "pullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    pub price: f64,
    #[serde(rename = "lowPrice", default)]
    pub spot_price: f64,
    #[serde(rename = "bootS", default)]
    pub boot_s: f64,
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentRequest {
    #[serde(rename = "booking")]
    pub request: String,
    #[serde(rename = "breed")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Most machines one rental may ask for.
pub const MOST_RENTED: u32 = 50;
/// Most names one deletion may carry.
pub const MOST_DELETED: usize = 100;
/// Most machines one page of the list may hold.
pub const MOST_LISTED: usize = 500;

/// Names of machines: rented, or to be deleted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machines {
    #[serde(rename = "stalls")]
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    #[serde(rename = "starting")]
    Booting,
    Running,
    Failed,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedMachine {
    pub id: String,
    #[serde(rename = "endpoint", default, skip_serializing_if = "Option::is_none")]
    pub addr: Option<String>,
    #[serde(rename = "breed")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    #[serde(rename = "status")]
    pub state: MachineState,
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "stalls")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "hasNext", default)]
    pub more: bool,
}
