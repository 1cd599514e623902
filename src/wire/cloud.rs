//! The cloud: machine types, the machine list, provisioning and release.

use lilacfork_common::resources::Resources;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The cloud's machine types.
pub const CLOUD_CATALOG_PATH: &str = "/catalog";
/// The cloud's machines, and rentals.
pub const CLOUD_MACHINES_PATH: &str = "/machines";
/// Returns of machines.
pub const CLOUD_RELEASE_PATH: &str = "/machines/release";

/// A machine type of the cloud's.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: Rc<str>,
    /// Cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// The image cache in GB.
    #[serde(rename = "cacheGb", default)]
    pub image_cache_gb: f64,
    /// How fast it fetches images.
    #[serde(rename = "pullGbPerS", default)]
    pub image_pull_gb_per_s: f64,
    /// The price per hour.
    #[serde(rename = "hourly")]
    pub hourly_price: f64,
    /// The price per hour as a spot machine.
    #[serde(rename = "marketPrice", default)]
    pub hourly_spot_price: f64,
    /// The usual boot time.
    #[serde(rename = "startupS")]
    pub boot_s: f64,
    /// The zones that have it.
    #[serde(rename = "secteurs")]
    pub zones: Vec<Rc<str>>,
}

impl MachineType {
    /// What a machine of the type holds.
    pub fn capacity(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }
}

/// The cloud's machine types.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalog {
    /// The machine types.
    #[serde(rename = "gammes")]
    pub types: Vec<MachineType>,
}

impl Catalog {
    /// The catalogue, if it makes sense.
    pub fn validated(self) -> Option<Catalog> {
        let fine = |t: &MachineType| {
            [
                t.cpus,
                t.gpus,
                t.memory_gb,
                t.image_cache_gb,
                t.hourly_price,
                t.hourly_spot_price,
                t.boot_s,
            ]
            .iter()
            .all(|x| x.is_finite() && *x >= 0.0)
                && t.image_pull_gb_per_s.is_finite()
        };
        (!self.types.is_empty() && self.types.iter().all(fine)).then_some(self)
    }
    /// The machine type of this name.
    pub fn find(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| &*t.name == name)
    }
}

/// A rental.
#[derive(Debug, Serialize)]
pub struct ProvisionRequest<'a> {
    /// Its name, never used twice.
    #[serde(rename = "bon")]
    pub request: &'a str,
    /// The machine type.
    #[serde(rename = "gamme")]
    pub machine_type: &'a str,
    /// The zone.
    #[serde(rename = "secteur")]
    pub zone: &'a str,
    /// Spot machines.
    #[serde(rename = "occasion")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Names of machines.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "bancs")]
    pub machines: Vec<String>,
}

/// What the cloud's list says of a machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It boots.
    #[serde(rename = "starting")]
    Booting,
    /// It runs.
    Running,
    /// It stopped by itself.
    Failed,
    /// Anything newer than this program.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    pub id: String,
    /// Where direct commands reach it.
    #[serde(default)]
    pub address: String,
    /// Its type.
    #[serde(rename = "gamme")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "secteur")]
    pub zone: String,
    /// A spot machine.
    #[serde(rename = "occasion")]
    pub spot: bool,
    /// What it is doing.
    #[serde(rename = "etat")]
    pub state: ListedState,
    /// Seconds since its rental.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Debug, Deserialize)]
pub struct MachineList {
    /// The machines, by name.
    #[serde(rename = "bancs")]
    pub machines: Vec<ListedMachine>,
    /// There are more.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}
