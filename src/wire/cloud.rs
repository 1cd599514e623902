//! The cloud: machine types, the machine list, provisioning and release.

use lilacfork_common::resources::Resources;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Path of the machine types.
pub const CLOUD_CATALOG_PATH: &str = "/catalog";
/// Path of the machine list, and of provisioning.
pub const CLOUD_MACHINES_PATH: &str = "/machines";
/// Path of the release of machines.
pub const CLOUD_RELEASE_PATH: &str = "/machines/release";

/// A machine type.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: Rc<str>,
    /// Processor cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// The size of the image cache in GB.
    #[serde(rename = "cacheGb", default)]
    pub image_cache_gb: f64,
    /// The rate at which it pulls images.
    #[serde(rename = "pullGbPerS", default)]
    pub image_pull_gb_per_s: f64,
    /// The price per hour.
    #[serde(rename = "hourly")]
    pub hourly_price: f64,
    /// The price per hour of a spot instance.
    #[serde(rename = "marketPrice", default)]
    pub hourly_spot_price: f64,
    /// The usual boot time in seconds.
    #[serde(rename = "startupS")]
    pub boot_s: f64,
    /// The zones that offer it.
    #[serde(rename = "secteurs")]
    pub zones: Vec<Rc<str>>,
}

impl MachineType {
    /// The capacity of a machine of this type.
    pub fn capacity(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    fn is_plausible(&self) -> bool {
        let amounts = [
            self.cpus,
            self.gpus,
            self.memory_gb,
            self.image_cache_gb,
            self.hourly_price,
            self.hourly_spot_price,
            self.boot_s,
        ];
        let not_negative = |amount: &f64| amount.is_finite() && *amount >= 0.0;
        amounts.iter().all(not_negative) && self.image_pull_gb_per_s.is_finite()
    }
}

/// The cloud's machine types.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalog {
    /// The machine types.
    #[serde(rename = "gammes")]
    pub machine_types: Vec<MachineType>,
}

impl Catalog {
    /// The catalog, if it has types and all their figures are plausible.
    pub fn validated(self) -> Option<Catalog> {
        let valid = !self.machine_types.is_empty()
            && self.machine_types.iter().all(MachineType::is_plausible);
        valid.then_some(self)
    }

    /// The machine type of this name.
    pub fn find(&self, name: &str) -> Option<&MachineType> {
        self.machine_types
            .iter()
            .find(|machine_type| &*machine_type.name == name)
    }
}

/// A provisioning order.
#[derive(Debug, Serialize)]
pub struct ProvisionRequest<'a> {
    /// Its name, which is never used twice.
    #[serde(rename = "bon")]
    pub request: &'a str,
    /// The machine type.
    #[serde(rename = "gamme")]
    pub machine_type: &'a str,
    /// The zone.
    #[serde(rename = "secteur")]
    pub zone: &'a str,
    /// Whether spot instances are ordered.
    #[serde(rename = "occasion")]
    pub spot: bool,
    /// How many machines are ordered.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Machines by their names: the response to an order, or the machines to release.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names of the machines.
    #[serde(rename = "bancs")]
    pub machines: Vec<String>,
}

/// The state of a machine in the cloud's list.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It is booting.
    #[serde(rename = "starting")]
    Booting,
    /// It is running.
    Running,
    /// It stopped by itself.
    Failed,
    /// A state that this version doesn't know.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    pub id: String,
    /// The address that takes direct commands.
    #[serde(default)]
    pub address: String,
    /// Its type.
    #[serde(rename = "gamme")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "secteur")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "occasion")]
    pub spot: bool,
    /// Its state.
    #[serde(rename = "etat")]
    pub state: ListedState,
    /// Seconds since it was provisioned.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// A page of the cloud's machine list.
#[derive(Debug, Deserialize)]
pub struct MachineList {
    /// The machines, ordered by name.
    #[serde(rename = "bancs")]
    pub machines: Vec<ListedMachine>,
    /// There are more pages.
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
}
